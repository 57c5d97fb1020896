"""The scale run: a short one against kept figures, its fits, its verdicts, and the page that is made of its data."""

import contextlib
import io
import re
import socket
import tempfile
import unittest
from pathlib import Path

import msgspec
import uvloop

from saltmoor.lab import cli, scale, scale_counts, scale_fit, scale_live, scale_page, scale_rows, scale_town
from saltmoor.lab.scale_clock import Network, Place, ScriptedLoop
from saltmoor.lab.scale_log import Ordered
from saltmoor.lab.scale_plan import PLAN, derived
from saltmoor.lab.scale_rows import Role, Row
from saltmoor.lab.scale_worker import Member, Share
from tests.helper import reserve

DOCS = Path(__file__).resolve().parents[1] / "docs"
WITHIN = 0.05  # of what was kept: only changes of the code move a scripted row, not the machine
FIGURES = {"bytes_per_s", "messages_per_s", "pulls_per_s", "state_bytes", "p50_s", "p999_s"}  # none of processor time


def role(bytes_per_s: float, core: float = 0.01) -> Role:
    return Role(1, bytes_per_s, bytes_per_s, 0, 0, 0, 0, 1, 0, core, core, 1000)


def row(members: int, bytes_per_s: float, **more) -> Row:
    return Row("scripted", "peers", "", members, 0.0, 1, 1.0, {"node": role(bytes_per_s)}, **more)


class ShortRunCase(unittest.TestCase):
    """Thirty and sixty members, on the scripted clock."""

    @classmethod
    def setUpClass(cls):
        cls.kept = scale.read(DOCS / "capacity" / "short.json")
        cls.rows = [
            scale_town.play(
                scale_town.Plan(one.members, one.changes_per_s, one.event, one.span_s, one.seed),
                scale.ways()[one.mechanism],
            )
            for one in cls.kept.rows
        ]

    def test_both_mechanisms_and_sizes_are_kept(self):
        self.assertEqual(
            {(one.mechanism, one.members) for one in self.kept.rows},
            {(mechanism, size) for mechanism in ("peers", "log") for size in (30, 60)},
        )

    def test_slopes_are_as_kept(self):
        """Figures and slopes within a twentieth of the kept ones."""
        strayed, compared = [], 0
        kept = {(fit.mechanism, fit.role, fit.figure): fit for fit in scale_fit.fits(self.kept.rows)}
        for fit in scale_fit.fits(self.rows):
            if fit.figure in FIGURES:
                other = kept[fit.mechanism, fit.role, fit.figure]
                compared += len(fit.values)
                strayed += scale_fit.strayed(fit, other, WITHIN)
                span = (max(fit.sizes) - min(fit.sizes)) * abs(fit.slope - other.slope)
                self.assertLessEqual(span, WITHIN * max(map(abs, other.values)) + 1e-9, f"{fit} against {other}")
        self.assertGreater(compared, 40)
        self.assertEqual(strayed, [], "if the code was to change these, keep new figures: docs/lab.md says how")

    def test_the_log_tells_all_in_order_and_within_the_aims(self):
        for one in self.rows:
            if one.mechanism == "log":
                self.assertEqual((one.figures["disorder"], one.figures["not_done"], one.spread.missed), (0, 0, 0))
                self.assertGreater(one.spread.changes, 5)
                self.assertLess(one.spread.p50_s, scale_rows.AIMS["p50_s"])
                self.assertLess(one.spread.p999_s, scale_rows.AIMS["p999_s"])

    def test_one_writer(self):
        """As a member's vote counts only after the longest lease, the shared table's has none yet in so short a run."""
        for one in self.rows:
            if one.mechanism == "log":
                self.assertEqual(one.figures["leaders"], 1)
            else:
                self.assertLessEqual(one.figures["writers"], 1)


class EventsCase(unittest.TestCase):
    def test_a_region_that_is_cut_off_misses_changes_and_catches_up(self):
        """Planted: while it is cut nothing of the others comes, or the cut would be none."""
        seen = []

        class Watched(Ordered):
            since = 0.0

            def applied(self, name, before, event):
                town = self.town
                if town.network.cut and town.place(name).region == 2:
                    self.since = self.since or town.loop.seconds
                    if town.loop.seconds > self.since + 0.2:  # no longer what was on its way
                        seen.append(name)
                super().applied(name, before, event)

        one = scale_town.play(scale_town.Plan(40, 0.05, "cut", 6.0), Watched)
        self.assertEqual(seen, [])
        self.assertGreater(one.figures["changes_missed_meanwhile"], 20)
        self.assertIsNotNone(one.figures["caught_up_s"])
        self.assertEqual((one.figures["disorder"], one.spread.missed), (0, 0))

    def test_the_same_seed_gives_the_same_row(self):
        plans = [scale_town.Plan(8, 3.9, "", 2.0) for _ in range(2)]
        for way in scale.ways().values():
            first, second = (scale_town.play(plan, way) for plan in plans)
            for one in (first, second):
                for given in one.roles.values():
                    given.core = given.core_worst = 0.0
            self.assertEqual(first, second)


