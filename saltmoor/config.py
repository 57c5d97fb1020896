"""The one place where configuration is read, checked and given defaults, for node and adapter.

A key that is missing gets its default, an unknown one is passed over, and a faulty one is named with its
whole path. Nothing here opens a socket or keeps a file open.
"""

from __future__ import annotations

import json
import os
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from saltmoor import model
from saltmoor.config_keys import key_names, variable_names

REPEATS = {"idempotent": model.Repeat.IDEMPOTENT, "deduplicated": model.Repeat.JOURNALLED}
COLUMNS = {
    "rif": "held",
    "inflight": "held",
    "q": "queue",
    "busy": "busy",
    "lat_ms": "latency",
    "rate": "rate",
    "fail_rate": "errors",
    "x0": "hits",
    "x1": "fetches",
}
READINESS = {"up": model.Readiness.READY, "removed": model.Readiness.GONE}
BUFFER = 16_384  # the one size of receive buffers
MIB = 1 << 20
SECOND_MB = 18  # what a second process of the node takes, during an upgrade
LONGEST_HELD = 65_536  # a value up to this length is held whole on its way to a client
LONGEST_VALUE = 4 << 20
INTERPRETER_MB = 22  # what the program itself takes, and room for what the kernel counts to it
LIST_WITHIN = 10_000_000  # how often the list is asked for where the settings do not say
LEAST_WITHIN = 300_000
TOP_KEYS = {"name", "listen", "admin_addr", "discovery", "seed", "limits", "known", "serve", "settings"}
LONGEST_LINGER = 60_000  # milliseconds: a node that is told to stop does stop
CALLS = 8  # at the second address at once
RESERVED = 40  # descriptors for logs, the loop, the listener, discovery, and connections on their way out


NAME = r"[A-Za-z0-9_.-]{1,64}"  # of a node among its peers, and of a cluster
USES = "drains", "starts", "lists", "evidence", "words", "fetches", "shares"  # what peers are used for
USUAL = USES[:5]
DUTIES = ("snapshot",)  # what one node may do for all
WHEN_STALE = "serve", "miss"  # what a node does with cached answers while it may have missed a purge
CHANGES_STREAMS = 12  # of a node beside its neighbours': its own, the listener, operators' questions
VERSION_KEYS = "settings", "serve"  # of the configuration, in a version for the whole fleet; the rest is a node's own
VERSION_MOST = 65_000  # bytes of one version


class Faulty(Exception):
    """A configuration that cannot be used; the message names the key."""


class Section:
    """One JSON object of the configuration and the path to it."""

    def __init__(self, said: Any, path: str = "") -> None:
        if not isinstance(said, Mapping):
            raise Faulty(f"{path or 'configuration'}: must be an object, is {said!r}"[:200])
        self.said, self.path = said, path

    def fault(self, name: str, must: str) -> Faulty:
        return Faulty(f"{self.path}{name}: must be {must}, is {self.said.get(name)!r}"[:200])

    def number(self, name: str, default: float = 0, least: float = 0, most: float | None = None) -> float:
        value = self.said.get(name)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not least <= value < 1e19:
            raise self.fault(name, f"a number of at least {least:g}")
        if most is not None and value > most:
            raise self.fault(name, f"a number of at most {most:g}")
        return value

    def micros(self, name: str) -> int:
        """Times stand in nanoseconds there; they are rounded down."""
        return int(self.number(name)) // 1000

    def flag(self, name: str) -> bool:
        value = self.said.get(name)
        if value not in (None, True, False):
            raise self.fault(name, "true or false")
        return bool(value)

    def text(self, name: str, default: str = "") -> str:
        value = self.said.get(name)
        if value is None:
            return default
        if not isinstance(value, str):
            raise self.fault(name, "a text")
        return value

    def texts(self, name: str) -> list[str]:
        value = self.said.get(name) or []
        if not isinstance(value, list) or not all(isinstance(one, str) for one in value):
            raise self.fault(name, "a list of texts")
        return value

    def section(self, name: str) -> Section:
        return Section(self.said.get(name) or {}, f"{self.path}{name}.")

    def sections(self, name: str) -> list[Section]:
        value = self.said.get(name) or []
        if not isinstance(value, list):
            raise self.fault(name, "a list of objects")
        return [Section(one, f"{self.path}{name}[{i}].") for i, one in enumerate(value)]


