"""Owns the node's life: builds its parts, runs what falls due, takes new settings, ends with nothing owed.

It must never end the process while a transaction is unanswered and its time not over, nor speak a protocol.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
import socket
import textwrap
import time
from collections.abc import Callable, Container
from dataclasses import replace
from typing import Any

from saltmoor import config, facade
from saltmoor.choice import Node
from saltmoor.guard.checks import Checker
from saltmoor.guard.ends import CLOSING, LONGEST_AWAITED, MOST_AHEAD, ahead, plan_drain, plan_stop
from saltmoor.guard.verdicts import Rule
from saltmoor.model import Ended, ListKind, Micros, Readiness
from saltmoor.net import meta, sibling
from saltmoor.net.admin import Admin
from saltmoor.net.buffers import Buffers, listener
from saltmoor.net.clients import EVICTIONS, Clients
from saltmoor.net.discovery import Discovery, News
from saltmoor.net.flow import Budget
from saltmoor.net.link_state import LinkState
from saltmoor.net.log import Log
from saltmoor.net.node_life import NodeLife, Phase
from saltmoor.net.sibling import Meeting, Message, Sibling
from saltmoor.net.spent_ids import SpentIdsMessage
from saltmoor.net.upstream import Upstream

GRAIN = 2  # milliseconds
HURRY = 0.05  # seconds between sweeps while connections are to end
STOP_EVERY = 0.02  # the same once the process takes no new ones
LAST_CLOSES = 30_000  # microseconds before a stop's bound, in which connections that linger are closed
LATE_EVERY = 0.005  # seconds: how often the loop's lateness is looked at, and reading is paced
REST_EVERY = 0.025  # seconds: the same while the node has nothing to do; a look costs 0.1 ms of a core by waking it
REST_AFTER = 20  # looks in a row that found nothing to do, before they become rarer
FIRST_NEWS = 1.0  # seconds: so long a start waits for the list where what it says counts from the first moment
STEP = 1_000_000  # microseconds: from then on the wall clock was set
JUST_HALTED = 50_000  # microseconds since a process that was halted runs again, and hears what came meanwhile
STANDS_STILL = 5.0  # seconds without a pass of the loop: the process hangs
NAMES_SHOWN = 200  # characters of names in one line of the log
STRICT = "SALTMOOR_STRICT"  # in the environment: a violated rule raises, for tests and soaks
STOPS = {signal.SIGTERM, signal.SIGINT}
SIGNALS = STOPS | {signal.SIGHUP}
OFFSET = time.time_ns() // 1000 - time.monotonic_ns() // 1000


def clock() -> Micros:
    """Unix time that never steps back."""
    return time.monotonic_ns() // 1000 + OFFSET


class Starts:
    """When servers started, told in wall time, on the node's own clock.

    Guards against a wall clock that is set while the node runs: forwards, each new server would count as cold for as
    long as the step; backwards, as warm at once. What lies in the future has just started. A start that was told
    before keeps its moment, so that a step makes no restart of it.
    """

    def __init__(self) -> None:
        self.seen: dict[str, tuple[Micros, Micros]] = {}  # as told, and on the node's own clock

    def own(self, lines: list[config.Line], whole: bool) -> list[config.Line]:
        now, before, seen = clock(), self.seen, {}
        step = now - time.time_ns() // 1000
        step = step if abs(step) > STEP else 0  # two readings never agree to the microsecond
        for line in lines:
            server, told = line.member.server, line.member.started
            last, own = before.get(server, (0, 0))
            if told > last:
                own = max(own + 1, self.moment(told, step, now)) if told > 0 else 0
                last = told
            seen[server] = last, own
        self.seen = seen if whole else before | seen
        return [
            line
            if seen[line.member.server][1] == line.member.started
            else replace(line, member=replace(line.member, started=seen[line.member.server][1]))
            for line in lines
        ]

    @staticmethod
    def moment(told: Micros, step: Micros, now: Micros) -> Micros:
        """When a server started, on the node's own clock.

        The clocks of all machines may have been set by `step`, or this one's alone: the later moment that is not ahead
        counts, as it leaves the server the colder.
        """
        moments = [min(one, now) for one in (told, told + step) if one <= now + STEP]
        return max(moments, default=now)

    def told(self, server: str, own: Micros) -> Micros:
        """As the list has it, for the process that takes this one's place."""
        return self.seen.get(server, (own, own))[0]

    def keep(self, known: Container[str]) -> None:
        self.seen = {server: times for server, times in self.seen.items() if server in known}


