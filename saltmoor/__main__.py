"""saltmoor, a router for fleets of cache servers.

Usage:
  saltmoor serve [--config=FILE]
  saltmoor check-config [--config=FILE]
  saltmoor ping [--timeout=SECONDS] ADDRESS
  saltmoor version
  saltmoor lab ...
  saltmoor (-h | --help)

Commands:
  serve         run one node in the foreground; SIGTERM ends it once all that it took is answered, SIGHUP has
                it read its configuration again
  check-config  read the configuration, name what is faulty, print what a node would make of it
  ping          ask the node at HOST:PORT whether it serves
  version       print the version
  lab           stand-in servers, load and experiments; see saltmoor lab --help

Options:
  --config=FILE      the configuration, JSON; otherwise ROUTER_CONFIG names it
  --timeout=SECONDS  how long to wait for an answer [default: 2]
"""

from __future__ import annotations

import signal
import sys

if sys.argv[1:2] == ["serve"]:  # as a module or by its installed command, which imports this file
    # Before anything else is loaded: guards against a signal that ends the node while it starts, and against one that
    # comes after the file was read and is lost. They wait until there is somebody to take them.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))

import os
import socket

from docopt import docopt

import saltmoor
from saltmoor import config


def keep_standard() -> None:
    """Guards against a node that was started without standard descriptors: a client's connection would get the
    number of the log's, and the log's lines."""
    for number in 0, 1, 2:
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # the lowest that is free: this one
    sys.stderr = sys.stderr or open(2, "w", closefd=False)


def serve(given: config.Config, path: str | None) -> int:
    import uvloop

    from saltmoor.net.lifecycle import serve as run
    try:
        uvloop.run(run(given, lambda: config.load(path, os.environ)))
    except OSError as error:
        print(f"saltmoor: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


def check(given: config.Config) -> int:
    host, port = given.listen
    print(f"{given.name}: would listen on {host}:{port}")
    print(f"profiles: {', '.join(given.names.profiles)}; tenants: {', '.join(given.names.tenants) or 'none'}")
    print(f"cache servers known: {len(given.known)}; discovery: "
          f"{'%s:%d' % given.discovery if given.discovery else 'none'}")
    print(f"caps: {given.caps.connections} connections, {given.caps.clients} of them from clients; "
          f"{given.caps.txs} transactions at once")
    return 0


def ping(address: str, wait: str) -> int:
    try:
        target = config.address("ADDRESS", address)
        with socket.create_connection(target, float(wait)) as sock:
            sock.sendall(b"mn\r\n")
            answer = sock.recv(64)
    except (OSError, ValueError, config.Faulty) as error:
        print(f"saltmoor: {error}", file=sys.stderr)
        return 1
    print("serves" if answer.startswith(b"MN") else f"odd answer: {answer!r}")
    return 0 if answer.startswith(b"MN") else 1


def main(argv: list[str] | None = None) -> int:
    argv = sys.argv[1:] if argv is None else argv
    if argv[:1] == ["lab"]:  # a command line of its own, and libraries that a node does not need
        from saltmoor.lab.cli import main as lab
        return lab(argv[1:])
    said = docopt(__doc__, argv)
    if said["serve"]:
        keep_standard()
    if said["version"]:
        print(f"saltmoor {saltmoor.__version__}")
        return 0
    if said["ping"]:
        return ping(said["ADDRESS"], said["--timeout"])
    try:
        given = config.load(said["--config"], os.environ)
    except config.Faulty as error:
        print(f"saltmoor: {error}", file=sys.stderr)
        return 2
    return serve(given, said["--config"]) if said["serve"] else check(given)


if __name__ == "__main__":
    sys.exit(main())
