"""A connection that is past its bound when its answer is taken ends with the end of the stream, not with a reset."""

from __future__ import annotations

import asyncio
import unittest

from saltmoor.guard.ends import ConnectionEnd
from saltmoor.net.client import Client
from tests.helper import VALUE, Town, read, within

PAST = 3_000_000  # microseconds since the bound of its end


async def until_taken(client: Client) -> None:
    """Wait until the client's machine has all that was written."""
    while client.stream.backlog():
        await asyncio.sleep(0.001)


class EndWithoutReset(unittest.IsolatedAsyncioTestCase):
    async def test_a_look_between_the_last_byte_and_the_end(self):
        """Guards against a drain's look at its connections, in the one pass before the end is said."""
        looks: list[int] = []

        async with Town() as town:
            caller = await town.client()
            await caller.ask(read("hit"))
            client = next(iter(town.service.clients.clients))
            plain, wake = client.flush, client.wake

            async def flush_and_look() -> None:
                client.wake = lambda: None  # its reader's turn comes later
                await plain()
                client.wake = wake
                if client.idle and client.count == 2:
                    await within(5, until_taken(client))
                    looks.append(client.stream.backlog())
                    client.advance_now()
                client.wake()

            client.flush = flush_and_look
            caller.say(read("big", "2"))
            self.assertTrue((await within(5, caller.reader.readline())).startswith(b"VA"))
            now = client.house.clock()
            client.end_due = ConnectionEnd("drain", now, now, 0, now - PAST)
            client.close("drain")
            value = await within(5, caller.reader.readexactly(len(VALUE) + 2))
            rest = await within(5, caller.reader.read())  # a reset raises
        self.assertEqual((value, rest, looks), (VALUE + b"\r\n", b"", [0]))


if __name__ == "__main__":
    unittest.main()
