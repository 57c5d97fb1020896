"""The log of changes, without I/O: promises over orders of events drawn and exhaustive with planted faults found, hard
cases as scripts, frames of strangers."""

from __future__ import annotations

import pickle
import unittest
from random import Random
from zlib import crc32

import msgspec

from saltmoor.changes import kinds, messages
from saltmoor.changes.apply import Apply, Install, Rejected, Void, VoidAll
from saltmoor.changes.copy import Copy
from saltmoor.changes.log import Log
from saltmoor.changes.messages import Append, Appended, Batch, Entry, Held, Refuse, Replicate, State, Subscribe
from saltmoor.changes.relay import Relay
from saltmoor.changes.store import Store
from saltmoor.changes.subscriber import Subscriber
from saltmoor.changes.writer import Writer
from saltmoor.duties.lease import Voter
from saltmoor.peers.frames import Speaker, Strange
from tests.changes_world import LEASE, START, Broken, Generous, Parts, World
from tests.helper import MS, Notes, TraceCase

# Planted faults.


class Early(Writer):
    """Planted: it acknowledges what it holds alone."""

    __slots__ = ()

    def majority_of(self, mine, theirs):
        return mine


class AnyEpoch(Writer):
    """Planted: it counts copies of entries of an older epoch."""

    __slots__ = ()

    def advance(self, now):
        held = self.majority_of(self.copy.store.last, [one.match for one in self.others.values() if not one.blank])
        self.copy.store.commit(held)
        return super().advance(now)


class Unfenced(Copy):
    """Planted: it follows whoever writes, by whatever number."""

    __slots__ = ()

    def admit(self, now, epoch, who, life):
        if not super().admit(now, epoch, who, life):
            self.promised, self.leader = epoch, (who, life % (1 << 30))
        return True


class Forgetful(Copy):
    """Planted: without a memory it counts as one that has nothing, not as one that does not know."""

    __slots__ = ()

    def __post_init__(self):
        super().__post_init__()
        self.blank = False


class Deaf(Copy):
    """Planted: it does not ask what the others have promised, before it is filled."""

    __slots__ = ()

    def least(self):
        return 0


class Skipping(Subscriber):
    """Planted: a gap is passed over."""

    def batch(self, now, who, message):
        if message.generation == self.generation and message.entries and message.entries[0].offset > self.offset:
            self.offset = message.entries[0].offset - 1
        return super().batch(now, who, message)


class Doubling(Subscriber):
    """Planted: what comes twice is taken twice."""

    def batch(self, now, who, message):
        if message.generation == self.generation and message.entries and message.entries[0].offset <= self.offset:
            self.taken += message.entries[:1]
        return super().batch(now, who, message)


class Flighty(Subscriber):
    """Planted: it takes a state of whatever generation, also of one that is over, and of before."""

    def take_state(self, message):
        self.taken.append(message)
        self.generation, self.offset = message.generation, message.offset


class Hasty(Relay):
    """Planted: it hands on what its store has, committed or not."""

    def drain(self, who, room):
        store, cursor = self.store, self.cursors.get(who)
        if cursor and cursor.generation == store.generation and store.base <= cursor.offset < store.last:
            entries = store.after(cursor.offset, room, store.last)
            cursor.offset = entries[-1].offset
            return [Batch(store.generation, entries, cursor.offset, self.beat)]
        return super().drain(who, room)

    def wants(self, cursor):
        ahead = cursor.offset < self.store.last
        return super().wants(cursor) or 0 < self.store.generation == cursor.generation and ahead


class Credulous(Log):
    """Planted: it counts answers that were given before their giver lost its memory."""

    def valid(self):
        return dict(self.answers)


PLANTED = [
    (Parts(writer=Early), 3, True),
    (Parts(copy=Unfenced, voter=Generous), 3, True),
    (Parts(copy=Forgetful), 3, True),
    (Parts(subscriber=Skipping), 3, True),
    (Parts(subscriber=Doubling), 3, True),
    (Parts(subscriber=Flighty), 3, False),
    (Parts(relay=Hasty), 3, True),
]


def others(world: World) -> list[str]:
    """The leader, then the others."""
    leader = world.leader()
    return [leader, *(name for name in world.names if name != leader)]


def unaware(world: World, old: str) -> None:
    """Its clock has stood still: it holds itself to be the leader of its lease, with a majority."""
    one = world.machines[old]
    one.claim.until = one.claim.next = world.now + LEASE
    if one.writer:
        one.writer.confirmed_at = world.now


def lost_promise(parts: Parts) -> World:
    """A voter promises, restarts, and is filled by the leader of before; then the promise arrives."""
    world = World(3, 1, parts, nodes=[])
    old, voter, new = others(world)
    world.campaign(new, voter)
    promise, world.wire = world.wire, []
    world.start(voter)
    for _ in range(12):
        world.now += 100 * MS
        world.tick(voter)
        unaware(world, old)
        world.tick(old)
        world.only(among=f"{old} {voter}")
        world.wire = []
    unaware(world, old)
    world.append(old)
    world.only(among=f"{old} {voter}")
    world.wire = promise
    world.settle()
    return world


