"""Ends what a soak has started when the soak itself is asked to end."""

from __future__ import annotations

import os
import signal
from pathlib import Path


def descendants(root: int) -> list[int]:
    """The processes below that one, as /proc has them now."""
    children: dict[int, list[int]] = {}
    for place in Path("/proc").glob("[0-9]*"):
        try:
            fields = (place / "stat").read_text().rpartition(")")[2].split()
        except OSError:  # it has just ended
            continue
        children.setdefault(int(fields[1]), []).append(int(place.name))
    found, waiting = [], [root]
    while waiting:
        for child in children.get(waiting.pop(), ()):
            found.append(child)
            waiting.append(child)
    return found


def end_with_children() -> None:
    """On SIGTERM and SIGINT: kill every process below this one, then end with status 1."""

    def end(number: int, frame: object) -> None:
        for child in descendants(os.getpid()):
            try:
                os.kill(child, signal.SIGKILL)
            except ProcessLookupError:
                continue
        os._exit(1)

    for number in signal.SIGTERM, signal.SIGINT:
        signal.signal(number, end)
