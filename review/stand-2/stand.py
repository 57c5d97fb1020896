"""Stand-ins and helpers for the cases 6 to 10: cache servers, origin, discovery, and nodes as separate processes.

Standard library alone. All addresses are loopback addresses with free ports. A cache server answers as a sound one,
unless a case gives it another `serve`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST = 115.0  # seconds of one run


class CouldNotRun(Exception):
    """The case says nothing about the rule."""


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file, self.begun = open(folder / "record.txt", "w"), time.monotonic()

    def __call__(self, line: str) -> None:
        print(f"{time.monotonic() - self.begun:8.3f} {line}", file=self.file, flush=True)

    def say(self, line: str) -> None:
        self(line)
        print(line, flush=True)


class Server:
    """What takes connections on a loopback address."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name, self.port, self.server = record, name, 0, None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.taken, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.talk(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


class Command:
    """One command as a cache server has it."""

    def __init__(self, line: bytes, value: bytes = b"") -> None:
        self.words = line.split()
        self.verb, self.value = self.words[0], value
        self.key = self.words[1].decode() if len(self.words) > 1 else ""
        flags = self.words[2:]
        self.id = next((flag[1:].decode() for flag in flags if flag[:1] == b"O"), "")
        self.listed = next((flag[1:].decode() for flag in flags if flag[:1] == b"P"), "")


class Cache(Server):
    """A cache server that pulls by itself what it lacks: every read is served, every write gets a receipt."""

    def __init__(self, record: Record, name: str, size: int = 5) -> None:
        super().__init__(record, name)
        self.size = size
        self.ran: list[tuple[float, str, str]] = []  # when, verb, id

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            verb = line.split()[:1]
            if verb == [b"mn"]:
                writer.write(b"MN\r\n")
            elif verb == [b"stats"]:
                writer.write(b"STAT queue 0\r\nEND\r\n")
            elif verb in ([b"mg"], [b"ms"]):
                value = b""
                if verb == [b"ms"]:
                    value = (await reader.readexactly(int(line.split()[2]) + 2))[:-2]
                await self.serve(Command(line, value), writer)
            else:
                writer.write(b"ERROR\r\n")
            await writer.drain()

    def note(self, command: Command) -> None:
        self.ran.append((time.monotonic(), command.verb.decode(), command.id))
        self.record(f"{self.name}: ran {command.verb.decode()} {command.key} {command.id} {command.listed}")

    async def serve(self, command: Command, writer: asyncio.StreamWriter) -> None:
        self.note(command)
        self.answer(command, writer)

    def answer(self, command: Command, writer: asyncio.StreamWriter) -> None:
        if command.verb == b"mg":
            value = command.id.encode().ljust(self.size, b".")[: self.size]
            writer.write(b"VA %d O%b\r\n%b\r\n" % (len(value), command.id.encode(), value))
        else:
            writer.write(b"HD O%b cR%b\r\n" % (command.id.encode(), command.id.encode()))


