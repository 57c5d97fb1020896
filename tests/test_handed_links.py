"""Connections to servers that one process of a node hands to the next: used there as the first one would have.

Guards against answers that were made for others (review/1).
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import unittest
from typing import Any

from saltmoor import config, model
from saltmoor.model import Ended, Readiness
from saltmoor.net import lifecycle, meta, upstream
from saltmoor.net.buffers import Buffers
from saltmoor.net.flow import Budget
from saltmoor.net.link_state import LinkState
from saltmoor.net.log import Log
from saltmoor.net.sibling import Sibling
from saltmoor.net.upstream import Upstream
from tests.helper import read, within

BEHIND = 0.008  # seconds between an answer and its second copy
SERVED_IN = 0.02  # seconds
REST_OVER = 1.5 * upstream.REST / 1_000_000  # seconds


class Server:
    """Answers with the key; to `busy` it gives an answer that names no request, and to `busy-twice` a second copy."""

    async def __aenter__(self) -> Server:
        self.connections: list[asyncio.StreamWriter] = []
        self.listening = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.listening.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *error) -> None:
        self.listening.close()
        for writer in self.connections:
            writer.close()
        await asyncio.sleep(0.01)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        while words := (await reader.readline()).decode().split():
            key, tag = words[1], next(word for word in words if word.startswith("O"))
            if not key.startswith("busy"):
                await asyncio.sleep(SERVED_IN)
                writer.write(f"VA {len(key)} {tag} h1\r\n{key}\r\n".encode())
                continue
            writer.write(b"SERVER_ERROR busy\r\n")
            if key == "busy-twice":
                asyncio.get_running_loop().call_later(BEHIND, writer.write, b"SERVER_ERROR busy\r\n")
        writer.close()


class Process:
    """The connections of one process of a node, without the rest of it."""

    def __init__(self, server: Server) -> None:
        self.links = Upstream(
            Buffers(16),
            Log(),
            lifecycle.clock,
            budget=Budget(1 << 20),
            cap=lambda: 16,
            make_room=lambda: False,
            idle=30_000_000,
            connect_wait=1_000_000,
            figures=True,
        )
        self.list("s1", server)

    def list(self, name: str, server: Server) -> None:
        """That server alone is listed from now on, at that address."""
        member = model.Member(name, 0, 0, 0, Readiness.READY, 1.0, 0)
        self.links.listed([config.Line(member, server.address)], whole=True)

    async def ask(self, key: str, name: str = "s1") -> meta.Reply:
        command = meta.parse(read(key).strip().encode())
        until = self.links.clock() + 1_000_000
        lines = meta.hop_bytes(command, 900)
        return await within(5, self.links.exchange(name, lines, meta.HopReply(command), until))

    def hand_to(self, heir: Process, **changed: Any) -> None:
        """Hand on all that is free; a message key that is `changed` to None is left out of what the heir is told."""

        def give(message: dict[str, Any], descriptor: int) -> bool:
            told = json.loads(json.dumps(message)) | changed
            state = LinkState.parse({key: value for key, value in told.items() if value is not None})
            heir.links.adopt(socket.socket(fileno=os.dup(descriptor)), state)
            return True

        self.links.hand_on(give)


class HandedLinks(unittest.IsolatedAsyncioTestCase):
    async def test_what_rests_goes_on_resting(self):
        """A second copy of the answer before is not taken for the next one's."""
        for changed in {}, {"rests": None}:  # as told, and by an older version of the program, which tells no rest
            async with Server() as server:
                first, second = Process(server), Process(server)
                self.assertIsNot((await first.ask("busy-twice")).ended, Ended.COMMITTED)
                first.hand_to(second, **changed)
                self.assertEqual(len(second.links.free["s1"]), 1)
                for _ in range(2):  # the first one would be given the copy
                    with self.subTest(changed=changed):
                        self.assertIs((await second.ask("key")).ended, Ended.COMMITTED)
                    await asyncio.sleep(REST_OVER)
                self.assertEqual(len(server.connections), 2)
                for process in first, second:
                    process.links.close_all()

    async def test_what_has_rested_is_used_again(self):
        async with Server() as server:
            first, second = Process(server), Process(server)
            await first.ask("busy")
            first.hand_to(second)
            await asyncio.sleep(REST_OVER)
            self.assertIs((await second.ask("key")).ended, Ended.COMMITTED)
            self.assertEqual(len(server.connections), 1)
            second.links.close_all()

    async def test_what_does_not_rest_is_used_at_once(self):
        async with Server() as server:
            first, second = Process(server), Process(server)
            await first.ask("key")
            first.hand_to(second)
            self.assertIs((await second.ask("key")).ended, Ended.COMMITTED)
            self.assertEqual(len(server.connections), 1)
            second.links.close_all()

    async def test_another_server_at_the_address_of_one_that_has_gone(self):
        async with Server() as server:
            first, second = Process(server), Process(server)
            await first.ask("key")
            second.list("s2", server)
            first.hand_to(second)
            self.assertEqual((second.links.free, second.links.open), ({}, 0))
            self.assertIs((await second.ask("key", "s2")).ended, Ended.COMMITTED)
            self.assertEqual(len(server.connections), 2)
            second.links.close_all()

    async def test_a_server_that_is_listed_elsewhere_by_now(self):
        async with Server() as server, Server() as elsewhere:
            first, second = Process(server), Process(elsewhere)
            await first.ask("key")
            first.hand_to(second)
            self.assertIs((await second.ask("key")).ended, Ended.COMMITTED)
            self.assertEqual([len(one.connections) for one in (server, elsewhere)], [1, 1])
            second.links.close_all()

    async def test_a_descriptor_that_was_taken_stays_open_where_its_message_fails(self):
        """Guards against closing a number that another socket may have by then."""
        here, there = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        taken, left = socket.socketpair()
        kept: list[socket.socket] = []

        def told(message: dict[str, Any], descriptors: list[int]) -> None:
            kept.append(socket.socket(fileno=descriptors.pop(0)))
            raise ValueError("of another version")

        sibling = Sibling(here, Log())
        sibling.told = told
        socket.send_fds(there, [b"{}"], [taken.fileno(), left.fileno()])
        await asyncio.sleep(0.01)
        open_now = len(os.listdir("/proc/self/fd"))
        self.assertEqual(kept[0].send(b"x"), 1)
        kept[0].close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), open_now - 1)
        sibling.end()
        for sock in there, taken, left:
            sock.close()

    def test_each_field_stays_itself(self):
        state = LinkState("s1", ("127.0.0.1", 7001), since=5, used=7, exchanges=2, rests=9)
        self.assertEqual(LinkState.parse(json.loads(json.dumps(state.message()))), state)
        self.assertEqual(LinkState.parse(state.message() | {"later": 1}), state)
        for key in "server", "address", "since", "used", "exchanges":
            with self.assertRaises((KeyError, TypeError, ValueError)):
                LinkState.parse({name: value for name, value in state.message().items() if name != key})
        for key in "address", "since", "used", "exchanges":
            with self.assertRaises((KeyError, TypeError, ValueError)):
                LinkState.parse(state.message() | {key: "x"})


if __name__ == "__main__":
    unittest.main()