class NetworkCase(unittest.TestCase):
    def test_frames_come_in_order_after_their_way_and_are_counted_with_heads(self):
        loop, heard = ScriptedLoop(), []
        try:
            network = Network(loop, 1)
            a, b = ("10.0.0.1", 1), ("10.0.0.2", 1)
            network.put(a, Place(0, 0), None, None)
            network.put(b, Place(1, 1), lambda data: heard.append((round(loop.seconds, 4), data)), None)
            network.datagram(a, b, b"x" * 100)
            loop.call_later(1.0, loop.stop)
            loop.run_forever()
            self.assertEqual(network.traffic[a].udp_out, 128)
            self.assertEqual(network.traffic[b].udp_in, 128)
            self.assertEqual(len(heard), 1)
            self.assertTrue(0.04 <= heard[0][0] <= 0.0441, heard)
            network.streamed(a, b, b"x" * 1449)  # two segments, one acknowledgement
            self.assertEqual((network.traffic[a].tcp_out, network.traffic[a].tcp_in), (1449 + 104, 52))
            network.cut = {1}
            network.datagram(a, b, b"y")
            loop.call_later(1.0, loop.stop)
            loop.run_forever()
            self.assertEqual(len(heard), 1)
        finally:
            loop.close()


class FitCase(unittest.TestCase):
    def test_a_line_is_found_and_its_residuals_shown(self):
        fits = {fit.figure: fit for fit in scale_fit.fits([row(size, 100 + 3 * size) for size in (30, 60, 120)])}
        fit = fits["bytes_per_s"]
        self.assertEqual((fit.at_none, fit.slope, fit.worst_residual), (100, 3, 0))
        self.assertEqual(scale_fit.grown(fit, 480), (1540, 4))
        bent = next(
            fit
            for fit in scale_fit.fits([row(size, size * size) for size in (30, 60, 120)])
            if fit.figure == "bytes_per_s"
        )
        self.assertGreater(bent.worst_residual, 0.2)
        self.assertEqual(len(bent.residuals), 3)

    def test_void_rows_count_nowhere(self):
        rows = [row(30, 100), row(60, 9e9, void=["the machine was late"]), row(120, 100)]
        self.assertEqual([fit.sizes for fit in scale_fit.fits(rows) if fit.figure == "bytes_per_s"], [[30, 120]])
        self.assertEqual(scale_rows.bounds(rows[1]), [])
        shown = scale_rows.table(scale_rows.HEADS, scale_rows.lines(rows[1]))
        self.assertIn("void", shown)
        self.assertNotIn("9,000,000,000", shown)

    def test_growth_beyond_a_tenth_breaks_the_bound(self):
        for last, held in ((1090, True), (1110, False)):
            rows = [row(60, 1000), row(480, last)]
            found = [one for one in scale.judged(rows, scale_fit.fits(rows)) if "growth" in one.name]
            self.assertEqual([one.held for one in found], [held])

    def test_who_never_got_a_change_counts_as_later_than_all(self):
        told = scale_rows.spread(1, [0.1] * 998, 2)
        self.assertEqual((told.p50_s, told.p99_s, told.p999_s, told.worst_s), (0.1, 0.1, None, None))
        broken = Row("scripted", "log", "", 10, 1.0, 1, 1.0, {"node": role(1.0)}, told)
        self.assertEqual(
            [one.name.split(": ")[1] for one in scale_rows.bounds(broken) if not one.held], ["p999_s", "missed"]
        )


class CommandCase(unittest.TestCase):
    def status(self, *words: str) -> tuple[int, str]:
        out = io.StringIO()
        with contextlib.redirect_stderr(out), contextlib.redirect_stdout(out):
            code = cli.main(["scale", *words])
        return code, out.getvalue()

    def test_faulty_options_are_named(self):
        for words, key in (
            (["--size=3"], "--size"),
            (["--size=many"], "--size"),
            (["--changes=-1"], "--changes"),
            (["--event=flood"], "--event"),
            (["--mechanism=carrier"], "--mechanism"),
            (["--span=0"], "--span"),
            (["--loss=2"], "--loss"),
            (["--live", "--mechanism=log"], "--live"),
            (["--live", "--event=cut"], "--live"),
        ):
            code, said = self.status(*words)
            self.assertEqual(code, 2, said)
            self.assertIn(key, said)

    def test_it_refuses_what_is_too_much_for_the_machine(self):
        with self.assertRaisesRegex(scale.Faulty, "over half"):
            scale.guard(int(scale.memory_mb()), 1)
        with self.assertRaisesRegex(scale.Faulty, "processes"):
            scale.guard(8, scale.MOST_PROCESSES + 1)

    def test_bounds_held_and_broken_make_the_status(self):
        with tempfile.TemporaryDirectory() as folder:
            path, picture = Path(folder) / "out.json", Path(folder) / "out.png"
            code, said = self.status(
                "--mechanism=log", "--size=8", "--changes=3.9", "--span=2", f"--json={path}", f"--plot={picture}"
            )
            self.assertEqual(code, 0, said)
            sheet = scale.read(path)
            self.assertEqual([one.members for one in sheet.rows], [8])
            self.assertIn("--json=FILE", sheet.command)
            self.assertEqual(picture.read_bytes()[:4], b"\x89PNG")
        code, said = self.status("--size=12", "--changes=15", "--span=2")
        self.assertEqual(code, 1, said)
        self.assertIn("BROKEN", said)


