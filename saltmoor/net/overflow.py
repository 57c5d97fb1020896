"""Ends connections that the node has no place for, each at once: what it has asked whole is refused, the rest is closed.

Guards against clients that wait at the listener of a node at its caps, where nobody answers or closes them. One connection
takes one descriptor for the time of a few system calls. It must never wait, send anything on, or decide who is turned away.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from saltmoor.model import Micros
from saltmoor.net import answers, meta
from saltmoor.net.counters import RequestLog
from saltmoor.net.log import Log

AT_ONCE = 1 << 14  # bytes of one read; all commands in them are answered
MOST_READ = 8 << 20  # bytes of one connection: as much as the machine holds for it
MOST_COMMANDS = 1024  # of one connection; then no more is read
MOST_LINGERING = 4  # connections whose clients send more, and get a moment to see the end
LINGER = 0.04  # seconds of that


class Found(Enum):
    """What a connection that is turned away had asked."""

    REQUEST = "request"
    OTHER_COMMAND = "other-command"
    UNFINISHED = "unfinished"
    NOTHING = "nothing"
    LEFT = "left"  # its client has gone
    BROKEN = "broken"


@dataclass(slots=True)
class _Asked:
    """What a connection that is turned away has asked, and what is said to it."""

    found: Found = Found.NOTHING
    answers: list[bytes] = field(default_factory=list)
    unread: bool = False  # more may stand there
    missing: int = 0  # bytes of an unfinished value, which its client is still sending
    quit: bool = False


class Overflow:
    """Turns connections away. `draining`: whether `mn` is a no; `hint`: how long who is refused is to stay away."""

    def __init__(
        self, log: Log, requests: RequestLog, *, draining: Callable[[], bool], hint: Callable[[], Micros]
    ) -> None:
        self.log, self.requests, self.draining, self.hint = log, requests, draining, hint
        self.lingering: dict[socket.socket, int] = {}  # and what is missing of its unfinished value

    def turn_away(self, sock: socket.socket, peer: str, queued: Micros) -> None:
        """Answer what was asked on it, and end it; `queued`: how long it waited to be accepted."""
        asked = _Asked(Found.BROKEN)
        try:
            sock.setblocking(False)
            asked = self._read(sock)
            said = b"".join(asked.answers)
            while said and asked.found is not Found.LEFT:
                said = said[sock.send(said) :]
        except OSError:
            pass
        if asked.unread or asked.missing:
            self._linger(sock, asked.missing)
        else:
            sock.close()
        self.log.counters.add("turned_away", asked.found.value)
        self.log.ended("client", peer, "turned-away", asked=asked.found.value, queued_ms=queued // 1000)

    def _read(self, sock: socket.socket) -> _Asked:
        """What has come, and the answer to each command in it. Raises OSError.

        Guards against commands that are read and get no answer: whatever is read is looked at to its end.
        """
        asked, commands, size = _Asked(), meta.Commands(), 0
        try:
            while not asked.quit:
                if size >= MOST_READ or len(asked.answers) >= MOST_COMMANDS:
                    asked.unread = _has_unread(sock)
                    break
                try:
                    data = sock.recv(AT_ONCE)
                except BlockingIOError:
                    break
                if not data:
                    asked.found = Found.LEFT
                    return asked
                size += len(data)
                commands.feed(data)
                self._answer(commands, asked)
            self._answer_unfinished(commands, asked)
        except meta.FramingLost as error:
            asked.found = Found.UNFINISHED if asked.found is Found.NOTHING else asked.found
            asked.answers.append(answers.client_error(error))
            asked.unread = _has_unread(sock)
        return asked

    def _answer(self, commands: meta.Commands, asked: _Asked) -> None:
        for command in commands.rest():
            if command.verb == b"quit":
                asked.quit = True
                return
            self._answer_one(command, asked)

    def _answer_one(self, command: meta.Command, asked: _Asked) -> None:
        answer = answers.of_node(command, draining=self.draining())
        if answer is None:
            asked.found, answer = Found.REQUEST, self._refuse(command)
        elif asked.found is Found.NOTHING:
            asked.found = Found.OTHER_COMMAND
        asked.answers.append(answer)

    def _answer_unfinished(self, commands: meta.Commands, asked: _Asked) -> None:
        """The rest of a value is not waited for, nor that of a line."""
        if asked.quit or not commands.partial:
            return
        if commands.waiting:
            asked.missing = commands.missing
            self._answer_one(commands.waiting, asked)
            return
        if asked.found is Found.NOTHING:
            asked.found = Found.UNFINISHED
        asked.answers.append(answers.UNFINISHED)

    def _refuse(self, command: meta.Command) -> bytes:
        self.requests.note("refused", "no-place", command.id.decode("latin-1"))
        return meta.rolled_back(self.hint() // 1000)

    def _linger(self, sock: socket.socket, missing: int) -> None:
        """Say the end, and stay for a moment; of an unfinished value the rest is read past.

        Guards against a reset, for what stands unread or is still being sent, that takes the answer with it. Nothing else
        is read: a command that is read is owed an answer.
        """
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
        self.lingering[sock] = missing
        while len(self.lingering) > MOST_LINGERING:
            self._close(next(iter(self.lingering)))
        loop = asyncio.get_running_loop()
        if missing:
            loop.add_reader(sock, self._read_past, sock)
        loop.call_later(LINGER, self._close, sock)

    def _read_past(self, sock: socket.socket) -> None:
        """Drop what has come of the value, up to its end or the client's."""
        try:
            size = len(sock.recv(min(AT_ONCE, self.lingering[sock])))
        except BlockingIOError:
            return
        except OSError:
            size = 0
        self.lingering[sock] -= size
        if not size:
            self._close(sock)
        elif not self.lingering[sock]:
            asyncio.get_running_loop().remove_reader(sock)

    def _close(self, sock: socket.socket) -> None:
        if sock in self.lingering:
            del self.lingering[sock]
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


def _has_unread(sock: socket.socket) -> bool:
    """Whether bytes stand there that were not read."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except BlockingIOError:
        return False
