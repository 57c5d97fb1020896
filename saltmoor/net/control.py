"""Owns a control machine's program: sockets and clock of one copy of the log.

It must never decide who leads, what is committed, or who gets what: `changes/log.py` and `changes/relay.py` do. It
serves no request, and no request under way waits for it.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from functools import partial
from typing import Any
from zlib import crc32

from saltmoor import config
from saltmoor.changes import log as core
from saltmoor.changes.messages import Append, Appended, Subscribe
from saltmoor.changes.relay import Relay
from saltmoor.changes.store import Store
from saltmoor.model import Micros
from saltmoor.net import streams
from saltmoor.net.changes import ROOM, subscribers
from saltmoor.net.log import Log
from saltmoor.net.streams import MACHINE, Door, Show, Shown, Stream, Wire
from saltmoor.peers.frames import Strange

TICK = 0.05  # seconds
STREAMS = 1024  # at once, whoever dials
DIAL_AGAIN = 0.3  # seconds, and up to half as much again
LAST_WRITES = 0.1  # seconds at the end, for what was said last


def clock() -> Micros:
    """Monotonic, and goes on while the process is stopped."""
    return time.monotonic_ns() // 1000


class Control:
    def __init__(self, given: config.Changes, log: Log) -> None:
        self.given, self.log = given, log
        now, store = clock(), Store(given.retain, given.retain_bytes)
        run = int.from_bytes(os.urandom(6), "big")
        self.core = core.Log(
            now, given.me, list(given.control), run, given.lease, store, Relay(given.me, store, most=STREAMS)
        )
        self.wire = Wire(given.cluster, given.me, MACHINE)
        self.links: dict[str, Stream] = {}  # to the other machines: what is said to them goes there
        self.streams: dict[str, Stream] = {}  # from nodes and tools: answers go back there
        self.door = Door(self.wire, STREAMS, self.serve, self.log)
        self.tasks: list[asyncio.Task] = []
        self.handed = (0, 0, 0)
        self.ended = False

    # Life.

    async def run(self) -> None:
        """Until SIGTERM or SIGINT. OSError: its address can't be had."""
        stop, loop = asyncio.Event(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        self.door.open(config.numeric("changes.me", self.given.me))
        self.tasks = [asyncio.create_task(self.reach(name)) for name in self.given.control if name != self.given.me]
        self.log(f"control: {self.given.me} of {self.given.cluster}, one of {len(self.given.control)}")
        self.tick()
        await stop.wait()
        self.ended = True
        self.deliver(self.core.end(clock()))
        await asyncio.sleep(LAST_WRITES)
        self.door.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.log("control: stopped")

    def tick(self) -> None:
        if self.ended:
            return
        asyncio.get_running_loop().call_later(TICK, self.tick)
        try:
            self.deliver(self.core.tick(clock(), time.time_ns() // 1000))
        except Exception as error:  # the next tick must come whatever happened in this one
            self.log(f"fault in control: {type(error).__name__}: {error}")

    def deliver(self, said: list[tuple[str, Any]]) -> None:
        for name, message in said:
            stream = self.links.get(name) or self.streams.get(name)
            if stream is None:
                self.wire.drop("no stream")
            else:
                stream.send(message)
        for line in self.core.lines:
            self.log(line)
        self.core.lines.clear()
        relay, store = self.core.relay, self.core.store
        if self.handed != (news := (store.committed, relay.beat, relay.pulse)):
            self.handed = news
            for key in relay.due():
                if stream := self.streams.get(key):
                    stream.wake.set()

    # The other machines: each says what it has to say on the stream that it has dialled.

    async def reach(self, name: str) -> None:
        pause = DIAL_AGAIN * (1 + crc32(f"{self.given.me}|{name}".encode()) / (1 << 33))
        while True:
            stream = None
            try:
                stream = await streams.dial(config.numeric("changes.control", name), self.wire, name)
                self.links[name] = stream
                await streams.together(stream.write_all(), stream.messages(partial(self.strange, name)))
            except (OSError, TimeoutError):
                pass
            except Strange as error:
                self.wire.drop(str(error))
            except Exception as error:
                self.log(f"fault in a stream to {name}: {type(error).__name__}: {error}")
            finally:
                if stream:
                    stream.close()
                self.links.pop(name, None)
            await asyncio.sleep(pause)

    def strange(self, name: str, message: Any) -> None:
        self.wire.drop("unexpected")  # the other machine speaks on its own stream

    # Whoever dials.

    async def serve(self, stream: Stream) -> None:
        key, machine = stream.key, stream.role == MACHINE
        if machine and key not in self.given.control:
            raise Strange("no control machine")

        def hear(message: Any) -> None:
            match message:
                case Show():
                    stream.send(Shown(self.shown()))
                case Append() | Subscribe() if not machine:
                    self.deliver(self.core.hear(clock(), key, message))
                    stream.wake.set()
                case _ if machine and not isinstance(message, (Append, Appended, Subscribe, Shown)):
                    self.deliver(self.core.hear(clock(), key, message))
                case _:
                    self.wire.drop("unexpected")

        def more() -> list[Any]:
            return self.core.relay.drain(key, ROOM) if self.streams.get(key) is stream else []

        if not machine:
            self.streams[key] = stream
        try:
            await streams.together(stream.write_all(list if machine else more), stream.messages(hear))
        finally:
            if self.streams.get(key) is stream:
                del self.streams[key]
                self.core.relay.gone(key)

    def shown(self) -> dict[str, Any]:
        one, store = self.core, self.core.store
        return {
            "machine": self.given.me,
            "state": one.state.name.lower(),
            "epoch": one.epoch if one.writer else 0,
            "promised": one.copy.promised,
            "leader": one.copy.leader[0],
            "blank": one.copy.blank,
            "generation": store.generation,
            "committed": store.committed,
            "last": store.last,
            "base": store.base,
            "retained_bytes": store.weight,
            "control": list(self.given.control),
            "linked": sorted(self.links),
            "versions": {name: one.store.version(name) for name in store.head},
            "counts": dict(one.counts),
            "others": {
                name: {"behind": store.last - each.match, "blank": each.blank}
                for name, each in (one.writer.others if one.writer else {}).items()
            },
            "beat": one.copy.confirmed,
            "subscribers": subscribers(one.relay),
            **self.wire.shown(),
        }


async def control(given: config.Changes) -> None:
    await Control(given, Log()).run()
