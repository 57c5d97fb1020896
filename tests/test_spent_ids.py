"""A request that may have run does not run again under its id when its client has left and comes again."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import unittest
from unittest import mock

import uvloop

from saltmoor.net import lifecycle
from saltmoor.net.log import Log
from saltmoor.net.sibling import LONGEST, Sibling
from saltmoor.net.spent_ids import IDS_MOST, REMEMBERED_FOR, SpentIds, SpentIdsMessage
from tests.helper import Town, read, within, write
from tests.test_operations import Twins

CALLERS = 12
TOLD_WITHIN = 0.1  # seconds in which the processes tell each other


class Remembered(unittest.TestCase):
    def test_for_its_time(self):
        ids = SpentIds()
        ids.add(b"a", 1000)
        self.assertTrue(ids.has(b"a", 999 + REMEMBERED_FOR))
        self.assertFalse(ids.has(b"a", 1000 + REMEMBERED_FOR))
        self.assertFalse(ids.has(b"b", 1000))

    def test_so_many_at_most_and_the_newest(self):
        ids = SpentIds()
        for i in range(IDS_MOST + 10):
            ids.add(b"%d" % i, 0)
        self.assertEqual(len(ids.since), IDS_MOST)
        self.assertFalse(ids.has(b"9", 0))
        self.assertTrue(ids.has(b"10", 0))


class TwoProcesses(unittest.IsolatedAsyncioTestCase):
    """Guards against an id that runs again at the other process of an upgrade."""

    async def asyncSetUp(self) -> None:
        self.pair, self.other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(self.pair.close)
        self.addCleanup(self.other.close)

    def heard(self) -> list[dict]:
        """What the node has told the other process by now."""
        messages = []
        self.other.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            while True:
                messages.append(json.loads(self.other.recv(LONGEST)))
        return messages

    def test_what_one_remembers_the_other_does(self):
        told: list[SpentIdsMessage] = []
        first, second = SpentIds(), SpentIds()
        first.tell = told.append
        first.add(b"a\xff", 1000)
        second.take(SpentIdsMessage.parse(json.loads(json.dumps(told[0].message()))), 2000)
        self.assertTrue(second.has(b"a\xff", 999 + REMEMBERED_FOR))
        self.assertFalse(second.has(b"a\xff", 1000 + REMEMBERED_FOR))

    def test_a_moment_that_lies_ahead_counts_as_now(self):
        ids = SpentIds()
        ids.take(SpentIdsMessage([("a", 10**15)]), 1000)
        self.assertFalse(ids.has(b"a", 1000 + REMEMBERED_FOR))

    def test_all_go_to_a_process_that_starts_in_messages_that_fit(self):
        first, second = SpentIds(), SpentIds()
        for i in range(IDS_MOST):
            first.add(b"%032d" % i, i)
        for message in first.messages():
            self.assertLess(len(json.dumps(message.message())), LONGEST)
            second.take(message, IDS_MOST)
        self.assertEqual(list(second.since.items()), list(first.since.items()))

    async def test_a_node_tells_of_each_and_of_all_to_one_that_is_ready(self):
        town = Slow()
        async with town:
            town.service.clients.spent_ids.add(b"before", 1)
            town.service.pair_with(Sibling(self.pair, town.service.log))
            self.other.send(b'{"ready": true}')
            caller = await town.client()
            caller.writer.write(write("slow", tag="mine", profile="once").encode())
            await within(2.0, town.came.wait())
            caller.writer.close()
            while town.service.clients.clients:
                await asyncio.sleep(0.005)
            spent = [one[0] for message in self.heard() for one in message.get("spent", ())]
        self.assertEqual(spent, ["before", "mine"])

    async def test_an_id_that_the_other_process_has_spent_is_taken(self):
        async with Slow() as town:
            town.service.pair_with(Sibling(self.pair, town.service.log))
            self.other.send(json.dumps(SpentIdsMessage([("1", lifecycle.clock())]).message()).encode())
            caller = await town.client()
            await asyncio.sleep(0.02)
            caller.writer.write(write("slow", profile="once").encode())
            line = await within(2.0, caller.reader.readline())
            got = [line for line in town.lines if "gets" in line]
        self.assertTrue(line.startswith(b"CLIENT_ERROR this id"), line)
        self.assertEqual(got, [])

    async def test_one_that_does_not_read_costs_no_wait(self):
        sibling = Sibling(self.pair, Log())
        ids = SpentIds()
        ids.tell = lambda message: sibling.say_at_once(message.message())
        while sibling.say_at_once({"filler": "x" * 1000}):
            pass
        with mock.patch("select.select", side_effect=AssertionError("waited")):
            ids.add(b"a", 1)
        self.assertTrue(ids.has(b"a", 1))
        sibling.gone = lambda: None
        sibling.end()


class ComesAgain(unittest.TestCase):
    """Guards against an id that runs twice as its client leaves while an attempt is out, and sends it anew."""

    def answers(self, asked: str) -> tuple[list[str], bytes]:
        """What the origin got, and the answer to the second one."""

        async def run() -> tuple[list[str], bytes]:
            town = Slow()
            async with town:
                first = await town.client()
                first.writer.write(asked.encode())
                await within(2.0, town.came.wait())
                first.writer.close()
                while town.service.clients.clients:
                    await asyncio.sleep(0.005)
                second = await town.client()
                second.writer.write(asked.encode())
                line = await within(2.0, second.reader.readline())
            return [line for line in town.lines if "gets" in line], line

        return uvloop.run(asyncio.wait_for(run(), 20))

    def test_one_that_may_run_once_is_an_error(self):
        for profile in "once", "put":
            with self.subTest(profile):
                got, line = self.answers(write("slow", profile=profile))
                self.assertEqual(len(got), 1)
                self.assertTrue(line.startswith(b"CLIENT_ERROR this id"), line)

    def test_a_read_is_served(self):
        _, line = self.answers(read("slow"))
        self.assertTrue(line.startswith(b"VA 4 O1"), line)


class Slow(Town):
    """Its origin answers so many seconds after a request has come."""

    TAKES = 0.15

    def __init__(self) -> None:
        super().__init__()
        self.came = asyncio.Event()

    def note(self, text: str) -> None:
        super().note(text)
        if "gets" in text:
            self.came.set()

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while await reader.readline():
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].split()[0]))
            self.note("  origin gets a write")
            await asyncio.sleep(self.TAKES)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")
        writer.close()


class SlowTwins(Slow, Twins):
    """Real processes of one node before an origin that is slower yet."""

    TAKES = 0.7

    @property
    def runs(self) -> int:
        return sum("origin gets" in line for line in self.lines)

    async def got(self, count: int) -> None:
        while self.runs < count:
            await asyncio.sleep(0.005)


class Upgraded(unittest.TestCase):
    def test_none_runs_twice_over_an_upgrade(self):
        """Each client asks the old process and leaves; it comes again, to whichever process takes it."""

        async def run() -> int:
            async with SlowTwins() as town:
                await town.start()
                callers = [await town.client() for _ in range(CALLERS)]
                for caller in callers:
                    await caller.ask("mn\r\n")
                await town.start()
                for number, caller in enumerate(callers):  # one at a time, as the origin has room for few
                    caller.writer.write(write(f"k{number}", tag=f"{number}", profile="once").encode())
                    await within(5.0, town.got(number + 1))
                    caller.writer.close()
                await asyncio.sleep(TOLD_WITHIN)
                for number in range(CALLERS):
                    caller = await town.client()
                    caller.writer.write(write(f"k{number}", tag=f"{number}", profile="once").encode())
                    await within(5.0, caller.reader.readline())
                return town.runs

        self.assertEqual(uvloop.run(asyncio.wait_for(run(), 30)), CALLERS)


if __name__ == "__main__":
    unittest.main()
