"""Owns one scripted row from start to end: members at sites, changes given, an event, what was counted.

What differs between mechanisms is a `Way`; `Gossip` is today's: each member's shared table, told round and compared.
It must never read the machine's clock but for the members' own processor time.
"""

from __future__ import annotations

import asyncio
import gc
from random import Random
from typing import Any

import msgspec

from saltmoor.lab import scale_rows as rows
from saltmoor.lab.scale_clock import SITES, Network, Place, ScriptedLoop
from saltmoor.lab.scale_hollow import CONTROL, Hollow
from saltmoor.peers.members import State
from saltmoor.replica.anti_entropy import Phase
from saltmoor.replica.entries import Entry

FLEET = 480  # nodes of the operators' plan; smaller sizes get their part of the day's events
DAY_S = 86_400
ZONES, RACK = 8, 1  # zones of the plan: every eighth site is one's; the site whose rack fails
FAILURES, RESTARTS = 2, 160  # machines and processes, on an ordinary day
AWAY_S = 1.0  # that a restarted process is away, on the script's compressed day
KEPT_S = 600.0  # for so long today's table keeps a change
CUT_S = 600.0  # that a region is cut off for, as planned
HEAL_S = 20.0
BODY = 40  # bytes of a change beside its key: a purge's, with room for a set's name
WARM_S = 2.0  # until the count begins
TAIL_S = 6.0  # that changes are waited for after the span, at most
EVENTS = ("", "aged", "day", "relay", "silent", "writer", "rack", "zone", "cut", "start", "rebuild")
ANEW = ("start", "rebuild")  # all begin in one instant; with `rebuild` the control machines too, without memory


class Plan(msgspec.Struct, frozen=True):
    """`event`: one of EVENTS; `aged`: the table begins with what ten minutes at that rate have left.

    Seconds are the script's. `compress`: so much longer is what an event stands for.
    """

    members: int
    rate: float
    event: str = ""
    span_s: float = 20.0
    seed: int = 1
    loss: float = 0.0

    @property
    def compress(self) -> float:
        return DAY_S / self.span_s if self.event == "day" else CUT_S / self.cut_s if self.event == "cut" else 1

    @property
    def cut_s(self) -> float:
        """How long the script's cut lasts; what is left of the span is for catching up."""
        return max(self.span_s / 2, self.span_s - HEAL_S)

    @property
    def given_per_s(self) -> float:
        """Changes while they are given: those of the ten minutes come in the shorter time that the script takes."""
        return self.rate * (self.compress if self.event == "cut" else 1)


class Board:
    """Who has which change since when, told by the members' own code."""

    def __init__(self, loop: ScriptedLoop, receivers: list[str]) -> None:
        self.loop, self.receivers = loop, set(receivers)
        self.given: list[float] = []
        self.seen: dict[str, dict[int, float]] = {}
        self.began: dict[str, float] = {}  # the process that is there now
        self.doubled = 0

    def start(self, name: str) -> None:
        if name in self.receivers:
            self.seen[name], self.began[name] = {}, self.loop.seconds

    def stop(self, name: str) -> None:
        self.began.pop(name, None)

    def give(self, name: str) -> int:
        self.given.append(self.loop.seconds)
        return len(self.given) - 1

    def has(self, name: str, change: int) -> None:
        if name in self.began and change not in self.seen[name]:
            self.seen[name][change] = self.loop.seconds

    def whole(self) -> bool:
        """Whether all that are there have all that was given."""
        return all(len(self.seen[name]) == len(self.given) for name in self.began)

    def spread(self, names: set[str] | None = None) -> rows.Spread:
        times, missed = [], 0
        for name, began in self.began.items():
            if names is not None and name not in names:
                continue
            for change, at in enumerate(self.given):
                if began <= at:
                    if (seen := self.seen[name].get(change)) is None:
                        missed += 1
                    else:
                        times.append(seen - at)
        return rows.spread(len(self.given), times, missed)

    def caught(self, since: float) -> list[float]:
        """Seconds that each process which began after that needed for all that was given before it began."""
        took = []
        for name, began in self.began.items():
            if began > since:
                seen = [self.seen[name].get(change, float("inf")) for change, at in enumerate(self.given) if at < began]
                took.append(max([began, *seen]) - began)
        return took


