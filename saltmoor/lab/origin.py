"""Owns the stand-in origin: HTTP, a capacity, fetches counted by key, effects, the store at who missed."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from math import log, sqrt
from urllib.parse import unquote

import httptools

from saltmoor.lab.server import Conversation, Server, Slot
from saltmoor.lab.station import Station
from saltmoor.lab.wire import Wire


class Origin(Server):
    def __init__(self, stage) -> None:
        super().__init__(stage, "origin", stage.scenario.fleet.sites[0])
        self.spec = stage.scenario.origin
        self.versions: dict[bytes, int] = {}
        self.fetches: Counter[bytes] = Counter()
        self.fetching: Counter[bytes] = Counter()
        self.writes = self.held_most = self.twins = 0  # twins: fetches of one key that were out at once
        self.offered: deque[tuple[int, float]] = deque()
        self.offered_sum = 0.0
        self.joined: dict[tuple[str, bytes], list[Callable]] = {}  # through: reads of one key at one server

    def make_station(self, cold: bool) -> Station:
        spec = self.spec
        return Station(self.stage.line, cores=spec.cores, slots=spec.cores, room=spec.room)

    def conversation(self, wire: Wire, node: int) -> OriginTalk:
        return OriginTalk(self, wire, node)

    def work(self, write: bool) -> float:
        """Of one exchange; lognormal."""
        mean = self.spec.work_ms * 1000 * (self.spec.write if write else 1.0)
        sigma = sqrt(log(1 + self.spec.cv**2))
        return mean * self.rng.lognormvariate(-sigma * sigma / 2, sigma) if sigma else mean

    def take(
        self, ident: str, key: bytes, write: bool, pairs: dict[bytes, bytes], done: Callable[[str, object], None]
    ) -> None:
        """Do one read or write; `done` hears 'done' with a copy or receipt, or 'busy'."""
        work = self.work(write)
        self._offered(work)
        if not self.running:
            return

        came = self.stage.line.now

        def ended() -> None:
            if write:
                done("done", self.effect(ident, key, pairs, came))
                return
            self.fetching[key] -= 1
            copy = (self.versions.get(key, 0), int(pairs.get(b"z", b"100")))
            self.stage.stored(ident, key, copy)
            done("done", copy)

        if self.station.offer(work, ended) is None:
            done("busy", None)
        elif not write:
            self.fetches[key] += 1
            self.fetching[key] += 1
            self.twins = max(self.twins, self.fetching[key])
        self.held_most = max(self.held_most, self.station.held)

    def most(self) -> int:
        """What it held at most since it was last asked this."""
        most, self.held_most = max(self.held_most, self.station.held), 0
        return most

    def effect(self, ident: str, key: bytes, pairs: dict[bytes, bytes], came: int) -> bytes:
        """A write happens, unless it is a journalled one that is still remembered: by when both came, however long
        either waited here for its turn."""
        now, mark = self.stage.line.now, pairs.get(b"k", b"").decode("latin-1")
        window = self.stage.windows.get(pairs.get(b"c", b""), 0)
        remembered = self.stage.journal.get(mark) if mark else None
        if remembered and came < remembered[0] + window:
            return remembered[1]
        self.writes += 1
        receipt = b"r%d" % self.writes
        self.stage.journal[mark or ident] = (came, receipt)
        self.versions[key] = self.versions.get(key, 0) + 1
        self.stage.void(key)
        self.stage.book.note("ran", now, self.name, ident, mark, key.decode("latin-1"))
        return receipt

    def pass_on(
        self,
        server: Server,
        ident: str,
        key: bytes,
        write: bool,
        pairs: dict[bytes, bytes],
        done: Callable[[str, object], None],
    ) -> None:
        """From a cache server that fetches for itself; reads of one key there share a fetch."""
        if write:
            self.take(ident, key, True, pairs, done)
            return
        place = (server.name, key)
        if place in self.joined:
            self.joined[place].append(done)
            return
        self.joined[place] = [done]

        def ended(how: str, copy) -> None:
            if how == "done":
                server.keep(key, copy)
            for each in self.joined.pop(place):
                each(how, copy)

        self.take(ident, key, False, pairs, ended)

    def _offered(self, work: float) -> None:
        if not self.spec.fall_multiple or not self.running:
            return
        now = self.stage.line.now
        self.offered.append((now, work))
        self.offered_sum += work
        while self.offered[0][0] <= now - 1_000_000:
            self.offered_sum -= self.offered.popleft()[1]
        if self.offered_sum > self.spec.fall_multiple * self.spec.cores * 1e6:
            self.stage.book.note("mark", now, "the origin falls")
            self.offered.clear()
            self.offered_sum = 0.0
            self.die()
            self.stage.line.at(now + int(self.spec.down_s * 1e6), self.start, False)

    def die(self) -> None:
        super().die()
        self.fetching.clear()
        joined, self.joined = self.joined, {}
        for waiters in joined.values():
            for each in waiters:
                each("failed", None)


class OriginTalk(Conversation):
    """One node's connection to the origin."""

    server: Origin

    def __init__(self, server: Origin, wire: Wire, node: int) -> None:
        super().__init__(server, wire, node)
        self.parser, self.first = httptools.HttpRequestParser(self), 0
        self.path, self.body, self.headers = b"", b"", {}

    def received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.first = self.first or self.line.now
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.book.note("bad", self.line.now, self.server.name, self.node, data[:80].decode("latin-1"))
            self.wire.close()

    def on_message_begin(self) -> None:
        self.path, self.body, self.headers = b"", b"", {}

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        server, method, first = self.server, self.parser.get_method(), self.first
        self.first = 0
        if self.path in (b"/healthz", b"/load"):
            slot = Slot("", first)
            self.slots.append(slot)
            self._answer(slot, 200, b"", "probe")
            return
        ident = self.headers.get("x-request-id", "")
        listed = self.headers.get("x-attrs", "").encode("latin-1")
        pairs = dict(pair.split(b"=", 1) for pair in listed.split(b",") if b"=" in pair)
        key, write = unquote(self.path[1:].decode("latin-1")).encode("latin-1"), method == b"PUT"
        if not ident or method not in (b"GET", b"PUT"):
            self.book.note("bad", self.line.now, server.name, self.node, repr((method, self.path))[:80])
            self.wire.close()
            return
        slot = Slot(ident, first, "write" if write else "read")
        self.slots.append(slot)
        self.book.note(
            "got",
            first,
            self.line.now,
            server.name,
            self.node,
            ident,
            method.decode(),
            key.decode("latin-1"),
            pairs.get(b"k", b"").decode("latin-1"),
            self.number,
            int(pairs.get(b"d", b"0")) * 1000,
        )
        kind = server.spoilt_by(("errors", "full"))
        if kind == "errors":
            self._answer(slot, 500, b"", "failed")
        elif kind == "full":
            self._answer(slot, 503, b"", "busy")
        else:
            server.take(ident, key, write, pairs, lambda how, what: self._done(slot, key, write, how, what))

    def _done(self, slot: Slot, key: bytes, write: bool, how: str, what) -> None:
        if how == "busy":
            self._answer(slot, 503, b"", "busy")
        elif write:
            self._answer(slot, 200, what, "receipt")
        else:
            version, size = what
            body = (b"%b origin %b v%d " % (slot.id.encode(), key, version)).ljust(size, b".")
            self._answer(slot, 200, body, "value")

    def _answer(self, slot: Slot, status: int, body: bytes, what: str) -> None:
        more = b"X-Not-Processed: 1\r\n" if status == 503 else b""
        head = b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n%b\r\n" % (status, len(body), more)
        self.say(slot, head + body, what, body)
