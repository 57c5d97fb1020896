"""The one test command, on small suites of its own: what it runs, what counts as failed, the list of known failures."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

from tests import runner

HERE = Path(runner.__file__).parent.parent
TWO = """import unittest
class Two(unittest.TestCase):
    def test_good(self): pass
    def test_bad(self): self.fail("on purpose")
"""
GOOD, BAD, RED = "tests.test_two.Two.test_good", "tests.test_two.Two.test_bad", "{}, a word, or two, issue 7\n"


class Case(unittest.TestCase):
    def run_on(self, red: str | None = None, *words: str, **modules: str) -> tuple[int, list[str]]:
        """The exit status and the lines of a run over these modules."""
        with tempfile.TemporaryDirectory() as folder:
            top = Path(folder)
            (top / "tests").mkdir()
            for name, text in ({"__init__": ""} | modules).items():
                (top / "tests" / f"{name}.py").write_text(text)
            if red is not None:
                (top / "KNOWN-RED.txt").write_text(red)
            done = subprocess.run(
                [sys.executable, "-P", runner.__file__, *words],
                cwd=top,
                text=True,
                timeout=60,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
            )
        return done.returncode, done.stdout.splitlines()

    def ends(self, said: tuple[int, list[str]], status: int, *last: str) -> None:
        """The status and the last lines, of which the others begin so."""
        text = "\n".join(said[1])
        self.assertEqual((said[0], said[1][-1]), (status, last[-1]), text)
        at = next(i for i, line in enumerate(said[1]) if " modules in " in line)
        summary = said[1][at + 2 : -1]
        self.assertEqual(len(summary), len(last) - 1, text)
        for line, start in zip(summary, last):
            self.assertTrue(line.startswith(start), f"{start!r} in\n{text}")


class KnownRed(Case):
    """The list of known failures is read by the one test command, and has to be true."""

    def test_no_list(self):
        for red in None, "":
            self.ends(self.run_on(red, test_two=TWO), 1, f"FAILED {BAD}", "1 passed, 1 failed")

    def test_one_that_fails_as_listed(self):
        said = self.run_on(RED.format(BAD), test_two=TWO)
        self.ends(said, 0, f"KNOWN RED {BAD}: a word, or two (issue 7)", "1 passed, 0 failed")
        self.assertIn("AssertionError: on purpose", said[1], "it was not run")

    def test_another_failure_beside_it(self):
        other = TWO.replace("Two", "Other")
        self.ends(
            self.run_on(RED.format(BAD), test_two=TWO, test_other=other),
            1,
            f"KNOWN RED {BAD}",
            "FAILED tests.test_other.Other.test_bad",
            "2 passed, 1 failed",
        )

    def test_one_that_passes_by_now(self):
        self.ends(
            self.run_on(RED.format(BAD) + RED.format(GOOD), test_two=TWO),
            1,
            f"KNOWN RED {BAD}",
            f"FAILED KNOWN-RED.txt: {GOOD} passed by now",
            "1 passed, 1 failed",
        )

    def test_one_that_is_skipped(self):
        skips = TWO.replace('self.fail("on purpose")', 'self.skipTest("")')
        self.ends(
            self.run_on(RED.format(BAD), test_two=skips),
            1,
            f"FAILED KNOWN-RED.txt: {BAD} skipped by now",
            "1 passed, 1 failed, 1 skipped",
        )

    def test_one_that_does_not_come_to_its_end(self):
        dies = TWO.replace('self.fail("on purpose")', "__import__('os')._exit(0)")
        self.ends(
            self.run_on(RED.format(BAD), test_two=dies),
            1,
            f"FAILED {BAD}: its process",
            f"FAILED {GOOD}: its process",
            "0 passed, 2 failed",
        )

    def test_one_that_does_not_exist(self):
        names = "tests.test_two.Two.test_bat", "tests.test_two.Two", "test_two.Two.test_bad"
        self.ends(
            self.run_on("".join(map(RED.format, names)), test_two=TWO),
            1,
            f"FAILED {BAD}",
            *(f"FAILED KNOWN-RED.txt: there is no test {name}" for name in names),
            "1 passed, 4 failed",
        )

    def test_more_than_three_lines(self):
        many = (
            "import unittest\nclass Two(unittest.TestCase): pass\nfor i in range(4):\n"
            "    setattr(Two, f'test_{i}', lambda self: self.fail())\n"
        )
        names = [f"tests.test_two.Two.test_{i}" for i in range(4)]
        three = "".join(map(RED.format, names[:3]))
        self.ends(
            self.run_on(three, test_two=many),
            1,
            *(f"KNOWN RED {name}" for name in names[:3]),
            f"FAILED {names[3]}",
            "0 passed, 1 failed",
        )
        self.ends(
            self.run_on(three + RED.format(names[3]), test_two=many),
            1,
            *(f"KNOWN RED {name}" for name in names),
            "FAILED KNOWN-RED.txt: 4 lines, 3 at most",
            "0 passed, 1 failed",
        )

    def test_lines_in_another_form(self):
        for line in (
            BAD,
            f"{BAD}, cause",
            f"{BAD}, issue 7",
            f"{BAD}, , issue 7",
            f"{BAD}, cause, issue",
            "",
            "# a comment",
            f"{BAD}, cause, issue 0",
            f" {BAD}, cause, issue 7",
            f"{BAD}, cause, 7",
            f"{BAD}; cause; issue 7",
        ):
            reds, wrong = runner.known_red(line + "\n")
            self.assertEqual((reds, len(wrong)), ([], 1), line)
        self.ends(
            self.run_on(BAD + "\n", test_two=TWO),
            1,
            f"FAILED {BAD}",
            "FAILED KNOWN-RED.txt:1: not",
            "1 passed, 2 failed",
        )
        self.ends(
            self.run_on(RED.format(BAD) * 2, test_two=TWO),
            1,
            f"KNOWN RED {BAD}",
            f"FAILED KNOWN-RED.txt:2: {BAD} is named twice",
            "1 passed, 1 failed",
        )


SLOW, FAST = "--speed=9.0,10.0", "--speed=1.0,10.0"  # as of a machine; its calls make it slow


class SlowMachine(Case):
    """Lines that count on a slow machine alone: no failure is excused elsewhere, and nothing that did not come to its end."""

    def line(self, name: str) -> str:
        return f"{name}, a word, or two, issue 7, slow machine\n"

    def test_a_failure_counts_by_the_machine_s_speed(self):
        for name in BAD, BAD.rpartition(".")[0], "tests.test_two":
            said = self.run_on(self.line(name), SLOW, test_two=TWO)
            self.ends(said, 0, f"KNOWN RED {BAD}: a word, or two (issue 7), slow machine", "1 passed, 0 failed")
            self.ends(self.run_on(self.line(name), FAST, test_two=TWO), 1, f"FAILED {BAD}", "1 passed, 1 failed")

    def test_both_figures_make_a_machine_slow_and_are_printed_twice(self):
        self.assertFalse(runner.Speed(runner.SLOW_CALL_US, runner.SLOW_TURN_NS).slow)
        self.assertTrue(runner.Speed(runner.SLOW_CALL_US + 0.1, 0.0).slow)
        self.assertTrue(runner.Speed(0.0, runner.SLOW_TURN_NS + 0.1).slow)
        _, lines = self.run_on(None, SLOW, test_two=TWO)
        said = "machine: a send and a receive 9.0 us, a turn of a loop 10.0 ns: slow"
        self.assertEqual((lines[0], lines.count(said)), (said, 2))
        measured = runner.measure_speed()
        self.assertGreater(min(measured), 0.0)

    def test_a_pass_is_no_fault(self):
        good = TWO.replace('self.fail("on purpose")', "pass")
        for speed in SLOW, FAST:
            self.ends(self.run_on(self.line(BAD), speed, test_two=good), 0, "2 passed, 0 failed")

    def test_another_failure_is_not_excused(self):
        for other in "tests.test_two.Tw", "tests.test_two.Two.test_ba":
            said = self.run_on(self.line(other), SLOW, test_two=TWO)
            self.ends(
                said,
                1,
                f"FAILED {BAD}",
                f"FAILED KNOWN-RED.txt: there is no test {other}",
                "1 passed, 2 failed",
            )

    def test_one_that_does_not_come_to_its_end(self):
        dies = TWO.replace('self.fail("on purpose")', "__import__('os')._exit(0)")
        self.ends(
            self.run_on(self.line("tests.test_two"), SLOW, test_two=dies),
            1,
            f"FAILED {BAD}: its process",
            f"FAILED {GOOD}: its process",
            "0 passed, 2 failed",
        )

    def test_cases_are_printed_and_have_to_exist(self):
        here = f"review/{min(HERE.glob('review/*/run.sh')).parent.name}/run.sh"
        self.assertEqual(len(runner.known_red(RED.format(here))[0]), 1)
        self.assertTrue(runner.Run.exists(runner.Red(here, "", 7, case=True), set()))
        self.ends(
            self.run_on(RED.format("review/9/run.sh"), test_two=TWO.replace("self.fail", "print")),
            1,
            "KNOWN RED review/9/run.sh: a word, or two (issue 7)",
            "FAILED KNOWN-RED.txt: there is no test review/9/run.sh",
            "2 passed, 1 failed",
        )

    def test_each_kind_has_its_own_limit(self):
        names = [f"tests.test_a.A.test_{i}" for i in range(13)]
        slow = "".join(map(self.line, names))
        self.assertEqual(runner.known_red("".join(map(self.line, names[:12])))[1], [])
        self.assertEqual(runner.known_red(slow)[1], ["KNOWN-RED.txt: 13 lines for slow machines, 12 at most"])
        cases = "".join(RED.format(f"review/{i}/run.sh") for i in range(1, 5))
        self.assertEqual(runner.known_red(cases)[1], ["KNOWN-RED.txt: 4 cases, 3 at most"])
        self.assertEqual(len(runner.known_red("review/1/run.sh, a word, issue 7, slow machine\n")[1]), 1)
        self.assertEqual(len(runner.known_red("review/0/run.sh, a word, issue 7\n")[1]), 1)


class Modules(Case):
    """Each test that discovery finds is run once; what is not known to have passed has failed."""

    def test_modules_that_pass(self):
        good = TWO.replace('self.fail("on purpose")', "print('said')")
        said = self.run_on(None, test_a=good, test_b=good, test_c=good, test_d=good)
        self.ends(said, 0, "8 passed, 0 failed")
        for module in "abcd":  # each with its whole output in one piece
            at = next(i for i, line in enumerate(said[1]) if line.startswith(f"== tests.test_{module}: 2 tests"))
            self.assertIn("said", said[1][at + 1])
            self.assertIn("OK", said[1][at : at + 7])

    def test_what_ends_without_a_result(self):
        start = "import os, signal, time, unittest\n"
        failing = {
            "test_no_import": "import nothing_of_this_name\n",
            "test_empty": "",
            "test_leaves": "raise SystemExit(0)\n",
            "test_absent": "import unittest\nraise unittest.SkipTest('')\n",
        }
        for name, line in {
            "exits": "os._exit(0)",
            "killed": "os.kill(os.getpid(), signal.SIGKILL)",
            "hangs": "time.sleep(60)",
            "set_up": "pass\n    @classmethod\n    def setUpClass(cls): raise KeyError",
        }.items():
            failing[f"test_{name}"] = f"{start}class One(unittest.TestCase):\n    def test_it(self): {line}\n"
        status, lines = self.run_on(None, "--limit=8", test_two=TWO.replace("self.fail", "print"), **failing)
        self.assertEqual((status, lines[-1]), (1, "2 passed, 9 failed"), "\n".join(lines))
        for name in failing:
            lost = sum(line.startswith("FAILED") and f"tests.{name}" in line for line in lines)
            self.assertEqual(lost, 2 if name == "test_set_up" else 1, "\n".join(lines))

    def test_failures_of_other_kinds(self):
        text = """import unittest
