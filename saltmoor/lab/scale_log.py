"""Owns the ordered log's way in a scripted row: the real cores of `changes/` at control machines, relays and nodes.

They are joined as `net/` joins them, in the frames of `net/streams.py`, on the scripted network.

It must never decide what the cores decide.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any

from saltmoor.changes import kinds
from saltmoor.changes.apply import Apply
from saltmoor.changes.log import Log
from saltmoor.changes.messages import Append, Appended, Entry, State, Subscribe
from saltmoor.changes.relay import Relay
from saltmoor.changes.store import Store
from saltmoor.changes.subscriber import Subscriber
from saltmoor.lab.scale_clock import Conn, Place
from saltmoor.lab.scale_hollow import CLUSTER, CONTROL, LEASE, WALL, Spent
from saltmoor.lab.scale_town import BODY, KEPT_S, Town, Way
from saltmoor.net.streams import HEAD, MACHINE, NODE, TOOL, Wire
from saltmoor.peers import frames

TICK = 0.05  # seconds
ROOM = 32_768  # bytes that a subscriber's stream is given at once
SILENT_S = 1.0  # that a tool waits for an answer, until it asks another machine
AGAIN_S = 0.3  # until a control machine dials another again, or a tool asks the next one
CONTROLS_UP = 8.0  # seconds that the control machines get before all others begin
OLD_PER_TICK = 25  # changes of before, given at once
SMALL = 2_000  # bytes that a node which hands nothing on keeps, by sys.getsizeof of its cores


class Process:
    """What a node and a control machine have in common: an address, connections, a tick."""

    def __init__(self, way: Ordered, name: str) -> None:
        town = way.town
        self.way, self.name, self.network, self.loop = way, name, town.network, town.loop
        self.own, self.spent, self.ended = town.where(name), Spent(), False
        self.me = text(self.own)
        self.wire = Wire(CLUSTER, self.me, MACHINE if name[0] == "c" else NODE)
        self.served: dict[str, Conn] = {}  # by who dialled
        self.dialled: dict[str, Conn | None] = {}  # None: not up yet
        self.asked = 0

    def begin(self, share: float) -> None:
        self.network.silent.discard(self.own)
        self.network.put(self.own, self.way.town.place(self.name), lambda data: None, self.accept)
        self.loop.call_later(share * TICK, self.tick)

    def tick(self) -> None:
        if not self.ended:
            self.loop.call_later(TICK, self.tick)
            self.spent.of(self.step)

    def step(self) -> None:
        raise NotImplementedError

    def stop(self, how: str) -> None:
        self.ended = True
        self.network.ends.pop(self.own, None)
        if how == "fail":
            self.network.silent.add(self.own)
        for conn in [*self.served.values(), *self.dialled.values()]:
            if conn:
                conn.close(told=how != "fail")

    def accept(self, conn: Conn) -> None:
        key = text(conn.where)
        if (before := self.served.get(key)) is not None:
            before.close()
        self.served[key] = conn
        conn.send(self.wire.hello())
        conn.heard, conn.closed = partial(self.came, key), partial(self.left, key)

    def dial(self, name: str) -> None:
        self.dialled[name] = None
        self.network.dial(self.own, place_of(name), partial(self.up, name))

    def up(self, name: str, conn: Conn | None) -> None:
        if self.ended or name not in self.dialled or self.dialled[name] is not None:
            if conn:
                conn.close()
        elif conn is None:
            self.down(name)
        else:
            self.dialled[name] = conn
            conn.send(self.wire.hello(name))
            conn.heard, conn.closed = partial(self.came, name), partial(self.gone, name)
            self.spent.of(self.connected, name)

    def came(self, key: str, conn: Conn, frame: bytes) -> None:
        if not self.ended:
            self.spent.of(self.hear, key, conn, frame)

    def hear(self, key: str, conn: Conn, frame: bytes) -> None:
        if conn.greeted:
            self.message(key, conn, self.wire.decode(frame[HEAD:]))
        else:
            self.wire.heard(frame[HEAD:])
            conn.greeted = True

    def say(self, conn: Conn, message: Any) -> None:
        conn.send(self.wire.frame(self.wire.encode(message)))

    def message(self, key: str, conn: Conn, message: Any) -> None:
        raise NotImplementedError

    def connected(self, name: str) -> None:
        raise NotImplementedError

    def gone(self, name: str, conn: Conn) -> None:
        if not self.ended and self.dialled.get(name) is conn:
            self.down(name)

    def down(self, name: str) -> None:
        raise NotImplementedError

    def left(self, key: str, conn: Conn) -> None:
        if self.served.get(key) is conn:
            del self.served[key]
            self.relay.gone(key)

    # What is handed on.

    def pump(self, key: str) -> None:
        conn = self.served.get(key)
        while conn and conn.open and (out := self.relay.drain(key, ROOM)):
            for message in out:
                self.say(conn, message)

    def hand_on(self) -> None:
        for key in self.relay.due():
            self.pump(key)


def text(where: tuple[str, int]) -> str:
    return f"{where[0]}:{where[1]}"


def place_of(name: str) -> tuple[str, int]:
    host, _, port = name.rpartition(":")
    return host, int(port)


class Node(Process):
    """As `net/changes.py` joins a subscriber, a relay and what changes mean."""

    def __init__(self, way: Ordered, name: str) -> None:
        super().__init__(way, name)
        town, now = way.town, self.loop.micros()
        site = town.place(name).site
        near = [text(town.where(other)) for other in town.nodes if town.place(other).site == site]
        controls = [text(town.where(f"c{i}")) for i in range(CONTROL)]
        self.subscriber = Subscriber(now, self.me, f"s{site}", near, controls)
        self.relay = Relay(self.me, Store())
        self.apply = Apply(lambda name, version, body: "")
        self.first: dict[str, Any] = {}
        self.disorder = 0

    def step(self) -> None:
        now = self.loop.micros()
        self.send(self.subscriber.tick(now))
        self.relay.tick(now)
        self.hand_on()
        self.connect()
        self.subscriber.lines.clear()

    def send(self, said: list[tuple[str, Any]]) -> None:
        for name, message in said:
            self.asked += isinstance(message, Subscribe)
            if conn := self.dialled.get(name):
                self.say(conn, message)
            else:
                self.first[name] = message

    def connect(self) -> None:
        wanted = self.subscriber.streams()
        for name in self.dialled.keys() - wanted:
            if conn := self.dialled.pop(name):
                conn.close()
            self.first.pop(name, None)
        for name in sorted(wanted - self.dialled.keys()):
            if name in self.first:
                self.dial(name)

    def connected(self, name: str) -> None:
        if message := self.first.pop(name, None):
            self.say(self.dialled[name], message)

    def down(self, name: str) -> None:
        del self.dialled[name]
        self.first.pop(name, None)
        self.subscriber.closed(self.loop.micros(), name)

    def message(self, key: str, conn: Conn, message: Any) -> None:
        now = self.loop.micros()
        if isinstance(message, Subscribe):
            for _, answer in self.relay.hear(now, key, message):
                self.say(conn, answer)
            self.pump(key)
            return
        self.send(self.subscriber.hear(now, key, message))
        for event in self.subscriber.take():
            if self.subscriber.relays:
                self.relay.feed(now, event)
            before = self.apply.offset
            self.apply.apply(event)
            self.way.applied(self.name, before, event)
        self.relay.watermark(self.subscriber.mark, self.subscriber.beat)
        self.hand_on()


class Machine(Process):
    """As `net/control.py` joins one control machine's copy of the log and its streams."""

    def __init__(self, way: Ordered, name: str, starts: int) -> None:
        super().__init__(way, name)
        self.voters = [text(way.town.where(f"c{i}")) for i in range(CONTROL)]
        self.core = Log(self.loop.micros(), self.me, self.voters, 7 + int(name[1:]) + 100 * starts, LEASE)
        self.relay = self.core.relay

    def step(self) -> None:
        now = self.loop.micros()
        self.deliver(self.core.tick(now, WALL * 1000 + now))
        for name in self.voters:
            if name != self.me and name not in self.dialled:
                self.dial(name)
        self.core.lines.clear()

    def deliver(self, out: list[tuple[str, Any]]) -> None:
        for name, message in out:
            conn = self.dialled.get(name) if name in self.voters else self.served.get(name)
            if conn:
                self.say(conn, message)
        self.hand_on()

    def message(self, key: str, conn: Conn, message: Any) -> None:
        self.deliver(self.core.hear(self.loop.micros(), key, message))
        if isinstance(message, Subscribe):
            self.pump(key)

    def connected(self, name: str) -> None:
        """What is due is said at the next tick."""

    def down(self, name: str) -> None:
        self.dialled[name] = None
        self.loop.call_later(AGAIN_S, self.dialled.pop, name, None)


