"""A node whose place for clients is taken: who sends two requests at once gets two answers, or is left unread."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-2"))
from stand import HOST, TROUBLE, Cache, CouldNotRun, Discovery, World, main, settings  # noqa: E402

CROWD = 240  # connections with half a command
PAIRS = 6  # clients that send a write and a read at once
VALUE = b"x" * 6000


async def half(port: int, kept: list) -> None:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return
    writer.write(b"mg half")
    kept.append((reader, writer))


class Pair:
    def __init__(self, number: int) -> None:
        self.number, self.ids = number, [f"a{number:015x}", f"b{number:015x}"]
        self.answers: list[str] = []
        self.ended = ""

    async def run(self, world: World, port: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port)
        write, read = self.ids
        writer.write(
            b"ms k%d %d O%b Pc=put,d=2500,k=%016x\r\n%b\r\n" % (self.number, len(VALUE), write.encode(), self.number, VALUE)
            + b"mg k%d v O%b Pc=read,d=2000\r\n" % (self.number, read.encode())
        )
        await writer.drain()
        begun = time.monotonic()
        world.record(f"pair {self.number}: sent ms {write} and mg {read}")
        try:
            while len(self.answers) < 2:
                line = await asyncio.wait_for(reader.readline(), 6 - (time.monotonic() - begun))
                if not line.endswith(b"\n"):
                    self.ended = "closed by the node"
                    break
                if line.startswith(b"VA"):
                    await reader.readexactly(int(line.split()[1]) + 2)
                self.answers.append(line.decode().strip())
                world.record(f"pair {self.number}: answer {len(self.answers)} after_s={time.monotonic() - begun:.3f}: {line!r}")
        except TimeoutError:
            self.ended = "no answer in 6 s"
        except OSError as error:
            self.ended = type(error).__name__
        writer.close()
        world.record(f"pair {self.number}: answers={len(self.answers)} ended={self.ended or 'by the client'}")


async def case(world: World) -> list[str]:
    discovery = await world.serve(Discovery(world.record))
    for i in range(2):
        cache = await world.serve(Cache(world.record, f"s-{i}"))
        discovery.put(f"s-{i}", cache.address)
    node = world.node("n1", {
        "discovery": discovery.address, "seed": "7", "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "settings": settings(),
    })
    await node.start()
    await asyncio.sleep(1)
    kept: list = []
    if TROUBLE:
        for _ in range(CROWD):  # each says its half command at once
            await half(node.port, kept)
        world.record(f"crowd: {len(kept)} connections with half a command")
        await asyncio.sleep(0.2)
    pairs = [Pair(i + 1) for i in range(PAIRS)]
    tasks = []
    for one in pairs:  # one after the other, as clients come
        tasks.append(asyncio.create_task(one.run(world, node.port)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    for _, writer in kept:
        writer.close()
    if not node.runs:
        return ["the node has ended"]
    if not any(one.answers for one in pairs):
        raise CouldNotRun("no connection was read")
    return [
        f"pair {one.number}: the write was answered {one.answers[0]!r}, the read behind it was not: {one.ended}"
        for one in pairs
        if len(one.answers) == 1
    ]


main(case, __file__)
