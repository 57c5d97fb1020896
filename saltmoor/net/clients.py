"""Owns clients' connections: takes transactions off them, carries out the picked steps, answers in order.

What was taken gets one whole answer or, where the client has gone, none. This file must never keep a value
after it was passed on, answer with what no server made, or decide what becomes of a transaction.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import replace
from hashlib import blake2b
from heapq import nlargest
from itertools import chain, islice
from typing import Any
from zlib import crc32

from saltmoor import config, facade
from saltmoor.guard import ends
from saltmoor.guard.checks import Checker, Record, Violation
from saltmoor.guard.connections import Occupancy, Room, may_start, room_for_client
from saltmoor.guard.ends import EndPlan
from saltmoor.guard.verdicts import Reason
from saltmoor.model import Ended, Micros, Profile, Why
from saltmoor.net import meta, origin, tcp_info
from saltmoor.net.acceptor import AT_ONCE, Acceptor, Taken
from saltmoor.net.buffers import Buffers, Stream, ended
from saltmoor.net.client import Client, Passing, Slot
from saltmoor.net.connection_life import State
from saltmoor.net.counters import RequestLog
from saltmoor.net.flow import Budget, Flow
from saltmoor.net.log import Log
from saltmoor.net.node_life import monotonic, waited
from saltmoor.net.overflow import Overflow
from saltmoor.net.sibling import Sibling
from saltmoor.net.spent_ids import SpentIds
from saltmoor.net.upstream import Upstream

KEPT = 500_000  # how long a connection stays free at least, unless there is no room for another
LONGEST_TURN = (
    400_000  # how long a client may wait to be read, at the listener too: its request is owed 0.5 s past its time
)
LATE_FROM = 4_000  # microseconds: from then on commands are asked how long they stood unread
LONG_PASS = 10_000  # microseconds in one pass of the loop; from then on each connection goes on in the next one
LAG_FROM, LAG_KEPT = 20_000, 5_000_000  # which lateness of the loop counts for ends, and for how long
MISSED = 50_000  # how often clients that are not read from are looked at
SEEN = 10_000  # with no pass of the loop since then a client's end may have come that nobody has heard of
EVICTIONS = 16  # connections on their way out at once: their descriptors are in the reserve
PLACES_KEPT = 4  # one place for an open request of so many is kept for connections with no other
HALF = 30_000  # how long a client may be in the middle of a command while no server can be reached for want of room


class Clients:
    """All clients of the node."""

    def __init__(
        self,
        door: facade.Facade,
        upstream: Upstream,
        buffers: Buffers,
        log: Log,
        clock: Callable[[], Micros],
        *,
        names: config.Names,
        profiles: list[Profile],
        caps: config.Caps,
        budget: Budget,
        checker: Checker,
        drains: Callable[[], bool] = lambda: False,
    ) -> None:
        """`drains`: whether staff have told the node to drain, before anything was done about it."""
        self.drains = drains
        self.checker, self.counters = checker, log.counters
        self.requests = RequestLog(log, time.monotonic, log.counters)
        self.door, self.upstream, self.buffers, self.log, self.clock = door, upstream, buffers, log, clock
        self.configure(names, profiles, caps)
        self.overflow = Overflow(log, self.requests, draining=drains, hint=door.hint)
        self.clients: set[Client] = set()
        self.fresh: dict[Client, None] = {}  # that have not said anything yet, the longest silent first
        self.leaving = 0  # that are on their way out
        self.free: dict[Client, None] = {}  # that have asked and have nothing open, the longest free first
        self.begun: dict[Client, None] = {}  # with a command that is unfinished
        self.deaf: dict[Client, None] = {}  # that are not read from, as something else is waited for
        self.lingering: dict[Client, None] = {}  # whose end is said, the first one first
        self.taking: dict[Client, None] = {}  # that would be free, but have not taken their last answer
        self.late_looks: deque[tuple[Micros, Micros]] = deque()  # when the loop was late, and how late
        self.missed_at = self.looked_at = 0  # when they are looked at next; when the loop last came round
        self.stop: EndPlan | None = None  # while the process stops: its bounds, and since when
        self.stop_since: Micros = 0
        self.budget = budget
        self.tasks: set[asyncio.Task] = set()
        self.open_ids: set[bytes] = set()
        self.spent_ids = SpentIds()
        self.closing = self.late = self.paced = False  # late: the loop is, so that commands wait in their sockets
        self.late_by: Micros = 0  # how late the loop was, the worse of the last two looks
        self.late_before: Micros = 0  # at the last one
        self.lag: Micros = 0  # how late it was, lately, more than once
        self.swept_at: Micros = 0
        self.turns: deque[tuple[asyncio.Future, Micros]] = deque()  # who waits to be read while it is paced, since when
        self.reads = 0.0
        self.acceptor: Acceptor | None = None  # none before the node serves, and once its queue is empty at its end
        self.heir: Sibling | None = None  # the process that takes this one's place, once it takes clients
        self.drawn = 0
        self.drain_since: Micros = 0  # since when the node drains; 0: it takes clients
        self.drain = ends.plan_drain(max(profile.limit for profile in profiles))
        self.sharing: Any = None  # with other nodes, where they are asked whose turn a fetch is
        self.asked = False  # whether a command has come since `busy` was last asked
        self.stir: Callable[[], None] | None = None  # told of the first command after a rest

    def configure(self, names: config.Names, profiles: list[Profile], caps: config.Caps) -> None:
        self.profiles, self.caps = profiles, caps
        self.profile_of = {name.encode(): i for i, name in enumerate(names.profiles)}
        self.tenant_of = {name.encode(): i for i, name in enumerate(names.tenants)}

    async def next_turn(self, client: Client) -> None:
        """Wait until this connection may be read from, or is to end."""
        since = self.clock() if client.read_at else client.empty_at
        if self.reads >= 1 or self.clock() - since >= LONGEST_TURN:
            self.reads = max(0.0, self.reads - 1)
            return
        client.turn = asyncio.get_running_loop().create_future()
        self.turns.append((client.turn, since))
        try:
            await client.turn
        finally:
            client.turn = None

    def note_lag(self, late: Micros) -> None:
        """The loop came so late. One late pass is a hold-up that is over; the second worst tells what is to come."""
        now = self.clock()
        # What is handed on in this pass was read in the one before, behind its look.
        self.late_by, self.late_before = max(late, self.late_before), late
        self.late = self.late_by > LATE_FROM
        while self.late_looks and self.late_looks[0][0] <= now - LAG_KEPT:
            self.late_looks.popleft()
        if late > LAG_FROM:
            self.late_looks.append((now, late))
        self.lag = min(nlargest(2, (one for _, one in self.late_looks))) if len(self.late_looks) > 1 else 0

    def busy(self) -> bool:
        """Whether anything came since the last time, is open, waits to be read, or is paced."""
        asked, self.asked = self.asked, False
        return bool(asked or self.open_ids or self.deaf or self.begun or self.paced or self.closing)

    def pace(self, reads: float | None) -> None:
        """So many commands more may be read; None: as they come."""
        self.paced = reads is not None and not self.closing
        self.reads = min(self.reads + (reads or 0.0), 2 * (reads or 0.0))
        while self.turns and (self.reads >= 1 or not self.paced):
            turn, _ = self.turns.popleft()
            self.give_turn(turn)
        overdue = self.clock() - LONGEST_TURN
        late = [entry for entry in self.turns if entry[1] <= overdue]
        for entry in late:
            self.turns.remove(entry)
            self.give_turn(entry[0])

    def give_turn(self, turn: asyncio.Future) -> None:
        """That connection may be read from, unless it is to end."""
        if not turn.done():
            self.reads = max(0.0, self.reads - 1)
            turn.set_result(None)

    def pass_is_long(self) -> bool:
        """Whether so much has run since the loop came round that commands which wait leave the rest for the next pass.

        Guards against a pass as long as all that many connections have read at once, in which no call, no timer and no
        other connection is heard.
        """
        return self.clock() - self.looked_at > LONG_PASS

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def open_to(self, listener: socket.socket) -> None:
        """Connections come from that socket; they are taken from the first `listen` on."""
        self.acceptor = Acceptor(
            listener,
            self.welcome,
            self.log,
            has_room=self.has_room,
            shed=lambda: self.evict() or self.upstream.evict(),
            turn_away=lambda sock, peer, queued: self.overflow.turn_away(sock, f"{peer[0]}:{peer[1]}", queued),
            longest_wait=self.longest_queued,
        )

    def listen(self) -> None:
        """There may be room again: take connections, unless the cap is reached."""
        if self.acceptor:
            self.acceptor.listen()

    def longest_queued(self) -> float:
        """Seconds that a connection may wait at the listener while there is no room for it."""
        return ends.longest_queued(self.stop, self.stop_since, self.clock()) / 1_000_000

    def too_late(self, connected: Micros) -> bool:
        """Whether a connection that the machine took then can't be served any more before its end is due."""
        now = self.clock()
        if self.stop and now > self.until - ends.READS_ON:
            return True
        return bool(self.drain_since) and now > ends.accepted_by(self.drain, self.drain_since, connected)

    def welcome(self, sock: socket.socket, peer: tuple) -> None:
        queued = tcp_info.age(sock) or 0
        if self.too_late(self.clock() - queued):
            self.overflow.turn_away(sock, f"{peer[0]}:{peer[1]}", queued)
            return
        try:
            client = Client(self, Stream(sock, self.buffers), f"{peer[0]}:{peer[1]}")
        except OSError:
            sock.close()
            return
        client.queued = queued
        client.connected = client.empty_at = client.since - queued  # it held nothing when it came up
        self.clients.add(client)
        self.set_end(client)
        if self.refuses(client):  # it is not left to the next sweep
            wait = max(ends.SHORTEST_STRAY, client.end_due.told - self.clock())
            asyncio.get_running_loop().call_later(wait / 1_000_000, client.advance_now)
        self.trim(0)

    def drain_from(self, since: Micros) -> None:
        """Send the clients away, since that moment, or with 0 take them again. What they ask meanwhile is served.

        Guards against all of them coming to the other nodes in one instant: each connection has a moment of its own, from
        which on it ends once nothing is open on it.
        """
        self.drain_since = since
        self.drain = ends.plan_drain(max(profile.limit for profile in self.profiles))
        for client in self.clients:
            client.end_due = None if client.life.reads and not client.life.ends else client.end_due
            self.set_end(client)
        state = f"on: since_ms={(self.clock() - since) // 1000}" if since else "off:"
        waiting = self.acceptor.waiting() if self.acceptor else 0
        self.log(f"lame duck {state} clients={len(self.clients)} txs={len(self.open_ids)} waiting={waiting}")

    def refuses(self, client: Client) -> bool:
        """Whether nothing is served on this connection, as it came when the node had drained for long."""
        return bool(self.drain_since) and ends.refuses(self.drain, self.drain_since, client.connected)

    def set_end(self, client: Client, handed_on: dict[str, int] | None = None) -> None:
        """When this connection ends, where the node drains or the process stops; `handed_on`: what another process said."""
        if self.drain_since:
            self.drawn += 1
            share = crc32(self.drawn.to_bytes(4, "little")) / 2**32
            end = ends.end_of_drain(self.drain, self.drain_since, client.connected, self.clock(), share)
            if handed_on and "told_in" in handed_on:
                end = replace(end, told=self.clock() + handed_on["told_in"] - waited(handed_on, monotonic()))
            client.end_due = end.earlier(client.end_due)
        if self.closing:
            end = ends.end_of_stop(self.stop, self.stop_since, self.clock())
            client.end_due = end.earlier(client.end_due)

    def said_of(self, client: Client) -> dict[str, int]:
        """What the process that takes this one's place has to know of a connection's end."""
        said = {"connected_for": self.clock() - client.connected}
        if not self.drain_since or not client.end_due:
            return said
        came_late = client.connected >= self.drain_since + self.drain.told_from
        return said | {"told_in": client.end_due.told - self.clock(), "unbounded": int(came_late)}

    def connected_when(self, said: dict[str, Any]) -> Micros:
        """When the machine took a connection that is handed on; where an older version does not tell, long ago, or now
        if it came during the drain."""
        if "connected_for" in said:
            return self.clock() - int(said["connected_for"]) - waited(said, monotonic())
        return self.clock() if said.get("unbounded") else 0

    def stepped(self, state: State, reason: str) -> None:
        """A connection's life has gone on."""
        self.counters.add("client_connections", f"{state.value}:{reason}")

    def give_up(self, client: Client) -> None:
        """What is open on this connection gets its final answer now: its time to end is over."""
        self.door.end([slot.tx for slot in client.slots if slot.tx and slot.answer is None])

    @property
    def ending(self) -> bool:
        """Whether connections are to end soon: they are looked at more often then."""
        return bool(self.drain_since or self.leaving or self.stop)

    @property
    def until(self) -> Micros:
        """When the process ends: no answer may come later; 0: not yet."""
        return self.stop_since + self.stop.answers_until if self.stop else 0

    def has_room(self) -> bool:
        """Whether one more may be taken; at the cap one that is of least use makes room.

        Guards against crowds that come again as soon as they are shut: each would cost a connection to a server, and
        all that are on their way out at once. What is never taken by clients is kept, and half of the reserve.
        """
        caps = self.caps
        room = room_for_client(
            Occupancy(
                clients=len(self.clients),
                leaving=self.leaving,
                upstreams=self.upstream.open,
                most_clients=caps.clients,
                most_upstreams=caps.upstreams,
                most=caps.connections,
                reserve=EVICTIONS // 2,
            )
        )
        match room:
            case Room.FREE:
                return True
            case Room.BY_UPSTREAM:
                return self.upstream.evict() or self.evict()
            case Room.BY_CLIENT:
                return self.evict()
            case Room.NONE_AND_NOBODY_LEAVES:
                self.evict()
            case Room.NONE:
                self.end_lingering()
        return False

    def end_lingering(self) -> None:
        """Close the first one whose client's machine has all, and on which nothing stands unread: that is no reset."""
        for client in islice(self.lingering, EVICTIONS):
            if not client.lingered and client.stream.quiet() and not client.stream.backlog():
                client.lingered = True
                return

    def end_all_lingering(self) -> None:
        """Close all whose end is said, as the process is about to end: nothing is waited for behind that."""
        for client in self.lingering:
            client.lingered = True

    def make_room(self) -> bool:
        """For a connection to a server, which goes before clients that ask nothing: whether there may be room soon."""
        return self.leaving < EVICTIONS and (self.evict() or self.cut_short()) or self.leaving > 0 or bool(self.begun)

    def evict(self) -> bool:
        """Close a connection for another: one that never asked and is silent longest, else the one free longest.

        Guards against crowds that connect and say nothing: who is in the middle of a command, has one open, or
        has written what is not read yet, stays. It costs the same however many there are.
        """
        if not self.fresh and not self.free:
            self.look_at_taking(self.clock())
        for client in islice(chain(self.fresh, self.free), EVICTIONS):
            if not client.ending and client.stream.quiet():
                self.fresh.pop(client, None)
                self.free.pop(client, None)
                client.close("evicted")
                return True
        return self.end_stalled(self.taking)

    def look_at_taking(self, now: Micros) -> None:
        """Who has taken its last answer by now is free and may make room."""
        for client in list(self.taking):
            untaken = client.stream.backlog()
            client.note_taken(untaken, now)
            if not untaken:
                del self.taking[client]
                self.free[client] = None

    def end_stalled(self, clients: Iterable[Client]) -> bool:
        """End the first of these whose machine takes nothing of its answers for long; only where what it holds is short."""
        now = self.clock()
        for client in clients:
            if not client.ending and not client.code and client.stalled(now):
                self.taking.pop(client, None)
                client.abort("stalled")
                return True
        return False

    def cut_short(self) -> bool:
        """Guards against crowds of half commands: the longest unfinished ends, where no server can be reached else."""
        for client in islice(self.begun, EVICTIONS):
            if not client.ending and not client.slots and 0 < client.began < self.clock() - HALF:
                client.cut()
                if client.ending:
                    return True
        return False

    def rest(self, client: Client) -> None:
        """All that it asked is answered.

        Guards against clients that ask once and keep their connection: who sits before the nodes has a
        limited number for requests, and with all of them held there is none left to ask on.
        """
        if not client.ending and not client.code and not client.commands.partial:
            for kept in self.free, self.taking:
                kept.pop(client, None)
            (self.taking if client.stream.backlog() else self.free)[client] = None
        self.trim(KEPT)

    def trim(self, since: Micros) -> None:
        """Close what has been free for longest, and at least so long, beyond the number that may be kept.

        Guards against closing under a client that is about to ask, which then has to connect again: a new
        connection makes room for itself at once, otherwise only what was free for a while goes; never what
        holds something unread.
        """
        while len(self.free) > self.caps.kept:
            longest = next(iter(self.free))
            if longest.used > self.clock() - since:
                return
            del self.free[longest]
            if longest.stream.quiet():
                longest.close("kept-long")

    def sweep(self, longest: Micros) -> None:
        """Guards against clients that stop in the middle of a command and keep their descriptor."""
        self.swept_at = self.clock()
        self.trim(KEPT)
        self.listen()  # guards against waiting for the end of a client where only connections to servers have ended
        now = self.clock()
        self.look_at_taking(now)
        if self.drain_since and self.acceptor:
            self.drop_stuck_queue(now)
        for client in list(self.begun):
            if client.began and client.began < now - longest and client.life.reads:
                client.cut()
        for client in list(self.clients):
            client.advance(now)
            answer = client.slots[0].answer if client.slots else None
            if isinstance(answer, Passing) and not client.code and self.stands_still(client, answer.flow, now):
                client.code = "stalled"
                client.reader.cancel()
            if client.end_due and client.end_due.gone_by:
                self.check_bound(client, now)
        if not self.has_place(pipelined=True):
            self.end_stalled([client for client in self.clients if client.writer])

    def drop_stuck_queue(self, now: Micros) -> None:
        """Guards against clients of a node that drains that cannot be accepted at all: their connections end in time."""
        failing = int(self.acceptor.failing_for() * 1_000_000)
        if failing and now >= ends.queue_dropped_at(self.drain, self.drain_since, now - failing):
            self.counters.add("queue_dropped", "accept-failing")
            self.acceptor.drop_queue()
            self.listen()

    @staticmethod
    def stands_still(client: Client, flow: Flow, now: Micros) -> bool:
        """Whether a large value has stopped on its way, from its server or to its client."""
        due = client.end_due.answers_until if client.end_due else 0
        return ends.stands_still(now, flow.moved, due=bool(due and now >= due))

    def read_past_end(self, client: Client) -> None:
        with contextlib.suppress(Violation):
            self.checker.read_past_end(client.peer, client.life.state.value)

    def check_bound(self, client: Client, now: Micros) -> None:
        """Past the bound of its end nothing is held but what its client still takes, or its server gives."""
        if now < client.end_due.gone_by or client.overdue:
            return
        client.overdue = True
        if client.takes:
            self.counters.add("held_past_bound", "answer-on-its-way")
        else:
            with contextlib.suppress(Violation):
                self.checker.held(client.peer, client.life.state.value)

    def missed(self) -> None:
        """Guards against work for clients that have left while nothing was read from them."""
        self.looked_at = now = self.clock()
        if self.deaf and now >= self.missed_at:
            self.missed_at = now + MISSED
            by_stream = {client.stream: client for client in self.deaf}
            for stream in ended(by_stream):
                by_stream[stream].left()

    def wanted(self, client: Client, tx: facade.Tx) -> bool:
        """Whether anybody still waits for this, in the moment in which an attempt at it begins.

        Guards against attempts for clients that left while the loop stood still, or that are not read from: what
        the request waited for may be there before their end is heard. Only then the kernel is asked.
        """
        if tx.over or client.code:
            return False
        if (self.late or client in self.deaf or self.clock() - self.looked_at > SEEN) and client.stream.left():
            client.left()
        return not client.code

    def has_place(self, *, pipelined: bool) -> bool:
        """Whether one more request may be open; `pipelined`: its connection has others.

        Answers that their clients have not taken hold their places. Guards against clients that ask much at once and take
        it slowly, and leave no place to those that wait for each answer.
        """
        kept = self.caps.txs // PLACES_KEPT if pipelined else 0
        return len(self.open_ids) < self.caps.txs - kept

    def given_to(self, command: meta.Command) -> Micros:
        """How long its client waits for an answer; 0 where its profile is not known."""
        profile = self.profile_of.get(command.attrs.get(b"c", b""))
        if profile is None:
            return 0
        wait, limit = command.attrs.get(b"d", b""), self.profiles[profile].limit
        return min(int(wait) * 1000, limit) if wait else limit

    def begin(self, client: Client, slot: Slot, command: meta.Command) -> None:
        """A whole transaction has come: from here on it is owed an answer."""
        self.asked = True
        if self.stir:
            self.stir()
        profile = self.profile_of.get(command.attrs.get(b"c", b""))
        if profile is None:
            command.fault = "unknown profile"
            return
        given = self.given_to(command)
        id_open = command.id in self.open_ids or self.spent_ids.has(command.id, self.clock())
        memory = not command.refused and (id_open or self.has_place(pipelined=len(client.slots) > 1))
        until = client.end_due.answers_until if client.end_due else 0
        until = min(until or self.until, self.until or until)
        verdict = may_start(self.clock(), left=given - client.waited, until=until, id_open=id_open, memory=memory)
        if verdict.reason is Reason.ID_OPEN:
            command.fault = "this id is open"
            return
        if self.refuses(client):
            slot.answer = meta.rolled_back(self.door.hint() // 1000)
            self.requests.note("refused", "draining", command.id.decode("latin-1"))
            client.close("draining")
            return
        if not verdict:  # nothing was sent, so trying again is harmless
            no_room = verdict.reason is Reason.NO_MEMORY
            slot.answer = meta.rolled_back(self.door.hint() // 1000 if no_room else 0)
            self.requests.note("refused", verdict.reason.value, command.id.decode("latin-1"))
            return
        tenant, again = self.tenant_of.get(command.attrs.get(b"t", b"")), command.attrs.get(b"r") == b"1"
        stay_away = self.door.turned_away(profile, tenant, again, client.waited, given)
        if stay_away is not None:
            slot.answer = meta.rolled_back(stay_away // 1000)
            self.requests.note("refused", "overload", command.id.decode("latin-1"))
            return
        key = int.from_bytes(blake2b(command.key, digest_size=8).digest())  # the same at every node
        limit = self.clock() + max(1000, given - client.waited)
        if until:  # guards against what is still being served when its connection ends
            limit = min(limit, until)
        slot.record = Record(command.id.decode("latin-1"), self.profiles[profile], limit)
        self.checker.taken(slot.record)
        slot.tx = facade.Tx(profile, tenant, key, limit, command.write, again=again)
        slot.id = command.id
        self.open_ids.add(command.id)
        self.door.arrive(slot.tx)
        slot.task = asyncio.create_task(self.conduct(client, slot, slot.tx, command))

    def done(self, slot: Slot) -> None:
        """Its answer was written, or it needs none any more."""
        if slot.tx:
            self.open_ids.discard(slot.id)
            if slot.answer is None and slot.record.would_repeat:  # its client has left
                self.spent_ids.add(slot.id, self.clock())
            self.door.leave(slot.tx)
            # Guards against a task that is never freed: it keeps the error that it was cancelled with, whose traceback has
            # the frame that has this.
            slot.tx = slot.task = None

    async def conduct(self, client: Client, slot: Slot, tx: facade.Tx, command: meta.Command) -> None:
        """Carry out the steps of one transaction up to its final answer."""
        hops: dict[int, asyncio.Task] = {}
        answer = meta.ABANDONED
        try:
            while isinstance(step := await self.door.pick(tx), facade.Send):
                if step.hop:
                    self.retried(slot.record, step.server)
                hops[step.hop] = asyncio.create_task(self.hop(step, command, client, slot.record))
                self.upstream.unsent.add(hops[step.hop])
                hops[step.hop].add_done_callback(lambda task, step=step: self.hop_done(step, task, slot.record.id))
            for number, task in hops.items():
                # Guards against sending on what nobody waits for any more: what is not written yet is no hop that
                # would have to be cancelled, whatever the settings say of that.
                if number in step.stop or task in self.upstream.unsent:
                    task.cancel()
            match step:
                case facade.Commit(Flow() as flow):
                    answer = Passing(meta.head(command, flow.length), flow)
                case facade.Commit(body):
                    answer = meta.committed(command, body)
                case facade.RollBack(stay_away):
                    answer = meta.rolled_back(stay_away // 1000)
                    self.given_up("refused", step.why, slot.record)
                case facade.Abandon() if not client.code:
                    self.given_up("failed", step.why, slot.record)
        except Exception as error:
            self.log(f"fault in a request: request={slot.record.id} {type(error).__name__}: {error}")
        finally:
            if command.paid:
                command.value = b""
                self.budget.give_back(command.paid)
        hops.clear()
        slot.answer, slot.ready = answer, self.clock()
        if client.code and isinstance(answer, Passing):
            answer.flow.drop()
        await client.flush()

    def given_up(self, how: str, why: Why, record: Record) -> None:
        """A request gets no value: count why, and say so now and then."""
        ends = ",".join(one.ended.value[0].replace(" ", "-") if one.ended else "open" for one in record.attempts)
        self.requests.note(how, why.value, record.id, attempts=len(record.attempts), ended=ends or "none")

    def retried(self, record: Record, server: str) -> None:
        """Another attempt of a request begins: count after which end of the one before."""
        before = record.attempts[-1].ended if record.attempts else None
        after = before.value[0].replace(" ", "-") if before else "open" if record.attempts else "not-sent"
        self.requests.note("retried", after, record.id, server=server, attempt=len(record.attempts) + 1)

    def answered(self, record: Record, behind: Micros = 0) -> None:
        """Its final answer was written; it had waited for those before it for so long."""
        with contextlib.suppress(Violation):  # counted and logged: the connection goes on
            self.checker.answered(record, behind)

    def unanswered(self, record: Record, code: str) -> None:
        """A connection has ended before this one's answer."""
        with contextlib.suppress(Violation):
            self.checker.closed(record, code)

    async def hop(self, step: facade.Send, command: meta.Command, client: Client, record: Record) -> meta.Reply:
        kept = replace(command)  # its value stays until the attempt has ended
        host, port = self.upstream.address.get(step.server, ("", 0))

        def data() -> list[bytes]:
            nonlocal attempt
            wait = max(1, (step.until - self.clock()) // 1000)
            attempt = self.checker.begins(
                record,
                step.target,
                told=wait * 1000,
                client_left=bool(client.code),
                draining=step.server in self.upstream.draining,
                part=self.door.node.part,
            )
            parts = origin.hop_bytes(kept, f"{host}:{port}", wait) if step.origin else meta.hop_bytes(kept, wait)
            kept.value = b""  # they hold it until it is written
            return parts

        reader = origin.OriginReply() if step.origin else meta.HopReply(command)
        attempt = None
        try:
            reply = await self.upstream.exchange(
                step.server, data, reader, step.until, step.by, lambda: self.wanted(client, step.tx)
            )
        except asyncio.CancelledError:
            if attempt:
                attempt.ended = Ended.CANCELLED
            raise
        if attempt:
            attempt.ended = reply.ended
        return reply

    def hop_done(self, step: facade.Send, task: asyncio.Task, number: str) -> None:
        self.upstream.unsent.discard(task)
        # Guards against a hop that was stopped before its first moment and would never be reported.
        if task.cancelled():
            reply = meta.Reply(Ended.CANCELLED)
        elif error := task.exception():
            reply = meta.Reply(Ended.UNKNOWN)
            self.log(f"fault in an attempt: request={number} {type(error).__name__}: {error}")
        else:
            reply = task.result()
        if reply.ended is Ended.MALFORMED:
            self.log(f"refused by {step.server}: request={number} {reply.body!r}")
        if reply.flow and step.tx.over:
            reply.flow.drop()  # another hop's answer was there before
        if self.sharing and step.origin:
            self.sharing.ended(step, reply)
        if self.sharing and self.sharing.asks(step, reply):
            self.spawn(self.sharing.turn(step, reply, lambda known, copy: self.hop_over(step, known, copy)))
        else:
            self.hop_over(step, reply)

    def hop_over(self, step: facade.Send, reply: meta.Reply, copy: str | None = None) -> None:
        self.door.report(
            step, reply.ended, answer=reply.flow or reply.body, note=reply.note, load=reply.load, copy=copy
        )

    def begin_stop(self, plan: EndPlan, since: Micros) -> None:
        """The process was told to stop at `since`: these are its bounds from then on."""
        self.stop, self.stop_since = plan, since

    def settle_down(self) -> None:
        """Stop: take what the machine has accepted already, then end each connection between requests."""
        self.closing = True
        self.acceptor.stop()
        self.pace(None)
        for client in self.clients:
            self.set_end(client)
        self.release()

    def take_rest(self) -> None:
        """What the machine has accepted already, as far as there is room; then the listener goes.

        Guards against closing it on connections that wait in its queue while descriptors are short: they would be
        reset with what they have asked.
        """
        if not (self.heir and self.heir.shares):  # else who takes this one's place accepts from the same queue
            while (taken := self.acceptor.take(AT_ONCE)) is Taken.ENOUGH:
                pass
            if taken is not Taken.EMPTY and self.acceptor.waits():
                return
        self.acceptor.close()
        self.acceptor = None

    @property
    def owing(self) -> bool:
        """While the process stops: whether anybody is connected, or waits to be taken off the listener's queue."""
        return bool(self.clients or self.acceptor)

    def release(self, last: bool = False) -> None:
        """End what may end by now; `last`: read nothing more from anybody.

        Guards against clients that go on without a pause: after a moment what they asked is answered, and what they
        say from then on they have to say to another.
        """
        if self.acceptor:
            self.take_rest()
        now = self.clock()
        for client in list(self.clients):
            client.advance(now)
            if last:
                client.finish("stopping")

    def adopt(self, sock: socket.socket, said: dict) -> None:
        """A client's connection of the process before this one, with nothing open on it."""
        client = Client(self, Stream(sock, self.buffers), str(said["client"]))
        client.since, client.used, client.count = int(said["since"]), int(said["used"]), int(said["count"])
        client.connected = self.connected_when(said)
        client.empty_at = self.clock() - int(said.get("unread", 0)) - waited(said, monotonic())
        self.clients.add(client)
        if client.count:
            self.fresh.pop(client)
            self.rest(client)
        self.set_end(client, said)
