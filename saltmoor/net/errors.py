"""The table of errors that system calls on sockets fail with: whose fault one is, and what follows from it.

It is the one place that knows an errno. Where a socket is used, the code asks `verdict` and acts on the answer; it must
never look at an errno itself. Source: the ERRORS sections of Linux's accept(2), socket(2), connect(2), send(2), recv(2)
and tcp(7).
"""

from __future__ import annotations

import errno
from enum import Enum, auto
from typing import NamedTuple


class Call(Enum):
    """The system call that failed."""

    ACCEPT = "accept"
    SOCKET = "socket"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "recv"


class Fault(Enum):
    """Whose fault an error is."""

    OURS = "ours"  # a shortage of this process or machine: it says nothing of the other side
    CONNECTION = "connection"  # this one connection's
    PEER = "peer"  # the other side's, or the way's to it
    PROGRAM = "program"  # a call that should not have been made


class Then(Enum):
    """What follows from an error."""

    RETRY_NOW = auto()
    RETRY_LATER = auto()  # the same call, after a pause
    SHED = auto()  # give up a descriptor that is of little use, then the same call after a pause
    FAIL = auto()  # end this connection, and nothing else
    BLAME_PEER = auto()  # fail, and hold it against the server


class Verdict(NamedTuple):
    """What an error means: whose fault it is, and what follows."""

    fault: Fault
    then: Then


SHORTAGE = Verdict(Fault.OURS, Then.RETRY_LATER)
INTERRUPTED = Verdict(Fault.OURS, Then.RETRY_NOW)
NO_DESCRIPTOR = Verdict(Fault.OURS, Then.SHED)
OTHER_CONNECTION = Verdict(Fault.CONNECTION, Then.RETRY_NOW)
BROKEN = Verdict(Fault.CONNECTION, Then.FAIL)
UNREACHED = Verdict(Fault.PEER, Then.BLAME_PEER)
MISUSED = Verdict(Fault.PROGRAM, Then.RETRY_LATER)  # also at a listener: the next call may be a good one

EVERYWHERE = {
    errno.EINTR: INTERRUPTED,
    errno.EMFILE: NO_DESCRIPTOR,
    errno.ENFILE: SHORTAGE,
    errno.ENOBUFS: SHORTAGE,
    errno.ENOMEM: SHORTAGE,
}

# accept(2) hands on errors that the new connection already has: that one is lost, and the next may be taken at once.
PENDING = (
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNRESET,
    errno.EPERM,
)

# No free port, no route from here, a table of the kernel that is full, a firewall of this machine.
LOCAL = (
    errno.EADDRNOTAVAIL,
    errno.EADDRINUSE,
    errno.ENETUNREACH,
    errno.ENETDOWN,
    errno.EAGAIN,
    errno.EPERM,
    errno.EACCES,
)

TABLE: dict[Call, dict[int, Verdict]] = {
    Call.ACCEPT: EVERYWHERE | dict.fromkeys(PENDING, OTHER_CONNECTION),
    Call.SOCKET: EVERYWHERE,
    Call.CONNECT: EVERYWHERE | dict.fromkeys(LOCAL, SHORTAGE),
    Call.SEND: EVERYWHERE,
    Call.RECEIVE: EVERYWHERE,
}
OTHERWISE = {
    Call.ACCEPT: MISUSED,
    Call.SOCKET: MISUSED,
    Call.CONNECT: UNREACHED,
    Call.SEND: BROKEN,
    Call.RECEIVE: BROKEN,
}


def verdict(call: Call, error: OSError) -> Verdict:
    """What that error of that call means; one that the table does not name counts as the call's usual kind."""
    return TABLE[call].get(error.errno or 0, OTHERWISE[call])
