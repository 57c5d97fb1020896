"""Owns the two sockets of one address between nodes: one for datagrams, one that listens for streams.

It must never read what comes, or try again by itself.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from saltmoor.net.acceptor import Acceptor, Welcome
from saltmoor.net.buffers import family

BACKLOG = 16  # streams that may wait to be accepted


class Sockets:
    """Both are open, or neither."""

    def __init__(self) -> None:
        self.datagrams: socket.socket | None = None
        self.listener: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.loop = asyncio.get_running_loop()

    @property
    def is_open(self) -> bool:
        return self.datagrams is not None

    def open(
        self,
        address: tuple[str, int],
        readable: Callable[[], None],
        welcome: Welcome,
        log: Callable[[str], None],
        at_once: int,
    ) -> None:
        """Bind both; `readable` is called where datagrams wait, `welcome` with each stream. OSError: neither is open."""
        datagrams, listener = bound(address)
        self.datagrams, self.listener = datagrams, listener
        self.loop.add_reader(datagrams, readable)
        self.acceptor = Acceptor(listener, welcome, log, at_once=at_once)
        self.acceptor.listen()

    def close(self) -> None:
        if self.datagrams:
            self.loop.remove_reader(self.datagrams)
        if self.acceptor:
            self.acceptor.close()
        for sock in (self.datagrams, self.listener):
            if sock:
                sock.close()
        self.datagrams = self.listener = self.acceptor = None


def bound(address: tuple[str, int]) -> tuple[socket.socket, socket.socket]:
    """A socket for datagrams and one that listens, at one address. OSError where either can't be had."""
    socks = []
    try:
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            sock = socket.socket(family(address[0]), kind)
            socks.append(sock)
            if kind is socket.SOCK_STREAM:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
        socks[1].listen(BACKLOG)
    except OSError:
        for sock in socks:
            sock.close()
        raise
    return socks[0], socks[1]
