"""Owns the messages by which nodes borrow from each other's shares of a quota over the fleet.

`replica/borrowed_quota.py` counts what is lent and for how long. It must never say how much a node needs.
"""

from __future__ import annotations

from collections.abc import Callable

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger
from saltmoor.peers.messages import BorrowedQuota, MessageType
from saltmoor.replica.borrowed_quota import Share

NUMBERS_BITS = 20  # requests of one incarnation for each of its milliseconds


class BorrowedQuotas:
    """This node's shares, by the quotas' names. `incarnation` as of the node's process."""

    def __init__(self, messenger: Messenger, incarnation: int, clock: Callable[[], Micros]) -> None:
        self.messenger, self.clock = messenger, clock
        self.shares: dict[str, Share] = {}
        self.number = incarnation << NUMBERS_BITS  # of this node's last request; no earlier process came so far
        messenger.route(MessageType.QUOTA_REQUEST, BorrowedQuota, self.requested)
        messenger.route(MessageType.QUOTA_GRANT, BorrowedQuota, self.granted)
        messenger.route(MessageType.QUOTA_RETURN, BorrowedQuota, self.returned)

    def borrow(self, name: str, amount: int) -> None:
        """Ask one of the others for so much of that quota."""
        now, members = self.clock(), self.messenger.members
        for lender in members.some(members.there(), 1):
            self.number += 1
            if self.shares[name].request(now, lender, self.number):
                content = BorrowedQuota(name, self.number, amount)
                self.messenger.send_to(lender, MessageType.QUOTA_REQUEST, content)

    def give_back(self, name: str) -> None:
        """What is borrowed of that quota is not used any more."""
        for lender, number in self.shares[name].give_back(self.clock()):
            self.messenger.send_to(lender, MessageType.QUOTA_RETURN, BorrowedQuota(name, number))

    def requested(self, sender: str, said: BorrowedQuota) -> None:
        share = self.shares.get(said.quota)
        if share and (amount := share.grant(self.clock(), sender, said.number, said.amount)):
            content = BorrowedQuota(said.quota, said.number, amount)
            self.messenger.send_to(sender, MessageType.QUOTA_GRANT, content)

    def granted(self, sender: str, said: BorrowedQuota) -> None:
        if share := self.shares.get(said.quota):
            share.receive(self.clock(), sender, said.number, said.amount)

    def returned(self, sender: str, said: BorrowedQuota) -> None:
        if share := self.shares.get(said.quota):
            share.returned(sender, said.number)
