"""System calls of a real node fail as Linux documents: who is answered meanwhile, who is closed, and how soon after.

A preloaded library makes the calls of that one process fail (saltmoor/lab/soak/shim.py). Closed-loop clients ask all the
while, every second one on a new connection for each request. The one cache server runs in the process of the test: where
that was not run by the machine for a while, the node rightly answers that there is no server, and such an answer is
counted apart.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import signal
import sys
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path

import uvloop

from saltmoor.lab.soak import shim
from saltmoor.lab.soak.shim import Call
from tests.helper import read
from tests.test_operations import Twins

CLIENTS = 16
LASTS = 1.2  # seconds of trouble
SETTLED = 0.5  # seconds after its end until all has to be as without; half of what the terms allow
PAUSE = 0.03  # seconds between an answer and the next request
SHUT = 0.6  # seconds without an accept: with the longest pause after it still within the 0.9 s that clients wait
BUSY = b"SERVER_ERROR busy"
LATE = 1.0  # seconds: the clients' deadline
HALF_A_CORE = 0.5
RUNS, HELD_UP = 0.05, 0.12  # seconds for which a process runs, and is held up, in turn
BEAT = 0.005  # seconds between two looks at whether the process of the test runs
SILENT = 0.04  # seconds for which it did not: a server is held to be silent after 0.05 s without an answer to a probe
RESTS = 0.5  # seconds behind that: one that was silent is asked again within 0.375 s
LIBRARY = tempfile.TemporaryDirectory()
TICKS = os.sysconf("SC_CLK_TCK")

OWN = errno.ENFILE, errno.ENOBUFS, errno.ENOMEM  # a shortage of the machine
CONNECTION = errno.ECONNABORTED, errno.EPROTO, errno.ENETUNREACH  # one connection's, that accept passes on


class Pauses:
    """When the process that has this did not run; moments in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        self.beat_at, self.ended_at = now, -RESTS

    def beat(self, now: float) -> None:
        """It runs."""
        if now - self.beat_at > SILENT:
            self.ended_at = now
        self.beat_at = now

    def excuse(self, now: float) -> bool:
        """Whether its servers may have been silent so lately that a node has none to send to now."""
        self.beat(now)
        return now - self.ended_at < RESTS

    async def watch(self) -> None:
        while True:
            self.beat(time.monotonic())
            await asyncio.sleep(BEAT)


