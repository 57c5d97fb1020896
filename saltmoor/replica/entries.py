"""Owns the shared table: entries of a few kinds, the one rule by which copies merge, their ages, digests and changes.

Every kind merges by the same rule, the larger (version, body): it commutes, associates and is idempotent, so copies
agree however words were lost, doubled or late, and a build that does not know a kind carries it all the same. What a
kind means is in its version and key, see KINDS. It must never act on an entry, nor read a clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

import msgspec

from saltmoor.model import Micros

RANGES = 16  # of each kind's keys, compared by digest
LONGEST_KEY, LONGEST_KIND, LONGEST_BODY = 400, 16, 512 << 10
BESIDE = 300  # bytes that an entry takes beside its key and body
KINDS_MOST = 32  # kinds that are carried, known or not


@dataclass(slots=True, frozen=True)
class Kind:
    """`until`: the age at which it is forgotten. `most`: how many, the youngest stay."""

    name: str
    key: str
    version: str
    writer: str
    effect: str
    until: Micros
    most: int


SECOND: Micros = 1_000_000
KINDS = {
    kind.name: kind
    for kind in (
        Kind(
            "drain",
            "source|server|start",
            "generation of the list",
            "who heard it from discovery",
            "nothing new goes there",
            600 * SECOND,
            5_000,
        ),
        Kind(
            "start",
            "source|server",
            "the start, wall time in ms",
            "who heard it from discovery",
            "the server counts as cold from then",
            600 * SECOND,
            20_000,
        ),
        Kind(
            "list",
            "source",
            "generation of the list",
            "who heard it from discovery",
            "known servers where discovery has told less",
            86_400 * SECOND,
            16,
        ),
        Kind(
            "evidence",
            "server|observer",
            "the observer's count",
            "the observer",
            "asked before it is sent to",
            5 * SECOND,
            20_000,
        ),
        Kind("word", "what|name", "hybrid logical clock", "operators, at any node", "what it says", 0, 1_000),
    )
}
UNKNOWN = Kind("", "", "", "", "carried", 600 * SECOND, 5_000)


class Entry(msgspec.Struct, array_like=True):
    """One entry as it goes round; `age` in microseconds since it was written, as far as its sender knows."""

    kind: str
    key: str
    version: int
    body: bytes
    age: int
    check: bytes  # of what must not change on its way

    @classmethod
    def made(cls, kind: str, key: str, version: int, body: Any, age: Micros = 0) -> Entry:
        raw = body if isinstance(body, bytes) else msgspec.msgpack.encode(body)
        return cls(kind, key, version, raw, age, check(kind, key, version, raw))


def check(kind: str, key: str, version: int, body: bytes) -> bytes:
    return blake2b(b"%b\0%b\0%d\0%b" % (kind.encode(), key.encode(), version, body), digest_size=8).digest()


@dataclass(slots=True, eq=False)
class Kept:
    version: int
    body: bytes
    written: Micros  # on this node's clock
    check: int
    seq: int  # the change of this store that brought it


def digest_range(key: str) -> int:
    return blake2b(key.encode(), digest_size=1).digest()[0] % RANGES


@dataclass(slots=True)
class Store:
    """`epoch`: of this process's table, so that nobody takes up changes of an earlier one."""

    epoch: int
    most_bytes: int = 8 << 20
    kinds: dict[str, dict[str, Kept]] = field(default_factory=dict)
    digests: dict[str, list[int]] = field(default_factory=dict)
    root: int = 0
    seq: int = 0
    order: dict[int, tuple[str, str]] = field(default_factory=dict)  # changes still in force, oldest first
    bytes: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    conflicts: list[tuple[str, str, bytes, bytes]] = field(default_factory=list)  # one version, two bodies
    said: set[tuple[str, str, int]] = field(default_factory=set)
    hear: Callable[[Entry], None] = lambda entry: None  # told of each entry that is new here

    @staticmethod
    def size(key: str, body: bytes) -> int:
        return len(key) + len(body) + BESIDE

    def count(self) -> int:
        return sum(len(kept) for kept in self.kinds.values())

    def refuse(self, why: str) -> bool:
        self.refused[why] = self.refused.get(why, 0) + 1
        return False

    def fits(self, entry: Entry) -> bool:
        """Guards against damaged, oversized and overdue entries: they are never kept, so never spread."""
        if (
            not 0 < len(entry.kind) <= LONGEST_KIND
            or not 0 < len(entry.key) <= LONGEST_KEY
            or len(entry.body) > LONGEST_BODY
            or entry.version < 0
            or entry.age < 0
        ):
            return self.refuse("size")
        if check(entry.kind, entry.key, entry.version, entry.body) != entry.check:
            return self.refuse("check")
        kind = KINDS.get(entry.kind, UNKNOWN)
        if kind.until and entry.age >= kind.until:
            return self.refuse("old")
        if entry.kind not in self.kinds and len(self.kinds) >= KINDS_MOST:
            return self.refuse("kinds")
        return True

    def put(self, now: Micros, entry: Entry) -> bool:
        """Merge one entry; whether the table has changed by it."""
        if not self.fits(entry):
            return False
        table = self.kinds.setdefault(entry.kind, {})
        before = table.get(entry.key)
        if before is not None:
            if entry.version == before.version and entry.body != before.body:
                self.differ(entry, before)
            if (entry.version, entry.body) <= (before.version, before.body):
                if (entry.version, entry.body) == (before.version, before.body):
                    # The older reading: guards against what goes round for ever, each time a little younger.
                    before.written = min(before.written, now - entry.age)
                return False
        kind = KINDS.get(entry.kind, UNKNOWN)
        # Guards against keys without end, which would push out what matters: the least that is kept goes first,
        # and what is older than all of it never comes in.
        if before is None and len(table) >= kind.most:
            oldest = min(table, key=lambda key: table[key].written)
            if table[oldest].written >= now - entry.age:
                return self.refuse("full")
            self.drop(entry.kind, oldest)
        more = len(entry.body) - len(before.body) if before else self.size(entry.key, entry.body)
        if self.bytes + more > self.most_bytes:
            return self.refuse("bytes")
        if before is not None:
            self.drop(entry.kind, entry.key)
        self.seq += 1
        mark = int.from_bytes(entry.check, "big")
        table[entry.key] = Kept(entry.version, entry.body, now - entry.age, mark, self.seq)
        self.order[self.seq] = entry.kind, entry.key
        self.bytes += self.size(entry.key, entry.body)
        self.mark(entry.kind, entry.key, mark)
        self.hear(entry)
        return True

    def differ(self, entry: Entry, before: Kept) -> None:
        """Two bodies under one version: the rule decides the same everywhere, and both are shown once."""
        which = entry.kind, entry.key, entry.version
        if which not in self.said and len(self.said) < 1000:
            self.said.add(which)
            self.conflicts.append((entry.kind, entry.key, max(entry.body, before.body), min(entry.body, before.body)))

    def mark(self, kind: str, key: str, mark: int) -> None:
        place = self.digests.setdefault(kind, [0] * RANGES)
        place[digest_range(key)] ^= mark
        self.root ^= mark

    def drop(self, kind: str, key: str) -> None:
        kept = self.kinds[kind].pop(key)
        self.order.pop(kept.seq, None)
        self.bytes -= self.size(key, kept.body)
        self.mark(kind, key, kept.check)

    def expire(self, now: Micros, within: Micros = 1 << 62) -> int:
        """Forget what is over its age, of kinds that are kept no longer than `within`; how much."""
        gone = 0
        for name, table in self.kinds.items():
            if 0 < (until := KINDS.get(name, UNKNOWN).until) <= within:
                over = [key for key, kept in table.items() if now - kept.written >= until]
                for key in over:
                    self.drop(name, key)
                gone += len(over)
        return gone

    def entry(self, now: Micros, kind: str, key: str) -> Entry:
        kept = self.kinds[kind][key]
        return Entry(kind, key, kept.version, kept.body, max(0, now - kept.written), kept.check.to_bytes(8, "big"))

    def get(self, kind: str, key: str) -> Kept | None:
        return self.kinds.get(kind, {}).get(key)

    def since(self, now: Micros, seq: int) -> Iterable[Entry]:
        """What has changed here after that change, oldest first; lazily, so that nobody waits for all of it."""
        # Changes come in order: a walk from the newest back finds the place.
        newer = []
        for number in reversed(self.order):
            if number <= seq:
                break
            newer.append(number)
        for number in reversed(newer):
            if place := self.order.get(number):
                yield self.entry(now, *place)

    def ranges(self, now: Micros, wanted: Iterable[tuple[str, int]]) -> Iterable[Entry]:
        for kind, number in wanted:
            for key in [key for key in self.kinds.get(kind, {}) if digest_range(key) == number]:
                if key in self.kinds[kind]:
                    yield self.entry(now, kind, key)

    def compare(self, theirs: dict[str, list[int]]) -> list[tuple[str, int]]:
        """Kinds and ranges in which the two differ."""
        none = [0] * RANGES
        found = []
        for kind in sorted(self.digests.keys() | theirs.keys()):
            own, other = self.digests.get(kind, none), theirs.get(kind, none)
            found += [(kind, i) for i in range(min(RANGES, len(other))) if own[i] != other[i]]
        return found


class Stamps:
    """A hybrid logical clock (Kulkarni et al. 2014): microseconds of the wall in the upper bits, a count below.

    Guards against a wall clock that is ahead: what lies further in the future than `ahead` is refused and moves
    nothing, so that its words do not win until the others' clocks come there.
    """

    BITS = 12

    def __init__(self, ahead: Micros) -> None:
        self.ahead, self.last = ahead, 0

    def make(self, wall: Micros) -> int:
        self.last = max(self.last + 1, wall << self.BITS)
        return self.last

    def take(self, wall: Micros, stamp: int) -> bool:
        if stamp >> self.BITS > wall + self.ahead:
            return False
        self.last = max(self.last, stamp)
        return True