class Way:
    """How changes come to all. One is made for a run; its members are named as the town names them."""

    name = ""

    def __init__(self, town: Town) -> None:
        self.town, self.spent_before = town, {}
        self.seeds = tuple(f"{host}:{port}" for host, port in (town.where(f"c{i}") for i in range(3)))

    def begin(self) -> None:
        """All members are there and have been for long."""
        raise NotImplementedError

    async def ready(self) -> None:
        """What has to be there before all begin in one instant."""

    def level(self) -> bool:
        """Whether every member has all that there is to have."""
        raise NotImplementedError

    def start(self, name: str) -> None:
        """A process begins under that name and knows nothing."""
        raise NotImplementedError

    def stop(self, name: str, how: str) -> None:
        """`how`: end (as asked), kill (the process is gone, its kernel closes what it had), fail (the machine is)."""
        raise NotImplementedError

    def give(self, name: str, change: int) -> None:
        raise NotImplementedError

    def spent(self, name: str) -> int:
        """Nanoseconds of processor time so far."""
        raise NotImplementedError

    def state(self, name: str) -> int:
        raise NotImplementedError

    def pulls(self, name: str) -> int:
        raise NotImplementedError

    def end(self) -> None:
        """All processes are gone."""
        for name in self.town.names:
            self.stop(name, "kill")

    def role(self, name: str) -> str:
        return "control" if name[0] == "c" else "node"

    def writer(self) -> str:
        """The control machine that holds the lease."""
        raise NotImplementedError

    def busiest(self) -> str:
        """The relay that hands on to the most; empty where there are none."""
        return ""

    def figures(self) -> dict[str, float | None]:
        return {}


class Gossip(Way):
    """Today's: `net/peers/`, its table and its comparisons; five members vote on a lease."""

    name = "peers"

    def __init__(self, town: Town) -> None:
        super().__init__(town)
        self.members: dict[str, Hollow] = {}
        self.starts: dict[str, int] = {}
        self.gone = 0  # pulls of processes that have ended

    def make(self, name: str) -> Hollow:
        town = self.town
        self.starts[name] = starts = self.starts.get(name, -1) + 1
        one = Hollow(town.network, name, town.where(name), town.place(name), self.seeds, town.names.index(name), starts)
        one.took = lambda item: town.board.has(name, int(item.key)) if item.kind == "change" and item.version else None
        if name[0] == "c":
            one.vote(tuple(f"c{i}" for i in range(CONTROL)))
        self.members[name] = one
        town.board.start(name)
        return one

    def begin(self) -> None:
        town = self.town
        for name in town.names:
            self.make(name)
        if town.plan.event not in ANEW:
            count = int(min(KEPT_S * town.plan.rate, 5_000)) if town.plan.event == "aged" else 0
            old = [Entry.made("change", f"old{i}", 0, b"\0" * BODY) for i in range(count)]
            for one in self.members.values():
                one.store.hear = lambda item: None
                for i, item in enumerate(old):
                    item.age = int(KEPT_S * 1e6 * (count - i) / (count + 1))
                    one.store.put(town.loop.micros(), item)
                one.store.hear = one.gossip.is_new
            everyone = list(self.members.values())
            for one in everyone:
                one.knows(everyone, town.loop.micros())
        for one in self.members.values():
            one.begin()

    def start(self, name: str) -> None:
        self.make(name).begin()

    def stop(self, name: str, how: str) -> None:
        one = self.members[name]
        if one.ended:
            return
        self.gone += one.schedule.pulls
        if how == "end":
            one.end()
        else:
            one.crash()
        self.town.board.stop(name)

    def give(self, name: str, change: int) -> None:
        one = self.members[name]
        item = Entry.made("change", str(change), 1, change.to_bytes(BODY, "big"))
        one.spent.of(one.store.put, self.town.loop.micros(), item)
        self.town.board.has(name, change)

    def spent(self, name: str) -> int:
        return self.members[name].spent.ns

    def state(self, name: str) -> int:
        """As the store counts it, and a member as its kept slots and texts take on this interpreter."""
        one = self.members[name]
        return one.store.bytes + MEMBER * len(one.members.others) + KNOWN * len(one.schedule.peers)

    def pulls(self, name: str) -> int:
        return self.members[name].schedule.pulls

    def writer(self) -> str:
        now = self.town.loop.micros()
        return next(
            (
                name
                for name, one in self.members.items()
                if one.duties and any(claim.owns(now) for claim in one.duties.claims.values())
            ),
            "c0",
        )

    def level(self) -> bool:
        """And whether it knows every other."""
        count = len(self.members)
        return all(
            len(one.members.others) == count - 1 and one.schedule.phase is Phase.LEVEL for one in self.members.values()
        )

    def figures(self) -> dict[str, float | None]:
        there = [one for one in self.members.values() if not one.ended]
        names = {one.name for one in there}
        wrong = sum(
            other.state is State.DEAD and other.name in names for one in there for other in one.members.others.values()
        )
        return {
            "busy": float(sum(one.messenger.traffic.dropped.get("busy", 0) for one in self.members.values())),
            "held_dead_wrongly": float(wrong),
            "known_least": float(min(sum(o.there for o in one.members.others.values()) + 1 for one in there)),
            "writers": float(
                sum(
                    bool(one.duties) and any(c.owns(self.town.loop.micros()) for c in one.duties.claims.values())
                    for one in there
                )
            ),
        }


