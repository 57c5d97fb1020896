"""Owns a node's part of sums over the fleet, what of it is lent to others, and what others lent to it. No I/O.

Each node has a part of the whole by the stated number of nodes. Half of it may be lent, for a short time, at the
borrower's request. Who lends counts it out for longer than who borrows counts it in: the borrower's time begins when
it asked, the lender's when it gave, a tenth longer. So the parts in use never exceed the whole, whatever is lost, late
or doubled, however long a node stands still, as long as clocks run within a tenth of each other. A process that starts
lends nothing and uses the half that is never lent until what one before it may have lent has run out.
Parts are whole millionths of the sum. It must never read a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saltmoor.model import Micros

WHOLE = 1_000_000
LEASE: Micros = 3_000_000
LONGER: Micros = LEASE + LEASE // 10
ASKS = 8  # open at once
LOANS = 64  # given at once


@dataclass(slots=True)
class Loan:
    amount: int
    until: Micros


@dataclass(slots=True)
class Part:
    """One sum at one node."""

    nodes: int
    started: Micros
    given: dict[tuple[str, int], Loan] = field(default_factory=dict)  # by borrower and its number
    got: dict[tuple[str, int], Loan] = field(default_factory=dict)  # by lender and own number
    asked: dict[int, tuple[str, Micros]] = field(default_factory=dict)  # own numbers: whom, when

    @property
    def base(self) -> int:
        return WHOLE // max(1, self.nodes)

    def out(self, now: Micros) -> int:
        return sum(loan.amount for loan in self.given.values() if now < loan.until)

    def own(self, now: Micros) -> int:
        """What may be used now."""
        half = self.base // 2
        mine = self.base - half if now < self.started + LONGER else self.base - self.out(now)
        return mine + sum(loan.amount for loan in self.got.values() if now < loan.until)

    def ask(self, now: Micros, whom: str, number: int) -> bool:
        """`number`: of no earlier question of any process of this node."""
        self.tidy(now)
        if len(self.asked) >= ASKS:
            return False
        self.asked[number] = whom, now
        return True

    def give(self, now: Micros, who: str, number: int, amount: int) -> int:
        """How much of that a borrower gets; the same question again gets the same answer."""
        self.tidy(now)
        if now < self.started + LONGER or amount <= 0:
            return 0
        if loan := self.given.get((who, number)):
            return loan.amount
        amount = min(amount, self.base // 2 - self.out(now))
        if amount <= 0 or len(self.given) >= LOANS:
            return 0
        self.given[who, number] = Loan(amount, now + LONGER)
        return amount

    def take(self, now: Micros, lender: str, number: int, amount: int) -> bool:
        """The answer to an own question; anything else, or a second one, counts for nothing."""
        whom, when = self.asked.get(number, ("", 0))
        if whom != lender or not 0 < amount <= self.base:
            return False
        del self.asked[number]
        if now >= when + LEASE:
            return False
        self.got[lender, number] = Loan(amount, when + LEASE)
        return True

    def give_back(self, now: Micros) -> list[tuple[str, int]]:
        """What is not needed any more is not used from now on; whom to tell."""
        back = [which for which, loan in self.got.items() if now < loan.until]
        self.got.clear()
        return back

    def taken_back(self, who: str, number: int) -> None:
        self.given.pop((who, number), None)

    def tidy(self, now: Micros) -> None:
        self.given = {which: loan for which, loan in self.given.items() if now < loan.until}
        self.got = {which: loan for which, loan in self.got.items() if now < loan.until}
        self.asked = {number: kept for number, kept in self.asked.items() if now < kept[1] + LEASE}
