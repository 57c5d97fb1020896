"""What a large request or answer holds is freed when it ends, by whichever end, and by itself: the collector is off."""

from __future__ import annotations

import asyncio
import gc
import re
import socket
import struct
import tracemalloc
import unittest
from collections.abc import Awaitable, Callable

import uvloop

from tests.helper import VALUE, Caller, Town, read, settings, within

SIZE = 2_000_000  # bytes of a value that is written; VALUE is one that is read
SMALL = 60_000  # bytes of an answer that is held whole
ROUNDS = 4
AT_ONCE = 10  # small answers a round
WAIT_MS = 300  # what a client waits for an answer that does not come
RECEIVE_BUFFER = 16_384  # bytes that the origin's machine takes of what the origin does not read


def reset_at_close(writer: asyncio.StreamWriter) -> None:
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class Ends(Town):
    """The path of a write says what the origin does: it holds, resets or ends it, reads nothing of it, or answers."""

    def __init__(self) -> None:
        said = settings()
        said["permissions"] |= {"max_attempts": 2}
        super().__init__(settings=said, limits={"memory_mb": 96})
        self.taken = asyncio.Event()  # the origin has what it reads of the newest write

    def note(self, text: str) -> None:
        pass

    async def stage(self) -> None:
        await super().stage()
        for sock in self.servers[1].sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            path = line.split()[1]
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if line.startswith("GET"):
                await self.give(writer, path)
                break
            if path == "/unread":
                writer.transport.pause_reading()
                self.taken.set()
                return
            await reader.readexactly(int(re.search(r"Content-Length: (\d+)", head)[1]))
            self.taken.set()
            if path == "/held":
                continue
            if path == "/reset":
                reset_at_close(writer)
            if path in ("/reset", "/ended"):
                break
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade")
        writer.close()

    async def give(self, writer: asyncio.StreamWriter, path: str) -> None:
        """A value with its length or with none; where it is cut the connection is reset in the middle of it."""
        body = VALUE[:SMALL] if path == "/miss-small" else VALUE
        length = b"" if path.startswith("/miss-toend") else b"Content-Length: %d\r\n" % len(body)
        writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % length)
        if path.endswith("cut"):
            body = body[: len(body) // 2]
            reset_at_close(writer)
        for at in range(0, len(body), 70_001):
            writer.write(body[at : at + 70_001])
            await writer.drain()

    def put(self, path: str, tag: str) -> bytes:
        self.taken.clear()
        head = b"ms %b %d O%b Pc=put,t=acme,d=%d,k=%b\r\n" % (path.encode(), SIZE, tag.encode(), WAIT_MS, tag.encode())
        return head + b"x" * SIZE + b"\r\n"

    async def settled(self) -> None:
        """Until nothing is open, and the steps of what has ended are over."""
        while self.service.clients.open_ids or self.service.budget.used or self.service.clients.clients:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.02)


class MemoryFreed(unittest.TestCase):
    def grows(self, scene: Callable[[Ends, Caller, str], Awaitable[None]]) -> int:
        """By how many bytes the process grows while that is played a few times; first once for what stays anyway."""

        async def run() -> int:
            async with Ends() as town:

                async def play(number: int) -> None:
                    one = await town.client()
                    await within(5.0, scene(town, one, f"tag{number}"))
                    one.writer.close()
                    await within(5.0, town.settled())

                await play(0)
                gc.collect()
                tracemalloc.start()
                try:
                    for number in range(1, ROUNDS + 1):
                        await play(number)
                    return tracemalloc.get_traced_memory()[0]
                finally:
                    tracemalloc.stop()

        gc.collect()
        gc.disable()
        try:
            return uvloop.run(asyncio.wait_for(run(), 30))
        finally:
            gc.enable()

    def written(self, path: str, *, leaves: bool) -> int:
        async def scene(town: Ends, one: Caller, tag: str) -> None:
            one.writer.write(town.put(path, tag))
            if leaves:
                await town.taken.wait()
            else:
                self.assertTrue(await one.reader.readline())

        return self.grows(scene)

    def asked(self, key: str, *, takes: int) -> int:
        """A large value is read; its client takes so many bytes of it, and leaves."""

        async def scene(town: Ends, one: Caller, tag: str) -> None:
            one.writer.write(read(key, tag).encode())
            left = takes
            while left > 0 and (data := await one.reader.read(left)):
                left -= len(data)

        return self.grows(scene)

    def test_a_write_whose_client_leaves_before_its_answer(self):
        """Guards against values that only the collector frees, while their memory is given to the next ones."""
        self.assertLess(self.written("held", leaves=True), SIZE)

    def test_a_write_whose_client_leaves_while_it_is_sent_on(self):
        self.assertLess(self.written("unread", leaves=True), SIZE)

    def test_a_write_whose_client_leaves_half_way(self):
        async def scene(town: Ends, one: Caller, tag: str) -> None:
            one.writer.write(town.put("made", tag)[: SIZE // 2])
            await one.writer.drain()
            while not town.service.budget.used:
                await asyncio.sleep(0.002)

        self.assertLess(self.grows(scene), SIZE)

    def test_a_write_whose_time_is_over(self):
        self.assertLess(self.written("held", leaves=False), SIZE)

    def test_a_write_whose_time_is_over_while_it_is_sent_on(self):
        self.assertLess(self.written("unread", leaves=False), SIZE)

    def test_a_write_that_the_origin_resets(self):
        self.assertLess(self.written("reset", leaves=False), SIZE)

    def test_a_write_whose_connection_the_origin_ends(self):
        self.assertLess(self.written("ended", leaves=False), SIZE)

    def test_a_write_that_is_answered(self):
        self.assertLess(self.written("made", leaves=False), SIZE)

    def test_a_write_that_a_drain_or_a_stop_ends(self):
        async def scene(town: Ends, one: Caller, tag: str) -> None:
            one.writer.write(town.put("held", tag))
            await town.taken.wait()
            town.service.door.end_all()
            self.assertTrue(await one.reader.readline())

        self.assertLess(self.grows(scene), SIZE)

    def test_an_answer_whose_client_leaves_half_way(self):
        """Guards against what the origin's answers hold beyond their end, with a length and with none."""
        for key in "miss-long", "miss-toend":
            with self.subTest(key=key):
                self.assertLess(self.asked(key, takes=len(VALUE) // 2), len(VALUE))

    def test_an_answer_whose_client_leaves_before_it(self):
        self.assertLess(self.asked("miss-toend", takes=0), len(VALUE))

    def test_an_answer_that_is_taken_whole(self):
        for key in "miss-long", "miss-toend":
            with self.subTest(key=key):
                self.assertLess(self.asked(key, takes=len(VALUE)), len(VALUE))

    def test_an_answer_that_the_origin_cuts(self):
        for key in "miss-long-cut", "miss-toend-cut":
            with self.subTest(key=key):
                self.assertLess(self.asked(key, takes=1), len(VALUE))

    def test_answers_that_are_held_whole(self):
        """Guards against each answer over HTTP staying, with all that it brought, until the collector runs."""

        async def scene(town: Ends, one: Caller, tag: str) -> None:
            for number in range(AT_ONCE):
                one.writer.write(read("miss-small", f"{tag}-{number}").encode())
                await one.reader.readuntil(b"\r\n")
                await one.reader.readexactly(SMALL + 2)

        self.assertLess(self.grows(scene), 4 * SMALL)
