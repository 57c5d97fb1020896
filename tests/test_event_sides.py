"""Events that the node and the other side see at different moments, each pair forced apart: the other side's moment counts.

Where the node runs in the test's own loop, that loop is held up while the kernel takes what the other side does; real
processes are halted instead. Source: the operators' pages on the second address (4 s from the call, whose caller waits
1 s however busy the node is), planned restarts (the longest deadline and 0.7 s from the signal) and held-up nodes (0.15 s).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import time
import unittest
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any
from unittest import mock

import uvloop

from saltmoor.guard import ends
from saltmoor.model import Ended
from saltmoor.net import lifecycle, meta
from saltmoor.net.buffers import Stream
from saltmoor.net.client import Client as NodeClient
from saltmoor.net.log import Log
from saltmoor.net.sibling import Sibling
from saltmoor.net.upstream import Dial, Link
from tests.helper import MS, VALUE, Town, read, within
from tests.test_drain_bound import BOUND, LONGEST, Address, Client, DrainTown, Process
from tests.test_operations import Operated

LAG = 0.8  # seconds for which a loop is held up, or a process halted
HELD_UP = 150 * MS  # microseconds that the operators allow a node to be held up for
GRAIN = 10 * MS  # microseconds: to so much the kernel's moments are known
CALL_WITHIN = 1.0  # seconds that a caller at the second address waits
SILENT_CALLERS = 16  # twice as many as are kept open at once
KILLED_AFTER = LONGEST / 1000 + 0.7  # seconds after SIGTERM
TAKEN = 400_000  # bytes of an answer: the kernel's send queue holds them, its client's machine does not
RECEIVE_BUFFER = 1 << 15  # bytes
NOT_TAKEN_FOR = 0.6  # seconds for which a client takes nothing
ASKS_EVERY = 0.3  # seconds
BEFORE = 0.4  # seconds for which clients ask before the call or the signal

DRAIN = b"POST /_lameduck/on HTTP/1.1\r\nHost: n\r\nContent-Length: 0\r\n\r\n"
Scene = Callable[..., Coroutine[Any, Any, None]]


def hold_up(seconds: float = LAG) -> None:
    """Nothing in this loop runs; the kernel takes what comes."""
    time.sleep(seconds)


class Sized(Operated):
    """A `bytes-N` is a value of so many bytes."""

    def __init__(self) -> None:
        super().__init__(serve={"linger_ms": 50})
        self.watched: list[asyncio.StreamWriter] = []  # discovery's connections

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.watched.append(writer)
        await super().discovery(reader, writer)

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        while line := (await reader.readline()).decode():
            if line == "stats load\r\n":
                writer.write(b"STAT queue 0\r\nEND\r\n")
                continue
            _, key, *flags = line.split()
            self.note(f"cache gets {key}")
            tag = next(flag for flag in flags if flag.startswith("O"))
            size = int(key.partition("-")[2] or 3)
            writer.write(f"VA {size} {tag} h1\r\n".encode() + VALUE[:size] + b"\r\n")
        writer.close()


class InOneLoop(unittest.TestCase):
    def play(self, scene: Scene, town: Town) -> Town:
        async def run() -> None:
            async with town:
                await scene(town)

        uvloop.run(asyncio.wait_for(run(), 15))
        return town


class CallSent(InOneLoop):
    """A call at the second address: sent, and heard."""

    @staticmethod
    async def answer(sock: socket.socket) -> bytes:
        """What a call is answered with; empty where its connection ends, or in no time."""
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # a TimeoutError too
            return await within(CALL_WITHIN, asyncio.get_running_loop().sock_recv(sock, 1000))
        return b""

    def drain_counts(self, connected_before: float, held_up: float) -> int:
        """Microseconds from when the call was sent to the moment from which the drain counts."""
        late = []

        async def scene(town: Sized) -> None:
            with socket.create_connection(town.service.admin.listener.getsockname()[:2]) as caller:
                await asyncio.sleep(connected_before)
                sent = lifecycle.clock()
                caller.sendall(DRAIN)
                hold_up(held_up)
                self.assertIn(b"200", await self.answer(caller))
                late.append(town.service.life.drain.changed - sent)

        self.play(scene, Sized())
        return late[0]

    def test_a_drain_counts_from_its_call_however_late_that_is_heard(self):
        self.assertLessEqual(self.drain_counts(0.0, LAG), HELD_UP)

    def test_a_drain_does_not_count_from_before_its_call(self):
        """Guards against a call's moment being taken from its connection, which may have stood for a while."""
        for held_up in 0.0, LAG:
            with self.subTest(held_up=held_up):
                self.assertGreaterEqual(self.drain_counts(LAG, held_up), -GRAIN)

    def test_a_call_holds_whose_caller_goes_at_once(self):
        async def scene(town: Sized) -> None:
            with socket.create_connection(town.service.admin.listener.getsockname()[:2]) as caller:
                caller.sendall(DRAIN)
            hold_up(0.1)
            await asyncio.sleep(0.1)
            self.assertTrue(town.service.life.drain.on)

        self.play(scene, Sized())

    def test_a_call_that_was_sent_is_answered_whoever_connects_behind_it(self):
        """Guards against a call that is closed unread, as it is open longest of too many."""
        for call_first in True, False:

            async def scene(town: Sized, call_first: bool = call_first) -> None:
                address = town.service.admin.listener.getsockname()[:2]
                count = SILENT_CALLERS + 1
                callers = [socket.create_connection(address) for _ in range(count)]
                caller = callers[0 if call_first else -1]
                caller.sendall(DRAIN)
                hold_up(0.1)
                self.assertIn(b"200", await self.answer(caller))
                self.assertTrue(town.service.life.drain.on)
                for one in callers:
                    one.close()

            with self.subTest(call_first=call_first):
                self.play(scene, Sized())


