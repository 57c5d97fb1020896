"""Owns the receive buffers, all of one size and used again, and the socket calls that fill and empty them.

A stream reads into a buffer that it borrows for one call; nothing may keep a view of it past the next read.
It must never send anything again, interpret bytes, or hide whether the last byte was written.
"""

from __future__ import annotations

import asyncio
import socket
import sys

from saltmoor.config import BUFFER as SIZE


def family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def listener(key: str, address: tuple[str, int]) -> socket.socket:
    """A listening socket that a second process of this node may share; where it can't be had the error names it."""
    try:
        sock = socket.create_server(address, backlog=1024, family=family(address[0]), reuse_port=True)
    except OSError as error:
        raise OSError(f"{key} {address[0]}:{address[1]}: {error.strerror or error}") from None
    sock.setblocking(False)
    return sock


class Buffers:
    """Lends buffers; keeps as many as were ever out at once, up to the cap."""

    def __init__(self, keep: int) -> None:
        self.keep, self.free = keep, []

    def borrow(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(SIZE)

    def give_back(self, buffer: bytearray) -> None:
        if len(self.free) < self.keep:
            self.free.append(buffer)


class Stream:
    """One connected socket."""

    def __init__(self, sock: socket.socket, buffers: Buffers) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffers, self.loop = sock, buffers, asyncio.get_running_loop()

    async def read(self) -> bytes:
        """What has come; empty at the end of the stream."""
        buffer = self.buffers.borrow()
        count = await self.loop.sock_recv_into(self.sock, buffer)
        data = bytes(memoryview(buffer)[:count])
        # Not given back when the call was cut short: a late read might still fill it.
        self.buffers.give_back(buffer)
        return data

    async def write(self, data: bytes) -> None:
        """Returns when the last byte was written; raises when it was not."""
        await self.loop.sock_sendall(self.sock, data)

    def waited(self) -> int:
        """Microseconds since the last bytes came, as the kernel knows it: how long they stood unread."""
        info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
        return int.from_bytes(info[52:56], sys.byteorder) * 1000 if len(info) == 56 else 0

    def quiet(self) -> bool:
        """Open, with nothing to read: neither data nor the other side's end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        self.sock.close()
