"""The instants in which something is still owed: each crossing is forced by order, and judged by what was seen outside.

Peers are held, the other side acts, what came is looked at, then they go on. Where no peer can meet the instant, the
socket calls under the node are stepped by the test; the program's own way is never changed for it.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import re
import signal
import socket
import struct
import time
import unittest
from unittest import mock

import uvloop

from saltmoor import config, model
from saltmoor.guard import ends
from saltmoor.model import Ended
from saltmoor.net import http, lifecycle, meta
from saltmoor.net.discovery import Discovery, Pieces
from saltmoor.net.log import Log
from tests.helper import MS, VALUE, Caller, Town, read, settings, within, write

ENDS = {
    "half": ("VA 5 OTAG\r\nab", True),
    "whole": ("VA 5 OTAG\r\nabcde\r\n", True),
    "head": ("VA 5 OT", True),
    "endless": ("VA 5 OTAG " + "x" * 1500, False),
    "wide": ("VA 60000 OTAG\r\nab", False),
}


class Held(Town):
    """A key that begins with `held` is answered once the test lets go; a `pair` is answered twice."""

    def __init__(self, **changed) -> None:
        super().__init__(**changed)
        self.go, self.came = asyncio.Event(), []

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        answers = asyncio.Queue()

        async def answer() -> None:  # in order, and while more is read
            while got := await answers.get():
                if got[0].startswith("held"):
                    await self.go.wait()
                writer.write(got[1])

        task, copy = asyncio.create_task(answer()), b""
        while line := (await reader.readline()).decode():
            if line == "stats load\r\n":
                answers.put_nowait(("", b"STAT queue 0\r\nEND\r\n"))
                continue
            _, key, *flags = line.split()
            self.came.append(tag := next(flag[1:] for flag in flags if flag[0] == "O"))
            if key == "big":
                await self.big(writer, key, f"O{tag}")
                continue
            if ends := ENDS.get(key):  # what is sent, and then the connection is reset, or nothing more comes
                writer.write(ends[0].encode().replace(b"TAG", tag.encode()))
                if ends[1]:
                    sock = writer.transport.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    break
                continue
            writer.write(copy)
            copy = b"SERVER_ERROR busy\r\n" if key == "pair" else b""  # comes once more, with the next command
            said = {"miss": f"EN O{tag}", "pair": "SERVER_ERROR busy", "fail": "SERVER_ERROR failed"}.get(
                key.partition("-")[0], f"VA {len(key)} O{tag}\r\n{key}"
            )
            answers.put_nowait((key, f"{said}\r\n".encode()))
        task.cancel()
        writer.close()

    async def origin(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        copy = b""
        while line := (await reader.readline()).decode():
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            method, path, _ = line.split()
            if length := re.search(r"Content-Length: (\d+)", head):
                await reader.readexactly(int(length[1]))
            self.came.append("origin " + re.search("X-Request-ID: (.*)", head)[1].strip())
            if "cut" in path:
                break
            writer.write(copy)
            if "held" in path:
                await self.go.wait()
            body = f"{method} {path}".encode()
            made = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            copy = made if "pair" in path else b""
            writer.write(made)
        writer.close()

    async def seen(self, count: int) -> None:
        """Wait until the servers have got so many commands."""
        while len(self.came) < count:
            await asyncio.sleep(0.005)

    async def gone(self, clients: int) -> None:
        """Wait until the node holds no more than so many clients' connections."""
        while len(self.service.clients.clients) > clients:
            await asyncio.sleep(0.005)

    def drain(self) -> None:
        lines = [one | {"lifecycle": "draining"} for one in self.list if one["instanceId"] == "s1"]
        self.news.put_nowait(json.dumps({"instances": lines}).encode() + b"\n")


LONG = settings(classes=[{"name": "read", "repeat": "idempotent", "aim_ns": 9 * 10**9, "deadline_ns": 10**10}])


def may(**changed) -> dict:
    return settings(permissions=settings()["permissions"] | changed)


