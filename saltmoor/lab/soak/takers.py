"""A client that takes its answers at a pace of its own through a small receive buffer, and asks on meanwhile.

It writes down when the head of each value came, and how each answer ended: whole, cut with so many bytes, or left by the
client itself. It must never judge a node.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING
from zlib import crc32

from saltmoor.lab.book import clock
from saltmoor.lab.scenario import Profile

if TYPE_CHECKING:
    from saltmoor.lab.soak.habits import Habits

RECEIVE_BUFFER = 1 << 16  # bytes, of the kernel: what it holds counts as not taken yet
TAKE_EVERY_US = 25_000  # between two looks at the socket
SMALL_WORK_US = 5000
PATIENCE_US = 600_000  # behind a request's time, and without a byte, until the client leaves
END, RESET, LEFT = "end", "reset", "left"


class Taker:
    """One connection, from which no more bytes a second are read than its pace allows."""

    def __init__(self, house: Habits, node: int, number: int, pace: int) -> None:
        self.house, self.node, self.number, self.pace, self.asked = house, node, number, pace, 0
        self.open: deque[tuple[str, int, int]] = deque()  # ids, when they were asked, and how long their clients wait
        self.held = bytearray()
        self.value: bytearray | None = None  # what has come of the value that is being taken
        self.announced = 0
        self.moved = clock()  # when bytes came last
        self.over = False

    async def connect(self) -> None:
        """Raises OSError."""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(self.sock, self.house.nodes[self.node])
        except BaseException:
            self.sock.close()
            raise
        self.house.book.note("conn", clock(), self.node, self.number, "up")
        self.house.book.note("pace", clock(), self.node, self.number, self.pace)
        self.taking = asyncio.create_task(self.take())
        self.taking.add_done_callback(lambda _: self.sock.close())

    def ask(self, profile: Profile, size: int) -> None:
        """Write one request for a value of so many bytes; what cannot be written whole ends the connection."""
        house = self.house
        ident, wait = house.ident(), int(profile.limit_ms) * 1000
        key = house.keys[house.rng.randrange(len(house.keys))]
        row = key, ident.encode(), profile.name.encode(), wait // 1000, SMALL_WORK_US, size
        data = b"mg %b v O%b Pc=%b,t=main,d=%d,w=%d,z=%d\r\n" % row
        try:
            whole = self.sock.send(data) == len(data)
        except OSError:
            whole = False
        if not whole:
            self.end(RESET)
            self.taking.cancel()
            return
        self.asked += 1
        self.open.append((ident, clock(), wait))
        house.note_ask(ident, self.node, self.number, profile, key, wait)

    async def take(self) -> None:
        """Read at that pace to the end of the connection."""
        loop, began, taken, how = asyncio.get_running_loop(), clock(), 0, RESET
        try:
            while True:
                may = (clock() - began) * self.pace // 1_000_000 - taken
                if may <= 0:
                    await asyncio.sleep(TAKE_EVERY_US / 1e6)
                    continue
                waited = clock()
                data = await loop.sock_recv(self.sock, may)
                if not data:
                    how = END
                    return
                taken += len(data)
                if clock() - waited > TAKE_EVERY_US:  # there was nothing to take: that time is not made up for
                    began, taken = clock(), 0
                self.moved = clock()
                self.held += data
                self.read()
        except OSError:
            pass
        finally:
            self.end(how)

    def read(self) -> None:
        while self.held:
            if self.value is not None:
                if not self.read_value():
                    return
                continue
            line, found, rest = bytes(self.held).partition(b"\r\n")
            if not found:
                return
            self.held = bytearray(rest)
            words = line.split()
            if words[:1] == [b"VA"] and self.open:
                self.announced, self.value, self.words = int(words[1]), bytearray(), words
                self.house.book.note("head", clock(), self.open[0][0], self.node, self.number, self.announced)
            else:
                self.answered("refused" if words[:2] == [b"SERVER_ERROR", b"busy"] else "failed", b"", words)

    def read_value(self) -> bool:
        """Take what has come of the value; whether it is whole."""
        lacks = self.announced + 2 - len(self.value)
        self.value += self.held[:lacks]
        del self.held[:lacks]
        if len(self.value) < self.announced + 2:
            return False
        body, self.value = bytes(self.value[:-2]), None
        self.answered("served", body, self.words)
        return True

    def answered(self, how: str, body: bytes, words: list[bytes]) -> None:
        if not self.open:
            return
        ident, *_ = self.open.popleft()
        how = how if how != "served" or b"O" + ident.encode() in words else "odd"
        self.house.book.note("reply", clock(), ident, how, crc32(body), len(body), 0)

    def end(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        if self.value is not None and self.open and how != LEFT:
            self.house.book.note("spoilt", clock(), self.open.popleft()[0], self.announced, len(self.value), how)
            how = LEFT  # what stands behind an answer that is cut cannot be answered either
        for ident, *_ in self.open:
            if how == LEFT:
                self.house.book.note("left", clock(), ident)
            else:
                self.house.book.note("end", clock(), ident, self.number, max(2, self.asked))
        self.open.clear()
        self.house.book.note("conn", clock(), self.node, self.number, "down")

    def leave(self) -> None:
        """The client closes it."""
        self.end(LEFT)
        self.taking.cancel()

    async def rest(self, seconds: float) -> bool:
        """Wait until nothing is open, or for so long at the most; false where the connection is over.

        A client to whom nothing has come for a request's time and longer leaves, and writes that down.
        """
        until = clock() + int(seconds * 1e6)
        while self.open and not self.over and clock() < until:
            ident, asked, wait = self.open[0]
            if clock() > max(asked, self.moved) + wait + PATIENCE_US:
                self.house.book.note("silent", clock(), ident)
                self.leave()
            await asyncio.sleep(TAKE_EVERY_US / 1e6)
        return not self.over
