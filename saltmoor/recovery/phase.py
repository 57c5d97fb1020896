"""Owns what a node knows of its own coming back: whether copies are lost, filling, or all is as usual.

It is told of each answer of a cache server to a read (a copy was there, or not) and of each answer of the origin, and
asked once a step which phase it is in. From that come the log's lines and how long who is turned away shall stay
away. It must never choose a server, turn anything away, nor read a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from saltmoor.model import Micros

STEP: Micros = 250_000
READS = 8.0  # answers a second at least, or the share says nothing
QUICK, SLOW = 0.4, 0.02  # a step's part in the share of misses as it is, and as it usually is
PRIOR = 0.3  # the usual share of misses, before any is known
MORE, LESS = 0.15, 0.05  # beyond the usual share: copies were lost; are filled
HELD = 4  # steps in a row that say so, before all is as usual again
STUCK: Micros = 20_000_000  # a share that long over the usual is the usual one by now
SHORTEST: Micros = 50_000


class Phase(Enum):
    STEADY = auto()
    LOST = auto()  # reads miss, and nothing has been fetched yet
    FILLING = auto()


class Sign(Enum):
    MORE = auto()  # reads miss far more than usual
    FETCHED = auto()  # the origin answers
    LESS = auto()  # as usual again, for a while
    STUCK = auto()


TABLE = {
    (Phase.STEADY, Sign.MORE): Phase.LOST,
    (Phase.LOST, Sign.FETCHED): Phase.FILLING,
    (Phase.LOST, Sign.LESS): Phase.STEADY,
    (Phase.LOST, Sign.STUCK): Phase.STEADY,
    (Phase.FILLING, Sign.LESS): Phase.STEADY,
    (Phase.FILLING, Sign.STUCK): Phase.STEADY,
}


class Recovery:
    def __init__(self, now: Micros) -> None:
        self.phase, self.begun, self.stepped = Phase.STEADY, now, now
        self.reads = self.missed = self.fetched = 0  # of this step
        self.rate = self.share = 0.0  # answers a second, and the share of them that missed: lately
        self.usual, self.known = PRIOR, 0  # that share as it usually is; steps it was learnt in
        self.worst, self.fetches, self.near = 0.0, 0, 0

    def read(self, missed: bool) -> None:
        self.reads += 1
        self.missed += missed

    def answered(self) -> None:
        """The origin has answered a fetch."""
        self.fetched += 1

    def step(self, now: Micros) -> str:
        """Once a STEP; a line for the log where the phase has changed."""
        part = max(1, now - self.stepped) / 1_000_000
        self.stepped = now
        self.rate += (self.reads / part - self.rate) * QUICK
        if self.reads:
            self.share += (self.missed / self.reads - self.share) * QUICK * min(1.0, self.reads / (READS * part))
        fetched, self.reads, self.missed, self.fetched = self.fetched, 0, 0, 0
        self.fetches += fetched
        over = self.share - self.usual
        self.near = self.near + 1 if over < LESS else 0
        if self.phase is Phase.STEADY and self.rate >= READS and over <= MORE:
            self.known += 1
            self.usual += over * max(SLOW, 1 / (self.known + 8))
        self.worst = max(self.worst, self.share)
        for sign, holds in (
            (Sign.MORE, over > MORE and self.rate >= READS),
            (Sign.FETCHED, fetched),
            (Sign.LESS, self.near >= HELD),
            (Sign.STUCK, now - self.begun > STUCK),
        ):
            if holds and (after := TABLE.get((self.phase, sign))):
                return self.enter(after, sign, now)
        return ""

    def enter(self, after: Phase, sign: Sign, now: Micros) -> str:
        before, self.phase = self.phase, after
        if before is Phase.STEADY:
            self.begun, self.worst, self.fetches = now, self.share, 0
        if sign is Sign.STUCK:
            self.usual = self.share
        figures = f"misses={self.share:.0%} usual={self.usual:.0%}"
        if after is Phase.STEADY:
            figures += f" most={self.worst:.0%} fetches={self.fetches} took_ms={(now - self.begun) // 1000}"
        return f"copies {after.name.lower()}: {figures}"

    def stay_away(self, now: Micros, least: Micros, chance: Callable[[], float]) -> Micros:
        """How long who is turned away now shall stay away, so that not all are back at once.

        While copies fill: about as long again as it has taken so far, as nothing is known of its end; else `least`.
        """
        if self.phase is Phase.STEADY:
            return least
        return max(least, int(max(SHORTEST, now - self.begun) * (0.5 + chance())))