def profile(line: Section) -> model.Profile:
    group = line.text("group") or "all"
    if group not in [one.value for one in model.Group]:
        raise line.fault("group", "all, zone or cell")
    limit = line.micros("deadline_ns")
    if limit < 1000:  # most likely meant in another unit: nothing would be served
        raise line.fault("deadline_ns", "a time of at least 1000000, in nanoseconds")
    return model.Profile(
        goal=line.micros("aim_ns") or limit,
        limit=limit,
        # A word that is not known gets the strictest reading.
        repeat=REPEATS.get(line.text("repeat"), model.Repeat.NON_IDEMPOTENT),
        revenue=float(line.number("worth", 1.0)),
        group=model.Group(group),
        window=line.micros("key_ttl_ns"),
        late_value=float(line.number("late_worth")),
    )


def hop_budget(rule: Section) -> model.HopBudget | None:
    """None where no budget of further hops is stated; what is stated in part is as strict as it can be."""
    budget = model.HopBudget(
        float(rule.number("free_resends")), float(rule.number("resend_ratio")), rule.micros("budget_window_ns")
    )
    return budget if {"free_resends", "resend_ratio", "budget_window_ns"} & rule.said.keys() else None


def node_arguments(said: Any, path: str = "") -> dict[str, Any]:
    """The constructor arguments of saltmoor.choice.Node, seed and clock apart, out of the settings."""
    top = Section(said, path)
    may, price, rule = top.section("permissions"), top.section("prices"), top.section("rules")
    family, report = top.section("family_info"), top.section("report")
    origin = int(family.number("origin_kind", -1, least=-1))
    aside = family.text("mode") == "aside" and origin >= 0
    return {
        "profiles": [profile(line) for line in top.sections("classes")],
        "quotas": [float(line.number("quota_per_s")) for line in top.sections("tenants")],
        "permits": model.Permits(
            hops=int(may.number("max_attempts")) or 1,
            copies=may.flag("may_duplicate"),
            cancel=may.flag("cancel"),
            longest_hint=may.micros("max_retry_after_ns") if may.flag("retry_after") else 0,
            probes=may.flag("probes") and report.text("how") != "off",
        ),
        "prices": model.Prices(
            float(price.number("cross_zone")),
            float(price.number("waste")),
            float(price.number("probe")),
            float(price.number("origin")),
        ),
        "cold": model.ColdStart(
            float(rule.number("cold_from", 1.0)),
            rule.micros("cold_ns"),
            float(rule.number("overload_factor", 1.0)),
            rule.micros("fall_ns") or 1_000_000,
        ),
        "listing": model.Listing(
            top.text("membership_mode") == "subscribe", rule.micros("ask_within_ns"), rule.flag("soft_removal")
        ),
        "budget": hop_budget(rule),
        "place": model.Place(int(top.number("locality")), int(top.number("fleet_size"))),
        "origin_kind": origin if aside else None,
        "columns": [COLUMNS.get(name, name) for name in report.texts("columns")],
        "tick": top.micros("tick_ns") or 1000,
    }


@dataclass(slots=True, frozen=True)
class Names:
    """What the settings' lists call things, in order; on sockets everything comes by name."""

    profiles: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]
    columns: list[str]


