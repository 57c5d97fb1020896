"""Owns the connections to cache servers and the origin: opens, pools and closes them; one exchange at a time.

An exchange is written once and never again, on whatever connection; its end says whether the last byte was
written. This file must never pick a server, hold more descriptors than its cap, or use a connection again on
which an answer may still come.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Container
from enum import Enum, auto

from saltmoor import config
from saltmoor.config import LONGEST_HELD
from saltmoor.guard.attempts import may_write
from saltmoor.guard.verdicts import Reason
from saltmoor.model import Ended, Micros, Readiness, ServerId
from saltmoor.net import errors, http, meta, tcp_info
from saltmoor.net.ages import Ages
from saltmoor.net.buffers import Buffers, Stream, family
from saltmoor.net.flow import Budget, Flow, Kept
from saltmoor.net.link import OWN_TROUBLE, Dial, Link, Reader
from saltmoor.net.link_state import LinkState
from saltmoor.net.log import Log
from saltmoor.net.time_out import TimeOut
from saltmoor.net.trouble import LocalTrouble, Pauses

STEP = 1 << 18  # bytes: how memory is asked for where a value's length is not known
REST: Micros = 25_000  # how long a connection stands free first after an answer that does not say to what it is one:
# guards against a second copy of it that comes some milliseconds late, and would be the next one's answer
ROOM: Micros = 40_000  # how long clients that are on their way out may take to leave their descriptor
MEMORY: Micros = 10_000_000  # what was learnt of connections is worth half after so long
LATEST: Micros = 2_000_000  # a connection that is not up so long after it was begun is let go: the time-out for those
# who wait for it is shorter, and what nobody waits for may not keep a descriptor for ever
LATE_ONES = 4  # as many may be on their way to one server with nobody waiting: it bears only so many


class Unmade(Enum):
    """Why there is no connection."""

    THEIRS = auto()  # the server, or the way to it: it refused, or was not up in time
    OURS = auto()


class Upstream:
    """The pool of a node's connections to its servers: `cap` of them at most, open or on their way up."""

    def __init__(
        self,
        buffers: Buffers,
        log: Log,
        clock: Callable[[], Micros],
        *,
        budget: Budget,
        cap: Callable[[], int],
        make_room: Callable[[], bool],
        idle: Micros,
        connect_wait: Micros,
        figures: bool,
    ) -> None:
        self.buffers, self.log, self.clock, self.budget = buffers, log, clock, budget
        self.cap, self.make_room, self.ages, self.forget_at = cap, make_room, Ages(), 0
        self.configure(idle, connect_wait, figures)
        self.address: dict[ServerId, tuple[str, int]] = {}
        self.draining: set[ServerId] = set()
        self.free: dict[ServerId, list[Link]] = {}
        self.by_use: dict[Link, None] = {}  # the same, the one that is free for longest first
        self.late: dict[ServerId, list[Dial]] = {}  # on their way, with nobody waiting any more
        self.waiting: dict[ServerId, list[asyncio.Future]] = {}  # for a connection, if one should stand free first
        self.lateness = 0.0  # of connections that were not up in time, lately: the share that came up after all
        self.never: set[ServerId] = set()  # where the last one of them did not; each counts once until one does
        self.trouble = LocalTrouble()
        self.unsent: set[asyncio.Task] = set()  # exchanges of which no server can have the last byte
        self.open = 0

    def configure(self, idle: Micros, connect_wait: Micros, figures: bool) -> None:
        self.connect_wait, self.ask = connect_wait, meta.PROBE[figures]
        self.idle = self.good = idle * 4 // 5  # closed well before the server would

    def listed(self, lines: list[config.Line], whole: bool = False) -> None:
        """Where servers are reached now; what is kept for those that left, and links to the moved, goes."""
        stay = {line.member.server: line.address for line in lines if line.member.readiness is not Readiness.GONE}
        left = {line.member.server for line in lines} | (set(self.address) if whole else set())
        self.draining -= left
        self.draining |= {line.member.server for line in lines if line.member.readiness is Readiness.DRAINING}
        for server in left:
            if self.address.get(server) != stay.get(server):
                self.address.pop(server, None)
                self.never.discard(server)
                self.trouble.forget(server)
                self.close_free(server, "left-list")
        self.address |= stay
        for dial in [one for some in self.late.values() for one in some if not self.good_for(one.link)]:
            self.let_go(dial, "left-list")

    def keep(self, known: Container[ServerId]) -> None:
        """Where the list alone does not bind: forget where those are reached that the decisions have forgotten."""
        for server in [one for one in self.address if one not in known]:
            del self.address[server]
            self.draining.discard(server)
            self.never.discard(server)
            self.forget(server)
            for dial in self.late.get(server, [])[:]:
                self.let_go(dial, "given-back")

    async def exchange(
        self,
        server: ServerId,
        data: list[bytes] | Callable[[], list[bytes]],
        reader: Reader,
        until: Micros,
        by: Micros = 0,
        wanted: Callable[[], bool] | None = None,
    ) -> meta.Reply:
        """Write it, read the answer; the reply's `ended` tells how far it came when there is none.

        `data`: a callable is asked right before the first byte. Guards against telling a server of time that
        connecting has used up.

        `by`: where its last byte is not written by then, it is not written at all, and was never sent.
        `wanted`: asked right before its first byte is written; where nobody wants it any more it was never sent.

        Where the answer is a large value the reply holds its flow, which has the connection from then on.
        """
        link, written, code, got, age, paid, parts = None, False, "internal", b"", -1, 0, []
        flow = None
        self.unsent.add(asyncio.current_task())
        # Guards against giving up a moment early, which looks like time for another hop: the loop's timers go
        # by whole milliseconds, so one more is added.
        timer = TimeOut(max(0, until - self.clock()) / 1_000_000 + 0.001, asyncio.current_task())
        # Guards against a repeat that is decided inside of its window, and written behind it: connecting takes time.
        unsent_timer = None
        if by and by < until:
            unsent_timer = TimeOut(max(0, by - self.clock()) / 1_000_000, asyncio.current_task(), passes=0)
        try:
            link = self.take(server)
            if link:
                age = self.clock() - link.used
            else:
                if not await self.room():
                    return meta.Reply(Ended.NOT_SENT)
                made = await self.connect(server)
                if isinstance(made, Ended):
                    return meta.Reply(made)
                link = made
            # Guards against a drain that came since it was picked, on the way here or while it connected, against a
            # repeat that is written behind its window, and against work for a client that has left meanwhile.
            verdict = may_write(
                self.clock(),
                listed=self.address.get(server) == link.address,
                draining=server in self.draining,
                by=by,
                wanted=wanted is None or wanted(),
            )
            if not verdict:  # nothing is written, so it did not run
                if verdict.reason is Reason.SERVER_LEFT:
                    code = "left-list"
                else:
                    self.stand_free(link)  # as it was
                    link = None
                return meta.Reply(Ended.NOT_SENT)
            parts = data() if callable(data) else list(data)
            while parts:
                await link.stream.write(parts[0])
                del parts[0]  # a large value isn't kept while its answer is waited for
            written, link.exchanges = True, link.exchanges + 1
            self.unsent.discard(asyncio.current_task())
            if unsent_timer:
                unsent_timer.cancel()
            while True:
                got = await link.stream.read()
                if not got:
                    code = "ended"
                    if not reader.ended():
                        return meta.Reply(Ended.RESET)
                    age = -1  # that is how it ends: no word on how long a connection stays good
                    break
                if reader.feed(got):
                    break
                while reader.gathered > LONGEST_HELD + paid:
                    await self.budget.take(STEP)
                    paid += STEP
            reply = reader.reply
            link.nameless = reader.nameless
            if reader.large:
                flow, link = self.flow(link, reader), None
                reply.flow = flow
                return reply
            code = code if code == "ended" else "" if reader.clean else "closed"
            if reader.gathered > LONGEST_HELD:
                value, back = reader.keep(), paid
                reply.flow = Flow(
                    len(value), Kept(value, STEP // 16), None, lambda code: self.budget.give_back(back), self.clock()
                )
                paid = 0
            return reply
        except asyncio.CancelledError:
            # Guards against a time-out between the kernel's taking the last byte and this task's hearing of it.
            written = written or len(parts) == 1 and link is not None and link.stream.sent
            if self.clock() < (until if written else by or until):
                code = "stopped"
                raise
            code = "gave-up"
            # It waited for our own trouble to pass.
            ours = self.trouble.since is not None if link is None else link.stream.short
            if not written and (self.clock() < until or ours):
                return meta.Reply(Ended.NOT_SENT)  # its window is over: no word on the server
            return meta.Reply(Ended.TIMED_OUT if written else Ended.NO_CONNECTION)
        except OSError:
            code = "reset"
            return meta.Reply(Ended.RESET if written else Ended.NO_CONNECTION)
        except (meta.FramingLost, http.Garbled) as error:
            code = "garbled"
            self.log(f"garbled answer from {server}: {error}")
            return meta.Reply(Ended.UNKNOWN)
        finally:
            timer.cancel()
            if unsent_timer:
                unsent_timer.cancel()
            self.unsent.discard(asyncio.current_task())
            parts.clear()
            if flow is None:  # else it closes the reader
                reader.close()
            if paid:
                self.budget.give_back(paid)
            if age >= 0 and (got or code in ("ended", "reset")):
                self.ages.learn(age, not got)
            if link:
                self.leave(link, code)

    def leave(self, link: Link, code: str, used: Micros = 0) -> None:
        """An exchange on it is over; with no code it stays free for the next one. `used`: when that was; 0: now."""
        if not code and self.address.get(link.server) != link.address:
            code = "left-list"
        if code:
            self.close(link, code)
        else:
            link.used = used or self.clock()
            link.rests = link.used + REST * link.nameless
            self.stand_free(link)

    def stand_free(self, link: Link) -> None:
        """The next exchange with its server may have it."""
        self.free.setdefault(link.server, []).append(link)
        self.by_use[link] = None

    def take_off(self, link: Link) -> None:
        """It does not stand free any more."""
        self.by_use.pop(link, None)
        links = self.free[link.server]
        links.remove(link)
        if not links:
            del self.free[link.server]

    def close_free(self, server: ServerId, code: str) -> None:
        """Close what stands free to that server."""
        for link in self.free.pop(server, []):
            self.by_use.pop(link, None)
            self.close(link, code)

    def flow(self, link: Link, reader: Reader) -> Flow:
        return Flow(reader.length, reader, link.stream.read, lambda code: self.leave(link, code), self.clock())

    async def probe(self, server: ServerId, until: Micros) -> meta.Reply:
        return await self.exchange(server, [self.ask], meta.ProbeReply(), until)

    def take(self, server: ServerId) -> Link | None:
        """The free connection used last, if it is still good."""
        links = self.free.get(server, [])
        for link in [link for link in reversed(links) if link.rests <= self.clock()]:
            self.take_off(link)
            if link.used > self.clock() - self.good and link.stream.quiet():
                return link
            self.close(link, "stale")
        return None

    async def room(self) -> bool:
        """Whether one more connection may be opened: a free one makes room, else a client that asks nothing.

        Guards against idle clients that hold every descriptor; what they leave is there some passes later at most.
        """
        until = self.clock() + ROOM
        while self.open >= self.cap() and not self.evict():
            if not self.make_room() or self.clock() >= until:
                return False
            if self.open >= self.cap():
                await asyncio.sleep(ROOM / 20_000_000)
        return True

    async def connect(self, server: ServerId) -> Link | Ended:
        if server not in self.address:
            return Ended.NO_CONNECTION
        pauses = Pauses(self.connect_wait)
        while True:
            made = await self.connect_once(server)
            now = self.clock()
            if isinstance(made, Link):
                return made
            if made is Unmade.THEIRS or self.trouble.alone(server, now):
                return Ended.NO_CONNECTION
            pause = pauses.next() if self.trouble.passing(now) else None
            if pause is None:
                return Ended.NOT_SENT
            await asyncio.sleep(pause / 1_000_000)
            if server not in self.address or not await self.room():
                return Ended.NOT_SENT

    def failed_here(self, server: ServerId, why: object) -> Unmade:
        """Our own trouble: it says nothing of the server."""
        if self.trouble.failed(server, self.clock()):
            self.log(f"connect failing for a reason of our own: {why}")
        return Unmade.OURS

    async def connect_once(self, server: ServerId) -> Link | Unmade:
        host, port = self.address[server]
        try:
            stream = Stream(socket.socket(family(host), socket.SOCK_STREAM), self.buffers)
        except OSError as error:
            if errors.verdict(errors.Call.SOCKET, error).then is errors.Then.SHED:
                self.evict()
            return self.failed_here(server, error)
        self.open += 1
        loop = asyncio.get_running_loop()
        dial = Dial(Link(server, (host, port), stream, self.clock()))
        other, waiting, link = loop.create_future(), self.waiting.setdefault(server, []), None
        waiting.append(other)
        try:
            await asyncio.wait(
                (dial.over, other), timeout=self.connect_wait / 1_000_000, return_when=asyncio.FIRST_COMPLETED
            )
            link = other.result() if other.done() else dial.link if dial.over.done() else None
        finally:
            waiting.remove(other)
            if not waiting:
                self.waiting.pop(server, None)
            if link is not dial.link:
                self.goes_on(dial)
            if link is None and other.done():  # stopped in the moment in which it was handed over
                self.leave(other.result(), "")
        if link is None:
            return Unmade.THEIRS
        code = dial.over.result() if link is dial.link else ""
        if code == OWN_TROUBLE:
            self.close(link, code)
            return self.failed_here(server, f"{host}:{port}")
        self.trouble.worked(server, self.clock())
        if code:
            self.learn(server, False)
            self.close(link, code)
            return Unmade.THEIRS
        self.never.discard(server)
        return link

    def goes_on(self, dial: Dial) -> None:
        """Nobody waits for it any more.

        Guards against paying for it twice: who waited sends nothing on it, but the next one may.
        """
        ones = self.late.setdefault(dial.link.server, [])
        ones.append(dial)
        dial.over.add_done_callback(lambda over: self.came(dial))
        if not dial.over.done() and (len(ones) > LATE_ONES or not self.good_for(dial.link)):
            self.let_go(dial, "no-connection")

    def came(self, dial: Dial) -> None:
        """It is up though nobody waits for it, or has ended."""
        link, ones = dial.link, self.late.get(dial.link.server, [])
        if dial not in ones:
            return  # it was let go
        ones.remove(dial)
        if not ones:
            del self.late[link.server]
        code = dial.over.result() or ("" if self.good_for(link) else "left-list")
        now = self.clock()
        came_up = max(link.since, now - (tcp_info.age(link.stream.sock) or 0))
        if not code:
            link.used = came_up
        if code != OWN_TROUBLE and (now >= link.since + self.connect_wait or dial.over.result()):
            self.learn(link.server, not dial.over.result())
        other = next((one for one in self.waiting.get(link.server, []) if not one.done()), None)
        if other and not code:
            other.set_result(link)
        else:
            self.leave(link, code, used=came_up)

    def let_go(self, dial: Dial, code: str) -> None:
        """Its descriptor is free at once."""
        ones = self.late[dial.link.server]
        ones.remove(dial)
        if not ones:
            del self.late[dial.link.server]
        if not dial.over.done():
            dial.end(code)
        self.close(dial.link, code)

    def learn(self, server: ServerId, came: bool) -> None:
        """A connection that was not up in time came up after all, or did not."""
        if came:
            self.never.discard(server)
        elif server in self.never:
            return  # a dead one is no crowd
        else:
            self.never.add(server)
        self.lateness += (came - self.lateness) * 0.1

    def good_for(self, link: Link) -> bool:
        """Its server may still be sent to, and is where it was."""
        return link.server not in self.draining and self.address.get(link.server) == link.address

    def evict(self) -> bool:
        """Close the one that is on its way longest with nobody waiting, else the one that is free for longest.

        It costs the same however many there are.
        """
        if self.late:
            self.let_go(min((ones[0] for ones in self.late.values()), key=lambda dial: dial.link.since), "evicted")
            return True
        oldest = next(iter(self.by_use), None)
        if oldest is None:
            return False
        self.take_off(oldest)
        self.close(oldest, "evicted")
        return True

    def give_back(self, server: ServerId) -> None:
        """Close what stands free to this server, as others are refused there.

        Guards against taking connections that come up late for refused ones: each that is closed then costs a new
        one, of which as many are late again, and more are closed. So nothing is given back while most of those that
        are not up in time come up after all: there is room for them.
        """
        if self.lateness > 0.5:
            return
        self.forget(server)

    def forget(self, server: ServerId) -> None:
        self.close_free(server, "given-back")

    def sweep(self) -> None:
        """Close what would soon have been idle for too long."""
        now = self.clock()
        if now >= self.forget_at:
            self.ages.forget()
            self.forget_at = now + MEMORY
        self.good = self.ages.good(self.idle)
        while (oldest := next(iter(self.by_use), None)) and oldest.used <= now - self.good:
            self.take_off(oldest)
            self.close(oldest, "idle")
        for dial in [one for some in self.late.values() for one in some if one.link.since <= now - LATEST]:
            self.learn(dial.link.server, False)
            self.let_go(dial, "no-connection")
        while self.open > self.cap() and self.evict():
            pass  # the cap has come down

    def hand_on(self, give: Callable[[dict, int], bool]) -> None:
        """Pass free connections to the process that takes this one's place."""
        for link in [link for links in self.free.values() for link in reversed(links)]:
            self.take_off(link)
            if link.used > self.clock() - self.good and link.stream.quiet():
                state = LinkState(link.server, link.address, link.since, link.used, link.exchanges, link.rests)
                give(state.message(), link.stream.sock.fileno())
            self.close(link, "handed-on")

    def adopt(self, sock: socket.socket, state: LinkState) -> None:
        """A free connection of the process before this one.

        Where that one does not say how long it rests, more may come of its last answer.
        """
        link = Link(state.server, state.address, Stream(sock, self.buffers), state.since)
        link.used, link.exchanges = state.used, state.exchanges
        link.rests = self.clock() + REST if state.rests is None else state.rests
        self.open += 1
        if self.address.get(link.server) == link.address and self.open <= self.cap():
            self.stand_free(link)
        else:
            self.close(link, "evicted")

    def close(self, link: Link, code: str) -> None:
        link.stream.close()
        self.open -= 1
        age = (self.clock() - link.since) // 1000
        self.log.ended("server", f"{link.server}", code, n=link.exchanges, ms=age)

    def close_all(self) -> None:
        for dial in [one for some in self.late.values() for one in some]:
            self.let_go(dial, "stopping")
        for server in list(self.free):
            self.close_free(server, "stopping")
