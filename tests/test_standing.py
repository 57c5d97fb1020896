"""The standing test's terms that no other module forces: each by order on loopback, judged by what was seen outside.

docs/hardening-review.md has a line for each term, with the test that forces it, here or elsewhere.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
import unittest
from unittest import mock

import uvloop

from saltmoor import model
from saltmoor.net.buffers import Stream
from tests import test_crossings
from tests.helper import read, write
from tests.test_crossings import Case, Held, answer, at_once, may

QUICK = {"linger_ms": 10}


def patient(**permissions) -> dict:
    """Settings under which nothing is over while the test forces its order, however busy the machine is."""
    return may(probes=False, connect_timeout_ns=4 * 10**9, **permissions) | {
        "tenants": [],
        "classes": [
            {"name": name, "repeat": repeat, "aim_ns": 4 * 10**9, "deadline_ns": 5 * 10**9, "key_ttl_ns": 10**9}
            for name, repeat in (("read", "idempotent"), ("put", "deduplicated"), ("once", "at_most_once"))
        ],
    }


def ask(key: str, tag: str, name: str = "read") -> str:
    return read(key, tag, name, wait=5000)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset, behind what was written."""
    sock = writer.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Cut(Held):
    """The origin says no length; its answer ends where the test says, with the connection's end or with a reset."""

    def __init__(self, head: str, body: bytes, how: str, **changed) -> None:
        super().__init__(**changed)
        self.head, self.body, self.how = head, body, how

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        self.came.append("origin " + re.search("X-Request-ID: (.*)", head)[1].strip())
        if length := re.search(r"Content-Length: (\d+)", head):
            await reader.readexactly(int(length[1]))
        writer.write(self.head.encode() + self.body)
        await writer.drain()
        if self.how == "later reset":  # the node has read what came
            await asyncio.sleep(0.03)
        if self.how == "end":
            writer.close()
        else:
            reset(writer)


