"""Owns the sockets between nodes: datagrams for small words, streams for bulk, on one address that operators name.

Whatever comes is checked, counted and dropped where it is strange; nothing that comes can end the node, hold its loop,
or be waited for by a transaction. It must never decide who is alive, what a copy is, or what a node does with it:
`peers/` and `replica/` do, and the owner's `took`.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import saltmoor
from saltmoor import config
from saltmoor.config import Talking
from saltmoor.model import Micros
from saltmoor.net.acceptor import Acceptor
from saltmoor.net.buffers import family
from saltmoor.net.log import Log
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker, Strange
from saltmoor.peers.members import Ask, Members, News, Out, Ping
from saltmoor.peers.messages import (
    MEMBERSHIP,
    BorrowedQuota,
    FetchLease,
    MessageType,
    OperatorCommand,
    PullEnd,
    PullRequest,
)
from saltmoor.replica.exchange import Exchange, Pull
from saltmoor.replica.items import Item, Stamps, Store
from saltmoor.replica.lent import Part
from saltmoor.replica.turns import How, Turns, Word, keeper

AT_A_TIME = 32  # datagrams read before the loop goes on
CHUNK = 64  # items in one frame of a stream, and merged before the loop goes on
SMALL = 900  # bytes of an item that goes round in a datagram; a larger one is pulled
DIRECT = 12  # members: up to so many hear what is new from who has it, beyond that it goes round
FAN = 4  # members who are told at once where there are more
TOLD = 3  # times that a node says what is new
STREAMS = 4  # calls at once that this node answers
CALL_WAIT = 5.0  # seconds for a whole call
PULL_MOST = 64 << 20  # bytes that one pull may bring, whatever the peer thinks
SHORT: Micros = 10_000_000  # kinds that are kept no longer are looked through at each tick
OPEN_AGAIN = 2.0  # seconds until a port that was taken is tried again
PERMIT_WAIT = 0.02  # seconds that a miss may wait for the keeper's word
ASKED_MOST = 2_000  # of them at once


@dataclass(slots=True, eq=False)
class Asked:
    answer: asyncio.Future
    patience: Micros
    limit: asyncio.Timeout | None = None


class Bulk:
    """Frames on a stream: a length in four bytes, then the frame."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock, self.loop, self.held, self.count = sock, asyncio.get_running_loop(), bytearray(), 0

    async def read(self) -> bytes | None:
        """One frame, None at the end; `Strange` for one that is too long."""
        while True:
            if len(self.held) >= 4:
                length = int.from_bytes(self.held[:4], "big")
                if not frames.HEAD <= length <= frames.BULK:
                    raise Strange("length")
                if len(self.held) >= 4 + length:
                    frame = bytes(self.held[4 : 4 + length])
                    del self.held[: 4 + length]
                    return frame
            data = await self.loop.sock_recv(self.sock, 65_536)
            if not data:
                return None
            self.count += len(data)
            if self.count > PULL_MOST:
                raise Strange("too much")
            self.held += data

    async def write(self, frame: bytes) -> int:
        await self.loop.sock_sendall(self.sock, len(frame).to_bytes(4, "big") + frame)
        return len(frame) + 4


@lru_cache(maxsize=4096)
def place(text: str) -> tuple[str, int] | None:
    """Guards against a member whose address is a name: nothing here is looked up."""
    try:
        return config.numeric("address", text)
    except config.Faulty:
        return None


