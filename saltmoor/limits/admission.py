"""Owns how much a node takes on when it is the bottleneck itself, and which transactions it turns away then.

Told how late its loop runs, it finds the rate at which that lateness stays short (additive increase, decrease by
how far it is over), and fills that rate with the transactions of most value. It must never look at cache servers
or the origin: a slow one makes no loop late. Free of I/O; docs/limits-design.md weighs the ways.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from saltmoor.model import Micros

STEP: Micros = 50_000  # how often the rate is set anew
FEWEST = 20.0  # a second: never less, or nothing would be learnt
BEYOND = 0.2  # what a transaction beyond its tenant's share is worth beside one within it
AGAIN = 0.7  # what a client's retry is worth beside its first try: part of its goal is over
READS = 3.0  # commands read for each that may be taken: to turn one away costs a third of serving it or less
CALM = 40  # steps without lateness after which the limit is lifted


@dataclass(slots=True)
class Sort:
    """Transactions of one value: how many come a second, and the share of them that is taken."""

    value: float
    came: int = 0
    rate: float = 0.0
    share: float = 1.0


@dataclass(slots=True)
class Quota:
    """A tenant's bucket: two seconds of its rate at most."""

    rate: float
    level: float
    since: Micros

    def take(self, now: Micros, part: float) -> bool:
        if not self.rate:
            return True
        rate = self.rate * part
        self.level = min(2 * rate, self.level + rate * (now - self.since) / 1_000_000)
        self.since = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


@dataclass(slots=True)
class Admission:
    """`target`: the lateness of the loop that is still short. `longest_hint`: 0 where clients take no hint."""

    target: Micros
    revenues: list[float]
    quotas: list[float]
    longest_hint: Micros
    seed: int
    now: Micros
    limit: float = 0.0  # transactions a second; 0: none, all are taken
    sorts: dict[tuple[int, bool, bool], Sort] = field(default_factory=dict)
    buckets: list[Quota] = field(default_factory=list)
    late: list[Micros] = field(default_factory=list)  # within this step
    taken: int = 0
    shed: int = 0
    again: int = 0
    came: int = 0
    rate: float = 0.0  # taken a second, lately
    calm: int = 0
    budget: float = 0.0  # how many may be taken now
    filled: Micros = 0  # when it was last filled
    counter: int = 0
    pressed: int = 0  # steps in a row that were late
    last: Micros = 0  # how late the step before was
    part: float = 1.0  # of the tenants' quotas: less while two processes of this node run
    retries: float = 0.0  # share of what comes that are clients' retries

    def __post_init__(self) -> None:
        self.configure(self.now, self.target, self.revenues, self.quotas, self.longest_hint)

    def configure(
        self, now: Micros, target: Micros, revenues: list[float], quotas: list[float], longest_hint: Micros
    ) -> None:
        """New settings; what was learnt of the node itself stays."""
        self.target, self.revenues, self.longest_hint = target, revenues, longest_hint
        # Guards against a reload that fills every bucket again: each keeps its level.
        levels = [bucket.level for bucket in self.buckets] + [1e19] * len(quotas)
        self.buckets = [Quota(rate, min(2 * rate, level), now) for rate, level in zip(quotas, levels)]
        self.sorts.clear()

    def chance(self) -> float:
        self.counter += 1
        return crc32(self.counter.to_bytes(8, "little"), self.seed) / 2**32

    def arrived(self, now: Micros, profile: int, tenant: int | None, again: bool) -> bool:
        """Whether this transaction is taken; costs no more than a look into two tables."""
        beyond = tenant is not None and tenant < len(self.buckets) and not self.buckets[tenant].take(now, self.part)
        sort = self.sorts.get((profile, beyond, again))
        if sort is None:
            value = self.revenues[profile] * (BEYOND if beyond else 1.0) * (AGAIN if again else 1.0)
            sort = self.sorts[profile, beyond, again] = Sort(value)
        sort.came += 1
        self.came += 1
        self.again += again
        if self.limit:
            # A step's worth at most may come at once; the clock refills it, however late the loop is.
            self.budget = min(
                self.limit * STEP / 1_000_000 + 1, self.budget + self.limit * (now - self.filled) / 1_000_000
            )
            self.filled = now
            if self.budget < 1 or sort.share < 1 and self.chance() >= sort.share:
                self.shed += 1
                return False
            self.budget -= 1
        self.taken += 1
        return True

    def reads(self, passed: Micros) -> float:
        """How many commands may be read in that time, while there is a limit.

        Guards against a node that does nothing but turn away: what is more than that waits in its sockets.
        """
        return max(READS * self.limit, 200.0) * passed / 1_000_000

    def hint(self) -> Micros:
        """How long a client that is turned away is to stay away: longer the more of the load is retries."""
        if not self.longest_hint:
            return 0
        share = min(1.0, 0.2 + 0.8 * self.retries)
        return int(self.longest_hint * share * (0.5 + 0.5 * self.chance()))

    def ran(self, now: Micros, late: Micros) -> str:
        """The loop ran what was due, so late; a line for the log where the mode has changed."""
        self.late.append(late)
        if now - self.now < STEP:
            return ""
        step, self.now = (now - self.now) / 1_000_000, now
        lates, self.late = sorted(self.late), []
        # The middle one, so that one pause of the whole process is no overload.
        return self.learn(lates[len(lates) // 2], step)

    def learn(self, late: Micros, step: float) -> str:
        """Set the limit by the lateness of this step, and share it out."""
        before = self.limit
        rate = self.taken / step
        self.rate += (rate - self.rate) * 0.3
        self.retries += ((self.again / self.came if self.came else 0.0) - self.retries) * 0.1
        over = late / max(1_000, self.target) - 1  # a goal of next to nothing is no lateness
        self.pressed = self.pressed + 1 if over > 0 else 0
        # What is shrinking already needs no further cut: that of the last one shows only now, and what a pause
        # has left behind goes by itself.
        shrinks, self.last = late < 0.8 * self.last, late
        if over > 0 and shrinks:
            self.calm = 0
        elif over > 0 and (self.limit or self.pressed > 2):
            # Down by how far it is over, from what was really taken; for as long as the step lasted, as a
            # crowded loop takes fewer and longer steps.
            base = min(self.limit or self.rate, max(self.rate, rate) * 1.1)
            self.limit = max(FEWEST, base * (1 - min(1 / 8, over / 20)) ** min(4.0, step * 1e6 / STEP))
            self.calm = 0
        elif self.limit:
            self.calm = self.calm + 1 if not self.shed else 0
            if self.shed:  # up only where it binds
                self.limit += max(5.0, self.limit * 0.03) * min(4.0, step * 1e6 / STEP)
            if self.calm >= CALM:
                self.limit, self.calm = 0.0, 0
        for sort in self.sorts.values():
            sort.rate += (sort.came / step - sort.rate) * (0.5 if sort.came else 0.2)
            sort.came = 0
        self.share_out()
        figures = f"limit={self.limit:.0f}/s late_ms={late / 1000:.1f} shed={self.shed / step:.0f}/s"
        self.taken = self.shed = self.again = self.came = 0
        if bool(before) != bool(self.limit):
            return f"crowded {'on' if self.limit else 'off'}: {figures}"
        return ""

    def share_out(self) -> None:
        """Fill the limit with what is of most value."""
        left = self.limit
        for sort in sorted(self.sorts.values(), key=lambda one: -one.value):
            sort.share = 1.0 if not self.limit else min(1.0, left / sort.rate) if sort.rate else 1.0
            left = max(0.0, left - sort.rate)
