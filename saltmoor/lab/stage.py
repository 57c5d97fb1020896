"""Owns the stand-ins of one run together: cache servers, origin, discovery in one process, and their faults.

It builds them from a scenario and a seed, carries out the schedule of faults, and samples figures. It must
never speak to a node but through their sockets.
"""

from __future__ import annotations

import time
from collections import OrderedDict
from random import Random

from msgspec import structs

from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book
from saltmoor.lab.cache import CacheServer
from saltmoor.lab.origin import Origin
from saltmoor.lab.registry import Registry
from saltmoor.lab.server import Server
from saltmoor.lab.wire import Driver

SAMPLE = 250_000
MISSED = 20_000  # transactions whose misses are remembered until their fetch comes


class Stage:
    def __init__(self, scenario: plan.Scenario, seed: int, nodes: int, book: Book, driver: Driver) -> None:
        self.scenario, self.seed, self.nodes, self.book = scenario, seed, nodes, book
        self.driver, self.line = driver, driver.line
        self.to_unix = time.time_ns() // 1000 - driver.clock()
        self.rng, self.numbers, self.made = Random(f"{seed} stage"), 0, 0
        self.windows = {one.name.encode(): int(one.window_ms * 1000) for one in scenario.profile}
        self.journal: dict[str, tuple[int, bytes]] = {}
        self.missed: OrderedDict[str, list[CacheServer]] = OrderedDict()
        self.probes: dict[str, int] = {}
        self.sites = scenario.fleet.sites
        self.origin = Origin(self)
        self.caches: list[CacheServer] = []
        self.registry = Registry(self)
        for _ in range(scenario.fleet.servers):
            self.add(cold=False, listed=True)

    def open(self) -> None:
        self.origin.start(cold=False)
        for server in self.caches:
            server.start(cold=False)
        for server in [self.origin, *self.caches]:
            self.registry.entries[server.name] = self.registry.entry(server, "up")
        self.registry.open()

    def warm(self, keys: list[bytes], sizes: list[int]) -> None:
        """Copies that were there before the run, oldest first: each key at the servers in turn."""
        if self.scenario.fleet.start == "warm":
            for server in self.caches:
                for key, size in zip(keys, sizes):
                    server.keep(key, (0, size))

    def site_of(self, node: int) -> str:
        return self.sites[node % len(self.sites)]

    def delay(self, site: str, node: int) -> int:
        """One way, in microseconds."""
        return 0 if site == self.site_of(node) else int(self.scenario.fleet.site_delay_ms * 1000)

    def count(self) -> int:
        self.numbers += 1
        return self.numbers

    def add(self, cold: bool, listed: bool) -> CacheServer:
        kind, site = plan.servers(self.scenario, self.made)
        server = CacheServer(self, f"s{self.made}", site, kind)
        self.made += 1
        self.caches.append(server)
        if not listed:
            server.start(cold)
            self.registry.change(server, "up")
        return server

    # What servers ask of the whole.

    def note_miss(self, ident: str, server: CacheServer) -> None:
        if len(servers := self.missed.setdefault(ident, [])) < 2:
            servers.append(server)
        while len(self.missed) > MISSED:
            self.missed.popitem(last=False)

    def stored(self, ident: str, key: bytes, copy: tuple[int, int]) -> None:
        """The origin has answered a read: its value goes where the transaction missed."""
        for server in self.missed.pop(ident, ()):
            if server.running:
                server.keep(key, copy)

    def void(self, key: bytes) -> None:
        for server in self.caches:
            server.copies.void(key)

    def vanished(self, server: Server) -> None:
        """It went without a word: the list shows it only later."""
        self.registry.change(server, "removed", int(self.scenario.discovery.silent_late_ms * 1000))

    # Faults.

    def schedule(self, begin: int) -> None:
        """Put the whole schedule into the timeline; `begin` is the run's first moment."""
        for number, fault in enumerate(self.scenario.fault):
            self.line.at(begin + int(fault.at_s * 1e6), self._strike, number, fault)
        self.line.at(begin, self._sample)

    def struck(self, number: int, fault: plan.Fault) -> list[CacheServer]:
        """Which cache servers a fault strikes, the same with the same seed."""
        if fault.which:
            return [self.caches[one] for one in fault.which if self.caches[one].running]
        running = [server for server in self.caches if server.running]
        count = min(len(running), max(1, round(fault.part * len(running)))) if fault.part else 1
        return Random(f"{self.seed} fault {number}").sample(running, count)

    def _strike(self, number: int, fault: plan.Fault) -> None:
        self.book.note("mark", self.line.now, f"{fault.on} {fault.kind}")
        ends = fault.for_s and self.line.now + int(fault.for_s * 1e6)
        if ends:
            self.line.at(ends, self.book.note, "mark", ends, f"{fault.on} {fault.kind} ends")
        match fault.on:
            case "server":
                self._strike_servers(self.struck(number, fault), fault, ends)
            case "origin":
                self._strike_one(self.origin, fault, ends)
            case "link":
                self._strike_links(fault, ends)
            case "discovery":
                self._strike_discovery(fault, ends)

    def _strike_servers(self, servers: list[CacheServer], fault: plan.Fault, ends: int) -> None:
        if fault.kind == "grow":
            for _ in range(fault.count):
                self.add(cold=True, listed=False)
        elif fault.kind == "deploy":
            self._deploy(servers, fault)
        else:
            for server in servers:
                self._strike_one(server, fault, ends)

    def _strike_one(self, server: Server, fault: plan.Fault, ends: int) -> None:
        match fault.kind:
            case "crash":
                server.die()
                if ends:
                    self.line.at(ends, self._back, server, fault)
                if server is not self.origin:
                    if not ends or fault.new_id:
                        self.vanished(server)
            case "drain" | "shrink" | "replace":
                self.registry.change(server, "draining")
                stay = int((fault.ms or 4000) * 1000)
                self.line.at(self.line.now + stay, self._leave, server, fault.kind == "replace", fault)
            case _:
                server.trouble(
                    fault.kind,
                    times=fault.times,
                    share=fault.share,
                    pause=int(fault.ms * 1000),
                    every=int(fault.every_s * 1e6),
                )
                if ends:
                    self.line.at(ends, server.relieve, fault.kind, fault.share)

    def _back(self, server: Server, fault: plan.Fault) -> None:
        """A process that died is there again, cold, under its id or a new one."""
        if fault.new_id and server is not self.origin:
            self.add(cold=True, listed=False)
            return
        server.start(cold=server is not self.origin, elsewhere=fault.new_address)
        if server is not self.origin:
            self.registry.change(server, "up")

    def _leave(self, server: CacheServer, replaced: bool, fault: plan.Fault) -> None:
        if not server.running:
            return
        server.die()
        self.registry.change(server, "removed")
        if replaced:
            self.add(cold=True, listed=False)

    def _deploy(self, servers: list[CacheServer], fault: plan.Fault) -> None:
        """A rolling deploy: batch after batch drains, ends, and is replaced by new ones."""
        for i in range(0, len(servers), fault.batch):
            when = self.line.now + int(i // fault.batch * fault.every_s * 1e6)
            for server in servers[i : i + fault.batch]:
                self.line.at(when, self._strike_one, server, structs.replace(fault, kind="replace"), 0)

    def _strike_links(self, fault: plan.Fault, ends: int) -> None:
        for server in [self.origin, *self.caches]:
            for node, link in enumerate(server.links):
                pair = {server.site, self.site_of(node)}
                if fault.sites and pair != set(fault.sites):
                    continue
                match fault.kind:
                    case "delay":
                        link.delay += int(fault.ms * 1000)
                    case "loss":
                        link.loss = fault.share
                    case _:
                        link.silent += 1
                if ends:
                    self.line.at(ends, link.mend, fault.kind, int(fault.ms * 1000))

    def _strike_discovery(self, fault: plan.Fault, ends: int) -> None:
        match fault.kind:
            case "outage":
                self.registry.outage(True)
                if ends:
                    self.line.at(ends, self.registry.outage, False)
            case "late":
                self.registry.later = fault.times
                if ends:
                    self.line.at(ends, setattr, self.registry, "later", 1.0)
            case "gap":
                self.registry.gap()

    def _sample(self) -> None:
        up = [server for server in self.caches if server.running]
        held = [server.station.held for server in up] or [0]
        self.book.note(
            "sample",
            self.line.now,
            {
                "servers": len(up),
                "held_most": max(held),
                "held_mean": sum(held) / len(held),
                "origin_held": self.origin.station.held,
                "origin_most": self.origin.most(),
                "origin_busy": self.origin.station.busy,
                "twins_most": self.origin.twins,
                "fetches": sum(self.origin.fetches.values()),
                "hits": sum(server.hits for server in self.caches),
                "misses": sum(server.misses for server in self.caches),
                "probes": sum(self.probes.values()),
                "connected": sum(server.connected for server in self.caches),
                "busy": sum(server.station.busy for server in up),
            },
        )
        self.line.at(self.line.now + SAMPLE, self._sample)
