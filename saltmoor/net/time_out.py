"""Ends a task whose time is over, once what had come to the sockets by then was read."""

from __future__ import annotations

import asyncio

PASSES_TO_READ = 2  # passes of the loop: one brings in what has come, the next hands it on


class TimeOut:
    """Cancels a task after some seconds, once what had come to the sockets by then was read.

    Guards against a late loop, which runs timers first: an answer that stands unread is none that did not come.
    """

    def __init__(self, seconds: float, task: asyncio.Task, passes: int = PASSES_TO_READ) -> None:
        self.task, self.loop = task, asyncio.get_running_loop()
        self.handle: asyncio.Handle = self.loop.call_later(seconds, self.due, passes)

    def due(self, passes: int) -> None:
        """So many passes of the loop are left."""
        if passes:
            self.handle = self.loop.call_soon(self.due, passes - 1)
        else:
            self.task.cancel()

    def cancel(self) -> None:
        """The task is over, or nothing is due any more.

        Guards against a task that is never freed: it keeps the error that it was cancelled with, whose traceback has
        the frame that has this.
        """
        self.handle.cancel()
        self.task = None
