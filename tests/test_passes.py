"""One pass of the loop takes a few commands of each connection, however many of them were read at once."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from unittest import mock

import uvloop

from saltmoor.net import clients
from tests.helper import Caller, Town, read

CONNECTIONS, COMMANDS = 12, 40


class Counted(Town):
    """Counts the commands that are begun in each pass of the loop."""

    def __init__(self) -> None:
        super().__init__()
        self.passes, self.begun = 0, Counter()

    def note(self, text: str) -> None:
        pass

    def count(self) -> None:
        self.passes += 1
        asyncio.get_running_loop().call_soon(self.count)

    async def hear_all(self, caller: Caller) -> int:
        """Take as many answers on that connection as it asked for; how many were values."""
        values = 0
        for _ in range(COMMANDS):
            if (await caller.reader.readline()).startswith(b"VA"):
                await caller.reader.readline()
                values += 1
        return values


class LongPass(unittest.TestCase):
    def begin(self, long_pass: int) -> Counter:
        """How many commands are begun in each pass where so many microseconds make one a long pass."""

        async def run() -> Counter:
            async with Counted() as town:
                callers = [await town.client() for _ in range(CONNECTIONS)]
                begin = town.service.clients.begin

                def counted(*what) -> None:
                    town.begun[town.passes] += 1
                    begin(*what)

                town.count()
                ids = [[f"{number:x}c{count:x}" for count in range(COMMANDS)] for number in range(CONNECTIONS)]
                with (
                    mock.patch.object(clients, "LONG_PASS", long_pass),
                    mock.patch.object(town.service.clients, "begin", counted),
                ):
                    for caller, own in zip(callers, ids):
                        caller.writer.write("".join(read("hit", one) for one in own).encode())
                    values = await asyncio.gather(*(town.hear_all(caller) for caller in callers))
                self.assertGreater(sum(values), 0)
                for caller in callers:
                    caller.writer.close()
                return town.begun

        return uvloop.run(asyncio.wait_for(run(), 20))

    def test_connections_that_were_read_full_take_turns_in_a_long_pass(self):
        """Guards against a pass as long as all that was read, in which no call to drain and no timer is heard."""
        begun = self.begin(long_pass=-1)
        self.assertEqual(begun.total(), CONNECTIONS * COMMANDS)
        self.assertLessEqual(max(begun.values()), CONNECTIONS)

    def test_a_short_pass_takes_all_that_a_connection_has_sent(self):
        """Guards against a pause of the loop between two commands that were read together."""
        self.assertGreaterEqual(max(self.begin(long_pass=10**9).values()), COMMANDS)


if __name__ == "__main__":
    unittest.main()
