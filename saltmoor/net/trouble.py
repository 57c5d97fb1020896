"""Keeps track of trouble of our own at making connections: no port, no route, no memory on this machine.

Such trouble says nothing of a server. While it has only just begun, or few tries have failed, a connection is worth
another try; once it lasts, each try is one call and fails at once, so that requests are answered early. Decides on times
that it is given; it must never do I/O.
"""

from __future__ import annotations

from saltmoor.model import Micros, ServerId

PASSING: Micros = 150_000  # so long after its begin trouble is held to pass within a request's time
LASTING_TRIES = 16  # in a row that have failed before trouble is held to last, however long ago it began
ALONE: Micros = 1_000_000  # so long only one server's way may fail, while others' work, before it is held against that
SHORTEST_PAUSE: Micros = 2_000
LONGEST_PAUSE: Micros = 10_000  # within a request's time


class Pauses:
    """Pauses between tries, each twice as long as the one before, from SHORTEST_PAUSE to `longest`.

    Their sum stays under `total`. Guards against a process that does not run for a while and has no tries left then: a
    pause counts as long as it was meant to be. Who pauses bounds the whole wait by its own time-out.
    """

    def __init__(self, total: Micros, longest: Micros = LONGEST_PAUSE) -> None:
        self.left, self.length, self.longest = total, SHORTEST_PAUSE, longest

    def next(self) -> Micros | None:
        """How long to wait before the next try; None where there is to be no other."""
        pause, self.length = self.length, min(self.longest, 2 * self.length)
        self.left -= pause
        return pause if self.left > 0 else None


class LocalTrouble:
    """Since when connects fail for a reason of our own, in all and by server."""

    def __init__(self) -> None:
        self.since: Micros | None = None  # the first failure of those in a row, to whatever server
        self.failed_at: Micros = 0  # when the last try failed
        self.tries = 0  # that failed in a row
        self.worked_at: Micros = 0  # when a connection was made last
        self.by_server: dict[ServerId, Micros] = {}
        self.failures = 0  # since the start

    def failed(self, server: ServerId, now: Micros) -> bool:
        """One more; whether it is the first with no connection made since, for the log."""
        self.failures += 1
        self.by_server.setdefault(server, now)
        first = self.since is None
        # Guards against trouble that passes for lasting as nobody has tried since.
        if first or now - self.failed_at > PASSING:
            self.since, self.tries = now, 0
        self.failed_at = now
        self.tries += 1
        return first

    def worked(self, server: ServerId, now: Micros) -> None:
        """A connection was made, or the server itself refused one: our side is well."""
        self.since, self.worked_at = None, now
        self.by_server.pop(server, None)

    def passing(self, now: Micros) -> bool:
        """Whether it is worth waiting for its end."""
        return self.since is None or now - self.since < PASSING or self.tries < LASTING_TRIES

    def alone(self, server: ServerId, now: Micros) -> bool:
        """Whether only the way to this server fails, and has for long: then it is the server's own trouble."""
        since = self.by_server.get(server, now)
        return now - since > ALONE and self.worked_at > since

    def forget(self, server: ServerId) -> None:
        """It has left the list."""
        self.by_server.pop(server, None)