class Shimmed(Twins):
    """Real processes of a node whose system calls fail as the test says."""

    async def __aenter__(self) -> Shimmed:
        await super().__aenter__()
        self.shim = shim.Shim(shim.build(Path(LIBRARY.name)), Path(self.folder.name, "shim"))
        self.errors = Path(self.folder.name, "stderr")
        self.ends: Counter[str] = Counter()
        self.excused = 0  # answers that there is no server, as it did not run
        self.pauses = Pauses(time.monotonic())
        self.watching = asyncio.create_task(self.pauses.watch())
        self.stopping = False
        self.words: list[str] = []  # more of the command line
        return self

    async def launch(self) -> asyncio.subprocess.Process:
        """A process with the shim, once it listens, or has ended."""
        with self.errors.open("ab") as stderr:
            node = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saltmoor",
                "serve",
                f"--config={self.file}",
                *self.words,
                env=os.environ | {"TMPDIR": self.folder.name} | self.shim.environment(),
                stderr=stderr,
            )
        self.nodes.append(node)
        while "serving at" not in self.errors.read_text() and node.returncode is None:
            await asyncio.sleep(0.02)
        return node

    def cpu(self, node: asyncio.subprocess.Process) -> float:
        """Seconds of a core that the process has used."""
        fields = Path(f"/proc/{node.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    async def ask_on(self, name: int, keep: bool) -> None:
        """Ask on and on; each end is counted."""
        reader = writer = None
        count = 0
        while not self.stopping:
            count += 1
            begun = time.monotonic()
            end = "closed"
            with contextlib.suppress(OSError):
                if writer is None:
                    reader, writer = await asyncio.open_connection(*self.address)
                tag = f"{name:x}{count:x}"
                writer.write(read("hit", tag).encode())
                end = self.how(got := await self.answer(reader), tag)
                if got.startswith(BUSY) and self.pauses.excuse(time.monotonic()):
                    end = "excused"
            if time.monotonic() - begun > LATE:
                end = "late"
            if end == "excused":
                self.excused += 1
            else:
                self.ends[end] += 1
            if (end != "served" or not keep) and writer:
                writer.close()
                writer = None
            await asyncio.sleep(PAUSE)

    @staticmethod
    async def answer(reader: asyncio.StreamReader) -> bytes:
        got = await reader.readline()
        return got + await reader.readline() if got.startswith(b"VA ") else got

    @staticmethod
    def how(got: bytes, tag: str) -> str:
        if got == f"VA 3 O{tag} h1\r\nhit\r\n".encode() or got == f"VA 3 O{tag}\r\nhit\r\n".encode():
            return "served"
        return "error" if got else "closed"

    def begin(self, keeping: int = 2) -> list[asyncio.Task]:
        """Clients: every one of so many keeps its connection (1: all)."""
        return [asyncio.create_task(self.ask_on(i + 1, keep=i % keeping == 0)) for i in range(CLIENTS)]

    def since_last(self) -> Counter[str]:
        ends, self.ends = self.ends, Counter()
        return ends


class PausesOfTheTest(unittest.TestCase):
    def test_an_answer_is_excused_soon_after_a_pause_alone(self):
        """Guards against a judge that takes every refusal for the machine's."""
        pauses = Pauses(10.0)
        self.assertFalse(pauses.excuse(10.0))
        pauses.beat(10.0 + SILENT * 0.9)
        self.assertFalse(pauses.excuse(10.0 + SILENT), "it ran all the time")
        self.assertTrue(pauses.excuse(10.0 + SILENT * 2.1), "a pause that no beat has seen yet")
        pause_end = 10.0 + SILENT * 2.1
        for step in range(1, 100):
            pauses.beat(pause_end + step * BEAT)
        self.assertTrue(pauses.excuse(pause_end + 99 * BEAT))
        self.assertFalse(pauses.excuse(pause_end + RESTS))


class SystemCalls(unittest.TestCase):
    def play(self, scene) -> None:
        async def run() -> None:
            async with Shimmed() as town:
                town.note = lambda text: None
                await scene(town)
                town.watching.cancel()
                if town.excused:
                    print(f"{town.excused} answers that the server was silent, as this process was not run")

        uvloop.run(asyncio.wait_for(run(), 40))

    def assert_all_served(self, ends: Counter[str], least: int) -> None:
        self.assertEqual(set(ends), {"served"}, ends)
        self.assertGreater(ends["served"], least)

    def trouble(self, share: float, errors: tuple[int, ...], *, call: Call, after: float = SETTLED) -> None:
        """While that call fails, and from `after` seconds past its end on, all are served."""

        async def scene(town: Shimmed) -> None:
            node = await town.launch()
            clients = town.begin()
            await asyncio.sleep(0.3)
            self.assert_all_served(town.since_last(), 50)
            used = town.cpu(node)
            town.shim.fail(call, share, *errors)
            await asyncio.sleep(LASTS)
            town.shim.relieve(call)
            self.assertLess((town.cpu(node) - used) / LASTS, HALF_A_CORE)
            self.assertGreater(town.shim.struck(call), 0)
            self.assert_all_served(town.since_last(), 50)
            await asyncio.sleep(after)
            town.since_last()
            await asyncio.sleep(0.5)
            self.assert_all_served(town.since_last(), 50)
            town.stopping = True
            await asyncio.gather(*clients)

        self.play(scene)

    def test_accept_that_fails_for_a_moment_closes_nobody(self):
        """Guards against a moment's trouble that ends connections which were just taken."""
        for error in *CONNECTION, *OWN:
            with self.subTest(errno.errorcode[error]):
                self.trouble(0.4, (error,), call=Call.ACCEPT)

    def test_accept_that_fails_throughout_leaves_open_connections_alone(self):
        """Guards against a loop that spins, and against room made at the cost of those that are served."""
        for error in errno.ENFILE, errno.ECONNABORTED:
            with self.subTest(errno.errorcode[error]):

                async def scene(town: Shimmed, error: int = error) -> None:
                    node = await town.launch()
                    clients = town.begin(keeping=1)
                    await asyncio.sleep(0.5)
                    town.since_last()
                    town.shim.fail(Call.ACCEPT, shim.ALWAYS, error)
                    used = town.cpu(node)
                    knocking = [asyncio.create_task(town.ask_on(100 + i, keep=False)) for i in range(4)]
                    await asyncio.sleep(SHUT)
                    self.assertLess((town.cpu(node) - used) / SHUT, HALF_A_CORE)
                    self.assert_all_served(town.since_last(), 50)
                    town.shim.relieve(Call.ACCEPT)
                    await asyncio.sleep(0.2)
                    self.assert_all_served(town.since_last(), 50)
                    town.stopping = True
                    await asyncio.gather(*clients, *knocking)

                self.play(scene)

    def test_a_stop_while_accept_fails_leaves_nobody_in_the_queue(self):
        """Guards against a listener that is closed over connections which wait in its queue."""
        for error in errno.ENETUNREACH, errno.ENFILE:
            with self.subTest(errno.errorcode[error]):

                async def scene(town: Shimmed, error: int = error) -> None:
                    node = await town.launch()
                    await asyncio.sleep(0.1)
                    town.shim.fail(Call.ACCEPT, shim.ALWAYS, error)
                    callers = [await asyncio.open_connection(*town.address) for _ in range(12)]
                    for i, (_, writer) in enumerate(callers):
                        writer.write(read("hit", f"f{i}").encode())
                    node.terminate()
                    await asyncio.sleep(0.7)  # behind the time in which new connections are still taken
                    town.shim.relieve(Call.ACCEPT)
                    for i, (reader, _) in enumerate(callers):
                        got = await town.answer(reader)
                        self.assertEqual(town.how(got, f"f{i}"), "served", got)
                    self.assertEqual(await asyncio.wait_for(node.wait(), 6), 0)

                self.play(scene)

    def test_connect_that_fails_for_want_of_ports_is_made_again(self):
        """Guards against a shortage of our own that counts against the servers."""

        async def scene(town: Shimmed) -> None:
            town.shim.fail(Call.CONNECT, 0.4, errno.EADDRNOTAVAIL)
            await town.launch()
            clients = town.begin()
            await asyncio.sleep(LASTS)
            self.assertGreater(town.shim.struck(Call.CONNECT), 0)
            self.assert_all_served(town.since_last(), 50)
            town.stopping = True
            await asyncio.gather(*clients)

        self.play(scene)

    def test_connect_that_fails_while_the_process_is_held_up_is_made_again(self):
        """Guards against a moment's shortage that passes for a lasting one, as few tries fit into the time it took."""

        async def hold_up(node: asyncio.subprocess.Process) -> None:
            while node.returncode is None:
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(HELD_UP)
                node.send_signal(signal.SIGCONT)
                await asyncio.sleep(RUNS)

        async def scene(town: Shimmed) -> None:
            town.shim.fail(Call.CONNECT, 0.5, errno.EADDRNOTAVAIL)
            holding = asyncio.create_task(hold_up(await town.launch()))
            clients = town.begin()
            await asyncio.sleep(2 * LASTS)
            self.assertGreater(town.shim.struck(Call.CONNECT), 0)
            self.assert_all_served(town.since_last(), 50)
            town.stopping = True
            await asyncio.gather(*clients)
            holding.cancel()

        self.play(scene)

    def test_all_is_served_soon_after_there_was_no_route(self):
        """Guards against servers that are held to be down for what was our own trouble."""
        for error, lasts in (errno.ENETUNREACH, 6.0), (errno.EADDRNOTAVAIL, 2.0), (errno.ENOBUFS, 2.0):
            with self.subTest(errno.errorcode[error]):

                async def scene(town: Shimmed, error: int = error, lasts: float = lasts) -> None:
                    town.shim.fail(Call.CONNECT, shim.ALWAYS, error)
                    node = await town.launch()
                    clients = town.begin()
                    used = town.cpu(node)
                    await asyncio.sleep(lasts)
                    self.assertLess((town.cpu(node) - used) / lasts, HALF_A_CORE)
                    ends = town.since_last()
                    self.assertEqual(set(ends), {"error"}, ends)  # each is told so, and in time
                    town.shim.relieve(Call.CONNECT)
                    await asyncio.sleep(SETTLED)
                    town.since_last()
                    await asyncio.sleep(0.5)
                    self.assert_all_served(town.since_last(), 50)
                    town.stopping = True
                    await asyncio.gather(*clients)

                self.play(scene)

    def test_no_sockets_for_a_moment(self):
        """A socket that cannot be had is asked for again."""

        async def scene(town: Shimmed) -> None:
            town.shim.fail(Call.SOCKET, 0.4, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
            await town.launch()
            clients = town.begin()
            await asyncio.sleep(LASTS)
            self.assertGreater(town.shim.struck(Call.SOCKET), 0)
            self.assert_all_served(town.since_last(), 50)
            town.stopping = True
            await asyncio.gather(*clients)

        self.play(scene)

    def test_send_and_receive_that_are_short_of_memory_are_made_again(self):
        """Guards against a connection that is given up, or a server that is blamed, for want of buffers."""
        for call, errors in (Call.SEND, (errno.ENOBUFS, errno.ENOMEM)), (Call.RECV, (errno.ENOMEM, errno.ENOBUFS)):
            with self.subTest(call.name):
                self.trouble(0.05, errors, call=call)

    def test_short_reads_and_writes_and_interrupted_waits(self):
        async def scene(town: Shimmed) -> None:
            await town.launch()
            for call in Call.SEND, Call.RECV:
                town.shim.shorten(call, 0.6, 3)
            town.shim.fail(Call.WAIT, 0.3, errno.EINTR)
            clients = town.begin()
            await asyncio.sleep(LASTS)
            self.assert_all_served(town.since_last(), 50)
            town.stopping = True
            await asyncio.gather(*clients)

        self.play(scene)


if __name__ == "__main__":
    unittest.main()