def two_memories(parts: Parts) -> World:
    """Of five: one promises, restarts and is whole again by those who know nothing of it; another promises then."""
    world = World(5, 1, parts, nodes=[])
    old, first, second, third, new = others(world)
    world.campaign(new, first)
    early, world.wire = world.wire, []
    world.start(first)
    for _ in range(12):
        world.now += 100 * MS
        unaware(world, old)
        unaware(world, first)  # and does not want to lead
        for name in (first, old):
            world.tick(name)
        world.only(among=f"{old} {first} {second} {third}")
        world.wire = []
    fence = world.machines[new].ask(world.now)
    world.wire = [(new, third, message) for to, message in fence if to == third]
    world.deliver()
    late, world.wire = world.wire, []
    unaware(world, old)
    world.append(old)
    world.only(among=f"{old} {first} {second}")
    world.wire = early + late
    world.settle()
    return world


def figure_eight(parts: Parts) -> World:
    """Entries of an old epoch on a majority, without one of the present epoch: another leader may still replace them."""
    world = World(5, 1, parts, nodes=[])
    one, two, three, four, five = others(world)
    for _ in range(5):
        world.append(one, "later", bytes(60_000))
    world.only(among=f"{one} {two}")
    world.campaign(five, f"{three} {four}")
    world.only(Held)  # it leads, and nobody hears of it
    world.campaign(one, f"{two} {three}")
    world.only(Held)
    world.only(among=f"{one} {two}")
    while world.machines[three].store.last < 4:  # and sends a part of what it has to the third
        place = next(i for i, it in enumerate(world.wire) if it[:2] in ((one, three), (three, one)))
        world.deliver(place)
    while any(it[:2] == (three, one) for it in world.wire):
        world.deliver(next(i for i, it in enumerate(world.wire) if it[:2] == (three, one)))
    world.campaign(five, f"{three} {four}")
    world.only(Held)
    world.settle()
    return world


class Walks(TraceCase):
    def test_no_promise_is_broken_and_all_come_together_after(self):
        lines = []
        for machines, gentle, walks, lease in (
            (3, True, 8, Voter),
            (3, False, 8, Voter),
            (5, True, 5, Voter),
            (5, False, 5, Voter),
            (3, True, 2, Generous),
        ):
            done = applied = states = generations = 0
            for seed in range(walks):
                world = World(machines, seed, Parts(voter=lease))
                world.drawn(300, gentle)
                world.heal()
                ledger = world.ledger
                self.assertTrue(world.together(), f"seed {seed} of {machines}")
                self.assertFalse(sum(one.counts["broken"] for one in world.machines.values()), f"seed {seed}")
                if gentle:  # never a majority without memory: never another generation, so nothing is ever lost
                    self.assertEqual(len(ledger.generations), 1, f"seed {seed}")
                done, applied = done + len(ledger.done), applied + ledger.applied
                states, generations = states + ledger.states, generations + len(ledger.generations)
            lines.append(
                f"{machines} machines, {'gentle' if gentle else 'wild'}, {lease.__name__}: {walks} walks of 300 "
                f"events, {done} acknowledged, {applied} applied, {states} states, {generations} generations"
            )
        self.check("changes-walks", noted(lines))

    def test_each_planted_fault_is_found(self):
        lines = []
        for parts, machines, gentle in PLANTED:
            name = next(one.__name__ for one in vars(parts).values() if one.__module__ == __name__)
            whys = ((seed, walked(parts, seed, machines, gentle)) for seed in range(12))
            found = next((f"in walk {seed + 1}: {why}" for seed, why in whys if why), None)
            lines.append(f"{name}: {found}")
        for play, parts in (
            (lost_promise, Parts(copy=Deaf)),
            (two_memories, Parts(log=Credulous)),
            (figure_eight, Parts(writer=AnyEpoch)),
        ):
            name = next(one.__name__ for one in vars(parts).values() if one.__module__ == __name__)
            self.assertIsNone(played(play, Parts()), play.__name__)
            lines.append(f"{name}: by {play.__name__}: {played(play, parts)}")
        self.assertFalse([line for line in lines if line.endswith("None")], lines)
        self.check("changes-planted", noted(lines))


def noted(lines: list[str]) -> Notes:
    notes = Notes()
    notes.lines = lines
    return notes


def walked(parts: Parts, seed: int, machines: int, gentle: bool) -> str:
    """Which promise was broken in that walk; empty: none."""
    try:
        world = World(machines, seed, parts)
        world.drawn(300, gentle)
        if gentle and len(world.ledger.generations) > 1:
            return "another generation"
        if sum(one.counts["broken"] for one in world.machines.values()):
            return "what is committed would change"
    except Broken as error:
        return str(error)
    return ""


def played(play, parts: Parts) -> str | None:
    try:
        world = play(parts)
        if sum(one.counts["broken"] for one in world.machines.values()):
            return "what is committed would change"
    except Broken as error:
        return str(error)
    return None


