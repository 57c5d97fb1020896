"""Owns the ports that a run of the lab keeps for its listeners: nobody else on the machine is given them meanwhile.

A port is kept by a socket that is bound and never listens: it takes no connection, and the process that it is kept for
can listen beside it. It must never know what a port is for.
"""

from __future__ import annotations

import errno
import socket

ATTEMPTS = 50  # ports drawn until one is free at both addresses


def kept_port(host: str, port: int = 0, option: int = socket.SO_REUSEPORT) -> socket.socket:
    """A socket that keeps that TCP port of `host`, 0 for any free one, for a listener that sets the same option.

    Raises OSError where the port is taken.
    """
    kept = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        kept.setsockopt(socket.SOL_SOCKET, option, 1)
        kept.bind((host, port))
    except OSError:
        kept.close()
        raise
    return kept


def kept_ports(host: str, count: int) -> list[socket.socket]:
    """So many sockets, each of which keeps a port of its own."""
    return [kept_port(host) for _ in range(count)]


def kept_for_node(clients_host: str, peers_host: str) -> tuple[socket.socket, socket.socket]:
    """Sockets that keep one port for a node at two addresses: for its clients and for its peers.

    Guards against a node that can't listen for its peers, as a link of this run or a node of another one was given
    that port. Whoever in the lab takes a port of `peers_host` for datagrams takes it for TCP first. Raises OSError
    where no port is free at both.
    """
    for _ in range(ATTEMPTS):
        for_clients = kept_port(clients_host)
        try:
            return for_clients, kept_port(peers_host, for_clients.getsockname()[1], socket.SO_REUSEADDR)
        except OSError as error:
            for_clients.close()
            if error.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, f"no port is free at both {clients_host} and {peers_host}")
