"""Owns a copy of the log: the retained entries, the state before them, what is committed. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from saltmoor.changes import kinds
from saltmoor.changes.messages import MOST, Entry, State
from saltmoor.model import Micros

KEEP: Micros = 900_000_000
ROOM = 16 << 20  # bytes, by Entry.weight

EMPTY = State(0, 0, 0, [])


class Broken(Exception):
    """What is committed would have to change: a fault of the program, never to be carried out."""


@dataclass(slots=True)
class Store:
    """`keep`, `room`: how long and how many bytes of entries are retained behind what is committed."""

    keep: Micros = KEEP
    room: int = ROOM
    floor: State = EMPTY  # all that was before the first retained entry
    entries: list[Entry] = field(default_factory=list)
    times: list[Micros] = field(default_factory=list)  # when each came, by this machine's clock
    weight: int = 0
    loose: int = 0  # of it, what is not committed
    committed: int = 0
    generation: int = 0  # of what is committed
    head: dict[str, Entry] = field(default_factory=dict)  # latest committed version of each name
    under: dict[str, Entry] = field(default_factory=dict)  # the same at the floor
    ids: dict[str, int] = field(default_factory=dict)

    @property
    def base(self) -> int:
        return self.floor.offset

    @property
    def last(self) -> int:
        return self.floor.offset + len(self.entries)

    @property
    def last_epoch(self) -> int:
        return self.entries[-1].epoch if self.entries else self.floor.epoch

    def epoch_at(self, offset: int) -> int | None:
        """None: not known here, or no longer."""
        if offset == self.base:
            return self.floor.epoch
        place = offset - self.base - 1
        return self.entries[place].epoch if 0 <= place < len(self.entries) else None

    def append(self, now: Micros, entry: Entry) -> None:
        if entry.offset != self.last + 1 or entry.epoch < self.last_epoch:
            raise Broken(f"entry {entry.offset} of epoch {entry.epoch} behind {self.last} of {self.last_epoch}")
        self.entries.append(entry)
        self.times.append(now)
        self.weight += entry.weight
        self.loose += entry.weight
        self.ids[entry.id] = entry.offset
        if self.weight > self.room:
            self.compact(now)

    def cut(self, offset: int) -> None:
        """Back to that one; what is committed stays, whatever anybody says."""
        if offset < self.committed:
            raise Broken(f"cut to {offset}, committed {self.committed}")
        while self.last > offset:
            entry = self.entries.pop()
            self.times.pop()
            self.weight -= entry.weight
            self.loose -= entry.weight
            if self.ids.get(entry.id) == entry.offset:
                del self.ids[entry.id]

    def commit(self, offset: int, generation: int | None = None) -> None:
        """`generation`: what the leader's log is of, once that is committed."""
        place = self.committed - self.base
        entries = self.entries[place : max(place, offset - self.base)]
        # Guards against handing on the end of a generation that is over, before the new one's beginning has come.
        if generation not in (None, self.generation) and not any(
            entry.kind == kinds.GENERATION and entry.epoch == generation for entry in entries
        ):
            return
        for entry in entries:
            self.committed = entry.offset
            self.loose -= entry.weight
            if entry.kind == kinds.GENERATION:
                self.generation = entry.epoch
            note(self.head, entry)

    def compact(self, now: Micros) -> int:
        """Forget what is over the time or the room, as far as it is committed; how many entries that were."""
        # Guards against one move of the whole list for each entry, once it is full.
        room = self.room - self.room // 16 if self.weight > self.room else self.room
        gone, free = 0, self.committed - self.base
        while gone < free and (self.weight > room or now - self.times[gone] > self.keep):
            entry = self.entries[gone]
            self.weight -= entry.weight
            if self.ids.get(entry.id) == entry.offset:
                del self.ids[entry.id]
            note(self.under, entry)
            gone += 1
        if gone:
            passed, last = self.entries[:gone], self.entries[gone - 1]
            generation = next(
                (one.epoch for one in reversed(passed) if one.kind == kinds.GENERATION), self.floor.generation
            )
            self.floor = State(generation, last.offset, last.epoch, listed(self.under))
            del self.entries[:gone], self.times[:gone]
        return gone

    def after(self, offset: int, room: int, upto: int) -> list[Entry]:
        """Retained entries behind `offset`, no later than `upto`, in so many bytes; one at least, if there is one."""
        taken: list[Entry] = []
        place = offset - self.base
        for entry in self.entries[max(0, place) : max(0, min(upto - self.base, place + MOST))]:
            room -= entry.weight
            if room < 0 and taken:
                break
            taken.append(entry)
        return taken

    def state(self) -> State:
        """At what is committed."""
        return State(self.generation, self.committed, self.epoch_at(self.committed) or 0, listed(self.head))

    def reset(self, floor: State) -> None:
        """Nothing but this."""
        self.floor, self.committed, self.generation = floor, floor.offset, floor.generation
        self.entries, self.times, self.weight, self.loose, self.ids = [], [], 0, 0, {}
        self.head, self.under = {}, {}
        for entry in floor.state:
            note(self.head, entry)
            note(self.under, entry)

    def version(self, name: str) -> int:
        """Of the whole log, committed or not; 0: none."""
        for entry in reversed(self.entries[self.committed - self.base :]):
            if entry.kind == kinds.CONFIG and (one := config(entry)) and one.name == name:
                return one.version
        one = config(self.head[name]) if name in self.head else None
        return one.version if one else 0


def config(entry: Entry) -> kinds.Config | None:
    try:
        return kinds.read(kinds.CONFIG, entry.content) if entry.kind == kinds.CONFIG else None
    except kinds.Unfit:
        return None  # of a build that knows more: passed on, not taken


def note(table: dict[str, Entry], entry: Entry) -> None:
    if one := config(entry):
        table[one.name] = entry


def listed(table: dict[str, Entry]) -> list[Entry]:
    return sorted(table.values(), key=lambda entry: entry.offset)
