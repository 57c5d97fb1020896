"""Owns what a node does for all where it holds the lease: asks for leases over its peers' words, acts, and stops.

Each act is checked right before and again behind it, and carries its number. Service never depends on a duty: without
an owner every node does as it does alone. It must never decide who owns a duty: `duties/lease.py` does.
"""

from __future__ import annotations

import asyncio
import re
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from saltmoor.config import Dutiful
from saltmoor.duties.lease import Ask, Claim, Vote, Voter, granted
from saltmoor.model import Micros
from saltmoor.net.peers.node import Peers
from saltmoor.peers import frames
from saltmoor.peers.messages import MessageType
from saltmoor.replica.entries import Entry
from saltmoor.state import file

NAME = re.compile(r"^(?P<cluster>[A-Za-z0-9_.-]{1,64})\.(?P<number>\d{20})\.replica$")
LARGEST = 64 << 20  # bytes of a kept table
LOAD_WAIT: Micros = 2_000_000
KEEP = 2  # files of lower numbers that stay, for whoever wants to see them


class Kept(msgspec.Struct):
    """A file with the replicated table."""

    cluster: str
    number: int
    writer: str
    clock: dict[str, Any]
    items: list[Entry]  # the name is the file's


def path_of(folder: str, cluster: str, number: int) -> Path:
    return Path(folder) / f"{cluster}.{number:020d}.replica"


def numbered(folder: str, cluster: str) -> list[tuple[int, Path]]:
    """The files of that cluster, the largest number first."""
    found = []
    for path in Path(folder).iterdir():
        match = NAME.match(path.name)
        if match and match["cluster"] == cluster:
            found.append((int(match["number"]), path))
    return sorted(found, reverse=True)


def write(folder: str, kept: Kept, still: Callable[[], bool]) -> str:
    """Put it under its number; why not, where it was not. Raises OSError.

    Guards against an owner that was stopped between its check and this, however long: its file has its own number,
    never replaces one of a larger, and only what is lower than its own goes.
    """
    there = numbered(folder, kept.cluster)
    if there and there[0][0] > kept.number:
        return f"a larger number is there: {there[0][0]}"
    if not still():
        return "the lease has gone meanwhile"
    data = msgspec.msgpack.encode(kept)
    head = frames.MAGIC + len(data).to_bytes(8, "big") + frames.crc32(data).to_bytes(4, "big")
    file.write(path_of(folder, kept.cluster, kept.number), head + data)
    if not still():
        return "written, but the lease has gone meanwhile"
    for number, path in numbered(folder, kept.cluster)[KEEP:]:
        if number < kept.number:
            path.unlink(missing_ok=True)
    return ""


def read(path: Path) -> Kept:
    """`Unfit` where it is none, cut off, or altered."""
    data = file.read(path, LARGEST)
    if data is None or data[:3] != frames.MAGIC or len(data) < 15:
        raise file.Unfit("no table")
    body = data[15:]
    if len(body) != int.from_bytes(data[3:11], "big"):
        raise file.Unfit(f"{len(body)} bytes of {int.from_bytes(data[3:11], 'big')}")
    if frames.crc32(body) != int.from_bytes(data[11:15], "big"):
        raise file.Unfit("its checksum differs")
    try:
        return msgspec.msgpack.decode(body, type=Kept)
    except (msgspec.DecodeError, RecursionError):
        raise file.Unfit("not what a node writes") from None


