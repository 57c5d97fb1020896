"""Owns what is passed on or gathered piece by piece: answers too large to hold, and the memory for large writes.

It must never hold a value whole on its way back, know a profile, or let a peer that is slow slow down another.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from saltmoor.config import LONGEST_HELD
from saltmoor.model import Micros


class Broken(Exception):
    """The rest of this value will not come, or is not what its head said."""


class Flow:
    """A large value on its way from a server's connection to a client's: one piece is held at a time."""

    __slots__ = ("bring", "drop_link", "length", "moved", "over", "reader")

    def __init__(self, length: int, reader, bring: Callable, drop_link: Callable[[str], None], now: Micros) -> None:
        self.length, self.reader, self.bring, self.drop_link = length, reader, bring, drop_link
        self.over, self.moved = False, now

    async def piece(self) -> bytes:
        """What comes next of the value; empty once all of it was passed on and its end is as it should be."""
        while not self.over:
            if data := self.reader.take():
                return data
            if self.reader.done:
                self.drop("" if self.reader.clean else "closed")
                break
            if not (got := await self.bring()):
                self.drop("ended")
                raise Broken("the server ended it")
            self.reader.feed(got)
        return b""

    def drop(self, code: str = "stopped") -> None:
        """Nobody wants the rest: the connection cannot be used again, unless nothing is left on it."""
        if not self.over:
            self.over = True
            self.reader.close()
            self.drop_link(code)


class Kept:
    """A value that had to be gathered, as its length was not known before its end; passed on like one that comes."""

    clean = True

    def __init__(self, value: bytes, size: int) -> None:
        self.value, self.size, self.passed = memoryview(value), size, 0

    @property
    def done(self) -> bool:
        return self.passed == len(self.value)

    def take(self) -> memoryview:
        piece = self.value[self.passed : self.passed + self.size]
        self.passed += len(piece)
        return piece

    def close(self) -> None:
        """Nothing more is read: the value goes before its memory is given back."""
        self.value = memoryview(b"")


class Budget:
    """Memory for values that clients write: paid in whole before they are read, given back when answered.

    Small ones do not wait behind large ones, and a quarter is left to them.
    """

    def __init__(self, total: int) -> None:
        self.total, self.used, self.least = total, 0, 0
        self.small: deque[tuple[int, asyncio.Future]] = deque()
        self.large: deque[tuple[int, asyncio.Future]] = deque()

    def fits(self, size: int) -> bool:
        return not self.used or self.used + size <= (self.total if size <= LONGEST_HELD else self.total * 3 // 4)

    def ask(self, size: int) -> asyncio.Future[None]:
        """A turn that is done as soon as so many bytes are there, which may be at once, or never.

        Who asks has to bound its wait, and to `withdraw` the turn where it does not want it any more.
        """
        queue = self.small if size <= LONGEST_HELD else self.large
        turn = asyncio.get_running_loop().create_future()
        if not queue and self.fits(size):
            self.used += size
            turn.set_result(None)
        else:
            queue.append((size, turn))
        return turn

    def withdraw(self, size: int, turn: asyncio.Future[None]) -> None:
        """Nobody wants it any more: what was given comes back, and who waits behind it may go on."""
        if not turn.cancel() and not turn.cancelled():
            self.used -= size
        self.serve()

    async def take(self, size: int) -> None:
        """Wait for so many bytes; the caller bounds the wait, by ending its task."""
        turn = self.ask(size)
        try:
            await turn
        except asyncio.CancelledError:
            self.withdraw(size, turn)
            raise

    def give_back(self, size: int) -> None:
        self.used -= size
        self.serve()

    def serve(self) -> None:
        for queue in (self.small, self.large):
            while queue and (queue[0][1].done() or self.fits(queue[0][0])):
                size, turn = queue.popleft()
                if not turn.done():
                    self.used += size
                    turn.set_result(None)
