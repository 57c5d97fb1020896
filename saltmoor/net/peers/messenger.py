"""Owns the datagrams between nodes: frames them, sends them to where a member is, dispatches those that come by type.

Whatever comes is checked, counted and dropped where it is strange; nothing that comes can end the node or hold its
loop. It must never decide who is alive, or what a message means.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Any, NamedTuple

from saltmoor import config
from saltmoor.config import Talking
from saltmoor.net.peers.sockets import Sockets
from saltmoor.peers import frames
from saltmoor.peers.frames import Frame, Speaker, Strange
from saltmoor.peers.members import Members
from saltmoor.peers.messages import MEMBERSHIP

AT_A_TIME = 32  # datagrams read before the loop goes on
LARGEST_READ = 65_536  # bytes


@dataclass(slots=True)
class Traffic:
    """What one node has sent and received between nodes, and what it dropped, by reason."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0
    given_bytes: int = 0  # of entries, on streams
    dropped: dict[str, int] = field(default_factory=dict)
    slowest: float = 0.0  # seconds of processor time: the most that one callback took

    def drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1

    def took_since(self, begun: float) -> None:
        """A callback that began at that reading of the thread's time is over."""
        self.slowest = max(self.slowest, time.thread_time() - begun)


class Route(NamedTuple):
    """The form of one message type's content, and who takes the sender's name and that content."""

    form: Any
    handle: Callable[[str, Any], None]


@lru_cache(maxsize=4096)
def numeric_address(text: str) -> tuple[str, int] | None:
    """Guards against a member whose address is a name: nothing here is looked up."""
    try:
        return config.numeric("address", text)
    except config.Faulty:
        return None


class Messenger:
    """One node's datagrams. `on_membership` takes whole frames, also of nodes that are not known yet."""

    def __init__(self, given: Talking, members: Members, sockets: Sockets, log: Callable[[str], None]) -> None:
        self.given, self.members, self.sockets, self.log = given, members, sockets, log
        self.name, self.run = members.me.name, members.me.run
        self.traffic = Traffic()
        self.routes: dict[str, Route] = {}
        self.on_membership: Callable[[Frame], None] = lambda frame: None

    def route(self, message_type: str, form: Any, handle: Callable[[str, Any], None]) -> None:
        """From now on members' messages of that type go to `handle`."""
        self.routes[message_type] = Route(form, handle)

    # Out.

    def encode(self, message_type: str, content: Any) -> bytes:
        speaker = Speaker(self.name, self.members.me.life, self.run, time.time_ns() // 1000)
        return frames.encode(self.given.cluster, speaker, message_type, content)

    def address_of(self, name: str) -> tuple[str, int] | None:
        """Where a member is reached: as the operator says, or as it says itself."""
        member = self.members.others.get(name)
        return numeric_address(self.given.via.get(name) or (member.address if member else ""))

    def send_to(self, name: str, message_type: str, content: Any) -> None:
        self.send(self.address_of(name), message_type, content)

    def send(self, address: tuple[str, int] | None, message_type: str, content: Any) -> None:
        if not self.sockets.datagrams or not address:
            return
        data = self.encode(message_type, content)
        if len(data) > frames.DATAGRAM:
            self.traffic.drop("own too long")
            return
        try:
            self.sockets.datagrams.sendto(data, address)
        except (OSError, ValueError, OverflowError):  # as good as lost on its way
            self.traffic.drop("not sent")
            return
        self.traffic.sent += 1
        self.traffic.sent_bytes += len(data)

    # In.

    def read(self) -> None:
        """Datagrams wait: take some of them."""
        begun = time.thread_time()
        for _ in range(AT_A_TIME):
            try:
                data = self.sockets.datagrams.recv(LARGEST_READ)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an earlier message of ours that reached nobody
                continue
            self.traffic.received += 1
            self.traffic.received_bytes += len(data)
            self.receive(data)
        self.traffic.took_since(begun)

    def receive(self, data: bytes) -> None:
        """Guards against whatever comes: a fault costs this message."""
        try:
            self.dispatch(data)
        except Strange as error:
            self.traffic.drop(str(error))
        except Exception as error:  # a fault of ours, or more than was thought of
            self.traffic.drop("fault")
            self.log(f"fault in a peer's word: {type(error).__name__}: {error}")

    def dispatch(self, data: bytes) -> None:
        """`Strange` for what is no message for this node."""
        if len(data) > frames.DATAGRAM:
            raise Strange("length")
        frame = frames.decode(data, self.given.cluster)
        if frame.message_type in MEMBERSHIP:
            self.on_membership(frame)
            return
        sender = frame.speaker.name
        if sender == self.name or sender not in self.members.others:
            raise Strange("not known")
        route = self.routes.get(frame.message_type)
        if route is None:
            raise Strange("word")
        route.handle(sender, frames.content(frame, route.form))
