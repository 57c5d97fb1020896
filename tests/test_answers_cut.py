"""An answer whose head has come to its client comes whole, however slowly it is taken and why ever its connection ends.

Real processes on loopback; each answer is judged by the bytes that came to its client. Source: the operators' pages on
drains (4 s), planned restarts (the longest deadline and 0.7 s) and hard days (values of up to 4 MiB, read slowly).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import socket
import time
import unittest
from collections.abc import Callable
from dataclasses import dataclass

import uvloop

from tests.helper import VALUE, read
from tests.queue_clients import come
from tests.test_drain_bound import BOUND, LONGEST, Address, DrainTown, Process

SEED = int(os.environ.get("SALTMOOR_SEED", "1"))  # of the clients' moments
LARGE, MIDDLE, SMALL = 4_000_000, 400_000, 40  # bytes of values
EVICTED_OVER = 1_600_000  # bytes of a value that the kernel's send queue holds whole
VALUES = (VALUE * 2)[:LARGE]
RECEIVE_BUFFER = 1 << 16  # bytes, as a slow client's machine has it
FAST, SLOW = 2_000_000, 500_000  # bytes a second that a client takes
TICK = 0.01  # seconds between two reads of a client
SMALL_EVERY = 0.1  # seconds between small requests behind a large one
LARGE_EVERY = 1.4  # seconds between large requests behind a large one
EACH = 6  # clients of a case
BEFORE = 0.5  # seconds for which the large value is taken before the node is told to end
KILLED_AFTER = LONGEST / 1000 + 0.7  # seconds after SIGTERM
PATIENCE = 5.0  # seconds for a machine on which the clients run late
SEEN_WITHIN = 0.5  # seconds: an end is seen by its client
DESCRIPTORS, CROWD = 160, 120


@dataclass
class Answer:
    """One answer as its client has it."""

    head: str
    length: int  # bytes behind the head
    taken: int = 0
    as_sent: bool = True

    @property
    def whole(self) -> bool:
        return self.taken == self.length


class SlowClient:
    """One connection that is read at a given rate through a small receive buffer."""

    def __init__(self, address: Address, number: int, rate: int) -> None:
        self.address, self.number, self.rate = address, number, rate
        self.chance = random.Random(SEED * 1000 + number)
        self.answers: list[Answer] = []
        self.asked = 0
        self.line = b""
        self.ended = 0.0  # when the end of the connection was read, on the monotonic clock
        self.reset = False
        self.tasks: list[asyncio.Task] = []

    async def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self.sock, self.address)
        self.taking = self.spawn(self.take())

    def spawn(self, work) -> asyncio.Task:
        self.tasks.append(asyncio.create_task(work))
        return self.tasks[-1]

    async def take(self) -> None:
        """Read no faster than the rate, up to the end of the connection."""
        loop, room, last = asyncio.get_running_loop(), 0.0, time.monotonic()
        try:
            while True:
                await asyncio.sleep(TICK)
                now = time.monotonic()
                room, last = min(RECEIVE_BUFFER, room + (now - last) * self.rate), now
                if not (data := await loop.sock_recv(self.sock, max(1, int(room)))):
                    break
                room -= len(data)
                self.feed(memoryview(data))
        except OSError:
            self.reset = True
        self.ended = time.monotonic()

    def feed(self, data: memoryview) -> None:
        while data:
            if not self.answers or self.answers[-1].whole:
                data = self.feed_head(data)
                continue
            answer = self.answers[-1]
            part = data[: answer.length - answer.taken]
            expected = VALUES[answer.taken : min(answer.taken + len(part), answer.length - 2)]
            expected += b"\r\n"[max(0, answer.taken - answer.length + 2) :][: len(part) - len(expected)]
            answer.as_sent &= part == expected
            answer.taken += len(part)
            data = data[len(part) :]

    def feed_head(self, data: memoryview) -> memoryview:
        line, end, rest = (self.line + bytes(data)).partition(b"\r\n")
        self.line = b"" if end else line
        if end:
            head = line.decode()
            self.answers.append(Answer(head, int(head.split()[1]) + 2 if head.startswith("VA ") else 0))
        return memoryview(rest)

    def ask(self, size: int) -> None:
        """One more request behind those before it; where the connection has ended nothing."""
        if not self.ended:
            self.asked += 1
            with contextlib.suppress(OSError):
                self.sock.send(read(f"bytes-{size}", f"{self.number:x}{self.asked:04x}", wait=LONGEST).encode())

    async def ask_on(self, size: int, every: float) -> None:
        while not self.ended:
            await asyncio.sleep(every * self.chance.uniform(0.9, 1.1))
            self.ask(size)

    async def ask_behind(self, size: int) -> None:
        """The next one as soon as some of the last one's answer has come, drawn anew each time."""
        while not self.ended:
            part = int(size * self.chance.uniform(0.2, 0.8))
            while not self.ended and not (
                len(self.answers) == self.asked and self.answers[-1].taken >= min(part, self.answers[-1].length)
            ):
                await asyncio.sleep(TICK)
            self.ask(size)

    @property
    def first_whole(self) -> bool:
        return bool(self.answers) and self.answers[0].whole

    def cut(self) -> list[str]:
        """Answers whose head came and that did not come whole, or not as they were sent."""
        how = "reset" if self.reset else "ended" if self.ended else "open"
        return [
            f"client {self.number}: {one.taken:,} of {one.length:,} bytes, connection {how}"
            for one in self.answers
            if not (one.whole and one.as_sent)
        ]

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.sock.close()


