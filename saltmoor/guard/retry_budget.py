"""The stated budget of further attempts, counted in a window that slides. No I/O; the clock is passed in."""

from __future__ import annotations

from collections import deque

from saltmoor.model import HopBudget, Micros


class RetryBudget:
    """Attempts beyond each request's first, in any window: so many, and a share of the requests that were taken."""

    def __init__(self) -> None:
        self.taken: deque[Micros] = deque()
        self.further: deque[Micros] = deque()

    def left(self, now: Micros, budget: HopBudget, part: float) -> float:
        """How many more may be made now; `part`: what this process may do of what its node may."""
        edge = now - budget.window
        while self.taken and self.taken[0] <= edge:
            self.taken.popleft()
        while self.further and self.further[0] < edge:
            self.further.popleft()
        return budget.free * part + budget.share * len(self.taken) - len(self.further)
