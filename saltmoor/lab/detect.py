"""Owns detectors of deaths side by side, on a scripted network: heartbeats to all, accrual, and this project's own.

All figures are simulated: no sockets, no clock but the script's. It must never be part of a node.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import erfc, log10, sqrt
from random import Random
from typing import Any

from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker
from saltmoor.peers.members import Members, News, State

PERIOD = 200_000
SUSPECT = 1_500_000
TICK = PERIOD // 4
LATENCY = 500, 3_000  # microseconds on the way


@dataclass
class Heartbeats:
    """Says that it lives to all, every period; who is silent for `suspect` is dead."""

    name: str
    names: list[str]
    accrual: bool = False
    heard_at: dict[str, int] = field(default_factory=dict)
    gaps: dict[str, list[float]] = field(default_factory=dict)
    next: int = 0

    def tick(self, now: int) -> list[tuple[str, str, Any]]:
        if now < self.next:
            return []
        self.next = now + PERIOD
        return [(name, "beat", None) for name in self.names if name != self.name]

    def heard(self, now: int, speaker: Speaker, word: str, said: Any) -> list:
        before = self.heard_at.get(speaker.name)
        self.heard_at[speaker.name] = now
        if before is not None:
            gaps = self.gaps.setdefault(speaker.name, [])
            gaps.append((now - before) / 1e6)
            del gaps[:-100]
        return []

    def gone(self, now: int) -> set[str]:
        return {name for name, at in self.heard_at.items() if self.dead(name, now - at)}

    def dead(self, name: str, silent: int) -> bool:
        if not self.accrual:
            return silent > SUSPECT + PERIOD
        # Hayashibara et al. 2004: the suspicion that a gap of such a length comes by chance, as -log10.
        gaps = self.gaps.get(name, [])
        if len(gaps) < 5:
            return silent > SUSPECT + PERIOD
        mean = sum(gaps) / len(gaps)
        spread = max(0.05, sqrt(sum((one - mean) ** 2 for one in gaps) / len(gaps)))
        chance = erfc((silent / 1e6 - mean) / spread / sqrt(2)) / 2
        return -log10(max(chance, 1e-30)) > 8


class Swim:
    def __init__(self, name: str, number: int, seeds: list[str]) -> None:
        me = News(name, 0, 1_000 + number, number, name, "", "b")
        self.core = Members(me, PERIOD, SUSPECT, seeds, number, 0)

    def tick(self, now: int) -> list[tuple[str, str, Any]]:
        return [(out.to or out.address, out.message_type, out.content) for out in self.core.tick(now)]

    def heard(self, now: int, speaker: Speaker, word: str, said: Any) -> list[tuple[str, str, Any]]:
        return [(out.to, out.message_type, out.content) for out in self.core.heard(now, now, speaker, word, said)]

    def gone(self, now: int) -> set[str]:
        return {name for name, one in self.core.others.items() if one.state >= State.DEAD}

    def there(self) -> list[str]:
        return self.core.there()


class Town:
    """So many members; `cut` holds the ways that carry nothing, `loss` the share that all others lose."""

    def __init__(self, how: str, count: int, seed: int, loss: float = 0.0) -> None:
        self.rng, self.loss, self.now, self.order = Random(f"{how} {count} {seed}"), loss, 0, 0
        names = [f"n{i}" for i in range(count)]
        self.nodes: dict[str, Any] = {
            name: Swim(name, i, names[:3]) if how == "swim" else Heartbeats(name, names, how == "accrual")
            for i, name in enumerate(names)
        }
        self.cut: set[tuple[int, int]] = set()
        self.dead: set[str] = set()
        self.paused: dict[str, int] = {}
        self.waiting: dict[str, list] = {}
        self.heap: list = []
        self.bytes = 0
        self.false = 0  # verdicts on members that lived and were not paused
        self.under_pause = 0  # verdicts on members that were paused
        self.said: set[tuple[str, str]] = set()
        self.killed, self.first_s, self.all_s = 0, 0.0, 0.0
        for i, name in enumerate(names):
            self.at(i * TICK // count, "tick", name)

    def at(self, when: int, what: str, *more: Any) -> None:
        self.order += 1
        heappush(self.heap, (when, self.order, what, more))

    @property
    def bytes_per_s(self) -> float:
        return self.bytes / len(self.nodes) / max(1e-6, self.now / 1e6)

    def send(self, name: str, outs: list) -> None:
        for to, word, said in outs:
            node = self.nodes[name]
            speaker = (
                Speaker(name, node.core.me.life, node.core.me.run, self.now)
                if isinstance(node, Swim)
                else Speaker(name, 1, 1, self.now)
            )
            self.bytes += len(frames.encode("cluster", speaker, word, said)) + 28  # and the heads of IP and UDP
            if (int(name[1:]), int(to[1:])) in self.cut or self.rng.random() < self.loss or to in self.dead:
                continue
            self.at(self.now + self.rng.randrange(*LATENCY), "word", to, speaker, word, said)

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * 1e6)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what, more = heappop(self.heap)
            name = more[0]
            if name in self.dead:
                continue
            if self.now < self.paused.get(name, 0):  # it comes when it goes on, the words that waited first
                self.at(self.paused[name], what, *more)
                continue
            node = self.nodes[name]
            if what == "tick":
                self.send(name, node.tick(self.now))
                self.at(self.now + TICK, "tick", name)
                self.judge(name, node)
            else:
                _, speaker, word, said = more
                if not (word == "ping" and said and said.to and said.to != name):
                    self.send(name, node.heard(self.now, speaker, word, said))
        self.now = end

    def judge(self, name: str, node: Any) -> None:
        for other in node.gone(self.now):
            if (name, other) in self.said:
                continue
            self.said.add((name, other))
            if other in self.dead:
                since = (self.now - self.killed) / 1e6
                self.first_s = self.first_s or since
                self.all_s = since
            elif self.paused.get(other, -(10**9)) > self.now - 2_000_000:
                self.under_pause += 1
            elif not any(int(other[1:]) in way for way in self.cut):
                self.false += 1
        self.said -= {(name, other) for seen, other in self.said if seen == name and other not in node.gone(self.now)}

    def kill(self, number: int) -> None:
        self.dead.add(f"n{number}")
        self.killed = self.now

    def pause(self, number: int, seconds: float) -> None:
        self.paused[f"n{number}"] = self.now + int(seconds * 1e6)


def row(count: int, how: str) -> str:
    calm, long = Town(how, count, 1), count < 200
    calm.run(10 if long else 3)
    rate = calm.bytes_per_s
    calm.kill(1)
    calm.run(12 if long else 6)
    told = [f"noticed {calm.first_s:.1f} to {calm.all_s:.1f} s", f"{rate / 1000:.1f} kB/s a node"]
    if long:
        lossy = Town(how, count, 2, loss=0.1)
        lossy.run(600 if count == 5 else 60)
        told.append(f"false at 10% loss {lossy.false}")
        for pause in (0.2, 1.0, 2.0, 5.0):
            slept = Town(how, count, 3)
            slept.run(5)
            slept.pause(2, pause)
            slept.run(pause + 8)
            told.append(f"pause {pause:g} s: {slept.under_pause}+{slept.false}")
        one_way = Town(how, count, 4)
        one_way.run(5)
        one_way.cut = {(0, 1)}
        one_way.run(20)
        told.append(f"one way cut: {len(one_way.nodes['n1'].gone(one_way.now))}")
    return f"| {count} | {how} | " + " | ".join(told) + " |"


def table() -> list[str]:
    """The three side by side, as docs/peers-design.md has it; one process a row."""
    from multiprocessing import Pool

    with Pool(8) as pool:
        return pool.starmap(row, [(count, how) for count in (5, 20, 200) for how in ("beats", "accrual", "swim")])


if __name__ == "__main__":
    print("\n".join(table()))
