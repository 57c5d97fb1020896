"""A small fleet on a scripted clock for the cores of saltmoor/changes, and a network that does what it likes.

The ledger beside it knows nothing of what the cores think: it is told what machines hold, what clients and nodes were
given, and says which promise was broken.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any
from zlib import crc32

from saltmoor.changes import kinds
from saltmoor.changes import log as logs
from saltmoor.changes import relay as relays
from saltmoor.changes import subscriber as subscribers
from saltmoor.changes.apply import Apply, Install
from saltmoor.changes.messages import Append, Appended, Entry, State, Subscribe
from saltmoor.changes.store import Store
from saltmoor.duties.lease import Ask, Vote, Voter
from tests.helper import MS

LEASE = 1_500 * MS
START = 1_000_000 * MS
SITE = ["n0", "n1", "n2", "n3"]
CLIENT = "client"


class Broken(Exception):
    """A promise was broken; the message says which."""


class Ledger:
    """What was seen from outside."""

    def __init__(self, machines: int) -> None:
        self.machines = machines
        self.asked: dict[str, tuple[str, bytes]] = {}
        self.done: dict[str, tuple[int, int]] = {}  # id: generation and offset
        self.at: dict[tuple[int, int], tuple[str, int]] = {}  # generation and offset: id and epoch
        self.held: dict[tuple[int, int], set[str]] = {}  # offset and epoch: who has ever held it
        self.ids: dict[tuple[int, int], str] = {}  # offset and epoch: id
        self.nodes: dict[str, tuple[int, int]] = {}  # node: generation and offset
        self.had: dict[str, set[str]] = {}  # node: ids it was given in its generation
        self.generations: list[int] = []
        self.force: dict[tuple[str, str], int] = {}  # node and name: version
        self.bodies: dict[tuple[str, int], set[bytes]] = {}  # name and version: as a whole
        self.answers = self.refusals = self.applied = self.states = 0

    def holds(self, machine: str, entries: list[Entry]) -> None:
        for entry, later in zip(entries, entries[1:]):
            if later.offset != entry.offset + 1:
                raise Broken(f"{machine} holds {later.offset} behind {entry.offset}")
        for entry in entries:
            place = entry.offset, entry.epoch
            if self.ids.setdefault(place, entry.id) != entry.id:
                raise Broken(f"two entries at {place}: {self.ids[place]} and {entry.id}")
            self.held.setdefault(place, set()).add(machine)

    def same(self, generation: int, offset: int, id: str, epoch: int) -> None:
        was = self.at.setdefault((generation, offset), (id, epoch))
        if was[0] != id or epoch and was[1] and was[1] != epoch:
            raise Broken(f"two entries at offset {offset} of generation {generation}: {was} and {(id, epoch)}")

    def committed(self, generation: int, entries: list[Entry]) -> None:
        for entry in entries:
            self.same(generation, entry.offset, entry.id, entry.epoch)

    def answered(self, said: Appended) -> None:
        if said.how != "done":
            self.refusals += 1
            return
        self.answers += 1
        if said.id not in self.asked:
            raise Broken(f"{said.id} was never asked")
        if not any(
            len(who) * 2 > self.machines
            for (offset, epoch), who in self.held.items()
            if offset == said.offset and self.ids[offset, epoch] == said.id
        ):
            raise Broken(f"{said.id} acknowledged before a majority had it")
        before = self.done.setdefault(said.id, (said.generation, said.offset))
        if before[0] == said.generation and before[1] != said.offset:
            raise Broken(f"{said.id} at {before[1]} and at {said.offset}")
        self.same(said.generation, said.offset, said.id, 0)

    def given(self, node: str, event: Entry | State) -> None:
        if isinstance(event, State):
            self.states += 1
            before = self.nodes.get(node, (0, 0))
            if event.generation == before[0] and event.offset <= before[1]:
                raise Broken(f"{node} was given a state at {event.offset} behind {before[1]}")
            if event.generation not in self.generations:
                self.generations.append(event.generation)
            if event.generation != before[0]:
                self.had[node] = set()
            self.nodes[node] = event.generation, event.offset
            names = {one.name: one.version for one in (kinds.read(entry.kind, entry.content) for entry in event.state)}
            for (generation, offset), (id, _) in self.at.items():  # nothing acknowledged is missing in it
                if generation == event.generation and offset <= event.offset and id in self.asked:
                    kind, content = self.asked[id]
                    one = kinds.read(kind, content) if kind == kinds.CONFIG else None
                    if one and names.get(one.name, 0) < one.version:
                        raise Broken(f"{node}: a state at {event.offset} without {one.name} {one.version}")
            return
        self.applied += 1
        generation, offset = self.nodes.get(node, (0, 0))
        if event.offset != offset + 1 or not generation:
            raise Broken(f"{node} was given {event.offset} behind {offset}")
        self.nodes[node] = generation, event.offset
        if 2 * len(self.held.get((event.offset, event.epoch), ())) <= self.machines:
            raise Broken(f"{node} was given {event.offset} before a majority had it")
        self.same(generation, event.offset, event.id, event.epoch)
        if event.id in self.had.setdefault(node, set()):
            raise Broken(f"{node} was given {event.id} twice")
        self.had[node].add(event.id)
        if event.kind not in kinds.OWN and self.asked[event.id] != (event.kind, event.content):
            raise Broken(f"{event.id} is not what was asked")

    def installed(self, node: str, effect: Install) -> None:
        if effect.body not in self.bodies.get((effect.name, effect.version), ()):
            raise Broken(f"{node}: {effect.name} {effect.version} is not whole")

    def started(self, node: str) -> None:
        """It has lost its memory, and what it was given is nobody's any more."""
        self.nodes.pop(node, None)
        self.had.pop(node, None)


