"""The wall clock of a real process is stepped by seconds and an hour, both ways, in the middle of what it does.

Deadlines, windows, waits, graces and warm-up are spans of real time: none may change with the step.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
import unittest

import uvloop

from tests.helper import read
from tests.test_syscalls import Shimmed

STEPS = 5.0, -5.0, 3600.0, -3600.0
SECOND = 1_000_000


class Stepped(Shimmed):
    """Its list says when servers started, in true wall time."""

    def __init__(self) -> None:
        super().__init__()
        self.generation = 7

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Guards against news that go to a watch which the node has left, as it does with one that is silent for 3 s."""
        serving = asyncio.create_task(super().discovery(reader, writer))
        while not serving.done() and not reader.at_eof():
            await asyncio.wait({serving}, timeout=0.01)
        serving.cancel()
        await asyncio.wait({serving})

    def restarted(self, name: str, **changed) -> None:
        """Discovery says that this server has just started."""
        self.generation += 1
        line = self.list[0] | {"instanceId": name, "startedAtMs": time.time_ns() // 1_000_000} | changed
        said = {"generation": self.generation, "reset": False, "instances": [line]}
        self.news.put_nowait(json.dumps(said).encode() + b"\n")

    async def wait_for_line(self, pattern: str) -> re.Match[str]:
        while True:
            if found := re.search(pattern, self.errors.read_text()):
                return found
            await asyncio.sleep(0.01)


class WallClock(unittest.TestCase):
    def play(self, scene) -> None:
        async def run() -> None:
            async with Stepped() as town:
                town.note = lambda text: None
                await scene(town)

        uvloop.run(asyncio.wait_for(run(), 30))

    def test_a_server_that_has_just_started_is_cold_after_any_step(self):
        """Guards against a told start that looks an hour old to a node whose own clock alone was set."""

        async def scene(town: Stepped) -> None:
            await town.launch()
            for step in STEPS:
                town.shim.step_wall_clock(step)
                town.errors.write_bytes(b"")
                town.restarted("s1")
                found = await asyncio.wait_for(town.wait_for_line(r"cold s1: age_ms=(-?\d+)"), 3)
                with self.subTest(step):
                    self.assertLess(int(found[1]), 2000)
                    self.assertGreaterEqual(int(found[1]), 0)

        self.play(scene)

    def test_requests_and_deadlines_go_on_through_steps(self):
        async def scene(town: Stepped) -> None:
            await town.launch()
            clients = town.begin()
            for step in (*STEPS, 0.0):
                slow = await town.client()
                slow.say(read("slow", f"s{step:g}".replace("-", "m"), wait=400))
                await asyncio.sleep(0.05)
                town.shim.step_wall_clock(step)
                await asyncio.wait_for(slow.hear(), 1)
            town.stopping = True
            await asyncio.gather(*clients)
            ends = town.since_last()
            self.assertEqual(set(ends), {"served"}, ends)

        self.play(scene)

    def test_a_drain_and_a_stop_keep_their_time_through_a_step(self):
        async def scene(town: Stepped) -> None:
            node = await town.launch()
            for step in STEPS:
                town.shim.step_wall_clock(step)
                town.restarted("s1", lifecycle="draining")
                await asyncio.sleep(0.15)
                one = await town.client()
                one.writer.write(read("hit", "d").encode())
                got = await asyncio.wait_for(one.reader.readline(), 2)
                self.assertFalse(got.startswith(b"VA"), "sent to a server that drains")
                town.restarted("s1")
                await asyncio.sleep(0.15)
            town.shim.step_wall_clock(0.0)
            one.writer.write(read("slow", "last", wait=900).encode())
            await asyncio.sleep(0.05)
            begun = time.monotonic()
            node.terminate()
            town.shim.step_wall_clock(-3600.0)
            self.assertEqual(await asyncio.wait_for(node.wait(), 6), 0)
            self.assertLess(time.monotonic() - begun, 2.5)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
