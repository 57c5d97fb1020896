"""Owns who fetches a key: one fetch lease a key over the fleet, numbered and short, and where copies have just been made.

Each key has an owner, a member by rendezvous hashing over those that are there. A node that misses asks it; it may
fetch, or waits for who does, or hears where a copy is. Where views differ two owners grant two leases: that costs a
fetch, never an answer. It must never hold up a request: who hears nothing in time goes by itself. No I/O; the clock is
passed in.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum
from zlib import crc32

from saltmoor.model import Micros

LEASES_MOST = 20_000  # and as many copies; the oldest goes
COPY_KNOWN: Micros = 3_000_000  # so long it is said where a copy was made; then the preferred server gets its own
WAITERS_MOST = 200  # that may wait for one lease
NUMBERS_BITS = 20  # leases of one incarnation for each of its milliseconds


class Decision(IntEnum):
    """The owner's answer to a request for a lease; the numbers are the wire's."""

    FETCH = 0  # the lease is the requester's
    WAIT = 1  # another fetches; one of the other two follows
    COPY = 2  # a copy is at that server


@dataclass(slots=True)
class LeaseAnswer:
    """What is told to whom: their request's number, the decision, the lease's number, and the server of a copy."""

    to: str
    request: int
    decision: Decision
    lease: int = 0
    server: str = ""


@dataclass(slots=True)
class Lease:
    """One key's; `waiters` by their names and their requests' numbers."""

    number: int
    holder: str
    until: Micros
    duration: Micros
    waiters: list[tuple[str, int]] = field(default_factory=list)


def owner_of(key: int, names: list[str]) -> str:
    """The member that grants that key's leases."""
    return max(names, key=lambda name: crc32(b"%d" % key, crc32(name.encode())))


class LeaseTable:
    """The leases of the keys that one node owns.

    `incarnation` makes the numbers of a later process larger, so that messages of before mean nothing to it.
    """

    def __init__(self, incarnation: int) -> None:
        self.number = incarnation << NUMBERS_BITS  # of the last lease
        self.leases: OrderedDict[int, Lease] = OrderedDict()
        self.copies: OrderedDict[int, tuple[str, Micros]] = OrderedDict()

    def request(self, now: Micros, key: int, who: str, number: int, duration: Micros, missed: str = "") -> LeaseAnswer:
        """A node missed that key at that server."""
        if copy := self.copies.get(key):
            if copy[0] == missed or now - copy[1] > COPY_KNOWN:
                del self.copies[key]
            else:
                return LeaseAnswer(who, number, Decision.COPY, 0, copy[0])
        lease = self.leases.get(key)
        if lease and now < lease.until and lease.holder != who:
            if len(lease.waiters) < WAITERS_MOST:
                lease.waiters.append((who, number))
                return LeaseAnswer(who, number, Decision.WAIT, lease.number)
            return LeaseAnswer(who, number, Decision.FETCH)
        return self.grant(now, key, who, number, duration, lease.waiters if lease else [])

    def grant(
        self, now: Micros, key: int, who: str, number: int, duration: Micros, waiters: list[tuple[str, int]]
    ) -> LeaseAnswer:
        self.number += 1
        self.leases[key] = Lease(self.number, who, now + duration, duration, waiters)
        self.leases.move_to_end(key)
        while len(self.leases) > LEASES_MOST:
            self.leases.popitem(last=False)
        return LeaseAnswer(who, number, Decision.FETCH, self.number)

    def fetched(self, now: Micros, key: int, number: int, server: str) -> list[LeaseAnswer]:
        """A fetch has ended; `server` has the copy, empty: it failed. A late message about an earlier lease changes
        no lease."""
        lease = self.leases.get(key)
        # What was begun under another lease may be the value before a write; without one nobody can tell.
        if number and (lease is None or lease.number != number):
            return []
        if server:
            self.copies[key] = server, now
            self.copies.move_to_end(key)
            while len(self.copies) > LEASES_MOST:
                self.copies.popitem(last=False)
        if lease is None or lease.number != number and not server:
            return []
        del self.leases[key]
        if server:
            return [LeaseAnswer(who, request, Decision.COPY, 0, server) for who, request in lease.waiters]
        return self.pass_on(now, key, lease)

    def pass_on(self, now: Micros, key: int, lease: Lease) -> list[LeaseAnswer]:
        """Guards against a holder that failed or died: the next one goes."""
        if not lease.waiters:
            return []
        who, request = lease.waiters.pop(0)
        return [self.grant(now, key, who, request, lease.duration, lease.waiters)]

    def void(self, now: Micros, key: int) -> list[LeaseAnswer]:
        """It was written: what is being fetched may be the value of before, and copies are no more."""
        self.copies.pop(key, None)
        lease = self.leases.pop(key, None)
        return self.pass_on(now, key, lease) if lease else []

    def expire(self, now: Micros) -> list[LeaseAnswer]:
        """Leases whose time is over pass on; their order is nearly that of their ends."""
        answers = []
        for key in [key for key, lease in self.leases.items() if lease.until <= now]:
            answers += self.pass_on(now, key, self.leases.pop(key))
        return answers
