"""A cold start told to many nodes at once, on a scripted clock: no window of the stated time brings the server more
than N + 2 x root of N + 2 requests of all nodes together, N being what the settings allow when the window begins.

All draws of all cases, which takes minutes, with a table: python -m tests.test_cold 200
"""

from __future__ import annotations

import sys
import unittest
from bisect import bisect_left
from heapq import heappop, heappush
from itertools import count, islice
from math import log, sqrt
from zlib import crc32

from saltmoor import model
from saltmoor.agenda import PERIOD, TICK
from saltmoor.choice import Node, warmth
from saltmoor.limits import shares
from saltmoor.limits.admission import Admission
from saltmoor.model import Ended, ListKind, Readiness, Repeat
from tests.helper import MS

SECOND = 1_000_000
SIZES = 2, 5, 10, 20, 30, 200
COLD, TOLD, END = 1, 500 * MS, 4000 * MS  # the cold server; when its start is told; when a draw ends
CASES = {  # what is unlike the plain case
    "plain": {},
    "skewed": {"skew": 5},
    "restarts": {"restarts": 1},
    "restarts, again and again": {"restarts": 8},
    "number three less": {"wrong": -3},
    "number three more": {"wrong": 3},
    "number missing": {"wrong": None},
    "news apart": {"apart": 3 * SECOND},
    "ramp": {"warm": 5 * SECOND},
    "upgrade": {"upgrade": True},
    "all restarted": {"restarts": 1, "struck": 1.0},
    "hot later": {"hot_at": 2000 * MS},
    "all cold": {"others_cold": True},
    "all cold, all restarted": {"others_cold": True, "restarts": 1, "struck": 1.0},
    "all together": {"skew": 5, "restarts": 2, "wrong": -3, "apart": SECOND, "upgrade": True},
}


class Start:
    """One drawn start. More is wanted of the cold server than it may get, so that only the nodes' budgets bind."""

    def __init__(self, nodes: int, case: str, draw: int) -> None:
        self.word, self.drawn = f"{nodes} {case} {draw}".encode(), 0
        self.case = {
            "skew": 1,
            "restarts": 0,
            "struck": 0.4,
            "wrong": 0,
            "apart": 0,
            "warm": 20 * SECOND,
            "upgrade": False,
            "hot_at": 0,
            "others_cold": False,
        } | CASES[case]
        self.now, self.order, self.heap, self.ids, self.seeds = 0, count(), [], count(1), count(1)
        self.sent: list[int] = []  # when the cold server was sent to
        self.cold = model.ColdStart(
            self.between(0.12, 0.4), self.case["warm"], self.between(2.5, 4.0), int(self.between(0.5, 2.0) * SECOND)
        )
        self.base = 2 * 20 ** self.chance()  # N as the server starts: 2 to 40
        self.capacity = self.base / self.cold.multiple / self.cold.share / self.cold.window * SECOND
        # Three others stand for all that are there: as many as there are nodes, or fewer.
        others = 2 * max(2.0, nodes / 2) ** self.chance() if not self.case["others_cold"] else 3
        self.sizes = {COLD: 1.0, 2: others / 3, 3: others / 3, 4: others / 3}
        load = self.between(0.4, 0.9) * others * self.capacity  # requests a second, of all nodes
        wanted = max(4 * self.base, nodes * 0.3 * 10 ** self.chance())  # requests for the cold one in a window
        self.hot = min(1.0, wanted / self.cold.window * SECOND / load)  # their part of all
        self.hot = self.hot if not self.case["others_cold"] else 1.0
        told = 0 if self.case["wrong"] is None else max(0, nodes + self.case["wrong"])
        self.place = model.Place(0, told)
        parts = [self.case["skew"] if self.chance() < 0.2 else 1.0 for _ in range(nodes)]
        self.rates = [load * part / sum(parts) for part in parts]
        self.cores = 1 << int(3 * self.chance())  # each does one request in `hit`
        self.hit = int(self.cores / self.capacity * SECOND)
        self.live: set[Node] = set()
        self.told: set[Node] = set()
        self.rest = {}  # by process: requests a second that go elsewhere, uncounted here
        self.running: list[list[Node]] = [[self.start(i, learnt=True)] for i in range(nodes)]
        judge = self.make()
        judge.listed(TOLD, ListKind.REMEMBERED, self.members(True))
        self.keys = list(islice((key for key in count() if judge.placement.ranked(key)[0].id == COLD), 2))
        for i in range(nodes):
            self.at(max(self.case["hot_at"], TOLD) + int(self.gap(i)), self.come, i)
            self.at(TOLD + int(self.chance() * (self.case["apart"] or 50 * MS)), self.tell, i)
            for turn in range(self.case["restarts"]):
                if self.chance() < self.case["struck"]:
                    self.at(TOLD + int(self.between(0, 1.5 * self.cold.window)), self.restart, i)
            if self.case["upgrade"]:
                self.at(TOLD + int(self.between(0, self.cold.window)), self.upgrade, i)

    def chance(self) -> float:
        self.drawn += 1
        return crc32(self.drawn.to_bytes(4, "little"), crc32(self.word)) / 2**32

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.chance()

    def gap(self, i: int) -> float:
        return 1 - log(max(1e-9, self.chance())) / self.rates[i] / self.hot * SECOND

    def at(self, when: int, call, *args) -> None:
        if when < END:
            heappush(self.heap, (when, next(self.order), call, args))

    def members(self, started: bool) -> list[model.Member]:
        return [
            model.Member(
                one,
                0,
                0,
                0,
                Readiness.READY,
                size,
                TOLD if started and (one == COLD or self.case["others_cold"]) else 0,
            )
            for one, size in self.sizes.items()
        ]

    def make(self) -> Node:
        return Node(
            crc32(self.word, next(self.seeds)),
            self.now,
            profiles=[model.Profile(400 * MS, 1200 * MS, Repeat.IDEMPOTENT)],
            quotas=[],
            permits=model.Permits(hops=2, copies=False, cancel=True, probes=False),
            prices=model.Prices(),
            cold=self.cold,
            listing=model.Listing(),
            place=self.place,
            origin_kind=None,
            columns=[],
            tick=MS,
        )

    def start(self, i: int, learnt: bool = False, part: float = 1.0) -> Node:
        """A process; one that has run for long knows its rate, and how long a hit takes."""
        node = self.make()
        if learnt:
            node.rate, node.usual, node.hits = self.rates[i], float(self.hit), 100
        if part < 1:
            shares.part(node, self.gate(), self.now, part)
        node.listed(self.now, ListKind.REMEMBERED, self.members(not learnt))
        self.live.add(node)
        self.rest[node] = self.rates[i] * (1 - self.hot) * part
        if not learnt:
            self.told.add(node)
        self.carry_out(node)
        return node

    def gate(self) -> Admission:
        return Admission(target=10 * MS, revenues=[1.0], quotas=[], longest_hint=0, seed=1, now=self.now)

    def carry_out(self, node: Node) -> None:
        node.settle(self.now)
        effects, node.effects[:] = list(node.effects), []
        for effect in effects:
            match effect:
                case model.Send(tx, server):
                    if server == COLD and node in self.told:
                        self.sent.append(self.now)
                    self.at(
                        self.now + self.hit,
                        self.event,
                        node,
                        Node.hop_ended,
                        model.HopEnd(tx, node.txs[tx].hops[-1].number, server, Ended.COMMITTED, self.hit, True, 1),
                    )
                case model.Wake(at, token):
                    self.at(max(at, self.now), self.event, node, Node.woken, token)

    def event(self, node: Node, call, *args) -> None:
        if node in self.live:
            if call is Node.woken and args[0] == TICK:
                node.hops += self.rest[node] * PERIOD / SECOND
            call(node, self.now, *args)
            self.carry_out(node)

    def tell(self, i: int) -> None:
        for node in self.running[i]:
            self.told.add(node)
            self.event(node, Node.listed, ListKind.FULL, self.members(True))

    def restart(self, i: int) -> None:
        """Killed; the next process of the node knows the list, and nothing else."""
        self.live.difference_update(self.running[i])
        self.running[i] = [self.start(i)]

    def upgrade(self, i: int) -> None:
        """The next process comes beside the old one, each with half of what the node may do."""
        old = self.running[i][0]
        shares.part(old, self.gate(), self.now, 0.5)
        self.running[i] = [old, self.start(i, part=0.5)]

    def come(self, i: int) -> None:
        node = self.running[i][int(self.chance() * len(self.running[i]))]
        key = None if self.case["others_cold"] else self.keys[int(self.chance() * len(self.keys))]
        self.event(node, Node.arrived, model.Arrival(next(self.ids), 0, None, key, self.now + 1200 * MS))
        self.at(self.now + int(self.gap(i)), self.come, i)

    def worst(self) -> tuple[float, int, float]:
        """The worst window as a share of the bound; its requests; its N."""
        while self.heap:
            self.now, _, call, args = heappop(self.heap)
            call(*args)
        server, found = model.Server(COLD, 0, 0, 0, 0, TOLD), (0.0, 0, self.base)
        for first, begin in enumerate(self.sent):
            n = bisect_left(self.sent, begin + self.cold.window) - first
            may = self.capacity * self.cold.multiple * warmth(server, begin, self.cold) * self.cold.window / SECOND
            found = max(found, (n / (may + 2 * sqrt(may) + 2), n, may))
        return found


