"""Owns one client's connection: takes requests off it in order, writes their answers in order, ends it.

What was taken gets one whole answer or, where the client has gone, none. This file must never keep a value after it was
passed on, decide what becomes of a request, or hold a bound of its own for an end.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable
from typing import TYPE_CHECKING

import saltmoor
from saltmoor.config import BUFFER
from saltmoor.guard.checks import Record
from saltmoor.guard.connections import may_end
from saltmoor.model import Micros
from saltmoor.net import http, meta
from saltmoor.net.buffers import Stream
from saltmoor.net.flow import Broken, Flow

if TYPE_CHECKING:
    from saltmoor.net.clients import Clients

DRAINING = b"SERVER_ERROR draining\r\n"  # to `mn` while the node is drained
SLOWEST = 32_768  # bytes a second: a value that comes more slowly is held to have stopped
PIPELINE = 64  # commands of one connection that may wait for their answers; then it is not read from
LEAVE = 40_000  # how long a client that has said more may take to see the end of a connection that is not read any more
STOOD = 4_000  # bytes that may have stood unread for longer: the kernel is asked for how long


class Slot:
    """One command's place in the order of answers."""

    __slots__ = ("answer", "id", "record", "task", "tx")

    def __init__(self, answer: bytes | None = None) -> None:
        self.answer, self.id, self.task, self.tx = answer, b"", None, None
        self.record: Record | None = None  # of a request that was begun


class Passing:
    """An answer whose value is passed on in pieces."""

    __slots__ = ("flow", "head")

    def __init__(self, head: bytes, flow: Flow) -> None:
        self.head, self.flow = head, flow