MEMBER, KNOWN = 420, 260  # bytes, by sys.getsizeof of one with its texts and its place in the table


class Town:
    """`count` nodes and the control machines, on a network of sites."""

    def __init__(self, plan: Plan, way: type[Way], loop: ScriptedLoop) -> None:
        self.plan, self.loop = plan, loop
        self.rng = Random(f"{way.name} {plan.members} {plan.rate} {plan.event} {plan.seed}")
        self.network = Network(loop, plan.seed, plan.loss)
        self.killed = ""
        self.names = [f"c{i}" for i in range(CONTROL)] + [f"n{i}" for i in range(plan.members)]
        self.nodes = self.names[CONTROL:]
        self.board = Board(loop, self.names if way is Gossip else self.nodes)
        self.figures: dict[str, float | None] = {}
        self.way = way(self)

    def place(self, name: str) -> Place:
        """Nodes at the sites in turn; control machines at sites of all regions."""
        return Place.of((int(name[1:]) * 7 if name[0] == "c" else int(name[1:])) % SITES)

    def where(self, name: str) -> tuple[str, int]:
        number = int(name[1:])
        return f"10.{200 if name[0] == 'c' else number // 200}.{number % 200}.1", 7000

    async def play(self) -> rows.Row:
        plan, way = self.plan, self.way
        way.begin()
        await way.ready()
        if plan.event in ANEW:
            await self.wait_for("all_level_s", way.level, 60.0)
        else:
            await asyncio.sleep(WARM_S)
        gc.collect()
        gc.freeze()  # so that no member's processor time has the collection of all others' tables in it
        self.network.count_anew()
        spent = {name: way.spent(name) for name in self.names}
        pulls = {name: way.pulls(name) for name in self.names}
        begun = self.loop.seconds
        self.restarted: set[str] = set()
        tasks = [asyncio.create_task(self.giving(begun)), asyncio.create_task(self.event(begun))]
        await asyncio.sleep(plan.span_s)
        traffic = dict(self.network.traffic)
        self.network.count_anew()
        roles: dict[str, list[str]] = {}
        for name in self.names:
            roles.setdefault(way.role(name), []).append(name)
        if "relay" in roles:
            roles["fleet"] = self.nodes  # relays are nodes of the site: the mean over all
        made = {role: self.role(names, traffic, spent, pulls) for role, names in roles.items()}
        await asyncio.gather(*tasks)
        end = self.loop.seconds + TAIL_S
        while self.loop.seconds < end and not self.board.whole():
            await asyncio.sleep(0.1)
        self.measure(begun)
        self.figures |= way.figures()
        return rows.Row(
            "scripted",
            way.name,
            plan.event,
            plan.members,
            plan.rate,
            plan.seed,
            plan.span_s,
            made,
            self.board.spread(),
            {name: value if value is None else round(value, 4) for name, value in self.figures.items()},
        )

    def role(self, names: list[str], traffic: dict, spent: dict[str, int], pulls: dict[str, int]) -> rows.Role:
        span, way, count = self.plan.span_s, self.way, len(names)
        all_ = [traffic[self.where(name)] for name in names]
        # A process that began meanwhile began at none.
        cores = [
            max(0, way.spent(name) - (0 if name in self.restarted else spent[name])) / span / 1e9 for name in names
        ]
        pulled = [max(0, way.pulls(name) - (0 if name in self.restarted else pulls[name])) for name in names]

        def mean(values: Any) -> float:
            return round(sum(values) / count / span, 2)

        return rows.Role(
            count,
            mean(one.total for one in all_),
            round(max(one.total for one in all_) / span, 1),
            mean(one.udp_out for one in all_),
            mean(one.udp_in for one in all_),
            mean(one.tcp_out for one in all_),
            mean(one.tcp_in for one in all_),
            mean(one.messages for one in all_),
            round(sum(pulled) / count / span, 4),
            round(sum(cores) / count, 5),
            round(max(cores), 5),
            round(sum(way.state(name) for name in names) / count),
        )

    async def giving(self, begun: float) -> None:
        """Changes at an even rate, each at some node that is there."""
        plan = self.plan
        if not plan.rate:
            return
        rate, stop = plan.given_per_s, plan.cut_s if plan.event == "cut" else plan.span_s
        for i in range(int(stop * rate)):
            await asyncio.sleep(max(0.0, begun + i / rate - self.loop.seconds))
            names = [name for name in self.nodes if name in self.board.began and self.reached(name)]
            name = names[int(self.rng.random() * len(names))]
            self.way.give(name, self.board.give(name))

    def reached(self, name: str) -> bool:
        """A region that is cut off takes no changes."""
        return self.place(name).region not in self.network.cut

    async def event(self, begun: float) -> None:
        match self.plan.event:
            case "day":
                await self.day(begun)
            case "cut":
                await self.cut()
            case "writer" | "rack" | "zone":
                await self.fail_many()
            case "relay" | "silent":
                await self.kill_relay()

    async def day(self, begun: float) -> None:
        """An ordinary day's restarts and failures in the run's span; a failed machine stays away."""
        plan, part = self.plan, self.plan.members / FLEET
        count, dead = max(1, round(RESTARTS * part)), max(1, round(FAILURES * part))
        names = self.rng.sample(self.nodes, min(len(self.nodes), count + dead))
        due = sorted([(self.rng.random() * plan.span_s * 0.9, name, i < dead) for i, name in enumerate(names)])
        self.figures |= {"restarts": float(len(names) - dead), "failures": float(dead), "compressed": plan.compress}
        tasks = []
        for at, name, fails in due:
            await asyncio.sleep(max(0.0, begun + at - self.loop.seconds))
            tasks.append(asyncio.create_task(self.restart(name, fails)))
        await asyncio.gather(*tasks)

    async def restart(self, name: str, fails: bool) -> None:
        self.way.stop(name, "fail" if fails else "end")
        if not fails:
            await asyncio.sleep(AWAY_S)
            self.restarted.add(name)
            self.way.start(name)

    async def cut(self) -> None:
        """One region reaches only itself, for as long as changes are given; then all is healed at once."""
        self.network.cut = {2}
        await asyncio.sleep(self.plan.cut_s)
        self.network.cut = set()
        healed = self.loop.seconds
        away = [name for name in self.nodes if self.place(name).region == 2]
        total = len(self.board.given)
        self.figures["compressed"] = self.plan.compress
        self.figures["changes_missed_meanwhile"] = float(total)
        await self.wait_for(
            "caught_up_s",
            lambda: all(len(self.board.seen[name]) >= total for name in away if name in self.board.began),
            60.0,
            healed,
        )

    async def fail_many(self) -> None:
        """In the middle of the run: who writes is killed; a site's nodes fail without a word; or all machines of the
        zone do in which who writes is."""
        await asyncio.sleep(self.plan.span_s / 2)
        writer = self.way.writer()
        struck = (
            [writer]
            if self.plan.event == "writer"
            else [
                name
                for name in self.names
                if name in self.board.began or name[0] == "c"
                if (
                    self.place(name).site == RACK
                    if self.plan.event == "rack"
                    else self.place(name).site % ZONES == self.place(writer).site % ZONES
                )
            ]
        )
        for name in struck:
            self.way.stop(name, "kill" if self.plan.event == "writer" else "fail")
        self.figures["struck"] = float(len(struck))
        self.figures["control_struck"] = float(sum(name[0] == "c" for name in struck))

    async def kill_relay(self) -> None:
        """A relay is killed in the middle of the run."""
        await asyncio.sleep(self.plan.span_s / 2)
        name = self.way.busiest()
        if name:
            self.killed = name
            self.way.stop(name, "fail" if self.plan.event == "silent" else "kill")

    async def wait_for(self, what: str, true: Any, most: float, since: float | None = None) -> None:
        since = self.loop.seconds if since is None else since
        while self.loop.seconds - since < most:
            if true():
                self.figures[what] = self.loop.seconds - since
                return
            await asyncio.sleep(0.02)
        self.figures[what] = None

    def measure(self, begun: float) -> None:
        plan = self.plan
        if plan.event == "day":
            took = sorted(self.board.caught(begun))
            self.figures["restart_caught_up_p50_s"] = rows.exact(took, 0.5)
            self.figures["restart_caught_up_worst_s"] = None if not took or took[-1] == float("inf") else took[-1]
        if plan.event in ("relay", "silent") and self.killed:
            site = self.place(self.killed).site
            near = {name for name in self.nodes if self.place(name).site == site}
            self.figures["site_worst_s"] = self.board.spread(near).worst_s
            self.figures["others_worst_s"] = self.board.spread(set(self.nodes) - near).worst_s


def play(plan: Plan, way: type[Way]) -> rows.Row:
    """One row; its own loop and clock."""

    async def whole() -> rows.Row:
        town = Town(plan, way, loop)
        try:
            return await town.play()
        finally:
            town.way.end()
            gc.unfreeze()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

    with asyncio.Runner(loop_factory=ScriptedLoop) as runner:
        loop = runner.get_loop()
        return runner.run(whole())
