"""A request that may have run does not run again under its id when its client has left and comes again."""

from __future__ import annotations

import asyncio
import unittest

import uvloop

from saltmoor.net.spent_ids import IDS_MOST, REMEMBERED_FOR, SpentIds
from tests.helper import Town, read, within, write


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
    """Its servers answer 0.15 s after a request has come."""

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
            await asyncio.sleep(0.15)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")
        writer.close()


if __name__ == "__main__":
    unittest.main()
