"""Clients that write values of 4 MiB leave before they have their answers: does the node stay within its memory?"""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand"))
from settings import aside
from world import (BROKEN, HELD, TROUBLE, Cache, CannotRun, Discovery, Node, Origin, acknowledged, play, read_answer,
                   request_id)

MEMORY_MB = 192  # the most that a node has on the days that are scored
LARGE = 4 << 20
READS = 200  # a second
BURSTS, EVERY, AT_ONCE = 10, 2.5, 12  # of large writes: so many, so many seconds apart, of so many clients each
BEFORE, AFTER = 4, 4  # seconds


async def large(record, port: int, number: int, leaves: bool, said: Counter) -> None:
    """Write 4 MiB at once; once the node's machine has it all, wait for the answer, or leave before it is there."""
    ident, who = request_id(number), f"client{number}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(f"ms large{number} {LARGE} O{ident} Pc=registro-entrega,t=coop-mira,d=2500,k={ident}\r\n".encode())
        writer.write(b"x" * LARGE + b"\r\n")
        async with asyncio.timeout(5):
            await writer.drain()
            while not acknowledged(writer):
                await asyncio.sleep(0.005)
        record(who, f"wrote {LARGE} bytes, id={ident}")
        answer = asyncio.ensure_future(read_answer(reader))
        if leaves:
            await asyncio.wait({answer}, timeout=0.15)
        if leaves and not answer.done():
            answer.cancel()
            said["left"] += 1
            record(who, "leaves")
        else:
            line = await asyncio.wait_for(answer, 5)
            said["write " + line.split(b" O")[0].decode().strip()] += 1
            record(who, f"answer {line!r}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        said[f"write {type(error).__name__}"] += 1
        record(who, type(error).__name__)
    finally:
        writer.close()


async def read(port: int, number: int, said: Counter) -> None:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        ident = request_id(number)
        writer.write(f"mg hot{number % 50} v O{ident} Pc=consulta-ruta,t=coop-mira,d=2000\r\n".encode())
        line = await asyncio.wait_for(read_answer(reader), 3)
        said["read " + line.split(b" ")[0].decode().strip()] += 1
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        said[f"read {type(error).__name__}"] += 1


async def case(record, temp, nodes) -> int:
    caches = [Cache(f"s-{i}", record, zone=("ibarra", "cayambe")[i % 2], kind="lento-4", cell=i) for i in range(6)]
    origin = Origin("origin", record, caches)
    origin.work = 0.3
    for server in (*caches, origin):
        await server.start()
    discovery = Discovery(record, [*caches, origin])
    await discovery.start()
    node = Node("n1", record, temp, aside(), discovery, memory_mb=MEMORY_MB)
    nodes.append(node)
    await node.start()
    loop = asyncio.get_running_loop()
    said, tasks, number, bursts, looked = Counter(), [], 0, 0, 0.0
    began = loop.time()
    while (now := loop.time() - began) < BEFORE + BURSTS * EVERY + AFTER:
        while number < now * READS:
            number += 1
            tasks.append(asyncio.create_task(read(node.port, number, said), name="client"))
        if bursts < BURSTS and now >= BEFORE + bursts * EVERY:
            if not bursts:
                record.say(f"before: {node.memory_mb():.0f} MB held, {dict(said)}")
                if said["read VA"] < READS * BEFORE // 2:
                    raise CannotRun("it does not serve")
            bursts += 1
            for at in range(AT_ONCE):
                one = large(record, node.port, 1_000_000 + 1000 * bursts + at, TROUBLE, said)
                tasks.append(asyncio.create_task(one, name="client"))
        await asyncio.sleep(0.01)
        if node.process.poll() is not None:
            raise CannotRun("the node has ended by itself")
        held = node.memory_mb()
        if now - looked > 0.25:
            looked = now
            record("platform", f"{node.name} holds {held:.0f} MB")
        if held > MEMORY_MB:
            node.process.kill()
            record.say(f"killed: it holds {held:.0f} MB, {MEMORY_MB} MB is its limit, {now - BEFORE:.1f} s after the first "
                       f"burst; {dict(said)}")
            return BROKEN
    await asyncio.gather(*tasks)
    record.say(f"most held: {node.peak:.0f} MB; {dict(said)}")
    return HELD


play(case, Path(__file__).parent)
