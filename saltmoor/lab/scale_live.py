"""Owns rows on real sockets: worker processes of hollow members beside real nodes that serve a light load.

The machine's own lateness, as each worker's loop clock has it, makes a row void. Nothing that it starts outlives it.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from math import ceil
from pathlib import Path
from typing import Any

import msgspec

from saltmoor.lab import experiment, links, scenario
from saltmoor.lab import scale_rows as rows
from saltmoor.lab.book import clock
from saltmoor.lab.scale_clock import SEGMENT, SITES, TCP_HEAD, TCP_OPEN, UDP_HEAD
from saltmoor.lab.scale_town import BODY, Plan
from saltmoor.lab.scale_worker import Report, Share
from saltmoor.peers import ask

REAL = 8  # nodes of the program, which serve
WORKERS = 8  # processes of hollow members, at most
A_WORKER = 15  # members that a process has at least, where there are so many
LATE_P99_MS = 25.0  # half of the members' tick: beyond that the machine was late, and the row is void
PORT = 7946
LEARN_S = 12.0  # for all to hear of all
TAIL_S = 4.0
SETTLE_S = 4.0
LOAD = {
    "name": "scale",
    "about": "a light load beside hollow members",
    "settle_s": SETTLE_S,
    "nodes": {"count": REAL, "hops": 3, "peers": True},
    "fleet": {"servers": 4, "sites": ["s0"]},
    "discovery": {"late_ms": [50, 200], "grace_ms": 2000},
    "profile": [{"name": "read", "share": 1, "work_ms": 5, "goal_ms": 150, "limit_ms": 800}],
    "load": {"rate": 160, "keys": 500, "retries": 0},
}


def stream_heads(data: int, streams: int) -> int:
    """Bytes of heads, both ways, of so many streams with so much data: counted by formula, as no socket tells."""
    segments = max(streams, ceil(data / SEGMENT)) + streams  # a question each
    return (segments + ceil(segments / 2)) * TCP_HEAD + streams * (2 * TCP_OPEN + 5 * TCP_HEAD)


class Fleet(threading.Thread):
    """The lab's own run with the real nodes."""

    def __init__(self, length: float, folder: Path) -> None:
        super().__init__(daemon=True)
        self.scenario = scenario.check(LOAD | {"length_s": length})
        self.folder, self.result, self.failed = folder, None, ""

    def run(self) -> None:
        try:
            self.result = experiment.run(self.scenario, 1, keep=self.folder)
        except Exception as error:
            self.failed = f"{type(error).__name__}: {error}"

    def places(self) -> list[str]:
        """Where the nodes' peers are, once all of them serve."""
        files = [self.folder / f"node{i}.toml" for i in range(REAL)]
        end = time.monotonic() + 30
        while time.monotonic() < end and not self.failed:
            try:
                places = [tomllib.loads(file.read_text())["peers"]["listen"] for file in files]
                for place in places:
                    ask.ask(place, links.CLUSTER, "show", "members", 0.5)
                return places
            except (OSError, KeyError, tomllib.TOMLDecodeError, ask.Unanswered):
                time.sleep(0.2)
        raise experiment.Broken(self.failed or "the real nodes did not come up")

    def shown(self, places: list[str]) -> list[dict[str, Any]]:
        found = []
        for place in places:
            for _ in range(10):  # it may be busy with its peers
                try:
                    found.append(ask.ask(place, links.CLUSTER, "show", "members", 1.0))
                    break
                except ask.Unanswered:
                    time.sleep(0.05)
        return found


