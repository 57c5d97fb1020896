"""Owns how many hops this node keeps out at the origin, so that all nodes together keep it busy and no more.

Nodes do not talk. Each reads the sum off the origin's own answers: as long as they are slower than they need to be
every node shrinks by the same share, and where they are quick every node that has use for it grows by the same
share, so the sum settles where answers take the wanted time, however many nodes there are. It must never choose a
server or a transaction, nor read a clock. docs/recovery-design.md weighs the ways.
"""

from __future__ import annotations

from saltmoor.model import Micros

FIRST = 16.0  # hops that the whole fleet has out at first: any origin does that much
LEAST = 0.25  # under one hop the room is a rate: one hop now and then
FEW = 2.0  # hops that failures alone leave
STEEP = 0.5  # a round halves the room at most
RISE = 1.2  # and lets it grow by a fifth at most, once it was slow
FASTER = 0.5  # before that each answer adds so much
SHARE = 0.02  # hops a round on top: who has little gains on who has much
ROUND = 6  # answers at least in a round, once it was slow
BEST = 2  # rounds before the best stretch is trusted


class Room:
    """`nodes`: how many share the origin, as far as it is told; 0: not told."""

    def __init__(self, nodes: int = 0) -> None:
        self.limit = max(LEAST, FIRST / nodes) if nodes else 1.0
        self.answers, self.slowed = 0, False  # slowed: it was slow once; until then each answer adds to it
        self.usual = 0.0  # time of its answers lately, their mean
        self.rounds, self.middle, self.base = 0, 0.0, 0.0  # their middle one: lately, and when it was least busy
        self.changed: Micros = 0  # answers to what was sent before tell nothing of the room as it is
        self.times: list[Micros] = []  # of this round: its answers, what failed, hops out at once
        self.failed = self.most = 0
        self.length: float = ROUND  # answers in this round
        self.extra: Micros = 0  # when the last hop went out that only a part of a place was there for

    def free(self, now: Micros, out: int) -> bool:
        """Whether one more hop may go out beside so many."""
        return out < int(self.limit) or out == int(self.limit) and now >= self.next(now)

    def next(self, now: Micros) -> Micros:
        """When the part of a place that the whole ones leave over is there again."""
        part = self.limit - int(self.limit)
        return self.extra + int(min(10.0, 1 / part if part > 0.1 else 10.0) * (self.usual or 10_000))

    def taken(self, now: Micros, out: int) -> None:
        """A hop goes out beside so many."""
        self.most = max(self.most, out + 1)
        if out >= int(self.limit):
            self.extra = now

    def learn(self, now: Micros, elapsed: Micros, ok: bool, goal: Micros) -> None:
        """How a hop to the origin ended; `ok`: with its answer."""
        if ok:
            self.answers += 1
            self.usual += (elapsed - self.usual) * max(0.1, 1 / self.answers)
        if now - elapsed < self.changed:
            return
        if ok:
            self.times.append(elapsed)
            if not self.slowed and 2 * self.most > self.limit:
                self.limit += FASTER * min(1.0, self.limit)
        else:
            self.failed += 1
        if (count := len(self.times) + self.failed) >= self.length:
            self.turn(now, goal, self.failed / count)

    def turn(self, now: Micros, goal: Micros, failed: float) -> None:
        """The end of a round, in which that share failed."""
        before, ease = self.limit, 1.0
        if self.times:
            # The middle one, not the mean: some origins' times vary widely without any queue.
            middle = sorted(self.times)[len(self.times) // 2]
            self.rounds += 1
            self.middle += (middle - self.middle) * max(0.2, 1 / self.rounds)
            self.base = self.middle if self.rounds < BEST else min(self.middle, self.base * 1.01)
            ease = max(1.5 * self.base, goal / 4) / middle
        slow, ease = ease < 1, min(ease, RISE) * (1 - failed)
        if ease < 1:
            # Guards against a cut on the way that is taken for a full origin: what fails leaves a node its few.
            least = LEAST if slow else min(self.limit, FEW)
            self.slowed, self.limit = True, max(least, self.limit * max(STEEP, ease) + SHARE)
        elif self.slowed and 2 * self.most > self.limit:  # no more than it has use for
            self.limit = self.limit * ease + SHARE
        if self.limit != before:
            self.changed = now
        self.times, self.failed, self.most, self.length = [], 0, 0, max(ROUND, self.limit)
