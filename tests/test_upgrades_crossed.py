"""Upgrades that cross something else: another upgrade, a reload, or an old process that stands still for a while.

Real processes on loopback; each answer is compared with the one that was made for its request.
"""

from __future__ import annotations

import asyncio
import signal
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from tests.helper import read
from tests.test_operations import Twins

Scene = Callable[["CrossedTown", asyncio.subprocess.Process], Awaitable[None]]

CLIENTS = 16
STANDS_STILL = 0.4  # seconds: less than clients wait for an answer
SERVED = 200  # answers at least


class CrossedTown(Twins):
    """Counts the answers of each kind; a busy machine may make a node turn requests away, which is an answer too."""

    def __init__(self) -> None:
        super().__init__()
        self.foreign: list[tuple[bytes, bytes]] = []  # wanted, and given
        self.served = self.refused = self.unanswered = 0

    def note(self, text: str) -> None:
        pass

    async def load(self, name: int, keep: bool) -> None:
        """Ask on and on, on one connection or on ever new ones."""
        count, writer = 0, None
        while True:
            count += 1
            key, tag = "slow" if count % 5 == 0 else "hit", f"{name:x}{count:x}"
            wanted = f"VA {len(key)} O{tag}\r\n{key}\r\n".encode()
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.address)
                writer.write(read(key, tag).encode())
                answer = await reader.readline()
                if answer.startswith(b"VA"):
                    answer += await reader.readline()
            except OSError:
                answer = b""
            self.judge(wanted, answer)
            if not answer or not keep:
                writer = writer and writer.close()
            await asyncio.sleep(0.002)

    def judge(self, wanted: bytes, answer: bytes) -> None:
        if answer == wanted:
            self.served += 1
        elif answer.startswith(b"SERVER_ERROR"):
            self.refused += 1
        elif answer:
            self.foreign.append((wanted, answer))
        else:
            self.unanswered += 1


class CrossedUpgrades(unittest.TestCase):
    def play(self, scene: Scene) -> None:
        async def run() -> None:
            async with CrossedTown() as town:
                first = await town.start()
                loads = [asyncio.create_task(town.load(i + 1, keep=i % 2 == 0)) for i in range(CLIENTS)]
                await asyncio.sleep(0.3)
                await scene(town, first)
                await asyncio.sleep(0.3)
                for load in loads:
                    load.cancel()
                self.assertEqual((town.foreign, town.unanswered), ([], 0))
                self.assertGreater(town.served, SERVED)

        uvloop.run(asyncio.wait_for(run(), 40))

    def test_another_upgrade_within_a_second(self):
        async def scene(town: CrossedTown, first: asyncio.subprocess.Process) -> None:
            second = await town.start()
            first.terminate()
            third = await town.start()
            second.terminate()
            self.assertEqual([await asyncio.wait_for(node.wait(), 5) for node in (first, second)], [0, 0])
            self.assertIsNone(third.returncode)

        self.play(scene)

    def test_a_reload_of_both(self):
        async def scene(town: CrossedTown, first: asyncio.subprocess.Process) -> None:
            starting = asyncio.create_task(town.start())
            for _ in range(5):
                first.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.05)
            second = await starting
            second.send_signal(signal.SIGHUP)
            first.send_signal(signal.SIGHUP)
            self.assertEqual(await town.stop(first), 0)
            second.send_signal(signal.SIGHUP)

        self.play(scene)

    def test_an_old_process_that_stands_still_in_the_hand_over(self):
        async def scene(town: CrossedTown, first: asyncio.subprocess.Process) -> None:
            for before in 0.0, 0.005:  # seconds between the call to end and the halt
                second = await town.start()
                first.terminate()
                await asyncio.sleep(before)
                first.send_signal(signal.SIGSTOP)
                await asyncio.sleep(STANDS_STILL)
                first.send_signal(signal.SIGCONT)
                self.assertEqual(await asyncio.wait_for(first.wait(), 5), 0)
                first = second

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
