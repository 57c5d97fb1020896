"""Owns what two processes of one node, or two settings one after the other, may do together: no more than one may.

Guards against a second measure of what is counted by window: levels saved, tenants' buckets, a stated budget of hops.
It must never choose, send, or know how the other process is found. Free of I/O.
"""

from __future__ import annotations

from math import ceil

from saltmoor.choice import Node
from saltmoor.limits.admission import Admission
from saltmoor.model import Micros


def part(node: Node, gate: Admission, now: Micros, wanted: float) -> None:
    """From now on this process may use so much of what its node may do.

    Less: what it saved shrinks alike, as the other one starts with its own part. More, and at a start beside
    another: the other one may have used all of a stated budget in this window, so what is added counts as used.
    """
    fresh = not node.servers and not node.retry_budget.taken  # starts beside one that was there before
    gained = wanted if fresh else wanted - node.part
    left = min(1.0, wanted / node.part)
    for server in node.servers.values():
        server.allowed *= left
    for bucket in node.quotas:
        bucket[1] *= left
    for quota in gate.buckets:
        quota.level *= left
    if node.budget and gained > 0:
        node.retry_budget.further.extend([now] * min(10_000, ceil(gained * node.budget.free)))
    node.part = gate.part = wanted
