"""Owns what two processes of one node share while the program is replaced: who else is there, and what is handed on.

One process finds the other by a datagram socket in the node's private folder; from then on they talk over a socket
pair, whose end tells that the other one has gone. It must never be needed to serve, trust a file that it finds, or
wait for the other without end.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import select
import socket
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from saltmoor.net.log import Log

LONGEST = 160_000  # bytes of one message
WITHIN = 2.0  # seconds: a process that does not answer by then is held to hang
FULL = 0.02  # seconds at most that a message may wait for room

Message = dict[str, Any]


class Sibling:
    """The other process of this node, as long as it lives. `told` gets its messages, `gone` is called once."""

    def __init__(self, pair: socket.socket, log: Log) -> None:
        self.pair, self.log = pair, log
        self.told: Callable[[Message, list[int]], None] = lambda message, fds: None
        self.gone: Callable[[], None] = lambda: None
        self.ready = False  # it has said that it takes clients
        self.shares = True  # it accepts from the same queue
        self.alive = True
        self.unsaid: Message | None = None  # waits until the other one reads again
        pair.setblocking(False)
        # Guards against a hand-over that stops at a full buffer: hundreds of connections go in one moment.
        pair.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(pair, self.hear)

    def say(self, message: Message, *fds: int) -> bool:
        """Whether the other one has it, or will."""
        return self._send(message, fds, tries=2)

    def say_at_once(self, message: Message) -> bool:
        """The same, with no wait where the other one does not read: what is said so may be lost."""
        return self._send(message, (), tries=1)

    def _send(self, message: Message, fds: Sequence[int], tries: int) -> bool:
        data = json.dumps(message).encode()
        if not self.alive or len(data) > LONGEST:
            return False
        for left in reversed(range(tries)):
            try:
                socket.send_fds(self.pair, [data], fds)
                return True
            except BlockingIOError:
                if left:
                    select.select([], [self.pair], [], FULL)
            except OSError:
                break
        return False

    def say_surely(self, message: Message) -> None:
        """Say it once the other one reads again, where it does not now; a later one takes the place of this one."""
        self.unsaid = None if self.say(message) else message
        if self.unsaid and self.alive:
            self.loop.add_writer(self.pair, self.say_again)

    def say_again(self) -> None:
        """There is room for what waits."""
        self.loop.remove_writer(self.pair)
        if self.unsaid:
            self.say_surely(self.unsaid)

    def hear(self) -> None:
        while self.alive:
            try:
                data, received, _, _ = socket.recv_fds(self.pair, LONGEST, 8)
            except BlockingIOError:
                return
            except OSError:
                data, received = b"", []
            fds = list(received)  # who is told takes out what it keeps
            if not data:
                self.end()
                return
            try:
                message = json.loads(data)
                if "ready" in message:
                    self.ready, self.shares = True, bool(message.get("shares", True))
                self.told(message, fds)
            except Exception as error:  # another version of the program may say what this one does not know
                self.log(f"sibling: not understood: {type(error).__name__}: {error}")
                for fd in fds:
                    with contextlib.suppress(OSError):
                        os.close(fd)

    def end(self) -> None:
        if self.alive:
            self.alive = False
            self.loop.remove_reader(self.pair)
            self.loop.remove_writer(self.pair)
            self.pair.close()
            self.gone()


class Meeting:
    """Where processes of one node find each other: one socket file, that of the newest process that serves."""

    def __init__(self, folder: str, listen: tuple[str, int], log: Log, met: Callable[[Sibling], None]) -> None:
        self.log, self.met = log, met
        self.name = f"saltmoor-{listen[0].replace(':', '.')}-{listen[1]}.sock"
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self.sock: socket.socket | None = None

    def path(self, name: str) -> str:
        return f"/proc/self/fd/{self.folder}/{name}"  # a socket's path may have 107 bytes, the folder's name more

    def ask(self) -> socket.socket | None:
        """This end of a pair whose other end was sent to whoever is there."""
        if not os.path.exists(self.path(self.name)):
            return None
        try:
            mine, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        except OSError:  # a machine without such sockets
            return None
        try:
            with theirs, socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as asking:
                asking.setblocking(False)
                asking.connect(self.path(self.name))
                socket.send_fds(asking, [b'{"hello": 1}'], [theirs.fileno()])
            return mine
        except OSError:  # nobody, or a file left behind
            mine.close()
            return None

    async def find(self) -> tuple[Sibling, Message, list[int]] | None:
        """The process that serves already, and its first message, which is empty where it hangs; None: nobody is there.

        Guards against two that each take the whole limits: one that hangs still holds what it holds, and may go on.
        """
        if (mine := self.ask()) is None:
            return None
        sibling, first = Sibling(mine, self.log), asyncio.get_running_loop().create_future()

        def told(message: Message, fds: list[int]) -> None:
            if not first.done():
                first.set_result((sibling, message, fds))

        sibling.told = told
        sibling.gone = lambda: first.done() or first.set_result(None)
        try:
            async with asyncio.timeout(WITHIN):
                return await first
        except TimeoutError:
            self.log("sibling: the process that serves does not answer; serving beside it, with half of the limits")
            return sibling, {}, []

    def publish(self) -> None:
        """From now on this process is the one that is found."""
        self.close()
        fresh, sock = f"{self.name}.{os.getpid()}", None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
            with contextlib.suppress(OSError):
                os.unlink(self.path(fresh))
            before = os.umask(0o077)  # none but this user's processes may write to it
            try:
                sock.bind(self.path(fresh))
            finally:
                os.umask(before)
            os.rename(self.path(fresh), self.path(self.name))
        except OSError as error:
            if sock:
                sock.close()
            with contextlib.suppress(OSError):
                os.unlink(self.path(fresh))
            self.log(f"sibling: cannot be found by a successor: {error}")
            return
        sock.setblocking(False)
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock, self.asked)

    def asked(self) -> None:
        try:
            _, fds, _, _ = socket.recv_fds(self.sock, 4096, 8)
        except OSError:
            return
        for fd in fds[1:]:
            os.close(fd)
        if fds:
            try:
                pair = socket.socket(fileno=fds[0])
            except OSError:
                os.close(fds[0])
                return
            self.met(Sibling(pair, self.log))

    def close(self) -> None:
        if self.sock:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock.close()
            self.sock = None


def folder(env_folder: str | None) -> str | None:
    """The node's private folder, where there is one that can be written to."""
    if env_folder and Path(env_folder).is_dir() and os.access(env_folder, os.W_OK):
        return env_folder
    return None
