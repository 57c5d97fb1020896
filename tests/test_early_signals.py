"""A signal in any moment of a process's start, as the deploy file starts it: HUP ends none, TERM ends each."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import time
import tomllib
import unittest
from pathlib import Path

import uvloop

from tests.helper import settings, within
from tests.test_operations import Twins
from tests.test_syscalls import Shimmed

STEP = 0.005  # seconds between the moments that are tried
MOMENTS = 60  # 0.3 s: an idle machine's start is over by then
AT_ONCE = 6
RUN = tomllib.loads(Path("deploy/balancer.toml").read_text())["run"]


def begun(pid: int) -> bool:
    """Whether the shell has come to the program's line: before that a signal is the shell's."""
    place = Path(f"/proc/{pid}")
    ignored = int(re.search(r"SigIgn:\s*(\w+)", (place / "status").read_text())[1], 16)
    return bool(ignored >> (signal.SIGHUP - 1) & 1) or b"python" in (place / "cmdline").read_bytes().split(b"\0")[0]


def held_back(pid: int, number: signal.Signals) -> bool:
    """Whether the process has put off that signal."""
    blocked = int(re.search(r"SigBlk:\s*(\w+)", Path(f"/proc/{pid}/status").read_text())[1], 16)
    return bool(blocked >> (number - 1) & 1)


class Early(unittest.TestCase):
    def ends(self, number: signal.Signals) -> list[tuple[int, int | None]]:
        """The moments, and how each process ended; None where it serves on."""

        async def one(town: Shimmed, moment: int) -> tuple[int, int | None]:
            errors = Path(town.folder.name, f"stderr{moment}")
            text = town.file.read_text().replace(str(town.address[1]), str(0))
            config = Path(town.folder.name, f"config{moment}.json")
            config.write_text(text)
            with errors.open("wb") as stderr:
                node = await asyncio.create_subprocess_shell(
                    RUN, env=os.environ | {"ROUTER_CONFIG": str(config)}, stderr=stderr
                )
            town.nodes.append(node)
            while not begun(node.pid):
                await asyncio.sleep(0.001)
            await asyncio.sleep(moment * STEP)
            node.send_signal(number)
            while "serving at" not in errors.read_text() and node.returncode is None:
                await asyncio.sleep(0.02)
            if number is signal.SIGTERM:
                return moment, await asyncio.wait_for(node.wait(), 5)
            await asyncio.sleep(0.05)
            ended = node.returncode
            if ended is None:
                node.kill()
            return moment, ended

        async def run() -> list[tuple[int, int | None]]:
            found = []
            async with Shimmed() as town:
                town.note = lambda text: None
                for first in range(0, MOMENTS, AT_ONCE):
                    found += await asyncio.gather(*[one(town, first + i) for i in range(AT_ONCE)])
            return found

        return uvloop.run(asyncio.wait_for(run(), 100))

    def test_a_reload_in_any_moment(self):
        """Guards against a process that the signal ends, as the interpreter has not yet seen to it."""
        self.assertEqual([found for found in self.ends(signal.SIGHUP) if found[1] is not None], [])

    def test_a_stop_in_any_moment(self):
        """It ends at once, or as a process that serves does."""
        self.assertEqual([found for found in self.ends(signal.SIGTERM) if found[1] not in (0, -signal.SIGTERM)], [])


class Silent(Twins):
    """Discovery takes every call and never answers: a start waits for the list as long as it ever does."""

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.asked.set()
        await reader.read()


class BeforeTheList(unittest.TestCase):
    LONGEST = 0.3  # seconds: the longest deadline

    def test_a_stop_counts_from_its_signal(self):
        """Guards against a process that begins to serve after it was told to end, and is killed while it does."""

        async def run() -> float:
            aim = int(self.LONGEST * 10**9)
            classes = [{"name": "read", "repeat": "idempotent", "aim_ns": aim, "deadline_ns": aim}]
            async with Silent(settings=settings(classes=classes, membership_mode="automatic")) as town:
                errors = Path(town.folder.name, "stderr")
                with errors.open("wb") as stderr:
                    command = [sys.executable, "-m", "saltmoor", "serve", f"--config={town.file}"]
                    node = await asyncio.create_subprocess_exec(*command, stderr=stderr)
                town.nodes.append(node)
                await within(5, town.asked.wait())
                self.assertNotIn("serving at", errors.read_text())
                node.send_signal(signal.SIGTERM)
                told = time.monotonic()
                self.assertEqual(await asyncio.wait_for(node.wait(), 5), 0)
                self.assertNotIn("serving at", errors.read_text())
                return time.monotonic() - told

        self.assertLess(uvloop.run(run()), self.LONGEST + 0.7)

    def test_a_stop_in_the_start_is_not_served_first(self):
        """Guards against a process that takes clients, as it hears only then of a signal that came in its start."""

        async def run() -> str:
            async with Twins() as town:
                errors = Path(town.folder.name, "stderr")
                with errors.open("wb") as stderr:
                    command = [sys.executable, "-m", "saltmoor", "serve", f"--config={town.file}"]
                    node = await asyncio.create_subprocess_exec(*command, stderr=stderr)
                town.nodes.append(node)
                while not held_back(node.pid, signal.SIGTERM):
                    await asyncio.sleep(0.001)
                node.send_signal(signal.SIGTERM)
                self.assertEqual(await asyncio.wait_for(node.wait(), 5), 0)
                return errors.read_text()

        self.assertNotIn("serving at", uvloop.run(run()))


if __name__ == "__main__":
    unittest.main()
