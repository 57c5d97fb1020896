"""Owns the figures of a run: what a ledger's rows come to, as one object and as series over time."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram

from saltmoor.lab.ledger import Ledger

LONGEST = 60_000_000
GROWING = ("hits", "misses", "fetches", "probes", "connected")


def histogram(times: list[int]) -> HdrHistogram:
    made = HdrHistogram(1, LONGEST, 3)
    for took in times:
        made.record_value(min(LONGEST, max(1, took)))
    return made


def percentiles(times: list[int]) -> dict[str, float]:
    """Milliseconds."""
    made = histogram(times)
    shares = {"p50_ms": 50, "p90_ms": 90, "p99_ms": 99, "p999_ms": 99.9}
    return {
        name: round(made.get_value_at_percentile(share) / 1000, 2) if times else 0.0 for name, share in shares.items()
    }


class Tx:
    """A client's transaction with all its tries; none where no connection was to be had in time."""

    __slots__ = ("at", "profile", "tries")

    def __init__(self, at: int, profile: str) -> None:
        self.at, self.profile, self.tries = at, profile, []


def transactions(ledger: Ledger, rows: Any, begin: int) -> list[Tx]:
    """One for each arrival, in their order."""
    names = [one.name for one in ledger.scenario.profile]
    made = [Tx(begin + at, names[place]) for at, place in zip(rows["at"].tolist(), rows["profile"].tolist())]
    for asked in ledger.asked.values():
        made[asked.tx].tries.append(asked)
    return made


def served(tx: Tx) -> int:
    """How long until it was served, from when it was due; 0: it was not."""
    for asked in tx.tries:
        for at, how, *_ in asked.replies[:1]:
            if how == "served":
                return max(1, at - tx.at)
    return 0


def summary(ledger: Ledger, rows: Any, begin: int, nodes: list[dict[str, Any]]) -> dict[str, Any]:
    """All figures of the run but for its settling time; shares are of transactions, times in milliseconds."""
    scenario, profiles = ledger.scenario, ledger.profiles
    counts_from = begin + int(scenario.settle_s * 1e6)
    txs = [tx for tx in transactions(ledger, rows, begin) if tx.at >= counts_from]
    tries = [asked for tx in txs for asked in tx.tries]
    hows = defaultdict(int)
    for asked in tries:
        hows[asked.replies[0][1] if asked.replies else "none"] += 1
    took = [served(tx) for tx in txs]
    intime = [0 < one <= profiles[tx.profile].goal_ms * 1000 for one, tx in zip(took, txs)]
    worth = [profiles[tx.profile].revenue for tx in txs]
    hops = [got for asked in tries for got in asked.gots]
    late = set(ledger.unanswered)
    figures: dict[str, Any] = {
        "offered_per_s": round(len(txs) / (scenario.length_s - scenario.settle_s), 1),
        "txs": len(txs),
        "in_time": share(sum(intime), len(txs)),
        "service": share(sum(one for one, good in zip(worth, intime) if good), sum(worth)),
        "served": share(sum(one > 0 for one in took), len(txs)),
        "tries_per_tx": ratio(len(tries), len(txs)),
        "refused": share(hows["refused"], len(tries)),
        "failed": share(hows["failed"], len(tries)),
        "no_answer": share(hows["none"], len(tries)),
        "unanswered": share(sum(asked.id in late for asked in tries), len(tries)),
        **percentiles([one for one in took if one]),
        "refusal_p99_ms": percentiles(
            [asked.replies[0][0] - asked.at for asked in tries if asked.replies and asked.replies[0][1] == "refused"]
        )["p99_ms"],
        "hops_per_tx": ratio(len(hops), len(txs)),
        "origin_per_tx": ratio(sum(got.server == "origin" for got in hops), len(txs)),
        "busy_per_hop": ratio(sum(got.told == "busy" for got in hops), len(hops)),
        "breaches": len(ledger.breaches),
    }
    for rule in range(5):
        figures[f"breaches_{rule}"] = sum(one.rule == rule for one in ledger.breaches)
    for name in profiles:
        own = [i for i, tx in enumerate(txs) if tx.profile == name]
        figures[f"in_time_{name}"] = share(sum(intime[i] for i in own), len(own))
    samples = [one for at, one in ledger.samples if at >= counts_from]
    if len(samples) > 1:
        first, last = samples[0], samples[-1]
        gone = {name: last[name] - first[name] for name in first if name in GROWING}
        figures |= {
            "hit_share": share(gone["hits"], gone["hits"] + gone["misses"]),
            "fetches_per_s": round(gone["fetches"] / (len(samples) / 4), 1),
            "probes_per_tx": ratio(gone["probes"], len(txs)),
            "connects_per_tx": ratio(gone["connected"], len(txs)),
            "held_most": round(max(one["held_most"] for one in samples), 1),
        }
    if nodes:
        cpu = sum(one["cpu_s"] for one in nodes)
        figures |= {
            "node_cpu_us_per_tx": round(cpu * 1e6 / max(1, len(rows)), 1),
            "node_cpu_share_most": max(one["cpu_most"] for one in nodes),
            "node_memory_mb": max(one["memory_mb"] for one in nodes),
            "node_descriptors": max(one["descriptors"] for one in nodes),
        }
    return figures


def goodput(series: dict[str, Any]) -> dict[str, float]:
    """Transactions in time a second: the best three seconds in a row, and the last three with any load."""
    good = [whole * part for whole, part in zip(series["offered"], series["in_time"])]
    sums = [sum(good[i : i + 3]) / 3 for i in range(len(good) - 2)]
    return {"good_most_per_s": round(max(sums, default=0.0), 1), "good_last_per_s": round(sums[-1], 1) if sums else 0.0}


def share(part: float, whole: float) -> float:
    return round(part / whole, 4) if whole else 1.0


def ratio(part: float, whole: float) -> float:
    return round(part / whole, 3) if whole else 0.0


def series(ledger: Ledger, rows: Any, begin: int) -> dict[str, Any]:
    """Second by second: what plots are drawn from."""
    length = int(ledger.scenario.length_s)
    took: list[list[int]] = [[] for _ in range(length)]
    good, whole, hops = [0] * length, [0] * length, [0] * length
    for tx in transactions(ledger, rows, begin):
        second = (tx.at - begin) // 1_000_000
        if not 0 <= second < length:
            continue
        whole[second] += 1
        hops[second] += sum(len(asked.gots) for asked in tx.tries)
        if one := served(tx):
            took[second].append(one)
            good[second] += one <= ledger.profiles[tx.profile].goal_ms * 1000
    shares = [percentiles(one) for one in took]
    return {
        "offered": whole,
        "in_time": [share(a, b) for a, b in zip(good, whole)],
        "p50_ms": [one["p50_ms"] for one in shares],
        "p99_ms": [one["p99_ms"] for one in shares],
        "hops_per_tx": [ratio(a, b) for a, b in zip(hops, whole)],
        "samples": [[round((at - begin) / 1e6, 2), one] for at, one in ledger.samples],
        "marks": [[round((at - begin) / 1e6, 2), what] for at, what in ledger.marks],
    }
