"""Owns what the lab's processes write down while a run goes on: rows in the order in which things happened.

Only records; `saltmoor.lab.ledger` reads them. A row is its kind, a time and what belongs to it:

    ask     t id tx node conn verb key profile mark wait    a client's try, its last byte written
    reply   t id how crc length hint                        its answer: served, refused, failed, odd
    head    t id node conn bytes                            the head of a value came, at a client that takes it at a pace
    spoilt  t id bytes got how                              an answer that ended before it was whole: end, reset
    end     t id conn sent                                  its connection ended with no answer to it
    left    t id                                            its client gave up and closed the connection
    silent  t id                                            it did so as nothing came for the request's time and longer
    extra   t id node bytes                                 bytes behind that answer, with nothing open
    got     t0 t1 server node id verb key mark conn         a command at a server; first and last byte
    told    t server id what crc                            value, receipt, miss, busy, failed, spoilt
    ran     t place id mark key                             an effect
    listed  t node server state                             a line of the list, written to a node
    true    t server state                                  a line of the list changes, whoever hears of it when
    bad     t server node text                              a command that no client sends so
    life    t server what                                   up, down, fell
    node    t node what code                                ready, killed, termed, hup, exited, drained, undrained, shot,
                                                            killable: a process that was told to end may be killed then;
                                                            drained, unheard: since the call was sent, the latter if
                                                            nobody answered it; starved, fed: a share of a core alone
    conn    t node conn what                                up, down: a connection of a client with a habit
    pace    t node conn bytes                               no more bytes a second are taken from that connection
    mn      t node yes                                      whether a node says that it takes clients
    call    t node what                                     its system calls fail so from now on; "" as ever again
    called  t node path answered ms                         a call at the second address: sent then, and how long it took
    shared  t node count                                    so many sockets listen at its port
    believes t node what                                what a node says of the others, asked four times a second
    way     t node node count bytes                     what one told the other
    sample  t figures                                       of all servers, four times a second
    mark    t what                                          a fault begins or ends
    behind  t microseconds                              a load process stood still for so long up to then
    stood   t microseconds process                      the same of the process of the stand-ins, or of the proxy
    late    microseconds                                    how late the process ran what was due
"""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec


def clock() -> int:
    """Microseconds on the one clock that all processes of a machine share."""
    return time.monotonic_ns() // 1000


class Book:
    def __init__(self) -> None:
        self.rows: list[tuple[Any, ...]] = []

    def note(self, kind: str, *row: Any) -> None:
        self.rows.append((kind, *row))

    def save(self, path: Path) -> None:
        path.write_bytes(msgspec.msgpack.encode(self.rows))

    @staticmethod
    def read(path: Path) -> list[list[Any]]:
        return msgspec.msgpack.decode(path.read_bytes())
