"""Learns for how long free connections stay good. No I/O; ages are in microseconds."""

from __future__ import annotations

from saltmoor.model import Micros


class Ages:
    """How long a free connection stays good: less than the settings say where uses after such a time broke.

    Guards against servers, or what stands between, that drop idle connections early and without a word.
    """

    def __init__(self) -> None:
        self.uses = [[0.0, 0.0] for _ in range(32)]  # how many, how many broke; by doublings of milliseconds

    def learn(self, age: Micros, broke: bool) -> None:
        counts = self.uses[min(31, (age // 1000).bit_length())]
        counts[0] += 1
        counts[1] += broke

    def forget(self) -> None:
        """Half of it, so that what was given up is tried again some time."""
        self.uses = [[used / 2, broke / 2] for used, broke in self.uses]

    def good(self, most: Micros) -> Micros:
        """The age from which on every fourth use or more broke."""
        for i, (used, broke) in enumerate(self.uses):
            if broke >= 4 and 4 * broke > used:
                return min(most, 1000 << i >> 1)
        return most
