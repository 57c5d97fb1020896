"""A node that is told to drain holds no client 4 s later, whatever its clients do, and owes none an answer.

Real processes on loopback. Source: the operators' page on the second address, and their incident of
docs/incidents/drain-held-clients.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import time
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import uvloop

from tests.helper import MS, read, reserve, settings
from tests.test_operations import Twins

Process = asyncio.subprocess.Process
Address = tuple[str, int]
Scene = Callable[["DrainTown", Process, Address], Awaitable[None]]

BOUND = 4.0  # seconds after the call: from then on no client's connection may be held
EACH = 3  # clients of one kind
LONGEST = 2500  # milliseconds that clients wait for an answer
LARGE = 4_000_000  # bytes of a large value
INODE = 9  # column of /proc/net/tcp; 0 where no process holds the socket
PIECE, PIECE_EVERY, GIVEN_BEFORE = 100_000, 0.28, 10  # bytes, seconds, pieces of a value whose server halts
HALT = 2.0  # seconds in which it gives nothing: as long as a node may hold the rest of a value back
TAKES = {"hit": 0.003, "long": 1.8, "brief": 0.3}  # seconds that a cache server takes, by the key's first word


class DrainTown(Twins):
    """Real processes of one node, and the cache server of these tests."""

    def __init__(self) -> None:
        classes = [
            {"name": "read", "repeat": "idempotent", "aim_ns": 2000 * MS * 1000, "deadline_ns": LONGEST * MS * 1000},
        ]
        super().__init__(settings=settings(classes=classes, permissions={"max_attempts": 1, "probes": False}))
        self.forwarded: set[str] = set()  # ids of requests that have come to the cache server

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):  # the node lets go of a value that its client does not take
            await self.answer_all(reader, writer)
        writer.close()

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode():
            _, key, *flags = line.split()
            tag = next(flag for flag in flags if flag.startswith("O"))
            self.forwarded.add(tag[1:])
            if key == "large":
                writer.write(f"VA {LARGE} {tag} h1\r\n".encode() + bytes(LARGE) + b"\r\n")
                continue
            if key == "halting":
                await self.give_with_a_halt(writer, tag)
                continue
            await asyncio.sleep(TAKES[key.partition("-")[0]])
            writer.write(f"VA {len(key)} {tag} h1\r\n{key}\r\n".encode())

    async def give_with_a_halt(self, writer: asyncio.StreamWriter, tag: str) -> None:
        """A large value in pieces, with a halt round the bound of a drain that begins with it."""
        writer.write(f"VA {LARGE} {tag} h1\r\n".encode())
        for _ in range(GIVEN_BEFORE):
            writer.write(bytes(PIECE))
            await asyncio.sleep(PIECE_EVERY)
        await asyncio.sleep(HALT)
        writer.write(bytes(LARGE - GIVEN_BEFORE * PIECE) + b"\r\n")

    async def begin(self) -> tuple[Process, Address]:
        """A process of the node that serves, and its second address."""
        self.reserved.append(reserve())
        admin = self.reserved[-1].getsockname()
        node = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "saltmoor", "serve", f"--config={self.file}"),
            env=os.environ | {"TMPDIR": self.folder.name, "ROUTER_ADMIN_ADDR": "%s:%d" % admin},
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.nodes.append(node)
        while not await self.call(admin, "GET", "/_ready"):
            await asyncio.sleep(0.02)
        return node, admin

    async def call(self, admin: Address, method: str, path: str) -> bool:
        """One call at a second address: whether the answer is a yes."""
        try:
            reader, writer = await asyncio.open_connection(*admin)
        except OSError:
            return False
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n".encode())
        said = await reader.read()
        writer.close()
        return said.startswith(b"HTTP/1.1 200")


def held_by_a_process(port: int, client: int) -> bool:
    """Whether the node's side of a connection belongs to a process, or is with the kernel alone, or gone."""
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, local, remote, *_ = words = row.split()
        if local.endswith(f":{port:04X}") and remote.endswith(f":{client:04X}"):
            return words[INODE] != "0"
    return False


