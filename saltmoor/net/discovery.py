"""Owns the watch on the list of cache servers: one connection, its news handed on as they come.

It must never call again by itself, nor judge the list; a watch that ends or falls silent is told once, as
failed.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass

from saltmoor import config
from saltmoor.model import ListKind, Micros
from saltmoor.net import http
from saltmoor.net.buffers import Buffers, Stream, family
from saltmoor.net.log import Log

LONGEST = 2 << 20  # bytes of one line of news, ten thousand servers: read, it takes many times as much memory


@dataclass(slots=True, frozen=True)
class News:
    kind: ListKind
    lines: list[config.Line]


@dataclass(slots=True, eq=False)
class Watch:
    """One call to discovery."""

    address: tuple[str, int]
    task: asyncio.Task | None = None
    heard: int = 0  # lines that it brought
    stopped_for: str = "replaced"

    def stop(self, code: str) -> None:
        self.stopped_for = code
        self.task.cancel()


class Discovery:
    def __init__(self, address: tuple[str, int], buffers: Buffers, log: Log, *, names: config.Names,
                 generation: int) -> None:
        self.address, self.buffers, self.log = address, buffers, log
        self.names, self.generation = names, generation
        self.asked: tuple[Micros, Callable[[News], None]] | None = None  # how the list is to be followed
        self.running: Watch | None = None
        self.leaving: Watch | None = None  # at the address before, until the new one brings news

    def watch(self, silence: Micros, tell: Callable[[News], None]) -> None:
        """Start a watch in place of the one before; `tell` gets its news, the last of them that it failed.

        Guards against losing one's turn: calls are answered in turn, so one still without an answer goes on.
        """
        if self.running and not self.running.task.done() and not self.running.heard:
            return
        self.stop("replaced")
        self.begin(silence, tell)

    def begin(self, silence: Micros, tell: Callable[[News], None]) -> None:
        self.asked, self.running = (silence, tell), Watch(self.address)
        self.running.task = asyncio.create_task(self.follow(self.running, silence / 1_000_000, tell))

    def move(self, address: tuple[str, int], names: config.Names) -> None:
        """Follow the list at another address: what was asked for goes over to it at once.

        Guards against a gap in the news while the new address answers: the old watch goes on until then.
        """
        self.names = names
        if address != self.address:
            self.address = address
            if self.leaving:
                self.leaving.stop("moved")
            self.leaving = self.running
            if self.asked:
                self.begin(*self.asked)

    def stop(self, code: str) -> None:
        for watch in (self.running, self.leaving):
            if watch:
                watch.stop(code)
        self.running = self.leaving = None

    async def follow(self, watch: Watch, silence: float, tell: Callable[[News], None]) -> None:
        host, port = watch.address
        code, sock = "", None
        try:
            sock = socket.socket(family(host), socket.SOCK_STREAM)
            stream, held = Stream(sock, self.buffers), bytearray()

            def each(data: bytes) -> None:
                held.extend(data)
                while (end := held.find(b"\n")) >= 0:
                    line = bytes(held[:end]).strip()
                    del held[:end + 1]
                    watch.heard += 1
                    if watch is self.running and self.leaving:
                        self.leaving.stop("moved")
                        self.leaving = None
                    if line or watch.heard == 1:
                        tell(self.news(json.loads(line or b"{}")))
                if len(held) > LONGEST:
                    raise http.Garbled("line too long")

            response = http.Response(65_536, each)
            path = f"/v1/servers?stream=1&index={self.generation}"
            async with asyncio.timeout(silence):
                await stream.loop.sock_connect(sock, (host, port))
                accept = {"Accept": "application/json"}
                await stream.write(http.request("GET", path, f"{host}:{port}", accept))
            while True:
                async with asyncio.timeout(silence):
                    data = await stream.read()
                if not data or response.feed(data):
                    code = "ended" if response.status in (0, 200) else f"status-{response.status}"
                    break
        except TimeoutError:
            code = "silent"
        except OSError:
            code = "reset"
        except (http.Garbled, ValueError, config.Faulty) as error:
            code = "garbled"
            self.log(f"garbled list: {error}")
        except Exception as error:  # whatever it is: a watch that ends untold would never be renewed
            code = "internal"
            self.log(f"fault in the list: {type(error).__name__}: {error}")
        finally:
            if sock:
                sock.close()
            self.log.ended("discovery", f"{host}:{port}", code or watch.stopped_for, news=watch.heard)
        if watch is self.running:  # one that is being left has failed nobody
            tell(News(ListKind.FAILED, []))

    def news(self, said: object) -> News:
        top, lines = config.Section(said, "list."), []
        for entry in top.sections("instances"):
            try:
                lines.append(config.line(entry, self.names))
            except config.Faulty as error:  # one bad line does not void the others
                self.log(f"list line passed over: {error}")
        self.generation = int(top.number("generation", self.generation))
        return News(ListKind.FULL if top.flag("reset") else ListKind.CHANGES, lines)
