"""Takes connections off one listening socket, and waits where that fails for a moment.

The system call's errors are weighed in `errors`; trouble pauses the listener for a bounded time on the monotonic clock
and ends no other connection, but for `shed` where the process has no descriptor left. It must never answer anybody, or
close the listener while connections wait in its queue that could still be taken.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from enum import Enum, auto

from saltmoor.model import Micros
from saltmoor.net import tcp_info
from saltmoor.net.errors import Call, Then, verdict

BACKLOG = 1024  # connections that may wait in the queue
AT_ONCE = 64  # connections taken in one go, so that others get their turn
RETRIES = 16  # in a row that fail for a connection's own reason before the listener pauses
SHORTEST_PAUSE = 0.005  # seconds; each pause in a row is twice as long
LONGEST_PAUSE = 0.1  # seconds: well under what a client may have to wait
EPISODE = 1.0  # seconds without a failure after which the trouble is over, for the log
LONG_WAIT = 0.1  # seconds that connections wait in the queue before the log says so

Welcome = Callable[[socket.socket, tuple], None]


class Taken(Enum):
    """Why no more connections are taken just now."""

    EMPTY = auto()  # nobody waits
    ENOUGH = auto()  # it is others' turn
    NO_ROOM = auto()
    TROUBLE = auto()  # the call failed


class Acceptor:
    """One listening socket.

    `welcome` gets each connection; `has_room` is asked before each; `shed` gives up a descriptor of the process where
    none is left, and says whether it did. Where there is no room, `turn_away` gets each connection that has waited for
    `longest_wait` seconds, in the order in which they came.
    """

    def __init__(
        self,
        listener: socket.socket,
        welcome: Welcome,
        log: Callable[[str], None],
        *,
        has_room: Callable[[], bool] = lambda: True,
        shed: Callable[[], bool] = lambda: False,
        turn_away: Callable[[socket.socket, tuple, Micros], None] | None = None,
        longest_wait: Callable[[], float] = lambda: 0.0,
        at_once: int = AT_ONCE,
    ) -> None:
        self.listener, self.welcome, self.log = listener, welcome, log
        self.has_room, self.shed, self.at_once = has_room, shed, at_once
        self.turn_away, self.longest_wait = turn_away, longest_wait
        self.look_again: asyncio.TimerHandle | None = None  # when the queue is looked at next while there is no room
        self.first: tuple[socket.socket, tuple] | None = None  # off the queue, and neither taken nor turned away yet
        self.loop = asyncio.get_running_loop()
        self.listening = self.stopped = False
        self.pause: asyncio.TimerHandle | None = None
        self.next_pause = SHORTEST_PAUSE
        self.failures = 0  # of this episode
        self.failed_at = 0.0
        self.blocked_at: float | None = None  # since when somebody waits and none is taken; None: nobody does
        self.failing_since: float | None = None  # the first of the failures in a row
        self.blocked_said = False  # the log has it

    def listen(self) -> None:
        """Take connections as they come; a pause goes on, and after `stop` none are."""
        if not (self.listening or self.stopped or self.pause):
            self.listening = True
            self.loop.add_reader(self.listener, self._ready)
            if self.first:
                self.loop.call_soon(self._ready)

    def hold(self) -> None:
        """Take none until `listen` is called."""
        if self.listening:
            self.listening = False
            self.loop.remove_reader(self.listener)

    def stop(self) -> None:
        """Take none as they come any more; `take` still does, and the socket stays open."""
        self.hold()
        self.stopped = True
        if self.pause:
            self.pause.cancel()
            self.pause = None

    def close(self) -> None:
        """Stop, and close the socket: who still waits in its queue is reset, but for one that was taken off it."""
        self.stop()
        if self.first:
            self.welcome(*self._next())
        self.listener.close()

    def drop_queue(self) -> None:
        """Reset who waits in the queue, and listen on: the last resort where accept goes on failing.

        A listening socket that is shut down lets go of its queue, and needs no other descriptor to listen again.
        """
        self.hold()
        try:
            dropped = self.waiting()
            self.listener.shutdown(socket.SHUT_RD)
            self.listener.listen(BACKLOG)
            self.log(f"listener: connections dropped, as accept goes on failing: {dropped}")
        except OSError as error:
            self.log(f"listener: connections cannot be dropped: {error}")
        self.blocked_at, self.blocked_said = None, False
        self.failing_since = None

    def failing_for(self) -> float:
        """Seconds for which accept has failed on end while somebody waits; 0 where it has not."""
        if self.failing_since is None or not self.waits():
            return 0.0
        return self.loop.time() - self.failing_since

    def waits(self) -> bool:
        """Whether anybody waits to be taken, as the kernel knows it."""
        if self.first:
            return True
        poll = select.poll()
        poll.register(self.listener.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def take(self, most: int) -> Taken:
        """Take so many connections at most; why no more."""
        taken = self._take(most)
        if taken is not Taken.TROUBLE:
            self.failing_since = None
        self._note(taken)
        return taken

    def _take(self, most: int) -> Taken:
        in_a_row = 0
        for _ in range(most):
            room = self.has_room()
            if not room and not self.turn_away:
                return Taken.NO_ROOM
            try:
                sock, peer = self._next()
            except BlockingIOError:
                return Taken.EMPTY
            except OSError as error:
                then = verdict(Call.ACCEPT, error).then
                self._failed(error)
                in_a_row += 1
                if then is Then.RETRY_NOW and in_a_row < RETRIES:
                    continue
                if then is Then.SHED:
                    self.shed()
                return Taken.TROUBLE
            in_a_row, self.next_pause = 0, SHORTEST_PAUSE
            self.failing_since = None
            self._recovered()
            if room:
                self.welcome(sock, peer)
                continue
            self.first = sock, peer
            if self._waited(sock) < self.longest_wait():
                return Taken.NO_ROOM
            self._end_first()
        return Taken.ENOUGH

    def _next(self) -> tuple[socket.socket, tuple]:
        """The connection that has waited longest. Raises OSError, BlockingIOError where there is none."""
        if self.first:
            first, self.first = self.first, None
            return first
        return self.listener.accept()

    def _waited(self, sock: socket.socket) -> float:
        """Seconds for which a connection has waited; as long as any may have where the machine does not tell."""
        age = tcp_info.age(sock)
        return self.blocked_for() if age is None else age / 1_000_000

    def _end_first(self) -> None:
        (sock, peer), self.first = self.first, None
        self.turn_away(sock, peer, int(self._waited(sock) * 1_000_000))

    def blocked_for(self) -> float:
        """Seconds for which connections may have waited in the queue with none of them taken."""
        return 0.0 if self.blocked_at is None else self.loop.time() - self.blocked_at

    def _note(self, taken: Taken) -> None:
        """Keep since when, and why, nobody is taken; the log has the waits that are long, and their ends."""
        if taken is Taken.ENOUGH:
            return
        if taken is Taken.EMPTY:
            if self.blocked_said:
                self.log(f"listener takes connections again: blocked_ms={self.blocked_for() * 1000:.0f}")
            self.blocked_at, self.blocked_said = None, False
            return
        if self.blocked_at is None:
            self.blocked_at = self.loop.time()
        if not self.blocked_said and self.blocked_for() >= LONG_WAIT:
            self.blocked_said = True
            self.log(f"listener takes no connection: reason={taken.name.lower()} waiting={self.waiting()}")

    def waiting(self) -> int:
        """How many connections wait to be taken, as far as the machine tells."""
        return (tcp_info.waiting(self.listener) or 0) + bool(self.first)

    def _ready(self) -> None:
        if not self.listening:
            return
        taken = self.take(self.at_once)
        if taken in (Taken.NO_ROOM, Taken.TROUBLE):
            self.hold()
        if taken is Taken.NO_ROOM and self.turn_away and not self.look_again:
            self.look_again = self.loop.call_later(self._due_in(), self._look)
        if taken is Taken.TROUBLE and not self.stopped:
            self.pause = self.loop.call_later(self.next_pause, self._resume)
            self.next_pause = min(LONGEST_PAUSE, 2 * self.next_pause)

    def _due_in(self) -> float:
        """Seconds until the one that has waited longest may have waited for too long."""
        waited = self._waited(self.first[0]) if self.first else self.blocked_for()
        return max(SHORTEST_PAUSE, self.longest_wait() - waited)

    def _look(self) -> None:
        self.look_again = None
        self.listen()

    def _resume(self) -> None:
        self.pause = None
        self.listen()

    def _failed(self, error: OSError) -> None:
        if not self.failures:
            self.log(f"accept failing: {error}")
        self.failures += 1
        self.failed_at = self.loop.time()
        if self.failing_since is None:
            self.failing_since = self.failed_at

    def _recovered(self) -> None:
        if self.failures and self.loop.time() - self.failed_at > EPISODE:
            self.log(f"accept recovered: failures={self.failures}")
            self.failures = 0
