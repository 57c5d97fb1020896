"""Owns the copies that a stand-in cache server keeps: so many bytes, the least recently used go first."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

T = TypeVar("T")


class Lru(Generic[T]):
    """`lasts` is how long an item stays good, in the units of `now`; 0: for good."""

    def __init__(self, capacity: int, lasts: int = 0) -> None:
        self.capacity, self.lasts, self.used = capacity, lasts, 0
        self.items: OrderedDict[bytes, tuple[T, int, int]] = OrderedDict()  # value, bytes, good until

    def get(self, key: bytes, now: int) -> T | None:
        item = self.items.get(key)
        if item is None:
            return None
        if item[2] and now >= item[2]:
            self.void(key)
            return None
        self.items.move_to_end(key)
        return item[0]

    def put(self, key: bytes, value: T, size: int, now: int) -> None:
        """Keep it, in place of what was there; one larger than the whole is not kept."""
        self.void(key)
        if size > self.capacity:
            return
        self.items[key] = (value, size, now + self.lasts if self.lasts else 0)
        self.used += size
        while self.used > self.capacity:
            _, (_, gone, _) = self.items.popitem(last=False)
            self.used -= gone

    def void(self, key: bytes) -> None:
        if item := self.items.pop(key, None):
            self.used -= item[1]
