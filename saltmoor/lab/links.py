"""Owns the links between nodes: one for each pair and direction, through which all that they tell each other goes.

It loses, delays, doubles, reorders, alters and cuts as the scenario says, and asks each node a few times a second what
it believes. It must never read what is said on the links. Whom a reply goes to is the other direction's link.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from random import Random
from typing import Any

import msgspec

from saltmoor.lab.book import Book
from saltmoor.lab.scenario import Fault, Scenario
from saltmoor.lab.wire import Driver
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker

HOST = "127.1.0.1"  # no other part of the lab listens there
CLUSTER = "lab"
LOOK = 0.25  # seconds between two questions to a node
QUIET_SLOW = 20_000  # bytes a second that pass a slow stream


class Way:
    """From one node to another: datagrams and streams at one port."""

    def __init__(self, house: Links, source: int, target: int) -> None:
        self.house, self.source, self.target = house, source, target
        self.loss = self.double = self.corrupt = 0.0
        self.delay = self.jitter = 0.0  # seconds
        self.cut = self.slow = 0
        self.rng = Random(f"{house.seed} link {source} {target}")
        self.count = self.bytes = 0
        self.stream = socket.create_server((HOST, 0))
        self.stream.setblocking(False)
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.port = self.stream.getsockname()[1]
        self.udp.bind((HOST, self.port))
        self.udp.setblocking(False)
        self.open: set[socket.socket] = set()

    def begin(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_reader(self.udp, self.read)
        loop.add_reader(self.stream, self.accept)

    @property
    def place(self) -> tuple[str, int]:
        return HOST, self.house.ports[self.target]

    def read(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(16):
            try:
                data = self.udp.recv(65_536)
            except OSError:
                return
            self.count, self.bytes = self.count + 1, self.bytes + len(data)
            for _ in range(1 + (self.rng.random() < self.double)):
                if self.cut or self.rng.random() < self.loss:
                    continue
                if self.corrupt and self.rng.random() < self.corrupt:
                    data = self.spoil(data)
                wait = self.delay + self.jitter * self.rng.random()
                if wait:
                    loop.call_later(wait, self.send, data)
                else:
                    self.send(data)

    def spoil(self, data: bytes) -> bytes:
        spoilt = bytearray(data)
        spoilt[self.rng.randrange(len(spoilt))] ^= 1 << self.rng.randrange(8)
        return bytes(spoilt)

    def send(self, data: bytes) -> None:
        try:
            self.udp.sendto(data, self.place)
        except OSError:
            pass

    def accept(self) -> None:
        try:
            sock, _ = self.stream.accept()
        except OSError:
            return
        sock.setblocking(False)
        self.house.spawn(self.pass_on(sock))

    async def pass_on(self, sock: socket.socket) -> None:
        loop, other = asyncio.get_running_loop(), socket.socket()
        self.open |= {sock, other}
        try:
            if self.cut:
                return
            other.setblocking(False)
            await loop.sock_connect(other, self.place)
            back = self.house.ways[self.target, self.source]
            await asyncio.gather(self.pump(sock, other, self), self.pump(other, sock, back))
        except OSError:
            pass
        finally:
            self.open -= {sock, other}
            sock.close()
            other.close()

    async def pump(self, source: socket.socket, target: socket.socket, way: Way) -> None:
        """`way`: whose faults count for these bytes."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, 16_384):
            if way.cut:
                raise OSError("cut")
            way.bytes += len(data)
            if way.corrupt and way.rng.random() < way.corrupt:
                data = way.spoil(data)
            if way.delay or way.slow:
                await asyncio.sleep(way.delay + way.slow * len(data) / QUIET_SLOW)
            await loop.sock_sendall(target, data)
        target.shutdown(socket.SHUT_WR)

    def strike(self, fault: Fault, on: bool) -> None:
        match fault.kind:
            case "cut":
                self.cut += 1 if on else -1
            case "slow":
                self.slow += 1 if on else -1
            case "loss" | "double" | "corrupt":
                setattr(self, fault.kind, fault.share if on else 0.0)
            case "delay":
                self.delay = fault.ms / 1000 if on else 0.0
            case "reorder":
                self.jitter = fault.ms / 1000 if on else 0.0


