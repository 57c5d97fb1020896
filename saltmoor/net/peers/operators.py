"""Owns what operators ask a node between nodes, over streams: what it knows, and commands for every node.

Keys and the order of what is shown are the form that `peers/ask.py` and the lab read. It must never carry out a
command: that is an entry of the replicated table, and its owner's.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from saltmoor.model import Micros
from saltmoor.net.peers.gossip import Gossip
from saltmoor.net.peers.messenger import Messenger
from saltmoor.net.peers.streams import FrameStream, Streams
from saltmoor.peers.members import Member
from saltmoor.peers.messages import MessageType, OperatorCommand
from saltmoor.replica.anti_entropy import PullSchedule
from saltmoor.replica.entries import Entry, Store

NAME_MOST = 200  # characters of a command's name
SHOWN_BYTES = 2_000  # of an entry's body
SHOWN_MOST = 2_000  # entries of a kind


class Operators:
    """Answers operators' questions. `views` are those of parts that are built on this node's messages, by name."""

    def __init__(
        self,
        messenger: Messenger,
        streams: Streams,
        gossip: Gossip,
        schedule: PullSchedule,
        clock: Callable[[], Micros],
    ) -> None:
        self.messenger, self.gossip, self.schedule, self.clock = messenger, gossip, schedule, clock
        self.store: Store = gossip.store
        self.views: dict[str, Callable[[], dict[str, Any]]] = {"items": self.entries}
        streams.route(MessageType.SHOW, str, self.show)
        streams.route(MessageType.COMMAND, OperatorCommand, self.command)

    async def show(self, stream: FrameStream, what: str) -> None:
        await stream.write(self.messenger.encode(MessageType.SHOWN, self.shown(what)))

    async def command(self, stream: FrameStream, command: OperatorCommand) -> None:
        await stream.write(self.messenger.encode(MessageType.COMMAND_TAKEN, self.said(command)))

    def said(self, command: OperatorCommand) -> dict[str, Any]:
        """An operator's command, from now on every node's."""
        if not 0 < len(command.name) <= NAME_MOST or "|" not in command.name:
            return {"fault": "must be WHAT|NAME"}
        stamp = self.gossip.stamps.make(self.gossip.wall())
        entry = Entry.made("word", command.name, stamp, command.value)
        taken = self.store.put(self.clock(), entry)
        if taken:
            self.gossip.took(entry)
        return {"taken": taken, "stamp": stamp}

    def shown(self, what: str) -> dict[str, Any]:
        """That view, or the members where there is none of that name."""
        return self.views.get(what, self.overview)()

    def entries(self) -> dict[str, Any]:
        now = self.clock()
        return {
            "items": [
                [kind, key, kept.version, kept.body[:SHOWN_BYTES], (now - kept.written) // 1000]
                for kind, table in self.store.kinds.items()
                for key, kept in list(table.items())[:SHOWN_MOST]
            ]
        }

    def overview(self) -> dict[str, Any]:
        now = self.clock()
        return self.membership(now) | self.table() | self.traffic()

    def membership(self, now: Micros) -> dict[str, Any]:
        members = self.messenger.members
        return {
            "name": self.messenger.name,
            "cluster": self.messenger.given.cluster,
            "life": members.me.life,
            "site": members.me.site,
            "build": members.me.build,
            "late": members.late,
            "clashes": len(members.clashes),
            "members": [row(now, member) for member in members.others.values()],
        }

    def table(self) -> dict[str, Any]:
        return {
            "root": self.store.root,
            "digests": self.store.digests,
            "items": self.store.count(),
            "bytes": self.store.bytes,
            "refused": self.store.refused,
            "dropped": self.messenger.traffic.dropped,
            "phase": self.schedule.phase.name.lower(),
            "took_ms": self.schedule.took // 1000,
            "pulls": self.schedule.pulls,
            "repairs": self.schedule.repairs,
        }

    def traffic(self) -> dict[str, Any]:
        traffic = self.messenger.traffic
        return {
            "sent": traffic.sent,
            "came": traffic.received,
            "sent_bytes": traffic.sent_bytes,
            "came_bytes": traffic.received_bytes,
            "given_bytes": traffic.given_bytes,
            "slowest_us": int(traffic.slowest * 1e6),
        }


def row(now: Micros, member: Member) -> list[Any]:
    return [
        member.name,
        member.state.name.lower(),
        member.life,
        member.address,
        member.site,
        member.build,
        (now - member.since) // 1000,
        member.offset // 1000,
    ]
