"""Turns a scenario's faults of system calls into rules of the preloaded library."""

from __future__ import annotations

import errno

from saltmoor.lab.scenario import Fault
from saltmoor.lab.soak.shim import Call, Shim

SHORT_BYTES = 7  # a call that comes short moves so many bytes at most
RULES: dict[str, tuple[tuple[Call, ...], tuple[int, ...]]] = {
    "accept": ((Call.ACCEPT,), (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EPROTO)),
    "socket": ((Call.SOCKET,), (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    "connect": ((Call.CONNECT,), (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR)),
    "send": ((Call.SEND,), (errno.ENOBUFS, errno.ENOMEM)),
    "recv": ((Call.RECV,), (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOMEM)),
    "interrupted": ((Call.WAIT,), (errno.EINTR,)),
    "disk": ((Call.WRITE, Call.SYNC, Call.RENAME, Call.OPEN), (errno.ENOSPC, errno.EIO)),
}


def strike(shim: Shim, fault: Fault) -> None:
    """Begin that fault."""
    if fault.kind == "clock":
        shim.step_wall_clock(fault.step_s)
    elif fault.kind == "short":
        for call in Call.SEND, Call.RECV:
            shim.shorten(call, fault.share, SHORT_BYTES)
    else:
        calls, errors = RULES[fault.kind]
        for call in calls:
            shim.fail(call, fault.share, *errors)


def relieve(shim: Shim, fault: Fault) -> None:
    """End it; a clock that was stepped stays so until the next step."""
    if fault.kind == "short":
        shim.relieve(Call.SEND, Call.RECV)
    elif fault.kind != "clock":
        shim.relieve(*RULES[fault.kind][0])
