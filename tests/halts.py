"""Gives a process a fraction of a core: `python -m tests.halts PID RUN_MS EVERY_MS` halts it in a row until told to end.

Prints each span, in seconds on the monotonic clock, in which the machine kept the process from running beyond that: a
halt that lasted too long, or a turn in which the processor was busy with others.
"""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
from pathlib import Path

NOTED = 0.005  # seconds: shorter spans are not noted
LOOK = 0.001  # seconds between two looks at a turn that the machine makes longer
NS = 1_000_000_000


def waited(pid: int) -> float:
    """Seconds for which the process was ready to run, and the processor was busy with others; 0 where Linux tells none."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS
    except (OSError, IndexError):
        return 0.0


def halt(pid: int, seconds: float) -> None:
    """One halt."""
    os.kill(pid, signal.SIGSTOP)
    begun = time.monotonic()
    time.sleep(seconds)
    note(begun + seconds)


def turn(pid: int, seconds: float) -> None:
    """One turn to run, longer by what the process waited for a processor meanwhile."""
    before, begun = waited(pid), time.monotonic()
    os.kill(pid, signal.SIGCONT)
    time.sleep(seconds)
    while time.monotonic() < begun + seconds + waited(pid) - before:
        time.sleep(LOOK)
    note(begun + seconds)


def note(planned: float) -> None:
    """Print what came behind the planned end."""
    now = time.monotonic()
    if now - planned > NOTED:
        print(planned, now, flush=True)


def main(pid: int, run: float, every: float) -> None:
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    try:
        while True:
            halt(pid, every - run)
            turn(pid, run)
    except ProcessLookupError:
        pass
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGCONT)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]) / 1000, int(sys.argv[3]) / 1000)
