"""Edges of figures and settings, odd but legal order, counts over all layers: what failed before, or held."""

from __future__ import annotations

import asyncio
import copy
import json
import time
import unittest
from collections.abc import Iterator
from unittest import mock

import uvloop

from saltmoor import config, facade, model
from saltmoor.agenda import TICK
from saltmoor.choice import Node
from saltmoor.limits.admission import Admission
from saltmoor.model import Ended, ListKind, Member, Permits, Readiness
from saltmoor.net import discovery, lifecycle
from tests.helper import MS, READ, Script, Town, read, settings, write

FUTURE = 3_600_000  # milliseconds


class Edges(unittest.TestCase):
    def test_a_fleet_that_is_said_to_be_worth_nothing_when_cold(self):
        """Guards against divisions by a stated share, time, weight or goal of nothing, and by starts to come."""
        for cold in (model.ColdStart(0.0, 10_000 * MS, 4.0, 1000 * MS), model.ColdStart(0.0, 0, 0.0)):
            script = Script(servers=2, cold=cold)
            script.list(ListKind.FULL, 1, 2, started=FUTURE)
            script.list(ListKind.CHANGES, 2, started=2 * FUTURE)
            script.served(1, script.node.placement.ranked(7)[0].id)
            self.assertGreater(script.node.placement.capacity, 0)

    def test_weights_without_measure(self):
        script = Script(servers=0)
        for i, size in enumerate((5e-324, float("inf"), float("nan"), -1.0, 1e19, 0.0)):
            script.node.listed(0, ListKind.CHANGES, [Member(i, 0, 0, 0, Readiness.READY, size, 0)])
        self.assertEqual(len(script.node.placement.ranked(7)), 6)
        self.assertLess(script.node.placement.capacity, 1e8)

    def test_goals_of_next_to_nothing(self):
        """Guards against a loop of overdue hops that never ends, and a division by the goal."""
        script = Script(
            profiles=[model.Profile(3, 1000 * MS, model.Repeat.IDEMPOTENT)],
            permits=Permits(hops=3, copies=True, probes=True),
        )
        script.tx(1)
        script.wait(2000)
        gate = Admission(target=0, revenues=[1.0], quotas=[], longest_hint=0, seed=1, now=0)
        gate.ran(100_000, 0)
        self.assertEqual(gate.limit, 0.0)

    def test_a_queue_counter_that_wraps(self):
        """Guards against one wrapped figure that counts as a queue for hundreds of probes."""
        for figure in (2.0**64 - 1, 2.0**32 - 2, float("inf"), float("nan"), -3.0):
            script = Script(servers=1)
            script.served(1, 1)
            script.wait(600)
            script.tx(2)
            script.queue(1, figure)
            self.assertLess(script.node.servers[1].others, 1.0, figure)
            self.assertEqual(script.last, 1)
            script.ends(2, 0, 1, Ended.COMMITTED)

    def test_no_candidate_at_all(self):
        script = Script(servers=0)
        script.tx(1)
        self.assertIn("rolled back", script.lines[-1])

    def test_silence_for_a_year(self):
        script = Script(servers=1)
        script.served(1, 1)
        script.now += 365 * 86_400_000
        script.served(2, 1)
        self.assertIn("committed", script.lines[-1])

    def test_what_is_told_of_a_server_that_was_forgotten(self):
        """Guards against an exception for a late word on what has left, and against failures told twice."""
        script = Script(servers=2)
        script.node.hop_ended(0, model.HopEnd(1, 0, 77, Ended.RESET, 0, False))
        script.node.probed(0, 77, Ended.COMMITTED, 0, (1.0,))
        script.tx(1)
        script.queue(1, None)
        before = script.node.servers[1].unanswered, script.node.servers[1].again_at
        script.queue(1, None)
        self.assertEqual(before, (script.node.servers[1].unanswered, script.node.servers[1].again_at))

    def test_a_reload_fills_no_bucket(self):
        """Guards against a tenant that gets a second of its rate anew with each reload."""
        script = Script()
        given = settings() | {"tenants": [{"name": "acme", "quota_per_s": 10}]}
        node = Node(1, 0, **config.node_arguments(given))
        gate = Admission(target=1000, revenues=[1.0], quotas=[10.0], longest_hint=0, seed=1, now=0)
        taken = [0, 0]
        for _ in range(5):
            taken[0] += sum(not node.beyond_share(0, 0) for _ in range(20))
            taken[1] += sum(gate.buckets[0].take(0, 1.0) for _ in range(30))
            node.configure(0, **config.node_arguments(given))
            gate.configure(0, 1000, [1.0], [10.0], 0)
        self.assertEqual(taken, [10, 20])
        script.wait(0)


