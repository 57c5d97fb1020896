"""One connection to a server, on its way up and open, and what reads an answer from it. It must never pick a server."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Protocol

from saltmoor.model import Micros, ServerId
from saltmoor.net import errors, meta
from saltmoor.net.buffers import Stream

REFUSED, OWN_TROUBLE = "refused", "own-trouble"  # why a connection has not come up: codes for the log


class Reader(Protocol):
    """Takes what a connection brings until the answer is whole."""

    reply: meta.Reply
    clean: bool  # nothing came beyond the answer: another may follow on this connection
    large: bool  # its answer is to be passed on in pieces
    length: int
    done: bool  # of a large one: all of it was taken
    nameless: bool  # its answer does not say to what it is one
    gathered: int  # bytes held of an answer whose length is not known

    def ended(self) -> bool: ...

    def take(self) -> bytes: ...

    def feed(self, data: bytes) -> bool: ...

    def close(self) -> None:
        """Nothing more is read."""


class Link:
    """One open connection to one server."""

    def __init__(self, server: ServerId, address: tuple[str, int], stream: Stream, since: Micros) -> None:
        self.server, self.address, self.stream, self.since, self.used = server, address, stream, since, since
        self.exchanges = 0
        self.nameless = False  # its last answer did not say to what it was one
        self.rests: Micros = 0  # until then it is not used, as more may come of the answer before


class Dial:
    """A connection on its way up; it holds a descriptor until it is up, has failed or is let go."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.over: asyncio.Future[str] = link.stream.loop.create_future()  # no code: it is up
        sock = link.stream.sock
        try:
            sock.connect(link.address)
        except BlockingIOError:
            link.stream.loop.add_writer(sock, self.end)
        except OSError as error:
            self.over.set_result(self.code_of(error))
        else:
            self.over.set_result("")

    def end(self, code: str = "") -> None:
        """The kernel is done with it; or it is let go, with that code."""
        sock = self.link.stream.sock
        self.link.stream.loop.remove_writer(sock)
        number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.over.set_result(code or (self.code_of(OSError(number, os.strerror(number))) if number else ""))

    @staticmethod
    def code_of(error: OSError) -> str:
        return OWN_TROUBLE if errors.verdict(errors.Call.CONNECT, error).fault is errors.Fault.OURS else REFUSED
