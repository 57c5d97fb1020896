"""The plain types between the decisions and whatever speaks a protocol for them.

`saltmoor.choice.Node` takes the settings below as separate arguments of its constructor, one record a
concern. Events are its methods; what it decides is appended to `Node.effects` as the effect records at
the end of the interface, in the order in which they are to be carried out. All times are whole microseconds
on one clock. Transactions and cache servers are named by opaque ids here, and only here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import Any

Micros = int
TxId = int
ServerId = Any  # comparable and hashable; the same at every node


class Repeat(Enum):
    IDEMPOTENT = "idempotent"
    JOURNALLED = "journalled"
    NON_IDEMPOTENT = "non-idempotent"


class Group(Enum):
    """Which cache servers drop the repeats of a journalled transaction."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Ended(Enum):
    """How a hop or a probe ended; the second value tells whether the hop may have run."""

    COMMITTED = ("committed", True)
    ERROR = ("error", True)
    FULL = ("full", False)
    TIMED_OUT = ("timed out", True)
    NO_CONNECTION = ("no connection", False)
    RESET = ("reset", True)
    CANCELLED = ("cancelled", True)
    NOT_SENT = ("not sent", False)
    MISS = ("miss", False)
    UNKNOWN = ("unknown", True)
    MALFORMED = ("malformed", True)  # the server cannot use the command: no other could either

    @property
    def may_have_run(self) -> bool:
        return self.value[1]


