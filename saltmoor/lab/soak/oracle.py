"""Judges a soak from outside: the ledger's rules, and the stricter terms of the operators' standing test.

It reads what clients and stand-ins wrote down and what the nodes logged, knows nothing of how a node decides, and takes
no counter of the program for an answer; it says where the program's own checks and its own findings differ.
"""

from __future__ import annotations

import re
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from saltmoor.lab.ledger import SLACK, Asked, Got, Ledger
from saltmoor.lab.scenario import Fault, Scenario

GONE_AFTER = 100_000  # microseconds: an attempt that begins so long after its client left is a lost request
DEADLINE_SLACK = 150_000  # a server may be told so much more than its client has left
LATEST_ANSWER = 500_000  # an answer later than that behind its time is none
DRAIN_BOUND, RECENT = 4_000_000, 2_000_000  # of a drain: the bound, and requests that count as the last ones
CALLER_WAITS = 1_000_000  # for the answer to a call at the second address
JUST_COME = 250_000  # who comes so shortly before a drain's bound has 0.1 s to ask, at a node that may be held up once
HELD_UP = 150_000  # a node may be held up for so long between two steps
LEAST_LINGER_MS = 200  # a node that is told to end takes new connections for so long at least, where it is set so
LONGEST_STOP = 3_700_000  # no stop is longer
READS_AT_LEAST = 700_000  # of a drain: who comes sooner is served
CROSSES = 600_000  # an end crosses what is sent so long before it; the way and an overloaded node take their part
TOLD_SHARE = 2 / 3  # of what pushed a cold server over, from nodes that were told of its start
LARGEST_HELD = 65_536  # bytes: a larger value is passed on as it comes
CLOSING = 100_000  # of a bound: the end is said, and seen
SERVER_CUTS = ("silence", "hand-back")  # troubles of a server that cut a value which it has said whole
NOT_ANSWERED = "its connection ended with no answer, after it was sent on"  # the ledger's words
BROKEN_OFF = "its answer ended before it was whole"  # the ledger's words
FAULT = re.compile(r"(?:violation|fault in|Traceback|internal)")
VIOLATION = re.compile(r"violation rule=(\S+)")


class Rule(Enum):
    """What was broken, in the field's terms."""

    PROTOCOL = "protocol"
    LOST = "lost"
    DUPLICATE = "duplicate"
    DRAIN = "drain"
    SLOW_START = "slow-start"
    DEADLINE = "deadline"
    CLIENT_GONE = "client-gone"
    HELD = "held"  # past the bound of a drain
    CALL = "call"  # at the second address, which answers within a second however busy the node is
    CRASH = "crash"
    PROGRAM = "program"  # the program's own check, or a fault that it logged


@dataclass(slots=True, frozen=True)
class Find:
    """One violation: of which rule, by which request or server, and what was seen."""

    rule: Rule
    subject: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule.value} {self.subject}: {self.what}"


SERVER = "s{}".format  # the name of the cache server with that number
BY_NUMBER = {0: Rule.PROTOCOL, 1: Rule.LOST, 2: Rule.DUPLICATE, 3: Rule.DRAIN, 4: Rule.SLOW_START}


