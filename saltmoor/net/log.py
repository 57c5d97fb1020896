"""Owns the node's log: plain lines on standard error, at a limited rate.

It must never block the loop for long, hold lines back in memory, or fail: a line too many is counted, not
kept.
"""

from __future__ import annotations

import os
import stat
import sys
import time

from saltmoor.net.counters import Counters


class Log:
    def __init__(self, lines_per_s: float = 50.0, burst: float = 200.0) -> None:
        self.rate, self.burst, self.left, self.since = lines_per_s, burst, burst, time.monotonic()
        self.dropped = 0
        self.counters = Counters()
        mode = os.fstat(2).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(2, False)  # a reader that stalls must not stall the node

    def __call__(self, line: str) -> None:
        now = time.monotonic()
        self.left = min(self.burst, self.left + (now - self.since) * self.rate)
        self.since = now
        if self.left < 1:
            self.dropped += 1
            return
        self.left -= 1
        if self.dropped:
            line, self.dropped = f"{line} (log: {self.dropped} lines dropped before this one)", 0
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:  # nobody reads the log: serving goes on
            self.dropped += 1

    def ended(self, side: str, peer: str, code: str, **figures: object) -> None:
        """The one line that each connection leaves, and its count; docs/oncall.md lists the codes."""
        self.counters.add(f"{side}_connections_ended", code)
        rest = "".join(f" {name}={value}" for name, value in figures.items())
        self(f"end {side} {peer} code={code}{rest}")
