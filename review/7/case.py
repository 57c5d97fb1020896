"""An origin of whose answers some are spoilt: a line that does not end. The node stays within its memory, and answers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-2"))
from stand import HOST, TROUBLE, Cache, Command, CouldNotRun, Discovery, Server, World, main, settings  # noqa: E402

MEMORY_MB = 64
RATE, SECONDS, CONNECTIONS = 60, 25.0, 60
SPOILT = 0.1  # of the origin's answers
LATE = 0.5  # seconds behind its time: later, or never, is lost
SEED = 79


class Empty(Cache):
    """A cache server that lacks a good part of the keys."""

    def answer(self, command: Command, writer: asyncio.StreamWriter) -> None:
        if command.verb == b"mg":
            writer.write(b"EN O%b\r\n" % command.id.encode())
        else:
            super().answer(command, writer)


class Origin(Server):
    def __init__(self, world: World) -> None:
        super().__init__(world.record, "origin")
        self.draw, self.spoilt, self.good = random.Random(SEED), 0, 0

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            name = next(line.split(":")[1].strip() for line in head if line.lower().startswith("x-request-id:"))
            await asyncio.sleep(0.02)
            if TROUBLE and self.draw.random() < SPOILT:
                self.spoilt += 1
                self.record(f"origin: ran {name}: a header that does not end")
                writer.write(b"HTTP/1.1 200 OK\r\nX-Note: ")
                sent, begun = 0, time.monotonic()
                try:
                    while time.monotonic() - begun < 10:
                        writer.write(b"a" * 65_536)
                        await writer.drain()
                        sent += 65_536
                finally:
                    self.record(f"origin: spoilt answer to {name}: bytes={sent} s={time.monotonic() - begun:.1f}")
                return
            self.good += 1
            self.record(f"origin: ran {name}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(name), name.encode()))


def memory(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon"):
            return int(line.split()[1]) / 1024
    return 0.0


class Load:
    def __init__(self, world: World, port: int) -> None:
        self.world, self.port, self.sent, self.served, self.failed = world, port, 0, 0, 0
        self.lost: list[str] = []
        self.queue: asyncio.Queue[float] = asyncio.Queue()

    async def ask(self) -> None:
        while True:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            line = b"-"
            while line:
                await self.queue.get()
                self.sent += 1
                name, begun = f"{self.sent:016x}", time.monotonic()
                writer.write(f"mg k{self.sent} v O{name} Pc=read,d=2000\r\n".encode())
                try:
                    line = await asyncio.wait_for(reader.readline(), 6)
                    if line.startswith(b"VA"):
                        await reader.readexactly(int(line.split()[1]) + 2)
                        self.served += 1
                    else:
                        self.failed += 1
                except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                    line = b""
                    self.lost.append(f"{name}: {type(error).__name__}")
                took = time.monotonic() - begun
                if took > 2 + LATE:
                    self.lost.append(f"{name}: answered after {took:.2f} s, {line[:30]!r}")
                self.world.record(f"client: mg {name} after_s={took:.3f}: {line[:40]!r}")
            writer.close()

    async def run(self) -> None:
        begun, given = time.monotonic(), 0
        while True:
            while given < (time.monotonic() - begun) * RATE:
                given += 1
                if not self.queue.qsize():
                    self.queue.put_nowait(0.0)
            await asyncio.sleep(0.005)


async def case(world: World) -> list[str]:
    discovery = await world.serve(Discovery(world.record))
    for i in range(2):
        cache = await world.serve(Empty(world.record, f"s-{i}"))
        discovery.put(cache.name, cache.address)
    origin = await world.serve(Origin(world))
    discovery.put("o-0", origin.address, kind="origin")
    node = world.node("n1", {
        "discovery": discovery.address, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512},
        "settings": settings(family_info={"mode": "aside", "origin_kind": 1}),
    })
    await node.start()
    await asyncio.sleep(1)
    load = Load(world, node.port)
    tasks = [asyncio.create_task(load.ask()) for _ in range(CONNECTIONS)] + [asyncio.create_task(load.run())]
    begun, most, broken = time.monotonic(), 0.0, []
    while time.monotonic() - begun < SECONDS and node.runs:
        await asyncio.sleep(0.1)
        if node.runs:
            most = max(most, memory(node.process.pid))
    world.record.say(
        f"memory at most {most:.0f} MB, sent={load.sent} served={load.served} failed={load.failed} "
        f"spoilt={origin.spoilt} good={origin.good} late={len(load.lost)}"
    )
    for task in tasks:
        task.cancel()
    if not node.runs:
        broken.append("the node has ended")
    if most > MEMORY_MB:
        broken.append(f"{most:.0f} MB of memory of its own where {MEMORY_MB} are the limit")
    if load.lost:
        broken.append(f"{len(load.lost)} requests late by over {LATE} s or unanswered, as {load.lost[0]}")
    if load.served < 50:
        raise CouldNotRun("hardly any request was served")
    return broken


main(case, __file__)
