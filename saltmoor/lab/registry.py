"""Owns the stand-in discovery: the list in versions, watches, lateness, outages and gaps."""

from __future__ import annotations

import json
from random import Random
from urllib.parse import parse_qs, urlsplit

import httptools

from saltmoor.lab.wire import Link, Port, Wire

BEAT = 2_000_000  # while nothing changes an empty line comes so often


class Registry:
    """Discovery. Each node is told of each change at a moment of its own, in order."""

    def __init__(self, stage) -> None:
        self.stage, self.rng, self.spec = stage, Random(f"{stage.seed} discovery"), stage.scenario.discovery
        self.entries: dict[str, dict] = {}
        self.generation, self.down, self.later = 1, False, 1.0
        self.free = 0  # when the calls that came so far will be answered, where it takes one at a time
        self.views: list[dict[str, dict]] = [{} for _ in range(stage.nodes)]  # what each node could know
        self.logs: list[list[tuple[int, dict]]] = [[] for _ in range(stage.nodes)]
        self.floor = [1] * stage.nodes  # from an older version on a node gets the whole list
        self.told = [0] * stage.nodes  # when the last change reaches it
        self.watches: list[set[Watch]] = [set() for _ in range(stage.nodes)]
        links = [Link(self.rng) for _ in range(stage.nodes)]
        self.ports = [Port(stage.driver, link, self._welcome(node)) for node, link in enumerate(links)]

    def _welcome(self, node: int):
        return lambda wire: None if self.down else Watch(self, wire, node)

    def open(self) -> None:
        for port in self.ports:
            port.open()
        for node, view in enumerate(self.views):
            view.update(self.entries)

    def entry(self, server, state: str) -> dict:
        return {
            "instanceId": server.name,
            "zone": server.site,
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "machineType": "origin" if server is self.stage.origin else server.kind.name,
            "startedAtMs": server.started and (server.started + self.stage.to_unix) // 1000,
            "ports": [port.number for port in server.ports],
        }

    def change(self, server, state: str, late: int = 0) -> None:
        """A server's line changes; every node hears of it, each in its time and `late` more."""
        entry = self.entry(server, state)
        self.stage.book.note("true", self.stage.line.now, server.name, state)
        if state == "removed":
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        low, high = self.spec.late_ms
        for node in range(self.stage.nodes):
            when = self.stage.line.now + late + int(self.rng.uniform(low, high) * 1000 * self.later)
            self.told[node] = max(self.told[node], when)
            self.stage.line.at(self.told[node], self._reach, node, entry)

    def _reach(self, node: int, entry: dict) -> None:
        self.generation += 1
        self.logs[node].append((self.generation, entry))
        if entry["lifecycle"] == "removed":
            self.views[node].pop(entry["instanceId"], None)
        else:
            self.views[node][entry["instanceId"]] = entry
        for watch in list(self.watches[node]):
            watch.tell([entry], False)

    def known(self, node: int) -> dict:
        """The list as a node had it last, for its configuration."""
        return {
            "generation": self.generation,
            "reset": True,
            "instances": [self.render(entry, node) for entry in self.views[node].values()],
        }

    def render(self, entry: dict, node: int) -> dict:
        plain = {name: value for name, value in entry.items() if name != "ports"}
        return plain | {"hostPort": f"127.0.0.1:{entry['ports'][node]}"}

    def turn(self) -> int:
        """How long a call that comes now waits for its answer; -1: too many wait."""
        took, now = int(self.spec.call_ms * 1000), self.stage.line.now
        if not took:
            return 0
        if self.free - now > took * self.spec.queue:
            return -1
        self.free = max(now, self.free) + took
        return self.free - now

    def outage(self, on: bool) -> None:
        self.down = on
        for watches in self.watches if on else ():
            for watch in list(watches):
                watch.wire.reset()

    def gap(self) -> None:
        """Versions are lost: every watch ends, and who asks from an older one gets the whole list."""
        self.generation += 100
        for node in range(self.stage.nodes):
            self.logs[node].clear()
            self.floor[node] = self.generation
            for watch in list(self.watches[node]):
                watch.wire.close()


class Watch:
    """One call by one node."""

    def __init__(self, registry: Registry, wire: Wire, node: int) -> None:
        self.registry, self.wire, self.node = registry, wire, node
        self.line, self.parser, self.url = registry.stage.line, httptools.HttpRequestParser(self), b""

    def received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.wire.close()

    def ended(self) -> None:
        self.registry.watches[self.node].discard(self)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        registry = self.registry
        asked = parse_qs(urlsplit(self.url.decode("latin-1")).query)
        index = int(asked.get("index", ["0"])[0])
        self.url = b""
        if wait := registry.turn():
            if wait < 0:
                self.wire.send(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n")
                self.wire.close()
            else:
                self.line.at(self.line.now + wait, self._answer, index, "stream" in asked)
            return
        self._answer(index, "stream" in asked)

    def _answer(self, index: int, stream: bool) -> None:
        registry, node = self.registry, self.node
        if self.wire.over or registry.down:
            return
        reset = index < registry.floor[node]
        news = list(registry.views[node].values())
        if not reset:
            news = [entry for version, entry in registry.logs[node] if version > index]
        if not stream:
            self.wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        self.wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        registry.watches[node].add(self)
        self.tell(news, reset)
        self._beat()

    def tell(self, entries: list[dict], reset: bool) -> None:
        registry, book = self.registry, self.registry.stage.book
        said = {
            "generation": registry.generation,
            "reset": reset,
            "instances": [registry.render(entry, self.node) for entry in entries],
        }
        self._chunk(json.dumps(said).encode() + b"\n")
        for entry in entries:
            book.note("listed", self.line.now, self.node, entry["instanceId"], entry["lifecycle"])
        if reset:
            book.note(
                "listed", self.line.now, self.node, "", "only " + " ".join(entry["instanceId"] for entry in entries)
            )

    def _beat(self) -> None:
        if not self.wire.over:
            self._chunk(b"\n")
            self.line.at(self.line.now + BEAT, self._beat)

    def _chunk(self, data: bytes) -> None:
        self.wire.send(b"%x\r\n%b\r\n" % (len(data), data))
