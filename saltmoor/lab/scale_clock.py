"""Owns the scripted clock of a scale run and the network on it: an event loop whose time is the script's, and sites
with stated delays between them, over which datagrams and streams go and are counted.

Nothing here opens a socket or waits for the machine's clock: what comes of it is simulated, and depends on the seed
alone. It must never be part of a node.
"""

from __future__ import annotations

import asyncio
import selectors
from collections import deque
from dataclasses import dataclass, field
from math import ceil
from random import Random
from typing import Any

from saltmoor.model import Micros

SITES, REGIONS = 31, 3
# One way, in microseconds. Within a site a switch or two and the kernels of both ends; between sites of a region a
# few hundred kilometres of fibre; between regions an ocean's (about 8,000 km at 200 km a millisecond).
SAME_SITE, SAME_REGION, OTHER_REGION = 200, 3_000, 40_000
JITTER = 0.1  # of a delay, evenly spread
UDP_HEAD = 28  # bytes: IPv4 20, UDP 8
TCP_HEAD = 52  # bytes a segment: IPv4 20, TCP 20, time stamps 12 as Linux sends them
TCP_OPEN = 60  # bytes of a SYN, which carries more options
SEGMENT = 1448  # bytes of data in one segment, at 1,500 a packet


class Idle(selectors.BaseSelector):
    """Waits for nothing: the script's time goes on instead."""

    def __init__(self) -> None:
        self.loop: ScriptedLoop | None = None
        self.kept: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        self.kept[fileobj] = selectors.SelectorKey(fileobj, 0, events, data)
        return self.kept[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        return self.kept.pop(fileobj)

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("a scripted run waits for something that never comes")
        self.loop.seconds += max(0.0, timeout)
        return []

    def get_map(self) -> dict:
        return self.kept

    def close(self) -> None:
        self.kept.clear()


class ScriptedLoop(asyncio.SelectorEventLoop):
    """An event loop on the script's clock; its streams are the scripted network's."""

    def __init__(self) -> None:
        self.seconds = 0.0
        idle = Idle()
        idle.loop = self
        super().__init__(idle)
        self._clock_resolution = 1e-7

    def time(self) -> float:
        return self.seconds

    def micros(self) -> Micros:
        return round(self.seconds * 1e6)

    async def sock_recv(self, sock: Stream, count: int) -> bytes:
        return await sock.receive(count)

    async def sock_sendall(self, sock: Stream, data: bytes) -> None:
        sock.transmit(bytes(data))

    def remove_reader(self, sock: Any) -> bool:
        return False


@dataclass(slots=True)
class Traffic:
    """What one address has sent and received since the count began; bytes with their heads."""

    udp_out: int = 0
    udp_in: int = 0
    tcp_out: int = 0
    tcp_in: int = 0
    messages: int = 0  # datagrams and frames on streams, out
    streams: int = 0  # opened by this one

    @property
    def total(self) -> int:
        return self.udp_out + self.udp_in + self.tcp_out + self.tcp_in


@dataclass(slots=True, frozen=True)
class Place:
    site: int
    region: int

    @classmethod
    def of(cls, site: int) -> Place:
        return cls(site, site % REGIONS)


def way_s(a: Place, b: Place) -> float:
    """Seconds one way."""
    return (SAME_SITE if a.site == b.site else SAME_REGION if a.region == b.region else OTHER_REGION) / 1e6


class Datagrams:
    """One address's datagram socket."""

    def __init__(self, network: Network, own: tuple[str, int]) -> None:
        self.network, self.own = network, own

    def sendto(self, data: bytes, where: tuple[str, int]) -> None:
        self.network.datagram(self.own, where, data)

    def close(self) -> None:
        self.network.ends.pop(self.own, None)


class Listener:
    """Streams that came and are not yet accepted."""

    def __init__(self) -> None:
        self.waiting: deque[Stream] = deque()

    def accept(self) -> tuple[Stream, None]:
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.popleft(), None

    def close(self) -> None:
        for stream in self.waiting:
            stream.close()


@dataclass(slots=True)
class End:
    """What is at an address: `hear` takes a datagram, `accept` is called when a stream has come."""

    place: Place
    hear: Any
    accept: Any
    listener: Listener


class Stream:
    """One end of a connection; bytes arrive in order, each write after the way's delay."""

    def __init__(self, network: Network, own: tuple[str, int], delay: float) -> None:
        self.network, self.own, self.delay = network, own, delay
        self.other: Stream | None = None
        self.held, self.over, self.wake = bytearray(), False, None
        self.arrives = 0.0  # when the last of what was written does

    def later(self, data: bytes) -> None:
        """Guards against two writes at one time, which the loop would call in any order."""
        self.arrives = max(self.network.loop.time() + self.delay, self.arrives + 1e-6)
        self.network.loop.call_at(self.arrives, self.other.came, data)

    def setblocking(self, flag: bool) -> None:
        pass

    async def receive(self, count: int) -> bytes:
        while not self.held and not self.over:
            self.wake = self.network.loop.create_future()
            await self.wake
        data = bytes(self.held[:count])
        del self.held[:count]
        return data

    def transmit(self, data: bytes) -> None:
        if self.over:
            raise BrokenPipeError
        self.network.streamed(self.own, self.other.own, data)
        if not self.network.severed(self.own, self.other.own):
            self.later(data)

    def came(self, data: bytes) -> None:
        self.held += data
        self.over = self.over or not data
        if self.wake and not self.wake.done():
            self.wake.set_result(None)

    def close(self) -> None:
        if not self.over and self.other:
            self.later(b"")
            self.network.count_head(self.own, self.other.own, 2)
            self.network.count_head(self.other.own, self.own, 2)
        self.over = True


class Conn:
    """One end of a connection that stays: whole frames, in order, handed to whoever `heard` names."""

    def __init__(self, network: Network, own: tuple[str, int], where: tuple[str, int]) -> None:
        self.network, self.own, self.where = network, own, where
        self.delay, self.arrives, self.open = network.delay(own, where), 0.0, True
        self.other: Conn | None = None
        self.greeted = False  # whoever is at this end has heard who the other is
        self.heard: Any = None  # called with this end and a frame
        self.closed: Any = None  # called with this end

    def send(self, frame: bytes) -> None:
        network = self.network
        if not self.open:
            return
        network.streamed(self.own, self.where, frame)
        if network.severed(self.own, self.where):
            # What was written is sent again and again until the writer's patience ends.
            network.loop.call_later(PATIENCE, self.broken)
            self.open = False
            return
        self.later(self.other.came, frame)

    def later(self, what: Any, *given: Any) -> None:
        """Guards against two frames at one time, which the loop would call in any order."""
        self.arrives = max(self.network.loop.time() + self.delay, self.arrives + 1e-6)
        self.network.loop.call_at(self.arrives, what, *given)

    def came(self, frame: bytes) -> None:
        if self.open and self.heard:
            self.heard(self, frame)

    def broken(self) -> None:
        if self.closed:
            self.closed(self)

    def close(self, told: bool = True) -> None:
        """`told`: the other end hears of it, as its kernel says so; a machine that fails says nothing."""
        if self.open:
            self.open = False
            if told and not self.network.severed(self.own, self.where):
                self.network.count_head(self.own, self.where, 2)
                self.network.count_head(self.where, self.own, 2)
                self.later(self.other.ended)

    def ended(self) -> None:
        if self.open:
            self.open = False
            if self.closed:
                self.closed(self)


PATIENCE = 5.0  # seconds for which written bytes may wait for an acknowledgement
SYN_AGAIN_S = 1.0  # until the kernel sends a SYN again
DIAL_S = 2.0  # seconds until a connection that does not come up is given up


@dataclass
class Network:
    """Addresses at sites. `cut`: regions that reach only themselves; `loss`: the share of datagrams that is lost."""

    loop: ScriptedLoop
    seed: int
    loss: float = 0.0
    cut: set[int] = field(default_factory=set)
    ends: dict[tuple[str, int], End] = field(default_factory=dict)
    traffic: dict[tuple[str, int], Traffic] = field(default_factory=dict)
    places: dict[tuple[str, int], Place] = field(default_factory=dict)
    silent: set[tuple[str, int]] = field(default_factory=set)  # machines that answer nothing at all

    def __post_init__(self) -> None:
        self.rng = Random(f"network {self.seed}")

    def put(self, where: tuple[str, int], place: Place, hear: Any, accept: Any) -> tuple[Datagrams, Listener]:
        listener = Listener()
        self.ends[where], self.places[where] = End(place, hear, accept, listener), place
        self.traffic.setdefault(where, Traffic())
        return Datagrams(self, where), listener

    def count_anew(self) -> None:
        self.traffic = {where: Traffic() for where in self.traffic}

    def delay(self, own: tuple[str, int], where: tuple[str, int]) -> float:
        return way_s(self.places[own], self.places[where])

    def severed(self, own: tuple[str, int], where: tuple[str, int]) -> bool:
        a, b = self.places[own].region, self.places[where].region
        return a != b and (a in self.cut or b in self.cut)

    def datagram(self, own: tuple[str, int], where: tuple[str, int], data: bytes) -> None:
        mine = self.traffic[own]
        mine.udp_out += len(data) + UDP_HEAD
        mine.messages += 1
        end = self.ends.get(where)
        if end is None or self.severed(own, where) or self.loss and self.rng.random() < self.loss:
            return
        delay = self.delay(own, where) * (1 + JITTER * self.rng.random())
        self.loop.call_later(delay, self.deliver, where, end, data)

    def deliver(self, where: tuple[str, int], end: End, data: bytes) -> None:
        if self.ends.get(where) is end:  # it may have ended meanwhile
            self.traffic[where].udp_in += len(data) + UDP_HEAD
            end.hear(data)

    def count_head(self, own: tuple[str, int], where: tuple[str, int], segments: int, size: int = TCP_HEAD) -> None:
        self.traffic[own].tcp_out += segments * size
        self.traffic[where].tcp_in += segments * size

    def streamed(self, own: tuple[str, int], where: tuple[str, int], data: bytes) -> None:
        """Bytes of a stream with the heads of its segments, and an acknowledgement for each two."""
        segments = max(1, ceil(len(data) / SEGMENT))
        self.traffic[own].messages += 1
        self.traffic[own].tcp_out += len(data)
        self.traffic[where].tcp_in += len(data)
        self.count_head(own, where, segments)
        self.count_head(where, own, ceil(segments / 2))

    def dial(self, own: tuple[str, int], where: tuple[str, int], done: Any) -> None:
        """Connect; `done` is called with this end, or with None."""
        self.traffic[own].streams += 1
        self.count_head(own, where, 1, TCP_OPEN)
        if not self.lost(own, where):
            self.loop.call_later(self.delay(own, where), self.dialled, own, where, done)
        else:
            self.loop.call_later(SYN_AGAIN_S, self.dial_again, own, where, done)

    def lost(self, own: tuple[str, int], where: tuple[str, int]) -> bool:
        return where in self.silent or self.severed(own, where)

    def dial_again(self, own: tuple[str, int], where: tuple[str, int], done: Any) -> None:
        """The kernel has sent the SYN a second time."""
        if not self.lost(own, where):
            self.loop.call_later(self.delay(own, where), self.dialled, own, where, done)
        else:
            self.loop.call_later(DIAL_S - SYN_AGAIN_S, done, None)

    def dialled(self, own: tuple[str, int], where: tuple[str, int], done: Any) -> None:
        end, delay = self.ends.get(where), self.delay(own, where)
        if end is None:
            self.loop.call_later(delay, done, None)
            return
        self.count_head(where, own, 1, TCP_OPEN)
        self.count_head(own, where, 1)
        near, far = Conn(self, own, where), Conn(self, where, own)
        near.other, far.other = far, near
        self.loop.call_later(delay - 1e-6, done, near)  # before the first frame
        end.accept(far)

    async def connect(self, own: tuple[str, int], where: tuple[str, int]) -> Stream:
        end = self.ends.get(where)
        if where not in self.places or self.severed(own, where):
            await asyncio.sleep(60)  # the caller's own bound ends it
            raise TimeoutError
        delay = self.delay(own, where)
        self.traffic[own].streams += 1
        self.count_head(own, where, 1, TCP_OPEN)
        await asyncio.sleep(delay)
        end = self.ends.get(where)
        if end is None:
            await asyncio.sleep(delay)
            raise ConnectionRefusedError
        near, far = Stream(self, own, delay), Stream(self, where, delay)
        near.other, far.other = far, near
        self.count_head(where, own, 1, TCP_OPEN)
        self.count_head(own, where, 1)
        end.listener.waiting.append(far)
        end.accept()
        await asyncio.sleep(delay)
        return near
