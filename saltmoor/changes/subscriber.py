"""Owns how one node follows the log: from whom, what it has applied, how old what it knows is.

One stream at a time. Entries are taken in order and once, whatever comes twice, late, or from two at once; a gap is seen
by its offset and asked for by range. What it knows is as old as the newest beat it has all entries for, by its own
clock from when the beat came. Who brings no new beat is left for another, at a bounded rate. No I/O, no clock.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Any
from zlib import crc32

from saltmoor.changes.messages import Batch, Entry, Refuse, State, Subscribe
from saltmoor.model import Micros

MS: Micros = 1_000
SILENT: Micros = 750 * MS  # without a new beat, until another is asked
PATIENT: Micros = 5_000 * MS  # the same, with a relay whose stream lives: it looks for new beats itself
STALE: Micros = 1_000 * MS
ASK_AGAIN: Micros = 100 * MS  # between two asks for a range
ASK_LATER: Micros = 500 * MS  # where nothing comes though there is something
BACK: Micros = 250 * MS  # the first wait between tries; it doubles
BACK_MOST: Micros = 1_000 * MS
REST: Micros = 30_000 * MS  # with its relay, where nobody has new beats: that one looks for them
HOME: Micros = 20_000 * MS  # until it looks whether the preferred relay is back
RELAYS = 2  # of a site
NEARLY = 2  # beats that the preferred relay may be behind the one that a node has, and is taken
NEVER: Micros = -1 << 60


class Stream(Enum):
    IDLE = auto()  # waits for its time to try another
    ASKED = auto()
    LIVE = auto()  # new beats come


class In(Enum):
    DUE = auto()
    HEARD = auto()  # a new beat
    SILENT = auto()
    REFUSED = auto()


TABLE = {
    (Stream.IDLE, In.DUE): Stream.ASKED,
    (Stream.IDLE, In.HEARD): Stream.LIVE,  # the one that was silent is not
    (Stream.ASKED, In.HEARD): Stream.LIVE,
    (Stream.ASKED, In.SILENT): Stream.IDLE,
    (Stream.ASKED, In.REFUSED): Stream.IDLE,
    (Stream.LIVE, In.SILENT): Stream.IDLE,
    (Stream.LIVE, In.REFUSED): Stream.IDLE,
}


def ranked(names: list[str], salt: str) -> list[str]:
    """Rendezvous hashing: the same at every node, and a name that goes moves nothing else."""
    return sorted(names, key=lambda name: (crc32(f"{salt}|{name}".encode()), name))


def relays(site: str, nodes: list[str]) -> list[str]:
    """The nodes of a site that hand on to the others."""
    return ranked(nodes, site)[:RELAYS]


class Subscriber:
    """`nodes`: of its site, itself among them; `controls`: the control machines; `stale`: what it knows may be
    so old; `take` gives what is newly applied."""

    def __init__(
        self, now: Micros, me: str, site: str, nodes: list[str], controls: list[str], stale: Micros = STALE
    ) -> None:
        self.me, self.site, self.controls, self.bound = me, site, controls, stale
        self.generation = self.offset = 0
        self.beat = 0  # the largest of this generation
        self.pending: tuple[int, Micros] | None = None  # what must be had for it to count, and when it came
        self.fresh_at: Micros = NEVER  # when the newest beat that counts came
        self.mark = 0  # committed at the largest beat, as told: for who hands it on
        self.foreign, self.foreign_lives = (0, 0), False  # another generation and its beat, as first seen
        self.state, self.place, self.failures = Stream.IDLE, 0, 0
        self.upstream, self.trial = "", ""
        self.quiet_since = self.next = self.lives_at = now
        self.trial_until = self.home_at = self.asked_at = self.moved_at = NEVER
        self.taken: list[Entry | State] = []
        self.mode, self.draws = "", 0
        self.lines: list[str] = []
        self.counts = {"doubled": 0, "gaps": 0, "foreign": 0, "states": 0, "switches": 0, "entries": 0}
        self.order: list[str] = []
        self.place_nodes(now, nodes)

    def place_nodes(self, now: Micros, nodes: list[str]) -> None:
        """The site's nodes have changed, as membership says."""
        hubs = relays(self.site, [*{*nodes, self.me}])
        self.relays = self.me in hubs
        controls = ranked(self.controls, self.me)
        self.order = controls if self.relays else [*ranked(hubs, self.me), *controls]
        if self.upstream in self.order:
            self.place, self.home_at = self.order.index(self.upstream), now + int(HOME * self.chance())
        else:
            self.step(In.SILENT)
            self.upstream, self.place, self.next = "", 0, min(self.next, now)
        if self.trial not in self.order:
            self.trial = ""

    def chance(self) -> float:
        self.draws += 1
        return crc32(f"{self.me}|{self.draws}".encode()) / (1 << 32)

    def step(self, given: In) -> bool:
        after = TABLE.get((self.state, given))
        if after is not None:
            self.state = after
        return after is not None

    def streams(self) -> set[str]:
        """To whom a stream is wanted now; all others may be closed."""
        return {name for name in (self.upstream, self.trial) if name}

    def take(self) -> list[Entry | State]:
        taken, self.taken = self.taken, []
        return taken

    # How far behind.

    def lag(self, now: Micros) -> Micros:
        """Microseconds that what it knows is old, at least."""
        return now - self.fresh_at

    def stale(self, now: Micros) -> bool:
        return self.lag(now) > self.bound

    def counted(self) -> None:
        if self.pending and self.offset >= self.pending[0]:
            self.fresh_at, self.pending = self.pending[1], None

    # What comes.

    def hear(self, now: Micros, who: str, message: Any) -> list[tuple[str, Any]]:
        if who not in self.order:
            self.counts["foreign"] += 1
            return []
        match message:
            case Batch():
                return self.batch(now, who, message)
            case State():
                self.take_state(message)
            case Refuse() if who == self.trial:
                self.trial = ""
            case Refuse() if who == self.upstream and self.step(In.REFUSED):
                self.another(now, max(0, min(message.retry_us, REST)))
        return []

    def ask(self, now: Micros, who: str) -> list[tuple[str, Any]]:
        self.asked_at = now
        return [(who, Subscribe(self.generation, self.offset, self.me, self.site))]

    def batch(self, now: Micros, who: str, message: Batch) -> list[tuple[str, Any]]:
        if who == self.upstream:
            self.lives_at = now
        if not message.generation:
            return []  # it has nothing yet
        if message.generation != self.generation:
            return self.of_another(now, who, message)
        for entry in message.entries:
            if entry.offset <= self.offset:
                self.counts["doubled"] += 1
            elif entry.offset > self.offset + 1 or entry.offset > message.committed:
                break
            else:
                self.offset, self.moved_at = entry.offset, now
                self.taken.append(entry)
                self.counts["entries"] += 1
        if message.beat > self.beat:
            self.beat, self.mark, self.pending = message.beat, message.committed, (message.committed, now)
            self.heard(now, who)
        elif who == self.trial and message.beat + NEARLY >= self.beat:
            self.heard(now, who)
        self.counted()
        # Behind what this stream has said is committed: something was lost on the way, or it began too late.
        if message.committed > self.offset and who in self.streams() and now - self.asked_at >= ASK_AGAIN:
            if message.entries and message.entries[-1].offset > self.offset or now - self.moved_at >= ASK_LATER:
                self.counts["gaps"] += 1
                return self.ask(now, who)
        return []

    def of_another(self, now: Micros, who: str, message: Batch) -> list[tuple[str, Any]]:
        """Guards against a relay that has slept through the end of its generation: only a living one is followed.

        Numbers of generations are not compared: after a loss of all memory they may be smaller than before.
        """
        generation, beat = self.foreign
        if generation != message.generation:
            self.foreign, self.foreign_lives = (message.generation, message.beat), False
        elif message.beat > beat and who in self.streams() and now - self.asked_at >= ASK_AGAIN:
            self.foreign_lives = True
            return self.ask(now, who)
        return []

    def take_state(self, message: State) -> None:
        if message.generation == self.generation:
            if message.offset <= self.offset:
                return
        elif self.generation and not (self.foreign_lives and self.foreign[0] == message.generation):
            self.counts["foreign"] += 1
            return
        else:
            self.lines.append(f"changes: another generation of the log, {message.generation} for {self.generation}")
            self.beat, self.mark, self.pending, self.foreign, self.foreign_lives = 0, 0, None, (0, 0), False
        self.generation, self.offset = message.generation, message.offset
        self.taken.append(message)
        self.counts["states"] += 1
        self.counted()

    # From whom.

    def heard(self, now: Micros, who: str) -> None:
        if who == self.trial:
            self.upstream, self.trial, self.place = who, "", 0
        if who == self.upstream:
            self.step(In.HEARD)
            self.failures, self.quiet_since = 0, now

    def closed(self, now: Micros, who: str) -> None:
        """The connection to that one has ended, or could not be made."""
        if who == self.trial:
            self.trial = ""
        elif who == self.upstream and self.step(In.SILENT):
            self.another(now, closed=True)

    def another(self, now: Micros, wait: Micros = 0, closed: bool = False) -> None:
        """Guards against all nodes asking at once, again and again: two at once, then with waits that grow.

        After a round without any new beat a node stays with its relay, so that relays alone keep asking the machines.
        """
        self.failures += 1
        self.counts["switches"] += 1
        if self.failures > len(self.order) and not self.place and not self.relays and not closed:
            wait = REST
        elif self.failures > RELAYS:
            wait = max(wait, min(BACK_MOST, BACK << min(self.failures - RELAYS, 8)))
        self.place = (self.place + 1) % len(self.order)
        self.next = now + int(wait * (0.5 + self.chance()))
        self.home_at = now + int(HOME * (0.5 + self.chance()))

    def tick(self, now: Micros) -> list[tuple[str, Any]]:
        """Every 50 ms or so."""
        self.said(now)
        out: list[tuple[str, Any]] = []
        if self.state is not Stream.IDLE and now - self.quiet_since >= self.patience(now) and self.step(In.SILENT):
            self.another(now)
        if self.state is Stream.IDLE and now >= self.next and self.order:
            self.upstream, self.trial, self.quiet_since, self.lives_at = self.order[self.place], "", now, NEVER
            self.step(In.DUE)
            return self.ask(now, self.upstream)
        if self.state is Stream.IDLE and self.upstream and now - self.asked_at >= REST // 6:
            return self.ask(now, self.upstream)  # it may have forgotten who is with it
        if self.trial and now >= self.trial_until:
            self.trial = ""
        if self.state is Stream.LIVE and self.place and now >= self.home_at:
            self.home_at = now + int(HOME * (0.5 + self.chance()))
            self.trial, self.trial_until = self.order[0], now + SILENT
            out = self.ask(now, self.trial)
        return out

    def patience(self, now: Micros) -> Micros:
        """Guards against all nodes leaving their relays, each time that the log has no writer for a while."""
        lives = not self.relays and self.place < RELAYS and now - self.lives_at < SILENT
        return PATIENT if lives else SILENT

    def said(self, now: Micros) -> None:
        mode = "stale" if self.stale(now) else "fresh"
        if mode != self.mode:
            self.mode = mode
            self.lines.append(
                f"changes: {mode}, generation={self.generation} offset={self.offset} upstream={self.upstream or 'none'}"
            )
