"""What one process of a node tells the next about a free connection to a server that it hands over, as one message.

Times are those of the node's monotonic clock, which both processes read. No I/O.
"""

from __future__ import annotations

from typing import Any

import msgspec

from saltmoor.model import Micros


class LinkState(msgspec.Struct, frozen=True):
    """All that decides whether, and when, the connection may be used."""

    server: str
    address: tuple[str, int]
    since: Micros  # when it was opened
    used: Micros  # when its last exchange was over
    exchanges: int
    rests: Micros | None = None  # not used before then; None: an older version of the program, which does not tell

    def message(self) -> dict[str, Any]:
        """Its form between processes: JSON with the names above as keys."""
        return msgspec.to_builtins(self)

    @classmethod
    def parse(cls, message: dict[str, Any]) -> LinkState:
        """Raises msgspec.ValidationError where something is missing or of another type; unknown keys are passed over."""
        return msgspec.convert(message, cls)
