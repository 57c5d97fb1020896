"""Slow start: how much of its capacity a cold server has, and how many requests it may get. No I/O, no clock."""

from __future__ import annotations

from math import sqrt

from saltmoor.model import ColdStart, Micros, Server

FEW = 30  # a server that may get fewer requests in its window is given more for chance


def warmth(server: Server, now: Micros, cold: ColdStart) -> float:
    """The share of its capacity that a server surely has: it warms no slower than evenly."""
    age = max(0, now - server.started)  # what lies in the future has just started
    if server.started <= 0 or age >= cold.warm_after:
        return 1.0
    return cold.share + (1 - cold.share) * age / cold.warm_after


def most_requests(allowed: float) -> float:
    """How many requests of mean work a cold server stands in its window, where the settings allow so many.

    Source: the operators' standing test, N + 2 root N + 2, under 30 N + 3 root N + 3.
    """
    if allowed < FEW:
        return allowed + 3 * sqrt(allowed) + 3
    return allowed + 2 * sqrt(allowed) + 2
