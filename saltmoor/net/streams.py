"""Owns the streams on which changes go: frames of a length, a checksum and a body, one reader and one writer a stream.

The first frame each way says who speaks and of which cluster, in the form of `peers/frames.py`; the cluster's name
counts in every checksum after it, so a frame of another cluster is never taken for one of this. A length beyond the
bound ends the stream before anything of the body is read. It must never decide what is sent, or let one stream wait for
another.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any
from zlib import crc32

import msgspec

from saltmoor.changes import messages
from saltmoor.config import BUFFER
from saltmoor.net.acceptor import Acceptor
from saltmoor.net.buffers import family
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker, Strange

HEAD = 8  # bytes: the body's length, and the checksum
MOST = frames.BULK  # bytes of one body: the largest state, and what goes with it
FIRST = 1_024  # bytes of the first one, by somebody who is not known yet
HELLO_WAIT = 2.0  # seconds for the first frame
WRITE_WAIT = 5.0  # seconds: who takes nothing for so long is gone
CONNECT_WAIT = 2.0  # seconds
SEND_BUFFER = 65_536  # bytes that the kernel may hold back for one that does not read: old news by then
QUEUED = 1 << 20  # bytes that may wait in one stream's queue

TOOL, NODE, MACHINE = "tool", "node", "machine"  # who speaks


class Hello(msgspec.Struct, array_like=True):
    """The first frame's content. `to`: who the dialler wants to reach; the answer has it empty."""

    role: str
    to: str = ""


class Show(msgspec.Struct, array_like=True):
    """An operator's question to a node or a control machine."""

    what: str = "status"


class Shown(msgspec.Struct, array_like=True):
    """Its answer: what it shows, by name."""

    shown: dict[str, Any]


