"""Owns the log of changes at one control machine: who writes it, and what this machine answers to whom.

The lease of duties/lease.py says who may try to write, so that they do not overtake each other; its number is the
epoch, and nothing is safe by the lease alone. Who owns it fences a majority of all voters at its epoch, takes the best
log that they hold, begins with an entry of its own, and counts as committed only what a majority holds behind an entry
of its epoch (Viewstamped Replication, Raft): writer.py. Where a majority has lost its memory nothing is written, until
all voters answer: then a new generation of the log begins from the best copy left. Beats, each confirmed by a majority,
say that what is committed is all there is. No I/O; the clock is passed in; wall clocks are never compared.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum, auto
from typing import Any
from zlib import crc32

from saltmoor.changes.copy import Copy
from saltmoor.changes.messages import (
    Append,
    Appended,
    Entry,
    Fence,
    Fill,
    Held,
    Recover,
    Replicate,
    Replicated,
    Standing,
    Subscribe,
)
from saltmoor.changes.messages import (
    State as Floor,
)
from saltmoor.changes.relay import Relay
from saltmoor.changes.store import Broken, Store
from saltmoor.changes.writer import MS, Out, Writer
from saltmoor.duties.lease import HOLDING, Ask, Claim, Vote, Voter
from saltmoor.model import Micros

AGAIN: Micros = 200 * MS  # until a question is asked again
DUTY = "log"


class State(Enum):
    FOLLOWING = auto()
    FENCING = auto()  # asks for promises at its epoch
    FETCHING = auto()  # another's log is better, and is copied
    LEADING = auto()


class In(Enum):
    OWNS = auto()  # the lease, with a number above all that was promised here
    BEST = auto()  # enough have promised, and no log is better than this one
    BEHIND = auto()  # enough have promised, and one has a better log
    FETCHED = auto()
    LOST = auto()  # whose log it was has gone
    OVERTAKEN = auto()  # somebody follows a larger epoch
    OVER = auto()  # the lease is, or it has led to nothing


TABLE = {
    (State.FOLLOWING, In.OWNS): State.FENCING,
    (State.FENCING, In.BEST): State.LEADING,
    (State.FENCING, In.BEHIND): State.FETCHING,
    (State.FETCHING, In.FETCHED): State.LEADING,
    (State.FETCHING, In.LOST): State.FENCING,
    **{
        (state, why): State.FOLLOWING
        for state in (State.FENCING, State.FETCHING, State.LEADING)
        for why in (In.OVERTAKEN, In.OVER)
    },
}


class Log:
    """`voters`: names of all control machines, this one among them; `run`: drawn anew at each start of the process;
    `lease`: in microseconds. `hear` raises nothing, whatever comes; `lines` are for the log, `counts` for figures."""

    def __init__(
        self,
        now: Micros,
        me: str,
        voters: list[str],
        run: int,
        lease: Micros,
        store: Store | None = None,
        relay: Relay | None = None,
    ) -> None:
        self.me, self.voters, self.now, self.lease = me, sorted(voters), now, lease
        self.store = store or Store()
        self.copy = Copy(me, self.voters, run, self.store)
        self.relay = relay or Relay(me, self.store)
        self.voter = Voter(now, lease)
        self.claim = Claim(DUTY, me, self.voters.index(me), self.voters, [], lease, lease // 10, next=now)
        self.state, self.epoch, self.since = State.FOLLOWING, 0, now
        self.answers: dict[str, Held] = {}
        self.by_all = False
        self.source: Held | None = None  # the better log, at whom, and what of it has come
        self.source_name, self.floor, self.fetched = "", None, []
        self.asked_at = self.told_at = now - AGAIN
        self.writer: Writer | None = None
        self.writer_kind = Writer
        self.ahead = 0  # the wall clock less `now`, as last told
        self.draws = 0
        self.lines: list[str] = self.copy.lines
        self.counts: Counter[str] = Counter()

    def chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.me}|{self.copy.run}|{self.draws}".encode()) / (1 << 32)

    # The ways in.

    def hear(self, now: Micros, who: str, message: Any) -> Out:
        self.now = now = max(self.now, now)
        try:
            return self.deliver(now, self.answer(now, who, message))
        except Broken as error:
            # Guards against one machine's fault spreading: what is committed here stays as it is.
            self.counts["broken"] += 1
            self.lines.append(f"log: refused from {who}: {error}")
            return []

    def tick(self, now: Micros, wall: Micros | None = None) -> Out:
        """Every 50 ms or so. `wall`: the wall clock, for what is shown, and for a lease's number."""
        self.now = now = max(self.now, now)
        if wall is not None:
            self.ahead = wall - now
        out: Out = []
        if now - self.told_at >= AGAIN:
            self.told_at = now
            out += self.copy.recover()
        # Without a memory it does not try to lead, but where nobody has one.
        if not self.copy.blank or self.claim.state in HOLDING or self.copy.alone():
            out += self.claim.tick(now, now + self.ahead, self.chance())
        out = self.deliver(now, out)
        out += self.deliver(now, self.drive(now))
        if self.writer:
            out += self.deliver(now, [*self.writer.tick(now), *self.checked(now)])
        self.relay.tick(now)
        return out

    def end(self, now: Micros) -> Out:
        """Give the lease back: the next one need not wait until it runs out."""
        out = self.step(In.OVER, now)
        return [*out, *self.deliver(now, self.claim.leave(now, self.chance()))]

    def deliver(self, now: Micros, messages: Out) -> Out:
        """To others; what is for this machine itself is heard at once."""
        out: Out = []
        queue = list(messages)
        while queue:
            to, message = queue.pop(0)
            if to == self.me and not isinstance(message, Appended):
                queue += self.answer(now, self.me, message)
            else:
                out.append((to, message))
        self.lines += self.claim.lines
        self.claim.lines.clear()
        self.relay.watermark(self.copy.mark, self.copy.confirmed)
        return out

    def answer(self, now: Micros, who: str, message: Any) -> Out:
        match message:
            case Append():
                if self.writer:
                    out = self.writer.append(now, now + self.ahead, who, message)
                    return [*out, *self.writer.advance(now), *self.writer.flush(now)]
                lately = now - self.copy.heard < 2 * self.lease and self.copy.leader[0] != self.me
                leader, why = (self.copy.leader[0], "not the leader") if lately else ("", "no leader")
                return [
                    (who, Appended(message.id, "refused", 0, why, leader, self.store.generation, self.store.committed))
                ]
            case Subscribe():
                return self.relay.hear(now, who, message)
        if who not in self.voters:
            self.counts["stranger"] += 1
            return []
        copy = self.copy
        match message:
            case Ask() if message.duty == DUTY and message.voters == self.claim.mark:
                if message.step == "release" and who != self.me:
                    self.claim.freed(now, self.chance())
                vote = self.voter.hear(now, who, message)
                return [(who, vote)] if vote else []
            case Vote() if message.duty == DUTY:
                return [*self.claim.hear(now, who, message, self.chance()), *self.drive(now)]
            case Recover():
                return [(who, copy.hear_recover(who, message))]
            case Standing():
                copy.hear_standing(who, message)
            case Fence():
                return [(who, copy.hear_fence(now, who, message)), *self.checked(now)]
            case Held():
                return self.held(now, who, message)
            case Fill():
                reply = copy.hear_fill(now, who, message)
                return [*([(who, reply)] if reply else []), *self.checked(now)]
            case Replicate():
                return [(who, copy.hear_replicate(now, who, message)), *self.checked(now)]
            case Replicated() if late := copy.late(who, message.life):
                return [(who, late)]
            case Replicated() if self.writer:
                return [*self.writer.hear(now, who, message), *self.checked(now)]
            case _:
                self.counts["unexpected"] += 1
        return []

    # Becoming the one who writes.

    def step(self, given: In, now: Micros, why: str = "") -> Out:
        after = TABLE.get((self.state, given))
        if after is None:
            return []
        self.state, self.since, out = after, now, []
        if after is State.LEADING:
            beat = max(self.copy.beat, *(one.beat for one in self.answers.values())) + 1
            lives = {name: one.life for name, one in self.answers.items()}
            self.writer = self.writer_kind(self.copy, self.epoch, self.by_all, lives, now, now + self.ahead, beat)
            self.lines.append(
                f"log: leader, epoch={self.epoch} offset={self.store.last}"
                f"{' of a new generation' if self.by_all else ''}"
            )
            out = [*self.writer.advance(now), *self.writer.flush(now)]
        elif self.writer:
            self.lines.append(f"log: leader no more, epoch={self.epoch}: {given.name.lower()} {why}".rstrip())
            out = self.writer.settle(now, "the leader changes")
            self.writer = None
        if after is not State.FETCHING:
            self.source, self.floor, self.fetched = None, None, []
        if after is State.FENCING:
            self.answers = {}
        return out

    def checked(self, now: Micros, seen: int = 0) -> Out:
        """Guards against a writer of before: as soon as anybody, here or elsewhere, follows a larger epoch."""
        seen = max(seen, self.copy.promised, self.writer.overtaken if self.writer else 0)
        if self.state is State.FOLLOWING or seen <= self.epoch:
            return []
        self.claim.largest = max(self.claim.largest, seen)
        self.claim.next = now  # where the lease is still its own, with a larger number
        return self.step(In.OVERTAKEN, now, f"by epoch={seen}")

    def drive(self, now: Micros) -> Out:
        """What the lease and the time ask for."""
        if not self.claim.owns(now):
            return self.step(In.OVER, now)
        if self.state is State.FOLLOWING:
            if self.claim.fence <= self.copy.promised:
                self.claim.largest, self.claim.next = max(self.claim.largest, self.copy.promised), now
                return []
            self.epoch = self.claim.fence
            self.step(In.OWNS, now)
            self.asked_at = now - AGAIN
        elif self.writer and now - self.writer.confirmed_at > self.lease:
            # Guards against leading those who have all lost their memory: it asks anew, by the rule for that.
            return self.step(In.OVER, now, "no majority")
        elif self.state is not State.LEADING and now - self.since > 2 * self.lease:
            # Guards against one that holds the lease and can do nothing with it.
            return [*self.step(In.OVER, now), *self.claim.leave(now, self.chance())]
        if self.state in (State.FENCING, State.FETCHING) and now - self.asked_at >= AGAIN:
            return self.ask(now)
        return []

    def ask(self, now: Micros) -> Out:
        self.asked_at = now
        copy = self.copy
        if self.state is State.FETCHING:
            offset, before = self.fetched_to()
            return [(self.source_name, Fence(self.epoch, copy.life, "fetch", list(copy.lives), offset, before))]
        return [(name, Fence(self.epoch, copy.life, "fence", list(copy.lives))) for name in self.voters]

    def fetched_to(self) -> tuple[int, int]:
        if self.fetched:
            return self.fetched[-1].offset, self.fetched[-1].epoch
        if self.floor:
            return self.floor.offset, self.floor.epoch
        return self.store.committed, self.store.epoch_at(self.store.committed) or 0

    def held(self, now: Micros, who: str, said: Held) -> Out:
        if said.epoch != self.epoch or self.state not in (State.FENCING, State.FETCHING):
            return []
        if not said.yes:
            return self.checked(now, said.promised)
        if self.state is State.FETCHING:
            return self.fetch(now, who, said)
        self.copy.learn(said.lives)
        self.answers[who] = said
        return self.weigh(now)

    def valid(self) -> dict[str, Held]:
        """Guards against an answer from before a loss of memory: somebody knows of a later life."""
        lives = dict(zip(self.voters, self.copy.lives))
        return {name: one for name, one in self.answers.items() if one.life >= lives[name]}

    def weigh(self, now: Micros) -> Out:
        """Whether enough have promised: a majority with memory, or all that there are."""
        valid = self.valid()
        whole = {name: one for name, one in valid.items() if not one.blank}
        if self.copy.majority(len(whole)):
            self.by_all, choice = False, whole
        elif len(valid) == len(self.voters) and all(one.lives == self.copy.lives for one in valid.values()):
            self.by_all, choice = True, whole or valid
        else:
            return []
        self.answers = valid
        name = max(choice, key=lambda name: (choice[name].last_epoch, choice[name].last, name == self.me))
        if name == self.me:
            return self.step(In.BEST, now)
        self.source_name, self.source = name, choice[name]
        if (self.source.last_epoch, self.source.last) == (self.store.last_epoch, self.store.last):
            return self.step(In.BEST, now)
        self.step(In.BEHIND, now)
        self.source = choice[name]
        return self.ask(now)

    def fetch(self, now: Micros, who: str, said: Held) -> Out:
        """The better log as a whole, beside its own, which is replaced only then: both may be all that is left."""
        if who != self.source_name or said.step != "fetch":
            return []
        source = self.source
        if (said.life, said.blank, said.last, said.last_epoch) != (
            source.life,
            source.blank,
            source.last,
            source.last_epoch,
        ):
            self.asked_at = now  # and again in a while
            return self.step(In.LOST, now)
        offset, _ = self.fetched_to()
        if said.floor:
            if said.floor.offset <= offset and (self.floor or self.fetched):
                return []  # one that came twice
            self.floor, self.fetched = said.floor, []
            offset = said.floor.offset
        if said.entries and said.entries[0].offset != offset + 1:
            return []
        self.fetched += said.entries
        if self.fetched_to() != (source.last, source.last_epoch):
            return self.ask(now)
        self.adopt(now, self.floor, self.fetched)
        return self.step(In.FETCHED, now)

    def adopt(self, now: Micros, floor: Floor | None, entries: list[Entry]) -> None:
        store = self.store
        if floor:
            if not self.copy.blank and floor.offset < store.committed:
                raise Broken(f"floor {floor.offset}, committed {store.committed}")
            store.reset(floor)
        else:
            store.cut(store.committed)
        for entry in entries:
            store.append(now, entry)
