"""Owns what is counted on the node's own cores at the plan's size, one figure a line: sums over all nodes, and the
processor time of single steps. No network, no load; nothing here is a figure of a whole node.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from statistics import median

import msgspec

from saltmoor import choice, config, model
from saltmoor.lab import scenario
from saltmoor.lab.nodes import settings
from saltmoor.lab.scale_plan import PLAN
from saltmoor.recovery.room import FIRST, Room
from saltmoor.replica.entries import UNKNOWN, Entry, Store
from saltmoor.replica.fetch_leases import owner_of

ROUNDS = 7  # of each timing; the middle one counts
STEP = 10_000  # microseconds between two requests of one node for a cold server's keys: more than it may send
SCENARIO = {
    "name": "counts",
    "about": "the plan's fleet",
    "fleet": {"servers": PLAN["servers"], "sites": [f"s{i}" for i in range(PLAN["sites"])]},
    "cold": {"share": 0.1, "warm_s": 30, "multiple": 2, "window_s": 1},
    "profile": [{"name": "read", "share": 1, "work_ms": 30, "goal_ms": 150, "limit_ms": 600}],
    "load": {"rate": 500, "keys": 1000},
}


class Count(msgspec.Struct):
    """One figure; `how` says what gave it. docs/capacity/data-path.json has the same form."""

    what: str
    unit: str
    value: float
    how: str


class Counts(msgspec.Struct):
    command: str
    rows: list[Count]


def took_us(what: Callable[[], None], times: int) -> float:
    """Microseconds of processor time of one call: the middle of several rounds."""
    found = []
    for _ in range(ROUNDS):
        begun = time.process_time_ns()
        for _ in range(times):
            what()
        found.append((time.process_time_ns() - begun) / times / 1000)
    return round(median(found), 2)


def members(cold: int = -1, now: int = 0) -> list[model.Member]:
    return [
        model.Member(f"server-{i:02}", i % 31, 0, 0, model.Readiness.READY, 1.0, now if i == cold else 0)
        for i in range(PLAN["servers"])
    ]


def node(seed: int, count: int) -> choice.Node:
    said = settings(scenario.check(SCENARIO), seed)
    said["fleet_size"] = count
    return choice.Node(seed, 0, **config.node_arguments(said))


def cold_attempts(count: int) -> tuple[int, int]:
    """Attempts that all nodes together send to a server that has just begun: in its first 10 ms, in its first second.

    Each of them has its part of the plan's requests, and always one more for that server.
    """
    at, first, second = 1_000_000, 0, 0
    for seed in range(count):
        one = node(seed, count)
        one.listed(at, model.ListKind.FULL, members(0, at))
        one.rate = PLAN["requests_per_s"] / count
        server = one.servers["server-00"]
        for now in range(at, at + 1_000_000, STEP):
            while one.within_cold_budget(server, now):
                server.allowed -= 1
                second += 1
                first += now == at
    return first, second


def list_bytes() -> tuple[int, int]:
    """Of the whole list in the lab's discovery's form, and of one line of it."""
    lines = [
        {
            "instanceId": f"server-{i:02}",
            "zone": f"site-{i % 31:02}",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "machineType": "quick-4",
            "startedAtMs": 1_800_000_000_000,
            "hostPort": f"10.0.{i}.1:11211",
        }
        for i in range(PLAN["servers"])
    ]
    return len(json.dumps({"generation": 1000, "reset": True, "instances": lines})), len(json.dumps(lines[0]))


def full(count: int, kind: str = "change") -> Store:
    store = Store(epoch=1, most_bytes=64 << 20)
    for i in range(count):
        store.put(i, Entry.made(kind, f"key{i:06}", 1, b"\0" * 40))
    return store


def puts(count: int) -> float:
    """Microseconds of one put of a new key into a table that holds so many."""
    store, number = full(count), [0]

    def put() -> None:
        number[0] += 1
        store.put(10**6 + number[0], Entry.made("change", f"new{number[0]:06}", 1, b"\0" * 40))

    return took_us(put, 20)


def rows() -> list[Count]:
    nodes, servers = PLAN["nodes"], PLAN["servers"]
    made = []

    def add(what: str, unit: str, value: float, how: str) -> None:
        made.append(Count(what, unit, round(float(value), 2), how))

    for count in (8, 60, nodes):
        rooms = sum(Room(count).limit for _ in range(count))
        add(
            f"origin: requests out at once that {count} nodes begin with, together",
            "requests",
            rooms,
            f"recovery/room.py: sum of Room({count}).limit; meant for the fleet: FIRST = {FIRST:g}",
        )
    for count in (8, 60, nodes):
        first, second = cold_attempts(count)
        add(
            f"cold server: attempts of {count} nodes in its first 10 ms",
            "attempts",
            first,
            "choice.Node.within_cold_budget, always one more wanted; share 0.1, multiple 2, window 1 s",
        )
        add(f"cold server: attempts of {count} nodes in its first second", "attempts", second, "the same")
    whole, line = list_bytes()
    add("discovery: bytes of the whole list", "bytes", whole, "the lab's discovery's form, 52 lines")
    add("discovery: bytes of one line", "bytes", line, "the same")
    one, turn = node(1, nodes), [0]

    def listed() -> None:
        turn[0] += 1
        one.listed(turn[0] * 1000, model.ListKind.FULL, members())

    add("node: processor time of a whole list", "us", took_us(listed, 50), "choice.Node.listed, 52 servers")
    key = [0]

    def ranked() -> None:
        key[0] += 1
        next(one.placement.in_order(key[0]))

    add(
        "node: processor time to rank a key that is not kept",
        "us",
        took_us(ranked, 200),
        "placement.Placement.in_order, 52 servers",
    )
    names = [f"node-{i:03}" for i in range(nodes)]
    for count in (60, nodes):
        some = names[:count]
        add(
            f"node: processor time to find a key's owner of a fetch lease among {count}",
            "us",
            took_us(lambda: owner_of(key[0], some), 50),
            "replica/fetch_leases.py: owner_of, once a miss",
        )
    add(
        "table: processor time of a put below its bound", "us", puts(1_000), "replica/entries.py: Store.put, 1,000 kept"
    )
    add("table: processor time of a put at its bound", "us", puts(UNKNOWN.most), f"the same, {UNKNOWN.most} kept")
    store = full(5_000)
    add(
        "table: processor time of a look for what is too old",
        "us",
        took_us(lambda: store.expire(1), 5),
        "Store.expire, 5,000 kept, nothing too old; four kinds of five once a second, evidence each tick",
    )
    evidence = full(20_000, "evidence")
    add(
        "table: bytes of evidence at its bound",
        "bytes",
        evidence.bytes,
        f"Store.bytes, 20,000 kept; servers x nodes is {servers * nodes:,}",
    )
    return made


def write(path: Path, command: str) -> int:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(Counts(command, rows())), indent=1))
    return 0


def read(path: Path) -> list[Count]:
    return msgspec.json.decode(path.read_bytes(), type=Counts).rows if path.exists() else []
