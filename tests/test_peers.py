"""Nodes that know each other, without I/O: merges in any order, members over all orders of a few events and on a
scripted network, anti-entropy that finds what was lost, fetch leases, and frames of strangers."""

from __future__ import annotations

import itertools
import tempfile
import unittest
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from saltmoor import config, model
from saltmoor.lab.detect import Town
from saltmoor.model import Member, Readiness
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker, Strange
from saltmoor.peers.members import Ask, Members, News, Ping, State
from saltmoor.peers.messages import (
    BorrowedQuota,
    FetchLease,
    MessageType,
    OperatorCommand,
    PullEnd,
    PullRequest,
)
from saltmoor.replica.anti_entropy import Phase, PullSchedule
from saltmoor.replica.borrowed_quota import BORROWER_LEASE, LENDER_LEASE, WHOLE, Share
from saltmoor.replica.entries import KINDS, SECOND, Entry, Stamps, Store
from saltmoor.replica.fetch_leases import Decision, LeaseAnswer, LeaseTable, owner_of
from saltmoor.replica.uses import Seen, Uses
from tests.helper import MS, Notes, TraceCase

NOW = 10_000 * SECOND

ITEMS = st.lists(
    st.builds(
        Entry.made,
        st.sampled_from(["drain", "start", "word", "evidence", "of-later"]),
        st.sampled_from(["a", "b|c", "d"]),
        st.integers(0, 3),
        st.sampled_from([b"", b"x", b"y"]),
        st.integers(0, 20 * SECOND),
    ),
    max_size=12,
)


def held(store: Store) -> dict:
    return {
        (kind, key): (kept.version, kept.body) for kind, table in store.kinds.items() for key, kept in table.items()
    }


