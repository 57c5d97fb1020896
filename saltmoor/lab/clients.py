"""Owns the clients of one load process: tries, their patience, retries, connections, all in open loop.

An arrival is begun at its time whatever became of those before it. What came back is written into the book;
this file must never judge a node, and never wait for one before the next arrival.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from random import Random
from zlib import crc32

from saltmoor.lab import arrivals
from saltmoor.lab.book import Book
from saltmoor.lab.scenario import Scenario
from saltmoor.lab.wire import Driver

REFUSED = 20_000  # who is refused a connection tries again after so long, at another node if there is one


class Tx:
    """One transaction of a client: a few tries, one after the other."""

    __slots__ = ("begun", "key", "mark", "number", "profile", "seed", "size", "tenant", "tries", "work")

    def __init__(self, number: int, row: tuple, begun: str) -> None:
        _, self.profile, self.tenant, key, self.work, self.size, chance = row
        self.number, self.key, self.tries, self.begun = number, arrivals.key_text(key), 0, 0
        self.seed, self.mark = int(chance * 2**52), f"k{begun}{number:x}"

    def chance(self) -> float:
        """A draw of its own: the same transaction draws the same, whatever others do."""
        self.seed = (self.seed * 6364136223846793005 + 1442695040888963407) % 2**64
        return (self.seed >> 11) / 2**53


class Try:
    """One request on its way: `wire` is the connection on which it is the only one open."""

    __slots__ = ("again", "due", "id", "tx", "until", "wait", "wire")

    def __init__(self, tx: Tx, ident: str, wait: int) -> None:
        self.tx, self.id, self.wait, self.again = tx, ident, wait, False
        self.until, self.due, self.wire = 0, None, None


class Line:
    """One connection of a client to a node."""

    def __init__(self, house: Clients, node: int, number: int) -> None:
        self.house, self.node, self.number = house, node, number
        self.held, self.open, self.asked, self.over = bytearray(), None, 0, False
        self.last = ""  # the id that was answered last
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        loop, how = self.house.driver.loop, "closed"
        try:
            try:
                await loop.sock_connect(self.sock, self.house.nodes[self.node])
            except OSError:
                how = "refused"
                raise
            self.write()
            while data := await loop.sock_recv(self.sock, 65_536):
                self.house.driver.catch_up()
                if self.over:  # its client has just gone
                    break
                self.held += data
                self.read()
        except OSError:
            pass
        finally:
            self.over = True
            self.sock.close()
            self.house.ended(self, how)

    def ask(self, asked: Try) -> None:
        self.open = asked
        asked.wire = self
        if self.asked:  # otherwise written once the connection is there
            self.write()

    def write(self) -> None:
        asked = self.open
        if asked is None or self.over:
            return
        self.asked += 1
        asked.wait = max(1000, (asked.until - self.house.driver.clock()) // 1000 * 1000)  # what is left of it
        data = self.house.command(asked)
        try:
            sent = self.sock.send(data)
        except OSError:
            sent = 0
        if sent < len(data):  # small commands on an empty socket: this is one that has ended
            self.task.cancel()
            return
        tx, profile = asked.tx, self.house.scenario.profile[asked.tx.profile]
        self.house.book.note(
            "ask",
            self.house.driver.clock(),
            asked.id,
            tx.number,
            self.node,
            self.number,
            "ms" if profile.write else "mg",
            tx.key.decode(),
            profile.name,
            tx.mark,
            asked.wait,
        )

    def read(self) -> None:
        while self.held:
            end = self.held.find(b"\r\n")
            if end < 0:
                return
            words = bytes(self.held[:end]).split(b" ")
            whole = end + 2
            if words[0] == b"VA" and len(words) > 1 and words[1].isdigit():
                whole += int(words[1]) + 2
            if len(self.held) < whole:
                return
            body = bytes(self.held[end + 2 : whole - 2])
            del self.held[:whole]
            asked, self.open = self.open, None
            if asked is None:
                self.house.book.note("extra", self.house.driver.clock(), self.last, self.node, whole)
                continue
            self.last = asked.id
            self.house.answered(self, asked, words, body)

    def announced(self) -> int:
        """How many bytes of a value the answer that has begun is to have."""
        words = bytes(self.held[:40]).split()
        return int(words[1]) if len(words) > 1 and words[0] == b"VA" and words[1].isdigit() else 0

    def leave(self) -> None:
        """The client closes it; whatever is open on it is given up."""
        self.over = True
        self.task.cancel()


class Clients:
    """All clients of one load process, which takes every `parts`th arrival from `part` on."""

    def __init__(
        self,
        scenario: Scenario,
        nodes: list[tuple[str, int]],
        book: Book,
        driver: Driver,
        *,
        part: int,
        parts: int,
        tag: str,
    ) -> None:
        self.scenario, self.nodes, self.book, self.driver = scenario, nodes, book, driver
        self.part, self.parts, self.tag, self.made, self.lines = part, parts, tag, 0, 0
        self.coming = 0  # tries that begin later
        self.free: list[list[Line]] = [[] for _ in nodes]
        self.dead = [0] * len(nodes)  # until then a node is not tried
        self.all: set[Line] = set()
        self.tries: set[Try] = set()
        self.queue: deque[Try] = deque()  # no connection was left for these
        self.rng = Random(f"{tag} {part}")
        self.behind: list[int] = []  # how late each arrival was begun

    def play(self, rows, begin: int) -> None:
        """Put every arrival of this process into the timeline, one after the other."""
        self.rows, self.begin, self.next = rows[self.part :: self.parts].tolist(), begin, 0
        self._begin()

    def _begin(self) -> None:
        rows, now = self.rows, self.driver.clock()
        while self.next < len(rows) and (due := self.begin + rows[self.next][0]) <= now:
            self.behind.append(now - due)
            self._try(Tx(self.part + self.next * self.parts, rows[self.next], self.tag))
            self.next += 1
        if self.next < len(rows):
            self.driver.line.at(self.begin + rows[self.next][0], self._begin)

    @property
    def finished(self) -> bool:
        return self.next >= len(self.rows) and not self.tries and not self.coming

    def command(self, asked: Try) -> bytes:
        tx, profile = asked.tx, self.scenario.profile[asked.tx.profile]
        tenant = self.scenario.tenant[tx.tenant].name
        listed = f"c={profile.name},t={tenant},d={asked.wait // 1000},w={tx.work},z={tx.size}"
        if tx.tries > 1:
            listed += ",r=1"
        if profile.write:
            listed += f",k={tx.mark}" if profile.repeat == "journalled" else ""
            value = b"v" * min(200, tx.size)
            return b"ms %b %d O%b P%b\r\n%b\r\n" % (tx.key, len(value), asked.id.encode(), listed.encode(), value)
        return b"mg %b v O%b P%b\r\n" % (tx.key, asked.id.encode(), listed.encode())

    def _try(self, tx: Tx) -> None:
        profile = self.scenario.profile[tx.profile]
        tx.tries += 1
        low, high = self.scenario.load.try_share
        share = low + (high - low) * tx.chance()
        wait = int(min(profile.limit_ms * share, 1e7) * 1000) // 1000 * 1000
        self.made += 1
        asked = Try(tx, f"{self.tag}{self.part:02x}{self.made:010x}", wait)
        self.tries.add(asked)
        asked.until = self.driver.clock() + wait
        tx.begun = tx.begun or self.driver.clock()
        over = asked.until + int(self.scenario.load.margin_ms * 1000)
        if self.scenario.load.leave and tx.chance() < self.scenario.load.leave:
            over = asked.until - int(wait * tx.chance())
        asked.due = self.driver.line.at(over, self._over, asked)
        self._place(asked)

    def _place(self, asked: Try) -> None:
        """On a free connection to a node of chance, or on a new one."""
        now = self.driver.clock()
        there = [node for node in range(len(self.nodes)) if self.dead[node] <= now] or range(len(self.nodes))
        node = there[self.rng.randrange(len(there))]
        while self.free[node]:
            line = self.free[node].pop()
            if not line.over:
                line.ask(asked)
                return
        if len(self.all) >= self.scenario.load.connections:
            self.queue.append(asked)
            return
        self.lines += 1
        line = Line(self, node, self.part * 1_000_000 + self.lines)
        self.all.add(line)
        line.ask(asked)

    def _place_again(self, asked: Try) -> None:
        if asked in self.tries and asked.wire is None:
            self._place(asked)

    def answered(self, line: Line, asked: Try, words: list[bytes], body: bytes) -> None:
        ident, how, hint = b"O" + asked.id.encode(), "odd", 0
        if words[0] == b"VA" and ident in words[2:]:
            how = "served"
        elif words[0] == b"HD" and ident in words[1:]:
            how, body = "served", next((word[1:] for word in words if word[:1] == b"c"), b"")
        elif words[:2] == [b"SERVER_ERROR", b"busy"]:
            how = "refused"
            hint = int(words[2]) * 1000 if len(words) > 2 and words[2].isdigit() else 0
        elif words[0] in (b"SERVER_ERROR", b"CLIENT_ERROR", b"ERROR"):
            how = "failed"
        self.book.note("reply", self.driver.clock(), asked.id, how, crc32(body), len(body), hint)
        self._settle(asked)
        if not line.over:
            self.free[line.node].append(line)
            self._next()
        if how in ("refused", "failed"):
            self._retry(asked.tx, hint)

    def _next(self) -> None:
        # The youngest first: guards against a queue of clients' own in which all grow too old to be served, so
        # that nothing a node does can show.
        while self.queue:
            asked = self.queue.pop()
            if asked in self.tries:
                self._place(asked)
                return

    def _settle(self, asked: Try) -> None:
        self.tries.discard(asked)
        asked.due.cancel()

    def _retry(self, tx: Tx, hint: int) -> None:
        load = self.scenario.load
        if tx.tries > load.retries:
            return
        wait = load.backoff_ms * 1000 * 2 ** (tx.tries - 1) * (0.5 + tx.chance())
        if hint and tx.chance() < load.honour:
            wait = max(wait, hint)
        profile, now = self.scenario.profile[tx.profile], self.driver.clock()
        longest = load.try_share[1] * profile.limit_ms * 1000  # a node may send it on as late as that
        if profile.repeat == "journalled" and now + wait + longest > tx.begun + profile.window_ms * 1000:
            return  # servers drop its repeats no longer: such a request is reissued within its window alone
        self.coming += 1
        self.driver.line.at(now + wait, self._try_again, tx)

    def _try_again(self, tx: Tx) -> None:
        self.coming -= 1
        self._try(tx)

    def _over(self, asked: Try) -> None:
        """The client's wait is over: it closes the connection, which is how it goes away."""
        self._settle(asked)
        self.book.note("left", self.driver.clock(), asked.id)
        if asked.wire:
            asked.wire.open = None
            asked.wire.leave()
        self._retry(asked.tx, 0)

    def ended(self, line: Line, how: str) -> None:
        """A connection is gone, by the node or by the client itself."""
        self.all.discard(line)
        with contextlib.suppress(ValueError):
            self.free[line.node].remove(line)
        if how == "refused":
            self.dead[line.node] = self.driver.clock() + int(self.scenario.load.notice_s * 1e6)
        if asked := line.open:
            line.open, asked.wire = None, None
            if how == "refused" or not line.asked:  # nothing was written: another node takes it
                self.driver.line.at(self.driver.clock() + REFUSED, self._place_again, asked)
            elif line.held:
                self.book.note("spoilt", self.driver.clock(), asked.id, line.announced(), len(line.held))
                self._settle(asked)
                self._retry(asked.tx, 0)
            else:
                self.book.note("end", self.driver.clock(), asked.id, line.number, line.asked)
                if line.asked > 1 and not asked.again:
                    # A node may close a connection between requests; one that crossed it is sent once more.
                    asked.again = True
                    self._place(asked)
                else:
                    self._settle(asked)
                    self._retry(asked.tx, 0)
        self._next()