class Discovery(Server):
    """The list of cache servers; a watch gets the whole list, then changes, and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        super().__init__(record, "discovery")
        self.generation, self.entries = 1, {}
        self.watches: set[asyncio.StreamWriter] = set()

    def put(self, name: str, address: str, *, kind: str = "small", zone: str = "home", cell: int = 0,
            state: str = "up", started: int = 0) -> dict:
        entry = {"instanceId": name, "hostPort": address, "zone": zone, "machineType": kind, "cell": cell,
                 "lifecycle": state, "weight": 1.0, "startedAtMs": started}
        self.entries[name] = entry
        return entry

    def whole(self) -> dict:
        return {"generation": self.generation, "reset": True,
                "instances": [one for one in self.entries.values() if one["lifecycle"] != "removed"]}

    def change(self, *entries: dict) -> None:
        self.generation += 1
        said = {"generation": self.generation, "reset": False, "instances": list(entries)}
        for writer in list(self.watches):
            self.say(writer, said)
        self.record(f"discovery: told {[(one['instanceId'], one['lifecycle']) for one in entries]}")

    @staticmethod
    def say(writer: asyncio.StreamWriter, said: dict | None) -> None:
        line = b"\n" if said is None else json.dumps(said).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"stream=1" not in head.split(b"\r\n")[0]:
            body = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b" % (len(body), body))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.say(writer, self.whole())
        self.watches.add(writer)
        beats = asyncio.create_task(self.beat(writer))
        try:
            await reader.read()
        finally:
            beats.cancel()
            self.watches.discard(writer)

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(2)
            self.say(writer, None)


class Node:
    """A node, started with `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, config: dict, operators: str = "") -> None:
        self.record, self.name, self.config = record, name, config
        self.port, self.process = free_port(), None
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True)
        self.operators = operators

    async def start(self, within: float = 10.0) -> None:
        path = self.folder / "config.json"
        path.write_text(json.dumps({"name": self.name, "listen": f"{HOST}:{self.port}", **self.config}))
        keep = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env = keep | {
            "ROUTER_CONFIG": str(path),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_DISCOVERY": self.config.get("discovery", ""),
            "TMPDIR": str(self.folder / "tmp"),
        }
        if self.operators:
            (self.folder / "operators.toml").write_text(self.operators)
            env["ROUTER_OPERATORS"] = str(self.folder / "operators.toml")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        with open(self.folder / "log.txt", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        until = time.monotonic() + within
        while not await self.ready():
            if time.monotonic() > until or self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} does not serve: {self.log()[-400:]}")
            await asyncio.sleep(0.05)
        self.record(f"{self.name}: serves at {HOST}:{self.port}, pid={self.process.pid}")

    async def ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"mn\r\n")
            return (await asyncio.wait_for(reader.readline(), 1)).startswith(b"MN")
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def log(self) -> str:
        return (self.folder / "log.txt").read_text(errors="replace")

    @property
    def runs(self) -> bool:
        return bool(self.process) and self.process.returncode is None

    async def stop(self, how: int = signal.SIGTERM, within: float = 6.0) -> int:
        if self.runs:
            self.process.send_signal(how)
            try:
                await asyncio.wait_for(self.process.wait(), within)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        self.record(f"{self.name}: ended with {self.process.returncode}")
        return self.process.returncode

    async def end(self) -> None:
        if self.runs:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


def settings(**more) -> dict:
    """Settings of a small deployment, in the form of the operators' pages."""
    said = {
        "azs": ["home"],
        "kinds": ["small", "origin"],
        "classes": [
            {"name": "read", "aim_ns": 600_000_000, "deadline_ns": 2_000_000_000, "repeat": "idempotent", "worth": 2},
            {"name": "put", "aim_ns": 1_000_000_000, "deadline_ns": 2_500_000_000, "repeat": "deduplicated",
             "group": "all", "key_ttl_ns": 1_500_000_000, "worth": 8},
            {"name": "book", "aim_ns": 1_000_000_000, "deadline_ns": 2_500_000_000, "repeat": "at_most_once",
             "worth": 8},
        ],
        "tenants": [],
        "membership_mode": "subscribe",
        "fleet_size": 1,
        "report": {"how": "off", "columns": []},
        "permissions": {"max_attempts": 3, "may_duplicate": True, "cancel": False, "probes": False,
                        "retry_after": False, "conn_idle_ns": 30_000_000_000, "connect_timeout_ns": 500_000_000},
        "rules": {"ask_within_ns": 10_000_000_000, "stop_sending_within_ns": 2_000_000_000, "cold_from": 0.2,
                  "cold_ns": 15_000_000_000, "overload_factor": 4, "fall_ns": 1_000_000_000},
    }
    return said | more


class World:
    """All of one case, ended together."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="saltmoor-case-"))
        self.servers: list[Server] = []
        self.nodes: list[Node] = []

    async def serve(self, server: Server) -> Server:
        await server.open()
        self.servers.append(server)
        return server

    def node(self, name: str, config: dict, operators: str = "") -> Node:
        node = Node(self.record, self.folder, name, config, operators)
        self.nodes.append(node)
        return node

    async def end(self) -> None:
        for node in self.nodes:
            await node.end()
        for node in self.nodes:
            self.record(f"log of {node.name}:")
            for line in node.log().splitlines()[:400]:
                self.record(f"  {line}")
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(case, file: str) -> None:
    """Run it; the exit status says whether the rule was broken. `case(world)` returns what broke it."""
    folder = Path(file).resolve().parent

    async def run() -> int:
        world = World(folder)
        world.record(f"TROUBLE={int(TROUBLE)}")
        try:
            async with asyncio.timeout(LONGEST):
                broken = await case(world)
            for line in broken:
                world.record.say(f"broken: {line}")
            world.record.say("the rule was broken" if broken else "the rule held")
            return BROKEN if broken else HELD
        except (CouldNotRun, TimeoutError, OSError) as error:
            world.record.say(f"could not run: {type(error).__name__}: {error}")
            return COULD_NOT_RUN
        finally:
            await world.end()

    sys.exit(asyncio.run(run()))
