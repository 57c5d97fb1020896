"""Owns one control machine's copy of the log and what it has promised: no smaller epoch, no committed entry changed.

There is no disk. A machine that starts is blank: it answers, but counts neither where a leader fences nor where it
counts copies, until an established leader has brought it whole up to date. How that is safe: each run of a machine has a
life, larger than all before; a blank one tells it to a majority of the others that are not blank, and takes nothing
from an epoch smaller than they have promised. Answers carry the lives that are known, so an answer from before a loss
of memory is seen as such (crash vectors: Michael and others 2017, for Viewstamped Replication). No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saltmoor.changes.messages import BATCH, Fence, Fill, Held, Recover, Replicate, Replicated, Standing
from saltmoor.changes.store import Store
from saltmoor.model import Micros

RUN_BITS = 30  # of a life's lower end: drawn at the start, so that two runs never have the same


@dataclass(slots=True)
class Copy:
    """`voters`: the whole list, in the order of their names; `run`: drawn anew at each start."""

    me: str
    voters: list[str]
    run: int
    store: Store
    lives: list[int] = field(default_factory=list)
    promised: int = 0  # the largest epoch that it follows
    leader: tuple[str, int] = ("", 0)  # whose epoch that is, and which run
    heard: Micros = 0  # when its leader last said something
    blank: bool = True
    filling: int = 0  # the epoch that is filling it
    target: int = 0  # whole from there
    standings: dict[str, Standing] = field(default_factory=dict)  # to its present life
    beat: int = 0  # the largest that it has echoed
    confirmed: int = 0  # the largest that a majority had
    mark: int = 0  # committed at that one
    lines: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.voters = sorted(self.voters)
        self.lives = [0] * len(self.voters)
        self.live(1)

    # Lives.

    @property
    def life(self) -> int:
        return self.lives[self.voters.index(self.me)]

    def live(self, count: int) -> None:
        self.lives[self.voters.index(self.me)] = count << RUN_BITS | self.run % (1 << RUN_BITS)
        self.standings.clear()

    def learn(self, lives: list[int]) -> None:
        """What another knows of all lives."""
        if len(lives) != len(self.voters):
            return
        mine = self.life
        self.lives = [max(pair) for pair in zip(self.lives, lives)]
        if self.life != mine:  # a run of this machine before this one, with a larger number
            self.live((self.life >> RUN_BITS) + 1)

    def late(self, who: str, life: int) -> Standing | None:
        """What to say to one who speaks in a life that is over, as far as is known here: it takes a later one."""
        place = self.voters.index(who)
        if life < self.lives[place]:
            return Standing(life, self.promised, self.blank, list(self.lives))
        self.lives[place] = life
        return None

    def majority(self, count: int) -> bool:
        return 2 * count > len(self.voters)

    def recover(self) -> list[tuple[str, Recover]]:
        """To those who have not answered in this life; without a memory again to all, as theirs may have come back."""
        return [
            (name, Recover(self.life))
            for name in self.voters
            if name != self.me and (self.blank or name not in self.standings)
        ]

    def hear_recover(self, who: str, said: Recover) -> Standing:
        lives = list(self.lives)
        place = self.voters.index(who)
        lives[place] = max(lives[place], said.life)
        self.learn(lives)
        return Standing(said.life, self.promised, self.blank, list(self.lives))

    def hear_standing(self, who: str, said: Standing) -> None:
        if said.life == self.life:
            self.standings[who] = said
        self.learn(said.lives)

    def least(self) -> int | None:
        """The smallest epoch that may fill it; None: not enough have said."""
        whole = [one.promised for name, one in self.standings.items() if not one.blank and name != self.me]
        return max(whole) if self.majority(len(whole)) else None

    def alone(self) -> bool:
        """All others have said, and not one of them has a memory either."""
        return len(self.standings) == len(self.voters) - 1 and all(one.blank for one in self.standings.values())

    # Promises.

    def admit(self, now: Micros, epoch: int, who: str, life: int) -> bool:
        """Guards against a writer of before, however long it slept: whose epoch is overtaken is refused."""
        run = life % (1 << RUN_BITS)
        if epoch > self.promised:
            self.promised, self.leader = epoch, (who, run)
            if self.filling and self.filling != epoch:
                self.filling = 0
        if epoch != self.promised or self.leader != (who, run):
            return False
        self.heard = now
        return True

    def hear_fence(self, now: Micros, who: str, said: Fence) -> Held:
        self.learn(said.lives)
        yes = self.admit(now, said.epoch, who, said.life)
        store, floor, entries = self.store, None, []
        if yes and said.step == "fetch":
            after = said.offset
            if store.epoch_at(after) != said.before:
                floor, after = store.floor, store.base
            entries = store.after(after, BATCH, store.last)
        return Held(
            said.epoch,
            said.step,
            yes,
            self.promised,
            self.blank,
            self.life,
            list(self.lives),
            store.last,
            store.last_epoch,
            self.beat,
            floor,
            entries,
        )

    # Copies.

    def answer(self, yes: bool, last: int, beat: int = 0) -> Replicated:
        return Replicated(yes, self.promised, self.blank, self.life, last, beat)

    def hear_fill(self, now: Micros, who: str, said: Fill) -> Replicated | None:
        if not self.admit(now, said.epoch, who, said.life):
            return self.answer(False, 0)
        least = self.least()
        if said.to_life != self.life or self.blank and not said.by_all and (least is None or said.epoch < least):
            return self.answer(False, 0)  # and it says which life it is in now, for the next one
        store = self.store
        if self.blank and self.filling != said.epoch:
            store.reset(said.floor)
            self.filling, self.target = said.epoch, said.target
        elif not self.blank and store.epoch_at(said.floor.offset) != said.floor.epoch:
            if said.floor.offset < store.committed:
                return None
            store.reset(said.floor)
        return self.fitted(now, max(said.floor.offset, store.base), 0)

    def hear_replicate(self, now: Micros, who: str, said: Replicate) -> Replicated:
        if not self.admit(now, said.epoch, who, said.life):
            return self.answer(False, 0)
        store = self.store
        if self.blank and self.filling != said.epoch:
            return self.answer(False, 0)
        at, entries = said.offset, said.entries
        if at < store.base:  # what is forgotten here was committed
            entries, at = [entry for entry in entries if entry.offset > store.base], store.base
            if said.offset + len(said.entries) < store.base:
                return self.answer(True, said.offset + len(said.entries), said.beat)
        elif store.epoch_at(at) != said.before:
            return self.answer(False, store.last if at > store.last else store.committed)
        for entry in entries:
            have = store.epoch_at(entry.offset)
            if have is not None and have != entry.epoch:
                store.cut(entry.offset - 1)
                have = None
            if have is None:
                store.append(now, entry)
        match = at + len(entries)
        store.commit(min(said.committed, match), said.generation)
        self.beat = max(self.beat, said.beat)
        if said.confirmed > self.confirmed:
            self.confirmed, self.mark = said.confirmed, said.committed
        return self.fitted(now, match, said.beat)

    def fitted(self, now: Micros, match: int, beat: int) -> Replicated:
        """It has what the leader has up to there."""
        if self.blank and match >= self.target:
            self.blank = False
            self.lines.append(f"log: whole again, offset={match} epoch={self.promised}")
        return self.answer(True, match, beat)
