"""Every decision of a saltmoor node; docs/design.md explains them, saltmoor/model.py is the interface.

A `Node` is made with its settings as separate arguments. Its owner calls one method an event (arrived,
hop_ended, probed, listed, woken, out_of_hands), then `settle` once after a batch, and carries out
`Node.effects` in order. Nothing here reads a clock, a socket or another node.
"""

from __future__ import annotations

from bisect import bisect, insort
from collections.abc import Iterator
from itertools import islice
from operator import attrgetter

from saltmoor import model
from saltmoor.agenda import PERIOD, Agenda, salt
from saltmoor.fetch_shedding import FetchShedding
from saltmoor.guard.attempts import may_attempt, may_refuse
from saltmoor.guard.retry_budget import RetryBudget
from saltmoor.guard.slow_start import warmth
from saltmoor.hops import Patience
from saltmoor.model import Ended, Hop, In, Micros, Readiness, Server, State, Tx, Why
from saltmoor.placement import Placement
from saltmoor.recovery.phase import Phase, Recovery
from saltmoor.recovery.room import Room

HELD_COLUMNS = ("held", "queue")  # the load figures that mean a queue, best first
CANDIDATES = 3  # a key's short list: the preferred cache server and two to spill over
SOFT = 0.5  # of the time left to the service goal: an expected delay under it is a short queue
LOOK = 0.06  # of the transactions does the other thing, asks or does not, so that the better one is known
WRAPPED = 1_000_000  # no queue is that long: its counter has wrapped
UNLISTED = 60_000_000  # how long a server is kept, where lists may be wrong, without being listed or heard
FETCHED, OTHERS = 2, 3  # a cache server's note: it had no copy; nor that, and another fetch of the key is out
LATE_SHARE = 0.1  # of admitted hops: above it a node turns away sooner, below it later