class Parts(unittest.TestCase):
    def test_part(self):
        for i in range(3):
            with self.subTest(i): self.assertNotEqual(i, 1)
    @unittest.expectedFailure
    def test_expected(self): self.fail()
    @unittest.expectedFailure
    def test_unexpected(self): pass
    def test_error(self): raise KeyError
    def test_good(self): pass
def tearDownModule(): raise KeyError
"""
        self.ends(
            self.run_on(None, test_two=text),
            1,
            "FAILED tearDownModule (tests.test_two)",
            *(f"FAILED tests.test_two.Parts.test_{name}" for name in ("error", "expected", "part", "unexpected")),
            "1 passed, 5 failed",
        )

    def test_a_run_that_is_ended_ends_what_it_started(self):
        with tempfile.TemporaryDirectory() as folder:
            top = Path(folder)
            (top / "tests").mkdir()
            (top / "tests/__init__.py").touch()
            (top / "tests/test_long.py").write_text(
                "import os, subprocess, time, unittest\nfrom pathlib import Path\nclass Long(unittest.TestCase):\n"
                "    def test_long(self):\n        child = subprocess.Popen(['sleep', '60'])\n"
                "        Path('new').write_text(f'{os.getpid()} {child.pid}')\n        os.rename('new', 'pids')\n"
                "        time.sleep(60)\n"
            )
            run = subprocess.Popen([sys.executable, "-P", runner.__file__], cwd=top, stdout=subprocess.DEVNULL)
            until = time.monotonic() + 30
            while not (top / "pids").exists() and time.monotonic() < until:
                time.sleep(0.01)
            worker, child = map(int, (top / "pids").read_text().split())
            run.terminate()
            self.assertEqual(run.wait(10), 1)
            with self.assertRaises(ProcessLookupError):
                os.kill(worker, 0)
            while self.alive(child) and time.monotonic() < until:  # init has to take it
                time.sleep(0.01)
            self.assertFalse(self.alive(child))

    def alive(self, pid: int) -> bool:
        try:
            return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] not in "ZX"
        except OSError:
            return False

    def test_a_module_that_is_dealt_out(self):
        """Each of its tests is run once, and one that fails or dies is found in whichever part it is."""
        many = (
            "import os, unittest\nclass Many(unittest.TestCase): pass\nfor i in range(8):\n"
            "    setattr(Many, f'test_{i}', lambda self, i=i: [print, self.assertFalse, os._exit][%s](i))\n"
        )
        for fails, status, last in (
            ("0", 0, "8 passed, 0 failed"),
            ("i == 4", 1, "7 passed, 1 failed"),
            ("2 * (i == 7)", 1, "5 passed, 3 failed"),
        ):  # 1, 4 and 7 are in one process
            code, lines = self.run_on(None, test_orders=many % fails)
            self.assertEqual((code, sum(line.startswith("== ") for line in lines)), (status, 3), "\n".join(lines))
            self.assertEqual(lines[-1], last, "\n".join(lines))

    def test_which_modules_run_beside_each_other(self):
        """Of those that start many processes, one at a time; the others beside it, those that take longest first."""
        run = runner.Run(4, 1.0, [], sys.stdout)
        self.assertLessEqual(runner.CROWDS, {f"tests.{path.stem}" for path in (HERE / "tests").glob("test_*.py")})
        self.assertFalse(runner.CROWDS & runner.SPLIT.keys())
        one, other, net = map(runner.Unit, [*sorted(runner.CROWDS)[:2], "tests.test_net"])
        self.assertEqual(run.next([one, other, net]), one)
        run.running = [SimpleNamespace(unit=one)]
        self.assertEqual(run.next([other, net]), net)
        self.assertIsNone(run.next([other]))

    def test_the_one_test_command(self):
        """README and CI run this command, and nothing else beside it decides."""
        self.assertIn("python -m tests     # the one test command\n", (HERE / "README.md").read_text())
        self.assertEqual((HERE / ".ci/run").read_text().splitlines()[-1], ".venv/bin/python -m tests")


if __name__ == "__main__":
    unittest.main()
