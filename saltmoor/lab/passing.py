"""Owns what one node's process passes on: requests and bytes a second, and the core that each costs, on loopback.

Stand-ins that answer each read at once with a value of one size, clients in a closed loop, and one real node between
them. What a row says is the node's own processor time; a row in which the node had to wait for a core, or whose clients
could not keep it busy, says so. It must never be read as a figure of a cache server or of a network.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SIZES = 200, 8_000, 64_000, 750_000, 4_000_000  # bytes a value; the fourth is the mean answer of the plan for two years
ANSWERERS, ASKERS, CONNECTIONS = 2, 2, 32  # processes, processes, connections of each asker
SETTLE, SECONDS = 1.0, 5.0
WAITED = 0.1  # of the time: a node that waited longer for a core makes its row void
BUSY = 0.85  # of a core: a node that used less was not at its limit, and only its cost a request counts
CLASS = {"name": "read", "aim_ns": 2_000_000_000, "deadline_ns": 10_000_000_000, "repeat": "idempotent", "worth": 1}


class Answerer(asyncio.Protocol):
    """A cache server that has every key, and no queue."""

    def __init__(self, value: bytes) -> None:
        self.value, self.held = value, b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        *lines, self.held = (self.held + data).split(b"\r\n")
        for line in lines:
            if line == b"mn":
                self.transport.write(b"MN\r\n")
            elif line == b"stats load":
                self.transport.write(b"STAT queue 0.00\r\nEND\r\n")
            else:
                ident = next(word for word in line.split(b" ") if word[:1] == b"O")
                self.transport.writelines([b"VA %d %b h1\r\n" % (len(self.value), ident), self.value, b"\r\n"])


async def answer(size: int) -> None:
    value = bytes(size)
    server = await asyncio.get_running_loop().create_server(lambda: Answerer(value), HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)


async def ask(port: int, part: str, seconds: float) -> None:
    """Reads one after the other on each connection, until the time is over; says how many were served."""
    end, made = time.monotonic() + SETTLE + seconds, {"served": 0, "other": 0, "bytes": 0}
    from_then = time.monotonic() + SETTLE

    async def one(number: int) -> None:
        reader, writer = await asyncio.open_connection(HOST, port, limit=1 << 20)
        count = 0
        while time.monotonic() < end:
            count += 1
            ident = f"{part}{number:x}.{count:x}"
            writer.write(f"mg key-{part}-{number}-{count % 50} v O{ident} Pc=read,d=10000\r\n".encode())
            head = await asyncio.wait_for(reader.readline(), 20)
            if head[:3] == b"VA ":
                length = int(head.split()[1])
                await reader.readexactly(length + 2)
                if from_then <= time.monotonic() < end:
                    made["served"] += 1
                    made["bytes"] += length
            else:
                made["other"] += from_then <= time.monotonic() < end
                await asyncio.sleep(0.01)
        writer.close()

    await asyncio.gather(*(one(number) for number in range(CONNECTIONS)))
    print(json.dumps(made), flush=True)


def used(pid: int) -> tuple[float, float, int]:
    """Seconds of a core that the process had, seconds that it waited for one, and its largest memory in bytes."""
    ran, waited, _ = Path(f"/proc/{pid}/schedstat").read_text().split()
    peak = next(line for line in Path(f"/proc/{pid}/status").read_text().splitlines() if line.startswith("VmHWM"))
    return int(ran) / 1e9, int(waited) / 1e9, int(peak.split()[1]) * 1024


def config(ports: list[int]) -> dict[str, Any]:
    known = [
        {
            "instanceId": f"c{i}",
            "hostPort": f"{HOST}:{port}",
            "zone": "home",
            "cell": 0,
            "lifecycle": "up",
            "weight": 1.0,
            "machineType": "plain",
            "startedAtMs": 0,
        }
        for i, port in enumerate(ports)
    ]
    return {
        "name": "passing",
        "listen": f"{HOST}:0",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": known},
        "settings": {
            "azs": ["home"],
            "kinds": ["plain"],
            "classes": [CLASS],
            "report": {"how": "on_probe", "columns": ["queue"]},
            "permissions": {
                "max_attempts": 3,
                "cancel": True,
                "probes": True,
                "conn_idle_ns": 30_000_000_000,
                "connect_timeout_ns": 1_000_000_000,
            },
        },
    }


def part(*words: str) -> subprocess.Popen:
    return subprocess.Popen(
        [sys.executable, "-B", "-m", "saltmoor.lab.passing", *words],
        cwd=HERE,
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": str(HERE)},
    )


def serve(folder: Path, ports: list[int]) -> tuple[subprocess.Popen, int]:
    """The node, and where it listens. Raises OSError where it does not come up."""
    place, log = folder / "node.json", folder / "node.log"
    place.write_text(json.dumps(config(ports)))
    with log.open("wb") as out:
        node = subprocess.Popen(
            [sys.executable, "-B", "-m", "saltmoor", "serve", f"--config={place}"],
            cwd=HERE,
            stderr=out,
            stdout=out,
            env=os.environ | {"PYTHONPATH": str(HERE)},
        )
    for _ in range(200):
        for line in log.read_text().splitlines():
            if "serving at " in line:
                return node, int(line.rsplit(":", 1)[1])
        if node.poll() is not None:
            break
        time.sleep(0.05)
    node.kill()
    raise OSError(f"the node did not come up: {log.read_text()[-500:]}")


def measure(size: int, seconds: float) -> dict[str, Any]:
    """One row: what a node passes on of values of that many bytes."""
    parts: list[subprocess.Popen] = []
    with tempfile.TemporaryDirectory(prefix="saltmoor-lab-") as folder:
        try:
            answerers = [part("answer", str(size)) for _ in range(ANSWERERS)]
            parts += answerers
            node, port = serve(Path(folder), [int(one.stdout.readline()) for one in answerers])
            parts.append(node)
            askers = [part("ask", str(port), chr(97 + i), str(seconds)) for i in range(ASKERS)]
            parts += askers
            time.sleep(SETTLE * 1.5)
            before, begun = used(node.pid), time.monotonic()
            time.sleep(seconds * 0.8)
            after, span = used(node.pid), time.monotonic() - begun
            made = [json.loads(one.communicate(timeout=seconds + 60)[0]) for one in askers]
            node.send_signal(signal.SIGTERM)
            node.wait(30)
        finally:
            for one in parts:
                if one.poll() is None:
                    one.kill()
                one.wait()
    served = sum(one["served"] for one in made)
    core, waited = (after[0] - before[0]) / span, (after[1] - before[1]) / span
    row = {
        "value_bytes": size,
        "served_per_s": round(served / seconds, 1),
        "other": sum(one["other"] for one in made),
        "mbyte_per_s": round(sum(one["bytes"] for one in made) / seconds / 1e6, 1),
        "core": round(core, 3),
        "waited_for_a_core": round(waited, 3),
        "memory_mb": round(after[2] / 1e6, 1),
    }
    if served:
        row["core_us_a_request"] = round(core * 1e6 / (served / seconds), 1)
        row["per_core_per_s"] = round(served / seconds / core, 1)
    row["void"] = "the node waited for a core" if waited > WAITED else "nothing served" if not served else ""
    row["at_its_limit"] = core >= BUSY
    return row


def counted(rows: list[dict[str, Any]], seconds: float) -> list[dict[str, Any]]:
    """The rows that count, a figure each, as docs/capacity/ keeps them."""
    made = []
    for row in rows:
        if row["void"]:
            continue
        limit = "at its limit" if row["at_its_limit"] else "not at its limit"
        how = (
            f"one real node, {ASKERS * CONNECTIONS} connections in a closed loop, {seconds:g} s, {limit}: {row['core']:g} of a "
            f"core, waited {row['waited_for_a_core']:.1%} for one"
        )
        for name, unit in (
            ("served_per_s", "requests/s"),
            ("mbyte_per_s", "MB/s"),
            ("core_us_a_request", "us of a core"),
            ("memory_mb", "MB at most"),
        ):
            made.append(
                {
                    "what": f"{row['value_bytes']:,} bytes a value: {name.replace('_', ' ')}",
                    "unit": unit,
                    "value": row[name],
                    "how": how,
                }
            )
    return made


def main(sizes: list[int], seconds: float = SECONDS, path: str | None = None) -> int:
    rows = []
    for size in sizes:
        rows.append(measure(size, seconds))
        print("  ".join(f"{name} {value}" for name, value in rows[-1].items() if value != ""), flush=True)
    if path:
        Path(path).write_text(
            json.dumps({"command": "saltmoor lab passing", "rows": counted(rows, seconds)}, indent=1) + "\n"
        )
    return 0 if all(not row["void"] for row in rows) else 1


if __name__ == "__main__":
    import uvloop

    match sys.argv[1:]:
        case ["answer", size]:
            uvloop.run(answer(int(size)))
        case ["ask", port, name, seconds]:
            uvloop.run(ask(int(port), name, float(seconds)))
