"""Says when a client's connection that a node ends from its side is told so, read no more, and gone. No I/O, no clock.

One rule holds for every reason: a drain, a stop, an upgrade, an eviction, a connection kept for long. A connection is
told to end at a moment of its own; it is read for `READS_ON` more, so that what crosses is served; then nothing more is
read from it, it gets what it is owed, and its end, and is closed once the other machine has taken all of that
(lingering close). The bounds of a drain and of a stop stand here as one sum, in microseconds since the call or signal was
sent:

    told_by + READS_ON = reads_until       the last byte of another request is read
    reads_until + longest <= answers_until  unless a deadline is too long: then what is owed is due by `answers_until`
    answers_until + CLOSING + HELD_UP = bound  the end is said and seen, also where the process is held up

A step takes effect some passes of the loop after it was found to be due: where the loop is late, all steps are taken
sooner by that many passes (`ahead`).

Source: the operators' pages on drains (4 s) and on planned restarts (the longest deadline, 3 s at most, and 0.7 s), and
their standing test (a node may be held up for 0.15 s).
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from saltmoor.guard.connections import Outside
from saltmoor.model import Micros

DRAIN_BOUND: Micros = 4_000_000  # from the call until no client's connection may be held
KILLED_AFTER: Micros = 700_000  # from the signal until the kill, beside the longest deadline
LONGEST_AWAITED: Micros = 3_000_000  # who ends a node waits for no deadline that is longer
HELD_UP: Micros = 150_000  # a process may be held up for so long
CLOSING: Micros = 100_000  # the last answer is written, the end is said, and the client sees it

READS_ON: Micros = 100_000  # how long a connection that was told to end is read on, for what crosses
SPREAD_FROM: Micros = 400_000  # of a drain: by then the front has seen it, and opens no more connections
LEAST_READS: Micros = 700_000  # of a drain: reads go on at least so long, however long deadlines are
MOST_READS: Micros = 1_800_000  # a request from the last 2 s before the bound would break the rule
MOST_COMMANDS: Micros = 2_400_000  # of a drain: a command that was begun in time has to be whole by then
LEAST_WORK: Micros = 200_000  # a command that is whole later could not be served before the end
LEAST_LEFT: Micros = 50_000  # of a stop: what is read last has at least so long
LONGEST_LINGER: Micros = 450_000  # of a stop: with READS_ON and the longest deadline still within the bound
JUST_COME: Micros = 750_000  # who comes so shortly before a drain's bound has one of its own
STRAY: Micros = 300_000  # how long a connection that comes late in a drain may stay before it is told
REFUSED_STRAY: Micros = 100_000  # how long one of which nothing is served any more may take to ask,
SHORTEST_STRAY: Micros = 10_000  # and at the least, where the bound is near, since the accept
QUEUED: Micros = 500_000  # at the caps: a request may be refused so long behind its time, and `mn` is owed in 1 s
TAKES_NOTHING: Micros = 1_500_000  # a client that has taken nothing of its answer for so long, at the bound of its end
GIVES_NOTHING: Micros = 4_000_000  # a server that has given no more of a large value for so long, where the end is due
STILL: Micros = 10_000_000  # both at any other time
SEES_END: Micros = 3_000_000  # how long a client whose machine has all may take to come to the end, and to say its own
MOST_LINGER: Micros = 2_000_000  # of one that is in the middle of a command and goes on sending
PASSES_TO_END = 3  # passes of the loop from the look at a connection that is due to its close
MOST_AHEAD: Micros = 1_500_000


@dataclass(slots=True, frozen=True)
class EndPlan:
    """The bounds of one drain or stop, in microseconds since it began."""

    told_from: Micros  # connections are told to end from then on,
    told_by: Micros  # and by then, spread evenly
    reads_until: Micros  # nothing more is read, but of a command that was begun before
    commands_until: Micros  # a command that is unfinished then is answered so
    answers_until: Micros  # what is owed is due by then
    bound: Micros  # no connection is held any more


def plan_drain(longest: Micros) -> EndPlan:
    """The bounds of a drain, where requests may be open for `longest`."""
    answers_until = DRAIN_BOUND - HELD_UP - CLOSING
    reads_until = max(LEAST_READS, min(MOST_READS, answers_until - longest))
    told_by = reads_until - READS_ON
    return EndPlan(min(SPREAD_FROM, told_by), told_by, reads_until, MOST_COMMANDS, answers_until, DRAIN_BOUND)


def plan_stop(longest: Micros, linger: Micros) -> EndPlan:
    """The bounds of a stop: `linger`, how long new connections are still taken."""
    bound = min(longest, LONGEST_AWAITED) + KILLED_AFTER
    answers_until = bound - HELD_UP - CLOSING
    told = min(linger, LONGEST_LINGER, answers_until - READS_ON - LEAST_LEFT)
    reads_until = told + READS_ON
    return EndPlan(told, told, reads_until, max(reads_until, answers_until - LEAST_WORK), answers_until, bound)


@dataclass(slots=True, frozen=True)
class ConnectionEnd:
    """The moments of one connection's end, on the node's clock; `reason`: the code that the log has for it."""

    reason: str
    told: Micros
    commands_until: Micros
    answers_until: Micros  # 0: what it is owed has all of its own time
    gone_by: Micros  # 0: no bound but its requests' own
    reads_on: Micros = READS_ON  # how long it is read on once it was told

    def earlier(self, other: ConnectionEnd | None) -> ConnectionEnd:
        """Each moment as the stricter of both has it; the reason of the one that is told first."""
        if other is None:
            return self
        first = min(self, other, key=lambda one: one.told)
        return ConnectionEnd(
            first.reason,
            first.told,
            min(self.commands_until, other.commands_until),
            min(self.answers_until or other.answers_until, other.answers_until or self.answers_until),
            min(self.gone_by or other.gone_by, other.gone_by or self.gone_by),
            min(self.reads_on, other.reads_on),
        )


def end_now(reason: str, now: Micros) -> ConnectionEnd:
    """Of a connection that ends for a reason of its own: it was free for long, or makes room for another."""
    return ConnectionEnd(reason, now, now + MOST_COMMANDS, 0, 0)


def end_of_stop(plan: EndPlan, since: Micros, now: Micros) -> ConnectionEnd:
    """Of a connection of a process that stops and takes no new ones any more."""
    return ConnectionEnd("stopping", now, since + plan.commands_until, since + plan.answers_until, since + plan.bound)


def end_of_drain(plan: EndPlan, since: Micros, connected: Micros, accepted: Micros, share: float) -> ConnectionEnd:
    """Of a connection of a node that drains since then; `share`: drawn for it, from 0 to 1.

    `connected` is when the machine took the connection, from which on its client has it, and `accepted` when the node
    did. One that came once others are told has a moment of its own, as the front may not have seen the drain; the bound
    is the drain's for all that came before it, and later ones have one of the same length. Each is read for `READS_ON`.
    """
    begun, reads_on = _drain_counts_from(plan, since, connected), READS_ON
    if connected < since + plan.told_from:
        told = since + plan.told_from + int((plan.told_by - plan.told_from) * share)
        commands_until = since + plan.commands_until
    elif refuses(plan, since, connected):
        told = connected + REFUSED_STRAY
        if since + plan.bound > connected:  # it is gone by the bound
            told = min(told, since + plan.bound - HELD_UP)
        told = commands_until = max(told, accepted)
        reads_on = 0
    else:
        commands_until = min(connected + STRAY + MOST_COMMANDS, begun + plan.answers_until - LEAST_WORK)
        told = min(connected + STRAY, commands_until)
    told = max(told, accepted)
    return ConnectionEnd("draining", told, commands_until, begun + plan.answers_until, begun + plan.bound, reads_on)


def accepted_by(plan: EndPlan, since: Micros, connected: Micros) -> Micros:
    """Until when a connection that the machine took then may be accepted and served, while the node drains."""
    return _drain_counts_from(plan, since, connected) + plan.answers_until - LEAST_WORK


def refuses(plan: EndPlan, since: Micros, connected: Micros) -> bool:
    """Whether nothing is served on a connection that the machine took then, as the node has drained since `since`.

    By then nothing is read any more from those that came before; the front has long seen the drain.
    """
    return connected >= since + plan.reads_until


def _drain_counts_from(plan: EndPlan, since: Micros, connected: Micros) -> Micros:
    return since if connected < since + plan.bound - JUST_COME else connected


def longest_queued(plan: EndPlan | None, since: Micros, now: Micros) -> Micros:
    """How long a connection may wait at the listener of a node at its caps; `plan`: of a stop that began at `since`.

    Once a stop's reading is over nobody waits any more.
    """
    return 0 if plan and now >= since + plan.reads_until else QUEUED


def queue_dropped_at(plan: EndPlan, since: Micros, failing_since: Micros) -> Micros:
    """When those that wait at a listener are reset, as accept has failed since then and the node drains since `since`."""
    return max(since, failing_since) + plan.answers_until


class Due(Enum):
    """What has to be done about a connection that is to end."""

    NOTHING = auto()
    TELL = auto()  # it ends as soon as nothing is open on it
    READ_NO_MORE = auto()  # it gets what it is owed, and its end
    CUT = auto()  # the same, and its unfinished command is answered as such


def ahead(lag: Micros) -> Micros:
    """How much sooner steps are taken where the loop came so late at times."""
    return min(PASSES_TO_END * lag, MOST_AHEAD)


def due(now: Micros, end: ConnectionEnd, begun: Micros, *, told_at: Micros = 0, lag: Micros = 0) -> Due:
    """What is due now for a connection with that end.

    `begun`: since when a command is unfinished, or 0; `told_at`: when it was told in fact, or 0; `lag`: of the loop.
    """
    if now + ahead(lag) < end.told:
        return Due.NOTHING
    read_until = min(told_at or end.told, end.told) + end.reads_on
    if now < read_until:
        return Due.TELL
    if not begun or begun >= read_until:
        return Due.READ_NO_MORE
    return Due.CUT if now + lag >= end.commands_until else Due.TELL


def answers_due(now: Micros, end: ConnectionEnd, lag: Micros) -> bool:
    """Whether what is open on a connection gets its final answer now."""
    return bool(end.answers_until) and now + ahead(lag) >= end.answers_until


def overdue(now: Micros, end: ConnectionEnd, lag: Micros = 0, given_up: Micros = 0) -> bool:
    """Whether a connection has to be closed at once: its bound is as near as a process may be held up.

    `given_up`: when what was open on it got its final answer, 0 where it did not: that is written some passes later.
    """
    if not end.gone_by or given_up and now - given_up < CLOSING:
        return False
    return now + lag >= end.gone_by - HELD_UP


def fits(now: Micros, end: ConnectionEnd, *, left: int, taken: int, since: Micros) -> bool:
    """Whether a client may take `left` bytes more before its connection's bound, at the rate of `taken` since then."""
    if not end.gone_by:
        return True
    return left * (now - since) <= taken * (end.gone_by - HELD_UP - now)


