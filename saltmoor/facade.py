"""The decisions in blocking style, for code that moves bytes and for a later library.

`pick` a transaction's next step and carry it out, `report` how each hop, probe and list call ended, and call
`tick` when it asked to be called. This file owns the ids and the due times between the two sides; it decides
nothing, and nothing beyond it sees the module's events or effects.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

from saltmoor import model
from saltmoor.agenda import PERIOD
from saltmoor.choice import Node
from saltmoor.guard.checks import Target
from saltmoor.limits import shares
from saltmoor.limits.admission import Admission
from saltmoor.model import Ended, ListKind, Micros


@dataclass(slots=True, eq=False)
class Tx:
    """A transaction as its protocol took it; places in the settings' lists, None where not known."""

    profile: int
    tenant: int | None
    key: int | None
    limit: Micros
    write: bool
    again: bool = False
    id: model.TxId = 0
    hops: int = 0
    steps: deque[Step] = field(default_factory=deque)
    waiter: asyncio.Future | None = None
    over: bool = False


@dataclass(slots=True, eq=False)
class Send:
    """Send it there and wait until then; report the end whatever it is."""

    tx: Tx
    hop: int
    server: model.ServerId
    origin: bool
    until: Micros
    by: Micros  # its last byte may not be written later
    since: Micros
    told: bool = False  # how it ended
    target: Target | None = None  # what the guard has to know of its server


@dataclass(slots=True)
class Commit:
    answer: bytes
    stop: list[int] = field(default_factory=list)  # hops that nobody waits for any more


@dataclass(slots=True)
class RollBack:
    stay_away: Micros
    stop: list[int] = field(default_factory=list)
    why: model.Why = model.Why.NONE


@dataclass(slots=True)
class Abandon:
    stop: list[int] = field(default_factory=list)
    why: model.Why = model.Why.NONE


Final = Commit | RollBack | Abandon
Step = Send | Final


@dataclass(slots=True, eq=False)
class Probe:
    server: model.ServerId
    until: Micros
    since: Micros
    told: bool = False  # how it ended


@dataclass(slots=True, eq=False)
class Watch:
    """Follow the list, in place of any earlier watch; one silent for so long has failed."""

    silence: Micros


@dataclass(slots=True, eq=False)
class Close:
    """Close the connections to this server on which nothing runs."""

    server: model.ServerId


Errand = Probe | Watch | Close


