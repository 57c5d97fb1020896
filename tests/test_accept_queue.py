"""Connections that the machine has taken and the node not accepted: what is known of them, and how they are turned away."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import io
import socket
import time
import unittest
from unittest import mock

import uvloop

from saltmoor.net import answers, meta, tcp_info
from saltmoor.net.acceptor import Acceptor, Taken
from saltmoor.net.counters import RequestLog
from saltmoor.net.log import Log
from saltmoor.net.overflow import LINGER, Overflow
from tests.helper import Town, read, within, write

MS = 1000


class Kernel(unittest.TestCase):
    """What Linux tells, by real sockets."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.listener.getsockname())
        self.addCleanup(sock.close)
        return sock

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        return sock

    def test_a_connection_s_age_counts_from_the_machine_s_accept(self):
        client = self.connect()
        time.sleep(0.2)
        client.sendall(b"mn\r\n")
        time.sleep(0.1)
        sock = self.accept()
        self.assertGreaterEqual(tcp_info.age(sock), 280 * MS)
        self.assertLess(tcp_info.unread_for(sock), tcp_info.age(sock))
        self.assertGreaterEqual(tcp_info.unread_for(sock), 90 * MS)

    def test_who_waits_at_a_listener_is_counted(self):
        for _ in range(3):
            self.connect()
        self.assertEqual(tcp_info.waiting(self.listener), 3)
        self.accept()
        self.assertEqual(tcp_info.waiting(self.listener), 2)

    def test_a_socket_that_tells_nothing_is_no_error(self):
        pair = socket.socketpair()
        for sock in pair:
            self.addCleanup(sock.close)
        self.assertIsNone(tcp_info.age(pair[0]))