class Service:
    """One running node."""

    def __init__(
        self,
        given: config.Config,
        read: Callable[[], config.Config],
        log: Log | None = None,
        meeting: Meeting | None = None,
        found: tuple[Sibling, Message, list[int]] | None = None,
        keeper: Any = None,
        kept: dict[str, Any] | None = None,
    ) -> None:
        self.given, self.read = given, read
        self.log = log or Log(given.log_lines)
        self.meeting, self.sibling = meeting, None
        self.loop = asyncio.get_running_loop()
        self.timer: asyncio.TimerHandle | None = None
        self.nudged, self.looked, self.idle = False, time.monotonic(), 0
        self.heard = asyncio.Event()  # of the list, or that it cannot be had
        self.hurry = asyncio.Event()  # the next sweep is to come at once
        self.stop_told, self.stop_told_at = asyncio.Event(), 0  # by a signal, and when
        self.buffers = buffers = Buffers(keep=given.caps.connections)
        self.budget = Budget(given.caps.gathered)
        self.upstream = Upstream(
            buffers,
            self.log,
            clock,
            budget=self.budget,
            cap=self.upstream_cap,
            make_room=lambda: self.clients.make_room(),
            idle=given.idle,
            connect_wait=given.connect_wait,
            figures=bool(given.names.columns),
        )
        self.starts = Starts()
        known = self.starts.own(given.known, whole=True)
        self.upstream.listed(known)
        self.discovery = self.make_discovery()
        self.errand: facade.Watch | None = None  # the last one to follow the list, also where there is no discovery
        node = Node(given.seed, clock(), **given.node)
        self.door = facade.Facade(
            node,
            [line.member for line in known],
            columns=given.names.columns,
            clock=clock,
            nudge=self.nudge,
            log=self.log,
            part=0.5 if found else 1.0,
        )
        self.life = NodeLife(clock)
        self.checker = Checker(clock, self.log, strict=bool(os.environ.get(STRICT)))
        self.clients = Clients(
            self.door,
            self.upstream,
            buffers,
            self.log,
            clock,
            names=given.names,
            profiles=given.node["profiles"],
            caps=given.caps,
            budget=self.budget,
            checker=self.checker,
            drains=lambda: self.life.drain.on,
        )
        self.clients.spent_ids.tell = self.tell_spent
        self.say_given(given)
        self.settings(given)
        self.sharing = None
        if given.peers:
            from saltmoor.net.sharing import Sharing  # only where it is switched on

            self.sharing = Sharing(self, given.peers)
            if "fetches" in given.peers.use:
                self.clients.sharing = self.sharing
        self.follower = None
        if given.changes:
            from saltmoor.net.changes import Follower  # only where it is switched on

            self.follower = Follower(self, given.changes)
        self.keeper = keeper
        if kept:
            self.recall(kept)
        shared = self.beside(*found) if found else None
        self.shares = shared is not None  # with the process that was there before
        self.listener = shared or listener("listen", given.listen)
        self.admin = given.admin and Admin(
            given.admin,
            {
                "/_ready": ("GET", self.say_ready),
                "/_metrics": ("GET", self.say_counts),
                "/_lameduck/on": ("POST", lambda came_ago: self.say_lame(True, came_ago)),
                "/_lameduck/off": ("POST", lambda came_ago: self.say_lame(False, came_ago)),
            },
            on_loop=self.on_loop,
            note=self.note_call,
        )
        if self.admin:
            self.log("second address at %s:%d" % self.admin.listener.getsockname()[:2])

    def recall(self, kept: dict[str, Any]) -> None:
        """Guards against whatever else a snapshot holds: what cannot be used costs the snapshot, never the start."""
        try:
            kinds, age = kept["kinds"], kept["age"]
            listed = kinds.get("list")
            if listed and listed["source"] == self.source() and listed["generation"] > self.given.generation:
                self.relist(listed["generation"], listed["lines"])
            said = self.door.recall(kinds, age)
            self.log(f"snapshot: remembered, {'of unknown age' if age is None else f'age_ms={age // 1000}'}: {said}")
        except Exception as error:
            self.log(f"snapshot: not used: {type(error).__name__}: {error}")

    def source(self) -> str:
        return "%s:%d" % self.given.discovery if self.given.discovery else ""

    def relist(self, generation: int, told: list[dict[str, Any]]) -> None:
        """A newer list than the one it was started with: whole, as another process of this node had it."""
        lines = [config.line(config.Section(one), self.given.names) for one in told]
        lines = self.starts.own(lines, whole=False)
        self.upstream.listed(lines, whole=True)
        self.door.remembered([line.member for line in lines])
        if self.discovery:
            self.discovery.generation = int(generation)

    def lines(self) -> list[dict[str, Any]]:
        """The list as it is followed, in discovery's form."""
        names, addresses = self.given.names, self.upstream.address
        return [
            {
                "instanceId": one.server,
                "hostPort": "%s:%d" % addresses[one.server],
                "zone": names.zones[one.zone] if one.zone >= 0 else "",
                "cell": one.cell,
                "machineType": names.kinds[one.kind] if one.kind >= 0 else "",
                "lifecycle": "up",
                "weight": one.size,
                "startedAtMs": self.starts.told(one.server, one.started) // 1000,
            }
            for one in self.door.members()
            if one.server in addresses
        ]

    def noted(self) -> dict[str, Any]:
        generation = self.discovery.generation if self.discovery else self.given.generation
        listed = {"generation": generation, "source": self.source(), "lines": self.lines()}
        return self.door.noted() | {"list": listed}

    def beside(self, sibling: Sibling, said: Message, fds: list[int]) -> socket.socket | None:
        """Guards against whatever answers at the socket file and is no process of this node: it serves alone then."""
        try:
            return self.join(sibling, said, fds)
        except Exception as error:
            self.log(f"sibling: not understood, serving alone: {type(error).__name__}: {error}")
            sibling.gone = lambda: None
            sibling.end()
            self.alone()
            return None

    def join(self, sibling: Sibling, said: Message, fds: list[int]) -> socket.socket | None:
        """Serve beside the process that was there before: its listener, where it is the right one."""
        shared = socket.socket(fileno=fds[0]) if fds else None
        if shared and shared.getsockname()[:2] != self.given.listen:
            shared.close()
            shared = None
        if int(said.get("generation", 0)) >= self.given.generation and said.get("list"):
            self.relist(said["generation"], said["list"])
        self.pair_with(sibling)
        if said.get("state"):
            self.recall({"kinds": said["state"], "age": 0})
        if "lame" in said:
            self.hear_drain(said)
        return shared

    def pair_with(self, sibling: Sibling) -> None:
        """Two processes are one node: from now on each has its part of the limits."""
        if self.sibling:
            self.sibling.gone = lambda: None
            self.sibling.end()
        self.sibling, sibling.told, sibling.gone = sibling, self.told, self.alone
        self.door.share(0.5)
        self.cap(2)
        if not sibling.alive:
            self.alone()

    def met(self, sibling: Sibling) -> None:
        """A second process starts beside this one."""
        if self.clients.closing:
            sibling.end()
            return
        self.pair_with(sibling)
        lines = self.lines()
        said = self.life.said() | {
            "generation": self.discovery.generation if self.discovery else self.given.generation,
        }
        shared = self.listener.fileno()
        try:
            learnt = {"state": self.door.noted()}
        except Exception as error:  # it is never needed
            self.log(f"sibling: nothing learnt is handed on: {type(error).__name__}: {error}")
            learnt = {}
        # What is too long for one message is left out: first what was learnt, then the list.
        any(sibling.say(said | more, shared) for more in (learnt | {"list": lines}, {"list": lines}, {}))
        self.log(f"sibling: a second process starts; caps {self.clients.caps.connections} connections each")

    def told(self, said: Message, fds: list[int]) -> None:
        if "client" in said and fds:
            self.clients.adopt(socket.socket(fileno=fds.pop(0)), said)
        elif "server" in said and fds:
            state = LinkState.parse(said)
            self.upstream.adopt(socket.socket(fileno=fds.pop(0)), state)
        elif "ready" in said:
            all(self.sibling.say(ids.message()) for ids in self.clients.spent_ids.messages())
        elif "spent" in said:
            self.clients.spent_ids.take(SpentIdsMessage.parse(said), clock())
        elif "lame" in said:
            self.hear_drain(said)
        elif "left" in said:  # it ends: what it does not hold any more is there for this one
            self.cap(2, int(said["left"]) or 1)
        for fd in fds:  # a queue that is offered late, by one that hung: guards against holding it and never accepting
            os.close(fd)

    def tell_spent(self, ids: SpentIdsMessage) -> None:
        """A request that may have run must not run again at the other process."""
        if self.sibling:
            self.sibling.say_at_once(ids.message())

    def alone(self) -> None:
        """The other process has gone, one way or another."""
        self.sibling = None
        self.door.share(1.0)
        self.cap(1)
        if self.meeting and self.ready and not self.clients.closing:
            self.meeting.publish()
        self.log(f"sibling: gone; caps {self.clients.caps.connections} connections")

    def cap(self, processes: int, taken: int = 0) -> None:
        caps = self.clients.caps = self.given.caps_for(processes, taken)
        self.budget.total = caps.gathered
        self.budget.serve()
        self.hurry.set()

    @property
    def ready(self) -> bool:
        return self.life.phase is Phase.SERVING

    def on_loop(self, work: Callable[..., None], *what: Any) -> None:
        """Called on another thread: have that done in the loop; nothing where it is closed."""
        with contextlib.suppress(RuntimeError):
            self.loop.call_soon_threadsafe(work, *what)

    def note_call(self, outcome: str, line: str) -> None:
        """One line for each call that changes something or went wrong; readiness is asked too often for one."""
        self.log.counters.add("admin_calls", outcome)
        self.log(line)

    # These answer calls, on the second address's thread.

    def say_ready(self, came_ago: Micros) -> tuple[bool, str]:
        """Whether this process takes clients; not where its loop has stood still for long."""
        if self.ready and time.monotonic() - self.looked > STANDS_STILL:
            return False, "does not go on"
        return self.ready, self.life.words

    def say_counts(self, came_ago: Micros) -> tuple[bool, str]:
        """Counts by name and reason; violations by rule."""
        rules = [f'saltmoor_violations_total{{reason="{rule.value}"}} {self.checker.violations[rule]}' for rule in Rule]
        return True, "\n".join([self.log.counters.text(), *rules]).strip()

    def say_lame(self, on: bool, came_ago: Micros = 0) -> tuple[bool, str]:
        """Staff begin or end a drain: also of a node that is starting; one that stops ends its clients anyway."""
        if self.life.phase in (Phase.STOPPING, Phase.ENDED):
            return False, self.life.words
        changed = self.life.order(on, came_ago)
        self.on_loop(self.drain_ordered, changed)
        return True, "lame duck" if on else "serving"

    # And these run in the loop again.

    def drain_ordered(self, changed: bool) -> None:
        """Staff have said so; the other process of this node has to hear it too."""
        if changed:
            self.apply_drain()
        if self.sibling:
            self.sibling.say_surely(self.life.said())

    def hear_drain(self, said: Message) -> None:
        """The other process of this node says whether it drains, and since when."""
        if self.life.hear(said):
            self.apply_drain()

    def apply_drain(self) -> None:
        drain = self.life.drain
        self.clients.drain_from(drain.changed if drain.on else 0)
        self.clients.sweep(self.given.unfinished)
        self.hurry.set()

    def settings(self, given: config.Config) -> None:
        self.checker.configure(given.node["budget"], given.node["cold"].window)
        # So that no connection is found closed for its age; and never so often that the node does nothing else.
        self.sweep = max(HURRY, min(0.5, given.idle / 20_000_000))
        # What was taken under earlier settings keeps its time, but at the process's end: whoever ends it knows no other.
        self.longest = max(profile.limit for profile in given.node["profiles"])
        self.say_caps(given)

    def say_given(self, given: config.Config) -> None:
        """Log by which names the node was told what it was told."""
        for what, names in ("keys", given.keys), ("variables", given.variables):
            for line in textwrap.wrap(" ".join(names), NAMES_SHOWN) or ["none"]:
                self.log(f"given {what}: {line}")

    def say_caps(self, given: config.Config) -> None:
        """Log which settings do not fit into the bounds of a drain or a stop, or mean nothing, and what holds instead."""
        if given.unknown:
            self.log(f"configuration: keys that are not known: {' '.join(given.unknown)[:200]}")
        stop, drain = plan_stop(self.longest, given.linger), plan_drain(self.longest)
        if given.linger > stop.told_from:
            self.log(
                f"serve.linger_ms: {given.linger // 1000} does not fit before the kill, {stop.told_from // 1000} holds"
            )
        for most, what in (drain.answers_until - drain.reads_until, "drain"), (LONGEST_AWAITED, "stop"):
            if self.longest > most:
                self.log(
                    f"settings.classes: deadline_ns of {self.longest // 1000} ms does not fit into a {what}: "
                    f"what is open is answered by {(drain if what == 'drain' else stop).answers_until // 1000} ms after it began"
                )

    def reload(self) -> None:
        """Read the configuration again and change over; what is faulty changes nothing.

        Guards against a signal that ends the node, and against a list followed where it is not told any more.
        """
        try:
            given = self.read()
        except Exception as error:  # whatever is wrong with the file
            self.log(f"configuration kept: {error if isinstance(error, config.Faulty) else repr(error)}")
            return
        if why := self.unfit(given):
            self.log(f"configuration kept: {why}")
            return
        old = self.given
        self.given = given
        self.log.rate = given.log_lines
        self.settings(given)
        self.upstream.configure(given.idle, given.connect_wait, bool(given.names.columns))
        self.clients.configure(given.names, given.node["profiles"], given.caps)
        self.cap(2 if self.sibling else 1)
        if (given.node, given.names) != (old.node, old.names):
            self.door.configure(given.node, given.names.columns)
        if self.discovery and given.discovery:
            self.discovery.move(given.discovery, given.names, given.pushed)
        elif self.discovery:
            self.discovery.stop("replaced")
            self.discovery = None
        elif given.discovery:
            self.discovery = self.make_discovery()
            if self.errand:  # guards against a list that is followed once it falls due again, or never
                self.watch(self.errand, self.errand.silence)
        for key in ("listen", "admin", "peers", "duties", "changes"):
            if getattr(given, key) != getattr(old, key):
                self.log(f"configuration: {'admin_addr' if key == 'admin' else key} needs a restart")
        self.log(f"configuration read: discovery={'%s:%d' % given.discovery if given.discovery else 'none'}")

    def unfit(self, given: config.Config) -> str:
        """Why a running node can't change over to it; empty where it can."""
        old = self.given
        for key in ("zones", "kinds"):
            before = getattr(old.names, key)
            if getattr(given.names, key)[: len(before)] != before:
                # Guards against servers known by a place in the lists that means another zone or kind now.
                return (
                    f"settings.{'azs' if key == 'zones' else key}: those before must keep their places, "
                    f"or it needs a restart"
                )
        if given.node["origin_kind"] != old.node["origin_kind"]:
            return "settings.family_info: needs a restart"
        return ""

    def make_discovery(self) -> Discovery | None:
        given = self.given
        return given.discovery and Discovery(
            given.discovery, self.buffers, self.log, names=given.names, generation=given.generation, pushed=given.pushed
        )

    def upstream_cap(self) -> int:
        """Connections to servers may take what clients leave; the reserve has those that are on their way out."""
        caps, taken = self.clients.caps, len(self.clients.clients)
        return max(caps.upstreams, caps.connections - taken + min(self.clients.leaving, EVICTIONS))

    def nudge(self) -> None:
        if not self.nudged:
            self.nudged = True
            self.loop.call_soon(self.tick)

    def fall_due(self, passes: int) -> None:
        """Guards against a late loop, which runs timers first: what waits in the sockets is read before
        anything is held to be overdue. One pass of the loop brings it in, the next one hands it on.
        """
        if passes:
            self.timer = self.loop.call_soon(self.fall_due, passes - 1)
        else:
            self.tick()

    def tick(self) -> None:
        self.nudged = False
        if self.timer:
            self.timer.cancel()
        errands, again = [], clock() + 10_000
        try:
            errands, again = self.door.tick()
        except Exception as error:  # the next tick must come whatever happened in this one
            self.log(f"fault in a tick: {type(error).__name__}: {error}")
        # The loop's timers go by whole milliseconds: rounded up, or it would wake just before the time. What
        # falls due within GRAIN runs together.
        self.timer = self.loop.call_later(max(GRAIN, -(-(again - clock()) // 1000)) / 1000, self.fall_due, 2)
        for errand in errands:
            match errand:
                case facade.Probe():
                    self.clients.spawn(self.probe(errand))
                case facade.Watch(silence):
                    self.watch(errand, silence)
                case facade.Close(server):
                    self.upstream.give_back(server)

    def look(self, due: float) -> None:
        """How late the loop is: what waits in the sockets waits as long."""
        now = time.monotonic()
        self.idle = 0 if self.clients.busy() else self.idle + 1
        every = REST_EVERY if self.idle > REST_AFTER else LATE_EVERY
        # First of all: guards against a fault below that would leave the reads paced for ever.
        self.looking = self.loop.call_later(every, self.look, now + every)
        late = max(0, int((now - due) * 1_000_000))
        self.clients.note_lag(late)
        if self.clients.ending and clock() - self.clients.swept_at >= HURRY * 1_000_000:
            self.clients.sweep(self.given.unfinished)  # before anything new is read in this pass
        self.clients.pace(self.door.ran(late, int((now - self.looked) * 1_000_000)))
        self.looked = now
        self.clients.missed()
        self.clients.stir = self.stir if self.idle > REST_AFTER else None

    def stir(self) -> None:
        """The first command after a rest: the loop's lateness is looked at as often as ever."""
        self.idle, self.clients.stir = 0, None
        self.looking.cancel()
        self.looking = self.loop.call_later(LATE_EVERY, self.look, time.monotonic() + LATE_EVERY)

    async def probe(self, errand: facade.Probe) -> None:
        reply = meta.Reply(Ended.UNKNOWN)
        try:
            reply = await self.upstream.probe(errand.server, errand.until)
        finally:
            self.door.report(errand, reply.ended, load=reply.load)

    def watch(self, errand: facade.Watch, silence: Micros) -> None:
        self.errand = errand
        if not self.discovery:
            return

        def tell(news: News) -> None:
            if self.sharing and news.lines:
                news = replace(news, lines=self.sharing.news(news.lines))
            news = replace(news, lines=self.starts.own(news.lines, news.kind is ListKind.FULL))
            soft = self.given.node["listing"].soft  # then what is called gone may serve on, and is reached as before
            lines = [line for line in news.lines if not soft or line.member.readiness is not Readiness.GONE]
            self.upstream.listed(lines, news.kind is ListKind.FULL and not soft)
            self.heard.set()
            self.door.report(errand, news.kind, members=[line.member for line in news.lines])

        self.discovery.watch(silence, tell)

    async def run(self) -> None:
        """Serve until told to stop, then until nothing is owed."""
        for number in STOPS:
            signal.signal(number, self.note_stop)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        if signal.sigpending() & STOPS:  # guards against hearing of it only once clients are taken
            self.hear_stop()
        # What came during the start comes now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 20)  # what one transaction needs goes by itself when it is over
        self.nudge()
        self.look(time.monotonic())
        await self.first_news()
        if not self.stop_told.is_set():
            self.open()
            await self.tend()
            await self.stop()
        self.end()

    def note_stop(self, *_: object) -> None:
        """The process is told to end; this runs in the middle of whatever it does, and keeps the moment alone.

        Guards against a process that was halted when the signal came: it may have come since it last ran.
        """
        now, ran = clock(), clock() - int((time.monotonic() - self.looked) * 1_000_000)
        if self.clients.late_looks:
            looked, late = self.clients.late_looks[-1]
            ran = looked - late if now - looked < JUST_HALTED else ran
        self.stop_told_at = self.stop_told_at or max(ran, now - MOST_AHEAD)
        self.on_loop(self.hear_stop)

    def hear_stop(self) -> None:
        """All bounds of a stop count from its signal, whatever the process waited for."""
        if not self.stop_told.is_set():
            self.stop_told_at = self.stop_told_at or clock()
            self.stop_told.set()
            self.hurry.set()

    async def first_news(self) -> None:
        """Wait for the first list where what it says counts from the first moment, but not past a stop.

        Guards against sending by the list held before what the news, which count already, have drained.
        """
        if not self.given.pushed or not self.discovery:
            return
        waits = [asyncio.create_task(event.wait()) for event in (self.heard, self.stop_told)]
        await asyncio.wait(waits, timeout=FIRST_NEWS, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    def open(self) -> None:
        """Take clients, and begin what runs beside that."""
        self.clients.open_to(self.listener)
        self.clients.listen()
        if self.sibling:
            self.sibling.say({"ready": os.getpid(), "shares": self.shares})
        if self.meeting:
            self.meeting.publish()
        self.life.enter(Phase.SERVING)
        if self.keeper:
            self.keeper.begin(self.noted)
        if self.sharing:
            self.sharing.begin()
        if self.follower:
            self.follower.begin()
        self.log(f"serving at {self.listener.getsockname()[0]}:{self.listener.getsockname()[1]}")

    async def tend(self) -> None:
        """Sweep what needs a look from time to time, until told to stop."""
        while not self.stop_told.is_set():
            self.upstream.sweep()
            self.starts.keep(self.door.node.servers)
            if self.given.node["listing"].soft:
                self.upstream.keep(self.door.node.servers)
            self.clients.sweep(self.given.unfinished)
            self.hurry.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HURRY if self.clients.ending else self.sweep):
                    await self.hurry.wait()

    async def stop(self) -> None:
        """End with nothing owed, within the bounds of a stop."""
        followed = bool(self.sibling and self.sibling.ready)
        plan, since = plan_stop(self.longest, 0 if followed else self.given.linger), self.stop_told_at
        self.clients.begin_stop(plan, since)
        self.life.enter(Phase.STOPPING)
        since_ms = (clock() - since) // 1000
        self.log(f"stopping: since_ms={since_ms} clients={len(self.clients.clients)} txs={len(self.clients.open_ids)}")
        if self.meeting:
            self.meeting.close()
        if followed:
            self.clients.heir = self.sibling
            if self.sharing:  # the process that takes its place is the same member from now on
                self.sharing.end(left=False)
            if self.follower:
                self.follower.resign()
        while (left := since + plan.told_from - clock()) > 0:
            await asyncio.sleep(min(HURRY, left / 1_000_000))
            self.clients.sweep(self.given.unfinished)
        self.clients.settle_down()
        while self.clients.owing and clock() + ahead(self.clients.lag) < self.clients.until:
            self.hand_on()
            await asyncio.sleep(STOP_EVERY)
            self.clients.sweep(self.given.unfinished)
            self.clients.release()
        self.hand_on()
        if self.clients.clients:
            self.clients.release(last=True)
            self.door.end_all()
            while self.clients.clients and (left := self.clients.until + CLOSING - clock()) > 0:
                if left < LAST_CLOSES:
                    self.clients.end_all_lingering()
                await asyncio.sleep(0.005)

    def end(self) -> None:
        """Close what is left: no client is."""
        self.life.enter(Phase.ENDED)
        self.log(f"stopped: clients={len(self.clients.clients)} txs={len(self.clients.open_ids)}")
        if self.keeper:
            self.keeper.end()
        if self.sharing and not self.clients.heir:
            self.sharing.end(left=True)
        if self.follower:
            self.follower.end()
        if self.discovery:
            self.discovery.stop("stopping")
        if self.admin:
            self.admin.stop()
        self.upstream.close_all()

    def hand_on(self) -> None:
        """What this process holds free goes to the one that takes its place, as long as that one lives."""
        heir = self.clients.heir
        if heir and heir.alive:
            self.upstream.hand_on(heir.say)
            heir.say({"left": len(self.clients.clients) + self.upstream.open})
        else:
            self.clients.heir = None


async def serve(given: config.Config, read: Callable[[], config.Config]) -> None:
    """Run a node until it is told to stop, and end the process with 0. OSError: an address cannot be had."""
    log, meeting, found = Log(given.log_lines), None, None
    folder = sibling.folder(given.shared) if given.listen[1] else None
    if folder:
        try:
            meeting = Meeting(folder, given.listen, log, lambda other: service.met(other))
            found = await meeting.find()
        except OSError as error:  # it is never needed to serve
            log(f"sibling: $TMPDIR cannot be used: {error}")
    keeper = kept = None
    if given.keeping:
        from saltmoor.net.keeper import Keeper

        keeper = Keeper(given.keeping, given.name, log)
        kept = await keeper.load()
    service = Service(given, read, log, meeting, found, keeper, kept)
    await service.run()
    # Guards against one more signal in the last moment, which would look like a crash: to close the loop gives each its
    # first meaning back, and to block them would hold for this thread alone. Nothing is owed any more, all is written.
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    os._exit(0)
