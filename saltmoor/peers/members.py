"""Owns who is there: members by name, the life that each is in, and whether it is held to be alive. No I/O.

SWIM (Das, Gupta, Motivala 2002) with suspicion, and with Lifeguard's rule that who was late itself blames nobody
(Dadgar, Phillips, Currey 2018). Its owner calls `tick` every `period / 4` and `heard` for each message that came, and
sends what both return. It must never read a clock or a socket, nor be needed to serve. docs/peers-design.md weighs it
against heartbeats and accrual detection.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum
from math import ceil, log2
from typing import Any
from zlib import crc32

import msgspec

from saltmoor.model import Micros
from saltmoor.peers.messages import MessageType

HELPERS = 3  # asked to ping who did not answer
WORDS = 6  # news of members in one frame
FORGOTTEN: Micros = 600_000_000  # a member that is dead for so long is remembered no more
CLASHING: Micros = 1_000_000
LEAST_DEAD: Micros = 2_000_000  # a dead member is tried again that often, unevenly


class State(IntEnum):
    """In the order in which one word beats another on the same life."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class In(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"
    SILENT = "silent"  # it answered neither this node nor its helpers
    EXPIRED = "expired"  # suspected for long enough


S = State
# (state, input on the same life): next state. A newer life always counts as said; an older one never.
TABLE = {
    (S.ALIVE, In.SUSPECT): S.SUSPECT,
    (S.ALIVE, In.DEAD): S.DEAD,
    (S.ALIVE, In.LEFT): S.LEFT,
    (S.ALIVE, In.SILENT): S.SUSPECT,
    (S.SUSPECT, In.DEAD): S.DEAD,
    (S.SUSPECT, In.LEFT): S.LEFT,
    (S.SUSPECT, In.EXPIRED): S.DEAD,
    (S.DEAD, In.LEFT): S.LEFT,
}


class News(msgspec.Struct, array_like=True, frozen=True):
    """One word about one member, as it goes round."""

    name: Any
    state: int
    life: int
    run: int
    address: str
    site: str
    build: str


class Ping(msgspec.Struct, array_like=True):
    number: int
    to: str  # a ping that a helper passes on names whom it is for
    news: list[News] = []
    root: int = 0  # the digest of all that the sender shares
    epoch: int = 0
    seq: int = 0  # its newest change


class Ask(msgspec.Struct, array_like=True):
    number: int
    to: str
    news: list[News] = []


@dataclass(slots=True, eq=False)
class Member:
    name: str
    life: int
    run: int
    address: str
    site: str
    build: str
    state: State = State.ALIVE
    since: Micros = 0  # of the state
    spoke: Micros = 0  # when it was last heard itself
    offset: Micros = 0  # of its wall clock against this node's, as last heard
    tried: Micros = 0

    @property
    def there(self) -> bool:
        return self.state <= State.SUSPECT


@dataclass(slots=True)
class Out:
    """Send this message to that member, or to an address where no name is known yet."""

    to: str
    message_type: str
    content: Any
    address: str = ""


@dataclass(slots=True)
class Pinged:
    number: int
    name: str
    direct: Micros  # by then it has answered, or helpers are asked
    end: Micros
    helped: bool = False


@dataclass(slots=True)
class Rumour:
    news: News
    left: int


