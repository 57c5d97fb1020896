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
