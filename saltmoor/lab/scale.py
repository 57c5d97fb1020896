"""Owns the command `saltmoor lab scale`: which rows are played, how they are shown and kept, what the exit status says.

Rows on the scripted clock are simulated; rows on real sockets measure the machine. Both have one form. It must never
show a figure of a void row.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from saltmoor.lab import scale_fit, scale_rows, scale_town
from saltmoor.lab.experiment import HERE, Bound
from saltmoor.lab.scale_fit import Fit
from saltmoor.lab.scale_log import Ordered
from saltmoor.lab.scale_rows import Row
from saltmoor.lab.scenario import Faulty

MOST_MEMBERS, MOST_PROCESSES = 2_000, 200
MEMORY_PART = 0.5  # of the machine's, at most
MEMBER_MB = 1.6  # of one scripted member among 480, with its table; the guard's
WRITES = ("--json", "--plot", "--counts")
LIVE_PROCESSES = 24  # workers, real nodes, the lab's stand-ins and load
EVENT_BOUNDS = {("relay", "site_worst_s"): 1.0, ("silent", "site_worst_s"): 1.0, ("cut", "caught_up_s"): 2.0}


class Sheet(msgspec.Struct):
    """What a run leaves: `command` gave `rows`; `build`: the commit, with a plus where the program was not as there."""

    command: str
    rows: list[Row]
    fits: list[Fit]
    build: str = ""


def memory_mb() -> float:
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**20


def guard(members: int, processes: int) -> None:
    """Guards against a run that takes the machine from everybody else on it."""
    wanted = MEMBER_MB * members
    if wanted > MEMORY_PART * memory_mb():
        raise Faulty(
            f"--size: {members} members may take {wanted:.0f} MB, over half of this machine's {memory_mb():.0f} MB"
        )
    if processes > MOST_PROCESSES:
        raise Faulty(f"--size: {members} members need {processes} processes, over {MOST_PROCESSES}")


def ways() -> dict[str, type[scale_town.Way]]:
    return {"peers": scale_town.Gossip, "log": Ordered}


def real(text: str, name: str, least: float, most: float) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not least <= value <= most:
        raise Faulty(f"{name}: must be a number from {least:g} to {most:g}, is {text!r}")
    return value


def plans(said: dict) -> list[scale_town.Plan]:
    sizes = [int(real(one, "--size", 8, MOST_MEMBERS)) for one in said["--size"]]
    rates = [real(one, "--changes", 0, 100) for one in said["--changes"]]
    span = real(said["--span"], "--span", 2, 3600)
    loss = real(said["--loss"], "--loss", 0, 0.5)
    events = said["--event"] or ["calm"]
    for event in events:
        if event not in ("calm", *scale_town.EVENTS[1:]):
            raise Faulty(f"--event: {event!r} is none; there are calm, {', '.join(scale_town.EVENTS[1:])}")
    seed = int(real(said["--seed"], "--seed", 0, 1 << 30))
    return [
        scale_town.Plan(size, rate, "" if event == "calm" else event, span, seed, loss)
        for event in events
        for size in sizes
        for rate in rates
    ]


def judged(rows: list[Row], fits: list[Fit]) -> list[Bound]:
    """What the operators' plan asks of these rows, and that a node's bytes do not grow with members."""
    found = []
    for row in rows:
        if not row.event:
            found += scale_rows.bounds(row)
        for (event, figure), limit in EVENT_BOUNDS.items():
            if row.event == event and figure in row.figures and not row.void:
                value = row.figures[figure]
                found.append(Bound(f"{row.name}: {figure}", value, limit, False, value is not None and value <= limit))
    for fit in fits:
        role = "fleet" if fit.mechanism == "log" else "node"  # the mean over relays and others
        if (fit.role, fit.figure) == (role, "bytes_per_s") and fit.flat is not None:
            found.append(
                Bound(
                    f"{fit.clock} {fit.mechanism} at {fit.changes_per_s:g}/s: bytes_per_s a node from "
                    f"{scale_fit.FLAT_FROM} to {max(fit.sizes)} members, growth",
                    fit.flat,
                    scale_fit.FLAT,
                    False,
                    fit.flat <= scale_fit.FLAT,
                )
            )
    return found


def show(rows: list[Row], fits: list[Fit], found: list[Bound]) -> None:
    print(scale_rows.table(scale_rows.HEADS, [line for row in rows for line in scale_rows.lines(row)]))
    for row in rows:
        for name, value in row.figures.items():
            print(f"  {row.name}: {name} {'never' if value is None else f'{value:g}'}")
        for why in row.void:
            print(f"  void: {row.name}: {why}")
    for fit in fits:
        if fit.figure in ("bytes_per_s", "pulls_per_s", "core", "p999_s"):
            at, factor = scale_fit.grown(fit, scale_town.FLEET)
            said = f"; extrapolated {factor:.1f} times to {scale_town.FLEET}: {at:.4g}" if factor > 1 else ""
            print(
                f"  fit {fit.mechanism} {fit.clock} {fit.changes_per_s:g}/s {fit.role or 'spread'} {fit.figure}: "
                f"{fit.at_none:.4g} + {fit.slope:.4g} a member, residuals "
                f"{' '.join(f'{one:.3g}' for one in fit.residuals)}{said}"
            )
    for bound in found:
        print(f"  {'held  ' if bound.held else 'BROKEN'} {bound.name} at most {bound.limit:g}: {bound.figure}")


def run(
    said: dict, words: list[str], say: Callable[[str], None] = lambda line: print(line, file=sys.stderr, flush=True)
) -> int:
    """`words`: the command line behind `lab`, as the data will name it."""
    if said["--page"] is not None:
        from saltmoor.lab import scale_page

        return scale_page.write(Path(said["--page"]))
    if said["--counts"] is not None:
        from saltmoor.lab import scale_counts

        return scale_counts.write(Path(said["--counts"]), command(words))
    names = said["--mechanism"] or ["peers"]
    for name in names:
        if name not in ways():
            raise Faulty(f"--mechanism: {name!r} is none; there are {', '.join(ways())}")
    rows, all_ = [], plans(said)
    if said["--live"] and (names != ["peers"] or any(plan.event for plan in all_)):
        raise Faulty("--live: plays peers, calm, alone")
    for plan in all_:
        guard(plan.members, LIVE_PROCESSES if said["--live"] else 1)
    for name in names:
        for plan in all_:
            begun = time.monotonic()
            if said["--live"]:
                from saltmoor.lab import scale_live

                row = scale_live.play(plan)
            else:
                row = scale_town.play(plan, ways()[name])
            rows.append(row)
            say(f"{row.name}: {time.monotonic() - begun:.0f} s")
            if said["--json"]:  # row by row, so that a long run that is ended leaves what it had
                keep(Path(said["--json"]), rows, words)
    fits = scale_fit.fits(rows)
    found = judged(rows, fits)
    show(rows, fits, found)
    if said["--json"]:
        keep(Path(said["--json"]), rows, words)
    if said["--plot"]:
        from saltmoor.lab import scale_plot

        scale_plot.write(rows, Path(said["--plot"]))
    return 0 if all(bound.held for bound in found) and not any(row.void for row in rows) else 1


def command(words: list[str]) -> str:
    """As it was given, but for where it writes."""
    return " ".join(
        ["saltmoor lab", *(f"{name}=FILE" if (name := word.partition("=")[0]) in WRITES else word for word in words)]
    )


def build() -> str:
    def git(*said: str) -> str:
        return subprocess.run(["git", *said], cwd=HERE, capture_output=True, text=True, check=False).stdout.strip()

    return git("rev-parse", "--short", "HEAD") + ("+" if git("status", "--porcelain", "saltmoor") else "")


def keep(path: Path, rows: list[Row], words: list[str]) -> None:
    sheet = Sheet(command(words), rows, scale_fit.fits(rows), build())
    path.write_bytes(msgspec.json.format(msgspec.json.encode(sheet), indent=1))


def read(path: Path) -> Sheet:
    return msgspec.json.decode(path.read_bytes(), type=Sheet)
