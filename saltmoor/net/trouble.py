"""Keeps track of trouble of our own at making connections: no port, no route, no memory on this machine.

Such trouble says nothing of a server. While it has only just begun a connection is worth another try; once it lasts,
each try is one call and fails at once, so that requests are answered early. Decides on times that it is given; it must
never do I/O.
"""

from __future__ import annotations

from saltmoor.model import Micros, ServerId

PASSING: Micros = 150_000  # so long after its begin trouble is held to pass within a request's time
ALONE: Micros = 1_000_000  # so long only one server's way may fail, while others' work, before it is held against that
SHORTEST_PAUSE: Micros = 2_000
LONGEST_PAUSE: Micros = 10_000  # within a request's time


class Pauses:
    """Pauses between tries, each twice as long as the one before, from SHORTEST_PAUSE to `longest`."""

    def __init__(self, until: Micros, longest: Micros = LONGEST_PAUSE) -> None:
        self.until, self.length, self.longest = until, SHORTEST_PAUSE, longest

    def next(self, now: Micros) -> Micros | None:
        """How long to wait before the next try; None where its time is over then."""
        pause, self.length = self.length, min(self.longest, 2 * self.length)
        return pause if now + pause < self.until else None


class LocalTrouble:
    """Since when connects fail for a reason of our own, in all and by server."""

    def __init__(self) -> None:
        self.since: Micros | None = None  # the first failure with no connection made since, to whatever server
        self.worked_at: Micros = 0  # when a connection was made last
        self.by_server: dict[ServerId, Micros] = {}
        self.failures = 0  # since the start

    def failed(self, server: ServerId, now: Micros) -> bool:
        """One more; whether it is the first of its kind, for the log."""
        self.failures += 1
        self.by_server.setdefault(server, now)
        first = self.since is None
        if first:
            self.since = now
        return first

    def worked(self, server: ServerId, now: Micros) -> None:
        """A connection was made, or the server itself refused one: our side is well."""
        self.since, self.worked_at = None, now
        self.by_server.pop(server, None)

    def passing(self, now: Micros) -> bool:
        """Whether it is worth waiting for its end."""
        return self.since is None or now - self.since < PASSING

    def alone(self, server: ServerId, now: Micros) -> bool:
        """Whether only the way to this server fails, and has for long: then it is the server's own trouble."""
        since = self.by_server.get(server, now)
        return now - since > ALONE and self.worked_at > since

    def forget(self, server: ServerId) -> None:
        """It has left the list."""
        self.by_server.pop(server, None)
