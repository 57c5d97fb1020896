"""Clients with habits, straight at nodes that are about to be drained or stopped: they use open connections to the end.

Each habit is one connection after the other to one node, in the time round a trouble of that node. What is asked and what
came of it stands in the book, as from any client; so do connections, and whether `mn` says yes. Like a front they open no
connection to a node whose last `mn` was a no. It must never judge a node.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from random import Random
from zlib import crc32

from saltmoor.lab.book import Book, clock
from saltmoor.lab.scenario import Fault, Profile, Scenario
from saltmoor.lab.soak.takers import Taker

ROUND = "lame", "term", "series", "upgrade"  # troubles of a node that its clients with habits go on through
BEFORE_S, AFTER_S = 1.5, 5.5  # of a trouble: from when until when they ask
ASK_EVERY_S = 0.1  # `mn`, of each node
MN_WITHIN_S = 0.5  # for its answer
AGAIN_S = 0.05  # until another connection is opened
PATIENCE_US = 600_000  # behind the deadline, until a client with an open request leaves
FIRST_NUMBER = 90_000_000  # of their connections and requests, which are none of the load's
OVERLAP, OVERLAP_DELAY, OVERLAP_EVERY = 8, 0.4, 0.4  # open at once; of the deadline; of that delay
BATCH = 10
LONGEST_LINE, RECEIVED_AT_ONCE = 1 << 21, 1 << 16  # bytes
WORK_US = 5000  # as the load's reads, in the mean
LITTLE_WORK_US = 200  # of what a busy crowd asks for: it is to fill the node, and no server
LOOP_PAUSE_S, REST_PAUSE_S, BATCH_PAUSE_S, BYTE_PAUSE_S = 0.05, 1.1, 0.5, 0.01
SLOW_PACE = 1_200_000  # bytes a second that a slow reader takes
TAKES_SHARE = 0.5  # of the longest deadline: how long one value takes that is asked on behind
ASK_BEHIND_S = 0.1  # between two small requests behind it
SMALL_WINDOW, LARGE_ONES = 1 << 13, 4  # bytes of a receive buffer, and how many large values are asked for
CROWD_EVERY_S = 0.003  # between two connections of a crowd
LONG_SHARE = 0.8  # of its deadline: how long a crowd's open requests take
LONG_ONES, MANY_LONG_ONES, LONGEST_SHARE = 4, 12, 0.9  # clients that ask for what takes so much of the longest deadline


class Ended(Exception):
    """The node has ended this connection."""


class Connection:
    """One connection of a client with a habit: what is open on it, in order."""

    def __init__(self, house: Habits, node: int, number: int) -> None:
        self.house, self.node, self.number, self.asked = house, node, number, 0
        self.open: deque[tuple[str, int]] = deque()  # ids, and until when their clients wait
        self.answered = asyncio.Event()
        self.over = False
        self.announced = 0  # bytes of the value that is being read

    async def connect(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(self.sock, self.house.nodes[self.node])
        except BaseException:
            self.sock.close()
            raise
        self.house.book.note("conn", clock(), self.node, self.number, "up")
        self.reader = asyncio.StreamReader(limit=LONGEST_LINE)
        self.receiving = asyncio.create_task(self.receive())
        self.receiving.add_done_callback(lambda _: self.sock.close())
        self.hearing = asyncio.create_task(self.hear())

    async def receive(self) -> None:
        try:
            while data := await asyncio.get_running_loop().sock_recv(self.sock, RECEIVED_AT_ONCE):
                self.reader.feed_data(data)
            self.reader.feed_eof()
        except OSError as error:
            self.reader.set_exception(error)

    def ask(self, profile: Profile, *, head: int | None = None, delay_ms: int = 0, work: int = WORK_US) -> bytes:
        """Write one request, or its first `head` bytes alone: then the rest is returned and nothing noted.

        `delay_ms`: the cache server answers so much later; `work`: of that server, in microseconds.

        Raises `Ended`.
        """
        house = self.house
        ident, wait = house.ident(), int(profile.limit_ms) * 1000
        key = house.keys[house.rng.randrange(len(house.keys))]
        size = profile.value_bytes
        row = key, ident.encode(), profile.name.encode(), wait // 1000, work, size, delay_ms
        data = b"mg %b v O%b Pc=%b,t=main,d=%d,w=%d,z=%d,y=%d\r\n" % row
        if head is not None:
            self.write(data[:head])
            return data[head:]
        self.write(data)
        self.note(ident, profile, key, wait)
        return b""

    def write(self, data: bytes) -> None:
        """Hand it to the kernel at once, so that what is noted as asked has been sent.

        Raises `Ended` where the connection broke, also if that was not heard yet, or the kernel takes no more.
        """
        if self.over:
            raise Ended
        try:
            whole = self.sock.send(data) == len(data)
        except OSError:
            whole = False
        if not whole:
            raise Ended

    def note(self, ident: str, profile: Profile, key: bytes, wait: int) -> None:
        self.asked += 1
        self.open.append((ident, clock() + wait + PATIENCE_US))
        self.house.note_ask(ident, self.node, self.number, profile, key, wait)

    async def hear(self) -> None:
        try:
            while line := await self.reader.readline():
                await self.heard(line)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.end()

    async def heard(self, line: bytes) -> None:
        words, body, how = line.split(), b"", "failed"
        if words[0] == b"VA":
            self.announced = int(words[1])
            how, body = "served", (await self.reader.readexactly(self.announced + 2))[:-2]
            self.announced = 0
        elif words[:2] == [b"SERVER_ERROR", b"busy"]:
            how = "refused"
        if not self.open:
            return  # of a half command
        ident, _ = self.open.popleft()
        how = how if how != "served" or b"O" + ident.encode() in words else "odd"
        self.house.book.note("reply", clock(), ident, how, crc32(body), len(body), 0)
        self.answered.set()

    def end(self) -> None:
        if not self.over:
            self.over = True
            if self.announced and self.open:  # what stands behind an answer that is cut cannot be answered either
                self.house.book.note("spoilt", clock(), self.open.popleft()[0], self.announced)
                self.give_up()
            for ident, _ in self.open:
                self.house.book.note("end", clock(), ident, self.number, max(2, self.asked))
            self.open.clear()
            self.house.book.note("conn", clock(), self.node, self.number, "down")
            self.answered.set()
            self.receiving.cancel()

    def leave(self) -> None:
        """The client closes it."""
        self.announced = 0
        self.give_up()
        self.hearing.cancel()
        self.end()

    def give_up(self) -> None:
        for ident, _ in self.open:
            self.house.book.note("left", clock(), ident)
        self.open.clear()

    async def until_open(self, most: int) -> None:
        """Wait until no more than so many are open. Raises `Ended`, also where the client's own patience is over."""
        while len(self.open) > most:
            left = (self.open[0][1] - clock()) / 1e6
            self.answered.clear()
            try:
                async with asyncio.timeout(max(0.0, left)):
                    await self.answered.wait()
            except TimeoutError:
                self.leave()
            if self.over:
                raise Ended
        if self.over:
            raise Ended


