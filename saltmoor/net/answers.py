"""What a node says for itself, with no cache server asked: whether it takes clients, its version, what it cannot read.

It must never know a connection, or a request.
"""

from __future__ import annotations

import saltmoor
from saltmoor.net import meta

TAKES_CLIENTS = b"MN\r\n"
DRAINING = b"SERVER_ERROR draining\r\n"  # to `mn` while the node is drained
UNKNOWN_COMMAND = b"ERROR\r\n"
UNFINISHED = b"CLIENT_ERROR the command is not finished\r\n"


def of_node(command: meta.Command, *, draining: bool) -> bytes | None:
    """The answer to a command that is no request for a cache server; None where it is one."""
    if command.fault:
        return client_error(command.fault)
    if command.verb in (b"mg", b"ms"):
        return None
    if command.verb == b"mn":
        return DRAINING if draining else TAKES_CLIENTS
    if command.verb == b"version":
        return b"VERSION saltmoor %b\r\n" % saltmoor.__version__.encode()
    return UNKNOWN_COMMAND


def client_error(what: object) -> bytes:
    """What is wrong with a command, in its client's words."""
    return b"CLIENT_ERROR %b\r\n" % str(what).encode()