class Readiness(IntEnum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    CHANGES = "changes"
    FULL = "full"
    REMEMBERED = "remembered"
    FAILED = "failed"
    SILENT = "silent"  # a call that was taken, or a watch, has said nothing for too long


@dataclass(slots=True, frozen=True)
class Profile:
    goal: Micros
    limit: Micros
    repeat: Repeat
    revenue: float = 1.0
    group: Group = Group.ALL
    window: Micros = 0
    late_value: float = 0.0


@dataclass(slots=True, frozen=True)
class Permits:
    hops: int = 1
    copies: bool = False
    cancel: bool = False
    probes: bool = False
    longest_hint: Micros = 0  # 0: clients take no stay-away hint


@dataclass(slots=True, frozen=True)
class Prices:
    crossing: float = 0.0
    waste: float = 0.0
    probe: float = 0.0  # of one probe a transaction, as a share of what a transaction is worth
    fetch: float = 0.0  # of one fetch from the origin a transaction


@dataclass(slots=True, frozen=True)
class ColdStart:
    share: float = 1.0  # what a server that just started can do, at least
    warm_after: Micros = 0
    multiple: float = 1.0
    window: Micros = 1_000_000


@dataclass(slots=True, frozen=True)
class Listing:
    asked: bool = False  # whether the list has to be asked for
    within: Micros = 0
    soft: bool = False  # only a listing as draining binds: what is called gone may serve all the same


@dataclass(slots=True, frozen=True)
class HopBudget:
    """Hops beyond each transaction's first, in any window: so many, and a share of those that were taken in it."""

    free: float
    share: float
    window: Micros


@dataclass(slots=True, frozen=True)
class Place:
    zone: int = 0
    nodes: int = 1  # 0: not told


@dataclass(slots=True, frozen=True)
class Member:
    """One line of the list of cache servers."""

    server: ServerId
    zone: int
    kind: int
    cell: int
    readiness: Readiness
    size: float
    started: Micros  # 0: a long time ago


@dataclass(slots=True, frozen=True)
class Arrival:
    """A transaction as it comes in."""

    tx: TxId
    profile: int
    tenant: int | None
    key: int | None
    limit: Micros
    cost: Micros | None = None
    write: bool = False
    again: bool = False  # the client marked it as a try of its own after the first


@dataclass(slots=True, frozen=True)
class HopEnd:
    """How a hop ended; closed: the transaction has ended with it, or had before."""

    tx: TxId
    hop: int
    server: ServerId
    ended: Ended
    elapsed: Micros
    closed: bool
    note: int = 0  # 1: the copy was there, 2: it was fetched
    load: tuple[float, ...] = ()
    copy: ServerId | None = None  # where another node has just had one stored, as it says


@dataclass(slots=True, frozen=True)
class Send:
    tx: TxId
    server: ServerId
    until: Micros
    by: Micros = 0  # its last byte may not be written later; 0: as long as it may wait


class Why(Enum):
    """Why a request is given up."""

    NONE = "none"
    NO_SERVER = "no-server"  # no candidate is usable, or may be sent to
    TOO_LATE = "too-late"  # nothing could be in time any more
    QUEUES_LONG = "queues-long"
    NO_RETRY_BUDGET = "no-retry-budget"
    NO_ORIGIN = "no-origin"
    NO_ROOM_AT_ORIGIN = "no-room-at-origin"
    ORIGIN_SPARED = "origin-spared"
    FETCH_FAILED = "fetch-failed"
    MALFORMED = "malformed"
    DEADLINE = "deadline"


@dataclass(slots=True, frozen=True)
class RollBack:
    tx: TxId
    stay_away: Micros
    why: Why = Why.NONE


@dataclass(slots=True, frozen=True)
class Abandon:
    tx: TxId
    why: Why = Why.NONE


@dataclass(slots=True, frozen=True)
class Cancel:
    tx: TxId
    hop: int


@dataclass(slots=True, frozen=True)
class Probe:
    server: ServerId
    until: Micros = 0  # where the wire has no wait of its own


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Keep no connection to this server that nothing runs on."""

    server: ServerId


@dataclass(slots=True, frozen=True)
class Wake:
    at: Micros
    token: int


@dataclass(slots=True, frozen=True)
class WatchList:
    on: bool = True
    silence: Micros = 0  # a watch that brings nothing for so long has failed


@dataclass(slots=True, frozen=True)
class Log:
    line: str


Effect = Send | RollBack | Abandon | Cancel | Probe | CloseIdle | Wake | WatchList | Log


# What a node keeps of its transactions and cache servers: records only; saltmoor.choice decides on them.


class State(Enum):
    NEW = auto()
    CHECKING = auto()  # the preferred server's queue is being asked for
    POLLING = auto()  # the other candidates' queues are
    OUT = auto()  # a hop to a cache server is out
    FETCHING = auto()  # a hop to the origin is out
    WAITING = auto()  # for a fetch of the same key, or for room at the origin
    DONE = auto()


class In(Enum):
    READ = auto()
    ORIGIN = auto()  # a write, where writes go to the origin; or a miss
    SHARED = auto()  # this node is fetching the key already
    LATE = auto()
    HEARD = auto()  # a probe was answered, or its wait is over
    UNDER = auto()
    OVER = auto()
    BEST = auto()
    NOBODY = auto()  # nothing that could still make its service goal
    ROOM = auto()
    FETCHED = auto()
    AGAIN = auto()
    LIMIT = auto()
    ENDED = auto()  # committed, or its client has left


@dataclass(slots=True, eq=False)
class Server:
    """A cache server (or the origin) as this node has come to know it."""

    id: ServerId
    zone: int
    kind: int
    cell: int
    salt: int
    started: Micros = 0
    size: float = 1.0
    ready: bool = True
    unlisted: Micros = 0  # since when the list does not name it, where that alone does not bind
    weight: float = 1.0
    # load
    others: float = 0.0  # queue beyond this node's own hops, as reported lately
    full: Micros = 0  # delay that it counts for as it turned a hop away
    answered: Micros = -1  # when a probe was last answered; -1: never
    asked: Micros = -1  # when the probe that is out was sent; -1: none is out
    mute: bool = False  # it has not answered within a probe's wait
    wary: bool = True  # something since its last answer says that it is not as it was then
    unanswered: int = 0  # probes in a row that brought no answer
    again_at: Micros = 0  # until then a silent or lost server is not asked again
    askers: dict[Tx, None] = field(default_factory=dict)  # each once, in order
    out: dict[Hop, None] = field(default_factory=dict)
    newest: Micros = 0  # when the youngest hop that it answered was sent
    heard: Micros = 0  # the last sign of life: a hop that ended by its work, or a probe
    refused: Micros = 0  # when it refused a connection last, with none accepted since
    doubted: Micros = 0  # when a connection to it broke last
    # health
    delay: float = 0.0  # recent time of a hit; 0: not known
    hits: int = 0  # that its delay was learnt from
    usual_held: float = 0.0  # queue that those hits met
    delay_at: Micros = 0
    bad: float = 0.0  # share of hops that failed, lately
    down: bool = False  # nothing reaches it, as far as this node can tell
    out_until: Micros = 0
    penance: Micros = 0
    allowed: float = 0.0  # hops that may go there now while it is cold
    allowed_at: Micros = 0

    @property
    def name(self) -> str:
        return self.id.hex() if isinstance(self.id, bytes) else str(self.id)

    def restart(self, started: Micros) -> None:
        """A new process: cold and empty, and nothing that was learnt of the old one holds."""
        self.started, self.delay, self.hits, self.bad, self.down = started, 0.0, 0, 0.0, False
        self.out_until, self.penance, self.unanswered, self.again_at = 0, 0, 0, 0
        self.wary = True


@dataclass(slots=True, eq=False)
class Hop:
    tx: Tx
    number: int
    server: Server
    sent: Micros
    met: float  # the queue it was expected to meet
    patience: Micros = 0  # after it its answer may be lost
    open: bool = True
    ended: Ended | None = None
    unfetched: bool = False  # it missed, and the fetch behind the server failed


@dataclass(slots=True, eq=False)
class Tx:
    id: TxId
    profile: Profile
    key: int
    shared_key: bool
    goal: Micros
    limit: Micros
    write: bool
    favour: float  # less than 1 where it is beyond its tenant's share
    reach: int  # how many candidates it may use
    state: State = State.NEW
    hops: list[Hop] = field(default_factory=list)
    tried: set[Server] = field(default_factory=set)
    choice: Server | None = None
    asked: bool | None = None  # whether it asked before its hop; None: it had no choice
    waits: int = 0  # probes that it waits for
    leads: bool = False  # others wait for its fetch
    failed: bool = False  # it was given up, not left by its client
    why: Why = Why.NONE  # for which reason

    def open_hops(self) -> list[Hop]:
        return [hop for hop in self.hops if hop.open]

    def written_by(self) -> Micros:
        """Until when the last byte of its last hop may be written: a repeat only inside of its window."""
        ran = [hop for hop in self.hops[:-1] if hop.open or hop.ended.may_have_run]
        if ran and self.profile.repeat is Repeat.JOURNALLED:
            return min(self.limit, ran[0].sent + self.profile.window)
        return self.limit

    def maybe_ran(self) -> list[Hop]:
        return [hop for hop in self.hops if hop.open or hop.ended.may_have_run]
