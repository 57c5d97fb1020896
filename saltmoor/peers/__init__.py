"""Nodes that know each other: who is there, and what they say. Off unless the operators' file has a table `peers`."""
