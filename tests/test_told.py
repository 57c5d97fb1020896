"""What discovery has to tell counts as told 6 s after discovery had it and could be reached, whatever went before.

The waits of the decisions are taken from a scripted clock; what calls meet is scripted on loopback, each case forced
by the order of what discovery does.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import heapq
import json
import random
import socket
import struct
import unittest
from collections import deque
from collections.abc import Callable
from unittest import mock

import uvloop

from saltmoor import config, model
from saltmoor.choice import Node
from saltmoor.model import ListKind, Micros
from saltmoor.net import discovery, lifecycle
from saltmoor.net.discovery import Discovery
from saltmoor.net.log import Log
from tests.helper import MS, Town, settings

TOLD = 6.0  # seconds
S = 1_000_000
ASKED = 0, S // 10, S, 10 * S, 60 * S, 3600 * S  # settings for asking; 0: none


def given(within: Micros = 10 * S, mode: str = "subscribe", grace: Micros = 700 * MS) -> config.Config:
    rules = {"ask_within_ns": within * 1000, "stop_sending_within_ns": grace * 1000}
    return config.parse({"settings": settings(membership_mode=mode, rules=rules)}, {})


def waited(node: Node, kind: ListKind, now: Micros) -> Micros:
    """From that end of a call to the next one."""
    node.due.clear()
    node.effects.clear()
    node.listed(now, kind, [])
    node.settle(now)
    wake = min(one.at for one in node.effects if isinstance(one, model.Wake))
    node.woken(wake, 2)
    node.armed = 0
    assert any(isinstance(one, model.WatchList) for one in node.effects)
    return wake - now


class Sum(unittest.TestCase):
    def test_all_waits_together(self):
        """Back-off, connection, turn, a list that has begun, silence, and the call after it, whatever is asked how often."""
        for mode in "subscribe", "automatic":
            for within in ASKED:
                for seed in range(20):
                    node = Node(seed, 0, **given(within, mode, 30 * S).node)
                    node.listed(0, ListKind.REMEMBERED, [])
                    silence = next(one.silence for one in node.effects if isinstance(one, model.WatchList)) / S
                    refused = max(waited(node, ListKind.FAILED, tries * S) for tries in range(12)) / S
                    silent = max(waited(node, ListKind.SILENT, tries * S) for tries in range(12, 20)) / S
                    first = discovery.AGENT if mode == "automatic" else silence + discovery.TURN
                    call = max(discovery.CONNECT + first, first + discovery.BEGUN)
                    self.assertLess(refused + call + silent, TOLD, f"asked within {within / S} s, {mode}")
                    self.assertLess(silence + discovery.BEGUN + silent, TOLD - 1.5)  # left for the turn of the new call


class Queue:
    """Discovery for many nodes on a scripted clock: down until `back`, then one call at a time, each `work` long.

    A call may wait there for `most`, and no more than `room` may; beyond that it is refused. What its caller has given
    up is worked on all the same. A late call keeps its turn beside the next one, as in `Turn` below.
    """

    def __init__(
        self, nodes: int, asked: Micros, work: Micros, most: Micros = 0, room: int = 0, back: Micros = 7 * S
    ) -> None:
        self.work, self.most, self.room, self.back = work, most, room, back
        self.events: list[tuple[Micros, int, Callable[..., None], tuple]] = []
        self.order, self.queue, self.busy = 0, deque(), False
        arguments = given(asked).node
        self.nodes = [Node(i * 7919 + 1, 0, **arguments) for i in range(nodes)]
        self.calls: list[dict] = [{"over": True, "heard": False, "late": False, "beside": None} for _ in self.nodes]
        self.told: list[Micros] = [0] * nodes
        for i in range(nodes):
            self.at(i * 997, self.event, i, Node.listed, ListKind.REMEMBERED, [])
        while self.events and 0 in self.told and self.events[0][0] < back + 30 * S:
            now, _, call, what = heapq.heappop(self.events)
            call(now, *what)

    def longest(self) -> float:
        """Seconds from its return until the last node has its news."""
        return (max(self.told) - self.back) / S if 0 not in self.told else 99.0

    def at(self, when: Micros, call: Callable[..., None], *what) -> None:
        self.order += 1
        heapq.heappush(self.events, (when, self.order, call, what))

    def event(self, now: Micros, i: int, method: Callable[..., None], *what) -> None:
        node = self.nodes[i]
        method(node, now, *what)
        node.settle(now)
        effects, node.effects = node.effects, []
        for effect in effects:
            if isinstance(effect, model.Wake):
                self.at(max(effect.at, now), self.event, i, Node.woken, effect.token)
            elif isinstance(effect, model.WatchList):
                self.call(now, i, effect.silence)

    def call(self, now: Micros, i: int, silence: Micros) -> None:
        before = self.calls[i]
        if not (before["over"] or before["heard"] or before["late"]):
            return
        call = self.calls[i] = {"node": i, "over": False, "heard": False, "late": False, "beside": None}
        if before["late"] and not (before["over"] or before["heard"]):  # the oldest keeps its turn
            call["beside"] = before["beside"] or before
            before["over"] = before["beside"] is not None
        if now < self.back or self.room and len(self.queue) >= self.room:
            self.at(now + 1000, self.end, call, ListKind.FAILED)
            return
        self.queue.append(call)
        self.serve(now)
        first = silence + int(discovery.TURN * S)
        self.at(now + first, self.late, call)
        self.at(now + 2 * first, self.end, call, ListKind.SILENT)
        if self.most:
            self.at(now + self.most, self.refuse, call)

    def late(self, now: Micros, call: dict) -> None:
        if not (call["over"] or call["heard"]):
            call["late"] = True
            self.event(now, call["node"], Node.listed, ListKind.SILENT, [])

    def refuse(self, now: Micros, call: dict) -> None:
        if call in self.queue and not call["over"]:
            self.queue.remove(call)
            self.end(now, call, ListKind.FAILED)

    def end(self, now: Micros, call: dict, kind: ListKind) -> None:
        if not (call["over"] or call["heard"]):
            call["over"] = True
            for one in self.calls:
                one["beside"] = None if one["beside"] is call else one["beside"]
            if call is self.calls[call["node"]]:
                self.event(now, call["node"], Node.listed, kind, [])

    def serve(self, now: Micros) -> None:
        if self.queue and not self.busy:
            self.busy = True
            self.at(now + self.work, self.done, self.queue.popleft())

    def done(self, now: Micros, call: dict) -> None:
        self.busy = False
        if not call["over"]:
            call["heard"], other = True, self.calls[call["node"]]
            for one in call["beside"], other if other["beside"] is call else None:
                if one:
                    one["over"] = True
            self.calls[call["node"]] = call
            self.told[call["node"]] = now
            self.event(now, call["node"], Node.listed, ListKind.FULL, [])
        self.serve(now)


class Crowd(unittest.TestCase):
    def test_a_call_each_is_served_in_time(self):
        """Three hundred nodes at a discovery that needs 4.2 or 5.4 s for a call of each."""
        for asked, work, most, room in ((S, 18, 0, 0), (10 * S, 18, 0, 0), (10 * S, 14, S, 0), (60 * S, 14, 0, 50)):
            took = Queue(300, asked, work * MS, most, room).longest()
            self.assertLess(took, TOLD, f"asked within {asked / S} s, may wait {most / S} s, room for {room}")

    def test_a_queue_that_is_too_long_ends_all_the_same(self):
        """Guards against nodes that give up their turns, so that all that is worked on is worked on in vain."""
        self.assertLess(Queue(300, 10 * S, 25 * MS).longest(), 8.0)  # 7.5 s for a call each

    def test_one_call_alone(self):
        """Whatever the phase of its back-off at the return."""
        for asked in ASKED[2:]:
            took = max(Queue(1, asked, MS, back=7 * S + i * 100 * MS).longest() for i in range(12))
            self.assertLess(took, 1.6)


class Scripted(Town):
    """Calls to discovery end as `script` says, one after the other; what is `held` comes to the last of them."""

    def __init__(self, *script: str, down: bool = False, **changed) -> None:
        super().__init__(**{"serve": {"linger_ms": 0}} | changed)
        self.down = down  # at the start
        self.script, self.called = list(script), asyncio.Queue()
        self.open: list[tuple[int, asyncio.Queue[bytes]]] = []  # watches: their port, and what they are told

    async def stage(self) -> None:
        await super().stage()
        self.port = int(self.said["discovery"].rpartition(":")[2])
        if self.down:
            self.servers[2].close()
            self.asked.set()

    async def back(self) -> None:
        self.servers[2] = await asyncio.start_server(self.discovery, "127.0.0.1", self.port)

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.readuntil(b"\r\n\r\n")
        port = writer.get_extra_info("sockname")[1]
        act = self.script.pop(0) if self.script else "follow"
        self.asked.set()
        self.called.put_nowait((port, act))
        if act == "503":
            writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
        elif act in ("half", "reset"):
            text = json.dumps({"generation": 9, "reset": True, "instances": self.list}, indent=1).encode()
            if act == "half":
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + text[: text.index(b'"o"')])
                await writer.drain()
                await asyncio.sleep(0.01)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        elif act == "mute":
            await reader.read()
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
            queue: asyncio.Queue[bytes] = asyncio.Queue()
            self.open.append((port, queue))
            while news := await queue.get():
                writer.write(b"%x\r\n%b\r\n" % (len(news), news))
        writer.close()

    def tell(self, port: int, **changed) -> None:
        """What is open at that port is told of its cache server."""
        news = json.dumps({"generation": 8, "instances": [self.list[0] | changed]}).encode() + b"\n"
        for at, queue in self.open:
            if at == port:
                queue.put_nowait(news)

    async def strike(self) -> None:
        for _, queue in self.open:
            queue.put_nowait(b"")
        await super().strike()

    async def next(self, wait: float = TOLD) -> tuple[int, str]:
        return await asyncio.wait_for(self.called.get(), wait)

    async def told(self, wait: float = TOLD) -> None:
        """Until the node has heard that its cache server drains."""
        async with asyncio.timeout(wait):
            while any(one.server == "s1" for one in self.service.door.members()):
                await asyncio.sleep(0.005)

    def reload(self, **changed) -> None:
        self.said = self.said | changed
        self.service.reload()


class Cases(unittest.TestCase):
    def play(self, scene, *script: str, down: bool = False, **changed) -> None:
        async def run() -> None:
            async with Scripted(*script, down=down, **changed) as town:
                await scene(town)

        uvloop.run(asyncio.wait_for(run(), 20))

    def test_refused_cut_and_half_a_list_then_news(self):
        """However many calls fail, the next one comes within the longest back-off."""

        async def scene(town: Scripted) -> None:
            for act in "503", "reset", "half", "503":
                self.assertEqual((await town.next(2.5))[1], act)
            port, act = await town.next(2.5)
            self.assertEqual(act, "follow")
            town.tell(port, lifecycle="draining")
            await town.told(1)

        self.play(scene, "503", "reset", "half", "503", settings=settings(rules={"ask_within_ns": 60 * S * 1000}))

    def test_a_start_in_the_outage_and_a_return_for_a_moment(self):
        async def scene(town: Scripted) -> None:
            for _ in range(3):
                while "code=reset" not in town.logged.getvalue():  # a call that is refused
                    await asyncio.sleep(0.01)
                await town.back()
                self.assertEqual((await town.next(2.5))[1], "follow")
                town.tell(town.port, lifecycle="up")
                town.servers[2].close()
                town.hang_up()
                town.logged.truncate(town.logged.seek(0))
            await town.back()
            await town.next(2.5)
            town.tell(town.port, lifecycle="draining")
            await town.told(1)

        self.play(scene, down=True)

    def test_the_old_address_has_news_when_the_new_one_has_refused(self):
        """Guards against a watch that is being left and passes for the new one: nobody would call that any more."""

        async def scene(town: Scripted) -> None:
            old = (await town.next())[0]
            town.script = ["503"]
            town.reload(discovery=await town.second_discovery())
            self.assertEqual((await town.next())[1], "503")
            town.tell(old)
            port, act = await town.next(2.5)
            self.assertNotEqual(port, old)
            self.assertEqual(act, "follow")
            town.tell(port, lifecycle="draining")
            await town.told(1)

        self.play(scene)

    def test_the_old_address_is_heard_until_the_new_one_says_something(self):
        async def scene(town: Scripted) -> None:
            old = (await town.next())[0]
            town.script = ["503", "mute"]
            town.reload(discovery=await town.second_discovery())
            for act in "503", "mute":
                self.assertEqual((await town.next(2.5))[1], act)
            town.tell(old, lifecycle="draining")
            await town.told(1)

        self.play(scene)

    def test_a_new_configuration_that_takes_discovery_away_and_names_it_again(self):
        async def scene(town: Scripted) -> None:
            await town.next()
            address = town.said["discovery"]
            town.reload(discovery=None)
            await asyncio.sleep(0.05)
            town.reload(discovery=address)
            town.tell((await town.next(1))[0], lifecycle="draining")
            await town.told(1)

        self.play(scene, settings=settings(rules={"ask_within_ns": 60 * S * 1000}))

    def test_a_list_that_has_begun_and_falls_silent(self):
        """It is given up soon: the call after it has to bring what it misses."""

        async def run() -> float:
            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
                await asyncio.sleep(1.0)
                writer.write(b'{"generation": 9,\n')
                await reader.read()
                writer.close()

            server, over, told = await asyncio.start_server(serve, "127.0.0.1", 0), asyncio.Event(), []
            watch = Discovery(
                server.sockets[0].getsockname(), lifecycle.Buffers(keep=4), Log(0), names=given().names, generation=3
            )
            began = asyncio.get_running_loop().time()
            watch.watch(3 * S // 2, lambda news: (told.append(news.kind), over.set()))
            await asyncio.wait_for(over.wait(), 8)
            server.close()
            self.assertEqual(told, [ListKind.SILENT])
            return asyncio.get_running_loop().time() - began

        with mock.patch.object(discovery, "BEGUN", 0.1, create=True):
            self.assertLess(uvloop.run(run()), 2.3)  # after 1.5 s of silence from then on it would be 2.5


class Turn(unittest.TestCase):
    """A call that is late keeps its turn; each of its calls is held until the test lets it go on."""

    def play(self, scene) -> None:
        async def run() -> None:
            self.came, self.told, self.over = [], [], []

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                self.came.append(writer)
                await reader.read()
                self.over.append(writer)
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            self.watch = Discovery(
                server.sockets[0].getsockname(), lifecycle.Buffers(keep=4), Log(0), names=given().names, generation=3
            )
            with mock.patch.object(discovery, "TURN", 0.0):
                self.call()
                await scene()
            self.watch.stop("stopping")
            await self.until(lambda: len(self.over) == len(self.came))
            server.close()

        uvloop.run(asyncio.wait_for(run(), 10))

    def call(self) -> None:
        self.watch.watch(S // 4, lambda news: self.told.append(news.kind))

    async def until(self, done: Callable[[], bool]) -> None:
        while not done():
            await asyncio.sleep(0.005)

    def answer(self, which: int) -> None:
        self.came[which].write(b'HTTP/1.1 200 OK\r\n\r\n{"generation": 9}\n')

    def test_the_first_of_two_is_answered_first(self):
        async def scene() -> None:
            await self.until(lambda: self.told == [ListKind.SILENT])
            self.assertEqual(self.over, [])
            self.call()
            self.call()  # the second is waiting: it goes on, too
            await self.until(lambda: len(self.came) == 2)
            self.answer(0)
            await self.until(lambda: self.over == [self.came[1]])
            self.assertEqual(self.told, [ListKind.SILENT, ListKind.CHANGES])
            self.came[0].write(b'{"generation": 10}\n')  # it is followed from then on
            await self.until(lambda: len(self.told) == 3)
            await self.until(lambda: len(self.told) == 4)
            self.assertEqual(self.told[2:], [ListKind.CHANGES, ListKind.SILENT])
            self.assertEqual(len(self.came), 2)

        self.play(scene)

    def test_the_second_of_two_is_answered_first(self):
        async def scene() -> None:
            await self.until(lambda: self.told == [ListKind.SILENT])
            self.call()
            await self.until(lambda: len(self.came) == 2)
            self.answer(1)
            await self.until(lambda: self.over == [self.came[0]])
            self.assertEqual(self.told, [ListKind.SILENT, ListKind.CHANGES])

        self.play(scene)

    def test_none_is_answered(self):
        """Two are open at most, and each is told as silent once."""

        async def scene() -> None:
            for late in range(1, 5):
                await self.until(lambda: len(self.told) == late)
                self.call()
                await self.until(lambda: len(self.came) == late + 1)
                self.assertLessEqual(len(self.came) - len(self.over), 3)  # one may be ending
            self.assertEqual(set(self.told), {ListKind.SILENT})
            self.assertEqual(len(self.told), 4)

        self.play(scene)


class Mixed:
    """Two discoveries whose calls end in drawn ways until it is calm, and a node between them that is drawn, too."""

    ENDS = "503", "reset", "half", "mute", "slow", "follow", "stops", "empty"

    def __init__(self, seed: int) -> None:
        self.chance, self.calm, self.at, self.watching = random.Random(seed), False, 0, False
        self.last: float = 0.0  # when news came

    async def serve(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        end = "follow" if self.calm else self.chance.choice(self.ENDS)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if end == "503":
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy")
            elif end == "reset":
                writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            elif end in ("half", "mute"):
                writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"gener' * (end == "half"))
                await reader.read()
            else:
                await asyncio.sleep(self.chance.random() * 0.12 * (end == "slow"))
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n\n")
                await asyncio.sleep(self.chance.random() * 0.05 * (end == "empty"))
                for _ in range({"empty": 0, "stops": 2}.get(end, 1000)):
                    writer.write(b'{"generation": %d}\n' % number)
                    await asyncio.sleep(0.015)
                    if reader.at_eof():
                        break
        writer.close()

    def ask(self) -> None:
        if not self.watching:
            self.watch.watch(50 * MS, self.tell)

    def tell(self, news: discovery.News) -> None:
        self.watching = news.kind not in (ListKind.FAILED, ListKind.SILENT)
        if self.watching:
            self.last = asyncio.get_running_loop().time()
        else:
            asyncio.get_running_loop().call_later(self.chance.random() * 0.02, self.ask)

    async def play(self) -> bool:
        """Whether the list is followed at the address named last once calls are answered again."""
        loop = asyncio.get_running_loop()
        servers = [
            await asyncio.start_server(functools.partial(self.serve, number), "127.0.0.1", 0) for number in (8, 9)
        ]
        places = [server.sockets[0].getsockname() for server in servers]
        self.watch = Discovery(places[0], lifecycle.Buffers(keep=4), Log(0), names=given().names, generation=3)
        self.ask()
        for _ in range(12):
            await asyncio.sleep(self.chance.random() * 0.08)
            if self.chance.random() < 0.3:
                self.at = 1 - self.at
                self.watch.move(places[self.at], given().names)
        self.calm, until = True, loop.time() + 3
        while loop.time() < until:
            await asyncio.sleep(0.2)  # it is followed, and stays so
            running = self.watch.running
            if (
                self.watching
                and running
                and running.heard
                and not running.task.done()
                and not self.watch.leaving
                and loop.time() - self.last < 0.1
                and self.watch.generation == 8 + self.at
            ):
                break
        followed = loop.time() < until
        self.watch.stop("stopping")
        for server in servers:
            server.close()
        await asyncio.sleep(0.03)
        return followed


class Orders(unittest.TestCase):
    def test_in_any_order_the_list_is_followed_in_the_end(self):
        """Calls that end in eight ways, late ones and moves, in drawn orders."""

        async def run() -> list[bool]:
            return await asyncio.gather(*(Mixed(seed).play() for seed in range(60)))

        with mock.patch.object(discovery, "TURN", 0.01), mock.patch.object(discovery, "BEGUN", 0.02):
            followed = uvloop.run(asyncio.wait_for(run(), 20))
        self.assertEqual([seed for seed, one in enumerate(followed) if not one], [])


if __name__ == "__main__":
    unittest.main()