class CutAnswers(unittest.TestCase):
    def told(self, text: str, head: str, body: bytes, how: str) -> tuple[str, int]:
        """What the client is told, and how many attempts the origin saw."""

        async def run() -> tuple[str, int]:
            async with Cut(head, body, how, settings=patient(), serve=QUICK) as town:
                one = await town.client()
                one.say(text)
                return await answer(one), sum(line.startswith("origin") for line in town.came)

        return uvloop.run(asyncio.wait_for(run(), 15))

    def test_a_reset_is_no_end(self):
        """Over HTTP, with no length said: what a reset ends is never a whole answer, wherever it strikes."""
        plain = "HTTP/1.1 200 OK\r\n\r\n"
        for how in "reset", "later reset":
            for body in b"", b"h", b"half an answer", b"x" * 300_000:
                with self.subTest(how=how, size=len(body)):
                    said, count = self.told(ask("miss-a", "a", "once"), plain, body, how)
                    self.assertTrue(said.startswith("SERVER_ERROR"), said)
                    self.assertEqual(count, 1)  # it may have run
            with self.subTest(how=how, verb="PUT"):
                said, count = self.told(write("a", "v", "a", "once"), plain, b"done", how)
                self.assertEqual((said.partition(" ")[0], count), ("SERVER_ERROR", 1))
            for head in (
                "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            ):
                with self.subTest(how=how, head=head):
                    body = b"4\r\nhalf\r\n" if "chunked" in head else b"half"
                    said, count = self.told(ask("miss-a", "a", "once"), head, body, how)
                    self.assertTrue(said.startswith("SERVER_ERROR"), said)
                    self.assertEqual(count, 1)

    def test_the_end_of_the_connection_is_one(self):
        for head in "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n":
            said, count = self.told(ask("miss-a", "a", "once"), head, b"whole", "end")
            self.assertEqual((said, count), ("VA 5 Oa", 1))


class CutLists(unittest.TestCase):
    def test_a_list_that_a_reset_ends(self):
        """With no length said: half of it is no list; the whole of it is, whatever comes behind."""
        entries = [{"instanceId": f"s{i}", "hostPort": "127.0.0.1:1", "lifecycle": "up"} for i in range(3)]
        text = json.dumps({"generation": 9, "reset": True, "instances": entries}, indent=1).encode()
        for at in 1, len(text) // 2, len(text) - 1:
            told, _ = test_crossings.Watch.ended(self, [text[:at], None], 1.0, False)
            self.assertEqual(told, [model.ListKind.FAILED], at)
        told, _ = test_crossings.Watch.ended(self, [text, None], 1.0, False)
        self.assertEqual(told, [model.ListKind.FULL, model.ListKind.FAILED])


class TimeTold(Case):
    def test_what_an_attempt_tells_is_left_when_it_is_written(self):
        """Connecting takes its part of the time: the cache server is told what is left behind that."""

        async def scene(town: Held) -> None:
            made, told = town.service.upstream.connect, []

            async def slowly(server):
                link = await made(server)
                await asyncio.sleep(0.3)
                return link

            write = Stream.write

            def noted(stream: Stream, data: bytes):
                told.extend(int(found[1]) for found in re.finditer(rb"d=(\d+)", bytes(data)))
                return write(stream, data)

            with mock.patch.object(town.service.upstream, "connect", slowly), mock.patch.object(Stream, "write", noted):
                one = await town.client()
                one.say(ask("hit", "a"))
                self.assertEqual(await answer(one), "VA 3 Oa")
            self.assertEqual(len(told), 1)
            self.assertLessEqual(told[0], 4700)

        self.play(scene, settings=patient(), serve=QUICK)

    def test_what_a_fetch_tells_is_left_when_it_is_written(self):
        """A miss that took its time: the origin is told what is left behind it, for reads and for writes."""

        async def scene(town: Held) -> None:
            connect, told = town.service.upstream.connect, []
            write = Stream.write

            async def slowly(server):
                link = await connect(server)
                await asyncio.sleep(0.3)
                return link

            def noted(stream: Stream, data: bytes):
                told.extend(int(found[1]) for found in re.finditer(rb"X-Attrs: [^\r]*d=(\d+)", bytes(data)))
                return write(stream, data)

            with mock.patch.object(town.service.upstream, "connect", slowly), mock.patch.object(Stream, "write", noted):
                one = await town.client()
                one.say(ask("miss-a", "a"))
                self.assertEqual((await answer(one))[:2], "VA")
                one.say("ms put-a 5 Ob Pc=put,t=acme,d=5000,k=0123456789abcdef\r\nhello\r\n")
                self.assertEqual((await answer(one))[:2], "HD")
            self.assertEqual(len(told), 2)
            self.assertLessEqual(told[0], 4400)  # behind two connections that came up late
            self.assertLessEqual(told[1], 5000)

        self.play(scene, settings=patient(), serve=QUICK)


class Closing(Case):
    """Bytes that arrive in the very moment in which a connection is shut or closed."""

    def test_nothing_is_sent_on_behind_a_shutdown(self):
        """What comes behind the node's end is neither sent on nor answered; the answers before it are whole."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(ask("hit", "a") + "ms x notanumber O1\r\nzz\r\n")
            self.assertEqual(await answer(one), "VA 3 Oa")
            while line := await answer(one):
                self.assertTrue(line.startswith(("CLIENT_ERROR", "ERROR")), line)
            one.say(ask("hit", "b"))  # the client has seen the node's end, and says more
            await asyncio.sleep(0.05)
            other = await town.client()
            other.say(ask("hit", "c"))
            self.assertEqual(await answer(other), "VA 3 Oc")
            self.assertEqual(town.came, ["a", "c"])

        self.play(scene, settings=patient(), serve=QUICK)

    def test_a_close_over_unread_bytes_takes_no_answer_along(self):
        """What was answered before the connection is closed comes whole, though more stands unread."""

        async def scene(town: Held) -> None:
            for i in range(5):
                one = await town.client()
                one.say(ask("held-a", f"a{i}") + "quit\r\n")
                await town.seen(2 * i + 1)
                at_once(one, ask("hit", f"b{i}"))
                town.go.set()
                self.assertEqual(await answer(one), f"VA 6 Oa{i}")
                town.go.clear()
                town.came.append("-")
            self.assertFalse([tag for tag in town.came if tag[0] == "b"])

        self.play(scene, settings=patient(), serve=QUICK)

    def test_small_writes_are_never_held_back(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(ask("miss-a", "a"))
            await answer(one)
            streams = [client.stream for client in town.service.clients.clients]
            streams += [link.stream for links in town.service.upstream.free.values() for link in links]
            self.assertGreaterEqual(len(streams), 2)
            for stream in streams:
                self.assertTrue(stream.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

        self.play(scene, settings=patient(), serve=QUICK)

    def test_half_a_line_from_a_server(self):
        """On a resting connection, or in the moment in which it is written to: it is no answer, nor a part of one."""

        async def scene(town: Held) -> None:
            one, upstream = await town.client(), town.service.upstream
            await one.ask(ask("hit", "a"))
            for i, half in enumerate(
                (b"VA 3 O", b"VA 2 O", b"VA 30 O", b"EN", b"VA 3 Oc4\r\nhi", b"HD Oc5 c", b"\r\n", b"SERVER")
            ):
                link = upstream.free["s1"][-1]
                server = next(
                    writer
                    for writer in town.writers
                    if not writer.is_closing() and writer.get_extra_info("peername") == link.stream.sock.getsockname()
                )
                server.write(half)
                one.say(ask("hit", f"b{i}", "once"))  # right behind it
                self.assertEqual(await answer(one), f"VA 3 Ob{i}")
                link = upstream.free["s1"][-1]
                server = next(
                    writer
                    for writer in town.writers
                    if not writer.is_closing() and writer.get_extra_info("peername") == link.stream.sock.getsockname()
                )
                write = link.stream.write

                async def crossed(data: bytes) -> None:
                    server.write(half)
                    await write(data)

                link.stream.write = crossed
                one.say(read("hit", f"c{i}", "once", wait=1000))
                said = (await asyncio.wait_for(one.reader.readline(), 5)).decode()
                if not said.startswith("SERVER_ERROR"):  # it may have run: refused it was not, nor sent again
                    self.assertEqual((said, await one.reader.readline()), (f"VA 3 Oc{i}\r\n", b"hit\r\n"))
                self.assertEqual(town.came[-2:], [f"b{i}", f"c{i}"])
                one.say(ask("hit", f"d{i}", "once"))
                self.assertEqual(await answer(one), f"VA 3 Od{i}")

        self.play(scene, settings=patient(), serve=QUICK)


class Floods(Case):
    def test_a_client_that_sends_much_at_once_and_resets(self):
        """All of it has come, and the reset as well, before the node looks: nothing of it is sent on."""

        async def scene(town: Held) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            flood = socket.create_connection(town.address[:2])
            flood.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            flood.sendall("".join(ask("hit", f"f{i}") for i in range(500)).encode())
            flood.close()
            first.say(ask("hit", "a"))
            self.assertEqual(await answer(first), "VA 3 Oa")
            await town.gone(1)
            self.assertEqual(town.came, ["a"])

        self.play(scene, settings=patient(), serve=QUICK)


class Effects(Case):
    """A class has the effect that the settings give it, whatever its name, and whatever it was on another day."""

    def test_a_class_with_another_effect(self):
        for effect, ttl, count in ("idempotent", None, 4), ("deduplicated", 300, 4), ("never", None, 1):
            given = patient(max_attempts=4)
            window = {"key_ttl_ns": ttl * 1_000_000, "group": "all"} if ttl else {}
            given["classes"] = [
                one | {"repeat": effect} | window if one["name"] == "read" else one for one in given["classes"]
            ]

            async def scene(town: Held) -> None:
                one = await town.client()
                one.say(write("cut", "v", "a", "read"))
                self.assertTrue((await answer(one)).startswith("SERVER_ERROR"))
                self.assertLessEqual(len(town.came), count, effect)
                self.assertGreaterEqual(len(town.came), min(count, 2), effect)

            with self.subTest(effect=effect, ttl=ttl):
                self.play(scene, settings=given, serve=QUICK)


if __name__ == "__main__":
    unittest.main()
