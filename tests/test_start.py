"""What a start waits for is bounded, whatever discovery, a disk or a process before does; and ready means that it serves.

Real processes start all at once, each under another trouble; the bound of each wait is taken from the program itself.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import uvloop

from saltmoor import config
from saltmoor.net import discovery, keeper, lifecycle, sibling
from saltmoor.net.log import Log
from saltmoor.state import file
from tests.helper import MS, Town, read, reserve, settings

READY, LONGEST = 10.0, 30.0  # seconds: nine in ten, and all
SERVERS = 200
# A disk that does not answer: the read of the snapshot hangs, in the thread that the program gives it.
SLOW = (
    "import sys, time\nfrom saltmoor.state import file\nfile.read = lambda path, most: time.sleep(60)\n"
    "from saltmoor.__main__ import main\nsys.exit(main())"
)
TROUBLES = (
    ("down", "subscribe", False),
    ("mute", "subscribe", True),
    ("half", "subscribe", False),
    ("turns", "subscribe", True),
    ("down", "automatic", True),
    ("mute", "automatic", False),
    ("half", "automatic", True),
    ("turns", "automatic", False),
)  # discovery, how the list comes, a disk that hangs


class Starts(Town):
    """Processes side by side, each a node of its own with a list of many entries, and discovery in several states."""

    async def __aenter__(self) -> Starts:
        await self.stage()
        self.folder, self.nodes, self.turn = tempfile.TemporaryDirectory(), [], asyncio.Lock()
        cache, origin = self.list
        self.list = [cache | {"instanceId": f"s{i}"} for i in range(SERVERS - 1)] + [origin]
        self.places = {"down": self.said["discovery"]}
        for name in "mute", "half", "turns":
            self.servers.append(await asyncio.start_server(getattr(self, name), "127.0.0.1", 0))
            self.places[name] = "127.0.0.1:%d" % self.servers[-1].sockets[0].getsockname()[1]
        self.servers[2].close()
        return self

    async def __aexit__(self, *_) -> None:
        for node in self.nodes:
            if node.returncode is None:
                node.kill()
            await node.wait()
        await self.strike()
        self.folder.cleanup()

    def note(self, text: str) -> None:
        pass

    async def mute(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.read()
        writer.close()

    def text(self) -> bytes:
        return json.dumps({"generation": 9, "reset": True, "instances": self.list}, indent=1).encode() + b"\n"

    async def half(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + self.text()[:9000])
        await reader.read()
        writer.close()

    async def turns(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One call at a time, each 0.2 s long."""
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        async with self.turn:
            await asyncio.sleep(0.2)
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + self.text())
        await reader.read()
        writer.close()

    async def launch(self, number: int, trouble: str, mode: str, slow: bool) -> tuple[float, float, str]:
        """Start a process; seconds until it says that it is ready, how many of them it waited for a core, and the
        first answer that it gives then; where other work made that late, one of the next two."""
        kept = [reserve(), reserve()]
        self.reserved += kept
        listen, admin = (one.getsockname() for one in kept)
        name = f"n{number}"
        path, ours = Path(self.folder.name, name), Path(self.folder.name, f"{name}.toml")
        path.write_text(
            json.dumps(
                self.said
                | {
                    "name": name,
                    "listen": "%s:%d" % listen,
                    "admin_addr": "%s:%d" % admin,
                    "discovery": self.places[trouble],
                    "known": {"generation": 7, "instances": self.list},
                    "settings": settings(membership_mode=mode, rules={"stop_sending_within_ns": 700 * MS * 1000}),
                }
            )
        )
        state = Path(self.folder.name, f"{name}.state")
        state.mkdir()
        ours.write_text(f'[state]\nfolder = "{state}"\n')
        began = time.monotonic()
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            *(("-c", SLOW) if slow else ("-m", "saltmoor")),
            "serve",
            f"--config={path}",
            f"--operators={ours}",
            env=os.environ | {"TMPDIR": self.folder.name},
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.nodes.append(node)
        while not await ready(admin):
            if node.returncode is not None:
                return LONGEST, 0.0, f"ended with {node.returncode}"
            await asyncio.sleep(0.1)
        took = time.monotonic() - began
        busy = int(Path(f"/proc/{node.pid}/schedstat").read_text().split()[1]) / 1e9
        for _ in range(3):
            reader, writer = await asyncio.open_connection(*listen)
            writer.write(read("hit").encode())
            got = (await asyncio.wait_for(reader.readline(), 2)).decode().strip()
            writer.close()
            if got.startswith("VA"):
                break
        return took, busy, got


