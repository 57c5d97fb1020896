"""Owns how entries of the replicated table spread: what is new here is told a few times, what comes is merged.

It must never hold an entry itself, nor repair what was lost on its way: `anti_entropy` does.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger
from saltmoor.peers import frames
from saltmoor.peers.messages import MessageType
from saltmoor.replica.entries import Entry, Stamps, Store

SMALL = 900  # bytes of an entry that is told in a datagram; a larger one is pulled
DIRECT = 12  # members: up to so many are told by who has it, beyond that they tell each other
FAN_OUT = 4  # members who are told at once where there are more
TIMES_TOLD = 3  # by the node where the entry is new
WAITING_MOST = 5_000  # entries that wait to be told; the oldest go
AT_A_TIME = 64  # entries told in one go
MERGED_MOST = 64  # entries taken of one datagram
ENTRY_OVERHEAD = 40  # bytes of an entry beside its texts, at most
FRAME_OVERHEAD = 200  # bytes of a frame beside its entries, at most


@dataclass(slots=True)
class Rumour:
    """An entry that is still to be told."""

    entry: Entry
    times_left: int


def batches(entries: list[Entry]) -> list[list[Entry]]:
    """The entries in order, in groups of which each fits into a datagram."""
    groups: list[list[Entry]] = []
    size = 0
    for entry in entries:
        length = len(entry.body) + len(entry.key) + len(entry.kind) + ENTRY_OVERHEAD
        if not groups or size + length > frames.DATAGRAM - FRAME_OVERHEAD:
            groups.append([])
            size = 0
        groups[-1].append(entry)
        size += length
    return groups


class Gossip:
    """Spreads entries. `took` hears of each that is new here and came from another.

    `pulling` tells whether a pull is under way, whose entries the others have already; `wall` is the fleet's wall clock;
    `soon` runs a callback when the loop comes to it.
    """

    def __init__(
        self,
        messenger: Messenger,
        store: Store,
        stamps: Stamps,
        *,
        clock: Callable[[], Micros],
        wall: Callable[[], Micros],
        pulling: Callable[[], bool],
        soon: Callable[[Callable[[], None]], object],
    ) -> None:
        self.messenger, self.store, self.stamps = messenger, store, stamps
        self.clock, self.wall, self.pulling, self.soon = clock, wall, pulling, soon
        self.took: Callable[[Entry], None] = lambda entry: None
        self.rumours: deque[Rumour] = deque()
        self.due = False  # `spread` comes with the loop
        self.merging = False  # what is put into the table now came from another
        store.hear = self.is_new
        messenger.route(MessageType.ENTRIES, list[Entry], self.entries_came)

    def entries_came(self, _sender: str, entries: list[Entry]) -> None:
        now = self.clock()
        for entry in entries[:MERGED_MOST]:
            self.merge(now, entry)

    def merge(self, now: Micros, entry: Entry) -> None:
        """Put an entry of another node into the table."""
        if entry.kind == "word" and not self.stamps.take(self.wall(), entry.version):
            self.store.refuse("clock")
            return
        self.merging = True
        try:
            self.store.put(now, entry)
        finally:
            self.merging = False

    def is_new(self, entry: Entry) -> None:
        """The table has changed: the entry is told on, and its owner hears of it where another has told it."""
        if len(entry.body) + len(entry.key) <= SMALL and not (self.merging and self.pulling()):
            self.add(entry)
        if self.merging:
            try:
                self.took(entry)
            except Exception as error:  # what cannot be used is carried all the same
                self.messenger.log(f"fault in a shared item: {entry.kind} {entry.key}: {type(error).__name__}: {error}")

    def add(self, entry: Entry) -> None:
        self.rumours.append(Rumour(entry, 1 if self.merging else TIMES_TOLD))
        while len(self.rumours) > WAITING_MOST:
            self.rumours.popleft()
        if not self.due:
            self.due = True
            self.soon(self.spread)

    def spread(self) -> None:
        """Tell what is new: all where they are few, else some, who tell it on."""
        self.due = False
        if not self.rumours or not self.messenger.sockets.is_open:
            return
        members = self.messenger.members
        there = members.there()
        entries, again = self.next_entries()
        for batch in batches(entries):
            for name in there if len(there) <= DIRECT else members.some(there, FAN_OUT):
                self.messenger.send_to(name, MessageType.ENTRIES, batch)
        self.rumours.extend(again)  # with the next tick

    def next_entries(self) -> tuple[list[Entry], list[Rumour]]:
        """What is to be told now, with its age by now, and what of it is to be told again."""
        now, entries, again = self.clock(), [], []
        for _ in range(min(len(self.rumours), AT_A_TIME)):
            rumour = self.rumours.popleft()
            rumour.times_left -= 1
            if rumour.times_left > 0:
                again.append(rumour)
            entry = rumour.entry
            kept = self.store.get(entry.kind, entry.key)
            if kept and kept.version == entry.version:  # else a newer one is on its way already
                entries.append(self.store.entry(now, entry.kind, entry.key))
        return entries, again
