"""Counts what a node does by name and reason, and prints the counts for staff.

The text is Prometheus' exposition format: its client library is not loaded for it, as it takes
2 MB of the 32 that a node may have. It must never hold more than a bounded number of reasons.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

MOST = 200  # names and reasons that are counted one by one; what comes later counts as other
OTHER = "other"
EVERY = 0.2  # seconds between two log lines of one name and reason; those between them are counted


class Counters:
    """Counts by name and reason."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, reason: str) -> None:
        """One more of that name, for that reason."""
        key = name, reason
        if key not in self.counts and len(self.counts) >= MOST:
            key = name, OTHER
        self.counts[key] += 1

    def text(self) -> str:
        """All counts, a line each."""
        lines = [
            f'saltmoor_{name}_total{{reason="{reason}"}} {n}'
            for (name, reason), n in sorted(self.counts.copy().items())
        ]
        return "\n".join(lines)


class RequestLog:
    """Lines on single requests, each with its id: one of a kind in a while, so that they crowd out no others."""

    def __init__(self, log: Callable[[str], None], seconds: Callable[[], float], counters: Counters) -> None:
        self.log, self.seconds, self.counters = log, seconds, counters
        self.said: dict[tuple[str, str], float] = {}
        self.skipped: Counter[tuple[str, str]] = Counter()

    def note(self, name: str, reason: str, request: str, **figures: object) -> None:
        """Count it, and say it with its request's id where the last such line is some time ago."""
        self.counters.add(name, reason)
        key, now = (name, reason), self.seconds()
        if key in self.said and now - self.said[key] < EVERY:
            self.skipped[key] += 1
            return
        if len(self.said) < MOST or key in self.said:
            self.said[key] = now
        rest = "".join(f" {one}={value}" for one, value in figures.items())
        more = f" skipped={skipped}" if (skipped := self.skipped.pop(key, 0)) else ""
        self.log(f"{name} request={request} reason={reason}{rest}{more}")
