"""Drills: what can fail round a node is brought about on purpose, against the real program as a process.

Each drill states what a node should do; docs/hardening-review.md has what was seen. Every shortage is one of a child
process, a folder or a stand-in of the drill's own, and each stops only what it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

import uvloop

from tests.test_operations import Twins

LIMIT = 0.9  # seconds that a client waits in all
# Modes of files bind root too without these two rights; who is not root has none of them.
SETPRIV = shutil.which("setpriv") if os.getuid() == 0 else None
PLAIN = [SETPRIV, "--bounding-set=-dac_override,-dac_read_search"] if SETPRIV else []
SLACK = 0.3  # of the machine that the drill runs on


class Drill(Twins):
    """The town of the upgrades, with a ledger: how each transaction ended, and what the servers were sent."""

    def __init__(self, **changed) -> None:
        super().__init__(**changed)
        self.ends: Counter[str] = Counter()
        self.effects: dict[str, list[float]] = {}  # by tag of a write: when the origin got it
        self.late = self.serial = 0
        self.frozen = asyncio.Event()  # the servers answer nothing while it is set
        self.figure = "0"  # the queue that the cache server reports
        self.paused = False

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            head = line + (await reader.readuntil(b"\r\n\r\n")).decode()
            if length := re.search(r"Content-Length: (\d+)", head):
                await reader.readexactly(int(length[1]))
                tag = re.search("X-Request-ID: (.*)", head)[1].strip()
                self.effects.setdefault(tag, []).append(time.monotonic())
            if self.frozen.is_set():
                await reader.read()
                break
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")
        writer.close()

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            if self.frozen.is_set():
                await reader.read()
                break
            if line == "stats load\r\n":
                writer.write(f"STAT queue {self.figure}\r\nEND\r\n".encode())
                continue
            words = line.split()
            tag = next((one for one in words if one.startswith("O")), "O")
            writer.write(
                f"EN {tag}\r\n".encode()
                if words[1].startswith("miss")
                else f"VA {len(words[1])} {tag} h1\r\n{words[1]}\r\n".encode()
            )
        writer.close()

    async def launch(
        self, stderr=asyncio.subprocess.DEVNULL, folder: str | None = None, ready: bool = True, shell: str = ""
    ) -> asyncio.subprocess.Process:
        """A process of the node; `ready`: wait until it serves; `shell`: what starts it, as a line of the shell."""
        env = os.environ | {"TMPDIR": folder or self.folder.name}
        node = await asyncio.create_subprocess_exec(
            *(["/bin/sh", "-c", shell, "sh"] if shell else []),
            *PLAIN,
            sys.executable,
            "-m",
            "saltmoor",
            "serve",
            f"--config={self.file}",
            env=env,
            stderr=stderr,
        )
        self.nodes.append(node)
        while ready:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"mn\r\n")
                if await reader.readline() == b"MN\r\n":
                    writer.close()
                    break
            except OSError:
                if node.returncode is not None:
                    raise
            await asyncio.sleep(0.02)
        return node

    async def one(self, key: str, profile: str = "read", write: bool = False) -> str:
        """One transaction on a connection of its own: how it ended."""
        self.serial += 1
        tag = f"{self.serial:x}"
        head = f"Pc={profile},t=acme,d={int(LIMIT * 1000)}"
        text = f"ms {key} 1 O{tag} {head},k={tag}\r\nv\r\n" if write else f"mg {key} v O{tag} {head}\r\n"
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection(*self.address)
            writer.write(text.encode())
            got = await asyncio.wait_for(reader.readline(), LIMIT + 3)
            end = (
                "committed"
                if got[:2] in (b"VA", b"HD")
                else "rolled back"
                if got.startswith(b"SERVER_ERROR busy")
                else "abandoned"
                if got.startswith(b"SERVER_ERROR")
                else "lost"
                if not got
                else repr(got)
            )
            writer.close()
        except (OSError, TimeoutError):
            end = "lost"
        if not self.paused and time.monotonic() - began > LIMIT + SLACK:
            self.late += 1
        self.ends[end] += 1
        return end

    async def traffic(self, seconds: float) -> None:
        """All profiles, reads that hit and miss, for so long; bounded in number."""
        until, under_way = time.monotonic() + seconds, []
        for i in range(600):
            if time.monotonic() > until:
                break
            key, profile, write = (
                ("hit", "read", False),
                (f"w{i}", "put", True),
                (f"miss{i}", "read", False),
                (f"o{i}", "once", True),
            )[i % 4]
            under_way.append(asyncio.create_task(self.one(key, profile, write)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*under_way)

    def twice(self) -> int:
        """Writes that reached the origin twice, though their profile allows none or the window is over."""
        return sum(len(times) > 1 and times[-1] - times[0] > 0.3 for times in self.effects.values())


class Drills(unittest.TestCase):
    def play(self, scene, limit: float = 40, **changed) -> Drill:
        async def run() -> Drill:
            async with Drill(**changed) as town:
                town.note = lambda text: None
                await scene(town)
            return town

        return uvloop.run(asyncio.wait_for(run(), limit))

    def kept(self, town: Drill, **least: int) -> None:
        """The rules, as a client and the servers see them."""
        self.assertEqual((town.ends["lost"], town.late, town.twice()), (0, 0, 0), town.ends)
        for end, number in least.items():
            self.assertGreaterEqual(town.ends[end.replace("_", " ")], number, town.ends)

    def test_signals_while_it_starts(self):
        """It should serve on after SIGHUP, and end with 0 after SIGTERM, at whatever moment of its start they come."""

        async def scene(town: Drill) -> None:
            early = 0
            for wait in (0, 0.03, 0.06, 0.1, 0.2, 0.3):
                node = await town.launch(ready=False)
                early += await self.in_charge(node)
                await asyncio.sleep(wait)
                node.send_signal(signal.SIGHUP)
                node.terminate()
                self.assertEqual(await asyncio.wait_for(node.wait(), 5), 0, f"{wait} s later")
            self.assertTrue(early, "no signal was held back before the program was loaded")
            # From its very first moment on, where it is started with SIGHUP ignored; a reload comes through later.
            node = await town.launch(ready=False, shell="trap '' HUP; exec \"$@\"")
            await asyncio.sleep(0.05)  # for the shell
            for _ in range(200):
                node.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.002)
            await town.one("hit")
            self.assertEqual(await town.stop(node), 0)

        self.play(scene)

    def test_signals_while_it_ends(self):
        """It should end with 0 whatever else is signalled up to its very last moment."""

        async def scene(town: Drill) -> None:
            for number in signal.SIGHUP, signal.SIGTERM, signal.SIGINT:
                node = await town.launch()
                node.terminate()
                while node.returncode is None:
                    with contextlib.suppress(ProcessLookupError):
                        node.send_signal(number)
                    await asyncio.sleep(0.0005)
                self.assertEqual(node.returncode, 0, f"{number.name} behind SIGTERM")

        self.play(scene)

    async def seen(self, node: asyncio.subprocess.Process, what: str) -> str:
        """What the system says of it; a process that has ended is named with its status."""
        try:
            return Path(f"/proc/{node.pid}/{what}").read_text()
        except OSError:
            self.fail(f"it ended with {await node.wait()}")

    async def in_charge(self, node: asyncio.subprocess.Process) -> bool:
        """Wait until it holds signals back, or has its handlers; whether that was before its libraries were there."""
        for _ in range(2000):
            status = await self.seen(node, "status")
            if any(
                int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1
                for line in status.splitlines()
                if line.startswith(("SigBlk", "SigCgt"))
            ):
                return "uvloop" not in await self.seen(node, "maps")
            await asyncio.sleep(0.001)
        self.fail("it never took its signals")

    async def has_read(self, node: asyncio.subprocess.Process) -> None:
        """Wait until it has read its configuration: the library of its loop is loaded right after that."""
        for _ in range(2000):
            if "uvloop" in await self.seen(node, "maps"):
                return
            await asyncio.sleep(0.001)
        self.fail("it never read its configuration")

    def test_a_log_that_nobody_reads(self):
        """It should serve on, whether the reader stalls (a pipe, a socket), the disk is full, or there is no log."""

        async def scene(town: Drill) -> None:
            read_end, pipe = os.pipe()
            stalled, journal = socket.socketpair()
            full = os.open("/dev/full", os.O_WRONLY)
            for stderr in (pipe, journal.fileno(), full, None):
                node = await town.launch(stderr=stderr, shell="" if stderr is not None else 'exec "$@" 2>&-')
                for i in range(40):
                    await asyncio.gather(*(town.one("hit") for _ in range(25)))
                self.assertEqual(await town.stop(node), 0, stderr)
            os.close(read_end)
            os.close(pipe)
            os.close(full)
            stalled.close()
            journal.close()

        self.kept(self.play(scene, serve={"log_lines_per_s": 100_000}), committed=4000)

    def test_a_folder_that_cannot_be_used(self):
        """It should serve alone: folder gone, a file, not to be read or written, full of strange things."""

        async def scene(town: Drill) -> None:
            with tempfile.TemporaryDirectory() as top:
                odd = Path(top, "odd")
                odd.mkdir()
                name = "saltmoor-127.0.0.1-%d.sock" % town.address[1]
                Path(odd, name).mkdir()  # a folder where the socket should be
                Path(top, "file").write_text("x")
                closed, write_only = Path(top, "closed"), Path(top, "write-only")
                for path, mode in ((closed, 0o500), (write_only, 0o300)):
                    path.mkdir()
                    os.chmod(path, mode)
                for folder in (str(odd), f"{top}/file", f"{top}/gone", str(closed), str(write_only)):
                    node = await town.launch(folder=folder)
                    await town.one("hit")
                    self.assertEqual(await town.stop(node), 0, folder)
                self.assertEqual(sorted(os.listdir(odd)), [name])  # nothing is left behind

        self.kept(self.play(scene), committed=5)

    def test_a_stranger_at_the_socket_file(self):
        """It should serve alone where something else answers there, with garbage or with nothing."""

        async def scene(town: Drill) -> None:
            path = Path(town.folder.name, "saltmoor-127.0.0.1-%d.sock" % town.address[1])
            for said in (
                b'{"generation": "x", "list": 7}',
                b'{"generation": 9, "list": [{"hostPort": 3}]}',
                b"[]",
                b"\0",
            ):
                path.unlink(missing_ok=True)
                with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as stranger:
                    stranger.bind(str(path))
                    stranger.setblocking(False)
                    pairs = []

                    def answer() -> None:
                        _, fds, _, _ = socket.recv_fds(stranger, 4096, 8)
                        pairs.append(socket.socket(fileno=fds[0]))
                        pairs[-1].send(said)

                    asyncio.get_running_loop().add_reader(stranger, answer)
                    node = await town.launch()
                    await town.one("hit")
                    asyncio.get_running_loop().remove_reader(stranger)
                    self.assertEqual(await town.stop(node), 0, said)
                    for pair in pairs:
                        pair.close()

        self.kept(self.play(scene), committed=4)

    def test_a_process_that_stands_still_for_seconds(self):
        """It should answer what waited, hold no server for lost, and serve as before from the next moment on."""

        async def scene(town: Drill) -> None:
            node = await town.launch()
            traffic = asyncio.create_task(town.traffic(1.0))
            await asyncio.sleep(0.4)
            town.paused = True  # nobody can be in time meanwhile
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            node.send_signal(signal.SIGCONT)
            await traffic
            town.paused = False
            await asyncio.sleep(0.5)
            town.ends.clear()
            await town.traffic(1.0)
            self.assertEqual(await town.stop(node), 0)

        self.kept(self.play(scene), committed=60)

    def test_a_configuration_that_is_half_written(self):
        """It should keep the old one, in traffic, in an upgrade and while it ends, and lose nothing."""

        async def scene(town: Drill) -> None:
            node = await town.launch()
            whole = town.file.read_text()
            traffic = asyncio.create_task(town.traffic(1.0))
            for text in (
                whole[: len(whole) // 2],
                "",
                "[]",
                whole.replace('"deadline_ns": 1000000000', '"deadline_ns": 0'),
                whole.replace('"classes"', '"clasess"'),
                "[" * 100_000,
            ):
                town.file.write_text(text)
                node.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
            town.file.unlink()
            node.send_signal(signal.SIGHUP)
            await traffic
            town.file.write_text(whole)
            fresh = await town.launch(ready=False)
            traffic = asyncio.create_task(town.traffic(1.0))
            await self.has_read(fresh)  # what it starts with is whole: half of it ends a start, as below
            for text in (whole[:99], whole):
                await asyncio.sleep(0.2)
                town.file.write_text(text)
                node.send_signal(signal.SIGHUP)
                await self.in_charge(fresh)
                fresh.send_signal(signal.SIGHUP)
            await traffic
            self.assertEqual(await town.stop(fresh), 0)
            traffic = asyncio.create_task(town.traffic(0.3))
            town.file.write_text(whole[:99])
            fresh = await town.launch(ready=False)  # a start that this file ends, as the manual says
            self.assertEqual(await asyncio.wait_for(fresh.wait(), 10), 2)
            self.assertIsNone(node.returncode)
            await traffic
            town.file.write_text(whole)
            traffic = asyncio.create_task(town.traffic(0.3))
            await asyncio.sleep(0.1)
            node.terminate()
            node.send_signal(signal.SIGHUP)
            await traffic
            self.assertEqual(await asyncio.wait_for(node.wait(), 5), 0)

        self.kept(self.play(scene), committed=100)

    def test_servers_that_fall_silent_and_die(self):
        """It should answer all within their limits, do nothing twice, and serve again once they are back."""

        async def scene(town: Drill) -> None:
            node = await town.launch()
            traffic = asyncio.create_task(town.traffic(2.5))
            await asyncio.sleep(0.3)
            town.frozen.set()
            await asyncio.sleep(0.8)
            town.frozen.clear()
            town.hang_up()
            await asyncio.sleep(0.5)
            for server in town.servers[:2]:  # cache server and origin: nobody listens any more
                server.close()
            town.hang_up()
            await traffic
            held = town.ends["committed"]
            ports = [int(one["hostPort"].rpartition(":")[2]) for one in town.list]
            town.servers[:2] = [
                await asyncio.start_server(each, "127.0.0.1", port)
                for each, port in zip((town.cache, town.origin), ports)
            ]
            await asyncio.sleep(1.5)
            await town.traffic(1.0)
            self.assertGreater(town.ends["committed"], held + 30, town.ends)
            self.assertEqual(await town.stop(node), 0)

        self.kept(self.play(scene), committed=60)

    def test_discovery_that_dies_lies_and_returns(self):
        """It should go on with the last list, and follow the next one that can be read."""

        async def scene(town: Drill) -> None:
            node = await town.launch()
            await town.traffic(0.2)
            for news in (
                b"garbage\n",
                b'{"instances": 7}\n',
                b'{"instances": [{"instanceId": ""}, 3]}\n',
                b"[" * 50_000 + b"\n",
                b'{"generation": -1e300}\n',
                b"\xff\xfe\n",
            ):
                town.news.put_nowait(news)
                await town.traffic(0.2)
            town.servers[2].close()
            town.hang_up()
            await town.traffic(0.5)
            port = int(town.said["discovery"].rpartition(":")[2])
            town.news = asyncio.Queue()
            town.asked.clear()
            town.servers[2] = await asyncio.start_server(town.discovery, "127.0.0.1", port)
            await asyncio.wait_for(town.asked.wait(), 6)
            town.news.put_nowait(json.dumps({"reset": True, "instances": town.list}).encode() + b"\n")
            await town.traffic(0.3)
            self.assertEqual(await town.stop(node), 0)

        self.kept(self.play(scene), committed=100)

    def test_a_predecessor_that_hangs_and_goes_on(self):
        """Both should stay one node: half of the limits each, until the old one is gone; what waits there is served."""

        async def scene(town: Drill) -> None:
            old = await town.launch()
            old.send_signal(signal.SIGSTOP)
            log = Path(town.folder.name, "log")
            with log.open("wb") as sink:
                fresh = await town.launch(stderr=sink, ready=False)
            for _ in range(100):  # it waits for the old one for a while
                await asyncio.sleep(0.05)
                if "serving at" in log.read_text():
                    break
            self.assertIn("with half of the limits", log.read_text())
            waiting = [asyncio.create_task(town.one("hit")) for _ in range(20)]  # half of them at the one that hangs
            await asyncio.sleep(0.1)
            old.send_signal(signal.SIGCONT)
            await asyncio.gather(*waiting)
            traffic = asyncio.create_task(town.traffic(1.0))
            await asyncio.sleep(0.3)
            self.assertEqual(await town.stop(old), 0)
            await traffic
            self.assertRegex(log.read_text(), "sibling: gone; caps [0-9]+ connections")
            held = len(os.listdir(f"/proc/{fresh.pid}/fd"))
            await town.traffic(0.5)
            self.assertLess(len(os.listdir(f"/proc/{fresh.pid}/fd")), held + 20)
            self.assertEqual(await town.stop(fresh), 0)

        self.kept(self.play(scene), committed=150)

    def test_a_queue_counter_that_wraps(self):
        """It should take no notice of the figure, and go on sending there."""

        async def scene(town: Drill) -> None:
            node = await town.launch()
            await town.traffic(0.3)
            for figure in ("18446744073709551615", "-1", "nan", "inf", "1e308", "4294967294"):
                town.figure = figure
                await asyncio.sleep(0.6)  # what was known is old by then
                await town.traffic(0.2)
            self.assertEqual(await town.stop(node), 0)

        town = self.play(scene)
        self.kept(town, committed=100)
        self.assertEqual(town.ends["rolled back"], 0, town.ends)

    def test_restarts_in_a_loop_under_load(self):
        """What was open is lost with a kill; what reached the servers is done once, and the next process serves at once."""

        async def scene(town: Drill) -> None:
            for _ in range(4):
                node = await town.launch()
                town.ends.clear()
                await town.traffic(0.3)
                self.assertEqual(town.ends["lost"], 0)
                traffic = asyncio.create_task(town.traffic(0.2))
                await asyncio.sleep(0.1)
                node.kill()
                await node.wait()
                await traffic
            town.ends.clear()
            node = await town.launch()
            await town.traffic(0.5)
            self.assertEqual(await town.stop(node), 0)

        self.kept(self.play(scene), committed=30)


if __name__ == "__main__":
    unittest.main()
