"""Notes the spans in which the machine ran nothing on one of its processors: `python -m tests.stalls` until told to end.

One idle thread on each processor wakes up again and again; what comes late to it comes late to every process there. Says
that it has begun, and prints the spans at its end, in seconds on the monotonic clock.
"""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

TICK = 0.005  # seconds between two times that a thread wakes up
NOTED = 0.005  # seconds: shorter spans are not noted

Span = tuple[float, float]  # from when, and until when


@dataclass
class Stalls:
    """The spans of a time, taken by a process of its own while this is entered."""

    spans: list[Span] = field(default_factory=list)  # seconds on the monotonic clock

    def __enter__(self) -> Stalls:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.stalls"], stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, text=True
        )
        self.process.stdout.readline()  # it has begun
        return self

    def __exit__(self, *_) -> None:
        self.process.terminate()
        self.spans += map(tuple, json.loads(self.process.communicate()[0]))

    def share_late(self, tolerance: float, begun: float, ended: float) -> float:
        """The share of the moments from `begun` to `ended` at which a step that was due then came later than
        `tolerance` on some processor; all in seconds."""
        late = at = 0.0
        for start, end in sorted(self.spans):
            first, last = max(start, begun, at), min(end - tolerance, ended)
            late += max(0.0, last - first)
            at = max(at, last)
        return late / (ended - begun)


def watch(processor: int, spans: list[Span]) -> None:
    """Note the spans of one processor, without end."""
    os.sched_setaffinity(0, {processor})
    before = time.monotonic()
    while True:
        time.sleep(TICK)
        now = time.monotonic()
        if now - before - TICK > NOTED:
            spans.append((before + TICK, now))
        before = now


def main() -> None:
    spans: list[Span] = []
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    for processor in os.sched_getaffinity(0):
        threading.Thread(target=watch, args=(processor, spans), daemon=True).start()
    print("begun", flush=True)
    signal.sigwait({signal.SIGTERM})
    print(json.dumps(list(spans)), flush=True)


if __name__ == "__main__":
    main()
