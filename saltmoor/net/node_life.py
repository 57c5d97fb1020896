"""A node's own life: starting, serving, stopping, ended; since when it drains, and what of that a successor is told.

Times are the node's own clock, which is monotonic; between two processes of one node they go as spans, with the moment
of sending on the machine's monotonic clock, so that a message that waited is not taken for a fresh one. It must never end
a connection, or keep a wall time.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from saltmoor.model import Micros

LONGEST_WAIT: Micros = 60_000_000  # a message that waited for longer has a clock that cannot be believed


class Phase(Enum):
    """Where a node stands; it goes on downwards alone."""

    STARTING = "not ready"
    SERVING = "serving"
    STOPPING = "stopping"
    ENDED = "ended"


@dataclass(slots=True, frozen=True)
class Drain:
    """Whether the node sends its clients away, and when that was last changed; 0: never."""

    on: bool = False
    changed: Micros = 0


def monotonic() -> Micros:
    """The machine's monotonic clock, which all its processes share."""
    return time.monotonic_ns() // 1000


class NodeLife:
    """The node's phase and its drain. Staff change the drain from the second address's thread."""

    def __init__(self, clock: Callable[[], Micros], sent: Callable[[], Micros] = monotonic) -> None:
        self.clock, self.sent = clock, sent
        self.phase, self.drain = Phase.STARTING, Drain()
        self.lock = threading.Lock()  # of changes to the drain

    def enter(self, phase: Phase) -> None:
        """Go on to that phase."""
        self.phase = phase

    @property
    def words(self) -> str:
        """The state in a few words, for staff."""
        return "lame duck" if self.phase is Phase.SERVING and self.drain.on else self.phase.value

    def order(self, on: bool, came_ago: Micros = 0) -> bool:
        """Staff said so, so long ago; whether it changed anything.

        The same again does not: the drain's time goes on from its begin.
        """
        with self.lock:
            if on == self.drain.on:
                return False
            self.drain = Drain(on, max(self.clock() - came_ago, self.drain.changed + 1))
            return True

    def said(self) -> dict[str, Any]:
        """The drain, for the other process of this node."""
        drain = self.drain  # another thread may put a new one in its place meanwhile
        return {"lame": drain.on, "lame_for": self.clock() - drain.changed, "sent": self.sent()}

    def hear(self, message: Mapping[str, Any]) -> bool:
        """Take the other process's word where it is the later one; whether anything changed.

        Where both drain already, the earlier begin counts. A version of the program that tells no span is believed for
        this moment.
        """
        on, span = bool(message["lame"]), message.get("lame_for")
        changed = self.clock() - (int(span) + waited(message, self.sent()) if span is not None else 0)
        with self.lock:
            if on == self.drain.on:
                news = on and changed < self.drain.changed
            else:
                news = changed > self.drain.changed
            if news:
                self.drain = Drain(on, changed)
        return news


def waited(message: Mapping[str, Any], now: Micros) -> Micros:
    """How long a message was under way, or stood unread by a process that was held up."""
    passed = now - int(message.get("sent", now))
    return passed if 0 <= passed <= LONGEST_WAIT else 0
