"""Owns an operator's questions to running nodes, in blocking style: members, shared items, a word for all.

It speaks at the nodes' own peer address, under the cluster's name. It must never be part of a node.
"""

from __future__ import annotations

import os
import socket
import time
from typing import Any

import msgspec

from saltmoor import config
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker, Strange

WAIT = 3.0


class Unanswered(Exception):
    """The node gave no answer; the message says why."""


def ask(address: str, cluster: str, message_type: str, said: Any, wait: float = WAIT) -> dict[str, Any]:
    """One question to the node at that address; `Unanswered` where it gives no answer."""
    speaker = Speaker("operator", 0, int.from_bytes(os.urandom(6), "big"), time.time_ns() // 1000)
    frame = frames.encode(cluster, speaker, message_type, said)
    try:
        with socket.create_connection(config.numeric("ADDRESS", address), wait) as sock:
            sock.settimeout(wait)
            sock.sendall(len(frame).to_bytes(4, "big") + frame)
            file = sock.makefile("rb")
            length = int.from_bytes(file.read(4), "big")
            if not frames.HEAD <= length <= frames.BULK:
                raise Unanswered(f"{address}: no answer; is {cluster!r} its cluster?")
            answer = frames.decode(file.read(length), cluster)
            return msgspec.msgpack.decode(answer.content)
    except (OSError, Strange, msgspec.DecodeError, config.Faulty) as error:
        raise Unanswered(f"{address}: {error}") from None


def members(shown: dict[str, Any]) -> list[str]:
    lines = [
        f"{shown['name']} of {shown['cluster']}: life={shown['life']} build={shown['build']} "
        f"phase={shown['phase']} items={shown['items']} root={shown['root']:016x}"
    ]
    lines += [
        f"  {name:20} {state:8} life={life} at={address} site={site or '-'} build={build} for_ms={since} "
        f"clock_ms={offset:+d}"
        for name, state, life, address, site, build, since, offset in shown["members"]
    ]
    lines.append(
        f"  sent={shown['sent']} came={shown['came']} dropped={shown['dropped']} refused={shown['refused']} "
        f"late={shown['late']} clashes={shown['clashes']}"
    )
    return lines


def duties(shown: dict[str, Any]) -> list[str]:
    if "duties" not in shown:
        return ["no duties"]
    before = f"; before: {', '.join(shown['before'])}" if shown["before"] else ""
    lines = [f"voters: {', '.join(shown['voters'])}{before}"]
    return lines + [
        f"  {duty:10} "
        + (
            f"owner number={one['number']} left_ms={one['left_ms']} held_ms={one['held_ms']}"
            if one["owner"]
            else f"{one['state']} holder={one['holder'] or 'not known'}"
        )
        for duty, one in shown["duties"].items()
    ]


def items(shown: dict[str, Any]) -> list[str]:
    lines = []
    for kind, key, version, body, age in sorted(shown["items"], key=lambda one: one[:2]):
        try:
            said = msgspec.msgpack.decode(body) if body else ""
        except msgspec.DecodeError:
            said = body
        lines.append(f"{kind:9} {key}: version={version} age_ms={age} {str(said)[:120]}".rstrip())
    return lines


def diff(one: dict[str, Any], other: dict[str, Any], names: tuple[str, str]) -> list[str]:
    """Items that only one has, or that differ."""
    own, their = (
        {(kind, key): (version, body) for kind, key, version, body, _ in shown["items"]} for shown in (one, other)
    )
    lines = []
    for which in sorted(own.keys() | their.keys()):
        if own.get(which) != their.get(which):
            left, right = (f"version={held[which][0]}" if which in held else "none" for held in (own, their))
            lines.append(f"{which[0]} {which[1]}: {names[0]} {left}, {names[1]} {right}")
    return lines