class Case(unittest.TestCase):
    def play(self, scene, **changed) -> Held:
        async def run() -> Held:
            async with Held(**changed) as town:
                await scene(town)
                town.go.set()
            return town

        return uvloop.run(asyncio.wait_for(run(), 15))


async def answer(one: Caller) -> str:
    """One line of an answer, without its value; empty at the end of the connection."""
    got = (await asyncio.wait_for(one.reader.readline(), 6)).decode()
    if got.startswith("VA"):
        await one.reader.readline()
    return got.strip()


def at_once(one: Caller, text: str) -> None:
    """The kernel has it before anything else runs."""
    os.write(one.writer.transport.get_extra_info("socket").fileno(), text.encode())


class HandedOn(Case):
    def test_one_that_came_during_a_drain_keeps_its_own_moment(self):
        """Guards against a second process that gives up at once what is asked on it, as the drain's bound is over, and
        against one that begins its time anew."""

        async def scene(town: Held) -> None:
            clients = town.service.clients
            clients.drain_from(clients.clock() - 5_000_000)
            await town.client()
            while not clients.clients:
                await asyncio.sleep(0.005)
            late = next(iter(clients.clients))
            self.assertEqual(late.end_due.gone_by, late.connected + clients.drain.bound)
            said = {"client": late.peer, "since": 0, "used": 0, "count": 0} | clients.said_of(late)
            with socket.create_server(("127.0.0.1", 0)) as listener:
                here = socket.create_connection(listener.getsockname())
                clients.adopt(listener.accept()[0], said)
            adopted = next(client for client in clients.clients if client is not late)
            for moment in "told", "answers_until", "gone_by":
                self.assertLess(abs(getattr(adopted.end_due, moment) - getattr(late.end_due, moment)), 20_000)
            here.close()

        self.play(scene)


