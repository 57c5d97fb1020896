"""What Linux tells of a TCP socket: how long ago a connection came up, when bytes last came, how many wait at a listener.

Source: struct tcp_info of linux/tcp.h, read with getsockopt(TCP_INFO). Where a system tells less, the answer is None;
it must never raise for that, or keep anything.
"""

from __future__ import annotations

import socket
import sys

from saltmoor.model import Micros

# Offsets of 32-bit fields; times are milliseconds.
WAITING_AT_LISTENER = 24  # tcpi_unacked: of a listening socket, how many connections wait to be accepted
SINCE_SENT = 44  # tcpi_last_data_sent: counted from the connection's begin where nothing was sent
SINCE_RECEIVED = 52  # tcpi_last_data_recv: the same of what has come
FIELD = 4  # bytes


def _field(sock: socket.socket, offset: int) -> int | None:
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + FIELD)
    except OSError:
        return None
    return int.from_bytes(info[offset : offset + FIELD], sys.byteorder) if len(info) == offset + FIELD else None


def age(sock: socket.socket) -> Micros | None:
    """How long ago the machine took this connection, of one on which nothing was sent yet."""
    passed = _field(sock, SINCE_SENT)
    return None if passed is None else passed * 1000


def unread_for(sock: socket.socket) -> Micros | None:
    """How long ago the last bytes came, or the connection where none did."""
    passed = _field(sock, SINCE_RECEIVED)
    return None if passed is None else passed * 1000


def waiting(listener: socket.socket) -> int | None:
    """How many connections the machine has taken that wait to be accepted."""
    return _field(listener, WAITING_AT_LISTENER)