class SignalSent(InOneLoop):
    """SIGTERM: sent, and heard."""

    def test_a_stop_counts_from_its_signal_however_late_that_is_heard(self):
        for held_up in 0.0, LAG:

            async def scene(town: Sized, held_up: float = held_up) -> None:
                sent = lifecycle.clock()
                os.kill(os.getpid(), signal.SIGTERM)
                hold_up(held_up)
                while not town.service.stop_told_at:
                    await asyncio.sleep(0.001)
                self.assertLessEqual(town.service.stop_told_at - sent, HELD_UP)
                await town.running

            with self.subTest(held_up=held_up):
                self.play(scene, Sized())


class NeverTown(DrainTown):
    """The cache server never answers: each request is open for the whole of its time."""

    async def answer_all(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode():
            self.forwarded.add(next(flag for flag in line.split() if flag.startswith("O"))[1:])


class Asking(Client):
    """Asks on and on, whatever is answered."""

    async def on_and_on(self) -> None:
        await self.connect()
        while self.open:
            self.ask("never")
            await asyncio.sleep(ASKS_EVERY + 0.02 * (self.number % 5))


class Halted(unittest.TestCase):
    """Real processes that are halted while the call or the signal is sent."""

    CLIENTS = 10

    def ends(self, *variants: Coroutine[Any, Any, object]) -> list[object]:
        """What came of each of them, side by side."""

        async def run() -> list[object]:
            return await asyncio.gather(*variants)

        return uvloop.run(asyncio.wait_for(run(), 20))

    @contextlib.asynccontextmanager
    async def asking(self, processes: int) -> AsyncIterator[tuple[list[tuple[Process, Address]], list[Asking]]]:
        """Processes of one node, and clients that ask."""
        async with NeverTown() as town:
            begun = [await town.begin() for _ in range(processes)]
            clients = [Asking(town, "on_and_on", number) for number in range(1, self.CLIENTS + 1)]
            tasks = [asyncio.create_task(one.run()) for one in clients]
            await asyncio.sleep(BEFORE)
            yield begun, clients
            for task in tasks:
                task.cancel()
            for one in clients:
                one.close()

    async def halt(self, node: Process, seconds: float) -> None:
        if seconds:
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            node.send_signal(signal.SIGCONT)

    async def held(self, halts: float, processes: int = 1) -> int:
        """Clients held 4 s after the call, which the first process gets; the last one is halted then."""
        async with self.asking(processes) as (begun, clients):
            halted = asyncio.create_task(self.halt(begun[-1][0], halts))
            await asyncio.sleep(0.01)
            called = time.monotonic()
            self.assertTrue(await clients[0].town.call(begun[0][1], "POST", "/_lameduck/on"))
            await asyncio.sleep(called + BOUND - time.monotonic())
            held = [one.number for one in clients if one.held()]
            await halted
            return len(held)

    async def status(self, halts: float) -> int | None:
        """How a process had ended when it would be killed; None: it had not."""
        async with self.asking(1) as ([(node, _)], _):
            halted = asyncio.create_task(self.halt(node, halts))
            await asyncio.sleep(0.01)
            node.terminate()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(node.wait()), KILLED_AFTER)
            status = node.returncode
            await halted
            return status

    def test_a_call_that_is_heard_late_holds_no_client(self):
        at_once, late = self.ends(self.held(0.0), self.held(LAG))
        self.assertEqual(at_once, 0, "held though it was heard at once")
        self.assertEqual(late, 0, f"of {self.CLIENTS} clients held 4 s after the call was sent")

    def test_a_drain_that_a_second_process_hears_late_holds_no_client(self):
        self.assertEqual(self.ends(self.held(LAG, processes=2)), [0])

    def test_a_signal_that_is_heard_late_ends_the_process_before_it_is_killed(self):
        at_once, late = self.ends(self.status(0.0), self.status(LAG))
        self.assertEqual(at_once, 0, "still there though it was heard at once")
        self.assertEqual(late, 0, "still there when it is killed")


