"""Owns an operator's side of the log of changes, in blocking style: to append one, and to show who is how far.

A change is said to be done only where a majority of the control machines holds it, not done only where it is in no log
by this call, and otherwise not known; asked again under its id it is one change. It must never be part of a node.
"""

from __future__ import annotations

import os
import re
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from saltmoor import config
from saltmoor.changes import kinds
from saltmoor.changes.messages import CONTENT, Append, Appended
from saltmoor.net.streams import HEAD, MOST, TOOL, Show, Shown, Wire
from saltmoor.peers.frames import Strange

ANSWER = 1.5  # seconds for one answer; the machine itself is asked to say within a second
PAUSE = 0.2  # seconds between tries where there is no leader
LATER = "not the leader", "no leader yet", "no majority", "full"  # refusals that may be over soon
ID = r"([0-9a-f]{16})\.(\d{1,19})\.(\d{1,19})"  # drawn; where the log was when it was made


class Call:
    """One connection to a machine or a node. OSError, `Strange`."""

    def __init__(self, address: str, wire: Wire, wait: float = ANSWER) -> None:
        self.wire = wire
        self.sock = socket.create_connection(config.numeric("ADDRESS", address), wait)
        try:
            self.sock.settimeout(wait)
            self.file = self.sock.makefile("rb")
            self.sock.sendall(wire.hello(address))
            speaker, hello = wire.heard(self.read(first=True))
            if speaker.name != address:
                raise Strange(f"{speaker.name} answers")
            self.role = hello.role
        except BaseException:
            self.sock.close()
            raise

    def __enter__(self) -> Call:
        return self

    def __exit__(self, *_) -> None:
        self.file.close()
        self.sock.close()

    def read(self, first: bool = False) -> bytes:
        head = self.file.read(HEAD)
        length = int.from_bytes(head[:4], "big")
        if len(head) < HEAD or not 0 < length <= MOST:
            raise Strange("no answer; is it of this cluster?")
        body = self.file.read(length)
        if len(body) < length or self.wire.checksum(body, first) != int.from_bytes(head[4:], "big"):
            raise Strange("the answer is cut or altered")
        return body

    def ask(self, message: Any, wanted: type) -> Any:
        """The answer, past what else comes."""
        self.sock.sendall(self.wire.frame(self.wire.encode(message)))
        while True:
            answer = self.wire.decode(self.read())
            if isinstance(answer, wanted) and getattr(answer, "id", None) == getattr(message, "id", None):
                return answer


@dataclass(slots=True)
class Outcome:
    """`how`: done, refused (it is not in the log by this call), or unknown."""

    how: str
    why: str = ""
    id: str = ""
    offset: int = 0


def wire(cluster: str) -> Wire:
    return Wire(cluster, f"tool-{os.getpid()}", TOOL)


def show(address: str, cluster: str, wait: float = ANSWER) -> dict[str, Any]:
    with Call(address, wire(cluster), wait) as call:
        return call.ask(Show(), Shown).shown


def append(
    control: list[str],
    cluster: str,
    kind: str,
    make: Callable[[dict[str, Any]], bytes],
    id: str = "",
    timeout: float = 6.0,
) -> Outcome:
    """Put one change into the log, by whichever machine leads. `make`: its content, from what the leader shows; `id`:
    that of an earlier call whose outcome is not known."""
    if id and not re.fullmatch(ID, id):
        return Outcome("refused", "id: must be one that an earlier call printed")
    speaks, until = wire(cluster), time.monotonic() + timeout
    content, hint, turn, unknown = b"", "", 0, bool(id)
    answering: set[str] = set()
    why = "none of them answers"
    while time.monotonic() < until:
        name, hint = hint or control[turn % len(control)], ""
        turn += 1
        asked = False
        try:
            with Call(name, speaks, min(ANSWER, max(0.05, until - time.monotonic()))) as call:
                shown = call.ask(Show(), Shown).shown
                answering.add(name)
                if shown.get("state") != "leading":
                    why, hint = "no leader", shown.get("leader", "")
                    # Guards against two that name each other, or one that is gone, without end.
                    hint = hint if hint in control and hint != name and turn % 2 else ""
                    if not hint:
                        time.sleep(PAUSE / 2)
                    continue
                content = content or make(shown)
                if len(content) > CONTENT:
                    return Outcome("refused", f"too long: {len(content)} bytes of {CONTENT}")
                id = id or f"{os.urandom(8).hex()}.{shown['generation']}.{shown['committed']}"
                _, generation, seen = re.fullmatch(ID, id).groups()
                asked = True
                said = call.ask(Append(id, kind, content, int(generation), int(seen)), Appended)
        except (OSError, Strange) as error:  # timeouts are OSErrors
            answering.discard(name)
            unknown |= asked
            why = "no answer" if asked else why if answering else f"{name}: {error or type(error).__name__}"
            time.sleep(PAUSE / 4)
            continue
        if said.how == "done":
            return Outcome("done", "", id, said.offset)
        why, unknown = said.why, unknown or said.how == "unknown"
        if said.how == "refused" and said.why not in LATER:
            if said.why == "too old to be known" and unknown:
                return Outcome("unknown", said.why, id)
            return Outcome("refused", said.why, id)
        time.sleep(PAUSE)
    if unknown:
        return Outcome("unknown", why, id)
    return Outcome(
        "refused", f"no majority of the {len(control)} control machines ({len(answering)} answer; {why})", id
    )


