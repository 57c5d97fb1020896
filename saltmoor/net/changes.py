"""Owns how a running node follows the log of changes: its streams, what it hands on while it is a relay, and the seam
through which a change reaches the node.

Nothing in serving waits for it, and nothing that comes ends the node. It must never decide from whom the node
streams, what is in order, or what a change means: `changes/` does.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from functools import partial
from hashlib import blake2b
from typing import Any

from saltmoor import config
from saltmoor.changes.apply import Apply, Effect, Install, Rejected, Void, VoidAll
from saltmoor.changes.messages import Refuse, Subscribe
from saltmoor.changes.relay import Relay
from saltmoor.changes.store import Store
from saltmoor.changes.subscriber import Subscriber
from saltmoor.model import Micros
from saltmoor.net import streams
from saltmoor.net.host import Host
from saltmoor.net.streams import Door, Show, Shown, Stream, Wire
from saltmoor.peers.frames import Strange

TICK = 0.05  # seconds
PAUSE: Micros = 500_000  # a tick later than that: the process stood still
ROOM = 32_768  # bytes that a subscriber's stream is given at once
SPARE = 8  # streams beside the neighbours': operators' questions, and who is on its way out; see config.CHANGES_STREAMS
AT_A_TIME = 32  # changes that are applied, or requests that ask anew, before the loop goes on
OPEN_AGAIN = 0.5  # seconds until a port that was taken is tried again
FLEET = "fleet"  # the name of the configuration that every node follows


class Follower:
    """One node among those that follow the log."""

    def __init__(self, service: Host, given: config.Changes) -> None:
        self.service, self.given, self.log, self.clock = service, given, service.log, service.door.clock
        now, nodes = self.clock(), [given.listen, *given.neighbours]
        self.wire = Wire(given.cluster, given.listen, streams.NODE)
        self.subscriber = Subscriber(now, given.listen, given.site, nodes, list(given.control), given.stale)
        self.relay = Relay(given.listen, Store(given.retain, given.retain_bytes), most=len(nodes) + SPARE)
        self.apply = Apply(self.unfit)
        self.read = service.read
        self.links: dict[str, asyncio.Task] = {}  # to whom a stream is wanted, or there
        self.streams: dict[str, Stream] = {}  # of those, the ones that are open
        self.first: dict[str, Any] = {}  # what is to be said as soon as they are
        self.subscribed: dict[str, Stream] = {}  # from whom, while it is a relay
        self.waiting: deque[Any] = deque()  # changes, in order
        self.anew: deque[Any] = deque()  # who waited for a fetch of before a purge
        self.leases: deque[int] = deque()  # fetch leases to be voided
        self.working = False
        self.door = Door(self.wire, len(nodes) + SPARE, self.serve, self.log)
        self.timer: asyncio.TimerHandle | None = None
        self.ticked = now
        self.opened, self.resigned, self.ended = True, False, False
        self.stale, self.taken_before, self.taken_stale = False, 0, 0  # requests, while a purge may have been missed
        self.pauses = 0

    # Life.

    def begin(self) -> None:
        if self.given.when_stale == "miss":
            self.service.door.strict = self.stale = True  # it knows nothing yet
        self.open()
        self.tick()
        hands_on = "hands on to" if self.subscriber.relays else "one of"
        self.log(f"changes: {self.given.listen} of {self.given.cluster} {hands_on} site {self.given.site}")

    def open(self) -> None:
        """Guards against a port that is taken, as by the process before: the node follows all the same."""
        if self.resigned:
            return
        try:
            self.door.open(config.numeric("changes.listen", self.given.listen))
            self.opened = True
        except OSError as error:
            if self.opened:
                self.opened = False
                self.log(f"changes: changes.listen {self.given.listen}: {error.strerror or error}; tried again")
            asyncio.get_running_loop().call_later(OPEN_AGAIN, self.open)

    def resign(self) -> None:
        """The process that takes this one's place hands on from now on; this one hears of changes until it ends."""
        self.resigned = True
        self.door.close()

    def end(self) -> None:
        self.ended = self.resigned = True
        if self.timer:
            self.timer.cancel()
        self.door.close()
        for link in self.links.values():
            link.cancel()

    def tick(self) -> None:
        if self.ended:
            return
        self.timer = asyncio.get_running_loop().call_later(TICK, self.tick)
        now = self.clock()
        try:
            self.stood_still(now)
            self.ticked = now
            self.send(self.subscriber.tick(now))
            self.relay.tick(now)
            self.hand_on()
            self.connect()
            self.look(now)
        except Exception as error:  # the next tick must come whatever happened in this one
            self.log(f"fault in changes: {type(error).__name__}: {error}")

    def look(self, now: Micros) -> None:
        """Whether it may have missed a purge, and what it does then."""
        for line in self.subscriber.lines:
            self.log(line)
        self.subscriber.lines.clear()
        stale, door = self.subscriber.stale(now), self.service.door
        if stale != self.stale:
            self.stale = stale
            self.taken_before, passed = door.count, door.count - self.taken_before
            self.taken_stale += 0 if stale else passed
            door.strict = stale and self.given.when_stale == "miss"

    def stood_still(self, now: Micros) -> bool:
        """Guards against old news that stood in a socket while the process was stopped: it would count as fresh."""
        if now - self.ticked <= PAUSE:
            return False
        self.ticked = now
        self.pauses += 1
        for name in list(self.links):
            self.drop(name)
            self.subscriber.closed(now, name)
        return True

    # Streams of its own.

    def send(self, said: list[tuple[str, Any]]) -> None:
        for name, message in said:
            if stream := self.streams.get(name):
                stream.send(message)
            else:
                self.first[name] = message

    def connect(self) -> None:
        wanted = self.subscriber.streams()
        for name in self.links.keys() - wanted:
            self.drop(name)
        for name in wanted - self.links.keys():
            if name in self.first:
                self.links[name] = asyncio.create_task(self.follow(name))

    def drop(self, name: str) -> None:
        self.links.pop(name).cancel()
        self.streams.pop(name, None)
        self.first.pop(name, None)

    async def follow(self, name: str) -> None:
        """One stream to a relay or a control machine, until it ends."""
        stream, me = None, asyncio.current_task()
        try:
            stream = await streams.dial(config.numeric("changes", name), self.wire, name)
            if self.links.get(name) is not me:
                return
            self.streams[name] = stream
            stream.send(self.first.pop(name))
            await streams.together(stream.write_all(), self.listen(stream, name))
        except (OSError, TimeoutError) as error:
            self.wire.drop("no stream" if stream is None else f"stream: {type(error).__name__}")
        except Strange as error:
            self.wire.drop(str(error))
        except Exception as error:
            self.log(f"fault in a stream of changes: {type(error).__name__}: {error}")
        finally:
            if stream:
                stream.close()
            if self.links.get(name) is me:
                self.drop(name)
                self.subscriber.closed(self.clock(), name)

    async def listen(self, stream: Stream, name: str) -> None:
        def hear(message: Any) -> None:
            now = self.clock()
            if self.stood_still(now):
                return
            self.send(self.subscriber.hear(now, name, message))
            self.take(now)

        await stream.messages(hear)

    # What has come.

    def take(self, now: Micros) -> None:
        """Into the relay's range at once, and to the node in order."""
        for event in self.subscriber.take():
            if self.subscriber.relays:
                self.relay.feed(now, event)
            self.waiting.append(event)
        self.relay.watermark(self.subscriber.mark, self.subscriber.beat)
        self.hand_on()
        self.work()

    def work(self) -> None:
        if (self.waiting or self.anew or self.leases) and not self.working:
            self.working = True
            self.some()

    def some(self) -> None:
        """A few of what waits, then the loop goes on."""
        begun = time.thread_time()
        for _ in range(min(AT_A_TIME, len(self.waiting))):
            try:
                for effect in self.apply.apply(self.waiting.popleft()):
                    self.carry_out(effect)
            except Exception as error:  # a fault of ours costs this change, and is told
                self.log(f"fault in a change: {type(error).__name__}: {error}")
        if self.anew:
            count = min(AT_A_TIME, len(self.anew))
            self.service.door.anew([self.anew.popleft() for _ in range(count)])
        for _ in range(min(AT_A_TIME, len(self.leases))):
            self.service.sharing.purged(self.leases.popleft())
        self.wire.slowest = max(self.wire.slowest, time.thread_time() - begun)
        self.working = bool(self.waiting or self.anew or self.leases) and not self.ended
        if self.working:
            asyncio.get_running_loop().call_soon(self.some)

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case Void("key", value):
                self.void(int.from_bytes(blake2b(value, digest_size=8).digest()))  # as net/clients.py makes it
            case Void() | VoidAll():
                self.void(None)  # which keys are of a set is not known here: on the strict side
            case Install(name, version, body):
                self.install(name, version, body)
            case Rejected(name, version, why):
                self.log(f"changes: configuration {name} version={version} refused: {why}")

    def void(self, key: int | None) -> None:
        self.anew.extend(self.service.door.purged(key))
        if self.service.sharing:
            self.leases.extend(self.service.sharing.leased() if key is None else [key])

    # Configuration.

    def unfit(self, name: str, version: int, body: bytes) -> str:
        """Why this node would refuse it; nothing of it is used before."""
        if name != FLEET:
            return ""
        try:
            return self.service.unfit(self.read(config.version(body)))
        except config.Faulty as error:
            return str(error)
        except Exception as error:
            return f"{type(error).__name__}: {error}"[:200]

    def install(self, name: str, version: int, body: bytes) -> None:
        """From now on the node's configuration is its file with this version's keys, also where it is told to read it
        again."""
        if name != FLEET:
            return
        self.service.read = partial(self.read, config.version(body))
        self.service.reload()
        self.log(f"changes: configuration {name} version={version} in force")

    # Others' streams, while it is a relay; operators' questions.

    async def serve(self, stream: Stream) -> None:
        key = stream.key
        if key in self.subscribed:
            self.subscribed[key].wake.set()

        def hear(message: Any) -> None:
            match message:
                case Show():
                    stream.send(Shown(self.shown()))
                case Subscribe() if not self.subscriber.relays:
                    stream.send(Refuse("not a relay", 1_000_000))
                case Subscribe():
                    self.subscribed[key] = stream
                    for _, answer in self.relay.hear(self.clock(), key, message):
                        stream.send(answer)
                    stream.wake.set()
                case _:
                    self.wire.drop("unexpected")

        def more() -> list[Any]:
            return self.relay.drain(key, ROOM) if self.subscribed.get(key) is stream else []

        try:
            await streams.together(stream.write_all(more), stream.messages(hear))
        finally:
            if self.subscribed.get(key) is stream:
                del self.subscribed[key]
                self.relay.gone(key)

    def hand_on(self) -> None:
        for key in self.relay.due() if self.subscribed else ():
            if stream := self.subscribed.get(key):
                stream.wake.set()

    def shown(self) -> dict[str, Any]:
        now, one, apply = self.clock(), self.subscriber, self.apply
        return {
            "node": self.given.listen,
            "site": self.given.site,
            "relay": one.relays,
            "upstream": one.upstream,
            "stream": one.state.name.lower(),
            "generation": one.generation,
            "offset": one.offset,
            "applied": apply.offset,
            "beat": one.beat,
            "stale": self.stale or one.stale(now),
            "when_stale": self.given.when_stale,
            "taken_stale": self.taken_stale + (self.service.door.count - self.taken_before if self.stale else 0),
            "behind_ms": min(one.lag(now), 86_400_000_000) // 1000,
            "purges": apply.purged,
            "unknown": apply.unknown,
            "in_force": dict(apply.force),
            "counts": dict(one.counts),
            "pauses": self.pauses,
            "refused": {name: [said.version, said.why] for name, said in apply.rejected.items()},
            "subscribers": subscribers(self.relay),
            **self.wire.shown(),
        }


def subscribers(relay: Relay) -> dict[str, int]:
    """How many changes each lacks that it has not been sent."""
    store = relay.store
    return {
        key: store.committed - cursor.offset if cursor.generation == store.generation else store.committed
        for key, cursor in relay.cursors.items()
    }
