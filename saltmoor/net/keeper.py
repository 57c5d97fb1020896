"""Owns the thread that keeps a node's snapshot on a disk, and what is read of it at the start.

The loop only hands over what was noted; encoding and the disk's time are the thread's. It must never hold up the loop,
the start or the end of a node by more than a stated moment: a slow, full or missing disk costs the snapshot.
"""

from __future__ import annotations

import asyncio
import os
import queue
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

from saltmoor.config import Keeping
from saltmoor.net.log import Log
from saltmoor.state import file, kinds

START_WAIT = 0.5  # seconds that a start waits for the file at most
END_WAIT = 0.25  # and an end for the last one to be written
FEWEST = 50  # servers: what is too large is not cut further


class Keeper:
    def __init__(self, keeping: Keeping, name: str, log: Log) -> None:
        self.keeping, self.name, self.log = keeping, name, log
        self.path = Path(keeping.folder) / f"{name}.snapshot"
        self.loop = asyncio.get_running_loop()
        self.jobs: queue.Queue[dict[str, Any] | None] = queue.Queue(maxsize=1)
        self.capture: Callable[[], dict[str, Any]] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.mode = ""  # why nothing is written at the moment
        self.skipped = 0
        self.held: int | None = None
        self.idle = threading.Event()
        self.idle.set()

    async def load(self) -> dict[str, Any] | None:
        """The snapshot of an earlier process of this node, if there is one to use; its `age` in microseconds."""
        answer: asyncio.Future[tuple[dict[str, Any] | None, str]] = self.loop.create_future()

        def put(found: dict[str, Any] | None, why: str) -> None:
            if not answer.done():
                answer.set_result((found, why))

        def work() -> None:
            found = self.find()
            try:
                self.loop.call_soon_threadsafe(put, *found)
            except RuntimeError:  # the loop has ended meanwhile
                pass

        # Not the loop's own threads: the interpreter waits for those at its end, and a hung disk may never answer.
        threading.Thread(target=work, daemon=True).start()
        try:
            async with asyncio.timeout(START_WAIT):
                found, why = await answer
        except TimeoutError:
            found, why = None, "the disk does not answer"
        if why:
            self.log(f"snapshot: not used: {why}")
        return found

    def find(self) -> tuple[dict[str, Any] | None, str]:
        try:
            if why := file.usable(Path(self.keeping.folder)):
                return None, f"{self.keeping.folder}: {why}"
            data = file.read(self.path, 4 * self.keeping.most)
            if data is None:
                return None, ""
            found = file.decode(data, self.name)
            return found | {"age": file.age(found["clock"], file.clocks())}, ""
        except file.Unfit as error:
            try:
                file.set_aside(self.path)
            except OSError as fault:
                return None, f"{error}; cannot be set aside ({fault.strerror})"
            return None, f"{error}; set aside as {self.path.name}.bad"
        except OSError as error:
            return None, error.strerror or str(error)

    def begin(self, capture: Callable[[], dict[str, Any]]) -> None:
        self.capture = capture
        threading.Thread(target=self.work, daemon=True).start()
        self.again()

    def again(self) -> None:
        self.timer = self.loop.call_later(self.keeping.every / 1_000_000, self.note)

    def note(self) -> None:
        """Once in a while: what there is to remember goes to the thread, unless the last is still being written."""
        self.again()
        self.offer()

    def offer(self) -> None:
        if not self.idle.is_set():
            self.skipped += 1
            if self.skipped == 3:
                self.say("the disk is slow")
            return
        self.skipped = 0
        try:
            noted = self.capture()
        except Exception as error:  # whatever it is, the next one may do
            self.say(f"cannot be noted: {type(error).__name__}: {error}")
            return
        self.idle.clear()
        self.jobs.put_nowait({"clock": file.clocks(), "kinds": noted})

    def end(self) -> None:
        """Write what there is now, if that is soon done."""
        if self.timer:
            self.timer.cancel()
            self.timer = None
            if self.idle.wait(END_WAIT / 2):
                self.offer()
                self.idle.wait(END_WAIT / 2)
            if self.held is not None and self.idle.is_set():  # else a write goes on, and the place stays its own
                os.close(self.held)
                self.held = None

    def say(self, why: str) -> None:
        """One line a change."""
        if why != self.mode:
            self.log(f"snapshot: {'not written: ' + why if why else 'written again'}")
            self.mode = why

    def work(self) -> None:
        """The thread's: one after the other."""
        while (job := self.jobs.get()) is not None:
            try:
                why = self.put(job)
            except OSError as error:
                why = error.strerror or str(error)
            except Exception as error:
                why = f"{type(error).__name__}: {error}"
            self.idle.set()
            try:
                self.loop.call_soon_threadsafe(self.say, why)
            except RuntimeError:
                return

    def put(self, job: dict[str, Any]) -> str:
        folder = Path(self.keeping.folder)
        if why := file.usable(folder):
            return f"{folder}: {why}"
        if self.held is None:
            # Guards against two processes with one name: in an upgrade the one before keeps it until its end.
            self.held = file.lock(folder, self.name)
            if self.held is None:
                return "another process keeps this node's"
        data = file.encode(self.name, job)
        if len(data) > self.keeping.most:
            most = max(FEWEST, len(job["kinds"]["servers"]) * self.keeping.most // (2 * len(data)))
            data = file.encode(self.name, job | {"kinds": kinds.shrink(job["kinds"], most) | {"list": None}})
        if len(data) > self.keeping.most:
            return f"{len(data)} bytes, more than {self.keeping.most}"
        file.write(self.path, data)
        return ""
