"""Owns who fetches a key: one permit a key over the fleet, numbered and short, and where copies have just been made.

Each key has a keeper, a member by rendezvous hashing over those that are there. A node that misses asks it; it may
fetch, or waits for who does, or hears where a copy is. Where views differ two keepers give two permits: that costs a
fetch, never an answer. It must never hold up a transaction: who hears nothing in time goes by itself. No I/O; the
clock is passed in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from saltmoor.model import Micros

MOST = 20_000  # permits, and copies, kept at once; the oldest goes
KEPT: Micros = 3_000_000  # so long it is said where a copy was made; then the preferred server gets its own
WAITERS = 200  # that may wait for one permit


class How(IntEnum):
    GO = 0  # fetch it: the permit is this one's
    WAIT = 1  # another does; one of the other two follows
    THERE = 2  # a copy is at that server


@dataclass(slots=True)
class Word:
    """What is told to whom: the number of their question, the permit's, and the server of a copy."""

    to: str
    ask: int
    how: How
    permit: int = 0
    server: str = ""


@dataclass(slots=True)
class Permit:
    number: int
    holder: str
    until: Micros
    lease: Micros
    waiters: list[tuple[str, int]] = field(default_factory=list)


def keeper(key: int, names: list[str]) -> str:
    return max(names, key=lambda name: crc32(b"%d" % key, crc32(name.encode())))


class Turns:
    """`life`: makes numbers of a later process larger, so that words of before mean nothing to it."""

    def __init__(self, life: int) -> None:
        self.number = life << 20
        self.permits: OrderedDict[int, Permit] = OrderedDict()
        self.copies: OrderedDict[int, tuple[str, Micros]] = OrderedDict()

    def ask(self, now: Micros, key: int, who: str, ask: int, lease: Micros, missed: str = "") -> Word:
        """A node missed that key at that server."""
        if copy := self.copies.get(key):
            if copy[0] == missed or now - copy[1] > KEPT:
                del self.copies[key]
            else:
                return Word(who, ask, How.THERE, 0, copy[0])
        permit = self.permits.get(key)
        if permit and now < permit.until and permit.holder != who:
            if len(permit.waiters) < WAITERS:
                permit.waiters.append((who, ask))
                return Word(who, ask, How.WAIT, permit.number)
            return Word(who, ask, How.GO)
        return self.grant(now, key, who, ask, lease, permit.waiters if permit else [])

    def grant(self, now: Micros, key: int, who: str, ask: int, lease: Micros, waiters: list[tuple[str, int]]) -> Word:
        self.number += 1
        self.permits[key] = Permit(self.number, who, now + lease, lease, waiters)
        self.permits.move_to_end(key)
        while len(self.permits) > MOST:
            self.permits.popitem(last=False)
        return Word(who, ask, How.GO, self.number)

    def done(self, now: Micros, key: int, number: int, server: str) -> list[Word]:
        """A fetch has ended; `server` has the copy, empty: it failed. A late word about an earlier permit changes
        no permit."""
        permit = self.permits.get(key)
        # What was begun under another permit may be the value before a write; without one nobody can tell.
        if number and (permit is None or permit.number != number):
            return []
        if server:
            self.copies[key] = server, now
            self.copies.move_to_end(key)
            while len(self.copies) > MOST:
                self.copies.popitem(last=False)
        if permit is None or permit.number != number and not server:
            return []
        del self.permits[key]
        if server:
            return [Word(who, ask, How.THERE, 0, server) for who, ask in permit.waiters]
        return self.pass_on(now, key, permit)

    def pass_on(self, now: Micros, key: int, permit: Permit) -> list[Word]:
        """Guards against a holder that failed or died: the next one goes."""
        if not permit.waiters:
            return []
        who, ask = permit.waiters.pop(0)
        return [self.grant(now, key, who, ask, permit.lease, permit.waiters)]

    def void(self, now: Micros, key: int) -> list[Word]:
        """It was written: what is being fetched may be the value of before, and copies are no more."""
        self.copies.pop(key, None)
        permit = self.permits.pop(key, None)
        return self.pass_on(now, key, permit) if permit else []

    def sweep(self, now: Micros) -> list[Word]:
        """Permits whose time is over; their order is nearly that of their ends."""
        words = []
        for key in [key for key, permit in self.permits.items() if permit.until <= now]:
            words += self.pass_on(now, key, self.permits.pop(key))
        return words
