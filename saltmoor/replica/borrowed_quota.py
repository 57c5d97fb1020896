"""Owns a node's share of quotas over the fleet, what of it others have borrowed, and what it has borrowed. No I/O.

Each node has a share of the whole by the stated number of nodes. Half of it may be lent, for a short time, at the
borrower's request. The lender's lease runs for longer than the borrower's: the borrower's begins when it asked, the
lender's when it granted, a tenth longer. So the shares in use never exceed the whole, whatever is lost, late or
doubled, however long a node stands still, as long as clocks run within a tenth of each other. A process that starts
lends nothing and uses the half that is never lent until what one before it may have lent has run out.
Shares are whole millionths of the quota. It must never read a clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from saltmoor.model import Micros

WHOLE = 1_000_000
BORROWER_LEASE: Micros = 3_000_000
LENDER_LEASE: Micros = BORROWER_LEASE + BORROWER_LEASE // 10
REQUESTS_MOST = 8  # open at once
LEASES_MOST = 64  # granted at once


@dataclass(slots=True)
class QuotaLease:
    amount: int
    until: Micros


@dataclass(slots=True)
class Share:
    """One node's share of one quota."""

    nodes: int
    started: Micros
    granted: dict[tuple[str, int], QuotaLease] = field(default_factory=dict)  # by borrower and its number
    borrowed: dict[tuple[str, int], QuotaLease] = field(default_factory=dict)  # by lender and own number
    requests: dict[int, tuple[str, Micros]] = field(default_factory=dict)  # by own number: whom, when

    @property
    def base(self) -> int:
        return WHOLE // max(1, self.nodes)

    def lent(self, now: Micros) -> int:
        return sum(lease.amount for lease in self.granted.values() if now < lease.until)

    def usable(self, now: Micros) -> int:
        """What may be used now."""
        half = self.base // 2
        mine = self.base - half if now < self.started + LENDER_LEASE else self.base - self.lent(now)
        return mine + sum(lease.amount for lease in self.borrowed.values() if now < lease.until)

    def request(self, now: Micros, whom: str, number: int) -> bool:
        """`number`: of no earlier request of any process of this node."""
        self.expire(now)
        if len(self.requests) >= REQUESTS_MOST:
            return False
        self.requests[number] = whom, now
        return True

    def grant(self, now: Micros, who: str, number: int, amount: int) -> int:
        """How much of that a borrower gets; the same request again gets the same answer."""
        self.expire(now)
        if now < self.started + LENDER_LEASE or amount <= 0:
            return 0
        if lease := self.granted.get((who, number)):
            return lease.amount
        amount = min(amount, self.base // 2 - self.lent(now))
        if amount <= 0 or len(self.granted) >= LEASES_MOST:
            return 0
        self.granted[who, number] = QuotaLease(amount, now + LENDER_LEASE)
        return amount

    def receive(self, now: Micros, lender: str, number: int, amount: int) -> bool:
        """The answer to an own request; anything else, or a second one, counts for nothing."""
        whom, when = self.requests.get(number, ("", 0))
        if whom != lender or not 0 < amount <= self.base:
            return False
        del self.requests[number]
        if now >= when + BORROWER_LEASE:
            return False
        self.borrowed[lender, number] = QuotaLease(amount, when + BORROWER_LEASE)
        return True

    def give_back(self, now: Micros) -> list[tuple[str, int]]:
        """What is not needed any more is not used from now on; whom to tell."""
        back = [which for which, lease in self.borrowed.items() if now < lease.until]
        self.borrowed.clear()
        return back

    def returned(self, who: str, number: int) -> None:
        self.granted.pop((who, number), None)

    def expire(self, now: Micros) -> None:
        self.granted = {which: lease for which, lease in self.granted.items() if now < lease.until}
        self.borrowed = {which: lease for which, lease in self.borrowed.items() if now < lease.until}
        self.requests = {number: kept for number, kept in self.requests.items() if now < kept[1] + BORROWER_LEASE}
