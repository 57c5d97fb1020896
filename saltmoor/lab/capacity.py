"""Owns the lab's word on itself: what one load process can offer on this machine, against servers that do nothing.

The answerers reply at once and record nothing, so whatever is late is the load's own doing. It must never be
read as a figure of a node.
"""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

import msgspec

from saltmoor.lab import arrivals, experiment, figures
from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book, clock
from saltmoor.lab.wire import HOST
from saltmoor.lab.worker import Plan, told

ANSWERERS = 2
SAID = {
    "name": "capacity",
    "about": "reads that are answered at once",
    "settle_s": 1,
    "profile": [{"name": "read", "share": 1, "work_ms": 1, "goal_ms": 150, "limit_ms": 1000}],
}


class Answerer(asyncio.Protocol):
    """Answers each read at once."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport, self.held = transport, b""

    def data_received(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\r\n")
        for line in lines:
            ident = next(word for word in line.split(b" ") if word[:1] == b"O")
            self.transport.write(b"VA 2 %b\r\nok\r\n" % ident)


async def answer(run: Path, part: str) -> None:
    """A process of its own: listens until its standard input ends."""
    server = await asyncio.get_running_loop().create_server(Answerer, HOST, 0)
    (run / f"answer{part}.port").write_text(str(server.sockets[0].getsockname()[1]))
    await told()
    await asyncio.sleep(3600)


def measure(rate: float, seconds: float) -> dict[str, float]:
    """Offer so many transactions a second from one process; what came of it."""
    scenario = plan.check(SAID | {"length_s": seconds, "load": {"rate": rate, "retries": 0}})
    rows = arrivals.draw(scenario, 1)
    with tempfile.TemporaryDirectory(prefix="saltmoor-lab-") as folder:
        place, crew = Path(folder), experiment.Crew(Path(folder))
        try:
            answerers = [crew.start("answer", str(i)) for i in range(ANSWERERS)]
            for process in answerers:
                crew.ready(process)
            ports = [(HOST, int((place / f"answer{i}.port").read_text())) for i in range(ANSWERERS)]
            arrivals.save(place / "arrivals.npz", rows, scenario)
            (place / "plan.json").write_bytes(msgspec.json.encode(Plan(scenario, 1, ports, "cap0")))
            load = crew.start("load", "0")
            crew.ready(load)
            begin = clock() + 300_000
            for process in crew.members:
                crew.say(process, f"go {begin}")
            load.wait(seconds + 30)
        finally:
            crew.end()
        written = Book.read(place / "load0.book")
    asked = {row[2]: row[1] for row in written if row[0] == "ask"}
    took = [row[1] - asked[row[2]] for row in written if row[0] == "reply"]
    late = [max(0, row[1]) for row in written if row[0] == "late"]
    span = (max(asked.values()) - min(asked.values())) / 1e6
    return {
        "wanted_per_s": rate,
        "offered_per_s": round(len(asked) / span, 1),
        "answered": figures.share(len(took), len(rows)),
        "late_p99_ms": figures.percentiles(late)["p99_ms"],
        "late_p999_ms": figures.percentiles(late)["p999_ms"],
        "answer_p99_ms": figures.percentiles(took)["p99_ms"],
    }


def holds(made: dict[str, float]) -> bool:
    """By the measure that voids a run: one arrival in a hundred later than a tenth of the shortest goal."""
    goal = SAID["profile"][0]["goal_ms"]
    return made["late_p99_ms"] <= experiment.LATE * goal and made["answered"] > 0.999


def main(rates: list[float], seconds: float = 8.0) -> int:
    good = True
    for rate in rates:
        made = measure(rate, seconds)
        good = good and holds(made)
        print("  ".join(f"{name} {value:g}" for name, value in made.items()), "" if holds(made) else " LATE")
    return 0 if good else 1
