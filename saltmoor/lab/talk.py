"""Owns the figures of nodes that know each other: what each believed, when copies agreed, what it cost.

Read from the rows that the links wrote. Times are seconds. It must never know how a node decides.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from saltmoor.lab.ledger import Ledger

FRESH = 1.0  # seconds: what a node believed so long ago says nothing of now


def figures(ledger: Ledger, rows: list[list], begin: int) -> dict[str, Any]:
    believed: dict[int, list[tuple[float, dict]]] = defaultdict(list)
    for row in rows:
        if row[0] == "believes":
            believed[row[2]].append(((row[1] - begin) / 1e6, row[3]))
    if not believed:
        return drains(ledger, rows, begin)
    scenario = ledger.scenario
    for told in believed.values():
        told.sort(key=lambda one: one[0])
    ends = [fault.at_s + fault.for_s for fault in scenario.fault if fault.on in ("peers", "node") and fault.for_s]
    healed = max(ends, default=0.0)
    cost = [one[-1][1] for one in believed.values()]
    seconds = [max(1.0, one[-1][0] - one[0][0]) for one in believed.values()]
    made: dict[str, Any] = {
        "peers_agree_s": agree(believed, scenario.nodes.count, healed, scenario.length_s),
        "peers_false": false_words(ledger, believed, begin),
        "peers_slowest_us": max(one["slowest_us"] for one in cost),
        "peers_caught_up_ms": max((one["took_ms"] for one in cost), default=0),
        "peers_bytes_per_s": round(
            max(
                (told[-1][1]["sent_bytes"] - told[0][1]["sent_bytes"]) / span
                if told[-1][1]["life"] == told[0][1]["life"]
                else told[-1][1]["sent_bytes"] / span
                for told, span in zip(believed.values(), seconds)
            )
        ),
        "peers_items": max(one["items"] for one in cost),
        "peers_repairs": sum(one["repairs"] for one in cost),
    }
    made |= drains(ledger, rows, begin)
    return made


def agree(believed: dict[int, list], count: int, since: float, end: float) -> float | None:
    """From that moment until all nodes hold all others to be there, with equal digests, read within FRESH."""
    moments = sorted(at for told in believed.values() for at, _ in told if at >= since)
    place = dict.fromkeys(believed, 0)
    for moment in moments:
        seen = []
        for node, told in believed.items():
            while place[node] + 1 < len(told) and told[place[node] + 1][0] <= moment:
                place[node] += 1
            at, one = told[place[node]]
            if since <= at <= moment and moment - at <= FRESH:
                seen.append(one)
        if (
            len(seen) == count
            and all(len(one["there"]) == count - 1 for one in seen)
            and len({one["root"] for one in seen}) == 1
        ):
            return round(moment - since, 2)
    return None


def false_words(ledger: Ledger, believed: dict[int, list], begin: int) -> int:
    """How often a node held another to be gone that ran, was not paused, and was cut off from nobody."""
    cuts = [fault for fault in ledger.scenario.fault if fault.on == "peers" and fault.kind == "cut"]
    count = 0
    for node, told in believed.items():
        before, life = set(), 0
        for at, one in told:
            there = set(one["there"])
            if one["life"] > life + 1000:  # a new process of it, which knows nobody yet
                before, life = set(), one["life"]
            for lost in before - there:
                struck = any(fault.at_s <= at <= fault.at_s + (fault.for_s or 1e9) + 3 for fault in cuts)
                ran = all(
                    not begin + (at - 15) * 1e6 <= when <= begin + at * 1e6
                    for when, what in ledger.nodes[lost]
                    if what != "ready"
                )
                started = any(
                    when > begin + (at - 5) * 1e6
                    for when, what in ledger.nodes[lost]
                    if what == "ready" and when < begin + at * 1e6
                )
                count += ran and not struck and not started
            before = there
    return count


def drains(ledger: Ledger, rows: list[list], begin: int) -> dict[str, Any]:
    """How long after the first node was told of a drain the last hop of any node came there."""
    first: dict[str, int] = {}
    for row in sorted((row for row in rows if row[0] == "listed"), key=lambda row: row[1]):
        _, at, node, server, state = row[:5]
        if server and state not in ("up",) and at > begin:
            first.setdefault(server, at)
    if not first:
        return {}
    last = dict.fromkeys(first, 0.0)
    for row in rows:
        if row[0] == "got" and row[3] in first and row[1] > first[row[3]]:
            last[row[3]] = max(last[row[3]], (row[1] - first[row[3]]) / 1e6)
    return {"drain_last_hop_s": round(max(last.values()), 3)}