class Links:
    def __init__(self, scenario: Scenario, seed: int, ports: list[int], book: Book, driver: Driver) -> None:
        self.scenario, self.seed, self.ports, self.book, self.driver = scenario, seed, ports, book, driver
        count = len(ports)
        self.ways = {(i, j): Way(self, i, j) for i in range(count) for j in range(count) if i != j}
        self.tasks: set[asyncio.Task] = set()
        for way in self.ways.values():
            way.begin()

    def spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def places(self) -> list[dict[str, str]]:
        """For each node: where it reaches the others."""
        count = len(self.ports)
        return [{f"n{j}": f"{HOST}:{self.ways[i, j].port}" for j in range(count) if j != i} for i in range(count)]

    def schedule(self, begin: int) -> None:
        for fault in self.scenario.fault:
            if fault.on == "peers":
                at = begin + int(fault.at_s * 1e6)
                self.driver.line.at(at, self.strike, fault, True)
                if fault.for_s:
                    self.driver.line.at(at + int(fault.for_s * 1e6), self.strike, fault, False)
        for node in range(len(self.ports)):
            self.spawn(self.look(node))

    def struck(self, fault: Fault) -> list[Way]:
        every = list(range(len(self.ports)))
        source, target = fault.from_nodes or every, fault.to_nodes or every
        return [
            way
            for (i, j), way in self.ways.items()
            if i in source and j in target or fault.both and j in source and i in target
        ]

    def strike(self, fault: Fault, on: bool) -> None:
        self.book.note("mark", self.driver.line.now, f"peers {fault.kind}{'' if on else ' ends'}")
        for way in self.struck(fault):
            way.strike(fault, on)

    async def look(self, node: int) -> None:
        """What that node believes, four times a second; straight at it, past the links."""
        await asyncio.sleep(LOOK * node / len(self.ports))
        while True:
            try:
                async with asyncio.timeout(1.0):
                    shown = await self.ask(node, "members")
            except (OSError, TimeoutError, frames.Strange, msgspec.DecodeError, EOFError):
                shown = None
            if shown:
                self.book.note(
                    "believes",
                    self.driver.clock(),
                    node,
                    {
                        "there": sorted(int(one[0][1:]) for one in shown["members"] if one[1] in ("alive", "suspect")),
                        **{
                            key: shown[key]
                            for key in (
                                "root",
                                "items",
                                "phase",
                                "took_ms",
                                "sent_bytes",
                                "came_bytes",
                                "refused",
                                "dropped",
                                "slowest_us",
                                "pulls",
                                "repairs",
                                "life",
                                "given_bytes",
                            )
                        },
                    },
                )
            await asyncio.sleep(LOOK)

    async def ask(self, node: int, what: str) -> dict[str, Any]:
        reader, writer = await asyncio.open_connection(HOST, self.ports[node])
        try:
            speaker = Speaker("lab", 0, os.getpid(), time.time_ns() // 1000)
            frame = frames.encode(CLUSTER, speaker, "show", what)
            writer.write(len(frame).to_bytes(4, "big") + frame)
            length = int.from_bytes(await reader.readexactly(4), "big")
            return msgspec.msgpack.decode(frames.decode(await reader.readexactly(length), CLUSTER).content)
        finally:
            writer.close()

    def end(self) -> None:
        for (i, j), way in self.ways.items():
            self.book.note("way", self.driver.clock(), i, j, way.count, way.bytes)


def operators(cluster_file: dict[str, Any]) -> str:
    """A node's operators' file with a table of peers."""
    lines = [
        "[peers]",
        f'cluster = "{CLUSTER}"',
        f'listen = "{cluster_file["listen"]}"',
        f"seeds = {msgspec.json.encode(cluster_file['seeds']).decode()}",
        f'site = "{cluster_file["site"]}"',
        'source = "lab"',
        f"use = {msgspec.json.encode(cluster_file['use']).decode()}",
        "[peers.via]",
    ]
    return "\n".join(lines + [f'{name} = "{place}"' for name, place in cluster_file["via"].items()]) + "\n"
