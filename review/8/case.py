"""Clients that send many reads at once and take the answers at a steady pace: each gets all of them."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand-2"))
from stand import HOST, TROUBLE, Cache, CouldNotRun, Discovery, World, main, settings  # noqa: E402

CLIENTS, READS, SIZE = 16, 200, 60_000
PIECE, EVERY = 50_000, 0.05  # bytes, seconds: one megabyte a second
LONGEST = 45.0  # seconds for one client


class Reader:
    """One client's connection: sends its reads at once, takes what comes, and never stops taking."""

    def __init__(self, world: World, number: int, port: int) -> None:
        self.record, self.number, self.port = world.record, number, port
        self.ids = [f"{number:04x}{i:012x}" for i in range(READS)]
        self.answers: list[str] = []
        self.held, self.ended, self.gap, self.got = bytearray(), "", 0.0, 0

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, (HOST, self.port))
        lines = [f"mg k{i % 40} v O{one} Pc=read,d=2000\r\n" for i, one in enumerate(self.ids)]
        await loop.sock_sendall(sock, "".join(lines).encode())
        self.record(f"client {self.number}: sent {READS} reads")
        begun = last = time.monotonic()
        try:
            while len(self.answers) < READS and time.monotonic() - begun < LONGEST:
                data = await asyncio.wait_for(loop.sock_recv(sock, PIECE if TROUBLE else 1 << 20), 6)
                now = time.monotonic()
                self.gap, last = max(self.gap, now - last), now
                if not data:
                    self.ended = "end"
                    break
                self.got += len(data)
                self.held += data
                self.parse()
                if TROUBLE:
                    await asyncio.sleep(EVERY)
        except TimeoutError:
            self.ended = "nothing for 6 s"
        except OSError as error:
            self.ended = f"{type(error).__name__}"
        sock.close()
        whole = sum(one == "value" for one in self.answers)
        self.record(
            f"client {self.number}: answers={len(self.answers)} of {READS} values={whole} bytes={self.got} "
            f"ended={self.ended or 'by the client'} after_s={time.monotonic() - begun:.2f} longest_wait_s={self.gap:.2f}"
        )

    def parse(self) -> None:
        while (end := self.held.find(b"\r\n")) >= 0:
            words = bytes(self.held[:end]).split()
            if words[0] == b"VA":
                if len(self.held) < end + 2 + int(words[1]) + 2:
                    return
                del self.held[: end + 2 + int(words[1]) + 2]
                self.answers.append("value" if words[2][1:].decode() == self.ids[len(self.answers)] else "foreign")
            else:
                del self.held[: end + 2]
                self.answers.append(b" ".join(words).decode())


async def case(world: World) -> list[str]:
    discovery = await world.serve(Discovery(world.record))
    for i in range(3):
        cache = await world.serve(Cache(world.record, f"s-{i}", SIZE))
        discovery.put(f"s-{i}", cache.address)
    node = world.node("n1", {
        "discovery": discovery.address, "seed": "7", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings(),
    })
    await node.start()
    await asyncio.sleep(1)
    readers, tasks = [], []
    for i in range(CLIENTS):
        readers.append(Reader(world, i + 1, node.port))
        tasks.append(asyncio.create_task(readers[-1].run()))
        await asyncio.sleep(0.2)
    await asyncio.gather(*tasks)
    if not any("value" in one.answers for one in readers):
        raise CouldNotRun("no read was served")
    if not node.runs:
        return ["the node has ended"]
    broken = []
    for one in readers:
        # The answer that was begun is left out: the client can tell that it is not whole.
        lost = READS - len(one.answers) - bool(one.held)
        if one.ended and lost > 0:
            broken.append(f"client {one.number}: {lost} reads without an answer, connection: {one.ended}")
        if "foreign" in one.answers:
            broken.append(f"client {one.number}: an answer to something else")
    return broken


main(case, __file__)
