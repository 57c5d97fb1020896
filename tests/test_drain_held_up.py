"""A process that is held up as a drain's answers fall due still gives them, instead of a reset.

Real processes on loopback. Source: the operators' pages on drains and on requests without an answer, and their standing
test (a node may be held up for 0.15 s).
"""

from __future__ import annotations

import asyncio
import signal
import time
import unittest

import uvloop

from saltmoor.guard import ends
from tests.helper import MS, settings
from tests.queue_clients import QueueClient
from tests.test_drain_bound import DrainTown

CLIENTS = 10
LONGEST_MS = 4800  # of a request that no server answers: longer than a drain
HALT, LONGEST_HALT = 0.14, 0.15  # seconds: a node may be held up for the longer one
TRIES = 3  # where the machine made the halt longer than that
BEFORE = 0.02  # seconds before the answers fall due
SEEN_BY = 0.3  # seconds after the end of the halt: what the node has sent is read


class SilentTown(DrainTown):
    """Real processes of a node whose cache server never answers."""

    def __init__(self) -> None:
        super().__init__()
        classes = [
            {"name": "read", "repeat": "idempotent", "aim_ns": 2000 * MS * 1000, "deadline_ns": LONGEST_MS * MS * 1000}
        ]
        self.changed["settings"] = settings(classes=classes, permissions={"max_attempts": 1, "probes": False})

    async def cache(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        await reader.read()


class SilentClient(QueueClient):
    """Asks once, and keeps what it gets."""

    said = b""

    def once(self) -> None:
        self.transport.write(f"mg hit v O{self.number:x} Pc=read,t=acme,d={LONGEST_MS}\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.said += data


async def drain_with_a_halt() -> tuple[float, list[int]]:
    """How long the node was halted as its answers fell due, and which clients had none soon afterwards."""
    async with SilentTown() as town:
        node, admin = await town.begin()
        loop = asyncio.get_running_loop()
        clients = [SilentClient("once", number + 1) for number in range(CLIENTS)]
        await asyncio.gather(*(loop.create_connection(lambda one=one: one, *town.address) for one in clients))
        await asyncio.sleep(0.1)
        call = time.monotonic()
        await town.call(admin, "POST", "/_lameduck/on")
        due = call + ends.plan_drain(LONGEST_MS * MS).answers_until / 1_000_000
        await asyncio.sleep(due - BEFORE - time.monotonic())
        halted = time.monotonic()
        node.send_signal(signal.SIGSTOP)
        await asyncio.sleep(HALT)
        node.send_signal(signal.SIGCONT)
        lasted = time.monotonic() - halted
        await asyncio.sleep(SEEN_BY)
        unanswered = [one.number for one in clients if not one.said]
        for one in clients:
            one.transport.abort()
        return lasted, unanswered


class DrainHeldUp(unittest.TestCase):
    def test_a_halt_as_answers_fall_due_resets_no_client_in_place_of_its_answer(self):
        """Guards against answers that fall due in the same pass in which their connections are overdue."""
        for _ in range(TRIES):
            lasted, unanswered = uvloop.run(asyncio.wait_for(drain_with_a_halt(), 20))
            if lasted <= LONGEST_HALT:
                break
        self.assertEqual(unanswered, [], f"no answer behind a halt of {lasted:.3f} s")


if __name__ == "__main__":
    unittest.main()