class Linger(Enum):
    """What becomes of a connection on which all is answered and the end is said."""

    WAIT = auto()  # what still comes is read and dropped
    CLOSE = auto()
    RESET = auto()  # its machine takes nothing any more


def linger(now: Micros, outside: Outside, *, said: Micros, moved: Micros, gone_by: Micros) -> Linger:
    """Whether a connection may be closed without taking from its client what was written to it.

    `said`: when its end was said, where the rest of a command is read past, or 0; `moved`: when its client last took
    anything; `gone_by`: its bound, or 0. A client that takes something all the while may go on past the bound, for `STILL`.
    """
    if outside.left:
        return Linger.CLOSE
    late = bool(gone_by) and now >= gone_by - HELD_UP
    if outside.untaken:
        stopped = takes_nothing(now, moved) if late else now - moved >= STILL
        return Linger.RESET if stopped or late and now >= gone_by + STILL else Linger.WAIT
    if now - moved >= SEES_END or said and now - said >= MOST_LINGER or late:
        return Linger.CLOSE
    return Linger.WAIT


def takes_nothing(now: Micros, moved: Micros) -> bool:
    """Whether a client that has taken nothing of an answer since `moved` is held to have stopped, at its bound."""
    return now - moved >= TAKES_NOTHING


def stands_still(now: Micros, moved: Micros, *, due: bool) -> bool:
    """Whether a large value of which nothing has moved since `moved` is given up; `due`: so is its connection's end."""
    return now - moved >= (GIVES_NOTHING if due else STILL)
