"""The words of the guard: which rules there are, for which reason something may not be done, and the answer itself."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Rule(Enum):
    """What must hold, in the field's terms. Source: the protocol page and the operators' standing test."""

    LOST = "lost"  # every request gets its one final answer in time
    DUPLICATE = "duplicate"  # no effect twice
    DRAIN = "drain"  # nothing new to a server that drains or has left the list
    SLOW_START = "slow-start"  # no more to a cold server than the settings allow
    RETRY_BUDGET = "retry-budget"  # further attempts within the stated budget
    DEADLINE = "deadline"  # a server is told of no more time than its client has left
    HELD = "held"  # a client's connection is gone by the bound of a drain or stop
    READ_PAST_END = "read-past-end"  # nothing is read from a connection that is not read any more
    CLIENT_GONE = "client-gone"  # nothing is begun for a client that has left


class Reason(Enum):
    """Why something may not be done now."""

    NONE = "allowed"
    DEADLINE_PASSED = "deadline-passed"
    ATTEMPTS_USED = "attempts-used"
    ATTEMPT_OPEN = "attempt-open"  # and the settings allow no second copy
    MAY_HAVE_RUN = "may-have-run"
    WINDOW_OVER = "window-over"
    OTHER_GROUP = "other-group"
    MALFORMED = "malformed"  # a server could not use the command; no other could either
    SERVER_LEFT = "server-left"  # it drains, has left the list, or has moved
    CLIENT_LEFT = "client-left"
    STOPPING = "stopping"
    ID_OPEN = "id-open"
    NO_MEMORY = "no-memory"
    NO_ROOM = "no-room"
    REQUESTS_OPEN = "requests-open"
    BYTES_WAIT = "bytes-wait"
    BOUND_OVER = "bound-over"  # the time in which a connection had to end


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether something may be done now; true where it may."""

    allowed: bool
    reason: Reason

    def __bool__(self) -> bool:
        return self.allowed


ALLOWED = Verdict(True, Reason.NONE)
DENIED = {reason: Verdict(False, reason) for reason in Reason if reason is not Reason.NONE}
