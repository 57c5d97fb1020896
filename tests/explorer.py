"""All orders of a few events on a tiny fleet, and the ledger that checks the rules after each one.

Owns the search: a `World` drives real facades, and the real decisions below them, on a scripted clock. The `Ledger` sees what came and
what was handed out, never a field of the module. Paths are replayed, so nothing is copied; there is no chance.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from saltmoor import facade, model
from saltmoor.choice import Node
from saltmoor.model import Ended, ListKind, Readiness, Repeat

MS = 1000
READ, PUT, ONCE = 0, 1, 2
GOAL, LIMIT, WINDOW = 200 * MS, 400 * MS, 150 * MS
START = 1_000_000 * MS  # when the world begins
COLD = model.ColdStart(0.25, 10_000 * MS, 4.0, 1000 * MS)
SLACK = 5 * MS  # of the tick that carries something out
PROBE_WAIT = 20 * MS
ORIGIN = 99

Event = tuple[Any, ...]


class Broken(Exception):
    """A rule was broken; the message names it."""


def member(server: int, state: Readiness = Readiness.READY, started: int = 0, zone: int = 0) -> model.Member:
    return model.Member(server, zone, int(server == ORIGIN), 0, state, 1.0, started)


@dataclass
class Plan:
    """What may happen: each arrival in its order, each piece of news once and in any order, each end at any hop."""

    depth: int
    servers: list[model.Member]
    arrivals: list[tuple[int, int, bool]]  # profile, key, write
    ends: list[Ended]
    queues: list[float | None] = field(default_factory=lambda: [0.0])  # None: no connection
    news: list[tuple[ListKind, list[model.Member]]] = field(default_factory=list)
    odd: bool = False  # ends and answers twice, and clients that leave
    stopped: bool = False  # the process may stand still for a second
    nodes: int = 1
    processes: int = 1  # of each node; a second one starts at any moment
    rate: float = 0.0  # hops a second that each process sends, as it has learnt: by them a cold server gets some
    settings: dict[str, Any] = field(default_factory=dict)
    later: dict[str, Any] = field(default_factory=dict)  # new settings, which may come at any moment
    faulty: bool = False  # something breaks on purpose: what it was about may wait for its limit, and be remembered


def settings(changed: dict[str, Any]) -> dict[str, Any]:
    return {
        "profiles": [
            model.Profile(GOAL, LIMIT, Repeat.IDEMPOTENT),
            model.Profile(GOAL, LIMIT, Repeat.JOURNALLED, group=model.Group.ZONE, window=WINDOW),
            model.Profile(GOAL, LIMIT, Repeat.NON_IDEMPOTENT),
        ],
        "quotas": [],
        "permits": model.Permits(hops=3, copies=True, cancel=True, probes=True),
        "prices": model.Prices(),
        "cold": COLD,
        "listing": model.Listing(True, 3_000 * MS),
        "place": model.Place(),
        "origin_kind": 1,
        "columns": ["queue"],
        "tick": MS,
    } | changed


@dataclass
class Told:
    """One hop as the ledger saw it."""

    server: int
    sent: int
    process: int
    ended: Ended | None = None

    @property
    def may_have_run(self) -> bool:
        return self.ended is None or self.ended.may_have_run


class Ledger:
    """The rules, judged by what came in and what was handed out alone."""

    def __init__(self, plan: Plan, given: dict[str, Any]) -> None:
        self.plan, self.given = plan, given
        self.taken: list[tuple[int, int]] = []  # when, node
        self.further: list[tuple[int, int]] = []
        self.cold: dict[tuple[int, int, int], list[int]] = {}  # node, server, its start: hops
        self.said: list[dict[int, model.Member]] = []  # by process: the list as told
        self.drained: set[int] = set()  # called draining or, where that binds, gone at last
        self.hops: dict[int, list[Told]] = {}
        self.finals: dict[int, str] = {}
        self.txs: dict[int, tuple[int, int, int]] = {}  # profile, limit, process

    def node(self, process: int) -> int:
        return process // self.plan.processes

    def came(self, now: int, tx: int, profile: int, process: int) -> None:
        self.txs[tx], self.hops[tx] = (profile, now + LIMIT, process), []
        self.taken.append((now, self.node(process)))

    def heard(self, process: int, kind: ListKind, members: list[model.Member]) -> None:
        if kind is ListKind.FULL:
            self.said[process] = {}
        self.said[process] |= {one.server: one for one in members}
        for one in members:
            (self.drained.add if one.readiness is Readiness.DRAINING else self.drained.discard)(one.server)

    def sent(self, now: int, tx: int, server: int) -> None:
        profile_at, limit, process = self.txs[tx]
        profile, permits, hops = self.given["profiles"][profile_at], self.given["permits"], self.hops[tx]
        if tx in self.finals:
            raise Broken("1: sent after the final answer")
        line = self.said[process].get(server)
        soft = self.given["listing"].soft and server not in self.drained
        if not soft and (line is None or line.readiness is not Readiness.READY):
            raise Broken("3: sent to what the list has as draining or gone")
        ran = [hop for hop in hops if hop.may_have_run]
        if ran and profile.repeat is Repeat.NON_IDEMPOTENT:
            raise Broken("2: a non-idempotent one sent again that may have run")
        if ran and profile.repeat is Repeat.JOURNALLED:
            if now >= ran[0].sent + profile.window:
                raise Broken("2: a journalled one sent again past its window")
            said = self.said[process]
            if any(line and said[hop.server].zone != line.zone for hop in ran if hop.server in said):
                raise Broken("2: a journalled one sent again outside its group")
        if len(hops) >= permits.hops or (not permits.copies and any(hop.ended is None for hop in hops)):
            raise Broken("5: more hops, or copies, than are permitted")
        if hops and hops[-1].ended is not Ended.MISS:
            self.further.append((now, self.node(process)))
        self.budget(now, self.node(process))
        cold = self.given["cold"]
        if line and line.started and max(0, now - line.started) < cold.warm_after:
            # Two saved hops a node, and next to nothing that adds up: so little is sent in a tiny fleet.
            times = self.cold.setdefault((self.node(process), server, line.started), [])
            times.append(now)
            if sum(one > now - cold.window for one in times) > 2:
                raise Broken("4: a cold server gets more than a node may send it")
        hops.append(Told(server, now, process))

    def budget(self, now: int, node: int) -> None:
        if budget := self.given.get("budget"):
            edge = now - budget.window
            further = sum(at >= edge and of == node for at, of in self.further)
            taken = sum(at > edge and of == node for at, of in self.taken)
            if further > budget.free + budget.share * taken + 1e-9:
                raise Broken("5: more further hops in a window than the budget")

    def answered(self, now: int, tx: int, how: str, due: int) -> None:
        """`due`: the last moment at which this process could act, where it stood still."""
        profile, limit, _ = self.txs[tx]
        if tx in self.finals:
            raise Broken("1: answered twice")
        if now > max(limit, due) + SLACK:
            raise Broken("1: answered after the hard limit")
        ran = any(hop.may_have_run for hop in self.hops[tx])
        if how == "RollBack" and ran and self.given["profiles"][profile].repeat is not Repeat.IDEMPOTENT:
            raise Broken("2: told that trying again is harmless, and it may have run")
        self.finals[tx] = how

    def still(self, now: int, busy: bool) -> None:
        """No transaction stays open past its limit, nor while nothing is out that could end it."""
        left = [tx for tx in self.txs if tx not in self.finals]
        if any(self.txs[tx][1] + SLACK < now for tx in left):
            raise Broken("1: a transaction without its answer after the hard limit")
        if left and not busy:
            raise Broken("1: a transaction kept waiting with nothing out for it")


class World:
    """One path: events are applied one by one; `pending` tells what may come next."""

    def __init__(self, plan: Plan) -> None:
        self.fixed = {"origin_kind": 1 if any(one.server == ORIGIN for one in plan.servers) else None} | plan.settings
        self.plan, self.now, self.given = plan, START, settings(self.fixed)
        self.ledger = Ledger(plan, self.given)
        self.doors: list[facade.Facade] = []
        self.watches: list[facade.Watch | None] = []
        self.txs: dict[int, tuple[facade.Tx, facade.Facade]] = {}
        self.hops: list[tuple[int, facade.Send, facade.Facade]] = []  # that are out
        self.probes: list[tuple[facade.Probe, facade.Facade]] = []
        self.last_end: tuple[facade.Send, facade.Facade] | None = None
        self.last_probe: tuple[facade.Probe, facade.Facade] | None = None
        self.news, self.arrivals, self.logged = list(plan.news), list(plan.arrivals), []
        self.stood = self.changed = self.odd_ones = 0
        self.number = self.due = 0
        for _ in range(plan.nodes):
            self.start(1.0)

    def start(self, part: float) -> None:
        node = Node(len(self.doors) + 1, self.now, **self.given)
        node.rate = self.plan.rate
        self.ledger.said.append({})
        self.ledger.heard(len(self.doors), ListKind.FULL, self.plan.servers)
        options = {"part": part} if part < 1 else {}
        door = facade.Facade(
            node,
            self.plan.servers,
            columns=["queue"],
            clock=lambda: self.now,
            nudge=lambda: None,
            log=self.logged.append,
            **options,
        )
        self.doors.append(door)
        self.watches.append(None)
        self.run(door)

    # What may come next, and its coming.

    def pending(self) -> Iterator[Event]:
        if self.arrivals:
            for process in range(len(self.doors)):
                yield "come", process
        for i, (tx, hop, _) in enumerate(self.hops):
            for how in self.plan.ends:
                if how is not Ended.MISS or not (hop.origin or hop.tx.write):
                    yield "hop", i, how
        for i in range(len(self.probes)):
            for queue in self.plan.queues:
                yield "probe", i, queue
        for i in range(len(self.news)):
            yield "news", i
        yield ("due",)
        if self.plan.stopped and self.stood < 1:
            yield ("stopped",)
        if self.plan.later and not self.changed:
            yield ("settings",)
        if len(self.doors) < self.plan.nodes * self.plan.processes:
            yield ("second process",)
        if self.plan.odd and self.odd_ones < 2:
            if self.last_end:
                for how in (Ended.COMMITTED, Ended.RESET):
                    yield "hop again", how
            if self.last_probe:
                yield "probe again", 5.0
                yield "probe again", None
            for number, (tx, _) in self.txs.items():
                if not tx.over:
                    yield "leave", number

    def apply(self, event: Event) -> None:
        name, *said = event
        match name:
            case "come":
                self.come(*self.arrivals.pop(0), said[0])
            case "hop":
                self.hop_ends(*said)
            case "probe":
                self.probe_ends(*said)
            case "news":
                kind, members = self.news.pop(said[0])
                for process, door in enumerate(self.doors):
                    self.ledger.heard(process, kind, members)
                    door.report(self.watches[process], kind, members=members)
            case "due":
                self.now = max(self.now + 1, min(door.again for door in self.doors))
            case "stopped":
                self.stood += 1
                self.due = self.now = self.now + 1_000 * MS
            case "settings":
                self.changed += 1
                for door in self.doors:
                    door.configure(settings(self.fixed | self.plan.later), ["queue"])
            case "second process":
                self.doors[0].share(0.5)
                self.start(0.5)
            case "hop again":
                self.odd_ones += 1
                hop, door = self.last_end
                door.report(hop, said[0])
            case "probe again":
                self.odd_ones += 1
                probe, door = self.last_probe
                self.tell(door, probe, said[0])
            case "leave":
                self.odd_ones += 1
                tx, door = self.txs[said[0]]
                self.ledger.finals[said[0]] = "left"
                door.leave(tx)
        for door in self.doors:
            self.run(door)
        self.check()

    def outlive(self) -> None:
        """Time goes on past every limit: all is answered by then, and the periodic work still comes."""
        end = self.now + LIMIT + 600 * MS
        while self.now < end:
            self.apply(("due",))
        if any(door.again > self.now + 300 * MS for door in self.doors):
            raise Broken("the periodic work comes no more")

    def come(self, profile: int, key: int, write: bool, process: int) -> None:
        self.number += 1
        door = self.doors[process]
        tx = facade.Tx(profile, None, key, self.now + LIMIT, write)
        self.txs[self.number] = tx, door
        self.ledger.came(self.now, self.number, profile, process)
        picking = door.pick(tx)
        try:
            picking.send(None)
        except StopIteration as step:
            tx.steps.appendleft(step.value)
        picking.close()
        self.collect()

    def hop_ends(self, i: int, how: Ended) -> None:
        number, hop, door = self.hops.pop(i)
        told = next(one for one in self.ledger.hops[number] if one.ended is None and one.server == hop.server)
        told.ended, self.last_end = how, (hop, door)
        door.report(hop, how, answer=b"x", note=1)
        self.collect()

    def probe_ends(self, i: int, queue: float | None) -> None:
        probe, door = self.probes.pop(i)
        self.last_probe = probe, door
        self.tell(door, probe, queue)

    def tell(self, door: facade.Facade, probe: facade.Probe, queue: float | None) -> None:
        if queue is None:
            door.report(probe, Ended.NO_CONNECTION)
        else:
            door.report(probe, Ended.COMMITTED, load={"queue": queue})

    # What is handed out.

    def run(self, door: facade.Facade) -> None:
        self.collect()
        for errand in door.tick()[0]:
            match errand:
                case facade.Probe():
                    self.probes.append((errand, door))
                case facade.Watch():
                    self.watches[self.doors.index(door)] = errand
        self.collect()

    def collect(self) -> None:
        for number, (tx, door) in self.txs.items():
            while tx.steps:
                step = tx.steps.popleft()
                if isinstance(step, facade.Send):
                    self.ledger.sent(self.now, number, step.server)
                    self.hops.append((number, step, door))
                elif self.ledger.finals.get(number) != "left":
                    self.ledger.answered(self.now, number, type(step).__name__, self.due)

    def check(self) -> None:
        if self.plan.faulty:
            self.ledger.still(self.now, True)
            return
        if faults := [line for line in self.logged if "fault" in line]:
            raise Broken(f"no exception: {faults[0]}")
        waits = [probe for probe, _ in self.probes if probe.since + PROBE_WAIT + SLACK >= self.now]
        self.ledger.still(self.now, bool(self.hops or waits))
        if all(tx.over for tx, _ in self.txs.values()) and not self.hops and not self.probes:
            for door in self.doors:
                node = door.node
                held = (
                    len(door.txs),
                    len(node.txs),
                    len(node.fetches),
                    sum(
                        map(
                            len,
                            [
                                *(one.out for one in node.servers.values()),
                                *(one.askers for one in node.servers.values()),
                            ],
                        )
                    ),
                )
                if any(held):
                    raise Broken(f"nothing is kept once all is closed: {held}")
                if not all(math.isfinite(one.others + one.delay + one.weight) for one in node.servers.values()):
                    raise Broken("figures stay finite")


def replay(plan: Plan, path: list[Event]) -> World:
    world = World(plan)
    for event in path:
        world.apply(event)
    return world


def explore(plan: Plan, depth: int | None = None) -> tuple[int, list[Event] | None, str]:
    """How many orders there are, and the shortest that breaks a rule, with the rule; none: None."""
    depth = depth or plan.depth
    tried, path, why = to_depth(plan, depth)
    for most in range(1, len(path or ())):
        shorter = to_depth(plan, most)
        if shorter[1] is not None:
            return tried, *shorter[1:]
    return tried, path, why


def to_depth(plan: Plan, most: int) -> tuple[int, list[Event] | None, str]:
    tried, stack = 0, [[]]
    while stack:
        path = stack.pop()
        try:
            world = replay(plan, path)
            while len(path) < most:  # the first that may come goes on from here, the others are replayed
                first, *others = list(world.pending())
                stack += [path + [event] for event in reversed(others)]
                path = path + [first]
                world.apply(first)
            if plan.faulty:
                world.outlive()
        except Broken as broken:
            return tried, path, str(broken)
        except Exception as error:
            return tried, path, f"no exception: {type(error).__name__}: {error}"
        tried += 1
    return tried, None, ""