class Orders(TraceCase):
    def test_all_orders_of_a_few_events(self):
        """Three machines, a relay and a node behind it, a change on its way: every order of what may happen first."""
        events = (
            "first",
            "last",
            "lose",
            "double",
            "tick m0",
            "tick m1",
            "later",
            "append m0",
            "kill m1",
            "forget m2",
            "serve",
            "wake",
        )
        begun = World(3, 1, nodes=["n0", "n1", "n2"])
        begun.append(begun.leader())
        frozen = pickle.dumps(begun)
        names = {"m0": begun.leader(), **dict(zip(("m1", "m2"), others(begun)[1:]))}
        states: set[int] = set()

        def play(path: tuple[str, ...]) -> World | None:
            world = pickle.loads(frozen)
            for event in path:
                what, _, name = event.partition(" ")
                name = names.get(name, "")
                match what:
                    case "first" if world.wire:
                        world.deliver(0)
                    case "last" if world.wire:
                        world.deliver(len(world.wire) - 1)
                    case "lose" if world.wire:
                        del world.wire[0]
                    case "double" if world.wire:
                        world.deliver(0, keep=True)
                    case "tick":
                        world.now += 50 * MS
                        world.tick(name)
                    case "later":
                        world.now += 300 * MS
                        for one in (*world.names, *world.site):
                            world.tick(one)
                    case "append":
                        world.append(name)
                    case "kill":
                        world.asleep[name] = world.now + 10 * LEASE
                    case "wake":
                        world.asleep.clear()
                    case "forget":
                        world.start(name)
                    case "serve":
                        for one in (*world.names, *world.site):
                            world.serve(one)
                    case _:
                        return None
            return world

        edge: list[tuple[str, ...]] = [()]
        for depth in range(5):
            beyond = []
            for path in edge:
                for event in events:
                    world = play((*path, event))
                    if world is None:
                        continue
                    self.assertFalse(sum(one.counts["broken"] for one in world.machines.values()), path)
                    mark = crc32(repr(image(world)).encode())
                    if mark not in states:
                        states.add(mark)
                        beyond.append((*path, event))
            edge = beyond if depth < 2 else beyond[:: max(1, len(beyond) // 60)]
        for path in edge[::10]:  # and whatever came first, all come together
            world = play(path)
            world.heal()
            self.assertTrue(world.together(), path)
        self.assertGreater(len(states), 1_500)
        self.check("changes-orders", noted([f"{len(states)} states, no promise broken"]))


def image(world: World) -> tuple:
    return (
        world.now,
        world.wire,
        world.asleep,
        [(one.state, one.copy, one.answers, one.writer) for one in world.machines.values()],
        [
            (one.subscriber.offset, one.subscriber.state, one.subscriber.upstream, one.relay.cursors)
            for one in world.nodes.values()
        ],
    )


def hubs(world: World) -> tuple[list[str], list[str]]:
    """The site's relays, and its other nodes."""
    hub = [name for name, one in world.nodes.items() if one.subscriber.relays]
    return hub, [name for name in world.site if name not in hub]


class Relays(TraceCase):
    """What happens to relays and nodes; times are of the scripted clock, in steps of 50 ms."""

    def test_a_relay_is_killed_or_stopped_or_both_are_gone(self):
        lines = []
        for what in ("killed", "stopped 3 s", "both killed", "both stopped 3 s"):
            world = World(3, 1)
            hub, rest = hubs(world)
            world.calm(40_000, 250)  # all are at their own relays
            self.assertEqual({world.nodes[name].subscriber.place for name in rest}, {0}, what)
            gone = hub if "both" in what else [world.nodes[rest[0]].subscriber.upstream]
            if "killed" in what:
                world.kill(*gone)
            else:
                world.asleep |= dict.fromkeys(gone, world.now + 3000 * MS)
            world.watched = True
            done = world.purge()
            took = world.until(lambda: world.all_have(done.offset), 3_000)
            world.calm(4_000)
            world.watched = False
            self.assertLess(took, 1_000 if "both" not in what else 2_000, what)
            for name in gone:
                if name in world.dead:
                    world.start(name)
            world.heal()
            self.assertTrue(world.together(), what)
            world.calm(40_000, 250)  # and all are at their own relays again
            self.assertEqual({world.nodes[name].subscriber.place for name in rest}, {0}, what)
            lines.append(f"{what}: a purge meanwhile at all others after {took} ms more, worst age {world.peak} ms")
        self.check("changes-relays", noted(lines))

    def test_a_slow_reader_costs_its_cursor_alone(self):
        store = Store()
        relay = Relay("r", store)
        self.assertEqual(relay.due(), [])
        fill(store, START, 2_000, 1_000)
        for name in ("slow", "quick"):
            relay.hear(START, name, Subscribe(1, 1, name))
        relay.watermark(store.committed, 1)
        seen = 1
        for now in range(START, START + 500 * MS, 50 * MS):
            relay.tick(now)
            for message in relay.drain("quick", 512 << 10):
                self.assertLessEqual(sum(one.weight for one in message.entries), 256 << 10)
                seen = message.entries[-1].offset if message.entries else seen
        self.assertEqual((seen, relay.cursors["slow"].offset), (2_000, 1))
        self.assertEqual(relay.drain("slow", 0), [])

    def test_who_is_away_for_longer_than_is_kept_takes_a_state_and_holds_nothing_for_fresh(self):
        world = World(3, 1, keep=2_000)
        hub, rest = hubs(world)
        world.configure(world.leader())
        away = rest[0]
        world.calm(500)
        node = world.nodes[away]
        world.asleep[away] = world.now + 20_000 * MS
        for _ in range(50):
            world.append(world.leader())
            world.calm(100)
        world.configure(world.leader())
        world.calm(10_000)
        self.assertGreater(world.machines[world.leader()].store.base, node.subscriber.offset)
        world.wire = [one for one in world.wire if one[1] != away]  # its socket was closed
        states, world.asleep[away] = world.ledger.states, 0
        took = world.until(world.together, 4_000)
        self.assertEqual(world.ledger.states, states + 1)
        self.assertEqual(node.apply.force, {"table": 2})
        self.check("changes-away", noted([f"caught up by a state after {took} ms"]))

    def test_what_goes_back_or_is_of_a_generation_that_is_over_changes_nothing(self):
        sub = Subscriber(START, "n9", "s", ["n9"], ["a", "b", "c"])
        ((who, _),) = sub.tick(START)
        sub.hear(START, who, State(7, 10, 7, []))
        sub.hear(START, who, Batch(7, [entry(11, 7), entry(12, 7)], 12, 5))
        self.assertEqual(len(sub.take()), 3)
        for message in (
            Batch(7, [entry(9, 7), entry(10, 7)], 10, 4),
            State(7, 11, 7, []),
            Batch(7, [entry(12, 7)], 12, 5),
            State(6, 90, 6, []),
            Batch(6, [entry(13, 6)], 13, 99),
            State(6, 90, 6, []),
            State(9, 90, 9, []),
        ):
            sub.hear(START + MS, who, message)
            self.assertEqual((sub.take(), sub.offset, sub.generation, sub.beat, sub.lag(START)), ([], 12, 7, 5, 0))
        # A living one, though its number be smaller, is asked for its state, and that is taken.
        asked = sub.hear(START + 300 * MS, who, Batch(6, [], 13, 100))
        self.assertEqual(asked, [(who, Subscribe(7, 12, "n9", "s"))])
        sub.hear(START + 601 * MS, who, State(6, 13, 6, []))
        self.assertEqual((sub.generation, sub.offset, len(sub.take())), (6, 13, 1))

    def test_a_gap_is_asked_for_by_range_at_a_bounded_rate(self):
        sub = Subscriber(START, "n9", "s", ["n9"], ["a"])
        sub.tick(START)
        sub.hear(START, "a", State(7, 10, 7, []))
        asked = []
        for i in range(20):
            asked += sub.hear(START + 101 * MS + i * 10 * MS, "a", Batch(7, [entry(13 + i, 7)], 13 + i, 1))
        self.assertEqual(asked, [("a", Subscribe(7, 10, "n9", "s"))] * 2)
        self.assertEqual([type(one) for one in sub.take()], [State])
        self.assertGreater(sub.lag(START + 400 * MS), 1_000 * MS)  # it has heard a beat, and has not all for it

    def test_without_anybody_all_ask_at_a_bounded_rate(self):
        subs = [
            Subscriber(START, f"n{i}", f"s{i // 16}", [f"n{i // 16 * 16 + k}" for k in range(16)], list("abcde"))
            for i in range(480)
        ]
        asks = [0] * 31
        for step in range(30 * 20):
            now = START + step * 50 * MS
            for sub in subs:
                asks[step // 20] += sum(to in "abcde" for to, _ in sub.tick(now))
        self.check(
            "changes-nobody",
            noted(
                [
                    f"480 nodes, nobody answers: asks at the control machines in the 1st s"
                    f" {asks[0]}, most in a second {max(asks)}, "
                    f"of the last ten {sum(asks[20:30])}"
                ]
            ),
        )
        self.assertLessEqual(max(asks), 480)  # the first round: one of each in a second, at five machines
        self.assertLess(max(asks[10:]), 120)

    def test_all_480_start_in_one_instant(self):
        lines = []
        for what, size in (("31 sites", 16), ("no relays", 1)):
            sites = {f"s{i}": [f"s{i}n{k}" for k in range(size)] for i in range(480 // size if size > 1 else 480)}
            world = World(5, 1, nodes=[], catch_up=4 << 20)
            for i in range(4):
                one = kinds.Config(f"c{i}", 1, 0, bytes(60_000))
                world.append(world.leader(), kinds.CONFIG, kinds.encode(one))
                world.calm(100)
            world.places = {node: (site, among) for site, among in sites.items() for node in among}
            world.site = list(world.places)
            for node in world.site:
                world.start(node)
            most = dict.fromkeys(world.names, 0)
            begun, sent = world.now, []
            while not world.together() and world.now - begun < 60_000 * MS:
                world.now += 50 * MS
                for name in (*world.names, *world.site):
                    world.tick(name)
                world.settle()
                for name in (*world.names, *world.site):
                    size_now = world.serve(name)
                    if name in most:
                        most[name] = max(most[name], size_now)
                sent.append(max(len(world.machines[name].relay.cursors) for name in world.names))
                world.settle()
            took = (world.now - begun) // MS
            self.assertTrue(world.together(), what)
            lines.append(
                f"{what}: all 480 have a state of 240 kB and are fresh after {took} ms; a control machine had "
                f"at most {max(sent)} subscribers, and sent at most {max(most.values()) // 1000} kB in 50 ms"
            )
            # An eighth of its second at once, what it gains in a step, and one state that began inside of it.
            self.assertLess(max(most.values()), (4 << 20) * (1 / 8 + 0.05) + 300_000)
        self.check("changes-instant", noted(lines))


def entry(offset: int, epoch: int = 1, kind: str = "later", content: bytes = b"x") -> Entry:
    return Entry(offset, epoch, f"id{offset}", kind, content)


def fill(store: Store, now: int, count: int, size: int = 1) -> None:
    for offset in range(store.last + 1, store.last + count + 1):
        one = Entry(offset, 1, "g", "generation", b"") if offset == 1 else entry(offset, 1, content=bytes(size))
        store.append(now, one)
    store.commit(store.last)


class Machines(TraceCase):
    """What happens to control machines; times are of the scripted clock, in steps of 50 ms."""

    def test_the_writer_is_killed_between_append_and_acknowledgement(self):
        lines = []
        for what in ("before anybody has it", "when one other has it"):
            world = World(3, 1)
            leader, one, _ = others(world)
            ask = world.append(leader)
            if "other" in what:
                world.only(Replicate, among=f"{leader} {one}")
            world.kill(leader)
            took = world.until(world.leader, 10_000)
            self.assertEqual(world.ledger.answers, 0)
            world.until(world.ready)
            world.again(world.leader(), ask)  # the same id, through the next leader
            world.until(lambda: world.ledger.answers == 1)
            first = world.said[-1]
            world.again(world.leader(), ask)
            world.until(lambda: world.ledger.answers == 2)
            self.assertEqual(world.said[-1].offset, first.offset)
            world.start(leader)
            world.heal()
            self.assertTrue(world.together())
            self.assertEqual({one.apply.purged for one in world.nodes.values()}, {1}, what)
            lines.append(f"killed {what}: another writes after {took} ms, the change is in once")
        self.check("changes-killed", noted(lines))

    def test_without_a_writer_for_a_while_nodes_stay_with_their_relays(self):
        world = World(5, 1)
        hub, rest = hubs(world)
        world.calm(40_000, 250)
        before = {name: dict(world.nodes[name].subscriber.counts) for name in rest}
        world.kill(world.leader())
        world.watched = True
        took = world.until(world.together, 5_000)
        world.calm(1_000)
        self.assertEqual(
            {name: dict(world.nodes[name].subscriber.counts) for name in rest},
            {name: {**counts, "entries": counts["entries"] + 1} for name, counts in before.items()},
        )
        self.check(
            "changes-writer",
            noted(
                [
                    f"the writer killed: all fresh under another after {took} ms, worst age "
                    f"{world.peak} ms; no node left its relay"
                ]
            ),
        )

    def test_two_of_five_are_gone_then_three_and_they_come_back(self):
        world = World(5, 1)
        leader, *rest = others(world)
        world.kill(*rest[:2])
        self.assertEqual(world.purge().how, "done")
        world.kill(rest[2])
        world.calm(1_200)
        world.said.clear()
        world.append(leader)
        self.assertEqual([(one.how, one.why) for one in world.said], [("refused", "no leader")])  # at once
        world.calm(5_000)
        self.assertGreater(world.worst(), 4_000)
        self.assertEqual({one.subscriber.mode for one in world.nodes.values()}, {"stale"})
        world.said.clear()
        for name in (leader, rest[3]):
            world.append(name)
        self.assertEqual({one.how for one in world.said}, {"refused"})
        # They come back without a memory: three of five. Nothing is written until all five answer.
        for name in rest[:2]:
            world.start(name)
        world.calm(10_000)
        self.assertEqual(len(world.ledger.generations), 1)
        self.assertFalse([one for one in world.machines.values() if one.writer])
        world.start(rest[2])
        world.heal()
        self.assertTrue(world.together())
        self.assertEqual(len(world.ledger.generations), 2)
        self.assertEqual({one.apply.purged for one in world.nodes.values()}, {1})  # the best copy left had it
        self.assertEqual(world.purge().how, "done")

    def test_a_rolling_restart_of_all_loses_nothing_and_knows_the_ids(self):
        world = World(5, 1)
        asks = [world.append(world.leader()) for _ in range(5)]
        world.configure(world.leader())
        world.calm(500)
        answers = {one.id: one.offset for one in world.said}
        lines = []
        for name in world.names:
            led = " that wrote" if name == world.leader() else ""
            world.start(name)
            took = world.until(lambda: not world.machines[name].copy.blank and world.ready())
            lines.append(f"a machine{led} is whole again, and somebody writes, after {took} ms")
            world.calm(1_000)
        world.said.clear()
        for ask in asks:
            world.again(world.leader(), ask)
        world.calm(500)
        self.assertEqual([(one.how, one.offset) for one in world.said], [("done", answers[ask.id]) for ask in asks])
        self.assertEqual(len(world.ledger.generations), 1)
        self.assertTrue(world.together())
        self.check("changes-rolling", noted(lines))

    def test_a_machine_is_filled_in_whichever_life_it_is(self):
        """Guards against a leader that holds to the life that it first heard of: the machine may have taken a later."""
        world = World(5, 1)
        name = world.leader()
        before = world.machines[name].copy.life
        world.kill(name)
        world.until(world.ready)
        while world.awake(name) is False or world.machines[name].copy.life > before:
            world.start(name)  # until its run is the smaller one
        world.now += 250 * MS
        world.tick(world.leader())
        world.only(Replicate, messages.Replicated)  # the leader hears of that life, which is over at once
        world.until(lambda: not world.machines[name].copy.blank, 3_000)
        self.assertGreater(world.machines[name].copy.life >> 30, 1)
        world.until(world.together, 3_000)

    def test_a_machine_takes_a_life_above_one_that_only_its_leader_has_heard_of(self):
        world = World(3, 1)
        leader, name, _ = others(world)
        late = world.machines[name].copy.life + (5 << 30)
        world.machines[leader].hear(
            world.now, name, messages.Replicated(False, world.machines[leader].epoch, True, late, 0, 0)
        )
        world.start(name)
        world.until(world.together, 3_000)
        self.assertGreater(world.machines[name].copy.life, late)

    def test_a_writer_that_slept_appends_nothing(self):
        world = World(3, 1)
        leader = world.leader()
        world.asleep[leader] = world.now + 6_000 * MS
        world.calm(5_900)
        self.assertTrue(world.leader())
        end = world.machines[world.leader()].store.last
        world.now += 100 * MS
        old = world.machines[leader]
        unaware(world, leader)  # it has not even looked at the time
        world.said.clear()
        world.append(leader)
        world.settle()
        self.assertEqual([one.how for one in world.said], ["unknown"])
        self.assertIsNone(old.writer)
        self.assertEqual(world.machines[world.leader()].store.last, end)
        world.heal()
        self.assertTrue(world.together())
        self.assertNotIn(world.said[0].id, old.store.ids)

    def test_a_region_is_cut_off_for_ten_minutes_and_healed(self):
        """Two of five machines and a site: it refuses at once, goes on stale, and has all by range after."""
        world = World(5, 1, sites={"here": ["h0", "h1", "h2"], "there": ["t0", "t1", "t2"]})
        leader, *rest = others(world)
        far = rest[:2]
        here, there = [leader, *rest[2:], "h0", "h1", "h2"], [*far, "t0", "t1", "t2"]
        world.cut = {pair for one in here for other in there for pair in ((one, other), (other, one))}
        world.calm(3_000)
        world.said.clear()
        for name in far:
            world.append(name)
        self.assertEqual([one.how for one in world.said], ["refused", "refused"])
        states = world.ledger.states
        for _ in range(600):
            world.append(world.leader())
            world.calm(1_000, 500)
        self.assertEqual(
            {name: one.subscriber.mode for name, one in world.nodes.items()},
            {name: "fresh" if name in here else "stale" for name in world.nodes},
        )
        behind = world.machines[leader].store.last - world.nodes["t0"].subscriber.offset
        world.cut = set()
        took = world.until(world.together, 12_000)
        self.assertEqual(world.ledger.states, states)  # by range, nothing is void that need not be
        self.check("changes-region", noted([f"{behind} changes behind, all have them and are fresh {took} ms after"]))

    def test_a_clock_an_hour_ahead_does_no_harm(self):
        world = World(3, 1)
        ahead = world.leader()
        world.wall_off[ahead] = 3_600_000 * MS
        world.start(ahead)  # and it writes again one day, with numbers an hour ahead
        world.until(lambda: world.leader() not in ("", ahead))
        world.kill(world.leader())
        world.until(world.ready, 20_000)
        self.assertEqual(world.purge().how, "done")
        for name in list(world.dead):
            world.start(name)
        world.heal()
        world.wall_off.clear()
        for name in world.names:  # all forget: the next generation has a smaller number, and is followed
            world.start(name)
        world.heal()
        self.assertTrue(world.together())
        self.assertEqual(world.purge().how, "done")
        self.assertGreater(len(world.ledger.generations), 1)

    def test_messages_are_lost(self):
        lines = []
        for loss in (0.01, 0.1):
            world = World(5, 1)
            world.loss, asked = loss, []
            for _ in range(40):
                if world.leader():
                    asked.append(world.append(world.leader()))
                world.calm(250)
            world.loss = 0.0
            world.heal()
            self.assertTrue(world.together(), loss)
            lines.append(
                f"{loss:.0%} lost: {len(world.ledger.done)} of {len(asked)} acknowledged, none lost or doubled"
            )
        self.check("changes-loss", noted(lines))

    def test_64_kb_and_a_hundred_purges_a_second_of_one_key_and_a_log_at_its_bound(self):
        world = World(5, 1, room=1 << 20)
        big = world.append(world.leader(), "later", bytes(64 << 10))
        world.calm(200)
        self.assertEqual((world.said[-1].id, world.said[-1].how), (big.id, "done"))
        world.append(world.leader(), "later", bytes((64 << 10) + 1))
        self.assertEqual((world.said[-1].how, world.said[-1].why), ("refused", "too long"))
        world.said.clear()
        purge = kinds.encode(kinds.Purge("key", b"the same"))
        for _ in range(100):
            for _ in range(5):
                world.append(world.leader(), kinds.PURGE, purge)
            world.calm(50)
        world.calm(200)
        self.assertEqual({one.how for one in world.said}, {"done"})
        self.assertEqual({one.apply.purged for one in world.nodes.values()}, {500})
        self.assertLess(max(one.relay.store.weight for one in world.nodes.values()), 1 << 20)
        for _ in range(60):  # ten times what it may keep: it forgets, and refuses nothing
            for _ in range(3):
                world.append(world.leader(), "later", bytes(60_000))
            world.calm(100)
        world.calm(500)
        self.assertEqual({one.how for one in world.said}, {"done"})
        self.assertEqual(len(world.said), 680)
        for one in (*world.machines.values(), *world.nodes.values()):
            store = one.store if hasattr(one, "store") else one.relay.store
            self.assertLessEqual(store.weight, 1 << 20)
            self.assertEqual(store.weight, sum(entry.weight for entry in store.entries))
            self.assertEqual(store.loose, 0)
        self.assertTrue(world.together())

    def test_an_id_older_than_what_is_kept_is_refused(self):
        world = World(3, 1, room=100_000)
        first = world.append(world.leader())
        for _ in range(10):
            world.append(world.leader(), "later", bytes(20_000))
            world.calm(100)
        world.said.clear()
        world.again(world.leader(), first)
        self.assertEqual([(one.how, one.why) for one in world.said], [("refused", "too old to be known")])

    def test_versions_replace_what_they_name_and_kinds_of_later_builds_pass(self):
        world = World(3, 1)
        one = kinds.Config("table", 5, 0, b"five")
        world.append(world.leader(), kinds.CONFIG, kinds.encode(one))
        two = kinds.Config("table", 6, 4, b"six")
        world.append(world.leader(), kinds.CONFIG, kinds.encode(two))
        self.assertEqual((world.said[-1].how, world.said[-1].why), ("refused", "version 5 is the latest"))
        for kind, content in ((kinds.CONFIG, b"?"), (kinds.PURGE, kinds.encode(["all", b"k"])), (kinds.EPOCH, b"")):
            world.append(world.leader(), kind, content)
            self.assertEqual(world.said[-1].how, "refused", kind)
        world.append(world.leader(), "of-later", b"what may that be")
        world.calm(500)
        for node in world.nodes.values():
            self.assertEqual((node.apply.force, node.apply.unknown), ({"table": 5}, 1))
        self.assertTrue(world.together())


class Applied(unittest.TestCase):
    def test_in_order_once_whole_or_not_at_all(self):
        apply = Apply(lambda name, version, body: "no such class" if body == b"bad" else "")

        def config(offset: int, version: int, before: int, body: bytes) -> Entry:
            return entry(offset, 1, kinds.CONFIG, kinds.encode(kinds.Config("t", version, before, body)))

        key = entry(12, 1, kinds.PURGE, kinds.encode(kinds.Purge("prefix", b"a/")))
        self.assertEqual(
            apply.apply(State(1, 10, 1, [config(4, 1, 0, b"one")])), [VoidAll(1, 10), Install("t", 1, b"one")]
        )
        self.assertEqual(apply.apply(config(11, 2, 1, b"bad")), [Rejected("t", 2, "no such class")])
        self.assertEqual((apply.force, apply.rejected["t"].version), ({"t": 1}, 2))
        self.assertEqual(apply.apply(key), [Void("prefix", b"a/", 12)])
        for event in (key, config(11, 2, 1, b"bad"), State(1, 10, 1, [])):
            self.assertEqual(apply.apply(event), [])
        self.assertEqual(apply.apply(config(13, 3, 2, b"three")), [Install("t", 3, b"three")])
        self.assertEqual((apply.force, apply.rejected, apply.offset), ({"t": 3}, {}, 13))
        self.assertEqual(apply.apply(entry(14, 1, kinds.PURGE, b"?")), [VoidAll(1, 14)])  # on the strict side
        self.assertEqual(apply.apply(entry(15, 1, "of-later", b"?")), [])
        self.assertEqual(apply.unknown, 2)
        # Another generation: its versions are its own, also under the numbers of before.
        self.assertEqual(
            apply.apply(State(2, 5, 2, [config(3, 2, 1, b"two")])), [VoidAll(2, 5), Install("t", 2, b"two")]
        )


class Strangers(unittest.TestCase):
    SPEAKER = Speaker("n1", 1, 2, 3)

    def frames(self) -> list[bytes]:
        one = entry(3, 2)
        state = State(1, 2, 1, [one])
        given = [
            messages.Fence(1, 2, "fence", [1]),
            Held(1, "fetch", True, 1, False, 2, [1], 3, 2, 1, state, [one]),
            messages.Recover(1),
            messages.Standing(1, 2, True, [3]),
            messages.Fill(1, 2, 3, True, state, 4),
            Replicate(2, 1, 2, 1, [one], 3, 1, 5, 4),
            messages.Replicated(True, 1, False, 2, 3, 4),
            Append("i", "k", b"c", 1, 2),
            Appended("i", "done", 3),
            Subscribe(1, 2, "n", "s"),
            Batch(1, [one], 3, 4),
            state,
            Refuse("full", 5),
            messages.Ask("log", 1, "prepare", 2, 3),
            messages.Vote("log", 1, "prepare", True, 2),
        ]
        for message in given:
            self.assertEqual(messages.decode(messages.encode("c", self.SPEAKER, message), "c"), (self.SPEAKER, message))
        return [messages.encode("c", self.SPEAKER, message) for message in given]

    def test_what_is_cut_or_altered_or_of_another_cluster_is_refused_and_nothing_else_is_raised(self):
        rng, refused = Random(7), 0
        for data in self.frames():
            for place in range(len(data)):
                self.refused(data[:place])
            for _ in range(40):
                altered = bytearray(data)
                altered[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
                self.refused(bytes(altered))
            self.refused(data, "another")
            self.refused(data + bytes(messages.frames.BULK))
            # Altered inside, with a checksum that fits: what it says is out of range or comes through, nothing else.
            for _ in range(200):
                altered = bytearray(data)
                altered[rng.randrange(7, len(data))] = rng.randrange(256)
                altered[3:7] = crc32(altered[7:]).to_bytes(4, "big")
                try:
                    messages.decode(bytes(altered), "c")
                except Strange:
                    refused += 1
        self.assertGreater(refused, 1_000)

    def refused(self, data: bytes, cluster: str = "c") -> None:
        with self.assertRaises(Strange):
            messages.decode(data, cluster)

    def test_what_is_out_of_range_is_refused_with_a_reason(self):
        one = entry(3, 2)
        for message, why in (
            (Batch(1, [one, entry(5, 2)], 9, 1), "gap"),
            (Batch(1, [one], 2, 1), "not committed"),
            (Batch(1, [one, entry(4, 1)], 9, 1), "epochs fall"),
            (Batch(1 << 62, [], 1, 1), "out of range"),
            (Batch(1, [], -1, 1), "out of range"),
            (Replicate(2, 1, 7, 1, [one], 3, 1, 5, 4), "gap"),
            (Append("", "k", b"", 0, 0), "out of range"),
            (Append("i" * 65, "k", b"", 0, 0), "out of range"),
            (Append("i", "k" * 33, b"", 0, 0), "out of range"),
            (Append("i", "k", bytes((64 << 10) + 1), 0, 0), "out of range"),
            (Appended("i", "perhaps"), "answer"),
            (messages.Fence(1, 1, "shut", []), "step"),
        ):
            with self.assertRaisesRegex(Strange, why):
                messages.decode(messages.encode("c", self.SPEAKER, message), "c")

    def test_whoever_says_whatever_to_a_core_raises_nothing(self):
        """Well-formed messages that make no sense, from voters, strangers and clients, to machines and nodes."""
        rng, world = Random(11), World(3, 1)
        leader = world.leader()
        end = world.machines[leader].store.committed
        said = [messages.decode(data, "c")[1] for data in self.frames()]
        for _ in range(3_000):
            one = rng.choice(said)
            fields = {
                name: rng.choice((0, 1, 3, 1 << 40, (1 << 62) - 1))
                for name in one.__struct_fields__
                if isinstance(getattr(one, name), int)
                and not isinstance(getattr(one, name), bool)
                and rng.random() < 0.5
            }
            if isinstance(one, (messages.Fence, messages.Replicate, messages.Fill)):
                fields["epoch"] = rng.randrange(4)  # a voter may be behind; what it may not be is believed to lead
            message = msgspec.structs.replace(one, **fields)
            if isinstance(message, messages.Held | messages.Standing | messages.Fence):
                message = msgspec.structs.replace(message, lives=[0] * rng.randrange(5))
            for who in ("m0", "m2", "stranger"):
                world.machines[rng.choice(world.names)].hear(world.now, who, message)
                world.nodes["n1"].subscriber.hear(world.now, who, message)
        self.assertGreaterEqual(max(one.store.committed for one in world.machines.values()), end)


if __name__ == "__main__":
    unittest.main()
