"""Owns leases by a majority, without disk: what a voter grants, how a candidate becomes owner and stops being one.

PaxosLease (Trencseni, Gazso, Reinhardt 2012) with numbers that rise as fences. Assumed: clocks that run within RATE of
each other between two readings; nothing of delays, order, loss, or what the wall says. No grant is for longer than
LONGEST_GRANT, and a voter that starts is silent for as long, so one that lost its memory helps nobody to grant twice.
Numbers rise with the wall clock and with every number that was seen. It must never read a clock, send, or act.
docs/duties.md has the rule and its proof.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from zlib import crc32

import msgspec

from saltmoor.model import Micros

RATE = 0.1  # clocks run within so much of true time, together: 5% fast and 5% slow
LONGEST_GRANT: Micros = 5_000_000  # the same for all settings: a voter that starts can't know what they were before
FLIGHTS = 4  # a flight is this part of its lease at most
BITS = 8  # of a number's lower end: the place among the candidates, so that no two have the same


class Ask(msgspec.Struct, array_like=True):
    """A candidate's word to a voter."""

    duty: str
    number: int
    step: str  # prepare, propose, release
    lease: int  # microseconds
    voters: int  # checksum of the list of voters that it counts by


class Vote(msgspec.Struct, array_like=True):
    """A voter's answer. `seen`: the largest number it has promised; `owner`: who holds a lease with it now."""

    duty: str
    number: int
    step: str
    yes: bool
    seen: int
    owner: str = ""
    left: int = 0  # microseconds that the owner's lease has left there


@dataclass(slots=True)
class Kept:
    promised: int = 0
    number: int = 0
    owner: str = ""
    until: Micros = 0


@dataclass(slots=True)
class Voter:
    """Grants, for each duty, one lease at a time; `longest`: of one grant, for all voters of all times the same."""

    started: Micros
    longest: Micros = LONGEST_GRANT
    kept: dict[str, Kept] = field(default_factory=dict)

    def silent(self, now: Micros) -> bool:
        """Guards against a vote twice: what it granted before it lost its memory may still stand.

        However it has come to start: with another lease or list of voters, or with a wall clock that was set back.
        """
        return now < self.started + int(self.longest * (1 + RATE))

    def hear(self, now: Micros, who: str, ask: Ask) -> Vote | None:
        if self.silent(now) or not 0 < ask.lease <= self.longest:
            return None
        one = self.kept.setdefault(ask.duty, Kept())
        if one.owner and now >= one.until:
            one.owner, one.number = "", 0
        match ask.step:
            case "release":
                if one.owner == who and one.number == ask.number:
                    one.owner, one.number = "", 0
                return None
            case "prepare":
                yes = ask.number > one.promised
                if yes:
                    one.promised = ask.number
            case "propose":
                yes = ask.number >= one.promised
                if yes:
                    one.promised = one.number = ask.number
                    # From when it is granted, a little longer than its owner counts.
                    one.owner, one.until = who, now + int(ask.lease * (1 + RATE))
            case _:
                return None
        return Vote(
            ask.duty, ask.number, ask.step, yes, one.promised, one.owner, max(0, one.until - now) if one.owner else 0
        )


