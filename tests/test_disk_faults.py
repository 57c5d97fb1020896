"""A folder that lasts goes wrong under a real process: full, broken, or the process killed at any step of a write."""

from __future__ import annotations

import asyncio
import errno
import re
import unittest
from pathlib import Path

import uvloop

from saltmoor.lab.soak import shim
from saltmoor.lab.soak.shim import Call
from saltmoor.state import file
from tests.helper import read
from tests.test_syscalls import Shimmed

DISK = Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN
EVERY_MS = 100
NAME = "n"


class Keeping(Shimmed):
    """It keeps snapshots in a folder."""

    async def __aenter__(self) -> Keeping:
        await super().__aenter__()
        self.state = Path(self.folder.name, "state")
        self.state.mkdir(mode=0o700)
        operators = Path(self.folder.name, "operators.toml")
        operators.write_text(f'[state]\nfolder = "{self.state}"\nevery_ms = {EVERY_MS}\n')
        self.words = [f"--operators={operators}"]
        return self

    @property
    def snapshot(self) -> Path:
        return next(iter(self.state.glob("*.snapshot")), self.state / "none")

    async def wait_for_line(self, pattern: str) -> None:
        while not re.search(pattern, self.errors.read_text()):
            await asyncio.sleep(0.01)

    async def serves(self) -> None:
        reader, writer = await asyncio.open_connection(*self.address)
        writer.write(read("hit", "s").encode())
        got = await asyncio.wait_for(self.answer(reader), 2)
        writer.close()
        assert self.how(got, "s") == "served", got


class DiskFaults(unittest.TestCase):
    def play(self, scene) -> None:
        async def run() -> None:
            async with Keeping() as town:
                town.note = lambda text: None
                await scene(town)

        uvloop.run(asyncio.wait_for(run(), 60))

    def test_it_is_full_or_broken_for_a_while(self):
        """The node serves on, says so once, keeps the last whole snapshot, and writes again afterwards."""

        async def scene(town: Keeping) -> None:
            await town.launch()
            while not town.snapshot.exists():
                await asyncio.sleep(0.02)
            for call in DISK:
                with self.subTest(call.name):
                    town.errors.write_bytes(b"")
                    town.shim.fail(call, shim.ALWAYS, errno.ENOSPC, errno.EIO)
                    await asyncio.wait_for(town.wait_for_line("snapshot: not written"), 3)
                    kept = town.snapshot.read_bytes()
                    await town.serves()
                    await asyncio.sleep(3 * EVERY_MS / 1000)
                    self.assertEqual(town.snapshot.read_bytes(), kept)
                    file.decode(kept)
                    town.shim.relieve(call)
                    await asyncio.wait_for(town.wait_for_line("snapshot: written again"), 3)
            for call in (Call.WRITE,):
                town.shim.shorten(call, shim.ALWAYS, 50)
                before = town.snapshot.read_bytes()
                while town.snapshot.read_bytes() == before:
                    await asyncio.sleep(0.02)
                file.decode(town.snapshot.read_bytes())

        self.play(scene)

    def test_killed_at_every_step_of_a_write(self):
        """Half a write is never taken for a snapshot, and the next process starts and writes its own."""

        async def scene(town: Keeping) -> None:
            node = await town.launch()
            while not town.snapshot.exists():
                await asyncio.sleep(0.02)
            node.kill()
            await node.wait()
            for step in range(1, 7):
                for written in (0, 1, 64, 200) if step % 2 == 0 else (0,):
                    with self.subTest(step=step, written=written):
                        kept = town.snapshot.read_bytes()
                        town.errors.write_bytes(b"")
                        town.shim.kill_at(town.shim.disk_steps() + step, written)
                        node = await town.launch()
                        await asyncio.wait_for(node.wait(), 5)
                        self.assertEqual(node.returncode, -9)
                        town.shim.kill_at(0)
                        found = town.snapshot.read_bytes()
                        file.decode(found)
                        town.errors.write_bytes(b"")
                        after = await town.launch()
                        self.assertNotIn("set aside", town.errors.read_text())
                        self.assertIn("snapshot: remembered", town.errors.read_text())
                        await town.serves()
                        while town.snapshot.read_bytes() in (kept, found):
                            await asyncio.sleep(0.02)
                        after.kill()
                        await after.wait()

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