def agrees(name: str, version: int, body: bytes) -> str:
    return ""


def body(name: str, version: int) -> bytes:
    return f"{name}-{version};".encode() * 20


@dataclass
class Node:
    """One node: what follows, hands on and applies."""

    subscriber: Any
    relay: Any
    apply: Apply


class Generous(Voter):
    """Grants a lease to whoever asks, whoever has it: what the promises of the log may not rest on."""

    def hear(self, now: int, who: str, ask: Ask) -> Vote | None:
        return None if ask.step == "release" else Vote(ask.duty, ask.number, ask.step, True, 0)


@dataclass
class Parts:
    """What the fleet is made of, where a test plants a fault."""

    log: type = logs.Log
    copy: type = logs.Copy
    writer: type = logs.Writer
    subscriber: type = subscribers.Subscriber
    relay: type = relays.Relay
    voter: type = Voter


class World:
    """`sites`: nodes by site, where there is more than one; `keep` in milliseconds, `room` in bytes, of each store."""

    def __init__(
        self,
        machines: int,
        seed: int,
        parts: Parts = Parts(),
        nodes: list[str] = SITE,
        keep: int = 900_000,
        room: int = 1 << 20,
        calm: int = 4_000,
        sites: dict[str, list[str]] | None = None,
        **relay: int,
    ) -> None:
        self.rng, self.now, self.wire, self.runs, self.parts = Random(seed), START, [], 0, parts
        sites = sites or {"site": nodes}
        self.names, self.site = [f"m{i}" for i in range(machines)], [one for site in sites.values() for one in site]
        self.places = {node: (site, among) for site, among in sites.items() for node in among}
        self.keep, self.room, self.relay_given = keep * MS, room, relay
        self.machines: dict[str, logs.Log] = {}
        self.nodes: dict[str, Node] = {}
        self.asleep: dict[str, int] = {}
        self.dead: set[str] = set()
        self.ends: dict[str, tuple[int, int]] = {}  # machine: the end of its log, as last seen
        self.looked: dict[str, int] = {}  # machine: up to where it has been seen to be committed
        self.wall_off: dict[str, int] = {}
        self.cut: set[tuple[str, str]] = set()  # from, to
        self.loss = 0.0  # share of messages
        self.watched, self.peak = False, 0  # the worst age at any node, in milliseconds
        self.ledger = Ledger(machines)
        self.open: dict[str, set[str]] = {}
        self.unsure: list[Append] = []
        self.seen = (0, 0)  # generation and offset, as the client knows
        self.count = self.versions = 0
        self.said: list[Appended] = []
        for name in self.names:
            self.start(name)
        for name in self.site:
            self.start(name)
        if calm:
            self.calm(calm)
        if leader := self.leader():
            self.seen = self.machines[leader].store.generation, self.machines[leader].store.committed

    # Lives.

    def start(self, name: str) -> None:
        """Anew, without memory."""
        self.runs += 1
        if name in self.names:
            store = Store(self.keep, self.room)
            run = crc32(f"{self.runs}".encode())  # larger or smaller than that of the run before
            one = self.parts.log(
                self.now, name, self.names, run, LEASE, store, self.parts.relay(name, store, **self.relay_given)
            )
            one.copy = self.parts.copy(name, self.names, run, store)
            one.lines = one.copy.lines
            one.writer_kind = self.parts.writer
            one.voter = self.parts.voter(self.now, LEASE)
            self.machines[name], self.looked[name], self.ends[name] = one, 0, (0, 0)
        else:
            self.ledger.started(name)
            self.open[name] = set()
            self.nodes[name] = Node(
                self.parts.subscriber(self.now, name, *self.places[name], self.names),
                self.parts.relay(name, Store(self.keep, self.room), **self.relay_given),
                Apply(agrees),
            )
        self.asleep.pop(name, None)
        self.dead.discard(name)

    def kill(self, *names: str) -> None:
        """Their connections end; who asks them finds nobody."""
        for name in names:
            self.asleep[name] = 1 << 60
            self.dead.add(name)
            self.wire = [one for one in self.wire if one[1] != name]
            for node, streams in self.open.items():
                if name in streams and node not in self.dead:
                    self.nodes[node].subscriber.closed(self.now, name)

    def awake(self, name: str) -> bool:
        return self.asleep.get(name, 0) <= self.now

    # What happens.

    def send(self, source: str, messages: list[tuple[str, Any]]) -> None:
        for to, message in messages:
            if to == CLIENT:
                self.said.append(message)
                self.ledger.answered(message)
                if message.generation:
                    self.seen = message.generation, message.seen
                if message.how != "unknown":
                    self.unsure = [one for one in self.unsure if one.id != message.id or message.how == "refused"]
            elif to in self.dead:
                if source in self.nodes:
                    self.nodes[source].subscriber.closed(self.now, to)
            elif (source, to) not in self.cut and (not self.loss or self.rng.random() >= self.loss):
                self.wire.append((source, to, message))

    def tick(self, name: str) -> None:
        if not self.awake(name):
            return
        if name in self.machines:
            self.send(name, self.machines[name].tick(self.now, self.now + self.wall_off.get(name, 0)))
            self.look(name)
        else:
            node = self.nodes[name]
            self.send(name, node.subscriber.tick(self.now))
            node.relay.tick(self.now)
            self.taken(name)

    def deliver(self, place: int = 0, keep: bool = False) -> None:
        source, to, message = self.wire[place] if keep else self.wire.pop(place)
        if not self.awake(to):
            if not keep:
                self.wire.append((source, to, message))  # it waits in its socket
            return
        if isinstance(message, Subscribe) and to not in self.nodes[source].subscriber.streams():
            return  # that stream has been closed meanwhile
        if to in self.machines:
            self.send(to, self.machines[to].hear(self.now, source, message))
            self.look(to)
        elif isinstance(message, Subscribe):
            self.send(to, self.nodes[to].relay.hear(self.now, source, message))
        else:
            self.send(to, self.nodes[to].subscriber.hear(self.now, source, message))
            self.taken(to)

    def look(self, name: str) -> None:
        store = self.machines[name].store
        if (store.last, store.last_epoch) != self.ends[name]:
            since = min(self.ends[name][0], store.last) - store.base
            self.ledger.holds(name, store.entries[max(0, since - 12) :])
            self.ends[name] = store.last, store.last_epoch
        if store.committed > self.looked[name]:
            since = max(self.looked[name], store.base)
            self.ledger.committed(store.generation, store.after(since, 1 << 30, store.committed))
            self.looked[name] = store.committed

    def taken(self, name: str) -> None:
        node = self.nodes[name]
        for event in node.subscriber.take():
            self.ledger.given(name, event)
            node.relay.feed(self.now, event)
            for effect in node.apply.apply(event):
                if isinstance(effect, Install):
                    self.ledger.installed(name, effect)
        node.relay.watermark(node.subscriber.mark, node.subscriber.beat)
        streams = node.subscriber.streams()
        for gone in self.open[name] - streams:
            (self.machines.get(gone) or self.nodes[gone]).relay.gone(name)
        self.open[name] = streams

    def serve(self, name: str, room: int = 1 << 20) -> int:
        """What that one's streams have room for; how many bytes of entries that were."""
        if not self.awake(name):
            return 0
        relay, size = (self.machines.get(name) or self.nodes[name]).relay, 0
        for who in relay.due():
            if who in self.nodes and self.awake(who):
                for message in relay.drain(who, room):
                    entries = message.state if isinstance(message, State) else message.entries
                    size += sum(entry.weight for entry in entries)
                    self.send(name, [(who, message)])
        return size

    def append(self, to: str, kind: str = kinds.PURGE, content: bytes | None = None, id: str = "") -> Append | None:
        """A client's change, put to that machine."""
        if not self.awake(to):
            return None
        self.count += 1
        if content is None:
            content = kinds.encode(kinds.Purge("key", b"k%d" % (self.count % 5)))
        ask = Append(id or f"id{self.count}", kind, content, *self.seen, LEASE)
        self.ledger.asked.setdefault(ask.id, (kind, content))
        with contextlib.suppress(kinds.Unfit):
            one = kinds.read(kind, content) if kind == kinds.CONFIG else None
            if one:
                self.ledger.bodies.setdefault((one.name, one.version), set()).add(one.body)
        self.unsure.append(ask)
        self.again(to, ask)
        return ask

    def configure(self, to: str, name: str = "table") -> Append | None:
        before = next((one.store.version(name) for one in self.machines.values() if one.writer), 0)
        self.versions = max(self.versions, before) + 1
        one = kinds.Config(name, self.versions, before, body(name, self.versions))
        return self.append(to, kinds.CONFIG, kinds.encode(one))

    def again(self, to: str, ask: Append) -> None:
        if self.awake(to):
            self.send(to, self.machines[to].hear(self.now, CLIENT, ask))
            self.look(to)

    def leader(self) -> str:
        return next((name for name, one in self.machines.items() if self.awake(name) and one.writer), "")

    def ready(self) -> bool:
        """Somebody writes."""
        return bool(leader := self.leader()) and self.machines[leader].writer.ready()

    def settle(self) -> None:
        """All that is on its way arrives, in order, to whoever is awake."""
        place = 0
        for _ in range(50_000):
            if place >= len(self.wire):
                return
            if self.awake(self.wire[place][1]):
                self.deliver(place)
            else:
                place += 1
        raise AssertionError("it never ends")

    def only(self, *forms: type, among: str = "") -> None:
        """Messages of these forms alone arrive, and what they bring about; `among`: between these, all others lost."""
        names = among.split()
        for _ in range(1_000):
            place = next(
                (
                    i
                    for i, (source, to, message) in enumerate(self.wire)
                    if isinstance(message, forms or object) and (not names or source in names and to in names)
                ),
                None,
            )
            if place is None:
                return
            self.deliver(place)
        raise AssertionError("it never ends")

    def campaign(self, name: str, fenced: str) -> None:
        """It gets a lease, whoever has it, and asks for promises; only these machines hear that, no answer comes yet."""
        for one in self.machines.values():
            one.voter = Generous(self.now, LEASE)
        one = self.machines[name]
        one.claim.holder = "", 0
        epoch, self.wire = one.epoch, []
        for _ in range(100):
            self.now += 100 * MS
            self.tick(name)
            self.only(Ask, Vote)
            if one.epoch != epoch:
                break
            self.wire = []
        self.wire = [one for one in self.wire if one[1] in fenced.split()]
        for _ in range(len(self.wire)):
            self.deliver()

    def calm(self, ms: int, step: int = 50) -> None:
        """Nothing goes wrong for so long, beside who is asleep and what is cut."""
        end = self.now + ms * MS
        while self.now < end:
            self.now += step * MS
            for name in (*self.names, *self.site):
                self.tick(name)
            self.settle()
            for name in (*self.names, *self.site):
                self.serve(name)
            self.settle()
            if self.watched:
                self.peak = max(self.peak, self.worst())

    def nap(self, writer: str) -> None:
        """The writer is stopped until another writes, and goes on where it was: with a change that it was given."""
        self.asleep[writer] = self.now + 4_000 * MS
        self.calm(3_900)
        self.append(self.leader() or writer)
        self.now += 100 * MS
        self.append(writer)
        self.settle()

    def heal(self) -> None:
        for one in self.machines.values():
            if isinstance(one.voter, Generous):
                one.voter = Voter(self.now - 2 * LEASE, LEASE)
        self.asleep.clear()
        self.cut.clear()
        self.loss = 0.0
        for _ in range(50):
            self.calm(500)
            if self.together():
                return

    def until(self, true: Callable[[], bool], most: int = 30_000, step: int = 50) -> int:
        """Milliseconds of calm until that is so; an `AssertionError` after the most."""
        begun = self.now
        while not true():
            if self.now - begun > most * MS:
                raise AssertionError(f"not within {most} ms")
            self.calm(step, step)
        return (self.now - begun) // MS

    def all_have(self, offset: int) -> bool:
        return all(one.subscriber.offset >= offset for name, one in self.nodes.items() if self.awake(name))

    def purge(self, to: str = "") -> Appended:
        """A change put to the leader, and its answer."""
        for _ in range(2):
            ask = self.append(to or self.leader())
            self.until(lambda: self.said and self.said[-1].id == ask.id, 5_000)
            if self.said[-1].why != "too old to be known":
                break  # else the log is another than the client knew: it makes a new id
        return self.said[-1]

    def worst(self) -> int:
        """Milliseconds that the node knows the least by that is awake."""
        return max(one.subscriber.lag(self.now) // MS for name, one in self.nodes.items() if self.awake(name))

    def together(self) -> bool:
        """Everybody at the end of one log, and fresh; no machine without its memory."""
        leader = self.leader()
        if not leader:
            return False
        store = self.machines[leader].store
        if any(one.copy.blank for name, one in self.machines.items() if self.awake(name)):
            return False
        return all(
            (one.subscriber.generation, one.subscriber.offset) == (store.generation, store.committed)
            and not one.subscriber.stale(self.now)
            for one in self.nodes.values()
        )

    # A walk: mostly what happens on a calm network, with everything that may go wrong in between.

    def drawn(self, steps: int, gentle: bool) -> None:
        """`gentle`: no machine loses its memory where then too few would have one; else whatever comes."""
        for _ in range(steps):
            self.event(self.rng.random(), gentle)

    def event(self, event: float, gentle: bool) -> None:
        rng = self.rng
        name = rng.choice(self.names)
        if event < 0.15 and self.wire:
            self.deliver(rng.randrange(len(self.wire)))
        elif event < 0.36 and self.wire:
            for _ in range(min(len(self.wire), rng.choice((2, 5, 15)))):
                self.deliver()
        elif event < 0.42 and self.wire:
            del self.wire[rng.randrange(len(self.wire))]
        elif event < 0.45 and self.wire:
            self.deliver(rng.randrange(len(self.wire)), keep=True)
        elif event < 0.55:
            self.now += rng.choice((10, 50, 50, 250)) * MS
            self.tick(rng.choice((*self.names, *self.site)))
        elif event < 0.65:
            self.calm(rng.choice((50, 50, 100, 300)))
        elif event < 0.74:
            self.append(self.leader() or name) if rng.random() < 0.8 else self.append(name)
        elif event < 0.77:
            self.configure(self.leader() or name)
        elif event < 0.79 and self.unsure:
            self.again(self.leader() or name, rng.choice(self.unsure))
        elif event < 0.84:
            self.serve(rng.choice((*self.names, *self.site)))
        elif event < 0.87:
            who = rng.choice((name, self.leader() or name, rng.choice(self.site)))
            self.asleep[who] = self.now + rng.choice((100, 700, 2_000, 3_000)) * MS
        elif event < 0.90:
            blank = sum(one.copy.blank for other, one in self.machines.items() if other != name)
            if not gentle or 2 * (blank + 1) < len(self.names):
                self.start(name)
        elif event < 0.91:
            self.start(rng.choice(self.site))
        elif event < 0.93:
            self.cut |= {(name, one) for one in rng.sample(self.names, len(self.names) // 2)}
        elif event < 0.95:
            self.cut.clear()
        elif event < 0.955:
            self.wall_off[name] = rng.choice((0, 3_600_000 * MS, -3_600_000 * MS))
        elif event < 0.965:
            self.calm(2_000)
        elif event < 0.975 and (writer := self.leader()):
            self.nap(writer)
        else:
            self.now += rng.choice((100, 400, 1_700)) * MS