class Tool:
    """An operator's tool at one site: asks for changes until they are done, each under one id."""

    def __init__(self, way: Ordered, number: int, place: Place) -> None:
        self.way, self.own, self.network, self.loop = way, (f"10.250.{number}.1", 7000), way.town.network, way.town.loop
        self.network.put(self.own, place, lambda data: None, lambda conn: None)
        self.wire = Wire(CLUSTER, f"tool{number}", TOOL)
        self.conns: dict[int, Conn | None] = {}
        self.leader, self.number, self.known = 0, number, (0, 0)
        self.open: dict[str, bytes] = {}
        self.heard_at, self.refused = 0.0, 0

    def give(self, change: int) -> None:
        """Each id is made where the log was as far as this tool knows."""
        if not self.open:
            self.heard_at = self.loop.seconds
        value = change.to_bytes(BODY, "big", signed=True)
        self.open[f"ch{change}"] = frames.CODER.encode(kinds.Purge("key", value))
        self.ask(f"ch{change}")

    def ask(self, name: str) -> None:
        if name not in self.open:
            return
        conn, now = self.conns.get(self.leader), self.loop.seconds
        if conn and now - self.heard_at > SILENT_S:  # a machine that is gone says nothing
            conn.close()
            del self.conns[self.leader]
            self.leader, self.heard_at, conn = (self.leader + 1) % CONTROL, now, None
        if conn and conn.open:
            content, (generation, seen) = self.open[name], self.known
            conn.send(self.wire.frame(self.wire.encode(Append(name, kinds.PURGE, content, generation, seen))))
        elif self.leader not in self.conns or conn:
            self.conns[self.leader] = None
            where = self.way.town.where(f"c{self.leader}")
            self.network.dial(self.own, where, partial(self.up, self.leader))
        self.loop.call_later(AGAIN_S * 4, self.ask, name)

    def up(self, number: int, conn: Conn | None) -> None:
        if conn is None:
            self.conns.pop(number, None)
            self.leader = (self.leader + 1) % CONTROL
            return
        self.conns[number], self.heard_at = conn, self.loop.seconds
        conn.send(self.wire.hello())
        conn.heard = self.heard
        conn.closed = partial(self.closed, number)
        for name in list(self.open):
            self.ask(name)

    def closed(self, number: int, conn: Conn) -> None:
        """The machine has gone: another is asked at once, with the same ids."""
        self.conns.pop(number, None)
        if number == self.leader:
            self.leader = (self.leader + 1) % CONTROL
            for name in list(self.open):
                self.ask(name)

    def heard(self, conn: Conn, frame: bytes) -> None:
        if not conn.greeted:
            conn.greeted = True
            return
        message = self.wire.decode(frame[HEAD:])
        if not isinstance(message, Appended):
            return
        self.heard_at = self.loop.seconds
        self.known = max(self.known, (message.generation, message.seen))
        if message.how == "done":
            self.open.pop(message.id, None)
        else:
            self.refused += message.how == "refused" and message.why != "not the leader"
            where = [text(self.way.town.where(f"c{i}")) for i in range(CONTROL)]
            self.leader = where.index(message.leader) if message.leader in where else (self.leader + 1) % CONTROL
            self.loop.call_later(0.05, self.ask, message.id)


