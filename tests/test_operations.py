"""What staff do to a running node: calls at the second address, drains, upgrades; each compared with a kept trace."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from unittest import mock

import uvloop

from saltmoor.guard import ends
from tests.helper import Town, TraceCase, read, reserve, write


class Operated(Town):
    def __init__(self, **changed) -> None:
        super().__init__(**{"admin_addr": "127.0.0.1:0"} | changed)

    async def call(self, text: str, quiet: bool = False) -> None:
        """One call at the second address; its status, the headers that matter and its body are noted."""
        reader, writer = await asyncio.open_connection(*self.service.admin.listener.getsockname()[:2])
        writer.write(text.encode())
        got = (await asyncio.wait_for(reader.read(), 1)).decode()
        writer.close()
        head, _, body = got.partition("\r\n\r\n")
        allow = "".join(f" ({line})" for line in head.split("\r\n") if line.startswith("Allow"))
        said = text.split(" HTTP")[0] if len(text) < 200 else "a long head"
        if not quiet:
            self.note(f"{said!r}: {head.split(' ', 1)[-1].split(chr(13))[0]}{allow}, {body.strip()}")

    async def post(self, path: str) -> None:
        await self.call(f"POST {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n")


class Operations(TraceCase):
    def play(self, name: str, scene, **changed) -> None:
        async def run() -> Town:
            async with Operated(**changed) as town:
                await scene(town)
            return town

        with mock.patch.multiple(ends, SPREAD_FROM=500_000, MOST_READS=700_000, STRAY=50_000):
            self.check(name, uvloop.run(asyncio.wait_for(run(), 20)))

    def test_calls_are_answered_whatever_others_do(self):
        """Guards against callers that finish nothing, calls that cannot be read, and clients' reads held back."""

        async def scene(town: Operated) -> None:
            address = town.service.admin.listener.getsockname()[:2]
            stuck = [await asyncio.open_connection(*address) for _ in range(12)]
            for _, writer in stuck[::2]:
                writer.write(b"GET /_re")
            town.service.door.ran = lambda late, passed: 0.0  # no client is read from
            await asyncio.sleep(0.02)
            for text in (
                "GET /_ready HTTP/1.1\r\nHost: n\r\n\r\n",
                "POST /_ready HTTP/1.1\r\nHost: n\r\n\r\n",
                "GET /_lameduck/on HTTP/1.1\r\n\r\n",
                "GET /other HTTP/1.1\r\n\r\n",
                "what\r\n\r\n",
                "GET /_ready HTTP/1.1\r\nX: " + "x" * 9000,
            ):
                await town.call(text)
            town.note(f"calls open: {len(town.service.admin.calls) <= 8}")
            ended = [reader for reader, _ in stuck if reader.at_eof()]
            town.note(f"ended to make room, the longest open first: {len(ended) < 12}, {stuck[0][0] in ended}")
            for _, writer in stuck:
                writer.close()

        self.play("ops-calls", scene)

    def test_a_drained_node_sends_its_clients_away_and_loses_nothing(self):
        """Guards against a drain that goes on taking clients, holds them idle, or cuts what is open."""

        async def scene(town: Operated) -> None:
            # In which order the cache server gets what several connections asked is left open.
            town.note = lambda text: text.startswith("  cache") or town.lines.append(text)
            idle, slow, half, pipe = [await town.client() for _ in range(4)]
            await idle.ask("mn\r\n")
            half.say(read("hit", "2")[:12])
            await town.post("/_lameduck/on")
            await town.post("/_lameduck/on")
            await idle.ask("mn\r\n")
            await idle.ask(write("farm", tag="3"))
            slow.say(read("slow", "1"))
            pipe.say(read("slow", "4") + read("hit", "5"))
            fresh = await town.client()
            await fresh.ask("mn\r\n")
            await half.ask(read("hit", "2")[12:])
            await slow.hear(2)
            await pipe.hear(3)
            await idle.hear()
            await fresh.hear()
            await town.until_ended("client", 5)
            town.codes("client")
            await town.post("/_lameduck/off")
            await town.post("/_lameduck/off")
            back = await town.client()
            await back.ask("mn\r\n")
            await asyncio.sleep(0.3)
            await back.ask(read("hit", "6"))

        self.play("ops-drain", scene)

    def test_a_crowd_makes_room_and_who_is_in_the_middle_of_a_command_stays(self):
        """Guards against connections that say nothing, or have asked once, shutting out those that ask."""

        async def scene(town: Operated) -> None:
            half = [await town.client() for _ in range(6)]
            for i, one in enumerate(half):
                one.writer.write(read("hit", f"a{i}")[:15].encode())
            silent = [await town.client() for _ in range(30)]
            await asyncio.sleep(0.05)
            for i in range(30):
                one = await town.client()
                one.writer.write(read("hit", f"b{i}").encode())
                got = await asyncio.wait_for(one.reader.readline(), 1)
                town.lines.append(f"{i}: {got.decode()!r}") if not got.startswith(b"VA") else None
            served = 0
            for i, one in enumerate(half):
                one.writer.write(read("hit", f"a{i}")[15:].encode())
                served += (await asyncio.wait_for(one.reader.readline(), 1)).startswith(b"VA")
            town.note(f"half written and finished later, served: {served}")
            clients = town.service.clients
            town.note(f"within the cap: {len(clients.clients) <= clients.caps.clients + 16}")
            town.note(f"silent ones that went: {sum(one.reader.at_eof() for one in silent) > 20}")
            town.note(f"counted right: {clients.leaving == sum(bool(one.ending) for one in clients.clients)}")

        self.play("ops-crowd", scene, limits={"sockets": 72})

    def test_a_stop_in_the_middle_of_a_drain(self):
        async def scene(town: Operated) -> None:
            slow = await town.client()
            await town.post("/_lameduck/on")
            slow.say(read("slow", "1"))
            await asyncio.sleep(0.02)
            os.kill(os.getpid(), signal.SIGTERM)
            os.kill(os.getpid(), signal.SIGHUP)
            await slow.hear(2)
            await town.running
            town.codes("client")

        self.play("ops-drain-stop", scene, serve={"linger_ms": 50})


