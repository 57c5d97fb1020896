"""saltmoor's lab: stand-in servers, load and experiments on loopback.

Usage:
  saltmoor lab list
  saltmoor lab run SCENARIO [--seed=N] [--nodes=N] [--json=FILE] [--keep=DIR] [--capture=FILE]
                   [--replay=FILE] [--build=BUILD]
  saltmoor lab bound SCENARIO [--json=FILE]
  saltmoor lab compare A B [--scenario=S] [--rounds=N] [--seed=N] [--json=FILE]
  saltmoor lab report FILE... --html=FILE
  saltmoor lab capacity [--rate=N]...
  saltmoor lab passing [--value=BYTES]... [--json=FILE]
  saltmoor lab toy
  saltmoor lab scale [--live] [--mechanism=M]... [--size=N]... [--changes=R]... [--event=E]... [--span=S]
                     [--loss=P] [--seed=N] [--json=FILE] [--plot=FILE]
  saltmoor lab scale (--page=FILE | --counts=FILE)
  saltmoor lab soak [--seed=N] [--seeds=K] [--minutes=M] [--processes=P] [--jobs=J] [--keep=DIR] [--json=FILE]
                    [--plant=FAULT] [--plan=FILE] [--shrink] [--starve]
  saltmoor lab (-h | --help)

SCENARIO is the name of one that comes with saltmoor, or a TOML file. A and B are checkouts of saltmoor, or
JSON files that go over the configuration of this one's nodes.

Options:
  --seed=N        seeds all chance of the run [default: 1]
  --nodes=N       so many nodes instead of the scenario's
  --json=FILE     write figures, bounds and series there
  --keep=DIR      keep books, logs and configurations in that folder
  --capture=FILE  keep the run's arrivals, to be replayed
  --replay=FILE   play these arrivals instead of drawn ones
  --build=BUILD   measure that checkout or configuration
  --scenario=S    what is compared [default: steady]
  --rounds=N      how often each is played, in turn, each round with a seed of its own [default: 3]
  --html=FILE     the page that is written
  --value=BYTES   of a value that one node passes on [default: 200 8000 64000 750000 4000000]
  --rate=N        transactions a second that one load process is to offer [default: 1000 2500 5000]
  --live          real sockets on loopback beside real nodes, instead of the scripted clock
  --mechanism=M   how changes come to all: peers (as nodes have it) or log; each that is named is played
  --size=N        nodes [default: 30 60 120 240 480]
  --changes=R     changes a second [default: 0 3.9 15]
  --event=E       calm, aged (with what ten minutes have left), day (an ordinary day's restarts and failures),
                  relay (one is killed), silent (its machine fails), writer (who writes is killed), rack (a site's
                  nodes fail), zone (that of who writes), cut (a region, for ten minutes), start (all nodes in one
                  instant), rebuild (the control machines too, without memory)
  --span=S        seconds that are measured, of the script's or of real time [default: 20]
  --loss=P        share of datagrams that is lost [default: 0]
  --plot=FILE     a picture of the figures over sizes
  --counts=FILE   count on the cores what grows with nodes, and write it there
  --page=FILE     write the tables of that page anew from the kept data

  --seeds=K       so many seeds, from --seed on [default: 1]
  --minutes=M     length of each run [default: 1]
  --processes=P   processes of each run, 10 to 40: nodes, stand-ins, load, a proxy [default: 12]
  --jobs=J        runs at once [default: 1]
  --starve        give a node a fraction of a core through a drain, and a busy crowd
  --plant=FAULT   build a known fault into the nodes: resend, close, after-leave, slow-start or stale-deadline
  --plan=FILE     play this plan, as a failure has left it, instead of a drawn one
  --shrink        leave troubles out of a plan that fails as long as it still does

The exit status is 0 if every bound held, 1 if one did not or the run was void, 2 for a faulty scenario
or option.
"""

from __future__ import annotations

import statistics
import sys
from pathlib import Path

import msgspec
from docopt import docopt

from saltmoor.lab import scenario as plan


def number(said: dict, name: str, least: int = 0) -> int | None:
    text = said[name]
    if text is None:
        return None
    if not text.isdigit() or int(text) < least:
        raise plan.Faulty(f"{name}: must be a whole number of at least {least}, is {text!r}")
    return int(text)


class Progress:
    """One line that is written over on a terminal; elsewhere a line every ten seconds."""

    def __init__(self) -> None:
        self.last, self.live = "", sys.stderr.isatty()

    def __call__(self, line: str) -> None:
        if line == self.last:
            return
        self.last = line
        if self.live:
            print(f"\r{line}   ", end="", file=sys.stderr, flush=True)
        elif int(line.split(": ")[1].split()[0]) % 10 == 0:
            print(line, file=sys.stderr, flush=True)

    def done(self) -> None:
        if self.live and self.last:
            print(file=sys.stderr)


def listed() -> int:
    for name in plan.shipped():
        one = plan.load(name)
        print(f"{name:18} {one.length_s:5.0f} s  {one.load.rate:6.0f}/s  {one.about}")
    return 0


def show(result) -> None:
    print(f"{result.scenario}, seed {result.seed}, {result.build}")
    for name, value in result.figures.items():
        print(f"  {name:24} {'none' if value is None else value:>12}")
    for line in result.breaches[:20]:
        print(f"  breach: {line}")
    for bound in result.bounds:
        sign = "at least" if bound.least else "at most"
        print(f"  {'held  ' if bound.held else 'BROKEN'} {bound.name} {sign} {bound.limit:g}: {bound.figure}")
    for why in result.void:
        print(f"  void: {why}")


