"""What staff see of a node's work: counts by name and reason, and lines with a request's id."""

from __future__ import annotations

import unittest

import uvloop

from saltmoor.net.counters import EVERY, MOST, OTHER, Counters, RequestLog
from tests.helper import read, write
from tests.test_operations import Operated


class Counted(unittest.TestCase):
    def test_names_and_reasons_are_bounded(self):
        counters = Counters()
        for number in range(MOST + 5):
            counters.add("closed", f"code{number}")
        self.assertEqual(len(counters.counts), MOST + 1)
        self.assertEqual(counters.counts["closed", OTHER], 5)

    def test_one_line_of_a_kind_in_a_while(self):
        lines, now = [], [0.0]
        log = RequestLog(lines.append, lambda: now[0], Counters())
        for number in range(4):
            log.note("refused", "deadline", f"r{number}", attempts=1)
        now[0] = EVERY
        log.note("refused", "deadline", "r9", attempts=2)
        self.assertEqual(
            lines,
            [
                "refused request=r0 reason=deadline attempts=1",
                "refused request=r9 reason=deadline attempts=2 skipped=3",
            ],
        )
        self.assertEqual(log.counters.counts["refused", "deadline"], 5)

    def test_a_node_tells_its_counts_and_says_whose_request_it_was(self):
        async def run() -> tuple[str, str]:
            async with Operated() as town:
                one = await town.client()
                await one.ask(read("busy", "a1"))
                await one.ask(read("cut", "a2"))
                await one.ask(write("error", tag="a3", profile="once"))
                town.lines.clear()
                await town.call("GET /_metrics HTTP/1.1\r\n\r\n")
                return "\n".join(town.lines), town.logged.getvalue()

        text, logged = uvloop.run(run())
        for line in 'retried_total{reason="reset"}', 'violations_total{reason="duplicate"} 0', "connections_ended":
            self.assertIn(line, text)
        self.assertRegex(logged, r"retried request=a2 reason=reset server=\w+ attempt=2")
        self.assertRegex(logged, r"(refused|failed) request=a\d reason=[\w-]+ attempts=\d")


if __name__ == "__main__":
    unittest.main()
