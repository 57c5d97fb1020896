"""The bounds of an end as one sum, over drawn settings; what is due for a connection, moment by moment."""

from __future__ import annotations

import random
import unittest

from saltmoor.guard import ends
from saltmoor.guard.connections import Outside
from saltmoor.guard.ends import Due

MS = 1000
DRAWS = 2000
SHORTEST, LONGEST = 100 * MS, 30_000 * MS  # deadlines that the node accepts
HELD_UP = 150 * MS  # what the operators' page says a process may be held up for


class Sum(unittest.TestCase):
    """For all deadlines, and any time to linger."""

    def setUp(self) -> None:
        self.draw = random.Random(53)

    def deadlines(self):
        yield from (SHORTEST, 300 * MS, 1434 * MS, 2500 * MS, 3000 * MS, 3145 * MS, LONGEST)
        for _ in range(DRAWS):
            yield int(10 ** self.draw.uniform(5, 7.4771))

    def check(self, plan: ends.EndPlan, longest: int, bound: int) -> None:
        self.assertEqual(plan.bound, bound)
        self.assertLessEqual(plan.told_from, plan.told_by)
        self.assertLessEqual(plan.told_by + ends.READS_ON, plan.reads_until)
        self.assertLessEqual(plan.reads_until, plan.commands_until)
        self.assertLess(plan.commands_until, plan.answers_until)
        self.assertLess(plan.answers_until + HELD_UP, bound)

    def test_a_drain_holds_nobody_4_s_later(self):
        for longest in self.deadlines():
            with self.subTest(longest=longest):
                plan = ends.plan_drain(longest)
                self.check(plan, longest, 4_000 * MS)
                self.assertLessEqual(plan.reads_until + HELD_UP, 2_000 * MS)  # no request from the last 2 s
                if longest <= 3_000 * MS:  # what is read in time has its whole time
                    self.assertLessEqual(plan.reads_until + longest, plan.answers_until)
                self.assertGreaterEqual(plan.told_by - plan.told_from, 200 * MS)  # not all in one instant

    def test_a_stop_is_over_before_the_kill(self):
        for longest in self.deadlines():
            linger = self.draw.choice([0, 50, 400, 500, 60_000]) * MS
            with self.subTest(longest=longest, linger=linger):
                plan = ends.plan_stop(longest, linger)
                self.check(plan, longest, min(longest, 3_000 * MS) + 700 * MS)
                if longest <= 3_000 * MS:  # who comes until the listener closes has the whole time
                    self.assertLessEqual(plan.told_by + longest, plan.answers_until)

    def test_every_connection_is_told_and_gone_in_time_whenever_it_came(self):
        """Guards against a bound that counts from an accept: the client has its connection since its connect."""
        for longest in self.deadlines():
            plan, since = ends.plan_drain(longest), 77_000_000
            connected = since + self.draw.randrange(-5_000_000, 6_000_000)
            accepted = connected + self.draw.choice([0, 5, 300, 1500, 3000]) * MS
            if accepted > ends.accepted_by(plan, since, connected):
                self.assertGreater(accepted - connected, 200 * MS)  # who is turned away had the time to ask
                continue
            end = ends.end_of_drain(plan, since, connected, accepted, self.draw.random())
            with self.subTest(longest=longest, connected=connected - since, accepted=accepted - since):
                if connected < since + plan.told_from:
                    self.assertLessEqual(end.told, max(since + plan.told_by, accepted))
                    self.assertGreaterEqual(end.told, since + plan.told_from)
                else:
                    self.assertLessEqual(end.told, max(connected + ends.STRAY, accepted))
                self.assertGreaterEqual(end.told, accepted)  # what was asked meanwhile is read
                if connected < since + 3_250 * MS:
                    self.assertEqual(end.gone_by, since + 4_000 * MS)
                else:
                    self.assertEqual(end.gone_by, connected + 4_000 * MS)
                self.assertLess(end.told + ends.READS_ON, end.answers_until)
                self.assertLess(end.commands_until, end.answers_until)
                self.assertLess(end.answers_until + HELD_UP, end.gone_by)

    def test_nobody_waits_in_a_queue_past_what_it_is_owed(self):
        """`mn` is answered in a second, a request half a second behind its time at the latest, however short that is."""
        for longest in self.deadlines():
            plan, since = ends.plan_stop(longest, 450 * MS), 77_000_000
            for now in since, since + plan.reads_until - 1:
                self.assertLessEqual(ends.longest_queued(plan, since, now), 500 * MS)
            self.assertEqual(ends.longest_queued(plan, since, since + plan.reads_until), 0)
        self.assertLessEqual(ends.longest_queued(None, 0, 0), 500 * MS)
        self.assertLess(ends.longest_queued(None, 0, 0) + HELD_UP + ends.CLOSING, 1_000 * MS)