@dataclass(eq=False)
class Client:
    """One client's connection, and what came of it."""

    town: DrainTown
    kind: str
    number: int
    asked: list[str] = field(default_factory=list)
    answered: set[str] = field(default_factory=set)
    ended: float = 0.0  # when the node's end was seen, on the monotonic clock
    reset: bool = False
    sock: socket.socket | None = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection(*self.town.address, limit=1 << 20)
        self.sock = self.writer.get_extra_info("socket")
        self.hearing = asyncio.create_task(self.hear())

    async def hear(self) -> None:
        try:
            while line := (await self.reader.readline()).decode():
                if line.startswith("VA"):
                    _, length, tag, *_ = line.split()
                    await self.reader.readexactly(int(length) + 2)
                    self.answered.add(tag[1:])
                elif line.startswith("SERVER_ERROR") and len(self.answered) < len(self.asked):
                    self.answered.add(self.asked[len(self.answered)])  # answers come in order
        except (OSError, asyncio.IncompleteReadError):
            self.reset = True
        self.ended = time.monotonic()

    def ask(self, key: str) -> None:
        self.asked.append(f"{self.number:x}{len(self.asked):04x}")
        self.writer.write(read(key, self.asked[-1], wait=LONGEST).encode())

    async def run(self) -> None:
        with contextlib.suppress(OSError):
            await getattr(self, self.kind)()

    @property
    def open(self) -> bool:
        return not self.ended and not self.writer.is_closing()

    async def overlapping(self) -> None:
        """Always one request open: a new one before the last one's answer."""
        await self.connect()
        while self.open:
            self.ask("long")
            await asyncio.sleep(0.6 + 0.05 * (self.number % 7))

    async def closed_loop(self) -> None:
        await self.connect()
        while self.open:
            self.ask("hit")
            while self.open and len(self.answered) < len(self.asked):
                await asyncio.sleep(0.002)

    async def late_closed_loop(self) -> None:
        """The same, from a moment on in which the drain has gone on for a while."""
        await asyncio.sleep(2.6)
        await self.closed_loop()

    async def late_and_long(self) -> None:
        """Comes while the drain goes on, and asks at once for what takes longer than the rest of its bound."""
        await asyncio.sleep(2.9)
        await self.connect()
        self.ask("long")

    async def batches(self) -> None:
        await self.connect()
        while self.open:
            for _ in range(20):
                self.ask("hit")
            await asyncio.sleep(0.1)

    async def resting(self) -> None:
        await self.connect()
        self.ask("hit")

    async def silent(self) -> None:
        await self.connect()

    async def one_in_a_while(self) -> None:
        await self.connect()
        while self.open:
            self.ask("brief")
            await asyncio.sleep(0.9)

    async def half_a_command(self) -> None:
        """Begun while the drain goes on, never finished."""
        await self.connect()
        for _ in range(3):
            await asyncio.sleep(0.7)
            self.ask("hit")
        self.writer.write(b"mg hit v O")

    async def byte_by_byte(self) -> None:
        await self.connect()
        while self.open:
            for byte in read("hit", f"{self.number:x}ff", wait=LONGEST).encode():
                if self.open:
                    self.writer.write(bytes([byte]))
                    await asyncio.sleep(0.03)

    async def takes_nothing(self) -> None:
        """Asks for large values and reads none of them: its machine takes little, and the node's holds the rest."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
        self.sock.connect(self.town.address)
        for count in range(3):
            self.sock.sendall(read("large", f"{self.number:x}{count}", wait=LONGEST).encode())

    def close(self) -> None:
        if self.kind == "takes_nothing":
            self.sock.close()
        elif self.sock:
            self.writer.close()

    def held(self) -> bool:
        """A process of the node holds this connection: who reads has seen no end, who does not is looked up."""
        if self.kind == "takes_nothing":
            return held_by_a_process(self.town.address[1], self.sock.getsockname()[1])
        return self.sock is not None and not self.ended


KINDS = (
    "overlapping",
    "closed_loop",
    "late_closed_loop",
    "late_and_long",
    "batches",
    "resting",
    "silent",
    "one_in_a_while",
    "half_a_command",
    "byte_by_byte",
    "takes_nothing",
)


class DrainBound(unittest.TestCase):
    """Who is still held 4 s after the call, and whether anything that the node took was left unanswered."""

    def drain(self, scene: Scene, kinds: tuple[str, ...] = KINDS) -> None:
        async def run() -> None:
            async with DrainTown() as town:
                node, admin = await town.begin()
                clients = [
                    Client(town, kind, 16 * place + i) for place, kind in enumerate(kinds, 1) for i in range(EACH)
                ]
                tasks = [asyncio.create_task(one.run()) for one in clients]
                await asyncio.sleep(0.4)
                self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))
                begun = time.monotonic()
                changes = asyncio.create_task(scene(town, node, admin))
                await asyncio.sleep(begun + BOUND - time.monotonic())
                held = [f"{one.kind} {len(one.asked)} asked" for one in clients if one.held()]
                await changes
                spread = {round(one.ended - begun, 1) for one in clients if one.ended}
                self.assertEqual(held, [], "held 4 s after the call")
                self.assertGreater(len(spread), 3, "all connections ended in one instant")
                for one in clients:
                    lost = town.forwarded & set(one.asked) - one.answered
                    self.assertFalse(lost, f"{one.kind}: sent on and never answered")
                    crossed = set(one.asked) - one.answered - town.forwarded  # written as the node closed, and unread
                    self.assertFalse(one.reset and not crossed, f"{one.kind}: reset over what it was owed")
                for task in tasks:
                    task.cancel()
                for one in clients:
                    one.close()

        uvloop.run(asyncio.wait_for(run(), 30))

    def test_one_process_holds_no_client(self):
        async def nothing(town: DrainTown, node: Process, admin: Address) -> None:
            pass

        async def reloads(town: DrainTown, node: Process, admin: Address) -> None:
            for _ in range(3):
                await asyncio.sleep(0.7)
                node.send_signal(signal.SIGHUP)

        async def pauses(town: DrainTown, node: Process, admin: Address) -> None:
            for _ in range(8):
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.12)
                node.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.3)

        for scene in nothing, reloads, pauses:
            with self.subTest(scene.__name__):
                self.drain(scene)

    def test_an_upgrade_over_the_drain_holds_no_client(self):
        """What the first process knew of the drain holds for the second one, in whichever order they are told."""

        async def takes_over(town: DrainTown, node: Process, admin: Address) -> None:
            await asyncio.sleep(2.0)
            await town.begin()
            node.terminate()

        async def both_stay(town: DrainTown, node: Process, admin: Address) -> None:
            await asyncio.sleep(2.0)
            await town.begin()

        for scene in takes_over, both_stay:
            with self.subTest(scene.__name__):
                self.drain(scene)

    def test_a_drain_does_not_cut_off_what_a_server_still_gives(self):
        """Guards against a server that halts being taken for a client that takes nothing."""

        async def run() -> None:
            async with DrainTown() as town:
                _, admin = await town.begin()
                client = Client(town, "resting", 1)
                await client.connect()
                client.ask("halting")
                await asyncio.sleep(0.1)
                self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))
                await asyncio.wait_for(client.hearing, 10)
                self.assertEqual((client.answered, client.reset), (set(client.asked), False))
                client.close()

        uvloop.run(asyncio.wait_for(run(), 20))


if __name__ == "__main__":
    unittest.main()
