"""A signal in any moment of a process's start, as the deploy file starts it: HUP ends none, TERM ends each."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import tomllib
import unittest
from pathlib import Path

import uvloop

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


if __name__ == "__main__":
    unittest.main()
