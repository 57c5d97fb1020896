"""What one process of a node tells the next about a free connection to a server that it hands over, as one message.

Times are those of the node's monotonic clock, which both processes read. No I/O.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any

from saltmoor.model import Micros


@dataclass(slots=True, frozen=True)
class LinkState:
    """All that decides whether, and when, the connection may be used."""

    server: str
    address: tuple[str, int]
    since: Micros  # when it was opened
    used: Micros  # when its last exchange was over
    exchanges: int
    rests: Micros | None = None  # not used before then; None: an older version of the program, which does not tell

    def message(self) -> dict[str, Any]:
        """Its form between processes: JSON with the names above as keys."""
        return asdict(self)

    @classmethod
    def parse(cls, message: dict[str, Any]) -> LinkState:
        """Raises KeyError, TypeError or ValueError where it is not what a node writes; unknown keys are passed over."""
        host, port = message["address"]
        since, used, exchanges = (int(message[key]) for key in ("since", "used", "exchanges"))
        rests = message.get("rests")
        return cls(
            str(message["server"]),
            (str(host), int(port)),
            since,
            used,
            exchanges,
            None if rests is None else int(rests),
        )