class Oracle:
    """The verdict on one run."""

    def __init__(self, scenario: Scenario, ledger: Ledger, rows: list[list], begin: int, logs: list[Path]) -> None:
        self.scenario, self.ledger, self.begin, self.logs = scenario, ledger, begin, logs
        self.rows = rows
        self.connection_of = {row[2]: row[5] for row in rows if row[0] == "ask"}
        self.paces = {row[3]: row[4] for row in rows if row[0] == "pace"}  # of connections, in bytes a second
        self.silent = {row[2] for row in rows if row[0] == "silent"}
        self.finds: list[Find] = []
        self.counts: Counter[str] = Counter()

    def judge(self) -> list[Find]:
        """All violations that can be seen."""
        for breach in self.ledger.check():
            rule = BY_NUMBER[breach.rule]
            if rule is Rule.SLOW_START:
                continue  # judged below, by who was told
            if breach.what == BROKEN_OFF:
                self.broken_off(self.ledger.asked[breach.tx])
                continue
            if breach.what == NOT_ANSWERED and self.broken(breach.tx):
                self.counts["open on a connection that broke"] += 1  # reads of it were made to fail as Linux documents
                continue
            self.find(Rule.CRASH if "ended by itself" in breach.what else rule, breach.tx, breach.what)
        for asked in self.ledger.asked.values():
            self.counts["requests"] += 1
            self.answered(asked)
            self.closed(asked)
            for got in asked.gots:
                self.counts["attempts"] += 1
                self.gone(asked, got)
                self.deadline(asked, got)
        self.drains_of_nodes()
        self.calls_unheard()
        self.slow_start()
        self.logged()
        return self.finds

    def broken(self, ident: str) -> bool:
        """Whether the node's reads were made to fail whenever this request's connection ended with no answer."""
        asked = self.ledger.asked[ident]
        ends = list(zip(asked.nodes, asked.sent, asked.ended))
        return bool(ends) and all(self.failing(node, sent, ended, "recv") for node, sent, ended in ends)

    def broken_off(self, asked: Asked) -> None:
        """An answer whose head came is whole, or it was not the node that ended it."""
        at = asked.spoilt
        if self.cut_by_server(asked):
            self.counts["large answers broken off by a server"] += 1
        elif self.ledger.killed(asked.node, asked.at, at):
            self.counts["answers broken off by a kill"] += 1
        elif self.failing(asked.node, asked.at, at, "recv") or self.failing(asked.node, asked.at, at, "send"):
            self.counts["answers on a connection that broke"] += 1
        elif self.taken_too_slowly(asked):
            self.counts["large answers taken too slowly for an end"] += 1
        else:
            what = f"{asked.taken} of {asked.announced} bytes came, then {'a reset' if asked.cut_by == 'reset' else 'an end'}"
            self.find(Rule.LOST, asked.id, f"node {asked.node} broke off an answer: {what}{self.stage_of_end(asked)}")

    def cut_by_server(self, asked: Asked) -> bool:
        """Whether a server cut off a value that no node holds whole: it said so, went down, or was in such a trouble."""
        if asked.announced <= LARGEST_HELD:
            return False
        if any(what == "spoilt" for what, _ in self.ledger.told[asked.id]):
            return True
        for got in asked.gots:
            if any(
                server == got.server and what in ("down", "fell") and got.first <= at <= asked.spoilt + SLACK
                for at, server, what in self.ledger.life
            ):
                return True
            if any(self.troubled(fault, got.server, got.first, asked.spoilt) for fault in self.scenario.fault):
                return True
        return False

    def troubled(self, fault: Fault, server: str, since: int, until: int) -> bool:
        """Whether that fault kept a server from giving what it had said."""
        at = self.begin + int(fault.at_s * 1e6)
        struck = (
            server == "origin" if fault.on == "origin" else fault.on == "server" and server in map(SERVER, fault.which)
        )
        lasts = int((fault.for_s or self.scenario.length_s) * 1e6)
        return struck and fault.kind in SERVER_CUTS and at - SLACK <= until and at + lasts + SLACK >= since

    def taken_too_slowly(self, asked: Asked) -> bool:
        """Whether what was left of a value would not have come to its client before the bound of a drain or a stop.

        A node needs the last part of a bound itself: it may be held up, and says the end.
        """
        pace = self.paces.get(self.connection_of.get(asked.id, 0), 0)
        if not pace:
            return False
        whole_at = asked.spoilt + (asked.announced - asked.taken) * 1_000_000 // pace
        return any(whole_at > bound - HELD_UP - CLOSING for bound in self.bounds_at(asked.node, asked.spoilt))

    def bounds_at(self, node: int, at: int) -> list[int]:
        """The bounds of all drains and stops of a node that were on then."""
        bounds = [
            since + DRAIN_BOUND
            for since, over in self.spans_of_drains(node)
            if since - SLACK <= at <= max(over, since + DRAIN_BOUND) + SLACK
        ]
        told = 0
        for moment, what in self.ledger.nodes[node]:
            if what in ("termed", "successor"):
                told = moment
            elif what == "killable" and told:
                bounds += [moment] if told - SLACK <= at <= moment + SLACK else []
                told = 0
        return bounds

    def stage_of_end(self, asked: Asked) -> str:
        """What the node was doing when it broke off that answer, for whoever reads the find."""
        bounds = self.bounds_at(asked.node, asked.spoilt)
        return f", {(min(bounds) - asked.spoilt) // 1000} ms before the bound of a drain or stop" if bounds else ""

    def find(self, rule: Rule, subject: str, what: str) -> None:
        self.finds.append(Find(rule, subject, what))

    def held_up(self, node: int, since: int, until: int) -> int:
        """How long the way between a node and its clients, or the node itself, was held up by the plan; microseconds."""
        most = 0
        for fault in self.scenario.fault:
            at = self.begin + int(fault.at_s * 1e6)
            ends = at + int(fault.for_s * 1e6) + SLACK
            if fault.on != "clients" or fault.kind not in ("delay", "stall") or node not in (fault.which or (node,)):
                continue
            if at - SLACK <= until and ends + 1_000_000 >= since:
                most += int(fault.ms * 1000) if fault.kind == "delay" else int(fault.for_s * 1e6)
        return most + (2_000_000 if self.ledger.paused(node, since, until) else 0)

    def ending(self, node: int, since: int, until: int, *kinds: str) -> bool:
        """Whether the node was killed, or asked to end, about then, and not there again."""
        begun = 0
        for at, what in self.ledger.nodes[node]:
            if what in (kinds or ("killed", "termed", "successor")):
                begun = begun or at
            elif what in ("ready", "replaced") and begun:
                if begun - SLACK <= until and at + SLACK >= since:
                    return True
                begun = 0
        return bool(begun) and begun - SLACK <= until

    def answered(self, asked: Asked) -> None:
        """One final answer, at the latest half a second behind its time, whatever happens to servers and others."""
        if self.paces.get(self.connection_of.get(asked.id, 0)) and asked.id not in self.silent:
            return  # its answer is late, or never taken, by its client's own pace
        if asked.replies:
            at = asked.replies[0][0]
            late = at - (asked.at + asked.wait) - self.ledger.read_late(at)
            if late <= LATEST_ANSWER + SLACK or self.held_up(asked.node, asked.at, at):
                return
            if self.failing(asked.node, asked.at, at, "accept"):
                self.counts["waited at a listener that could not accept"] += 1
            else:
                self.find(Rule.LOST, asked.id, f"answered {late // 1000} ms behind its time")
            return
        if asked.ended:  # judged by `closed`
            return
        lab = self.ledger.read_late(asked.left) + self.ledger.stood_still(asked.at, asked.left, "proxy")
        patient = asked.left - lab >= asked.at + asked.wait + LATEST_ANSWER
        if not asked.left:
            self.counts["open at the end"] += 1
        elif patient and self.failing(asked.node, asked.at, asked.left, "accept"):
            self.counts["waited at a listener that could not accept"] += 1
        elif patient and not (
            self.ending(asked.node, asked.at, asked.left, "killed") or self.held_up(asked.node, asked.at, asked.left)
        ):
            self.find(Rule.LOST, asked.id, f"node {asked.node} gave no answer in its time and half a second")

    def closed(self, asked: Asked) -> None:
        """A request on a new connection that was closed with no answer, at a node that was not about to end."""
        for (at, requests), sent, node in zip(asked.conns, asked.sent, asked.nodes):
            if self.owed_by_a_stop(node, sent, at):
                self.find(Rule.LOST, asked.id, f"node {node} was told to end after this was asked, and gave no answer")
            elif requests > 1:
                self.counts["closed at rest"] += 1  # the node's own end of a resting connection crossed it
                self.crossed(asked, node, sent, at)
            elif self.ending(node, sent, at):
                self.counts["closed by a stop"] += 1
            elif self.crowded(node, sent, at):
                self.counts["closed unread in a crowd"] += 1
            elif self.failing(node, sent, at, "recv"):
                self.counts["closed by a broken connection"] += 1
            elif self.held_up(node, sent, at) and not asked.gots and self.came_late(node, sent):
                self.counts["closed unread, late in a drain"] += 1
            else:
                self.find(Rule.LOST, asked.id, f"node {node} closed a new connection with no answer")

    def owed_by_a_stop(self, node: int, sent: int, at: int) -> bool:
        """Whether this was there well before a node that was not held up stopped reading, and its connection ended.

        A drain before the stop ends each connection in a moment of its own: what it leaves unread there is not owed.
        """
        if self.draining(node, sent, at):
            return False
        linger = int(min(self.scenario.nodes.linger_ms, LEAST_LINGER_MS) * 1000)
        for told, what in self.ledger.nodes[node]:
            if what == "termed" and told <= at <= told + LONGEST_STOP and sent < told + linger - HELD_UP - SLACK:
                return self.reads(node, sent, at)
        return False

    def reads(self, node: int, since: int, until: int) -> bool:
        """Whether the node was there, its calls went through, and nothing held it up in that time."""
        return not (
            self.held_up(node, since, until)
            or self.failing(node, since, until, "recv")
            or self.failing(node, since, until, "send")
            or self.ending(node, since, until, "killed", "shot", "successor")
        )

    def crossed(self, asked: Asked, node: int, sent: int, at: int) -> None:
        """An end crosses what is sent in its last moment alone: what stood for longer was there to be read."""
        if at - sent <= CROSSES or self.ending(node, sent, at) or self.draining(node, sent, at):
            return
        if self.reads(node, sent, at) and asked.waits and not asked.gots:
            self.find(Rule.LOST, asked.id, f"node {node} left this unread for {(at - sent) // 1000} ms, then closed")

    def came_late(self, node: int, sent: int) -> bool:
        """Whether the node had drained for long: by then its `mn` was a no, and who comes need not be served."""
        return any(begun + READS_AT_LEAST <= sent and sent <= over for begun, over in self.spans_of_drains(node))

    def crowded(self, node: int, since: int, until: int) -> bool:
        """Whether idle clients filled the node's descriptors about then: new connections may be shut unread."""
        return any(
            fault.kind == "crowd"
            and node in fault.which
            and self.begin + int(fault.at_s * 1e6) <= until
            and self.begin + int((fault.at_s + fault.for_s + 1) * 1e6) >= since
            for fault in self.scenario.fault
        )

    def spans_of_drains(self, node: int) -> list[tuple[int, int]]:
        """From when until when the node was to drain, as one process or two: a new one after an end knows of none."""
        spans, since = [], 0
        for at, what in self.ledger.nodes[node]:
            if what == "drained" or what == "unheard" and self.hears(node, at):
                since = since or at
            elif since and what in ("undrained", "killed", "termed", "shot", "crashed"):
                spans.append((since, at))
                since = 0
        return spans

    def draining(self, node: int, since: int, until: int) -> bool:
        return any(begun <= until and over + DRAIN_BOUND >= since for begun, over in self.spans_of_drains(node))

    def drains_of_nodes(self) -> None:
        """4 s after the call `mn` is a no, and no connection is held idle or with a request from the last 2 s."""
        for node in range(self.scenario.nodes.count):
            for since, over in self.spans_of_drains(node):
                due = since + DRAIN_BOUND + SLACK + (HELD_UP if self.starved(node, since, over) else 0)
                if over < due or self.held_up(node, since, due) > HELD_UP:
                    continue
                self.counts["drains past their bound"] += 1
                self.said_yes(node, due, over)
                self.held(node, due)

    def calls_unheard(self) -> None:
        """A caller waits for a second, however busy the node is."""
        for _, at, node, path, answered, took_ms in (row for row in self.rows if row[0] == "called"):
            if not answered and self.hears(node, at):
                self.find(Rule.CALL, f"node {node}", f"did not answer {path} at its second address within a second")
            elif not answered:
                self.counts["calls that could not be heard"] += 1
            else:
                self.counts["slowest call, ms"] = max(self.counts["slowest call, ms"], took_ms)

    def hears(self, node: int, at: int) -> bool:
        """Whether the node was there from then on to hear a call, and nothing but its own work kept it from that."""
        until = at + CALLER_WAITS
        return not (
            self.ending(node, at, until)
            or self.ledger.paused(node, at, until)
            or any(self.failing(node, at, until, kind) for kind in ("accept", "recv", "send"))
        )

    def starved(self, node: int, since: int, until: int) -> bool:
        """Whether the node had a share of a core alone then."""
        begun = 0
        for at, what in self.ledger.nodes[node]:
            if what == "starved":
                begun = at
            elif what == "fed" and begun:
                if begun <= until and at >= since:
                    return True
                begun = 0
        return bool(begun) and begun <= until

    def said_yes(self, node: int, due: int, over: int) -> None:
        yes = [row[1] for row in self.rows if row[0] == "mn" and row[2] == node and due <= row[1] < over and row[3]]
        if yes:
            self.find(Rule.HELD, f"node {node}", f"said yes {len(yes)} times later than 4 s after it was to drain")

    def held(self, node: int, due: int) -> None:
        """Connections that are there past the bound, from the moment in which their `connect` came back."""
        up: dict[int, int] = {}
        for row in self.rows:
            if row[0] == "conn" and row[2] == node and row[1] <= due:
                if row[4] == "up" and row[1] < due - JUST_COME:
                    up[row[3]] = row[1]
                elif row[4] == "down":
                    up.pop(row[3], None)
        last: dict[int, int] = {}
        for row in self.rows:
            if row[0] == "ask" and row[5] in up and row[1] <= due:
                last[row[5]] = max(last.get(row[5], 0), row[1])
        for number in up:
            asked = last.get(number, 0)
            if self.still_takes(number, due):
                self.counts["held for a client that is too slow for the bound"] += 1
            elif asked >= due - RECENT or not self.open_on(number, due):
                what = f"asked last {(due - asked) // 1000} ms before" if asked else "nothing was asked on it"
                self.find(Rule.HELD, f"node {node}", f"held connection {number} 4 s after it was to drain; {what}")

    def still_takes(self, number: int, due: int) -> bool:
        """Whether a value was on its way whose client could not have it before that bound: its head came too late."""
        heads = [row for row in self.rows if row[0] == "head" and row[4] == number and row[1] <= due]
        if not heads:
            return False
        _, at, ident, _, _, size = max(heads, key=lambda row: row[1])
        replies = self.ledger.asked[ident].replies
        whole_at = at + size * 1_000_000 // self.paces[number]
        return not (replies and replies[0][0] <= due) and whole_at > due - SLACK - HELD_UP - CLOSING

    def open_on(self, number: int, at: int) -> bool:
        """Whether an answer was owed on that connection then."""
        idents = [row[2] for row in self.rows if row[0] == "ask" and row[5] == number and row[1] <= at]
        return any(not (gots := self.ledger.asked[one].replies) or gots[0][0] > at for one in idents)

    def failing(self, node: int, since: int, until: int, kind: str) -> bool:
        """Whether calls of that kind were made to fail at the node about then."""
        for fault in self.scenario.fault:
            at = self.begin + int(fault.at_s * 1e6)
            if fault.on != "calls" or fault.kind != kind or node not in fault.which:
                continue
            if at - SLACK <= until and at + int(fault.for_s * 1e6) + 1_000_000 >= since:
                return True
        return False

    def gone(self, asked: Asked, got: Got) -> None:
        late = got.first - asked.left
        if not asked.left or late <= GONE_AFTER + SLACK + self.held_up(asked.node, asked.left, got.first):
            return
        if late <= GONE_AFTER + SLACK + self.lab_stood(asked.left, got.first):
            self.counts["read late by the lab"] += 1
        else:
            self.find(Rule.CLIENT_GONE, asked.id, f"sent to {got.server} {late // 1000} ms after its client left")

    def deadline(self, asked: Asked, got: Got) -> None:
        before = [(at, wait) for at, wait in zip(asked.sent, asked.waits) if at <= got.first]
        if not before or not got.wait:
            return
        at, wait = before[-1]
        over = got.wait - (at + wait - got.first)
        if over <= DEADLINE_SLACK + SLACK + self.held_up(asked.node, at, got.first):
            return
        if over <= DEADLINE_SLACK + SLACK + self.lab_stood(at, got.first):
            self.counts["read late by the lab"] += 1
        else:
            self.find(Rule.DEADLINE, asked.id, f"{got.server} was told {over // 1000} ms more than its client had left")

    def lab_stood(self, since: int, until: int) -> int:
        """How long the lab itself held up what goes from a client to a server; microseconds."""
        return self.ledger.stood_still(since, until, "proxy", "stage")

    def slow_start(self) -> None:
        """A server that was pushed over while cold, mostly by nodes that had been told of its start when they sent."""
        window = int(self.scenario.cold.window_s * 1e6)
        starts = {}
        for at, server, what in self.ledger.life:
            if what == "up":
                starts[server] = at
            elif what == "fell":
                self.counts["servers pushed over"] += 1
                gots = [
                    got
                    for gots in self.ledger.gots.values()
                    for got in gots
                    if got.server == server and at - window <= got.first <= at
                ]
                start = starts.get(server, 0)
                told = sum(self.told(got.node, server, start, got.first) for got in gots)
                if gots and told > TOLD_SHARE * len(gots):
                    self.find(Rule.SLOW_START, server, f"pushed over by {len(gots)} requests, {told} by nodes told")

    def told(self, node: int, server: str, started: int, until: int) -> bool:
        listed = any(
            started <= at <= until and one == node and name == server and state == "up"
            for at, one, name, state in self.ledger.listed
        )
        return listed or any(what == "ready" and started <= at <= until for at, what in self.ledger.nodes[node])

    def logged(self) -> None:
        """What the nodes' own checks found, and faults that they logged."""
        for path in self.logs:
            for line in path.read_text(errors="replace").splitlines():
                if FAULT.search(line):
                    self.find(Rule.PROGRAM, path.stem, line[:200])
                if own := VIOLATION.search(line):
                    self.counts[f"own check {own[1]}"] += 1
