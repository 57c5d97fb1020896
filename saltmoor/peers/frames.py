"""Owns the form of what nodes say to each other: frames of a bounded size, checked before anything in them is believed.

A frame is a magic, the CRC of what follows, and that: MessagePack of the range of formats that the sender reads, the
cluster's name, who speaks, and one message. What is cut, altered, of another cluster, too long, or of no format that
this build reads raises `Strange` with a short reason to count it by. It must never touch a socket or a clock.
"""

from __future__ import annotations

from functools import cache
from typing import Any
from zlib import crc32

import msgspec

MAGIC = b"SMP"
FORMAT, OLDEST = 1, 1  # the newest form that this build reads and writes, and the oldest
DATAGRAM = 1400  # bytes of a frame in one datagram, so that none is cut on its way
BULK = 1 << 20  # bytes of a frame on a stream
HEAD = len(MAGIC) + 4


class Strange(Exception):
    """What came is no frame for this node; the message says why, in a word or two."""


class Speaker(msgspec.Struct, frozen=True, array_like=True):
    """Who says it: the member's name, which of its lives, which process, and its wall clock in microseconds."""

    name: str
    life: int
    run: int
    clock: int


class Frame(msgspec.Struct, array_like=True):
    newest: int
    oldest: int
    cluster: str
    speaker: Speaker
    message_type: str
    content: msgspec.Raw


@cache
def reader(form: Any) -> msgspec.msgpack.Decoder:
    """Made once for each form: that takes longer than many messages."""
    return msgspec.msgpack.Decoder(form)


CODER, READER = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Frame)


def encode(cluster: str, speaker: Speaker, message_type: str, content: Any) -> bytes:
    body = CODER.encode([FORMAT, OLDEST, cluster, speaker, message_type, content])
    return MAGIC + crc32(body).to_bytes(4, "big") + body


def decode(data: bytes, cluster: str) -> Frame:
    """Guards against everything that a stranger, a broken link or another build may send."""
    if data[:3] != MAGIC or len(data) < HEAD:
        raise Strange("no frame")
    body = memoryview(data)[HEAD:]
    if crc32(body) != int.from_bytes(data[3:HEAD], "big"):
        raise Strange("checksum")
    try:
        frame = READER.decode(body)
    except (msgspec.DecodeError, RecursionError):
        raise Strange("no frame") from None
    if frame.oldest > FORMAT or frame.newest < OLDEST:
        raise Strange("format")
    if frame.cluster != cluster:
        raise Strange("cluster")
    if not 0 < len(frame.speaker.name) <= 64 or not 0 <= frame.speaker.life < 1 << 62:
        raise Strange("speaker")
    return frame


def content(frame: Frame, form: type) -> Any:
    """The message's content, in the form that its type has."""
    try:
        return reader(form).decode(frame.content)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        raise Strange(f"content of {frame.message_type[:16]!r}") from None
