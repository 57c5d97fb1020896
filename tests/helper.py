"""Drives one Node with scripted events on a scripted clock, or a whole node on loopback sockets; prints what
it decides and says, a line each."""

from __future__ import annotations

import asyncio
import contextlib
import difflib
import io
import os
import re
import signal
import socket
import time
import unittest
from collections.abc import Awaitable
from pathlib import Path
from typing import TypeVar

from saltmoor import config, model
from saltmoor.choice import Node
from saltmoor.model import Ended, Readiness, Repeat
from saltmoor.net import lifecycle

TRACES = Path(__file__).parent / "traces"
MS = 1000
READ, JOURNALLED, ONCE = 0, 1, 2
Result = TypeVar("Result")
VALUE = bytes(i * i % 251 for i in range(3_000_001))


class Script:
    """Times are in milliseconds here; servers are the numbers 1, 2, ...; the origin is 99."""

    def __init__(self, servers: int = 3, origin: bool = False, **changed) -> None:
        self.now, self.lines, self.wakes = 0, [], []
        settings = {
            "profiles": [
                model.Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT),
                model.Profile(500 * MS, 1000 * MS, Repeat.JOURNALLED, window=300 * MS),
                model.Profile(500 * MS, 1000 * MS, Repeat.NON_IDEMPOTENT),
            ],
            "quotas": [],
            "permits": model.Permits(hops=4, copies=False, cancel=True, probes=True),
            "prices": model.Prices(),
            "cold": model.ColdStart(0.25, 10_000 * MS, 4.0, 1000 * MS),
            "listing": model.Listing(),
            "place": model.Place(),
            "origin_kind": 1 if origin else None,
            "columns": ["queue"],
            "tick": 5 * MS,
        } | changed
        self.node = Node(1, 0, **settings)
        self.list(model.ListKind.REMEMBERED, *range(1, servers + 1), *([99] if origin else []))

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now:6} {text}")

    def told(self) -> None:
        self.node.settle(self.now * MS)
        for effect in self.node.effects:
            match effect:
                case model.Send(tx, server, _):
                    self.last = server
                    self.note(f"   tx {tx} -> server {server}")
                case model.RollBack(tx, hint):
                    self.note(f"   tx {tx} rolled back, hint {hint // MS} ms")
                case model.Abandon(tx):
                    self.note(f"   tx {tx} abandoned")
                case model.Cancel(tx, hop):
                    self.note(f"   tx {tx} cancels hop {hop}")
                case model.Probe(server):
                    self.note(f"   probe server {server}")
                case model.Wake(at, token):
                    self.wakes.append((-(-at // MS), token))
                case model.CloseIdle(server):
                    self.note(f"   closes what stands idle to server {server}")
                case model.WatchList():
                    self.note("   watch the list")
                case model.Log(line):
                    self.note(f"   log: {line}")
        self.node.effects.clear()

    def list(self, kind: model.ListKind, *servers: int, state: Readiness = Readiness.READY, started: int = 0) -> None:
        lines = [model.Member(one, 0, int(one == 99), 0, state, 1.0, started * MS) for one in servers]
        self.note(f"list {kind.value}: {list(servers)} {state.name.lower()}")
        self.node.listed(self.now * MS, kind, lines)
        self.told()

    def tx(self, number: int, profile: int = READ, key: int | None = 7, write: bool = False, left: int = 1000) -> None:
        self.note(f"tx {number} comes: {self.node.profiles[profile].repeat.value} key {key}")
        limit = (self.now + left) * MS
        self.node.arrived(self.now * MS, model.Arrival(number, profile, None, key, limit, write=write))
        self.told()

    def queue(self, server: int, length: float | None) -> None:
        """The answer to a probe; None: no connection."""
        self.note(f"server {server} queue {length}")
        end, load = (Ended.NO_CONNECTION, ()) if length is None else (Ended.COMMITTED, (length,))
        self.node.probed(self.now * MS, server, end, MS, load)
        self.told()

    def ends(self, tx: int, hop: int, server: int, how: Ended, took: int = 50, note: int = 0) -> None:
        self.note(f"tx {tx} hop {hop} {how.value[0]}{' behind a miss' if note > 1 else ''}")
        closed = how is Ended.COMMITTED
        self.node.hop_ended(self.now * MS, model.HopEnd(tx, hop, server, how, took * MS, closed, note))
        self.told()

    def wait(self, ms: int) -> None:
        end = self.now + ms
        while due := sorted(wake for wake in self.wakes if wake[0] <= end):
            at, token = due[0]
            self.wakes.remove(due[0])
            self.now = max(self.now, at)
            self.node.woken(self.now * MS, token)
            self.told()
        self.now = end

    def served(self, tx: int, server: int, **kind) -> None:
        """One ordinary transaction from start to end."""
        self.tx(tx, **kind)
        self.queue(server, 0)
        self.wait(50)
        self.ends(tx, 0, server, Ended.COMMITTED)


class Notes:
    """Lines for a kept trace, where there is no script."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def note(self, line: str) -> None:
        self.lines.append(line)


class TraceCase(unittest.TestCase):
    maxDiff = None

    def check(self, name: str, script: Script | Town) -> None:
        """Compare with the trace kept in tests/traces; a missing one is written down, and fails once."""
        path, got = TRACES / f"{name}.txt", "\n".join(script.lines) + "\n"
        if not path.exists():
            path.write_text(got)
            self.fail(f"no trace {path.name} was kept: it is written now, read it")
        kept = path.read_text().splitlines()
        diff = "\n".join(difflib.unified_diff(kept, got.splitlines(), "kept", "got", lineterm=""))
        self.assertFalse(diff, f"\n{diff}")


def settings(**changed) -> dict:
    """The settings object of a small deployment, in the operators' names."""
    base = {"aim_ns": 500 * MS * 1000, "deadline_ns": 1000 * MS * 1000}
    return {
        "classes": [
            {"name": "read", "repeat": "idempotent", **base},
            {"name": "put", "repeat": "deduplicated", "key_ttl_ns": 300 * MS * 1000, **base},
            {"name": "once", "repeat": "at_most_once", **base},
        ],
        "tenants": [{"name": "acme", "quota_per_s": 100}],
        "azs": ["a", "b"],
        "kinds": ["m1", "origin"],
        "permissions": {
            "max_attempts": 3,
            "cancel": True,
            "probes": True,
            "conn_idle_ns": 400 * MS * 1000,
            "connect_timeout_ns": 100 * MS * 1000,
        },
        "family_info": {"mode": "aside", "origin_kind": 1},
        "report": {"how": "on_probe", "columns": ["queue"]},
        "membership_mode": "subscribe",
        "rules": {"ask_within_ns": 9000 * MS * 1000},
    } | changed


def reserve(host: str = "127.0.0.1") -> socket.socket:
    """A loopback port that a process of this test can listen at, and that nobody else is given while this is open.

    Guards against another process, which runs beside this one, being given the port of a server that is down or not
    up yet. Bound and never listening, it takes no connection: who connects meanwhile is refused.
    """
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    for option in socket.SO_REUSEADDR, socket.SO_REUSEPORT:
        held.setsockopt(socket.SOL_SOCKET, option, 1)
    held.bind((host, 0))
    return held


TICK = 0.01  # seconds between two looks of `within`


async def within(seconds: float, work: Awaitable[Result]) -> Result:
    """Wait for `work`, at most for so many seconds in which this process ran; raises TimeoutError after them.

    A pause in which the machine gave this process no turn counts as one tick. Guards against a verdict on the machine:
    a test that bounds how soon the node acts must not fail as the machine ran neither of the two.
    """
    task, left = asyncio.ensure_future(work), seconds
    try:
        while left > 0 and not task.done():
            before = time.monotonic()
            await asyncio.wait({task}, timeout=TICK)
            left -= min(time.monotonic() - before, 2 * TICK)
        if not task.done():
            raise TimeoutError(f"not within {seconds} s")
        return task.result()
    finally:
        task.cancel()


class Town:
    """A node on loopback sockets with one cache server, the origin and discovery, all scripted.

    A key says what the cache server does with it: hit, miss, busy, fail, cut (the connection ends), slow (an
    answer after 150 ms), mute (none), refuse (the command is malformed), odd (an answer to something else).
    Every command it gets is noted.
    """

    def __init__(self, **changed) -> None:
        self.lines, self.writers, self.logged, self.heard = [], [], io.StringIO(), 0
        self.changed, self.asked = changed, asyncio.Event()
        self.news: asyncio.Queue[bytes] = asyncio.Queue()
        self.silenced = self.news

    async def stage(self) -> None:
        """Build everything but the node."""
        self.reserved = [reserve() for _ in range(3)]  # so that each can be closed and come back
        cache, origin, discovery = ports = [one.getsockname()[1] for one in self.reserved]
        self.servers = [
            await asyncio.start_server(each, "127.0.0.1", port)
            for each, port in zip((self.cache, self.origin, self.discovery), ports)
        ]
        self.list = [
            {"instanceId": "s1", "hostPort": f"127.0.0.1:{cache}", "zone": "a", "machineType": "m1", "lifecycle": "up"},
            {"instanceId": "o", "hostPort": f"127.0.0.1:{origin}", "machineType": "origin", "lifecycle": "up"},
        ]
        self.said = {
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "1",
            "known": {"generation": 7, "instances": self.list},
            "settings": settings(),
        } | self.changed

    async def __aenter__(self) -> Town:
        self.quiet = contextlib.redirect_stderr(self.logged)
        self.quiet.__enter__()
        await self.stage()
        self.service = lifecycle.Service(config.parse(self.said, {}), lambda: config.parse(self.said, {}))
        self.address = self.service.listener.getsockname()
        self.running = asyncio.create_task(self.service.run())
        await self.asked.wait()
        return self

    async def __aexit__(self, *_) -> None:
        if not self.running.done():
            os.kill(os.getpid(), signal.SIGTERM)
            await self.running
        await self.strike()
        self.quiet.__exit__(None, None, None)

    async def strike(self) -> None:
        """Take down what `stage` built."""
        for server in *self.servers, *self.reserved:
            server.close()
        for _ in range(2):
            self.news.put_nowait(b"")
            self.silenced.put_nowait(b"")
        self.hang_up()
        await asyncio.sleep(0.01)  # the scripted servers see their ends

    def hang_up(self) -> None:
        """Close every connection from the servers' side."""
        for writer in self.writers:
            writer.close()

    def note(self, text: str) -> None:
        self.lines.append(text)

    def codes_of(self, side: str) -> list[str]:
        """How connections of that side ended, since `codes` was last called."""
        lines = self.logged.getvalue().splitlines()[self.heard :]
        return [line.split("code=")[1].split()[0] for line in lines if f"end {side} " in line]

    def codes(self, side: str) -> None:
        """Note how connections of that side ended, since the last time."""
        ends = self.codes_of(side)
        self.heard = len(self.logged.getvalue().splitlines())
        self.note(f"ended {side}: {' '.join(sorted(ends))}")

    async def until_ended(self, side: str, count: int) -> None:
        """Wait until so many connections of that side have ended, for a second at most.

        Guards against a look at the log between the end that a client hears and the node's hearing of the client's.
        """
        until = time.monotonic() + 1.0
        while len(self.codes_of(side)) < count and time.monotonic() < until:
            await asyncio.sleep(0.005)

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            if line == "stats load\r\n":
                writer.write(b"STAT queue 0\r\nEND\r\n")
                continue
            self.note("  cache gets " + re.sub(r"d=\d+", "d=..", line.strip()))
            _, key, *flags = line.split()
            tag = next(flag for flag in flags if flag.startswith("O"))
            if key == "mute":
                await reader.read()
            if key in ("cut", "mute"):
                break
            if key.startswith("big"):
                if not await self.big(writer, key, tag):
                    break
                continue
            await asyncio.sleep(0.15 if key == "slow" else 0)
            answers = {
                "miss": f"EN {tag}",
                "busy": "SERVER_ERROR busy",
                "fail": "SERVER_ERROR failed",
                "odd": "VA 1 Oother\r\nx",
                "refuse": "CLIENT_ERROR no",
            }
            if key.startswith("miss"):
                answers[key] = f"EN {tag}"
            writer.write(answers.get(key, f"VA {len(key)} {tag} h1\r\n{key}").encode() + b"\r\n")
        writer.close()

    async def big(self, writer: asyncio.StreamWriter, key: str, tag: str) -> bool:
        """A large value in pieces of odd size; cut in the middle, or wrong at its end, where the key says so."""
        body = VALUE + (b"xx" if key == "bigbad" else b"\r\n")
        body = f"VA {len(VALUE)} {tag} h1\r\n".encode() + (body[:2_000_000] if key == "bigcut" else body)
        for at in range(0, len(body), 99_991):
            writer.write(body[at : at + 99_991])
            await writer.drain()
        return key == "big"

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            head = line + (await reader.readuntil(b"\r\n\r\n")).decode()
            method, path, _ = head.split(" ", 2)
            length = re.search(r"Content-Length: (\d+)", head)
            body = await reader.readexactly(int(length[1])) if length else b""
            tag = re.search("X-Request-ID: (.*)", head)[1].strip()
            shown = repr(body) if len(body) < 100 else f"{len(body)} bytes, as sent: {body == VALUE[: len(body)]}"
            self.note(f"  origin gets {method} {path} {tag} {shown}")
            if path == "/cut":
                break
            if path.startswith("/miss-"):
                head = "HTTP/1.1 200 OK\r\nX-Note: \r\n"
                pieces = [VALUE[at : at + 70_001] for at in range(0, len(VALUE), 70_001)]
                if path == "/miss-chunked":
                    head += "Transfer-Encoding: chunked\r\n"
                    pieces = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces] + [b"0\r\n\r\n"]
                elif path != "/miss-toend":
                    head += f"Content-Length: {len(VALUE)}  \r\n"
                writer.write(head.encode() + b"\r\n")
                for piece in pieces[: 20 if path == "/miss-cut" else None]:
                    writer.write(piece)
                    await writer.drain()
                if path in ("/miss-toend", "/miss-cut"):
                    break
                continue
            status = {"/full": "503 Busy\r\nX-Not-Processed: 1", "/error": "500 Error"}.get(path, "200 OK")
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 4\r\n\r\nmade".encode())
        writer.close()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        path = (await reader.readuntil(b"\r\n\r\n")).decode().split()[1]
        self.note(f"  discovery is asked from {path.rpartition('=')[2]}")
        self.asked.set()
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        queue = self.news
        while news := await queue.get():
            writer.write(b"%x\r\n%b\r\n" % (len(news), news))
        writer.close()

    async def second_discovery(self) -> str:
        """Another one; the first goes on, but has no news any more."""
        self.silenced, self.news = self.news, asyncio.Queue()
        self.servers.append(await asyncio.start_server(self.discovery, "127.0.0.1", 0))
        return "127.0.0.1:%d" % self.servers[-1].sockets[0].getsockname()[1]

    async def client(self) -> Caller:
        return Caller(self, *await asyncio.open_connection(*self.address[:2]))


class Caller:
    """A client's connection; what it says and hears is noted."""

    def __init__(self, town: Town, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.town, self.reader, self.writer = town, reader, writer

    def say(self, *parts: str) -> None:
        """Each part is a write of its own."""
        for part in parts:
            self.town.note(f"says {part if len(part) < 90 else part[:40] + '...'!r}")
            self.writer.write(part.encode())

    async def hear(self, lines: int = 1) -> None:
        for _ in range(lines):
            got = await asyncio.wait_for(self.reader.readline(), 5)
            if got.startswith(b"VA"):
                got += await self.reader.readline()
            self.town.note(f"hears {got.decode()!r}")

    async def ask(self, *parts: str) -> None:
        self.say(*parts)
        await self.hear()


def read(key: str, tag: str = "1", profile: str = "read", wait: int = 900) -> str:
    return f"mg {key} v O{tag} Pc={profile},t=acme,d={wait}\r\n"


def write(key: str, value: str = "v", tag: str = "1", profile: str = "put") -> str:
    return f"ms {key} {len(value)} O{tag} Pc={profile},t=acme,d=900,k=77\r\n{value}\r\n"