class AnswerWritten(InOneLoop):
    """An answer: written to the kernel, and taken by its client's machine."""

    async def owed(self, town: Sized) -> tuple[socket.socket, NodeClient]:
        """A client that has taken next to nothing of an answer, of which the node has written what it does."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.connect(town.address[:2])
        sock.sendall(read(f"bytes-{TAKEN}").encode())
        while not (clients := town.service.clients.clients) or not (one := next(iter(clients))).stream.backlog():
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)  # the node has written as much as it does
        self.assertGreater(one.stream.backlog(), 0)
        return sock, one

    async def taken(self, sock: socket.socket) -> tuple[int, bool]:
        """All that its client gets up to the end or a pause, and whether that is a reset."""
        sock.setblocking(False)
        loop, got = asyncio.get_running_loop(), 0
        try:
            while data := await within(1.0, loop.sock_recv(sock, 1 << 16)):
                got += len(data)
        except ConnectionResetError:
            return got, True
        except TimeoutError:
            return got, False
        return got, False

    def test_an_end_waits_for_what_its_client_has_not_taken(self):
        """Guards against a close that what the client says turns into a reset, which drops the send queue."""

        def drain(town: Sized) -> None:
            clients = town.service.clients
            clients.drain_from(clients.clock() - clients.drain.reads_until)
            town.service.hurry.set()

        def stop(town: Sized) -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        def evict(town: Sized) -> None:
            town.service.clients.evict()

        for end in drain, stop, evict:
            for says in "nothing", "in that moment", "behind":

                async def scene(town: Sized, end: Callable[[Sized], None] = end, says: str = says) -> None:
                    sock, _ = await self.owed(town)
                    if says == "in that moment":
                        sock.sendall(read("hit", "2").encode())
                    end(town)
                    await asyncio.sleep(NOT_TAKEN_FOR / 2)
                    if says == "behind":
                        sock.sendall(read("hit", "2").encode())
                    await asyncio.sleep(NOT_TAKEN_FOR / 2)
                    got, reset = await self.taken(sock)
                    sock.close()
                    self.assertGreaterEqual(got, TAKEN, f"reset: {reset}")
                    self.assertFalse(reset)

                with self.subTest(end=end.__name__, says=says), mock.patch.object(ends, "STRAY", 50 * MS):
                    self.play(scene, Sized())

    def test_who_has_not_taken_its_answer_makes_room_for_nobody(self):
        """Guards against a connection that counts as free since the node has written its last answer."""

        async def scene(town: Sized) -> None:
            sock, one = await self.owed(town)
            self.assertFalse(town.service.clients.evict(), "the only client was evicted")
            self.assertFalse(one.ending)
            got = 0
            sock.setblocking(False)
            while got < TAKEN:
                got += len(await within(5.0, asyncio.get_running_loop().sock_recv(sock, 1 << 16)))
            await asyncio.sleep(0.05)
            self.assertTrue(town.service.clients.evict(), "who has taken it makes room")
            sock.close()

        self.play(scene, Sized())


class RequestSent(InOneLoop):
    """A request: sent, and read, round the moment in which its connection is read no more."""

    def test_one_that_came_in_time_is_answered_or_its_connection_ends_unread(self):
        """Guards against a reset over answers, and against one that is sent on and not answered."""
        for held_up in 0.0, LAG / 2:

            async def scene(town: Sized, held_up: float = held_up) -> None:
                client = await town.client()
                await client.ask(read("hit"))
                clients = town.service.clients
                clients.drain_from(clients.clock() - clients.drain.told_by)  # told now, read for a little longer
                os.write(client.writer.get_extra_info("socket").fileno(), read("hit", "2").encode())
                hold_up(held_up)
                got = await within(2.0, client.reader.read())
                forwarded = town.lines.count("cache gets hit") - 1
                self.assertEqual(got.count(b"VA 3 O2"), forwarded)
                if not held_up:
                    self.assertEqual(forwarded, 1)

            with self.subTest(held_up=held_up):
                self.play(scene, Sized())


class HandedOver(InOneLoop):
    """A connection that goes to a second process: told of, and heard of."""

    def test_a_connection_s_moments_do_not_move_while_their_message_waits(self):
        """Guards against a second process that is held up, and counts a connection's spans from when it hears of them."""

        async def scene(town: Sized) -> None:
            clients = town.service.clients
            clients.drain_from(clients.clock() - 1_000 * MS)
            await town.client()
            while not clients.clients:
                await asyncio.sleep(0.005)
            given = next(iter(clients.clients))
            mine, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            clients.heir = Sibling(mine, Log())
            self.assertTrue(given.give())
            clients.heir.end()
            clients.heir = None
            hold_up()
            data, fds, _, _ = socket.recv_fds(theirs, 1 << 16, 8)
            theirs.close()
            clients.adopt(socket.socket(fileno=fds[0]), json.loads(data))
            adopted = next(one for one in clients.clients if one is not given)
            moved = {
                "connected": adopted.connected - given.connected,
                "empty_at": adopted.empty_at - given.empty_at,
                "told": adopted.end_due.told - given.end_due.told,
                "gone_by": adopted.end_due.gone_by - given.end_due.gone_by,
            }
            self.assertEqual({name: by // MS for name, by in moved.items() if by > HELD_UP}, {})

        self.play(scene, Sized())


class SecondProcess(InOneLoop):
    """What one process tells the other one of its node."""

    def test_a_drain_is_told_once_the_other_process_reads_again(self):
        """Guards against a message that is dropped, as the other process was held up and its socket is full."""

        async def scene(town: Sized) -> None:
            mine, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            theirs.setblocking(False)
            town.service.sibling = sibling = Sibling(mine, Log())
            while sibling.say({"left": 1, "filling": "x" * 10_000}):
                pass
            await town.post("/_lameduck/on")
            heard: list[dict] = []
            until = time.monotonic() + 1.0
            while time.monotonic() < until and not any("lame" in one for one in heard):
                with contextlib.suppress(BlockingIOError):
                    while data := theirs.recv(1 << 16):
                        heard.append(json.loads(data))
                await asyncio.sleep(0.02)
            theirs.close()
            self.assertTrue(any("lame" in one for one in heard), f"of {len(heard)} messages")

        self.play(scene, Sized())


class Servers(InOneLoop):
    """Cache servers and discovery: what they did, and when the node reads of it."""

    def test_a_connection_that_came_up_in_time_is_no_failure_of_its_server(self):
        """Guards against a time-out that is judged before the loop has looked at the sockets."""
        plain = Dial.__init__

        def then_held_up(dial: Dial, *given) -> None:
            plain(dial, *given)
            asyncio.get_running_loop().call_soon(hold_up)

        async def scene(town: Sized) -> None:
            Dial.__init__ = then_held_up
            try:
                made = await town.service.upstream.connect("s1")
            finally:
                Dial.__init__ = plain
            self.assertNotIsInstance(made, Ended)
            town.service.upstream.leave(made, "stopping")

        self.play(scene, Sized())

    def test_a_connection_counts_as_unused_since_it_came_up(self):
        """Guards against one that nobody waits for any more, and that its server has held idle for longer."""

        async def scene(town: Sized) -> None:
            upstream = town.service.upstream
            with socket.create_server(("127.0.0.1", 0)) as server:
                upstream.address["s1"] = server.getsockname()
                stream = Stream(socket.socket(), upstream.buffers)
                link = Link("s1", server.getsockname(), stream, lifecycle.clock())
                upstream.open += 1
                upstream.goes_on(Dial(link))
                hold_up()
                while upstream.late.get("s1"):
                    await asyncio.sleep(0.001)
                self.assertLessEqual(link.used - link.since, HELD_UP)  # it may be closed by now, as idle for too long

        self.play(scene, Sized())

    def test_an_answer_that_came_in_time_is_no_failure_of_its_server(self):
        """The same of an answer; one that has not come is."""
        for answers, ended in (True, Ended.COMMITTED), (False, Ended.TIMED_OUT):

            async def scene(town: Sized, answers: bool = answers, ended: Ended = ended) -> None:
                upstream, command = town.service.upstream, meta.parse(read("hit").strip().encode())
                with socket.create_server(("127.0.0.1", 0)) as server:
                    upstream.address["s1"] = server.getsockname()
                    until = lifecycle.clock() + int(LAG / 2 * 1_000_000)
                    exchange = upstream.exchange("s1", meta.hop_bytes(command, 300), meta.HopReply(command), until)
                    task = asyncio.create_task(exchange)
                    while not upstream.open:
                        await asyncio.sleep(0)
                    there, _ = server.accept()
                    there.setblocking(False)
                    await asyncio.get_running_loop().sock_recv(there, 1000)
                    if answers:
                        there.send(b"VA 3 O1 h1\r\nabc\r\n")
                    hold_up()
                    self.assertEqual((await task).ended, ended)
                    there.close()

            with self.subTest(answers=answers):
                self.play(scene, Sized())

    def test_a_list_that_was_written_binds_whatever_is_read_first(self):
        """Guards against an attempt at a server of which discovery has said for long that it drains."""
        for list_first in True, False:

            async def scene(town: Sized, list_first: bool = list_first) -> None:
                client = await town.client()
                await client.ask(read("hit"))
                before = town.lines.count("cache gets hit")
                line = json.dumps({"instances": [town.list[0] | {"lifecycle": "draining"}]}).encode() + b"\n"
                chunk = b"%x\r\n%b\r\n" % (len(line), line)
                writes = [
                    (town.watched[0].get_extra_info("socket").fileno(), chunk),
                    (client.writer.get_extra_info("socket").fileno(), read("hit", "2").encode()),
                ]
                for number, data in writes if list_first else writes[::-1]:
                    os.write(number, data)
                hold_up()
                await asyncio.wait_for(client.reader.readline(), 5)
                self.assertEqual(town.lines.count("cache gets hit"), before)

            with self.subTest(list_first=list_first):
                self.play(scene, Sized())


if __name__ == "__main__":
    unittest.main()
