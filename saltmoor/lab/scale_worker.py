"""Owns one process of hollow members on real sockets: the real control code of each, at an address of its own.

What it measures of itself comes from the process: its processor time, memory and descriptors over its members, and
how late its loop was, by which the row is void or not. It must never serve a request.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import time
from pathlib import Path
from random import Random

import msgspec

from saltmoor.config import Talking
from saltmoor.lab.book import clock
from saltmoor.lab.scale_clock import Place, way_s
from saltmoor.lab.scale_hollow import PERIOD, SUSPECT, quiet
from saltmoor.net.peers.node import Peers
from saltmoor.replica.entries import Entry

LOOK = 0.02  # seconds between two looks at the loop's lateness


class Share(msgspec.Struct):
    """What one process is to do. `names` with the site and address of each; times in microseconds."""

    cluster: str
    seeds: list[str]
    names: list[str]
    sites: list[int]
    addresses: list[tuple[str, int]]
    all_sites: dict[str, int]  # by host: how far it is
    workers: int
    rate: float
    span: int
    tail: int
    body: int


class Report(msgspec.Struct):
    given: dict[int, int]  # changes: when
    seen: dict[str, dict[int, int]]
    known_least: int
    cpu_s: float
    memory_mb: float
    descriptors: int
    udp_out: int
    udp_in: int
    packets_out: int
    packets_in: int
    tcp_out: int  # bytes without heads
    pulls: int
    state_bytes: int
    busy: int
    late_p99_ms: float
    late_worst_ms: float
    worst_packets: int  # of the member with the most, in and out
    worst_bytes: int  # theirs, without heads; no socket tells what a member's streams were


class Far:
    """Guards against a loopback that has no distances: each datagram goes out as late as its way is long."""

    def __init__(self, sock, loop: asyncio.AbstractEventLoop, site: int, sites: dict[str, int]) -> None:
        self.sock, self.loop, self.place, self.sites = sock, loop, Place.of(site), sites

    def sendto(self, data: bytes, where: tuple[str, int]) -> None:
        wait = way_s(self.place, Place.of(self.sites.get(where[0], self.place.site)))
        self.loop.call_later(wait, self.now, data, where)

    def now(self, data: bytes, where: tuple[str, int]) -> None:
        try:
            self.sock.sendto(data, where)
        except OSError:
            pass  # as good as lost on its way

    def recv(self, count: int) -> bytes:
        return self.sock.recv(count)

    def fileno(self) -> int:
        return self.sock.fileno()

    def close(self) -> None:
        self.sock.close()


class Member(Peers):
    def __init__(self, share: Share, number: int) -> None:
        (host, port), self.site = share.addresses[number], share.sites[number]
        given = Talking(
            share.cluster,
            share.names[number],
            (host, port),
            f"{host}:{port}",
            f"s{self.site}",
            "lab",
            tuple(share.seeds),
            {},
            PERIOD,
            SUSPECT,
            5_000_000,
            8 << 20,
            1 << 20,
            frozenset(("drains", "starts", "evidence", "words")),
        )
        super().__init__(given, given.name, quiet, clock)
        self.share = share

    def open(self) -> None:
        super().open()
        if self.sockets.datagrams:
            self.sockets.datagrams = Far(self.sockets.datagrams, self.loop, self.site, self.share.all_sites)

    def counts(self) -> list[int]:
        traffic = self.messenger.traffic
        return [
            traffic.sent,
            traffic.received,
            traffic.sent_bytes,
            traffic.received_bytes,
            traffic.given_bytes,
            self.schedule.pulls,
            traffic.dropped.get("busy", 0),
        ]


def memory_mb() -> float:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class Work:
    def __init__(self, share: Share, part: int) -> None:
        self.share, self.part = share, part
        self.given: dict[int, int] = {}
        self.seen: dict[str, dict[int, int]] = {name: {} for name in share.names}
        self.late: list[float] = []
        self.members: list[Member] = []

    def took(self, name: str):
        seen = self.seen[name]

        def note(item: Entry) -> None:
            if item.kind == "change":
                seen.setdefault(int(item.key), clock())

        return note

    async def whole(self) -> Report:
        share = self.share
        memory, files = memory_mb(), descriptors()
        for number in range(len(share.names)):
            member = Member(share, number)
            member.took = self.took(member.name)
            self.members.append(member)
            member.begin()
            await asyncio.sleep(2.0 / len(share.names))
        print("READY", flush=True)
        line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
        begin = int(line.split()[1])
        await asyncio.sleep(max(0, begin - clock()) / 1e6)
        gc.collect()
        gc.freeze()
        before, cpu = [one.counts() for one in self.members], time.process_time()
        known = min(len(one.members.there()) + 1 for one in self.members)
        tasks = [asyncio.create_task(self.giving(begin)), asyncio.create_task(self.look(begin + share.span))]
        await asyncio.sleep(max(0, begin + share.span - clock()) / 1e6)
        cpu = time.process_time() - cpu
        after = [one.counts() for one in self.members]
        apart = [[b - a for a, b in zip(*pair)] for pair in zip(before, after)]
        total = [sum(column) for column in zip(*apart)]
        memory, files = memory_mb() - memory, descriptors() - files
        await asyncio.gather(*tasks)
        await asyncio.sleep(share.tail / 1e6)
        state = sum(one.store.bytes for one in self.members)
        for one in self.members:
            one.end(left=False)
        late = sorted(self.late)
        return Report(
            self.given,
            self.seen,
            known,
            cpu,
            memory,
            files,
            total[2],
            total[3],
            total[0],
            total[1],
            total[4],
            total[5],
            state,
            total[6],
            late[int(len(late) * 0.99)] * 1000,
            late[-1] * 1000,
            max(one[0] + one[1] for one in apart),
            max(one[2] + one[3] for one in apart),
        )

    async def giving(self, begin: int) -> None:
        share, rng = self.share, Random(f"given {self.part}")
        count = int(share.rate * share.span / 1e6)
        for change in range(self.part, count, share.workers):
            await asyncio.sleep(max(0, begin + change / share.rate * 1e6 - clock()) / 1e6)
            member = self.members[int(rng.random() * len(self.members))]
            self.given[change] = self.seen[member.name][change] = clock()
            member.store.put(clock(), Entry.made("change", str(change), 1, change.to_bytes(share.body, "big")))

    async def look(self, end: int) -> None:
        loop = asyncio.get_running_loop()
        while clock() < end:
            due = loop.time() + LOOK
            await asyncio.sleep(LOOK)
            self.late.append(max(0.0, loop.time() - due))


def main(folder: str, part: str) -> None:
    import uvloop

    share = msgspec.json.decode((Path(folder) / f"hollow{part}.plan").read_bytes(), type=Share)

    async def run() -> Report:
        return await Work(share, int(part)).whole()

    (Path(folder) / f"hollow{part}.json").write_bytes(msgspec.json.encode(uvloop.run(run())))


if __name__ == "__main__":
    main(*sys.argv[1:])
