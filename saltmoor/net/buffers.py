"""Owns the receive buffers, all of one size and used again, and the socket calls that fill and empty them.

A stream reads into a buffer that it borrows for one call; nothing may keep a view of it past the next read.
It must never send anything again, interpret bytes, or hide whether the last byte was written.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
import time
from array import array
from collections.abc import Coroutine, Generator, Iterable
from typing import Any

from saltmoor.config import BUFFER as SIZE
from saltmoor.guard.connections import Outside
from saltmoor.net import tcp_info
from saltmoor.net.acceptor import BACKLOG
from saltmoor.net.errors import Call, Fault, verdict

SHORTAGE_PAUSE = 0.005  # seconds until a call that failed for a shortage of our own is made again
START_PATIENCE, START_PAUSE = 2.0, 0.01  # seconds: a listening socket is asked for again while there is a shortage


def family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def listener(key: str, address: tuple[str, int]) -> socket.socket:
    """A listening socket that a second process of this node may share; where it can't be had the error names it."""
    until = time.monotonic() + START_PATIENCE
    while True:
        try:
            sock = socket.create_server(address, backlog=BACKLOG, family=family(address[0]), reuse_port=True)
            break
        except OSError as error:
            ours = verdict(Call.SOCKET, error).fault is Fault.OURS
            if not ours or time.monotonic() > until:
                raise OSError(f"{key} {address[0]}:{address[1]}: {error.strerror or error}") from None
            time.sleep(START_PAUSE)  # nothing is served yet that this could hold up
    sock.setblocking(False)
    return sock


def ended(streams: Iterable[Stream]) -> list[Stream]:
    """Those whose other side has ended its sending or the connection, whatever of it is still unread."""
    poll, by_number = select.poll(), {stream.sock.fileno(): stream for stream in streams}
    for number in by_number:
        poll.register(number, select.POLLRDHUP)
    return [by_number[number] for number, _ in poll.poll(0)]


class Buffers:
    """Lends buffers; keeps as many as were ever out at once, up to the cap."""

    def __init__(self, keep: int) -> None:
        self.keep, self.free = keep, []

    def borrow(self) -> bytearray:
        return self.free.pop() if self.free else bytearray(SIZE)

    def give_back(self, buffer: bytearray) -> None:
        if len(self.free) < self.keep:
            self.free.append(buffer)


class Step:
    """One socket call as it goes on.

    Guards against an end from outside, a time-out or a stop, that crosses the kernel's: the call may be over though
    its task has not run since, and the task cannot tell.
    """

    __slots__ = ("call", "waits")

    def __init__(self, call: Coroutine[Any, Any, Any]) -> None:
        self.call, self.waits = call, None

    def __await__(self) -> Generator[Any, Any, Any]:
        steps = self.call.__await__()
        try:
            self.waits = steps.send(None)
            while True:
                try:
                    got = yield self.waits
                except BaseException as error:
                    self.waits = steps.throw(error)
                else:
                    self.waits = steps.send(got)
        except StopIteration as end:
            return end.value

    @property
    def open(self) -> bool:
        """The kernel has not done it yet."""
        return self.waits is not None and not self.waits.done()

    @property
    def done(self) -> bool:
        """The kernel has done it, whatever the task is told."""
        return bool(self.waits and self.waits.done() and not self.waits.cancelled() and not self.waits.exception())


class CountedSocket(socket.socket):
    """Counts the bytes that the kernel has taken, so that a write which fails in its middle can go on from there."""

    __slots__ = ("sent",)

    @classmethod
    def of(cls, sock: socket.socket) -> CountedSocket:
        """The same connection; the socket that is given holds it no longer."""
        family, kind, protocol = sock.family, sock.type, sock.proto
        counted = cls(family, kind, protocol, fileno=sock.detach())
        counted.sent = 0
        return counted

    def send(self, data: bytes | memoryview, flags: int = 0) -> int:
        """As socket.send; whole bytes. Raises OSError where the kernel has taken none of them."""
        count = super().send(data, flags)
        self.sent += count
        return count


