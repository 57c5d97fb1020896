"""Remembers the ids of requests that may have taken effect and whose client left before the answer.

One that comes again under such an id would run a second time. Two processes of one node tell each other. No I/O; the
clock is passed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from saltmoor.model import Micros

REMEMBERED_FOR: Micros = 30_000_000
IDS_MOST = 8192  # some 150 bytes each; the one remembered for longest goes
IDS_A_MESSAGE = 256


@dataclass(slots=True, frozen=True)
class SpentIdsMessage:
    """What one process of a node tells the other: ids in Latin-1, and since when each is remembered, on their clock."""

    spent: list[tuple[str, Micros]]

    def message(self) -> dict[str, Any]:
        """Its form between processes: JSON with the name above as key."""
        return {"spent": self.spent}

    @classmethod
    def parse(cls, message: dict[str, Any]) -> SpentIdsMessage:
        """Raises KeyError, TypeError or ValueError where it is not what a node writes; unknown keys are passed over."""
        return cls([(str(request_id), int(since)) for request_id, since in message["spent"]])


class SpentIds:
    """Ids, and since when each is remembered. `tell`: called with each that is added here."""

    def __init__(self) -> None:
        self.since: dict[bytes, Micros] = {}
        self.tell: Callable[[SpentIdsMessage], None] = lambda message: None

    def add(self, request_id: bytes, now: Micros) -> None:
        """It may have taken effect, and its client does not wait for the answer any more."""
        self._keep(request_id, now)
        self.tell(SpentIdsMessage([(request_id.decode("latin-1"), now)]))

    def take(self, message: SpentIdsMessage, now: Micros) -> None:
        """The other process of this node remembers these."""
        for request_id, since in message.spent:
            self._keep(request_id.encode("latin-1"), min(since, now))

    def messages(self) -> Iterator[SpentIdsMessage]:
        """All that is remembered, for a process that starts."""
        ids = [(request_id.decode("latin-1"), since) for request_id, since in self.since.items()]
        for at in range(0, len(ids), IDS_A_MESSAGE):
            yield SpentIdsMessage(ids[at : at + IDS_A_MESSAGE])

    def has(self, request_id: bytes, now: Micros) -> bool:
        """Whether a request of that id may not be begun."""
        since = self.since.get(request_id)
        return since is not None and now < since + REMEMBERED_FOR

    def _keep(self, request_id: bytes, since: Micros) -> None:
        self.since.pop(request_id, None)
        self.since[request_id] = since
        if len(self.since) > IDS_MOST:
            del self.since[next(iter(self.since))]