class Node(Agenda):
    def __init__(self, seed: int, now: Micros, **settings) -> None:
        super().__init__(seed, now)
        self.quotas, self.placement = [], Placement()
        self.configure(now, **settings)
        self.txs: dict[model.TxId, Tx] = {}
        self.servers, self.caches, self.origins = {}, [], []
        self.not_ready, self.unlisted = [], []  # servers that left the list, or that it does not name, as it came last
        self.fetches: dict[int, list[Tx]] = {}  # by key: who waits for its fetch
        self.room, self.queued = Room(self.place.nodes), []  # at the origin; who waits for it
        self.recovery, self.patience, self.retry_budget = Recovery(now), Patience(), RetryBudget()
        self.shedding = FetchShedding()
        self.refused, self.squeezed = 0.0, False  # share of connections that living servers refuse; many do
        self.usual = self.usual_held = self.fetch = 0.0  # time of a hit, the queue it met, what a miss adds
        self.hits, self.hops, self.rate = 0, 0, 0.0  # hops to caches: now, a second
        self.strict = 1.0  # turn away when the shortest queue means more than this share of the time left
        self.lost = [1 / max(1, self.place.nodes), 0.0]  # share of transactions not in time: unasked, asked
        self.part = 1.0  # of what this node may do: less while two processes of it run
        self.spare = 5.0  # hops on top of the first ones that may be spent
        self.asked_list, self.watching, self.list_tries = now, not self.listing.asked, 0
        self.watch(now)

    def configure(
        self,
        now: Micros,
        *,
        profiles: list[model.Profile],
        quotas: list[float],
        permits: model.Permits,
        prices: model.Prices,
        cold: model.ColdStart,
        listing: model.Listing,
        place: model.Place,
        origin_kind: int | None,
        columns: list[str],
        tick: Micros,
        budget: model.HopBudget | None = None,
    ) -> None:
        """Take new settings; what is under way keeps its own, and what was learnt stays."""
        self.profiles, self.permits, self.prices, self.cold = profiles, permits, prices, cold
        self.listing, self.place, self.origin_kind, self.budget = listing, place, origin_kind, budget
        self.placement.configure(place, prices, cold)
        self.dearest = max((profile.revenue for profile in profiles), default=1.0)
        self.column = next((columns.index(name) for name in HELD_COLUMNS if name in columns), None)
        self.goal = max(1_000, min((profile.goal for profile in profiles), default=1_000_000))
        self.probe_wait, self.fresh = max(2 * tick, self.goal // 10), self.goal
        self.middle = [0.0] * len(profiles)  # the time that the middle try of the profile has left
        nodes = max(1, place.nodes)  # 0: not told
        levels = [bucket[1] for bucket in self.quotas] + [1e19] * len(quotas)  # a reload fills none
        self.quotas = [[rate / nodes, min(rate / nodes, level), now] for rate, level in zip(quotas, levels)]

    def listed(self, now: Micros, kind: model.ListKind, members: list[model.Member]) -> None:
        if (failed := kind is model.ListKind.FAILED) or kind is model.ListKind.SILENT:
            # Guards against a storm of calls while the list cannot be had: back off unevenly, 1.5 s at most.
            self.watching, self.list_tries = False, self.list_tries + 1
            wait = min(self.listing.within // 3 or 10**6, 10**6, 150_000 << min(self.list_tries, 3) * failed)
            self.at(now + int(wait * (0.5 + self.chance())), self.watch)
            self.say("list-out-of-reach", True, f"tries={self.list_tries}")
            return
        if kind is not model.ListKind.REMEMBERED:
            self.watching, self.list_tries = True, 0
            self.say("list-out-of-reach", False, f"lines={len(members)}")
        if kind is not model.ListKind.CHANGES:
            named = {member.server for member in members}
            for server in self.servers.values():
                if server.id not in named:
                    self.unlist(server, now)
        for member in members:
            server = self.servers.get(member.server)
            if server is not None and self.listing.soft and member.readiness is Readiness.GONE:
                self.unlist(server, now)
                continue
            if server is None:
                server = self.servers[member.server] = Server(
                    member.server,
                    member.zone,
                    member.kind,
                    member.cell,
                    salt(member.server),
                    member.started,
                    allowed=self.first_turn(member),
                    allowed_at=now - self.cold.window // 2,
                )
            elif member.started > server.started:
                server.restart(member.started)
                server.allowed, server.allowed_at = self.first_turn(member), now - self.cold.window // 2
                self.effects.append(model.Log(f"cold {server.name}: age_ms={(now - member.started) // 1000}"))
            server.size = min(max(member.size, 1e-3), 1e6) if member.size > 0 else 1.0
            server.ready, server.unlisted = member.readiness is Readiness.READY, 0
        self.settle_list(now)

    def unlist(self, server: Server, now: Micros) -> None:
        """The list does not name it any more, or calls it gone.

        Guards, where only draining binds, against a list that is wrong: what served so far is asked before it
        is sent to, and stays while it answers. It could harm where many really go at once undrained: each
        costs a node one probe, and its keys go to their next candidates until it is forgotten.
        """
        if not self.listing.soft:
            server.ready = False
        elif server.ready and not server.unlisted:
            server.unlisted, server.wary, server.answered = now, True, min(server.answered, now - self.fresh)

    def settle_list(self, now: Micros) -> None:
        known = sorted([one for one in self.servers.values() if one.ready], key=attrgetter("id"))
        self.not_ready = [one for one in self.servers.values() if not one.ready]
        self.unlisted = [one for one in known if one.unlisted]
        self.origins = [server for server in known if server.kind == self.origin_kind]
        self.caches = [server for server in known if server.kind != self.origin_kind]
        self.placement.listed(now, self.caches)

    def watch(self, now: Micros) -> None:
        if not self.watching:
            self.asked_list = now
            self.effects.append(model.WatchList(silence=3_000_000))  # an empty line comes every 2 s

    def usable(self, server: Server, now: Micros) -> bool:
        aside = server.out_until and (now < server.out_until or server.out)  # after that one trial at a time
        lost = server.down and now < server.again_at
        return server.ready and not lost and not aside and self.within_cold_budget(server, now)

    def within_cold_budget(self, server: Server, now: Micros) -> bool:
        """Rule 4: this node's own budget of hops to a cold server, as a level that rises with time.

        Guards against a floor that counts once a node: all add up to their rates, as each starts, also
        anew, evenly between two hops. Half a window's is saved: under one hop a chance, which then lapses.
        """
        if (own := self.cold_rate(server, now)) is None:
            return True
        saved = own * self.cold.window / 2e6
        level = server.allowed + own * (now - server.allowed_at) / 1e6
        if level > 1 + saved:
            level = saved if saved >= 1 else level % 1 + (level % 1 < saved)
        server.allowed, server.allowed_at = level, now
        return level >= 1

    def cold_rate(self, server: Server, now: Micros) -> float | None:
        """How many requests a second this node may send there while it is cold; None where it is warm."""
        if (share := warmth(server, now, self.cold)) >= 1.0:
            return None
        # Half the multiple of what a warm peer gets, but where hardly one is left to measure by, no more than
        # three quarters of the multiple of what it would get were all warm. Or of this node's part of one
        # core's work, where it is told how many nodes there are, give or take three. All nodes do alike.
        usual = self.rate * server.size * min(0.5 / self.placement.capacity, 0.75 / self.placement.full_size)
        core = self.usual and self.place.nodes and 0.5e6 / self.usual / (self.place.nodes + 3)
        return self.part * self.cold.multiple * max(usual, core) * share

    def first_turn(self, member: model.Member) -> float:
        return self.chance() * self.part if member.started > 0 else 0.0

    def candidates(self, tx: Tx, now: Micros) -> Iterator[Server]:
        fit = (
            server
            for server in self.placement.in_order(tx.key)
            if server not in tx.tried and self.usable(server, now) and may_attempt(tx, server, now, self.permits)
        )
        return islice(fit, tx.reach)

    def queue(self, server: Server) -> float:
        """What the server holds: this node's own hops, known to the moment, and the others', as reported."""
        return len(server.out) + server.others

    def expected(self, server: Server, now: Micros) -> float:
        """The expected delay of a hop sent now: recent hits, scaled by the queue against theirs."""
        # No hits there lately, or ever: what this node knows of the fleet, so that it is tried.
        trust = 0.5 ** (max(0, now - server.delay_at - 2_000_000) / 2_000_000) if server.delay else 0.0
        usual = self.usual or 1.0
        delay = usual + (server.delay - usual) * trust
        held = self.usual_held + (server.usual_held - self.usual_held) * trust
        return delay * (self.queue(server) + 2) / (held + 2) + server.full

    def silent(self, server: Server, now: Micros) -> bool:
        """Once silent, a server stays so until it is asked again: no second transaction waits for it."""
        return now < server.again_at or server.mute

    def known(self, server: Server, now: Micros) -> bool:
        fresh = 0 <= server.answered > now - self.fresh
        return fresh or self.column is None or not self.permits.probes or self.silent(server, now)

    def ask(self, server: Server, tx: Tx | None, now: Micros) -> None:
        if tx and tx not in server.askers:
            server.askers[tx], tx.waits = None, tx.waits + 1
        if server.asked < 0:
            server.asked = now
            self.effects.append(model.Probe(server.id, now + self.goal // 3))
            self.at(now + self.probe_wait, self.wake_askers, server, now)

    def feed(self, now: Micros, tx: Tx, given: In | None) -> None:
        while given is not None and tx.state is not State.DONE:
            row = TABLE.get((tx.state, given)) or ANYWHERE.get(given)
            if row is None:
                return
            tx.state, effect = row
            given = effect(self, tx, now)
        # Guards against a request and its attempts, which know each other, staying when both are over.
        if tx.state is State.DONE and all(hop.ended for hop in tx.hops):
            tx.hops.clear()

    def check(self, tx: Tx, now: Micros) -> In | None:
        """Ask the preferred server's queue, or take its fresh answer."""
        tx.choice = next(self.candidates(tx, now), None)
        if tx.choice is None or (now >= tx.goal and not tx.profile.late_value):
            self.hops += not (tx.choice or tx.hops)  # it counts: where little may be sent, even less would
            return self.nobody(tx, Why.TOO_LATE if tx.choice else Why.NO_SERVER)
        soft = min(SOFT, self.strict) * (tx.goal - now) * tx.favour
        if not self.known(tx.choice, now) and self.worth_asking(tx, tx.choice, now):
            self.ask(tx.choice, tx, now)
            return None
        return In.OVER if self.silent(tx.choice, now) or self.expected(tx.choice, now) > soft else In.UNDER

    def asking_pays(self) -> bool:
        return self.lost[False] - self.lost[True] >= self.prices.probe or not self.prices.probe

    def worth_asking(self, tx: Tx, server: Server, now: Micros) -> bool:
        """Whether asking is likely enough to save this transaction, for the price of a probe.

        Guards against nodes that meet each server seldom and pay for a probe with every transaction: how many
        more are lost unasked is learnt, as one in a few does what the others do not.
        """
        slow = self.silent(server, now) or (
            self.expected(server, now) > min(1.0, self.strict) * (tx.goal - now) * tx.favour
        )
        if slow or server.wary or not self.prices.probe:
            return True
        if tx.asked is None:
            tx.asked = (self.chance() < LOOK) != self.asking_pays()
        return tx.asked

    def cost(self, tx: Tx, server: Server, picked: list[Server], now: Micros) -> float:
        """The delay that a hop there means, with what crossing is worth."""
        # A spilled read mostly finds no copy: its fetch is part of the delay that it moves to.
        warm = tx.write or self.placement.is_preferred(server, picked)
        warm = warm or self.shedding.is_stored_at(tx.key, server)
        # While fetches fail it may find nothing at all, and takes what others need to fill their copies.
        fetch = 0 if warm else self.fetch + (1 - self.shedding.taken) * 2 * (tx.goal - now)
        crossing = self.prices.crossing * self.placement.crossings(server) * (tx.goal - now)
        return self.expected(server, now) + fetch + crossing

    def poll(self, tx: Tx, now: Micros) -> In | None:
        """Ask the candidates' queues; when all have answered or fallen silent, take the shortest."""
        picked = list(self.candidates(tx, now))
        best = min(picked, default=None, key=lambda server: self.cost(tx, server, picked, now))
        unknown = [server for server in picked if not self.known(server, now)]
        if not self.asking_pays():
            unknown = [best] if best in unknown and self.worth_asking(tx, best, now) else []
        if unknown:
            for server in unknown:
                self.ask(server, tx, now)
            return None
        heard = [server for server in picked if not self.silent(server, now)]
        left = tx.goal - now
        tx.choice = min(heard, default=None, key=lambda server: self.cost(tx, server, picked, now))
        # Guards against a jam that outlives its cause: where nothing is sent nothing is learnt, so no idle
        # server is held to be too slow.
        if tx.choice and (
            self.queue(tx.choice) + tx.choice.full < 1
            or self.expected(tx.choice, now) <= self.strict * left * tx.favour
        ):
            return In.BEST
        # A key may be wanted more than its candidates can do, the more so in a large fleet: up to an eighth.
        if len(picked) < tx.reach or tx.reach > len(self.caches) // 8 or self.spare < 1:
            # Paid like a repeat: in an overload, looking further only costs.
            return self.nobody(tx, Why.QUEUES_LONG if heard else Why.NO_SERVER)
        tx.reach, self.spare = tx.reach + CANDIDATES, self.spare - 1
        return In.OVER

    def send(self, tx: Tx, now: Micros) -> In | None:
        server = tx.choice
        if not may_attempt(tx, server, now, self.permits) or not self.allowed(tx, now):
            return self.nobody(tx, Why.NO_RETRY_BUDGET if tx.hops else Why.NO_SERVER)
        if self.budget and self.further(tx):
            self.retry_budget.further.append(now)
        tx.hops.append(Hop(tx, len(tx.hops), server, now, self.queue(server)))
        tx.tried.add(server)
        server.out[tx.hops[-1]] = None
        self.hops += server.kind != self.origin_kind
        if warmth(server, now, self.cold) < 1:
            server.allowed -= 1
        self.effects.append(model.Send(tx.id, server.id, tx.limit, tx.written_by()))
        # A fetch is no work of a cache server: copies of slow ones pay there, also where times vary widely.
        wait = 3 * self.fetch if server.kind == self.origin_kind else self.patience.times * self.expected(server, now)
        tx.hops[-1].patience = max(self.goal // 4, int(wait))
        self.at(now + tx.hops[-1].patience, self.overdue, tx.hops[-1])
        return None

    def further(self, tx: Tx) -> bool:
        """Whether its next hop counts as a further one; what follows a miss does not."""
        return bool(tx.hops) and tx.hops[-1].ended is not Ended.MISS

    def allowed(self, tx: Tx, now: Micros) -> bool:
        """Rule 5. What is scarce goes to the dearest first: the others leave up to half of the stated few."""
        if not self.budget or not self.further(tx):
            return True
        kept = 0.5 * self.budget.free * (1 - tx.profile.revenue / self.dearest)
        return self.retry_budget.left(now, self.budget, self.part) >= 1 + kept

    def overdue(self, now: Micros, hop: Hop) -> None:
        """Guards against answers that get lost: what was sent half a hit's time later is answered."""
        if hop.open and hop is hop.tx.hops[-1] and now < hop.tx.goal and hop.tx.state is not State.WAITING:
            server = hop.server
            # Guards against a server that has fallen silent: one not asked before the hop is asked now.
            if hop.tx.asked is False and server.kind != self.origin_kind and not self.known(server, now):
                self.ask(server, None, now)
            lost = server.newest > hop.sent + (server.delay or self.fetch) / 2
            if (lost or self.silent(server, now)) and self.spare >= 0.5:
                self.spare += 0.5 - (hop.tx.state is State.FETCHING)  # half the price: it feeds no storm
                self.feed(now, hop.tx, In.AGAIN)
            else:
                self.at(now + self.goal // 8, self.overdue, hop)

    def to_origin(self, tx: Tx, now: Micros) -> In | None:
        """Go on to the origin: wait for another's fetch of the key, or for room, or go."""
        if not self.origins:
            return self.nobody(tx, Why.NO_ORIGIN)
        if not tx.write and tx.shared_key:
            if tx.key in self.fetches and not tx.leads:
                return self.join(tx, now)
            self.fetches.setdefault(tx.key, [])
            tx.leads = True
        if self.crowded(now):
            self.order += 1
            self.queued = [turn for turn in self.queued if turn[2].state is State.WAITING]  # others have left
            turn = (-tx.profile.revenue * tx.favour, self.order, tx)
            # Guards against waits that end in nothing: no room in time means an answer now.
            if now + self.fetch * (1 + (bisect(self.queued, turn) + 1) / self.room.limit) > tx.goal:
                if not tx.write:
                    self.shedding.found_no_room(tx.key, now + int(self.fetch))
                return self.nobody(tx, Why.NO_ROOM_AT_ORIGIN)
            insort(self.queued, turn)
            if self.room.limit < 1:
                self.at(self.room.next(now), self.refill)
            return self.wait(tx, now)
        tx.choice = min(self.origins, key=lambda origin: len(origin.out))
        self.room.taken(now, sum(len(origin.out) for origin in self.origins))
        return self.send(tx, now)

    def turn_comes_later(self, tx: Tx, note: int, now: Micros) -> bool:
        """Guards against a fetch by each node of what all miss: where the cache server tells that another is
        out, the copy is asked for once more after the time that takes, as far as hops and the goal allow. A write has none.
        """
        return (
            not tx.write
            and note == OTHERS
            and self.recovery.phase is not Phase.STEADY
            and tx.shared_key
            and len(tx.hops) + 2 <= self.permits.hops
            and 0 < self.fetch < (tx.goal - now) / 2
            and (tx.leads or tx.key not in self.fetches)
        )

    def await_other(self, tx: Tx, now: Micros) -> In | None:
        self.fetches.setdefault(tx.key, [])
        tx.leads = True
        self.at(now + int(self.fetch), self.feed, tx, In.FETCHED)
        return self.wait(tx, now)

    def join(self, tx: Tx, now: Micros) -> In | None:
        self.fetches[tx.key].append(tx)
        return self.wait(tx, now)

    def wait(self, tx: Tx, now: Micros) -> In | None:
        tx.state = State.WAITING
        self.at(tx.goal, self.feed, tx, In.LATE)
        return None

    def reread(self, tx: Tx, now: Micros) -> In | None:
        tx.tried.clear()
        return self.check(tx, now)

    def again(self, tx: Tx, now: Micros) -> In | None:
        # Guards against a storm of repeats: each is paid from what commits left.
        if self.spare < 1 or not self.allowed(tx, now):
            return self.nobody(tx, Why.NO_RETRY_BUDGET)
        if not self.shedding.may_fetch_again(tx, self.dearest):
            return self.nobody(tx, Why.FETCH_FAILED)
        self.spare -= 1
        # What broke or got lost on its way back has left its copy: the same server may be asked again.
        tx.tried -= {hop.server for hop in tx.hops if hop.ended in (None, Ended.UNKNOWN, Ended.RESET)}
        if tx.write and self.origin_kind is not None:
            return self.to_origin(tx, now)
        return self.check(tx, now)

    def finish(self, tx: Tx, now: Micros) -> In | None:
        self.txs.pop(tx.id, None)
        if tx.asked is not None:
            good = now <= tx.goal and any(hop.ended is Ended.COMMITTED for hop in tx.hops)
            self.lost[tx.asked] += (1 - good - self.lost[tx.asked]) * 0.03
        for hop in tx.open_hops() if self.permits.cancel else ():
            self.effects.append(model.Cancel(tx.id, hop.number))
        if tx.leads:
            # Guards against joiners that go and miss, with no room for a fetch either; not if it was left.
            for other in self.fetches.pop(tx.key, []):
                self.feed(now, other, In.NOBODY if tx.failed and self.crowded(now) else In.FETCHED)
        return None

    def give_up(self, tx: Tx, now: Micros) -> In | None:
        """The final answer at once; harmless to try again only where rule 2 says so."""
        hint = min(self.permits.longest_hint, self.recovery.stay_away(now, int(self.usual), self.chance))
        why = self.why(tx, now)
        self.effects.append(model.RollBack(tx.id, hint, why) if may_refuse(tx) else model.Abandon(tx.id, why))
        tx.failed = True
        return self.finish(tx, now)

    @staticmethod
    def nobody(tx: Tx, why: Why) -> In:
        """Nothing that could still serve it, and why."""
        tx.why = why
        return In.NOBODY

    @staticmethod
    def why(tx: Tx, now: Micros) -> Why:
        if Ended.MALFORMED in (hop.ended for hop in tx.hops):
            return Why.MALFORMED
        if now >= tx.limit - 1:
            return Why.DEADLINE
        return Why.TOO_LATE if tx.why is Why.NONE else tx.why

    def unless_out(self, tx: Tx, now: Micros) -> In | None:
        """Nothing more to try: wait for a hop that is still out, else give up."""
        if tx.open_hops():
            tx.state = State.OUT
            return None
        return self.give_up(tx, now)

    def arrived(self, now: Micros, came: model.Arrival) -> None:
        profile = self.profiles[came.profile]
        key = came.key if came.key is not None else int(self.chance() * 2**32)
        # A try with less time left than the middle one of its profile was begun long ago: it keeps the goal
        # of its client's first, and past it in a jam takes no place of one that can still be in time.
        left, middle = came.limit - now, self.middle[came.profile] or came.limit - now
        self.middle[came.profile] = middle + ((left > middle) - (left < middle)) * profile.limit / 50
        goal = now + profile.goal
        if left < 0.9 * middle - profile.limit / 50:
            goal = came.limit - profile.limit + profile.goal
            if goal <= now and self.strict >= 0.9:
                goal = came.limit
        tx = Tx(
            came.tx,
            profile,
            key,
            came.key is not None,
            min(goal, came.limit),
            came.limit,
            came.write,
            0.5 if self.beyond_share(came.tenant, now) else 1.0,
            CANDIDATES,
        )
        self.txs[tx.id] = tx
        if self.budget:
            self.retry_budget.taken.append(now)
        self.at(max(now, came.limit - 1), self.feed, tx, In.LIMIT)
        if came.write and self.origin_kind is not None:
            self.feed(now, tx, In.ORIGIN)
        elif self.spares_origin(tx, now):
            self.feed(now, tx, self.nobody(tx, Why.ORIGIN_SPARED))  # no room for its fetch: spare the cache server
        else:
            self.feed(now, tx, In.SHARED if key in self.fetches and not came.write else In.READ)

    def spares_origin(self, tx: Tx, now: Micros) -> bool:
        """Whether it is turned away as its fetch would find no room, or hardly succeed."""
        if self.shedding.lacks_room(now, tx.key) and self.crowded(now):
            return True
        return self.shedding.sheds(tx, self.dearest, self.chance)

    def beyond_share(self, tenant: int | None, now: Micros) -> bool:
        if tenant is None or tenant >= len(self.quotas):
            return False
        rate, level, since = bucket = self.quotas[tenant]
        rate *= self.part
        bucket[1:] = [min(rate * 2, level + rate * (now - since) / 1_000_000), now]
        short = bucket[1] < 1
        bucket[1] -= not short
        return short

    def hop_ended(self, now: Micros, end: model.HopEnd) -> None:
        server, ended = self.servers.get(end.server), end.ended
        out = server.out if server else ()
        hop = next((hop for hop in out if hop.tx.id == end.tx and hop.number == end.hop), None)
        if hop is None:
            return
        del server.out[hop]
        hop.open, hop.ended = False, ended
        if server.kind == self.origin_kind:
            if ended not in (Ended.CANCELLED, Ended.MALFORMED, Ended.NOT_SENT):
                self.room.learn(now, end.elapsed, ended is Ended.COMMITTED, self.goal)
                if ended is Ended.COMMITTED and not hop.tx.write:
                    self.recovery.answered()
                self.fetch, server.newest = self.room.usual, max(server.newest, hop.sent)
            self.refill(now)
        else:
            if not hop.tx.write and ended in (Ended.COMMITTED, Ended.MISS):
                self.recovery.read(ended is Ended.MISS or end.note == FETCHED)
            self.judge(server, hop, ended, end.elapsed, end.note, now)
            self.connected(server, ended, now)
        tx = hop.tx
        if end.closed:
            self.spare = min(20.0, self.spare + 0.15)
            self.feed(now, tx, In.ENDED)
        elif ended is Ended.MISS and not tx.write:
            self.feed(now, tx, self.missed(tx, end, now))
        elif ended is Ended.MALFORMED or now >= tx.limit - 1:
            self.feed(now, tx, In.LIMIT)
        else:
            self.feed(now, tx, In.AGAIN)

    def missed(self, tx: Tx, end: model.HopEnd, now: Micros) -> In:
        """No copy there: it is fetched, unless another node fetches it, or tells where it has it stored."""
        if (
            (there := self.servers.get(end.copy))
            and there not in tx.tried
            and self.usable(there, now)
            and len(tx.hops) + 2 <= self.permits.hops
            and self.expected(there, now) < tx.goal - now
        ):
            tx.choice = there
            return In.BEST
        return In.SHARED if self.turn_comes_later(tx, end.note, now) else In.ORIGIN

    def connected(self, server: Server, ended: Ended, now: Micros) -> None:
        """Guards against servers that hold too few connections for all nodes: who keeps one that stands idle
        keeps the next node out, so while many are refused by servers that live each is given back at once.
        """
        if ended not in (Ended.CANCELLED, Ended.NOT_SENT, Ended.MALFORMED, Ended.TIMED_OUT):
            # Each server that was heard lately counts once until it is heard again: a dead one is no crowd.
            refused = ended is Ended.NO_CONNECTION
            counts = not refused or server.refused <= server.heard > now - 10 * self.goal
            self.refused += (refused - self.refused) * 0.05 * counts
            server.refused = now if refused else 0
            self.squeezed = self.refused > (0.03 if self.squeezed else 0.1)
            self.say("squeezed", self.squeezed, f"refused={self.refused:.2f}")
        if self.squeezed and not server.out and ended not in (Ended.NO_CONNECTION, Ended.FULL):
            self.effects.append(model.CloseIdle(server.id))

    def judge(self, server: Server, hop: Hop, ended: Ended, elapsed: Micros, note: int, now: Micros) -> None:
        """Health: what this hop's end says of its server."""
        if ended in (Ended.CANCELLED, Ended.NOT_SENT, Ended.MALFORMED):  # no word on the server
            return
        server.wary = server.wary or ended not in (Ended.COMMITTED, Ended.MISS) or elapsed > hop.patience
        if ended in (Ended.NO_CONNECTION, Ended.RESET):
            # Guards against a dead process that the list still calls ready: believe the network first. But
            # one connection that breaks is no proof: only what breaks next, and the next transaction asks.
            if hop.sent >= server.heard:
                if ended is Ended.NO_CONNECTION or server.doubted > server.heard:
                    self.lose(server, now, f"hop {ended.value[0]} after_ms={elapsed // 1000}")
                server.doubted, server.answered = now, min(server.answered, now - self.fresh)
            return
        if ended is not Ended.TIMED_OUT:
            server.heard, server.newest = now, max(server.newest, hop.sent)
        if ended is Ended.FULL:
            # Guards against a storm of hops from one full server to the next: full is a delay as long as a
            # goal, until probes say otherwise. It is no queue, or it would be learnt as one that hits met.
            server.full, server.answered = self.goal, min(server.answered, now - self.fresh)
            return
        # A time-out tells of a long queue, not of a broken server: it counts as a long delay below, but where
        # the server answered what was sent later and the answer had its time: there it tells of a lost one.
        late = ended is Ended.TIMED_OUT and (hop.sent >= server.newest or elapsed < hop.patience)
        self.shedding.learn(now, hop, ended, note >= FETCHED)
        scarce = self.shedding.is_scarce("origin spared" in self.mode)
        self.say("origin spared", scarce, f"share={self.shedding.taken:.2f}")
        failed = ended is Ended.UNKNOWN or ended is Ended.ERROR and note <= 1  # else it is the origin's fault
        server.bad += (failed - server.bad) * (0.1 if ended is Ended.UNKNOWN else 0.2)
        if failed and server.bad > 0.35 and now >= server.out_until:
            # Guards against a server that fails fast: its queue is short because it does no work. Its peers
            # are the measure, as some failures come through every server; half of the fleet stays in.
            peers = sorted(other.bad for other in self.caches)
            well = sum(not other.out_until and not other.down for other in self.caches)
            if server.bad - peers[len(peers) // 2] > 0.3 and 2 * well > len(self.caches):
                server.penance = min(4_000_000, max(500_000, server.penance * 2))
                server.out_until = now + server.penance
                self.say(f"aside {server.name}", True, f"failing={server.bad:.2f}")
        elif not failed and server.out_until and server.bad < 0.25:
            server.out_until, server.penance = 0, 0
            self.say(f"aside {server.name}", False, f"failing={server.bad:.2f}")
        if late or ended is Ended.COMMITTED:
            # Guards against jams that feed themselves: admitted work that ends late is lost to all.
            # Above 1 it mends expectations that are too long: those refuse what could be in time.
            step = -0.03 if now > hop.tx.goal else 0.03 * LATE_SHARE / (1 - LATE_SHARE)
            self.strict = min(4.0, max(0.25, self.strict * (1 + step)))
            self.say("jam", self.strict < 0.7 + 0.2 * ("jam" in self.mode), f"admit_share={self.strict:.2f}")
        if ended is Ended.COMMITTED and note == 2:
            self.fetch += (max(0.0, elapsed - self.usual) - self.fetch) * 0.05
        if ended is Ended.COMMITTED:
            self.patience.learn(hop, elapsed)
        if late or (ended is Ended.COMMITTED and note <= 1):
            # Against a few very costly transactions: one says little of its server, several in a row much.
            elapsed = min(elapsed, 3 * max(server.delay, self.usual)) if self.usual else elapsed
            # The first ones open connections, which takes them longer: they count alike, none for all.
            self.hits, server.hits = self.hits + 1, server.hits + 1
            own, pooled = max(0.15, 1 / server.hits), max(0.03, 1 / self.hits)
            server.delay += (elapsed - server.delay) * own
            server.usual_held += (hop.met - server.usual_held) * own
            server.delay_at = now
            self.usual += (elapsed - self.usual) * pooled
            self.usual_held += (hop.met - self.usual_held) * pooled

    def lose(self, server: Server, now: Micros, figures: str) -> None:
        """Nothing reaches it: its hops go elsewhere too where allowed; it is asked again later."""
        if not server.down:
            server.down, server.answered = True, -1
            server.again_at = max(server.again_at, now + self.goal // 2)
            self.say(f"down {server.name}", True, figures)
            for hop in list(server.out):
                self.feed(now, hop.tx, In.AGAIN)

    def crowded(self, now: Micros) -> bool:
        return not self.room.free(now, sum(len(origin.out) for origin in self.origins))

    def refill(self, now: Micros) -> None:
        """Room at the origin: the waiting transaction of most revenue that can still make its goal."""
        while self.queued and not self.crowded(now):
            tx = self.queued.pop(0)[2]
            if tx.state is State.WAITING:
                # While copies fill another node may have fetched it since: the copy is asked for first.
                again = tx.hops and now - tx.hops[-1].sent > 2 * self.fetch and self.turn_comes_later(tx, OTHERS, now)
                late = now + self.fetch > tx.goal
                self.feed(now, tx, In.NOBODY if late else In.FETCHED if again else In.ROOM)

    def probed(
        self, now: Micros, server_id: model.ServerId, ended: Ended, elapsed: Micros, load: tuple[float, ...]
    ) -> None:
        server = self.servers.get(server_id)
        if server is None or server.asked < 0 and ended is not Ended.COMMITTED:
            return  # forgotten meanwhile, or told before
        server.asked = -1
        if ended is Ended.NOT_SENT:
            # Guards against servers that are held to be silent for our own trouble: soon the next one may ask.
            server.again_at = max(server.again_at, now + self.goal // 8)
        elif ended is Ended.COMMITTED:
            before, server.answered, server.heard = server.answered, now, now
            server.unanswered, server.again_at, server.full, server.wary = 0, 0, server.full // 2, False
            if self.column is not None and len(load) > self.column and 0 <= load[self.column] < WRAPPED:
                # Guards against nodes that swing together on old reports: the queue that all of them flee is
                # the shortest by then. A tenth of each counts; more after long without, half at twenty goals.
                others = max(0.0, load[self.column] - len(server.out))
                new = max(0.1, 1 - 0.5 ** ((now - before) / (20 * self.goal)))
                server.others += (others - server.others) * new
            server.down = False
            self.say(f"down {server.name}", False, f"probe_ms={elapsed // 1000}")
        else:
            # Guards against nodes that ask a lost server more often than clients ask them: a transaction that
            # prefers it asks again, each time twice as late, unevenly by chance.
            server.again_at = now + int((self.goal // 2 << min(server.unanswered, 5)) * (0.5 + self.chance()))
            server.answered, server.unanswered = -1, server.unanswered + 1
            # Guards against a process that hangs instead of refusing connections.
            if ended is Ended.NO_CONNECTION or server.unanswered > 1 and now - server.heard > 2 * self.goal:
                self.lose(server, now, f"probe {ended.value[0]} n={server.unanswered}")
        self.wake_askers(now, server, -1)
        self.connected(server, ended, now)

    def wake_askers(self, now: Micros, server: Server, asked: Micros) -> None:
        server.mute = server.asked == asked >= 0
        askers, server.askers = (server.askers, {}) if server.asked == asked else ({}, server.askers)
        for tx in askers:  # once all that it asked have answered or fallen silent
            tx.waits -= 1
            self.feed(now, tx, None if tx.waits else In.HEARD)

    def out_of_hands(self, now: Micros, tx_id: model.TxId, streaming: int | None = None) -> None:
        """The client left, or its answer is streaming to it already, from the hop with that number."""
        if tx := self.txs.get(tx_id):
            for hop in tx.hops:
                hop.open = hop.open and hop.number != streaming  # the client's now: never cancelled
            self.feed(now, tx, In.ENDED)

    def periodic(self, now: Micros) -> None:
        if line := self.recovery.step(now):
            self.effects.append(model.Log(line))
            if self.recovery.phase is Phase.STEADY:  # guards against turning away as while copies were lost
                self.strict = max(self.strict, 1.0)
        if self.budget:
            self.retry_budget.left(now, self.budget, self.part)  # what has left the window is not kept
        self.shedding.forget(now)
        self.rate, self.hops = self.rate + (self.hops * 1_000_000 / PERIOD - self.rate) * 0.1, 0
        self.placement.periodic(now)
        if now - self.asked_list > self.listing.within // 3:
            self.watch(now)
        for server in self.unlisted[:]:  # one that is not listed goes once unheard for so long
            if server.unlisted and max(server.heard, server.unlisted) < now - UNLISTED:
                server.ready, server.unlisted = False, 0
                self.settle_list(now)
        # Guards against memory that grows with every server that ever was.
        for server in [one for one in self.not_ready if not (one.out or one.asked >= 0)]:
            del self.servers[server.id]
            self.not_ready.remove(server)
            for mode in "down", "aside":
                self.say(f"{mode} {server.name}", False, "left the list")


# (state, input): (next state, effect); an effect may hand the loop the next input.
TABLE = {
    (State.NEW, In.READ): (State.CHECKING, Node.check),
    (State.NEW, In.ORIGIN): (State.FETCHING, Node.to_origin),
    (State.NEW, In.SHARED): (State.WAITING, Node.join),
    (State.CHECKING, In.UNDER): (State.OUT, Node.send),
    (State.CHECKING, In.HEARD): (State.CHECKING, Node.check),
    (State.POLLING, In.HEARD): (State.POLLING, Node.poll),
    (State.CHECKING, In.OVER): (State.POLLING, Node.poll),
    (State.POLLING, In.OVER): (State.POLLING, Node.poll),
    (State.POLLING, In.BEST): (State.OUT, Node.send),
    (State.OUT, In.ORIGIN): (State.FETCHING, Node.to_origin),
    (State.OUT, In.SHARED): (State.WAITING, Node.await_other),
    (State.OUT, In.BEST): (State.OUT, Node.send),
    (State.OUT, In.AGAIN): (State.CHECKING, Node.again),
    (State.FETCHING, In.AGAIN): (State.FETCHING, Node.to_origin),
    (State.WAITING, In.LATE): (State.DONE, Node.unless_out),
    (State.WAITING, In.ROOM): (State.FETCHING, Node.to_origin),
    (State.WAITING, In.FETCHED): (State.CHECKING, Node.reread),
}
ANYWHERE = {
    In.NOBODY: (State.DONE, Node.unless_out),
    In.LIMIT: (State.DONE, Node.give_up),
    In.ENDED: (State.DONE, Node.finish),
}
