"""Owns the stand-in cache server's side of the meta commands, and what it keeps.

Written from the protocol's page, not from the node's parser, so that a fault there is not hidden here.
"""

from __future__ import annotations

from saltmoor.lab.lru import Lru
from saltmoor.lab.scenario import Kind
from saltmoor.lab.server import Conversation, Server, Slot
from saltmoor.lab.station import Job, Station, Warming
from saltmoor.lab.wire import Wire

ITEM = 60  # bytes that an item takes beside its value


class CacheServer(Server):
    def __init__(self, stage, name: str, site: str, kind: Kind) -> None:
        super().__init__(stage, name, site)
        self.kind, fleet = kind, stage.scenario.fleet
        self.fleet, self.open = fleet, 0
        self.copies: Lru[tuple[int, int]] = Lru(int(kind.memory_kb * 1024), int(fleet.item_s * 1e6))
        self.report: dict[str, float] = {}
        self.seen = 0  # answers when the last report was made

    def make_station(self, cold: bool) -> Station:
        kind, rule = self.kind, self.stage.scenario.cold
        profiles = self.stage.scenario.profile
        mean = sum(one.share * one.work_ms for one in profiles) / sum(one.share for one in profiles) * 1000
        warming = Warming(
            rule.share,
            int(rule.warm_s * 1e6),
            rule.by == "work",
            rule.multiple,
            int(rule.window_s * 1e6),
            mean * rule.calls,
        )
        return Station(
            self.stage.line,
            cores=kind.cores,
            speed=kind.speed,
            slots=kind.slots,
            room=kind.room,
            thrash=kind.thrash,
            thrash_at=kind.thrash_at,
            warming=warming,
            cold=cold,
            fell=self.fell,
        )

    def fell(self) -> None:
        """More than it can do at that moment, for too long: it goes down and stays down."""
        self.stage.book.note("life", self.stage.line.now, self.name, "fell")
        self.die()
        self.stage.vanished(self)

    def start(self, cold: bool, elsewhere: bool = False) -> None:
        if cold:
            self.copies.items.clear()
            self.copies.used = 0
        self.open = 0
        super().start(cold, elsewhere)
        self._refresh()

    def keep(self, key: bytes, copy: tuple[int, int]) -> None:
        """A copy is its version and its bytes."""
        self.copies.put(key, copy, copy[1] + ITEM, self.stage.line.now)

    def _refresh(self) -> None:
        """Reports are made now and then, and are old when they can be read."""
        if not self.running:
            return
        line, refresh = self.stage.line, int(self.fleet.refresh_ms * 1000)
        noise = 1 + self.rng.uniform(-self.fleet.noise, self.fleet.noise)
        made = {
            "queue": len(self.station.waiting) * noise,
            "inflight": self.station.held * noise,
            "qps": (self.answers - self.seen) * 1e6 / refresh * noise,
        }
        self.seen = self.answers
        line.at(line.now + int(self.fleet.late_ms * 1000), lambda: setattr(self, "report", made))
        line.at(line.now + refresh, self._refresh)

    def conversation(self, wire: Wire, node: int) -> Talk | None:
        if self.open >= self.fleet.connections:
            return None
        self.open += 1
        return Talk(self, wire, node)


