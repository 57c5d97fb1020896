"""The guard: what may be done now, and that a planted violation of each rule is seen by its own counter."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from dataclasses import replace

from saltmoor.guard.attempts import may_attempt, may_refuse, may_write
from saltmoor.guard.checks import Attempt, Checker, Record, Target, Violation
from saltmoor.guard.connections import Occupancy, Room, may_end, may_start, room_for_client
from saltmoor.guard.slow_start import most_requests
from saltmoor.guard.verdicts import Reason, Rule
from saltmoor.model import Ended, Group, Hop, HopBudget, Permits, Profile, Repeat, Server, Tx

MS = 1000
READ = Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT)
KEYED = Profile(500 * MS, 1000 * MS, Repeat.JOURNALLED, group=Group.ZONE, window=300 * MS)
ONCE = Profile(500 * MS, 1000 * MS, Repeat.NON_IDEMPOTENT)
COST_RATIO = 0.03  # of the processor time of a hit, 0.2 ms at the least: what the checks may take of it
HIT_SECONDS = 0.0002


def server(number: int, zone: int = 0) -> Server:
    return Server(number, zone, 0, 0, number)


def request(profile: Profile, *ends: tuple[Server, Ended | None]) -> Tx:
    made = Tx(1, profile, 7, True, profile.goal, profile.limit, False, 1.0, 3)
    for number, (where, ended) in enumerate(ends):
        made.hops.append(Hop(made, number, where, 0, 0.0, open=ended is None, ended=ended))
    return made


class Decisions(unittest.TestCase):
    def test_whether_an_attempt_may_be_made(self):
        one, two, away = server(1), server(2), server(3, zone=1)
        permits, copies = Permits(hops=3), Permits(hops=3, copies=True)
        cases: list[tuple[Tx, Server, int, Permits, Reason]] = [
            (request(READ), one, 0, permits, Reason.NONE),
            (request(READ), one, 1000 * MS, permits, Reason.DEADLINE_PASSED),
            (request(READ, *[(one, Ended.ERROR)] * 3), two, 0, permits, Reason.ATTEMPTS_USED),
            (request(READ, (one, None)), two, 0, permits, Reason.ATTEMPT_OPEN),
            (request(READ, (one, None)), two, 0, copies, Reason.NONE),
            (request(ONCE, (one, Ended.FULL)), two, 0, permits, Reason.NONE),
            (request(ONCE, (one, Ended.RESET)), two, 0, permits, Reason.MAY_HAVE_RUN),
            (request(KEYED, (one, Ended.RESET)), two, 299 * MS, permits, Reason.NONE),
            (request(KEYED, (one, Ended.RESET)), two, 300 * MS, permits, Reason.WINDOW_OVER),
            (request(KEYED, (one, Ended.RESET)), away, 0, permits, Reason.OTHER_GROUP),
        ]
        for number, (tx, where, now, may, reason) in enumerate(cases):
            with self.subTest(number):
                verdict = may_attempt(tx, where, now, may)
                self.assertEqual((verdict.reason, bool(verdict)), (reason, reason is Reason.NONE))

    def test_whether_a_request_may_be_refused(self):
        one, everywhere = server(1), replace(KEYED, group=Group.ALL)
        cases = [
            (request(READ, (one, Ended.RESET)), Reason.NONE),
            (request(READ, (one, Ended.MALFORMED)), Reason.MALFORMED),
            (request(ONCE, (one, Ended.NOT_SENT)), Reason.NONE),
            (request(ONCE, (one, Ended.TIMED_OUT)), Reason.MAY_HAVE_RUN),
            (request(KEYED, (one, Ended.TIMED_OUT)), Reason.MAY_HAVE_RUN),
            (request(everywhere, (one, Ended.TIMED_OUT)), Reason.NONE),
        ]
        for number, (tx, reason) in enumerate(cases):
            with self.subTest(number):
                self.assertEqual(may_refuse(tx).reason, reason)

    def test_whether_a_first_byte_may_be_written(self):
        usual = {"listed": True, "draining": False, "by": 0, "wanted": True}
        cases = [
            ({}, Reason.NONE),
            ({"draining": True}, Reason.SERVER_LEFT),
            ({"listed": False}, Reason.SERVER_LEFT),
            ({"by": 6}, Reason.NONE),
            ({"by": 5}, Reason.WINDOW_OVER),
            ({"wanted": False}, Reason.CLIENT_LEFT),
        ]
        for changed, reason in cases:
            with self.subTest(changed):
                self.assertEqual(may_write(5, **usual | changed).reason, reason)

    def test_whether_a_request_may_start_and_a_connection_end(self):
        self.assertTrue(may_start(5, left=1, until=0, id_open=False, memory=True))
        self.assertEqual(may_start(5, left=1, until=5, id_open=False, memory=True).reason, Reason.STOPPING)
        self.assertEqual(may_start(5, left=1, until=0, id_open=True, memory=True).reason, Reason.ID_OPEN)
        self.assertEqual(may_start(5, left=1, until=0, id_open=False, memory=False).reason, Reason.NO_MEMORY)
        self.assertEqual(may_start(5, left=0, until=0, id_open=False, memory=True).reason, Reason.DEADLINE_PASSED)
        self.assertTrue(may_end(idle=True, quiet=True))
        self.assertEqual(may_end(idle=False, quiet=True).reason, Reason.REQUESTS_OPEN)
        self.assertEqual(may_end(idle=True, quiet=False).reason, Reason.BYTES_WAIT)

    def test_whether_there_is_room_for_a_client(self):
        usual = Occupancy(clients=10, leaving=0, upstreams=10, most_clients=40, most_upstreams=20, most=60, reserve=8)
        cases = [
            ({}, Room.FREE),
            ({"clients": 40, "upstreams": 20}, Room.BY_CLIENT),
            ({"clients": 30, "upstreams": 30}, Room.BY_UPSTREAM),
            ({"clients": 40}, Room.BY_CLIENT),
            ({"clients": 48, "leaving": 8}, Room.NONE),
            ({"clients": 48}, Room.NONE_AND_NOBODY_LEAVES),
        ]
        for changed, room in cases:
            with self.subTest(changed):
                self.assertIs(room_for_client(replace(usual, **changed)), room)

    def test_the_limit_of_slow_start(self):
        for allowed, most in (0, 3), (4, 13), (25, 43), (36, 50), (100, 122):
            with self.subTest(allowed):
                self.assertEqual(most_requests(allowed), most)


class Counters(unittest.TestCase):
    """Each rule is violated once, by what the sockets do, and seen by its counter alone."""

    def setUp(self) -> None:
        self.now, self.lines = 0, []
        self.checker = Checker(lambda: self.now, self.lines.append)
        self.checker.configure(HopBudget(1.0, 0.0, 1000 * MS), 1000 * MS)

    def begins(self, record: Record, number: int = 1, **changed) -> Attempt:
        target = Target(number, changed.pop("zone", 0), 0, changed.pop("cold_rate", None))
        usual = {"told": record.deadline - self.now, "client_left": False, "draining": False, "part": 1.0}
        return self.checker.begins(record, target, **usual | changed)

    def seen(self, rule: Rule, act: Callable[[], object]) -> None:
        self.assertFalse(self.checker.violations)
        act()
        self.assertEqual(self.checker.violations, {rule: 1})
        self.assertIn(f"rule={rule.value} request=r1 ", self.lines[-1])
        self.checker.strict = True
        with self.assertRaises(Violation):
            act()

    def record(self, profile: Profile = READ) -> Record:
        return Record("r1", profile, 1000 * MS)

    def test_what_is_allowed_counts_nothing(self):
        record = self.record(KEYED)
        self.checker.taken(record)
        self.begins(record).ended = Ended.RESET
        self.now = 200 * MS
        self.begins(record, 2).ended = Ended.COMMITTED
        self.checker.answered(record)
        self.checker.closed(record, "stopping")
        self.assertFalse(self.checker.violations)

    def test_a_client_that_has_left(self):
        self.seen(Rule.CLIENT_GONE, lambda: self.begins(self.record(), client_left=True))

    def test_a_server_that_drains(self):
        self.seen(Rule.DRAIN, lambda: self.begins(self.record(), draining=True))

    def test_a_stale_deadline(self):
        self.seen(Rule.DEADLINE, lambda: self.begins(self.record(), told=1151 * MS))

    def test_a_repeat_of_what_may_have_run(self):
        def act() -> None:
            record = self.record(ONCE)
            self.begins(record).ended = Ended.TIMED_OUT
            self.begins(record, 2)

        self.seen(Rule.DUPLICATE, act)

    def test_a_repeat_behind_its_window(self):
        def act() -> None:
            record, self.now = self.record(KEYED), 0
            self.begins(record)
            self.now = 300 * MS
            self.begins(record, 2)

        self.seen(Rule.DUPLICATE, act)

    def test_a_repeat_in_another_group(self):
        def act() -> None:
            record = self.record(KEYED)
            self.begins(record)
            self.begins(record, 2, zone=1)

        self.seen(Rule.DUPLICATE, act)

    def test_an_overdrawn_budget(self):
        def act() -> None:
            record = self.record()
            for _ in range(3):
                self.begins(record).ended = Ended.ERROR

        self.seen(Rule.RETRY_BUDGET, act)

    def test_an_overdrawn_slow_start(self):
        def act() -> None:
            for number in range(14):
                self.begins(Record("r1", READ, 1000 * MS), number=9, cold_rate=4.0)

        self.seen(Rule.SLOW_START, act)

    def test_a_connection_closed_over_a_request(self):
        self.seen(Rule.LOST, lambda: self.checker.closed(self.record(), "evicted"))

    def test_a_second_answer(self):
        def act() -> None:
            record = self.record()
            self.checker.answered(record)
            self.checker.answered(record)

        self.seen(Rule.LOST, act)

    def test_an_answer_half_a_second_behind_its_time(self):
        self.now = 1500 * MS + 1
        self.seen(Rule.LOST, lambda: self.checker.answered(self.record()))

    def test_a_client_that_left_is_owed_nothing(self):
        self.checker.closed(self.record(), "client-left")
        self.assertFalse(self.checker.violations)

    def test_what_is_kept_is_bounded(self):
        """Guards against memory that grows with requests taken, or with servers that were ever cold."""
        for number in range(500):
            record = self.record()
            self.checker.taken(record)
            self.begins(record, number=number, cold_rate=100.0)
            self.now += 100 * MS
        self.assertLessEqual(len(self.checker.retries.taken), 11)
        self.assertLessEqual(len(self.checker.cold), 11)

    def test_the_checks_of_a_hit_cost_little(self):
        count = 20_000
        begun = time.process_time()
        for _ in range(count):
            record = self.record()
            self.checker.taken(record)
            self.begins(record).ended = Ended.COMMITTED
            self.checker.answered(record)
            self.now += MS
        each = (time.process_time() - begun) / count
        self.assertLess(each, COST_RATIO * HIT_SECONDS * 2, "with twice as long for a busy machine")


if __name__ == "__main__":
    unittest.main()
