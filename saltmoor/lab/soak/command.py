"""The command `saltmoor lab soak`: plays seeds, prints each verdict, and leaves pages of failures and a JSON file."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec

from saltmoor.lab import scenario as lab
from saltmoor.lab.soak import run
from saltmoor.lab.soak.planted import PLANTS
from saltmoor.lab.soak.processes import end_with_children
from saltmoor.lab.soak.run import Options, Verdict

FEWEST, MOST = 4, 40  # processes of one run
SHOWN = 6  # violations of one seed that are printed


class Report(msgspec.Struct):
    """What a soak's JSON file holds."""

    seconds: float
    processes: int
    plant: str
    calls: bool  # whether system calls could be made to fail: it needs a C compiler
    words: dict[str, int]
    verdicts: list[Verdict]


def _number(said: dict[str, Any], name: str, least: float, most: float) -> float:
    try:
        value = float(said[name])
    except ValueError:
        value = least - 1
    if not least <= value <= most:
        raise lab.Faulty(f"{name}: must be a number from {least:g} to {most:g}, is {said[name]!r}")
    return value


def _show(verdict: Verdict) -> None:
    counts = " ".join(f"{name}={count}" for name, count in sorted(verdict.counts.items()))
    print(f"seed {verdict.seed} {verdict.word}: {verdict.troubles} troubles, {verdict.seconds:.0f} s; {counts}")
    rules = [find.split()[0] for find in verdict.finds]
    if rules:
        print("  " + ", ".join(f"{count} {rule}" for rule, count in Counter(rules).items()))
    # The first of each rule comes first: guards against many of one kind that hide another.
    order = sorted(range(len(rules)), key=lambda place: rules[:place].count(rules[place]))
    for line in [*(verdict.finds[place] for place in order[:SHOWN]), *verdict.void]:
        print(f"  {line}")
    sys.stdout.flush()


def main(said: dict[str, Any]) -> int:
    """Exit status 0: no violation was found; 1: one was, or no run counts. Raises `scenario.Faulty`."""
    if said["--plant"] and said["--plant"] not in PLANTS:
        raise lab.Faulty(f"--plant: must be one of {', '.join(PLANTS)}, is {said['--plant']!r}")
    options = Options(
        seconds=60 * _number(said, "--minutes", 0.1, 60),
        processes=int(_number(said, "--processes", FEWEST, MOST)),
        keep=Path(said["--keep"]) if said["--keep"] else None,
        plant=said["--plant"] or "",
        starve=said["--starve"],
    )
    end_with_children()
    first = int(_number(said, "--seed", 0, 1 << 30))
    if said["--plan"]:
        verdicts = [_play_plan(Path(said["--plan"]), first, options, said["--shrink"])]
    else:
        seeds = range(first, first + int(_number(said, "--seeds", 1, 100_000)))
        verdicts = run.many(list(seeds), int(_number(said, "--jobs", 1, 20)), options, _show)
    words = Counter(verdict.word for verdict in verdicts)
    print(f"{len(verdicts)} seeds: " + ", ".join(f"{words[word]} {word}" for word in ("passed", "failed", "void")))
    if not run.has_compiler():
        print("no C compiler: faults of system calls, clock and disk were left out")
    if said["--json"]:
        report = Report(options.seconds, options.processes, options.plant, run.has_compiler(), dict(words), verdicts)
        Path(said["--json"]).write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
    return 0 if words["passed"] and not words["failed"] else 1


def _play_plan(file: Path, seed: int, options: Options, shrink: bool) -> Verdict:
    try:
        scenario = lab.check(msgspec.json.decode(file.read_bytes()))
    except (OSError, msgspec.DecodeError) as error:
        raise lab.Faulty(f"{file}: no plan ({error})") from None
    if shrink:
        scenario = run.shrink(scenario, seed, options, print)
        file.with_suffix(".small.json").write_bytes(msgspec.json.encode(scenario))
    verdict = run.once(scenario, seed, options)
    _show(verdict)
    return verdict
