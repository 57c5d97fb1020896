"""Ends connections that the node has no place for, each at once: what it has asked whole is refused, the rest is closed.

Guards against clients that wait at the listener of a node at its caps, where nobody answers or closes them. One connection
takes one descriptor for the time of a few system calls. It must never wait, send anything on, or decide who is turned away.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from enum import Enum

from saltmoor.model import Micros
from saltmoor.net import answers, meta
from saltmoor.net.counters import RequestLog
from saltmoor.net.log import Log

MOST_READ = 1 << 16  # bytes of one connection
MOST_LINGERING = 4  # connections with more unread: their clients get a moment to see the end
LINGER = 0.04  # seconds of that


class Found(Enum):
    """What a connection that is turned away had asked."""

    REQUEST = "request"
    OTHER_COMMAND = "other-command"
    UNFINISHED = "unfinished"
    NOTHING = "nothing"
    LEFT = "left"  # its client has gone
    BROKEN = "broken"


class Overflow:
    """Turns connections away. `draining`: whether `mn` is a no; `hint`: how long who is refused is to stay away."""

    def __init__(
        self, log: Log, requests: RequestLog, *, draining: Callable[[], bool], hint: Callable[[], Micros]
    ) -> None:
        self.log, self.requests, self.draining, self.hint = log, requests, draining, hint
        self.lingering: deque[socket.socket] = deque()

    def turn_away(self, sock: socket.socket, peer: str, queued: Micros) -> None:
        """Answer what was asked on it, and end it; `queued`: how long it waited to be accepted."""
        found, unread = Found.BROKEN, False
        try:
            sock.setblocking(False)
            data, unread, left = _read(sock)
            found, said = (Found.LEFT, b"") if left else self._answer(data)
            while said:
                said = said[sock.send(said) :]
        except OSError:
            pass
        if unread and found is not Found.BROKEN:
            self._linger(sock)
        else:
            sock.close()
        self.log.counters.add("turned_away", found.value)
        self.log.ended("client", peer, "turned-away", asked=found.value, queued_ms=queued // 1000)

    def _answer(self, data: bytes) -> tuple[Found, bytes]:
        commands, said, found = meta.Commands(), [], Found.NOTHING
        commands.feed(data)
        try:
            while (command := commands.next() or commands.waiting) is not None:
                if command.verb == b"quit":
                    break
                answer = answers.of_node(command, draining=self.draining())
                if answer is None:
                    found, answer = Found.REQUEST, self._refuse(command)
                found = Found.OTHER_COMMAND if found is Found.NOTHING else found
                said.append(answer)
                if command is commands.waiting:  # the rest of its value is not waited for
                    break
            else:
                if commands.partial:
                    found = Found.UNFINISHED if found is Found.NOTHING else found
                    said.append(answers.UNFINISHED)
        except meta.FramingLost as error:
            found = Found.UNFINISHED if found is Found.NOTHING else found
            said.append(answers.client_error(error))
        return found, b"".join(said)

    def _refuse(self, command: meta.Command) -> bytes:
        self.requests.note("refused", "no-place", command.id.decode("latin-1"))
        return meta.rolled_back(self.hint() // 1000)

    def _linger(self, sock: socket.socket) -> None:
        """Guards against a reset, for what stands unread, that takes the answer with it."""
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
        self.lingering.append(sock)
        while len(self.lingering) > MOST_LINGERING:
            self.lingering.popleft().close()
        asyncio.get_running_loop().call_later(LINGER, self._close, sock)

    def _close(self, sock: socket.socket) -> None:
        if sock in self.lingering:
            self.lingering.remove(sock)
            sock.close()


def _read(sock: socket.socket) -> tuple[bytes, bool, bool]:
    """What has come, whether more may stand unread, and whether the client has ended the connection."""
    parts: list[bytes] = []
    room = MOST_READ
    while room:
        try:
            part = sock.recv(room)
        except BlockingIOError:
            return b"".join(parts), False, False
        if not part:
            return b"".join(parts), False, True
        parts.append(part)
        room -= len(part)
    return b"".join(parts), True, False
