"""Owns one node among its peers: puts its parts together, opens and closes its address, and runs what falls due.

It must never be waited for by a request, nor decide who is alive, what a copy is, or what a node does with it: `peers/`
and `replica/` do, and the owner's `took`.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import saltmoor
from saltmoor.config import Talking
from saltmoor.model import Micros
from saltmoor.net.log import Log
from saltmoor.net.peers.anti_entropy import AntiEntropy
from saltmoor.net.peers.borrowed_quota import BorrowedQuotas
from saltmoor.net.peers.fetch_leases import FetchLeases
from saltmoor.net.peers.gossip import Gossip
from saltmoor.net.peers.membership import Membership
from saltmoor.net.peers.messenger import Messenger
from saltmoor.net.peers.operators import Operators
from saltmoor.net.peers.sockets import Sockets
from saltmoor.net.peers.streams import STREAMS, Address, Streams, connect
from saltmoor.peers import frames
from saltmoor.peers.members import Ask, Members, News, Ping
from saltmoor.peers.messages import PullEnd
from saltmoor.replica.anti_entropy import PullSchedule
from saltmoor.replica.entries import Entry, Stamps, Store

SHORT_LIVED: Micros = 10_000_000  # kinds that are kept no longer expire with each tick
EXPIRE_EVERY: Micros = 1_000_000  # the other kinds
OPEN_AGAIN = 2.0  # seconds until an address that was taken is tried again
TICKS_A_PERIOD = 4  # of the pings
RUN_BYTES = 6  # of the random number that tells processes of one name apart


def wall_clock() -> Micros:
    return time.time_ns() // 1000


@dataclass(slots=True, frozen=True)
class Process:
    """Which process of a member this is: `incarnation` grows with each, `run` tells two of one incarnation apart."""

    run: int
    incarnation: int

    @classmethod
    def new(cls) -> Process:
        """Larger than the process before, unless the wall clock was set back: then it is contradicted."""
        return cls(int.from_bytes(os.urandom(RUN_BYTES), "big"), wall_clock() // 1000)


class Peers:
    """One node among its peers. `step` is called with each tick."""

    def __init__(
        self, given: Talking, name: str, log: Log, clock: Callable[[], Micros], process: Process | None = None
    ) -> None:
        self.given, self.log, self.clock = given, log, clock
        self.name = given.name or name
        self.process = process = process or Process.new()
        self.loop = asyncio.get_running_loop()
        now = clock()
        me = News(self.name, 0, process.incarnation, process.run, given.address, given.site, saltmoor.__version__)
        self.members = Members(me, given.period, given.suspect, list(given.seeds), process.run, now)
        self.store = Store(epoch=process.run, most_bytes=given.most)
        self.schedule = PullSchedule(self.name, now, process.run)
        self.sockets = Sockets()
        self.messenger = Messenger(given, self.members, self.sockets, log)
        self.membership = Membership(self.messenger, self.members, self.store, self.schedule, clock)
        self.streams = Streams(self.messenger, self.spawn, self.connect)
        self.gossip = Gossip(
            self.messenger,
            self.store,
            Stamps(given.ahead),
            clock=clock,
            wall=self.wall,
            pulling=lambda: bool(self.schedule.open),
            soon=self.soon,
        )
        self.anti_entropy = AntiEntropy(
            self.messenger,
            self.streams,
            self.store,
            self.schedule,
            merge=self.gossip.merge,
            rate=given.rate,
            clock=clock,
            spawn=self.spawn,
        )
        self.fetch_leases = FetchLeases(self.messenger, process.incarnation, clock)
        self.quotas = BorrowedQuotas(self.messenger, process.incarnation, clock)
        self.operators = Operators(self.messenger, self.streams, self.gossip, self.schedule, clock)
        self.step: Callable[[Micros], None] = lambda now: None
        self.tasks: set[asyncio.Task] = set()
        self.timer: asyncio.TimerHandle | None = None
        self.ended, self.opened, self.expired = False, True, now

    # Life.

    def begin(self) -> None:
        self.prepare_readers()
        self.open()
        self.again()

    def prepare_readers(self) -> None:
        """Guards against the first message of a type that waits for its reader to be made."""
        routed = [route.form for route in (*self.messenger.routes.values(), *self.streams.questions.values())]
        for form in (Ping, Ask, PullEnd, *routed):
            frames.reader(form)

    def open(self) -> None:
        """Guards against an address that is taken: the node serves alone, and tries again."""
        host, port = self.given.listen
        try:
            self.sockets.open((host, port), self.messenger.read, self.streams.welcome, self.log, STREAMS)
        except OSError as error:
            if self.opened:
                self.opened = False
                self.log(f"peers: peers.listen {host}:{port}: {error.strerror or error}; alone until it is free")
            self.loop.call_later(OPEN_AGAIN, lambda: self.ended or self.open())
            return
        self.opened = True
        self.log(f"peers: {self.name} of {self.given.cluster} at {host}:{port}, life={self.members.me.life}")

    def again(self) -> None:
        self.timer = self.loop.call_later(self.given.period / (TICKS_A_PERIOD * 1_000_000), self.tick)

    def tick(self) -> None:
        self.again()
        begun = time.thread_time()
        try:
            self.run_due(self.clock())
        except Exception as error:  # the next tick must come whatever happened in this one
            self.log(f"fault among peers: {type(error).__name__}: {error}")
        self.messenger.traffic.took_since(begun)

    def run_due(self, now: Micros) -> None:
        self.membership.send_all(self.members.tick(now))
        self.expire(now)
        self.anti_entropy.tick(now)
        self.gossip.spread()
        self.fetch_leases.expire(now)
        self.step(now)
        self.log_changes()

    def expire(self, now: Micros) -> None:
        # What is kept for short times goes at once, or copies would differ for as long as this is put off.
        self.store.expire(now, SHORT_LIVED)
        if now - self.expired > EXPIRE_EVERY:
            self.expired = now
            self.store.expire(now)

    def log_changes(self) -> None:
        for line in self.members.lines:
            self.log(line)
        self.members.lines.clear()
        if self.schedule.line:
            self.log(f"{self.schedule.line} items={self.store.count()}")
            self.schedule.line = ""
        for kind, key, kept, other in self.store.conflicts:
            self.log(f"replica: copies of {kind} {key} differ: kept {kept[:60]!r}, not {other[:60]!r}")
        self.store.conflicts.clear()

    def end(self, left: bool = True) -> None:
        """`left`: the others are told; not where a successor goes on as the same member."""
        self.ended = True
        if self.timer:
            self.timer.cancel()
        if left and self.sockets.is_open:
            self.membership.send_all(self.members.leave())
        self.sockets.close()
        for task in self.tasks:
            task.cancel()

    # What the parts stand on.

    def spawn(self, work: Coroutine) -> None:
        """Run it until the node ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def soon(self, callback: Callable[[], None]) -> None:
        self.loop.call_soon(callback)

    async def connect(self, address: Address) -> socket.socket:
        return await connect(address)

    def wall(self) -> Micros:
        """The wall clock as most nodes see it."""
        return self.members.middle_clock(wall_clock())

    def merge(self, now: Micros, entry: Entry) -> None:
        """Put an entry of another node into the table."""
        self.gossip.merge(now, entry)

    @property
    def took(self) -> Callable[[Entry], None]:
        """Hears of each entry that is new here and came from another."""
        return self.gossip.took

    @took.setter
    def took(self, took: Callable[[Entry], None]) -> None:
        self.gossip.took = took
