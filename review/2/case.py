"""Values of up to 4 MiB are written slowly by some clients; do the writes of the others get their final answers?"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand"))
from settings import aside
from world import (BROKEN, HELD, TROUBLE, Cache, CannotRun, Discovery, Node, Origin, acknowledged, play, read_answer,
                   request_id)

MEMORY_MB = 192  # the most that a node has on the days that are scored
LARGE, WRITERS = 4 << 20, 64  # together 256 MiB: far over the memory limit
RATE = 400_000  # bytes a second of a slow one
PIECE = 20_000
ORDINARY = 70_000  # bytes that an ordinary client writes at once
WAIT_MS = 1500  # how long an ordinary client waits for its answer
SLACK = 0.5  # seconds behind its time after which a request is lost


def head(number: int, size: int, wait: int) -> bytes:
    ident = request_id(number)
    return f"ms key{number} {size} O{ident} Pc=registro-entrega,t=coop-mira,d={wait},k={ident}\r\n".encode()


async def large(record, port: int, number: int, slow: bool) -> None:
    """Write 4 MiB in pieces, slowly or as fast as they are taken, and read the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        record(f"large{number}", f"writes {LARGE} bytes, {'slowly' if slow else 'at once'}")
        writer.write(head(number, LARGE, 2500))
        loop = asyncio.get_running_loop()
        due = loop.time()
        for start in range(0, LARGE, PIECE):
            writer.write(b"x" * min(PIECE, LARGE - start))
            await writer.drain()
            if slow:
                due += PIECE / RATE
                await asyncio.sleep(max(0, due - loop.time()))
        writer.write(b"\r\n")
        await writer.drain()
        record(f"large{number}", "wrote its last byte")
        said = await asyncio.wait_for(read_answer(reader), 30)
        record(f"large{number}", f"answer {said!r}")
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record(f"large{number}", f"{type(error).__name__}")
    finally:
        writer.close()


async def ordinary(record, port: int, number: int) -> float | None:
    """Write one value at once. Seconds from when the node's machine had its last byte to the whole answer, or to the
    moment in which it is lost; None where the node's machine has not taken it all."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    who, answer = f"client{number}", None
    try:
        record(who, f"writes {ORDINARY} bytes, d={WAIT_MS}, id={request_id(number)}")
        writer.write(head(number, ORDINARY, WAIT_MS) + b"y" * ORDINARY + b"\r\n")
        answer = asyncio.ensure_future(read_answer(reader))
        began = loop.time()
        while not acknowledged(writer) and not answer.done():
            if loop.time() - began > 20:
                record(who, "the node's machine has not all of it")
                return None
            await asyncio.sleep(0.002)
        taken = loop.time()
        record(who, "the node's machine has its last byte")
        try:
            said = await asyncio.wait_for(asyncio.shield(answer), WAIT_MS / 1000 + SLACK)
        except TimeoutError:
            record(who, f"no answer {WAIT_MS} ms + {SLACK} s after its last byte: lost")
            said = b"-"
            # Look on for a while, to tell a late answer from none.
            try:
                late = await asyncio.wait_for(answer, 15)
                record(who, f"late answer {late!r} after {loop.time() - taken:.2f} s")
            except (OSError, TimeoutError) as error:
                record(who, f"still none after {loop.time() - taken:.2f} s ({type(error).__name__})")
            return WAIT_MS / 1000 + SLACK + 1
        if not said:
            record(who, "connection ended with no whole answer: lost")
            return WAIT_MS / 1000 + SLACK + 1
        record(who, f"answer {said!r} after {loop.time() - taken:.3f} s")
        return loop.time() - taken
    except (OSError, asyncio.IncompleteReadError) as error:
        record(who, f"connection broke: {type(error).__name__}")
        return WAIT_MS / 1000 + SLACK + 1
    finally:
        if answer:
            answer.cancel()
        writer.close()


async def case(record, temp, nodes) -> int:
    caches = [Cache(f"s-{i}", record, zone=("ibarra", "cayambe")[i % 2], kind="lento-4", cell=i) for i in range(6)]
    origin = Origin("origin", record, caches)
    for server in (*caches, origin):
        await server.start()
    discovery = Discovery(record, [*caches, origin])
    await discovery.start()
    node = Node("n1", record, temp, aside(), discovery, memory_mb=MEMORY_MB)
    nodes.append(node)
    await node.start()
    for number in range(5):  # all is well before
        if (took := await ordinary(record, node.port, number)) is None or took > WAIT_MS / 1000:
            raise CannotRun("writes fail before anything was done")
    writers = []
    for number in range(1000, 1000 + WRITERS):
        writers.append(asyncio.create_task(large(record, node.port, number, TROUBLE)))
        await asyncio.sleep(0.08)
    others = []
    for number in range(100, 140):
        others.append(asyncio.create_task(ordinary(record, node.port, number)))
        await asyncio.sleep(0.25)
    took = await asyncio.gather(*others)
    for writer in writers:
        writer.cancel()
    if node.process.poll() is not None:
        raise CannotRun("the node has ended")
    counted = [one for one in took if one is not None]
    lost = sum(one > WAIT_MS / 1000 + SLACK for one in counted)
    record.say(f"ordinary writes: {len(took)}, taken whole by the node's machine: {len(counted)}, lost: {lost}")
    if len(counted) < len(took) // 2:
        raise CannotRun("too few writes were taken whole")
    return BROKEN if lost else HELD


play(case, Path(__file__).parent)