def table(draws: int, sizes=SIZES, cases=CASES) -> list[tuple[int, str]]:
    """Prints a line a size and case; what went over its bound."""
    print(
        f"| nodes | case | worst window / bound | its requests, its N | middle | draws broken of {draws} |\n"
        "| --- | --- | --- | --- | --- | --- |"
    )
    broken = []
    for nodes in sizes:
        for case in cases:
            found = sorted(Start(nodes, case, draw).worst() for draw in range(draws))
            (share, n, may), over = found[-1], sum(one[0] > 1 for one in found)
            broken += [(nodes, case)] * over
            middle = found[draws // 2][0]
            print(f"| {nodes} | {case} | {share:.2f} | {n}, {may:.1f} | {middle:.2f} | {over} |", flush=True)
    return broken


class Sums(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_bound(self):
        """Guards against a share that cannot add up: thirty nodes, of which each may send one, where N is four."""
        for nodes in SIZES:
            for case in CASES:
                for draw in range(1 if nodes > 100 else 4):
                    with self.subTest(nodes=nodes, case=case, draw=draw):
                        share, n, may = Start(nodes, case, draw).worst()
                        self.assertLessEqual(share, 1.0, f"{n} requests in a window, N {may:.1f}")

    def test_a_cold_server_is_used(self):
        """Guards against sums that are kept because nothing is sent."""
        for nodes in SIZES:
            starts = [Start(nodes, "plain", draw) for draw in range(2 if nodes > 100 else 6)]
            for start in starts:
                start.worst()
            may = sum(start.base * (END - TOLD) / start.cold.window for start in starts)
            self.assertGreater(sum(len(start.sent) for start in starts), 0.05 * may, nodes)


if __name__ == "__main__":
    sys.exit(bool(table(int(sys.argv[1]), [int(one) for one in sys.argv[2:]] or SIZES)))
