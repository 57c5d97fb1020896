"""Owns due times in the lab's world: one ordered structure, run at exact times however late the caller is.

An event runs with its own due time as the present. A stand-in whose timer fires a millisecond late therefore
loses no capacity: what follows from the event begins when the event was due. It must never read a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

Micros = int


class Due:
    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., Any], args: tuple) -> None:
        self.call, self.args = call, args

    def cancel(self) -> None:
        self.call, self.args = None, ()


class Timeline:
    def __init__(self, now: Micros = 0) -> None:
        self.now, self.order = now, 0
        self.heap: list[tuple[Micros, int, Due]] = []
        self.sooner: Callable[[], None] | None = None  # told when the first due time comes forward

    def at(self, when: float, call: Callable[..., Any], *args: Any) -> Due:
        due, when = Due(call, args), max(self.now, int(when))
        self.order += 1
        first = not self.heap or when < self.heap[0][0]
        heappush(self.heap, (when, self.order, due))
        if first and self.sooner:
            self.sooner()
        return due

    def run(self, until: Micros) -> None:
        """Run all that is due, in order; the present is `until` afterwards."""
        while self.heap and self.heap[0][0] <= until:
            when, _, due = heappop(self.heap)
            self.now = max(self.now, when)
            if due.call:
                due.call(*due.args)
        self.now = max(self.now, until)

    def next(self) -> Micros | None:
        while self.heap and not self.heap[0][2].call:
            heappop(self.heap)
        return self.heap[0][0] if self.heap else None
