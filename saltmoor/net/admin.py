"""Owns the second address: calls from staff and the front, answered at once from a table of what may be asked.

It runs on a thread of its own, so that a call is heard when it is sent, however late the loop of the clients is. One call
a connection, HTTP/1.1. It must never touch a request or a connection of a client, wait behind the loop, or let one caller
wait for another: those that finish no call are bounded in number and time, the one open longest goes first.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from saltmoor.config import CALLS
from saltmoor.model import Micros
from saltmoor.net import errors, http, tcp_info
from saltmoor.net.buffers import listener
from saltmoor.net.errors import Call, Fault, Then

LONGEST = 8192  # bytes of one call
PIECE = 4096  # bytes read at once
SHOWN = 80  # characters of a call's path that the log shows
PATIENCE = 5.0  # seconds that a call may take to come, and its answer to be taken
SHORTAGE_PAUSE = 0.005  # seconds until a system call that failed for a shortage of our own is made again
MOST_PAUSES = 20  # in a row, of one call: 0.1 s
SHORTEST_STAY = 0.05  # seconds that a caller may take to say its call, however many others come
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

Answer = Callable[[Micros], tuple[bool, str]]  # told how long ago the call came; a yes or no, and the state in words


@dataclass(eq=False)
class Caller:
    """One connection at the second address. Times are seconds on the monotonic clock."""

    sock: socket.socket
    peer: str
    since: float
    request: http.Request = field(default_factory=lambda: http.Request(LONGEST))
    outcome: str = "unfinished"
    unsent: memoryview | None = None  # of its answer; None while there is none


class Admin:
    """The second address. `table`: for each path its method, and what answers it; that runs on this thread.

    `on_loop` has a function called with its arguments in the loop of the clients, whose log and counters are not this
    thread's to touch.
    """

    def __init__(
        self,
        address: tuple[str, int],
        table: Mapping[str, tuple[str, Answer]],
        *,
        on_loop: Callable[..., None],
        note: Callable[[str, str], None],
    ) -> None:
        """`note` gets an outcome for the counters, and a line for the log. Raises OSError: the address can't be had."""
        self.table, self.on_loop, self.note = table, on_loop, note
        self.calls: dict[Caller, None] = {}  # the one open longest first
        self.listener = listener("admin_addr", address)
        self.selector = selectors.DefaultSelector()
        self.selector.register(self.listener, selectors.EVENT_READ)
        self.listening = True  # the selector looks at the listener
        self.stopped = False
        self.thread = threading.Thread(target=self._run, name="second-address", daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Take no more calls; those under way get their answers."""
        self.stopped = True
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RD)  # wakes the thread

    def _run(self) -> None:
        while not self.stopped or self.calls:
            try:
                self._round()
            except Exception as error:  # guards against a node that hears no call any more
                self._tell_fault(error)
                time.sleep(SHORTAGE_PAUSE)
        self._stop_listening()
        self.selector.close()

    def _round(self) -> None:
        """Wait until something can be done, and do it."""
        ready = self.selector.select(self._due_in())
        # Who has said its call goes before new ones, of whom one could take its place.
        for key, _ in ready:
            if key.data in self.calls:
                self._go_on(key.data)
        if self.stopped:
            self._stop_listening()
        else:
            self._accept()
        self._end_late_ones()

    def _tell_fault(self, error: Exception) -> None:
        self.on_loop(self.note, "fault", f"fault in a call: {type(error).__name__}: {error}")

    def _due_in(self) -> float | None:
        """Seconds until something falls due; None: nothing does."""
        if not self.calls:
            return None
        oldest = next(iter(self.calls))
        due = oldest.since + (PATIENCE if self.listening or self.stopped else SHORTEST_STAY)
        return max(0.0, due - time.monotonic())

    def _stop_listening(self) -> None:
        if self.listener.fileno() >= 0:
            self._listen(False)
            self.listener.close()

    def _listen(self, on: bool) -> None:
        if on != self.listening:
            self.listening = on
            if on:
                self.selector.register(self.listener, selectors.EVENT_READ)
            else:
                self.selector.unregister(self.listener)

    def _accept(self) -> None:
        """Take who waits, as long as there is room; each is read at once, so that a call that has come is answered."""
        while True:
            self._listen(self._has_room())
            if not self.listening:
                break
            try:
                sock, peer = self.listener.accept()
            except BlockingIOError:
                break
            except OSError as error:
                if errors.verdict(Call.ACCEPT, error).then is Then.RETRY_NOW:
                    continue
                time.sleep(SHORTAGE_PAUSE)  # the listener stays readable
                break
            self._welcome(sock, f"{peer[0]}:{peer[1]}")

    def _welcome(self, sock: socket.socket, peer: str) -> None:
        caller = Caller(sock, peer, time.monotonic())
        try:
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, caller)
        except OSError as error:
            sock.close()
            self._tell_fault(error)
            return
        self.calls[caller] = None
        self._go_on(caller)

    def _has_room(self) -> bool:
        """Whether one more may come; where there are many, the one that is open longest goes."""
        if len(self.calls) < CALLS:
            return True
        oldest = next(iter(self.calls))
        self._go_on(oldest)  # its call may have come meanwhile
        if oldest in self.calls and time.monotonic() - oldest.since < SHORTEST_STAY:
            return False
        if oldest in self.calls:
            self._end(oldest)
        return True

    def _end_late_ones(self) -> None:
        now = time.monotonic()
        for caller in [caller for caller in self.calls if caller.since + PATIENCE <= now]:
            caller.outcome += " (TimeoutError)"
            self._end(caller)

    def _go_on(self, caller: Caller) -> None:
        """Read what has come, answer a call that is whole, read past what still comes."""
        try:
            if caller.unsent is None:
                self._read(caller)
            if caller.unsent is not None:
                self._write(caller)
            if caller.unsent is not None and not caller.unsent:
                self._read_past(caller)
        except BlockingIOError:
            pass
        except OSError as error:
            caller.outcome += f" ({type(error).__name__})"
            self._end(caller)
        except Exception as error:  # it ends this call alone
            self._tell_fault(error)
            self._end(caller)

    def _read(self, caller: Caller) -> None:
        """Read up to the end of the call. Raises OSError; BlockingIOError where it is not whole yet."""
        status, headers, text = 0, {}, ""
        try:
            while not status:
                data = self._patiently(Call.RECEIVE, lambda: caller.sock.recv(PIECE))
                if not data:
                    caller.outcome = "closed"
                    self._end(caller)
                    return
                if caller.request.feed(data):
                    status, headers, text = self.decide(caller.request, tcp_info.unread_for(caller.sock) or 0)
        except http.TooLong as error:
            status, text = 431, str(error)
        except http.Garbled as error:
            status, text = 400, str(error)
        except OSError:
            raise
        except Exception as error:  # a fault of ours is told, and harms no client
            self._tell_fault(error)
            status, text = 500, "fault"
        caller.outcome = f"{status} {text.splitlines()[0] if text else ''}"
        caller.unsent = memoryview(http.response(status, REASONS[status], headers, f"{text}\n".encode()))

    def _write(self, caller: Caller) -> None:
        """Write the answer, then say the end. Raises OSError; BlockingIOError where there is no room."""
        while caller.unsent:
            try:
                sent = self._patiently(Call.SEND, lambda: caller.sock.send(caller.unsent))
            except BlockingIOError:
                self.selector.modify(caller.sock, selectors.EVENT_WRITE, caller)
                raise
            caller.unsent = caller.unsent[sent:]
            if not caller.unsent:
                caller.sock.shutdown(socket.SHUT_WR)
                self.selector.modify(caller.sock, selectors.EVENT_READ, caller)

    def _read_past(self, caller: Caller) -> None:
        """Guards against a reset, for what still comes, that takes the answer with it."""
        while self._patiently(Call.RECEIVE, lambda: caller.sock.recv(PIECE)):
            pass
        self._end(caller)

    @staticmethod
    def _patiently(call: Call, work: Callable[[], bytes | int]) -> bytes | int:
        """Make that system call, again after a moment where our own side is short of something. Raises OSError."""
        for _ in range(MOST_PAUSES):
            try:
                return work()
            except BlockingIOError:
                raise
            except OSError as error:
                if errors.verdict(call, error).fault is not Fault.OURS:
                    raise
                time.sleep(SHORTAGE_PAUSE)
        return work()

    def _end(self, caller: Caller) -> None:
        if caller not in self.calls:
            return
        del self.calls[caller]
        self.selector.unregister(caller.sock)
        caller.sock.close()
        if caller.request.method != "GET" or not caller.outcome.startswith("200"):
            method, target = caller.request.method or "-", caller.request.target.decode("latin-1")[:SHOWN] or "-"
            line = f"call from {caller.peer}: {method} {target}: {caller.outcome}"
            self.on_loop(self.note, caller.outcome.partition(" ")[0], line)

    def decide(self, request: http.Request, came_ago: Micros) -> tuple[int, dict[str, str], str]:
        """The status of a call, its answer's headers, and its text; `came_ago`: how long its last bytes stood unread."""
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path not in self.table:
            return 404, {}, "no such path"
        method, answer = self.table[path]
        if request.method != method:
            return 405, {"Allow": method}, f"{method} only"
        yes, text = answer(came_ago)
        return (200 if yes else 503), {}, text
