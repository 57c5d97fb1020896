"""Owns the second address: calls from staff and the front, answered at once from a table of what may be asked.

One call a connection, HTTP/1.1. It must never touch a transaction, wait behind clients, or let one caller wait for
another: those that finish no call are bounded in number and time, the one open longest goes first.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping

from saltmoor.config import CALLS
from saltmoor.net import http
from saltmoor.net.acceptor import Acceptor
from saltmoor.net.buffers import Buffers, Stream, listener
from saltmoor.net.log import Log

LONGEST = 8192  # bytes of one call
SHOWN = 80  # characters of a call's path that the log shows
PATIENCE = 5.0  # seconds that a call may take to come, and its answer to be taken
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}

Answer = Callable[[], tuple[bool, str]]  # whether it is a yes, and the state in a few words


class Admin:
    def __init__(
        self, address: tuple[str, int], buffers: Buffers, log: Log, table: Mapping[str, tuple[str, Answer]]
    ) -> None:
        self.buffers, self.log, self.table = buffers, log, table
        self.calls: dict[asyncio.Task, None] = {}  # the one open longest first
        self.listener = listener("admin_addr", address)
        host, port = self.listener.getsockname()[:2]
        log(f"second address at {host}:{port}")
        self.acceptor = Acceptor(self.listener, self.welcome, log, at_once=CALLS)
        self.acceptor.listen()

    def welcome(self, sock: socket.socket, peer: tuple) -> None:
        """Answer one more call; where there are too many, the one open longest goes."""
        if len(self.calls) >= CALLS:
            oldest = next(iter(self.calls))
            del self.calls[oldest]
            oldest.cancel()
        call = asyncio.create_task(self.answer(sock, f"{peer[0]}:{peer[1]}"))
        self.calls[call] = None
        call.add_done_callback(lambda done: self.calls.pop(done, None))

    async def answer(self, sock: socket.socket, peer: str) -> None:
        outcome, request = "unfinished", http.Request(LONGEST)
        try:
            stream = Stream(sock, self.buffers)
            sock = stream.sock
            async with asyncio.timeout(PATIENCE):
                try:
                    while not request.feed(data := await stream.read()):
                        if not data:
                            outcome = "closed"
                            return
                    status, headers, text = self.decide(request)
                except http.TooLong as error:
                    status, headers, text = 431, {}, str(error)
                except http.Garbled as error:
                    status, headers, text = 400, {}, str(error)
                except Exception as error:  # a fault of ours is told, and harms no client
                    self.log(f"fault in a call: {type(error).__name__}: {error}")
                    status, headers, text = 500, {}, "fault"
                outcome = f"{status} {text}"
                body = f"{text}\n".encode()
                await stream.write(http.response(status, REASONS[status], headers, body))
                # Guards against a reset that takes the answer with it: what still comes is read past.
                sock.shutdown(socket.SHUT_WR)
                while await stream.read():
                    pass
        except (OSError, TimeoutError) as error:
            outcome = f"{outcome} ({type(error).__name__})"
        finally:
            sock.close()
            self.note(peer, request, outcome)

    def note(self, peer: str, request: http.Request, outcome: str) -> None:
        """One line for each call that changes something or went wrong; readiness is asked too often for one."""
        if request.method == "GET" and outcome.startswith("200"):
            return
        self.log.counters.add("admin_calls", outcome.partition(" ")[0])
        target = request.target.decode("latin-1")[:SHOWN]
        self.log(f"call from {peer}: {request.method or '-'} {target or '-'}: {outcome}")

    def decide(self, request: http.Request) -> tuple[int, dict[str, str], str]:
        path = request.target.partition(b"?")[0].decode("latin-1")
        if path not in self.table:
            return 404, {}, "no such path"
        method, answer = self.table[path]
        if request.method != method:
            return 405, {"Allow": method}, f"{method} only"
        yes, text = answer()
        return (200 if yes else 503), {}, text

    def stop(self) -> None:
        """Take no more calls; those under way get their answers."""
        self.acceptor.close()
