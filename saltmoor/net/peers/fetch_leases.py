"""Owns the messages by which nodes coalesce their fetches of a key: a lease from the key's owner, how the fetch ended.

`replica/fetch_leases.py` grants the leases. It must never hold up a request past the wait that it was given: who hears nothing
in time fetches by itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger
from saltmoor.peers.messages import FetchLease, MessageType
from saltmoor.replica.fetch_leases import Decision, LeaseAnswer, LeaseTable, owner_of

ANSWER_WAIT = 0.02  # seconds that a miss may wait for the first answer of the key's owner
REQUESTS_MOST = 2_000  # open at once, and leases held
LONGEST_LEASE: Micros = 2_000_000


@dataclass(slots=True, eq=False)
class Request:
    """A lease that this node has asked for; told to wait, it waits for `patience` more."""

    answer: asyncio.Future
    patience: Micros
    limit: asyncio.Timeout | None = None


@dataclass(slots=True)
class Held:
    """A lease of this node: who granted it, under which number."""

    owner: str = ""
    number: int = 0


class FetchLeases:
    """Leases that this node asks for, and those of the keys that it owns. `incarnation` as of the node's process."""

    def __init__(self, messenger: Messenger, incarnation: int, clock: Callable[[], Micros]) -> None:
        self.messenger, self.clock = messenger, clock
        self.table = LeaseTable(incarnation)
        self.requests: dict[int, Request] = {}
        self.held: dict[int, Held] = {}  # by key
        self.number = 0  # of this node's last request
        self.loop = asyncio.get_running_loop()
        for message_type, handle in (
            (MessageType.LEASE_REQUEST, self.requested),
            (MessageType.LEASE_ANSWER, self.answer_came),
            (MessageType.LEASE_END, self.fetch_ended),
            (MessageType.LEASE_VOID, self.voided),
        ):
            messenger.route(message_type, FetchLease, handle)

    def owner_of(self, key: int) -> str:
        return owner_of(key, [self.messenger.name, *self.messenger.members.there()])

    # As who misses.

    async def request(self, key: int, duration: Micros, patience: Micros, missed: str) -> LeaseAnswer | None:
        """Whether this node is to fetch that key, or where a copy is; None: no answer in time."""
        if len(self.requests) >= REQUESTS_MOST or not self.messenger.sockets.is_open:
            return None
        if not self.messenger.members.others:
            return None
        owner = self.owner_of(key)
        answer = await self.answer_of(owner, key, duration, patience, missed)
        if answer and answer.decision is Decision.FETCH and answer.lease:
            self.held[key] = Held(owner, answer.lease)
            while len(self.held) > REQUESTS_MOST:
                self.held.pop(next(iter(self.held)))
        return answer

    async def answer_of(
        self, owner: str, key: int, duration: Micros, patience: Micros, missed: str
    ) -> LeaseAnswer | None:
        self.number += 1
        number = self.number
        request = self.requests[number] = Request(self.loop.create_future(), patience)
        try:
            async with asyncio.timeout(ANSWER_WAIT) as request.limit:
                if owner == self.messenger.name:
                    self.tell_all([self.table.request(self.clock(), key, owner, number, duration, missed)])
                else:
                    content = FetchLease(number, key, duration, server=missed)
                    self.messenger.send_to(owner, MessageType.LEASE_REQUEST, content)
                return await request.answer
        except TimeoutError:
            return None
        finally:
            del self.requests[number]

    def answered(self, answer: LeaseAnswer) -> None:
        """The owner's answer to a request of this node; one that nobody waits for any more changes nothing."""
        request = self.requests.get(answer.request)
        if request is None:
            return
        if answer.decision is Decision.WAIT:
            if request.limit:
                request.limit.reschedule(self.loop.time() + request.patience / 1_000_000)
        elif not request.answer.done():
            request.answer.set_result(answer)

    def fetched(self, key: int, server: str) -> None:
        """This node's fetch of the key has ended; `server` has the copy now, empty: it failed."""
        held = self.held.pop(key, Held())
        if not held.owner and not server:
            return
        owner = held.owner or self.owner_of(key)
        if owner == self.messenger.name:
            self.tell_all(self.table.fetched(self.clock(), key, held.number, server))
        else:
            self.messenger.send_to(owner, MessageType.LEASE_END, FetchLease(held.number, key, server=server))

    def written(self, key: int) -> None:
        """This node has had the key written: what others are fetching of it may be the value before."""
        owner = self.owner_of(key)
        if owner == self.messenger.name:
            self.void(key)
        else:
            self.messenger.send_to(owner, MessageType.LEASE_VOID, FetchLease(0, key))

    # As a key's owner.

    def expire(self, now: Micros) -> None:
        """Leases whose time is over pass on."""
        self.tell_all(self.table.expire(now))

    def void(self, key: int) -> None:
        self.tell_all(self.table.void(self.clock(), key))

    def granted_keys(self) -> set[int]:
        """Keys of which this node has granted a lease, or told a copy."""
        return {*self.table.leases, *self.table.copies}

    def tell_all(self, answers: Iterable[LeaseAnswer]) -> None:
        for answer in answers:
            if answer.to == self.messenger.name:
                self.answered(answer)
            else:
                content = FetchLease(answer.request, 0, 0, int(answer.decision), answer.lease, answer.server)
                self.messenger.send_to(answer.to, MessageType.LEASE_ANSWER, content)

    # Messages of others.

    def requested(self, sender: str, said: FetchLease) -> None:
        duration = max(0, min(said.duration, LONGEST_LEASE))
        self.tell_all([self.table.request(self.clock(), said.key, sender, said.number, duration, said.server)])

    def answer_came(self, _sender: str, said: FetchLease) -> None:
        decision = Decision(said.decision) if said.decision in tuple(Decision) else Decision.FETCH
        self.answered(LeaseAnswer(self.messenger.name, said.number, decision, said.lease, said.server))

    def fetch_ended(self, _sender: str, said: FetchLease) -> None:
        self.tell_all(self.table.fetched(self.clock(), said.key, said.number, said.server))

    def voided(self, _sender: str, said: FetchLease) -> None:
        self.void(said.key)
