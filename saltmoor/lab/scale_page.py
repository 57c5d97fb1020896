"""Owns the tables of docs/CAPACITY.md: each made of the plan, of kept data, or of arithmetic on both, never by hand.

A table stands between `<!-- table: NAME -->` and `<!-- end -->`. Prose beside them names no figure but the plan's. It
must never show a figure of a void row, nor one that no kept run gave.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from math import ceil
from pathlib import Path

from saltmoor.lab import scale_counts, scale_fit, scale_rows
from saltmoor.lab.scale import Sheet, read
from saltmoor.lab.scale_fit import Fit
from saltmoor.lab.scale_plan import PLAN, derived
from saltmoor.lab.scale_rows import AIMS, Row, short, table
from saltmoor.net.control import STREAMS
from saltmoor.replica.entries import KINDS

BLOCK = re.compile(r"<!-- table: (?P<name>[a-z-]+) -->\n.*?<!-- end -->", re.S)
NOT_ROWS = ("data-path.json", "counts.json", "short.json")
NONE = "not measured"


class Data:
    """All that is kept in one folder."""

    def __init__(self, folder: Path) -> None:
        self.sheets: dict[str, Sheet] = {
            path.name: read(path) for path in sorted(folder.glob("*.json")) if path.name not in NOT_ROWS
        }
        self.rows = sorted(
            (row for sheet in self.sheets.values() for row in sheet.rows),
            key=lambda row: (row.clock, row.mechanism, row.event, row.changes_per_s, row.members),
        )
        self.fits = scale_fit.fits(self.rows)
        self.counts = {one.what: one for one in scale_counts.read(folder / "counts.json")}
        self.path = scale_counts.read(folder / "data-path.json")

    def row(self, mechanism: str, members: int, rate: float, event: str = "", clock: str = "scripted") -> Row | None:
        return next(
            (
                row
                for row in self.rows
                if (row.mechanism, row.members, row.changes_per_s, row.event, row.clock)
                == (mechanism, members, rate, event, clock)
                and not row.void
            ),
            None,
        )

    def largest(self, mechanism: str, rate: float) -> Row | None:
        return max(
            (
                row
                for row in self.rows
                if row.mechanism == mechanism
                and row.changes_per_s == rate
                and not row.event
                and row.clock == "scripted"
                and not row.void
            ),
            key=lambda row: row.members,
            default=None,
        )

    def fit(self, mechanism: str, rate: float, role: str, figure: str) -> Fit | None:
        return next(
            (
                fit
                for fit in self.fits
                if (fit.clock, fit.mechanism, fit.changes_per_s, fit.role, fit.figure)
                == ("scripted", mechanism, rate, role, figure)
            ),
            None,
        )

    def count(self, what: str) -> float | None:
        return self.counts[what].value if what in self.counts else None


def number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 or value == int(value) else f"{value:.3g}"


def plan(data: Data) -> str:
    return table(["the plan", "figure"], [[name.replace("_", " "), number(value)] for name, value in PLAN.items()])


def arithmetic(data: Data) -> str:
    return table(["derived", "how", "figure"], [[what, how, number(value)] for what, how, value in derived()])


def calm(data: Data) -> str:
    return table(
        scale_rows.HEADS,
        [line for row in data.rows if not row.event and row.clock == "scripted" for line in scale_rows.lines(row)],
    )


def real(data: Data) -> str:
    rows = [row for row in data.rows if row.clock == "real"]
    if not rows:
        return NONE
    heads = [
        "members",
        "changes/s",
        "role",
        "B/s a node",
        "sent/s",
        "pulls/s",
        "core",
        "memory MB",
        "descriptors",
        "p50 s",
        "p99 s",
        "p99.9 s",
        "missed",
        "loop late p99 ms",
        "real nodes in time",
        "their memory MB",
    ]
    made = []
    for row in rows:
        if row.void:
            made.append([row.members, f"{row.changes_per_s:g}", "void", row.void[0], *[""] * (len(heads) - 4)])
            continue
        role, said, one = row.roles["node"], row.figures, row.spread
        times = [short(one.p50_s), short(one.p99_s), short(one.p999_s), one.missed] if one and one.changes else [""] * 4
        made.append(
            [
                row.members,
                f"{row.changes_per_s:g}",
                "node",
                short(role.bytes_per_s),
                short(role.messages_per_s),
                short(role.pulls_per_s),
                f"{role.core:.2%}",
                role.memory_mb,
                role.descriptors,
                *times,
                said["late_p99_ms"],
                said["real_in_time"],
                said["real_memory_mb"],
            ]
        )
    return table(heads, made)


def both(data: Data) -> str:
    """The two clocks where both have a row."""
    made = []
    for row in data.rows:
        if row.clock != "real" or row.void:
            continue
        other = data.row(row.mechanism, row.members, row.changes_per_s, row.event)
        if other is None:
            continue
        for figure in ("bytes_per_s", "messages_per_s", "pulls_per_s", "core"):
            a, b = getattr(other.roles["node"], figure), getattr(row.roles["node"], figure)
            made.append(
                [row.members, f"{row.changes_per_s:g}", figure, short(a), short(b), f"{b / a:.2f}" if a else ""]
            )
        for figure in ("p50_s", "p99_s", "p999_s") if row.spread and row.spread.changes and other.spread else ():
            a, b = getattr(other.spread, figure), getattr(row.spread, figure)
            made.append(
                [row.members, f"{row.changes_per_s:g}", figure, short(a), short(b), f"{b / a:.2f}" if a and b else ""]
            )
    return table(["members", "changes/s", "figure", "scripted", "real", "real / scripted"], made) if made else NONE


def events(data: Data) -> str:
    rows = [row for row in data.rows if row.event and row.clock == "scripted"]
    made = []
    for row in rows:
        head = [row.event, row.mechanism, row.members, f"{row.changes_per_s:g}", f"{row.span_s:g}"]
        if row.void:
            made.append([*head, "void", "", "", ""])
            continue
        one = row.spread
        worst = max((role.bytes_per_s for name, role in row.roles.items() if name != "control"), default=0.0)
        times = [""] * 4
        if one and one.changes:
            times = [short(one.p50_s), short(one.p999_s), short(one.worst_s), one.missed]
        made.append(
            [
                *head,
                short(worst),
                *times,
                "; ".join(
                    f"{name.removesuffix('_s').replace('_', ' ')} {'never' if value is None else f'{value:g}'}"
                    for name, value in row.figures.items()
                ),
            ]
        )
    return table(
        [
            "event",
            "mechanism",
            "members",
            "changes/s",
            "span s",
            "B/s a node",
            "p50 s",
            "p99.9 s",
            "worst s",
            "missed",
            "figures",
        ],
        made,
    )


def slopes(data: Data) -> str:
    wanted = {"bytes_per_s", "pulls_per_s", "core", "state_bytes", "p50_s", "p999_s"}
    made = []
    for fit in data.fits:
        if fit.clock != "scripted" or fit.figure not in wanted or not any(fit.values):
            continue
        grown, factor = scale_fit.grown(fit, PLAN["nodes"])
        drawn = f"{grown:.4g}, {factor:.3g} times the largest measured" if factor > 1 else "measured"
        made.append(
            [
                fit.mechanism,
                f"{fit.changes_per_s:g}",
                fit.role or "spread",
                fit.figure,
                f"{fit.at_none:.4g} + {fit.slope:.3g} n",
                " ".join(map(str, fit.sizes)),
                " ".join(f"{one:.3g}" for one in fit.residuals),
                f"{fit.worst_residual:.0%}",
                drawn,
            ]
        )
    return table(
        [
            "mechanism",
            "changes/s",
            "role",
            "figure",
            "fit",
            "sizes",
            "residuals",
            "worst, of the measured",
            f"at {PLAN['nodes']}",
        ],
        made,
    )


def aims(data: Data) -> str:
    rate, nodes = PLAN["purges_per_s"], PLAN["nodes"]
    rows = [data.row("peers", nodes, rate) or data.largest("peers", rate), data.row("log", nodes, rate)]
    made = []

    def add(what: str, limit: float, figure: Callable[[Row], float | None], shown: Callable[[float], str]) -> None:
        cells = []
        for row in rows:
            value = figure(row) if row else None
            cells.append(
                NONE
                if row is None
                else f"{'never' if value is None else shown(value)} at {row.members}, "
                f"{'held' if value is not None and value <= limit else 'NOT HELD'}"
            )
        made.append([what, shown(limit), *cells])

    def role(name: str, figure: str) -> Callable[[Row], float | None]:
        return lambda row: getattr(row.roles[name if name in row.roles else "node"], figure)

    add("a change at half of the nodes, s", AIMS["p50_s"], lambda row: row.spread.p50_s, short)
    add("a change at 99.9% of the nodes, s", AIMS["p999_s"], lambda row: row.spread.p999_s, short)
    add("changes that a node never got", 0.0, lambda row: float(row.spread.missed), short)
    add("bytes/s of a node that hands nothing on", AIMS["bytes_per_s"], role("node", "bytes_per_s"), short)
    add("bytes/s of a relay, mean", AIMS["bytes_per_s"], role("relay", "bytes_per_s"), short)
    add("bytes/s of a relay, the busiest", AIMS["bytes_per_s"], role("relay", "bytes_worst"), short)
    add("bytes/s, mean of all nodes", AIMS["bytes_per_s"], role("fleet", "bytes_per_s"), short)
    add("processor time of a node, share of a core", AIMS["core"], role("node", "core"), lambda one: f"{one:.2%}")
    add("the same of the busiest relay", AIMS["core"], role("relay", "core_worst"), lambda one: f"{one:.2%}")
    add("the same of a control machine", 0.5, role("control", "core_worst"), lambda one: f"{one:.2%}")
    add(
        "state of a node by its own count, MB",
        AIMS["memory_mb"],
        lambda row: row.roles["node"].state_bytes / scale_rows.MEGABYTE,
        short,
    )
    made += [flat_line(data, rate), flat_node(data, rate)]
    for event, figure, what, limit in (
        ("relay", "site_worst_s", "a killed relay: the worst change at its site, s", 1.0),
        ("silent", "site_worst_s", "a relay's machine gone without a word: the same, s", 1.0),
        ("writer", "worst", "the writer killed: the worst change, s", 1.0),
        ("rack", "worst", "a site's nodes gone: the worst change elsewhere, s", 1.0),
        ("zone", "worst", "the writer's zone gone: the worst change elsewhere, s", 1.0),
        ("cut", "caught_up_s", "a region cut off: caught up after, s", 2.0),
        ("start", "all_level_s", "all started in one instant: all have all after, s", float("inf")),
        ("rebuild", "all_level_s", "the same, control machines without memory, s", float("inf")),
    ):
        cells = []
        for mechanism in ("peers", "log"):
            found = [
                row
                for row in data.rows
                if (row.event, row.mechanism) == (event, mechanism)
                and not row.void
                and row.clock == "scripted"
                and (figure == "worst" or figure in row.figures)
            ]
            cells.append(
                "; ".join(
                    outcome(row, row.spread.worst_s if figure == "worst" else row.figures[figure], limit)
                    for row in found
                )
                or NONE
            )
        made.append([what, short(limit) if limit < 1e9 else "none", *cells])
    return table(["aim", "limit", "peers (as today)", "log"], made)


def outcome(row: Row, value: float | None, limit: float) -> str:
    longer = f", {row.figures['compressed']:.3g} times compressed" if row.event == "cut" else ""
    verdict = "" if limit > 1e9 else ", held" if value is not None and value <= limit else ", NOT HELD"
    return f"{short(value)} at {row.members}{longer}{verdict}"


def flat_line(data: Data, rate: float) -> list[str]:
    cells = []
    for mechanism in ("peers", "log"):
        first, last = data.row(mechanism, scale_fit.FLAT_FROM, rate), data.largest(mechanism, rate)
        if first is None or last is None or last.members <= scale_fit.FLAT_FROM:
            cells.append(NONE)
            continue
        a, b = (mean_of_nodes(row) for row in (first, last))
        cells.append(f"{b / a - 1:+.0%} to {last.members}, {'held' if b / a - 1 <= scale_fit.FLAT else 'NOT HELD'}")
    return [f"growth of the mean node's bytes/s from {scale_fit.FLAT_FROM} nodes", f"{scale_fit.FLAT:.0%}", *cells]


def flat_node(data: Data, rate: float) -> list[str]:
    """Of nodes that hand nothing on, from the smallest size that has any."""
    fit = data.fit("log", rate, "node", "bytes_per_s")
    grown = fit.values[-1] / fit.values[0] - 1 if fit else None
    return [
        "the same of a node that hands nothing on",
        f"{scale_fit.FLAT:.0%}",
        "as above",
        NONE
        if grown is None
        else f"{grown:+.0%} from {fit.sizes[0]} to {fit.sizes[-1]}, {'held' if grown <= scale_fit.FLAT else 'NOT HELD'}",
    ]


def mean_of_nodes(row: Row) -> float:
    """A site with two nodes has relays only."""
    role = row.roles.get("fleet") or row.roles["node"]
    return role.bytes_per_s


def roles(data: Data) -> str:
    rate, nodes = PLAN["purges_per_s"], PLAN["nodes"]
    made = []
    for mechanism, role, name, carries in (
        ("peers", "node", "node's control, as today", "net/peers.py: pings, told four ways, compared"),
        ("peers", "control", "control machine, as today", "a member that votes; duties/lease.py"),
        ("log", "node", "node's control, with the log", "changes/subscriber.py: one stream"),
        ("log", "relay", "relay", "changes/relay.py: a cursor a subscriber"),
        ("log", "control", "control machine, with the log", "changes/log.py, changes/relay.py"),
    ):
        row = data.row(mechanism, nodes, rate) or data.largest(mechanism, rate)
        if row is None or role not in row.roles:
            made.append([name, *[NONE] * 9])
            continue
        one, fit = row.roles[role], data.fit(mechanism, rate, role, "bytes_per_s")
        limit = AIMS["bytes_per_s"] if role != "control" else None
        said = "" if fit is None else f"{fit.slope:+.3g} B/s a member, {min(fit.sizes)} to {max(fit.sizes)}"
        factor = nodes / row.members
        made.append(
            [
                name,
                f"{short(one.state_bytes / 1000)} kB",
                f"{short(one.messages_per_s)} out",
                f"{short(one.bytes_per_s)} (worst {short(one.bytes_worst)})",
                f"{one.core:.2%}",
                connections(mechanism, role, row),
                said,
                f"{factor:.3g}",
                carries,
                "no limit was set for bytes"
                if limit is None
                else f"{limit:,.0f} B/s: {'fits, ' if one.bytes_worst <= limit else 'DOES NOT FIT, '}"
                f"{one.bytes_worst / limit:.2f} of it at the worst",
            ]
        )
    path = "see the table below" if data.path else NONE
    made.append(["node's data path", path, *[NONE] * 7, "docs/capacity/data-path.json"])
    whole = data.count("discovery: bytes of the whole list")
    line, took = data.count("discovery: bytes of one line"), data.count("node: processor time of a whole list")
    made.append(
        [
            "discovery",
            f"{nodes} watches",
            NONE,
            ""
            if whole is None
            else f"{whole * nodes / 1e6:.3g} MB for the whole list to all, {line * nodes / 1e3:.3g} kB for one line",
            "" if took is None else f"{took:.3g} us of each node for a whole list",
            f"{nodes}",
            "one line a change",
            "counted",
            "net/discovery.py",
            "limit not known",
        ]
    )
    servers = PLAN["servers"]
    made.append(
        [
            "cache server",
            f"{nodes} connections at least",
            NONE,
            NONE,
            NONE,
            f"{nodes} at one a node, {nodes * servers:,} in all",
            "nodes x servers",
            "derived",
            "net/upstream.py; choice.py asks",
            "limit not known",
        ]
    )
    rooms = data.count(f"origin: requests out at once that {nodes} nodes begin with, together")
    made.append(
        [
            "origin",
            "" if rooms is None else f"{rooms:g} requests out at once at first",
            NONE,
            NONE,
            NONE,
            NONE,
            "nodes, beyond what recovery/room.py means",
            "counted",
            "recovery/room.py",
            f"{scale_counts.FIRST:g} meant for the whole fleet: DOES NOT FIT"
            if rooms and rooms > scale_counts.FIRST
            else "fits",
        ]
    )
    return table(
        [
            "role",
            "state",
            "messages/s",
            "bytes/s in and out",
            "processor time, of a core",
            "connections",
            "slope and range",
            "extrapolated",
            "mechanism",
            "limit and headroom",
        ],
        made,
    )


def connections(mechanism: str, role: str, row: Row) -> str:
    if mechanism == "peers":
        return "none that stay"
    if role == "control":
        return f"{row.figures.get('subscribers_most', 0):g} at most"
    return "1" if role == "node" else f"1 and {row.figures.get('handed_on_most', 0):g} at most"


def counts(data: Data) -> str:
    lines = [[one.what, one.unit, number(one.value), one.how] for one in data.counts.values()]
    return table(["counted on the cores", "unit", "figure", "how"], lines) if lines else NONE


def path(data: Data) -> str:
    return (
        table(
            ["measured on the data path", "unit", "figure", "how"],
            [[one.what, one.unit, number(one.value), one.how] for one in data.path],
        )
        if data.path
        else NONE
    )


def breaks(data: Data) -> str:
    """What grows, by how many times its limit it is at the plan's size; the worst first."""
    nodes, servers, rate = PLAN["nodes"], PLAN["servers"], PLAN["purges_per_s"]
    found: list[tuple[float, list[str]]] = []

    def add(what: str, grows: str, figure: float | None, limit: float, unit: str, out: str) -> None:
        if figure is not None:
            found.append(
                (figure / limit, [what, grows, f"{number(figure)} {unit}", number(limit), f"{figure / limit:.3g}", out])
            )

    peers, log = data.largest("peers", rate), data.row("log", nodes, rate)
    rest = data.largest("peers", 0.0)
    aged = max(
        (row for row in data.rows if row.event == "aged" and not row.void), key=lambda row: row.members, default=None
    )
    add(
        "evidence of one server that is down, in the shared table",
        "nodes, each again every 2 s",
        nodes / 2,
        rate,
        "changes/s (derived)",
        "evidence stays in the site, one word a site goes on",
    )
    add(
        "purges sent on by each node to each server",
        "nodes x changes x servers",
        rate * nodes * servers,
        rate * servers,
        "messages/s (derived)",
        "one node a site or region sends for all, by a duty; not begun",
    )
    if aged:
        add(
            f"the shared table once it is ten minutes old, {aged.members} members",
            "members, changes and items kept",
            aged.roles["node"].bytes_per_s,
            AIMS["bytes_per_s"],
            "B/s",
            "changes go by the log; nothing is compared",
        )
    if peers:
        add(
            f"the shared table at the purges' rate, {peers.members} members",
            "members and changes",
            peers.roles["node"].bytes_per_s,
            AIMS["bytes_per_s"],
            "B/s",
            "changes go by the log; nothing is compared",
        )
        add(
            f"the shared table's processor time, {peers.members} members",
            "members and changes",
            peers.roles["node"].core,
            AIMS["core"],
            "of a core",
            "changes go by the log",
        )
    if rest:
        add(
            f"membership at rest, {rest.members} members",
            "flat in bytes",
            rest.roles["node"].bytes_per_s,
            AIMS["bytes_per_s"],
            "B/s",
            "seen by site, one voice a site",
        )
        add(
            f"membership's processor time at rest, {rest.members} members",
            "members, each tick",
            rest.roles["node"].core,
            AIMS["core"],
            "of a core",
            "keep who is there in order, not sorted anew at each tick",
        )
    if log:
        add(
            "a relay's bytes, the busiest",
            "nodes a site x changes",
            log.roles["relay"].bytes_worst,
            AIMS["bytes_per_s"],
            "B/s",
            relays_for(log),
        )
        add("a node's bytes with the log", "changes", log.roles["node"].bytes_per_s, AIMS["bytes_per_s"], "B/s", "")
        add(
            "a control machine's processor time",
            "relays x changes",
            log.roles["control"].core_worst,
            0.5,
            "of a core",
            "relays of relays",
        )
    lost = data.row("log", nodes, rate, "writer")
    if lost:
        add(
            "a change's worst time when the writer is lost",
            "the lease's length",
            lost.spread.worst_s,
            1.0,
            "s",
            "a shorter lease; a successor chosen before",
        )
        add(
            "streams at one control machine after the writer was lost",
            "sites, as nodes stay with their relays",
            lost.figures["subscribers_most"],
            STREAMS,
            "streams",
            "",
        )
    add(
        "origin: room that all nodes begin with",
        "nodes, once its least part counts",
        data.count(f"origin: requests out at once that {nodes} nodes begin with, together"),
        scale_counts.FIRST,
        "requests",
        "a smaller least part, as a rate",
    )
    first = data.count(f"cold server: attempts of {nodes} nodes in its first 10 ms")
    second = data.count(f"cold server: attempts of {nodes} nodes in its first second")
    if first and second:
        add(
            "a cold server's first 10 ms",
            "what a window allows: a start has half a window's worth saved, however many nodes",
            first,
            second / 100,
            "attempts",
            "a start that saves nothing",
        )
    passed = next((one.value for one in data.path if one.unit == "MB/s" and one.what.startswith("750,000 bytes")), None)
    if passed:
        add(
            "bytes of a node's mean load, beside what one process passes on of 750 kB answers",
            "bytes",
            PLAN["bits_per_s"] / nodes / 1e9,
            passed * 8 / 1000,
            "Gbit/s (derived)",
            "so many processes a machine, which share one address and one control part; not begun",
        )
    add(
        "evidence kept, all servers and observers",
        "nodes x servers",
        float(nodes * servers),
        KINDS["evidence"].most,
        "items (derived)",
        "by site, not by node",
    )
    owner = data.count(f"node: processor time to find a key's owner of a fetch lease among {nodes}")
    if owner:
        add(
            "a key's owner of a fetch lease, were one request in ten a miss (assumed)",
            "nodes x misses",
            owner / 1e6 * PLAN["requests_per_s"] / nodes / 10,
            AIMS["core"],
            "of a core (derived)",
            "owners within the site, or hashes kept by name",
        )
    found.sort(key=lambda one: -one[0])
    return table(
        ["what", "grows with", f"at {nodes}, or the size named", "limit", "times the limit", "way out"],
        [line for _, line in found],
    )


