"""Remembers the ids of requests that may have taken effect and whose client left before the answer.

One that comes again under such an id would run a second time. No I/O; the clock is passed in.
"""

from __future__ import annotations

from saltmoor.model import Micros

REMEMBERED_FOR: Micros = 30_000_000
IDS_MOST = 8192  # some 150 bytes each; the one remembered for longest goes


class SpentIds:
    """Ids, and since when each is remembered."""

    def __init__(self) -> None:
        self.since: dict[bytes, Micros] = {}

    def add(self, request_id: bytes, now: Micros) -> None:
        """It may have taken effect, and its client does not wait for the answer any more."""
        self.since.pop(request_id, None)
        self.since[request_id] = now
        if len(self.since) > IDS_MOST:
            del self.since[next(iter(self.since))]

    def has(self, request_id: bytes, now: Micros) -> bool:
        """Whether a request of that id may not be begun."""
        since = self.since.get(request_id)
        return since is not None and now < since + REMEMBERED_FOR
