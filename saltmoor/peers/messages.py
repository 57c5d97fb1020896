"""Owns the messages between nodes beside those of membership (`members.py`): their types and the form of their contents.

Types and the order of a content's fields are the wire: they stay as they are, and a new field goes to the end, with a
default. It must never say how a message is carried, or what follows from it.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec


class MessageType(StrEnum):
    """What a frame holds; each value as it goes over the wire."""

    PING = "ping"
    ACK = "ack"
    ASK = "ask"  # ping that member for me
    ENTRIES = "items"  # of the replicated table
    LEASE_REQUEST = "turn?"
    LEASE_ANSWER = "turn!"
    LEASE_END = "turned"
    LEASE_VOID = "void"
    QUOTA_REQUEST = "lend?"
    QUOTA_GRANT = "lend!"
    QUOTA_RETURN = "lent"
    DUTY_REQUEST = "duty?"
    DUTY_VOTE = "duty!"
    # On streams.
    PULL = "pull"
    PULL_END = "end"
    SHOW = "show"
    SHOWN = "shown"
    COMMAND = "say"
    COMMAND_TAKEN = "said"


MEMBERSHIP = frozenset((MessageType.PING, MessageType.ACK, MessageType.ASK))


class PullRequest(msgspec.Struct, array_like=True):
    """Send your changes after `seq` of `epoch`, or those ranges of kinds where there are any."""

    epoch: int
    seq: int
    ranges: list[tuple[str, int]] = []


class PullEnd(msgspec.Struct, array_like=True):
    """All that was asked for has been sent: the giver's table as it stood at the start."""

    epoch: int
    seq: int
    digests: dict[str, list[int]]


class OperatorCommand(msgspec.Struct, array_like=True):
    """For every node: `WHAT|NAME`, and its value."""

    name: str
    value: Any


class FetchLease(msgspec.Struct, array_like=True):
    """A request for a fetch lease by its number, its answer, or the end of a fetch by the lease's number.

    `decision` is one of `replica.fetch_leases.Decision`; `server` the one that missed in a request, else the one with a copy.
    """

    number: int
    key: int
    duration: int = 0  # microseconds
    decision: int = 0
    lease: int = 0  # its number
    server: str = ""


class BorrowedQuota(msgspec.Struct, array_like=True):
    """A part of one quota: asked for, granted, or given back, by the borrower's number."""

    quota: str
    number: int
    amount: int = 0