class Facade:
    """One node's decisions. `nudge` is called when `tick` is wanted sooner than it last said."""

    def __init__(
        self,
        node: Node,
        known: Iterable[model.Member],
        *,
        columns: list[str],
        clock: Callable[[], Micros],
        nudge: Callable[[], None],
        log: Callable[[str], None],
        part: float = 1.0,
    ) -> None:
        self.node, self.columns, self.clock, self.nudge, self.log = node, columns, clock, nudge, log
        self.txs: dict[model.TxId, Tx] = {}
        self.count = 0
        self.errands: list[Errand] = []
        self.due: list[tuple[Micros, int]] = []
        self.limits: list[tuple[Micros, model.TxId]] = []  # of what was taken: when its answer has to be there
        self.again: Micros = 0  # when tick is to come next, as its caller knows
        self.strict = False  # cached answers may be of before a purge that was missed: reads go to the origin
        self.gate = Admission(**self._limits(), seed=node.seed[0] << 8 | node.seed[1], now=clock())
        if part < 1:  # before anything is drawn from it
            self.share(part)
        self._tell(node.listed, clock(), ListKind.REMEMBERED, list(known))
        self._settle(clock())

    def configure(self, settings: dict[str, Any], columns: list[str]) -> None:
        """New settings: what is under way keeps its own, and what was learnt stays."""
        now, self.columns = self.clock(), columns
        self.node.configure(now, **settings)
        self._tell(self.node.settle_list, now)  # what counts as cold, and as a large zone, may have changed
        self.gate.configure(now, **self._limits())
        self._settle(now)

    def _limits(self) -> dict[str, Any]:
        node = self.node
        return {
            "target": node.goal // 40,
            "revenues": [one.revenue for one in node.profiles],
            "quotas": [bucket[0] for bucket in node.quotas],
            "longest_hint": node.permits.longest_hint,
        }

    def share(self, part: float) -> None:
        """This process may use so much of what the node may do; the rest is another process's."""
        shares.part(self.node, self.gate, self.clock(), part)

    def remembered(self, members: list[model.Member]) -> None:
        """A newer list than the one it started with, from a process of the same node."""
        self._tell(self.node.listed, self.clock(), ListKind.REMEMBERED, members)
        self._settle(self.clock())

    def noted(self) -> dict[str, Any]:
        """What is worth remembering over a restart; the list apart, which is its owner's."""
        from saltmoor.state import kinds  # only where it is switched on

        return kinds.take(self.node, self.gate, self.clock())

    def recall(self, content: dict[str, Any], age: Micros | None) -> str:
        """Remember what an earlier process of this node noted; what of it counts, for the log."""
        from saltmoor.state import kinds

        told = kinds.give(self.node, self.gate, content, self.clock(), age)
        self._settle(self.clock())
        return " ".join(f"{kind}={count}" for kind, count in told.items()) or "nothing"

    def members(self) -> list[model.Member]:
        """The cache servers and origins that are to be used, as last heard."""
        return [
            model.Member(one.id, one.zone, one.kind, one.cell, model.Readiness.READY, one.size, one.started)
            for one in self.node.servers.values()
            if one.ready
        ]

    def turned_away(
        self, profile: int, tenant: int | None, again: bool, waited: Micros, given: Micros
    ) -> Micros | None:
        """Before anything is done for a transaction: None where it is taken, else how long to stay away.

        `waited`: how long its bytes stood unread, `given`: how long its client waits in all. Nothing was sent
        for it, so trying again is harmless whatever its profile.
        """
        gate = self.gate
        taken = gate.arrived(self.clock(), profile, tenant, again)
        if taken and (not gate.limit or 2 * waited < given):
            return None
        return gate.hint()

    def hint(self) -> Micros:
        """How long a client that is refused is to stay away; 0 where the settings allow no such word."""
        return self.gate.hint()

    def ran(self, late: Micros, passed: Micros) -> float | None:
        """The loop has run what was due, so late, so long after the last time; how many commands more may be
        read until the next time, None where there is no limit."""
        if line := self.gate.ran(self.clock(), late):
            self.log(line)
        return self.gate.reads(passed) if self.gate.limit else None

    def arrive(self, tx: Tx) -> None:
        """Take it on, under the settings that it was read with: at once, as a reload may come before it is picked."""
        if tx.id or tx.over:
            return
        self.count += 1
        tx.id = self.count
        self.txs[tx.id] = tx
        now = self.clock()
        heappush(self.limits, (max(tx.limit, now + 2), tx.id))  # not before the module could
        came = model.Arrival(
            tx.id,
            tx.profile,
            tx.tenant,
            tx.key,
            tx.limit,
            again=tx.again,
            # To the origin as writes go there: within its room, behind no fetch begun before.
            write=tx.write or self.strict and self.node.origin_kind is not None,
        )
        if self._tell(self.node.arrived, now, came):
            self._settle(now)
        else:
            self._give_up(now, tx)

    async def pick(self, tx: Tx) -> Step:
        """The next step of this transaction; waits until there is one. After a final one there is none."""
        self.arrive(tx)
        while not tx.steps:
            tx.waiter = asyncio.get_running_loop().create_future()
            await tx.waiter
        return tx.steps.popleft()

    def leave(self, tx: Tx) -> None:
        """The client has gone; nothing is owed any more."""
        if tx.over:
            return
        if not tx.id:  # before its first step: the module never hears of it
            tx.over = True
            self._hand(tx, Abandon())
            return
        self._tell(self.node.out_of_hands, self.clock(), tx.id)
        self._settle(self.clock(), {tx.id: Abandon()})

    def purged(self, key: int | None) -> list[Any]:
        """What is being fetched of that key, of any where it is None, may be the value of before: nobody joins such a
        fetch from now on. Returns who waited for one; the caller hands them to `anew`, some at a time.

        Guards against a fetch that began before a purge and is passed on behind it.
        """
        node, waited = self.node, []
        keys = [one for one in (list(node.fetches) if key is None else [key]) if one in node.fetches]
        for one in keys:
            waited += node.fetches.pop(one)
        for tx in node.txs.values() if keys else ():
            if tx.leads and key in (None, tx.key):
                tx.leads = False
        return waited

    def anew(self, waited: list[Any]) -> None:
        """They ask as if they had just come, and the first that misses fetches anew."""
        now = self.clock()
        for tx in waited:
            self._tell(self.node.feed, now, tx, model.In.FETCHED)
        self._settle(now)

    def end_all(self) -> None:
        """The process ends: what is open gets its final answer now, as if its deadline had come."""
        self.end(list(self.txs.values()))

    def end(self, requests: list[Tx]) -> None:
        """These get their final answer now, as if their deadline had come."""
        now = self.clock()
        for tx in requests:
            if tx.id in self.node.txs:
                self._tell(self.node.feed, now, self.node.txs[tx.id], model.In.LIMIT)
        self._settle(now)
        for tx in requests:  # a fault kept it
            if tx.id in self.txs:
                self._give_up(now, tx)

    def report(
        self,
        what: Send | Errand,
        how: Ended | ListKind,
        *,
        answer: bytes = b"",
        note: int = 0,
        load: dict[str, float] | None = None,
        members: Iterable[model.Member] = (),
        copy: model.ServerId | None = None,
    ) -> None:
        """How a hop, a probe or a list call ended; a watch reports each piece of news it brings."""
        if not isinstance(what, Watch):
            if what.told:  # each has one end, whoever tells it
                return
            what.told = True
        now = self.clock()
        finals: dict[model.TxId, Final] = {}
        figures = tuple(load[name] for name in self.columns if name in load) if load else ()
        if len(figures) < len(self.columns):
            figures = ()
        match what:
            case Send(tx=tx):
                if how is Ended.CANCELLED and now >= what.until:
                    how = Ended.TIMED_OUT  # stopped because its time was over: that is a lesson on its server
                if how is Ended.COMMITTED and not tx.over:
                    finals[tx.id] = Commit(answer)
                closed = tx.over or how is Ended.COMMITTED
                end = model.HopEnd(tx.id, what.hop, what.server, how, now - what.since, closed, note, figures, copy)
                if not self._tell(self.node.hop_ended, now, end) and not closed:
                    self._give_up(now, tx)
            case Probe():
                self._tell(self.node.probed, now, what.server, how, now - what.since, figures)
            case Watch():
                self._tell(self.node.listed, now, how, list(members))
        self._settle(now, finals)

    def tick(self) -> tuple[list[Errand], Micros]:
        """Run what is due; the errands that came up since the last call, and when to come again."""
        now = self.clock()
        while self.due and self.due[0][0] <= now:
            self._tell(self.node.woken, now, heappop(self.due)[1])
        self._settle(now)
        self._answer_all(now)
        errands, self.errands = self.errands, []
        self.again = min([now + PERIOD, *(times[0][0] for times in (self.due, self.limits) if times)])
        return errands, self.again

    def _tell(self, call: Callable[..., None], *what: Any) -> bool:
        """Guards against a fault in the decisions that takes more with it than what it was about."""
        try:
            call(*what)
            return True
        except Exception as error:
            self.log(f"fault in the decisions: {call.__name__}: {type(error).__name__}: {error}")
            return False

    def _give_up(self, now: Micros, tx: Tx, final: Final | None = None) -> None:
        """Nobody knows how far a fault let it be taken: it is answered now, and the decisions hear that it is over.

        Guards against hops that they go on sending for what has its answer.
        """
        self._tell(self.node.out_of_hands, now, tx.id)
        self._settle(now, {tx.id: final or Abandon()})

    def _answer_all(self, now: Micros) -> None:
        """Guards against a transaction that a fault left half-moved: it waits for its hard limit at the latest."""
        while self.limits and self.limits[0][0] <= now:
            tx = self.txs.get(heappop(self.limits)[1])
            if tx is None:
                continue
            self.log(f"fault: not answered by its hard limit: hops={tx.hops}")
            self._give_up(now, tx, None if tx.hops else RollBack(self.gate.hint()))

    def _settle(self, now: Micros, finals: dict[model.TxId, Final] | None = None) -> None:
        """Hand what the module decided to whoever waits for it."""
        finals = finals or {}
        stops: list[model.Cancel] = []
        self.node.settle(now)
        effects, self.node.effects = self.node.effects, []  # carried out once, whatever happens
        if not effects and not finals:
            return
        for effect in effects:
            match effect:
                case model.Send(tx_id, server, until, by):
                    tx, known = self.txs.get(tx_id), self.node.servers[server]
                    if tx is None:  # guards the effects behind it, timers among them
                        self.log(f"fault: a hop for what is over, to {known.name}: not sent")
                        continue
                    origin = known.kind == self.node.origin_kind
                    rate = None if origin else self.node.cold_rate(known, now)
                    target = Target(server, known.zone, known.cell, rate)
                    self._hand(tx, Send(tx, tx.hops, server, origin, until, by or until, now, target=target))
                    tx.hops += 1
                case model.RollBack(tx_id, stay_away, why):
                    finals[tx_id] = RollBack(stay_away, why=why)
                case model.Abandon(tx_id, why):
                    finals[tx_id] = Abandon(why=why)
                case model.Cancel():
                    stops.append(effect)
                case model.Probe(server, until):
                    self.errands.append(Probe(server, until, now))
                case model.CloseIdle(server):
                    self.errands.append(Close(server))
                case model.WatchList(silence=silence):
                    self.errands.append(Watch(silence))
                case model.Wake(at, token):
                    heappush(self.due, (at, token))
                case model.Log(line):
                    self.log(line)
        for tx_id, final in finals.items():
            final.stop = [one.hop for one in stops if one.tx == tx_id]
            if (tx := self.txs.pop(tx_id, None)) is None:
                continue
            tx.over = True
            self._hand(tx, final)
        if self.errands or (self.due and self.due[0][0] < self.again):
            self.nudge()

    def _hand(self, tx: Tx, step: Step) -> None:
        tx.steps.append(step)
        if tx.waiter and not tx.waiter.done():
            tx.waiter.set_result(None)
