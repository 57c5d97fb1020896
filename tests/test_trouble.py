"""Trouble of our own at making connections: what an errno means, how long it is waited out, when a server has it."""

from __future__ import annotations

import errno
import unittest

from saltmoor.model import Ended
from saltmoor.net import trouble
from saltmoor.net.errors import Call, Fault, Then, verdict
from saltmoor.net.trouble import ALONE, LASTING_TRIES, PASSING, LocalTrouble, Pauses
from tests.helper import MS, Script


class Table(unittest.TestCase):
    def test_each_call_says_whose_fault_it_is(self):
        cases = {
            (Call.ACCEPT, errno.ECONNABORTED): (Fault.CONNECTION, Then.RETRY_NOW),
            (Call.ACCEPT, errno.EINTR): (Fault.OURS, Then.RETRY_NOW),
            (Call.ACCEPT, errno.EMFILE): (Fault.OURS, Then.SHED),
            (Call.ACCEPT, errno.ENFILE): (Fault.OURS, Then.RETRY_LATER),
            (Call.ACCEPT, errno.EINVAL): (Fault.PROGRAM, Then.RETRY_LATER),
            (Call.CONNECT, errno.EADDRNOTAVAIL): (Fault.OURS, Then.RETRY_LATER),
            (Call.CONNECT, errno.ECONNREFUSED): (Fault.PEER, Then.BLAME_PEER),
            (Call.CONNECT, errno.EHOSTUNREACH): (Fault.PEER, Then.BLAME_PEER),
            (Call.SEND, errno.ENOBUFS): (Fault.OURS, Then.RETRY_LATER),
            (Call.SEND, errno.EPIPE): (Fault.CONNECTION, Then.FAIL),
            (Call.RECEIVE, errno.ETIMEDOUT): (Fault.CONNECTION, Then.FAIL),
            (Call.RECEIVE, errno.ENOMEM): (Fault.OURS, Then.RETRY_LATER),
        }
        for (call, number), expected in cases.items():
            with self.subTest(call=call.name, error=errno.errorcode[number]):
                self.assertEqual(verdict(call, OSError(number, "")), expected)


class Trouble(unittest.TestCase):
    def test_it_is_waited_out_only_while_it_has_just_begun(self):
        ours = LocalTrouble()
        self.assertTrue(ours.failed("s1", 0))
        for turn in range(1, LASTING_TRIES):
            self.assertFalse(ours.failed("s2", turn))
        self.assertTrue(ours.passing(PASSING - 1))
        self.assertFalse(ours.passing(PASSING))
        ours.worked("s2", PASSING)
        self.assertTrue(ours.passing(PASSING))

    def test_few_tries_are_no_trouble_that_lasts(self):
        """Guards against requests refused after some tries, as the process did not run for most of that time."""
        ours = LocalTrouble()
        for turn in range(LASTING_TRIES):
            self.assertTrue(ours.passing(turn * PASSING // 2), turn)
            ours.failed("s1", turn * PASSING // 2)
        self.assertFalse(ours.passing(LASTING_TRIES * PASSING // 2))

    def test_trouble_that_nobody_has_tried_since_is_not_held_to_last(self):
        """Guards against a request refused at its first try for a failure of long ago."""
        ours = LocalTrouble()
        for turn in range(LASTING_TRIES):
            ours.failed("s1", turn)
        self.assertFalse(ours.passing(PASSING))
        self.assertFalse(ours.failed("s1", 3 * PASSING), "no connection was made since, so the log has it")
        self.assertTrue(ours.passing(3 * PASSING))

    def test_one_server_alone_has_it_itself(self):
        ours = LocalTrouble()
        ours.failed("s1", 0)
        self.assertFalse(ours.alone("s1", ALONE + 1), "nothing else was tried")
        ours.worked("s2", ALONE)
        self.assertFalse(ours.alone("s1", ALONE))
        self.assertTrue(ours.alone("s1", ALONE + 1))
        self.assertFalse(ours.alone("s2", ALONE + 1))

    def test_pauses_double_and_end_in_time(self):
        pauses, taken = Pauses(100 * MS), []
        while (pause := pauses.next()) is not None:
            taken.append(pause // MS)
        self.assertEqual(taken[:4], [2, 4, 8, 10])
        self.assertEqual(taken[-1], trouble.LONGEST_PAUSE // MS)
        self.assertLess(sum(taken), 100)
        self.assertGreaterEqual(sum(taken), 100 - trouble.LONGEST_PAUSE // MS, "they end no sooner either")


class NeverSent(unittest.TestCase):
    def test_a_probe_that_was_never_sent_is_no_silence(self):
        """Guards against servers put down, and asked ever later, for a shortage of this machine."""
        script = Script(servers=2)
        server = script.node.servers[1]
        for turn in range(6):
            script.node.ask(server, None, script.now * MS)
            script.node.probed(script.now * MS, 1, Ended.NOT_SENT, MS, ())
            script.wait(100)
            self.assertEqual((server.unanswered, server.down), (0, False), turn)
            self.assertFalse(script.node.silent(server, script.now * MS))

    def test_a_fetch_that_was_never_sent_leaves_the_limit_at_the_origin(self):
        script = Script(servers=1, origin=True)
        script.wait(1000)
        room = script.node.room
        before = room.limit
        for number in range(1, 13):
            script.tx(number, key=number, write=True)
            script.ends(number, 0, 99, Ended.NOT_SENT)
        self.assertEqual((room.limit, room.failed), (before, 0))


if __name__ == "__main__":
    unittest.main()