def relays_for(row: Row) -> str:
    """By arithmetic: each node that a relay hands on to costs it as much as that node's own stream."""
    stream, site = row.roles["node"].bytes_per_s, PLAN["nodes"] / PLAN["sites"]
    most = max(0.0, AIMS["bytes_per_s"] - stream) / stream  # nodes that one may hand on to
    count = ceil(site / (1 + most))
    return f"{count} relays a site (derived) and as many streams at the control machines; or fewer heads"


def sources(data: Data) -> str:
    lines = [
        [name, f"`{sheet.command}`", sheet.build, len(sheet.rows), sum(bool(row.void) for row in sheet.rows)]
        for name, sheet in data.sheets.items()
    ]
    return table(["docs/capacity/", "given by", "build", "rows", "void"], lines)


TABLES: dict[str, Callable[[Data], str]] = {
    "plan": plan,
    "derived": arithmetic,
    "calm": calm,
    "real": real,
    "both": both,
    "events": events,
    "slopes": slopes,
    "aims": aims,
    "roles": roles,
    "counts": counts,
    "data-path": path,
    "breaks": breaks,
    "sources": sources,
}


def render(text: str, data: Data) -> str:
    """The page with each table anew; KeyError for one that there is not."""

    def block(match: re.Match[str]) -> str:
        return f"<!-- table: {match['name']} -->\n{TABLES[match['name']](data)}\n<!-- end -->"

    return BLOCK.sub(block, text)


def prose(text: str) -> str:
    """What stands outside of the tables, without code and links."""
    return re.sub(r"`[^`]*`|\]\([^)]*\)", "", BLOCK.sub("", text))


def write(path: Path) -> int:
    path.write_text(render(path.read_text(), Data(path.parent / "capacity")))
    return 0
