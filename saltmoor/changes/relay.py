"""Owns what a relay, or a control machine, hands on: one cursor for each subscriber into one retained range of the log.

It hands on what is committed, in order, without gaps, and nothing else; what a subscriber costs does not grow with how
slowly it reads. Work for those that are far behind is bounded by bytes a second, subscribers by number. It is pulled:
`due` says whose stream has something, `drain` gives it as far as there is room. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from saltmoor.changes.messages import BATCH, WEIGHT, Batch, Entry, Refuse, State, Subscribe
from saltmoor.changes.store import Store
from saltmoor.model import Micros

SECOND: Micros = 1_000_000
PULSE: Micros = 300_000  # without a new beat for so long, the last is said again: the stream lives
NEAR = 256  # entries; who is no further behind is given them without being counted as catching up


@dataclass(slots=True)
class Cursor:
    generation: int
    offset: int
    beat: int = 0
    pulse: int = 0


@dataclass(slots=True)
class Relay:
    """`most`: subscribers; `starts`: their starts a second; `catch_up`: bytes a second, by weight, to who is far behind."""

    me: str
    store: Store
    most: int = 512
    starts: int = 256
    catch_up: int = 16 << 20
    cursors: dict[str, Cursor] = field(default_factory=dict)
    mark: int = 0  # committed at the beat
    beat: int = 0
    beat_at: Micros = 0
    pulse: int = 0  # how often it had no new beat for that long
    at: Micros = 0
    started: float = 0.0  # subscriptions of late
    spent: float = 0.0  # bytes of late
    turn: int = 0
    refused: int = 0

    # What it has. A control machine's relay has the store of its copy, and is told the watermark alone.

    def feed(self, now: Micros, event: Entry | State) -> None:
        """What this node's subscriber has newly applied."""
        if isinstance(event, State):
            self.store.reset(event)
            self.mark, self.beat = 0, 0
        elif event.offset == self.store.last + 1:
            self.store.append(now, event)
            self.store.commit(event.offset)

    def watermark(self, mark: int, beat: int) -> None:
        if beat > self.beat:
            self.mark, self.beat, self.beat_at = mark, beat, self.at

    # Subscribers.

    def hear(self, now: Micros, who: str, message: Subscribe) -> list[tuple[str, Any]]:
        self.tick(now)
        known = who in self.cursors
        if not known and len(self.cursors) >= self.most or self.started >= self.starts:
            self.refused += 1
            spread = crc32(f"{who}|{now}".encode()) % (2 * SECOND)
            return [(who, Refuse("full" if len(self.cursors) >= self.most else "busy", SECOND // 2 + spread))]
        self.started += 1
        self.cursors[who] = Cursor(message.generation, message.offset, pulse=self.pulse)
        return []

    def gone(self, who: str) -> None:
        self.cursors.pop(who, None)

    def tick(self, now: Micros) -> list[tuple[str, Any]]:
        passed = max(0, now - self.at) / SECOND
        self.at = max(self.at, now)
        self.started = max(0.0, self.started - passed * self.starts)
        self.spent = max(0.0, self.spent - passed * self.catch_up)
        self.store.compact(now)
        if now - self.beat_at >= PULSE:
            self.pulse, self.beat_at = self.pulse + 1, now
        return []

    def due(self) -> list[str]:
        """Whose streams have something, in another order each time, so that who is near the end starves nobody."""
        names = [name for name, cursor in self.cursors.items() if self.wants(cursor)]
        self.turn += 1
        start = self.turn % len(names) if names else 0
        return names[start:] + names[:start]

    def wants(self, cursor: Cursor) -> bool:
        store = self.store
        if cursor.pulse < self.pulse:
            return True
        if self.far(cursor):
            return bool(store.generation) and self.free()
        lag = store.committed - cursor.offset
        return cursor.beat < self.beat or lag > 0 and (lag <= NEAR or self.free())

    def far(self, cursor: Cursor) -> bool:
        """Entries alone do not bring it on."""
        return cursor.generation != self.store.generation or cursor.offset < self.store.base

    def free(self) -> bool:
        """Guards against one step that takes long, where many are far behind: an eighth of a second's bytes at once."""
        return 8 * self.spent < self.catch_up

    def drain(self, who: str, room: int) -> list[Any]:
        """Up to so many bytes for that stream, one message at least where there is any room, and its cursor moved."""
        cursor, store, out = self.cursors.get(who), self.store, []
        message: State | Batch
        while room > 0 and cursor and self.wants(cursor):
            far = self.far(cursor)
            if far and store.generation and self.free():
                message, offset, beat = store.state(), store.committed, 0
                size = WEIGHT + sum(entry.weight for entry in message.state)
            else:
                lag = 0 if far else store.committed - cursor.offset
                entries = (
                    store.after(cursor.offset, min(room, BATCH), store.committed)
                    if 0 < lag <= NEAR or (lag > 0 and self.free())
                    else []
                )
                message = Batch(store.generation, entries, max(self.mark, store.committed), self.beat)
                offset, beat = entries[-1].offset if entries else cursor.offset, self.beat
                size, far = WEIGHT + sum(entry.weight for entry in entries), lag > NEAR
            if size > room and out:
                break
            self.spent += size if far else 0
            if isinstance(message, State):
                cursor.generation = store.generation
            cursor.offset, cursor.beat, cursor.pulse = offset, beat, self.pulse
            room -= size
            out.append(message)
        return out