class TurnedAway(unittest.TestCase):
    """What a client sees that the node has no place for."""

    def turn_away(self, said: bytes, *, draining: bool = False, leaves: bool = False) -> bytes:
        """All that the client hears up to the end of its connection, whatever it had said."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)  # all that is said stands there unread
            client = socket.create_connection(listener.getsockname(), timeout=5)
            self.addCleanup(client.close)
            client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            client.sendall(said)
            if leaves:
                client.shutdown(socket.SHUT_WR)
            sock, _ = listener.accept()
            self.addCleanup(sock.close)
            time.sleep(0.02)
            log = Log()
            requests = RequestLog(log, time.monotonic, log.counters)
            overflow = Overflow(log, requests, draining=lambda: draining, hint=lambda: 250 * MS)

            async def turn_away() -> None:
                overflow.turn_away(sock, "client", 0)

            with contextlib.redirect_stderr(io.StringIO()):
                uvloop.run(turn_away())
            self.counts = {reason for name, reason in log.counters.counts if name == "turned_away"}
            heard = b""
            while part := client.recv(1 << 16):
                heard += part
            return heard

    def test_each_whole_request_is_refused_with_when_to_come_back(self):
        self.assertEqual(self.turn_away(read("hit").encode()), meta.rolled_back(250))
        self.assertEqual(self.turn_away((read("hit") + write("key")).encode()), 2 * meta.rolled_back(250))
        self.assertEqual(self.counts, {"request"})
        self.assertEqual(self.turn_away(write("key", "v" * 50_000).encode()), meta.rolled_back(250))

    def test_what_stands_behind_a_large_value_is_answered_too(self):
        """Guards against commands that are read with a value for which there is no memory, and get no answer (review/9)."""
        for size in 4096, 4097, 6000, 16_384, 40_000, 100_000:
            large = write("key", "v" * size)
            with self.subTest(size=size):
                said = large + read("hit") + large + write("key") + "mn\r\n"
                heard = 4 * meta.rolled_back(250) + answers.TAKES_CLIENTS
                self.assertEqual(self.turn_away(said.encode()), heard)
                self.assertEqual(self.turn_away((read("hit") + large[:-9]).encode()), 2 * meta.rolled_back(250))

    def test_many_commands_are_answered_all(self):
        self.assertEqual(self.turn_away(900 * read("hit").encode()), 900 * meta.rolled_back(250))
        self.assertEqual(self.turn_away(4000 * b"mn\r\n"), 4000 * answers.TAKES_CLIENTS)

    def test_whether_the_node_takes_clients_is_said(self):
        self.assertEqual(self.turn_away(b"mn\r\n"), answers.TAKES_CLIENTS)
        self.assertEqual(self.turn_away(b"mn\r\n", draining=True), answers.DRAINING)

    def test_what_is_not_whole_or_cannot_be_read_gets_an_error(self):
        self.assertEqual(self.turn_away(b"mg hit v O"), answers.UNFINISHED)
        self.assertEqual(self.turn_away(b"what\r\n"), answers.UNKNOWN_COMMAND)
        self.assertTrue(self.turn_away(b"x" * 5000).startswith(b"CLIENT_ERROR"))
        self.assertTrue(self.turn_away(b"ms k five O1 Pc=put\r\n").startswith(b"CLIENT_ERROR"))
        self.assertEqual(self.turn_away(read("hit").encode() + b"mg hi"), meta.rolled_back(250) + answers.UNFINISHED)

    def test_who_said_nothing_or_has_left_is_closed(self):
        self.assertEqual(self.turn_away(b""), b"")
        self.assertEqual(self.counts, {"nothing"})
        self.assertEqual(self.turn_away(read("hit").encode(), leaves=True), b"")
        self.assertEqual(self.counts, {"left"})


class StillSending(unittest.IsolatedAsyncioTestCase):
    """A client that is turned away in the middle of a value, and sends the rest before it looks for an answer."""

    async def turned_away(self, said: bytes, rest: bytes) -> bytes:
        loop, log = asyncio.get_running_loop(), Log()
        overflow = Overflow(
            log, RequestLog(log, time.monotonic, log.counters), draining=lambda: False, hint=lambda: 250 * MS
        )
        with socket.create_server(("127.0.0.1", 0)) as listener, socket.socket() as client:
            client.setblocking(False)
            await loop.sock_connect(client, listener.getsockname())
            await loop.sock_sendall(client, said)
            sock, _ = listener.accept()
            await asyncio.sleep(0.01)
            with contextlib.redirect_stderr(io.StringIO()):
                overflow.turn_away(sock, "client", 0)
            await within(2.0, loop.sock_sendall(client, rest))  # raises where the node has closed
            heard = await within(2.0, loop.sock_recv(client, 100))
            await asyncio.sleep(2 * LINGER)
            self.assertEqual((overflow.lingering, sock.fileno()), ({}, -1))
        return heard

    async def test_it_can_send_all_and_hears_its_answer(self):
        for size in 3_000, 40_000, 3_000_000:
            value = write("key", "v" * size).encode()
            for before in 100, 2_500:
                with self.subTest(size=size, before=before):
                    self.assertEqual(await self.turned_away(value[:before], value[before:]), meta.rolled_back(250))

    async def test_what_stands_behind_the_value_is_not_read(self):
        """Guards against commands that are read and get no answer."""
        value = write("key", "v" * 40_000).encode()
        taken: list[int] = []
        plain = Overflow._read_past

        def count(overflow: Overflow, sock: socket.socket) -> None:
            plain(overflow, sock)
            taken.append(overflow.lingering.get(sock, -1))

        with mock.patch.object(Overflow, "_read_past", count):
            await self.turned_away(value[:100], value[100:] + read("hit").encode())
        self.assertEqual(taken[-1], 0)


class HalfCommand(unittest.TestCase):
    def test_a_command_counts_as_unfinished_since_its_bytes_came(self):
        """Guards against a client that waits at the listener first, and then is owed its error later than others."""

        async def run() -> None:
            async with Town() as town:
                with socket.create_connection(town.address[:2]) as client:
                    client.sendall(b"mg hit v O")
                    time.sleep(0.4)  # the node, which runs in this loop, is held up
                    clients = town.service.clients
                    while not clients.begun:
                        await asyncio.sleep(0.005)
                    begun = next(iter(clients.begun))
                    for since in begun.began, begun.command_since, begun.connected:
                        self.assertGreaterEqual(begun.used - since, 350 * MS)

        uvloop.run(asyncio.wait_for(run(), 10))


class Order(unittest.TestCase):
    """Who is taken and who is turned away, and when."""

    def test_the_longest_waiting_first_and_nobody_before_its_time(self):
        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                ended: list[int] = []
                taken: list[int] = []
                room = False

                def turn_away(sock: socket.socket, peer: tuple, queued: int) -> None:
                    ended.append(peer[1])
                    sock.close()

                def welcome(sock: socket.socket, peer: tuple) -> None:
                    taken.append(peer[1])
                    sock.close()

                acceptor = Acceptor(
                    listener,
                    welcome,
                    lambda line: None,
                    has_room=lambda: room,
                    turn_away=turn_away,
                    longest_wait=lambda: 0.3,
                )
                clients = [socket.create_connection(listener.getsockname()) for _ in range(6)]
                ports = [one.getsockname()[1] for one in clients]
                ages = dict(zip(ports, (900, 500, 300, 299, 200, 100)))
                with mock.patch.object(tcp_info, "age", lambda sock: ages[sock.getpeername()[1]] * MS):
                    acceptor.listen()
                    await asyncio.sleep(0.05)
                    self.assertEqual((ended, taken), (ports[:3], []))
                    self.assertTrue(acceptor.waits())
                    room = True
                    acceptor.listen()
                    await asyncio.sleep(0.05)
                    self.assertEqual((ended, taken), (ports[:3], ports[3:]))
                    self.assertFalse(acceptor.waits())
                for one in clients:
                    one.close()

        uvloop.run(run())

    def test_a_full_node_on_which_nothing_else_happens_looks_in_time(self):
        """Guards against a wait that ends only as something else is answered, or at the next sweep."""

        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                over = asyncio.Event()

                def turn_away(sock: socket.socket, peer: tuple, queued: int) -> None:
                    sock.close()
                    over.set()

                nobody = Acceptor(
                    listener,
                    lambda sock, peer: self.fail("there is no room"),
                    lambda line: None,
                    has_room=lambda: False,
                    turn_away=turn_away,
                    longest_wait=lambda: 0.1,
                )
                nobody.listen()
                with socket.create_connection(listener.getsockname()):
                    await within(0.3, over.wait())
                nobody.close()

        uvloop.run(run())

    def test_accept_has_failed_since_its_first_failure_in_a_row(self):
        """Guards against a queue that is reset too early: a node without room for long has not failed to accept."""

        async def run() -> None:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                room, now, calls = False, 100.0, iter((True, False, True, True))

                def accept() -> tuple[socket.socket, tuple]:
                    """Fails, works and fails twice."""
                    if next(calls):
                        raise OSError(errno.ENFILE, "too many")
                    return listener.accept()

                acceptor = Acceptor(listener, lambda sock, peer: sock.close(), lambda line: None, has_room=lambda: room)
                acceptor._next = accept
                acceptor.loop = mock.Mock(time=lambda: now)
                clients = [socket.create_connection(listener.getsockname()) for _ in range(3)]
                self.assertIs(acceptor.take(1), Taken.NO_ROOM)
                now += 3.75  # as long as a drain answers what it owes
                room = True
                found = []
                for pause in 0.0, 1.0, 1.0, 0.5:
                    now += pause
                    acceptor.take(1)
                    found.append(acceptor.failing_for())
                self.assertEqual(found, [0.0, 0.0, 0.0, 0.5])
                for one in clients:
                    one.close()

        uvloop.run(run())

    def test_the_queue_of_a_drained_node_without_room_stays_at_one_failure(self):
        async def run() -> None:
            async with Town() as town:
                clients = town.service.clients
                clients.drain_from(clients.clock() - clients.drain.answers_until)
                acceptor = clients.acceptor
                with (
                    mock.patch.object(acceptor, "loop", mock.Mock(time=lambda: now)),
                    mock.patch.object(acceptor, "drop_queue") as drop_queue,
                    socket.create_connection(town.address[:2]),
                ):
                    now = 100.0
                    acceptor.hold()
                    with (
                        mock.patch.object(acceptor, "has_room", lambda: False),
                        mock.patch.object(acceptor, "longest_wait", lambda: 10.0),
                    ):
                        self.assertIs(acceptor.take(1), Taken.NO_ROOM)
                    now += clients.drain.answers_until / 1_000_000
                    with mock.patch.object(acceptor, "_next", mock.Mock(side_effect=OSError(errno.ENFILE, "too many"))):
                        self.assertIs(acceptor.take(1), Taken.TROUBLE)
                    clients.drop_stuck_queue(clients.clock())
                    drop_queue.assert_not_called()

        uvloop.run(asyncio.wait_for(run(), 10))


if __name__ == "__main__":
    unittest.main()
