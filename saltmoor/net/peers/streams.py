"""Owns the streams between nodes: frames behind a length, one question a stream, a bounded number of them answered at once.

It must never let a stream outlast its time, or hold more of one than a frame.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, NamedTuple

from saltmoor.net.buffers import family
from saltmoor.net.peers.messenger import Messenger
from saltmoor.peers import frames
from saltmoor.peers.frames import Strange

STREAMS = 4  # streams at once that this node answers
CALL_WAIT = 5.0  # seconds for a whole question and its answer
LARGEST_ANSWER = 64 << 20  # bytes that one stream may bring, whatever the peer thinks
LENGTH_BYTES = 4  # of a frame's length before it
READ_BYTES = 65_536

Address = tuple[str, int]


class FrameStream:
    """Frames on a stream: a length in four bytes, then the frame."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock, self.loop, self.buffered, self.received_bytes = sock, asyncio.get_running_loop(), bytearray(), 0

    async def read(self) -> bytes | None:
        """One frame, None at the end; `Strange` for one that is too long."""
        while (frame := self.buffered_frame()) is None:
            data = await self.loop.sock_recv(self.sock, READ_BYTES)
            if not data:
                return None
            self.received_bytes += len(data)
            if self.received_bytes > LARGEST_ANSWER:
                raise Strange("too much")
            self.buffered += data
        return frame

    def buffered_frame(self) -> bytes | None:
        """The next frame, where it has come whole."""
        if len(self.buffered) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self.buffered[:LENGTH_BYTES], "big")
        if not frames.HEAD <= length <= frames.BULK:
            raise Strange("length")
        end = LENGTH_BYTES + length
        if len(self.buffered) < end:
            return None
        frame = bytes(self.buffered[LENGTH_BYTES:end])
        del self.buffered[:end]
        return frame

    async def write(self, frame: bytes) -> int:
        """Send a frame; how many bytes that took."""
        await self.loop.sock_sendall(self.sock, len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
        return len(frame) + LENGTH_BYTES


async def connect(address: Address) -> socket.socket:
    """A connection to whoever listens there. Raises OSError."""
    sock = socket.socket(family(address[0]), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


class Question(NamedTuple):
    """The form of one message type's content, and who answers it on its stream."""

    form: Any
    answer: Callable[[FrameStream, Any], Awaitable[None]]


class Streams:
    """Streams that this node answers, and those that it opens.

    `spawn` runs a task until the node ends; `connect` is how an address is reached.
    """

    def __init__(
        self,
        messenger: Messenger,
        spawn: Callable[[Coroutine], None],
        connect: Callable[[Address], Awaitable[socket.socket]] = connect,
    ) -> None:
        self.messenger, self.spawn, self.connect = messenger, spawn, connect
        self.questions: dict[str, Question] = {}
        self.open = 0

    def route(self, message_type: str, form: Any, answer: Callable[[FrameStream, Any], Awaitable[None]]) -> None:
        """From now on questions of that type are answered by `answer`."""
        self.questions[message_type] = Question(form, answer)

    def welcome(self, sock: socket.socket, _peer: tuple) -> None:
        if self.open >= STREAMS:
            self.messenger.traffic.drop("busy")
            sock.close()
            return
        self.open += 1
        self.spawn(self.serve(sock))

    async def serve(self, sock: socket.socket) -> None:
        """Guards against whatever comes on a stream: it ends this one."""
        traffic = self.messenger.traffic
        try:
            async with asyncio.timeout(CALL_WAIT):
                await self.answer(FrameStream(sock))
        except Strange as error:
            traffic.drop(str(error))
        except (OSError, TimeoutError):
            traffic.drop("call")
        except Exception as error:
            traffic.drop("fault")
            self.messenger.log(f"fault in a peer's call: {type(error).__name__}: {error}")
        finally:
            self.open -= 1
            sock.close()

    async def answer(self, stream: FrameStream) -> None:
        data = await stream.read()
        if data is None:
            return
        frame = frames.decode(data, self.messenger.given.cluster)
        question = self.questions.get(frame.message_type)
        if question is None:
            raise Strange("word")
        await question.answer(stream, frames.content(frame, question.form))

    async def ask(self, address: Address, message_type: str, content: Any) -> FrameStream:
        """A stream on which that question has been sent; who asks closes its socket. Raises OSError."""
        sock = await self.connect(address)
        try:
            stream = FrameStream(sock)
            await stream.write(self.messenger.encode(message_type, content))
            return stream
        except BaseException:
            sock.close()
            raise
