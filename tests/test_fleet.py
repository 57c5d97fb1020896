"""Forty nodes on one scripted clock, with servers, origin and list that answer by rule: each test prints the
sums over the fleet, a line each, and compares them with the ones kept."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count

from saltmoor import model
from saltmoor.choice import Node
from saltmoor.model import Ended, ListKind, Readiness, Repeat
from tests.helper import MS, TraceCase

ORIGIN = 999
GOAL, LIMIT = 400 * MS, 1200 * MS


class Fleet:
    """Times are in microseconds. A server has four places for work; what finds none waits its turn."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        told: int | None = None,
        rate: int = 25,
        price: float = 0.08,
        lines: list[str] | None = None,
    ) -> None:
        self.lines = [] if lines is None else lines  # one trace may tell of several fleets
        self.now, self.order, self.heap, self.ids = 0, count(), [], count(1)
        self.sums: dict[str, int] = {}
        self.rate, self.told = rate, nodes if told is None else told
        self.price = price
        self.busy: dict[int, list[int]] = {}  # by server: when each place is free again
        self.copies: dict[int, set[int]] = {ORIGIN: set()}
        self.cold: dict[tuple[int, int], int] = {}  # by cold server and second: hops of all nodes
        self.worst = 0.0  # the most of them, as a share of what the rule allows
        self.dead: set[int] = set()  # refuse connections
        self.work = {ORIGIN: 60 * MS}
        self.members = {}
        for server in range(1, servers + 1):
            self.add(server)
        self.members[ORIGIN] = model.Member(ORIGIN, 0, 1, 0, Readiness.READY, 1.0, 0)
        self.nodes = [self.start(i) for i in range(nodes)]

    def add(self, server: int, started: int = 0) -> None:
        self.members[server] = model.Member(server, server % 2, 0, 0, Readiness.READY, 1.0, started)
        self.copies.setdefault(server, set())

    def start(self, i: int) -> Node:
        node = Node(
            i + 1,
            self.now,
            profiles=[model.Profile(GOAL, LIMIT, Repeat.IDEMPOTENT)],
            quotas=[],
            permits=model.Permits(hops=3, copies=True, cancel=True, probes=True, longest_hint=MS * 1000),
            prices=model.Prices(0.16, 0.12, self.price),
            cold=model.ColdStart(0.14, 23_000 * MS, 4.0, 1000 * MS),
            listing=model.Listing(True, 10_000 * MS),
            place=model.Place(i % 2, self.told),
            origin_kind=1,
            columns=["queue"],
            tick=MS,
        )
        node.listed(self.now, ListKind.REMEMBERED, list(self.members.values()))
        self.carry_out(node)
        return node

    def count(self, what: str, n: int = 1) -> None:
        self.sums[what] = self.sums.get(what, 0) + n

    def at(self, when: int, call, *args) -> None:
        heappush(self.heap, (when, next(self.order), call, args))

    def carry_out(self, node: Node) -> None:
        node.settle(self.now)
        effects, node.effects[:] = list(node.effects), []
        for effect in effects:
            match effect:
                case model.Send(tx, server, until):
                    self.hop(node, tx, node.txs[tx].hops[-1].number, server, until)
                case model.Probe(server, until):
                    self.probe(node, server, until)
                case model.Wake(at, token):
                    self.at(max(at, self.now), self.event, node, Node.woken, token)
                case model.RollBack() | model.Abandon():
                    self.count("given up")
                case model.WatchList():
                    self.count("calls")
                    self.listen(node)

    def event(self, node: Node, call, *args) -> None:
        if node in self.nodes:  # a node that was killed hears nothing more
            call(node, self.now, *args)
            self.carry_out(node)

    def tell(self) -> None:
        """A change of the list reaches all nodes, in half a second, one after the other."""
        for i, node in enumerate(self.nodes):
            self.at(
                self.now + i * 500 * MS // len(self.nodes),
                self.event,
                node,
                Node.listed,
                ListKind.FULL,
                list(self.members.values()),
            )

    def listen(self, node: Node) -> None:
        """The list comes at once, unless a test says otherwise."""
        self.at(self.now + 2 * MS, self.event, node, Node.listed, ListKind.FULL, list(self.members.values()))

    def turn(self, server: int, work: int) -> int:
        """When work that comes now will be done."""
        places = self.busy.setdefault(server, [0] * (24 if server == ORIGIN else 4))
        at = places.index(min(places))
        places[at] = max(places[at], self.now) + work
        return places[at]

    def hop(self, node: Node, tx: int, number: int, server: int, until: int) -> None:
        self.count("fetches" if server == ORIGIN else "hops")
        self.count("crossings", server % 2 != node.place.zone and server != ORIGIN)
        key = node.txs[tx].key
        ended, note, done = Ended.COMMITTED, 1, self.now + MS
        if started := self.members.get(server, self.members[ORIGIN]).started:
            window = (server, self.now // 1_000_000)
            self.cold[window] = self.cold.get(window, 0) + 1
            can = 4 * 50 * min(1.0, 0.14 + 0.86 * (self.now - started) / 23e6)  # a second, times 4
            self.worst = max(self.worst, self.cold[window] / can)
        if server in self.dead:
            self.count("dead hops")
            ended = Ended.NO_CONNECTION
        elif server != ORIGIN and key not in self.copies[server]:
            ended = Ended.MISS
            self.copies[server].add(key)  # its fetch stores it
        else:
            done = self.turn(server, self.work.get(server, 80 * MS))
        if done >= until:
            ended, done = Ended.TIMED_OUT, until
        closed = ended is Ended.COMMITTED
        if closed and done <= node.txs[tx].goal:
            self.at(done, self.count, "in time")
        self.at(
            done,
            self.event,
            node,
            Node.hop_ended,
            model.HopEnd(tx, number, server, ended, done - self.now, closed, note),
        )

    def probe(self, node: Node, server: int, until: int) -> None:
        self.count("probes")
        waits = sum(max(0, free - self.now) for free in self.busy.get(server, ())) / (80 * MS)
        ended = Ended.NO_CONNECTION if server in self.dead else Ended.COMMITTED
        self.at(
            self.now + MS,
            self.event,
            node,
            Node.probed,
            server,
            ended,
            MS,
            (max(0.0, waits - 4),) if ended is Ended.COMMITTED else (),
        )

    def come(self, i: int) -> None:
        """Clients ask, evenly, keys of unlike popularity."""
        node, tx = self.nodes[i], next(self.ids)
        self.count("txs")
        key = int(500 * ((tx * 7919) % 1000 / 1000) ** 2) if tx % 3 else 1000 + (tx * 104_729) % 600
        self.event(node, Node.arrived, model.Arrival(tx, 0, None, key, self.now + LIMIT))
        self.at(self.now + 1_000_000 // self.rate, self.come, i)

    def run(self, seconds: float) -> None:
        if not any(entry[2] == self.come for entry in self.heap):
            for i in range(len(self.nodes)):
                self.at(self.now + i * 1_000_000 // (self.rate * len(self.nodes)), self.come, i)
        end = self.now + int(seconds * 1_000_000)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call, args = heappop(self.heap)
            call(*args)
        self.now = end

    def say(self, title: str, *names: str) -> None:
        """The sums since the last line, per 100 transactions where they are of transactions."""
        txs = self.sums.get("txs", 0) or 100
        said = ", ".join(f"{name} {100 * self.sums.get(name, 0) / txs:.0f}" for name in names)
        self.lines.append(f"{title}: of 100 tx {said}")
        self.sums = {}


class Probes(TraceCase):
    def test_nodes_that_meet_a_server_seldom_do_not_pay_a_probe_each_time(self):
        """Guards against a fleet that pays a probe a transaction where no answer would change a thing."""
        fleet = Fleet(nodes=40, servers=60)
        for second in range(1, 5):
            fleet.run(1)
            fleet.say(f"40 nodes, second {second}", "probes", "in time", "given up")
        fleet = Fleet(nodes=40, servers=60, price=0.0, lines=fleet.lines)
        fleet.run(3)
        fleet.say("40 nodes, probes are free", "probes", "in time", "given up")
        fleet = Fleet(nodes=1, servers=6, rate=60, price=0.01, lines=fleet.lines)
        fleet.run(6)
        fleet.say("one node, 6 servers, cheap", "probes", "in time", "given up")
        self.check("fleet-probes", fleet)


class Zones(TraceCase):
    def test_a_large_zone_prefers_its_own_servers_and_a_small_one_all(self):
        """Guards against paying for half of all hops to cross, and against halving a small fleet's caches."""
        fleet = Fleet(nodes=40, servers=60)
        fleet.run(4)
        fleet.say("60 servers, first 4 s", "crossings", "fetches", "in time")
        for server in [one for one in fleet.members if one % 2 and one != ORIGIN]:
            fleet.dead.add(server)
            fleet.busy.pop(server, None)
        fleet.run(2)
        fleet.say("a zone is dead and the list does not say so, 2 s", "crossings", "dead hops", "in time", "given up")
        lost = {server: fleet.members.pop(server) for server in fleet.dead}
        fleet.tell()
        fleet.run(2)
        fleet.say("the list says so", "crossings", "dead hops", "in time", "given up")
        for server in lost:
            fleet.add(server, started=fleet.now)
            fleet.copies[server].clear()
        fleet.dead.clear()
        fleet.tell()
        fleet.run(6)
        fleet.say("it is back, cold, 6 s", "crossings", "fetches", "in time", "given up")
        small = Fleet(nodes=3, servers=8, rate=40, price=0.01, lines=fleet.lines)
        small.run(6)
        small.say("3 nodes, 8 servers", "crossings", "fetches", "in time")
        self.check("fleet-zones", small)


class Cold(TraceCase):
    def test_all_nodes_together_keep_to_what_a_cold_server_may_get(self):
        """Guards against a floor of one hop a window that every node takes: sums, whatever number is told."""
        lines = []
        for nodes, told, rate in ((40, 40, 25), (40, 40, 100), (40, 0, 100), (200, 200, 20), (3, 3, 100)):
            fleet = Fleet(nodes, servers=min(60, 4 * nodes), told=told, rate=rate, lines=lines)
            fleet.run(1.5)
            old = [one for one in fleet.members if one != ORIGIN and one % 5 > 1]
            for server in old:
                fleet.members.pop(server)
                fleet.add(server + 100, started=fleet.now)
            fleet.tell()
            fleet.sums, fleet.worst = {}, 0.0
            fleet.run(2)
            fleet.say(
                f"{nodes} nodes, told {told}, {nodes * rate} tx a second, {len(old)} of"
                f" {len(fleet.members) - 1} new: worst window {100 * fleet.worst:.0f}% of the rule",
                "hops",
                "in time",
                "given up",
            )
        self.check("fleet-cold", fleet)


class Unlisted(Fleet):
    """Each call for the list is given up after a second."""

    def listen(self, node: Node) -> None:
        self.at(self.now + 1_000 * MS, self.event, node, Node.listed, ListKind.FAILED, [])


class Trouble(TraceCase):
    def test_whatever_the_list_says_nodes_serve_what_they_can(self):
        """Guards against a node that a list ends: none, half, twice, empty, the dead, then the truth."""
        fleet = Unlisted(nodes=20, servers=40, told=0)
        whole = dict(fleet.members)
        half = [one for one in whole.values() if one.server == ORIGIN or one.server % 4 < 2]
        gone = [model.Member(one.server, one.zone, one.kind, 0, Readiness.GONE, -1.0, 0) for one in whole.values()]
        for title, kind, said in (
            ("never a list", None, []),
            ("half of it, every entry twice", ListKind.FULL, half * 2),
            ("empty", ListKind.FULL, []),
            ("all are gone", ListKind.CHANGES, gone),
            ("the truth", ListKind.FULL, list(whole.values())),
        ):
            for node in fleet.nodes if kind else ():
                fleet.event(node, Node.listed, kind, said)
            fleet.sums = {}
            fleet.run(2)
            fleet.say(title, "calls", "hops", "in time", "given up")
        self.check("fleet-trouble", fleet)