class Merges(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(ITEMS, st.randoms(use_true_random=False), st.lists(st.integers(0, 11), max_size=12))
    def test_any_order_and_any_doubling_ends_alike(self, items, rng, doubled):
        one, other = Store(1), Store(2)
        for item in items:
            one.put(NOW, item)
        again = items + [items[i] for i in doubled if i < len(items)]
        rng.shuffle(again)
        for item in again:
            other.put(NOW, item)
        self.assertEqual(held(one), held(other))
        self.assertEqual((one.root, one.digests), (other.root, other.digests))
        self.assertEqual([one.compare(other.digests), other.compare(one.digests)], [[], []])

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(ITEMS, ITEMS, ITEMS)
    def test_merging_tables_is_associative(self, a, b, c):
        def merged(*lots) -> Store:
            store = Store(1)
            for lot in lots:
                for item in lot:
                    store.put(NOW, item)
            return store

        def through(store: Store) -> list[Entry]:
            return list(store.since(NOW, 0))

        left = merged(through(merged(a, b)), c)
        right = merged(a, through(merged(b, c)))
        self.assertEqual(held(left), held(right))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(ITEMS, ITEMS, st.integers(0, 12))
    def test_digests_find_and_ranges_repair_whatever_was_lost(self, both, more, seq):
        one, other = Store(1), Store(2)
        for item in both:
            one.put(NOW, item)
            other.put(NOW, item)
        for item in more:
            one.put(NOW, item)
        for item in one.since(NOW, seq):
            other.put(NOW, item)
        for wanted in (other.compare(one.digests),):
            for item in list(one.ranges(NOW, wanted)):
                other.put(NOW, item)
        self.assertEqual(held(one), held(other))
        self.assertEqual(one.root, other.root)

    def test_what_is_forgotten_or_damaged_does_not_come_back(self):
        store, late = Store(1), Store(2)
        store.put(NOW, Entry.made("drain", "x|s1|0", 3, b""))
        late.put(NOW, Entry.made("drain", "x|s1|0", 3, b""))
        after = NOW + KINDS["drain"].until + 1
        self.assertEqual(store.expire(after), 1)
        for item in late.since(after, 0):  # one that slept speaks first
            self.assertFalse(store.put(after, item))
        item = Entry.made("word", "empty|n1", 7, True)
        for wrong in (
            Entry("word", "empty|n2", 7, item.body, 0, item.check),
            Entry("word", "empty|n1", 8, item.body, 0, item.check),
            Entry("word", "empty|n1", 7, item.body + b"x", 0, item.check),
            Entry.made("x" * 17, "k", 1, b""),
            Entry.made("k", "x" * 401, 1, b""),
            Entry.made("k", "x", 1, b"x" * (513 << 10)),
            Entry.made("k", "x", 1, b"", -5),
        ):
            self.assertFalse(store.put(after, wrong))
        self.assertEqual((store.refused, store.count(), store.root), ({"old": 1, "check": 3, "size": 4}, 0, 0))

    def test_bounded_however_much_is_said(self):
        store = Store(1, most_bytes=50_000)
        for i in range(3000):
            store.put(NOW + i, Entry.made("word", f"a|{i}", i, b"x" * 30))
        self.assertLessEqual((store.count(), store.bytes <= 50_000), (KINDS["word"].most, True))
        self.assertEqual(store.root, self.again(store).root)

    def again(self, store: Store) -> Store:
        copy = Store(9)
        for item in store.since(NOW + 3000, 0):
            copy.put(NOW + 3000, item)
        return copy

    def test_two_bodies_under_one_version_are_settled_alike_and_shown_once(self):
        one, other = Store(1), Store(2)
        items = [Entry.made("list", "x", 5, b"aa"), Entry.made("list", "x", 5, b"bb")]
        for item in items + items:
            one.put(NOW, item)
        for item in reversed(items):
            other.put(NOW, item)
        self.assertEqual((held(one), one.conflicts), (held(other), other.conflicts))
        self.assertEqual(one.conflicts, [("list", "x", b"bb", b"aa")])

    def test_a_clock_an_hour_ahead_wins_nothing(self):
        right, wrong, wall = Stamps(SECOND), Stamps(SECOND), 1_700_000_000 * SECOND
        early = wrong.make(wall + 3600 * SECOND)
        self.assertFalse(right.take(wall, early))
        later = right.make(wall)
        self.assertLess(later, early)
        self.assertTrue(right.take(wall, right.make(wall)))
        self.assertTrue(right.take(wall + 3600 * SECOND, early))  # when it is true it counts


@dataclass
class Net:
    """A few members, and every message that is on its way."""

    nodes: dict[str, Members] = field(default_factory=dict)
    wire: list[tuple[str, str, str, object, Speaker]] = field(default_factory=list)
    now: int = NOW
    lives: int = 100
    worst: dict = field(default_factory=dict)

    def start(self, name: str, back: int = 0) -> None:
        self.lives += 1
        me = News(name, 0, self.lives - back, self.lives, name, "", "b")
        self.nodes[name] = Members(me, 100 * MS, 300 * MS, ["a", "b", "c"], self.lives, self.now)

    def send(self, name: str, outs: list) -> None:
        one = self.nodes[name]
        for out in outs:
            to = out.to or out.address
            if to in self.nodes and to != name:
                # As on a wire: nobody shares what the other may change.
                raw = msgspec.msgpack.encode(out.content)
                said = msgspec.msgpack.decode(raw, type=Ask if out.message_type == "ask" else Ping)
                self.wire.append((name, to, out.message_type, said, Speaker(name, one.me.life, one.me.run, self.now)))

    def deliver(self, place: int, keep: bool = False) -> None:
        source, to, word, said, speaker = self.wire[place]
        if not keep:
            del self.wire[place]
        if to in self.nodes and not (said.to and said.to != to and word == "ping"):
            self.send(to, self.nodes[to].heard(self.now, self.now, speaker, word, said))

    def tick(self, passed: int, only: str = "") -> None:
        self.now += passed
        for name in sorted(self.nodes):
            if not only or name == only:
                self.send(name, self.nodes[name].tick(self.now))

    def check(self) -> None:
        """A word only rises within a life, nobody is remembered at an older life, and each knows that it lives."""
        for name, one in self.nodes.items():
            assert one.me.state == State.ALIVE, f"{name} believes it is gone"
            for other in one.others.values():
                which = name, one.me.run, other.name
                before = self.worst.get(which, (0, 0))
                now = (other.life, int(other.state))
                assert now >= before, f"{name} goes back on {other.name}: {before} to {now}"
                self.worst[which] = now

    def found(self) -> bool:
        return all(
            one.there() == sorted(set(self.nodes) - {name})
            and all(other.run == self.nodes[other.name].me.run for other in one.others.values())
            for name, one in self.nodes.items()
        )

    def settle(self) -> None:
        """A calm network from here on, until all have found each other and stay so for a while."""
        well = 0
        for _ in range(60):
            well = well + 1 if self.found() else 0
            if well > 5:
                return
            self.tick(100 * MS)
            while self.wire:
                self.deliver(0)
            self.check()


class Orders(unittest.TestCase):
    """Every order of a few events between two and three members; from wherever that leads, all find each other."""

    EVENTS = ("deliver", "lose", "double", "last", "tick", "long", "restart", "forget")

    def play(self, names: str, path: tuple[str, ...]) -> None:
        net = Net()
        for name in names:
            net.start(name)
        net.tick(0)
        net.tick(100 * MS)
        for event in path:
            match event:
                case "deliver" if net.wire:
                    net.deliver(0)
                case "last" if net.wire:  # out of its order
                    net.deliver(len(net.wire) - 1)
                case "lose" if net.wire:
                    del net.wire[0]
                case "double" if net.wire:
                    net.deliver(0, keep=True)
                case "tick":
                    net.tick(60 * MS)
                case "long":  # one stands still, the others go on
                    net.tick(700 * MS, only=names[-1])
                case "restart":  # a new process under the name
                    net.start(names[0])
                case "forget":  # and one whose clock was set back, so that its life is an older one
                    net.start(names[0], back=50)
                case _:
                    return
            net.check()
        net.settle()
        for name, one in net.nodes.items():
            there = set(one.there())
            assert there == set(names) - {name}, f"{name} holds {there} to be there"
            for other in one.others.values():
                assert other.run == net.nodes[other.name].me.run, f"{name} knows an older process of {other.name}"

    def test_two(self):
        for path in itertools.product(self.EVENTS, repeat=4):
            with self.subTest(path=path):
                self.play("ab", path)

    def test_three(self):
        for path in itertools.product(self.EVENTS, repeat=3):
            with self.subTest(path=path):
                self.play("abc", path)


class Fleets(TraceCase):
    """Detectors on a scripted network: how soon a death is known, what is said falsely, what it costs."""

    def test_figures(self):
        notes = Notes()
        for nodes, seconds in ((5, 60), (20, 30)):
            for loss in (0.0, 0.1):
                town = Town("swim", nodes, seed=nodes, loss=loss)
                town.run(seconds)
                false = town.false
                town.kill(1)
                town.run(15)
                notes.note(
                    f"{nodes} members, loss {loss:.0%}: false {false}, death known to the first after "
                    f"{town.first_s:.1f} s, to all after {town.all_s:.1f} s, {town.bytes_per_s:.0f} B/s a node"
                )
                self.assertEqual(false, 0)
                self.assertLess(town.all_s, 8)
                self.assertLess(town.bytes_per_s, 3000)
        self.check("peers-fleets", notes)

    def test_one_that_slept_blames_nobody(self):
        town = Town("swim", 8, seed=3)
        town.run(5)
        town.pause(2, 5.0)
        town.run(10)
        self.assertEqual(town.false, 0)
        self.assertTrue(all(len(one.there()) == 7 for one in town.nodes.values()))

    def test_parted_and_healed(self):
        town = Town("swim", 10, seed=4)
        town.run(5)
        town.cut = {(i, j) for i in range(10) for j in range(10) if (i < 5) != (j < 5)}
        town.run(20)
        self.assertTrue(all(len(one.there()) == 4 for one in town.nodes.values()))
        town.cut = set()
        town.run(2)
        self.assertTrue(all(len(one.there()) == 9 for one in town.nodes.values()))

    def test_one_way_loss_between_two_kills_neither(self):
        town = Town("swim", 6, seed=5)
        town.run(5)
        town.cut = {(0, 1)}
        town.run(60)
        self.assertEqual(town.false, 0)


class AntiEntropy(TraceCase):
    """Stores that pull as PullSchedule says, on a network that lost all messages of what is new."""

    def pull(self, pull, stores: dict[str, Store], me: str, schedule: PullSchedule, now: int) -> int:
        giver = stores[pull.name]
        items = list(
            giver.ranges(now, pull.ranges)
            if pull.ranges
            else giver.since(now, pull.seq if pull.epoch == giver.epoch else 0)
        )
        seq, digests = giver.seq, {kind: list(kept) for kind, kept in giver.digests.items()}
        for item in items:
            stores[me].put(now, item)
        schedule.done(now, pull.name, giver.epoch, seq, stores[me].compare(digests))
        return len(items)

    def test_a_node_that_returns_takes_the_whole_once_and_then_what_changed(self):
        notes, now = Notes(), NOW
        stores = {name: Store(i) for i, name in enumerate(("a", "b", "c", "new"))}
        for i in range(500):
            for name in "abc":
                stores[name].put(now, Entry.made("start", f"x|s{i}", 5, b""))
        schedule, came = PullSchedule("new", now), []
        for step in range(40):
            now += 50 * MS
            if step == 20:
                for name in "abc":
                    stores[name].put(now, Entry.made("drain", "x|s1|5", 9, b""))
            if step == 30:  # it has lost one, and nobody's changes tell
                stores["new"].drop("start", "x|s7")
            for name in "abc":
                schedule.saw(now, name, stores[name].root == stores["new"].root)
            for pull in schedule.next(now, ["a", "b", "c"]):
                came.append((step, pull.name, self.pull(pull, stores, "new", schedule, now)))
            if schedule.line:
                notes.note(schedule.line)
                schedule.line = ""
        for step, name, count in came:
            notes.note(f"step {step}: {count} items from {name}")
        self.assertEqual(stores["new"].root, stores["a"].root)
        self.check("peers-exchange", notes)

    def test_ten_that_return_together_do_not_all_ask_one(self):
        asked: dict[str, int] = {}
        there = [f"n{i}" for i in range(10)]
        for i in range(10):
            for pull in PullSchedule(f"r{i}", NOW, seed=i).next(NOW, there):
                asked[pull.name] = asked.get(pull.name, 0) + 1
        self.assertLessEqual(max(asked.values()), 6)
        self.assertGreaterEqual(len(asked), 5)

    def test_a_peer_that_fails_is_left_alone_for_a_while(self):
        schedule = PullSchedule("a", NOW)
        self.assertEqual([one.name for one in schedule.next(NOW, ["b"])], ["b"])
        schedule.failed(NOW, "b")
        self.assertEqual(schedule.next(NOW + 1, ["b"]), [])
        self.assertEqual([one.name for one in schedule.next(NOW + SECOND, ["b"])], ["b"])
        self.assertIs(schedule.phase, Phase.CATCHING)


class FetchLeases(unittest.TestCase):
    def test_one_at_a_time_numbered_and_short(self):
        table = LeaseTable(1)
        first = table.request(NOW, 7, "a", 1, 100 * MS).lease
        self.assertEqual(table.request(NOW, 7, "b", 2, 100 * MS), LeaseAnswer("b", 2, Decision.WAIT, first))
        self.assertIs(table.request(NOW, 8, "b", 3, 100 * MS).decision, Decision.FETCH)
        self.assertEqual(table.expire(NOW + 99 * MS), [])
        gone = table.expire(NOW + 101 * MS)  # its holder died: who waits goes
        self.assertEqual([(answer.to, answer.request, answer.decision) for answer in gone], [("b", 2, Decision.FETCH)])
        self.assertGreater(gone[0].lease, first)
        self.assertEqual(table.fetched(NOW + 102 * MS, 7, first, ""), [])  # the old holder wakes up late
        self.assertIs(table.request(NOW + 102 * MS, 7, "c", 4, 100 * MS).decision, Decision.WAIT)
        self.assertEqual(
            table.fetched(NOW + 103 * MS, 7, gone[0].lease, "s1"), [LeaseAnswer("c", 4, Decision.COPY, 0, "s1")]
        )
        self.assertEqual(
            table.request(NOW + 104 * MS, 7, "d", 5, 100 * MS), LeaseAnswer("d", 5, Decision.COPY, 0, "s1")
        )
        self.assertIs(
            table.request(NOW + 104 * MS, 7, "d", 6, 100 * MS, missed="s1").decision, Decision.FETCH
        )  # it is not there
        table.request(NOW + 105 * MS, 7, "e", 7, 100 * MS)
        self.assertEqual([answer.to for answer in table.void(NOW + 106 * MS, 7)], ["e"])  # it was written
        self.assertGreater(LeaseTable(2).request(NOW, 7, "a", 1, 1).lease, table.number)  # a later owner's numbers

    def test_all_orders_of_a_few_events_leave_one_holder(self):
        """However asks, ends, writes and time come: one valid lease at most, numbers that rise, nobody who waits twice."""
        events = [("ask", "a"), ("ask", "b"), ("done", 0), ("failed", 0), ("done", 1), ("void", 0), ("wait", 60)]
        for path in itertools.product(events, repeat=5):
            table, now, numbers, valid, asks = LeaseTable(1), NOW, [], {}, 0
            for what, how in path:
                answers = []
                if what == "ask":
                    asks += 1
                    answers = [table.request(now, 7, how, asks, 100 * MS)]
                elif what in ("done", "failed") and how < len(numbers):
                    answers = table.fetched(now, 7, numbers[how], "s1" if what == "done" else "")
                    valid = (
                        {} if what == "done" else {who: kept for who, kept in valid.items() if kept[0] != numbers[how]}
                    )
                elif what == "void":
                    valid = {}
                    answers = table.void(now, 7)
                elif what == "wait":
                    now += how * MS
                    answers = table.expire(now)
                for answer in answers:
                    if answer.decision is Decision.FETCH:
                        others = [who for who, (n, until) in valid.items() if until > now and who != answer.to]
                        self.assertFalse(others, path)
                        self.assertTrue(not numbers or answer.lease > max(numbers), path)
                        numbers.append(answer.lease)
                        valid = {answer.to: (answer.lease, now + 100 * MS)}

    def test_owners_move_little_when_one_leaves(self):
        names = [f"n{i}" for i in range(10)]
        moved = sum(owner_of(key, names) != owner_of(key, names[:-1]) for key in range(1000))
        self.assertEqual(moved, sum(owner_of(key, names) == "n9" for key in range(1000)))


class BorrowedQuotas(unittest.TestCase):
    """Three nodes' shares of one quota over all orders of a few events: together never more than the whole."""

    EVENTS = (
        "ask",
        "ask other",
        "deliver",
        "double",
        "late",
        "lose",
        "back",
        "wait",
        "long",
        "restart",
        "restart lender",
    )

    def play(self, path: tuple[str, ...]) -> None:
        now = NOW
        shares = {name: Share(3, now - LENDER_LEASE) for name in "abc"}
        wire: list[tuple] = []
        number = 0

        def deliver(word: tuple) -> None:
            kind, source, to, which, amount = word
            if kind == "ask":
                if given := shares[to].grant(now, source, which, amount):
                    wire.append(("gave", to, source, which, given))
            elif kind == "gave":
                shares[to].receive(now, source, which, amount)
            else:
                shares[to].returned(source, which)

        for event in path:
            match event:
                case "ask" | "ask other":
                    number += 1
                    lender = "b" if event == "ask" else "c"
                    if shares["a"].request(now, lender, number):
                        wire.append(("ask", "a", lender, number, 200_000))
                case "deliver" if wire:
                    deliver(wire.pop(0))
                case "late" if wire:
                    deliver(wire.pop())
                case "double" if wire:
                    deliver(wire[0])
                case "lose" if wire:
                    del wire[0]
                case "back":
                    wire += [("back", "a", lender, which, 0) for lender, which in shares["a"].give_back(now)]
                case "wait":
                    now += BORROWER_LEASE // 2
                case "long":
                    now += BORROWER_LEASE + 1
                case "restart":
                    shares["a"] = Share(3, now)
                case "restart lender":
                    shares["b"] = Share(3, now)
                case _:
                    return
            used = sum(share.usable(now) for share in shares.values())
            assert used <= WHOLE, f"{used} of {WHOLE} in use"
            assert all(share.usable(now) >= share.base // 2 for share in shares.values())

    def test_never_more_than_the_whole(self):
        for path in itertools.product(self.EVENTS, repeat=5):
            if path[0].startswith("ask"):
                with self.subTest(path=path):
                    self.play(path)

    def test_a_borrower_gets_more_and_the_lender_has_it_back(self):
        one, other = Share(10, 0), Share(10, 0)
        now = NOW
        self.assertTrue(one.request(now, "b", 1))
        self.assertEqual(other.grant(now, "a", 1, 500_000), 50_000)
        self.assertEqual(other.grant(now, "a", 1, 500_000), 50_000)
        self.assertTrue(one.receive(now, "b", 1, 50_000))
        self.assertFalse(one.receive(now, "b", 1, 50_000))
        self.assertEqual((one.usable(now), other.usable(now)), (150_000, 50_000))
        self.assertEqual((one.usable(now + BORROWER_LEASE), other.usable(now + BORROWER_LEASE)), (100_000, 50_000))
        self.assertEqual(other.usable(now + LENDER_LEASE), 100_000)


class WireForms(unittest.TestCase):
    def test_a_node_of_the_build_before_reads_each_message(self):
        """Guards against a renamed type or field that alters the wire: types as texts, contents as arrays in order."""
        self.assertEqual(
            " ".join(MessageType),
            "ping ack ask items turn? turn! turned void lend? lend! lent duty? duty! pull end show shown say said",
        )
        for content, array in (
            (PullRequest(1, 2, [("drain", 3)]), [1, 2, [["drain", 3]]]),
            (PullEnd(1, 2, {"drain": [3]}), [1, 2, {"drain": [3]}]),
            (OperatorCommand("empty|n1", True), ["empty|n1", True]),
            (FetchLease(1, 2, 3, 0, 4, "s"), [1, 2, 3, 0, 4, "s"]),
            (BorrowedQuota("t", 1, 2), ["t", 1, 2]),
        ):
            self.assertEqual(msgspec.msgpack.encode(content), msgspec.msgpack.encode(array))
        speaker = Speaker("n1", 5, 6, 7)
        self.assertEqual(frames.encode("c", speaker, MessageType.ENTRIES, []), frames.encode("c", speaker, "items", []))


class Fuzz(unittest.TestCase):
    def test_only_strange_whatever_comes(self):
        """Each byte altered, each cut, another cluster, another format, random bytes: told by one error, never another."""
        news = News("n1", 0, 5, 6, "127.0.0.1:1", "s", "b")
        data = frames.encode("c", Speaker("n1", 5, 6, 7), "ping", Ping(1, "", [news], 3, 4, 5))
        self.assertEqual(frames.content(frames.decode(data, "c"), Ping).news, [news])
        rng = Random(1)
        wrong = [data[:i] for i in range(len(data))]
        wrong += [data[:i] + bytes([data[i] ^ 1 << bit]) + data[i + 1 :] for i in range(len(data)) for bit in range(8)]
        wrong += [rng.randbytes(rng.randrange(200)) for _ in range(300)]
        for one in wrong:
            with self.assertRaises(Strange):
                frames.decode(one, "c")
        for said, why in (
            (frames.encode("d", Speaker("n1", 5, 6, 7), "ping", 1), "cluster"),
            (frames.encode("c", Speaker("", 5, 6, 7), "ping", 1), "speaker"),
            (frames.encode("c", Speaker("n", -5, 6, 7), "ping", 1), "speaker"),
        ):
            with self.assertRaisesRegex(Strange, why):
                frames.decode(said, "c")

    def test_content_of_any_shape(self):
        """A whole frame with whatever in it: decoded, or strange; and members take what is decoded."""
        rng, values = Random(2), [None, -1, 2**63, "x" * 70, b"x", [], {}, 1.5, True, ["a", 9, -4, 0, "", "", ""], "n1"]
        net = Net()
        net.start("n1")
        one = net.nodes["n1"]
        for _ in range(3000):
            said = [rng.choice(values) for _ in range(rng.randrange(7))]
            if rng.random() < 0.5:
                said = [1, "", [[rng.choice(values) for _ in range(7)]], 0, 0, 0]
            frame = frames.decode(frames.encode("c", Speaker("n2", 5, 6, 7), "ping", said), "c")
            for form in (Ping, Ask, list[Entry], PullRequest, PullEnd):
                try:
                    content = frames.content(frame, form)
                except Strange:
                    continue
                if form in (Ping, Ask):
                    one.heard(NOW, NOW, frame.speaker, "ping", content)
        one.tick(NOW + SECOND)
        self.assertEqual(one.me.state, State.ALIVE)


class Files(TraceCase):
    def test_the_operators_file_names_its_faulty_key(self):
        notes = Notes()
        good = "cluster = 'c'\nlisten = '127.0.0.1:7'\n"
        peers = [
            "",
            "cluster = 'a b'",
            "cluster = 'c'",
            "cluster = 'c'\nlisten = 'here:7'",
            "cluster = 'c'\nlisten = '0.0.0.0:7'",
            good + "seeds = ['x:1']",
            good + "seeds = 'x'",
            good + "period_ms = 1",
            good + "use = ['drain']",
            good + "colour = 1",
            good + "site = 7",
            good + "[peers.via]\nn1 = 'there'",
            good + "[peers.via]\nn1 = 7",
            good + "seeds = ['127.0.0.1:7']",
        ]
        duties = [
            "",
            "voters = []",
            "voters = ['a', 'b']",
            "voters = ['a', 'a', 'b']",
            "voters = ['a', 'b', 'c d']",
            "voters = ['a', 'b', 'c']\nlease_ms = 100",
            "voters = ['a', 'b', 'c']\nlease_ms = 1000\nflight_ms = 400",
            "voters = ['a', 'b', 'c']\nuse = ['probe']",
            "voters = ['a', 'b', 'c']\nuse = ['snapshot']",
            "voters = ['a', 'b', 'c']\nvoters_before = ['a', 'b']",
            "voters = ['a']",
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "operators.toml"
            for table in (
                ["[peers]\n" + text for text in peers]
                + [f"[peers]\n{good}[duties]\n{text}" for text in duties]
                + ["[duties]\nvoters = ['a']"]
            ):
                path.write_text(table)
                try:
                    said = "taken" if config.operators(str(path)) else ""
                except config.Faulty as error:
                    said = str(error).replace(str(path), "FILE")
                notes.note(f"{table.replace(good, '').split(chr(10), 1)[-1]!r}: {said}")
        self.check("peers-operators", notes)


class Meanings(unittest.TestCase):
    """What shared items do to a node: stricter or better informed, never laxer."""

    def uses(self, on=config.USES) -> Uses:
        return Uses("me", "here", "src", frozenset(on), Store(1))

    def line(self, server: str, readiness=Readiness.READY, started: int = 5000) -> config.Line:
        return config.Line(Member(server, 0, 0, 0, readiness, 1.0, started * 1000), ("127.0.0.1", 1))

    def test_a_drain_is_heard_once_and_only_discovery_lifts_it(self):
        one, other = self.uses(), self.uses()
        other.me = "other"
        one.news(NOW, 4, [self.line("s1"), self.line("s2")])
        other.news(NOW, 7, [self.line("s1", Readiness.DRAINING)])
        for item in other.store.since(NOW, 0):
            one.store.put(NOW, item)
        self.assertTrue(one.drains("s1", 5000 * 1000))
        self.assertFalse(one.drains("s2", 5000 * 1000))
        self.assertFalse(one.drains("s1", 6000 * 1000))  # a later process of it
        one.news(NOW, 6, [self.line("s1")])  # older than the drain
        self.assertTrue(one.drains("s1", 5000 * 1000))
        one.news(NOW, 8, [self.line("s1")])  # discovery itself, later than that
        self.assertFalse(one.drains("s1", 5000 * 1000))

    def test_a_later_start_counts_and_an_earlier_one_does_not(self):
        one = self.uses()
        one.news(NOW, 4, [self.line("s1", started=5000)])
        self.assertFalse(one.store.put(NOW, Entry.made("start", "src|s1", 4000, b"")))
        self.assertTrue(one.store.put(NOW, Entry.made("start", "src|s1", 6000, b"")))
        self.assertEqual(one.start_of("s1"), 6000)
        one.news(NOW, 5, [self.line("s1", started=5000)])
        self.assertEqual(one.start_of("s1"), 6000)

    def test_one_site_that_is_cut_off_condemns_nobody(self):
        one = self.uses()
        for i in range(5):
            one.store.put(NOW, Entry.made("evidence", f"s1|a{i}", 1, Seen("there", "down", 1)))
        self.assertEqual(one.suspects(NOW, sites=2), {})
        self.assertEqual(one.suspects(NOW, sites=1), {"s1": 5})
        one.store.put(NOW, Entry.made("evidence", "s1|b", 1, Seen("here", "aside", 1)))
        self.assertEqual(one.suspects(NOW, sites=2), {"s1": 6})
        one.store.put(NOW, Entry.made("evidence", "s1|b", 2, Seen("here", "well", 1)))
        self.assertEqual(one.suspects(NOW, sites=2), {})
        self.assertEqual(one.suspects(NOW + 6 * SECOND, sites=1), {})

    def test_evidence_asks_and_does_not_condemn(self):
        server = model.Server("s1", 0, 0, 0, 1)
        server.wary, server.answered = False, NOW
        node = type("N", (), {"caches": [server], "fresh": 100 * MS})()
        one = self.uses()
        for observer in "ab":
            one.store.put(NOW, Entry.made("evidence", f"s1|{observer}", 1, Seen("here", "down", 1)))
        self.assertEqual(one.doubt(NOW, node, 1), ["s1"])
        self.assertEqual((server.wary, server.down, server.out_until, server.ready), (True, False, 0, True))
        self.assertEqual(one.doubt(NOW, node, 1), [])  # once, until it is better

    def test_what_is_off_says_and_does_nothing(self):
        one = self.uses(on=())
        one.news(NOW, 4, [self.line("s1", Readiness.DRAINING)])
        one.keep_list(NOW, 4, [])
        self.assertEqual(one.store.count(), 0)
        one.store.put(NOW, Entry.made("drain", "src|s1|5000", 9, b""))
        self.assertFalse(one.drains("s1", 5000 * 1000))


if __name__ == "__main__":
    unittest.main()
