"""Frames and records of the wire: bytes to plain tuples and back. Times stay in nanoseconds here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO

HEAD = struct.Struct("<IIQI")
REPLY = struct.Struct("<II")
TAG = struct.Struct("<BI")
COUNT = struct.Struct("<I")
ENTRY = struct.Struct("<6sHBHBfQ")

# Events of fixed shape: code -> (name, fields after the code).
FIXED = {
    25: ("inbound", struct.Struct("<QHIQQQfH")),
    18: ("wakeup", struct.Struct("<Q")),
    20: ("power_off", struct.Struct("<")),
    23: ("abandoned", struct.Struct("<Q")),
    17: ("begun", struct.Struct("<QH6sQ")),
}
# Events that end in a load report.
LOADED = {16: ("returned", struct.Struct("<QH6sHQBIB")), 21: ("probe_result", struct.Struct("<Q6sHB"))}
POWER_ON = struct.Struct("<QI")
CHANGED = struct.Struct("<IBI")
MESSAGE = struct.Struct("<IH")

PLACE = struct.Struct("<BQ6sQ")
OVERLOAD = struct.Struct("<BQQ")
ONE_ID = struct.Struct("<BQ")
UNDO = struct.Struct("<BQH")
ASK = struct.Struct("<B6s")
WAKE = struct.Struct("<BQQ")
TRACK = struct.Struct("<BB")
TEXT = struct.Struct("<BH")


class BadFrame(Exception):
    """The frame does not follow the wire's page."""


def read_frame(stream: BinaryIO) -> bytes | None:
    """One whole frame, or None at the end of input between frames."""
    start = stream.read(4)
    if not start:
        return None
    if len(start) < 4:
        raise BadFrame("input ended inside a frame's length")
    (size,) = COUNT.unpack(start)
    if size < HEAD.size:
        raise BadFrame(f"frame length {size} is under the header's {HEAD.size}")
    rest = stream.read(size - 4)
    if len(rest) < size - 4:
        raise BadFrame(f"input ended {size - 4 - len(rest)} bytes before the frame's end")
    return start + rest


def _floats(frame: bytes, at: int, count: int) -> tuple[tuple[float, ...], int]:
    return struct.unpack_from(f"<{count}f", frame, at), at + 4 * count


def events(frame: bytes) -> Iterator[tuple[int, str, tuple]]:
    """(instance, event name, fields) for each event of a batch."""
    size, records, _, _ = HEAD.unpack_from(frame)
    if size != len(frame):
        raise BadFrame(f"frame length {size} but {len(frame)} bytes")
    at, node = HEAD.size, None
    try:
        for _ in range(records):
            code = frame[at]
            if code == 24:
                (node,) = COUNT.unpack_from(frame, at + 1)
                at += TAG.size
                continue
            if node is None:
                raise BadFrame(f"record {code} before any instance was named")
            at += 1
            if code in FIXED:
                name, shape = FIXED[code]
                yield node, name, shape.unpack_from(frame, at)
                at += shape.size
            elif code in LOADED:
                name, shape = LOADED[code]
                fields = shape.unpack_from(frame, at)
                load, at = _floats(frame, at + shape.size, fields[-1])
                yield node, name, (*fields[:-1], load)
            elif code == 19:
                rev, mode, lines = CHANGED.unpack_from(frame, at)
                at += CHANGED.size
                body = frame[at : at + lines * ENTRY.size]
                if len(body) < lines * ENTRY.size:
                    raise BadFrame("list lines run past the frame's end")
                at += len(body)
                yield node, "backends_changed", (rev, mode, list(ENTRY.iter_unpack(body)))
            elif code == 26:
                seed, length = POWER_ON.unpack_from(frame, at)
                at += POWER_ON.size
                yield node, "power_on", (seed, frame[at : at + length])
                at += length
            elif code == 22:
                sender, length = MESSAGE.unpack_from(frame, at)
                at += MESSAGE.size
                yield node, "message", (sender, frame[at : at + length])
                at += length
            else:
                raise BadFrame(f"unknown record code {code}")
    except (struct.error, IndexError) as error:
        raise BadFrame(f"a record runs past the frame's end ({error})") from None
    if at != len(frame):
        raise BadFrame(f"{len(frame) - at} bytes beyond the last record")


def context(node: int) -> bytes:
    return TAG.pack(28, node)


def text(code: int, words: str) -> bytes:
    body = words.encode()[:60000]
    return TEXT.pack(code, len(body)) + body


def reply(batch: int, records: list[bytes]) -> bytes:
    body = b"".join(records)
    return REPLY.pack(REPLY.size + len(body), batch) + body
