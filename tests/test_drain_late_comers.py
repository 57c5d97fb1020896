"""Who comes while a node drains, though its `mn` is a no, is not held 4 s after the call, and hears at once where to go.

A real process on loopback. Source: the operators' page on the second address (no connection held idle, or with a request
from the last 2 s), and their incident of docs/incidents/drain-held-late.md.
"""

from __future__ import annotations

import asyncio
import itertools
import time
import unittest

import uvloop

from tests.queue_clients import QueueClient, come
from tests.test_drain_bound import DrainTown

BOUND = 4.0  # seconds after the call
FRONT_SEES = 2.0  # seconds after the call: whoever comes later has not asked the front
COMES_EVERY = 0.05  # seconds
KINDS = "silent", "half", "hit", "long", "overlapping", "closed_loop"
JUST_COME = 0.15  # seconds: a process may be held up for so long, also between a connect and its accept


class LateComers(unittest.TestCase):
    def test_clients_that_go_on_coming_are_not_held_past_a_drain(self):
        """Guards against a moment that each late connection is given: whoever came last is always held."""

        async def run() -> None:
            async with DrainTown() as town:
                _, admin = await town.begin()
                called = time.monotonic()
                self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))
                await asyncio.sleep(called + FRONT_SEES - time.monotonic())
                numbers, clients = itertools.count(1).__next__, []
                while time.monotonic() < called + BOUND:
                    clients += await come(town.address, KINDS, len(KINDS), numbers)
                    await asyncio.sleep(COMES_EVERY)
                now = time.monotonic()
                held = [self.shown(one, now) for one in clients if not one.ended and now - one.connected > JUST_COME]
                self.assertEqual(held, [], f"{len(held)} of {len(clients)} held 4 s after the call")
                unanswered = [what for one in clients for what in one.unanswered(town.forwarded)]
                self.assertEqual(unanswered, [])
                for one in clients:
                    one.transport.abort()

        uvloop.run(asyncio.wait_for(run(), 20))

    @staticmethod
    def shown(client: QueueClient, now: float) -> str:
        return f"{client.kind}, {now - client.connected:.2f} s old"


if __name__ == "__main__":
    unittest.main()
