"""A drain's bounds count from when its call is sent, also at a node that the machine gives a fraction of a core.

Real processes on loopback; `STARVED_SEED` draws other clients and moments. Source: the operators' pages on the second
address, and their incident of docs/incidents/drain-held-queue.md.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import random
import socket
import sys
import threading
import time
import unittest
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass

import uvloop

from tests.helper import TICK
from tests.queue_clients import QueueClient
from tests.test_drain_bound import Address, DrainTown, Process
from tests.test_drain_queue import ask_mn

SEED = int(os.environ.get("STARVED_SEED", "1"))
BOUND = 4.0  # seconds after the call: from then on no client's connection may be held
RECENT = 2.0  # seconds: whose last request is older than that, and open, may be held longer
A_CALLER_WAITS = 1.0  # seconds, however busy the node is
HEARD_WITHIN = 0.3  # seconds, at a quarter of a core: `mn` is a no from then on
GIVEN_UP = 5.0  # seconds after which no answer is waited for
MN_EVERY = 0.05
READY_EVERY, READY_CALLS = 0.25, 12  # seconds between two calls before the drain's, and their number
READY, DRAIN = "GET /_ready", "POST /_lameduck/on"
YES = b"HTTP/1.1 200"
PRESSING_EVERY = 0.04  # seconds between two requests of a client that asks 25 times a second
COMING = 0.5  # seconds in which the clients connect, before the halts begin
BUSY = 1.0, 1.5  # seconds between the first halt and the first call
SILENT_CALLERS = 30
MIXED = ("pressing",) * 6 + ("closed_loop", "overlapping", "hit", "silent")
PRESSING = ("pressing",) * 7 + ("closed_loop",)
ESTABLISHED = 1  # state of a connection whose other end has not been heard of, first byte of TCP_INFO


@dataclass(frozen=True)
class Fraction:
    """Which part of a core the node gets, and how many clients it has."""

    run_ms: int
    every_ms: int
    clients: int


QUARTER = Fraction(25, 100, 360)
TWELFTH = Fraction(10, 120, 60)
TWELFTH_BUSY = Fraction(10, 120, 120)


class StarvedTown(DrainTown):
    """Real processes of a node that is killed with requests open."""

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.CancelledError):  # asyncio of Python 3.11 prints one as a fault
            await super().cache(reader, writer)


class StarvedClient(QueueClient):
    """One connection of a client, whose end is looked up with the kernel: this process may be late to hear of it."""

    refused = 0

    def pressing(self) -> None:
        """Asks 25 times a second, whether or not answers come."""
        self.again(PRESSING_EVERY, "hit")

    def answer(self, line: bytes) -> None:
        self.refused += line.startswith(b"SERVER_ERROR")
        super().answer(line)

    def held(self, call: float) -> bool:
        """Whether the node has not ended this connection, and no open request from before the last 2 s allows that.

        To be asked when a drain's bound is over; `call`: when it was called for.
        """
        if self.ended or self.transport.is_closing():
            return False
        sock = self.transport.get_extra_info("socket")
        if sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != ESTABLISHED:
            return False
        idle = all(one.answered for one in self.asked)
        return idle or self.asked[-1].at > call + BOUND - RECENT


class Clock:
    """Time that counts against the node: that in which this process and the node had the turns that they were due."""

    def __init__(self) -> None:
        self.lost: list[tuple[float, float]] = []
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.watch)

    def watch(self) -> None:
        """Note when this process had no turn."""
        before = time.monotonic()
        while not self.over.wait(TICK):
            now = time.monotonic()
            if now - before > 2 * TICK:
                self.lost.append((before + TICK, now))
            before = now

    async def read(self, halts: asyncio.StreamReader) -> None:
        """Note when the node had none."""
        async for line in halts:
            begun, ended = line.split()
            self.lost.append((float(begun), float(ended)))

    def between(self, begun: float, ended: float) -> float:
        """How much of a span counts."""
        counted, at = 0.0, begun
        for start, end in sorted(self.lost):
            counted += max(0.0, min(start, ended) - at)
            at = min(ended, max(at, end))
        return counted + ended - at

    async def reach(self, begun: float, seconds: float) -> None:
        """Wait until so much counts since `begun`."""
        while (left := seconds - self.between(begun, time.monotonic())) > 0:
            await asyncio.sleep(left)


@contextlib.asynccontextmanager
async def halted(node: Process, fraction: Fraction) -> AsyncIterator[Clock]:
    """The node has a fraction of a core meanwhile."""
    clock = Clock()
    halter = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tests.halts", f"{node.pid}", f"{fraction.run_ms}", f"{fraction.every_ms}"),
        stdout=asyncio.subprocess.PIPE,
    )
    reading = asyncio.create_task(clock.read(halter.stdout))
    clock.thread.start()
    try:
        yield clock
    finally:
        halter.terminate()
        await halter.wait()
        clock.over.set()
        await asyncio.to_thread(clock.thread.join)
        await reading


class Caller:
    """Calls the second address from a thread of its own, so that no client of this process delays it.

    Among `silent` callers that connect and say nothing it comes in their middle, and leaves without its answer; with
    none it waits for that.
    """

    def __init__(self, admin: Address, what: str, silent: int = 0) -> None:
        self.admin, self.silent = admin, silent
        self.text = f"{what} HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n".encode()
        self.sent = self.answered = 0.0  # when the call was sent, and its answer came; 0: not yet
        self.yes = False
        self.begun = threading.Event()
        self.silent_ones: list[socket.socket] = []
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        try:
            self.make()
        finally:
            self.begun.set()

    def make(self) -> None:
        self.connect_silent(self.silent // 2)
        self.sent = time.monotonic()
        with socket.create_connection(self.admin, timeout=GIVEN_UP) as sock:
            sock.sendall(self.text)
            if not self.silent:
                self.begun.set()
                with contextlib.suppress(OSError):  # no answer in time, or none at all
                    self.yes = sock.recv(100).startswith(YES)
                self.answered = time.monotonic()
        self.connect_silent(self.silent - self.silent // 2)

    def connect_silent(self, count: int) -> None:
        self.silent_ones += [socket.create_connection(self.admin) for _ in range(count)]

    async def call(self) -> float:
        """Begin; when the call was sent."""
        self.thread.start()
        await asyncio.to_thread(self.begun.wait)
        return self.sent

    def took(self, clock: Clock) -> float:
        """Seconds from the call to its answer."""
        return clock.between(self.sent, self.answered)

    async def end(self) -> None:
        """Wait until the call is over."""
        await asyncio.to_thread(self.thread.join)
        for sock in self.silent_ones:
            sock.close()


class Scene:
    """One node with a fraction of a core, its clients, and what is seen of a drain from outside."""

    def __init__(self, fraction: Fraction, kinds: tuple[str, ...], seed: int) -> None:
        self.fraction, self.kinds, self.random = fraction, kinds, random.Random(seed)
        self.clients: list[StarvedClient] = []
        self.questions: list[tuple[float, asyncio.Task]] = []  # when `mn` was asked, and its answer

    async def come(self, address: Address, seconds: float) -> None:
        """All clients connect, spread over that time."""
        loop = asyncio.get_running_loop()
        kinds = list(itertools.islice(itertools.cycle(self.kinds), self.fraction.clients))
        self.random.shuffle(kinds)

        async def one(number: int, kind: str, wait: float) -> None:
            await asyncio.sleep(wait)
            client = StarvedClient(kind, number)
            self.clients.append(client)
            await loop.create_connection(lambda: client, *address)

        waits = [self.random.uniform(0, seconds) for _ in kinds]
        await asyncio.gather(*(one(*args) for args in zip(itertools.count(1), kinds, waits)))

    async def ask(self, address: Address) -> None:
        """The front asks `mn` on a new connection each time."""
        while True:
            self.questions.append((time.monotonic(), asyncio.create_task(ask_mn(address))))
            await asyncio.sleep(MN_EVERY)

    def yeses(self, clock: Clock, call: float) -> list[float]:
        """How long after the call `mn` was asked and answered with a yes."""
        return [
            round(clock.between(call, at), 3)
            for at, answer in self.questions
            if at > call and answer.done() and answer.result() == b"MN\r\n"
        ]

    def held(self, call: float) -> Counter[str]:
        """How many clients of each kind are held past the bound."""
        return Counter(one.kind for one in self.clients if one.held(call))

    def end(self) -> None:
        for _, answer in self.questions:
            answer.cancel()
        for one in self.clients:
            one.transport.abort()


class DrainStarved(unittest.TestCase):
    def drain(
        self,
        fraction: Fraction,
        kinds: tuple[str, ...] = MIXED,
        *,
        heard_within: float,
        judge_held: bool = True,
        ready: int = 0,
        silent: int = 0,
    ) -> None:
        """Drain a starved node; `heard_within`: seconds until the call's answer, and in which `mn` may be a yes.

        `ready`: how many other calls come before it. `silent`: how many callers say nothing, beside one that says its
        call and leaves.
        """

        async def run() -> None:
            scene = Scene(fraction, kinds, SEED)
            async with StarvedTown() as town:
                node, admin = await town.begin()
                await scene.come(town.address, COMING)
                async with halted(node, fraction) as clock:
                    await asyncio.sleep(scene.random.uniform(*BUSY))
                    before = [Caller(admin, READY) for _ in range(ready)]
                    for one in before:
                        await one.call()
                        await asyncio.sleep(READY_EVERY)
                    caller = Caller(admin, DRAIN, silent)
                    call = await caller.call()
                    asking = asyncio.create_task(scene.ask(town.address))
                    await clock.reach(call, BOUND if judge_held else 2 * heard_within)
                    held, yeses = scene.held(call), scene.yeses(clock, call)
                    asking.cancel()
                    for one in *before, caller:
                        await one.end()
                scene.end()
            with self.subTest("ready"):
                self.assertTrue(all(one.yes for one in before))
                longest = max((one.took(clock) for one in before), default=0.0)
                self.assertLessEqual(longest, A_CALLER_WAITS, "seconds to the answer of a call before the drain's")
            if not silent:
                with self.subTest("answered"):
                    self.assertTrue(caller.yes)
                    self.assertLessEqual(caller.took(clock), heard_within, "seconds from the call to its answer")
            with self.subTest("heard"):
                self.assertLessEqual(max(yeses, default=0.0), heard_within, "seconds after the call mn was a yes")
            if judge_held:
                with self.subTest("held"):
                    self.assertEqual(held, {}, f"{held.total()} of {len(scene.clients)} held 4 s after the call")

        uvloop.run(asyncio.wait_for(run(), 30))

    def test_a_call_at_a_node_with_a_quarter_of_a_core_is_heard_and_holds_nobody(self):
        """Guards against a call that waits behind clients, and a drain that counts from when it was heard."""
        for kinds in MIXED, PRESSING:
            with self.subTest(kinds=kinds):
                self.drain(QUARTER, kinds, heard_within=HEARD_WITHIN)

    def test_a_call_at_a_node_with_a_twelfth_of_a_core_is_heard_while_its_caller_waits(self):
        for fraction in TWELFTH, TWELFTH_BUSY:
            with self.subTest(clients=fraction.clients):
                self.drain(fraction, heard_within=A_CALLER_WAITS, ready=READY_CALLS, judge_held=False)

    def test_a_caller_that_leaves_at_once_is_heard_beside_callers_that_say_nothing(self):
        """Guards against a call that is dropped for later callers, or read behind earlier ones that finish none."""
        self.drain(TWELFTH, heard_within=A_CALLER_WAITS, silent=SILENT_CALLERS)


if __name__ == "__main__":
    unittest.main()
