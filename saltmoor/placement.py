"""Owns which cache servers a key prefers, and in which order: weighted rendezvous hashing, and the weights behind it.

The order is the same at every node that has the same list, zone and settings. It must never do I/O, read a clock, or
say whether a server may be sent to.
"""

from __future__ import annotations

from math import log

from saltmoor.agenda import PERIOD, spot
from saltmoor.guard.slow_start import warmth
from saltmoor.model import ColdStart, Micros, Place, Prices, Server

LARGE_FROM, LARGE_DOWN_TO = 12, 8  # cache servers of the own zone: so many make it prefer its own; fewer, no more
ZONED_CROSSING = 2.5  # times its price a crossing counts there, as the own zone's servers are warm too
LEAST_WARMTH = 0.001  # as part of a weight: no weight is 0
RANKS_MOST = 20_000  # keys whose order is kept
REWEIGH_EVERY: Micros = 1_000_000
REWEIGH_BEHIND: Micros = 2_000_000  # weights are looked at for so long once all servers are warm


class Placement:
    """The cache servers as one node ranks them.

    `capacity` is that of all of them as they are, `full_size` as it were if all were warm; `zoned` says whether a key's
    preferred server is one of the own zone.
    """

    def __init__(self) -> None:
        self.servers: list[Server] = []
        self.ranks: dict[int, list[Server]] = {}  # by key
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
        own = sum(self.is_own(server) for server in servers)
        large = LARGE_DOWN_TO if self.zoned else LARGE_FROM
        self.zoned = self.prices.crossing > self.prices.fetch and large <= own < len(servers)
        self.warm_at = self.cold.warm_after + max((server.started for server in servers), default=0)
        self.reweigh(now)

    def periodic(self, now: Micros) -> None:
        # Weights of warming servers change once a second, at all nodes alike: each change voids the ranks.
        warming = now % REWEIGH_EVERY < PERIOD and now < self.warm_at + REWEIGH_BEHIND
        if len(self.ranks) > RANKS_MOST or warming:
            self.reweigh(now)

    def reweigh(self, now: Micros) -> None:
        self.capacity, self.full_size = 0.0, sum(server.size for server in self.servers) or 1.0
        for server in self.servers:
            # Near ties go to the own zone: there a hop saves the price of crossing, a share of its worth.
            near = 1 + 2 * self.prices.crossing * (self.is_own(server) and not self.zoned)
            warm = server.size * max(LEAST_WARMTH, warmth(server, now, self.cold))
            server.weight, self.capacity = warm * near, self.capacity + warm
        self.ranks.clear()

    def ranked(self, key: int) -> list[Server]:
        """The key's servers, preferred first.

        In a large zone the own zone's first is preferred, and next comes the first of the others, which is
        warm by what the nodes there send it.
        """
        if key not in self.ranks:
            scored = sorted([(log(spot(key, one.salt)) / one.weight, i) for i, one in enumerate(self.servers)])
            order = [self.servers[i] for _, i in reversed(scored)]
            if self.zoned:
                own = [server for server in order if self.is_own(server)]
                away = [server for server in order if not self.is_own(server)]
                order = own[:1] + away[:1] + own[1:] + away[1:]
            self.ranks[key] = order
        return self.ranks[key]

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
