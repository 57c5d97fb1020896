"""Writes that wait for memory while slow writers hold it: each ends by its time, and servers are told of what is left."""

from __future__ import annotations

import asyncio
import re
import unittest

import uvloop

from saltmoor.guard.connections import memory_wait
from saltmoor.net.flow import Budget
from tests.helper import Town, read, settings, within

ORDINARY = 70_000  # bytes: over what is held whole, and few enough for the node's machine to take them unread
WIDE = 400_000  # bytes: more than the node's machine takes unread
WAIT_MS = 900
SLACK_MS = 20
REFUSED_SOON = 0.2  # seconds: a value that is read past has come whole by then
HELD = 0.2  # seconds for which memory is held where it comes back in time


class Slow(Town):
    """Keeps how much time the origin was told of."""

    def __init__(self) -> None:
        said = settings()
        said["permissions"] |= {"retry_after": True, "max_retry_after_ns": 10**9}
        super().__init__(settings=said, limits={"memory_mb": 48})
        self.waits: list[int] = []

    def note(self, text: str) -> None:
        pass

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while await reader.readline():
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.waits.append(int(re.search(r"d=(\d+)", head)[1]))
            await reader.readexactly(int(re.search(r"Content-Length: (\d+)", head)[1]))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")
        writer.close()

    async def fill(self, all_memory: bool = False) -> None:
        """What slow writers hold: all the memory that large values may have, or all that there is."""
        self.held = self.service.budget.total if all_memory else self.service.budget.total * 3 // 4
        await self.service.budget.take(self.held)

    def leave(self) -> None:
        """The slow writers go, and their memory with them."""
        self.service.budget.give_back(self.held)
        self.held = 0


def put(size: int, tag: str, wait: int = WAIT_MS) -> bytes:
    return (
        b"ms farm %d O%b Pc=put,t=acme,d=%d,k=%b\r\n" % (size, tag.encode(), wait, tag.encode()) + b"y" * size + b"\r\n"
    )


