"""Stand-ins for the cases: cache servers, an origin, discovery, clients, and the platform that starts nodes.

Standard library only. Everything listens on 127.0.0.1 at ports that the system deals out, runs in the process of the
case, and is bounded in time. Nodes are processes of their own, started by `run` of deploy/balancer.toml through /bin/sh.
"""

from __future__ import annotations

import array
import asyncio
import contextlib
import fcntl
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import termios
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: that says nothing of the rule."""


class Record:
    """What was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, who: str, what: str) -> None:
        self.file.write(f"{self.now():9.3f} {who:<12} {what}\n")

    def say(self, text: str) -> None:
        self("case", text)
        self.file.flush()
        print(text, flush=True)


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def serve(talk) -> tuple[asyncio.Server, int]:
    """A listener on a free port; `talk(reader, writer)` for each connection."""

    async def guarded(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await talk(reader, writer)
        with contextlib.suppress(OSError):
            writer.close()

    server = await asyncio.start_server(guarded, "127.0.0.1", 0, limit=8 << 20)
    return server, server.sockets[0].getsockname()[1]


def names(listed: bytes) -> dict[str, str]:
    return dict(pair.split("=", 1) for pair in listed.decode("latin-1").split(",") if "=" in pair)


class Cache:
    """A sound cache server behind which nodes fetch: stores, answers in order, tells its load."""

    def __init__(self, name: str, record: Record, zone: str = "a", kind: str = "std", cell: int = 0) -> None:
        self.name, self.record, self.zone, self.kind, self.cell = name, record, zone, kind, cell
        self.store: dict[bytes, bytes] = {}
        self.state, self.started, self.open, self.work = "up", 0, 0, 0.002
        self.missed: set[str] = set()  # requests that found no copy here
        self.runs: list[tuple[float, str, str]] = []  # when, id, verb

    async def start(self) -> None:
        self.server, self.port = await serve(self.talk)

    def line(self) -> dict:
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": self.state,
            "weight": 1.0,
            "startedAtMs": self.started,
        }

    async def talk(self, reader, writer) -> None:
        while line := await reader.readline():
            words = line.split()
            if not words:
                continue
            value = b""
            if words[0] == b"ms":
                value = (await reader.readexactly(int(words[2]) + 2))[:-2]
            if words[0] == b"mn":
                said = b"MN\r\n"
            elif words[0] == b"stats":
                said = b"STAT queue %d\r\nEND\r\n" % self.open
            elif words[0] in (b"mg", b"ms"):
                ident = next(word[1:] for word in words if word[:1] == b"O")
                attrs = names(next(word[1:] for word in words if word[:1] == b"P"))
                self.record(self.name, f"got {words[0].decode()} {ident.decode()} bytes={len(value)} d={attrs.get('d')}")
                self.open += 1
                try:
                    said = await self.answer(words[0], words[1], ident, value, attrs)
                finally:
                    self.open -= 1
                if said is None:
                    return
                self.record(self.name, f"said {ident.decode()} {said[:40].split(b' O')[0].decode('latin-1').strip()!r}")
            else:
                said = b"ERROR\r\n"
            writer.write(said)
            await writer.drain()

    async def answer(self, verb: bytes, key: bytes, ident: bytes, value: bytes, attrs: dict) -> bytes | None:
        self.runs.append((self.record.now(), ident.decode(), verb.decode()))
        await asyncio.sleep(self.work)
        if verb == b"ms":  # writes go to the origin; a cache server answers them as a miss
            return b"EN O%b\r\n" % ident
        if key not in self.store:
            self.missed.add(ident.decode())
            return b"EN O%b\r\n" % ident
        return b"VA %d O%b\r\n%b\r\n" % (len(self.store[key]), ident, self.store[key])