# The command's words.


def changed(said: dict[str, Any], control: list[str], cluster: str) -> tuple[int, list[str]]:
    """`saltmoor change`: its exit status, and lines. `Faulty` where what is asked for is."""
    timeout = seconds(said["--within"])
    if said["status"]:
        return status([said["--at"]] if said["--at"] else control, cluster)
    if said["config"]:
        try:
            with open(said["FILE"], "rb") as file:
                body = file.read(config.VERSION_MOST + 1)
        except OSError as error:
            raise config.Faulty(f"{said['FILE']}: {error.strerror}") from None
        config.version(body)

        def version(shown: dict[str, Any]) -> bytes:
            before = int(shown["versions"].get("fleet", 0))
            return kinds.encode(kinds.Config("fleet", before + 1, before, body))

        kind, make = kinds.CONFIG, version
    else:
        what, value = ("key", said["KEY"]) if said["purge"] else ("tag", said["NAME"])
        content = kinds.encode(kinds.Purge(what, value.encode()))
        try:
            kinds.read(kinds.PURGE, content)
        except kinds.Unfit:
            raise config.Faulty(f"{'KEY' if said['purge'] else 'NAME'}: must have 1 to 4096 bytes") from None
        kind, make = kinds.PURGE, lambda shown: content
    outcome = append(control, cluster, kind, make, said["--id"] or "", timeout)
    match outcome.how:
        case "done":
            return 0, [f"done: offset={outcome.offset} id={outcome.id}"]
        case "refused":
            return 1, [f"not done: {outcome.why}"]
    return 1, [f"not known whether it is done: {outcome.why}; ask again with --id={outcome.id}"]


def seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.1 <= value <= 600:
        raise config.Faulty(f"--within: must be 0.1 to 600 seconds, is {text!r}")
    return value


def status(places: list[str], cluster: str) -> tuple[int, list[str]]:
    """0 where each one answers, and a majority of machines follows one leader."""
    lines, shown = [], {}
    for place in places:
        try:
            shown[place] = show(place, cluster)
        except (OSError, Strange) as error:
            lines.append(f"{place}: no answer ({error or type(error).__name__})")
    for place, one in shown.items():
        lines += machine(one) if "machine" in one else node(one)
    machines = [one for one in shown.values() if "machine" in one]
    if any("node" in one for one in shown.values()) and not machines:
        return int(len(shown) < len(places) or any(one["stale"] for one in shown.values())), lines
    leaders = [one for one in machines if one["state"] == "leading"]
    leader = max(leaders, key=lambda one: one["epoch"], default=None)
    follow = sum(bool(leader) and one["promised"] == leader["epoch"] and not one["blank"] for one in machines)
    whole = 2 * follow > len(places)
    lines.insert(
        0,
        f"leader: {leader['machine']} epoch={leader['epoch']} committed={leader['committed']}, "
        f"followed by {follow} of {len(places)}"
        if leader and whole
        else f"no leader that a majority of {len(places)} follows: no change is taken",
    )
    return int(not whole or len(shown) < len(places)), lines


def machine(one: dict[str, Any]) -> list[str]:
    lines = [
        f"{one['machine']}: {one['state']} promised={one['promised']}{' blank' if one['blank'] else ''} "
        f"generation={one['generation']} committed={one['committed']} last={one['last']} "
        f"retained_from={one['base'] + 1} dropped={one['dropped']}"
    ]
    lines += [
        f"  {name:24} behind={other['behind']} {'blank' if other['blank'] else 'holds it'}"
        for name, other in one["others"].items()
    ]
    return lines + [f"  {key.partition('#')[0]:24} behind={lag}" for key, lag in sorted(one["subscribers"].items())]


def node(one: dict[str, Any]) -> list[str]:
    versions = ", ".join(f"{name}={version}" for name, version in one["in_force"].items()) or "none"
    lines = [
        f"{one['node']}: {'STALE' if one['stale'] else 'fresh'} behind_ms={one['behind_ms']} "
        f"applied={one['applied']} from={one['upstream'] or 'none'}{' relay' if one['relay'] else ''} "
        f"site={one['site']} taken_stale={one['taken_stale']} versions: {versions} dropped={one['dropped']}"
    ]
    lines += [f"  refused: {name} version={version}: {why}" for name, (version, why) in one["refused"].items()]
    return lines + [f"  {key.partition('#')[0]:24} behind={lag}" for key, lag in sorted(one["subscribers"].items())]