class Door(unittest.TestCase):
    """The facade over a module in which something breaks."""

    def setUp(self) -> None:
        self.now, self.logged = 1000 * MS, []

    def door(self, **changed) -> facade.Facade:
        node = Script(servers=2, **changed).node
        known = [Member(one, 0, 0, 0, Readiness.READY, 1.0, 0) for one in (1, 2)]
        return facade.Facade(
            node, known, columns=["queue"], clock=lambda: self.now, nudge=lambda: None, log=self.logged.append
        )

    def play(self, scene) -> None:
        asyncio.run(asyncio.wait_for(scene(), 5))

    async def sent(self, door: facade.Facade, tx: facade.Tx | None = None) -> tuple[facade.Tx, facade.Step]:
        """A transaction, and its next step; every queue that is asked for is 0."""
        tx = tx or facade.Tx(READ, None, 7, self.now + 900 * MS, False)
        picking = asyncio.create_task(door.pick(tx))
        await asyncio.sleep(0)
        for errand in door.tick()[0]:
            if isinstance(errand, facade.Probe):
                door.report(errand, Ended.COMMITTED, load={"queue": 0.0})
        return tx, await picking

    def test_an_end_that_breaks_the_module_is_answered_at_once(self):
        async def scene() -> None:
            door = self.door()
            tx, hop = await self.sent(door)
            with mock.patch.object(door.node, "judge", side_effect=KeyError("planted")):
                door.report(hop, Ended.ERROR)
            self.assertIsInstance(await door.pick(tx), facade.Abandon)
            tx, hop = await self.sent(door)
            with mock.patch.object(door.node, "judge", side_effect=KeyError("planted")):
                door.report(hop, Ended.COMMITTED, answer=b"made")
            self.assertEqual((await door.pick(tx)).answer, b"made")
            self.assertTrue(all("planted" in line for line in self.logged if "fault" in line), self.logged)

        self.play(scene)

    def test_a_transaction_left_half_moved_is_answered_at_its_limit(self):
        """Guards against a client that waits for ever for what a fault has left in between."""

        async def scene() -> None:
            door = self.door()
            tx, _ = await self.sent(door)
            with mock.patch.object(door.node, "give_up", side_effect=KeyError("planted")):
                while not tx.over and self.now < tx.limit + 5 * MS:
                    self.now = max(self.now + 1, door.tick()[1])
            self.assertTrue(tx.over)
            self.assertLessEqual(self.now, tx.limit + MS)

        self.play(scene)

    def test_each_end_is_taken_once(self):
        """Guards against a second word on a hop that contradicts the first, and carries on what is over."""

        async def scene() -> None:
            door = self.door()
            tx, hop = await self.sent(door)
            door.report(hop, Ended.ERROR)
            _, again = await self.sent(door, tx)
            door.report(hop, Ended.COMMITTED, answer=b"late")
            self.assertFalse(tx.over)
            door.report(again, Ended.COMMITTED, answer=b"made")
            self.assertEqual((await door.pick(tx)).answer, b"made")

        self.play(scene)

    def test_a_reload_between_reading_and_picking(self):
        """Guards against a transaction that goes by the rules of another profile, of the new settings."""

        async def scene() -> None:
            door = self.door()
            tx = facade.Tx(2, None, 7, self.now + 900 * MS, True)
            door.arrive(tx)
            profiles = door.node.profiles[::-1]
            node = door.node
            door.configure(
                {
                    "profiles": profiles,
                    "quotas": [],
                    "permits": node.permits,
                    "prices": node.prices,
                    "cold": node.cold,
                    "listing": node.listing,
                    "place": node.place,
                    "origin_kind": None,
                    "columns": ["queue"],
                    "tick": MS,
                },
                ["queue"],
            )
            for errand in door.tick()[0]:
                if isinstance(errand, facade.Probe):
                    door.report(errand, Ended.COMMITTED, load={"queue": 0.0})
            door.report(await door.pick(tx), Ended.RESET)
            self.assertIsInstance(await door.pick(tx), facade.Abandon)

        self.play(scene)