class Habits:
    """All clients with habits of one run."""

    def __init__(
        self, scenario: Scenario, nodes: list[tuple[str, int]], book: Book, *, seed: int, tag: str, keys: list[bytes]
    ) -> None:
        self.scenario, self.nodes, self.book, self.tag, self.keys = scenario, nodes, book, tag, keys
        self.rng = Random(f"{seed} habits")
        self.made = self.connections = 0
        self.welcome = [True] * len(nodes)  # whether the last `mn` was a yes
        self.profiles = {one.name: one for one in scenario.profile}
        self.read, self.bulk = self.profiles["read"], self.profiles.get("bulk", self.profiles["read"])
        self.habits: list[Callable[[Connection], Awaitable[None]]] = [
            self.closed_loop,
            self.batches,
            self.resting,
            self.half_commands,
            self.slow_reader,
            self.takes_nothing,
        ]

    def ident(self) -> str:
        """The id of the next request."""
        self.made += 1
        return f"{self.tag}{FIRST_NUMBER + self.made:010x}"

    def note_ask(self, ident: str, node: int, number: int, profile: Profile, key: bytes, wait: int) -> None:
        """Write down the request that was made last."""
        row = FIRST_NUMBER + self.made, node, number, "mg", key.decode(), profile.name, "", wait
        self.book.note("ask", clock(), ident, *row)

    async def play(self, begin: int) -> None:
        """All of them, to the end of the run."""
        asking = [asyncio.create_task(self.ask_for_mn(node, begin)) for node in range(len(self.nodes))]
        work = []
        for fault in self.scenario.fault:
            if fault.on == "node" and fault.kind in ROUND:
                for node in fault.which:
                    drawn = self.habits if fault.kind == "lame" else [self.rng.choice(self.habits)]
                    if fault.kind == "lame":
                        drawn = [*drawn, *[self.longest] * (MANY_LONG_ONES if fault.steady else LONG_ONES)]
                    for habit in (self.overlapping, self.asks_behind, *drawn):
                        work.append(asyncio.create_task(self.live(node, habit, fault, begin)))
            if fault.kind == "crowd":
                work += [asyncio.create_task(self.crowd(node, fault, begin)) for node in fault.which]
        await asyncio.gather(*work)
        for task in asking:
            task.cancel()

    async def ask_for_mn(self, node: int, begin: int) -> None:
        """As the front does: on a new connection each time."""
        while clock() < begin + int(self.scenario.length_s * 1e6):
            writer, yes = None, False
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(MN_WITHIN_S):
                    reader, writer = await asyncio.open_connection(*self.nodes[node])
                    if not writer.is_closing():  # it may have been shut at once
                        writer.write(b"mn\r\n")
                    yes = await reader.readline() == b"MN\r\n"
            if writer:
                writer.close()
            self.welcome[node] = yes
            self.book.note("mn", clock(), node, yes)
            await asyncio.sleep(ASK_EVERY_S)

    async def live(self, node: int, habit: Callable[[Connection], Awaitable[None]], fault: Fault, begin: int) -> None:
        """One connection after the other, round that trouble."""
        since = begin + int((fault.at_s - BEFORE_S) * 1e6)
        until = begin + int((fault.at_s + fault.for_s + AFTER_S) * 1e6)
        await asyncio.sleep(max(0.0, (since - clock()) / 1e6))
        while (left := (until - clock()) / 1e6) > 0:
            if self.welcome[node]:
                self.connections += 1
                connection = Connection(self, node, FIRST_NUMBER + self.connections)
                with contextlib.suppress(OSError, TimeoutError, Ended):
                    await connection.connect()
                    async with asyncio.timeout(left):
                        await habit(connection)
                if hasattr(connection, "hearing"):
                    await self.close(connection)
            await asyncio.sleep(AGAIN_S)

    @staticmethod
    async def close(connection: Connection) -> None:
        with contextlib.suppress(Ended):
            await connection.until_open(0)
        connection.leave()

    async def overlapping(self, connection: Connection) -> None:
        """A new one before the last one's answer, all the time: the connection is never idle."""
        delay_ms = int(self.read.limit_ms * OVERLAP_DELAY)
        while True:
            connection.ask(self.read, delay_ms=delay_ms)
            await asyncio.sleep(delay_ms / 1000 * OVERLAP_EVERY)
            await connection.until_open(OVERLAP)

    async def closed_loop(self, connection: Connection) -> None:
        while True:
            connection.ask(self.read)
            await connection.until_open(0)
            await asyncio.sleep(LOOP_PAUSE_S)

    async def batches(self, connection: Connection) -> None:
        while True:
            for _ in range(BATCH):
                connection.ask(self.read)
            await connection.until_open(0)
            await asyncio.sleep(BATCH_PAUSE_S)

    async def resting(self, connection: Connection) -> None:
        while True:
            connection.ask(self.read)
            await connection.until_open(0)
            await asyncio.sleep(REST_PAUSE_S)
            await connection.until_open(0)

    async def longest(self, connection: Connection) -> None:
        """One request after the other without a pause, each as long as the longest deadline lets it be."""
        await asyncio.sleep(self.rng.random() * self.bulk.limit_ms / 1000)  # so that several ask in turn
        while True:
            connection.ask(self.bulk, delay_ms=int(self.bulk.limit_ms * LONGEST_SHARE))
            await connection.until_open(0)

    async def half_commands(self, connection: Connection) -> None:
        """Begun, and gone on with byte by byte; now and then never finished."""
        while True:
            connection.ask(self.read)
            await connection.until_open(0)
            rest = connection.ask(self.read, head=12)
            for byte in rest[: self.rng.randrange(len(rest))]:
                await connection.until_open(0)
                connection.write(bytes([byte]))
                await asyncio.sleep(BYTE_PAUSE_S)
            await self.ended(connection)  # the node answers that it is not finished, and ends
            raise Ended

    async def slow_reader(self, connection: Connection) -> None:
        """Asks for large values, takes them slowly, and stays."""
        taker = await self.taker(connection.node, SLOW_PACE)
        try:
            for _ in range(LARGE_ONES):
                taker.ask(self.bulk, self.bulk.value_bytes)
            while await taker.rest(ASK_BEHIND_S):
                await asyncio.sleep(ASK_BEHIND_S)
        finally:
            taker.leave()

    async def asks_behind(self, connection: Connection) -> None:
        """Takes one large value after the other slowly, and asks for small ones behind it all the while."""
        pace = int(self.bulk.value_bytes / (self.bulk.limit_ms / 1000 * TAKES_SHARE))
        taker = await self.taker(connection.node, pace)
        try:
            while True:
                taker.ask(self.bulk, self.bulk.value_bytes)
                large = taker.open[-1] if taker.open else None
                while large in taker.open:
                    taker.ask(self.read, self.read.value_bytes)
                    if not await taker.rest(ASK_BEHIND_S):
                        raise Ended
                if taker.over:
                    raise Ended
                await asyncio.sleep(ASK_BEHIND_S)
        finally:
            taker.leave()

    async def taker(self, node: int, pace: int) -> Taker:
        """A connection of its own, from which a client reads at that pace. Raises OSError."""
        self.connections += 1
        taker = Taker(self, node, FIRST_NUMBER + self.connections, pace)
        await taker.connect()
        return taker

    async def takes_nothing(self, connection: Connection) -> None:
        """Asks for large values and reads none."""
        sock = await self.ask_for_large(connection)
        try:
            await asyncio.sleep(AFTER_S)
        finally:
            sock.close()

    async def ask_for_large(self, connection: Connection) -> socket.socket:
        """A connection of its own, with a small window; what comes of its requests is not judged."""
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        await asyncio.get_running_loop().sock_connect(sock, self.nodes[connection.node])
        for count in range(LARGE_ONES):
            ident = f"{self.tag}{self.rng.getrandbits(40):010x}large"
            row = self.keys[count], ident.encode(), self.bulk.name.encode(), int(self.bulk.limit_ms), WORK_US
            sock.send(b"mg %b v O%b Pc=%b,t=main,d=%d,w=%d,z=%d\r\n" % (*row, self.bulk.value_bytes))
        return sock

    async def crowd(self, node: int, fault: Fault, begin: int) -> None:
        """So many clients at once that all do the same, and come again when they are ended."""
        since = begin + int(fault.at_s * 1e6)
        until = since + int(fault.for_s * 1e6)
        await asyncio.sleep(max(0.0, (since - clock()) / 1e6))
        members: set[asyncio.Task] = set()
        while clock() < until:
            if len(members) < fault.count and self.welcome[node]:
                member = asyncio.create_task(self.crowd_member(node, fault.crowd_of, until))
                members.add(member)
                member.add_done_callback(members.discard)
            await asyncio.sleep(CROWD_EVERY_S)
        if members:
            await asyncio.wait(members)

    async def crowd_member(self, node: int, kind: str, until: int) -> None:
        """One client of a crowd, until the node ends its connection or the crowd goes."""
        habit = {"half": self.half_for_good, "open": self.one_long, "large": self.slow_reader, "busy": self.busy}.get(
            kind, self.idle
        )
        self.connections += 1
        connection = Connection(self, node, FIRST_NUMBER + self.connections)
        with contextlib.suppress(OSError, TimeoutError, Ended):
            await connection.connect()
            async with asyncio.timeout(max(0.0, (until - clock()) / 1e6)):
                await habit(connection)
        if hasattr(connection, "hearing"):
            await self.close(connection)

    @staticmethod
    async def ended(connection: Connection) -> None:
        """Until the node ends it. A wait that is cut short leaves what is heard on it alone."""
        await asyncio.wait({connection.hearing})

    async def idle(self, connection: Connection) -> None:
        """Says nothing."""
        await self.ended(connection)

    async def half_for_good(self, connection: Connection) -> None:
        """Begins a command and never goes on."""
        connection.ask(self.read, head=12)
        await self.ended(connection)

    async def one_long(self, connection: Connection) -> None:
        """Asks once, for what takes most of its time, and stays."""
        connection.ask(self.read, delay_ms=int(self.read.limit_ms * LONG_SHARE))
        await self.ended(connection)

    async def busy(self, connection: Connection) -> None:
        """Asks for several at once, and again at once, each for little work."""
        while True:
            for _ in range(BATCH):
                connection.ask(self.read, work=LITTLE_WORK_US)
            await connection.until_open(0)
