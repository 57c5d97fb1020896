"""The tests; each node that they start raises where it finds a rule violated, its own process and its children's."""

import os

os.environ.setdefault("SALTMOOR_STRICT", "1")
