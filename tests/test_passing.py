"""What the lab says of one node's data path: a real node between stand-ins, and a row that says when it does not count."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from saltmoor.lab import passing

SIZE, SECONDS = 64_000, 0.6


class Passing(unittest.TestCase):
    def test_a_row_of_one_real_node(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "rows.json"
            with mock.patch("builtins.print"):
                with mock.patch.object(passing, "WAITED", 2.0):  # a busy machine is no fault here
                    made = passing.main([SIZE], SECONDS, str(path))
            kept = json.loads(path.read_text())
        self.assertEqual(made, 0)
        row = {one["unit"]: one["value"] for one in kept["rows"]}
        self.assertGreater(row["requests/s"], 0)
        self.assertAlmostEqual(row["MB/s"], row["requests/s"] * SIZE / 1e6, delta=0.2)
        self.assertGreater(row["us of a core"], 0)

    def test_each_read_is_served(self) -> None:
        row = passing.measure(SIZE, SECONDS)
        self.assertEqual(row["other"], 0)
        self.assertGreater(row["served_per_s"], 0)
        self.assertGreater(row["core"], 0)

    def test_a_row_that_is_void_has_no_figures(self) -> None:
        full, late = self.row(0.95, 0.0, 1900), self.row(0.9, 0.2, 100)
        self.assertEqual(passing.counted([late], 1.0), [])
        self.assertEqual(
            [one["value"] for one in passing.counted([late, full], 1.0)],
            [1900.0, round(1900 * SIZE / 1e6, 1), 500.0, 9.0],
        )

    def row(self, ran: float, waited: float, served: int) -> dict:
        """The figures of a node that ran and waited so long, out of one second."""
        part = mock.Mock(
            **{
                "stdout.readline.return_value": "1",
                "poll.return_value": 0,
                "communicate.return_value": (json.dumps({"served": served, "other": 0, "bytes": served * SIZE}), ""),
            }
        )
        with (
            mock.patch.object(passing, "part", return_value=part),
            mock.patch.object(passing, "ASKERS", 1),
            mock.patch.object(passing, "serve", return_value=(part, 1)),
            mock.patch.object(passing.time, "sleep"),
            mock.patch.object(
                passing, "used", side_effect=[(5.0, 1.0, 1_000_000), (5.0 + ran, 1.0 + waited, 9_000_000)]
            ),
            mock.patch.object(passing.time, "monotonic", side_effect=[10.0, 11.0]),
        ):
            return passing.measure(SIZE, 1.0)

    def test_a_node_that_waited_for_a_core_makes_its_row_void(self) -> None:
        self.assertEqual(self.row(0.9, 0.2, 100)["void"], "the node waited for a core")
        self.assertEqual(self.row(0.9, 0.0, 0)["void"], "nothing served")
        self.assertEqual(self.row(0.9, 0.05, 100)["void"], "")

    def test_a_node_that_was_not_busy_is_no_limit(self) -> None:
        self.assertFalse(self.row(0.5, 0.0, 100)["at_its_limit"])
        full = self.row(0.95, 0.0, 1900)
        self.assertTrue(full["at_its_limit"])
        self.assertEqual((full["core_us_a_request"], full["per_core_per_s"]), (500.0, 2000.0))


if __name__ == "__main__":
    unittest.main()