class WhatIsDue(unittest.TestCase):
    END = ends.ConnectionEnd("draining", 500 * MS, 2_400 * MS, 3_750 * MS, 4_000 * MS)

    def due(self, now: int, begun: int = 0) -> Due:
        return ends.due(now * MS, self.END, begun * MS)

    def test_a_connection_with_whole_commands(self):
        self.assertEqual(
            [self.due(now) for now in (499, 500, 599, 600)], [Due.NOTHING, Due.TELL, Due.TELL, Due.READ_NO_MORE]
        )

    def test_a_command_that_was_begun_in_time_may_become_whole(self):
        self.assertEqual([self.due(now, begun=590) for now in (600, 2399, 2400)], [Due.TELL, Due.TELL, Due.CUT])

    def test_a_command_that_was_begun_too_late_is_not_read(self):
        self.assertEqual(self.due(601, begun=600), Due.READ_NO_MORE)

    def test_a_late_loop_takes_each_step_sooner_and_in_their_order(self):
        """Guards against a step that takes effect behind its bound, and against a close before the answer is written."""
        for lag in 0, 10, 100, 200, 400:
            with self.subTest(lag=lag):
                lookups = range(-2000, 4000, max(5, lag))  # a late loop looks as seldom
                told = next(t for t in lookups if ends.due(t * MS, self.END, 0, lag=lag * MS) is not Due.NOTHING)
                answered = next(t for t in lookups if ends.answers_due(t * MS, self.END, lag * MS))
                closed = next(t for t in lookups if ends.overdue(t * MS, self.END, lag * MS))
                self.assertLessEqual(told + lag, 500 + 5)
                self.assertLessEqual(answered + lag, 3_750 + 5)
                self.assertLessEqual(closed + lag, 4_000 - 150 + lag + 5)
                self.assertGreaterEqual(closed - answered, min(lag, 100))

    def test_what_a_slow_client_could_not_take_in_time_is_not_begun(self):
        for left, fits in (1_000_000, True), (1_400_000, False):
            now = 2_000 * MS
            self.assertIs(ends.fits(now, self.END, left=left, taken=1_000_000, since=500 * MS), fits)
        self.assertTrue(ends.fits(9_000 * MS, ends.end_now("evicted", 0), left=1 << 30, taken=1, since=0))

    def test_a_connection_lingers_until_its_client_has_all(self):
        """Guards against a reset over an answer, and against a client that holds its connection by going on."""
        bound = 4_000 * MS
        for untaken, left, moved, now, what in (
            (1, False, 0, 3_849, ends.Linger.WAIT),
            (1, False, 2_400, 3_850, ends.Linger.WAIT),  # it takes what it is owed, past the bound too
            (1, False, 2_350, 3_850, ends.Linger.RESET),
            (1, False, 13_900, 14_000, ends.Linger.RESET),
            (0, False, 0, 2_999, ends.Linger.WAIT),
            (0, False, 0, 3_000, ends.Linger.CLOSE),
            (0, False, 500, 3_499, ends.Linger.WAIT),
            (0, False, 3_840, 3_850, ends.Linger.CLOSE),
            (1, True, 0, 1, ends.Linger.CLOSE),
        ):
            with self.subTest(untaken=untaken, left=left, moved=moved, now=now):
                outside = Outside(unread=False, untaken=untaken, left=left)
                got = ends.linger(now * MS, outside, said=0, moved=moved * MS, gone_by=bound)
                self.assertIs(got, what)
        sends = Outside(unread=True, untaken=0, left=False)
        for now, what in (1_999, ends.Linger.WAIT), (2_000, ends.Linger.CLOSE):
            got = ends.linger((now + 1) * MS, sends, said=1 * MS, moved=now * MS, gone_by=0)
            self.assertIs(got, what, "one that goes on with its command")

    def test_of_two_ends_the_stricter_holds(self):
        stop = ends.end_of_stop(ends.plan_stop(300 * MS, 400 * MS), 0, 400 * MS)
        both = self.END.earlier(stop)
        self.assertEqual((both.reason, both.told, both.gone_by), ("stopping", 400 * MS, 1_000 * MS))
        self.assertEqual(ends.end_now("evicted", 600 * MS).earlier(self.END).answers_until, 3_750 * MS)

    def test_who_takes_nothing(self):
        self.assertFalse(ends.takes_nothing(1_400 * MS, 0))
        self.assertTrue(ends.takes_nothing(1_500 * MS, 0))

    def test_a_large_value_of_which_nothing_moves(self):
        self.assertFalse(ends.stands_still(2_500 * MS, 0, due=True))  # a server may give nothing for 2 s
        self.assertTrue(ends.stands_still(4_000 * MS, 0, due=True))
        self.assertFalse(ends.stands_still(9_900 * MS, 0, due=False))
        self.assertTrue(ends.stands_still(10_000 * MS, 0, due=False))


if __name__ == "__main__":
    unittest.main()
