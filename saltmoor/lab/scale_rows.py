"""Owns the form of a scale run's table: what a row is, how it is made of counts, which bounds it is held to.

A row whose machine came late is void and has no figures. It must never measure anything itself.
"""

from __future__ import annotations

from math import ceil
from typing import Any

import msgspec

from saltmoor.lab.experiment import Bound

AIMS = {  # what the operators' plan allows a node, by the figure's name
    "bytes_per_s": 4_000.0,
    "core": 0.03,
    "memory_mb": 64.0,
    "p50_s": 0.3,
    "p999_s": 1.0,
    "missed": 0.0,
}
MEGABYTE = 1e6


class Role(msgspec.Struct, omit_defaults=True):
    """Means over the members of a role, a second; bytes in and out together, with heads."""

    count: int
    bytes_per_s: float
    bytes_worst: float  # of the member with the most
    udp_out: float
    udp_in: float
    tcp_out: float
    tcp_in: float
    messages_per_s: float  # out
    pulls_per_s: float
    core: float  # share of one
    core_worst: float
    state_bytes: float  # what it keeps, by its own count
    memory_mb: float | None = None  # of its process, divided; real sockets only
    descriptors: float | None = None


class Spread(msgspec.Struct):
    """Seconds from a change's being given until a member has it, over all changes and members that are there."""

    changes: int
    deliveries: int
    missed: int
    p50_s: float | None
    p99_s: float | None
    p999_s: float | None
    worst_s: float | None


class Row(msgspec.Struct, omit_defaults=True):
    clock: str  # scripted or real
    mechanism: str
    event: str
    members: int
    changes_per_s: float
    seed: int
    span_s: float
    roles: dict[str, Role] = {}
    spread: Spread | None = None
    figures: dict[str, float | None] = {}  # of the event
    void: list[str] = []

    @property
    def name(self) -> str:
        return f"{self.clock} {self.mechanism} {self.event or 'calm'} {self.members} at {self.changes_per_s:g}/s"


def exact(values: list[float], share: float) -> float | None:
    """The smallest value that so large a share does not exceed."""
    return values[max(0, ceil(share * len(values)) - 1)] if values else None


def spread(changes: int, times: list[float], missed: int) -> Spread:
    """Who never got it counts as later than all others."""
    values = sorted(times) + [float("inf")] * missed
    found = [exact(values, share) for share in (0.5, 0.99, 0.999, 1.0)]
    return Spread(
        changes, len(times), missed, *(None if one is None or one == float("inf") else round(one, 4) for one in found)
    )


def bounds(row: Row) -> list[Bound]:
    """The aims of a calm row; an event has its own figures and bounds."""
    if row.void:
        return []
    made: list[Bound] = []

    def most(name: str, figure: float | None, limit: float) -> None:
        made.append(Bound(f"{row.name}: {name}", figure, limit, False, figure is not None and figure <= limit))

    for name, role in row.roles.items():
        if name in ("node", "relay"):
            most(f"{name} bytes_per_s", role.bytes_per_s, AIMS["bytes_per_s"])
            most(f"{name} core", role.core, AIMS["core"])
            most(f"{name} state_mb", role.state_bytes / MEGABYTE, AIMS["memory_mb"])
            if role.memory_mb is not None:
                most(f"{name} memory_mb", role.memory_mb, AIMS["memory_mb"])
    if row.spread and row.spread.changes:
        most("p50_s", row.spread.p50_s, AIMS["p50_s"])
        most("p999_s", row.spread.p999_s, AIMS["p999_s"])
        most("missed", row.spread.missed, AIMS["missed"])
    return made


HEADS = [
    "clock",
    "mechanism",
    "event",
    "members",
    "changes/s",
    "role",
    "B/s a node",
    "worst",
    "sent/s",
    "pulls/s",
    "core",
    "state kB",
    "p50 s",
    "p99 s",
    "p99.9 s",
    "worst s",
    "missed",
]


def short(value: float | None, digits: int = 3) -> str:
    return "never" if value is None else f"{value:.{digits}g}" if abs(value) < 1000 else f"{value:,.0f}"


def lines(row: Row) -> list[list[str]]:
    """A row as cells, one line a role; a void one says only that it is."""
    head = [row.clock, row.mechanism, row.event or "calm", str(row.members), f"{row.changes_per_s:g}"]
    if row.void:
        return [[*head, "void", *["" for _ in HEADS[6:]]]]
    one = row.spread
    times = (
        ["", "", "", "", ""]
        if not one or not one.changes
        else [short(one.p50_s), short(one.p99_s), short(one.p999_s), short(one.worst_s), str(one.missed)]
    )
    return [
        [
            *head,
            name,
            short(role.bytes_per_s),
            short(role.bytes_worst),
            short(role.messages_per_s),
            short(role.pulls_per_s),
            f"{role.core:.2%}",
            short(role.state_bytes / 1000),
            *times,
        ]
        for name, role in row.roles.items()
    ]


def table(heads: list[str], rows: list[list[Any]]) -> str:
    """As Markdown."""
    return "\n".join("| " + " | ".join(str(one) for one in row) + " |" for row in [heads, ["---"] * len(heads), *rows])