async def ready(admin: tuple[str, int]) -> bool:
    try:
        reader, writer = await asyncio.open_connection(*admin)
        writer.write(b"GET /_ready HTTP/1.1\r\n\r\n")
        said = await asyncio.wait_for(reader.read(), 2)
        writer.close()
        return said.startswith(b"HTTP/1.1 200")
    except (OSError, TimeoutError):
        return False


async def start(count: int) -> list[tuple[float, float, str]]:
    async with Starts() as town:
        return await asyncio.gather(*(town.launch(i, *TROUBLES[i % len(TROUBLES)]) for i in range(count)))


class Ready(unittest.TestCase):
    def test_eight_at_once_each_in_trouble(self):
        """Each is ready in time, and serves at once when it says so; a machine's other work is no part of its time."""
        for (took, busy, got), trouble in zip(uvloop.run(asyncio.wait_for(start(8), 60)), TROUBLES):
            self.assertLess(took, LONGEST, trouble)
            self.assertLess(took - busy, READY, trouble)
            self.assertEqual(got, "VA 3 O1", trouble)


class Bounds(unittest.TestCase):
    def test_all_waits_of_a_start_together(self):
        """A process before that hangs, a disk that does not answer, and the first news."""
        self.assertLess(sibling.WITHIN + keeper.START_WAIT + lifecycle.FIRST_NEWS, READY / 2)
        self.assertLessEqual(lifecycle.FIRST_NEWS, discovery.AGENT)

    def test_a_disk_that_does_not_answer(self):
        """Whatever of it hangs, the start goes on without the snapshot."""

        async def load(folder: str, what: str) -> float:
            loop = asyncio.get_running_loop()
            began = loop.time()
            go, log = asyncio.Event(), []

            def hang(*_) -> None:
                asyncio.run_coroutine_threadsafe(go.wait(), loop).result()

            with mock.patch.object(file, what, hang):
                found = await keeper.Keeper(config.Keeping(folder, 1_000_000, 1 << 20), "n", log.append).load()
            took = loop.time() - began
            go.set()
            self.assertIsNone(found)
            self.assertIn("the disk does not answer", log[0])
            return took

        with tempfile.TemporaryDirectory() as folder, mock.patch.object(keeper, "START_WAIT", 0.1):
            for what in "usable", "read":
                self.assertLess(uvloop.run(load(folder, what)), 1.0, what)

    def test_never_ready_before_the_first_news_or_its_time_is_over(self):
        """Where the list is pushed; and no client is taken before it is ready."""

        async def run() -> list[bool]:
            said = {
                "listen": "127.0.0.1:0",
                "seed": "1",
                "settings": settings(membership_mode="automatic", rules={}),
                "serve": {"linger_ms": 0},
            }
            held = await asyncio.start_server(lambda reader, writer: reader.read(), "127.0.0.1", 0)
            said["discovery"] = "127.0.0.1:%d" % held.sockets[0].getsockname()[1]
            service = lifecycle.Service(config.parse(said, {}), lambda: config.parse(said, {}), Log(0))
            running = asyncio.create_task(service.run())
            seen, listens = [], service.clients.listen
            service.clients.listen = lambda: (seen.append(service.ready), listens())
            reader, writer = await asyncio.open_connection(*service.listener.getsockname()[:2])
            writer.write(b"mn\r\n")
            for _ in range(20):
                await asyncio.sleep(0)
            seen.append(service.ready)
            self.assertEqual(await asyncio.wait_for(reader.readline(), 3), b"MN\r\n")
            seen.append(service.ready)
            writer.close()
            os.kill(os.getpid(), 15)
            await running
            held.close()
            return seen[:3]  # its end listens once more

        with mock.patch.object(lifecycle, "FIRST_NEWS", 0.3):
            self.assertEqual(uvloop.run(run()), [False, False, True])


if __name__ == "__main__":
    unittest.main()
