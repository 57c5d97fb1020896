"""What decisions stand on: effects in order, chance, due times, hashes, one line a change of mode."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any
from zlib import crc32

from saltmoor import model
from saltmoor.model import Micros

TICK, DUE = 1, 2  # tokens of the two timers
MASK = (1 << 64) - 1
FIRST_FACTOR, FIRST_SHIFT = (
    0x9E3779B97F4A7C15,
    31,
)  # of the hash of a key and a salt: odd factors, so that no bit is lost
SECOND_FACTOR, SECOND_SHIFT = 0xBF58476D1CE4E5B9, 29
PERIOD = 250_000  # step of the periodic work: well under any time within which a server is told gone


def salt(server: Any) -> int:
    """A server's own number for its hashes, the same at every node."""
    word = repr(server).encode()
    return crc32(word) << 32 | crc32(word, 7)


def spot(key: int, salt: int) -> float:
    """A number in (0, 1), the same at every node: the hash of a key and a server's salt."""
    mixed = ((key ^ salt) * FIRST_FACTOR) & MASK
    mixed = ((mixed ^ (mixed >> FIRST_SHIFT)) * SECOND_FACTOR) & MASK
    return ((mixed ^ (mixed >> SECOND_SHIFT)) + 1) / (MASK + 2)


class Agenda:
    """One timer for the periodic work; every other due time in one heap with one timer of its own."""

    def __init__(self, seed: int, now: Micros) -> None:
        self.seed, self.counter, self.order = seed.to_bytes(8, "little"), 0, 0
        self.due: list[tuple[Micros, int, Callable[..., Any], tuple]] = []
        self.armed: Micros = 0
        self.mode: set[str] = set()  # what is on
        self.effects: list[model.Effect] = [model.Wake(now + PERIOD, TICK)]

    def chance(self) -> float:
        self.counter += 1
        return crc32(self.counter.to_bytes(8, "little"), crc32(self.seed)) / 2**32

    def at(self, when: Micros, call: Callable[..., Any], *args: Any) -> None:
        self.order += 1
        heappush(self.due, (int(when), self.order, call, args))

    def settle(self, now: Micros) -> None:
        """Call once after a batch of events, before the effects are carried out."""
        if self.due and (not self.armed or self.due[0][0] < self.armed):
            self.armed = max(now + 1, self.due[0][0])
            self.effects.append(model.Wake(self.armed, DUE))

    def woken(self, now: Micros, token: int) -> None:
        if token == TICK:
            self.effects.append(model.Wake(now + PERIOD, TICK))
            self.periodic(now)
        elif now >= self.armed:
            self.armed = 0
        while self.due and self.due[0][0] <= now:
            _, _, call, args = heappop(self.due)
            call(now, *args)

    def periodic(self, now: Micros) -> None:
        raise NotImplementedError

    def say(self, name: str, on: bool, figures: str) -> None:
        if (name in self.mode) != on:
            (self.mode.add if on else self.mode.remove)(name)
            self.effects.append(model.Log(f"{name} {'on' if on else 'off'}: {figures}"))
