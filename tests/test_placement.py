"""Which servers a key prefers: the order is that of scoring every server, whatever the fleet, and takes bounded memory."""

from __future__ import annotations

import random
import tracemalloc
import unittest
from itertools import islice
from math import log

from saltmoor.agenda import salt, spot
from saltmoor.model import ColdStart, Place, Prices, Server
from saltmoor.placement import KEPT_BYTES, KeptOrders, Placement
from saltmoor.rendezvous import Ranking

# What a node's peak memory may grow by in front of more cache servers, beside half. Source: the operators' standing test.
MORE_BYTES, BYTES_PER_THOUSAND = 8 << 20, 4 << 20
COLD = ColdStart(0.25, 10_000_000, 4.0, 1_000_000)
SIZES = [*range(1, 20), 27, 51, 52, 58, 59, 60, 64, 100, 200, 394, 395, 640, 1600, 3082, 3083, 3200]


def scored_order(placement: Placement, key: int) -> list[Server]:
    """The order by each server's score, as the placement's rule states it; the measure for what is tested."""
    servers = placement.servers
    scored = sorted([(log(spot(key, one.salt)) / one.weight, i) for i, one in enumerate(servers)])
    order = [servers[i] for _, i in reversed(scored)]
    if placement.zoned:
        own = [server for server in order if placement.is_own(server)]
        away = [server for server in order if not placement.is_own(server)]
        order = own[:1] + away[:1] + own[1:] + away[1:]
    return order


def fleet(draw: random.Random, count: int, zones: int = 3, first: int = 0) -> list[Server]:
    """Servers of drawn sizes and starts, some of them cold."""
    servers = []
    for i in range(first, first + count):
        one = Server(f"s-{i}", draw.randrange(zones), 0, 0, salt(f"s-{i}"), started=draw.choice([0, 0, 95_000_000]))
        one.size = draw.choice([1.0, 1.0, 1.0, 0.5, 2.0, 1e-3, 40.0, draw.uniform(0.1, 9)])
        servers.append(one)
    return servers


def placement_of(servers: list[Server], now: int = 100_000_000, crossing: float = 0.0) -> Placement:
    placement = Placement()
    placement.configure(Place(zone=0, nodes=200), Prices(crossing=crossing), COLD)
    placement.listed(now, servers)
    return placement


class Orders(unittest.TestCase):
    """Guards against a key that moves to another server as fewer servers are scored for it."""

    def check(self, placement: Placement, draw: random.Random, keys: int) -> None:
        for _ in range(keys):
            key = draw.getrandbits(64)
            order = scored_order(placement, key)
            self.assertEqual(list(islice(placement.in_order(key), 12)), order[:12])
            self.assertEqual(list(islice(placement.in_order(key), 70)), order[:70])
            self.assertEqual(list(placement.in_order(key)), order)
            self.assertEqual(placement.ranked(key), order)

    def test_fleets_of_all_sizes(self):
        for count in SIZES:
            draw = random.Random(count)
            with self.subTest(servers=count):
                self.check(placement_of(fleet(draw, count)), draw, 8 if count < 500 else 1)

    def test_fleets_whose_zones_have_copies_of_their_own(self):
        for count in SIZES:
            draw = random.Random(count)
            placement = placement_of(fleet(draw, count), crossing=0.5)
            with self.subTest(servers=count):
                self.check(placement, draw, 8 if count < 500 else 1)
                self.assertEqual(placement.zoned, 12 <= sum(map(placement.is_own, placement.servers)) < count)

    def test_changes_of_the_list_and_servers_that_warm(self):
        draw, now = random.Random(6), 100_000_000
        servers = fleet(draw, 300)
        placement = placement_of(servers, now, crossing=0.5)
        for step in range(30):
            now += 500_000
            gone = set(draw.sample(range(len(servers)), 10))
            joined = fleet(draw, draw.choice([0, 10, 40]), first=1000 * (step + 1))
            servers = [one for i, one in enumerate(servers) if i not in gone] + joined
            if step % 2:
                placement.listed(now, servers)
            else:
                placement.periodic(now)
                servers = placement.servers
            self.check(placement, draw, 2)

    def test_equal_and_extreme_weights(self):
        draw = random.Random(7)
        for weights in ([1.0], [1e-6, 1e6], [1e-9, 1.0], [1e9], [1e-9]):
            placement = placement_of(fleet(draw, 700))
            for server in placement.servers:
                server.weight = draw.choice(weights)
            placement.rankings = [Ranking(placement.servers)]
            with self.subTest(weights=weights):
                self.check(placement, draw, 2)


class Memory(unittest.TestCase):
    """Guards against orders of many servers, kept for many keys, that take a node over its limit of memory."""

    def grown(self, servers: int, keys: int, asked: int) -> int:
        """Bytes that a placement holds after so many keys, of each of which so many servers were asked for."""
        placement, draw = placement_of(fleet(random.Random(1), servers)), random.Random(2)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(keys):
            for _ in islice(placement.in_order(draw.getrandbits(64)), asked):
                pass
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return held

    def test_many_keys_in_front_of_many_servers(self):
        usual, most = self.grown(servers=200, keys=1500, asked=3), self.grown(servers=3200, keys=1500, asked=3)
        self.assertLess(most, 1.5 * usual + MORE_BYTES + BYTES_PER_THOUSAND * 3.2)

    def test_the_bound_holds_for_any_number_and_length_of_orders(self):
        draw, servers = random.Random(3), fleet(random.Random(1), 3200)
        for most in (3, 8, 64, 3200):
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            kept = KeptOrders()
            for _ in range(400_000 // (most + 10)):
                kept.keep(draw.getrandbits(64), tuple(servers[: draw.randint(1, most)]))
            with self.subTest(servers=most):
                self.assertLess(tracemalloc.get_traced_memory()[0], KEPT_BYTES + (1 << 16))
            tracemalloc.stop()

    def test_what_is_asked_for_often_stays_kept(self):
        kept, hot = KeptOrders(), tuple(fleet(random.Random(1), 8))
        kept.keep(0, hot)
        for key in range(1, 40_000):
            kept.keep(key, hot)
            if key % 100 == 0:
                self.assertEqual(kept.get(0), hot)
        self.assertEqual(kept.get(1), ())


if __name__ == "__main__":
    unittest.main()
