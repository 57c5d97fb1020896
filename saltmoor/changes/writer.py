"""Owns what the leader of one epoch does: numbers changes, sends them to the other machines, counts copies, commits.

It exists from when a majority was fenced and the best log taken until its epoch is overtaken or its lease ends. An
acknowledgement goes out only for what a majority holds. Where no majority answers, changes are refused at once, or
called unknown by the time that was stated. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from saltmoor.changes import kinds
from saltmoor.changes.copy import Copy
from saltmoor.changes.messages import (
    BATCH,
    CONTENT,
    MOST,
    STATE,
    WEIGHT,
    Append,
    Appended,
    Entry,
    Fill,
    Replicate,
    Replicated,
)
from saltmoor.model import Micros

MS: Micros = 1_000
BEAT: Micros = 250 * MS
LATE: Micros = 400 * MS  # until what is not acknowledged is sent again
REFILL: Micros = 500 * MS
FLIGHT = 512 << 10  # bytes that are on their way to one machine
ALONE: Micros = 1_000 * MS  # without a confirmed beat for so long, changes are refused at once
PENDING = 4096  # appends that wait for a majority

Out = list[tuple[str, Any]]


@dataclass(slots=True)
class Progress:
    """What a leader knows of another's copy."""

    sent: int
    match: int = 0  # it holds the leader's log up to there
    beat: int = 0  # that it has echoed
    blank: bool = True  # it counts nowhere
    filling: bool = False
    life: int = 0
    flight: int = 0  # bytes sent since it last answered
    moved: Micros = 0  # when it last answered, or was sent again
    filled: Micros = -REFILL
    told: tuple[int, int, int] = (0, 0, 0)  # beat, confirmed and committed, as last said to it


@dataclass(slots=True)
class Waiting:
    who: str
    id: str
    offset: int
    until: Micros


