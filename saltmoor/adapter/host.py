"""Hosts many nodes in one process: hands each its events and writes down what it decided."""

from __future__ import annotations

import json
import traceback
from typing import BinaryIO

from saltmoor import config, model
from saltmoor.adapter import codec
from saltmoor.choice import Node

ENDED = {
    10: model.Ended.COMMITTED,
    20: model.Ended.ERROR,
    30: model.Ended.FULL,
    40: model.Ended.TIMED_OUT,
    50: model.Ended.NO_CONNECTION,
    60: model.Ended.RESET,
    70: model.Ended.CANCELLED,
    80: model.Ended.NOT_SENT,
    90: model.Ended.MISS,
}
LISTS = {0: model.ListKind.CHANGES, 1: model.ListKind.FULL, 2: model.ListKind.REMEMBERED}


def ended(code: int) -> model.Ended:
    return ENDED.get(code, model.Ended.UNKNOWN)


def member(line: tuple) -> model.Member:
    server, zone, kind, cell, readiness, size, started = line
    state = model.Readiness(readiness) if readiness in (0, 1, 2) else model.Readiness.DRAINING
    return model.Member(server, zone, kind, cell, state, size, started // 1000)


def encode(effect: model.Effect) -> bytes:
    match effect:
        case model.Send(tx, server, until):
            return codec.PLACE.pack(16, tx, server, max(0, until) * 1000)
        case model.RollBack(tx, stay_away):
            return codec.OVERLOAD.pack(17, tx, stay_away * 1000)
        case model.Abandon(tx):
            return codec.ONE_ID.pack(18, tx)
        case model.Cancel(tx, hop):
            return codec.UNDO.pack(19, tx, hop)
        case model.Probe(server):
            return codec.ASK.pack(21, server)
        case model.CloseIdle(server):
            return codec.ASK.pack(22, server)
        case model.Wake(at, token):
            return codec.WAKE.pack(20, at * 1000, token)
        case model.WatchList(on):
            return codec.TRACK.pack(26, on)
        case model.Log(line):
            return codec.text(24, line)
    raise TypeError(f"no record for {effect!r}")


class Host:
    """The nodes of one process, by instance number. They share nothing with each other."""

    def __init__(self) -> None:
        self.nodes: dict[int, Node] = {}

    def event(self, now: int, instance: int, name: str, fields: tuple) -> None:
        if name == "power_on":
            seed, info = fields
            self.nodes[instance] = Node(seed, now, **config.node_arguments(json.loads(info)))
            return
        if name == "power_off":
            self.nodes.pop(instance, None)
            return
        node = self.nodes.get(instance)
        if node is None:
            return
        if name == "inbound":
            tx, profile, tenant, key, limit, cost, _, bits = fields
            # The limit is rounded down: nothing that is derived from it may come after it.
            hint = cost // 1000 if bits & 1 else None
            node.arrived(
                now,
                model.Arrival(tx, profile, tenant, key or None, limit // 1000, hint, bool(bits & 4), bool(bits & 2)),
            )
        elif name == "returned":
            tx, hop, server, code, elapsed, closed, detail, load = fields
            node.hop_ended(now, model.HopEnd(tx, hop, server, ended(code), elapsed // 1000, bool(closed), detail, load))
        elif name == "probe_result":
            elapsed, server, code, load = fields
            node.probed(now, server, ended(code), elapsed // 1000, load)
        elif name == "wakeup":
            node.woken(now, fields[0])
        elif name == "backends_changed":
            _, mode, lines = fields
            node.listed(now, LISTS.get(mode, model.ListKind.FAILED), [member(line) for line in lines])
        elif name == "abandoned":
            node.out_of_hands(now, fields[0])
        elif name == "begun":
            node.out_of_hands(now, fields[0], fields[1])

    def batch(self, frame: bytes) -> bytes:
        _, _, clock, number = codec.HEAD.unpack_from(frame)
        now = clock // 1000
        touched: dict[int, None] = {}
        instance = 0
        records: list[bytes] = []
        try:
            for instance, name, fields in codec.events(frame):
                self.event(now, instance, name, fields)
                touched[instance] = None
            for instance in touched:
                node = self.nodes.get(instance)
                if node is None:
                    continue
                node.settle(now)
                if node.effects:
                    records.append(codec.context(instance))
                    records.extend(map(encode, node.effects))
                    node.effects.clear()
        except codec.BadFrame:
            raise
        except Exception as error:  # the bench is told, with the place; it ends the day
            where = traceback.extract_tb(error.__traceback__)[-1]
            words = f"{type(error).__name__}: {error} at {where.filename.rsplit('/', 1)[-1]}:{where.lineno}"
            records = [codec.context(instance), codec.text(25, words)]
        return codec.reply(number, records)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host = Host()
    while (frame := codec.read_frame(source)) is not None:
        sink.write(host.batch(frame))
        sink.flush()