@dataclass(slots=True, frozen=True)
class Caps:
    """How much a node may hold at once, so that it keeps its limits of memory and descriptors."""

    connections: int  # of both sides together
    clients: int
    kept: int  # of clients that have asked and have nothing open: the longest free are closed beyond it
    upstreams: int  # what is never taken by clients; more where they leave it
    txs: int
    gathered: int  # bytes of values that clients are writing, or that wait for their answer

    @classmethod
    def within(cls, memory_mb: float, sockets: int, calls: int = 0, processes: int = 1, taken: int = 0) -> Caps:
        """`processes` of this node share the limits evenly, unless one that ends has said what it still holds."""
        usable = max(
            (sockets - processes * (RESERVED + calls)) // processes,
            sockets - 2 * (RESERVED + calls) - taken if taken else 0,
        )
        spare = memory_mb - INTERPRETER_MB - (processes - 1) * SECOND_MB
        room = int(max(spare / processes, 4) * MIB)
        floor = usable // 4
        # Half of the memory for values that clients write, a quarter for what connections hold in pieces, the
        # rest for values on their way back.
        return cls(
            usable,
            min(usable - floor, room // 4 // (3 * BUFFER)),
            min(sockets // 6, usable // 2),
            floor,
            room // 4 // LONGEST_HELD,
            room // 2,
        )


@dataclass(slots=True, frozen=True)
class Line:
    """One line of the list of cache servers, and where to reach it."""

    member: model.Member
    address: tuple[str, int]


@dataclass(slots=True, frozen=True)
class Keeping:
    """Where a node keeps its snapshot, how often in microseconds, and how many bytes at most."""

    folder: str
    every: int
    most: int


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # where staff and the front call the node; none: it listens there not
    discovery: tuple[str, int] | None
    seed: int
    caps: Caps
    names: Names
    node: dict[str, Any]
    idle: int  # an idle connection is closed by the servers after so many microseconds
    connect_wait: int
    linger: int  # after the signal to stop: how long new connections are still taken
    unfinished: int  # how long a client may take over one command
    log_lines: float
    known: list[Line]
    generation: int
    pushed: bool = False  # what is told of the list counts from the first moment on
    limits: tuple[float, int, int] = (192, 1024, 0)  # what the caps were made of
    shared: str | None = None  # a private folder that a second process of this node has too
    keeping: Keeping | None = None  # none: nothing is remembered over a restart
    peers: Talking | None = None  # none: it talks to no other node
    duties: Dutiful | None = None  # none: it does nothing for others
    changes: Changes | None = None  # none: it hears of no changes for the whole fleet
    unknown: tuple[str, ...] = ()  # keys at the top that mean nothing here: passed over, and named in the log
    keys: tuple[str, ...] = ()  # names of all keys that were given, at every depth
    variables: tuple[str, ...] = ()  # names of the environment's variables that are meant for a node

    def caps_for(self, processes: int, taken: int = 0) -> Caps:
        return Caps.within(*self.limits, processes, taken)


def address(where: str, value: str) -> tuple[str, int]:
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise Faulty(f"{where}: must be HOST:PORT, is {value!r}")
    return host.strip("[]"), int(port)


def line(entry: Section, names: Names) -> Line:
    """One line of the list in discovery's form."""
    server, zone, kind = entry.text("instanceId"), entry.text("zone"), entry.text("machineType")
    if not server:
        raise entry.fault("instanceId", "a text that is not empty")
    member = model.Member(
        server,
        names.zones.index(zone) if zone in names.zones else -1,
        names.kinds.index(kind) if kind in names.kinds else -2,
        int(entry.number("cell", least=-1)),
        # A word that is not known wants nothing new, like one that drains.
        READINESS.get(entry.text("lifecycle"), model.Readiness.DRAINING),
        float(entry.number("weight", 1.0)),
        int(entry.number("startedAtMs") * 1000),
    )
    gone = member.readiness is model.Readiness.GONE and not entry.text("hostPort")
    return Line(member, ("", 0) if gone else address(f"{entry.path}hostPort", entry.text("hostPort")))


def parse(said: Any, env: Mapping[str, str]) -> Config:
    top = Section(said)
    limits, serve, settings = top.section("limits"), top.section("serve"), top.section("settings")
    memory_mb, sockets = limits.number("memory_mb", 192), int(limits.number("sockets", 1024))
    if memory_mb < INTERPRETER_MB + 10:
        raise limits.fault("memory_mb", f"at least {INTERPRETER_MB + 10}")
    if sockets < RESERVED + CALLS + 16:
        raise limits.fault("sockets", f"at least {RESERVED + CALLS + 16}")
    if not settings.sections("classes"):
        raise Faulty("settings.classes: must name at least one profile")
    names = Names(
        [line.text("name") for line in settings.sections("classes")],
        [line.text("name") for line in settings.sections("tenants")],
        settings.texts("azs"),
        settings.texts("kinds"),
        settings.section("report").texts("columns"),
    )
    # The file comes first: the environment stays what it was when the file is replaced under a running node.
    listen = top.text("listen") or env.get("ROUTER_LISTEN") or "127.0.0.1:11211"
    discovery = top.text("discovery") or env.get("ROUTER_DISCOVERY")
    admin = top.text("admin_addr") or env.get("ROUTER_ADMIN_ADDR")
    if admin and address("admin_addr", admin) == address("listen", listen) and address("listen", listen)[1]:
        raise Faulty(f"admin_addr: must differ from listen, is {admin!r}")
    known, may = top.section("known"), settings.section("permissions")
    node = node_arguments(settings.said, "settings.")
    # On sockets the list comes to those who watch it, also where the settings call its changes unasked for:
    # guards against a node that never learns of a drain.
    listing = node["listing"]
    within, pushed = listing.within or LIST_WITHIN, not listing.asked
    if pushed:  # what the agent has counts as told, so that it is called again well within the time for a drain
        grace = settings.section("rules").micros("stop_sending_within_ns")
        within = min(within, max(LEAST_WITHIN, grace // 2))
    node["listing"] = model.Listing(True, within, listing.soft)
    try:
        seed = int(top.text("seed") or os.urandom(8).hex(), 16) % (1 << 64)
    except ValueError:
        raise top.fault("seed", "hexadecimal digits") from None
    return Config(
        unknown=tuple(sorted(said.keys() - TOP_KEYS)),
        keys=key_names(said),
        variables=variable_names(env),
        name=top.text("name") or env.get("ROUTER_NAME") or "saltmoor",
        listen=address("listen", listen),
        admin=address("admin_addr", admin) if admin else None,
        discovery=address("discovery", discovery) if discovery else None,
        seed=seed,
        caps=Caps.within(memory_mb, sockets, CALLS if admin else 0),
        names=names,
        node=node,
        idle=may.micros("conn_idle_ns") or 30_000_000,
        connect_wait=may.micros("connect_timeout_ns") or 1_000_000,
        linger=int(serve.number("linger_ms", 450, most=LONGEST_LINGER) * 1000),
        unfinished=int(serve.number("unfinished_ms", 2400, least=1) * 1000),
        log_lines=serve.number("log_lines_per_s", 50, least=1),
        known=[line(entry, names) for entry in known.sections("instances")],
        generation=int(known.number("generation")),
        pushed=pushed,
        limits=(memory_mb, sockets, CALLS if admin else 0),
        shared=env.get("TMPDIR"),
    )


@dataclass(slots=True, frozen=True)
class Talking:
    """How a node knows its peers; times in microseconds."""

    cluster: str
    name: str  # empty: the node's
    listen: tuple[str, int]
    address: str  # where the others reach it
    site: str
    source: str  # what its discovery is called; empty: by its address
    seeds: tuple[str, ...]
    via: dict[str, str]  # by name: where a member is reached, whatever it says itself
    period: int
    suspect: int
    ahead: int
    most: int  # bytes that are shared
    rate: int  # bytes a second at most to those that catch up
    use: frozenset[str]


@dataclass(slots=True, frozen=True)
class Dutiful:
    """Which duties a node may own, and by whose votes; times in microseconds."""

    cluster: str
    voters: tuple[str, ...]
    before: tuple[str, ...]
    lease: int
    flight: int
    folder: str
    every: int
    use: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Changes:
    """How a node, or a control machine, takes part in the distribution of changes; times in microseconds."""

    cluster: str
    control: tuple[str, ...]  # addresses of the control machines
    me: str  # which of them this one is; empty: a node
    listen: str  # where the site's other nodes stream from while this one is a relay; empty: a control machine
    site: str
    neighbours: tuple[str, ...]  # the same address of each other node of the site
    when_stale: str
    stale: int
    retain: int
    retain_bytes: int
    lease: int


class Operators(Section):
    """A table of the operators' file: there an unknown key is a fault, as nobody else writes into it."""

    def only(self, *names: str) -> None:
        for name in self.said:
            if name not in names:
                raise Faulty(f"{self.path}{name}: is no setting; there are {', '.join(names)}")


def numeric(key: str, value: str) -> tuple[str, int]:
    """An address that needs no look-up."""
    import ipaddress  # only where there are peers

    host, port = address(key, value)
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise Faulty(f"{key}: must be a numeric address and a port, is {value!r}") from None
    return host, port


def talking(peers: Operators) -> Talking:
    peers.only(
        "cluster",
        "name",
        "listen",
        "address",
        "site",
        "source",
        "seeds",
        "via",
        "period_ms",
        "suspect_ms",
        "ahead_ms",
        "most_kb",
        "kb_per_s",
        "use",
    )
    for key in ("cluster", "name", "site"):
        if (key == "cluster" or peers.text(key)) and not re.fullmatch(NAME, peers.text(key)):
            raise peers.fault(key, "1 to 64 letters, digits, '.', '_' or '-'")
    listen = numeric("peers.listen", peers.text("listen"))
    reached = peers.text("address")
    if listen[0] in ("0.0.0.0", "::") and not reached:
        raise Faulty("peers.address: must say where others reach this node, as peers.listen names no one address")
    if reached:
        numeric("peers.address", reached)
    use = peers.texts("use") if "use" in peers.said else list(USUAL)
    for one in use:
        if one not in USES:
            raise Faulty(f"peers.use: {one!r} is none; there are {', '.join(USES)}")
    via = peers.section("via").said
    for name, value in via.items():
        if not isinstance(value, str):
            raise Faulty(f"peers.via.{name}: must be HOST:PORT, is {value!r}")
        numeric(f"peers.via.{name}", value)
    seeds = peers.texts("seeds")
    for i, seed in enumerate(seeds):
        numeric(f"peers.seeds[{i}]", seed)
    return Talking(
        peers.text("cluster"),
        peers.text("name"),
        listen,
        reached or "%s:%d" % listen,
        peers.text("site"),
        peers.text("source"),
        tuple(seeds),
        dict(via),
        int(peers.number("period_ms", 200, least=20, most=10_000) * 1000),
        int(peers.number("suspect_ms", 1500, least=50, most=120_000) * 1000),
        int(peers.number("ahead_ms", 1000, least=10, most=60_000) * 1000),
        int(peers.number("most_kb", 8192, least=64, most=32_768) * 1024),
        int(peers.number("kb_per_s", 4096, least=16, most=1_000_000) * 1024),
        frozenset(use),
    )


def dutiful(duties: Operators, peers: Talking | None) -> Dutiful:
    if peers is None:
        raise Faulty("duties: needs a table peers")
    duties.only("voters", "voters_before", "lease_ms", "flight_ms", "folder", "every_ms", "use")
    lists = []
    for key in ("voters", "voters_before"):
        names = duties.texts(key)
        for i, name in enumerate(names):
            if not re.fullmatch(NAME, name):
                raise Faulty(f"duties.{key}[{i}]: must be a node's name, is {name!r}")
        if len(set(names)) < len(names):
            raise Faulty(f"duties.{key}: names one twice")
        if len(names) in ((0, 2) if key == "voters" else (2,)) or len(names) > 100:
            raise Faulty(f"duties.{key}: must name 3 to 100 nodes, or one alone, names {len(names)}")
        lists.append(tuple(names))
    lease = duties.number("lease_ms", 2000, least=500, most=600_000)
    flight = duties.number("flight_ms", min(300.0, lease / 5), least=1)
    if flight * 4 > lease:
        raise duties.fault("flight_ms", f"at most a quarter of duties.lease_ms, {lease / 4:g}")
    use, folder = duties.texts("use"), duties.text("folder")
    for one in use:
        if one not in DUTIES:
            raise Faulty(f"duties.use: {one!r} is none; there are {', '.join(DUTIES)}")
    if "snapshot" in use and not folder.startswith("/"):
        raise duties.fault("folder", "the whole path of a folder, for the duty snapshot")
    return Dutiful(
        peers.cluster,
        *lists,
        int(lease * 1000),
        int(flight * 1000),
        folder,
        int(duties.number("every_ms", 2000, least=100, most=3_600_000) * 1000),
        tuple(use),
    )


def endpoint(key: str, value: str) -> str:
    """One machine's address in its one spelling, as it is also the machine's name."""
    import ipaddress  # only where it is switched on

    host, port = numeric(key, value)
    if not port or ipaddress.ip_address(host).is_unspecified:
        raise Faulty(f"{key}: must be the one address and port by which the others know it, is {value!r}")
    return f"{ipaddress.ip_address(host)}:{port}"


def endpoints(section: Operators, key: str) -> tuple[str, ...]:
    """Several, none twice."""
    said = [endpoint(f"{section.path}{key}[{i}]", one) for i, one in enumerate(section.texts(key))]
    for i, one in enumerate(said):
        if one in said[:i]:
            raise Faulty(f"{section.path}{key}[{i}]: names {one} twice")
    return tuple(said)


def members_of_control(changes: Operators) -> tuple[str, ...]:
    """Guards against a majority that is none: of an even number two halves could each wait for the other."""
    control = endpoints(changes, "control")
    if not 3 <= len(control) <= 9 or len(control) % 2 == 0:
        raise Faulty(f"{changes.path}control: must name 3, 5, 7 or 9 control machines, names {len(control)}")
    return control


def changing(changes: Operators) -> Changes:
    changes.only(
        "cluster",
        "control",
        "me",
        "listen",
        "site",
        "neighbours",
        "when_stale",
        "stale_ms",
        "retain_s",
        "retain_kb",
        "lease_ms",
    )
    for key in ("cluster", "site"):
        if (key == "cluster" or changes.text(key)) and not re.fullmatch(NAME, changes.text(key)):
            raise changes.fault(key, "1 to 64 letters, digits, '.', '_' or '-'")
    control, neighbours = members_of_control(changes), endpoints(changes, "neighbours")
    me, listen = changes.text("me"), changes.text("listen")
    if bool(me) == bool(listen):
        raise Faulty(
            f"changes.{'listen' if not me else 'me'}: "
            + (
                "must say where the site's other nodes reach this node"
                if not me
                else "a control machine is no node: give either changes.me or changes.listen"
            )
        )
    if me:
        me = endpoint("changes.me", me)
        if me not in control:
            raise changes.fault("me", "one of changes.control")
        for key in ("neighbours", "site", "when_stale", "stale_ms"):
            if key in changes.said:
                raise Faulty(f"changes.{key}: is a node's, and changes.me makes this a control machine")
    else:
        listen = endpoint("changes.listen", listen)
        if listen in control:
            raise Faulty(f"changes.listen: is a control machine's address in changes.control, is {listen!r}")
        if not changes.text("site"):
            raise changes.fault("site", "the name of the site that changes.neighbours are of")
    for i, one in enumerate(neighbours):
        if one == listen:
            raise Faulty(f"changes.neighbours[{i}]: is this node's own address, {one!r}")
        if one in control:
            raise Faulty(f"changes.neighbours[{i}]: is a control machine's address, {one!r}")
    if len(neighbours) > 199:
        raise Faulty(f"changes.neighbours: must name at most 199 nodes, names {len(neighbours)}")
    when_stale = changes.text("when_stale") or WHEN_STALE[0]
    if when_stale not in WHEN_STALE:
        raise changes.fault("when_stale", f"one of {', '.join(WHEN_STALE)}")
    return Changes(
        changes.text("cluster"),
        control,
        me,
        listen,
        changes.text("site"),
        neighbours,
        when_stale,
        int(changes.number("stale_ms", 1000, least=500, most=60_000) * 1000),
        int(changes.number("retain_s", 600, least=10, most=86_400) * 1_000_000),
        int(changes.number("retain_kb", 4096, least=256, most=32_768) * 1024),
        int(changes.number("lease_ms", 2000, least=500, most=60_000) * 1000),
    )


def version(text: bytes | str) -> dict[str, Any]:
    """A version of the configuration for the whole fleet: the keys that replace each node's own, checked as far as
    one can without a node's file. `Faulty` names its key."""
    if len(text) > VERSION_MOST:
        raise Faulty(f"version: must have at most {VERSION_MOST} bytes, has {len(text)}")
    try:
        said = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Faulty(f"version: cannot be read as JSON ({error})") from None
    for name in Section(said, "version").said:
        if name not in VERSION_KEYS:
            raise Faulty(f"{name}: is no part of a version for the fleet; there are {', '.join(VERSION_KEYS)}")
    if "settings" not in said:
        raise Faulty("settings: must be in a version for the fleet")
    parse(said, {})
    return said


def operators(path: str | None) -> tuple[Keeping | None, Talking | None, Dutiful | None, Changes | None]:
    """What the operators' file switches on; nothing without one. `Faulty` names its key."""
    if not path:
        return None, None, None, None
    try:
        said = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise Faulty(f"{path}: cannot be read as TOML ({error})") from None
    top = Operators(said)
    top.only("state", "peers", "duties", "changes")
    peers = talking(Operators(said["peers"], "peers.")) if "peers" in said else None
    duties = dutiful(Operators(said["duties"], "duties."), peers) if "duties" in said else None
    changes = changing(Operators(said["changes"], "changes.")) if "changes" in said else None
    return keeping(Operators(said["state"], "state.")) if "state" in said else None, peers, duties, changes


def keeping(state: Operators) -> Keeping:
    state.only("folder", "every_ms", "most_kb")
    folder = state.text("folder")
    if not folder.startswith("/"):
        raise state.fault("folder", "the whole path of a folder")
    return Keeping(
        folder,
        int(state.number("every_ms", 1000, least=100, most=3_600_000) * 1000),
        int(state.number("most_kb", 1024, least=16, most=16_384) * 1024),
    )


def load(
    path: str | None, env: Mapping[str, str], ours: str | None = None, over: Mapping[str, Any] | None = None
) -> Config:
    """The configuration that the path or else the environment names; `ours`: the operators' file; `over`: keys of a
    version for the whole fleet, which replace the file's."""
    path = path or env.get("ROUTER_CONFIG")
    if not path:
        raise Faulty("ROUTER_CONFIG: is not set, and no file was named")
    try:
        said = json.loads(Path(path).read_text())
    except (OSError, ValueError, RecursionError) as error:
        raise Faulty(f"{path}: cannot be read as JSON ({error})") from None
    if over:
        said = {**Section(said).said, **over}
    given, (keeping, peers, duties, changes) = parse(said, env), operators(ours or env.get("ROUTER_OPERATORS"))
    if changes and changes.me:
        raise Faulty("changes.me: is for saltmoor control; a node has changes.listen")
    if changes and changes.when_stale == "miss" and given.node["origin_kind"] is None:
        raise Faulty("changes.when_stale: must be serve where nodes do not reach the origin (settings.family_info)")
    if peers and not re.fullmatch(NAME, peers.name or given.name):
        raise Faulty(f"name: must be 1 to 64 letters, digits, '.', '_' or '-' among peers, is {given.name!r}")
    if keeping and not re.fullmatch(r"[A-Za-z0-9_.-]{1,100}", given.name):
        raise Faulty(f"name: must be letters, digits, '.', '_' or '-' to name a snapshot, is {given.name!r}")
    if changes:  # what the streams of changes may take is not there for clients and servers
        memory_mb, sockets, calls = given.limits
        calls += len(changes.neighbours) + CHANGES_STREAMS
        if sockets < RESERVED + calls + 16:
            raise Faulty(f"limits.sockets: must be at least {RESERVED + calls + 16} with so many changes.neighbours")
        given = replace(given, limits=(memory_mb, sockets, calls), caps=Caps.within(memory_mb, sockets, calls))
    return replace(given, keeping=keeping, peers=peers, duties=duties, changes=changes)
