"""Builds and steers the preloaded library that makes system calls of a process fail, and steps its wall clock.

The library (`shim.c`) is compiled at run time; where there is no C compiler `build` says so and its faults are left
out. A process is steered while it runs through a file that both sides map.
"""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from enum import IntEnum
from functools import cache
from pathlib import Path

ERRORS = 4  # errnos that one rule draws from at the most
HEADER = struct.Struct("<QqQQQ")  # seed, wall_ns, disk_steps, kill_step, kill_bytes
RULE = struct.Struct(f"<II{ERRORS}iQQ")  # share, short_bytes, errors, calls, struck
WHOLE = 1 << 16  # a share of 1
ALWAYS = 1.0


class Call(IntEnum):
    """The system calls that can be made to fail, in the library's order."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    SEND = 3
    RECV = 4
    WAIT = 5
    WRITE = 6
    SYNC = 7
    RENAME = 8
    OPEN = 9


class NoCompiler(Exception):
    """There is no C compiler on this machine: faults of system calls cannot be played."""


@cache
def build(folder: Path) -> Path:
    """Compile the library into that folder, once a process. Raises `NoCompiler`, or CalledProcessError."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompiler("neither cc nor gcc is on the path")
    library = folder / f"shim-{os.getpid()}.so"
    source = Path(__file__).with_name("shim.c")
    subprocess.run([compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(source), "-ldl"], check=True)
    return library


class Shim:
    """One process's faults: its environment before it starts, and its rules while it runs."""

    def __init__(self, library: Path, control: Path, seed: int = 1) -> None:
        self.library, self.control = library, control
        size = HEADER.size + RULE.size * len(Call)
        control.write_bytes(HEADER.pack(seed, 0, 0, 0, 0) + bytes(size - HEADER.size))
        with control.open("r+b") as file:
            self.page = mmap.mmap(file.fileno(), size)

    def environment(self) -> dict[str, str]:
        """What the process needs in its environment."""
        return {"LD_PRELOAD": str(self.library), "SALTMOOR_SHIM": str(self.control)}

    def fail(self, call: Call, share: float, *errors: int) -> None:
        """From now on that share of calls fails, each with one of these errnos."""
        self._rule(call, share, 0, errors)

    def shorten(self, call: Call, share: float, most: int) -> None:
        """From now on that share of calls moves at most so many bytes."""
        self._rule(call, share, most, ())

    def relieve(self, *calls: Call) -> None:
        """These calls, or all, go through again."""
        for call in calls or Call:
            self._rule(call, 0.0, 0, ())

    def _rule(self, call: Call, share: float, most: int, errors: tuple[int, ...]) -> None:
        at = HEADER.size + RULE.size * call
        padded = (*errors, *[0] * ERRORS)[:ERRORS]
        struct.pack_into("<I", self.page, at, 0)  # nothing is struck by half a rule
        struct.pack_into(f"<I{ERRORS}i", self.page, at + 4, most, *padded)
        struct.pack_into("<I", self.page, at, min(WHOLE, round(share * WHOLE)))

    def struck(self, call: Call) -> int:
        """How many calls failed or came short so far."""
        return RULE.unpack_from(self.page, HEADER.size + RULE.size * call)[-1]

    def calls(self, call: Call) -> int:
        """How often it was called so far (SEND, RECV: while it had a rule)."""
        return RULE.unpack_from(self.page, HEADER.size + RULE.size * call)[-2]

    def step_wall_clock(self, seconds: float) -> None:
        """Set the process's wall clock so far ahead of the true one (behind, where negative)."""
        struct.pack_into("<q", self.page, 8, int(seconds * 1e9))

    def disk_steps(self) -> int:
        """Opens for writing, writes, syncs and renames of files so far."""
        return HEADER.unpack_from(self.page)[2]

    def kill_at(self, step: int, written: int = 0) -> None:
        """End the process with SIGKILL at that disk step; where it is a write, after so many bytes of it."""
        struct.pack_into("<QQ", self.page, 24, step, written)

    def close(self) -> None:
        """Let go of the control page; a process that still runs keeps its own map."""
        self.page.close()