class Origin(Cache):
    """A sound origin over HTTP/1.1: what it gives is stored where the request missed, a write drops the copies."""

    def __init__(self, name: str, record: Record, caches: list[Cache]) -> None:
        super().__init__(name, record, kind="origin", cell=-1)
        self.caches, self.work = caches, 0.02

    async def talk(self, reader, writer) -> None:
        while line := await reader.readline():
            verb, path, _ = line.split()
            headers = {}
            while (line := (await reader.readline()).strip()):
                name, _, text = line.partition(b":")
                headers[name.strip().lower()] = text.strip()
            body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
            if path in (b"/healthz", b"/load"):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                continue
            ident = headers[b"x-request-id"].decode()
            d = names(headers[b"x-attrs"]).get("d")
            self.record(self.name, f"got {verb.decode()} {ident} bytes={len(body)} d={d}")
            self.open += 1
            try:
                go_on = await self.reply(writer, verb, path[1:], ident, body)
            finally:
                self.open -= 1
            if not go_on:
                return
            await writer.drain()

    async def reply(self, writer, verb: bytes, key: bytes, ident: str, body: bytes) -> bool:
        """Write the whole answer; false where the connection is to end."""
        self.runs.append((self.record.now(), ident, verb.decode()))
        await asyncio.sleep(self.work)
        said = b"R" + ident.encode() if verb == b"PUT" else b"value of " + key
        self.copy(verb, key, ident, said)
        self.record(self.name, f"said 200 {ident}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(said), said))
        return True

    def copy(self, verb: bytes, key: bytes, ident: str, said: bytes) -> None:
        """What is stored and dropped at the cache servers when this request is answered."""
        for cache in self.caches:
            if verb == b"PUT":
                cache.store.pop(key, None)
            elif ident in cache.missed:
                cache.missed.discard(ident)
                cache.store[key] = said


class Discovery:
    """The whole list, and watches on its changes; an empty line every 2 s."""

    def __init__(self, record: Record, servers: list[Cache]) -> None:
        self.record, self.servers, self.generation = record, servers, 1
        self.watches: set[asyncio.Queue] = set()

    async def start(self) -> None:
        self.server, self.port = await serve(self.talk)

    def whole(self) -> dict:
        return {"generation": self.generation, "reset": True, "instances": [one.line() for one in self.servers]}

    def change(self, *servers: Cache) -> None:
        self.generation += 1
        news = {"generation": self.generation, "reset": False, "instances": [one.line() for one in servers]}
        self.record("discovery", f"told {[(one.name, one.state) for one in servers]}")
        for queue in self.watches:
            queue.put_nowait(news)

    async def talk(self, reader, writer) -> None:
        line = await reader.readline()
        while (await reader.readline()).strip():
            pass
        said = json.dumps(self.whole()).encode() + b"\n"
        if b"stream=1" not in line:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(said), said))
            await writer.drain()
            return
        queue: asyncio.Queue = asyncio.Queue()
        self.watches.add(queue)
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"%x\r\n%b\r\n" % (len(said), said))
                await writer.drain()
                try:
                    said = json.dumps(await asyncio.wait_for(queue.get(), 2.0)).encode() + b"\n"
                except TimeoutError:
                    said = b"\n"
        finally:
            self.watches.discard(queue)


