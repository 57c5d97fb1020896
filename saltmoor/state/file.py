"""Owns the form of a snapshot's file and how it gets there: whole or not at all, checked, of a bounded size.

A line `saltmoor-snapshot FORMAT LENGTH CRC32`, then so many bytes of JSON. A file that is cut off, altered, of another
node or of a newer form is refused with the reason. It must never run on a node's loop: a disk may take its time.
"""

from __future__ import annotations

import fcntl
import json
import os
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from zlib import crc32

FORMAT = 1
MAGIC = b"saltmoor-snapshot"
HEAD = 64  # bytes that the first line may have
AHEAD = 5_000_000  # microseconds: a snapshot from so far in the future was written by another clock


class Unfit(Exception):
    """A file that is no snapshot for this node; the message says why."""


def boot() -> str:
    """What is the same as long as the machine has not started anew."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


def clocks() -> dict[str, Any]:
    """When it is: on the wall, and since this machine's start, which nobody sets."""
    return {"wall": time.time_ns() // 1000, "boot": boot(), "up": time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000}


def age(then: dict[str, Any], now: dict[str, Any]) -> int | None:
    """Microseconds between two readings; None where nobody can tell.

    Guards against a wall clock that was set in between: on one machine since its start the other clock counts.
    """
    if then["boot"] and then["boot"] == now["boot"] and now["up"] >= then["up"]:
        return int(now["up"]) - int(then["up"])
    gone = int(now["wall"]) - int(then["wall"])
    return None if gone < -AHEAD else max(0, gone)


def encode(name: str, content: dict[str, Any]) -> bytes:
    data = json.dumps({**content, "node": name}, separators=(",", ":")).encode()
    return b"%b %d %d %d\n" % (MAGIC, FORMAT, len(data), crc32(data)) + data


def decode(data: bytes, name: str | None = None) -> dict[str, Any]:
    """What a file holds, checked; `name`: the node that it has to be of."""
    head, mark, body = data[:HEAD].partition(b"\n")
    words = head.split(b" ")
    if not mark or len(words) != 4 or words[0] != MAGIC or not all(word.isdigit() for word in words[1:]):
        raise Unfit("no snapshot")
    form, length, check = (int(word) for word in words[1:])
    if form != FORMAT:
        raise Unfit(f"of format {form}, this build reads {FORMAT}")
    body = data[len(head) + 1 :]
    if len(body) != length:
        raise Unfit(f"{len(body)} bytes of {length}")
    if crc32(body) != check:
        raise Unfit("its checksum differs")
    try:
        content = json.loads(body)
        kinds = content["kinds"]
        if name is not None and content["node"] != name:
            raise Unfit(f"of node {content['node']!r}")
        clock, wanted = content["clock"], ("servers", "spent", "usual", "room", "admission")
        if not all(isinstance(kinds[kind], dict) for kind in wanted) or not {"wall", "boot", "up"} <= clock.keys():
            raise Unfit("not what a node writes")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        raise Unfit("not what a node writes") from None
    return content


def read(path: Path, most: int) -> bytes | None:
    """The file's bytes; None where there is none. One that is too large is not read into memory."""
    try:
        handle = os.open(path, os.O_RDONLY | os.O_NOFOLLOW | os.O_NONBLOCK | os.O_CLOEXEC)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise Unfit(f"cannot be read ({error.strerror})") from None
    with os.fdopen(handle, "rb") as file:
        size = os.fstat(handle).st_size
        if size > most:
            raise Unfit(f"{size} bytes, more than {most}")
        try:
            return file.read(most)
        except OSError as error:
            raise Unfit(f"cannot be read ({error.strerror})") from None


def write(path: Path, data: bytes, step: Callable[[str], None] = lambda what: None) -> None:
    """Replace the file whole; `step` hears of each step, so that a test can end the process there. Raises OSError.

    Guards against half a snapshot: the old one stays until the new one is on the disk.
    """
    new = path.with_name(path.name + ".new")
    step("open")
    handle = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
    try:
        view = memoryview(data)
        while view:
            step("write")
            view = view[os.write(handle, view[:65_536]) :]
        step("sync")
        os.fsync(handle)
    except OSError:
        os.close(handle)
        os.unlink(new)
        raise
    os.close(handle)
    step("rename")
    os.replace(new, path)
    step("end")


def set_aside(path: Path) -> None:
    """Out of the way, kept for whoever wants to see it: one, the last."""
    os.replace(path, path.with_name(path.name + ".bad"))


def lock(folder: Path, name: str) -> int | None:
    """A descriptor that holds this node's place in the folder; None: another process has it. Raises OSError."""
    handle = os.open(folder / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(handle)
        return None
    return handle


def usable(folder: Path) -> str:
    """Why a folder is none to keep snapshots in; empty where it is."""
    try:
        held = folder.stat()
    except OSError as error:
        return error.strerror or str(error)
    if not folder.is_dir():
        return "no folder"
    if held.st_uid != os.getuid():
        return "it belongs to another user"
    if held.st_mode & 0o022:
        return "others may write there"
    return "" if os.access(folder, os.W_OK | os.X_OK) else "it cannot be written to"