class ClientLeft(Case):
    """What a client asked is not sent on once it has left, wherever it waits."""

    def test_behind_as_many_commands_as_may_be_open(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(*(read("held", f"a{i}") for i in range(150)))
            await town.seen(65)
            one.writer.close()
            await asyncio.wait_for(town.gone(0), 0.3)
            town.go.set()
            await (await town.client()).ask(read("hit", "after"))
            self.assertEqual(town.came[65:], ["after"])

        self.play(scene, settings=may(max_attempts=1))

    def test_behind_a_command_that_ends_the_connection(self):
        for last in "quit\r\n", "ms k five O1 Pc=put\r\n":

            async def scene(town: Held) -> None:
                one = await town.client()
                one.say(read("held", "a", wait=9000) + last)
                await town.seen(1)
                one.writer.close()
                await within(0.8, town.gone(0))

            self.play(scene, settings=LONG)

    def test_while_it_may_not_be_read_from(self):
        async def scene(town: Held) -> None:
            one, door = await town.client(), town.service.door
            await one.ask("mn\r\n")
            door.ran = lambda late, passed: 0.0  # nothing is read but what each had begun already
            await asyncio.sleep(0.02)
            await one.ask("mn\r\n")
            one.say(read("hit", "a"))
            one.writer.close()
            await asyncio.sleep(0.03)
            turns = [1.0]  # one read more, and the next one only later
            door.ran = lambda late, passed: turns.pop() if turns else 0.0
            await town.gone(0)
            await asyncio.sleep(0.05)
            self.assertEqual(town.came, [])

        self.play(scene)

    def test_while_its_hop_connects(self):
        """Whatever the settings say of cancelling: nothing was written, so nothing has to be cancelled."""
        for allowed in True, False:

            async def scene(town: Held) -> None:
                made, connects, go = town.service.upstream.connect, asyncio.Event(), asyncio.Event()

                async def slowly(server):
                    link = await made(server)
                    connects.set()
                    await go.wait()
                    return link

                with mock.patch.object(town.service.upstream, "connect", slowly):
                    one = await town.client()
                    one.say(read("hit", "a"))
                    await connects.wait()
                    one.writer.close()
                    await town.gone(0)
                    go.set()
                    await asyncio.sleep(0.05)
                await (await town.client()).ask(read("hit", "b"))
                self.assertEqual(town.came, ["b"])

            self.play(scene, settings=may(cancel=allowed, probes=False, connect_timeout_ns=900 * MS * 1000))

    def test_after_the_node_has_begun_to_end_its_connection(self):
        """The end that the client makes is told from the node's own."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("held-a", "a"))
            await town.seen(1)
            next(iter(town.service.clients.clients)).close("draining")
            one.writer.close()
            await asyncio.wait_for(town.gone(0), 0.8)

        self.play(scene)

    def test_who_joined_its_fetch_is_served(self):
        async def scene(town: Held) -> None:
            one, two = await town.client(), await town.client()
            one.say(read("miss-held", "a"))
            await town.seen(2)
            two.say(read("miss-held", "b"))
            await asyncio.sleep(0.03)
            one.writer.close()
            await town.gone(1)
            town.go.set()
            self.assertRegex(await answer(two), "^VA .* Ob$")
            self.assertEqual(town.service.door.node.fetches, {})

        self.play(scene)


class LastByte(Case):
    def test_a_time_out_that_crosses_the_kernel(self):
        """The kernel takes the last byte, then the time-out strikes before the task runs again: it may have run."""
        for parts, crossing, told in (
            (1, True, Ended.TIMED_OUT),
            (1, False, Ended.NO_CONNECTION),
            (3, True, Ended.TIMED_OUT),
            (3, False, Ended.NO_CONNECTION),
        ):

            async def scene(town: Held) -> None:
                upstream, loop = town.service.upstream, asyncio.get_running_loop()
                link = await upstream.connect("s1")
                upstream.free["s1"] = [link]
                turns = []

                class Stepped:
                    """The loop's socket calls, of which a write is over when the test says so."""

                    sock_recv_into = staticmethod(loop.sock_recv_into)

                    async def sock_sendall(self, sock, data) -> None:
                        turns.append(loop.create_future())
                        await turns[-1]

                link.stream.loop = Stepped()
                task = asyncio.create_task(
                    upstream.exchange(
                        "s1",
                        [b"ms k 1 O1 Pc=once\r\n", b"x", b"\r\n"][-parts:],
                        meta.ProbeReply(),
                        lifecycle.clock() + 9_000_000,
                    )
                )
                for turn in range(parts):
                    while len(turns) <= turn:
                        await asyncio.sleep(0)
                    if turn < parts - 1 or crossing:
                        turns[turn].set_result(None)
                upstream.clock = lambda: lifecycle.clock() + 10_000_000
                task.cancel()  # what the time-out does
                self.assertEqual((await task).ended, told)

            with self.subTest(parts=parts, crossing=crossing):
                self.play(scene)


class Window(Case):
    def test_a_repeat_that_is_written_behind_its_window(self):
        """It was decided inside of it, but connecting takes longer than is left: it must not be written."""
        for wait, count in (0.4, 1), (0.05, 2):  # the window is 0.3 s, and the connection may take 0.9 s

            async def scene(town: Held) -> None:
                made, connects = town.service.upstream.connect, []

                async def slowly(server):
                    connects.append(server)
                    if connects.count(server) > 1:
                        await asyncio.sleep(wait)
                    return await made(server)

                with mock.patch.object(town.service.upstream, "connect", slowly):
                    one = await town.client()
                    one.say(write("cut", "v", "a"))
                    self.assertRegex(await answer(one), "^SERVER_ERROR")
                    await asyncio.sleep(0.45)  # what was to come late has come
                self.assertEqual(connects[:2], ["o", "o"])
                self.assertEqual(town.came[:2], ["origin a"] * count)

            with self.subTest(wait):
                self.play(scene, settings=may(connect_timeout_ns=900 * MS * 1000, max_attempts=2))


class Drain(Case):
    def test_news_between_the_decision_and_the_first_byte(self):
        async def scene(town: Held) -> None:
            upstream = town.service.upstream
            await (await town.client()).ask(read("hit", "a"))
            self.assertEqual(len(upstream.free["s1"]), 1)
            task = asyncio.create_task(
                upstream.exchange("s1", [b"mg k v Ob Pc=read\r\n"], meta.ProbeReply(), lifecycle.clock() + 200_000)
            )
            lines = [
                config.line(config.Section(one | {"lifecycle": "draining"}), town.service.given.names)
                for one in town.list[:1]
            ]
            upstream.listed(lines)
            self.assertEqual((await task).ended, Ended.NOT_SENT)
            self.assertEqual(town.came, ["a"])

        self.play(scene)

    def test_a_start_by_an_old_list(self):
        """Where what is told counts from the first moment of a process, nothing is sent by the list before."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("hit", "a"))
            await asyncio.sleep(0.05)
            town.drain()
            self.assertIn("busy", await answer(one))
            self.assertEqual(town.came, [])

        self.play(scene, settings=settings(membership_mode="automatic", rules={}))

    def test_a_pushed_list_is_called_again_well_within_the_time_for_a_drain(self):
        rules = {"stop_sending_within_ns": 700 * MS * 1000, "ask_within_ns": 9000 * MS * 1000}
        for mode, longest in ("automatic", 700 // 4), ("subscribe", 4500):
            given = config.parse({"settings": settings(membership_mode=mode, rules=rules)}, {})
            node = lifecycle.Node(1, 0, **given.node)
            for now in range(0, 60_000 * MS, 10_000 * MS):  # it fails six times
                node.effects.clear()
                node.listed(now, model.ListKind.FAILED, [])
                for after in range(0, 5_000, 5):
                    while node.due and node.due[0][0] <= now + after * MS:
                        node.woken(now + after * MS, 2)
                    if any(isinstance(one, model.WatchList) for one in node.effects):
                        break
                self.assertLessEqual(after, longest)


class Watch(unittest.TestCase):
    def test_news_however_they_are_laid_out(self):
        entries = [{"instanceId": f"s-{i}", "hostPort": "10.0.0.1:1", "zone": 'a}"{[', "cell": i} for i in range(200)]
        whole, small = {"generation": 4, "reset": True, "instances": entries}, {"generation": 5, "instances": []}
        pair = json.dumps(whole) + "\n" + json.dumps(small, indent=1) + "\n"
        for text, told in (
            (pair, [whole, small]),
            (json.dumps(whole, indent=4) + "\r\n", [whole]),
            (json.dumps(small) + json.dumps(small), [small, small]),
            (json.dumps(whole, indent="\t").replace("\n", "\n\n") + "\n\n\n", [whole]),
            ("\n" + json.dumps(small, indent=2), [small]),
        ):
            for cut in 1, 33, 16_384, len(text):
                pieces, got = Pieces(), []
                for at in range(0, len(text), cut):
                    got += [said for said in pieces.feed(text[at : at + cut].encode()) if said is not None]
                self.assertEqual(got, told, f"{text[:40]!r} cut by {cut}")
                self.assertFalse(pieces.began)
        for bad in '{"a\n', "[" * 40 + "\n", "}\n", "hello\n", '{"a": ' + "1" * (3 << 20):
            with self.assertRaises((ValueError, http.Garbled)):
                list(Pieces().feed(bad.encode()))

    def ended(self, script, silence: float, chunked: bool = True) -> tuple[list, float]:
        """A watch on a scripted discovery: what it told, and after how many seconds it failed."""

        async def run() -> tuple[list, float]:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n%b\r\n" % (b"Transfer-Encoding: chunked\r\n" * chunked))
                for piece in script:
                    if piece is None:
                        writer.transport.abort()
                        return
                    writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
                    await asyncio.sleep(0.02)
                await reader.read()
                writer.close()

            server, over, told = await asyncio.start_server(serve, "127.0.0.1", 0), asyncio.Event(), []

            def tell(news) -> None:
                told.append(news.kind)
                if news.kind in (model.ListKind.FAILED, model.ListKind.SILENT):
                    over.set()

            given = config.parse({"settings": settings()}, {})
            buffers = lifecycle.Buffers(keep=4)
            watch = Discovery(server.sockets[0].getsockname(), buffers, Log(0), names=given.names, generation=3)
            began = time.monotonic()
            watch.watch(int(silence * 1_000_000), tell)
            await asyncio.wait_for(over.wait(), 8)
            server.close()
            return told, time.monotonic() - began

        return uvloop.run(run())

    def test_a_stream_that_goes_on_and_says_nothing_whole(self):
        told, took = self.ended([b"{"] + [b" "] * 150, 0.3)
        self.assertEqual(told, [model.ListKind.SILENT])
        self.assertLess(took, 1.5)  # 3 s of bytes would come

    def test_a_list_that_comes_slowly_has_its_time(self):
        text = json.dumps({"generation": 4, "instances": []}, indent=1).encode() + b"\n"
        for chunked in True, False:
            told, _ = self.ended([b"\n"] * 5 + [text[i : i + 4] for i in range(0, len(text), 4)], 0.6, chunked)
            self.assertEqual(told, [model.ListKind.CHANGES] * 2 + [model.ListKind.SILENT])

    def test_a_reset_between_two_entries(self):
        entries = [{"instanceId": f"s{i}", "hostPort": "127.0.0.1:1", "lifecycle": "up"} for i in range(3)]
        text = json.dumps({"generation": 9, "reset": True, "instances": entries}, indent=1).encode()
        told, _ = self.ended([b"\n", text[: text.index(b"s1") - 20], None], 2.0)
        self.assertEqual(told, [model.ListKind.CHANGES, model.ListKind.FAILED])  # the empty line, and the end

    def test_a_silent_call_after_refusals_is_made_anew_at_once(self):
        """What it misses counts as told 6 s after it fell silent; 2.5 s of that are left for the turn of the new one."""
        told, took = self.ended([], 3.0)
        self.assertEqual(told, [model.ListKind.SILENT])
        self.assertLess(took, 3.4)
        for tries in range(8):  # calls that were refused before
            node = lifecycle.Node(tries, 0, **config.parse({"settings": settings()}, {}).node)
            for _ in range(tries):
                node.listed(0, model.ListKind.FAILED, [])
            node.due.clear()
            node.listed(9_000_000, model.ListKind.SILENT, [])
            self.assertLess(node.due[0][0], 9_250_000)

    def test_a_silent_watch_is_given_up_soon_whatever_the_time_to_ask(self):
        """What a silent watch misses counts as told 6 s later: calling anew and its turn need half of that."""
        for rules in {"ask_within_ns": 60_000 * MS * 1000}, {}, {"ask_within_ns": 100 * MS * 1000}:
            given = config.parse({"settings": settings(rules=rules)}, {})
            effects = lifecycle.Node(1, 0, **given.node).effects
            silence = [one.silence for one in effects if isinstance(one, model.WatchList)]
            self.assertEqual([2_500_000 <= one <= 3_000_000 for one in silence], [True])  # an empty line comes each 2 s


class End(Case):
    """After SIGTERM: all that was taken is answered, in time, and the process ends by itself."""

    async def stop(self, town: Held) -> float:
        began = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.02)
        return began

    def test_clients_that_go_on_without_a_pause(self):
        async def scene(town: Held) -> None:
            town.go.set()
            one, count, answers = await town.client(), 0, []

            async def ask() -> None:
                nonlocal count
                count += 1
                one.writer.write(read("hit", f"a{count}").encode())

            await ask()
            await ask()
            await self.stop(town)
            with self.assertRaises(ConnectionError):
                while got := await answer(one):
                    answers.append(got.split("O")[1])
                    await ask()
                raise ConnectionResetError
            await town.running
            self.assertEqual(answers, [f"a{i + 1}" for i in range(len(answers))])
            self.assertGreater(len(answers), 2)
            self.assertEqual(set(town.came) - set(answers), set())  # what was read was answered
            self.assertRegex(town.logged.getvalue(), "code=stopping n=[0-9]+")
            self.assertIn("stopped: clients=0 txs=0", town.logged.getvalue())

        self.play(
            scene,
            serve={"linger_ms": 50},
            settings=settings(
                classes=[{"name": "read", "repeat": "idempotent", "aim_ns": 10**9, "deadline_ns": 2 * 10**9}],
                tenants=[],
            ),
        )

    def test_a_client_that_does_not_close_its_end(self):
        """Guards against a connection that is still held when the process has ended, as its bound is not waited for."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("held", "a"))
            await town.seen(1)
            await self.stop(town)
            await asyncio.sleep(0.05 + ends.READS_ON / 1_000_000)
            one.say(read("hit", "b"))  # stands unread
            town.go.set()
            self.assertIn("Oa", await answer(one))
            self.assertEqual(await answer(one), "")
            await town.running
            self.assertIn("stopped: clients=0 txs=0", town.logged.getvalue())

        self.play(
            scene,
            serve={"linger_ms": 0},
            settings=settings(
                classes=[{"name": "read", "repeat": "idempotent", "aim_ns": 10**9, "deadline_ns": 2 * 10**9}],
                tenants=[],
            ),
        )

    def left(self, rules_before: int, rules_after: int | None, within: float) -> None:
        """A read that hangs is answered before the process ends, which it does in time."""

        def limits(ms: int) -> dict:
            return settings(
                classes=[
                    {"name": name, "repeat": "idempotent", "aim_ns": ms * 10**6, "deadline_ns": ms * 10**6}
                    for name in ("read", "put")
                ]
            )

        async def scene(town: Held) -> None:
            one, half = await town.client(), await town.client()
            one.say(f"mg held v Oa Pc=read,t=acme,d={rules_before}\r\n")
            half.say("ms farm 5 Ob Pc=put,t=acme,k=5\r\nab")
            await town.seen(1)
            if rules_after:
                town.said["settings"] = limits(rules_after)
                os.kill(os.getpid(), signal.SIGHUP)
                await asyncio.sleep(0.02)
            began = await self.stop(town)
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGTERM)
            self.assertRegex(await answer(one), "^SERVER_ERROR")
            self.assertEqual(await answer(one), "")
            await town.running
            self.assertLess(time.monotonic() - began, within)
            self.assertIn("stopped: clients=0 txs=0", town.logged.getvalue())

        self.play(scene, settings=limits(rules_before), serve={"linger_ms": 50})

    def test_a_half_command_that_does_not_go_on(self):
        """It is owed its error line in time, also when the process has begun to end, and waits for another's answer."""

        async def scene(town: Held) -> None:
            one, half = await town.client(), await town.client()
            one.say(read("held", "a"))
            half.say("ms farm 5 Ob Pc=put,t=acme,k=5\r\nab")
            await town.seen(1)
            began = await self.stop(town)
            self.assertIn("not finished", await answer(half))
            self.assertLess(time.monotonic() - began, 0.6)  # the other one's answer is due after 0.9 s
            self.assertRegex(await answer(one), "^SERVER_ERROR")
            await town.running

        self.play(scene, serve={"linger_ms": 50, "unfinished_ms": 200})

    def test_a_last_answer_behind_which_more_was_said(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("held-a", "a"))
            await town.seen(1)
            await self.stop(town)
            while all(client.life.reads for client in town.service.clients.clients):
                await asyncio.sleep(0.005)
            at_once(one, read("hit", "b"))  # is not read any more: it has to be asked of another node
            town.go.set()
            self.assertEqual([await answer(one), await answer(one)], ["VA 6 Oa", ""])  # no reset
            one.writer.close()
            await town.running
            self.assertEqual(town.came, ["a"])

        self.play(scene, serve={"linger_ms": 50})

    def test_a_value_that_is_being_passed_on(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("big", "a"))
            got = await one.reader.readexactly(1000)
            await self.stop(town)
            await asyncio.sleep(0.1)
            got += await asyncio.wait_for(one.reader.read(-1), 5)
            self.assertEqual(got, b"VA %d Oa\r\n%b\r\n" % (len(VALUE), VALUE))
            await town.running

        self.play(scene, serve={"linger_ms": 50})

    def test_limits_beyond_the_time_in_which_it_is_ended(self):
        self.left(60_000, None, 3.7)

    def test_limits_that_were_longer_before_a_reload(self):
        self.left(3_000, 200, 0.7)

    def test_no_descriptor_left_for_what_waits_at_the_listener(self):
        async def scene(town: Held) -> None:
            first = await town.client()
            await first.ask("mn\r\n")
            clients = town.service.clients
            clients.acceptor.hold()  # nothing is accepted for a moment
            waiting = [await town.client() for _ in range(3)]
            for i, one in enumerate(waiting):
                one.say(read("hit", f"a{i}"))
            await asyncio.sleep(0.03)

            class Short:
                """The listener, at which a descriptor is wanting once."""

                def __init__(self, sock) -> None:
                    self.sock, self.failed = sock, False

                def __getattr__(self, name: str):
                    return getattr(self.sock, name)

                def accept(self):
                    if not self.failed:
                        self.failed = True
                        raise OSError(errno.EMFILE, "too many open files")
                    return self.sock.accept()

            clients.acceptor.listener = Short(clients.acceptor.listener)
            await self.stop(town)
            for i, one in enumerate(waiting):
                self.assertRegex(await answer(one), f"^VA .* Oa{i}$")
            await town.running

        self.play(scene, serve={"linger_ms": 0})

    def test_a_half_command_that_is_whole_in_the_moment_in_which_it_is_cut(self):
        async def scene(town: Held) -> None:
            one, clients = await town.client(), town.service.clients
            text = read("hit", "a")
            one.say(text[:9])
            while not clients.begun:
                await asyncio.sleep(0.005)
            at_once(one, text[9:])
            clients.sweep(-(10**9))  # it has taken too long, as nobody has looked at the socket yet
            self.assertEqual(await answer(one), "VA 3 Oa")
            one.say("mn\r\n")
            self.assertEqual(await answer(one), "MN")
            one.say(text[:9])
            while not clients.begun:
                await asyncio.sleep(0.005)
            clients.sweep(-(10**9))
            self.assertIn("not finished", await answer(one))
            self.assertEqual(await answer(one), "")

        self.play(scene)


