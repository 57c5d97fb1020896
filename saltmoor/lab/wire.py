"""Owns the stand-ins' sockets: listeners, connections, and what a link does to the bytes that pass over it.

A connection hands what comes to its peer object and writes what it is told, later where the link says so. It
must never read meaning into bytes. Only loop.sock_* calls are used, as the node itself does.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from random import Random
from typing import Protocol

from saltmoor.lab.book import clock
from saltmoor.lab.timeline import Timeline

HOST = "127.0.0.1"
AGAIN = 200_000  # a lost segment is sent again after so many microseconds, then after twice as many


BEHIND = 10_000  # microseconds: a step that late is written down with its time


class Driver:
    """Runs a timeline by the event loop; `late` gathers how late it ran what was due."""

    def __init__(self, now: Callable[[], int] = clock) -> None:
        self.loop, self.clock, self.line = asyncio.get_running_loop(), now, Timeline(now())
        self.line.sooner = self._arm
        self.timer: asyncio.TimerHandle | None = None
        self.armed, self.running, self.late = 0, False, []
        self.behind: list[tuple[int, int]] = []  # when it was far behind, and how far
        self._beat(self.clock())

    def catch_up(self) -> int:
        """Run what is due before what just came; the present."""
        now = self.clock()
        if not self.running:
            self.running = True
            try:
                self.line.run(now)
            finally:
                self.running = False
            self._arm()
        return now

    def _arm(self) -> None:
        due = None if self.running else self.line.next()
        if due is not None and (not self.timer or due < self.armed):
            if self.timer:
                self.timer.cancel()
            self.armed = due
            self.timer = self.loop.call_later(max(0, due - self.clock()) / 1e6, self._fire)

    def _fire(self) -> None:
        self.timer = None
        self.catch_up()

    def _beat(self, due: int) -> None:
        """Every 20 ms: how late is this process? A lab that is late itself measures nothing."""
        now = self.clock()
        self.late.append(now - due)
        if now - due > BEHIND:
            self.behind.append((now, now - due))
        self.loop.call_later(0.02, self._beat, now + 20_000)


class Link:
    """The way between one node and one server; faults change it while it is used."""

    def __init__(self, rng: Random, delay: int = 0) -> None:
        self.rng, self.delay, self.loss, self.silent = rng, delay, 0.0, 0
        self.wires: set[Wire] = set()

    def passes(self) -> int:
        """How long the next bytes take."""
        took, again = self.delay, AGAIN
        while self.loss and self.rng.random() < self.loss and again < 8 * AGAIN:
            took, again = took + again, again * 2
        return took

    def mend(self, kind: str, delay: int) -> None:
        """A fault of that kind is over."""
        match kind:
            case "delay":
                self.delay -= delay
            case "loss":
                self.loss = 0.0
            case _:
                self.heal()

    def heal(self) -> None:
        """The way is open again: what was open before it closed is reset by the first packet."""
        self.silent -= 1
        if not self.silent:
            for wire in [wire for wire in self.wires if wire.muted]:
                wire.reset()


class Peer(Protocol):
    def received(self, data: bytes) -> None: ...

    def ended(self) -> None: ...


class Wire:
    """One accepted connection."""

    def __init__(self, driver: Driver, sock: socket.socket, link: Link) -> None:
        self.driver, self.sock, self.link = driver, sock, link
        self.peer: Peer | None = None
        self.muted = self.over = self.finishing = False
        self.came = self.goes = 0  # when the last bytes of either way arrive
        self.pending = bytearray()
        self.writer: asyncio.Task | None = None
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.wires.add(self)
        self.reader = asyncio.create_task(self._read())

    async def _read(self) -> None:
        try:
            while True:
                data = await self.driver.loop.sock_recv(self.sock, 65_536)
                now = self.driver.catch_up()
                if not data:
                    break
                self.came = max(self.came, now + self.link.passes())
                if self.link.silent:
                    self.muted = True
                elif self.came <= now:
                    self.peer.received(data)
                else:
                    self.driver.line.at(self.came, self._deliver, data)
        except OSError:
            pass
        finally:
            self.over = True
            self.link.wires.discard(self)
            if self.writer:
                self.writer.cancel()
            self.sock.close()
            if self.peer:
                self.peer.ended()

    def _deliver(self, data: bytes) -> None:
        if not self.over:
            self.peer.received(data)

    def send(self, data: bytes) -> None:
        now = self.driver.line.now
        self.goes = max(self.goes, now + self.link.passes())
        if self.goes <= now:
            self._write(data)
        else:
            self.driver.line.at(self.goes, self._write, data)

    def _write(self, data: bytes) -> None:
        if self.over or self.finishing:
            return
        if self.link.silent or self.muted:
            self.muted = True
            return
        if not self.pending:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                pass
            except OSError:
                return
        if data:
            self.pending += data
            if not self.writer or self.writer.done():
                self.writer = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        with contextlib.suppress(OSError):
            while self.pending:
                data = bytes(self.pending)
                await self.driver.loop.sock_sendall(self.sock, data)
                del self.pending[: len(data)]

    def finish(self) -> None:
        """No more is said; the other side may go on until it sees the end."""
        self._after(self._shut)

    def close(self) -> None:
        self._after(self.reader.cancel)

    def reset(self) -> None:
        """Broken off at once: what is under way is lost."""
        self._after(self._break)

    def _after(self, call: Callable[[], object]) -> None:
        if self.goes > self.driver.line.now:
            self.driver.line.at(self.goes, call)
        else:
            call()

    def _shut(self) -> None:
        if not self.over:
            self.finishing = True
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)

    def _break(self) -> None:
        if not self.over:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.reader.cancel()


class Port:
    """One listener: the address at which one node reaches one server."""

    def __init__(self, driver: Driver, link: Link, welcome: Callable[[Wire], Peer | None]) -> None:
        self.driver, self.link, self.welcome = driver, link, welcome
        self.number, self.listener, self.task = 0, None, None
        # Guards against another stand-in that is given this one's port while it is down: bound, and never listening.
        self.held: socket.socket | None = None

    @property
    def address(self) -> str:
        return f"{HOST}:{self.number}"

    def open(self, elsewhere: bool = False) -> None:
        if self.listener:
            return
        if elsewhere or self.held is None:
            self._hold(0 if elsewhere else self.number)
        self.listener = socket.create_server((HOST, self.number), backlog=1024, reuse_port=True)
        self.listener.setblocking(False)
        self.task = asyncio.create_task(self._accept(self.listener))

    def _hold(self, number: int) -> None:
        if self.held:
            self.held.close()
        self.held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in socket.SO_REUSEADDR, socket.SO_REUSEPORT:
            self.held.setsockopt(socket.SOL_SOCKET, option, 1)
        self.held.bind((HOST, number))
        self.number = self.held.getsockname()[1]

    async def _accept(self, listener: socket.socket) -> None:
        try:
            while True:
                sock, _ = await self.driver.loop.sock_accept(listener)
                self.driver.catch_up()
                wire = Wire(self.driver, sock, self.link)
                wire.peer = self.welcome(wire)
                if wire.peer is None:
                    wire.reset()
        except OSError:
            pass
        finally:
            listener.close()

    def close(self) -> None:
        """New connections are refused; open ones go on."""
        if self.listener:
            self.task.cancel()
            self.listener = None

    def reset_all(self) -> None:
        for wire in list(self.link.wires):
            wire.reset()
