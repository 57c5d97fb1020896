"""Owns the figures of coming back: how long until full service, what the origin held meanwhile, and the bound.

Read from the rows that a run's processes wrote, and, for the bound, from the scenario alone. It must never know how
a node decides. Times are seconds from the begin of the last fault, unless a name says otherwise.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

import numpy as np

from saltmoor.lab import arrivals
from saltmoor.lab.ledger import Ledger
from saltmoor.lab.scenario import Scenario, servers

NEAR = 0.01  # of before: so close the share in time has to come
HOLDS = 3.0  # seconds: so long it has to stay there
FIRST = 2.0  # seconds from the servers' return in which fetches of a key are counted
SPAN = 8.0  # seconds from the first fault in which what was lost is added up
STEP = 0.01  # seconds: of the bound's world


def faults(scenario: Scenario) -> list[Any]:
    """What strikes servers, nodes, origin or discovery; rude clients break nothing."""
    return [fault for fault in scenario.fault if fault.on not in ("clients", "link")]


def full_service(
    at: np.ndarray, good: np.ndarray, settle: float, first: float, last: float, end: float
) -> float | None:
    """Seconds from `last` until the share in time is that of before, for HOLDS; None: not in this run.

    `at`: when each transaction came, `good`: whether it was in time. The second that begins there and the whole
    span both have to be within NEAR.
    """
    before = good[(at >= settle) & (at < first)]
    if not len(before):
        return None
    least = before.mean() - NEAR
    sums = np.concatenate([[0], np.cumsum(good)])

    def share(since: float, until: float) -> float:
        low, high = np.searchsorted(at, [since, until])
        return (sums[high] - sums[low]) / (high - low) if high > low else 1.0

    for moment in np.arange(last, end - HOLDS + 1e-9, 0.1):
        if share(moment, moment + 1) >= least and share(moment, moment + HOLDS) >= least:
            return round(float(moment - last), 2)
    return None


def figures(
    ledger: Ledger, rows: list[list], took: list[int], goals: list[int], came: Any, begin: int
) -> dict[str, Any]:
    """`took`: microseconds until each arrival was served, 0 where it was not; `goals`: what each had."""
    scenario, struck = ledger.scenario, faults(ledger.scenario)
    if not struck:
        return {}
    first, last = (pick(fault.at_s for fault in struck) for pick in (min, max))
    at = came["at"] / 1e6
    good = np.array([0 < one <= goal for one, goal in zip(took, goals)], dtype=float)
    fault_8s = good[(at >= first) & (at < first + SPAN)]
    back = last + max((fault.for_s for fault in struck if fault.at_s == last and fault.on == "server"), default=0.0)
    made: dict[str, Any] = {
        "full_service_s": full_service(at, good, scenario.settle_s, first, last, scenario.length_s),
        "in_time_8s": round(float(fault_8s.mean()), 4) if len(fault_8s) else 1.0,
    }
    made |= origin_figures(ledger, rows, begin, first, back)
    made["stale"] = stale(ledger, rows)
    return made


def origin_figures(ledger: Ledger, rows: list[list], begin: int, first: float, back: float) -> dict[str, Any]:
    spec, scenario = ledger.scenario.origin, ledger.scenario
    goal_s = min(one.goal_ms for one in scenario.profile) / 1000
    samples = [((at - begin) / 1e6, one) for at, one in ledger.samples if (at - begin) / 1e6 >= first - 0.5]
    held = max((one["origin_most"] for _, one in samples), default=0)
    used = waits = 0.0
    for (t, one), (u, two) in zip(samples, samples[1:]):
        # Misses wait where more came than fetches were begun: what is less, others' fetches have answered.
        if two["misses"] - one["misses"] > 1.1 * (two["fetches"] - one["fetches"]) + 3:
            used, waits = used + (two["origin_busy"] - one["origin_busy"]) / 1e6, waits + (u - t) * spec.cores
    fetched: dict[str, int] = defaultdict(int)
    copies: dict[tuple[str, int], int] = defaultdict(int)  # a key that was written is lost anew
    written: dict[str, list[int]] = defaultdict(list)
    for row in rows:
        if row[0] == "ran":
            written[row[5]].append(row[1])
    low, high = begin + int(back * 1e6), begin + int((back + FIRST) * 1e6)
    for row in rows:
        if row[0] == "got" and row[3] == "origin" and row[6] != "PUT" and low <= row[2] < high:
            fetched[row[7]] += 1
            copies[row[7], sum(at < row[2] for at in written.get(row[7], ()))] += 1
    return {
        "origin_held_most": held,
        "origin_held_over": round(held / (spec.cores * goal_s / (spec.work_ms / 1000)), 2),
        "origin_use_in_need": round(used / waits, 3) if waits else 1.0,
        "fetches_a_key_2s": round(sum(fetched.values()) / len(fetched), 3) if fetched else 1.0,
        "fetches_a_copy_2s": round(sum(copies.values()) / len(copies), 3) if copies else 1.0,
        "twins_most": max((one["twins_most"] for _, one in samples), default=0),
    }


def stale(ledger: Ledger, rows: list[list]) -> int:
    """Hops to what every true list has called gone, or draining, for longer than its way to the nodes and the grace."""
    spec = ledger.scenario.discovery
    slack = int((spec.late_ms[1] + spec.grace_ms) * 1000) + 100_000
    states: dict[str, list[tuple[int, bool]]] = defaultdict(list)
    for row in rows:
        if row[0] == "true":
            states[row[2]].append((row[1], row[3] == "up"))
    count = 0
    for row in rows:
        if row[0] == "got" and row[3] in states:
            since = 0
            for at, up in sorted(states[row[3]]):
                if at <= row[1]:
                    since = 0 if up else since or at
            count += bool(since and row[1] > since + slack)
    return count


def bound(scenario: Scenario) -> tuple[float | None, float, list[float]]:
    """The least time to full service that the scenario's own figures allow, the share in time over SPAN, and that
    share second by second.

    A fluid: caches are one pool that does as much as its members' cores, cold ones less; each lost key is fetched
    once and at once, as far as the origin has room beside writes; what the origin has left over serves reads. Keys
    that writes void and that are new are lost, too. Nodes cost nothing and know all. Faults that crash servers, and
    no others, count.
    """
    load, spec, cold = scenario.load, scenario.origin, scenario.cold
    struck = [fault for fault in faults(scenario) if fault.on == "server" and fault.kind == "crash"]
    if not struck:
        return 0.0, 1.0, [1.0] * int(scenario.length_s)
    whole = sum(one.share for one in scenario.profile)
    reads = [one for one in scenario.profile if not one.write]
    read_share = sum(one.share for one in reads) / whole
    work = sum(one.share * one.work_ms for one in reads) / sum(one.share for one in reads) / 1000
    miss = scenario.fleet.miss_work
    popular, rates = arrivals.popularity(scenario), arrivals.rates(scenario)
    machines = [kind.cores * kind.speed for kind, _ in (servers(scenario, i) for i in range(scenario.fleet.servers))]
    capacity, origin_can = sum(machines), spec.cores / (spec.work_ms / 1000)
    lost = np.zeros(len(popular))
    full, good, came, calm = None, 0.0, 0.0, None
    first, last = (pick(fault.at_s for fault in struck) for pick in (min, max))
    shares: dict[int, list[float]] = defaultdict(list)
    for i, rate in enumerate(rates):
        now = i * STEP
        gone = 0.0
        for fault in struck:
            part = fault.part or len(fault.which) / scenario.fleet.servers or 1 / scenario.fleet.servers
            age = now - fault.at_s - fault.for_s
            if abs(now - fault.at_s) < STEP / 2:
                lost += (1 - lost) * part
            if now >= fault.at_s:
                warm = 0.0 if age < 0 else min(1.0, cold.share + (1 - cold.share) * age / cold.warm_s)
                gone = max(gone, part * (1 - warm))
        read = rate * read_share
        writes = rate - read
        can = max(0.0, origin_can - writes * spec.write)
        missed = read * float((popular * lost).sum())
        fetched = min(missed, can)
        cores = max(0.0, capacity * (1 - gone) - miss * work * missed)
        hits = min(read - missed, cores / work)
        spare = min(can - fetched, read - missed - hits)
        share = min(1.0, (fetched + hits + spare + writes) / rate)
        lost += STEP * (
            -read * popular * lost * (fetched / missed if missed else 0.0)
            + (writes * popular + load.drift) * (1 - lost)
        )
        shares[int(now)].append(share)
        if now < first:
            calm = share
        if first <= now < first + SPAN:
            good, came = good + share, came + 1
        if now >= last and share < (calm if calm is not None else 1.0) - NEAR:
            full = None
        elif now >= last and full is None:
            full = now - last
    return (
        None if full is None else round(float(full), 2),
        round(float(good / came), 4),
        [round(float(sum(one) / len(one)), 3) for _, one in sorted(shares.items())],
    )
