"""Weighted rendezvous hashing: the order in which a key prefers servers, and its first few without scoring all of them.

A server's score for a key is log(spot) / weight, with `agenda.spot` as the hash of both; the best score comes first, and of
two equal ones that of the server which stands later in the list. No I/O, no clock.

The hashes of all servers for a key are computed at once, in integers that hold one lane of 128 bits a server: 64 for a
hash, and as many for what a product carries. Servers whose hash is under a bound, which depends on their weight, are left
out; the others are scored one by one.
"""

from __future__ import annotations

import struct
from math import exp, log

from saltmoor.agenda import FIRST_FACTOR, FIRST_SHIFT, MASK, SECOND_FACTOR, SECOND_SHIFT, spot
from saltmoor.model import Server

LANE_BYTES = 16
LANE_BITS = 8 * LANE_BYTES
HASH_BITS = 64
HASHES = 1 << HASH_BITS  # values that a hash may take
# In hashes: what the rounding of a score may hide. A score is wrong by 2^-46 at most, as no logarithm of a hash is over 45.
ROUNDING = 1 << 20
LOWER_BITS = HASH_BITS - SECOND_SHIFT  # of a hash: its last step changes these alone
FOLDS = 6  # by which the 64 bits of a lane's upper half are full
MORE_EXPECTED = 5  # servers over the bound, beside three for each that is wanted: hardly ever there are too few
GROWTH = 4  # of the servers that are expected, where there were too few


class Ranking:
    """The order of servers by key, as their weights are when it is made.

    Memory: up to 16 bytes a server for each of some ten integers, once the first server is asked for.
    """

    def __init__(self, servers: list[Server]) -> None:
        self.servers = servers
        self.weights = [server.weight for server in servers]
        self.total_weight = sum(self.weights)
        self.packed: _PackedHashes | None = None
        self.bounds: dict[int, tuple[float, int]] = {}  # by servers expected: the score, and what is added to each lane

    def first(self, key: int, wanted: int) -> list[Server]:
        """The first `wanted` servers of the key, best first; all of them where there are no more."""
        expected = 3 * wanted + MORE_EXPECTED
        while 2 * expected < len(self.servers):
            found = self._over_bound(key, expected)
            if len(found) >= wanted:
                return found[:wanted]
            expected *= GROWTH
        return self.every(key)[:wanted]

    def every(self, key: int) -> list[Server]:
        """All servers, best first for the key."""
        scored = [
            (log(spot(key, server.salt)) / weight, i)
            for i, (server, weight) in enumerate(zip(self.servers, self.weights))
        ]
        scored.sort(reverse=True)
        return [self.servers[i] for _, i in scored]

    def _over_bound(self, key: int, expected: int) -> list[Server]:
        """The key's servers with a score over the bound by which about so many are expected, best first.

        No server that is left out has a better score than one of them.
        """
        if expected not in self.bounds:
            self.bounds[expected] = self._bound(expected)
        least_score, lanes = self.bounds[expected]
        scored = []
        for i in self._packed().at_least(key, lanes):
            score = log(spot(key, self.servers[i].salt)) / self.weights[i]
            if score > least_score:
                scored.append((score, i))
        scored.sort(reverse=True)
        return [self.servers[i] for _, i in scored]

    def _packed(self) -> _PackedHashes:
        if self.packed is None:
            self.packed = _PackedHashes([server.salt for server in self.servers])
        return self.packed

    def _bound(self, expected: int) -> tuple[float, int]:
        """The score, and for each lane how far a hash with that score is from the lane's end."""
        score = -expected / self.total_weight
        missing: dict[float, int] = {}
        for weight in set(self.weights):
            least_hash = int(exp(score * weight) * HASHES) - ROUNDING
            least_hash = max(1, least_hash >> LOWER_BITS << LOWER_BITS)  # what is missing has 64 bits at most
            missing[weight] = HASHES - least_hash
        return score, _lanes([missing[weight] for weight in self.weights])


class _PackedHashes:
    """The hashes of many salts with one key, as `agenda.spot` has them before it divides."""

    def __init__(self, salts: list[int]) -> None:
        self.salts = _lanes(salts)
        self.ones = _lanes([1] * len(salts))
        self.low = self.ones * MASK
        self.carry = self.ones << HASH_BITS
        self.halves = []  # lanes that are left by each fold
        lanes = len(salts)
        for _ in range(FOLDS):
            lanes = (lanes + 1) // 2
            self.halves.append(lanes)
        self.masks = [(1 << half * LANE_BITS) - 1 for half in self.halves]

    def at_least(self, key: int, missing: int) -> list[int]:
        """The places of those salts whose hash is at least 2^64 less what `missing` has in its lane.

        The hash's last step is left out: it changes none of the bits that the bounds have.
        """
        mixed = ((self.salts ^ self.ones * key) * FIRST_FACTOR) & self.low
        mixed = (((mixed ^ (mixed >> FIRST_SHIFT)) & self.low) * SECOND_FACTOR) & self.low
        return self._places((mixed + missing) & self.carry)

    def _places(self, carried: int) -> list[int]:
        """The places of the lanes whose carry is set.

        The upper half of the lanes is laid over the lower one, with its carries in bits of their own, and so again: then
        few bytes have to be looked through.
        """
        for fold, (half, mask) in enumerate(zip(self.halves, self.masks)):
            carried = carried & mask | carried >> half * LANE_BITS - (1 << fold)
        size = self.halves[-1]
        words = struct.unpack(f"<{2 * size}Q", carried.to_bytes(LANE_BYTES * size, "little"))
        places = []
        for lane, word in enumerate(words[1::2]):
            while word:
                lowest = word & -word
                word ^= lowest
                places.append(self._unfolded(lane, lowest.bit_length() - 1))
        return places

    def _unfolded(self, lane: int, bit: int) -> int:
        """Where the carry was that is in that bit behind all folds: each bit of its number says of one fold whether it moved."""
        return lane + sum([half for fold, half in enumerate(self.halves) if bit >> fold & 1])


def _lanes(numbers: list[int]) -> int:
    """One integer with these numbers, of up to 64 bits, each in a lane of its own; the first one lowest."""
    words = [0] * (2 * len(numbers))
    words[::2] = numbers
    return int.from_bytes(struct.pack(f"<{len(words)}Q", *words), "little")