class MemoryWaits(unittest.TestCase):
    def play(self, scene, all_memory: bool = False) -> Slow:
        async def run() -> Slow:
            async with Slow() as town:
                await town.fill(all_memory)
                await scene(town)
                town.leave()
            return town

        return uvloop.run(asyncio.wait_for(run(), 30))

    def test_writes_behind_slow_writers_are_answered_by_their_time(self):
        """Guards against a wait for memory without end: a write that is whole had no answer for as long as others wrote."""
        heard: list[bytes] = []

        async def scene(town: Slow) -> None:
            many = [await town.client() for _ in range(6)]
            for i, one in enumerate(many):
                one.writer.write(put(ORDINARY, str(i)))
            for one in many:
                heard.append(await within(WAIT_MS / 1000, one.reader.readline()))
            await asyncio.sleep(0.01)
            many[0].writer.write(read("hit", "after").encode())  # its value was read past, and nothing else
            heard.append(await within(1.0, many[0].reader.readline()))

        town = self.play(scene)
        self.assertEqual(len(heard), 7)
        for line in heard[:6]:
            self.assertRegex(line, rb"^SERVER_ERROR busy [1-9]\d*\r\n$")
        self.assertTrue(heard[6].startswith(b"VA 3 Oafter"), heard)
        self.assertEqual(town.waits, [], "what is refused was sent on")

    def test_a_write_that_the_machine_cannot_take_whole_is_answered_too(self):
        """Guards against a client that is held in the middle of its value for as long as others write."""
        heard: list[bytes] = []

        async def scene(town: Slow) -> None:
            one = await town.client()
            one.writer.write(put(WIDE, "wide"))
            heard.append(await within(WAIT_MS / 1000 + REFUSED_SOON, one.reader.readline()))

        self.play(scene)
        self.assertRegex(heard[0], rb"^SERVER_ERROR busy [1-9]\d*\r\n$")

    def test_a_server_is_told_of_what_the_wait_for_memory_has_left(self):
        """Guards against a request begun with all of its time after it had waited for memory."""

        async def scene(town: Slow) -> None:
            one = await town.client()
            one.writer.write(put(ORDINARY, "late"))
            await asyncio.sleep(HELD)
            town.leave()
            await within(2.0, one.reader.readline())

        waits = self.play(scene).waits
        self.assertEqual(len(waits), 1)
        self.assertLessEqual(waits[0], WAIT_MS - HELD * 1000 + SLACK_MS)

    def test_commands_behind_one_that_waited_are_told_no_more_either(self):
        """Guards against time told anew for what stood in the socket behind a value that waited for memory."""

        async def scene(town: Slow) -> None:
            one = await town.client()
            one.writer.write(put(40_000, "small") + put(9000, "behind") + put(1000, "last"))
            other = await town.client()
            other.writer.write(put(ORDINARY, "first") + put(1000, "then"))
            await within(2.0, one.reader.readuntil(b"HD Olast"))
            await asyncio.sleep(HELD)
            town.leave()
            await within(2.0, other.reader.readuntil(b"HD Othen"))

        waits = self.play(scene).waits
        self.assertEqual(len(waits), 5)
        self.assertLessEqual(max(waits[3:]), WAIT_MS - HELD * 1000 + SLACK_MS)

    def test_what_was_read_behind_a_write_that_waits_is_answered_where_its_connection_ends(self):
        """Guards against commands that are read and get no answer, as the one before them waited for memory (review/9)."""
        for end in (lambda client: client.finish("stopping")), (lambda client: client.cut_for_good()):
            heard: list[bytes] = []

            async def scene(town: Slow, end=end, heard=heard) -> None:
                one = await town.client()
                one.writer.write(put(9000, "large") + read("hit", "behind").encode() + put(5000, "more"))
                held = await within(2.0, self.waiting(town))
                end(held)
                for _ in range(3):
                    line = await within(2.0, one.reader.readline())
                    heard.append(line)
                    if line.startswith(b"VA"):
                        await one.reader.readline()

            with self.subTest(end=end):
                town = self.play(scene, all_memory=True)
                self.assertEqual([line[:4] for line in heard], [b"SERV", heard[1][:4], b"SERV"])
                self.assertTrue(heard[1].startswith((b"VA 3 Obehind", b"SERVER_ERROR")), heard)
                self.assertEqual(town.waits, [])

    @staticmethod
    async def waiting(town: Slow):
        """The connection that waits for memory."""
        while True:
            for client in town.service.clients.clients:
                if client.memory:
                    return client
            await asyncio.sleep(0.005)


class MemoryWait(unittest.TestCase):
    """The bound alone."""

    def test_a_whole_command_waits_for_half_of_its_time(self):
        self.assertEqual(memory_wait(0, given=900_000, whole=True), 450_000)
        self.assertEqual(memory_wait(449_000, given=900_000, whole=True), 1000)
        self.assertEqual(memory_wait(450_000, given=900_000, whole=True), 0)

    def test_one_that_is_not_whole_waits_for_all_of_it(self):
        self.assertEqual(memory_wait(0, given=900_000, whole=False), 450_000)
        self.assertEqual(memory_wait(450_000, given=900_000, whole=False), 450_000)
        self.assertEqual(memory_wait(900_000, given=900_000, whole=False), 0)
        self.assertEqual(memory_wait(950_000, given=900_000, whole=False), 0)

    def test_a_command_of_no_known_profile_does_not_wait(self):
        self.assertEqual(memory_wait(0, given=0, whole=False), 0)

    def test_who_gives_up_the_first_turn_lets_the_next_one_go(self):
        """Guards against memory that is free and given to nobody, as the one at the head of the queue has left."""

        async def run() -> None:
            budget = Budget(1_000_000)
            have = budget.ask(500_000)
            first, second = budget.ask(400_000), budget.ask(200_000)
            self.assertEqual([turn.done() for turn in (have, first, second)], [True, False, False])
            budget.withdraw(400_000, first)
            self.assertTrue(second.done())
            budget.withdraw(200_000, second)
            self.assertEqual(budget.used, 500_000)

        uvloop.run(run())
