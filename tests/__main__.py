"""The one test command: `python -m tests`; see tests/runner.py."""

import sys

from tests.runner import main

if __name__ == "__main__":
    sys.exit(main())
