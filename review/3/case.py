"""Some answers of the origin are a header line that does not end: does the node stay within its memory?"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand"))
from settings import aside
from world import BROKEN, HELD, TROUBLE, Cache, CannotRun, Discovery, Node, Origin, play, read_answer, request_id

MEMORY_MB = 192  # the most that a node has on the days that are scored
RATE = 200  # requests a second that come to the node
NEW = 0.2  # of them ask for keys that are wanted only once, and so are fetched
SPOILT = 0.1  # of the origin's answers, from then on
BEFORE, SECONDS = 5, 30
PIECE = b"z" * 16384


class Spoiling(Origin):
    """Some of its answers are a header line that goes on until the connection ends."""

    share, spoilt = 0.0, 0

    async def reply(self, writer, verb, key, ident, body) -> bool:
        if random.random() >= self.share:
            return await super().reply(writer, verb, key, ident, body)
        self.runs.append((self.record.now(), ident, verb.decode()))
        await asyncio.sleep(self.work)
        self.spoilt, sent = self.spoilt + 1, 0
        self.record(self.name, f"a spoilt answer to {ident} begins")
        try:
            writer.write(b"HTTP/1.1 200 OK\r\nX-Server-Load: ")
            while True:
                writer.write(PIECE)
                await writer.drain()
                sent += len(PIECE)
        except OSError:
            return False
        finally:
            self.record(self.name, f"the spoilt answer to {ident} had {sent} bytes when its connection ended")


async def client(record, port: int, number: int, said: Counter) -> None:
    ident = request_id(number)
    key = f"new{number}" if random.random() < NEW else f"hot{random.randrange(50)}"
    began = record.now()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"mg {key} v O{ident} Pc=consulta-ruta,t=coop-mira,d=2000\r\n".encode())
        answer = await asyncio.wait_for(read_answer(reader), 2.5)
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer = type(error).__name__.encode()
    kind = answer.split(b" O")[0].split(b" 1")[0].decode().strip() or "no answer"
    said[kind.split(" ")[0] if kind.startswith("VA") else kind] += 1
    record("client", f"{ident} {key}: {answer!r} after {record.now() - began:.3f} s")


async def case(record, temp, nodes) -> int:
    caches = [Cache(f"s-{i}", record, zone=("ibarra", "cayambe")[i % 2], kind="lento-4", cell=i) for i in range(6)]
    origin = Spoiling("origin", record, caches)
    origin.work = 0.1
    for server in (*caches, origin):
        await server.start()
    discovery = Discovery(record, [*caches, origin])
    await discovery.start()
    node = Node("n1", record, temp, aside(), discovery, memory_mb=MEMORY_MB)
    nodes.append(node)
    await node.start()
    said, tasks, looked = Counter(), [], 0.0
    loop = asyncio.get_running_loop()
    began = loop.time()
    for number in range(RATE * SECONDS):
        if number == RATE * BEFORE:
            record.say(f"before: {node.memory_mb():.0f} MB held, {dict(said)}")
            if said["VA"] < RATE * BEFORE // 2:
                raise CannotRun("it does not serve")
            said.clear()
            origin.share = SPOILT if TROUBLE else 0.0
        tasks.append(asyncio.create_task(client(record, node.port, number, said), name=f"client{number}"))
        await asyncio.sleep(max(0.0, began + number / RATE - loop.time()))
        if node.process.poll() is not None:
            raise CannotRun("the node has ended by itself")
        held = node.memory_mb()
        if loop.time() - looked > 0.25:
            looked = loop.time()
            record("platform", f"{node.name} holds {held:.0f} MB")
        if held > MEMORY_MB:
            node.process.kill()
            record.say(f"killed: it holds {held:.0f} MB, {MEMORY_MB} MB is its limit; {origin.spoilt} answers were spoilt, "
                       f"{number / RATE - BEFORE:.1f} s after the first could be; {dict(said)}")
            return BROKEN
    await asyncio.gather(*tasks)
    record.say(f"most held: {node.peak:.0f} MB; spoilt answers: {origin.spoilt}; {dict(said)}")
    return HELD


play(case, Path(__file__).parent)
