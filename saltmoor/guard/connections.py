"""Says whether a request may be started, and a client's connection taken or ended. No I/O; the clock is passed in."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from saltmoor.guard.verdicts import ALLOWED, DENIED, Reason, Verdict
from saltmoor.model import Micros


@dataclass(slots=True, frozen=True)
class Occupancy:
    """What a node's connections come to, and what they may come to."""

    clients: int
    leaving: int  # of those, on their way out: their descriptors are in the reserve
    upstreams: int
    most_clients: int
    most_upstreams: int
    most: int
    reserve: int


@dataclass(slots=True, frozen=True)
class Outside:
    """A connection as the kernel knows it, whatever the node has noticed of it."""

    unread: bool  # bytes of the other side stand unread
    untaken: int  # bytes that were written, and that the other side's machine has not acknowledged
    left: bool  # the other side has ended its sending or the connection, and nothing of it stands unread

    @property
    def settled(self) -> bool:
        """It can be closed, and neither side loses anything that was written."""
        return self.left or not self.unread and not self.untaken


class Room(Enum):
    """Whether one more client may be taken, and who makes room for it otherwise."""

    FREE = auto()
    NONE = auto()
    NONE_AND_NOBODY_LEAVES = auto()  # the caps have come down
    BY_UPSTREAM = auto()  # a free connection to a server, else a client that asks nothing
    BY_CLIENT = auto()  # a client that asks nothing


def room_for_client(now: Occupancy) -> Room:
    """Whether one more client's connection may be taken."""
    staying = now.clients - now.leaving
    if now.clients + now.upstreams >= now.most + now.reserve or now.clients >= now.most_clients + now.reserve:
        return Room.NONE if now.leaving else Room.NONE_AND_NOBODY_LEAVES
    full = staying + now.upstreams >= now.most
    if full and now.upstreams > now.most_upstreams:
        return Room.BY_UPSTREAM if staying < now.most_clients else Room.BY_CLIENT
    return Room.BY_CLIENT if full or staying >= now.most_clients else Room.FREE


def may_start(now: Micros, *, left: Micros, until: Micros, id_open: bool, memory: bool) -> Verdict:
    """Whether a request that was read may be begun.

    `left`: how long its client still waits; `until`: when the process ends, 0 where it does not.
    """
    if id_open:
        return DENIED[Reason.ID_OPEN]  # of two answers to one id one would be a stranger's
    if not memory:
        return DENIED[Reason.NO_MEMORY]
    if until and until <= now:
        return DENIED[Reason.STOPPING]
    return ALLOWED if left > 0 else DENIED[Reason.DEADLINE_PASSED]


def memory_wait(waited: Micros, *, given: Micros, whole: bool) -> Micros:
    """How much longer a command may wait for memory until it is refused, or looked at again; 0: it is refused now.

    `waited`: since its head came; `given`: how long its client waits for an answer; `whole`: its last byte has come.
    A whole one waits for half of its time at most, so that as much is left to serve it, or to try again. Of one that is
    not whole its client may have written all, more than the machine takes, and wait for as long: it is refused by then.
    """
    if waited < given // 2:
        return given // 2 - waited
    return 0 if whole else max(0, given - waited)


def may_end(*, idle: bool, quiet: bool) -> Verdict:
    """Whether a connection may be ended from this side: `idle`, nothing that was read is unanswered or unfinished;
    `quiet`, nothing stands unread."""
    if not idle:
        return DENIED[Reason.REQUESTS_OPEN]
    return ALLOWED if quiet else DENIED[Reason.BYTES_WAIT]