class Talk(Conversation):
    """One node's connection to a cache server."""

    server: CacheServer

    def __init__(self, server: CacheServer, wire: Wire, node: int) -> None:
        super().__init__(server, wire, node)
        self.held, self.first = bytearray(), 0
        self.handshake = server.fleet.handshake_ms * 1000  # paid with the first command
        self.jobs: dict[Slot, Job] = {}
        self._watch()

    def _watch(self) -> None:
        """Close what stands idle."""
        if self.wire.over:
            return
        due = self.used + int(self.server.fleet.idle_s * 1e6)
        if due <= self.line.now and not self.slots:
            self.wire.close()
        else:
            self.line.at(max(due, self.line.now + 100_000), self._watch)

    def received(self, data: bytes) -> None:
        if self.deaf:
            return
        self.first = self.first or self.line.now
        self.held += data
        while not self.deaf and self._take():
            self.first = self.line.now if self.held else 0

    def ended(self) -> None:
        super().ended()
        self.server.open -= 1

    def gone(self, slot: Slot) -> None:
        if self.server.fleet.drops_gone and (job := self.jobs.get(slot)):
            job.wanted = False

    def _take(self) -> bool:
        """Take one whole command off what has come."""
        end = self.held.find(b"\r\n")
        if end < 0:
            return False
        line = bytes(self.held[:end])
        words = line.split(b" ")
        if words[0] != b"ms":
            del self.held[: end + 2]
            self._command(line, words, b"")
            return True
        length = int(words[2]) if len(words) > 3 and words[2].isdigit() else -1
        if length < 0:
            self._bad(line)
            return False
        if len(self.held) < end + 2 + length + 2:
            return False
        value, tail = bytes(self.held[end + 2 : end + 2 + length]), self.held[end + 2 + length : end + 4 + length]
        del self.held[: end + 4 + length]
        if tail != b"\r\n":
            self._bad(line)
            return False
        self._command(line, words, value)
        return True

    def _bad(self, line: bytes) -> None:
        self.book.note("bad", self.line.now, self.server.name, self.node, line[:80].decode("latin-1"))
        self.deaf = True
        self.wire.send(b"CLIENT_ERROR bad command\r\n")
        self.wire.close()

    def _command(self, line: bytes, words: list[bytes], value: bytes) -> None:
        server = self.server
        if line in (b"mn", b"stats load"):
            slot = Slot("", self.first)
            self.slots.append(slot)
            server.station.offer(server.fleet.probe_ms * 1000, lambda: self._probed(slot, line), beside=True)
            self.stage.probes[server.name] = self.stage.probes.get(server.name, 0) + 1
            return
        write = words[0] == b"ms"
        flags = words[3:] if write else words[2:]
        ids = [flag[1:] for flag in flags if flag[:1] == b"O"]
        lists = [flag[1:] for flag in flags if flag[:1] == b"P"]
        if words[0] not in (b"mg", b"ms") or len(ids) != 1 or len(lists) != 1 or not words[1]:
            self._bad(line)
            return
        pairs = dict(pair.split(b"=", 1) for pair in lists[0].split(b",") if b"=" in pair)
        ident, key, mark = ids[0].decode("latin-1"), words[1], pairs.get(b"k", b"").decode("latin-1")
        slot = Slot(ident, self.first, "write" if write else "read")
        self.slots.append(slot)
        self.book.note(
            "got",
            slot.first,
            self.line.now,
            server.name,
            self.node,
            ident,
            words[0].decode(),
            key.decode("latin-1"),
            mark,
            self.number,
            int(pairs.get(b"d", b"0")) * 1000,
        )
        kind = server.spoilt_by(("errors", "full"))
        if kind == "errors" or server.rng.random() < server.kind.error_rate:
            self.say(slot, b"SERVER_ERROR failed\r\n", "failed")
            return
        work = float(pairs.get(b"w", b"1000"))
        hit = not write and server.copies.get(key, self.line.now) is not None
        work = work if hit or write and server.fleet.mode == "through" else work * server.fleet.miss_work
        job = None
        if kind != "full" and len(self.slots) <= server.fleet.streams:
            job = server.station.offer(work + self.handshake, lambda: self._done(slot, key, hit, write, pairs))
        self.handshake = 0
        if job is None:
            self.say(slot, b"SERVER_ERROR busy\r\n", "busy")
        else:
            self.jobs[slot] = job

    def _probed(self, slot: Slot, line: bytes) -> None:
        if line == b"mn":
            self.say(slot, b"MN\r\n", "probe")
            return
        said = self.server.report
        lines = [f"STAT {name} {said.get(name, 0.0):.2f}\r\n" for name in self.server.fleet.report]
        self.say(slot, ("".join(lines) + "END\r\n").encode(), "probe")

    def _done(self, slot: Slot, key: bytes, hit: bool, write: bool, pairs: dict[bytes, bytes]) -> None:
        """The work is done; where the request asks for it, its answer comes some milliseconds (`y`) later."""
        self.jobs.pop(slot, None)
        if b"y" in pairs:
            at = self.line.now + int(pairs[b"y"]) * 1000
            self.line.at(at, lambda: slot in self.slots and self._tell(slot, key, hit, write, pairs))
        else:
            self._tell(slot, key, hit, write, pairs)

    def _tell(self, slot: Slot, key: bytes, hit: bool, write: bool, pairs: dict[bytes, bytes]) -> None:
        server = self.server
        copy = server.copies.get(key, self.line.now) if hit else None
        if copy is not None:
            server.hits += 1
            self._value(slot, key, copy, b"h1")
        elif server.fleet.mode == "through":
            server.misses += not write
            self.stage.origin.pass_on(
                server, slot.id, key, write, pairs, lambda how, what: self._passed(slot, key, write, how, what)
            )
        else:
            server.misses += not write
            other = self.stage.origin.fetching.get(key, 0) > 0
            if not write:
                self.stage.note_miss(slot.id, server)
            flags = b"" if write else b" h0 Z" if other else b" h0"
            self.say(slot, b"EN O%b%b\r\n" % (slot.id.encode(), flags), "miss")

    def _passed(self, slot: Slot, key: bytes, write: bool, how: str, what) -> None:
        """Through: what the origin said."""
        if how != "done":
            self.say(slot, b"SERVER_ERROR failed\r\n", "failed")
        elif write:
            self.say(slot, b"HD O%b c%b\r\n" % (slot.id.encode(), what), "receipt", what)
        else:
            self._value(slot, key, what, b"h0")

    def _value(self, slot: Slot, key: bytes, copy: tuple[int, int], flag: bytes) -> None:
        version, size = copy
        body = b"%b %b %b v%d " % (slot.id.encode(), self.server.name.encode(), key, version)
        body = body.ljust(size, b".")
        head = b"VA %d O%b %b\r\n" % (len(body), slot.id.encode(), flag)
        self.say(slot, head + body + b"\r\n", "value", body)
