"""Idle clients fill the descriptors while discovery is down: what the node itself opens gets its own at once.

A process with as many descriptors as its configuration says, and clients beyond them of three kinds; then one request
after the other needs a connection, more at once than are kept free for that, and the watch has to be opened anew.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
import unittest
from pathlib import Path

import uvloop

from tests.helper import MS, read, settings, within
from tests.test_operations import Twins

AT_ONCE = 12  # requests that each need a connection: twice what is kept free at the least number of descriptors
SAID = {"again": b"", "half": b"mg hit v O", "kept": b"mn\r\n"}


class Crowd(Twins):
    """The cache server answers when the test lets it; discovery goes down and comes back at the same address."""

    def __init__(self, sockets: int, **changed) -> None:
        super().__init__(limits={"sockets": sockets}, **changed)
        self.sockets, self.most, self.open, self.go, self.probes = sockets, 0, [], asyncio.Event(), 0

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            if line == "stats load\r\n":
                self.probes += 1
                writer.write(b"STAT queue 0\r\nEND\r\n")
                continue
            tag, go = next(word for word in line.split() if word.startswith("O")), self.go
            self.open.append(tag)
            await go.wait()
            writer.write(f"VA 4 {tag} h1\r\nheld\r\n".encode())
        writer.close()

    async def seen(self, count: int) -> None:
        """Until so many commands are open at the cache server, each on a connection of its own."""
        while len(self.open) < count:
            await asyncio.sleep(0.002)

    def next_turn(self) -> asyncio.Event:
        """What lets the commands go that have come so far; later ones wait for the next."""
        before, self.go = self.go, asyncio.Event()
        return before

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.watch = writer
        await super().discovery(reader, writer)

    async def launch(self) -> asyncio.subprocess.Process:
        def limited() -> None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

        self.errors = Path(self.folder.name, "stderr")
        with self.errors.open("wb") as stderr:
            node = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saltmoor",
                "serve",
                f"--config={self.file}",
                preexec_fn=limited,
                env=os.environ | {"TMPDIR": self.folder.name},
                stderr=stderr,
            )
        self.nodes.append(node)
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"mn\r\n")
                if await reader.readline() == b"MN\r\n":
                    writer.close()
                    return node
            await asyncio.sleep(0.02)

    async def sit(self, said: bytes) -> None:
        """A client that asks nothing whole, or nothing any more, and comes again as soon as it is shut."""
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(said)
                while await reader.read(100):
                    pass
                writer.close()

    def held(self, node: asyncio.subprocess.Process) -> int:
        count = len(os.listdir(f"/proc/{node.pid}/fd"))
        self.most = max(self.most, count)
        return count


class Descriptors(unittest.TestCase):
    def play(self, sockets: int, kinds: list[str]) -> None:
        async def run() -> None:
            said = settings(
                rules={"ask_within_ns": 600 * MS * 1000},
                classes=[{"name": "read", "repeat": "idempotent", "aim_ns": 9 * 10**9, "deadline_ns": 10**10}],
            )
            said["permissions"] |= {"connect_timeout_ns": 10**9}
            async with Crowd(sockets, settings=said) as town:
                node = await town.launch()
                reader, writer = await asyncio.open_connection(*town.address)
                writer.write(read("held", "first", wait=10000).encode())  # so that this one is never idle
                await within(5, town.seen(1))
                await within(5, town.asked.wait())  # its watch is open
                back = town.servers[2].sockets[0].getsockname()
                town.servers[2].close()
                town.watch.close()
                crowd = [asyncio.create_task(town.sit(SAID[kinds[i % len(kinds)]])) for i in range(sockets)]
                try:
                    await asyncio.sleep(0.7)  # so that those who are in the middle of a command are so for a while
                    last = "first"
                    for turn in "ab":
                        tags = [f"{turn}{i}" for i in range(AT_ONCE)]
                        town.held(node)
                        writer.write("".join(read("held", tag, wait=10000) for tag in tags).encode())
                        await within(2, town.seen(1 + AT_ONCE))
                        town.held(node)
                        go = town.next_turn()
                        writer.write(read("held", f"{turn}-next", wait=10000).encode())
                        await within(2, town.seen(2 + AT_ONCE))
                        go.set()
                        for tag in last, *tags:
                            self.assertRegex((await within(5, reader.readline())).decode(), f"^VA .* O{tag}")
                            await reader.readline()
                        last, town.open = f"{turn}-next", [f"{turn}-next"]
                    town.asked.clear()
                    town.servers[2] = await asyncio.start_server(town.discovery, *back[:2])
                    await within(2, town.asked.wait())  # it calls every 0.3 s at most
                finally:
                    for one in crowd:
                        one.cancel()
                    await asyncio.gather(*crowd, return_exceptions=True)
                    writer.close()
                self.assertGreater(town.probes, 0)
                log = town.errors.read_text()
                for short in "Too many open files", "connect:", "accept:":
                    self.assertNotIn(short, log)
                self.assertLess(town.most, sockets)

        uvloop.run(within(30, run()))

    def test_each_kind_at_the_least_number(self):
        for kind in SAID:
            with self.subTest(kind):
                self.play(64, [kind])

    def test_all_kinds_at_more(self):
        for sockets in 256, 1024:
            with self.subTest(sockets):
                self.play(sockets, list(SAID))


if __name__ == "__main__":
    unittest.main()
