"""The lab itself: queueing theory, arrivals, scenario files, and a ledger that must find what was planted."""

import asyncio
import contextlib
import io
import json
import re
import socket
import tempfile
from math import factorial
from pathlib import Path
from random import Random
from unittest import mock

import numpy as np

from saltmoor.lab import arrivals, cli, experiment, figures, links, report
from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book
from saltmoor.lab.ledger import Ledger
from saltmoor.lab.lru import Lru
from saltmoor.lab.nodes import Build, settings
from saltmoor.lab.ports import kept_for_node
from saltmoor.lab.station import Station, Warming
from saltmoor.lab.timeline import Timeline
from saltmoor.lab.wire import HOST
from tests.helper import TraceCase
from tests.lab_helper import SMALL, planted
from tests.stalls import Stalls

TOLERANCE = experiment.LATE * min(one["goal_ms"] for one in SMALL["profile"]) / 1000  # seconds; later voids a run,
ONE_STEP_IN_A_HUNDRED = 0.01  # of the lab's steps


def waits(cores: int, load: float, jobs: int = 100_000) -> tuple[float, float]:
    """Mean wait of exponential work at a station, and what M/M/c says; in units of the mean work."""
    rng, line = Random(f"{cores} {load}"), Timeline()
    station = Station(line, cores=cores, slots=cores, room=10**9)
    mean, at = 1000.0, 0.0
    for _ in range(jobs):
        at += rng.expovariate(load * cores / mean)
        line.run(int(at))
        station.offer(rng.expovariate(1 / mean), lambda: None)
    line.run(int(at) + 10**9)
    offered = load * cores
    tail = offered**cores / factorial(cores) / (1 - load)
    queue = tail / (sum(offered**k / factorial(k) for k in range(cores)) + tail)
    return station.waits / station.begun / mean, queue / (cores - offered)


