"""A toy deployment on loopback to try a node against, and a client to ask it with.

    python examples/toy.py                        # start it; it runs until Ctrl-C
    python examples/toy.py read KEY [TIMES]       # ask the node, as a client would
    python examples/toy.py write KEY VALUE

The deployment is the lab's stand-ins at the ports of examples/config.json: two cache servers, an origin and
discovery. It is no measure of anything.
"""

from __future__ import annotations

import random
import socket
import sys
import time
from pathlib import Path

HOST, NODE = "127.0.0.1", 11211


def ask(key: str, value: str | None, times: int) -> None:
    with socket.create_connection((HOST, NODE)) as sock, sock.makefile("rb") as answers:
        for _ in range(times):
            tag = f"O{random.getrandbits(64):016x}"
            if value is None:
                line = f"mg {key} v {tag} Pc=read,t=acme,d=900\r\n"
            else:
                mark = f"{random.getrandbits(64):016x}"
                line = f"ms {key} {len(value.encode())} {tag} Pc=put,t=acme,d=1900,k={mark}\r\n{value}\r\n"
            begun = time.monotonic()
            sock.sendall(line.encode())
            said = answers.readline()
            if said.startswith(b"VA"):
                said += answers.read(int(said.split()[1]) + 2)
            print(f"{(time.monotonic() - begun) * 1000:6.1f} ms  {said.decode().strip()!r}")


def main(words: list[str]) -> None:
    if not words:
        sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
        from saltmoor.lab import toy

        toy.main()
    elif words[0] == "read" and len(words) in (2, 3):
        ask(words[1], None, int(words[2]) if len(words) == 3 else 1)
    elif words[0] == "write" and len(words) == 3:
        ask(words[1], words[2], 1)
    else:
        sys.exit(__doc__)


if __name__ == "__main__":
    main(sys.argv[1:])
