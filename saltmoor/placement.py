"""Owns which cache servers a key prefers, and in which order: the weights behind its ranking, and the orders that are kept.

The order is the same at every node that has the same list, zone and settings. It must never do I/O, read a clock, or
say whether a server may be sent to.
"""

from __future__ import annotations

from collections.abc import Iterator

from saltmoor.agenda import PERIOD
from saltmoor.guard.slow_start import warmth
from saltmoor.model import ColdStart, Micros, Place, Prices, Server
from saltmoor.rendezvous import Ranking

LARGE_FROM, LARGE_DOWN_TO = 12, 8  # cache servers of the own zone: so many make it prefer its own; fewer, no more
ZONED_CROSSING = 2.5  # times its price a crossing counts there, as the own zone's servers are warm too
LEAST_WARMTH = 0.001  # as part of a weight: no weight is 0
FIRST = 8  # servers of a key that are ranked at once; more only where these are passed over
KEPT_BYTES = 4 << 20  # of the orders that are kept, whatever the number of keys and servers
ORDER_BYTES, SERVER_BYTES = 240, 8  # of one order: with its key and its places in tables, and for each server in it
REWEIGH_EVERY: Micros = 1_000_000
REWEIGH_BEHIND: Micros = 2_000_000  # weights are looked at for so long once all servers are warm


class KeptOrders:
    """The beginnings of keys' orders that were asked for lately, in at most `most` bytes.

    Two generations of half as many bytes each: where the younger one is full the older one goes.
    """

    def __init__(self, most: int = KEPT_BYTES) -> None:
        self.most = most
        self.clear()

    def clear(self) -> None:
        self.younger: dict[int, tuple[Server, ...]] = {}
        self.older: dict[int, tuple[Server, ...]] = {}
        self.younger_bytes = 0

    def get(self, key: int) -> tuple[Server, ...]:
        """What is kept of the key's order; empty where nothing is."""
        order = self.younger.get(key)
        if order is None:
            order = self.older.pop(key, ())
            if order:
                self.keep(key, order)
        return order

    def keep(self, key: int, order: tuple[Server, ...]) -> None:
        """Keep it in place of what was kept of that key; one that alone is too large is not kept."""
        before = self.younger.pop(key, None)
        if before is not None:
            self.younger_bytes -= self.size(before)
        size = self.size(order)
        if self.younger_bytes + size > self.most // 2:
            self.older, self.younger, self.younger_bytes = self.younger, {}, 0
        if size <= self.most // 2:
            self.younger[key] = order
            self.younger_bytes += size

    @staticmethod
    def size(order: tuple[Server, ...]) -> int:
        """Bytes that an order takes while it is kept."""
        return ORDER_BYTES + SERVER_BYTES * len(order)


class Placement:
    """The cache servers as one node ranks them.

    `capacity` is that of all of them as they are, `full_size` as it were if all were warm; `zoned` says whether a key's
    preferred server is one of the own zone.
    """

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.kept = KeptOrders()
        self.rankings = [Ranking([])]  # of all servers, or where each zone has its own copy of its own and the others
        self.capacity = self.full_size = 1.0
        self.zoned = False
        self.warm_at: Micros = 0  # from then on all servers are warm

    def configure(self, place: Place, prices: Prices, cold: ColdStart) -> None:
        """Settings for what is weighed from now on."""
        self.place, self.prices, self.cold = place, prices, cold

    def listed(self, now: Micros, servers: list[Server]) -> None:
        """These are the cache servers from now on."""
        self.servers = servers
        # Guards against halving the caches of a small fleet: a copy in each zone costs it more than it saves.
        own = sum([self.is_own(server) for server in servers])
        large = LARGE_DOWN_TO if self.zoned else LARGE_FROM
        self.zoned = self.prices.crossing > self.prices.fetch and large <= own < len(servers)
        self.warm_at = self.cold.warm_after + max([server.started for server in servers], default=0)
        self.reweigh(now)

    def periodic(self, now: Micros) -> None:
        # Weights of warming servers change once a second, at all nodes alike: each change voids the orders.
        if now % REWEIGH_EVERY < PERIOD and now < self.warm_at + REWEIGH_BEHIND:
            self.reweigh(now)

    def reweigh(self, now: Micros) -> None:
        self.capacity, self.full_size = 0.0, sum([server.size for server in self.servers]) or 1.0
        # Near ties go to the own zone: there a hop saves the price of crossing, a share of its worth.
        near = 1 + 2 * self.prices.crossing * (not self.zoned)
        all_warm, own_zone = now >= self.warm_at, self.place.zone
        for server in self.servers:
            warm = server.size * (1.0 if all_warm else max(LEAST_WARMTH, warmth(server, now, self.cold)))
            server.weight = warm * near if server.zone == own_zone else warm
            self.capacity += warm
        self.kept.clear()
        if self.zoned:
            own = [server for server in self.servers if self.is_own(server)]
            away = [server for server in self.servers if not self.is_own(server)]
            self.rankings = [Ranking(own), Ranking(away)]
        else:
            self.rankings = [Ranking(self.servers)]

    def in_order(self, key: int) -> Iterator[Server]:
        """The key's servers, preferred first; those behind the first few are ranked as they are asked for.

        In a large zone the own zone's first is preferred, and next comes the first of the others, which is
        warm by what the nodes there send it.
        """
        passed, wanted = 0, FIRST
        while True:
            order = self.kept.get(key)
            if len(order) <= passed and passed < len(self.servers):
                order = tuple(self.first(key, wanted))
                self.kept.keep(key, order)
            yield from order[passed:]
            passed, wanted = len(order), FIRST * len(order)
            if passed >= len(self.servers):
                return

    def first(self, key: int, wanted: int) -> list[Server]:
        """The key's first `wanted` servers, as `in_order` has them."""
        if not self.zoned:
            return self.rankings[0].first(key, wanted)
        own, away = self.rankings
        order = own.first(key, wanted)
        order[1:1] = away.first(key, 1)
        if len(order) < wanted:
            order += away.first(key, wanted)[1:]
        return order[:wanted]

    def ranked(self, key: int) -> list[Server]:
        """All of the key's servers, preferred first."""
        return self.first(key, len(self.servers))

    def is_own(self, server: Server) -> bool:
        return server.zone == self.place.zone

    def crossings(self, server: Server) -> float:
        """How often the price of crossing counts for a hop there."""
        if self.is_own(server):
            return 0
        return ZONED_CROSSING if self.zoned else 1

    def is_preferred(self, server: Server, picked: list[Server]) -> bool:
        """Whether reads are sent there first, of those picked; where each zone has its own copy, of its zone."""
        return server is next(one for one in picked if not self.zoned or one.zone == server.zone)