class Node:
    """One node: a process that the platform starts, watches and ends."""

    def __init__(self, name: str, record: Record, folder: Path, settings: dict, discovery: Discovery, **limits) -> None:
        self.name, self.record, self.limits = name, record, {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits
        self.port, self.folder, self.process, self.peak = free_port(), folder / name, None, 0
        self.before: list[subprocess.Popen] = []  # processes of this node that another one has replaced
        self.admin = 0
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir(parents=True)
        self.settings, self.discovery = settings, discovery
        self.write_config()

    def write_config(self) -> None:
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": self.discovery.whole(),
            "settings": self.settings,
        }
        fresh = self.folder / "config.new"
        fresh.write_text(json.dumps(config))
        fresh.rename(self.folder / "config.json")

    async def start(self, ready: str = "mn") -> None:
        """Start a process of it; `ready`: it is used once `mn` is answered, or the second address says yes."""
        self.admin = free_port()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        keep = {key: os.environ[key] for key in ("PATH", "LANG", "LC_ALL") if key in os.environ}
        env = keep | {
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"127.0.0.1:{self.port}",
            "ROUTER_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "ROUTER_CONFIG": str(self.folder / "config.json"),
            "ROUTER_ADMIN_ADDR": f"127.0.0.1:{self.admin}",
            "TMPDIR": str(self.tmp),
        }
        self.log = open(self.folder / "log", "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.record("platform", f"started {self.name} pid={self.process.pid} limits={self.limits}")
        until = time.monotonic() + 30
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended at its start: {(self.folder / 'log').read_text()[-500:]}")
            with contextlib.suppress(OSError, TimeoutError):
                if await (self.answers() if ready == "mn" else self.says_yes()):
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    async def answers(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"mn\r\n")
        said = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return said == b"MN\r\n"

    async def says_yes(self) -> bool:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        writer.write(b"GET /_ready HTTP/1.1\r\nHost: node\r\n\r\n")
        said = await asyncio.wait_for(reader.readline(), 1)
        writer.close()
        return b" 200 " in said

    async def upgrade(self, longest: float) -> None:
        """A second process beside the running one; at its yes the old one gets SIGTERM, and SIGKILL once its time is over."""
        old = self.process
        self.before.append(old)
        await self.start("yes")
        old.send_signal(signal.SIGTERM)
        self.record("platform", f"SIGTERM to {self.name} pid={old.pid}, pid={self.process.pid} takes its place")
        until = time.monotonic() + min(longest, 3.0) + 0.7
        while old.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if old.poll() is None:
            old.kill()
            self.record("platform", f"SIGKILL to {self.name} pid={old.pid}")

    def memory_mb(self) -> float:
        """What the process alone holds now, in MB: no mapped files, which others may share; its peak is kept."""
        held = 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(("RssAnon:", "RssShmem:")):
                    held += int(line.split()[1]) / 1024
        self.peak = max(self.peak, held)
        return held

    def end(self) -> None:
        for process in (*self.before, self.process):
            if process and process.poll() is None:
                process.kill()
                process.wait()


def acknowledged(writer) -> bool:
    """Whether the node's machine has every byte that was written."""
    left = array.array("i", [0])
    fcntl.ioctl(writer.get_extra_info("socket").fileno(), termios.TIOCOUTQ, left)
    return left[0] == 0 and writer.transport.get_write_buffer_size() == 0


async def read_answer(reader) -> bytes:
    """One whole answer's first line, b"" where the connection ended before it was whole."""
    line = await reader.readline()
    if not line.endswith(b"\n"):
        return b""
    if line.startswith(b"VA "):
        await reader.readexactly(int(line.split()[1]) + 2)
    return line


def request_id(number: int) -> str:
    return f"{(number * 0x9E3779B97F4A7C15) & (2**64 - 1):016x}"


def play(case, folder: str) -> None:
    """Run a case to its verdict within 110 s, end what it started, and exit with the verdict."""
    here = Path(folder).resolve()
    record, verdict = Record(here), NOT_RUN
    temp, nodes = Path(tempfile.mkdtemp(prefix="saltmoor-review-")), []
    record.say(f"trouble={'on' if TROUBLE else 'off'}")

    async def bounded() -> int:
        try:
            async with asyncio.timeout(110):
                return await case(record, temp, nodes)
        finally:  # while the stand-ins still answer
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                if task.get_name().startswith("client"):
                    task.cancel()
            for node in nodes:
                node.end()
            await asyncio.sleep(0.2)

    try:
        verdict = asyncio.run(bounded())
    except CannotRun as error:
        record.say(f"could not run: {error}")
    except Exception as error:  # a fault of the case itself
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        for node in nodes:
            node.end()
            with contextlib.suppress(OSError):
                text = (node.folder / "log").read_text(errors="replace")
                record.file.write(f"--- log of {node.name}, its last lines\n{text[-6000:]}\n")
        shutil.rmtree(temp, ignore_errors=True)
        record.say(f"verdict: {('the rule held', 'the rule was broken', 'the case could not run')[verdict]}")
        record.file.close()
    sys.exit(verdict)