class LabCase(TraceCase):
    def compare(self, name: str, lines: list[str]) -> None:
        self.lines = lines
        self.check(name, self)

    def test_stations_wait_as_queueing_theory_says(self):
        """One core and four, at three loads: within 6% and a hundredth of the mean work."""
        for cores in 1, 4:
            for load in 0.5, 0.7, 0.9:
                got, want = waits(cores, load)
                what = f"{cores} cores at {load}: {got:.3f}, {want:.3f}"
                self.assertLess(abs(got - want), 0.06 * want + 0.01, what)

    def test_copies_are_found_as_often_as_ches_approximation_says(self):
        """Zipf reads of 2,000 items: shares of hits within one point at three sizes."""
        rng = np.random.default_rng(1)
        weights = 1 / np.arange(1, 2001) ** 0.9
        weights /= weights.sum()
        for capacity in 100, 300, 1000:
            low, high = 0.0, 1e7
            while high - low > 1e-3:
                middle = (low + high) / 2
                full = (1 - np.exp(-weights * middle)).sum() > capacity
                low, high = (low, middle) if full else (middle, high)
            want = (weights * (1 - np.exp(-weights * low))).sum()
            copies, hits = Lru(capacity * 10), 0
            asked = rng.choice(2000, 60_000, p=weights).tolist()
            for i, item in enumerate(asked):
                key = b"%d" % item
                found = copies.get(key, i) is not None
                hits += found and i >= 10_000
                if not found:
                    copies.put(key, item, 10, i)
            self.assertLess(abs(hits / 50_000 - want), 0.01)

    def test_copies_end_and_large_ones_are_not_kept(self):
        copies: Lru[str] = Lru(100, lasts=50)
        copies.put(b"a", "a", 60, 0)
        copies.put(b"b", "b", 60, 10)
        copies.put(b"c", "c", 101, 20)
        lines = [f"{key} at {now}: {copies.get(key, now)}" for now in (20, 59, 60) for key in (b"a", b"b", b"c")]
        self.compare("lab-copies", [*lines, f"bytes {copies.used}"])

    def test_a_cold_server_is_pushed_over(self):
        """Warming, falling over, stopping, slowing, and what is past the queue."""
        line, lines = Timeline(), []

        def note(what: str) -> None:
            lines.append(f"{line.now / 1000:8.1f} {what}")

        warming = Warming(0.25, 4_000_000, False, 1.5, 500_000)
        station = Station(line, cores=1, slots=1, room=3, warming=warming, cold=True, fell=lambda: note("fell"))
        for i in range(6):
            job = station.offer(50_000, lambda i=i: note(f"job {i} ends"))
            taken = "taken" if job else "turned away"
            note(f"job {i} {taken}, held {station.held}, warm {station.warmth():.2f}")
            line.run(line.now + 100_000)
        station.disturb(stop=1)
        line.run(line.now + 300_000)
        station.disturb(stop=-1)
        station.offer(1000, lambda: note("probe answered"), beside=True)
        line.run(line.now + 2_000_000)
        station.disturb(slower=4)
        station.offer(50_000, lambda: note("slow job ends"))
        line.run(line.now + 3_000_000)
        note(f"warm {station.warmth():.2f}")
        self.compare("lab-station", lines)

    def test_arrivals_repeat_from_their_seed_and_file(self):
        scenario = plan.load("steady")
        one, same, other = (arrivals.draw(scenario, seed) for seed in (5, 5, 6))
        self.assertTrue((one == same).all())
        self.assertNotEqual(len(one), len(other))
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "kept.npz"
            arrivals.save(path, one, scenario)
            self.assertTrue((arrivals.replay(path, scenario) == one).all())
            with self.assertRaisesRegex(plan.Faulty, "load.replay: tenants differ"):
                arrivals.replay(path, plan.check(SMALL))
            path.write_bytes(b"no arrivals")
            with self.assertRaisesRegex(plan.Faulty, "load.replay"):
                arrivals.replay(path, scenario)

    def test_arrivals_follow_shape_popularity_scans_and_hot_keys(self):
        said = SMALL | {
            "length_s": 20,
            "load": {
                "rate": 1000,
                "keys": 100,
                "zipf": 1.0,
                "offset": 0,
                "shape": [[0, 1], [10, 1], [10.01, 3]],
                "burst": [{"every_s": 5, "for_s": 1, "times": 2}],
                "scan": [{"from_s": 2, "for_s": 2, "share": 0.5}],
                "hot": [{"from_s": 12, "for_s": 2, "share": 0.5}],
            },
        }
        came = arrivals.draw(plan.check(said), 3)
        second, counts = came["at"] // 1_000_000, []
        read = came["profile"] == 0
        for name, at in (("plain", 1), ("burst", 5), ("later", 11)):
            counts.append(f"{name}: {round(int((second == at).sum()) / 500) * 500} a second")
        keys, times = np.unique(came["key"][(second == 1)], return_counts=True)
        counts.append(f"most popular key: {times.max() / times.sum():.1f} of the reads")
        scanned = came["key"][read & (second == 3)]
        once = np.mean(np.unique(scanned, return_counts=True)[1] == 1)
        counts.append(f"scan: {once:.1f} of its keys come once")
        hot = np.unique(came["key"][read & (second == 13)], return_counts=True)[1]
        counts.append(f"hot: {hot.max() / hot.sum():.1f} of the reads")
        self.compare("lab-arrivals", counts)

    def test_the_ledger_finds_what_was_planted(self):
        """Through real sockets: a node that does one thing wrong, by the tx and the rule it breaks."""
        lines = []
        for plant in (
            "none",
            "dropped",
            "swapped",
            "doubled",
            "made-up",
            "cut",
            "late-repeat",
            "repeated",
            "refused",
            "drained",
            "flooded",
        ):
            ledger = asyncio.run(planted(plant))
            kinds = sorted({f"rule {one.rule}: {re.sub('[0-9]+', '..', one.what)}" for one in ledger.breaches})
            named = all(one.tx in ledger.asked or one.rule == 4 for one in ledger.breaches)
            lines += [f"{plant}: {'each named' if named else 'not named'}", *(f"   {kind}" for kind in kinds)]
        self.compare("lab-planted", lines)

    def test_what_a_killed_node_held_is_its_clients_to_ask_again(self):
        """The same rows with the kill and without it: no breach, and each rule that is broken then."""
        scenario, lines = plan.check(SMALL), []
        rows = [
            ["node", 0, 0, "ready", 0],
            ["ask", 100_000, "a1", 0, 0, 7, "ms", "k", "once", "", 500_000],
            ["got", 101_000, 101_000, "origin", 0, "a1", "PUT", "k", "", 1],
            ["ran", 105_000, "origin", "a1", "", "k"],
            ["end", 110_000, "a1", 7, 3],
            ["ask", 111_000, "a1", 0, 1, 8, "ms", "k", "once", "", 500_000],
            ["got", 112_000, 112_000, "origin", 1, "a1", "PUT", "k", "", 2],
            ["ran", 116_000, "origin", "a1", "", "k"],
            ["told", 117_000, "origin", "a1", "receipt", 5],
            ["reply", 118_000, "a1", "served", 5, 2, 0],
        ]
        for what, more in (("killed", [["node", 109_000, 0, "killed", 9]]), ("not killed", [])):
            lines.append(what)
            lines += [f"   {one}" for one in Ledger(scenario, rows + more).check()]
        self.compare("lab-killed", lines)

    def test_faulty_scenarios_name_the_key(self):
        lines = []
        for path, value in (
            ("fleet.servers", 0),
            ("fleet.colour", 1),
            ("fault", [{"kind": "melt", "at_s": 0.5}]),
            ("fault", [{"kind": "crash", "at_s": 9}]),
            ("fault", [{"kind": "crash", "at_s": 0.5, "which": [3]}]),
            ("profile", []),
            ("bounds", {"in_time": {}}),
            ("load.rate", "many"),
            ("load.shape", [[2, 1], [1, 1]]),
            ("settle_s", 5),
            ("fault", [{"kind": "delay", "on": "link", "at_s": 0.5, "sites": ["x"]}]),
            ("profile", [{**SMALL["profile"][1], "window_ms": 0}]),
            ("profile", [{**SMALL["profile"][0], "goal_ms": 900}]),
        ):
            said = json.loads(json.dumps(SMALL))
            *top, last = path.split(".")
            inner = said[top[0]] if top else said
            inner[last] = value
            with self.assertRaises(plan.Faulty) as raised:
                plan.check(said)
            lines.append(str(raised.exception))
        self.compare("lab-faulty", lines)

    def test_what_ships_can_be_read(self):
        for name in plan.shipped():
            scenario = plan.load(name)
            self.assertEqual(scenario.name, name)
            self.assertTrue(settings(scenario, 0)["classes"])
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            self.assertEqual(cli.main(["list"]), 0)
            self.assertEqual(cli.main(["run", "no-such-scenario"]), 2)
            self.assertEqual(cli.main(["compare", "/nowhere", "/nowhere"]), 2)

    def test_a_figure_that_a_round_has_not_is_compared_over_the_others(self):
        line = cli.compared("back_s", [(1.0, 2.0), (None, 9.0), (2.0, 5.0)]).split()
        self.assertEqual(line, ["back_s", "1.5", "3.5", "+2", "1.41"])
        self.assertEqual(cli.compared("back_s", [(None, 1.0)]).split(), ["back_s", "none", "none", "none", "none"])

    def test_a_run_from_start_to_end(self):
        """A real node against stand-ins: bounds held, a report written, the same arrivals again.

        The run may be void where the machine itself was late by what voids it, and then for that alone.
        """
        said = json.loads(json.dumps(SMALL)) | {
            "length_s": 2.5,
            "settle_s": 0.5,
            "bounds": {"in_time": {"at_least": 0.8}},
            "fault": [{"kind": "hup", "on": "node", "at_s": 1.2}, {"kind": "crash", "at_s": 1, "for_s": 0.5}],
        }
        with tempfile.TemporaryDirectory() as folder:
            kept = Path(folder)
            with Stalls() as stalls, mock.patch.object(experiment, "judge", side_effect=experiment.judge) as judge:
                result = experiment.run(plan.check(said), 7, keep=kept / "run", capture=kept / "arrivals.npz")
            self.assertEqual([], result.breaches)
            begun = judge.call_args.args[5] / 1_000_000
            late = stalls.share_late(TOLERANCE, begun, begun + said["length_s"])
            if result.void and late > ONE_STEP_IN_A_HUNDRED:
                self.forget_lateness(kept / "run")
                result = experiment.judge(*judge.call_args.args)
            self.assertEqual([], result.void)
            self.assertTrue(result.held, result.bounds)
            self.assertTrue(
                (arrivals.draw(plan.check(said), 7) == arrivals.replay(kept / "arrivals.npz", plan.check(said))).all()
            )
            import msgspec

            (kept / "one.json").write_bytes(msgspec.json.encode(result))
            with contextlib.redirect_stdout(io.StringIO()):
                self.assertEqual(report.write([kept / "one.json"], kept / "page.html"), 0)
            self.assertIn("data:image/png", (kept / "page.html").read_text())
            # A load process that fell behind, or died, voids the run instead of giving a figure.
            rows = Book.read(kept / "run" / "load0.book")
            late = Book()
            late.rows = [*rows, *[("late", 90_000)] * len(rows)]
            late.save(kept / "run" / "load0.book")
            again = experiment.judge(
                plan.check(said), 7, Build("x", kept), kept / "run", arrivals.draw(plan.check(said), 7), 0, []
            )
            self.assertRegex(again.void[0], "the load fell behind its arrivals: load0")
            self.assertEqual(again.figures, {})
            self.assertFalse(again.held)
            self.forget_lateness(kept / "run")
            self.assertEqual([], experiment.judge(*judge.call_args.args).void)

    def test_which_share_of_a_time_was_late_on_some_processor(self):
        """Spans of several processors overlap, and one that is no longer than the tolerance makes nothing late."""
        stalls = Stalls(spans=[(1.5, 1.9), (1.0, 1.25), (1.2, 1.45), (0.0, 0.9), (1.95, 2.0)])
        self.assertAlmostEqual(stalls.share_late(0.05, 1.0, 2.0), 0.4 + 0.35)
        self.assertEqual(stalls.share_late(0.05, 3.0, 4.0), 0.0)

    @staticmethod
    def forget_lateness(folder: Path) -> None:
        """Nothing in the books of that folder was late."""
        for path in folder.glob("*.book"):
            book = Book()
            book.rows = [(row[0], 0) if row[0] == "late" else row for row in Book.read(path)]
            book.save(path)

    def test_a_nodes_port_is_kept_at_both_of_its_addresses(self):
        """No link of any run is given the port that a node takes for its peers; the node can take it, of both kinds."""
        kept = [kept_for_node(HOST, links.HOST) for _ in range(20)]
        ports = {one.getsockname()[1] for one, _ in kept}
        listeners = [socket.create_server((links.HOST, 0)) for _ in range(200)]
        self.assertEqual(ports & {one.getsockname()[1] for one in listeners}, set())
        with socket.create_server((links.HOST, min(ports))), socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind((links.HOST, min(ports)))
        for sock in [*listeners, *(sock for pair in kept for sock in pair)]:
            sock.close()

    def test_percentiles_are_the_histograms(self):
        self.assertEqual(
            figures.percentiles([1000] * 99 + [50_000]), {"p50_ms": 1.0, "p90_ms": 1.0, "p99_ms": 1.0, "p999_ms": 50.02}
        )