class Peers:
    """One node among its peers. `took` hears of each item that is new here and came from another."""

    def __init__(self, given: Talking, name: str, log: Log, clock: Callable[[], Micros]) -> None:
        self.given, self.log, self.clock = given, log, clock
        self.name = given.name or name
        self.loop = asyncio.get_running_loop()
        now, wall = clock(), time.time_ns() // 1000
        self.run = int.from_bytes(os.urandom(6), "big")
        # Larger than the life of the process before, unless the wall was set back: then it is contradicted.
        self.me = News(self.name, 0, wall // 1000, self.run, given.address, given.site, saltmoor.__version__)
        self.members = Members(self.me, given.period, given.suspect, list(given.seeds), self.run, now)
        self.store = Store(epoch=self.run, most_bytes=given.most, hear=self.fresh)
        self.stamps = Stamps(given.ahead)
        self.exchange = Exchange(self.name, now, self.run)
        self.turns = Turns(wall // 1000)
        self.took: Callable[[Item], None] = lambda item: None
        self.handlers: dict[str, tuple[type, Callable[[str, Any], None]]] = {}  # words of parts built on this one
        self.shows: dict[str, Callable[[], dict[str, Any]]] = {}  # what they show operators
        self.parts: dict[str, Part] = {}  # of sums over the fleet, by their names
        self.loans = wall // 1000 << 20  # numbers of this node's questions for more
        self.step: Callable[[Micros], None] = lambda now: None  # the owner's, once a tick
        self.dropped: dict[str, int] = {}
        self.sent = self.came = self.sent_bytes = self.came_bytes = 0
        self.given_bytes = 0
        self.spoken: deque[list] = deque()  # items to go round: [item, times left]
        self.flushing, self.merging = False, False  # merging: what is put now came from another
        self.asked: dict[int, Asked] = {}
        self.holds: dict[int, tuple[str, int]] = {}  # keys this node may fetch: whose permit, which number
        self.waits = 0
        self.socks: list[socket.socket] = []
        self.udp: socket.socket | None = None
        self.acceptor: Acceptor | None = None
        self.tasks: set[asyncio.Task] = set()
        self.streams = 0
        self.timer: asyncio.TimerHandle | None = None
        self.ended, self.opened, self.expired = False, True, now
        self.slowest = 0.0  # seconds of CPU: the most that one callback of this part took

    # Life.

    def begin(self) -> None:
        for form in (Ping, Ask, list[Item], FetchLease, BorrowedQuota, PullRequest, PullEnd, OperatorCommand, str):
            frames.reader(form)
        self.open()
        self.again()

    def open(self) -> None:
        """Guards against a port that is taken: the node serves alone, and tries again."""
        host, port = self.given.listen
        socks = []
        try:
            for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                sock = socket.socket(family(host), kind)
                socks.append(sock)
                if kind is socket.SOCK_STREAM:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.setblocking(False)
                sock.bind((host, port))
            socks[1].listen(16)
        except OSError as error:
            for sock in socks:
                sock.close()
            if self.opened:
                self.opened = False
                self.log(f"peers: peers.listen {host}:{port}: {error.strerror or error}; alone until it is free")
            self.loop.call_later(OPEN_AGAIN, lambda: self.ended or self.open())
            return
        self.opened, self.socks, self.udp = True, socks, socks[0]
        self.loop.add_reader(socks[0], self.read)
        self.acceptor = Acceptor(socks[1], self.welcome, self.log, at_once=STREAMS)
        self.acceptor.listen()
        self.log(f"peers: {self.name} of {self.given.cluster} at {host}:{port}, life={self.members.me.life}")

    def again(self) -> None:
        self.timer = self.loop.call_later(self.given.period / 4_000_000, self.tick)

    def tick(self) -> None:
        self.again()
        begun = time.thread_time()
        now = self.clock()
        try:
            self.send_all(self.members.tick(now))
            # What is kept for short times goes at once, or copies would differ for as long as this is put off.
            self.store.expire(now, SHORT)
            if now - self.expired > 1_000_000:
                self.expired = now
                self.store.expire(now)
            for pull in self.exchange.next(now, self.members.there() if self.udp else []):
                self.spawn(self.pull(pull))
            self.flush()
            self.tell_all(self.turns.sweep(now))
            self.step(now)
            self.say()
        except Exception as error:  # the next tick must come whatever happened in this one
            self.log(f"fault among peers: {type(error).__name__}: {error}")
        self.slowest = max(self.slowest, time.thread_time() - begun)

    def say(self) -> None:
        for line in self.members.lines:
            self.log(line)
        self.members.lines.clear()
        if self.exchange.line:
            self.log(f"{self.exchange.line} items={self.store.count()}")
            self.exchange.line = ""
        for kind, key, kept, other in self.store.conflicts:
            self.log(f"replica: copies of {kind} {key} differ: kept {kept[:60]!r}, not {other[:60]!r}")
        self.store.conflicts.clear()

    def spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def end(self, left: bool = True) -> None:
        """`left`: the others are told; not where a successor goes on as the same member."""
        self.ended = True
        if self.timer:
            self.timer.cancel()
        if left and self.udp:
            self.send_all(self.members.leave())
        if self.udp:
            self.loop.remove_reader(self.udp)
        if self.acceptor:
            self.acceptor.close()
        for sock in self.socks:
            sock.close()
        self.socks, self.udp = [], None
        for task in self.tasks:
            task.cancel()

    # Datagrams.

    def speaker(self) -> Speaker:
        return Speaker(self.name, self.members.me.life, self.run, time.time_ns() // 1000)

    def encode(self, word: str, said: Any) -> bytes:
        return frames.encode(self.given.cluster, self.speaker(), word, said)

    def where(self, name: str) -> tuple[str, int] | None:
        """Where a member is reached: as the operator says, or as it says itself."""
        one = self.members.others.get(name)
        return place(self.given.via.get(name) or (one.address if one else ""))

    def send_all(self, outs: Iterable[Out]) -> None:
        for out in outs:
            if isinstance(out.content, Ping):
                out.content.root, out.content.epoch, out.content.seq = (
                    self.store.root,
                    self.store.epoch,
                    self.store.seq,
                )
            self.send(self.where(out.to) if out.to else place(out.address), out.word, out.content)

    def send(self, where: tuple[str, int] | None, word: str, said: Any) -> None:
        if not self.udp or not where:
            return
        data = self.encode(word, said)
        if len(data) > frames.DATAGRAM:
            self.drop("own too long")
            return
        try:
            self.udp.sendto(data, where)
        except (OSError, ValueError, OverflowError):  # as good as lost on its way
            self.drop("not sent")
            return
        self.sent, self.sent_bytes = self.sent + 1, self.sent_bytes + len(data)

    def drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1

    def read(self) -> None:
        begun = time.thread_time()
        for _ in range(AT_A_TIME):
            try:
                data = self.udp.recv(65_536)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:  # an earlier word of ours that reached nobody
                continue
            self.came, self.came_bytes = self.came + 1, self.came_bytes + len(data)
            try:
                self.hear(data)
            except Strange as error:
                self.drop(str(error))
            except Exception as error:  # a fault of ours, or more than was thought of: it costs this word
                self.drop("fault")
                self.log(f"fault in a peer's word: {type(error).__name__}: {error}")
        self.slowest = max(self.slowest, time.thread_time() - begun)

    def hear(self, data: bytes) -> None:
        if len(data) > frames.DATAGRAM:
            raise Strange("length")
        frame = frames.decode(data, self.given.cluster)
        now, speaker, word = self.clock(), frame.speaker, frame.word
        if word in MEMBERSHIP:
            said = frames.content(frame, Ask if word == MessageType.ASK else Ping)
            if word == MessageType.PING and said.to and said.to != self.name:
                raise Strange("not for this one")
            outs = self.members.heard(now, time.time_ns() // 1000, speaker, word, said)
            self.send_all(outs)
            if word != MessageType.ASK and speaker.name in self.members.others and said.epoch:
                self.exchange.saw(now, speaker.name, said.root == self.store.root)
            return
        if speaker.name == self.name or speaker.name not in self.members.others:
            raise Strange("not known")
        if word == MessageType.ENTRIES:
            for item in frames.content(frame, list[Item])[:CHUNK]:
                self.merge(now, item)
        elif word == MessageType.LEASE_REQUEST:
            said = frames.content(frame, FetchLease)
            lease = max(0, min(said.lease, 2_000_000))
            self.tell_all([self.turns.ask(now, said.key, speaker.name, said.number, lease, said.server)])
        elif word == MessageType.LEASE_ANSWER:
            said = frames.content(frame, FetchLease)
            self.answered(
                Word(
                    self.name, said.number, How(said.how) if said.how in (0, 1, 2) else How.GO, said.permit, said.server
                )
            )
        elif word == MessageType.LEASE_END:
            said = frames.content(frame, FetchLease)
            self.tell_all(self.turns.done(now, said.key, said.number, said.server))
        elif word == MessageType.LEASE_VOID:
            self.tell_all(self.turns.void(now, frames.content(frame, FetchLease).key))
        elif word in self.handlers:
            form, heed = self.handlers[word]
            heed(speaker.name, frames.content(frame, form))
        elif word in (MessageType.QUOTA_REQUEST, MessageType.QUOTA_GRANT, MessageType.QUOTA_RETURN):
            self.lending(now, speaker.name, word, frames.content(frame, BorrowedQuota))
        else:
            raise Strange("word")

    def lending(self, now: Micros, who: str, word: str, said: BorrowedQuota) -> None:
        part = self.parts.get(said.sum)
        if part is None:
            return
        if word == MessageType.QUOTA_REQUEST:
            if amount := part.give(now, who, said.number, said.amount):
                self.send(self.where(who), MessageType.QUOTA_GRANT, BorrowedQuota(said.sum, said.number, amount))
        elif word == MessageType.QUOTA_GRANT:
            part.take(now, who, said.number, said.amount)
        else:
            part.taken_back(who, said.number)

    def borrow(self, name: str, amount: int) -> None:
        """Ask one of the others for so much of that sum."""
        now, there = self.clock(), self.members.there()
        whom = self.members.some(there, 1)
        if whom:
            self.loans += 1
            if self.parts[name].ask(now, whom[0], self.loans):
                self.send(self.where(whom[0]), MessageType.QUOTA_REQUEST, BorrowedQuota(name, self.loans, amount))

    def bring_back(self, name: str) -> None:
        for lender, number in self.parts[name].give_back(self.clock()):
            self.send(self.where(lender), MessageType.QUOTA_RETURN, BorrowedQuota(name, number))

    # What is shared.

    def merge(self, now: Micros, item: Item) -> None:
        if item.kind == "word" and not self.stamps.take(self.wall(), item.version):
            self.store.refuse("clock")
            return
        self.merging = True
        try:
            self.store.put(now, item)
        finally:
            self.merging = False

    def wall(self) -> Micros:
        return self.members.middle_clock(time.time_ns() // 1000)

    def fresh(self, item: Item) -> None:
        """An item is new in the table: it goes round, and its owner hears of it where another has said it."""
        if len(item.body) + len(item.key) <= SMALL and not (self.merging and self.exchange.open):
            self.spoken.append([item, 1 if self.merging else TOLD])
            while len(self.spoken) > 5_000:
                self.spoken.popleft()
            if not self.flushing:
                self.flushing = True
                self.loop.call_soon(self.flush)
        if self.merging:
            try:
                self.took(item)
            except Exception as error:  # what cannot be used is carried all the same
                self.log(f"fault in a shared item: {item.kind} {item.key}: {type(error).__name__}: {error}")

    def flush(self) -> None:
        """Say what is new: to all where they are few, else to some, who say it on."""
        self.flushing = False
        if not self.spoken or not self.udp:
            return
        there, packets, packet, size = self.members.there(), [], [], 0
        again: list[list] = []
        now = self.clock()
        for _ in range(min(len(self.spoken), 64)):
            kept = self.spoken.popleft()
            kept[1] -= 1
            item = kept[0]
            if kept[1] > 0:
                again.append(kept)
            held = self.store.get(item.kind, item.key)
            if held is None or held.version != item.version:  # a newer one is on its way already
                continue
            item = self.store.item(now, item.kind, item.key)
            length = len(item.body) + len(item.key) + len(item.kind) + 40
            if packet and size + length > frames.DATAGRAM - 200:
                packets.append(packet)
                packet, size = [], 0
            packet.append(item)
            size += length
        if packet:
            packets.append(packet)
        for packet in packets:
            names = there if len(there) <= DIRECT else self.members.some(there, FAN)
            for name in names:
                self.send(self.where(name), MessageType.ENTRIES, packet)
        self.spoken.extend(again)  # at the next tick

    # Streams.

    def welcome(self, sock: socket.socket, _peer: tuple) -> None:
        if self.streams >= STREAMS:
            self.drop("busy")
            sock.close()
            return
        self.streams += 1
        self.spawn(self.answer(sock))

    async def answer(self, sock: socket.socket) -> None:
        try:
            bulk = Bulk(sock)
            async with asyncio.timeout(CALL_WAIT):
                data = await bulk.read()
                if data is None:
                    return
                frame = frames.decode(data, self.given.cluster)
                if frame.word == MessageType.PULL:
                    await self.give(bulk, frames.content(frame, PullRequest))
                elif frame.word == MessageType.SHOW:
                    await bulk.write(self.encode(MessageType.SHOWN, self.shown(frames.content(frame, str))))
                elif frame.word == MessageType.COMMAND:
                    await bulk.write(
                        self.encode(MessageType.COMMAND_TAKEN, self.said(frames.content(frame, OperatorCommand)))
                    )
                else:
                    raise Strange("word")
        except Strange as error:
            self.drop(str(error))
        except (OSError, TimeoutError):
            self.drop("call")
        except Exception as error:
            self.drop("fault")
            self.log(f"fault in a peer's call: {type(error).__name__}: {error}")
        finally:
            self.streams -= 1
            sock.close()

    async def give(self, bulk: Bulk, said: PullRequest) -> None:
        """What a peer lacks, at a bounded rate: who returns must not hold up who serves."""
        now, seq = self.clock(), self.store.seq
        wanted = (
            self.store.ranges(now, said.ranges[:512])
            if said.ranges
            else self.store.since(now, said.seq if said.epoch == self.store.epoch else 0)
        )
        chunk, size = [], 0
        for item in wanted:
            chunk.append(item)
            size += len(item.body) + len(item.key) + 40
            if len(chunk) >= CHUNK or size > 60_000:
                await self.send_chunk(bulk, chunk)
                chunk, size = [], 0
        if chunk:
            await self.send_chunk(bulk, chunk)
        await bulk.write(self.encode(MessageType.PULL_END, PullEnd(self.store.epoch, seq, self.store.digests)))

    async def send_chunk(self, bulk: Bulk, chunk: list[Item]) -> None:
        count = await bulk.write(self.encode(MessageType.ENTRIES, chunk))
        self.given_bytes += count
        await asyncio.sleep(count / self.given.rate)

    async def call(self, where: tuple[str, int], word: str, said: Any) -> Bulk:
        sock = socket.socket(family(where[0]), socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, where)
            bulk = Bulk(sock)
            await bulk.write(self.encode(word, said))
            return bulk
        except BaseException:
            sock.close()
            raise

    async def pull(self, pull: Pull) -> None:
        where, bulk = self.where(pull.name), None
        try:
            if not where:
                raise Strange("not known")
            async with asyncio.timeout(CALL_WAIT):
                bulk = await self.call(where, MessageType.PULL, PullRequest(pull.epoch, pull.seq, pull.ranges))
                while (data := await bulk.read()) is not None:
                    frame = frames.decode(data, self.given.cluster)
                    if frame.word == MessageType.ENTRIES:
                        now = self.clock()
                        for item in frames.content(frame, list[Item])[: 4 * CHUNK]:
                            self.merge(now, item)
                        await asyncio.sleep(0)
                    elif frame.word == MessageType.PULL_END:
                        end = frames.content(frame, PullEnd)
                        self.exchange.done(self.clock(), pull.name, end.epoch, end.seq, self.store.compare(end.digests))
                        return
                raise Strange("cut off")
        except (OSError, TimeoutError, Strange) as error:
            self.drop(str(error) if isinstance(error, Strange) else "pull")
            self.exchange.failed(self.clock(), pull.name)
        except Exception as error:
            self.log(f"fault in a pull: {type(error).__name__}: {error}")
            self.exchange.failed(self.clock(), pull.name)
        finally:
            if bulk:
                bulk.sock.close()

    # Whose turn it is to fetch.

    def tell_all(self, words: Iterable[Word]) -> None:
        for one in words:
            if one.to == self.name:
                self.answered(one)
            else:
                self.send(
                    self.where(one.to),
                    MessageType.LEASE_ANSWER,
                    FetchLease(one.ask, 0, 0, int(one.how), one.permit, one.server),
                )

    def answered(self, word: Word) -> None:
        """A keeper's answer to a question of this node."""
        asked = self.asked.get(word.ask)
        if asked is None:
            return
        if word.how is How.WAIT:
            if asked.limit:
                asked.limit.reschedule(self.loop.time() + asked.patience / 1_000_000)
        elif not asked.answer.done():
            asked.answer.set_result(word)

    def keeper(self, key: int) -> str:
        return keeper(key, [self.name, *self.members.there()])

    async def permit(self, key: int, lease: Micros, patience: Micros, missed: str) -> Word | None:
        """Whether this node is to fetch that key, or where a copy is; None: no word in time."""
        who = self.keeper(key)
        if len(self.asked) >= ASKED_MOST or not self.udp or not self.members.others:
            return None
        self.waits += 1
        ask = self.waits
        asked = self.asked[ask] = Asked(self.loop.create_future(), patience)
        try:
            async with asyncio.timeout(PERMIT_WAIT) as asked.limit:
                if who == self.name:
                    self.tell_all([self.turns.ask(self.clock(), key, who, ask, lease, missed)])
                else:
                    self.send(self.where(who), MessageType.LEASE_REQUEST, FetchLease(ask, key, lease, server=missed))
                word = await asked.answer
        except TimeoutError:
            return None
        finally:
            del self.asked[ask]
        if word.how is How.GO and word.permit:
            self.holds[key] = who, word.permit
            while len(self.holds) > ASKED_MOST:
                self.holds.pop(next(iter(self.holds)))
        return word

    def fetched(self, key: int, server: str) -> None:
        """This node's fetch of the key has ended; `server` has the copy now, empty: it failed."""
        who, number = self.holds.pop(key, ("", 0))
        if not who and not server:
            return
        who = who or self.keeper(key)
        if who == self.name:
            self.tell_all(self.turns.done(self.clock(), key, number, server))
        else:
            self.send(self.where(who), MessageType.LEASE_END, FetchLease(number, key, server=server))

    def written(self, key: int) -> None:
        """This node has had the key written: what others are fetching of it may be the value before."""
        who = self.keeper(key)
        if who == self.name:
            self.tell_all(self.turns.void(self.clock(), key))
        else:
            self.send(self.where(who), MessageType.LEASE_VOID, FetchLease(0, key))

    # For operators.

    def said(self, say: OperatorCommand) -> dict[str, Any]:
        """An operator's word, from now on every node's."""
        if not 0 < len(say.name) <= 200 or "|" not in say.name:
            return {"fault": "must be WHAT|NAME"}
        stamp = self.stamps.make(self.wall())
        item = Item.made("word", say.name, stamp, say.value)
        taken = self.store.put(self.clock(), item)
        if taken:
            self.took(item)
        return {"taken": taken, "stamp": stamp}

    def shown(self, what: str) -> dict[str, Any]:
        now = self.clock()
        if what in self.shows:
            return self.shows[what]()
        if what == "items":
            return {
                "items": [
                    [kind, key, kept.version, kept.body[:2000], (now - kept.written) // 1000]
                    for kind, table in self.store.kinds.items()
                    for key, kept in list(table.items())[:2000]
                ]
            }
        one = self.members
        return {
            "name": self.name,
            "cluster": self.given.cluster,
            "life": one.me.life,
            "site": one.me.site,
            "build": one.me.build,
            "late": one.late,
            "clashes": len(one.clashes),
            "members": [
                [
                    m.name,
                    m.state.name.lower(),
                    m.life,
                    m.address,
                    m.site,
                    m.build,
                    (now - m.since) // 1000,
                    m.offset // 1000,
                ]
                for m in one.others.values()
            ],
            "root": self.store.root,
            "digests": self.store.digests,
            "items": self.store.count(),
            "bytes": self.store.bytes,
            "refused": self.store.refused,
            "dropped": self.dropped,
            "phase": self.exchange.phase.name.lower(),
            "took_ms": self.exchange.took // 1000,
            "pulls": self.exchange.pulls,
            "repairs": self.exchange.repairs,
            "sent": self.sent,
            "came": self.came,
            "sent_bytes": self.sent_bytes,
            "came_bytes": self.came_bytes,
            "given_bytes": self.given_bytes,
            "slowest_us": int(self.slowest * 1e6),
        }
