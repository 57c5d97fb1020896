"""One owner at a time: leases by a majority over orders of events drawn and exhaustive, with planted faults found."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from saltmoor.duties import lease as leases
from saltmoor.duties.lease import Claim, Fences, Voter
from saltmoor.model import Micros
from tests.helper import MS, TraceCase

LEASE: Micros = 3_000 * MS
FLIGHT: Micros = 300 * MS
START = 1_000_000 * MS


class Broken(Exception):
    """Two owners at one moment, or an act that came after a later one was accepted."""


class Forgetful(Voter):
    """Planted: it votes at once after it has lost its memory."""

    def silent(self, now: Micros) -> bool:
        return False


class Answerers(Claim):
    """Planted: a majority of those who answered."""

    def majority(self, names: set[str]) -> bool:
        return 2 * len(names) > len(self.answers)


class Hasty(Claim):
    """Planted: the lease counts from when it was granted, not from when it was asked for."""

    def hear(self, now, who, vote, chance):
        self.proposed_at = now
        return super().hear(now, who, vote, chance)


class Unchecked(Claim):
    """Planted: it acts to the end of its lease and never looks whether what it wrote still stands in time."""

    def may_act(self, now: Micros) -> int:
        return self.fence if self.state in leases.HOLDING else 0


@dataclass
class Site:
    """One process: a candidate, and a voter where it is one. `rate`: of its clock; `asleep`: stopped until then."""

    claim: Claim
    voter: Voter | None
    rate: float
    asleep: int = 0
    fences: Fences = field(default_factory=Fences)
    checked: int = 0  # the number under which it has just decided to act, before it does


class World:
    """So many processes with clocks that run differently, and a network that does what it likes."""

    def __init__(self, count: int, seed: int, claim=Claim, voter=Voter) -> None:
        self.rng, self.now, self.wire = Random(seed), START, []
        self.names = [f"n{i}" for i in range(count)]
        self.kinds, self.sites, self.history = (claim, voter), {}, []
        self.wall_off = dict.fromkeys(self.names, 0)
        self.seen = 0  # largest number under which the outside has seen an act
        self.acts = self.takes = 0
        for i, name in enumerate(self.names):
            self.start(name, (0.95, 1.0, 1.05)[i % 3])
            self.sites[name].voter.started -= 2 * LEASE  # the fleet has run for a while

    def start(self, name: str, rate: float) -> None:
        claim, voter = self.kinds
        now = self.clock(name, rate)
        self.sites[name] = Site(
            claim("d", name, self.names.index(name), self.names, [], LEASE, FLIGHT, next=now), voter(now, LEASE), rate
        )

    def clock(self, name: str, rate: float = 0.0) -> Micros:
        return int(self.now * (rate or self.sites[name].rate))

    def wall(self, name: str) -> Micros:
        return self.now + self.wall_off[name]

    def send(self, source: str, words: list) -> None:
        self.wire += [(source, name, word) for name, word in words]

    def tick(self, name: str) -> None:
        site = self.sites[name]
        if site.asleep <= self.now:
            self.send(name, site.claim.tick(self.clock(name), self.wall(name), self.rng.random()))

    def deliver(self, place: int, keep: bool = False) -> None:
        source, to, word = self.wire[place]
        if not keep:
            del self.wire[place]
        site = self.sites[to]
        if site.asleep > self.now:
            self.wire.append((source, to, word))  # it waits in its socket
        elif isinstance(word, leases.Ask):
            if vote := site.voter.hear(self.clock(to), source, word):
                self.wire.append((to, source, vote))
        else:
            self.send(to, site.claim.hear(self.clock(to), source, word, self.rng.random()))

    def act(self, name: str) -> None:
        """Check, perhaps stand still, write; the write arrives within the flight, and counts only if checked again."""
        site = self.sites[name]
        if site.asleep > self.now:
            return
        if site.checked:
            number, site.checked = site.checked, 0
        else:
            number = site.claim.may_act(self.clock(name))
            if number and self.rng.random() < 0.3:  # stopped between the check and the act
                site.checked = number
                site.asleep = self.now + int(LEASE * self.rng.choice((0.5, 1, 3, 10)))
                return
        if not number or site.claim.may_act(self.clock(name)) != number:
            return
        # Written: it reaches the outside a flight later at most.
        self.acts += 1
        if number < self.seen:
            raise Broken(f"act under {number} after {self.seen}")
        self.seen = number

    def check(self) -> None:
        owners = [
            name for name, site in self.sites.items() if site.asleep <= self.now and site.claim.owns(self.clock(name))
        ]
        if len(owners) > 1:
            raise Broken(f"{' and '.join(owners)} own it at one moment")

    def drawn(self, steps: int) -> None:
        """A walk: mostly what happens on a calm network, with everything that may go wrong in between."""
        for _ in range(steps):
            event = self.rng.random()
            name = self.rng.choice(self.names)
            if event < 0.1 and self.wire:
                self.deliver(self.rng.randrange(len(self.wire)))
            elif event < 0.45 and self.wire:
                for _ in range(min(len(self.wire), len(self.names))):
                    self.deliver(0)
            elif event < 0.50 and self.wire:
                del self.wire[self.rng.randrange(len(self.wire))]
            elif event < 0.53 and self.wire:
                self.deliver(self.rng.randrange(len(self.wire)), keep=True)
            elif event < 0.70:
                self.tick(name)
            elif event < 0.84:
                self.now += int(LEASE * self.rng.choice((0.01, 0.02, 0.1, 0.3)))
            elif event < 0.96:
                # Who holds to be the owner, also who only did before it fell asleep.
                holding = [one for one, site in self.sites.items() if site.claim.state in leases.HOLDING]
                self.act(self.rng.choice(holding or self.names))
            elif event < 0.97:
                self.sites[name].asleep = self.now + int(LEASE * self.rng.choice((0.5, 1, 2)))
            elif event < 0.985:
                self.start(name, self.sites[name].rate)  # its memory is lost
            elif event < 0.99:
                self.wall_off[name] = self.rng.choice((0, 0, 3_600_000 * MS, 50 * MS))
            else:
                self.send(name, self.sites[name].claim.leave(self.clock(name), 0.5))
            self.check()


class Walks(TraceCase):
    def found(self, walks: int, steps: int, count: int, **kinds) -> int | None:
        """After how many walks a rule was broken; None: in none of them."""
        for seed in range(walks):
            try:
                World(count, seed, **kinds).drawn(steps)
            except Broken:
                return seed + 1
        return None

    def test_never_two_owners_nor_an_act_of_before(self):
        lines = []
        for count, walks, steps in ((3, 120, 300), (5, 60, 900)):
            acts = takes = 0
            for seed in range(walks):
                world = World(count, seed)
                world.drawn(steps)
                acts += world.acts
                takes += sum(site.claim.takes for site in world.sites.values())
            lines.append(
                f"{count} nodes, {walks} walks of {steps} events: {acts} acts, {takes} times taken, no rule broken"
            )
            self.assertGreater(acts, walks / 2)
            self.assertGreater(takes, walks / 6)
        self.check("duties-walks", type("Notes", (), {"lines": lines})())

    def test_each_planted_fault_is_found(self):
        lines = [
            f"{kind.__name__}: found in walk {self.found(600, 400, 3, **{what: kind})}"
            for what, kind in (("voter", Forgetful), ("claim", Answerers), ("claim", Hasty), ("claim", Unchecked))
        ]
        self.assertFalse([line for line in lines if "None" in line], lines)
        self.check("duties-planted", type("Notes", (), {"lines": lines})())


class Orders(TraceCase):
    def test_all_orders_of_a_few_events(self):
        """Two candidates and three voters: every order of what may happen first, replayed; states are counted once."""
        events = (
            "first",
            "last",
            "lose",
            "double",
            "tick n0",
            "tick n1",
            "act n0",
            "act n1",
            "later",
            "over",
            "forget n2",
        )
        states = set()

        def play(path: tuple[str, ...]) -> World:
            world = World(3, 1)
            world.rng = type(
                "Even",
                (),
                {"random": lambda self: 0.5, "choice": lambda self, all: all[0], "randrange": lambda self, n: 0},
            )()
            # A lease is on its way: n0 has asked and two have promised.
            world.tick("n0")
            for _ in range(4):
                world.deliver(0)
            for event in path:
                what, _, name = event.partition(" ")
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
                        world.tick(name)
                    case "act":
                        world.act(name)
                    case "later":
                        world.now += LEASE // 3
                    case "over":
                        world.now += int(LEASE * 1.2)
                    case "forget":
                        world.start(name, 1.0)
                    case _:
                        return world
                world.check()
            return world

        def mark(world: World) -> int:
            return crc32(
                repr((world.now, world.wire, [(site.claim, site.voter) for site in world.sites.values()])).encode()
            )

        edge = [()]
        for depth in range(5):
            beyond = []
            for path in edge:
                for event in events:
                    world = play((*path, event))
                    if (one := mark(world)) not in states:
                        states.add(one)
                        beyond.append((*path, event))
            edge = beyond if depth < 2 else beyond[:: max(1, len(beyond) // 200)]
        self.assertGreater(len(states), 1000)
        self.check("duties-orders", type("Notes", (), {"lines": [f"{len(states)} states, no rule broken"]})())


class Claims(unittest.TestCase):
    def test_taken_over_after_a_death_and_given_back_at_once(self):
        world = World(3, 7)

        def calm(seconds: float) -> None:
            for _ in range(int(seconds * 20)):
                world.now += 50 * MS
                for name in world.names:
                    world.tick(name)
                while awake := [i for i, one in enumerate(world.wire) if world.sites[one[1]].asleep <= world.now]:
                    world.deliver(awake[0])
                world.check()

        def owner() -> list[str]:
            return [name for name, site in world.sites.items() if site.claim.owns(world.clock(name))]

        calm(2)
        first = owner()
        self.assertEqual(len(first), 1)
        number = world.sites[first[0]].claim.fence
        calm(10)
        self.assertEqual(owner(), first)  # it renews
        world.send(first[0], world.sites[first[0]].claim.leave(world.clock(first[0]), 0.5))
        begun = world.now
        while not owner():
            calm(0.05)
        self.assertLess(world.now - begun, 1_500 * MS)
        second = owner()
        self.assertNotEqual(first, second)
        self.assertGreater(world.sites[second[0]].claim.fence, number)
        world.sites[second[0]].asleep = world.now + 60_000 * MS  # and this one is gone
        begun = world.now
        while not [name for name in owner() if name != second[0]]:
            calm(0.05)
        self.assertLess(world.now - begun, 6_000 * MS)

    def test_lists_of_voters_that_change_need_both_majorities(self):
        claim = Claim("d", "a", 0, ["a", "b", "c", "d", "e"], ["a", "b", "c"], LEASE, FLIGHT)
        self.assertFalse(claim.majority({"c", "d", "e"}))
        self.assertFalse(claim.majority({"a", "b"}))
        self.assertTrue(claim.majority({"a", "b", "d"}))

    def test_fences_refuse_what_is_older(self):
        fences = Fences()
        self.assertEqual([fences.admit("d", number) for number in (3, 3, 5, 4, 5)], [True, True, True, False, True])
        self.assertEqual(fences.refused, 1)


if __name__ == "__main__":
    unittest.main()
