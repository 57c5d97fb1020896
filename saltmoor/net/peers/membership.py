"""Owns the messages of membership: those of `peers/members.py` go out and come in here, with the digest of what is shared.

It must never decide who is alive: `Members` does.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from saltmoor.model import Micros
from saltmoor.net.peers.messenger import Messenger, numeric_address
from saltmoor.peers import frames
from saltmoor.peers.frames import Frame, Strange
from saltmoor.peers.members import Ask, Members, Out, Ping
from saltmoor.peers.messages import MessageType
from saltmoor.replica.anti_entropy import PullSchedule
from saltmoor.replica.entries import Store


class Membership:
    """Carries the messages of `members`; a ping tells the digest of `store`, and `schedule` hears of the others'."""

    def __init__(
        self, messenger: Messenger, members: Members, store: Store, schedule: PullSchedule, clock: Callable[[], Micros]
    ) -> None:
        self.messenger, self.members, self.clock = messenger, members, clock
        self.store, self.schedule = store, schedule
        messenger.on_membership = self.heard

    def send_all(self, messages: Iterable[Out]) -> None:
        for message in messages:
            if isinstance(message.content, Ping):
                self.add_digest(message.content)
            address = self.messenger.address_of(message.to) if message.to else numeric_address(message.address)
            self.messenger.send(address, message.message_type, message.content)

    def add_digest(self, ping: Ping) -> None:
        ping.root, ping.epoch, ping.seq = self.store.root, self.store.epoch, self.store.seq

    def heard(self, frame: Frame) -> None:
        now, speaker, asks = self.clock(), frame.speaker, frame.message_type == MessageType.ASK
        content = frames.content(frame, Ask if asks else Ping)
        if frame.message_type == MessageType.PING and content.to and content.to != self.messenger.name:
            raise Strange("not for this one")
        self.send_all(self.members.heard(now, time.time_ns() // 1000, speaker, frame.message_type, content))
        if not asks and speaker.name in self.members.others and content.epoch:
            self.schedule.saw(now, speaker.name, content.root == self.store.root)