class Twins(Town):
    """Real processes of one node, one beside or after the other, on one address and one folder."""

    async def __aenter__(self) -> Twins:
        await self.stage()
        self.folder = tempfile.TemporaryDirectory()
        self.reserved.append(reserve())
        self.address = self.reserved[-1].getsockname()
        self.file = Path(self.folder.name, "config.json")
        self.file.write_text(json.dumps(self.said | {"listen": "%s:%d" % self.address}))
        self.nodes: list[asyncio.subprocess.Process] = []
        self.good = self.bad = self.new = 0
        return self

    async def __aexit__(self, *_) -> None:
        for node in self.nodes:
            if node.returncode is None:
                node.kill()
            await node.wait()
        await self.strike()
        self.folder.cleanup()

    async def start(self) -> asyncio.subprocess.Process:
        """A process of the node, once it says that it is ready."""
        self.reserved.append(reserve())
        address = self.reserved[-1].getsockname()
        env = os.environ | {"TMPDIR": self.folder.name, "ROUTER_ADMIN_ADDR": "%s:%d" % address}
        node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "saltmoor",
            "serve",
            f"--config={self.file}",
            env=env,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.nodes.append(node)
        while True:
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /_ready HTTP/1.1\r\n\r\n")
                said = await reader.read()
                writer.close()
                if said.startswith(b"HTTP/1.1 200"):
                    return node
            except OSError:
                if node.returncode is not None:
                    raise
            await asyncio.sleep(0.02)

    async def stop(self, node: asyncio.subprocess.Process) -> int:
        node.terminate()
        return await asyncio.wait_for(node.wait(), 5)

    async def load(self, name: int, keep: bool) -> None:
        """Ask on and on, on one connection or on ever new ones; what ends without an answer is counted."""
        count, reader, writer = 0, None, None
        while True:
            count += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.address)
                    self.new += 1
                key = "slow" if count % 5 == 0 else "hit"
                writer.write(read(key, f"{name:x}{count:x}").encode())
                got = await reader.readline() + await reader.readline()
                good = got == f"VA {len(key)} O{name:x}{count:x}\r\n{key}\r\n".encode()
            except OSError:
                good = False
            self.good, self.bad = self.good + good, self.bad + (not good)
            if not good or not keep:
                writer = writer and writer.close()
            await asyncio.sleep(0.002)


class Upgrades(TraceCase):
    def play(self, name: str, scene) -> None:
        async def run() -> Twins:
            async with Twins() as twins:
                twins.note = lambda text: None  # what the stand-ins hear depends on the load
                await scene(twins, twins.lines.append)
            return twins

        self.check(name, uvloop.run(asyncio.wait_for(run(), 40)))

    def test_a_successor_takes_over_and_no_client_notices(self):
        """Guards against connections refused, reset or left unread while the program is replaced."""

        async def scene(town: Twins, note) -> None:
            node = await town.start()
            loads = [asyncio.create_task(town.load(i + 1, keep=i % 2 == 0)) for i in range(16)]
            for turn in range(4):
                await asyncio.sleep(0.2)
                fresh = await town.start()
                before = town.good
                note(f"upgrade {turn + 1}: the old one exits with {await town.stop(node)}")
                await asyncio.sleep(0.2)
                note(f"served on: {town.good - before > 50}")
                node = fresh
            for load in loads:
                load.cancel()
            note(f"many: {town.good > 500 and town.new > 200}, without an answer: {town.bad}")

        self.play("ops-upgrade", scene)

    def test_the_one_that_is_left_serves_alone(self):
        """Guards against a successor that dies, a predecessor that dies or hangs, and files left behind."""

        async def scene(town: Twins, note) -> None:
            meeting = Path(town.folder.name, "saltmoor-127.0.0.1-%d.sock" % town.address[1])
            meeting.write_text("not a socket")
            first = await town.start()
            note(f"beside a strange file: serves, and replaces it: {meeting.is_socket()}")
            await (caller := await town.client()).ask(read("hit"))
            second = await town.start()
            second.kill()
            await second.wait()
            await caller.ask(read("hit", "2"))
            note("its successor killed: serves on")
            second = await town.start()
            first.kill()
            await first.wait()
            await (caller := await town.client()).ask(read("hit", "3"))
            note("the predecessor killed: the successor serves")
            os.kill(second.pid, signal.SIGSTOP)
            third = await town.start()
            second.kill()
            await second.wait()
            await (await town.client()).ask(read("hit", "4"))
            note("beside one that hangs: serves, by a queue of its own")
            third.kill()
            await third.wait()
            last = await town.start()
            await (await town.client()).ask(read("hit", "5"))
            note(f"a file left behind: serves; stopped alone it exits with {await town.stop(last)}")

        self.play("ops-left", scene)
