"""Owns what changes mean at one node: which version of each name is in force, and what a purge voids.

In order, each once, whatever comes twice; nothing here is needed to serve. A version is in force whole or not at all:
`check`, passed in, says before why not. Purges give effects: the node voids joined fetches and fills under way of the
key, and holds nothing of before for fresh. Not built: sending a purge on to the cache servers that may hold it (all
candidates and spills; one that was away is purged before it is asked again, or counts as empty). Its place is behind
`Void`, by who carries the effects out. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from saltmoor.changes import kinds
from saltmoor.changes.messages import Entry, State


class Install(msgspec.Struct, frozen=True):
    """Put this version in force now, whole."""

    name: str
    version: int
    body: bytes


class Rejected(msgspec.Struct, frozen=True):
    """That version is not in force here; what was before stays."""

    name: str
    version: int
    why: str


class Void(msgspec.Struct, frozen=True):
    """What is joined, under way or kept of these keys is of before the purge. `what`: key, prefix, tag."""

    what: str
    value: bytes
    offset: int


class VoidAll(msgspec.Struct, frozen=True):
    """Purges up to `offset` are not known one by one: nothing of before counts as fresh."""

    generation: int
    offset: int


Effect = Install | Rejected | Void | VoidAll


@dataclass(slots=True)
class Apply:
    """`check(name, version, body)`: why the node would refuse that version, empty if it would not; it may not raise."""

    check: Callable[[str, int, bytes], str]
    generation: int = 0
    offset: int = 0
    force: dict[str, int] = field(default_factory=dict)  # version of each name that is in force
    rejected: dict[str, Rejected] = field(default_factory=dict)  # the latest of each name, if it was refused
    purged: int = 0  # purges applied
    unknown: int = 0  # changes of kinds, or contents, that this build does not know

    def apply(self, event: Entry | State) -> list[Effect]:
        if isinstance(event, State):
            if event.generation == self.generation and event.offset <= self.offset:
                return []
            # Another generation's versions may be others under the same numbers.
            anew = event.generation != self.generation
            self.generation, self.offset = event.generation, event.offset
            effects: list[Effect] = [VoidAll(event.generation, event.offset)]
            for entry in event.state:
                effects += self.config(entry, anew)
            return effects
        if event.offset <= self.offset:
            return []
        self.offset = event.offset
        match event.kind:
            case kinds.CONFIG:
                return self.config(event, False)
            case kinds.PURGE:
                return self.purge(event)
            case kind if kind not in kinds.OWN:
                self.unknown += 1
        return []

    def config(self, entry: Entry, anew: bool) -> list[Effect]:
        try:
            one = kinds.read(kinds.CONFIG, entry.content)
        except kinds.Unfit:
            self.unknown += 1
            return []
        if one.version <= self.force.get(one.name, 0) and not anew:
            return []
        if why := self.check(one.name, one.version, one.body):
            self.rejected[one.name] = Rejected(one.name, one.version, why)
            return [self.rejected[one.name]]
        self.rejected.pop(one.name, None)
        self.force[one.name] = one.version
        return [Install(one.name, one.version, one.body)]

    def purge(self, entry: Entry) -> list[Effect]:
        try:
            one = kinds.read(kinds.PURGE, entry.content)
        except kinds.Unfit:
            self.unknown += 1
            return [VoidAll(self.generation, entry.offset)]  # a purge of something: on the strict side
        self.purged += 1
        return [Void(one.what, one.value, entry.offset)]