class Pair(unittest.TestCase):
    def test_two_processes_save_no_more_than_one(self):
        """Guards against first turns, buckets and budgets that a second process adds to those of the first."""
        now = 1_000_000 * MS
        cold = [Member(i, 0, 0, 0, Readiness.READY, 1.0, now - 1) for i in range(200)]
        budget = model.HopBudget(6.0, 0.0, 10_000 * MS)

        def door(seed: int, **part: float) -> facade.Facade:
            node = Script(servers=0, quotas=[100.0], budget=budget).node
            node.seed = seed.to_bytes(8, "little")
            return facade.Facade(
                node, cold, columns=[], clock=lambda: now, nudge=lambda: None, log=lambda line: None, **part
            )

        old = door(1)
        saved = sum(one.allowed for one in old.node.servers.values())
        old.share(0.5)
        new = door(2, part=0.5)
        both = sum(one.allowed for each in (old, new) for one in each.node.servers.values())
        self.assertLess(both, 1.2 * saved)
        self.assertLessEqual(sum(each.node.quotas[0][1] for each in (old, new)), 101)
        left = [each.node.retry_budget.left(now, budget, each.node.part) for each in (old, new)]
        self.assertLessEqual(sum(max(0, int(one)) for one in left), 6)
        old.node.retry_budget.further.extend([now] * 3)
        old.share(1.0)  # the other one has gone: what it used of this window is not known
        self.assertLess(old.node.retry_budget.left(now, budget, old.node.part), 1)


