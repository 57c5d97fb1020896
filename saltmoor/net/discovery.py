"""Owns the watch on the list of cache servers: one connection, its news handed on as they come.

It must never call again by itself, nor judge the list; a watch that ends or falls silent is told once, as
failed. A call that waits for its turn too long is told as silent, and goes on beside the next one for as long again.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from saltmoor import config
from saltmoor.model import ListKind, Micros
from saltmoor.net import errors, http
from saltmoor.net.buffers import Buffers, Stream, family
from saltmoor.net.log import Log
from saltmoor.net.trouble import Pauses

LONGEST = 2 << 20  # bytes of one piece of news, ten thousand servers: read, it takes many times as much memory
AGENT = 1.0  # seconds: where the list is pushed its agent is near, and answers a call at once
TURN = 0.2  # seconds more than it may be silent later: elsewhere a call has to wait for its turn, and may be refused
DEEPEST = 32  # brackets of news inside of each other; a list needs three
CONNECT = 1.0  # seconds: a connection that has not come up by then is begun anew
BEGUN = 1.0  # seconds more for news that has begun: behind it the call after it has to bring what is told after 6 s
OWN_TROUBLE_PAUSE: Micros = 100_000  # the longest between two tries to connect while that fails for our own reasons
DECODER = json.JSONDecoder()
TEXT = re.compile(rb'"(?:[^"\\]|\\.)*"')


class Pieces:
    """What a watch brings, taken apart: JSON values, and None for an empty line between two.

    Guards against a list that comes over several lines, several in one, or without an end of line: a value ends where
    its brackets do. No text of JSON holds an end of line, so whole lines are counted, each once.
    """

    def __init__(self) -> None:
        self.rest, self.held, self.depth = bytearray(), bytearray(), 0
        self.began = False  # a value has, and is not whole

    def feed(self, data: bytes) -> Iterator[object]:
        """What is whole by now; `Garbled` or ValueError where it is no JSON, or too long."""
        self.rest += data
        end = self.rest.rfind(b"\n") + 1
        if self.rest.endswith(b"}"):  # it may be whole without an end of line
            end = len(self.rest)
        lines, tail = bytes(self.rest[:end]), bytes(self.rest[end:])
        for line in lines.splitlines(keepends=True):
            bare = TEXT.sub(b"", line)
            if b'"' in bare:  # a text is not whole
                if line.endswith(b"\n"):
                    raise http.Garbled("a text without end")
                tail = line
                break
            if not self.held and not line.strip():
                yield None
                continue
            self.depth += sum(map(bare.count, b"{[")) - sum(map(bare.count, b"}]"))
            self.held += line
            if self.depth > DEEPEST:
                raise http.Garbled("nested too deeply")
            if self.depth <= 0:
                said, self.held, self.depth = self.held.decode().strip(), bytearray(), 0
                while said:
                    value, at = DECODER.raw_decode(said)
                    yield value
                    said = said[at:].lstrip()
        self.rest = bytearray(tail)
        self.began = bool(self.held or self.rest)
        if len(self.held) + len(self.rest) > LONGEST:
            raise http.Garbled("news too long")


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
    late: bool = False  # told as silent before its first answer: it keeps its turn, and another call is made beside it
    stopped_for: str = "replaced"

    def stop(self, code: str) -> None:
        self.stopped_for = code
        self.task.cancel()


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        buffers: Buffers,
        log: Log,
        *,
        names: config.Names,
        generation: int,
        pushed: bool = False,
    ) -> None:
        self.address, self.buffers, self.log = address, buffers, log
        self.names, self.generation, self.pushed = names, generation, pushed
        self.asked: tuple[Micros, Callable[[News], None]] | None = None  # how the list is to be followed
        self.running: Watch | None = None
        self.leaving: Watch | None = None  # at the address before or late, until the new one brings news

    def watch(self, silence: Micros, tell: Callable[[News], None]) -> None:
        """Start a watch in place of the one before; `tell` gets its news, the last of them that it failed.

        Guards against losing one's turn: calls are answered in turn, so one still without an answer goes on; a late
        one beside the new one, or all nodes that gave up would be answered in vain, and wait anew behind that for ever.
        """
        if self.running and not self.running.task.done() and not self.running.heard:
            if not self.running.late:
                return
            if self.leaving is None or self.leaving.task.done():
                self.leaving, self.running = self.running, None
        if self.running:  # the one that is being left goes on, until there is news from the address it is left for
            self.running.stop("replaced")
        self.begin(silence, tell)

    def begin(self, silence: Micros, tell: Callable[[News], None]) -> None:
        self.asked, self.running = (silence, tell), Watch(self.address)
        self.running.task = asyncio.create_task(self.follow(self.running, silence / 1_000_000, tell))

    def move(self, address: tuple[str, int], names: config.Names, pushed: bool = False) -> None:
        """Follow the list at another address: what was asked for goes over to it at once.

        Guards against a gap in the news while the new address answers: the old watch goes on until then.
        """
        self.names, self.pushed = names, pushed
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

    async def dial(self, address: tuple[str, int], within: float) -> Stream:
        """A connection to discovery. Raises OSError, or TimeoutError where it is not up after so many seconds.

        Trouble of our own is waited out here: such a call never came to discovery, which needs no rest from it.
        """
        pauses, told = Pauses(sys.maxsize, OWN_TROUBLE_PAUSE), False
        while True:
            call, sock = errors.Call.SOCKET, None
            try:
                sock = socket.socket(family(address[0]), socket.SOCK_STREAM)
                stream, call = Stream(sock, self.buffers), errors.Call.CONNECT
                sock = stream.sock
                async with asyncio.timeout(within):
                    await stream.loop.sock_connect(sock, address)
                return stream
            except BaseException as error:
                if sock:
                    sock.close()
                if not isinstance(error, OSError) or errors.verdict(call, error).fault is not errors.Fault.OURS:
                    raise
                if not told:
                    self.log(f"discovery: failing for a reason of our own: {error}")
                told = True
            await asyncio.sleep(pauses.next() / 1_000_000)

    async def follow(self, watch: Watch, silence: float, tell: Callable[[News], None]) -> None:
        host, port = watch.address
        code, sock, timer, began_at = "", None, None, asyncio.get_running_loop().time()
        try:
            pieces = Pieces()

            def each(data: bytes) -> None:
                for said in pieces.feed(data):
                    watch.heard += 1
                    if watch is self.leaving and watch.late and watch.address == self.address:  # its turn has come
                        self.running, self.leaving = watch, self.running
                    if watch is self.running and self.leaving:
                        self.leaving.stop("moved" if self.leaving.address != watch.address else "replaced")
                        self.leaving = None
                    if said is not None or watch.heard == 1:
                        tell(self.news({} if said is None else said))
                        if self.running and watch is not self.running and self.running.task.done():
                            # Guards against a watch that is being left and passes for the one that has failed.
                            tell(News(ListKind.FAILED, []))

            def late() -> None:
                if watch is self.running:
                    watch.late = True
                    tell(News(ListKind.SILENT, []))

            response = http.Response(65_536, each)
            path = f"/v1/servers?stream=1&index={self.generation}"
            code = "no-connection"
            stream = await self.dial((host, port), min(silence, CONNECT))
            sock, began_at = stream.sock, stream.loop.time()
            async with asyncio.timeout(min(silence, CONNECT)):
                accept = {"Accept": "application/json"}
                await stream.write(http.request("GET", path, f"{host}:{port}", accept))
            code = ""
            # Guards against losing one's turn by calling anew, and against a stream that goes on and never says
            # anything whole: only that counts as heard, and a list that has begun has a little longer. A call that has
            # said nothing at all is late by then, and ends after as long again.
            first = AGENT if self.pushed else silence + TURN
            until, latest = stream.loop.time() + first, began_at + first + BEGUN
            timer = stream.loop.call_at(until, late)
            async with asyncio.timeout_at(until + first) as patience:
                while True:
                    heard, began = watch.heard, pieces.began
                    data = await stream.read()
                    if not data or response.feed(data):
                        code = "ended" if response.status in (0, 200) else f"status-{response.status}"
                        break
                    now = stream.loop.time()
                    if watch.heard > heard:
                        until = now + silence
                        latest = until + BEGUN
                        patience.reschedule(until)
                    if pieces.began > began:
                        patience.reschedule(now + BEGUN if now > latest else max(until, min(now + silence, latest)))
                    if watch.heard or pieces.began:
                        timer.cancel()
        except TimeoutError:
            code = code or "silent"
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
            if timer:
                timer.cancel()
            self.log.ended("discovery", f"{host}:{port}", code or watch.stopped_for, news=watch.heard)
        if watch is self.running:  # one that is being left has failed nobody
            tell(News(ListKind.SILENT if code == "silent" else ListKind.FAILED, []))

    def news(self, said: object) -> News:
        top, lines = config.Section(said, "list."), []
        for entry in top.sections("instances"):
            try:
                lines.append(config.line(entry, self.names))
            except config.Faulty as error:  # one bad line does not void the others
                self.log(f"list line passed over: {error}")
        self.generation = int(top.number("generation", self.generation))
        return News(ListKind.FULL if top.flag("reset") else ListKind.CHANGES, lines)
