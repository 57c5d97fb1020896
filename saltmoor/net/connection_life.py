"""The life of one client's connection as a typed state: which steps it may take, why it took each, and since when.

It must never parse a protocol, carry out a request, or hold a bound: when a step is due is decided in `guard/ends`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from saltmoor.model import Micros


class State(Enum):
    """Where a connection stands; it takes steps downwards alone."""

    OPEN = "open"
    TOLD = "told"  # it ends as soon as nothing is open on it; what crosses is still read
    READS_NO_MORE = "reads-no-more"
    ANSWERING = "answering"  # the same, and answers are owed
    SAYING_END = "saying-end"  # all is answered; the client is given a moment to see the end
    CLOSED = "closed"


ORDER = {state: place for place, state in enumerate(State)}


class WrongStep(Exception):
    """A step that a connection's life does not have."""


class Life:
    """One connection's state. `note` is told of each step: the new state, and its reason."""

    __slots__ = ("note", "reason", "since", "state", "told_at")

    def __init__(self, now: Micros, note: Callable[[State, str], None]) -> None:
        self.state, self.reason, self.since, self.note = State.OPEN, "", now, note
        self.told_at: Micros = 0  # when the node began to end it; 0: it did not

    def step(self, state: State, reason: str, now: Micros) -> bool:
        """Go on to that state; false where it is there already. Raises `WrongStep` for a step backwards."""
        if state is self.state:
            return False
        if ORDER[state] < ORDER[self.state]:
            raise WrongStep(f"{self.state.value} to {state.value}")
        if state is not State.CLOSED and not self.told_at:
            self.told_at = now
        self.state, self.since = state, now
        self.reason = self.reason or reason  # what came first is why it ends
        self.note(state, reason)
        return True

    @property
    def ends(self) -> bool:
        """The node has begun to end it."""
        return self.state is not State.OPEN

    @property
    def reads(self) -> bool:
        """What comes on it is read."""
        return ORDER[self.state] <= ORDER[State.TOLD]

    def told_for(self, now: Micros) -> Micros:
        """How long the node has been ending it; 0 where it is not."""
        return now - self.told_at if self.told_at else 0
