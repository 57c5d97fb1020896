"""Checks at run time, where bytes are written and connections end, that the rules were kept; counts each violation.

It keeps a record of each request made of what the sockets did alone, apart from the decisions: what these overlook is
seen here. A violation is counted, logged with the request's id, the path and the reason, and raised where `strict` is
set, as in tests and soaks. No I/O; the clock is passed in.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from saltmoor.guard.retry_budget import RetryBudget
from saltmoor.guard.slow_start import most_requests
from saltmoor.guard.verdicts import Reason, Rule
from saltmoor.model import Ended, Group, HopBudget, Micros, Profile, Repeat, ServerId

DEADLINE_SLACK: Micros = 150_000  # a server may be told of so much more than is left
ANSWER_SLACK: Micros = 500_000  # an answer later than that behind its time is none
ENDED_BY_CLIENT = {"client-left", "client-reset", "client-closed", "client-quit", "stalled", "cut-answer"}


class Violation(Exception):
    """A rule was broken: raised in strict mode alone."""


@dataclass(slots=True, frozen=True)
class Target:
    """Where an attempt goes; `cold_rate`: requests a second that this node may send there, None where it is warm."""

    server: ServerId
    zone: int
    cell: int
    cold_rate: float | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of which the first byte was written."""

    target: Target
    begun: Micros
    ended: Ended | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether its server may have done the work, as far as this node knows."""
        return self.ended is None or self.ended.may_have_run


@dataclass(slots=True, eq=False)
class Record:
    """One request as the sockets saw it."""

    id: str
    profile: Profile
    deadline: Micros
    attempts: list[Attempt] = field(default_factory=list)
    answered: bool = False

    @property
    def would_repeat(self) -> bool:
        """Whether the same request from anew might take effect a second time."""
        idempotent = self.profile.repeat is Repeat.IDEMPOTENT
        return not idempotent and any(attempt.may_have_run for attempt in self.attempts)


class Checker:
    """Counts violations by rule. `budget` and `window` are the settings' of further attempts and of slow start."""

    def __init__(self, clock: Callable[[], Micros], log: Callable[[str], None], *, strict: bool = False) -> None:
        self.clock, self.log, self.strict = clock, log, strict
        self.violations: Counter[Rule] = Counter()
        self.cold: dict[ServerId, deque[Micros]] = {}
        self.retries = RetryBudget()
        self.configure(None, 1_000_000)

    def configure(self, budget: HopBudget | None, cold_window: Micros) -> None:
        """Take new settings; what was counted stays."""
        self.budget, self.cold_window = budget, cold_window

    def taken(self, record: Record) -> None:
        """A request is begun."""
        if self.budget:
            now = self.clock()
            self.retries.taken.append(now)
            self.retries.left(now, self.budget, 1.0)  # what has left the window is not kept

    def begins(
        self, record: Record, target: Target, *, told: Micros, client_left: bool, draining: bool, part: float
    ) -> Attempt:
        """The first byte of an attempt is written next; `told`: how long the server hears that its client waits."""
        now = self.clock()
        if client_left:
            self.violated(Rule.CLIENT_GONE, record.id, "attempt", Reason.CLIENT_LEFT)
        if draining:
            self.violated(Rule.DRAIN, record.id, "attempt", Reason.SERVER_LEFT)
        if now + told > record.deadline + DEADLINE_SLACK:
            self.violated(Rule.DEADLINE, record.id, "attempt", Reason.DEADLINE_PASSED)
        self._check_repeat(record, target, now)
        self._check_budget(record, now, part)
        if target.cold_rate is not None:
            self._check_cold(record, target, now)
        attempt = Attempt(target, now)
        record.attempts.append(attempt)
        return attempt

    def _check_repeat(self, record: Record, target: Target, now: Micros) -> None:
        profile = record.profile
        if profile.repeat is Repeat.IDEMPOTENT or not record.attempts:
            return
        ran = [one for one in record.attempts if one.may_have_run]
        if not ran:
            return
        if profile.repeat is Repeat.NON_IDEMPOTENT:
            self.violated(Rule.DUPLICATE, record.id, "attempt", Reason.MAY_HAVE_RUN)
        elif now >= ran[0].begun + profile.window:
            self.violated(Rule.DUPLICATE, record.id, "attempt", Reason.WINDOW_OVER)
        elif not all(self._same_group(profile.group, one.target, target) for one in ran):
            self.violated(Rule.DUPLICATE, record.id, "attempt", Reason.OTHER_GROUP)

    @staticmethod
    def _same_group(group: Group, one: Target, other: Target) -> bool:
        if group is Group.ALL:
            return True
        return one.zone == other.zone and (group is Group.ZONE or one.cell == other.cell)

    def _check_budget(self, record: Record, now: Micros, part: float) -> None:
        if not self.budget or not record.attempts or record.attempts[-1].ended is Ended.MISS:
            return
        self.retries.further.append(now)
        if self.retries.left(now, self.budget, part) < 0:
            self.violated(Rule.RETRY_BUDGET, record.id, "retry", Reason.ATTEMPTS_USED)

    def _check_cold(self, record: Record, target: Target, now: Micros) -> None:
        if target.server not in self.cold:  # guards against counts of every server that ever was cold
            edge = now - self.cold_window
            self.cold = {server: times for server, times in self.cold.items() if times[-1] > edge}
        times = self.cold.setdefault(target.server, deque())
        times.append(now)
        while times[0] <= now - self.cold_window:
            times.popleft()
        if len(times) > most_requests(target.cold_rate * self.cold_window / 1_000_000):
            self.violated(Rule.SLOW_START, record.id, "attempt", Reason.NO_ROOM)

    def answered(self, record: Record, behind: Micros = 0) -> None:
        """The last byte of a request's final answer was written.

        `behind`: how long the answer waited for those before it on its connection, which does not count.
        """
        if record.answered:
            self.violated(Rule.LOST, record.id, "second answer", Reason.NONE)
        record.answered = True
        if self.clock() - behind > record.deadline + ANSWER_SLACK and not self._streams(record):
            self.violated(Rule.LOST, record.id, "late answer", Reason.DEADLINE_PASSED)

    @staticmethod
    def _streams(record: Record) -> bool:
        """A large value takes as long as its client does; an attempt that was answered in time may be one."""
        return bool(record.attempts) and record.attempts[-1].ended is Ended.COMMITTED

    def closed(self, record: Record, code: str) -> None:
        """A connection ends on which this request has no answer."""
        if not record.answered and code not in ENDED_BY_CLIENT:
            self.violated(Rule.LOST, record.id, f"close {code}", Reason.REQUESTS_OPEN)

    def held(self, peer: str, state: str) -> None:
        """A connection is there past the bound of its end."""
        self.violated(Rule.HELD, peer, f"connection {state}", Reason.BOUND_OVER)

    def read_past_end(self, peer: str, state: str) -> None:
        """A connection is read from whose life does not allow it any more."""
        self.violated(Rule.READ_PAST_END, peer, f"connection {state}", Reason.BOUND_OVER)

    def violated(self, rule: Rule, subject: str, path: str, reason: Reason) -> None:
        """Count one violation. Raises `Violation` in strict mode."""
        self.violations[rule] += 1
        line = f"violation rule={rule.value} request={subject} path={path.replace(' ', '-')} reason={reason.value}"
        self.log(line)
        if self.strict:
            raise Violation(line)
