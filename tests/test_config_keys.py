"""Names of keys and variables for the log: every depth, no value, and bounded."""

from __future__ import annotations

import unittest

from saltmoor import config_keys


class Names(unittest.TestCase):
    def test_keys_at_every_depth_without_a_value(self):
        said = {"serve": {"admin_addr": "127.0.0.1:9"}, "known": {"instances": [{"id": "s1"}, {"zone": "a"}]}}
        names = config_keys.key_names(said)
        expected = "known", "known.instances", "known.instances[].id", "known.instances[].zone", "serve"
        self.assertEqual(names, (*expected, "serve.admin_addr"))

    def test_the_names_are_bounded(self):
        self.assertEqual(len(config_keys.key_names({str(i): 1 for i in range(1000)})), config_keys.MOST_NAMES)
        deep: dict = {}
        for _ in range(500):
            deep = {"a": deep}
        self.assertLess(len(config_keys.key_names(deep)), 2 * config_keys.DEEPEST)

    def test_variables_of_a_node_alone(self):
        self.assertEqual(
            config_keys.variable_names({"ROUTER_B": "x", "HOME": "y", "ROUTER_A": "z"}), ("ROUTER_A", "ROUTER_B")
        )


if __name__ == "__main__":
    unittest.main()