def granted(lease: Micros, flight: Micros) -> tuple[Micros, Micros]:
    """How long one grant is asked for, and the flight within it, where the settings say `lease` and `flight`."""
    lease = min(lease, LONGEST_GRANT)
    return lease, min(flight, lease // FLIGHTS)


class State(Enum):
    IDLE = auto()
    PREPARING = auto()
    PROPOSING = auto()
    OWNER = auto()
    RENEWING = auto()  # the owner, preparing anew
    RENEWED = auto()  # the owner, proposing anew


class In(Enum):
    DUE = auto()  # it is time to try, or to renew
    FREE = auto()  # a majority has promised, and nobody else holds it
    TAKEN = auto()  # somebody else does
    GRANTED = auto()  # a majority has accepted
    OVERTAKEN = auto()  # a voter has promised a larger number
    LATE = auto()  # not enough answers in time
    OVER = auto()  # the lease has run out
    LEAVE = auto()


TABLE = {
    (State.IDLE, In.DUE): State.PREPARING,
    (State.PREPARING, In.FREE): State.PROPOSING,
    (State.PREPARING, In.TAKEN): State.IDLE,
    (State.PREPARING, In.OVERTAKEN): State.IDLE,
    (State.PREPARING, In.LATE): State.IDLE,
    (State.PROPOSING, In.GRANTED): State.OWNER,
    (State.PROPOSING, In.OVERTAKEN): State.IDLE,
    (State.PROPOSING, In.LATE): State.IDLE,
    (State.OWNER, In.DUE): State.RENEWING,
    (State.OWNER, In.OVER): State.IDLE,
    (State.RENEWING, In.FREE): State.RENEWED,
    (State.RENEWING, In.TAKEN): State.OWNER,
    (State.RENEWING, In.OVERTAKEN): State.OWNER,
    (State.RENEWING, In.LATE): State.OWNER,
    (State.RENEWING, In.OVER): State.IDLE,
    (State.RENEWED, In.GRANTED): State.OWNER,
    (State.RENEWED, In.OVERTAKEN): State.OWNER,
    (State.RENEWED, In.LATE): State.OWNER,
    (State.RENEWED, In.OVER): State.IDLE,
    (State.OWNER, In.LEAVE): State.IDLE,
    (State.RENEWING, In.LEAVE): State.IDLE,
    (State.RENEWED, In.LEAVE): State.IDLE,
}
HOLDING = {State.OWNER, State.RENEWING, State.RENEWED}


@dataclass(slots=True)
class Claim:
    """One candidate for one duty. `place`: among all candidates, each has another; `turn`: 0 for who goes first."""

    duty: str
    me: str
    place: int
    voters: list[str]
    before: list[str]  # the list that is being replaced; both majorities are needed until it is empty
    lease: Micros
    flight: Micros  # an act is begun no later than that before the lease ends
    state: State = State.IDLE
    number: int = 0  # of the present try
    fence: int = 0  # of the lease that is held
    until: Micros = 0  # of the lease that is held, as the owner counts it
    asked_at: Micros = 0  # when the present step began
    proposed_at: Micros = 0  # when the lease that is being granted began to count
    largest: int = 0  # number seen anywhere
    answers: dict[str, Vote] = field(default_factory=dict)
    next: Micros = 0
    since: Micros = 0  # of owning
    holder: tuple[str, Micros] = ("", 0)  # who else holds it, as far as heard, and until when
    lines: list[str] = field(default_factory=list)
    takes: int = 0

    @property
    def mark(self) -> int:
        return crc32("|".join([*sorted(self.voters), "", *sorted(self.before)]).encode())

    def owns(self, now: Micros) -> bool:
        return self.state in HOLDING and now < self.until

    def may_act(self, now: Micros) -> int:
        """The number to act under, 0: not now. Asked right before an act and again behind it."""
        return self.fence if self.state in HOLDING and now + self.flight < self.until else 0

    def majority(self, names: set[str]) -> bool:
        """Of all voters of each list, not of those who answered."""
        return all(2 * len(names & set(voters)) > len(set(voters)) for voters in (self.voters, self.before) if voters)

    def step(self, given: In, now: Micros, why: str = "") -> bool:
        after = TABLE.get((self.state, given))
        if after is None:
            return False
        before, self.state = self.state, after
        if (before in HOLDING) != (after in HOLDING):
            if after in HOLDING:
                self.since, self.takes = now, self.takes + 1
                self.lines.append(f"duty {self.duty}: owner, number={self.fence}")
            else:
                self.lines.append(
                    f"duty {self.duty}: owner no more: {given.name.lower()} {why}number={self.fence} "
                    f"held_ms={(now - self.since) // 1000}"
                )
                self.fence, self.until = 0, 0
        return True

    def asks(self, step: str) -> list[tuple[str, Ask]]:
        names = sorted({*self.voters, *self.before})
        return [(name, Ask(self.duty, self.number, step, self.lease, self.mark)) for name in names]

    def tick(self, now: Micros, wall: Micros, chance: float) -> list[tuple[str, Ask]]:
        """Words to voters, by name; this node's own vote is one of them, where it is a voter."""
        if self.state in HOLDING and now >= self.until:
            self.step(In.OVER, now)
            self.answers.clear()
            self.wait(now, chance)
        if self.state not in (State.IDLE, State.OWNER) and now - self.asked_at > self.lease // 4:
            self.step(In.LATE, now)
            self.wait(now, chance)
        if now < self.next or self.state not in (State.IDLE, State.OWNER):
            return []
        if self.state is State.IDLE and self.holder[1] > now:  # somebody has it: not before it runs out there
            self.next = self.holder[1] + int(chance * self.lease / 8)
            self.holder = "", 0
            return []
        self.step(In.DUE, now)
        # Larger than all that were seen, and than those of a time before all lost their memory.
        count = max(self.largest >> BITS, wall // 1000) + 1
        self.number = self.largest = count << BITS | self.place
        self.asked_at, self.answers = now, {}
        return self.asks("prepare")

    def wait(self, now: Micros, chance: float) -> None:
        """Guards against candidates that overtake each other without end."""
        self.next = now + int(self.lease / 8 * (0.3 + chance))

    def hear(self, now: Micros, who: str, vote: Vote, chance: float) -> list[tuple[str, Ask]]:
        self.largest = max(self.largest, vote.seen)
        if vote.owner and vote.owner != self.me and vote.left:
            self.holder = vote.owner, now + min(vote.left, 2 * self.lease)
        wanted = {
            State.PREPARING: "prepare",
            State.RENEWING: "prepare",
            State.PROPOSING: "propose",
            State.RENEWED: "propose",
        }
        if vote.number != self.number or vote.step != wanted.get(self.state) or who not in {*self.voters, *self.before}:
            return []
        if not vote.yes:
            self.step(In.OVERTAKEN, now)
            self.wait(now, chance)
            return []
        self.answers[who] = vote
        if vote.step == "prepare":
            free = {name for name, one in self.answers.items() if one.owner in ("", self.me)}
            if self.majority(free):
                self.step(In.FREE, now)
                # The lease counts from before it was asked for.
                self.asked_at = self.proposed_at = now
                self.answers = {}
                return self.asks("propose")
            if not self.majority({*self.voters, *self.before} - (self.answers.keys() - free)):
                self.step(In.TAKEN, now)
                self.wait(now, chance)
            return []
        if self.majority(set(self.answers)):
            until = self.proposed_at + int(self.lease * (1 - RATE))
            if now < until:
                self.fence, self.until = self.number, until
                self.step(In.GRANTED, now)
                self.next = now + self.lease // 3
            else:
                self.step(In.LATE, now)
                self.wait(now, chance)
        return []

    def freed(self, now: Micros, chance: float) -> None:
        """Its owner has given it back: nobody need wait until it would have run out."""
        if self.state is State.IDLE:
            self.holder, self.next = ("", 0), now + int(chance * self.lease / 16)

    def leave(self, now: Micros, chance: float) -> list[tuple[str, Ask]]:
        """Give it back: the next one need not wait until it runs out."""
        number, held = self.fence, self.state in HOLDING
        self.step(In.LEAVE, now)
        self.next = now + self.lease
        if not held:
            return []
        names = sorted({*self.voters, *self.before})
        return [(name, Ask(self.duty, number, "release", self.lease, self.mark)) for name in names]


@dataclass(slots=True)
class Fences:
    """What receivers inside the fleet have seen: an act under a lower number is refused."""

    seen: dict[str, int] = field(default_factory=dict)
    refused: int = 0

    def admit(self, duty: str, number: int) -> bool:
        if number < self.seen.get(duty, 0):
            self.refused += 1
            return False
        self.seen[duty] = number
        return True
