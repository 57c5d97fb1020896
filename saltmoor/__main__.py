"""saltmoor, a router for fleets of cache servers.

Usage:
  saltmoor serve [--config=FILE] [--operators=FILE]
  saltmoor check-config [--config=FILE] [--operators=FILE]
  saltmoor ping [--timeout=SECONDS] ADDRESS
  saltmoor snapshot (show | verify) FILE
  saltmoor peers --cluster=NAME PEER
  saltmoor duties --cluster=NAME PEER
  saltmoor control --operators=FILE
  saltmoor change purge KEY (--operators=FILE | --cluster=NAME --control=ADDR...) [--id=ID] [--within=SECONDS]
  saltmoor change purge-set NAME (--operators=FILE | --cluster=NAME --control=ADDR...) [--id=ID] [--within=SECONDS]
  saltmoor change config FILE (--operators=FILE | --cluster=NAME --control=ADDR...) [--id=ID] [--within=SECONDS]
  saltmoor change status (--operators=FILE | --cluster=NAME --control=ADDR...) [--at=ADDR]
  saltmoor replica show --cluster=NAME PEER
  saltmoor replica diff --cluster=NAME PEER OTHER
  saltmoor replica say --cluster=NAME PEER WORD VALUE
  saltmoor version
  saltmoor lab ...
  saltmoor (-h | --help)

Commands:
  serve         run one node in the foreground; SIGTERM ends it once all that it took is answered, SIGHUP has
                it read its configuration again
  check-config  read the configuration, name what is faulty, print what a node would make of it
  ping          ask the node at HOST:PORT whether it serves
  snapshot      show what a node would remember, or only whether the file is whole
  peers         show whom the node at that peer address holds to be there
  duties        show what that node does for all, by which number and until when
  control       run one of the machines that hold the log of changes for all nodes; SIGTERM ends it
  change        purge a key or a set of keys, or put a version of the configuration in force, at all nodes; exit 0
                once a majority of the control machines holds it, 1 where it is not done or not known to be. status:
                who leads, and who is how far behind
  replica       show what it shares with the others, where two differ, or give all a word (empty|NODE true)
  version       print the version
  lab           stand-in servers, load and experiments; see saltmoor lab --help

Options:
  --config=FILE      the configuration, JSON; otherwise ROUTER_CONFIG names it
  --operators=FILE   what operators switch on beside it, TOML; otherwise ROUTER_OPERATORS names it
  --cluster=NAME     what the operators' file calls the nodes' cluster
  --control=ADDR     a control machine, HOST:PORT, in place of the operators' file; once for each of them
  --at=ADDR          ask that node, by its changes.listen, in place of the control machines
  --id=ID            ask again for what an earlier call printed under this id: it is one change
  --timeout=SECONDS  how long to wait for an answer [default: 2]
  --within=SECONDS   how long a change is tried, while there is no leader as well [default: 6]
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


def serve(given: config.Config, path: str | None, ours: str | None) -> int:
    import uvloop

    from saltmoor.net.lifecycle import serve as run

    try:
        uvloop.run(run(given, lambda over=None: config.load(path, os.environ, ours, over)))
    except OSError as error:
        print(f"saltmoor: cannot serve: {error}", file=sys.stderr)
        return 1
    return 0


def check(given: config.Config) -> int:
    host, port = given.listen
    print(f"{given.name}: would listen on {host}:{port}")
    print(f"profiles: {', '.join(given.names.profiles)}; tenants: {', '.join(given.names.tenants) or 'none'}")
    print(
        f"cache servers known: {len(given.known)}; discovery: "
        f"{'%s:%d' % given.discovery if given.discovery else 'none'}"
    )
    print(
        f"caps: {given.caps.connections} connections, {given.caps.clients} of them from clients; "
        f"{given.caps.txs} transactions at once"
    )
    return 0


def snapshot(path: str, show: bool) -> int:
    import json
    from pathlib import Path

    from saltmoor.state import file, kinds

    try:
        data = file.read(Path(path), 64 << 20)
        if data is None:
            raise file.Unfit("there is none")
        found = file.decode(data)
    except file.Unfit as error:
        print(f"saltmoor: {path}: {error}", file=sys.stderr)
        return 1
    age = file.age(found["clock"], file.clocks())
    said = "of unknown age" if age is None else f"{age / 1e6:.1f} s old"
    print(f"{path}: of node {found['node']}, {said}, {len(data)} bytes, {len(found['kinds']['servers'])} servers")
    for name, kind in kinds.KINDS.items() if show else ():
        until = f"until {kind.until / 1e6:g} s" if kind.until else "at any age"
        print(f"  {name:10} {'counts' if kinds.counts(name, age) else 'too old':8} {until:14} {kind.errs}")
    if show:
        print(json.dumps(found["kinds"], indent=1))
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


def among(said: dict) -> int:
    import json

    from saltmoor.peers import ask

    cluster, peer, other = said["--cluster"], said["PEER"], said["OTHER"]
    try:
        if said["peers"]:
            lines = ask.members(ask.ask(peer, cluster, "show", "members"))
        elif said["duties"]:
            lines = ask.duties(ask.ask(peer, cluster, "show", "duties"))
        elif said["say"]:
            try:
                value = json.loads(said["VALUE"])
            except ValueError:
                value = said["VALUE"]
            answer = ask.ask(peer, cluster, "say", [said["WORD"], value])
            if "fault" in answer:
                raise ask.Unanswered(f"WORD: {answer['fault']}")
            lines = [f"said with stamp {answer['stamp']}"]
        else:
            shown = [ask.ask(one, cluster, "show", "items") for one in (peer, other) if one]
            lines = ask.diff(*shown, (peer, other)) if said["diff"] else ask.items(shown[0])
    except ask.Unanswered as error:
        print(f"saltmoor: {error}", file=sys.stderr)
        return 1
    print("\n".join(lines) or "they agree" if said["diff"] else "\n".join(lines))
    return int(said["diff"] and bool(lines))


def control(path: str) -> int:
    given = config.operators(path)[3]
    if given is None or not given.me:
        raise config.Faulty("changes.me: must say which of changes.control this machine is")
    import uvloop

    from saltmoor.net.control import control as run

    try:
        uvloop.run(run(given))
    except OSError as error:
        print(f"saltmoor: cannot run: {error}", file=sys.stderr)
        return 1
    return 0


def change(said: dict) -> int:
    if said["--operators"]:
        given = config.operators(said["--operators"])[3]
        if given is None:
            raise config.Faulty("changes: is no table of the operators' file")
        machines, cluster = list(given.control), given.cluster
    else:
        machines = list(config.members_of_control(config.Operators({"control": said["--control"]}, "--")))
        cluster = said["--cluster"]
    from saltmoor.net import tool

    code, lines = tool.changed(said, machines, cluster)
    print("\n".join(lines), file=sys.stderr if code and not said["status"] else sys.stdout)
    return code


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
    if said["snapshot"]:
        return snapshot(said["FILE"], said["show"])
    if said["peers"] or said["replica"] or said["duties"]:
        return among(said)
    if said["control"] or said["change"]:
        try:
            return control(said["--operators"]) if said["control"] else change(said)
        except config.Faulty as error:
            print(f"saltmoor: {error}", file=sys.stderr)
            return 2
    if said["ping"]:
        return ping(said["ADDRESS"], said["--timeout"])
    try:
        given = config.load(said["--config"], os.environ, said["--operators"])
    except config.Faulty as error:
        print(f"saltmoor: {error}", file=sys.stderr)
        return 2
    return serve(given, said["--config"], said["--operators"]) if said["serve"] else check(given)


if __name__ == "__main__":
    sys.exit(main())
