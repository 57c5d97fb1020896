"""The wire's settings in our words: nanoseconds become whole microseconds, names become types."""

from __future__ import annotations

import json
from typing import Any

from saltmoor import model

REPEATS = {"idempotent": model.Repeat.IDEMPOTENT, "deduplicated": model.Repeat.JOURNALLED}
COLUMNS = {"rif": "held", "q": "queue", "busy": "busy", "lat_ms": "latency", "rate": "rate",
           "fail_rate": "errors", "x0": "hits", "x1": "fetches"}


def micros(value: Any) -> int:
    return int(value or 0) // 1000


def profile(line: dict) -> model.Profile:
    return model.Profile(
        goal=micros(line.get("aim_ns")) or micros(line.get("deadline_ns")),
        limit=micros(line.get("deadline_ns")),
        repeat=REPEATS.get(line.get("repeat", ""), model.Repeat.NON_IDEMPOTENT),
        revenue=float(line.get("worth", 1.0)),
        group=model.Group(line.get("group") or "all"),
        window=micros(line.get("key_ttl_ns")),
        late_value=float(line.get("late_worth", 0.0)),
    )


def node_arguments(info: bytes) -> dict[str, Any]:
    """The constructor arguments of saltmoor.choice.Node, seed and clock apart."""
    said = json.loads(info)
    may, price, rule = (said.get(name) or {} for name in ("permissions", "prices", "rules"))
    family, report = said.get("family_info") or {}, said.get("report") or {}
    aside = family.get("mode") == "aside" and family.get("origin_kind", -1) >= 0
    hint = micros(may.get("max_retry_after_ns")) if may.get("retry_after") else 0
    return {
        "profiles": [profile(line) for line in said.get("classes") or []],
        "quotas": [float(line.get("quota_per_s", 0.0)) for line in said.get("tenants") or []],
        "permits": model.Permits(
            hops=int(may.get("max_attempts") or 1), copies=bool(may.get("may_duplicate")),
            cancel=bool(may.get("cancel")), longest_hint=hint,
            probes=bool(may.get("probes")) and report.get("how") != "off"),
        "prices": model.Prices(float(price.get("cross_zone", 0.0)), float(price.get("waste", 0.0))),
        "cold": model.ColdStart(
            float(rule.get("cold_from", 1.0)), micros(rule.get("cold_ns")),
            float(rule.get("overload_factor", 1.0)), micros(rule.get("fall_ns")) or 1_000_000),
        "listing": model.Listing(said.get("membership_mode") == "subscribe",
                                 micros(rule.get("ask_within_ns"))),
        "place": model.Place(int(said.get("locality", 0)), max(1, int(said.get("fleet_size", 1)))),
        "origin_kind": int(family["origin_kind"]) if aside else None,
        "columns": [COLUMNS.get(name, name) for name in report.get("columns") or []],
        "tick": micros(said.get("tick_ns")) or 1000,
    }
