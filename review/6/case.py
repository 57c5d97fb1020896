"""A node in front of 3,200 cache servers stays within its limit of memory, with ordinary traffic and no fault."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from bisect import bisect
from itertools import accumulate
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-2"))
from stand import HOST, TROUBLE, Cache, CouldNotRun, Discovery, World, main, settings  # noqa: E402

SERVERS = 3200 if TROUBLE else 200
MEMORY_MB = 128
RATE, SECONDS, CONNECTIONS = 200, 80.0, 40
KEYS, ZIPF = 60_000, 0.92  # popularity of keys
SEED = 79


FARMS = 8  # processes that hold the cache servers, so that none needs more than the usual number of descriptors


class Quiet(Cache):
    """A cache server that keeps no record of its own: the client's has each id."""

    def note(self, command) -> None:
        pass


async def farm(count: int) -> None:
    """So many cache servers in one process; it says where they are, and ends with its standard input."""
    caches = [Quiet(None, f"s-{i}") for i in range(count)]
    for cache in caches:
        await cache.open()
    print(*(cache.port for cache in caches), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.buffer.read)


async def start_farms(farms: list) -> list[str]:
    """The addresses of all cache servers."""
    addresses = []
    for _ in range(FARMS):
        one = await asyncio.create_subprocess_exec(
            sys.executable, "-B", __file__, "farm", str(SERVERS // FARMS),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )
        farms.append(one)
        addresses += [f"{HOST}:{int(port)}" for port in (await one.stdout.readline()).split()]
    if len(addresses) != SERVERS:
        raise CouldNotRun(f"{len(addresses)} cache servers of {SERVERS}")
    return addresses


def memory(pid: int) -> dict[str, float]:
    """MB by kind, as the kernel knows them."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return {line.split(":")[0]: int(line.split()[1]) / 1024 for line in lines if line.startswith(("VmRSS", "RssAnon"))}


class Load:
    def __init__(self, world: World, port: int) -> None:
        self.world, self.port, self.draw = world, port, random.Random(SEED)
        weights = list(accumulate(1 / (rank + 3) ** ZIPF for rank in range(KEYS)))
        self.weights = weights
        self.keys, self.sent, self.served, self.others = set(), 0, 0, 0
        self.queue: asyncio.Queue[str] = asyncio.Queue()

    def key(self) -> str:
        return f"farm-{bisect(self.weights, self.draw.random() * self.weights[-1])}"

    async def ask(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        while True:
            key = await self.queue.get()
            self.keys.add(key)
            self.sent += 1
            name = f"{self.sent:016x}"
            writer.write(f"mg {key} v O{name} Pc=read,d=2000\r\n".encode())
            line = await reader.readline()
            if not line:
                return
            if line.startswith(b"VA"):
                await reader.readexactly(int(line.split()[1]) + 2)
                self.served += 1
            else:
                self.others += 1
            self.world.record(f"client: mg {key} {name}: {line[:40]!r}")

    async def run(self) -> None:
        begun, given = time.monotonic(), 0
        while True:
            while given < (time.monotonic() - begun) * RATE:
                given += 1
                if self.queue.qsize() < 200:
                    self.queue.put_nowait(self.key())
            await asyncio.sleep(0.01)


async def case(world: World) -> list[str]:
    farms: list = []
    try:
        return await play(world, await start_farms(farms))
    finally:
        for one in farms:
            one.stdin.close()
        for one in farms:
            await one.wait()


async def play(world: World, addresses: list[str]) -> list[str]:
    discovery = await world.serve(Discovery(world.record))
    for i, address in enumerate(addresses):
        discovery.put(f"s-{i:04}", address)
    node = world.node("n1", {
        "discovery": discovery.address, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024},
        "settings": settings(fleet_size=200),
    })
    await node.start()
    await asyncio.sleep(2)
    world.record.say(f"cache servers={SERVERS}, before any request: {memory(node.process.pid)}")
    load = Load(world, node.port)
    tasks = [asyncio.create_task(load.ask()) for _ in range(CONNECTIONS)] + [asyncio.create_task(load.run())]
    begun, broken = time.monotonic(), []
    while time.monotonic() - begun < SECONDS and not broken:
        await asyncio.sleep(1)
        if not node.runs:
            broken.append("the node has ended")
            break
        now = memory(node.process.pid)
        world.record(
            f"memory: {now} MB, sent={load.sent} served={load.served} others={load.others} keys={len(load.keys)}"
        )
        if now["RssAnon"] > MEMORY_MB:
            broken.append(
                f"{now['RssAnon']:.0f} MB of memory of its own where {MEMORY_MB} are the limit, "
                f"after {time.monotonic() - begun:.0f} s, {load.sent} requests and {len(load.keys)} keys"
            )
    if node.runs:
        world.record.say(
            f"at the end: {memory(node.process.pid)} sent={load.sent} served={load.served} keys={len(load.keys)}"
        )
    for task in tasks:
        task.cancel()
    if load.served < 100:
        raise CouldNotRun("hardly any request was served")
    return broken


if sys.argv[1:2] == ["farm"]:
    asyncio.run(farm(int(sys.argv[2])))
else:
    main(case, __file__)