class CutTown(DrainTown):
    """The cache server gives as many bytes as the key says."""

    def __init__(self, descriptors: int = 1024) -> None:
        super().__init__()
        self.changed["limits"] = {"sockets": descriptors}
        self.clients: list[SlowClient] = []

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode():
            _, key, *flags = line.split()
            tag = next(flag for flag in flags if flag.startswith("O"))
            size = int(key.partition("-")[2] or SMALL)
            writer.write(f"VA {size} {tag} h1\r\n".encode() + VALUES[:size] + b"\r\n")
            await writer.drain()

    async def slow_clients(self, rate: int, begin: Callable[[SlowClient], None]) -> list[SlowClient]:
        self.clients = [SlowClient(self.address, number, rate) for number in range(1, EACH + 1)]
        for one in self.clients:
            await one.connect()
            begin(one)
        return self.clients


def large_and_small(client: SlowClient) -> None:
    """A large value, and small requests behind it all the while."""
    client.ask(LARGE)
    client.spawn(client.ask_on(SMALL, SMALL_EVERY))


def one_behind_the_other(client: SlowClient) -> None:
    client.ask(MIDDLE)
    client.spawn(client.ask_behind(MIDDLE))


def large_behind_large(client: SlowClient) -> None:
    client.ask(LARGE)
    client.ask(LARGE)
    client.spawn(client.ask_on(LARGE, LARGE_EVERY))


def asked_again_midway(client: SlowClient) -> None:
    client.ask(EVICTED_OVER)
    client.spawn(client.ask_behind(EVICTED_OVER))


