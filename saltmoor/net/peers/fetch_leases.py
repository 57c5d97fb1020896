"""Owns the messages by which nodes coalesce their fetches of a key: a lease from the key's owner, how the fetch ended.

`replica/turns.py` grants the leases. It must never hold up a request past the wait that it was given: who hears nothing
in time fetches by itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger
from saltmoor.peers.messages import FetchLease, MessageType
from saltmoor.replica.turns import How, Turns, Word, keeper

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
        self.turns = Turns(incarnation)
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
        return keeper(key, [self.messenger.name, *self.messenger.members.there()])

    # As who misses.

    async def request(self, key: int, lease: Micros, patience: Micros, missed: str) -> Word | None:
        """Whether this node is to fetch that key, or where a copy is; None: no answer in time."""
        if len(self.requests) >= REQUESTS_MOST or not self.messenger.sockets.is_open:
            return None
        if not self.messenger.members.others:
            return None
        owner = self.owner_of(key)
        answer = await self.answer_of(owner, key, lease, patience, missed)
        if answer and answer.how is How.GO and answer.permit:
            self.held[key] = Held(owner, answer.permit)
            while len(self.held) > REQUESTS_MOST:
                self.held.pop(next(iter(self.held)))
        return answer

    async def answer_of(self, owner: str, key: int, lease: Micros, patience: Micros, missed: str) -> Word | None:
        self.number += 1
        number = self.number
        request = self.requests[number] = Request(self.loop.create_future(), patience)
        try:
            async with asyncio.timeout(ANSWER_WAIT) as request.limit:
                if owner == self.messenger.name:
                    self.tell_all([self.turns.ask(self.clock(), key, owner, number, lease, missed)])
                else:
                    content = FetchLease(number, key, lease, server=missed)
                    self.messenger.send_to(owner, MessageType.LEASE_REQUEST, content)
                return await request.answer
        except TimeoutError:
            return None
        finally:
            del self.requests[number]

    def answered(self, answer: Word) -> None:
        """The owner's answer to a request of this node; one that nobody waits for any more changes nothing."""
        request = self.requests.get(answer.ask)
        if request is None:
            return
        if answer.how is How.WAIT:
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
            self.tell_all(self.turns.done(self.clock(), key, held.number, server))
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

    def sweep(self, now: Micros) -> None:
        """Leases whose time is over pass on."""
        self.tell_all(self.turns.sweep(now))

    def void(self, key: int) -> None:
        self.tell_all(self.turns.void(self.clock(), key))

    def granted_keys(self) -> set[int]:
        """Keys of which this node has granted a lease, or told a copy."""
        return {*self.turns.permits, *self.turns.copies}

    def tell_all(self, answers: Iterable[Word]) -> None:
        for answer in answers:
            if answer.to == self.messenger.name:
                self.answered(answer)
            else:
                content = FetchLease(answer.ask, 0, 0, int(answer.how), answer.permit, answer.server)
                self.messenger.send_to(answer.to, MessageType.LEASE_ANSWER, content)

    # Messages of others.

    def requested(self, sender: str, said: FetchLease) -> None:
        lease = max(0, min(said.lease, LONGEST_LEASE))
        self.tell_all([self.turns.ask(self.clock(), said.key, sender, said.number, lease, said.server)])

    def answer_came(self, _sender: str, said: FetchLease) -> None:
        how = How(said.how) if said.how in tuple(How) else How.GO
        self.answered(Word(self.messenger.name, said.number, how, said.permit, said.server))

    def fetch_ended(self, _sender: str, said: FetchLease) -> None:
        self.tell_all(self.turns.done(self.clock(), said.key, said.number, said.server))

    def voided(self, _sender: str, said: FetchLease) -> None:
        self.void(said.key)