class Rude:
    """Clients that send what cannot be read, or nothing, and see how they are turned away."""

    def __init__(self, nodes: list[tuple[str, int]], book: Book, rng: Random) -> None:
        self.nodes, self.book, self.rng = nodes, book, rng
        self.asked = self.heard = 0
        self.tasks: set[asyncio.Task] = set()

    def texts(self) -> list[bytes]:
        noise = bytes(self.rng.randrange(256) for _ in range(300))
        return [
            noise + b"\r\n",
            b"x" * 5000,
            b"ms k -5 Oa Pc=read\r\n",
            b"ms k 99999999999 Oa Pc=read\r\nx",
            b"mg k v Oa Pc=nosuch,d=100\r\n",
            b"mg k v Oa Pc=read,d=soon\r\n",
            b"mg k v Pc=read,d=100\r\n",
            b"ms k 5 Oa Pc=put,d=100\r\nhelloooo\r\n",
            b"mg " + b"k" * 400 + b" v Oa Pc=read\r\n",
            b"nonsense\r\n" * 300,
            b"ms k 60000000 Oa Pc=put,d=100\r\n" + b"z" * 200_000,
        ]

    async def until(self, begin: int, end: int, rate: float, clock) -> None:
        while clock() < begin:
            await asyncio.sleep(0.05)
        while clock() < end:
            task = asyncio.create_task(self.one())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / rate)
        if self.tasks:
            await asyncio.wait(list(self.tasks), timeout=4)

    async def one(self) -> None:
        text = self.rng.choice(self.texts())
        try:
            reader, writer = await asyncio.open_connection(*self.nodes[self.rng.randrange(len(self.nodes))])
        except OSError:
            return
        self.asked += 1
        try:
            async with asyncio.timeout(3):
                writer.write(text)
                got = await reader.read(64)
            # An error line or an end is owed; a value would be a breach.
            self.heard += not got.startswith((b"VA", b"HD"))
        except ConnectionError:
            self.heard += 1
        except TimeoutError:
            pass
        finally:
            writer.close()