class Stream:
    """One connected socket, which it holds from now on. Calls that fail for a shortage of our own are made again."""

    def __init__(self, sock: socket.socket, buffers: Buffers) -> None:
        sock = CountedSocket.of(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.buffers, self.loop = sock, buffers, asyncio.get_running_loop()
        self.reading: Step | None = None
        self.short = False  # a call has failed for a shortage of our own, and is made again in a moment
        self.woken = False  # in such a moment
        self.sent = False  # the last byte of the last write, known also where that was cut short

    async def read(self) -> bytes | None:
        """What has come; empty at the end of the stream, None where `wake` ended the wait. Raises OSError."""
        while True:
            try:
                return await self._read_once()
            except OSError as error:
                await self._wait_out(Call.RECEIVE, error)
            if self.woken:
                self.woken = False
                return None

    async def _read_once(self) -> bytes | None:
        buffer = self.buffers.borrow()
        self.reading = Step(self.loop.sock_recv_into(self.sock, buffer))
        try:
            count = await self.reading
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            return None
        finally:
            self.reading = None
        data = bytes(memoryview(buffer)[:count])
        # Not given back when the call was cut short: a late read might still fill it.
        self.buffers.give_back(buffer)
        return data

    async def write(self, data: bytes) -> None:
        """Returns when the last byte was written; raises when it was not, or when it was cut short: see `sent`."""
        self.sent, end = False, self.sock.sent + len(data)
        while True:
            step = Step(self.loop.sock_sendall(self.sock, data))
            try:
                await step
                break
            except asyncio.CancelledError:
                self.sent = step.done
                raise
            except OSError as error:
                await self._wait_out(Call.SEND, error)
                data = memoryview(data)[len(data) - (end - self.sock.sent) :]
        self.sent = True

    async def _wait_out(self, call: Call, error: OSError) -> None:
        """A moment's pause where the error is a shortage of our own; else it is raised again."""
        if verdict(call, error).fault is not Fault.OURS:
            raise error
        self.short = True
        try:
            await asyncio.sleep(SHORTAGE_PAUSE)
        finally:
            self.short = False

    @property
    def waiting(self) -> bool:
        """It is read from, and nothing has come."""
        return self.reading is not None and self.reading.open

    def wake(self) -> None:
        """End a read under which nothing has come; no byte is lost by it."""
        if self.waiting:
            self.reading.waits.cancel()
        elif self.short:
            self.woken = True

    def left(self) -> bool:
        """The other side has ended its sending or the connection, whatever of it is still unread."""
        return bool(ended([self]))

    def waited(self) -> int:
        """Microseconds since the last bytes came, as the kernel knows it: how long they stood unread."""
        return tcp_info.unread_for(self.sock) or 0

    def backlog(self) -> int:
        """Bytes that were written and that the other side's machine has not taken; 0 where the kernel does not tell."""
        return self._queued(termios.TIOCOUTQ)

    def unread(self) -> int:
        """Bytes that have come and were not read yet; 0 where the kernel does not tell."""
        return self._queued(termios.FIONREAD)

    def _queued(self, request: int) -> int:
        """Bytes in one of the socket's queues, by the request of ioctl that asks for it; 0 where it fails."""
        count = array("i", [0])
        try:
            fcntl.ioctl(self.sock.fileno(), request, count)
        except OSError:
            return 0
        return count[0]

    def abandon(self) -> None:
        """To be closed next: what the other side's machine has not taken is dropped, and the connection reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def outside(self) -> Outside:
        """What the kernel knows of the connection now."""
        if self.quiet():
            return Outside(unread=False, untaken=self.backlog(), left=False)
        try:
            unread = bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            unread = False
        return Outside(unread=unread, untaken=self.backlog(), left=not unread)

    def quiet(self) -> bool:
        """Open, with nothing to read: neither data nor the other side's end."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def half_close(self) -> None:
        """Say the end: what was written still goes out, and what comes can still be read. Raises OSError."""
        self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        self.sock.close()
