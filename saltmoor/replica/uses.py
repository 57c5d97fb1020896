"""Owns what shared entries mean to a node: which are made of what it sees, and what it does with those of others.

What a peer says makes a node stricter or better informed, never laxer: a drain that is told stops new hops, a later
start makes a server colder, evidence has it asked before it is sent to, a newer list names servers where discovery
has told less. No word lifts a drain, warms a server, or makes anything count as not run. No I/O; the clock is given.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from saltmoor.choice import Node
from saltmoor.model import Micros, Readiness
from saltmoor.replica.entries import SECOND, Entry, Kept, Store

AGAIN: Micros = 2 * SECOND  # evidence that still holds is said again, before it is forgotten
SAID = 20  # changes of evidence a step at most


class Seen(msgspec.Struct, array_like=True):
    """What one node holds of one server."""

    site: str
    what: str  # down, aside, or well
    n: int


@dataclass(slots=True)
class Listed:
    """What a node knows of the list by its own discovery."""

    generation: int = 0
    up: dict[str, int] = field(default_factory=dict)  # servers it called ready: in which generation, last
    starts: dict[str, int] = field(default_factory=dict)  # milliseconds of wall time, as told


@dataclass(slots=True)
class Uses:
    me: str
    site: str
    source: str
    on: frozenset[str]
    store: Store
    count: int = 0  # of this node's evidence; begins where no earlier process of its name was
    listed: Listed = field(default_factory=Listed)
    said: dict[str, tuple[str, Micros]] = field(default_factory=dict)  # evidence: what was said of a server, and when
    doubts: dict[str, int] = field(default_factory=dict)  # servers that others hold to be down: how many do
    took: dict[str, int] = field(default_factory=dict)  # how often each use had an effect

    # From this node.

    def news(self, now: Micros, generation: int, lines: Iterable[Any]) -> None:
        """Its own discovery has told so; lines are config.Line, with starts as they were told."""
        for line in lines:
            one = line.member
            name, told = str(one.server), one.started // 1000
            if "starts" in self.on and told > self.listed.starts.get(name, 0):
                self.store.put(now, Entry.made("start", f"{self.source}|{name}", told, b""))
            self.listed.starts[name] = max(told, self.listed.starts.get(name, 0))
            if one.readiness is Readiness.READY:
                self.listed.up[name] = max(generation, self.listed.up.get(name, 0))
            if "drains" in self.on and one.readiness is not Readiness.READY:
                self.store.put(now, Entry.made("drain", f"{self.source}|{name}|{told}", generation, b""))
        self.listed.generation = max(generation, self.listed.generation)

    def keep_list(self, now: Micros, generation: int, lines: list[dict[str, Any]]) -> None:
        if "lists" in self.on and generation:
            kept = self.store.get("list", self.source)
            if kept is None or kept.version < generation:
                body = msgspec.msgpack.encode(sorted(lines, key=lambda one: one["instanceId"]))
                self.store.put(now, Entry.made("list", self.source, generation, body))

    def look(self, now: Micros, node: Node) -> None:
        """Say what has changed in what this node holds of its servers."""
        if "evidence" not in self.on:
            return
        changed = 0
        for server in node.caches:
            what = "down" if server.down else "aside" if server.out_until > now else "well"
            name = str(server.id)
            before, when = self.said.get(name, ("well", 0))
            if what == before and (what == "well" or now - when < AGAIN) or changed >= SAID:
                continue
            changed += 1
            self.count += 1
            self.said[name] = what, now
            self.store.put(now, Entry.made("evidence", f"{name}|{self.me}", self.count, Seen(self.site, what, 1)))
        if len(self.said) > 2 * len(node.caches) + 16:
            names = {str(server.id) for server in node.caches}
            self.said = {name: kept for name, kept in self.said.items() if name in names}

    # From others.

    def drains(self, name: str, started: Micros) -> bool:
        """Whether anybody has heard that this process of the server takes nothing new, later than this node heard
        from discovery itself that it does."""
        kept = self.store.get("drain", f"{self.source}|{name}|{started // 1000}")
        return "drains" in self.on and kept is not None and kept.version > self.listed.up.get(name, 0)

    def start_of(self, name: str) -> int:
        kept = self.store.get("start", f"{self.source}|{name}")
        return kept.version if kept and "starts" in self.on else 0

    def server_of(self, entry: Entry) -> tuple[str, int] | None:
        """Which server a drain or a start of this node's source is about, and its start in milliseconds."""
        words = entry.key.split("|")
        if words[0] != self.source:
            return None
        if entry.kind == "drain" and len(words) == 3 and words[2].isdigit():
            return words[1], int(words[2])
        return (words[1], entry.version) if entry.kind == "start" and len(words) == 2 else None

    def newer_list(self) -> tuple[int, list[dict[str, Any]]] | None:
        """The list of this node's source, where another heard a newer one; None where it cannot be read."""
        kept = self.store.get("list", self.source) if "lists" in self.on else None
        if kept is None or kept.version <= self.listed.generation:
            return None
        try:
            lines = msgspec.msgpack.decode(kept.body, type=list[dict[str, Any]])
        except (msgspec.DecodeError, RecursionError):
            return None
        return kept.version, lines

    def suspects(self, now: Micros, sites: int) -> dict[str, int]:
        """Servers that others hold to be down or aside, and how many of them do.

        Guards against many that share one wrong cause: where nodes stand at several sites, two of the sites must
        say so; else two nodes.
        """
        told: dict[str, set[str]] = {}
        counts: dict[str, int] = {}
        for key, kept in self.store.kinds.get("evidence", {}).items():
            name, _, observer = key.rpartition("|")
            seen = self.read(kept)
            if observer != self.me and seen and seen.what in ("down", "aside") and now - kept.written < 2 * AGAIN:
                told.setdefault(name, set()).add(seen.site)
                counts[name] = counts.get(name, 0) + 1
        return {name: count for name, count in counts.items() if (len(told[name]) > 1 if sites > 1 else count > 1)}

    @staticmethod
    def read(kept: Kept) -> Seen | None:
        try:
            return msgspec.msgpack.decode(kept.body, type=Seen)
        except (msgspec.DecodeError, RecursionError):
            return None

    def doubt(self, now: Micros, node: Node, sites: int) -> list[str]:
        """Ask such a server before anything is sent to it: its own answer comes before what others say."""
        if "evidence" not in self.on:
            return []
        before, self.doubts = self.doubts, self.suspects(now, sites)
        fresh = [name for name in self.doubts if name not in before]
        for server in node.caches if fresh else ():
            if str(server.id) in fresh and not server.down and server.asked < 0:
                server.wary, server.answered = True, min(server.answered, now - node.fresh)
                self.took["evidence"] = self.took.get("evidence", 0) + 1
        return fresh

    def note(self, use: str) -> None:
        self.took[use] = self.took.get(use, 0) + 1
