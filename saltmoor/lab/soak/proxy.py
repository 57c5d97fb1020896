"""A proxy between clients and nodes that delays, holds back or cuts up what passes, as the scenario's faults say.

One listener a node. Ends and resets are passed on; it must never read meaning into bytes, or end a connection itself.
"""

from __future__ import annotations

import asyncio
import socket
from random import Random

from saltmoor.lab.scenario import ON_WAYS, Scenario
from saltmoor.lab.wire import HOST, Driver

CHUNK = 65_536
HALF_CLOSED = 1.0  # seconds that a connection stays once one side has ended its sending
LARGEST_PIECE = 7  # bytes, while what passes is cut up
PIECES = 20  # of one read that are cut up; the rest goes as it is, so that large values come through


class Way:
    """What happens to all connections to one node just now."""

    def __init__(self) -> None:
        self.delay = 0.0  # seconds
        self.open = asyncio.Event()
        self.open.set()
        self.pieces = 0


class Proxy:
    """All listeners of a run; `targets` are the nodes behind them, in the same order."""

    def __init__(self, scenario: Scenario, seed: int, ports: list[int], targets: list[tuple[str, int]]) -> None:
        self.scenario, self.rng = scenario, Random(f"{seed} proxy")
        self.ports, self.targets = ports, targets
        self.ways = [Way() for _ in targets]
        self.tasks: set[asyncio.Task] = set()

    async def listen(self) -> None:
        """Begin to take connections. Raises OSError where a port is taken."""
        for node, port in enumerate(self.ports):
            listener = socket.create_server((HOST, port), backlog=1024, reuse_port=True)
            listener.setblocking(False)
            self._spawn(self._accept(node, listener))

    def schedule(self, driver: Driver, begin: int) -> None:
        """Put the faults on clients' ways into the timeline."""
        for fault in self.scenario.fault:
            if fault.on == "clients" and fault.kind in ON_WAYS:
                at = begin + int(fault.at_s * 1e6)
                for node in fault.which or range(len(self.ways)):
                    driver.line.at(at, self._strike, node, fault.kind, fault.ms / 1000, True)
                    driver.line.at(at + int(fault.for_s * 1e6), self._strike, node, fault.kind, fault.ms / 1000, False)

    def _strike(self, node: int, kind: str, seconds: float, on: bool) -> None:
        way = self.ways[node]
        match kind:
            case "delay":
                way.delay += seconds if on else -seconds
            case "pieces":
                way.pieces += 1 if on else -1
            case "stall" if on:
                way.open.clear()
            case "stall":
                way.open.set()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, node: int, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(listener)
            self._spawn(self._carry(node, client))

    async def _carry(self, node: int, client: socket.socket) -> None:
        loop, server = asyncio.get_running_loop(), socket.socket()
        try:
            for sock in client, server:
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(server, self.targets[node])
            ways = [
                asyncio.create_task(self._pump(self.ways[node], client, server)),
                asyncio.create_task(self._pump(self.ways[node], server, client)),
            ]
            try:
                # A reset is passed on at once; an end of one side leaves the other a moment.
                done, open_ones = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
                if open_ones and not any(way.result() for way in done):
                    await asyncio.wait(open_ones, timeout=HALF_CLOSED)
            finally:
                for way in ways:
                    way.cancel()
        except OSError:
            pass
        finally:
            client.close()
            server.close()

    async def _pump(self, way: Way, source: socket.socket, target: socket.socket) -> bool:
        """Pass on what comes; true where the connection broke instead of ending."""
        loop = asyncio.get_running_loop()
        try:
            while data := await loop.sock_recv(source, CHUNK):
                if way.delay:
                    await asyncio.sleep(way.delay)
                await way.open.wait()
                for _ in range(PIECES if way.pieces else 0):
                    piece = data[: self.rng.randrange(1, LARGEST_PIECE + 1)]
                    await loop.sock_sendall(target, piece)
                    await asyncio.sleep(0)
                    data = data[len(piece) :]
                if data:
                    await loop.sock_sendall(target, data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return True
        return False
