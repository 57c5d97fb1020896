"""Clients by the hundred, each judged from the moment in which its `connect` came back: held, unanswered, or neither."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from tests.helper import read

WAIT_MS = 2500  # that a client waits for an answer
CROSSES = 0.6  # seconds: what was asked so shortly before a connection's end may have crossed it
SLOW_BYTES, SLOW_EVERY = 1 << 16, 0.05  # of a client that takes a large value slowly: bytes at once, seconds between


@dataclass
class Asked:
    """One whole request of a client."""

    at: float
    tag: str
    answered: bool = False


class QueueClient(asyncio.Protocol):
    """One connection; `kind` names what it does on it. Times are on the monotonic clock, 0 for never."""

    def __init__(self, kind: str, number: int) -> None:
        self.kind, self.number = kind, number
        self.connected = self.ended = 0.0
        self.reset = False
        self.asked: list[Asked] = []
        self.transport: asyncio.Transport | None = None
        self.text = b""
        self.skip = 0  # bytes of a value that are still to come

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.connected, self.transport = time.monotonic(), transport
        getattr(self, self.kind)()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended, self.reset = time.monotonic(), error is not None

    def eof_received(self) -> bool:
        self.ended = time.monotonic()
        return False

    def data_received(self, data: bytes) -> None:
        self.text += data
        while self.text:
            if self.skip:
                taken = min(self.skip, len(self.text))
                self.text, self.skip = self.text[taken:], self.skip - taken
                continue
            line, end, rest = self.text.partition(b"\n")
            if not end:
                return
            self.text = rest
            if line.startswith(b"VA "):
                self.skip = int(line.split()[1]) + 2
            self.answer(line)

    def answer(self, line: bytes) -> None:
        """The next open request's answer: they come in order."""
        for one in self.asked:
            if not one.answered:
                one.answered = True
                break
        if self.kind == "closed_loop" and self.open:
            self.ask("hit")

    @property
    def open(self) -> bool:
        return bool(self.connected) and not self.ended and not self.transport.is_closing()

    def ask(self, key: str) -> None:
        tag = f"{self.number:x}q{len(self.asked):x}"
        self.asked.append(Asked(time.monotonic(), tag))
        self.transport.write(read(key, tag, wait=WAIT_MS).encode())

    def again(self, seconds: float, key: str) -> None:
        """Ask on and on, whether or not an answer has come."""
        if self.open:
            self.ask(key)
            asyncio.get_running_loop().call_later(seconds, self.again, seconds, key)

    def silent(self) -> None:
        """Says nothing."""

    def half(self) -> None:
        """Begins a command and does not finish it."""
        self.transport.write(b"mg hit v O")

    def hit(self) -> None:
        self.ask("hit")

    def long(self) -> None:
        self.ask("long")

    def closed_loop(self) -> None:
        """A new request as soon as the last one is answered."""
        self.ask("hit")

    def overlapping(self) -> None:
        """Always one request open."""
        self.again(0.6 + 0.05 * (self.number % 7), "long")

    def large(self) -> None:
        """Takes a large value slowly."""
        self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BYTES)
        self.ask("large")
        self.slow(False)

    def slow(self, pause: bool) -> None:
        if self.open:
            (self.transport.pause_reading if pause else self.transport.resume_reading)()
            asyncio.get_running_loop().call_later(SLOW_EVERY, self.slow, not pause)

    def unanswered(self, forwarded: set[str]) -> list[str]:
        """Requests that were owed an answer when their connection ended, and had none.

        Those are what a server was sent, and the first one of a connection where it stood there well before the end.
        What comes on a connection that is read no more may be sent to another node, so that nobody owes it.
        """
        return [
            f"{self.kind}: asked {self.ended - one.at:.2f} s before its end"
            for place, one in enumerate(self.asked)
            if self.ended and not one.answered
            if one.tag in forwarded or (not place and self.ended - one.at > CROSSES)
        ]

    def owed(self) -> list[str]:
        """Requests whose clients have waited longer than they can, on a connection that is still open."""
        now = time.monotonic()
        return [
            f"{self.kind}: open for {now - one.at:.2f} s"
            for one in self.asked
            if not self.ended and not one.answered and now - one.at > WAIT_MS / 1000 + 0.5
        ]


async def come(
    address: tuple[str, int], kinds: tuple[str, ...], count: int, numbers: Callable[[], int]
) -> list[QueueClient]:
    """So many clients, of these kinds by turns, all at once; back when each one's `connect` is."""
    loop = asyncio.get_running_loop()
    clients = [QueueClient(kinds[i % len(kinds)], numbers()) for i in range(count)]
    await asyncio.gather(*(loop.create_connection(lambda one=one: one, *address) for one in clients))
    return clients
