"""Owns the processes of a run: the one with the stand-ins, the ones with the load; `experiment` starts them.

Each is told everything by RUN/plan.json, says READY on its standard output, begins with a line
`go MICROSECONDS` on its standard input, and writes what it saw to RUN/NAME.book at its end.
"""

from __future__ import annotations

import asyncio
import gc
import sys
from pathlib import Path
from random import Random

import msgspec

from saltmoor.lab import arrivals
from saltmoor.lab.book import Book, clock
from saltmoor.lab.clients import Clients, Rude
from saltmoor.lab.scenario import Scenario
from saltmoor.lab.stage import Stage
from saltmoor.lab.wire import Driver

HABITS_KEYS = 200  # the most popular ones, which clients with habits ask for


class Plan(msgspec.Struct):
    """What a run's processes need to know."""

    scenario: Scenario
    seed: int
    nodes: list[tuple[str, int]]
    tag: str  # begins every id, so that no two runs share one
    targets: list[tuple[str, int]] = []  # the nodes themselves, where `nodes` are a proxy's ports


async def told() -> int:
    """The run's first moment, once the runner says it."""
    print("READY", flush=True)
    line = await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    return int(line.split()[1])


def keep(run: Path, known: bytes) -> None:
    (run / "known.new").write_bytes(known)
    (run / "known.new").replace(run / "known.json")


async def stage(run: Path, plan: Plan, book: Book) -> None:
    driver = Driver()
    town = Stage(plan.scenario, plan.seed, len(plan.nodes), book, driver)
    town.open()
    town.warm(*arrivals.warm_keys(plan.scenario, plan.seed))
    (run / "stage.json").write_bytes(
        msgspec.json.encode(
            {
                "discovery": [port.address for port in town.registry.ports],
                "known": [town.registry.known(node) for node in range(len(plan.nodes))],
            }
        )
    )
    town.schedule(await told())
    # The runner says when it is over; until then the list as it stands is kept for nodes that restart.
    over = asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    while not over.done():
        await asyncio.wait([over], timeout=0.5)
        known = msgspec.json.encode([town.registry.known(node) for node in range(len(plan.nodes))])
        # Guards against a slow disk that holds up the stand-ins: replacing a file may wait for its bytes.
        await asyncio.get_running_loop().run_in_executor(None, keep, run, known)
    for late in driver.late:
        book.note("late", late)
    for at, late in driver.behind:
        book.note("stood", at, late, "stage")


async def load(run: Path, plan: Plan, book: Book, part: int) -> None:
    driver = Driver()
    clients = Clients(
        plan.scenario, plan.nodes, book, driver, part=part, parts=plan.scenario.load.workers, tag=plan.tag
    )
    rows = np_load(run)
    begin = await told()
    clients.play(rows, begin)
    longest = max(one.limit_ms for one in plan.scenario.profile) * (plan.scenario.load.retries + 2) / 1000
    end = begin + int((plan.scenario.length_s + longest + 5) * 1e6)
    while not clients.finished and clock() < end:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.1)  # a second answer to the last one would come now
    for late in clients.behind:
        book.note("late", late)
    for at, late in driver.behind:
        book.note("behind", at, late)


async def rude(run: Path, plan: Plan, book: Book) -> None:
    crowd = Rude(plan.nodes, book, Random(f"{plan.seed} rude"))
    begin = await told()
    for fault in plan.scenario.fault:
        if fault.kind == "rude":
            at = begin + int(fault.at_s * 1e6)
            lasts = int((fault.for_s or plan.scenario.length_s - fault.at_s) * 1e6)
            await crowd.until(at, at + lasts, fault.rate, clock)
    book.note("rude", crowd.asked, crowd.heard)


async def habits(run: Path, plan: Plan, book: Book) -> None:
    from saltmoor.lab.soak.habits import Habits

    driver = Driver()
    keys = [key for key, _ in zip(*arrivals.warm_keys(plan.scenario, plan.seed))]
    clients = Habits(plan.scenario, plan.targets, book, seed=plan.seed, tag=plan.tag, keys=keys[-HABITS_KEYS:])
    await clients.play(await told())
    for at, late in driver.behind:
        book.note("behind", at, late)


async def links(run: Path, plan: Plan, book: Book) -> None:
    from saltmoor.lab.links import Links

    driver = Driver()
    between = Links(plan.scenario, plan.seed, [port for _, port in plan.nodes], book, driver)
    (run / "links.json").write_bytes(msgspec.json.encode(between.places()))
    between.schedule(await told())
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    between.end()
    for late in driver.late:
        book.note("late", late)


async def proxy(run: Path, plan: Plan, book: Book) -> None:
    from saltmoor.lab.soak.proxy import Proxy

    driver = Driver()
    between = Proxy(plan.scenario, plan.seed, [port for _, port in plan.nodes], plan.targets)
    await between.listen()
    between.schedule(driver, await told())
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)
    for late in driver.late:
        book.note("late", late)
    for at, late in driver.behind:
        book.note("stood", at, late, "proxy")


def np_load(run: Path):
    import numpy as np

    with np.load(run / "arrivals.npz", allow_pickle=False) as kept:
        return kept["arrivals"]


def main(role: str, folder: str, part: str = "0") -> None:
    import uvloop

    run, book = Path(folder), Book()
    if role == "answer":
        from saltmoor.lab import capacity

        uvloop.run(capacity.answer(run, part))
        return
    plan = msgspec.json.decode((run / "plan.json").read_bytes(), type=Plan)
    gc.disable()  # a pause of the lab would look like one of the node; a run is short
    work = {
        "stage": lambda: stage(run, plan, book),
        "load": lambda: load(run, plan, book, int(part)),
        "rude": lambda: rude(run, plan, book),
        "habits": lambda: habits(run, plan, book),
        "links": lambda: links(run, plan, book),
        "proxy": lambda: proxy(run, plan, book),
    }[role]
    uvloop.run(work())
    book.save(run / f"{role}{part if role == 'load' else ''}.book")


if __name__ == "__main__":
    main(*sys.argv[1:])
