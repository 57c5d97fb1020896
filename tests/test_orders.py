"""All orders of a few events on tiny fleets, each rule checked after each event; and proof that each rule can fail."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from dataclasses import replace
from unittest import mock

from saltmoor import choice, facade, model
from saltmoor.model import Ended, ListKind, Readiness
from tests.explorer import MS, ONCE, ORIGIN, PUT, READ, START, Plan, World, explore, member

FEW = [Ended.COMMITTED, Ended.RESET]
ALL = [
    Ended.COMMITTED,
    Ended.ERROR,
    Ended.FULL,
    Ended.RESET,
    Ended.NO_CONNECTION,
    Ended.TIMED_OUT,
    Ended.UNKNOWN,
    Ended.CANCELLED,
    Ended.NOT_SENT,
    Ended.MALFORMED,
    Ended.MISS,
]
ONE, TWO = [member(1)], [member(1), member(2)]
FRESH = member(2, started=START - 1)

PLANS = {
    "every end at one server": Plan(6, ONE, [(READ, 7, False), (ONCE, 7, True)], ALL, [0.0, None], odd=True),
    "writes of all profiles": Plan(
        7, TWO, [(ONCE, 7, True), (PUT, 8, True)], [Ended.RESET, Ended.NO_CONNECTION, Ended.COMMITTED], stopped=True
    ),
    "two zones": Plan(
        7, [member(1), member(2, zone=1)], [(PUT, 7, True), (READ, 7, False)], [Ended.RESET, Ended.FULL], stopped=True
    ),
    "the list changes": Plan(
        6,
        TWO,
        [(READ, 7, False), (PUT, 8, True)],
        FEW,
        rate=5.0,
        news=[
            (ListKind.CHANGES, [member(1, Readiness.DRAINING)]),
            (ListKind.FULL, [member(2)]),
            (ListKind.CHANGES, [member(1, started=START)]),
            (ListKind.CHANGES, [member(2, Readiness.GONE)]),
        ],
    ),
    "the origin": Plan(
        6,
        [member(1), member(ORIGIN)],
        [(READ, 7, False), (READ, 7, False), (PUT, 7, True)],
        [Ended.MISS, Ended.ERROR, Ended.COMMITTED],
        odd=True,
    ),
    "odd figures": Plan(
        6, TWO, [(READ, 7, False), (READ, 7, False)], FEW, [2.0**64 - 1, float("inf"), float("nan"), -5.0], stopped=True
    ),
    "a cold server, two nodes": Plan(
        6,
        [member(1), FRESH, member(3)],
        [(READ, 7, False)] * 3,
        [Ended.NO_CONNECTION, Ended.COMMITTED],
        nodes=2,
        rate=8.0,
        news=[(ListKind.CHANGES, [member(2, started=START + MS)])],
    ),
    "two processes, a budget": Plan(
        7,
        TWO,
        [(READ, 7, False)] * 3,
        [Ended.RESET],
        processes=2,
        settings={"budget": model.HopBudget(2.0, 0.0, 1_000 * MS), "permits": model.Permits(hops=4, cancel=True)},
    ),
    "new settings": Plan(
        7,
        TWO,
        [(PUT, 7, True), (ONCE, 8, True)],
        FEW,
        later={"permits": model.Permits(hops=1), "columns": [], "cold": model.ColdStart(0.0, 0, 0.0)},
    ),
    "a cold server, two processes": Plan(
        6, [FRESH], [(READ, 7, False)] * 3, [Ended.NO_CONNECTION, Ended.COMMITTED], processes=2, rate=2.0
    ),
    "lists that are wrong": Plan(
        6,
        TWO,
        [(READ, 7, False), (ONCE, 8, True)],
        FEW,
        [0.0, None],
        news=[(ListKind.FULL, []), (ListKind.CHANGES, [member(1, Readiness.DRAINING)]), (ListKind.FULL, TWO)],
        settings={
            "listing": model.Listing(True, 3_000 * MS, soft=True),
            "permits": model.Permits(hops=2, copies=True, cancel=True, probes=True),
        },
    ),
    "edges": Plan(
        7,
        [member(1, started=START + 1_000_000 * MS), FRESH],
        [(READ, 7, False)] * 2,
        FEW,
        news=[(ListKind.FULL, [])],
        settings={"cold": model.ColdStart(0.0, 0, 4.0, 1_000 * MS)},
    ),
}


TRIED = 20851  # orders in which a step raises
# How many orders there are of each: with one less, something may not come any more that could.
ORDERS = {
    "every end at one server": 28472,
    "writes of all profiles": 9021,
    "two zones": 6713,
    "the list changes": 21371,
    "the origin": 7571,
    "odd figures": 11746,
    "a cold server, two nodes": 16515,
    "two processes, a budget": 12477,
    "new settings": 6434,
    "a cold server, two processes": 1252,
    "lists that are wrong": 18272,
    "edges": 4831,
}


def searched(plan: Plan, depth: int | None = None) -> tuple[int, list | None, str]:
    async def search() -> tuple[int, list | None, str]:  # the facade makes futures, which belong to a loop
        return explore(plan, depth)

    return asyncio.run(search())


class Orders(unittest.TestCase):
    """No order breaks a rule: a test for each plan, so that plans can be played beside each other."""

    def test_each_plan_has_its_test(self):
        self.assertEqual(list(PLANS), list(ORDERS))
        self.assertEqual({f"test_{called(name)}" for name in PLANS} - set(dir(self)), set())

    def play(self, name: str) -> None:
        tried, path, why = searched(PLANS[name])
        self.assertIsNone(path, f"{why}: {path}")
        print(f"{name}: {tried} orders of {PLANS[name].depth} events")
        self.assertEqual(tried, ORDERS[name])


def called(plan: str) -> str:
    return plan.replace(",", "").replace(" ", "_")


for _plan in PLANS:
    setattr(Orders, f"test_{called(_plan)}", lambda case, plan=_plan: case.play(plan))


class Faults(unittest.TestCase):
    """For each rule one deliberate fault, which has to be found."""

    def found(self, plan: str, rule: str, depth: int | None = None) -> None:
        _, path, why = searched(PLANS[plan], depth)
        self.assertIsNotNone(path, f"not found: {rule}")
        self.assertTrue(why.startswith(rule), f"{why}: {path}")

    def planted(self, owner: object, name: str, fault) -> mock._patch:
        return mock.patch.object(owner, name, fault)

    def test_an_answer_that_never_comes(self):
        with self.planted(choice.Node, "give_up", lambda node, tx, now: None):
            self.found("the list changes", "1: a transaction kept waiting", 4)

    def test_an_answer_held_back_until_the_limit(self):
        def hold(node, tx, now):
            tx.state = model.State.OUT

        with mock.patch.dict(choice.ANYWHERE, {model.In.NOBODY: (model.State.DONE, hold)}):
            self.found("every end at one server", "1: a transaction kept waiting", 4)

    def test_two_answers(self):
        hand = facade.Facade._hand

        def twice(door, tx, step):
            hand(door, tx, step)
            if isinstance(step, facade.Commit):
                hand(door, tx, step)

        with self.planted(facade.Facade, "_hand", twice):
            self.found("writes of all profiles", "1: answered twice", 5)

    def test_sent_after_the_answer(self):
        hand = facade.Facade._hand

        def more(door, tx, step):
            hand(door, tx, step)
            if isinstance(step, facade.RollBack):
                hand(door, tx, facade.Send(tx, 9, 1, False, 0, 0, 0))

        with self.planted(facade.Facade, "_hand", more):
            self.found("the list changes", "1: sent after", 4)

    def test_repeats_that_may_have_run(self):
        with self.planted(choice, "may_attempt", lambda tx, *_: len(tx.hops) < 3):
            self.found("writes of all profiles", "2: a non-idempotent one sent again")

    def test_repeats_past_the_window_or_outside_the_group(self):
        plain = choice.may_attempt

        def careless(tx, server, now, permits):
            return tx.profile.repeat is model.Repeat.JOURNALLED and len(tx.hops) < 3 or plain(tx, server, now, permits)

        with self.planted(choice, "may_attempt", careless):
            self.found("two zones", "2: a journalled one sent again")

    def test_a_refusal_that_is_not_harmless(self):
        with self.planted(choice, "may_refuse", lambda tx: True):
            self.found("writes of all profiles", "2: told that trying again is harmless")

    def test_a_drain_that_is_not_kept(self):
        listed = choice.Node.listed

        def deaf(node, now, kind, members):
            listed(
                node,
                now,
                kind,
                [
                    model.Member(one.server, one.zone, one.kind, one.cell, Readiness.READY, one.size, one.started)
                    for one in members
                ],
            )

        with self.planted(choice.Node, "listed", deaf):
            self.found("the list changes", "3: sent to what the list has")

    def test_a_cold_server_without_a_budget(self):
        with self.planted(choice.Node, "within_cold_budget", lambda node, server, now: True):
            self.found("a cold server, two processes", "4: a cold server gets more")

    def test_a_second_process_with_a_budget_of_its_own(self):
        with self.planted(facade.shares, "part", lambda *_: None):
            self.found("two processes, a budget", "5: more further hops in a window")

    def test_hops_beyond_the_budget(self):
        with self.planted(choice.Node, "allowed", lambda node, tx, now: True):
            self.found("two processes, a budget", "5: more further hops in a window")

    def test_more_hops_than_are_permitted(self):
        plain = choice.may_attempt

        def countless(tx, server, now, permits):
            return plain(tx, server, now, model.Permits(hops=9, copies=True))

        with self.planted(choice, "may_attempt", countless):
            self.found("lists that are wrong", "5: more hops, or copies")

    def test_an_exception(self):
        with self.planted(choice.Node, "judge", mock.Mock(side_effect=KeyError("planted"))):
            self.found("the list changes", "no exception", 4)

    def test_something_kept(self):
        finish = choice.Node.finish

        def hoard(node, tx, now):
            node.txs[-tx.id] = tx
            return finish(node, tx, now)

        with self.planted(choice.Node, "finish", hoard):
            self.found("the list changes", "nothing is kept", 4)


class Broken(unittest.TestCase):
    """Any one step of the decisions raises, before or after its work: the rules hold all the same."""

    STEPS = "judge", "connected", "settle_list", "periodic", "wake_askers", "overdue", "refill", "lose", "candidates"

    def test_any_step_may_raise_once(self):
        tried = 0
        for name, depth in (("the list changes", 4), ("the origin", 4), ("two processes, a budget", 4)):
            plan = replace(PLANS[name], faulty=True)
            for nth in range(1, 11):
                for after in False, True:
                    with self.subTest(plan=name, nth=nth, after=after):
                        more, path, why = self.searched(plan, depth, nth, after)
                        tried += more
                        self.assertIsNone(path, f"{why}: {path}")
        print(f"a step raises: {tried} orders")
        self.assertEqual(tried, TRIED)

    def searched(self, plan: Plan, depth: int, nth: int, after: bool) -> tuple[int, list | None, str]:
        counts = [0]

        def broken(step):
            def run(*given):
                counts[0] += 1
                this = counts[0] == nth
                if this and not after:
                    raise KeyError("planted")
                found = step(*given)
                if this:
                    raise KeyError("planted")
                return found

            run.__name__ = step.__name__
            return run

        start = World.__init__

        def fresh(world, plan):
            counts[0] = -1000  # nothing breaks before it has begun
            start(world, plan)
            counts[0] = 0

        with contextlib.ExitStack() as stack:
            for table in choice.TABLE, choice.ANYWHERE:
                stack.enter_context(
                    mock.patch.dict(table, {row: (state, broken(effect)) for row, (state, effect) in table.items()})
                )
            for name in self.STEPS:
                stack.enter_context(mock.patch.object(choice.Node, name, broken(getattr(choice.Node, name))))
            stack.enter_context(mock.patch.object(World, "__init__", fresh))
            return searched(plan, depth)


if __name__ == "__main__":
    unittest.main()
