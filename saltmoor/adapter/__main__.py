"""python -m saltmoor.adapter: the simulator's wire on standard input and output."""

import sys

from saltmoor.adapter.codec import BadFrame
from saltmoor.adapter.host import serve


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except BadFrame as error:
        print(f"saltmoor adapter: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
