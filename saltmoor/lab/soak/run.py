"""Plays soaks: one seed after the other or several at once, each judged, a failure written down on a page of its own.

Ends by itself: a run has a stated length, its processes are ended with it. Nothing outside its folder is touched.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from saltmoor.lab import experiment, figures
from saltmoor.lab.book import Book
from saltmoor.lab.experiment import Broken
from saltmoor.lab.ledger import Ledger
from saltmoor.lab.nodes import Build, Node
from saltmoor.lab.scenario import Scenario
from saltmoor.lab.soak import plan, shim
from saltmoor.lab.soak.oracle import Find, Oracle

LATE_MS = 40.0  # where one step in a hundred of the lab came later, the run is void
SHRINK_TRIES = 12  # runs that a failure is shrunk by, at the most
LINES = 40  # of a node's log that a page quotes for one request


class Verdict(msgspec.Struct):
    """What came of one seed."""

    seed: int
    troubles: int
    finds: list[str]
    void: list[str]  # why the run says nothing
    counts: dict[str, int]
    seconds: float

    @property
    def word(self) -> str:
        """One word: void, failed or passed."""
        return "failed" if self.finds else "void" if self.void else "passed"


@dataclass(slots=True, frozen=True)
class Played:
    """A run's verdict, its violations, and when it began on the machine's monotonic clock, in microseconds."""

    verdict: Verdict
    finds: list[Find]
    begin: int = 0


@dataclass(slots=True)
class Options:
    """How seeds are played."""

    seconds: float = 60.0
    processes: int = 12
    keep: Path | None = None  # pages of failures
    plant: str = ""  # a fault that is built into the nodes
    strict: bool = True
    starve: bool = False  # whether a node has a fraction of a core through a drain
    build: Build = field(default_factory=lambda: Build("this checkout", experiment.HERE))


def has_compiler() -> bool:
    """Whether system calls can be made to fail on this machine."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            shim.build(Path(folder))
        except shim.NoCompiler:
            return False
    return True


def play(scenario: Scenario, seed: int, options: Options, place: Path) -> Played:
    """One run in that folder."""
    begun = time.monotonic()

    def prepare(node: Node) -> None:
        node.strict = options.strict
        if options.plant:
            node.command = ["-m", "saltmoor.lab.soak.planted", options.plant]

    try:
        played = experiment.perform(scenario, seed, options.build, place, prepare=prepare)
    except Broken as error:
        return Played(Verdict(seed, len(scenario.fault), [], [f"the lab broke: {str(error)[-300:]}"], {}, 0.0), [])
    rows, void = _books(place)
    oracle = Oracle(scenario, Ledger(scenario, rows), rows, played.begin, sorted(place.glob("node*.log")))
    finds = oracle.judge()
    verdict = Verdict(
        seed, len(scenario.fault), [str(one) for one in finds], void, dict(oracle.counts), time.monotonic() - begun
    )
    return Played(verdict, finds, played.begin)


def timeline(place: Path, begin: int, ident: str) -> list[str]:
    """What clients and stand-ins wrote down on one request, in order; times in seconds from the run's begin."""
    rows = [row for path in sorted(place.glob("*.book")) for row in Book.read(path) if ident in row[1:]]
    rows.sort(key=lambda row: row[1])
    return [f"{(row[1] - begin) / 1e6:9.4f} {' '.join(map(str, [row[0], *row[2:]]))}" for row in rows]


def _books(place: Path) -> tuple[list[list], list[str]]:
    """All rows of a run, and why it is void."""
    rows, void = [], []
    for path in sorted(place.glob("*.book")):
        own = Book.read(path)
        late = figures.percentiles([max(0, row[1]) for row in own if row[0] == "late"])["p99_ms"]
        if late > LATE_MS:
            void.append(f"{path.stem} was late by {late:.0f} ms, one step in a hundred")
        rows += own
    return rows, void


def soak(seed: int, options: Options) -> Verdict:
    """Draw that seed's plan, play it, and write down a failure."""
    scenario = plan.draw(
        seed, seconds=options.seconds, processes=options.processes, calls=has_compiler(), starve=options.starve
    )
    return once(scenario, seed, options)


def once(scenario: Scenario, seed: int, options: Options) -> Verdict:
    """Play that plan, and write down a failure."""
    with tempfile.TemporaryDirectory(prefix="saltmoor-soak-") as folder:
        played = play(scenario, seed, options, Path(folder))
        if played.finds and options.keep:
            write_page(scenario, played, Path(folder), options.keep)
    return played.verdict


def many(seeds: list[int], jobs: int, options: Options, tell: Callable[[Verdict], None]) -> list[Verdict]:
    """Play all seeds, so many at once; `tell` hears of each as it ends."""

    def one(seed: int) -> Verdict:
        verdict = soak(seed, options)
        tell(verdict)
        return verdict

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(one, seeds))


def shrink(scenario: Scenario, seed: int, options: Options, tell: Callable[[str], None]) -> Scenario:
    """Leave out troubles, half of them at first, as long as the run still fails by the same rule."""

    def fails(smaller: Scenario) -> set[str]:
        with tempfile.TemporaryDirectory(prefix="saltmoor-soak-") as folder:
            return {one.rule.value for one in play(smaller, seed, options, Path(folder)).finds}

    rules, tries, size = fails(scenario), 1, max(1, len(scenario.fault) // 2)
    while rules and size and tries < SHRINK_TRIES:
        smaller_found = False
        for at in range(0, len(scenario.fault), size):
            left = [*scenario.fault[:at], *scenario.fault[at + size :]]
            smaller = msgspec.structs.replace(scenario, fault=left)
            tries += 1
            if fails(smaller) & rules:
                scenario, smaller_found = smaller, True
                tell(f"still fails with {len(left)} troubles")
                break
            if tries >= SHRINK_TRIES:
                break
        if not smaller_found:
            size //= 2
    return scenario


def write_page(scenario: Scenario, played: Played, place: Path, keep: Path) -> None:
    """One page: seed, plan, what was found, and the log lines on the requests concerned."""
    keep.mkdir(parents=True, exist_ok=True)
    verdict, finds, begin = played.verdict, played.finds, played.begin
    logs = {path.stem: path.read_text(errors="replace").splitlines() for path in sorted(place.glob("node*.log"))}
    lines = [f"# Soak seed {verdict.seed}: {verdict.word}", ""]
    lines += [f"- {one}" for one in verdict.finds[:50]]
    lines += ["", "Troubles:", ""]
    lines += [
        f"- {one.at_s:6.2f} s, for {one.for_s:.2f} s: {one.on} {one.kind} {one.which} share={one.share} ms={one.ms}"
        + (f" {one.count} {one.crowd_of}" if one.kind == "crowd" else "")
        for one in scenario.fault
    ]
    lines += ["", "Log lines on the requests concerned:", ""]
    for find in finds[:10]:
        lines += [f"    {line}" for line in timeline(place, begin, find.subject)]
        for name, said in logs.items():
            lines += [f"    {name}: {line}" for line in said if find.subject in line][:LINES]
    (keep / f"seed-{verdict.seed}.md").write_text("\n".join(lines) + "\n")
    (keep / f"seed-{verdict.seed}.json").write_bytes(msgspec.json.encode(scenario))
    for path in [*place.glob("node*.log"), *place.glob("*.book")]:
        shutil.copy(path, keep / f"seed-{verdict.seed}-{path.name}")
