"""Owns the seam between a running node and what its peers share: news out, news in, nothing that it needs to serve.

Whatever fails here costs what was shared, never a transaction. It must never lift a drain, warm a server, or change
what discovery has told; `replica/uses.py` says what each entry means.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from saltmoor import config, facade
from saltmoor.choice import OTHERS
from saltmoor.model import Ended, Micros, Readiness
from saltmoor.net import meta
from saltmoor.net.host import Host
from saltmoor.net.peers.node import Peers
from saltmoor.replica.borrowed_quota import WHOLE, Share
from saltmoor.replica.entries import Entry
from saltmoor.replica.fetch_leases import Decision
from saltmoor.replica.uses import Uses

STEP: Micros = 250_000
SHORTEST_LEASE: Micros = 100_000  # of a fetch


class Sharing:
    def __init__(self, service: Host, given: config.Talking) -> None:
        self.service, self.given = service, given
        clock = service.door.clock
        self.peers = peers = Peers(given, service.given.name, service.log, clock)
        peers.took, peers.step = self.took, self.step
        self.uses = Uses(
            peers.name,
            given.site,
            given.source or service.source(),
            given.use,
            peers.store,
            count=peers.process.incarnation << 20,
        )
        self.duties = None
        if service.given.duties:
            from saltmoor.net.duties import Duties  # only where it is switched on

            self.duties = Duties(peers, service.given.duties, service.log)
        self.stepped, self.kept = 0, 0
        self.quotas: list | None = None  # the node's, as its settings made them
        self.whole: list[float] = []  # what all nodes together may take of each tenant, a second
        generation = service.given.generation
        self.uses.listed.generation = generation
        for line in service.given.known:
            self.uses.listed.up[line.member.server] = generation
            self.uses.listed.starts[line.member.server] = line.member.started // 1000

    def begin(self) -> None:
        self.peers.begin()

    def end(self, left: bool) -> None:
        if self.duties and not self.peers.ended:
            self.guarded(self.duties.end)
        self.peers.end(left)

    def guarded(self, what: Callable[..., Any], *given: Any) -> Any:
        try:
            return what(*given)
        except Exception as error:
            self.service.log(f"fault in sharing: {what.__name__}: {type(error).__name__}: {error}")
            return None

    # Out.

    def news(self, lines: list[config.Line]) -> list[config.Line]:
        """What discovery has just told, as this node is to take it; the others hear of it."""
        return self.guarded(self.heed, lines) or lines

    def heed(self, lines: list[config.Line]) -> list[config.Line]:
        discovery, uses = self.service.discovery, self.uses
        generation = discovery.generation if discovery else uses.listed.generation
        uses.news(self.peers.clock(), generation, lines)
        heeded = []
        for line in lines:
            one = line.member
            if one.readiness is Readiness.READY and uses.drains(str(one.server), one.started):
                one = replace(one, readiness=Readiness.DRAINING)  # older news than what another has heard
            if (start := uses.start_of(str(one.server)) * 1000) > one.started + 999:
                one = replace(one, started=start)
            heeded.append(line if one is line.member else replace(line, member=one))
        return heeded

    def step(self, now: Micros) -> None:
        if self.duties:
            self.guarded(self.duties.tick, now)
        if now - self.stepped < STEP:
            return
        self.stepped = now
        node, discovery = self.service.door.node, self.service.discovery
        self.uses.look(now, node)
        self.uses.doubt(now, node, len(self.peers.members.sites()))
        if "shares" in self.given.use and node.place.nodes > 1:
            self.share(now, node)
        if discovery and discovery.generation > self.kept and "lists" in self.given.use:
            self.kept = discovery.generation
            self.uses.keep_list(now, self.kept, self.service.lines())

    def share(self, now: Micros, node: Any) -> None:
        """A tenant's quota goes where its requests come; the shares of all nodes together stay the whole."""
        names = self.service.given.names.tenants
        if node.quotas is not self.quotas:  # new settings
            self.quotas = node.quotas
            self.whole = [bucket[0] * node.place.nodes for bucket in node.quotas]
        for name, whole, bucket in zip(names, self.whole, node.quotas):
            share = self.share_of(name, node.place.nodes, now)
            bucket[0] = whole * share.usable(now) / WHOLE
            if bucket[1] < 1:
                self.peers.quotas.borrow(name, share.base // 4)
            elif bucket[1] > 1.9 * bucket[0] and share.borrowed:
                self.peers.quotas.give_back(name)

    def share_of(self, name: str, nodes: int, now: Micros) -> Share:
        """This node's share of that tenant's quota; a new one where the number of nodes has changed."""
        shares = self.peers.quotas.shares
        share = shares.get(name)
        if share is None or share.nodes != nodes:
            share = shares[name] = Share(nodes, now)
        return share

    # In.

    def took(self, entry: Entry) -> None:
        match entry.kind:
            case "drain" if "drains" in self.given.use:
                self.drained(entry)
            case "start" if "starts" in self.given.use:
                self.started(entry)
            case "list" if "lists" in self.given.use and entry.key == self.uses.source:
                self.listed()
            case "word" if "words" in self.given.use:
                self.word(entry)

    def change(self, server: str, **how: Any) -> None:
        """One server of the list as it stands, otherwise."""
        door = self.service.door
        door.remembered([replace(one, **how) if str(one.server) == server else one for one in door.members()])

    def known(self, name: str) -> Any:
        server = self.service.door.node.servers.get(name)
        return server if server and server.ready else None

    def drained(self, entry: Entry) -> None:
        """Rule 3 gets sooner: it is told by a peer, so it is told."""
        name, started = self.uses.server_of(entry) or ("", 0)
        server = self.known(name)
        if (
            server
            and self.service.starts.told(server.id, server.started) // 1000 == started
            and self.uses.drains(name, started * 1000)
        ):
            self.change(name, readiness=Readiness.DRAINING)
            self.uses.note("drains")

    def started(self, entry: Entry) -> None:
        """A later start than this node has heard of: the server is cold."""
        name, started = self.uses.server_of(entry) or ("", 0)
        server = self.known(name)
        if not server or started <= self.service.starts.told(server.id, server.started) // 1000:
            return
        member = next(one for one in self.service.door.members() if one.server == server.id)
        place = self.service.upstream.address.get(server.id, ("", 0))
        line = config.Line(replace(member, started=started * 1000), place)
        own = self.service.starts.own([line], whole=False)[0].member.started
        self.change(name, started=own)
        self.uses.note("starts")

    def listed(self) -> None:
        """Another has a newer list: its servers are known from now on; what takes nothing new here stays so."""
        newer = self.uses.newer_list()
        if newer is None:
            return
        generation, told = newer
        service = self.service
        servers = service.door.node.servers
        lines = []
        for one in told:
            line = config.line(config.Section(one), service.given.names)
            held = servers.get(line.member.server)
            if held and not held.ready:
                line = replace(line, member=replace(line.member, readiness=Readiness.DRAINING))
            lines.append(line)
        service.upstream.listed(lines)
        lines = service.starts.own(lines, whole=False)
        service.door.remembered(
            [
                replace(line.member, started=max(line.member.started, servers[line.member.server].started))
                if line.member.server in servers
                else line.member
                for line in lines
            ]
        )
        self.uses.listed.generation = generation
        self.uses.note("lists")
        service.log(f"replica: list of generation {generation} taken from a peer: servers={len(lines)}")

    def word(self, entry: Entry) -> None:
        what, _, name = entry.key.partition("|")
        if what == "empty" and name == self.peers.name:
            value = msgspec.msgpack.decode(entry.body)
            yes, state = self.service.say_lame(bool(value))
            self.uses.note("words")
            self.service.log(f"replica: word {entry.key}={value!r}: {state}")

    # Fetches.

    def asks(self, step: facade.Send, reply: meta.Reply) -> bool:
        """Whether this miss is one to ask the key's owner about."""
        return (
            reply.ended is Ended.MISS
            and not step.tx.write
            and not step.origin
            and step.tx.key is not None
            and reply.note != OTHERS
        )

    async def turn(self, step: facade.Send, reply: meta.Reply, done: Callable[[meta.Reply, str | None], None]) -> None:
        """Tell of the miss once it is known whether another is fetching; the wait is none of the server's time."""
        begun, answer, copy, node = self.peers.clock(), None, None, self.service.door.node
        try:
            tx = node.txs.get(step.tx.id)
            # No longer than half of what its client can bear, and than a few fetches take.
            left = max(0, tx.goal - begun) // 2 if tx else 0
            lease = max(SHORTEST_LEASE, int(4 * node.fetch))
            answer = await self.peers.fetch_leases.request(step.tx.key, lease, min(left, 2 * lease), str(step.server))
        except Exception as error:
            self.service.log(f"fault in sharing: turn: {type(error).__name__}: {error}")
        finally:
            step.since += self.peers.clock() - begun
            if answer and answer.decision is Decision.COPY:
                copy = answer.server
                self.uses.note("fetches")
            done(reply, copy)

    def purged(self, key: int) -> None:
        """Each node hears of it itself: a fetch lease that is this node's to give is void, a copy not told of any more."""
        self.guarded(self.peers.fetch_leases.void, key)

    def leased(self) -> list[int]:
        """Keys that this node has given a lease of, or told a copy of."""
        return list(self.peers.fetch_leases.granted_keys())

    def ended(self, step: facade.Send, reply: meta.Reply) -> None:
        """A hop to the origin has ended."""
        if step.tx.key is None:
            return
        if step.tx.write:
            self.guarded(self.peers.fetch_leases.written, step.tx.key)
        else:
            tx = self.service.door.node.txs.get(step.tx.id)
            missed = [hop.server.id for hop in tx.hops if hop.ended is Ended.MISS] if tx else []
            there = str(missed[-1]) if missed and reply.ended is Ended.COMMITTED else ""
            self.guarded(self.peers.fetch_leases.fetched, step.tx.key, there)