class LiveCase(unittest.TestCase):
    def test_a_late_machine_makes_a_row_void(self):
        one = Row("real", "peers", "", 30, 3.9, 1, 8.0)
        late = msgspec.convert(
            dict.fromkeys(scale_live.Report.__struct_fields__, 0)
            | {"given": {}, "seen": {}, "late_p99_ms": scale_live.LATE_P99_MS + 1},
            scale_live.Report,
        )
        fleet = scale_live.Fleet(10.0, DOCS)
        fleet.result = type("Result", (), {"void": [], "figures": {}, "breaches": []})()
        scale_live.fill(one, scale_town.Plan(30, 3.9), [], [late], [], [], fleet)
        self.assertTrue(one.void)
        self.assertEqual((one.roles, one.spread), ({}, None))

    def test_a_member_on_real_sockets_ends_and_gives_its_address_back(self):
        """Guards against a worker that fails as it ends its members, and so brings no report."""
        with reserve("127.77.9.9") as held:
            address = held.getsockname()
        share = Share("scale", [], ["h0"], [0], [address], {address[0]: 0}, 1, 1.0, 1, 1, 40)

        async def begin_and_end() -> None:
            member = Member(share, 0)
            member.begin()
            self.assertTrue(member.sockets.is_open)
            member.end(left=False)

        uvloop.run(begin_and_end())
        for kind in socket.SOCK_DGRAM, socket.SOCK_STREAM:
            with socket.socket(socket.AF_INET, kind) as again:
                again.bind(address)

    def test_members_are_shared_out_with_an_address_each(self):
        shares = scale_live.share_out(scale_town.Plan(120, 3.9), ["127.1.0.1:1"])
        places = [place for share in shares for place in share.addresses]
        self.assertEqual((len(shares), len(places), len(set(places))), (8, 120, 120))
        self.assertEqual({site for share in shares for site in share.sites}, set(range(31)))


class PageCase(unittest.TestCase):
    """No figure stands on the page that no run gave."""

    @classmethod
    def setUpClass(cls):
        cls.text = (DOCS / "CAPACITY.md").read_text()
        cls.data = scale_page.Data(DOCS / "capacity")

    def test_tables_are_those_that_the_data_give(self):
        for match in scale_page.BLOCK.finditer(self.text):
            self.assertTrue(
                match[0] == scale_page.render(match[0], self.data),
                f"table {match['name']}: saltmoor lab scale --page=docs/CAPACITY.md",
            )
        self.assertEqual({match["name"] for match in scale_page.BLOCK.finditer(self.text)}, set(scale_page.TABLES))

    def test_prose_names_no_figure_but_the_plans(self):
        plan = {f"{value:g}" for value in PLAN.values()}
        plan |= {"28", "52", "60", "64", "2", "99.9"}  # heads; a change of 64 KB; evidence is said each 2 s; p99.9
        for found in re.findall(r"(?<![\w.])\d[\d,.]*\d|(?<![\w.])\d", scale_page.prose(self.text)):
            self.assertIn(found, plan)

    def test_a_figure_that_was_altered_is_found(self):
        cell = re.search(r"\| scripted \| log \|[^\n]*", self.text)[0]
        altered = self.text.replace(cell, re.sub(r"\d(?=\D*$)", "7", cell), 1)
        self.assertFalse(altered == self.text)
        self.assertTrue(scale_page.render(altered, self.data) == self.text)

    def test_each_file_says_which_command_gave_it(self):
        for name, sheet in self.data.sheets.items():
            self.assertTrue(sheet.command.startswith("saltmoor lab scale"), name)
            self.assertTrue(sheet.rows, name)

    def test_arithmetic_is_the_plans(self):
        found = {what: value for what, _, value in derived()}
        self.assertAlmostEqual(found["requests/s of a node"], 500_000 / 480)
        self.assertAlmostEqual(found["kB an answer"], 750)
        self.assertEqual(found["nodes x servers"], 24_960)

    def test_counts_that_no_clock_moves_are_as_kept(self):
        """Sums over all nodes come from the code alone."""
        for count in (8, 60):
            kept = [
                self.data.count(f"cold server: attempts of {count} nodes in its first {span}")
                for span in ("10 ms", "second")
            ]
            self.assertEqual(list(scale_counts.cold_attempts(count)), kept)


if __name__ == "__main__":
    unittest.main()
