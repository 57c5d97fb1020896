"""Clients that ask much at once and take their answers slowly get all of them, and leave room for others.

Guards against connections that a node at its bound of open requests ends with requests unanswered (review/8).
"""

from __future__ import annotations

import asyncio
import socket
import unittest
from unittest import mock

from saltmoor.guard import ends
from tests.helper import Town, read, within

SIZE = 60_000  # bytes of a value: one that is held whole
MEMORY_MB = 40  # room for 72 open requests
CLIENTS, READS = 8, 40
KERNEL_BUFFER = 8_192  # bytes that each machine takes at most of what its program does not read, or is to send
STILL = 1_000_000  # microseconds


class LongAnswers(Town):
    """Its cache server answers each read with a value of 60,000 bytes."""

    def __init__(self) -> None:
        super().__init__(limits={"memory_mb": MEMORY_MB})
        self.readers: list[Reader] = []

    def note(self, text: str) -> None:
        pass

    async def __aenter__(self) -> LongAnswers:
        await super().__aenter__()
        self.service.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_BUFFER)  # of those it accepts
        return self

    async def __aexit__(self, *error) -> None:
        for reader in self.readers:
            reader.sock.close()
        await asyncio.sleep(0.05)  # the node sees them leave
        await super().__aexit__(*error)

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).split():
            if line[0] == b"stats":
                writer.write(b"STAT queue 0\r\nEND\r\n")
            else:
                tag = next(flag for flag in line if flag.startswith(b"O"))
                writer.write(b"VA %d %b h1\r\n%b\r\n" % (SIZE, tag, b"a" * SIZE))
        writer.close()

    @property
    def full(self) -> bool:
        """All places that clients with several requests may have are taken, by answers that are not taken."""
        clients = self.service.clients
        waiting = all(slot.answer is not None for client in clients.clients for slot in client.slots)
        return waiting and not clients.has_place(pipelined=True)


class Reader:
    """A client that writes reads ahead of their answers, and takes what comes only as it is told to."""

    def __init__(self, town: LongAnswers, number: int) -> None:
        self.town, self.number = town, number
        town.readers.append(self)
        self.size, self.pause = 65_536, 0.0  # bytes taken at once, and seconds between two takes
        self.asked, self.held, self.ended = 0, bytearray(), False
        self.answers: list[str] = []  # their first words
        self.refusals: list[bytes] = []  # whole lines
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, KERNEL_BUFFER)

    async def ask(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        if not self.asked:
            await within(5, loop.sock_connect(self.sock, self.town.address[:2]))
        lines = [read(f"k{i}", f"{self.number}-{i}") for i in range(self.asked, self.asked + count)]
        self.asked += count
        try:
            await within(5, loop.sock_sendall(self.sock, "".join(lines).encode()))
        except ConnectionError:
            self.ended = True

    async def take(self) -> None:
        """Take `size` bytes at most, and note which answers are whole."""
        data = await asyncio.get_running_loop().sock_recv(self.sock, self.size)
        self.ended = self.ended or not data
        self.held += data
        while (end := self.held.find(b"\r\n")) >= 0:
            words = bytes(self.held[:end]).split()
            size = int(words[1]) + 2 if words[0] == b"VA" else 0
            if len(self.held) < end + 2 + size:
                return
            del self.held[: end + 2 + size]
            self.answers.append(words[0].decode())
            if words[0] == b"SERVER_ERROR":
                self.refusals.append(b" ".join(words))

    async def take_all(self, count: int) -> None:
        while len(self.answers) < count and not self.ended:
            await self.take()
            await asyncio.sleep(self.pause)


async def ask_one_each(readers: list[Reader]) -> None:
    """One read more of each that has any left, and the time for the node to answer them.

    Guards against a node that finds itself overloaded on a busy machine, and turns a burst of reads away for that.
    """
    for reader in readers:
        if reader.asked < READS and not reader.ended:
            await reader.ask(1)
    await asyncio.sleep(0.02)


class SlowReaders(unittest.IsolatedAsyncioTestCase):
    async def fill(self, town: LongAnswers) -> list[Reader]:
        """Clients that have asked for all their reads and take nothing; no connection ends meanwhile."""
        readers = [Reader(town, number) for number in range(CLIENTS)]

        async def full() -> None:
            while not town.full:
                await ask_one_each(readers)

        await within(10, full())
        for reader in readers:
            await reader.ask(READS - reader.asked)
        self.assertEqual(town.codes_of("client"), [])
        return readers

    async def test_each_read_is_answered_at_any_pace(self):
        for size, pause in (65_536, 0.002), (16_384, 0.0):
            async with LongAnswers() as town:
                readers = await self.fill(town)
                await asyncio.sleep(0.3)  # none of them is ended meanwhile
                for reader in readers:
                    reader.size, reader.pause = size, pause
                await within(30, asyncio.gather(*[one.take_all(READS) for one in readers]))
                with self.subTest(size=size):
                    self.assertEqual([len(one.answers) for one in readers], [READS] * CLIENTS)
                    self.assertEqual({"VA", "SERVER_ERROR"}, {answer for one in readers for answer in one.answers})
                    self.assertEqual(town.codes_of("client"), [])

    async def test_who_waits_for_each_answer_is_served_beside_them(self):
        async with LongAnswers() as town:
            await self.fill(town)
            reader = Reader(town, CLIENTS)
            await reader.ask(1)
            await within(5, reader.take_all(1))
            self.assertEqual(reader.answers, ["VA"])

    async def test_a_refusal_says_when_to_come_back(self):
        async with LongAnswers() as town:
            with mock.patch.object(type(town.service.door), "hint", lambda door: 250_000):
                await self.fill(town)
                reader = Reader(town, CLIENTS)
                await reader.ask(2)
                await within(5, reader.take_all(2))
            self.assertEqual(reader.refusals, [b"SERVER_ERROR busy 250"])

    async def test_only_who_takes_nothing_for_long_is_ended_and_only_where_places_are_short(self):
        with mock.patch.object(ends, "STILL", STILL):
            async with LongAnswers() as town:
                idle, slow, *others = [Reader(town, number) for number in range(2 + CLIENTS)]
                await idle.ask(8)
                await asyncio.sleep(2 * STILL / 1_000_000)
                self.assertEqual(town.codes_of("client"), [])
                slow.size, slow.pause = 4_096, STILL / 20_000_000
                await slow.ask(1)
                taking = asyncio.create_task(slow.take_all(READS))

                async def short() -> None:
                    while not town.codes_of("client"):
                        await ask_one_each([slow, *others])

                await within(10, short())
                await slow.ask(READS - slow.asked)
                slow.size, slow.pause = 65_536, 0.0
                await within(10, taking)
                self.assertEqual(len(slow.answers), READS)
                self.assertEqual(set(town.codes_of("client")), {"stalled"})


if __name__ == "__main__":
    unittest.main()