@dataclass(slots=True)
class Members:
    """`life`: larger than that of any process before under this name, as far as known; a refutation makes it larger."""

    me: News
    period: Micros
    suspect: Micros
    seeds: list[str]
    seed: int
    now: Micros
    others: dict[str, Member] = field(default_factory=dict)
    rumours: dict[str, Rumour] = field(default_factory=dict)
    round: list[str] = field(default_factory=list)
    out: dict[int, Pinged] = field(default_factory=dict)
    passed: dict[int, tuple[str, int, Micros]] = field(default_factory=dict)  # pings for others: whose, which, until
    lines: list[str] = field(default_factory=list)  # for the log: one a change
    number: int = 0
    counter: int = 0
    next_round: Micros = 0
    next_seed: Micros = 0
    last: Micros = 0
    late: int = 0  # how often this process was too late itself to judge
    clashes: dict[int, Micros] = field(default_factory=dict)  # other processes that speak under this node's name
    clash_said: Micros = 0
    answered: Micros = 0  # when it last contradicted what was said of it

    def __post_init__(self) -> None:
        self.last = self.next_round = self.next_seed = self.now

    def chance(self) -> float:
        self.counter += 1
        return crc32(self.counter.to_bytes(8, "little"), self.seed & 0xFFFFFFFF) / 2**32

    def some(self, names: list[str], count: int) -> list[str]:
        picked, names = [], list(names)
        while names and len(picked) < count:
            picked.append(names.pop(int(self.chance() * len(names))))
        return picked

    def there(self) -> list[str]:
        """Names of the others that are alive or only suspected, in order."""
        return sorted(name for name, one in self.others.items() if one.there)

    def sites(self) -> set[str]:
        return {one.site for one in self.others.values() if one.there} | {self.me.site}

    def news(self) -> list[News]:
        """What goes along with the next frame: what was told least often first; itself always."""
        picked = sorted(self.rumours.values(), key=lambda one: (-one.left, str(one.news.name)))[:WORDS]
        for one in picked:
            one.left -= 1
            if one.left <= 0:
                self.rumours.pop(one.news.name, None)
        return [self.me, *(one.news for one in picked)]

    def tell(self, news: News) -> None:
        self.rumours[news.name] = Rumour(news, 3 * max(1, ceil(log2(len(self.others) + 2))))

    def told(self, one: Member) -> News:
        return News(one.name, int(one.state), one.life, one.run, one.address, one.site, one.build)

    # What comes.

    def tick(self, now: Micros) -> list[Out]:
        gap, self.last = now - self.last, now
        if gap > self.period:
            # Guards against a node that was paused and blames the others for its own silence.
            self.late += 1
            for ping in self.out.values():
                ping.direct, ping.end = ping.direct + gap, ping.end + gap
            for one in self.others.values():
                if one.state is State.SUSPECT:
                    one.since += gap
        outs: list[Out] = []
        for ping in list(self.out.values()):
            if now >= ping.end:
                del self.out[ping.number]
                outs += self.step(ping.name, In.SILENT, now)
            elif now >= ping.direct and not ping.helped:
                ping.helped = True
                helpers = [name for name in self.there() if name != ping.name]
                outs += [
                    Out(name, MessageType.ASK, Ask(ping.number, ping.name, self.news()))
                    for name in self.some(helpers, HELPERS)
                ]
        for one in list(self.others.values()):
            if one.state is State.SUSPECT and now >= one.since + self.patience():
                outs += self.step(one.name, In.EXPIRED, now)
            elif not one.there and now - one.since > FORGOTTEN:
                del self.others[one.name]
        self.passed = {number: kept for number, kept in self.passed.items() if kept[2] > now}
        if now >= self.next_round:
            self.next_round = max(self.next_round + self.period, now)
            outs += self.ping_next(now) + self.try_lost(now)
        return outs

    def patience(self) -> Micros:
        """How long a suspicion stands before it counts: longer where more must hear of it."""
        return int(self.suspect * max(1.0, log2(len(self.others) + 1) / 3))

    def ping_next(self, now: Micros) -> list[Out]:
        """Each member in turn, in an order of this node's own that changes each time round."""
        there = self.there()
        while self.round and self.round[-1] not in there:
            self.round.pop()
        if not self.round:
            self.round = self.some(there, len(there))
        if not self.round:
            return []
        name = self.round.pop()
        self.number += 1
        self.out[self.number] = Pinged(self.number, name, now + self.period // 2, now + self.period)
        return [Out(name, MessageType.PING, Ping(self.number, "", self.news()))]

    def try_lost(self, now: Micros) -> list[Out]:
        """Guards against two parts that hold each other dead for ever: the dead and the seeds are tried again."""
        outs = []
        lost = sorted((one.tried, one.name) for one in self.others.values() if one.state is State.DEAD)
        if lost:
            one = self.others[lost[0][1]]
            # All of them together as often as one member is pinged; each at least so often.
            if now - one.tried >= self.period:
                one.tried = now
                # It hears that it is held dead, so that it can say that it is not.
                outs.append(Out(one.name, MessageType.PING, Ping(0, "", [self.me, self.told(one)])))
        if now >= self.next_seed and self.seeds:
            known = {one.address for one in self.others.values() if one.there}
            away = [seed for seed in self.seeds if seed not in known and seed != self.me.address]
            pause = self.period if not known else LEAST_DEAD
            self.next_seed = now + int(pause * (0.5 + self.chance()))
            outs += [Out("", MessageType.PING, Ping(0, "", [self.me]), address=seed) for seed in self.some(away, 2)]
        return outs

    def heard(self, now: Micros, wall: Micros, speaker: Any, message_type: str, said: Any) -> list[Out]:
        """One of ping, ack, ask came; `speaker` as the frame names it, `wall` this machine's clock."""
        if speaker.name == self.me.name:
            return self.clash(now, speaker)
        outs: list[Out] = []
        for news in said.news[: WORDS + 2]:
            outs += self.learn(news, now)
        one = self.others.get(speaker.name)
        if one and speaker.life >= one.life and (speaker.run == one.run or speaker.life > one.life):
            one.spoke, one.offset = now, speaker.clock - wall
        if message_type == MessageType.PING:
            outs.append(Out(speaker.name, MessageType.ACK, Ping(said.number, "", self.news())))
        elif message_type == MessageType.ACK:
            if kept := self.passed.pop(said.number, None):
                whose, number, _ = kept
                outs.append(Out(whose, MessageType.ACK, Ping(number, speaker.name, self.news())))
            elif ping := self.out.get(said.number):
                if speaker.name == ping.name or said.to == ping.name:
                    del self.out[said.number]
        elif message_type == MessageType.ASK and said.to in self.others:
            self.number += 1
            self.passed[self.number] = speaker.name, said.number, now + 2 * self.period
            outs.append(Out(said.to, MessageType.PING, Ping(self.number, "", self.news())))
        return outs

    def clash(self, now: Micros, speaker: Any) -> list[Out]:
        """Another process speaks under this node's name: said once in a while, and nothing it says is taken."""
        if speaker.run == self.me.run:
            return []
        self.clashes[speaker.run] = now
        while len(self.clashes) > 8:
            del self.clashes[min(self.clashes, key=self.clashes.get)]
        if not self.clash_said or now - self.clash_said > 60_000_000:
            self.clash_said = now
            self.lines.append(
                f"peers: another process calls itself {self.me.name} too: run={speaker.run:x} own={self.me.run:x}"
            )
        return []

    def learn(self, news: News, now: Micros) -> list[Out]:
        """One word about one member."""
        if not isinstance(news.name, str) or not 0 < len(news.name) <= 64 or not 0 <= news.state <= 3:
            return []
        if news.name == self.me.name:
            mine = news.run == self.me.run
            # What is said of an earlier process, or wrongly of this one, is answered by a larger life; but two
            # processes with one name outbid each other without end, so then seldom.
            wait = CLASHING if any(now - seen < 10 * CLASHING for seen in self.clashes.values()) else 0
            if (
                news.life >= self.me.life
                and (not mine or news.state != State.ALIVE)
                and self.me.state != State.LEFT
                and now >= self.answered + wait
            ):
                self.answered = now
                self.me = msgspec.structs.replace(self.me, life=news.life + 1)
                self.tell(self.me)
            return []
        state = State(news.state)
        one = self.others.get(news.name)
        if one is None:
            if state >= State.DEAD:  # whoever was not known is not missed
                return []
            one = self.others[news.name] = Member(
                news.name, news.life, news.run, news.address, news.site, news.build, state, now
            )
            self.enter(one, state, now, "first heard of")
            return []
        if news.life < one.life:
            return []
        if news.life > one.life:
            before = one.state
            other = one.run != news.run
            one.life, one.run, one.address = news.life, news.run, news.address
            one.site, one.build = news.site, news.build
            if before != state or other:
                self.enter(one, state, now, "new process" if other else f"life {news.life}")
            else:
                self.tell(self.told(one))
            return []
        return self.step(news.name, (In.ALIVE, In.SUSPECT, In.DEAD, In.LEFT)[news.state], now)

    def step(self, name: str, given: In, now: Micros) -> list[Out]:
        one = self.others.get(name)
        after = one and TABLE.get((one.state, given))
        if after is None:
            return []
        self.enter(one, after, now, given.value)
        if after is State.SUSPECT:  # it hears so at once, and can say that it lives
            return [Out(name, MessageType.PING, Ping(0, "", [self.me, self.told(one)]))]
        return []

    def enter(self, one: Member, state: State, now: Micros, why: str) -> None:
        stood, one.state, one.since = now - one.since, state, now
        self.tell(self.told(one))
        if state is not State.SUSPECT:
            self.lines.append(
                f"peers: {one.name} {state.name.lower()}: {why} life={one.life} "
                f"stood_ms={stood // 1000} there={len(self.there()) + 1}"
            )

    def leave(self) -> list[Out]:
        """This node ends: the others need not wait to find out."""
        self.me = msgspec.structs.replace(self.me, state=int(State.LEFT))
        names = self.there()
        return [
            Out(name, MessageType.PING, Ping(0, "", [self.me]))
            for name in (names if len(names) <= 12 else self.some(names, 6))
        ]

    def middle_clock(self, own: Micros) -> Micros:
        """The wall clock as most see it: this node's, moved by the middle of what it is off from the others.

        Guards against a wrong clock at one node. Under three others nobody can tell whose is wrong.
        """
        offsets = sorted([0, *(one.offset for one in self.others.values() if one.there and one.spoke)])
        return own + (offsets[len(offsets) // 2] if len(offsets) >= 4 else 0)
