"""Several processes of the program that know each other, and faults between them: parted, lossy and altered links,
processes that are killed and stand still, peers that are hostile or return with much to catch up, one verdict each."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import msgspec
import uvloop

from saltmoor import config
from saltmoor.duties.lease import LONGEST_GRANT
from saltmoor.lab import experiment
from saltmoor.lab import scenario as plan
from saltmoor.net import duties
from saltmoor.net.peers.gossip import SMALL
from saltmoor.net.peers.node import Peers
from saltmoor.peers import ask, frames
from saltmoor.peers.frames import Speaker
from saltmoor.replica.entries import Entry
from tests.helper import reserve
from tests.test_drills import Drill

CLUSTER, HOST = "together", "127.1.0.2"
VOTES_AGAIN = 1.2 * LONGEST_GRANT / 1_000_000  # seconds behind a voter's start: its silence, and a margin


HELD: list[socket.socket] = []


def free() -> int:
    """A port for TCP that nobody else is given before this module has ended; for UDP it is free now."""
    HELD.append(reserve(HOST))
    return HELD[-1].getsockname()[1]


def tearDownModule() -> None:
    while HELD:
        HELD.pop().close()


def clock() -> int:
    return time.time_ns() // 1000


class Known(Drill):
    """A node as a process, and a peer of it in this process that can say whatever it wants."""

    def __init__(self) -> None:
        super().__init__()
        self.place = f"{HOST}:{free()}"
        self.lines: list[str] = []
        self.peer: Peers | None = None

    def talking(self, name: str, place: str, **more) -> config.Talking:
        path = Path(self.folder.name) / f"{name}.toml"
        said = {"cluster": CLUSTER, "name": name, "listen": place, "source": "src", "seeds": [self.place]} | more
        path.write_text("[peers]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in said.items()))
        return config.operators(str(path))[1]

    async def started(self, **more) -> asyncio.subprocess.Process:
        self.said["name"] = "n1"
        self.file.write_text(json.dumps(self.said | {"listen": "%s:%d" % self.address}))
        self.talking("n1", self.place, **more)
        os.environ["ROUTER_OPERATORS"] = str(Path(self.folder.name) / "n1.toml")
        try:
            node = await self.launch(stderr=asyncio.subprocess.PIPE)
        finally:
            del os.environ["ROUTER_OPERATORS"]
        self.reader = asyncio.create_task(self.read_log(node))
        return node

    async def read_log(self, node: asyncio.subprocess.Process) -> None:
        while line := await node.stderr.readline():
            self.lines.append(line.decode().strip())

    def join(self, name: str = "peer") -> Peers:
        self.peer = Peers(self.talking(name, f"{HOST}:{free()}"), name, lambda line: None, clock)
        self.peer.begin()
        return self.peer

    async def shown(self, what: str = "members") -> dict:
        return await asyncio.to_thread(ask.ask, self.place, CLUSTER, "show", what)

    async def until(self, wanted, seconds: float = 4.0) -> float:
        """Seconds until it holds; fails where it does not in time."""
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            if await wanted() if asyncio.iscoroutinefunction(wanted) else wanted():
                return time.monotonic() - begun
            await asyncio.sleep(0.02)
        raise AssertionError(f"not within {seconds} s")


class Processes(unittest.TestCase):
    def play(self, scene, limit: float = 40) -> Known:
        async def run() -> Known:
            async with asyncio.timeout(limit), Known() as town:
                await scene(town)
                if town.peer:
                    town.peer.end()
            return town

        return uvloop.run(run())

    def test_strangers_and_hostile_peers_cost_nothing(self):
        """Guards against whatever comes at these sockets: the node serves on, counts it, and forgets it."""

        async def scene(town: Known) -> None:
            node = await town.started()
            host, port = town.place.rsplit(":", 1)
            place = host, int(port)
            speaker = Speaker("x", 1, 2, 3)
            words = [
                b"",
                b"x" * 1400,
                os.urandom(900),
                frames.encode("other", speaker, "ping", [1, "", []]),
                frames.encode(CLUSTER, speaker, "items", [["drain"] * 6]),
                frames.encode(CLUSTER, speaker, "ping", ["x"] * 3),
                frames.encode(CLUSTER, speaker, "ping", [1, "", [[None] * 7] * 9]),
                frames.encode(CLUSTER, Speaker("n1", 1 << 60, 2, 3), "ping", [1, "", []]),
                frames.encode(CLUSTER, speaker, "turned", [1, 2, 3, 4, 5, "s"]),
                frames.encode(CLUSTER, speaker, "nothing", {}),
            ]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                for _ in range(20):
                    for word in words:
                        udp.sendto(word, place)
                    await asyncio.sleep(0.005)
            bulk = [
                b"",
                b"\xff\xff\xff\xff",
                b"\0\0\0\1x",
                b"\0\0\1\0" + b"x" * 256,
                os.urandom(5000),
                *(len(word).to_bytes(4, "big") + word for word in words),
                (len(words[1]) * 2).to_bytes(4, "big") + words[1],
            ]
            stuck = [await asyncio.open_connection(*place) for _ in range(6)]  # that say nothing
            for data in bulk:
                reader, writer = await asyncio.open_connection(*place)
                try:
                    writer.write(data)
                    await asyncio.wait_for(reader.read(), 0.2)
                except (OSError, TimeoutError):
                    pass
                writer.close()
            for _, writer in stuck:
                writer.close()
            ends = [await town.one(key) for key in ("hit", "miss1", "hit")]
            self.assertEqual(ends, ["committed"] * 3)
            await town.until(town.answers)
            shown = await town.shown()
            own = [one for one in (await town.shown("items"))["items"] if one[1].endswith("|n1") or one[1] == "src"]
            self.assertEqual(shown["items"], len(own))  # its own list, and what it holds of its servers
            self.assertEqual([one for one in shown["members"] if one[1] == "alive" and one[0] != "x"], [])
            self.assertGreaterEqual(len(shown["dropped"]), 4)
            self.assertIsNone(node.returncode)
            self.assertEqual([line for line in town.lines if "fault" in line], [])

        Known.answers = answers
        self.play(scene)

    def test_a_peer_without_end_is_cut_off(self):
        """A peer that answers a pull without end, and one that says nothing: dropped, and the node serves."""

        async def scene(town: Known) -> None:
            async def endless(reader, writer) -> None:
                try:
                    chunk = frames.encode(
                        CLUSTER,
                        Speaker("endless", 5, 6, 7),
                        "items",
                        [Entry.made("word", f"a|{i}", 1, b"x" * 500) for i in range(60)],
                    )
                    while True:
                        writer.write(len(chunk).to_bytes(4, "big") + chunk)
                        await writer.drain()
                except OSError:
                    pass

            bait = town.join("endless")
            await asyncio.sleep(0.1)
            bait.sockets.acceptor.stop()
            bait.sockets.acceptor = None
            server = await asyncio.start_server(endless, sock=bait.sockets.listener)
            node = await town.started()
            await town.until(lambda: bait.members.there())
            # Guards against an item so small that it comes by a datagram, so that there is nothing to pull.
            bait.store.put(clock(), Entry.made("word", "a|b", 1, b"x" * 2 * SMALL))
            await asyncio.sleep(1.0)
            self.assertEqual([await town.one("hit") for _ in range(5)], ["committed"] * 5)

            async def dropped() -> bool:
                shown = await town.shown()
                return {"pull", "too much"} & shown["dropped"].keys() != set() and shown["bytes"] < 5 << 20

            await town.until(dropped, 9)
            self.assertIsNone(node.returncode)
            bait.sockets.listener = None
            server.close()

        self.play(scene)

    def test_returns_to_ten_thousand_items_and_takes_what_its_peers_know(self):
        """Caught up soon, by a drain told which stops new hops, a list from a peer, and a word that empties it."""

        async def scene(town: Known) -> None:
            peer = town.join()
            for i in range(10_000):
                peer.store.put(clock(), Entry.made("start", f"other|s{i}", i + 1, b""))
            node = await town.started(use=["drains", "starts", "lists", "words"])
            await town.until(lambda: any("caught up" in line for line in town.lines))
            took = int(next(line for line in town.lines if "caught up" in line).split("took_ms=")[1].split()[0])
            self.assertLess(took, 1500)

            async def level() -> bool:
                shown = await town.shown()
                return shown["items"] >= 10_000 and shown["root"] == peer.store.root

            await town.until(level)
            self.assertEqual(await town.one("hit"), "committed")
            # Its only cache server takes nothing new, as another has heard.
            known = town.said["known"]["instances"][0]
            peer.store.put(
                clock(), Entry.made("drain", f"src|{known['instanceId']}|{known.get('startedAtMs', 0)}", 1 << 40, b"")
            )

            async def refuses() -> bool:
                return await town.one("hit") == "rolled back"

            self.assertLess(await town.until(refuses), 1.0)
            # A newer list brings another one at the same place; the one that drains stays as it is.
            lines = [known, {**known, "instanceId": "later"}]
            peer.store.put(clock(), Entry.made("list", "src", 1 << 41, msgspec.msgpack.encode(lines)))

            async def serves() -> bool:
                return await town.one("hit") == "committed"

            await town.until(serves)
            self.assertIn("replica: list of generation 2199023255552 taken from a peer: servers=2", town.lines)
            # An operator's word, given to the peer, empties the node.
            peer.took = lambda item: None
            peer.operators.said(type("Say", (), {"name": "empty|n1", "value": True})())
            await town.until(lambda: any("word empty|n1=True: lame duck" in line for line in town.lines))
            node.send_signal(signal.SIGTERM)
            await node.wait()
            self.assertEqual(node.returncode, 0)
            await town.until(lambda: peer.members.others["n1"].state.name == "LEFT")

        self.play(scene)

    def test_a_port_that_is_taken_costs_only_the_talk(self):
        async def scene(town: Known) -> None:
            host, port = town.place.rsplit(":", 1)
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
                taken.bind((host, int(port)))
                await town.started()
                self.assertEqual(await town.one("hit"), "committed")
                self.assertTrue(any("alone until it is free" in line for line in town.lines))
            await town.until(town.answers, 6)

        Known.answers = answers
        self.play(scene)


async def answers(town: Known) -> bool:
    """Whether the node answers an operator."""
    try:
        return bool(await town.shown())
    except ask.Unanswered:
        return False


class Parted(unittest.TestCase):
    """Five nodes under load, their links parted, lossy, doubling, altering; one killed, one that stands still."""

    def run_once(self, faults: list[dict], bounds: dict, **nodes) -> dict:
        said = plan.read("comeback-both") | {"name": "together", "length_s": 11.0, "settle_s": 1.5}
        said["nodes"] = said["nodes"] | {"count": 5, "peers": True} | nodes
        said["fleet"] = said["fleet"] | {"servers": 4}
        said["load"] = said["load"] | {"rate": 120, "keys": 1000}
        said["origin"] = said["origin"] | {"cores": 4}
        said["fault"], said["bounds"] = faults, bounds
        # No bound here is on a goal; goals alone say how late the lab may be before its run is void.
        said["profile"] = [one | {"goal_ms": one["limit_ms"]} for one in msgspec.to_builtins(said["profile"])]
        scenario = plan.check(msgspec.to_builtins(said))
        for seed in (1, 2, 3):
            result = experiment.run(scenario, seed)
            if not result.void:  # the machine was not up to it: once more
                break
        self.assertEqual(result.void, [])
        self.assertEqual(result.breaches, [])
        self.assertEqual([bound for bound in result.bounds if not bound.held], [])
        return result.figures

    def test_parted_and_healed_with_drains_on_both_sides(self):
        self.run_once(
            [
                {
                    "kind": "cut",
                    "on": "peers",
                    "at_s": 2,
                    "for_s": 4,
                    "from_nodes": [0, 1],
                    "to_nodes": [2, 3, 4],
                    "both": True,
                },
                {"kind": "drain", "at_s": 3, "which": [1], "ms": 7000},
                {"kind": "kill", "on": "node", "at_s": 4, "for_s": 0.3, "which": [3]},
            ],
            {"peers_agree_s": {"at_most": 3}, "stale": {"at_most": 0}},
        )

    def test_bad_links_and_one_that_stands_still(self):
        figures = self.run_once(
            [
                {"kind": "loss", "on": "peers", "at_s": 0, "share": 0.1},
                {"kind": "double", "on": "peers", "at_s": 0, "share": 0.2},
                {"kind": "reorder", "on": "peers", "at_s": 0, "ms": 30},
                {"kind": "corrupt", "on": "peers", "at_s": 0, "share": 0.05},
                {"kind": "pause", "on": "node", "at_s": 3, "for_s": 0.8, "which": [2]},
                {"kind": "drain", "at_s": 5, "which": [0], "ms": 9000},
            ],
            {"peers_agree_s": {"at_most": 4}, "peers_false": {"at_most": 0}, "drain_last_hop_s": {"at_most": 1.0}},
            use=["drains", "starts", "evidence", "fetches"],
        )
        self.assertGreater(figures["peers_items"], 0)


class Owned:
    """Three nodes as processes with a duty, and the history of who held it and what was written for it."""

    LEASE = 600

    def __init__(self) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.root = Path(self.folder.name)
        (self.root / "kept").mkdir(mode=0o700)
        self.places = {f"n{i}": f"{HOST}:{free()}" for i in range(3)}
        self.nodes: dict[str, subprocess.Popen] = {}
        self.largest, self.writers, self.history = 0, [], []

    def start(self, name: str) -> None:
        settings = {"classes": [{"name": "read", "aim_ns": 10**8, "deadline_ns": 10**9, "repeat": "idempotent"}]}
        (self.root / f"{name}.json").write_text(
            json.dumps({"name": name, "listen": "127.0.0.1:0", "settings": settings})
        )
        (self.root / f"{name}.toml").write_text(
            f'[peers]\ncluster = "{CLUSTER}"\nlisten = "{self.places[name]}"\nseeds = {json.dumps(list(self.places.values()))}\n'
            f"[duties]\nvoters = {json.dumps(list(self.places))}\nlease_ms = {self.LEASE}\nflight_ms = 60\n"
            f'use = ["snapshot"]\nfolder = "{self.root}/kept"\nevery_ms = 100\n'
        )
        with (self.root / f"{name}.log").open("ab") as log:
            self.nodes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "saltmoor",
                    "serve",
                    f"--config={self.root}/{name}.json",
                    f"--operators={self.root}/{name}.toml",
                ],
                stderr=log,
                env=os.environ | {"TMPDIR": "/nonexistent"},
            )

    def look(self) -> str | None:
        """Who holds it now, by those who answer; two of them, or a number that falls, fails."""
        owners = []
        for name, place in self.places.items():
            if self.nodes[name].poll() is not None or name in self.stopped:
                continue
            try:
                one = ask.ask(place, CLUSTER, "show", "duties", wait=0.5)["duties"]["snapshot"]
            except (ask.Unanswered, KeyError):
                continue
            if one["owner"]:
                owners.append((one["number"], name))
        assert len(owners) < 2, f"two owners: {owners}"
        files = duties.numbered(str(self.root / "kept"), CLUSTER)
        if files:
            assert files[0][0] >= self.largest, "a smaller number took the place of a larger one"
            self.largest = files[0][0]
            writer = duties.read(files[0][1]).writer
            if not self.writers or self.writers[-1] != writer:
                self.writers.append(writer)
        return owners[0][1] if owners else None

    stopped: set[str] = set()

    def until(self, wanted, seconds: float = 8.0 + VOTES_AGAIN) -> tuple[str, float]:
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            owner = self.look()
            if owner and wanted(owner):
                return owner, time.monotonic() - begun
            time.sleep(0.02)
        raise AssertionError(f"no such owner within {seconds} s")

    def end(self) -> None:
        for name, node in self.nodes.items():
            if node.poll() is None:
                node.send_signal(signal.SIGCONT)
                node.kill()
            node.wait()
        self.folder.cleanup()


class Owners(unittest.TestCase):
    def test_paused_killed_and_ended_there_is_one_owner_and_its_table_stays(self):
        """The owner stands still for longer than its lease and goes on, dies, ends; then all die, and words are kept."""
        town = Owned()
        self.addCleanup(town.end)
        town.stopped = set()
        for name in town.places:
            town.start(name)
        owner, _ = town.until(lambda name: True)
        ask.ask(town.places[owner], CLUSTER, "say", ["note|fleet", "kept over all"])
        for pause in (1.0, 1.7, 3.0):  # leases
            time.sleep(0.3)
            owner, _ = town.until(lambda name: True)
            town.nodes[owner].send_signal(signal.SIGSTOP)
            town.stopped = {owner}
            later = None
            if pause > 1.5:
                later, gap = town.until(lambda name: name != owner)
                self.assertLess(gap, 3 * town.LEASE / 1000)
            else:
                time.sleep(pause * town.LEASE / 1000)
            town.nodes[owner].send_signal(signal.SIGCONT)
            town.stopped = set()
            for _ in range(10):  # the old one wakes up, with an act under way or not
                town.look()
                time.sleep(0.03)
        owner, _ = town.until(lambda name: True)
        town.nodes[owner].kill()
        town.nodes[owner].wait()
        dead = owner
        owner, gap = town.until(lambda name: name != dead)
        self.assertLess(gap, 3)
        town.start(dead)
        time.sleep(VOTES_AGAIN)
        town.nodes[owner].terminate()
        _, gap = town.until(lambda name: name != owner)
        self.assertLess(gap, 1.5)  # given back, and the next one tried within a part of the lease
        town.nodes[owner].wait()
        town.start(owner)
        time.sleep(0.6)
        for node in town.nodes.values():
            node.kill()
            node.wait()
        before = town.largest
        for name in town.places:
            town.start(name)
        owner, _ = town.until(lambda name: True)
        time.sleep(0.4)
        town.look()
        self.assertGreater(town.largest, before)
        shown = ask.ask(town.places[owner], CLUSTER, "show", "items")["items"]
        self.assertIn(["word", "note|fleet"], [one[:2] for one in shown])
        self.assertGreaterEqual(len(town.writers), 3)
        logs = "".join(path.read_text() for path in town.root.glob("*.log"))
        self.assertNotIn("fault", logs)


if __name__ == "__main__":
    unittest.main()
