"""Who has connected is gone 4 s after a drain's call, also who waits at the listener of a node at its caps.

Real processes on loopback. Source: the operators' page on the second address, and their incident of
docs/incidents/drain-held-queue.md.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
import os
import signal
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

import uvloop

from saltmoor.lab.soak.shim import Call, NoCompiler, Shim, build
from tests.queue_clients import QueueClient, come
from tests.test_drain_bound import Address, DrainTown, Process

Scene = Callable[["FullTown", Process, Address], Awaitable[None]]

BOUND = 4.0  # seconds after the call: from then on no client's connection may be held
FRONT_SEES = 0.2  # seconds after the call: then the front opens no new connections
ANSWERED_WITHIN = 1.0  # seconds: `mn` on a new connection, and calls at the second address
BACK_WITHIN = 2.0  # seconds after a drain's end: `mn` is a yes
MN_EVERY = 0.1
DESCRIPTORS, FEWER_DESCRIPTORS = 160, 120
KILLED_AFTER = 3.2  # seconds after SIGTERM: the longest deadline of DrainTown, and 0.7
BEFORE = 0.6  # seconds that the others wait before the call
OTHERS = 60
OTHER_KINDS = "hit", "silent", "closed_loop", "half", "long", "overlapping"


class FullTown(DrainTown):
    """Real processes of a node with few descriptors."""

    def __init__(self) -> None:
        super().__init__()
        self.changed["limits"] = {"sockets": DESCRIPTORS}
        self.shim: Shim | None = None

    async def begin_with(self, shim: Shim) -> tuple[Process, Address]:
        """A process whose system calls can be made to fail."""
        kept = {name: os.environ.get(name) for name in shim.environment()}
        os.environ.update(shim.environment())
        try:
            return await self.begin()
        finally:
            for name, value in kept.items():
                os.environ.pop(name) if value is None else os.environ.update({name: value})

    def lower_limits(self) -> None:
        text = self.file.read_text()
        self.file.write_text(text.replace(f'"sockets": {DESCRIPTORS}', f'"sockets": {FEWER_DESCRIPTORS}'))


async def ask_mn(address: Address) -> bytes | None:
    """What `mn` is answered with on a new connection: empty where it is closed instead, None in no time."""
    try:
        async with asyncio.timeout(ANSWERED_WITHIN):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"mn\r\n")
                return await reader.readline()
            finally:
                writer.close()
    except TimeoutError:  # an OSError too
        return None
    except OSError:
        return b""


class Front:
    """Asks `mn` on new connections, and the second address, and notes what came."""

    def __init__(self, address: Address, town: FullTown, admin: Address) -> None:
        self.address, self.town, self.admin = address, town, admin
        self.answers: list[tuple[float, bytes | None]] = []
        self.slow_calls = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        while True:
            for work in self.ask(), self.call():
                self.tasks.add(asyncio.create_task(work))
            await asyncio.sleep(MN_EVERY)

    async def ask(self) -> None:
        at = time.monotonic()
        self.answers.append((at, await ask_mn(self.address)))

    async def call(self) -> None:
        try:
            await asyncio.wait_for(self.town.call(self.admin, "GET", "/_ready"), ANSWERED_WITHIN)
        except (TimeoutError, OSError):
            self.slow_calls += 1

    def end(self) -> None:
        for task in self.tasks:
            task.cancel()


async def nothing(town: FullTown, node: Process, admin: Address) -> None:
    pass


class DrainQueue(unittest.TestCase):
    def drain(
        self,
        fillers: dict[str, int],
        scene: Scene = nothing,
        *,
        shim: Shim | None = None,
        mn: bool = True,
        answers: bool = True,
    ) -> None:
        """Fill a node's caps, let others connect, tell it to drain; judge each client from its `connect` on.

        `mn`: whether the front's questions are judged; `answers`: whether the machine lets the node answer at all.
        """

        async def run() -> None:
            async with FullTown() as town:
                node, admin = await (town.begin_with(shim) if shim else town.begin())
                town.shim = shim
                numbers = itertools.count(1).__next__
                clients: list[QueueClient] = []
                for kind, count in fillers.items():
                    clients += await come(town.address, (kind,), count, numbers)
                await asyncio.sleep(0.1)
                clients += await come(town.address, OTHER_KINDS, OTHERS, numbers)
                await asyncio.sleep(BEFORE)
                self.assertTrue(await asyncio.wait_for(town.call(admin, "POST", "/_lameduck/on"), ANSWERED_WITHIN))
                self.since = time.monotonic()
                front = Front(town.address, town, admin)
                asking = asyncio.create_task(front.run())
                changes = asyncio.create_task(scene(town, node, admin))
                await asyncio.sleep(FRONT_SEES / 2)
                clients += await come(town.address, OTHER_KINDS, OTHERS // 2, numbers)
                await asyncio.sleep(self.since + BOUND - time.monotonic())
                held = [one for one in clients if not one.ended and one.kind != "large"]
                asking.cancel()
                front.end()
                await changes
                self.judge(clients, held, town.forwarded if answers else None, front if mn else None)
                for one in clients:
                    one.transport.abort()

        uvloop.run(asyncio.wait_for(run(), 30))

    def judge(
        self, clients: list[QueueClient], held: list[QueueClient], forwarded: set[str] | None, front: Front | None
    ) -> None:
        kinds = {kind: sum(one.kind == kind for one in held) for kind in {one.kind for one in held}}
        self.assertEqual(kinds, {}, f"of {len(clients)} clients held 4 s after the call")
        if forwarded is not None:
            lost = [what for one in clients for what in one.unanswered(forwarded) + one.owed()]
            self.assertEqual(lost[:10], [], f"{len(lost)} requests with no answer")
        if front:
            seen = [answer for at, answer in front.answers if at > self.since + FRONT_SEES]
            self.assertNotIn(None, seen, "mn had no answer in a second")
            self.assertNotIn(b"MN\r\n", seen, "mn was a yes")
            self.assertEqual(front.slow_calls, 0, "the second address gave no answer in a second")

    def test_a_full_node_holds_no_client_past_a_drain(self):
        """Guards against clients in the listener's queue, and such that are accepted late, that have no bound."""
        for fillers in (
            {"half": 220},
            {"long": 300},
            {"silent": 200},
            {"large": 60, "half": 60},
            {"overlapping": 60, "half": 60, "silent": 60},
        ):
            with self.subTest(fillers=fillers):
                self.drain(fillers)

    def test_what_comes_behind_the_call_frees_no_queue_of_its_bound(self):
        async def reloads(town: FullTown, node: Process, admin: Address) -> None:
            town.lower_limits()
            for _ in range(3):
                await asyncio.sleep(0.5)
                node.send_signal(signal.SIGHUP)

        async def pauses(town: FullTown, node: Process, admin: Address) -> None:
            for _ in range(8):
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.15)
                node.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.25)

        async def second_process(town: FullTown, node: Process, admin: Address) -> None:
            await town.begin()

        async def told_to_end(town: FullTown, node: Process, admin: Address) -> None:
            await asyncio.sleep(0.5)
            node.terminate()

        async def off_and_on(town: FullTown, node: Process, admin: Address) -> None:
            self.assertTrue(await town.call(admin, "POST", "/_lameduck/off"))
            await asyncio.sleep(0.05)
            self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))

        for scene in reloads, pauses, second_process, off_and_on, told_to_end:
            with self.subTest(scene.__name__):
                self.drain({"half": 150, "long": 80}, scene, mn=scene is not told_to_end)

    def test_a_listener_in_trouble_holds_no_client_past_a_drain(self):
        """Guards against a bound that counts from an accept which failed for a while."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                library = build(Path(folder))
            except NoCompiler as error:
                self.skipTest(str(error))
            for seconds in 1.0, 3.0, 5.0:
                shim = Shim(library, Path(folder, f"control-{seconds}"))

                async def trouble(town: FullTown, node: Process, admin: Address, seconds: float = seconds) -> None:
                    # The front's own calls go by the same listener's errors: the drain was told before.
                    town.shim.fail(Call.ACCEPT, 1.0, errno.ENFILE, errno.ECONNABORTED)
                    await asyncio.sleep(seconds)
                    town.shim.relieve(Call.ACCEPT)

                with self.subTest(seconds=seconds):
                    try:
                        self.drain({"half": 150}, trouble, shim=shim, mn=False, answers=seconds < BOUND)
                    finally:
                        shim.close()

    def test_what_a_node_cannot_write_holds_no_client_past_a_drain(self):
        """Guards against an end that waits for a write: the machine may be short of buffers for longer."""
        with tempfile.TemporaryDirectory() as folder:
            try:
                library = build(Path(folder))
            except NoCompiler as error:
                self.skipTest(str(error))
            shim = Shim(library, Path(folder, "control"))

            async def no_buffers(town: FullTown, node: Process, admin: Address) -> None:
                town.shim.fail(Call.SEND, 1.0, errno.ENOBUFS)

            try:
                self.drain({"long": 20}, no_buffers, shim=shim, mn=False, answers=False)
            finally:
                shim.close()

    def test_a_full_node_says_yes_again_soon_after_a_drain(self):
        async def run() -> None:
            async with FullTown() as town:
                _, admin = await town.begin()
                numbers = itertools.count(1).__next__
                await come(town.address, ("half",), 220, numbers)
                self.assertTrue(await town.call(admin, "POST", "/_lameduck/on"))
                await asyncio.sleep(0.5)
                await come(town.address, ("half",), 220, numbers)
                self.assertTrue(await town.call(admin, "POST", "/_lameduck/off"))
                until = time.monotonic() + BACK_WITHIN
                while (answer := await ask_mn(town.address)) != b"MN\r\n":
                    self.assertLess(time.monotonic(), until, f"mn: {answer!r}")
                    await asyncio.sleep(MN_EVERY)

        uvloop.run(asyncio.wait_for(run(), 20))


class StopQueue(unittest.TestCase):
    """A process that is told to end while its caps are full answers who waits at its listener, before it is killed."""

    def stop(self, fillers: dict[str, int]) -> None:
        async def run() -> None:
            async with FullTown() as town:
                node, _ = await town.begin()
                numbers = itertools.count(1).__next__
                for kind, count in fillers.items():
                    await come(town.address, (kind,), count, numbers)
                await asyncio.sleep(0.1)
                waiting = await come(town.address, ("hit",), OTHERS, numbers)
                await asyncio.sleep(0.1)
                node.terminate()
                told = time.monotonic()
                async with asyncio.timeout(KILLED_AFTER):  # else it is killed, with what it owes
                    await node.wait()
                self.assertEqual(node.returncode, 0)
                await asyncio.sleep(0.05)
                unanswered = [one for one in waiting if not one.asked[0].answered]
                seconds = time.monotonic() - told
                self.assertEqual(len(unanswered), 0, f"of {OTHERS} that had asked before the signal, {seconds:.2f} s")

        uvloop.run(asyncio.wait_for(run(), 20))

    def test_a_full_node_answers_its_queue_before_it_ends(self):
        for fillers in {"half": 220}, {"long": 300}:
            with self.subTest(fillers=fillers):
                self.stop(fillers)


if __name__ == "__main__":
    unittest.main()
