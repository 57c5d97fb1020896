"""Owns what is remembered of a node's decisions, kind by kind: what it is, until what age it counts, how it fades.

What was told or spent is kept strictly: drains, starts, levels and budgets come back as they were or stricter. What was
learnt comes back as a prior that the first own answers outweigh. It must never make anything laxer than a node that
remembers nothing would be, nor read a clock, nor touch a file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from saltmoor.choice import Node
from saltmoor.limits.admission import Admission
from saltmoor.model import Micros

SECOND = 1_000_000
MOST = 4_000  # servers: to note more would hold up the loop for more than a few milliseconds


@dataclass(slots=True, frozen=True)
class Kind:
    until: Micros  # of that age and older it counts for nothing; 0: at any age
    half: Micros  # each time so old it counts for half; 0: it does not fade
    errs: str


KINDS = {
    "list": Kind(0, 0, "no more than `known`: used where it is of the same source and newer"),
    "starts": Kind(0, 0, "strict: the later start, at its age; of unknown age: as if no time had passed"),
    "drains": Kind(3600 * SECOND, 0, "strict: wants nothing new until the list says it is ready again"),
    "turns": Kind(0, 0, "strict: what is left of the hops to a cold server, never a new first turn"),
    "spent": Kind(0, 0, "strict: buckets as they were and what their rate adds, hops that still count"),
    "delays": Kind(60 * SECOND, 20 * SECOND, "a prior: outweighed by a few answers"),
    "health": Kind(10 * SECOND, 5 * SECOND, "a prior: what failed or was down is asked before it is sent to"),
    "usual": Kind(600 * SECOND, 0, "a prior: counts as a few answers"),
    "room": Kind(600 * SECOND, 10 * SECOND, "the origin's best times; the room itself fades to the first one"),
    "admission": Kind(5 * SECOND, 0, "strict: a limit that was set stays until the loop is seen to keep up"),
}


def counts(kind: str, age: Micros | None) -> bool:
    """`age`: None where clocks cannot tell; what fades counts for nothing then, what is strict counts whole."""
    known = KINDS[kind]
    return not known.until or (age < known.until if age is not None else not known.half and kind != "usual")


def fade(kind: str, age: Micros | None) -> float:
    half = KINDS[kind].half
    return 1.0 if not half else 0.5 ** ((age or 0) / half)


def take(node: Node, gate: Admission, now: Micros) -> dict[str, Any]:
    """What is worth remembering, in plain types; times are ages in microseconds."""
    servers = {}
    for server in list(node.servers.values())[:MOST]:
        servers[str(server.id)] = {
            "started": now - server.started if server.started > 0 else None,
            "ready": server.ready,
            "allowed": round(server.allowed, 3),
            "delay": round(server.delay),
            "held": round(server.usual_held, 2),
            "seen": now - server.delay_at,
            "bad": round(server.bad, 3),
            "down": server.down,
            "heard": now - server.heard,
        }
    room, recovery = node.room, node.recovery
    return {
        "servers": servers,
        "spent": {
            "quotas": [[bucket[1], now - bucket[2]] for bucket in node.quotas],
            "gate": [[bucket.level, now - bucket.since] for bucket in gate.buckets],
            "further": [now - at for at in node.retry_budget.further],
            "spare": round(node.spare, 2),
        },
        "usual": {
            "usual": round(node.usual),
            "held": round(node.usual_held, 2),
            "hits": node.hits,
            "fetch": round(node.fetch),
            "patience": round(node.patience.times, 3),
            "misses": round(recovery.usual, 3),
            "known": recovery.known,
        },
        "room": {
            "limit": round(room.limit, 2),
            "slowed": room.slowed,
            "base": round(room.base),
            "middle": round(room.middle),
            "usual": round(room.usual),
            "rounds": room.rounds,
        },
        "admission": {"limit": round(gate.limit, 1)},
    }


def give(node: Node, gate: Admission, content: dict[str, Any], now: Micros, age: Micros | None) -> dict[str, int]:
    """Remember what counts at that age; how many items of each kind did. Raises where the content is not ours."""
    told = dict.fromkeys(KINDS, 0)
    for server in node.servers.values():
        if said := content["servers"].get(str(server.id)):
            _server(node, server, said, now, age, told)
    _spent(node, gate, content["spent"], now, age, told)
    usual, room = content["usual"], content["room"]
    if counts("usual", age) and not node.hits and usual["hits"]:
        node.usual, node.usual_held = float(usual["usual"]), float(usual["held"])
        node.hits, node.fetch = min(5, int(usual["hits"])), float(usual["fetch"])
        node.patience.times = min(12.0, max(1.5, float(usual["patience"])))
        node.recovery.usual = min(1.0, max(0.0, float(usual["misses"])))
        node.recovery.known = min(40, int(usual["known"]))
        told["usual"] += 1
    if counts("room", age) and not node.room.answers and room["rounds"]:
        own = node.room
        own.limit = max(0.05, own.limit + (float(room["limit"]) - own.limit) * fade("room", age))
        own.slowed = bool(room["slowed"])
        own.base, own.middle, own.usual = (float(room[name]) for name in ("base", "middle", "usual"))
        own.rounds, own.answers = min(20, int(room["rounds"])), 2
        told["room"] += 1
    if counts("admission", age) and float(content["admission"]["limit"]) > 0 and not gate.limit:
        gate.limit, gate.filled = float(content["admission"]["limit"]), now
        gate.share_out()
        told["admission"] += 1
    node.settle_list(now)
    return {kind: count for kind, count in told.items() if count}


def _server(node: Node, server, said: dict[str, Any], now: Micros, age: Micros | None, told: dict[str, int]) -> None:
    started = 0 if said["started"] is None else now - int(said["started"]) - (age or 0)
    same = abs(started - server.started) < SECOND if started > 0 else server.started <= 0
    if started > 0 and not same and started > server.started:
        server.restart(min(started, now))
        told["starts"] += 1
        same = True
    if same and server.started > 0:
        server.allowed = min(server.allowed, max(0.0, float(said["allowed"])))
        server.allowed_at = now
        told["turns"] += 1
    if not said["ready"] and server.ready and counts("drains", age):
        server.ready = False
        told["drains"] += 1
    if not same:
        return  # another process under the same name: nothing that was learnt of it holds
    seen = None if age is None else age + max(0, int(said["seen"]))
    if seen is not None and counts("delays", seen) and said["delay"] > 0 and not server.hits:
        server.delay, server.usual_held = float(said["delay"]), float(said["held"])
        server.hits, server.delay_at = max(1, int(4 * fade("delays", seen))), now - seen
        told["delays"] += 1
    heard = None if age is None else age + max(0, int(said["heard"]))
    if age is not None and counts("health", age) and (said["bad"] > 0.1 or said["down"]):
        server.bad = max(server.bad, float(said["bad"]) * fade("health", heard))
        server.wary = True
        told["health"] += 1


def _spent(
    node: Node, gate: Admission, said: dict[str, Any], now: Micros, age: Micros | None, told: dict[str, int]
) -> None:
    gone = age or 0
    for bucket, (level, since) in zip(node.quotas, said["quotas"]):
        bucket[1] = min(bucket[1], max(0.0, float(level) + bucket[0] * (gone + int(since)) / SECOND))
        told["spent"] += 1
    for own, (level, since) in zip(gate.buckets, said["gate"]):
        own.level = min(own.level, max(0.0, float(level) + own.rate * (gone + int(since)) / SECOND))
    node.spare = min(node.spare, max(0.0, float(said["spare"]) + gone / SECOND))
    if node.budget:
        left = [now - gone - int(at) for at in said["further"][-10_000:]]
        counted = sorted(at for at in left if now - node.budget.window < at <= now)
        node.retry_budget.further.extendleft(reversed(counted))
        told["spent"] += len(counted)


def shrink(content: dict[str, Any], most: int) -> dict[str, Any]:
    """The same with so many servers at most: the ones that were told or spent something first."""
    servers = content["servers"]
    if len(servers) <= most:
        return content
    kept = sorted(servers.items(), key=lambda one: (one[1]["ready"], one[1]["started"] is None))[:most]
    return content | {"servers": dict(kept)}
