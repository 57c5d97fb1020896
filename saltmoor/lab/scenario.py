"""Owns what a scenario file may say: the fleet, the load, what goes wrong when, and which bounds must hold.

It checks whole files and names the faulty key; it must never run anything, draw a number or know a protocol.
Times stand under names that end in `_s` or `_ms`, as a person would write them.
"""

from __future__ import annotations

import tomllib
from importlib.resources import files
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9_-]*$")]


class Faulty(Exception):
    """A scenario that cannot be run; the message names the key."""


class Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What all tables of a scenario share: a key that is not known is a fault."""


class Nodes(Part, kw_only=True):
    count: Count = 1
    memory_mb: Positive = 192.0
    sockets: Count = 1024
    hops: Count = 3
    copies: bool = True
    cancel: bool = True
    probes: bool = True
    hint_ms: NotNegative = 1000.0  # the longest stay-away hint; 0: clients take none
    linger_ms: NotNegative = 500.0
    state: bool = False  # whether each keeps snapshots, in a folder of its own
    peers: bool = False  # whether they talk to each other, over links that faults strike
    use: list[Literal["drains", "starts", "evidence", "words", "fetches", "shares"]] = msgspec.field(
        default_factory=lambda: ["drains", "starts", "evidence", "words"]
    )  # what they use it for
    told: int = 0  # how many nodes each is told that there are; 0: as many as there are
    admin: bool = False  # whether each has a second address
    kill_early: bool = False  # whether who is told to end is killed as soon as the operators' page allows
    shim: bool = False  # whether system calls can be made to fail, and the wall clock be stepped


class Kind(Part, kw_only=True):
    """One kind of cache server. `cores` work at `speed`; `slots` are in work at once, `room` more wait."""

    name: Name
    share: NotNegative = 1.0
    cores: Count = 4
    speed: Positive = 1.0
    slots: Count = 16
    room: int = 200
    thrash: NotNegative = 0.1  # loss of efficiency for each transaction a core beyond thrash_at
    thrash_at: Positive = 6.0
    memory_kb: Positive = 4000.0
    error_rate: Share = 0.0


class Fleet(Part, kw_only=True):
    servers: Count = 8
    kind: list[Kind] = []
    sites: list[Name] = msgspec.field(default_factory=lambda: ["home"])
    site_delay_ms: NotNegative = 0.0  # one way, between two sites
    mode: Literal["aside", "through"] = "aside"
    miss_work: Share = 0.2  # of a read's work, where there is no copy
    item_s: NotNegative = 0.0  # how long a copy lasts; 0: until it is pushed out or voided
    start: Literal["warm", "empty"] = "warm"  # whether servers hold copies when the run begins
    handshake_ms: NotNegative = 1.0  # work of a new connection
    connections: Count = 600  # each server takes so many
    idle_s: Positive = 15.0
    streams: Count = 16  # begun at once on one connection
    drops_gone: bool = False  # whether waiting work is dropped when its connection ends
    probe_ms: NotNegative = 0.3
    report: list[Literal["queue", "inflight", "qps"]] = msgspec.field(default_factory=lambda: ["queue", "qps"])
    refresh_ms: Positive = 100.0  # how often a load report is made anew
    late_ms: NotNegative = 20.0  # how old it is then
    noise: Share = 0.03


class Cold(Part, kw_only=True):
    share: Share = 0.2
    warm_s: NotNegative = 10.0
    by: Literal["time", "work"] = "time"
    multiple: Positive = 4.0
    window_s: Positive = 1.0
    calls: bool = False  # N requests of mean work, and what chance adds to them, instead of the work alone


class Origin(Part, kw_only=True):
    cores: Count = 16
    work_ms: Positive = 30.0
    cv: NotNegative = 0.5
    write: Positive = 1.5  # work of a write, as a multiple of a read's
    room: int = 300
    fall_multiple: NotNegative = 0.0  # offered so many times its capacity for a second it stops; 0: never
    down_s: Positive = 4.0


class Discovery(Part, kw_only=True):
    late_ms: tuple[NotNegative, NotNegative] = (200.0, 900.0)  # drawn for each change and node
    silent_late_ms: NotNegative = 4000.0  # added where a server vanishes without a word
    grace_ms: NotNegative = 2000.0  # after that nothing new may go to a server that drains or is gone
    within_s: Positive = 10.0  # how often a node asks again at least
    call_ms: NotNegative = 0.0  # it answers one call at a time, each in so long; 0: all at once
    queue: Count = 20  # so many more calls wait then; the others hear 503


class Profile(Part, kw_only=True):
    name: Name
    share: Positive
    work_ms: Positive
    cv: NotNegative = 0.5
    goal_ms: Positive
    limit_ms: Positive
    revenue: NotNegative = 1.0
    repeat: Literal["idempotent", "journalled", "non-idempotent"] = "idempotent"
    window_ms: NotNegative = 0.0
    write: bool = False
    value_bytes: Count = 200


class Tenant(Part, kw_only=True):
    name: Name
    share: Positive = 1.0
    quota_per_s: NotNegative = 0.0


class Scan(Part, kw_only=True):
    """A span in which so large a share of the reads asks for keys that nobody asks for again."""

    from_s: NotNegative
    for_s: Positive
    share: Share


class Hot(Part, kw_only=True):
    """A span in which so large a share of the reads asks for one key."""

    from_s: NotNegative
    for_s: Positive
    share: Share


class Burst(Part, kw_only=True):
    every_s: Positive
    for_s: Positive
    times: Positive


class Load(Part, kw_only=True):
    rate: Positive = 200.0  # transactions a second, client retries not counted
    shape: list[tuple[NotNegative, NotNegative]] = []  # (second, multiple of the rate), straight lines between
    burst: list[Burst] = []
    workers: Count = 1
    keys: Count = 2000
    zipf: NotNegative = 0.9
    offset: NotNegative = 2.0  # flattens the head: weight 1 / (rank + offset) ** zipf
    drift: NotNegative = 0.0  # share of the keys that are replaced by new ones each second
    scan: list[Scan] = []
    hot: list[Hot] = []
    retries: int = 2
    try_share: tuple[Positive, Positive] = (0.5, 0.8)  # of the hard limit, after which a try is given up
    backoff_ms: Positive = 50.0
    honour: Share = 0.7  # of the clients that follow a stay-away hint
    connections: Count = 500  # of all clients of a worker together
    notice_s: NotNegative = 1.0  # how long clients go on trying a dead node first
    margin_ms: NotNegative = 100.0  # an answer that comes so long after the client's wait is still written down
    leave: Share = 0.0  # of the tries whose client goes away at some moment of its wait
    replay: str = ""  # a captured run's arrivals instead of drawn ones


ON_BOTH = (
    "crash",
    "hang",
    "silence",
    "slow",
    "pauses",
    "errors",
    "full",
    "reset",
    "cut",
    "garbled",
    "hand-back",
    "refused",
)
ON_SERVERS = (*ON_BOTH, "foreign", "surplus", "half-open", "drain", "replace", "deploy", "grow", "shrink")
ON_DISCOVERY = ("outage", "late", "gap")
ON_LINKS = ("delay", "loss", "silence")
ON_NODES = ("kill", "term", "series", "hup", "settings", "pause", "starve", "upgrade", "lame")
ON_CALLS = ("accept", "socket", "connect", "send", "recv", "interrupted", "short", "disk", "clock")
ON_STATE = ("lost", "old", "cut", "flipped", "foreign", "blocked")
ON_PEERS = ("cut", "loss", "delay", "double", "reorder", "corrupt", "slow")
ON_CLIENTS = ("rude", "delay", "stall", "pieces", "crowd")
ON_WAYS = ("delay", "stall", "pieces")  # of those, between clients and nodes
PLACES = {
    "server": ON_SERVERS,
    "origin": ON_BOTH,
    "discovery": ON_DISCOVERY,
    "link": ON_LINKS,
    "node": ON_NODES,
    "state": ON_STATE,
    "peers": ON_PEERS,
    "clients": ON_CLIENTS,
    "calls": ON_CALLS,
}


class Fault(Part, kw_only=True):
    """One thing that goes wrong. Which members it strikes: those numbered in `which`, else `part` of them."""

    kind: str
    on: Literal["server", "origin", "discovery", "link", "node", "state", "peers", "clients", "calls"] = "server"
    at_s: NotNegative
    for_s: NotNegative = 0.0  # how long it lasts; a crashed process is back then. 0: to the end
    which: list[int] = []
    part: Share = 0.0
    share: Share = 1.0  # of the answers, for faults of answers; of a core, for a node that is starved
    times: Positive = 4.0  # how much slower
    ms: NotNegative = 0.0  # length of a pause, a delay, a drain, a period of halts; so much older, for saved state
    every_s: Positive = 1.0  # between pauses, or batches of a deploy
    batch: Count = 1
    steady: bool = False  # of a node's drain: it is not ended and begun again meanwhile
    new_id: bool = False  # a process that returns does so under a new id
    new_address: bool = False
    count: Count = 1  # servers that a grow adds; clients of a crowd
    crowd_of: Literal["idle", "half", "open", "large", "busy"] = "idle"  # what each client of a crowd does
    rate: Positive = 20.0  # rude connections a second
    step_s: float = 0.0  # the wall clock is set so far ahead, or back
    spread_s: NotNegative = 0.0  # a fault on nodes strikes them evenly over so long, not at one instant
    sites: list[Name] = []  # a link fault: between these two sites
    from_nodes: list[int] = []  # a fault between nodes: on what these say; none: all
    to_nodes: list[int] = []  # to these
    both: bool = False  # and the other way


class Bound(Part, kw_only=True):
    at_least: float | None = None
    at_most: float | None = None


class Scenario(Part, kw_only=True):
    name: Name
    about: str
    length_s: Positive = 20.0
    settle_s: NotNegative = 3.0  # at the start, left out of the figures but not of the rules
    world: Literal["loopback"] = "loopback"
    nodes: Nodes = Nodes()
    fleet: Fleet = Fleet()
    cold: Cold = Cold()
    origin: Origin = Origin()
    discovery: Discovery = Discovery()
    profile: list[Profile] = []
    tenant: list[Tenant] = msgspec.field(default_factory=lambda: [Tenant(name="main")])
    load: Load = Load()
    fault: list[Fault] = []
    bounds: dict[str, Bound] = {}


DEFAULT_BOUNDS = {"breaches": Bound(at_most=0), "unanswered": Bound(at_most=0)}


def check(said: object) -> Scenario:
    """A whole scenario out of plain values; `Faulty` names the key."""
    try:
        scenario = msgspec.convert(said, Scenario)
    except msgspec.ValidationError as error:
        raise Faulty(str(error).replace("`$.", "`")) from None
    if not scenario.profile:
        raise Faulty("profile: at least one is needed")
    for i, profile in enumerate(scenario.profile):
        where = f"profile[{i}]"
        if profile.goal_ms > profile.limit_ms:
            raise Faulty(f"{where}.goal_ms: must be at most limit_ms")
        if profile.repeat == "journalled" and not profile.window_ms:
            raise Faulty(f"{where}.window_ms: a journalled profile needs one")
        if profile.write == (profile.repeat == "idempotent"):
            raise Faulty(f"{where}.repeat: reads are idempotent, writes are not")
    for i, fault in enumerate(scenario.fault):
        if fault.kind not in PLACES[fault.on]:
            kinds = ", ".join(PLACES[fault.on])
            raise Faulty(f"fault[{i}].kind: on {fault.on} one of {kinds}; is {fault.kind!r}")
        if fault.at_s >= scenario.length_s:
            raise Faulty(f"fault[{i}].at_s: lies past length_s")
        if fault.on == "link" and any(site not in scenario.fleet.sites for site in fault.sites):
            raise Faulty(f"fault[{i}].sites: names a site that fleet.sites lacks")
        if fault.on == "state" and not scenario.nodes.state:
            raise Faulty(f"fault[{i}].on: nodes.state is off, so there is none")
        if fault.kind == "lame" and not scenario.nodes.admin:
            raise Faulty(f"fault[{i}].kind: nodes.admin is off, so they cannot be told to drain")
        if fault.kind == "starve" and not (0 < fault.share < 1 and fault.ms and fault.for_s):
            raise Faulty(f"fault[{i}].kind: starve needs a share between 0 and 1, a period in ms, and for_s")
        if fault.on == "calls" and not scenario.nodes.shim:
            raise Faulty(f"fault[{i}].on: nodes.shim is off, so no call can be made to fail")
        if fault.on == "peers" and not scenario.nodes.peers:
            raise Faulty(f"fault[{i}].on: nodes.peers is off, so they say nothing")
        for key in ("from_nodes", "to_nodes"):
            if any(not 0 <= one < scenario.nodes.count for one in getattr(fault, key)):
                raise Faulty(f"fault[{i}].{key}: numbers from 0 to {scenario.nodes.count - 1}")
        most = {
            "server": scenario.fleet.servers,
            **dict.fromkeys(("node", "state", "calls", "clients"), scenario.nodes.count),
        }.get(fault.on, 1)
        if any(not 0 <= one < most for one in fault.which):
            raise Faulty(f"fault[{i}].which: numbers from 0 to {most - 1}")
    for name, bound in scenario.bounds.items():
        if (bound.at_least is None) == (bound.at_most is None):
            raise Faulty(f"bounds.{name}: one of at_least and at_most is needed")
    if scenario.settle_s >= scenario.length_s:
        raise Faulty("settle_s: must be less than length_s")
    if any(later[0] <= sooner[0] for sooner, later in zip(scenario.load.shape, scenario.load.shape[1:])):
        raise Faulty("load.shape: seconds must rise")
    return scenario


def shipped() -> dict[str, Path]:
    """The scenarios that come with the project, by name."""
    folder = Path(str(files("saltmoor.lab") / "scenarios"))
    return {path.stem: path for path in sorted(folder.glob("*.toml"))}


def merged(under: Any, over: Any) -> Any:
    """What `over` says, and what it does not say from `under`; lists are replaced whole."""
    if not isinstance(under, dict) or not isinstance(over, dict):
        return over
    return under | {name: merged(under.get(name), value) for name, value in over.items()}


def read(name: str, over: tuple[str, ...] = ()) -> dict[str, Any]:
    """What a file says over the one that it is `like`."""
    path = shipped().get(name) or Path(name)
    try:
        said = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise Faulty(f"{name}: cannot be read as TOML ({error})") from None
    if (under := said.pop("like", None)) is None:
        return said
    if not isinstance(under, str) or under in (name, *over):
        raise Faulty(f"like: must name another scenario, is {under!r}")
    return merged(read(under, (name, *over)), said)


def load(name: str) -> Scenario:
    """A shipped scenario by its name, or any by its file."""
    return check(read(name))


def servers(scenario: Scenario, index: int) -> tuple[Kind, str]:
    """Kind and site of the server with that number: kinds by their shares, sites in turn."""
    fleet = scenario.fleet
    kinds = fleet.kind or [Kind(name="std")]
    whole = sum(kind.share for kind in kinds) or 1.0
    # Spread evenly over the numbers, so that the first few are already mixed by their shares.
    spot, low = (index * 0.6180339887498949) % 1.0, 0.0
    chosen = kinds[-1]
    for kind in kinds:
        low += kind.share / whole
        if spot < low:
            chosen = kind
            break
    return chosen, fleet.sites[index % len(fleet.sites)]