class AnswersCut(unittest.TestCase):
    def play(self, town: CutTown, scene) -> None:
        async def run() -> None:
            async with town:
                try:
                    await scene(town, *await town.begin())
                finally:
                    for one in town.clients:
                        one.close()

        uvloop.run(asyncio.wait_for(run(), 30))

    async def ended(self, clients: list[SlowClient], until: float) -> None:
        """Wait for the ends of all, up to that moment."""
        await asyncio.wait({one.taking for one in clients}, timeout=max(0.0, until - time.monotonic()))

    async def judge_first(self, clients: list[SlowClient], until: float) -> None:
        """The first answer of each client alone, where the node goes on and so do its clients."""
        while time.monotonic() < until and not all(one.ended or one.first_whole for one in clients):
            await asyncio.sleep(TICK)
        first = [one.answers[0] for one in clients if one.answers]
        resets = [one.number for one in clients if one.reset]
        cut = [f"{one.taken:,} of {one.length:,} bytes" for one in first if not (one.whole and one.as_sent)]
        self.assertEqual(len(first), EACH)
        self.assertEqual(cut, [], f"answers cut, of {EACH} clients")
        self.assertEqual(resets, [], "connections reset")

    def judge(self, clients: list[SlowClient]) -> None:
        cut = [what for one in clients for what in one.cut()]
        resets = [one.number for one in clients if one.reset]
        self.assertTrue(all(one.answers for one in clients), "a client got nothing at all")
        self.assertEqual(cut, [], f"answers cut, of {len(clients)} clients")
        self.assertEqual(resets, [], "connections reset")

    async def drain(self, town: CutTown, admin: Address) -> float:
        await asyncio.sleep(BEFORE)
        called = time.monotonic()
        self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))
        return called

    async def stop(self, node: Process) -> None:
        """As the operators end a process: SIGTERM, then SIGKILL."""
        node.terminate()
        try:
            await asyncio.wait_for(node.wait(), KILLED_AFTER)
        except TimeoutError:
            node.kill()
            await node.wait()

    def test_a_drain_cuts_no_large_value_behind_which_more_is_asked(self):
        """Guards against an end that takes what lies in the send queue for delivered."""
        for begin, rate in (large_and_small, FAST), (one_behind_the_other, SLOW):

            async def scene(town: CutTown, node: Process, admin: Address, begin=begin, rate=rate) -> None:
                clients = await town.slow_clients(rate, begin)
                called = await self.drain(town, admin)
                await self.ended(clients, called + BOUND)
                held = [one.number for one in clients if not one.ended]
                self.judge(clients)
                self.assertEqual(held, [], "held 4 s after the call")

            with self.subTest(begin.__name__):
                self.play(CutTown(), scene)

    def test_a_stop_cuts_no_large_value_behind_which_more_is_asked(self):
        for begin, rate in (large_and_small, FAST), (one_behind_the_other, SLOW):

            async def scene(town: CutTown, node: Process, admin: Address, begin=begin, rate=rate) -> None:
                clients = await town.slow_clients(rate, begin)
                await asyncio.sleep(BEFORE)
                told = time.monotonic()
                await self.stop(node)
                await self.ended(clients, told + KILLED_AFTER + SEEN_WITHIN)
                self.judge(clients)
                self.assertEqual(node.returncode, 0)

            with self.subTest(begin.__name__):
                self.play(CutTown(), scene)

    def test_what_is_asked_behind_a_large_value_does_not_lengthen_its_connection_s_life(self):
        """Guards against a drain that serves on what was asked behind the value that was being written at its call."""

        async def scene(town: CutTown, node: Process, admin: Address) -> None:
            clients = await town.slow_clients(SLOW, large_behind_large)
            called = await self.drain(town, admin)
            await self.ended(clients, called + BOUND)
            held = [one for one in clients if not one.ended]
            beyond = [one.number for one in held if one.first_whole]
            self.assertEqual(beyond, [], "held 4 s after the call, with the value of the call's moment taken")
            await self.ended(clients, called + LARGE / SLOW + PATIENCE)
            served = [one.number for one in clients if sum(answer.length > 0 for answer in one.answers) > 1]
            self.assertEqual(served, [], "what was asked behind was served")
            self.judge(clients)
            self.assertEqual([one.number for one in clients if not one.ended], [], "held with the value taken")

        self.play(CutTown(), scene)

    def test_an_eviction_cuts_no_answer_that_is_still_taken(self):
        """Guards against a connection that counts as free while its client's machine has not taken the last answer."""

        async def scene(town: CutTown, node: Process, admin: Address) -> None:
            clients = await town.slow_clients(FAST // 2, asked_again_midway)
            await asyncio.sleep(BEFORE / 2)
            crowd = await come(town.address, ("hit",), CROWD, itertools.count(100).__next__)
            await self.judge_first(clients, time.monotonic() + PATIENCE)
            for one in crowd:
                one.transport.abort()

        self.play(CutTown(DESCRIPTORS), scene)

    def test_an_upgrade_cuts_no_answer_that_is_still_taken(self):
        async def scene(town: CutTown, node: Process, admin: Address) -> None:
            clients = await town.slow_clients(FAST, large_and_small)
            await town.begin()
            self.assertFalse(any(one.first_whole for one in clients), "taken before the signal")
            await self.stop(node)
            await self.judge_first(clients, time.monotonic() + PATIENCE)
            self.assertEqual(node.returncode, 0)

        self.play(CutTown(), scene)


if __name__ == "__main__":
    unittest.main()
