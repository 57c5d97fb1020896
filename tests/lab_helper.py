"""A node with planted faults, in one loop with the lab's stand-ins and clients: what the ledger must find."""

from __future__ import annotations

import asyncio
import re
from zlib import crc32

from saltmoor.lab import arrivals
from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book
from saltmoor.lab.clients import Clients
from saltmoor.lab.ledger import Ledger
from saltmoor.lab.stage import Stage
from saltmoor.lab.wire import Driver

SMALL = {
    "name": "small",
    "about": "a second of little load",
    "length_s": 1.0,
    "settle_s": 0.1,
    "fleet": {"servers": 3, "kind": [{"name": "std", "cores": 2}]},
    "origin": {"work_ms": 5},
    "discovery": {"late_ms": [0, 1], "grace_ms": 200},
    "cold": {"share": 0.1, "warm_s": 5, "multiple": 2, "window_s": 0.2},
    "profile": [
        {"name": "read", "share": 6, "work_ms": 2, "goal_ms": 200, "limit_ms": 800},
        {
            "name": "put",
            "share": 2,
            "work_ms": 2,
            "goal_ms": 200,
            "limit_ms": 1000,
            "write": True,
            "repeat": "journalled",
            "window_ms": 150,
        },
        {
            "name": "once",
            "share": 2,
            "work_ms": 2,
            "goal_ms": 200,
            "limit_ms": 1000,
            "write": True,
            "repeat": "non-idempotent",
        },
    ],
    "load": {"rate": 150, "keys": 100, "retries": 0, "connections": 60},
}


class BadNode:
    """Passes commands on, and does one thing wrong now and then."""

    def __init__(self, stage: Stage, plant: str) -> None:
        self.stage, self.plant, self.count, self.last = stage, plant, 0, b""

    def port(self, name: str) -> int:
        servers = [self.stage.origin, *self.stage.caches]
        return next(one.ports[0].number for one in servers if one.name == name)

    async def follow(self) -> None:
        """Told of the list, and takes no notice."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.stage.registry.ports[0].number)
        writer.write(b"GET /v1/servers?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.read()
        writer.close()

    async def hop(self, name: str, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port(name))
        writer.write(data)
        answer = await reader.readline()
        if name == "origin":
            head = await reader.readuntil(b"\r\n\r\n")
            answer = await reader.readexactly(int(re.search(rb"Content-Length: (\d+)", head)[1]))
        elif answer.startswith(b"VA"):
            answer += await reader.readexactly(int(answer.split()[1]) + 2)
        writer.close()
        return answer

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.converse(reader, writer)
        finally:
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            words, value = line.split(), b""
            if words[0] == b"ms":
                value = await reader.readexactly(int(words[2]) + 2)
            self.count += 1
            wrong = self.count % 10 == 5
            answer = await self.transact(line, words, value, wrong)
            if wrong and self.plant == "dropped":
                break
            if wrong and self.plant == "swapped" and answer.startswith(b"VA"):
                answer, self.last = self.last or answer, answer
            if wrong and self.plant == "cut":
                writer.write(answer[:-5])
                break
            writer.write(answer * (2 if wrong and self.plant == "doubled" else 1))

    async def transact(self, line: bytes, words: list[bytes], value: bytes, wrong: bool) -> bytes:
        key, ident = words[1], next(word for word in words if word[:1] == b"O")
        listed = next(word for word in words if word[:1] == b"P")[1:]
        head = b"/%b HTTP/1.1\r\nHost: x\r\nX-Request-ID: %b\r\nX-Attrs: %b\r\n" % (key, ident[1:], listed)
        if words[0] == b"ms":
            put = b"PUT %bContent-Length: %d\r\n\r\n%b" % (head, len(value) - 2, value[:-2])
            receipt = await self.hop("origin", put)
            if self.plant == "late-repeat" and b"c=put" in listed and wrong:
                await asyncio.sleep(0.3)
                receipt = await self.hop("origin", put)
            if self.plant == "repeated" and b"c=once" in listed and wrong:
                receipt = await self.hop("origin", put)
            if self.plant == "refused" and b"c=once" in listed:
                return b"SERVER_ERROR busy\r\n"
            return b"HD %b c%b\r\n" % (ident, receipt)
        servers = [one for one in self.stage.caches if one.running]
        server = servers[-1 if self.plant == "flooded" else crc32(key) % len(servers)]
        answer = await self.hop(server.name, line)
        if answer.startswith(b"EN"):
            body = await self.hop("origin", b"GET %b\r\n" % head)
            answer = b"VA %d %b\r\n%b\r\n" % (len(body), ident, body)
        if self.plant == "made-up" and wrong:
            return b"VA 2 %b\r\nok\r\n" % ident
        return answer


async def planted(plant: str) -> Ledger:
    """What the ledger makes of a second with that fault."""
    faults = {
        "drained": [{"kind": "drain", "at_s": 0.2, "which": [0], "ms": 5000}],
        "flooded": [{"kind": "grow", "at_s": 0.1}],
    }.get(plant, [])
    said = SMALL | {"fault": faults}
    if plant == "flooded":
        slow = [{**profile, "work_ms": 15} for profile in SMALL["profile"]]
        said = said | {"load": {**SMALL["load"], "rate": 400}, "profile": slow}
    scenario, book = plan.check(said), Book()
    driver = Driver()
    stage = Stage(scenario, 1, 1, book, driver)
    stage.open()
    node = BadNode(stage, plant)
    server = await asyncio.start_server(node.serve, "127.0.0.1", 0)
    follow = asyncio.create_task(node.follow())
    book.note("node", driver.clock(), 0, "ready", 0)
    clients = Clients(scenario, [server.sockets[0].getsockname()[:2]], book, driver, part=0, parts=1, tag="t")
    begin = driver.clock() + 50_000
    stage.schedule(begin)
    clients.play(arrivals.draw(scenario, 1), begin)
    while not clients.finished:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)
    server.close()
    follow.cancel()
    for task in asyncio.all_tasks() - {asyncio.current_task()}:
        task.cancel()
    await asyncio.sleep(0.05)
    ledger = Ledger(scenario, [list(row) for row in book.rows])
    ledger.check()
    return ledger
