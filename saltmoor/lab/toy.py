"""A toy deployment to try a node against: the lab's stand-ins at fixed addresses, until Ctrl-C.

Two cache servers, an origin and discovery at the ports of examples/config.json. It is no measure of anything.
"""

from __future__ import annotations

import asyncio

from saltmoor.lab import scenario as plan
from saltmoor.lab.book import Book
from saltmoor.lab.stage import Stage
from saltmoor.lab.wire import Driver

DISCOVERY, ORIGIN, CACHES = 8500, 8600, (11311, 11312)
SAID = {
    "name": "toy",
    "about": "two cache servers and an origin",
    "fleet": {"servers": 2, "start": "empty", "kind": [{"name": "small", "cores": 2}], "report": ["queue"]},
    "origin": {"work_ms": 100},
    "discovery": {"late_ms": [0, 0]},
    "profile": [
        {"name": "read", "share": 1, "work_ms": 10, "goal_ms": 400, "limit_ms": 1000},
        {
            "name": "put",
            "share": 1,
            "work_ms": 10,
            "goal_ms": 1000,
            "limit_ms": 2000,
            "write": True,
            "repeat": "journalled",
            "window_ms": 1500,
        },
    ],
}


class Teller(Book):
    """A book that says aloud what comes and what is answered, and keeps nothing."""

    def note(self, kind: str, *row) -> None:
        if kind == "got":
            print(f"{row[2]}: {row[5]} {row[6]}", flush=True)
        elif kind == "told":
            print(f"{row[1]}: {row[3]}", flush=True)


async def serve() -> None:
    stage = Stage(plan.check(SAID), 1, 1, Teller(), Driver())
    for server, port in [(stage.origin, ORIGIN), *zip(stage.caches, CACHES)]:
        server.ports[0].number = port
    stage.registry.ports[0].number = DISCOVERY
    stage.open()
    print(f"toy deployment on 127.0.0.1: discovery {DISCOVERY}, origin {ORIGIN}, cache servers {CACHES}", flush=True)
    await asyncio.Event().wait()


def main() -> int:
    try:
        asyncio.run(serve())
    except KeyboardInterrupt:
        pass
    return 0
