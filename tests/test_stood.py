"""Requests whose bytes stood unread for a while: a server is told of no more time than their client has left."""

from __future__ import annotations

import asyncio
import re
import socket
import time
import unittest
from unittest import mock

import uvloop

from saltmoor.net.buffers import Stream
from saltmoor.net.client import PIPELINE
from tests.helper import Town, read, settings, within

STOOD = 0.3  # seconds
SLACK_MS = 20
WIDE = 400_000  # bytes of a value that takes many reads
HANDED_ON_WAITS = 0.2  # seconds: half of the longest wait for a turn
LONG_PASS = 0.006  # seconds of a pass of the loop: too short for the loop to be found late


class Told(Town):
    """Keeps how much time the cache server was told of."""

    def __init__(self) -> None:
        said = settings()
        said["permissions"] |= {"probes": False}
        super().__init__(settings=said)
        self.waits: list[int] = []

    def note(self, text: str) -> None:
        pass

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            self.waits.append(int(re.search(r"d=(\d+)", line)[1]))
            tag = next(word for word in line.split() if word.startswith("O"))
            if line.split()[1] == "slow":
                await asyncio.sleep(STOOD)
            writer.write(f"VA 3 {tag} h1\r\nhit\r\n".encode())
        writer.close()


class Stood(unittest.TestCase):
    def play(self, scene) -> list[int]:
        async def run() -> list[int]:
            async with Told() as town:
                await scene(town)
                return town.waits

        return uvloop.run(asyncio.wait_for(run(), 20))

    def test_in_the_queue_of_the_listener(self):
        """Guards against a wait that is counted from accept on, while the client waited long before that."""

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            acceptor = town.service.clients.acceptor
            plain, acceptor.has_room = acceptor.has_room, lambda: False
            late = await town.client()
            late.say(read("hit", "late", wait=900))
            await asyncio.sleep(STOOD)
            acceptor.has_room = plain
            town.service.clients.listen()
            await late.hear()

        waits = self.play(scene)
        self.assertLessEqual(waits[-1], 900 - STOOD * 1000 + SLACK_MS)

    def test_a_paced_node_reads_everybody_in_time(self):
        """Guards against clients behind a crowd whose reads are paced: each is owed an answer 0.5 s behind its time."""
        took: list[float] = []

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            town.service.door.ran = lambda late, passed: 0.0  # an overloaded node: nothing more may be read
            await asyncio.sleep(0.05)
            late = await town.client()
            late.say(read("hit", "late", wait=50))
            began = asyncio.get_running_loop().time()
            await within(2.0, late.hear())
            took.append(asyncio.get_running_loop().time() - began)

        self.play(scene)
        self.assertLess(took[0], 0.55)

    def test_a_paced_node_reads_a_whole_value_in_one_turn(self):
        """Guards against a write whose value waits for a turn at each read, and has no answer when its time is over."""
        heard: list[bytes] = []

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            town.service.door.ran = lambda late, passed: 0.0  # an overloaded node: nothing more may be read
            await asyncio.sleep(0.05)
            one = await town.client()
            one.writer.write(b"ms farm %d O1 Pc=put,t=acme,d=900,k=1\r\n" % WIDE + bytes(WIDE) + b"\r\n")
            heard.append(await within(0.9 + 0.5, one.reader.readline()))

        self.play(scene)
        self.assertEqual(heard, [b"HD O1 cmade\r\n"])

    def test_several_in_the_queue_of_the_listener(self):
        """Guards against the first of several requests being taken for as fresh as the last one."""

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            acceptor = town.service.clients.acceptor
            plain, acceptor.has_room = acceptor.has_room, lambda: False
            late = await town.client()
            late.say(read("hit", "early", wait=900))
            await asyncio.sleep(STOOD)
            late.say(read("hit", "late", wait=900))
            await asyncio.sleep(0.02)
            acceptor.has_room = plain
            town.service.clients.listen()
            await late.hear(2)

        waits = self.play(scene)
        self.assertLessEqual(min(waits[-2:]), 900 - STOOD * 1000 + SLACK_MS)

    def test_while_its_turn_to_be_read_had_not_come(self):
        """Guards against a wait that is not counted where the pass of the loop in which it ends is a long one."""

        async def scene(town: Told) -> None:
            loop, door, plain = asyncio.get_running_loop(), town.service.door, Stream.read
            kept = await town.client()
            await kept.ask("mn\r\n")
            door.ran = lambda late, passed: 0.0  # an overloaded node: nothing more may be read
            await asyncio.sleep(0.05)
            kept.say(read("hit", "early", wait=900))  # its read was begun before
            await kept.hear()
            kept.say(read("hit", "late", wait=900))
            await asyncio.sleep(STOOD)

            async def in_a_long_pass(stream: Stream) -> bytes | None:
                loop.call_soon(time.sleep, LONG_PASS)
                return await plain(stream)

            with mock.patch.object(Stream, "read", in_a_long_pass):
                door.ran = lambda late, passed: 1.0
                await within(2.0, kept.hear())

        waits = self.play(scene)
        self.assertLessEqual(waits[-1], 900 - STOOD * 1000 + SLACK_MS)

    def test_who_comes_from_another_process_waits_for_its_turn(self):
        """Guards against a paced node that reads at once whoever is handed on to it, and against one that never does:
        the moments that the other process tells may be of another clock."""
        for begun_before in 10_000_000, 0, -5_000_000:

            async def scene(town: Told, begun_before: int = begun_before) -> None:
                clients = town.service.clients
                town.service.door.ran = lambda late, passed: 0.0  # an overloaded node: nothing more may be read
                await asyncio.sleep(0.05)
                began = clients.clock()
                said = {"client": "c", "since": began - begun_before, "used": began - begun_before, "count": 1}
                with socket.create_server(("127.0.0.1", 0)) as listener:
                    here = socket.create_connection(listener.getsockname())
                    here.sendall(read("hit", "late", wait=900).encode())
                    clients.adopt(listener.accept()[0], said | {"connected_for": max(0, begun_before), "unread": 0})
                here.setblocking(False)
                answer = asyncio.create_task(asyncio.get_running_loop().sock_recv(here, 100))
                await asyncio.sleep(HANDED_ON_WAITS)
                early = list(town.waits)
                await within(0.55 - HANDED_ON_WAITS, answer)
                here.close()
                self.assertEqual(early, [], "read at once")

            with self.subTest(begun_before=begun_before):
                self.play(scene)

    def test_a_wait_at_the_listener_and_one_to_be_read_are_one_sum(self):
        """Guards against two waits that are each in time, and together are not."""
        took: list[float] = []

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            town.service.door.ran = lambda late, passed: 0.0  # an overloaded node: nothing more may be read
            acceptor = town.service.clients.acceptor
            plain, acceptor.has_room = acceptor.has_room, lambda: False
            late = await town.client()
            late.say(read("hit", "late", wait=50))
            began = asyncio.get_running_loop().time()
            await asyncio.sleep(STOOD)
            acceptor.has_room = plain
            town.service.clients.listen()
            await within(2.0, late.hear())
            took.append(asyncio.get_running_loop().time() - began)

        self.play(scene)
        self.assertLess(took[0], 0.55)

    def test_behind_as_many_others_as_one_connection_may_have_open(self):
        """Guards against a command that stood in the node's own buffer being begun with all of its time."""

        async def scene(town: Told) -> None:
            one = await town.client()
            one.say(read("slow", "0") + "".join(read("hit", str(number)) for number in range(1, PIPELINE + 4)))
            await one.hear(PIPELINE + 4)

        waits = self.play(scene)
        self.assertEqual(len(waits), PIPELINE + 4)
        self.assertLessEqual(max(waits[PIPELINE + 1 :]), 900 - STOOD * 1000 + SLACK_MS)

    def test_longer_than_its_client_waits(self):
        """Guards against an attempt with a moment left at a request whose time was over when it was read."""
        heard: list[bytes] = []

        async def scene(town: Told) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            acceptor = town.service.clients.acceptor
            plain, acceptor.has_room = acceptor.has_room, lambda: False
            late = await town.client()
            late.say(read("hit", "late", wait=200))
            await asyncio.sleep(STOOD)
            acceptor.has_room = plain
            town.service.clients.listen()
            heard.append(await asyncio.wait_for(late.reader.readline(), 5))

        waits = self.play(scene)
        self.assertTrue(heard[0].startswith(b"SERVER_ERROR busy"), heard)
        self.assertEqual(waits, [])

    def test_while_nothing_was_read_from_its_connection(self):
        """Behind so many commands that the connection is not read from for a while."""

        async def scene(town: Told) -> None:
            one = await town.client()
            await one.ask(read("hit", "a"))
            client = next(iter(town.service.clients.clients))
            held = asyncio.Event()
            plain = client.flush

            async def flush() -> None:
                if asyncio.current_task() is client.reader:
                    await held.wait()
                await plain()

            client.flush = flush
            one.say("mn\r\n")
            await asyncio.sleep(0.02)
            one.say(read("hit", "late", wait=900))
            await asyncio.sleep(STOOD)
            held.set()
            await one.hear(2)

        waits = self.play(scene)
        self.assertLessEqual(waits[-1], 900 - STOOD * 1000 + SLACK_MS)

    def test_several_that_came_one_after_the_other(self):
        """Guards against the time of all that is read at once being counted from the last byte's coming."""

        async def scene(town: Told) -> None:
            one = await town.client()
            await one.ask(read("hit", "a"))
            client = next(iter(town.service.clients.clients))
            held = asyncio.Event()
            plain = client.flush

            async def flush() -> None:
                if asyncio.current_task() is client.reader:
                    await held.wait()
                await plain()

            client.flush = flush
            one.say("mn\r\n")
            await asyncio.sleep(0.02)
            for tag in "early", "late":
                one.say(read("hit", tag, wait=900))
                await asyncio.sleep(STOOD)
            one.say(read("hit", "last", wait=900))
            await asyncio.sleep(0.01)
            held.set()
            await one.hear(4)

        _, early, late, last = self.play(scene)
        self.assertLessEqual(early, 900 - 2 * STOOD * 1000 + SLACK_MS)
        self.assertLessEqual(late, 900 - STOOD * 1000 + SLACK_MS)
        self.assertGreater(last, 900 - SLACK_MS - 20)  # the kernel knows the last one's

    def test_a_batch_on_a_connection_that_rested_while_the_loop_is_late(self):
        """Guards against the time for which it rested being counted as if the batch had stood unread."""

        async def scene(town: Told) -> None:
            one = await town.client()
            await one.ask(read("hit", "a"))
            await asyncio.sleep(3 * STOOD)
            clients = town.service.clients
            town.service.looking.cancel()
            clients.late, clients.late_by = True, 5_000
            one.say(read("hit", "b", wait=900) + read("hit", "c", wait=900))
            await one.hear(2)

        _, first, last = self.play(scene)
        self.assertGreater(first, 900 - 60)
        self.assertGreater(last, 900 - 60)


if __name__ == "__main__":
    unittest.main()
