"""One owner at a time while voters restart with other settings: all orders of a few restarts, each with its own lease.

Guards against voters that forget a grant and vote again while it stands (review/10).
"""

from __future__ import annotations

import unittest
from itertools import product
from types import SimpleNamespace
from zlib import crc32

from saltmoor.config import Dutiful
from saltmoor.duties.lease import Ask
from saltmoor.model import Micros
from saltmoor.net.duties import Duties
from saltmoor.peers import frames
from tests.helper import MS

NAMES = ("n0", "n1", "n2")
SHORT, MIDDLE, LONG = LEASES = (500 * MS, 2_000 * MS, 600_000 * MS)
HOUR: Micros = 3_600_000 * MS
STEP: Micros = 100 * MS
DUTY = "d"


class TwoOwners(Exception):
    """Two nodes say at one moment that they own the duty."""


class Fleet:
    """Three nodes' duties on one clock, without disk, and a network that loses nothing but holds what it is told to."""

    def __init__(self, lease: Micros) -> None:
        self.now: Micros = 2 * HOUR
        self.wire: list[tuple[str, str, object]] = []  # from, to, message
        self.nodes: dict[str, Duties] = {}
        for name in NAMES:
            self.restart(name, lease)

    def restart(self, name: str, lease: Micros, behind: Micros = 0) -> None:
        """With that lease, and with a wall clock that is `behind` the others'."""
        peers = SimpleNamespace(
            name=name,
            clock=lambda: self.now,
            wall=lambda: self.now - behind,
            members=SimpleNamespace(chance=lambda: 0.1 + 0.3 * NAMES.index(name)),
            messenger=SimpleNamespace(
                route=lambda *route: None,
                send_to=lambda to, kind, message: self.wire.append((name, to, message)),
            ),
            operators=SimpleNamespace(views={}),
        )
        given = Dutiful("c", NAMES, (), lease, lease // 8, "", 1, (DUTY,))
        self.nodes[name] = Duties(peers, given, lambda line: None)

    def deliver(self) -> None:
        source, to, message = self.wire.pop(0)
        node = self.nodes[to]
        try:
            if isinstance(message, Ask):
                node.asked(source, message)
            else:
                node.voted(source, message)
        except frames.Strange:
            pass  # as the messenger takes it

    def run(self, duration: Micros, held: bool = False) -> None:
        """So long with a network that is calm, or holds back all messages."""
        for _ in range(duration // STEP):
            self.now += STEP
            for node in self.nodes.values():
                node.tick(self.now)
            while self.wire and not held:
                self.deliver()
            self.check()

    def views(self) -> dict[str, dict]:
        return {name: node.shown()["duties"][DUTY] for name, node in self.nodes.items()}

    def owners(self) -> list[str]:
        return [name for name, view in self.views().items() if view["owner"]]

    def check(self) -> None:
        if len(owners := self.owners()) > 1:
            raise TwoOwners(f"{' and '.join(owners)}: {self.views()}")

    def until_owned(self, within: Micros) -> None:
        end = self.now + within
        while not self.owners() and self.now < end:
            self.run(STEP)

    def state(self) -> int:
        nodes = [(node.voter, list(node.claims.values())) for node in self.nodes.values()]
        return crc32(repr((self.now, self.wire, nodes)).encode())


EVENTS = (
    *(f"restart {place} {lease}" for place, lease in product((1, 2), LEASES)),  # places behind the owner's
    f"restart 0 {SHORT}",
    f"restart 1 {SHORT} {HOUR}",
    f"restart 2 {MIDDLE} {HOUR}",
    f"run {600 * MS}",
    f"run {3_000 * MS}",
    f"hold {600 * MS}",
)


def play(lease: Micros, path: tuple[str, ...]) -> Fleet:
    """That path behind a grant that is under way: the owner's renewal is with half of the voters."""
    fleet = Fleet(lease)
    fleet.until_owned(30_000 * MS)
    owner = fleet.owners()[0]
    names = [owner, *(name for name in NAMES if name != owner)]
    claim = fleet.nodes[owner].claims[DUTY]
    while not fleet.wire:
        fleet.now = max(fleet.now + 1, claim.next)
        fleet.nodes[owner].tick(fleet.now)
    fleet.deliver()
    for event in path:
        what, *numbers = event.split()
        if what == "restart":
            place, *settings = map(int, numbers)
            fleet.restart(names[place], *settings)
        else:
            fleet.run(int(numbers[0]), held=what == "hold")
        fleet.check()
    return fleet


def explore(lease: Micros, depth: int) -> int:
    """How many states all paths of up to so many events lead to; each state is gone on from once. Raises TwoOwners."""
    seen, edge = set(), [()]
    for _ in range(depth):
        paths, edge = [(*path, event) for path in edge for event in EVENTS], []
        for path in paths:
            try:
                state = play(lease, path).state()
            except TwoOwners as error:
                raise TwoOwners(f"behind {path}: {error}") from None
            if state not in seen:
                seen.add(state)
                edge.append(path)
    return len(seen)


class Restarts(unittest.TestCase):
    def test_never_two_owners_in_any_order(self):
        for lease in LEASES:
            with self.subTest(lease=lease):
                self.assertGreater(explore(lease, depth=3), 300)

    def test_an_owner_is_found_again(self):
        """Whatever the settings are now, and they may differ."""
        for first, second, third in product(LEASES, repeat=3):
            fleet = Fleet(LONG)
            fleet.until_owned(30_000 * MS)
            for name, lease in zip(NAMES, (first, second, third)):
                fleet.restart(name, lease)
            fleet.until_owned(30_000 * MS)
            with self.subTest(leases=(first, second, third)):
                self.assertEqual(len(fleet.owners()), 1)


if __name__ == "__main__":
    unittest.main()