def share_out(plan: Plan, seeds: list[str]) -> list[Share]:
    count = max(1, min(WORKERS, plan.members // A_WORKER))
    hosts = {f"127.77.{i // 200}.{i % 200 + 1}": i % SITES for i in range(plan.members)}
    members = [(f"h{i}", site, (host, PORT)) for i, (host, site) in enumerate(hosts.items())]
    made = []
    for part in range(count):
        own = members[part::count]
        made.append(
            Share(
                links.CLUSTER,
                seeds,
                [one[0] for one in own],
                [one[1] for one in own],
                [one[2] for one in own],
                hosts,
                count,
                plan.rate,
                int(plan.span_s * 1e6),
                int(TAIL_S * 1e6),
                BODY,
            )
        )
    return made


def play(plan: Plan) -> rows.Row:
    row = rows.Row("real", "peers", plan.event, plan.members, plan.rate, plan.seed, plan.span_s)
    with tempfile.TemporaryDirectory(prefix="saltmoor-scale-") as folder:
        place, workers = Path(folder), []
        learn = LEARN_S + plan.members / 40
        fleet = Fleet(SETTLE_S + learn + plan.span_s + TAIL_S + 6, place)
        fleet.start()
        try:
            places = fleet.places()
            shares = share_out(plan, places[:3])
            for part, share in enumerate(shares):
                (place / f"hollow{part}.plan").write_bytes(msgspec.json.encode(share))
                with (place / f"hollow{part}.err").open("wb") as errors:
                    workers.append(
                        subprocess.Popen(
                            [sys.executable, "-B", "-m", "saltmoor.lab.scale_worker", folder, str(part)],
                            cwd=experiment.HERE,
                            stdin=subprocess.PIPE,
                            stdout=subprocess.PIPE,
                            stderr=errors,
                            text=True,
                        )
                    )
            for process in workers:
                if process.stdout.readline().strip() != "READY":
                    raise experiment.Broken(failures(place))
            time.sleep(learn)
            before = fleet.shown(places)
            begin = clock() + 300_000
            for process in workers:
                process.stdin.write(f"go {begin}\n")
                process.stdin.flush()
            time.sleep(plan.span_s + 0.3)
            after = fleet.shown(places)
            for process in workers:
                process.wait(TAIL_S + 60)
            fleet.join(120)
            reports = [
                msgspec.json.decode((place / f"hollow{part}.json").read_bytes(), type=Report)
                for part in range(len(shares))
            ]
            fill(row, plan, shares, reports, before, after, fleet)
        except (experiment.Broken, OSError, subprocess.TimeoutExpired) as error:
            row.void.append(f"{type(error).__name__}: {error}"[:300])
        finally:
            for process in workers:
                if process.poll() is None:
                    process.kill()
                process.wait()
            fleet.join(60)
    return row


def failures(place: Path) -> str:
    said = [text[-500:] for path in place.glob("hollow*.err") if (text := path.read_text())]
    return "\n".join(said) or "a worker ended without a word"


def fill(
    row: rows.Row,
    plan: Plan,
    shares: list[Share],
    reports: list[Report],
    before: list[dict],
    after: list[dict],
    fleet: Fleet,
) -> None:
    late = max(one.late_p99_ms for one in reports)
    if late > LATE_P99_MS:
        row.void.append(f"the machine was late: a loop by {late:.0f} ms at p99, bound {LATE_P99_MS:g} ms")
    if fleet.failed or fleet.result is None:
        row.void.append(f"the real nodes' run: {fleet.failed or 'no result'}")
    elif fleet.result.void:
        row.void += fleet.result.void
    if row.void:
        return
    span, count = plan.span_s, plan.members
    given = {change: at for one in reports for change, at in one.given.items()}
    times, missed = [], 0
    for one in reports:
        for seen in one.seen.values():
            times += [(seen[change] - at) / 1e6 for change, at in given.items() if change in seen]
            missed += sum(change not in seen for change in given)
    row.spread = rows.spread(len(given), times, missed)

    def mean(total: float) -> float:
        return round(total / count / span, 2)

    pulls, data = sum(one.pulls for one in reports), sum(one.tcp_out for one in reports)
    streams = data + stream_heads(data, pulls) / 2
    udp_out = sum(one.udp_out + UDP_HEAD * one.packets_out for one in reports)
    udp_in = sum(one.udp_in + UDP_HEAD * one.packets_in for one in reports)
    # The datagrams of the member with the most, and of streams as much as the mean.
    worst = max(one.worst_bytes + UDP_HEAD * one.worst_packets for one in reports) / span + 2 * streams / count / span
    row.roles["node"] = rows.Role(
        count,
        mean(udp_out + udp_in + 2 * streams),
        round(worst, 1),
        mean(udp_out),
        mean(udp_in),
        mean(streams),
        mean(streams),
        mean(sum(one.packets_out for one in reports)),
        mean(pulls),
        round(sum(one.cpu_s for one in reports) / count / span, 5),
        round(max(one.cpu_s / len(share.names) for one, share in zip(reports, shares)) / span, 5),
        round(sum(one.state_bytes for one in reports) / count),
        round(sum(one.memory_mb for one in reports) / count, 2),
        round(sum(one.descriptors for one in reports) / count, 2),
    )
    made = fleet.result.figures
    row.figures = {
        "late_p99_ms": round(late, 1),
        "late_worst_ms": round(max(one.late_worst_ms for one in reports), 1),
        "known_least": float(min(one.known_least for one in reports)),
        "busy": float(sum(one.busy for one in reports)),
        "real_in_time": made.get("in_time"),
        "real_cpu_us_per_request": made.get("node_cpu_us_per_tx"),
        "real_memory_mb": made.get("node_memory_mb"),
        "real_breaches": float(len(fleet.result.breaches)),
    }
    if len(before) == len(after) == REAL:
        apart = [
            sum(b[key] - a[key] for a, b in zip(before, after))
            for key in ("sent_bytes", "came_bytes", "sent", "came", "given_bytes")
        ]
        row.figures |= {
            "real_udp_bytes_per_s": round((apart[0] + apart[1] + UDP_HEAD * (apart[2] + apart[3])) / REAL / span, 1),
            "real_given_bytes_per_s": round(apart[4] / REAL / span, 1),
            "real_items_least": float(min(one["items"] for one in after)),
        }
