"""Owns one client's connection: takes requests off it in order, writes their answers in order, ends it.

What was taken gets one whole answer or, where the client has gone, none. This file must never keep a value after it was
passed on, decide what becomes of a request, or hold a bound of its own for an end.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable
from dataclasses import replace
from itertools import islice
from typing import TYPE_CHECKING

from saltmoor.config import BUFFER, LONGEST_HELD
from saltmoor.guard import ends
from saltmoor.guard.checks import Record
from saltmoor.guard.connections import may_end, memory_wait
from saltmoor.guard.ends import ConnectionEnd
from saltmoor.model import Micros
from saltmoor.net import answers, http, meta
from saltmoor.net.buffers import Stream
from saltmoor.net.connection_life import Life, State
from saltmoor.net.flow import Broken, Flow
from saltmoor.net.node_life import monotonic

if TYPE_CHECKING:
    from saltmoor.net.clients import Clients

SLOWEST = 32_768  # bytes a second: a value that comes more slowly is held to have stopped
PIPELINE = 64  # commands of one connection that may wait for their answers; then it is not read from
LOOK_AT_BACKLOG = 0.01  # seconds between two looks at what a client has not taken
QUEUED_SHOWN = 20_000  # the log says of connections that waited so long at the listener
PASS = 25_000  # between two looks at the loop's lateness at the most
STOOD = 4_000  # bytes that may have stood unread for longer: the kernel is asked for how long


class Slot:
    """One command's place in the order of answers."""

    __slots__ = ("answer", "id", "ready", "record", "task", "tx")

    def __init__(self, answer: bytes | None = None) -> None:
        self.ready: Micros = 0  # since when its answer waits for those before it
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
        self.connected: Micros = self.since  # when the machine took the connection, before the node accepted it
        self.queued: Micros = 0  # how long it waited at the listener before it was accepted
        self.came_at: Micros = 0  # when the last bytes that were read had come to the machine
        self.read_at: Micros = 0  # when bytes were last taken off it; 0: never
        self.empty_at: Micros = 0  # when its socket was last known to hold nothing; 0: never
        self.life = Life(self.since, house.stepped)
        self.end_due: ConnectionEnd | None = None  # when the node ends it; none: not yet
        self.tracked = 0  # commands that were whole when its unfinished one was looked at last
        self.command_since: Micros = 0  # since when the command that is unfinished now has come; 0: none is
        self.overdue = False  # it is held past its bound, which was counted
        self.cut_asked = False  # its unfinished command is cut as soon as it is not being read
        self.taken, self.taken_at = -1, self.since  # bytes of answers that its machine has; since when no more
        self.write_begun: Micros = self.since  # when the last write of an answer, or of a piece of one, was begun
        self.value_since: Micros = 0  # when the large value that was begun last was begun,
        self.value_from = 0  # and how many bytes of answers its machine had then
        self.given_up: Micros = 0  # when what was open at its end got its final answer
        self.end_said: Micros = 0  # since when it lingers
        self.lingered = False  # nothing is lost any more where it is closed
        self.gathered = False
        self.room = asyncio.Event()
        self.turn: asyncio.Future[None] | None = None  # to be read from, while reads are paced
        self.memory: asyncio.Future[None] | None = None  # it waits for that of a large value
        self.memory_awaited = False  # the unfinished command has waited for it, while bytes stood in the socket
        self.unemptied = False  # the last read of bytes that may have stood has not taken all of them
        self.writer: asyncio.Task | None = None
        self.reader = asyncio.create_task(self.serve())
        house.fresh[self] = None

    @property
    def ending(self) -> str:
        """Why the node is ending it; empty where it is not."""
        return self.life.reason if self.life.ends else ""

    @property
    def idle(self) -> bool:
        return not self.slots and not self.commands.partial

    @property
    def passes(self) -> bool:
        """A large value is on its way."""
        return bool(self.slots) and isinstance(self.slots[0].answer, Passing)

    @property
    def takes(self) -> bool:
        """Its machine has not all of an answer yet, of which at least a part was written."""
        return self.passes or self.stream.backlog() > 0

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
            if self.may_be_handed_on() and self.give():
                return "handed-on"
            if self.cut_asked:
                self.cut_now()
            if not self.life.reads:
                self.take_rest()
                return await self.answer_and_end()
            if self.ending and may_end(idle=self.idle, quiet=self.idle and self.stream.quiet()):
                return await self.answer_and_end()
            paced = self.waits_for_turn()
            if paced:
                self.empty_at = self.house.clock() if self.stream.quiet() else self.empty_at
                await self.deaf(self.house.next_turn(self))
                if self.ending:
                    continue
            asked_at = self.house.clock()
            if not self.life.reads:
                self.house.read_past_end(self)
            data = b"" if self.gathered else await self.stream.read()
            if data is None:  # woken: what is above has changed
                continue
            self.used = read_at = self.house.clock()
            stood = paced or self.memory_awaited or self.may_have_stood(asked_at)
            if not data and not self.gathered:
                return "client-left" if self.slots else self.ending or "client-closed"
            if (stood or self.house.paced or len(data) == BUFFER) and self.stream.left():
                return "client-left"  # while its bytes stood in the socket; there may be more than were read
            self.house.fresh.pop(self, None)
            self.commands.feed(data)
            # Guards against work for clients that have gone on waiting while their bytes stood in the socket.
            last_waited = self.stream.waited() if stood or self.unemptied else 0
            self.came_at = self.used - last_waited
            longest_waited = self.stood_for(last_waited, asked_at) if stood else last_waited
            self.note_read(len(data), stood)
            try:
                self.progress(len(data))
                while (command := self.commands.next()) is not None:
                    if command.verb == b"quit":
                        await self.deaf(self.answered(0))
                        await self.linger("client-quit")
                        return "client-quit"
                    # Guards against time told anew to what stands behind others that it was read with.
                    behind = self.house.clock() - read_at
                    self.waited = behind + (longest_waited if self.commands.partial else last_waited)
                    self.take(command)
                    if self.slots and self.slots[0].answer is not None:
                        await self.deaf(self.flush())
                    if len(self.slots) > PIPELINE:
                        await self.deaf(self.answered(PIPELINE))
                    if self.commands.partial and self.house.pass_is_long():
                        await asyncio.sleep(0)
                if self.commands.wants:
                    self.track()
                    await self.deaf(self.gather())
                    self.gathered = not self.cut_asked  # some of it may have come with its head
                    continue
            except meta.FramingLost as error:
                self.slots.append(Slot(answers.client_error(error)))
                await self.deaf(self.flush())
                await self.deaf(self.answered(0))
                self.forget()
                await self.linger("framing-lost", sends=True)
                return "framing-lost"
            self.track()

    def waits_for_turn(self) -> bool:
        """Whether it may be read from in its turn only, as the node is overloaded.

        A turn is for a command: guards against a value of many reads that waits for one at each of them, with its memory
        held and past its time.
        """
        return self.house.paced and not self.commands.waiting and not self.ending and not self.house.refuses(self)

    def note_read(self, size: int, stood: bool) -> None:
        """So many bytes were read; `stood`: they may have stood in the socket for a while.

        Guards against what is read next of them being taken for fresh, though it stood as long.
        """
        if self.gathered:  # the socket was not read from
            self.gathered = False
            return
        self.read_at = self.used
        self.unemptied = size == BUFFER and (stood or self.unemptied)
        if size < BUFFER:  # it was read in an earlier pass, where the loop is late
            self.empty_at = self.used - self.house.late_by

    async def answer_and_end(self) -> str:
        """Nothing more is read: what is owed is answered, then the end is said; the reason's code."""
        if self.slots:
            self.step(State.ANSWERING)
        await self.deaf(self.flush())
        await self.deaf(self.answered(0))
        if self.may_be_handed_on() and self.give():
            return "handed-on"
        self.forget()  # a command that was begun too late
        await self.linger()
        return self.ending

    def step(self, state: State, reason: str = "") -> bool:
        """Go on to that state of its life; false where it is there already."""
        ends = self.life.ends
        stepped = self.life.step(state, reason or self.life.reason, self.house.clock())
        if stepped and not ends and state is not State.CLOSED:
            self.house.leaving += 1
        return stepped

    def may_have_stood(self, asked_at: Micros) -> bool:
        """Whether what was just read may have stood in the socket: `asked_at` is when it was asked for.

        Guards against time that a client has waited and nobody counts: at the listener, or while its connection was
        not read from.
        """
        if self.house.late:
            return True
        if not self.read_at:
            handed_on_with_bytes = self.empty_at and asked_at - self.empty_at > STOOD
            return bool(handed_on_with_bytes) or self.stream.waited() > STOOD
        return asked_at - self.read_at > STOOD and self.used - asked_at < STOOD

    def stood_for(self, last: Micros, asked_at: Micros) -> Micros:
        """How long what was just read may have stood in the socket; `last`: its last bytes, as the kernel knows it.

        Where several commands are read at once, those before the last one may have come at any time since the socket
        was empty: guards against servers told of time that their client has not. A socket that was waited on had
        nothing up to the pass of the loop before this one.
        """
        if not self.empty_at:
            return last
        most = self.used - self.empty_at
        if self.used - asked_at >= STOOD:
            most = min(most, self.house.late_by + PASS)
        return max(last, most)

    async def deaf(self, wait: Awaitable[None]) -> None:
        """Wait for something else than what the client says; that it leaves is noticed all the same."""
        self.house.deaf[self] = None
        try:
            await wait
        finally:
            self.house.deaf.pop(self, None)

    def track(self) -> None:
        """Since when a command is unfinished; that is of the newest one, where others became whole before it."""
        if not self.commands.partial:
            self.began = self.command_since = 0
            self.house.begun.pop(self, None)
        elif not self.began or self.count > self.tracked:
            self.began = self.command_since = self.came_at
            self.house.begun[self] = None
            self.house.free.pop(self, None)
            self.house.taking.pop(self, None)
        self.tracked = self.count

    def progress(self, size: int) -> None:
        """A value may take its time as long as it goes on: its bytes buy some."""
        if self.began and self.commands.waiting:
            self.began = min(self.used, self.began + size * 1_000_000 // SLOWEST)

    async def gather(self) -> None:
        """Wait for the memory that a large value needs, for as long as its client's time allows; else read past it.

        How long it may still take to come counts from then on, unless it is cut.
        """
        self.began = 0
        self.house.begun.pop(self, None)
        budget, size = self.house.budget, self.commands.wants
        turn = self.memory = budget.ask(size)
        try:
            while not turn.done() and (wait := self.memory_wait()):
                self.memory_awaited = True
                await asyncio.wait((turn,), timeout=wait / 1_000_000)
        except asyncio.CancelledError:
            budget.withdraw(size, turn)
            raise
        finally:
            self.memory = None
        if turn.done() and not turn.cancelled():
            self.commands.paid()
        else:
            budget.withdraw(size, turn)
            if self.cut_asked:
                return
            self.commands.read_past()
        self.began = self.used = self.house.clock()
        self.house.begun[self] = None

    def memory_wait(self) -> Micros:
        """How much longer its unfinished command may wait for memory; 0: no longer."""
        has_come = len(self.commands.splitter.held) + self.stream.unread()
        return memory_wait(
            self.house.clock() - self.came_at,
            given=self.house.given_to(self.commands.waiting),
            whole=has_come >= self.commands.block_length,
        )

    def cut(self) -> None:
        """End a command that does not go on: its client is told so.

        Guards against a command that is whole in this moment: it would be answered, and refused before.
        """
        if self.stream.waiting and self.stream.quiet():
            self.cut_now()
            self.stream.wake()

    def cut_now(self) -> None:
        """Answer its unfinished command as such, and read nothing more."""
        self.cut_asked = False
        if self.take_rest() and self.commands.partial:
            self.slots.append(Slot(answers.UNFINISHED))
        self.forget()
        self.step(State.READS_NO_MORE, "unfinished")

    def take_rest(self) -> bool:
        """Take what has come whole, as nothing more is read; whether what stands behind it could be read.

        Guards against commands that were read behind one that waited for memory, and would get no answer.
        """
        self.waited = self.house.clock() - self.came_at
        try:
            for command in self.commands.rest():
                self.take(command)
        except meta.FramingLost as error:
            self.slots.append(Slot(answers.client_error(error)))
            return False
        return True

    def cut_for_good(self) -> None:
        """The same, whatever it waits for: its time is over, also where more of it comes all the while."""
        self.cut_asked = True
        if self.memory:
            self.memory.cancel()
        self.wake()

    def finish(self, code: str) -> None:
        """Read nothing more, answer what was read, end."""
        if self.life.reads and not self.code:
            self.step(State.READS_NO_MORE, code)
            self.wake()

    def wake(self) -> None:
        """What it waits for before it reads, and the read itself, give way to what has changed."""
        self.stream.wake()
        if self.turn and not self.turn.done():
            self.turn.set_result(None)

    def advance(self, now: Micros) -> None:
        """Carry out what is due of its end."""
        if self.code:
            return
        if self.end_said or not (end := self.end_due):  # one that lingers looks by itself
            return
        if not self.read_at and self.house.refuses(self):  # what it asks is read first, and refused
            if now - self.since < ends.SHORTEST_STRAY or not self.stream.quiet():
                return
        lag = self.house.lag
        match ends.due(now, end, self.command_since, told_at=self.life.told_at, lag=lag):
            case ends.Due.NOTHING:
                return
            case ends.Due.TELL:
                self.tell(end.reason)
            case ends.Due.READ_NO_MORE:
                self.finish(end.reason)
            case ends.Due.CUT:
                self.cut_for_good()
        if self.slots and ends.answers_due(now, end, lag):
            self.given_up = self.given_up or now
            self.house.give_up(self)
            self.fail_unbegun()
        stopped = bool(self.writer) and self.stopped_taking(now)
        if ends.overdue(now, end, lag, self.given_up if self.slots else 0) and (stopped or not self.takes):
            self.abort("stalled" if stopped else "overdue")

    def advance_now(self) -> None:
        """The same, at a moment that was drawn for it."""
        self.advance(self.house.clock())

    def tell(self, code: str) -> None:
        """It is to end: as soon as nothing is open on it, it is closed or handed on."""
        if not self.house.heir:
            self.close(code)
        elif self.idle and asyncio.current_task() is not self.reader:  # that one hands on by itself
            self.hand_on()

    def stopped_taking(self, now: Micros) -> bool:
        """Whether its machine has taken nothing of what is written to it for too long."""
        self.note_taken(self.stream.backlog(), now)
        return ends.takes_nothing(now, self.taken_at)

    def stalled(self, now: Micros) -> bool:
        """Whether its machine has taken nothing for long of what is written to it; asked again and again."""
        untaken = self.stream.backlog()
        self.note_taken(untaken, now)
        return bool(untaken) and ends.stands_still(now, max(self.taken_at, self.write_begun), due=False)

    def note_taken(self, untaken: int, now: Micros) -> None:
        """Keep since when its machine has taken no more, of which so many bytes are left."""
        if self.stream.sock.sent - untaken != self.taken or not untaken:
            self.taken, self.taken_at = self.stream.sock.sent - untaken, now

    async def until_taken(self, flow: Flow) -> None:
        """Wait until the client has about all of the large value before this one.

        Guards against one that is begun, and has to be finished, long before its client comes to it.
        """
        while self.value_since and (untaken := self.stream.backlog()) > LONGEST_HELD and not self.code:
            self.note_taken(untaken, self.house.clock())
            flow.moved = max(flow.moved, self.taken_at)
            await asyncio.sleep(LOOK_AT_BACKLOG)

    def fits(self, flow: Flow) -> bool:
        """Whether one more large value may be begun: on a connection that ends, not behind one that is taken slowly."""
        if not (self.ending and self.end_due and self.value_since):
            return True
        untaken = self.stream.backlog()
        taken = self.stream.sock.sent - untaken - self.value_from
        now = self.house.clock()
        return ends.fits(now, self.end_due, left=untaken + flow.length, taken=taken, since=self.value_since)

    def fail_unbegun(self) -> None:
        """The large values behind the one that is on its way are answered as failed: its time to end is over."""
        for slot in islice(self.slots, 1, None):
            if isinstance(slot.answer, Passing):
                self.fail_value(slot)

    def fail_value(self, slot: Slot) -> None:
        """A large value that was not begun is not given any more."""
        slot.answer.flow.drop()
        slot.answer = meta.ABANDONED
        self.house.requests.note("failed", "end-due", slot.record.id)

    def abort(self, code: str) -> None:
        """End it at once, and give up what its machine has not taken: the kernel would hold that for long.

        Guards against a reset behind a whole answer, where its machine has all: that one ends as any other.
        """
        self.code = code
        if self.stream.backlog():
            self.stream.abandon()
        self.reader.cancel()

    def forget(self) -> None:
        """What of a command has come is of no use; guards against its memory never given back."""
        if self.commands.waiting and self.commands.waiting.paid:
            self.house.budget.give_back(self.commands.waiting.paid)
        self.commands = meta.Commands()

    async def linger(self, reason: str = "", *, sends: bool = False) -> None:
        """Say the end, and stay until the other machine has all that was written. Raises OSError where it takes nothing.

        `reason`: its code, where the node was not ending it; `sends`: its client is in the middle of a command, whose rest
        is read past. What else comes is left unread: a request that is read is owed an answer.

        Guards against a reset, for what stands unread, that takes answers with it.
        """
        if not sends and self.stream.outside().settled:
            return
        self.step(State.SAYING_END, reason)
        self.end_said = self.taken_at = self.house.clock()
        self.house.lingering[self] = None
        self.stream.half_close()
        reading = asyncio.create_task(self.read_past()) if sends else None
        try:
            while not self.lingered and not (reading and reading.done()):
                if reading:
                    await asyncio.wait({reading}, timeout=LOOK_AT_BACKLOG)
                else:
                    await asyncio.sleep(LOOK_AT_BACKLOG)
                self.look_on(self.house.clock(), said=self.end_said if reading else 0)
        finally:
            if reading:
                reading.cancel()

    async def read_past(self) -> None:
        """Read and drop what still comes, up to the client's end or the longest value that is read past."""
        left = meta.SWALLOW
        with contextlib.suppress(OSError):
            while left > 0 and (data := await self.stream.read()):
                left -= len(data)
                self.taken_at = self.house.clock()

    def look_on(self, now: Micros, said: Micros) -> None:
        """Whether it has lingered for long enough. Raises OSError: its client takes nothing any more."""
        outside = self.stream.outside()
        if outside.untaken:
            self.note_taken(outside.untaken, now)
        if not outside.left and self.stream.left():  # its end stands behind what is unread
            outside = replace(outside, left=True)
        gone_by = self.end_due.gone_by if self.end_due else 0
        match ends.linger(now, outside, said=said, moved=self.taken_at, gone_by=gone_by):
            case ends.Linger.CLOSE:
                self.lingered = True
            case ends.Linger.RESET:
                self.code = "stalled"
                self.stream.abandon()
                raise ConnectionResetError

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
        self.memory_awaited = False
        self.house.free.pop(self, None)
        self.house.taking.pop(self, None)
        slot = Slot()
        self.slots.append(slot)
        slot.answer = answers.of_node(command, draining=self.house.drains())
        if slot.answer is None:
            self.house.begin(self, slot, command)
        if command.paid and not slot.task:
            self.house.budget.give_back(command.paid)
        if command.fault:
            slot.answer = answers.client_error(command.fault)

    async def flush(self) -> None:
        """Write the answers that are ready, in the order of their commands; one task at a time does."""
        if self.writer or self.code:
            return
        self.writer = asyncio.current_task()
        try:
            turn = self.house.clock()
            while self.slots and self.slots[0].answer is not None:
                if isinstance(self.slots[0].answer, Passing):
                    await self.until_taken(self.slots[0].answer.flow)
                if isinstance(self.slots[0].answer, Passing) and not self.fits(self.slots[0].answer.flow):
                    self.fail_value(self.slots[0])
                answer = self.slots[0].answer
                self.write_begun = turn
                await (self.pass_on(answer) if isinstance(answer, Passing) else self.stream.write(answer))
                slot = self.slots.popleft()
                self.house.done(slot)
                if slot.record:
                    self.house.answered(slot.record, behind=max(0, turn - slot.ready))
                self.used = turn = self.house.clock()
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
        if self.idle:
            if self.ending:
                self.wake()
            else:
                self.advance(self.house.clock())
        self.house.listen()  # this one may make room now

    async def pass_on(self, answer: Passing) -> None:
        """Write a large value as it comes: no more is read of it than the client has taken."""
        flow = answer.flow
        self.value_since, self.value_from = self.house.clock(), self.stream.sock.sent - self.stream.backlog()
        await self.stream.write(answer.head)
        while piece := await self.next_piece(flow):
            flow.moved = self.used = self.write_begun = self.house.clock()
            await self.stream.write(piece)
            flow.moved = self.house.clock()
        await self.stream.write(b"\r\n")

    @staticmethod
    async def next_piece(flow: Flow) -> bytes:
        """What comes next of a large value. Raises `Broken`, also where its server's connection fails."""
        try:
            return await flow.piece()
        except OSError as error:
            raise Broken(f"the server's connection: {error}") from error

    def may_be_handed_on(self) -> bool:
        """Whether the process that takes this one's place may have it: between two commands, and not told to end."""
        return bool(self.house.heir and self.house.closing and self.idle and self.ending in ("", "stopping"))

    def give(self) -> bool:
        """Pass the connection to the process that takes this one's place; what is unread there goes with it."""
        said = {"client": self.peer, "since": self.since, "used": self.used, "count": self.count, "sent": monotonic()}
        if not self.stream.waiting and self.empty_at:
            said["unread"] = self.house.clock() - self.empty_at
        said |= self.house.said_of(self)
        return self.house.heir.say(said, self.stream.sock.fileno())

    def hand_on(self) -> None:
        """The same from outside, between two commands, while the connection is read from.

        Guards against bytes that are taken off the socket in this moment: then they are served here.
        """
        # Once the read is over it holds bytes that are nowhere else any more.
        # Where the other process takes none it stays here, and ends as any other.
        if not self.ending and not self.code and self.stream.waiting and self.give():
            self.code = "handed-on"
            self.reader.cancel()

    def close(self, code: str) -> None:
        """End the connection from this side, between transactions.

        Guards against losing what came in this moment: all that has come is still read, and answered, before the
        connection is closed. Its reading is not shut down: then the client's own end could not be told any more.
        """
        if self.life.reads and not self.code:
            self.step(State.TOLD, code)
            self.end_due = ends.end_now(code, self.house.clock()).earlier(self.end_due)
        self.wake()

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
        self.house.leaving -= self.life.ends
        told_for = self.life.told_for(self.house.clock())
        self.step(State.CLOSED, self.code)
        for kept in self.house.free, self.house.fresh, self.house.deaf, self.house.lingering, self.house.taking:
            kept.pop(self, None)
        self.house.listen()
        age = (self.house.clock() - self.since) // 1000
        figures = {"told_ms": told_for // 1000} if told_for else {}
        if self.queued >= QUEUED_SHOWN:
            figures["queued_ms"] = self.queued // 1000
        self.house.log.ended("client", self.peer, self.code, n=self.count, ms=age, **figures)