class Duties:
    def __init__(self, peers: Peers, given: Dutiful, log: Callable[[str], None]) -> None:
        self.peers, self.given, self.log, self.clock = peers, given, log, peers.clock
        now = self.clock()
        everyone = sorted({*given.voters, *given.before})
        lease, flight = granted(given.lease, given.flight)
        self.voter = Voter(now) if peers.name in everyone else None
        # Only voters are candidates: each has a place of its own, so no two numbers are the same.
        self.claims = (
            {
                duty: Claim(
                    duty,
                    peers.name,
                    everyone.index(peers.name),
                    list(given.voters),
                    list(given.before),
                    lease,
                    flight,
                    next=now,
                )
                for duty in given.use
            }
            if self.voter
            else {}
        )
        self.differ: set[str] = set()  # members with another list of voters
        self.kept_at, self.writing, self.mode = now, False, ""
        self.wrote = 0
        peers.messenger.route(MessageType.DUTY_REQUEST, Ask, self.asked)
        peers.messenger.route(MessageType.DUTY_VOTE, Vote, self.voted)
        peers.operators.views["duties"] = self.shown
        self.loading, self.started = "snapshot" in given.use and bool(self.claims), now
        if self.loading:
            threading.Thread(target=self.load, daemon=True).start()

    # Leases.

    def chance(self) -> float:
        return self.peers.members.chance()

    def send(self, words: list[tuple[str, Any]]) -> None:
        """To voters; to this node's own vote at once."""
        for name, ask in words:
            if name == self.peers.name:
                if vote := self.voter.hear(self.clock(), name, ask):
                    self.voted(name, vote)
            else:
                self.peers.messenger.send_to(name, MessageType.DUTY_REQUEST, ask)

    def asked(self, who: str, ask: Ask) -> None:
        mine = next(iter(self.claims.values()), None)
        if self.voter is None or mine is None or ask.duty not in self.claims:
            raise frames.Strange("duty")
        if ask.voters != mine.mark:
            if who not in self.differ and len(self.differ) < 1000:
                self.differ.add(who)
                self.log(f"duties: {who} counts by another list of voters; its claims are not heard")
            raise frames.Strange("voters")
        if ask.step == "release":
            self.claims[ask.duty].freed(self.clock(), self.chance())
        if vote := self.voter.hear(self.clock(), who, ask):
            self.peers.messenger.send_to(who, MessageType.DUTY_VOTE, vote)

    def voted(self, who: str, vote: Vote) -> None:
        if claim := self.claims.get(vote.duty):
            self.send(claim.hear(self.clock(), who, vote, self.chance()))

    def tick(self, now: Micros) -> None:
        # Guards against a disk that takes its time: the numbers in kept files are waited for, but not for ever.
        if self.loading and now - self.started < LOAD_WAIT:
            return
        for claim in self.claims.values():
            self.send(claim.tick(now, self.peers.wall(), self.chance()))
            for line in claim.lines:
                self.log(line)
            claim.lines.clear()
        if "snapshot" in self.claims and now - self.kept_at >= self.given.every:
            self.kept_at = now
            self.peers.spawn(self.keep(self.claims["snapshot"]))

    def end(self) -> None:
        """Give all back: the next owner need not wait."""
        for claim in self.claims.values():
            self.send(claim.leave(self.clock(), 0.5))

    # The replicated table in the operators' folder.

    async def keep(self, claim: Claim) -> None:
        now, number, takes = self.clock(), claim.may_act(self.clock()), claim.takes
        if not number or self.writing:
            return
        self.writing, entries, clocks = True, [], file.clocks()  # ages count from here
        try:
            for entry in self.peers.store.since(now, 0):
                entries.append(entry)
                if len(entries) % 64 == 0:  # so that the loop goes on
                    await asyncio.sleep(0)
        except BaseException:
            self.writing = False
            raise
        kept = Kept(self.given.cluster, number, self.peers.name, clocks, entries)
        threading.Thread(target=self.work, args=(kept, claim, takes), daemon=True).start()

    def work(self, kept: Kept, claim: Claim, takes: int) -> None:
        """The thread's. A clock and a few numbers are all it reads of the claim."""

        def still() -> bool:
            return claim.takes == takes and claim.may_act(self.clock()) >= kept.number

        try:
            why = write(self.given.folder, kept, still)
        except OSError as error:
            why = error.strerror or str(error)
        except Exception as error:
            why = f"{type(error).__name__}: {error}"
        try:
            self.peers.loop.call_soon_threadsafe(self.written, why)
        except RuntimeError:
            pass

    def written(self, why: str) -> None:
        self.writing = False
        self.wrote += not why
        if why != self.mode:
            self.mode = why
            self.log(f"duty snapshot: {'not written: ' + why if why else 'written'}")

    def load(self) -> None:
        """A thread's: the newest whole table that is kept."""
        lines, kept = [], None
        try:
            for _, path in numbered(self.given.folder, self.given.cluster):
                try:
                    kept = read(path)
                    break
                except file.Unfit as error:
                    lines.append(f"duty snapshot: {path.name}: {error}; passed over")
        except Exception as error:  # whatever it is, the node starts without
            lines.append(f"duty snapshot: not read: {type(error).__name__}: {error}")
        try:
            self.peers.loop.call_soon_threadsafe(self.loaded, kept, lines)
        except RuntimeError:
            pass

    def loaded(self, kept: Kept | None, lines: list[str]) -> None:
        """What the fleet knew, where all that knew it have gone: each entry as old as it is by now."""
        self.loading = False
        for line in lines:
            self.log(line)
        if kept is None:
            return
        for claim in self.claims.values():  # numbers rise beyond every one that was kept
            claim.largest = max(claim.largest, kept.number)
        gone = file.age(kept.clock, file.clocks())
        entries = [entry for entry in kept.items if gone is not None or entry.kind == "word"]
        for entry in entries:
            entry.age += gone or 0
        self.log(
            f"duty snapshot: number={kept.number} of {kept.writer}: items={len(entries)} "
            f"{'of unknown age' if gone is None else f'age_ms={gone // 1000}'}"
        )
        self.take(entries)

    def take(self, entries: list[Entry]) -> None:
        """Some at a time, so that the loop goes on."""
        now = self.clock()
        for entry in entries[:64]:
            self.peers.merge(now, entry)
        if entries[64:]:
            self.peers.loop.call_soon(self.take, entries[64:])

    def shown(self) -> dict[str, Any]:
        now = self.clock()
        return {
            "voters": list(self.given.voters),
            "before": list(self.given.before),
            "duties": {
                duty: {
                    "state": one.state.name.lower(),
                    "owner": one.owns(now),
                    "number": one.fence,
                    "left_ms": max(0, one.until - now) // 1000,
                    "held_ms": (now - one.since) // 1000 if one.owns(now) else 0,
                    "holder": one.holder[0] if one.holder[1] > now else "",
                    "takes": one.takes,
                    "wrote": self.wrote,
                }
                for duty, one in self.claims.items()
            },
        }