WORDS = messages.WORDS | {"show": Show, "shown": Shown}
NAMES = {form: word for word, form in WORDS.items()}
SAID = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class Wire:
    """What all streams of one process have in common: the cluster, this one's name, and what was counted."""

    def __init__(self, cluster: str, name: str, role: str) -> None:
        self.cluster, self.name, self.role = cluster, name, role  # a name: of a machine or a node, its address
        self.seed = crc32(cluster.encode())
        self.run = int.from_bytes(os.urandom(6), "big")
        self.dropped: dict[str, int] = {}
        self.read_bytes = self.written_bytes = self.read_frames = self.written_frames = 0
        self.slowest = 0.0  # seconds of CPU: the most that what came in one frame took

    def drop(self, why: str) -> None:
        if why in self.dropped or len(self.dropped) < 100:
            self.dropped[why] = self.dropped.get(why, 0) + 1

    def shown(self) -> dict[str, Any]:
        """What was counted, for operators."""
        return {
            "dropped": self.dropped,
            "read_bytes": self.read_bytes,
            "written_bytes": self.written_bytes,
            "read_frames": self.read_frames,
            "written_frames": self.written_frames,
            "slowest_us": int(self.slowest * 1e6),
        }

    def frame(self, body: bytes, first: bool = False) -> bytes:
        return len(body).to_bytes(4, "big") + self.checksum(body, first).to_bytes(4, "big") + body

    def checksum(self, body: bytes, first: bool) -> int:
        """The first frame names its cluster, so that a wrong one is counted as that."""
        return crc32(body, 0 if first else self.seed)

    def hello(self, to: str = "") -> bytes:
        speaker = Speaker(self.name, 0, self.run, time.time_ns() // 1000)
        return self.frame(frames.encode(self.cluster, speaker, "hello", Hello(self.role, to)), first=True)

    def heard(self, body: bytes) -> tuple[Speaker, Hello]:
        """Who speaks, by the first frame; `Strange` for whoever is not of this cluster."""
        frame = frames.decode(body, self.cluster)
        if frame.message_type != "hello":
            raise Strange("no hello")
        hello = frames.content(frame, Hello)
        if hello.role not in (TOOL, NODE, MACHINE):
            raise Strange("role")
        return frame.speaker, hello

    def encode(self, message: Any) -> bytes:
        """A frame's body behind the first one: the message alone, as the first one said who speaks."""
        return frames.CODER.encode([NAMES[type(message)], message])

    def decode(self, body: bytes) -> Any:
        """Guards against everything in a whole frame that is not as it should be: `Strange`, and nothing else."""
        try:
            word, content = SAID.decode(body)
            if word not in WORDS:
                raise Strange("word")
            message = frames.reader(WORDS[word]).decode(content)
        except (msgspec.DecodeError, RecursionError, OverflowError):
            raise Strange("content") from None
        messages.check(message)
        return message


class Stream:
    """One connected socket. `name`, `role`, `key` are the other side's, once it has said them; two processes of one
    node, as during an upgrade, have two keys."""

    def __init__(self, sock: socket.socket, wire: Wire) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
        # Guards against a machine that is gone without a word: the kernel gives it up, though hardly anything is sent.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(WRITE_WAIT * 1000))
        self.sock, self.wire, self.loop = sock, wire, asyncio.get_running_loop()
        self.name = self.role = self.key = ""
        self.chunk, self.held, self.at = bytearray(BUFFER), bytearray(), 0
        self.queue: deque[bytes] = deque()
        self.queued = 0
        self.wake = asyncio.Event()
        self.closed = False

    # In.

    async def read(self, most: int = MOST, first: bool = False) -> bytes | None:
        """The next frame's body, None at the end; `Strange` for one that is cut, altered, too long, or not of the
        cluster: what follows it can't be found any more."""
        while True:
            if len(self.held) - self.at >= HEAD:
                length = int.from_bytes(self.held[self.at : self.at + 4], "big")
                if not 0 < length <= most:
                    raise Strange("length")
                if len(self.held) - self.at >= HEAD + length:
                    start = self.at + HEAD
                    body = bytes(memoryview(self.held)[start : start + length])
                    if self.wire.checksum(body, first) != int.from_bytes(self.held[self.at + 4 : start], "big"):
                        raise Strange("checksum")
                    self.at = start + length
                    self.wire.read_frames += 1
                    return body
            if self.at:  # once for all frames of a chunk
                del self.held[: self.at]
                self.at = 0
            count = await self.loop.sock_recv_into(self.sock, self.chunk)
            if not count:
                if self.held:
                    raise Strange("cut off")
                return None
            self.wire.read_bytes += count
            self.held += memoryview(self.chunk)[:count]

    async def messages(self, hear: Callable[[Any], None]) -> None:
        """Hand on what comes until the other side ends it. A kind that this build does not know is counted and passed
        over; whatever else is strange ends the stream.

        Guards against many small frames in one chunk that hold the loop: one at a time, and the loop goes on.
        """
        while (body := await self.read()) is not None:
            begun = time.thread_time()
            try:
                message = self.wire.decode(body)
            except Strange as error:
                if str(error) != "word":
                    raise
                self.wire.drop("word")
            else:
                hear(message)
            self.wire.slowest = max(self.wire.slowest, time.thread_time() - begun)
            await asyncio.sleep(0)

    async def meet(self, to: str | None = None) -> Hello:
        """The first frame each way; the dialler, who names whom it wants, goes first. `Strange`, OSError or
        TimeoutError where the other side is not one of the cluster."""
        async with asyncio.timeout(HELLO_WAIT):
            if to is not None:
                await self.write(self.wire.hello(to))
            if (body := await self.read(FIRST, first=True)) is None:
                raise Strange("no hello")
            speaker, hello = self.wire.heard(body)
            self.name, self.role = speaker.name, hello.role
            self.key = self.name if self.role == MACHINE else f"{self.name}#{speaker.run:x}"
            if to is None:
                if hello.to not in ("", self.wire.name):
                    raise Strange("not for this one")
                await self.write(self.wire.hello())
            elif to and to != self.name:
                raise Strange("another answers")
        return hello

    # Out.

    def send(self, message: Any) -> bool:
        """Put it behind what waits already; False, and counted, where too much waits."""
        body = self.wire.encode(message)
        if self.closed or self.queued + len(body) > QUEUED:
            self.wire.drop("queue full" if not self.closed else "closed")
            return False
        self.queue.append(body)
        self.queued += len(body)
        self.wake.set()
        return True

    async def write(self, data: bytes) -> None:
        async with asyncio.timeout(WRITE_WAIT):
            await self.loop.sock_sendall(self.sock, data)
        self.wire.written_bytes += len(data)
        self.wire.written_frames += 1

    async def write_all(self, more: Callable[[], list[Any]] = list) -> None:
        """Write what is queued, and what messages `more` has while nothing is, until the stream is closed."""
        while True:
            self.wake.clear()
            while self.queue:
                body = self.queue.popleft()
                self.queued -= len(body)
                await self.write(self.wire.frame(body))
            if said := more():
                await self.write(b"".join(self.wire.frame(self.wire.encode(message)) for message in said))
            elif not self.queue:
                await self.wake.wait()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.sock.close()


async def dial(address: tuple[str, int], wire: Wire, to: str) -> Stream:
    """A stream to whoever is there, both having said who they are. OSError, TimeoutError, `Strange`."""
    stream = Stream(socket.socket(family(address[0]), socket.SOCK_STREAM), wire)
    try:
        async with asyncio.timeout(CONNECT_WAIT):
            await stream.loop.sock_connect(stream.sock, address)
        await stream.meet(to)
    except BaseException:
        stream.close()
        raise
    return stream


class Door:
    """A listening socket: whoever says in time that it is of the cluster is handed on, the rest is counted."""

    def __init__(self, wire: Wire, most: int, serve: Callable[[Stream], object], log: Callable[[str], None]) -> None:
        self.wire, self.most, self.serve, self.log = wire, most, serve, log
        self.acceptor: Acceptor | None = None
        self.sock: socket.socket | None = None
        self.calls: dict[asyncio.Task, bool] = {}  # whether it has said who it is; the one open longest first
        self.loop = asyncio.get_running_loop()

    def open(self, address: tuple[str, int]) -> None:
        """OSError where the address can't be had."""
        self.sock = socket.create_server(address, backlog=256, family=family(address[0]))
        self.sock.setblocking(False)
        self.acceptor = Acceptor(self.sock, self.welcome, self.log, at_once=16)
        self.acceptor.listen()

    def welcome(self, sock: socket.socket, _peer: tuple) -> None:
        """One more call; where all places are taken by calls that are known, it is closed."""
        if len(self.calls) >= self.most:
            # Guards against strangers who hold all places: whoever has not said its name goes first.
            stranger = next((call for call, known in self.calls.items() if not known), None)
            if stranger is None:
                self.wire.drop("full")
                sock.close()
                return
            self.wire.drop("made room")
            del self.calls[stranger]
            stranger.cancel()
        stream = Stream(sock, self.wire)
        call = asyncio.create_task(self.answer(stream))
        self.calls[call] = False
        call.add_done_callback(partial(self.over, stream))

    def over(self, stream: Stream, call: asyncio.Task) -> None:
        """Guards against a call that was ended before it had begun: its socket goes all the same."""
        self.calls.pop(call, None)
        stream.close()

    async def answer(self, stream: Stream) -> None:
        try:
            await stream.meet()
            self.calls[asyncio.current_task()] = True
            await self.serve(stream)
        except Strange as error:
            self.wire.drop(str(error))
        except TimeoutError:
            self.wire.drop("slow")
        except OSError:
            pass

    def close(self) -> None:
        if self.sock:
            self.acceptor.close()
            self.sock = None
        for call in self.calls:
            call.cancel()


async def together(*works) -> None:
    """Run them until the first ends; end the others, and let through why it ended."""
    tasks = [asyncio.ensure_future(work) for work in works]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in done:
        task.result()
