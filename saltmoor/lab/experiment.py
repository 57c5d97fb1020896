"""Owns one run of a scenario from start to end: its processes, its verdict on the bounds, or why it is void."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from saltmoor.lab import arrivals, comeback, figures, talk
from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book, clock
from saltmoor.lab.ledger import Ledger
from saltmoor.lab.nodes import Build, Keeper, Node
from saltmoor.lab.ports import kept_ports
from saltmoor.lab.soak.habits import ROUND
from saltmoor.lab.wire import HOST
from saltmoor.lab.worker import Plan

LATE = 0.1  # of the shortest service goal: where one step in a hundred of the lab came later, the run is void
HERE = Path(__file__).resolve().parents[2]


class Bound(msgspec.Struct):
    name: str
    figure: float | None
    limit: float
    least: bool
    held: bool


class Result(msgspec.Struct):
    scenario: str
    seed: int
    build: str
    figures: dict[str, Any]
    bounds: list[Bound]
    void: list[str]  # why the run measured nothing; then `figures` is empty
    breaches: list[str]
    series: dict[str, Any]
    lab: dict[str, float]  # how late the lab itself was, in milliseconds

    @property
    def held(self) -> bool:
        return not self.void and all(bound.held for bound in self.bounds)


class Broken(Exception):
    """A process of the run did not do its part."""


class Crew:
    """The processes with stand-ins and load."""

    def __init__(self, run: Path) -> None:
        self.run, self.members = run, []

    def start(self, *words: str) -> subprocess.Popen:
        errors = (self.run / f"{'-'.join(words)}.err").open("wb")
        process = subprocess.Popen(
            [sys.executable, "-B", "-m", "saltmoor.lab.worker", words[0], str(self.run), *words[1:]],
            cwd=HERE,
            env=os.environ | {"PYTHONPATH": str(HERE)},
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=errors,
            text=True,
        )
        errors.close()
        self.members.append(process)
        return process

    def ready(self, process: subprocess.Popen) -> None:
        if process.stdout.readline().strip() != "READY":
            raise Broken(self.words())

    def say(self, process: subprocess.Popen, line: str) -> None:
        try:
            process.stdin.write(line + "\n")
            process.stdin.flush()
        except BrokenPipeError:
            raise Broken(self.words()) from None

    def words(self) -> str:
        """What the processes said last."""
        said = [path.read_text()[-2000:] for path in self.run.glob("*.err")]
        return "\n".join(said) or "a process of the lab ended without a word"

    def end(self) -> None:
        for process in self.members:
            if process.poll() is None:
                process.kill()
            process.wait()


def run(
    scenario: plan.Scenario,
    seed: int,
    *,
    build: Build | None = None,
    keep: Path | None = None,
    capture: Path | None = None,
    progress: Callable[[str], None] = lambda line: None,
) -> Result:
    """Play it once on loopback. `keep`: a folder in which the books and logs stay."""
    build = build or Build("this checkout", HERE)
    with tempfile.TemporaryDirectory(prefix="saltmoor-lab-") as folder:
        place = keep or Path(folder)
        place.mkdir(parents=True, exist_ok=True)
        for old in [*place.glob("*.book"), *place.glob("*.log")]:
            old.unlink()
        return play(scenario, seed, build, place, capture, progress)


@dataclass(slots=True, frozen=True)
class Performance:
    """A run that was played to its end; its books and logs lie in its folder."""

    rows: Any  # the arrivals
    begin: int  # microseconds, on the machine's monotonic clock
    nodes: list[Node]


def play(
    scenario: plan.Scenario, seed: int, build: Build, place: Path, capture: Path | None, progress: Callable[[str], None]
) -> Result:
    played = perform(scenario, seed, build, place, capture=capture, progress=progress)
    return judge(scenario, seed, build, place, played.rows, played.begin, played.nodes)


def proxied(scenario: plan.Scenario) -> bool:
    """Whether something happens on the way between clients and nodes, so that it leads over a proxy."""
    return any(fault.on == "clients" and fault.kind in plan.ON_WAYS for fault in scenario.fault)


def perform(
    scenario: plan.Scenario,
    seed: int,
    build: Build,
    place: Path,
    *,
    capture: Path | None = None,
    progress: Callable[[str], None] = lambda line: None,
    prepare: Callable[[Node], None] = lambda node: None,
) -> Performance:
    """Play it; `prepare` sees each node before it starts. Raises `Broken` where a process of the lab fails."""
    replayed = scenario.load.replay
    rows = arrivals.replay(Path(replayed), scenario) if replayed else arrivals.draw(scenario, seed)
    arrivals.save(place / "arrivals.npz", rows, scenario)
    if capture:
        arrivals.save(capture, rows, scenario)
    book, crew = Book(), Crew(place)
    nodes = [Node(i, scenario, build, place, book, seed) for i in range(scenario.nodes.count)]
    held = kept_ports(HOST, len(nodes) if proxied(scenario) else 0)
    targets = [(HOST, node.port) for node in nodes]
    doors = [(HOST, sock.getsockname()[1]) for sock in held] or targets
    plan_file = Plan(scenario, seed, doors, f"{seed % 65536:04x}", targets)
    (place / "plan.json").write_bytes(msgspec.json.encode(plan_file))
    keeper = None
    try:
        stage = crew.start("stage")
        loads = [crew.start("load", str(i)) for i in range(scenario.load.workers)]
        if any(fault.kind == "rude" for fault in scenario.fault):
            loads.append(crew.start("rude"))
        if any(fault.kind in ROUND for fault in scenario.fault) and scenario.nodes.admin:
            loads.append(crew.start("habits"))
        links = crew.start("links") if scenario.nodes.peers else None
        proxy = crew.start("proxy") if held else None
        for process in crew.members:
            crew.ready(process)
        if links:
            for node, via in zip(nodes, json.loads((place / "links.json").read_text())):
                node.via = via
        told = json.loads((place / "stage.json").read_text())

        def known(number: int) -> dict[str, Any]:
            return json.loads((place / "known.json").read_text())[number]

        for node, discovery, list_ in zip(nodes, told["discovery"], told["known"]):
            prepare(node)
            node.configure(discovery, list_)
            node.start()
        for node in nodes:
            if not node.ready():
                raise Broken(
                    f"node {node.number} does not serve:\n" + (place / f"node{node.number}.log").read_text()[-2000:]
                )
        begin = clock() + 300_000
        for process in crew.members:
            crew.say(process, f"go {begin}")
        keeper = Keeper(nodes, scenario.fault, begin, known)
        keeper.start()
        while any(process.poll() is None for process in loads):
            time.sleep(0.25)
            gone = (clock() - begin) / 1e6
            progress(f"{scenario.name}: {max(0.0, gone):.0f} of {scenario.length_s:.0f} s")
        keeper.stop()
        if any(process.returncode for process in loads):
            raise Broken(crew.words())
        for process in (stage, links, proxy):
            if process:
                crew.say(process, "end")
                process.wait(20)
    finally:
        if keeper and keeper.is_alive():
            keeper.stop()
        for node in nodes:
            node.end()
        crew.end()
        for sock in held:
            sock.close()
    book.save(place / "nodes.book")
    return Performance(rows, begin, nodes)


def judge(scenario: plan.Scenario, seed: int, build: Build, place: Path, rows, begin: int, nodes: list[Node]) -> Result:
    """The verdict on what the books in that folder say."""
    written, void, lab = [], [], {}
    most = LATE * min(one.goal_ms for one in scenario.profile)
    for path in sorted(place.glob("*.book")):
        own = Book.read(path)
        late = figures.percentiles([max(0, row[1]) for row in own if row[0] == "late"])["p99_ms"]
        lab[path.stem] = late
        if late > most:
            what = "the stand-ins were late" if path.stem == "stage" else "the load fell behind its arrivals"
            void.append(f"{what}: {path.stem} by {late:.1f} ms, one step in a hundred")
        void += [f"node {row[2]} shares its address with {row[3] - 1} more" for row in own if row[0] == "shared"]
        written += own
    books = {path.stem for path in place.glob("*.book")}
    for name in ["stage", *(f"load{i}" for i in range(scenario.load.workers))]:
        if name not in books:
            void.append(f"{name} wrote nothing down")
    ledger = Ledger(scenario, written)
    breaches = ledger.check()
    made = figures.summary(ledger, rows, begin, [node.used() for node in nodes])
    for row in written:
        if row[0] == "rude":
            made |= {"rude_asked": row[1], "rude_turned_away": figures.share(row[2], row[1])}
    if not void and len(ledger.asked) == 0:
        void.append("nothing was asked")
    series = figures.series(ledger, rows, begin)
    made |= figures.goodput(series)
    txs = figures.transactions(ledger, rows, begin)
    goals = [ledger.profiles[tx.profile].goal_ms * 1000 for tx in txs]
    made |= comeback.figures(ledger, written, [figures.served(tx) for tx in txs], goals, rows, begin)
    made |= talk.figures(ledger, written, begin)
    if any(fault.on == "server" and fault.kind == "crash" for fault in scenario.fault):
        made["bound_s"], made["bound_in_time_8s"], _ = comeback.bound(scenario)
    return Result(
        scenario.name,
        seed,
        build.name,
        {} if void else made,
        [] if void else bounds(scenario, made),
        void,
        [str(one) for one in breaches[:50]],
        {} if void else series,
        lab,
    )


def bounds(scenario: plan.Scenario, made: dict[str, Any]) -> list[Bound]:
    result = []
    for name, bound in (plan.DEFAULT_BOUNDS | scenario.bounds).items():
        figure, least = made.get(name), bound.at_least is not None
        limit = bound.at_least if least else bound.at_most
        held = figure is not None and (figure >= limit if least else figure <= limit)
        result.append(Bound(name, figure, limit, least, held))
    return result