class Client:
    """One client's connection."""

    def __init__(self, house: Clients, stream: Stream, peer: str) -> None:
        self.house, self.stream, self.peer, self.since = house, stream, peer, house.clock()
        self.commands, self.slots = meta.Commands(), deque()
        self.used, self.began, self.count, self.code, self.waited = self.since, 0, 0, "", 0
        self.read_at: Micros = 0  # when bytes were last taken off it; 0: never
        self.ending = ""  # why it is to end once nothing is open
        self.last = False  # nothing more is read from it: it ends once all that was read is answered
        self.gathered = False
        self.leaves = 0  # while the node is emptied: from when on it ends as soon as nothing is open
        self.room = asyncio.Event()
        self.writer: asyncio.Task | None = None
        self.reader = asyncio.create_task(self.serve())
        house.fresh[self] = None

    @property
    def idle(self) -> bool:
        return not self.slots and not self.commands.partial

    async def serve(self) -> None:
        try:
            self.code = await self.read()
        except (OSError, asyncio.CancelledError):
            self.code = self.code or ("cut-off" if self.house.closing else "client-reset")
        except Exception as error:
            self.code = "internal"
            self.house.log(f"fault at {self.peer}: {type(error).__name__}: {error}")
        finally:
            self.end()

    async def read(self) -> str:
        """Read until the connection ends; the reason's code."""
        while True:
            if self.house.heir and self.house.closing and self.idle and not self.ending and self.give():
                return "handed-on"
            if self.last:
                await self.deaf(self.flush())
                await self.deaf(self.answered(0))
                if not self.stream.quiet():
                    await self.take_leave()
                return self.ending
            if self.ending and may_end(idle=self.idle, quiet=self.idle and self.stream.quiet()):
                return self.ending
            if self.house.paced and not self.ending:
                await self.deaf(self.house.turn())
            asked_at = self.house.clock()
            data = b"" if self.gathered else await self.stream.read()
            if data is None:  # woken: what is above has changed
                continue
            self.used = self.house.clock()
            stood = self.may_have_stood(asked_at)
            self.read_at = self.used
            if not data and not self.gathered:
                return "client-left" if self.slots else self.ending or "client-closed"
            if (stood or self.house.paced or len(data) == BUFFER) and self.stream.left():
                return "client-left"  # while its bytes stood in the socket; there may be more than were read
            self.gathered = False
            self.house.fresh.pop(self, None)
            self.commands.feed(data)
            # Guards against work for clients that have gone on waiting while their bytes stood in the socket.
            self.waited = self.stream.waited() if stood else 0
            try:
                self.progress(len(data))
                while (command := self.commands.next()) is not None:
                    if command.verb == b"quit":
                        await self.deaf(self.answered(0))
                        if not self.stream.quiet():
                            await self.take_leave()
                        return "client-quit"
                    self.take(command)
                    if self.slots and self.slots[0].answer is not None:
                        await self.deaf(self.flush())
                    if len(self.slots) > PIPELINE:
                        await self.deaf(self.answered(PIPELINE))
                if self.commands.wants:
                    await self.deaf(self.gather())
                    self.gathered = True  # some of it may have come with its head
                    continue
            except meta.FramingLost as error:
                self.slots.append(Slot(b"CLIENT_ERROR %b\r\n" % str(error).encode()))
                await self.deaf(self.flush())
                await self.deaf(self.answered(0))
                await self.part()
                return "framing-lost"
            self.track()

    def may_have_stood(self, asked_at: Micros) -> bool:
        """Whether what was just read may have stood in the socket: `asked_at` is when it was asked for.

        Guards against time that a client has waited and nobody counts: at the listener, or while its connection was
        not read from.
        """
        if self.house.late:
            return True
        if not self.read_at:
            return self.stream.waited() > STOOD
        return asked_at - self.read_at > STOOD and self.used - asked_at < STOOD

    async def deaf(self, wait: Awaitable[None]) -> None:
        """Wait for something else than what the client says; that it leaves is noticed all the same."""
        self.house.deaf[self] = None
        try:
            await wait
        finally:
            self.house.deaf.pop(self, None)

    def track(self) -> None:
        """Since when a command is unfinished."""
        if not self.commands.partial:
            self.began = 0
            self.house.begun.pop(self, None)
        elif not self.began:
            self.began = self.used
            self.house.begun[self] = None
            self.house.free.pop(self, None)

    def progress(self, size: int) -> None:
        """A value may take its time as long as it goes on: its bytes buy some."""
        if self.began and self.commands.waiting:
            self.began = min(self.used, self.began + size * 1_000_000 // SLOWEST)

    async def gather(self) -> None:
        """Wait for the memory that a large value needs; its time goes on when there is some."""
        self.began = 0
        self.house.begun.pop(self, None)
        await self.house.budget.take(self.commands.wants)
        self.commands.paid()
        self.began = self.used = self.house.clock()
        self.house.begun[self] = None

    def cut(self) -> None:
        """End a command that does not go on: its client is told so.

        Guards against a command that is whole in this moment: it would be answered, and refused before.
        """
        if self.stream.waiting and self.stream.quiet():
            self.slots.append(Slot(b"CLIENT_ERROR the command is not finished\r\n"))
            self.finish("unfinished")

    def finish(self, code: str) -> None:
        """Read nothing more, answer what was read, end."""
        self.close(code)
        self.last = True
        self.stream.wake()

    def forget(self) -> None:
        """What of a command has come is of no use; guards against its memory never given back."""
        if self.commands.waiting and self.commands.waiting.paid:
            self.house.budget.give_back(self.commands.waiting.paid)
        self.commands = meta.Commands()

    async def part(self) -> None:
        """Say the end and read past what still comes, so that the client gets the last answer whole."""
        self.forget()
        self.stream.sock.shutdown(socket.SHUT_WR)
        left = meta.SWALLOW
        while left > 0 and (data := await self.stream.read()):
            left -= len(data)

    async def take_leave(self) -> None:
        """Say the end, and leave the client a moment to see it.

        Guards against a reset, for what stands unread, that takes the last answer with it.
        """
        self.stream.sock.shutdown(socket.SHUT_WR)
        until = self.house.clock() + LEAVE
        while self.house.clock() < until and not self.stream.left():
            await asyncio.sleep(LEAVE / 10_000_000)

    def left(self) -> None:
        """It has gone: what it asked goes on no further, from this moment on."""
        self.code = self.code or "client-left"
        self.reader.cancel()
        for slot in self.slots:
            self.house.done(slot)

    async def answered(self, left: int) -> None:
        """Wait until no more than so many commands are without an answer."""
        while len(self.slots) > left:
            self.room.clear()
            await self.room.wait()

    def take(self, command: meta.Command) -> None:
        self.count += 1
        self.house.free.pop(self, None)
        slot = Slot()
        self.slots.append(slot)
        if command.verb == b"mn":
            slot.answer = DRAINING if self.house.lame else b"MN\r\n"
        elif command.verb == b"version":
            slot.answer = b"VERSION saltmoor %b\r\n" % saltmoor.__version__.encode()
        elif command.verb not in (b"mg", b"ms"):
            slot.answer = b"ERROR\r\n"
        elif not command.fault:
            self.house.begin(self, slot, command)
        if command.paid and not slot.task:
            self.house.budget.give_back(command.paid)
        if command.fault:
            slot.answer = b"CLIENT_ERROR %b\r\n" % command.fault.encode()

    async def flush(self) -> None:
        """Write the answers that are ready, in the order of their commands; one task at a time does."""
        if self.writer or self.code:
            return
        self.writer = asyncio.current_task()
        try:
            while self.slots and self.slots[0].answer is not None:
                answer = self.slots[0].answer
                await (self.pass_on(answer) if isinstance(answer, Passing) else self.stream.write(answer))
                slot = self.slots.popleft()
                self.house.done(slot)
                if slot.record:
                    self.house.answered(slot.record)
                self.used = self.house.clock()
                self.room.set()
            if not self.slots:
                self.house.rest(self)
        except (OSError, Broken, meta.FramingLost, http.Garbled) as error:
            # Of a value that cannot be finished the client is told by the end of its connection.
            self.code = self.code or ("client-reset" if isinstance(error, OSError) else "cut-answer")
            if self.writer is self.reader:
                raise ConnectionResetError from error
            self.reader.cancel()
        finally:
            self.writer = None
        if self.house.closing and self.idle:
            self.house.dismiss(self)
        elif self.idle and (self.ending or self.leaves and self.leaves <= self.house.clock()):
            self.close("draining")
        self.house.listen()  # this one may make room now

    async def pass_on(self, answer: Passing) -> None:
        """Write a large value as it comes: no more is read of it than the client has taken."""
        flow = answer.flow
        await self.stream.write(answer.head)
        while piece := await flow.piece():
            flow.moved = self.used = self.house.clock()
            await self.stream.write(piece)
            flow.moved = self.house.clock()
        await self.stream.write(b"\r\n")

    def give(self) -> bool:
        """Pass the connection to the process that takes this one's place; what is unread there goes with it."""
        said = {"client": self.peer, "since": self.since, "used": self.used, "count": self.count}
        return self.house.heir.say(said, self.stream.sock.fileno())

    def hand_on(self) -> None:
        """The same from outside, between two commands, while the connection is read from.

        Guards against bytes that are taken off the socket in this moment: then they are served here.
        """
        # Once the read is over it holds bytes that are nowhere else any more.
        if not self.ending and not self.code and self.stream.waiting:
            self.code = "handed-on" if self.give() else "cut-off"
            self.reader.cancel()

    def close(self, code: str) -> None:
        """End the connection from this side, between transactions.

        Guards against losing what came in this moment: all that has come is still read, and answered, before the
        connection is closed. Its reading is not shut down: then the client's own end could not be told any more.
        """
        if not self.ending and not self.code:
            self.ending = code
            self.house.leaving += 1
        self.stream.wake()

    def end(self) -> None:
        if self.writer and self.writer is not self.reader:
            self.writer.cancel()
        for slot in self.slots:
            if isinstance(slot.answer, Passing):
                slot.answer.flow.drop()
            self.house.done(slot)
            if slot.record:
                self.house.unanswered(slot.record, self.code)
        self.forget()
        self.house.begun.pop(self, None)
        self.stream.close()
        self.house.clients.discard(self)
        self.house.leaving -= bool(self.ending)
        for kept in self.house.free, self.house.fresh, self.house.deaf:
            kept.pop(self, None)
        self.house.listen()
        age = (self.house.clock() - self.since) // 1000
        self.house.log.ended("client", self.peer, self.code, n=self.count, ms=age)
