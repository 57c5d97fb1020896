"""Owns what stand-in cache servers and the stand-in origin share: their life, their ports, and their faults.

A fault is begun and ended by name. What a protocol says stands in `cache` and `origin`; this file must never
know one.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from zlib import crc32

from saltmoor.lab.station import Station
from saltmoor.lab.wire import Link, Peer, Port, Wire

if TYPE_CHECKING:
    from saltmoor.lab.stage import Stage

BROKEN_ANSWERS = ("reset", "cut", "garbled", "foreign", "surplus", "half-open", "hand-back")


class Slot:
    """One command's place in the order of answers on its connection."""

    __slots__ = ("answer", "first", "id", "kind", "what")

    def __init__(self, ident: str, first: int, kind: str = "") -> None:
        self.id, self.first, self.kind = ident, first, kind
        self.answer: bytes | None = None
        self.what: tuple[str, int] | None = None  # for the book: what was said, and its checksum


class Server:
    """A process that can be started, stopped and troubled."""

    def __init__(self, stage: Stage, name: str, site: str) -> None:
        self.stage, self.name, self.site, self.rng = stage, name, site, Random(f"{stage.seed} {name}")
        self.links = [Link(self.rng, stage.delay(site, node)) for node in range(stage.nodes)]
        self.ports = [Port(stage.driver, link, self._welcome(node)) for node, link in enumerate(self.links)]
        self.running, self.station, self.started = False, None, 0  # started: 0 is a long time ago
        self.spoils: list[tuple[str, float]] = []
        self.recent = ""  # an id that was answered lately
        self.hits = self.misses = self.answers = self.connected = 0
        self.pauses = 0

    def _welcome(self, node: int):
        def welcome(wire: Wire) -> Peer | None:
            self.connected += 1
            return self.conversation(wire, node) if self.running else None

        return welcome

    def conversation(self, wire: Wire, node: int) -> Peer | None:
        raise NotImplementedError

    def make_station(self, cold: bool) -> Station:
        raise NotImplementedError

    def start(self, cold: bool, elsewhere: bool = False) -> None:
        self.station, self.running = self.make_station(cold), True
        self.started = self.stage.line.now if cold else 0
        for port in self.ports:
            port.open(elsewhere)
        self.stage.book.note("life", self.stage.line.now, self.name, "up")

    def die(self) -> None:
        """The process is gone: connections reset, new ones refused, all that it held lost."""
        if not self.running:
            return
        self.running = False
        self.station.clear()
        for port in self.ports:
            port.close()
            port.reset_all()
        self.stage.book.note("life", self.stage.line.now, self.name, "down")

    def trouble(self, kind: str, *, times: float, share: float, pause: int, every: int) -> None:
        match kind:
            case "hang":
                self.station.disturb(stop=1)
            case "slow":
                self.station.disturb(slower=times)
            case "pauses":
                self.pauses += 1
                self._pause(pause, every)
            case "silence":
                for link in self.links:
                    link.silent += 1
            case "refused":
                for port in self.ports:
                    port.close()
            case _:
                self.spoils.append((kind, share))

    def relieve(self, kind: str, share: float) -> None:
        if not self.running:
            return
        match kind:
            case "hang":
                self.station.disturb(stop=-1)
            case "slow":
                self.station.disturb(slower=1.0)
            case "pauses":
                self.pauses -= 1
            case "silence":
                for link in self.links:
                    link.heal()
            case "refused":
                for port in self.ports:
                    port.open()
            case _:
                self.spoils.remove((kind, share))

    def _pause(self, length: int, every: int) -> None:
        if self.pauses and self.running:
            station, line = self.station, self.stage.line
            station.disturb(stop=1)
            line.at(line.now + length, lambda: station.disturb(stop=-1))
            line.at(line.now + length + every, self._pause, length, every)

    def spoilt_by(self, kinds: tuple[str, ...]) -> str:
        """Which of these faults strikes the present answer, if any."""
        for kind, share in self.spoils:
            if kind in kinds and self.rng.random() < share:
                return kind
        return ""


class Conversation:
    """One connection to a server: commands in, answers out in their order."""

    def __init__(self, server: Server, wire: Wire, node: int) -> None:
        self.server, self.wire, self.node = server, wire, node
        self.stage, self.line, self.book = server.stage, server.stage.line, server.stage.book
        self.slots: list[Slot] = []
        self.number = self.stage.count()
        self.deaf = False  # what comes is read past
        self.used = self.line.now

    def ended(self) -> None:
        for slot in self.slots:
            self.gone(slot)

    def gone(self, slot: Slot) -> None:
        """The connection ended before this command was answered."""

    def say(self, slot: Slot, answer: bytes, what: str, body: bytes = b"") -> None:
        """The answer to that command is ready; it goes out once those before it have."""
        slot.answer, slot.what = answer, (what, crc32(body))
        self.used = self.line.now
        while self.slots and self.slots[0].answer is not None and not self.wire.over:
            self._put(self.slots.pop(0))

    def _put(self, slot: Slot) -> None:
        server, answer = self.server, slot.answer
        kind = server.spoilt_by(BROKEN_ANSWERS)
        if not slot.id:  # the answer to a probe
            kind = ""
        if kind and kind not in ("surplus", "hand-back"):
            self.book.note("told", self.line.now, server.name, slot.id, "spoilt", 0)
        elif slot.id:
            self.book.note("told", self.line.now, server.name, slot.id, *slot.what)
            server.answers += 1
        match kind:
            case "reset" | "cut":
                self.wire.send(answer[: server.rng.randrange(len(answer))])
                self.wire.reset() if kind == "reset" else self.wire.close()
                self.deaf = True
            case "garbled":
                self.wire.send(bytes(server.rng.randrange(128, 256) for _ in range(40)) + b"\r\n")
                self.deaf = True
            case "foreign":
                self.wire.send(answer.replace(slot.id.encode(), (server.recent or "0" * 16).encode()))
            case "surplus":
                self.wire.send(answer + (answer if server.rng.random() < 0.5 else b"noise\r\n"))
            case "hand-back":  # whole, and broken off just as the other side puts the connection away
                self.wire.send(answer)
                self.line.at(self.line.now + server.rng.randrange(2000), self.wire.reset)
                self.deaf = True
            case "half-open":
                self.wire.finish()
                self.deaf = True
            case _:
                self.wire.send(answer)
                server.recent = slot.id or server.recent