class Ordered(Way):
    """An ordered log at five control machines, handed on through two relays a site."""

    name = "log"

    def __init__(self, town: Town) -> None:
        super().__init__(town)
        self.members: dict[str, Process] = {}
        self.starts: dict[str, int] = {}
        self.places: dict[int, int] = {}  # offset of each change of the run
        self.disorder = self.states = 0
        self.tools: list[Tool] = []

    def begin(self) -> None:
        town = self.town
        self.tools = [Tool(self, i, Place.of(i)) for i in range(3)]
        for name in town.names:
            if name[0] == "c" or town.plan.event == "rebuild":
                self.start(name)

    async def ready(self) -> None:
        """The control machines are there before the nodes; with `start` they hold what ten minutes have left."""
        town = self.town
        if town.plan.event == "rebuild":
            return
        await asyncio.sleep(CONTROLS_UP)
        for i, tool in enumerate(self.tools):  # each has spoken with a control machine before
            tool.give(-1 - i)
        await asyncio.sleep(1.0)
        if town.plan.event == "start":
            for i in range(int(KEPT_S * town.plan.rate)):
                self.tools[i % 3].give(-10 - i)
                if i % OLD_PER_TICK == 0:
                    await asyncio.sleep(TICK)
            await asyncio.sleep(2.0)
        for name in town.nodes:
            self.start(name)

    def start(self, name: str) -> None:
        self.starts[name] = starts = self.starts.get(name, -1) + 1
        one = Machine(self, name, starts) if name[0] == "c" else Node(self, name)
        self.members[name] = one
        self.town.board.start(name)
        one.begin(self.town.names.index(name) * 7919 % 1000 / 1000 if self.town.plan.event != "start" else 0.0)

    def stop(self, name: str, how: str) -> None:
        if name not in self.members or self.members[name].ended:
            return
        self.members[name].stop(how)
        self.town.board.stop(name)

    def give(self, name: str, change: int) -> None:
        self.tools[self.town.place(name).region].give(change)

    def applied(self, name: str, before: int, event: Entry | State) -> None:
        board = self.town.board
        if isinstance(event, State):
            self.states += 1
            for offset, change in self.places.items():
                if before < offset <= event.offset:
                    board.has(name, change)
            return
        self.disorder += event.offset != before + 1
        if event.kind == kinds.PURGE:
            change = int(event.id[2:])
            self.places[event.offset] = change
            if change >= 0:
                board.has(name, change)

    def spent(self, name: str) -> int:
        return self.members[name].spent.ns if name in self.members else 0

    def state(self, name: str) -> int:
        """As the stores weigh what they retain."""
        return SMALL + self.members[name].relay.store.weight

    def pulls(self, name: str) -> int:
        return self.members[name].asked if name in self.members else 0

    def role(self, name: str) -> str:
        if name[0] == "c":
            return "control"
        return "relay" if self.members[name].subscriber.relays else "node"

    def writer(self) -> str:
        return next((f"c{i}" for i in range(CONTROL) if self.members[f"c{i}"].core.writer), "c0")

    def busiest(self) -> str:
        return max(
            (name for name in self.town.nodes if self.role(name) == "relay"),
            key=lambda name: (len(self.members[name].served), name),
        )

    def level(self) -> bool:
        now = self.town.loop.micros()
        last = max(self.members[f"c{i}"].core.store.committed for i in range(CONTROL))
        return last > 0 and all(
            not one.subscriber.stale(now) and one.subscriber.offset >= last
            for name, one in self.members.items()
            if name[0] != "c" and not one.ended
        )

    def figures(self) -> dict[str, float | None]:
        nodes = [one for name, one in self.members.items() if name[0] != "c" and not one.ended]
        controls = [self.members[f"c{i}"] for i in range(CONTROL)]
        now = self.town.loop.micros()
        return {
            "disorder": float(self.disorder),
            "doubled_dropped": float(sum(one.subscriber.counts["doubled"] for one in nodes)),
            "gaps": float(sum(one.subscriber.counts["gaps"] for one in nodes)),
            "states": float(self.states),
            "switches": float(sum(one.subscriber.counts["switches"] for one in nodes)),
            "relays": float(sum(one.subscriber.relays for one in nodes)),
            "stale_at_end": float(sum(one.subscriber.stale(now) for one in nodes)),
            "refused": float(sum(one.refused for one in self.tools)),
            "not_done": float(sum(len(one.open) for one in self.tools)),
            "leaders": float(sum(one.core.writer is not None and not one.ended for one in controls)),
            "subscribers_most": float(max(len(one.served) for one in controls)),
            "handed_on_most": float(max(len(one.served) for one in nodes)),
        }
