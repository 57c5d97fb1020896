"""Owns who fetches a key: one permit a key over the fleet, numbered and short. No I/O, no clock.

Each key has a keeper, a member by rendezvous hashing over those that are there. A node that misses asks it; the answer
is a permit, or the word that another is fetching. Where views differ two keepers give two permits: that costs a
fetch, never an answer. It must never hold up a transaction: who hears nothing in time goes by itself.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from zlib import crc32

from saltmoor.model import Micros

MOST = 20_000  # permits kept at once; the oldest goes


def keeper(key: int, names: list[str]) -> str:
    return max(names, key=lambda name: crc32(b"%d" % key, crc32(name.encode())))


@dataclass(slots=True)
class Permit:
    number: int
    holder: str
    until: Micros


class Turns:
    """`life`: makes numbers of a later process larger, so that words of before mean nothing to it."""

    def __init__(self, life: int) -> None:
        self.number, self.permits = life << 20, OrderedDict()

    def ask(self, now: Micros, key: int, who: str, lease: Micros) -> tuple[bool, int]:
        """Whether that node may fetch now, and the permit's number, its own or the one that is out."""
        permit = self.permits.get(key)
        if permit and now < permit.until and permit.holder != who:
            return False, permit.number
        # Guards against a holder that died: after its lease the next one goes.
        self.number += 1
        self.permits[key] = Permit(self.number, who, now + lease)
        self.permits.move_to_end(key)
        while len(self.permits) > MOST:
            self.permits.popitem(last=False)
        return True, self.number

    def done(self, key: int, number: int) -> None:
        """The copy is there, or the fetch failed; a late word about an earlier permit changes nothing."""
        permit = self.permits.get(key)
        if permit and permit.number == number:
            del self.permits[key]

    def void(self, key: int) -> None:
        """It was written: what is being fetched may be the value of before."""
        self.permits.pop(key, None)