def run(said: dict) -> int:
    from saltmoor.lab import experiment, nodes

    scenario = plan.load(said["SCENARIO"])
    if count := number(said, "--nodes", 1):
        scenario = plan.check(
            msgspec.to_builtins(
                msgspec.structs.replace(scenario, nodes=msgspec.structs.replace(scenario.nodes, count=count))
            )
        )
    if said["--replay"]:
        scenario = msgspec.structs.replace(
            scenario, load=msgspec.structs.replace(scenario.load, replay=said["--replay"])
        )
    progress, build = Progress(), nodes.Build.named(said["--build"]) if said["--build"] else None
    capture, keep = (Path(said[name]) if said[name] else None for name in ("--capture", "--keep"))
    result = experiment.run(
        scenario, number(said, "--seed"), build=build, keep=keep, capture=capture, progress=progress
    )
    progress.done()
    show(result)
    if said["--json"]:
        Path(said["--json"]).write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))
    return 0 if result.held else 1


def bound(said: dict) -> int:
    """How soon full service could be back at best, by the scenario's own figures."""
    from saltmoor.lab import comeback

    scenario = plan.load(said["SCENARIO"])
    full, good, seconds = comeback.bound(scenario)
    first = int(min((fault.at_s for fault in comeback.faults(scenario)), default=0.0))
    print(
        f"{scenario.name}: at best full service {'never in this run' if full is None else f'{full:.2f} s'} after the "
        f"last fault, {good:.1%} in time over the first {comeback.SPAN:.0f} s of it"
    )
    print(
        "  in time, second by second from the first fault:",
        " ".join(f"{share:.2f}" for share in seconds[first : first + int(comeback.SPAN)]),
    )
    if said["--json"]:
        Path(said["--json"]).write_bytes(
            msgspec.json.encode(
                {"scenario": scenario.name, "full_service_s": full, "in_time_8s": good, "in_time": seconds}
            )
        )
    return 0


def compared(name: str, values: list[tuple[float | None, float | None]]) -> str:
    """One figure's line: the means of both sides, of their differences, and the spread of these.

    A round in which a side has no such figure, as it was not reached, counts for neither.
    """
    pairs = [(float(a), float(b)) for a, b in values if a is not None and b is not None]
    if not pairs:
        return f"  {name:24} " + " ".join(f"{'none':>10}" for _ in range(4))
    gaps = [b - a for a, b in pairs]
    spread = statistics.stdev(gaps) if len(gaps) > 1 else 0.0
    of_a, of_b = (statistics.mean(side) for side in zip(*pairs))
    return f"  {name:24} {of_a:10.4g} {of_b:10.4g} {statistics.mean(gaps):+10.3g} {spread:10.3g}"


def compare(said: dict) -> int:
    """Two builds on the same seeds, in turn, with the spread between runs."""
    from saltmoor.lab import experiment, nodes

    scenario, rounds = plan.load(said["--scenario"]), number(said, "--rounds", 1)
    builds = [nodes.Build.named(said[name]) for name in ("A", "B")]
    results, progress, held = ([], []), Progress(), True
    for turn in range(rounds):
        seed = number(said, "--seed") + turn
        order = (0, 1) if turn % 2 == 0 else (1, 0)  # neither is always the first on a machine that drifts
        for which in order:
            results[which].append(experiment.run(scenario, seed, build=builds[which], progress=progress))
            if results[which][-1].void:
                print(f"void, {builds[which].name}, seed {seed}: {results[which][-1].void[0]}")
    progress.done()
    pairs = [(a, b) for a, b in zip(*results) if not a.void and not b.void]
    print(f"{scenario.name}: {len(pairs)} of {rounds} rounds count; A {builds[0].name}, B {builds[1].name}")
    print(f"  {'figure':24} {'A':>10} {'B':>10} {'B - A':>10} {'spread':>10}")
    for name in pairs[0][0].figures if pairs else ():
        print(compared(name, [(a.figures.get(name, 0), b.figures.get(name, 0)) for a, b in pairs]))
    held = held and not any(b.figures.get("breaches") for _, b in pairs)
    if said["--json"]:
        Path(said["--json"]).write_bytes(msgspec.json.encode({"A": results[0], "B": results[1]}))
    return 0 if pairs and held else 1


def main(argv: list[str]) -> int:
    said = docopt(__doc__, ["lab", *argv])
    try:
        if said["list"]:
            return listed()
        if said["bound"]:
            return bound(said)
        if said["compare"]:
            return compare(said)
        if said["report"]:
            from saltmoor.lab import report

            return report.write([Path(one) for one in said["FILE"]], Path(said["--html"]))
        if said["capacity"]:
            from saltmoor.lab import capacity

            return capacity.main([number({"--rate": one}, "--rate", 1) for one in said["--rate"]])
        if said["passing"]:
            from saltmoor.lab import passing

            return passing.main(
                [number({"--value": one}, "--value", 1) for one in said["--value"]], path=said["--json"]
            )
        if said["scale"]:
            from saltmoor.lab import scale

            return scale.run(said, argv)
        if said["soak"]:
            from saltmoor.lab.soak import command

            return command.main(said)
        if said["toy"]:
            from saltmoor.lab import toy

            return toy.main()
        return run(said)
    except plan.Faulty as error:
        print(f"saltmoor lab: {error}", file=sys.stderr)
        return 2
    except ImportError as error:
        print(f"saltmoor lab: {error.name} is missing; install saltmoor[lab]", file=sys.stderr)
        return 1