@dataclass(slots=True)
class Writer:
    """`by_all`: the epoch stands on all voters, as a majority had no memory; `lives`: in which each of them answered."""

    copy: Copy
    epoch: int
    by_all: bool
    lives: dict[str, int]
    now: Micros
    wall: Micros
    beat: int  # above all that were confirmed before
    beat_at: Micros = 0
    confirmed_at: Micros = 0
    others: dict[str, Progress] = field(default_factory=dict)
    waiting: list[Waiting] = field(default_factory=list)
    first: int = 0  # offset of its epoch's first entry
    overtaken: int = 0  # the larger epoch that somebody follows

    def __post_init__(self) -> None:
        copy, store, kind = self.copy, self.copy.store, kinds.GENERATION if self.by_all else kinds.EPOCH
        copy.blank, copy.filling = False, 0
        self.others = {name: Progress(store.last, moved=self.now) for name in copy.voters if name != copy.me}
        self.first, self.confirmed_at, self.beat_at = store.last + 1, self.now, self.now
        store.append(self.now, Entry(self.first, self.epoch, f"{kind}-{self.epoch}", kind, b"", self.wall))

    # Clients.

    def ready(self) -> bool:
        """Its own first entry is committed, so all that was before it is as well."""
        return self.copy.store.committed >= self.first

    def append(self, now: Micros, wall: Micros, who: str, ask: Append) -> list[tuple[str, Appended]]:
        store = self.copy.store
        if len(self.waiting) >= PENDING:
            return [(who, self.said(ask.id, "refused", why="full"))]
        if (offset := store.ids.get(ask.id)) and self.ready():
            if offset <= store.committed:
                return [(who, self.said(ask.id, "done", offset))]
        elif why := self.refusal(now, ask):
            return [(who, self.said(ask.id, "refused", why=why))]
        else:
            offset = store.last + 1
            store.append(now, Entry(offset, self.epoch, ask.id, ask.kind, ask.content, wall))
        self.waiting.append(Waiting(who, ask.id, offset, now + ask.wait))
        return []

    def refusal(self, now: Micros, ask: Append) -> str:
        """Why it is not put into the log; nothing of it has been."""
        store = self.copy.store
        if not self.ready():
            return "no leader yet"
        if now - self.confirmed_at > ALONE:
            return "no majority"
        if ask.kind in kinds.OWN or not (0 < len(ask.kind) <= 32 and 0 < len(ask.id) <= 64):
            return "kind or id"
        if len(ask.content) > CONTENT:
            return "too long"
        if ask.generation != store.generation or ask.seen < store.base:
            return "too old to be known"  # it may have been in and be forgotten
        if ask.seen > store.last:
            return "ahead of the log"
        if store.loose > store.room // 2:
            return "full"
        try:
            value = kinds.read(ask.kind, ask.content)
        except kinds.Unfit as error:
            return str(error)
        if isinstance(value, kinds.Config):
            if value.before != (version := store.version(value.name)):
                return f"version {version} is the latest"
            others = sum(entry.weight for name, entry in store.head.items() if name != value.name)
            others += store.loose
            if others + WEIGHT + len(ask.content) > STATE or not value.before and len(store.head) >= MOST // 2:
                return "no room in the configuration"
        return ""

    def said(self, id: str, how: str, offset: int = 0, why: str = "") -> Appended:
        store = self.copy.store
        return Appended(id, how, offset, why, self.copy.me, store.generation, store.committed)

    def settle(self, now: Micros, over: str = "") -> Out:
        """Answers to whom they are due. `over`: why it writes no more."""
        out, still, committed = [], [], self.copy.store.committed
        for one in self.waiting:
            if one.offset <= committed:
                out.append((one.who, self.said(one.id, "done", one.offset)))
            elif over or now >= one.until:
                out.append((one.who, self.said(one.id, "unknown", 0, over or "no majority in time")))
            else:
                still.append(one)
        self.waiting = still
        return out

    # Copies.

    def tick(self, now: Micros) -> Out:
        if now - self.beat_at >= BEAT:
            self.beat, self.beat_at = self.beat + 1, now
            self.copy.beat = self.beat
        for one in self.others.values():
            if one.match < one.sent and now - one.moved > LATE:  # lost on the way
                one.sent, one.flight, one.moved = one.match or min(one.sent, self.first - 1), 0, now
        return [*self.advance(now), *self.flush(now)]

    def hear(self, now: Micros, who: str, said: Replicated) -> Out:
        one = self.others.get(who)
        if said.promised > self.epoch:
            self.overtaken = max(self.overtaken, said.promised)
        if one is None or said.promised != self.epoch or said.life < one.life:
            return []
        if said.life != one.life:  # another run than before: what that one held may be gone
            one.life, one.match, one.beat, one.filling, one.filled = said.life, 0, 0, False, -REFILL
        one.blank, one.moved, one.flight = said.blank, now, 0
        if said.yes:
            one.filling, one.beat = said.blank, max(one.beat, said.beat)
            one.match = max(one.match, min(said.last, self.copy.store.last))
            one.sent = max(one.sent, one.match)
        elif said.blank:
            one.filling = False
        elif one.sent > (back := max(one.match, min(one.sent, said.last))):
            one.sent = back
        else:
            return self.advance(now)  # no nearer: at the next tick, not as fast as it answers
        return [*self.advance(now), *self.flush(now)]

    def majority_of(self, mine: int, theirs: list[int]) -> int:
        """The largest that a majority of all voters has reached; blank ones have reached nothing."""
        values = sorted([mine, *theirs], reverse=True)
        need = len(self.copy.voters) // 2
        return values[need] if len(values) > need else 0

    def advance(self, now: Micros) -> Out:
        copy, store = self.copy, self.copy.store
        whole = [one for one in self.others.values() if not one.blank]
        held = self.majority_of(store.last, [one.match for one in whole])
        # Guards against counting copies of an older epoch's entry: another leader could still put it aside.
        if held > store.committed and store.epoch_at(held) == self.epoch:
            store.commit(held)
        beat = self.majority_of(self.beat, [one.beat for one in whole])
        if beat > copy.confirmed and self.ready():
            copy.confirmed, copy.mark, self.confirmed_at = beat, store.committed, now
        return self.settle(now)

    def flush(self, now: Micros) -> Out:
        """What each of the others lacks, as far as it is not on its way."""
        out: Out = []
        copy, store = self.copy, self.copy.store
        for name, one in self.others.items():
            before = store.epoch_at(one.sent)
            if one.life and (one.blank and not one.filling or before is None):
                if now - one.filled >= REFILL:
                    one.filled, one.flight, one.moved = now, 0, now
                    one.sent = max(store.base, one.match)
                    by_all = self.by_all and self.lives.get(name) == one.life
                    out.append((name, Fill(self.epoch, copy.life, one.life, by_all, store.floor, store.last)))
                continue
            if before is None:
                one.sent = store.base
                before = store.floor.epoch
            told = self.beat, copy.confirmed, store.committed
            while (more := one.life and one.sent < store.last and one.flight < FLIGHT) or told != one.told:
                entries = store.after(one.sent, BATCH, store.last) if more else []
                if one.match == one.sent:
                    one.moved = now
                out.append(
                    (
                        name,
                        Replicate(
                            self.epoch,
                            copy.life,
                            one.sent,
                            before,
                            entries,
                            store.committed,
                            store.generation,
                            self.beat,
                            copy.confirmed,
                        ),
                    )
                )
                one.told = told
                if entries:
                    one.sent, before = entries[-1].offset, entries[-1].epoch
                    one.flight += sum(entry.weight for entry in entries)
        return out