class Connections(Case):
    def test_the_second_copy_of_an_answer_that_does_not_say_to_what_it_is_one(self):
        """It comes when the next command is on its way: it must not be taken for that one's."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("miss-pair", "a"))
            self.assertEqual(await answer(one), "VA 14 Oa")
            one.say(write("x", "v", "b"))
            self.assertEqual(await answer(one), "HD Ob cPUT /x")
            upstream, ends = town.service.upstream, []
            for key in "pair", "hit":
                command = meta.parse(read(key, key).strip().encode())
                got = await upstream.exchange(
                    "s1", meta.hop_bytes(command, 900), meta.HopReply(command), lifecycle.clock() + 900_000
                )
                ends.append(got.ended)
            self.assertEqual(ends, [Ended.FULL, Ended.COMMITTED])

        self.play(scene, settings=may(max_attempts=2, probes=False))

    def test_answers_that_end_too_soon_or_never(self):
        """Half an answer may have run, a whole one counts though a reset came with it, and each has its end in time."""
        for key, line in (
            ("half", "SERVER_ERROR failed"),
            ("head", "SERVER_ERROR failed"),
            ("whole", "VA 5 Oa"),
            ("endless", "SERVER_ERROR failed"),
            ("wide", "SERVER_ERROR failed"),
        ):

            async def scene(town: Held) -> None:
                one, began = await town.client(), time.monotonic()
                one.say(read(key, "a", "once", wait=300))
                self.assertEqual(await answer(one), line)
                self.assertLess(time.monotonic() - began, 0.6)
                self.assertEqual(town.came, ["a"])  # once

            with self.subTest(key):
                self.play(scene, settings=may(probes=False))

    def test_a_time_out_and_the_answer_in_one_pass(self):
        """Whatever is told of it, it is not that it never ran; and the connection is not used again."""

        async def scene(town: Held) -> None:
            upstream, command = town.service.upstream, meta.parse(read("held", "a").strip().encode())
            upstream.free["s1"] = [await upstream.connect("s1")]
            link = upstream.free["s1"][0]
            task = asyncio.create_task(
                upstream.exchange(
                    "s1", meta.hop_bytes(command, 900), meta.HopReply(command), lifecycle.clock() + 9_000_000
                )
            )
            await town.seen(1)
            town.go.set()
            while link.stream.waiting:  # until the read is over, and its task has not run
                await asyncio.sleep(0)
                if not link.stream.reading:
                    break
            upstream.clock = lambda: lifecycle.clock() + 10_000_000
            task.cancel()
            self.assertIn((await task).ended, (Ended.TIMED_OUT, Ended.COMMITTED))

        self.play(scene)

    def test_an_eviction_that_crosses_a_command(self):
        async def scene(town: Held) -> None:
            one, clients = await town.client(), town.service.clients
            await one.ask("mn\r\n")
            held = next(iter(clients.clients))
            at_once(one, read("hit", "a"))
            held.close("evicted")
            self.assertEqual(await answer(one), "VA 3 Oa")
            self.assertEqual(await answer(one), "")

        self.play(scene)


class Settings(Case):
    def test_one_of_everything_and_no_zones(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            for key, line in ("hit", "VA 3 Oa"), ("miss-x", "VA 11 Oa"):
                one.say(f"mg {key} v Oa Pc=only,d=900\r\n")
                self.assertEqual(await answer(one), line)

        self.play(
            scene,
            settings=settings(
                azs=[],
                tenants=[],
                classes=[{"name": "only", "repeat": "idempotent", "aim_ns": 500 * 10**6, "deadline_ns": 900 * 10**6}],
            ),
        )

    def test_names_in_any_letters_and_that_begin_alike(self):
        names = ["get", "get-all", "catálogo", "catálogo/alta"]
        said = settings(
            classes=[
                {"name": name, "repeat": "idempotent", "aim_ns": 500 * 10**6, "deadline_ns": (900 + i) * 10**6}
                for i, name in enumerate(names)
            ],
            tenants=[{"name": "ñ", "quota_per_s": 100}],
        )

        async def scene(town: Held) -> None:
            one = await town.client()
            for i, name in enumerate(names):
                one.say(f"mg hit v Oa{i} Pc={name},t=ñ,d=900\r\n")
                self.assertEqual(await answer(one), f"VA 3 Oa{i}")
            for bad in "mg hité v O1 Pc=get\r\n", "mg hit v Oé Pc=get\r\n", "mg hit v O1 Pc=get,x=é\r\n":
                one.say(bad)
                self.assertIn("CLIENT_ERROR", await answer(one))
            self.assertEqual(len(town.came), 4)

        self.play(scene, settings=said)

    def test_limits_of_next_to_nothing(self):
        async def scene(town: Held) -> None:
            one = await town.client()
            one.say("mg held v Oa Pc=read,d=20\r\n")
            began = time.monotonic()
            self.assertRegex(await answer(one), "^SERVER_ERROR")
            self.assertLess(time.monotonic() - began, 0.2)

        self.play(
            scene,
            settings=settings(
                classes=[{"name": "read", "repeat": "idempotent", "aim_ns": 15 * 10**6, "deadline_ns": 20 * 10**6}]
            ),
        )

    def test_an_effect_that_changes_while_a_transaction_is_open(self):
        """What is under way keeps the effect that it was taken under."""

        async def scene(town: Held) -> None:
            one = await town.client()
            one.say(read("held", "a", "once"))
            await town.seen(1)
            town.said["settings"] = settings(
                classes=[{"name": "once", "repeat": "idempotent", "aim_ns": 500 * 10**6, "deadline_ns": 10**9}]
            )
            town.service.reload()
            town.hang_up()
            self.assertRegex(await answer(one), "^SERVER_ERROR failed")
            self.assertEqual(town.came, ["a"])

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
