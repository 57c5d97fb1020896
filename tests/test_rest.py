"""A node with nothing to do looks at its loop's lateness more rarely, and as often as ever from the first command on."""

from __future__ import annotations

import time
import unittest
from collections import deque
from types import SimpleNamespace

from saltmoor.net import lifecycle
from saltmoor.net.clients import Clients


class Timer:
    def __init__(self, after: float) -> None:
        self.after, self.cancelled = after, False

    def cancel(self) -> None:
        self.cancelled = True


class Loop:
    def __init__(self) -> None:
        self.timers: list[Timer] = []

    def call_later(self, after: float, call, *given) -> Timer:
        self.timers.append(Timer(after))
        return self.timers[-1]


def node(limit: float | None = None) -> SimpleNamespace:
    """What `Service.look` uses of a node: the real clients' own marks, a loop that only notes its timers."""
    clients = Clients.__new__(Clients)
    clients.open_ids, clients.deaf, clients.begun, clients.turns = set(), {}, {}, []
    clients.paced = clients.closing = clients.late = clients.asked = False
    clients.late_before = 0
    clients.late_looks, clients.drain_since, clients.leaving, clients.stop = deque(), 0, 0, None
    clients.reads, clients.missed_at, clients.stir, clients.profile_of = 0.0, 1, None, {}
    clients.clock = lambda: 0
    one = SimpleNamespace(
        loop=Loop(),
        clients=clients,
        idle=0,
        looked=time.monotonic(),
        door=SimpleNamespace(ran=lambda late, passed: limit),
    )
    one.look = lambda due: lifecycle.Service.look(one, due)
    one.stir = lambda: lifecycle.Service.stir(one)
    return one


def looks(one: SimpleNamespace, count: int = lifecycle.REST_AFTER + 5) -> float:
    for _ in range(count):
        one.look(time.monotonic())
    return one.loop.timers[-1].after


class Rest(unittest.TestCase):
    def test_nothing_to_do_is_a_rest(self) -> None:
        one = node()
        self.assertEqual(looks(one, lifecycle.REST_AFTER), lifecycle.LATE_EVERY)
        self.assertEqual(looks(one, 1), lifecycle.REST_EVERY)
        self.assertFalse(one.clients.late)

    def test_whatever_is_open_keeps_it_awake(self) -> None:
        for mark in "open_ids", "deaf", "begun", "closing":
            one = node()
            setattr(one.clients, mark, {mark: None})
            self.assertEqual(looks(one), lifecycle.LATE_EVERY, mark)

    def test_a_limit_keeps_it_awake(self) -> None:
        self.assertEqual(looks(node(limit=10.0)), lifecycle.LATE_EVERY)

    def test_commands_that_are_over_at_each_look_keep_it_awake(self) -> None:
        one = node()
        for _ in range(lifecycle.REST_AFTER + 5):
            one.clients.begin(None, None, SimpleNamespace(attrs={}))
            one.look(time.monotonic())
        self.assertEqual(one.loop.timers[-1].after, lifecycle.LATE_EVERY)

    def test_the_first_command_ends_the_rest(self) -> None:
        one = node()
        looks(one)
        resting = one.loop.timers[-1]
        one.clients.begin(None, None, SimpleNamespace(attrs={}))
        self.assertTrue(resting.cancelled)
        self.assertEqual(one.loop.timers[-1].after, lifecycle.LATE_EVERY)
        timers = len(one.loop.timers)
        one.clients.begin(None, None, SimpleNamespace(attrs={}))
        self.assertEqual(len(one.loop.timers), timers, "one timer, however many commands come")
        self.assertEqual(looks(one, 1), lifecycle.LATE_EVERY)

    def test_a_rest_still_sees_a_late_loop(self) -> None:
        one = node()
        looks(one)
        one.look(time.monotonic() - 0.03)
        self.assertTrue(one.clients.late)

    def test_a_late_pass_counts_for_what_is_handed_on_in_the_next_one(self) -> None:
        """Guards against servers told of time that is over: what one pass reads is handed on behind the next one's look."""
        clients = node().clients
        for late, counted in (300_000, 300_000), (0, 300_000), (0, 0):
            clients.note_lag(late)
            self.assertEqual(clients.late_by, counted)


if __name__ == "__main__":
    unittest.main()
