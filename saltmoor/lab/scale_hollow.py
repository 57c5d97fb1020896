"""Owns hollow members: the real control code of a node (`net/peers/` with its cores, `net/duties.py`) on the scripted
network, without a data path, and how much processor time each of them takes.

It must never change what that code decides: it gives it a clock, an address and a seed, and counts.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Coroutine
from types import coroutine
from typing import Any

from saltmoor.config import Dutiful, Talking
from saltmoor.lab.scale_clock import Network, Place, ScriptedLoop, Stream
from saltmoor.net.duties import Duties
from saltmoor.net.peers.node import Peers, Process
from saltmoor.net.peers.streams import STREAMS
from saltmoor.peers.members import Member
from saltmoor.replica.anti_entropy import PeerTable, Phase

CLUSTER = "scale"
PERIOD, SUSPECT = 200_000, 1_500_000  # as a node has them by default
WALL = 1_800_000_000_000  # milliseconds: where the lives of the script begin
CONTROL = 5  # machines set aside for control
LEASE, FLIGHT = 2_000_000, 300_000


def quiet(line: str) -> None:
    """Hollow members keep no log."""


def talking(name: str, where: tuple[str, int], site: int, seeds: tuple[str, ...]) -> Talking:
    return Talking(
        CLUSTER,
        name,
        where,
        f"{where[0]}:{where[1]}",
        f"s{site}",
        "lab",
        seeds,
        {},
        PERIOD,
        SUSPECT,
        5_000_000,
        8 << 20,
        1 << 20,
        frozenset(("drains", "starts", "evidence", "lists", "words")),
    )


class Spent:
    """Processor time of one member; calls within calls count once."""

    __slots__ = ("ns", "deep")

    def __init__(self) -> None:
        self.ns, self.deep = 0, False

    def of(self, what: Callable[..., Any], *given: Any) -> Any:
        if self.deep:
            return what(*given)
        self.deep, begun = True, time.process_time_ns()
        try:
            return what(*given)
        finally:
            self.deep = False
            self.ns += time.process_time_ns() - begun

    @coroutine
    def each(self, work: Coroutine) -> Any:
        """A task's steps, each counted."""
        given, failed = None, None
        while True:
            try:
                step = self.of(work.throw, failed) if failed else self.of(work.send, given)
            except StopIteration as end:
                return end.value
            given = failed = None
            try:
                given = yield step
            except BaseException as error:
                failed = error


class Hollow(Peers):
    """One member. `starts` counts the processes under its name, so that a later one has a larger life."""

    def __init__(
        self,
        network: Network,
        name: str,
        where: tuple[str, int],
        place: Place,
        seeds: tuple[str, ...],
        number: int,
        starts: int = 0,
    ) -> None:
        loop: ScriptedLoop = network.loop
        now = loop.micros()
        # What comes by chance comes from the script's seed.
        run = (1 << 47) + (network.seed * 1000 + starts) * 100_000 + number
        process = Process(run, WALL + now // 1000 + starts)
        super().__init__(talking(name, where, place.site, seeds), name, quiet, loop.micros, process)
        self.network, self.own, self.place, self.spent = network, where, place, Spent()
        self.duties: Duties | None = None
        share = number * 7919 % 1000 / 1000  # members neither tick together nor look for what is old together
        self.phase = share * self.given.period / 4_000_000
        self.expired = now - int(share * 1_000_000)

    def begin(self) -> None:
        self.open()
        self.loop.call_later(self.phase, self.again)

    def open(self) -> None:
        ends = self.network.put(self.own, self.place, self.heard, self.came_stream)
        self.sockets.datagrams, self.sockets.listener = ends

    def wall(self) -> int:
        """The script's, so that which number of a lease is larger does not hang on the machine."""
        return WALL * 1000 + self.clock()

    def vote(self, voters: tuple[str, ...]) -> None:
        """It is one of the control machines: it votes, and claims the lease."""
        self.duties = Duties(self, Dutiful(CLUSTER, voters, (), LEASE, FLIGHT, "", 1 << 60, ("writer",)), quiet)
        self.step = self.duties.tick

    def heard(self, data: bytes) -> None:
        try:
            self.spent.of(self.messenger.dispatch, data)
        except Exception as error:
            self.messenger.traffic.drop(str(error) or type(error).__name__)

    def came_stream(self) -> None:
        if not self.ended:
            self.spent.of(self.take_streams)

    def take_streams(self) -> None:
        """What the acceptor does for a real member: each stream that has come is welcomed."""
        for _ in range(STREAMS):
            try:
                sock, peer = self.sockets.listener.accept()
            except BlockingIOError:
                return
            self.streams.welcome(sock, peer)

    def tick(self) -> None:
        if not self.ended:
            self.spent.of(super().tick)

    def soon(self, callback: Callable[[], None]) -> None:
        super().soon(lambda: self.ended or self.spent.of(callback))

    def spawn(self, work: Coroutine) -> None:
        super().spawn(self.counted(work))

    async def counted(self, work: Coroutine) -> None:
        await self.spent.each(work)

    async def connect(self, address: tuple[str, int]) -> Stream:
        return await self.network.connect(self.own, address)

    def crash(self) -> None:
        """It is gone without a word, with all its connections."""
        super().end(left=False)

    def knows(self, others: list[Hollow], now: int) -> None:
        """It has been there for long: it knows all, and what they have."""
        for one in others:
            if one is not self:
                me = one.members.me
                self.members.others[one.name] = Member(
                    one.name, me.life, me.run, me.address, me.site, me.build, since=now, spoke=now
                )
                self.schedule.peers[one.name] = PeerTable(one.store.epoch, one.store.seq)
        self.schedule.phase = Phase.LEVEL
