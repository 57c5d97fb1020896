"""Owns when a node compares its replicated table with another's, what it pulls, and when it has caught up. No I/O.

Entries that are new are told at once; this finds what did not arrive. A ping's digest that differs for longer than new
entries need leads to a pull: of the changes since the last one, and where the digests still differ, of those ranges. It
must never hold an entry, nor be needed to serve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

from saltmoor.model import Micros

SETTLE: Micros = 250_000  # what is new reaches all in that time, or it was lost
PULLS_AT_ONCE = 2
RETRY_AFTER: Micros = 500_000  # a peer that failed or was busy is asked again
GIVERS = 2  # of whom one that starts takes the whole
ALONE: Micros = 3_000_000  # nobody there for so long: there is nothing to catch up with


class Phase(Enum):
    CATCHING = auto()  # up, since the start
    LEVEL = auto()


@dataclass(slots=True)
class PeerTable:
    """What is known of one peer's table."""

    epoch: int = -1
    seq: int = 0  # its changes up to there have been taken
    differs: Micros = 0  # since when its digest differs; 0: it does not
    quiet: Micros = 0  # not asked before that
    ranges: list[tuple[str, int]] = field(default_factory=list)  # to be asked for next: there the digests differ


@dataclass(slots=True)
class Pull:
    """Ask that peer for its changes after `seq` of `epoch`, or for ranges."""

    name: str
    epoch: int
    seq: int
    ranges: list[tuple[str, int]]


@dataclass(slots=True)
class PullSchedule:
    """One node's pulls. `saw` and `done` tell it how tables compare; `next` says whom to pull from."""

    me: str
    now: Micros
    seed: int = 0
    peers: dict[str, PeerTable] = field(default_factory=dict)
    open: dict[str, Pull] = field(default_factory=dict)
    phase: Phase = Phase.CATCHING
    begun: Micros = 0
    whole: set[str] = field(default_factory=set)  # peers whose whole table has been taken since the start
    line: str = ""
    took: Micros = -1
    pulls: int = 0
    repairs: int = 0

    def __post_init__(self) -> None:
        self.begun = self.now

    def saw(self, now: Micros, name: str, same: bool) -> None:
        """A ping told that peer's digest."""
        known = self.peers.setdefault(name, PeerTable())
        if same:
            known.differs, known.ranges = 0, []
            if self.phase is Phase.CATCHING:
                self.level(now, f"as {name}")
        elif not known.differs:
            known.differs = now

    def next(self, now: Micros, there: list[str]) -> list[Pull]:
        """Whom to ask now, of those that are there."""
        self.forget_others(there)
        wanted = self.whole_from(now, there) + self.differing(now, there)
        pulls = []
        for name in wanted:
            known = self.peers.setdefault(name, PeerTable())
            if len(self.open) >= PULLS_AT_ONCE:
                break
            if name in self.open or now < known.quiet:
                continue
            pull = Pull(name, known.epoch, known.seq, known.ranges)
            self.open[name] = pull
            self.pulls += 1
            self.repairs += bool(pull.ranges)
            pulls.append(pull)
        return pulls

    def forget_others(self, there: list[str]) -> None:
        """What was taken of a peer that has gone still counts; but nobody is remembered for ever."""
        for name in [name for name in self.peers if name not in there and name not in self.open]:
            self.peers[name].differs = 0
            if len(self.peers) > 4 * len(there) + 16:
                del self.peers[name]

    def whole_from(self, now: Micros, there: list[str]) -> list[str]:
        """Whose whole table a node that starts may take; it is level once it has that of enough of them."""
        if self.phase is not Phase.CATCHING:
            return []
        if len(self.whole) >= min(GIVERS, len(there)) and there or now - self.begun > ALONE and not there:
            self.level(now, f"from {len(self.whole)}")
        # Guards against ten that return together and all ask the same one: each has an order of its own.
        order = sorted(there, key=lambda name: crc32(f"{self.me}|{name}|{self.seed}".encode()))
        return [name for name in order if name not in self.whole]

    def differing(self, now: Micros, there: list[str]) -> list[str]:
        """Peers whose digest has differed for longer than new entries need."""
        return [
            name
            for name, known in self.peers.items()
            if name in there and (known.ranges or known.differs and now - known.differs >= SETTLE)
        ]

    def done(self, now: Micros, name: str, epoch: int, seq: int, differ: list[tuple[str, int]]) -> None:
        """A pull brought all that was asked for; `differ`: where the two still do."""
        pull = self.open.pop(name, None)
        known = self.peers.setdefault(name, PeerTable())
        known.epoch, known.seq = epoch, max(seq, known.seq if epoch == known.epoch else 0)
        if pull and not pull.ranges:
            self.whole.add(name)
        # After a repair too they may differ, as this one has what the other lacks: that is the other's to fetch.
        known.ranges = differ if pull and not pull.ranges else []
        known.differs = now if differ else 0
        known.quiet = now if known.ranges else now + SETTLE

    def failed(self, now: Micros, name: str) -> None:
        self.open.pop(name, None)
        self.peers.setdefault(name, PeerTable()).quiet = now + RETRY_AFTER

    def level(self, now: Micros, why: str) -> None:
        self.phase, self.took = Phase.LEVEL, now - self.begun
        self.line = f"replica: caught up {why} took_ms={self.took // 1000} pulls={self.pulls}"