class Clock(unittest.TestCase):
    def test_a_wall_clock_that_is_set(self):
        """Guards against new servers held cold for as long as the step, or taken for warm; and false restarts."""
        names = config.Names([], [], [], [], [])
        now = lifecycle.clock()

        def line(server: str, told: int) -> config.Line:
            entry = {"instanceId": server, "hostPort": "h:1", "lifecycle": "up", "startedAtMs": told // 1000}
            return config.line(config.Section(entry), names)

        starts = lifecycle.Starts()
        first = starts.own([line("a", now - 5_000_000)], True)[0].member.started
        for step in (3_600_000_000, -3_600_000_000):
            wall = time.time_ns() + step * 1000
            with mock.patch.object(lifecycle.time, "time_ns", lambda: wall):
                told = wall // 1000 - 1_000_000
                fresh, same = starts.own([line(f"new{step}", told), line("a", now - 5_000_000)], False)
            self.assertAlmostEqual(lifecycle.clock() - fresh.member.started, 1_000_000, delta=900_000)
            self.assertEqual(same.member.started, first)
        ahead = starts.own([line("b", now + 3_600_000_000)], False)[0].member.started
        self.assertLessEqual(ahead, lifecycle.clock())
        again = starts.own([line("b", now + 3_600_000_000)], False)[0].member.started
        self.assertEqual(ahead, again)
        restarted = starts.own([line("b", now + 3_601_000_000)], False)[0].member.started
        self.assertGreater(restarted, ahead)


def numbers(said: object, path: tuple = ()) -> Iterator[tuple]:
    """The path of each number in a configuration."""
    if isinstance(said, (dict, list)):
        for key, value in said.items() if isinstance(said, dict) else enumerate(said):
            yield from numbers(value, path + (key,))
    elif isinstance(said, (int, float)) and not isinstance(said, bool):
        yield path


class Configuration(unittest.TestCase):
    def test_a_reload_that_says_longer_cold(self):
        """Guards against servers whose weight is never set again, as the fleet was held to be warm."""
        script = Script(servers=0, cold=model.ColdStart(0.5, 1000 * MS, 4.0))
        script.list(ListKind.FULL, 1, 2, started=1)
        script.wait(5_000)
        node = script.node
        known = [Member(i, 0, 0, 0, Readiness.READY, 1.0, 1 * MS) for i in (1, 2)]
        door = facade.Facade(
            node, known, columns=["queue"], clock=lambda: script.now * MS, nudge=lambda: None, log=print
        )
        door.configure(
            {
                "profiles": node.profiles,
                "quotas": [],
                "permits": node.permits,
                "prices": node.prices,
                "cold": model.ColdStart(0.5, 10_000 * MS, 4.0),
                "listing": node.listing,
                "place": node.place,
                "origin_kind": None,
                "columns": ["queue"],
                "tick": MS,
            },
            ["queue"],
        )
        for _ in range(40):
            script.now += 250
            node.woken(script.now * MS, TICK)
        self.assertEqual([one.weight for one in node.caches], [1.0, 1.0])

    def test_each_number_at_its_edges(self):
        """Each is refused with its key, or a node with it answers, ends in time and says nothing of a fault."""
        rules = {
            "ask_within_ns": 9 * 10**9,
            "cold_from": 0.25,
            "cold_ns": 10**10,
            "overload_factor": 4.0,
            "fall_ns": 10**9,
            "free_resends": 5,
            "resend_ratio": 0.1,
            "budget_window_ns": 10**9,
        }
        whole = {
            "settings": settings(
                rules=rules,
                locality=0,
                fleet_size=4,
                tick_ns=10**6,
                prices={"cross_zone": 0.1, "waste": 0.1, "probe": 0.01, "origin": 0.01},
            ),
            "limits": {"memory_mb": 192, "sockets": 1024},
            "serve": {"linger_ms": 50, "unfinished_ms": 2400, "log_lines_per_s": 50},
        }
        whole["settings"]["classes"][0] |= {"worth": 2.0, "late_worth": 0.1}
        whole["settings"]["permissions"] |= {"retry_after": True, "max_retry_after_ns": 10**9}

        async def played(said: dict) -> str:
            try:
                async with Town(**said) as town:
                    caller = await town.client()
                    for text in (read("hit", "1"), read("miss", "2"), write("w", tag="3")):
                        caller.writer.write(text.encode())
                        got = await asyncio.wait_for(caller.reader.readline(), 3)
                        if got.startswith(b"VA"):
                            await caller.reader.readline()
                return "".join(line for line in town.logged.getvalue().splitlines() if "fault" in line)
            except config.Faulty as error:
                self.assertIn(str(path[-1]), str(error))
            return ""

        paths = [path for path in numbers(whole) if path[-1] != "origin_kind"]  # that is a place in a list
        for path in paths:
            for value in 0, 1, 1e18:
                said = copy.deepcopy(whole)
                place = said
                for step in path[:-1]:
                    place = place[step]
                place[path[-1]] = value
                with self.subTest(path=path, value=value):
                    self.assertEqual(uvloop.run(asyncio.wait_for(played(said), 8)), "")
        self.assertGreater(len(paths), 30)

    def test_edges_of_numbers(self):
        """Guards against units that were mixed up, and a stop that never ends."""
        base = {"settings": settings()}
        for said, key in (
            ({"settings": settings(classes=[{"name": "a", "aim_ns": 500, "deadline_ns": 900}])}, "deadline_ns"),
            ({"settings": settings(classes=[{"name": "a"}])}, "deadline_ns"),
            (base | {"serve": {"linger_ms": 1e15}}, "serve.linger_ms"),
        ):
            with self.assertRaisesRegex(config.Faulty, key):
                config.parse(said, {})

    def test_nested_without_end(self):
        with mock.patch("pathlib.Path.read_text", lambda _: "[" * 200_000), self.assertRaises(config.Faulty):
            config.load("x", {})


class Sockets(unittest.TestCase):
    def play(self, scene, **changed) -> Town:
        async def run() -> Town:
            async with Town(**changed) as town:
                await scene(town)
            return town

        return uvloop.run(asyncio.wait_for(run(), 20))

    def test_a_watch_that_cannot_begin_is_told_as_failed(self):
        """Guards against a node that is deaf to the list for good, as there was no descriptor in one moment."""

        async def scene(town: Town) -> None:
            real, tries = discovery.family, []

            def family(host: str):
                tries.append(host)
                if len(tries) == 1:
                    raise OSError(24, "too many open files")
                return real(host)

            town.asked.clear()
            with mock.patch.object(discovery, "family", family):
                town.news.put_nowait(b"[" * 100_000 + b"\n")  # it ends, and is asked for again
                await asyncio.wait_for(town.asked.wait(), 2)
            self.assertEqual(len(tries), 2)

        self.play(scene)

    def test_a_list_without_end(self):
        """Guards against a list whose one line takes more memory than the node has."""

        async def scene(town: Town) -> None:
            town.asked.clear()
            town.news.put_nowait(b"[" + b"[]," * 1_000_000)
            await asyncio.wait_for(town.asked.wait(), 4)
            self.assertIn("garbled list", town.logged.getvalue())

        self.play(scene)

    def test_places_in_the_lists_do_not_move(self):
        """Guards against a reload that turns a cache server into an origin, as its kind's place means another now."""

        async def scene(town: Town) -> None:
            town.said["settings"] = settings(kinds=["origin", "m1"], family_info={"mode": "aside", "origin_kind": 0})
            town.service.reload()
            await (await town.client()).ask(read("hit"))
            town.said["settings"] = settings(kinds=["m1", "origin", "m2"])
            town.service.reload()

        town = self.play(scene)
        self.assertIn("configuration kept: settings.kinds", town.logged.getvalue())
        self.assertIn("configuration read", town.logged.getvalue())

    def test_settings_of_next_to_nothing_leave_the_node_its_time(self):
        """Guards against a sweep without a pause, where connections may stand idle for a microsecond."""

        async def scene(town: Town) -> None:
            self.assertGreaterEqual(town.service.sweep, 0.01)

        may = {"max_attempts": 3, "conn_idle_ns": 1000, "connect_timeout_ns": 100 * MS * 1000}
        self.play(scene, settings=settings(permissions=may))

    def test_a_fault_in_the_pacing_does_not_end_it(self):
        """Guards against reads that stay paced for good."""

        async def scene(town: Town) -> None:
            looks = []
            with mock.patch.object(town.service.door, "ran", side_effect=ZeroDivisionError):
                await asyncio.sleep(0.05)
            town.service.door.ran = lambda late, passed: looks.append(late)
            await asyncio.sleep(0.05)
            self.assertGreater(len(looks), 2)

        self.play(scene)

    def test_a_drain_that_comes_while_a_connection_is_made(self):
        """Guards against bytes written to a draining server long after the decision, as connecting took so long."""

        async def scene(town: Town) -> None:
            made = town.service.upstream.connect

            async def slowly(server):
                link = await made(server)
                await asyncio.sleep(0.2)
                return link

            with mock.patch.object(town.service.upstream, "connect", slowly):
                caller = await town.client()
                caller.say(read("hit"))
                await asyncio.sleep(0.1)
                drained = [one | {"lifecycle": "draining"} for one in town.list if one["instanceId"] == "s1"]
                town.news.put_nowait(json.dumps({"instances": drained}).encode() + b"\n")
                await caller.hear()

        may = {"max_attempts": 3, "connect_timeout_ns": 900 * MS * 1000}
        lines = self.play(scene, settings=settings(permissions=may)).lines
        self.assertFalse([line for line in lines if "cache gets" in line], lines)
        self.assertIn("hears 'SERVER_ERROR busy", "\n".join(lines))


if __name__ == "__main__":
    unittest.main()
