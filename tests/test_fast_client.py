"""What a node holds does not grow with small requests that one client sends at full speed, under ever new names and keys."""

from __future__ import annotations

import gc
import tracemalloc
import unittest

from saltmoor.fetch_shedding import KEPT_BYTES, STORED_FOR, FetchShedding
from saltmoor.model import Ended, Hop, Profile, Repeat, Server, Tx
from saltmoor.net import meta
from tests.helper import Script

MS = 1000
LINES = 200


def held_by(make) -> int:
    """Bytes of what `make` returns."""
    tracemalloc.start()
    try:
        kept = make()
        held, _ = tracemalloc.get_traced_memory()
        del kept
        return held
    finally:
        tracemalloc.stop()


class Fields(unittest.TestCase):
    """Guards against an open request that takes twenty times its line, as it has many short fields."""

    def test_many_short_fields_take_no_more_than_their_line(self):
        short = ",".join("n%x=" % i for i in range(500))
        for line in (
            "mg k v O1 Pc=read,d=900," + short[:1900].rpartition(",")[0],
            "mg k" + 900 * " v" + " O1 Pc=read,d=900",
            "ms k 3 O1 Pc=put,k=1," + short[:1900].rpartition(",")[0],
        ):
            with self.subTest(line[:30]):
                self.assertEqual(meta.parse(line.encode()).fault, "")
                held = held_by(lambda line=line: [meta.parse(line.encode()) for _ in range(LINES)])
                self.assertLess(held / LINES, 2 * len(line))

    def test_a_line_goes_on_as_it_came_but_for_the_wait(self):
        for line, sent in (
            (b"mg k v O1 Pc=read,d=900,x=1,y", b"mg k v O1 Pc=read,d=7,x=1,y\r\n"),
            (b"mg  k Pc=read,d=900  O1 v", b"mg k Pc=read,d=7 O1 v\r\n"),
            (b"mg k v O1 Pc=read v", b"mg k v O1 Pc=read v\r\n"),
        ):
            self.assertEqual(meta.hop_bytes(meta.parse(line), 7), [sent])


class Requests(unittest.TestCase):
    """Guards against requests that stay behind their end until the collector runs: it is off here."""

    def setUp(self) -> None:
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def left(self, play) -> int:
        """Requests and attempts that are there once all is over, in all."""
        script = Script(servers=3, origin=True)
        for tx in range(1, 21):
            play(script, tx)
        script.wait(3000)
        return sum(isinstance(one, (Tx, Hop)) for one in gc.get_objects())

    def test_nothing_is_left_by_whichever_end(self):
        def served(script: Script, tx: int) -> None:
            script.served(tx, script.node.placement.ranked(7)[0].id)

        def fails(script: Script, tx: int) -> None:
            script.tx(tx)
            script.queue(script.node.placement.ranked(7)[0].id, 0)
            for hop in range(4):
                if script.node.txs.get(tx) and len(script.node.txs[tx].hops) > hop:
                    script.ends(tx, hop, script.last, Ended.ERROR)

        def times_out(script: Script, tx: int) -> None:
            script.tx(tx, left=300)
            script.queue(script.node.placement.ranked(7)[0].id, 0)
            script.wait(400)
            for server in list(script.node.servers.values()):
                for hop in list(server.out):
                    script.ends(hop.tx.id, hop.number, server.id, Ended.TIMED_OUT)

        def leaves(script: Script, tx: int) -> None:
            script.tx(tx)
            script.queue(script.node.placement.ranked(7)[0].id, 0)
            script.node.out_of_hands(script.now * MS, tx)
            script.ends(tx, 0, script.last, Ended.CANCELLED)

        def misses(script: Script, tx: int) -> None:
            script.tx(tx)
            script.queue(script.node.placement.ranked(7)[0].id, 0)
            script.ends(tx, 0, script.last, Ended.MISS)
            script.ends(tx, 1, 99, Ended.COMMITTED)

        for play in served, fails, times_out, leaves, misses:
            with self.subTest(play.__name__):
                self.assertEqual(self.left(play), 0)


class Keys(unittest.TestCase):
    """Guards against memory that grows with new keys, as fast as they come."""

    def setUp(self) -> None:
        self.server = Server("s1", 0, 0, 0, 1)
        self.profile = Profile(500 * MS, 1000 * MS, Repeat.IDEMPOTENT)

    def serve(self, shedding: FetchShedding, now: int, key: int) -> None:
        tx = Tx(key, self.profile, key, True, now, now, False, 1.0, 3)
        shedding.learn(now, Hop(tx, 0, self.server, now, 0.0), Ended.COMMITTED, False)

    def test_keys_that_are_served_within_half_a_minute_are_bounded_in_bytes(self):
        def served() -> FetchShedding:
            shedding = FetchShedding()
            for i in range(60_000):
                self.serve(shedding, i * 400, (i * 0x9E3779B97F4A7C15) % 2**64)
                shedding.found_no_room((i * 0xBF58476D1CE4E5B9) % 2**64, 10**9)
            return shedding

        self.assertLess(held_by(served), 2 * KEPT_BYTES)

    def test_a_key_is_known_for_its_time_since_it_was_served_last(self):
        shedding = FetchShedding()
        for now, key in (0, 1), (10_000_000, 2), (20_000_000, 1):
            self.serve(shedding, now, key)
        shedding.forget(STORED_FOR + 5_000_000)
        self.assertEqual(list(shedding.stored), [2, 1])
        shedding.forget(STORED_FOR + 10_000_000)
        self.assertEqual(list(shedding.stored), [1])


if __name__ == "__main__":
    unittest.main()
