"""Connections that come up after those who waited for them gave up: kept for the next attempt, never one themselves.

The stand-in's queue of connections is full, so the kernel drops what comes until the test opens it; it asks again
after a second. Where an instant is meant, the loop's own call is made by the test.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
import os
import select
import socket
import unittest
from unittest import mock

import uvloop

from saltmoor import config, model
from saltmoor.model import Ended, Readiness
from saltmoor.net import lifecycle, meta, tcp_info, upstream
from saltmoor.net.buffers import Buffers
from saltmoor.net.flow import Budget
from saltmoor.net.log import Log
from tests.helper import MS, Caller, Town, read, reserve, settings

WAIT = 60 * MS  # the stated time for a connection


class Held:
    """A cache server to which connections come up only once the test opens it."""

    def __init__(self) -> None:
        # Guards against another process being given the port once this one has closed it, and taking what comes there.
        self.reserved = reserve()
        self.socket = socket.create_server(self.reserved.getsockname(), backlog=0, reuse_port=True)
        self.address = self.socket.getsockname()
        self.came: list[str] = []
        self.peers: list[int] = []  # the ports that connections came from
        self.writers: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None
        self.fill = []
        while True:  # its queue is full as soon as one more does not come up
            self.fill.append(sock := socket.socket())
            sock.setblocking(False)
            sock.connect_ex(self.address)
            up = select.select([], [sock], [], 0.05)[1]
            if not up and tcp_info.waiting(self.socket):  # else the machine is late with the first one
                break
        self.fill.pop().close()

    async def open(self) -> None:
        own = {sock.getsockname()[1] for sock in self.fill}
        for sock in self.fill:
            sock.close()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.append(writer)
            if (port := writer.get_extra_info("peername")[1]) in own:
                return writer.close()
            self.peers.append(port)
            while line := (await reader.readline()).decode():
                if line == "stats load\r\n":
                    writer.write(b"STAT queue 0\r\nEND\r\n")
                    continue
                _, key, *flags = line.split()
                tag = next(flag for flag in flags if flag[0] == "O")
                self.came.append(tag[1:])
                writer.write(f"VA {len(key)} {tag} h1\r\n{key}\r\n".encode())
            writer.close()

        self.server = await asyncio.start_server(serve, sock=self.socket)

    def close(self) -> None:
        for one in *self.fill, *self.writers, self.server or self.socket, self.reserved:
            one.close()


class Bench:
    """The connections of a node, and its clock, without the rest of it."""

    def __init__(self, cap: int = 16) -> None:
        self.ahead, self.cap = 0, cap
        self.pool = upstream.Upstream(
            Buffers(16),
            Log(),
            lambda: lifecycle.clock() + self.ahead,
            budget=Budget(1 << 20),
            cap=lambda: self.cap,
            make_room=lambda: False,
            idle=30_000 * MS,
            connect_wait=WAIT,
            figures=True,
        )

    def list(self, *houses: Held, state: Readiness = Readiness.READY) -> None:
        self.pool.listed(
            [
                config.Line(model.Member(f"s{number}", 0, 0, 0, state, 1.0, 0), house.address)
                for number, house in enumerate(houses, 1)
            ]
        )

    def ask(self, tag: str, server: str = "s1") -> asyncio.Task[meta.Reply]:
        command = meta.parse(read("hit", tag).strip().encode())
        return asyncio.create_task(
            self.pool.exchange(
                server, meta.hop_bytes(command, 900), meta.HopReply(command), self.pool.clock() + 4_000_000
            )
        )

    async def up(self, count: int = 1, server: str = "s1") -> None:
        """Wait until as many stand free."""
        while len(self.pool.free.get(server, [])) < count:
            await asyncio.sleep(0.005)

    def late(self, server: str = "s1") -> list[upstream.Dial]:
        return self.pool.late.get(server, [])


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class Case(unittest.TestCase):
    def play(self, scene, **changed) -> None:
        async def run() -> None:
            house, bench = Held(), Bench(**changed)
            bench.list(house)
            try:
                await scene(house, bench)
                bench.pool.close_all()
                self.assertEqual((bench.pool.open, bench.pool.late, bench.pool.waiting), (0, {}, {}))
            finally:
                house.close()
                await asyncio.sleep(0.01)

        with contextlib.redirect_stderr(logged := io.StringIO()):
            uvloop.run(asyncio.wait_for(run(), 8))
        self.logged = logged.getvalue()


class Late(Case):
    def test_the_next_attempt_has_it(self):
        """The attempt ends in the stated time and is never sent; what it waited for is paid for once."""

        async def scene(house: Held, bench: Bench) -> None:
            begun = lifecycle.clock()
            self.assertEqual((await bench.ask("a")).ended, Ended.NO_CONNECTION)
            self.assertLess(lifecycle.clock() - begun, WAIT + 400 * MS)
            self.assertEqual((bench.pool.open, bench.pool.free.get("s1")), (1, None))
            await house.open()
            await bench.up()
            self.assertEqual(house.came, [])
            for tag in "b", "c":
                self.assertEqual((await bench.ask(tag)).ended, Ended.COMMITTED)
            self.assertEqual((house.came, len(house.peers), bench.pool.open), (["b", "c"], 1, 1))

        self.play(scene)

    def test_who_waits_for_another_has_it(self):
        async def scene(house: Held, bench: Bench) -> None:
            await bench.ask("a")
            first = bench.late()[0].link.stream.sock.getsockname()[1]
            bench.pool.connect_wait = 3_000 * MS
            second, third = bench.ask("b"), bench.ask("c")
            await asyncio.sleep(0)
            link = bench.late()[0]
            await house.open()
            await asyncio.wait_for(asyncio.shield(link.over), 4)
            self.assertEqual((await second).ended, Ended.COMMITTED)
            self.assertEqual((house.came[0], house.peers[0]), ("b", first))
            self.assertEqual((await third).ended, Ended.COMMITTED)  # by its own one, or the one that b left
            await bench.up(3)  # nobody's is lost
            while len(house.peers) < 3:
                await asyncio.sleep(0.005)
            self.assertEqual((house.came, bench.pool.open), (["b", "c"], 3))

        self.play(scene)

    def test_a_stop_that_crosses_the_handing_over(self):
        """Who waited for another one is stopped when it was handed over and has not run since."""

        async def scene(house: Held, bench: Bench) -> None:
            await bench.ask("a")
            dial = bench.late()[0]
            bench.pool.connect_wait = 3_000 * MS
            one = bench.ask("b")
            while not bench.pool.waiting:
                await asyncio.sleep(0)
            (other,) = bench.pool.waiting["s1"]
            dial.end()  # as the loop does
            while not other.done():
                await asyncio.sleep(0)
            one.cancel()
            await asyncio.wait([one])
            self.assertEqual((one.cancelled(), bench.pool.free["s1"]), (True, [dial.link]))
            self.assertEqual((bench.pool.open, len(bench.late()), bench.pool.waiting), (2, 1, {}))

        self.play(scene)

    def test_whose_client_left(self):
        async def scene(house: Held, bench: Bench) -> None:
            one = bench.ask("a")
            await asyncio.sleep(0.01)
            one.cancel()
            await asyncio.wait([one])
            self.assertEqual((one.cancelled(), len(bench.late())), (True, 1))
            await house.open()
            await bench.up()
            self.assertEqual((await bench.ask("b")).ended, Ended.COMMITTED)
            self.assertEqual((house.came, len(house.peers)), (["b"], 1))

        self.play(scene)

    def test_a_stop_that_crosses_the_moment_in_which_it_is_up(self):
        async def scene(house: Held, bench: Bench) -> None:
            dials, made = [], upstream.Dial

            def dial(link: upstream.Link) -> upstream.Dial:
                dials.append(made(link))
                return dials[-1]

            with mock.patch.object(upstream, "Dial", dial):
                one = bench.ask("a")
                while not dials:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)
            dials[0].end()  # as the loop does; the task has not run since
            one.cancel()
            await asyncio.wait([one])
            await asyncio.sleep(0)
            self.assertEqual((one.cancelled(), bench.late(), bench.pool.open), (True, [], 1))
            self.assertEqual(bench.pool.free["s1"], [dials[0].link])

        self.play(scene)

    def test_a_drain_closes_it(self):
        """While it is on its way, in the moment when it is up, and as it comes up after the news."""
        for moment in "before", "between", "moved":

            async def scene(house: Held, bench: Bench) -> None:
                await bench.ask("a")
                dial, before = bench.late()[0], descriptors()
                if moment == "between":
                    dial.end()  # as the loop does
                if moment == "moved":
                    other = Held()
                    bench.list(other)
                    other.close()
                else:
                    bench.list(house, state=Readiness.DRAINING)
                self.assertEqual((bench.pool.open, bench.late()), (0, []))
                self.assertEqual(descriptors(), before - 1)
                await house.open()
                await asyncio.sleep(0.01)
                self.assertEqual((bench.pool.free.get("s1", []), house.came), ([], []))

            with self.subTest(moment):
                self.play(scene)
                self.assertIn("code=left-list", self.logged)

    def test_a_drain_while_it_is_waited_for(self):
        """Given up after the news: it is not kept at all."""

        async def scene(house: Held, bench: Bench) -> None:
            one = bench.ask("a")
            await asyncio.sleep(0.01)
            bench.list(house, state=Readiness.DRAINING)
            await one
            self.assertEqual((bench.pool.open, bench.late()), (0, []))

        self.play(scene)

    def test_the_descriptors_cap_holds(self):
        """Whoever needs the descriptor has it at once, and the one on its way longest makes room."""

        async def scene(house: Held, bench: Bench) -> None:
            other = Held()
            try:
                await other.open()
                bench.list(house, other)
                before, most = descriptors(), 0
                for tag in "a", "b", "c":
                    await bench.ask(tag)
                    most = max(most, bench.pool.open, descriptors() - before)
                self.assertEqual((most, bench.pool.open, len(bench.late())), (2, 2, 2))
                one = bench.ask("d", "s2")
                await asyncio.sleep(0)
                self.assertEqual((bench.pool.open, len(bench.late())), (2, 1))
                self.assertEqual((await one).ended, Ended.COMMITTED)
                bench.cap = 1
                bench.pool.sweep()
                self.assertEqual((bench.pool.open, bench.late(), len(bench.pool.free["s2"])), (1, [], 1))
            finally:
                other.close()

        self.play(scene, cap=2)
        self.assertIn("code=evicted", self.logged)

    def test_as_many_as_one_server_bears(self):
        async def scene(house: Held, bench: Bench) -> None:
            ends = await asyncio.gather(*(bench.ask(f"a{i}") for i in range(upstream.LATE_ONES + 3)))
            self.assertEqual({reply.ended for reply in ends}, {Ended.NO_CONNECTION})
            self.assertEqual((len(bench.late()), bench.pool.open), (upstream.LATE_ONES, upstream.LATE_ONES))

        self.play(scene)

    def test_one_that_never_comes_up(self):
        """Its descriptor comes back, and not before its time."""

        async def scene(house: Held, bench: Bench) -> None:
            before = descriptors()
            await bench.ask("a")
            begun = bench.late()[0].link.since
            for ahead, open_ in (upstream.LATEST - 1, 1), (upstream.LATEST, 0):
                bench.pool.clock = lambda ahead=ahead: begun + ahead
                bench.pool.sweep()
                self.assertEqual((bench.pool.open, descriptors() - before), (open_, open_))

        self.play(scene)
        self.assertIn("code=no-connection", self.logged)

    def test_one_that_is_refused_in_the_end(self):
        async def scene(house: Held, bench: Bench) -> None:
            await bench.ask("a")
            house.socket.close()
            while bench.late():
                await asyncio.sleep(0.005)
            self.assertEqual((bench.pool.open, bench.pool.free.get("s1", [])), (0, []))

        self.play(scene)
        self.assertIn("code=refused", self.logged)


class GivenBack(Case):
    """Whether connections are given back, as the decisions ask for where many are refused by servers that live."""

    async def late_ones(self, bench: Bench, count: int, lateness: int) -> None:
        """Connections that nobody has waited for come up so long after they were begun."""
        for number in range(count):
            await bench.ask(f"a{number}")
            bench.ahead += lateness
            bench.late()[0].end()  # as the loop does
            await asyncio.sleep(0)
            bench.pool.forget("s1")

    async def given_back(self, house: Held, bench: Bench) -> bool:
        await bench.ask("z")
        bench.late()[0].end()
        await asyncio.sleep(0)
        self.assertEqual(len(bench.pool.free["s1"]), 1)
        bench.pool.give_back("s1")
        kept = bench.pool.free.get("s1", [])
        bench.pool.forget("s1")
        self.assertEqual(bench.pool.open, 0)
        return not kept

    def test_most_come_up_after_all(self):
        """There is room for them: closing what is free would only cost new ones that are late again."""

        async def scene(house: Held, bench: Bench) -> None:
            self.assertTrue(await self.given_back(house, bench))
            await self.late_ones(bench, 8, 500 * MS)
            self.assertFalse(await self.given_back(house, bench))

        self.play(scene)

    def test_most_are_refused_or_never_come_up(self):
        async def scene(house: Held, bench: Bench) -> None:
            await self.late_ones(bench, 8, 500 * MS)
            shut = [Held() for _ in range(8)]
            for one in shut:
                one.close()
            bench.list(house, *shut)
            for number in range(2, 10):
                self.assertEqual((await bench.ask("r", f"s{number}")).ended, Ended.NO_CONNECTION)
            self.assertTrue(await self.given_back(house, bench))
            await self.late_ones(bench, 8, 500 * MS)
            self.assertFalse(await self.given_back(house, bench))
            quiet = [Held() for _ in range(8)]
            bench.list(house, *quiet)
            await asyncio.gather(*(bench.ask("n", f"s{number}") for number in range(2, 10)))
            bench.ahead += upstream.LATEST
            bench.pool.sweep()
            self.assertTrue(await self.given_back(house, bench))
            for one in quiet:
                one.close()

        self.play(scene)

    def test_a_dead_one_is_no_crowd(self):
        """It counts once until a connection there comes up."""

        async def scene(house: Held, bench: Bench) -> None:
            await self.late_ones(bench, 12, 500 * MS)
            dead = Held()
            dead.close()
            bench.list(house, dead)
            for _ in range(20):
                await bench.ask("r", "s2")
            self.assertFalse(await self.given_back(house, bench))

        self.play(scene)


class Whole(unittest.TestCase):
    def test_a_node_whose_cache_server_comes_up_late(self):
        """From the client's side: what comes next is served there, over what was begun before."""

        async def run() -> None:
            house = Held()

            class Home(Town):
                async def stage(self) -> None:
                    await super().stage()
                    self.list[0]["hostPort"] = "%s:%d" % house.address

            may = settings()["permissions"] | {"connect_timeout_ns": WAIT * 1000, "probes": False}
            async with Home(settings=settings(permissions=may)) as town:
                one: Caller = await town.client()
                await one.ask(read("hit", "a"))
                pool = town.service.upstream
                begun = {dial.link.stream.sock.getsockname()[1] for dial in pool.late["s1"]}
                await house.open()
                while not pool.free.get("s1"):
                    await asyncio.sleep(0.005)
                while "b" not in house.came:
                    await one.ask(read("hit", "b"))
                    await asyncio.sleep(0.05)
                self.assertEqual(house.came, ["b"])
                self.assertLessEqual(set(house.peers), begun)
                one.writer.close()
            house.close()
            await asyncio.sleep(0.01)

        uvloop.run(asyncio.wait_for(run(), 12))


if __name__ == "__main__":
    unittest.main()
