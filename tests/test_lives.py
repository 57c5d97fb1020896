"""The typed lives of a connection and of a node: steps, and what two processes of a node tell each other of a drain."""

from __future__ import annotations

import itertools
import unittest

from saltmoor.net.connection_life import Life, State, WrongStep
from saltmoor.net.node_life import NodeLife

S = 1_000_000


class Connection(unittest.TestCase):
    def setUp(self) -> None:
        self.noted: list[tuple[State, str]] = []
        self.life = Life(0, lambda state, reason: self.noted.append((state, reason)))

    def test_it_goes_downwards_alone_and_keeps_its_first_reason(self):
        self.assertTrue(self.life.reads)
        self.life.step(State.TOLD, "draining", 5)
        self.assertTrue(self.life.reads and self.life.ends)
        self.life.step(State.READS_NO_MORE, "unfinished", 7)
        self.assertFalse(self.life.reads)
        with self.assertRaises(WrongStep):
            self.life.step(State.TOLD, "again", 8)
        self.assertFalse(self.life.step(State.READS_NO_MORE, "again", 8))
        self.life.step(State.CLOSED, "draining", 9)
        self.assertEqual((self.life.reason, self.life.told_for(9)), ("draining", 4))
        self.assertEqual([state for state, _ in self.noted], [State.TOLD, State.READS_NO_MORE, State.CLOSED])

    def test_a_client_that_closes_was_never_told(self):
        self.life.step(State.CLOSED, "client-closed", 9)
        self.assertEqual(self.life.told_for(9), 0)


class Node(unittest.TestCase):
    """Two processes with clocks of their own, on one machine."""

    def setUp(self) -> None:
        self.now = 100 * S
        self.old = NodeLife(lambda: self.now + 7 * S, lambda: self.now)
        self.new = NodeLife(lambda: self.now - 3 * S, lambda: self.now)

    def drained_for(self, life: NodeLife) -> int | None:
        return life.clock() - life.drain.changed if life.drain.on else None

    def test_the_drain_s_time_goes_on_however_long_the_message_stood(self):
        self.old.order(True)
        self.now += 2 * S
        message = self.old.said()
        self.now += S
        self.assertTrue(self.new.hear(message))
        self.assertEqual(self.drained_for(self.new), 3 * S)
        self.assertFalse(self.new.hear(self.old.said()))

    def test_the_same_order_again_changes_nothing(self):
        self.old.order(True)
        self.now += S
        self.old.order(True)
        self.assertEqual(self.drained_for(self.old), S)

    def test_the_later_order_holds_in_whichever_order_both_hear(self):
        for first, second in itertools.product((True, False), repeat=2):
            for crossed in False, True:
                with self.subTest(first=first, second=second, crossed=crossed):
                    self.setUp()
                    self.old.order(not first)
                    self.new.hear(self.old.said())
                    self.now += S
                    self.old.order(first)
                    from_old = self.old.said()
                    if not crossed:
                        self.new.hear(from_old)
                    self.now += S
                    self.new.order(second)
                    from_new = self.new.said()
                    self.old.hear(from_new)
                    self.new.hear(from_old)
                    self.assertEqual(self.old.drain.on, self.new.drain.on)

    def test_a_version_that_tells_no_span(self):
        self.assertTrue(self.new.hear({"lame": True}))
        self.assertEqual(self.drained_for(self.new), 0)


if __name__ == "__main__":
    unittest.main()
