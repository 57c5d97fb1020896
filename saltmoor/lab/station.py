"""Owns the work of one stand-in server: cores that are shared, slots, a waiting room, warmth, falling over.

Exact in its own time: jobs in work share the cores evenly, and each ends when its work is done. It must never
know a protocol, a socket or a real clock.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import sqrt

from saltmoor.lab.timeline import Due, Micros, Timeline

FEW_REQUESTS = 30  # a server that may get fewer is given more for chance


class Job:
    __slots__ = ("begun", "beside", "came", "done", "finish", "wanted", "work")

    def __init__(self, work: float, done: Callable[[], None], came: Micros, beside: bool) -> None:
        self.work, self.done, self.came, self.beside = work, done, came, beside
        self.wanted, self.begun, self.finish = True, -1, 0.0


@dataclass(slots=True, frozen=True)
class Warming:
    """How a new process warms, and how far over its capacity it is pushed over; microseconds."""

    share: float = 1.0
    after: Micros = 0
    by_work: bool = False
    multiple: float = 0.0  # 0: it never falls
    window: Micros = 1_000_000
    mean_work: float = 0.0  # of a request: then the limit is in requests, with what chance adds; 0: the work alone

    def limit(self, allowed: float) -> float:
        """How much work within the window pushes it over, where the settings allow so much."""
        if not self.mean_work:
            return allowed
        count = allowed / self.mean_work
        chance = 3 * sqrt(count) + 3 if count < FEW_REQUESTS else 2 * sqrt(count) + 2
        return (count + chance) * self.mean_work


class Station:
    """`cores` that do `speed` microseconds of work each microsecond, shared evenly by jobs in work."""

    def __init__(
        self,
        line: Timeline,
        *,
        cores: int,
        speed: float = 1.0,
        slots: int,
        room: int,
        thrash: float = 0.0,
        thrash_at: float = 1.0,
        warming: Warming = Warming(),
        cold: bool = False,
        fell: Callable[[], None] | None = None,
    ) -> None:
        self.line, self.cores, self.speed, self.slots, self.room = line, cores, speed, slots, room
        self.thrash, self.thrash_at, self.warming, self.fell = thrash, thrash_at, warming, fell
        self.working: list[tuple[float, int, Job]] = []  # by the served time at which they end
        self.waiting: deque[Job] = deque()
        self.served, self.since, self.rate, self.order = 0.0, line.now, 0.0, 0  # served: each job in work
        self.planned: Due | None = None
        self.started, self.done_work = line.now, 0.0
        self.cold = cold and warming.share < 1.0
        self.offered: deque[tuple[Micros, float]] = deque()  # while cold
        self.offered_sum = 0.0
        self.slower, self.stopped = 1.0, 0  # by faults
        self.busy = self.waits = 0.0  # core time used; time that jobs waited before they began
        self.begun = self.beside = 0
        if self.cold:
            self.line.at(line.now + 100_000, self._warm)

    @property
    def held(self) -> int:
        """Transactions here, in work or waiting; what is answered beside the queue is left out."""
        return len(self.working) - self.beside + len(self.waiting)

    def warmth(self) -> float:
        if not self.cold:
            return 1.0
        warm = self.warming
        if warm.by_work:
            progress = self.done_work / (warm.after * self.cores * self.speed / 2)
        else:
            progress = (self.line.now - self.started) / warm.after if warm.after else 1.0
        if progress >= 1.0:
            self.cold = False
            self.offered.clear()
        return min(1.0, warm.share + (1 - warm.share) * progress)

    def capacity(self) -> float:
        """Work a microsecond, with nothing waiting."""
        return self.cores * self.speed * self.warmth() / self.slower

    def offer(self, work: float, done: Callable[[], None], beside: bool = False) -> Job | None:
        """Take a job of so many microseconds of work; None where there is no room. `beside`: past the queue."""
        full = len(self.working) - self.beside >= self.slots
        if not beside and full and len(self.waiting) >= self.room:
            return None
        job = Job(work, done, self.line.now, beside)
        self._advance()
        if self.cold:
            self._push(work)
        if beside or not full:
            self._begin(job)
        else:
            self.waiting.append(job)
        self._plan()
        return job

    def disturb(self, *, slower: float | None = None, stop: int = 0) -> None:
        """Change the speed from now on; `stop` 1 holds all work, -1 lets it go on."""
        self._advance()
        self.slower = self.slower if slower is None else slower
        self.stopped += stop
        self._plan()

    def clear(self) -> None:
        """The process died: nothing that it held ends."""
        self.working.clear()
        self.waiting.clear()
        self.beside = 0
        if self.planned:
            self.planned.cancel()
        self.fell = None

    def _push(self, work: float) -> None:
        """Rule 4, measured here: the work that all nodes together have sent within the window."""
        warm, now = self.warming, self.line.now
        self.offered.append((now, work))
        self.offered_sum += work
        while self.offered[0][0] <= now - warm.window:
            self.offered_sum -= self.offered.popleft()[1]
        if (
            warm.multiple
            and self.fell
            and self.offered_sum > warm.limit(warm.multiple * self.capacity() * self.slower * warm.window)
        ):
            fell, self.fell = self.fell, None
            fell()

    def _begin(self, job: Job) -> None:
        job.begun = self.line.now
        self.waits += job.begun - job.came
        self.begun += not job.beside
        self.beside += job.beside
        job.finish = self.served + job.work
        self.order += 1
        heappush(self.working, (job.finish, self.order, job))

    def _advance(self) -> None:
        now = self.line.now
        if now > self.since:
            self.served += self.rate * (now - self.since)
            used = self.rate * len(self.working) * (now - self.since)
            self.done_work += used
            self.busy += min(len(self.working), self.cores) * (now - self.since) * (self.rate > 0)
            self.since = now

    def _plan(self) -> None:
        if self.planned:
            self.planned.cancel()
            self.planned = None
        count = len(self.working)
        if not count or self.stopped:
            self.rate = 0.0
            return
        crowd = max(0.0, (count + len(self.waiting)) / self.cores - self.thrash_at)
        self.rate = min(1.0, self.cores / count) * self.speed * self.warmth() / self.slower / (1 + self.thrash * crowd)
        left = max(0.0, self.working[0][0] - self.served)
        self.planned = self.line.at(self.line.now + max(1, -(-left // self.rate)), self._end)

    def _end(self) -> None:
        self._advance()
        ended = []
        while self.working and self.working[0][0] <= self.served + 1e-6:
            job = heappop(self.working)[2]
            self.beside -= job.beside
            ended.append(job)
        while self.waiting and len(self.working) - self.beside < self.slots:
            if (job := self.waiting.popleft()).wanted:
                self._begin(job)
        self._plan()
        for job in ended:
            job.done()

    def _warm(self) -> None:
        """Capacity of a cold server is looked at anew ten times a second."""
        self._advance()
        self._plan()
        if self.cold:
            self.line.at(self.line.now + 100_000, self._warm)
