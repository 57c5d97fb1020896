"""Owns the operators' plan for two years, and the arithmetic that follows from it alone; nothing here was measured."""

from __future__ import annotations

PLAN = {
    "nodes": 480,
    "sites": 31,
    "servers": 52,
    "regions": 3,
    "zones": 8,
    "requests_per_s": 500_000,
    "bits_per_s": 3e12,
    "objects": 3.9e9,
    "purges_per_s": 3.9,
    "purge_s": 1,
    "changes_per_day": 2_500,
    "change_s": 12,
    "core": 0.03,
    "memory_mb": 64,
    "bytes_per_s": 4_000,
    "control": 5,
    "failures_per_day": 2,
    "restarts_per_day": 160,
}


def derived() -> list[tuple[str, str, float]]:
    """What, how, and the figure."""
    nodes, servers, rate = PLAN["nodes"], PLAN["servers"], PLAN["requests_per_s"]
    purges, bits = PLAN["purges_per_s"], PLAN["bits_per_s"]
    return [
        ("requests/s of a node", "requests / nodes", rate / nodes),
        ("Gbit/s of a node", "bits / nodes", bits / nodes / 1e9),
        ("requests/s of a cache server", "requests / servers", rate / servers),
        ("Gbit/s of a cache server", "bits / servers", bits / servers / 1e9),
        ("kB an answer", "bits / 8 / requests", bits / 8 / rate / 1e3),
        ("requests/s of one node to one server", "requests / (nodes x servers)", rate / nodes / servers),
        ("nodes x servers", "connections, where each keeps one", nodes * servers),
        ("connections at a server, one a node", "nodes", nodes),
        ("probes/s at a server, at most", "nodes x what one node asks it: each request at most", rate / servers),
        ("nodes a site", "nodes / sites", nodes / PLAN["sites"]),
        ("purge messages/s, were each node to tell each server", "purges x nodes x servers", purges * nodes * servers),
        ("purge messages/s, were one node to tell each server", "purges x servers", purges * servers),
        ("changes of configuration a second", "changes a day / 86,400", PLAN["changes_per_day"] / 86_400),
        ("restarts an hour", "restarts a day / 24", PLAN["restarts_per_day"] / 24),
        ("watches at discovery", "nodes", nodes),
        ("evidence changes/s while one server is down", "nodes / 2 s: each says so again every 2 s", nodes / 2),
        (
            "evidence changes/s while a zone is down",
            "nodes x servers / zones / 2 s",
            nodes * servers / PLAN["zones"] / 2,
        ),
        ("members x members", "entries that all nodes together keep", nodes * nodes),
    ]
