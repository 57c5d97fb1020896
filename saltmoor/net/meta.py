"""Owns the text of the meta commands: bytes to requests and replies, and back. Knows no socket.

It must never wait, choose, or change a command beyond the time it says the node will wait; what it cannot
frame it says so, and the connection ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import isfinite
from typing import TYPE_CHECKING

from saltmoor.config import LONGEST_HELD, LONGEST_VALUE
from saltmoor.model import Ended

if TYPE_CHECKING:
    from saltmoor.net.flow import Flow

LONGEST_LINE, LONGEST_KEY, LONGEST_ID = 2048, 250, 32
SWALLOW = LONGEST_VALUE + (1 << 20)  # a value too long for us, but short enough to read past
LONGEST_REPORT = 16_384  # bytes of an answer to a probe
UNPAID = 4096  # a value up to this length is gathered without asking for memory
PRINTABLE = bytes(range(33, 127))
BEYOND = bytes(range(128, 256))  # not ASCII
READ = b"c", b"t", b"d", b"r"  # the names that a node reads, of those that a command lists
NAMED = b"c", b"t"  # profile and tenant: names of the settings, in any letters
NOTES = {(b"h1", False): 1, (b"h0", False): 2, (b"h0", True): 3}


class FramingLost(Exception):
    """Where the next command begins can no longer be told."""


class Splitter:
    """Cuts a stream of bytes into lines and counted blocks."""

    def __init__(self) -> None:
        self.held, self.searched = bytearray(), 0

    def line(self) -> bytes | None:
        end = self.held.find(b"\n", self.searched)
        if end < 0 and len(self.held) <= LONGEST_LINE:
            self.searched = len(self.held)
            return None
        if end < 0 or end > LONGEST_LINE:
            raise FramingLost("line too long")
        line = bytes(self.held[:end]).removesuffix(b"\r")
        del self.held[: end + 1]
        self.searched = 0
        return line

    def block(self, length: int) -> bytes | None:
        """A block of that length and the line's end after it."""
        if len(self.held) < length + 2:
            return None
        if self.held[length : length + 2] != b"\r\n":
            raise FramingLost("bad data chunk")
        block = bytes(self.held[:length])
        del self.held[: length + 2]
        self.searched = 0
        return block


@dataclass(slots=True)
class Command:
    """What a client sent: a transaction (`mg`, `ms`), another verb, or a fault to be told."""

    verb: bytes
    key: bytes = b""
    id: bytes = b""
    before: bytes = b""  # the line up to its names and values,
    listed: bytes = b""  # these, as they came,
    behind: bytes = b""  # and the rest of it
    attrs: dict[bytes, bytes] = field(default_factory=dict)  # of the names that a node reads
    length: bytes = b""  # of a write: what the line says of its value's
    value: bytes | bytearray = b""
    paid: int = 0  # bytes of the node's memory for values that it holds
    refused: bool = False  # its value was read past, as there was no memory for it in time
    fault: str = ""

    @property
    def write(self) -> bool:
        return self.verb == b"ms"


def parse(line: bytes) -> Command:
    """The command of a line. What is kept of it is a few times as long as the line, however many words it has."""
    words = line.split()
    verb = words[0] if words else b""
    if verb not in (b"mg", b"ms"):
        return Command(verb)
    command = Command(verb, words[1] if len(words) > 1 else b"")
    if command.write and len(words) > 2:
        command.length = words[2]
    bare = line.translate(None, PRINTABLE + b" " + BEYOND)
    command.fault = "bad key or line" if bare else understand(command, words)
    return command


def understand(command: Command, words: list[bytes]) -> str:
    """Take the flags apart; what is wrong with the command, if anything.

    Guards against passing on what no server can use: it would be refused at one after the other, and what was
    learnt of their health with it.
    """
    first = 3 if command.write else 2
    flags = words[first:]
    if not 0 < len(command.key) <= LONGEST_KEY:
        return "bad key or line"
    for place, flag in enumerate(flags, first):
        if flag[:1] == b"O" and not command.id:
            command.id = flag[1:]
        elif flag[:1] == b"P" and not command.listed:
            command.listed = flag[1:]
            command.before, command.behind = b" ".join(words[:place]), b" ".join(words[place + 1 :])
        elif flag != b"v" or command.write:
            return "flag not known, or twice"
    if not command.id or not command.listed or len(command.id) > LONGEST_ID:
        return "O and P are needed"
    pairs = [pair.partition(b"=") for pair in command.listed.split(b",")]
    names = {name for name, _, _ in pairs}
    command.attrs = {name: value for name, _, value in pairs if name in READ}
    # Guards against refusing a whole deployment whose profiles or tenants are not named in ASCII: names may be so,
    # nothing else.
    named = sum(len(name) - len(name.translate(None, BEYOND)) for name in map(command.attrs.get, NAMED) if name)
    if named < sum([len(word) - len(word.translate(None, BEYOND)) for word in words]):
        return "bad key or line"
    wait = command.attrs.get(b"d")
    if len(names) < len(pairs):
        return "a name twice"
    if wait is not None and not (wait.isdigit() and len(wait) < 10):
        return "bad wait"
    if not command.write and (b"v" not in flags or b"k" in names):
        return "a read has v and no key of a write"
    return ""


class Commands:
    """A client's commands out of what its connection brings, however it is cut."""

    def __init__(self) -> None:
        self.splitter, self.waiting, self.length, self.skip = Splitter(), None, 0, 0
        self.gathering, self.filled = False, 0  # a large value: its bytes go where they stay
        self.wants = 0  # memory that has to be had before more is read

    @property
    def partial(self) -> bool:
        return bool(self.splitter.held or self.waiting or self.skip)

    def feed(self, data: bytes) -> None:
        self.splitter.held += data

    def paid(self) -> None:
        """The memory that it wants is there."""
        self.waiting.paid, self.wants = self.wants, 0
        self.waiting.value, self.gathering, self.filled = bytearray(self.length), True, 0

    @property
    def block_length(self) -> int:
        """Bytes of the value that the unfinished command has, the line's end behind it included."""
        return self.length + 2

    @property
    def missing(self) -> int:
        """Bytes of the unfinished command's value that have not come; 0 where it has none."""
        if not self.waiting:
            return 0
        return self.skip or self.block_length - self.filled - len(self.splitter.held)

    def read_past(self) -> None:
        """The memory that it wants is not there in time: the value is dropped as it comes."""
        self.waiting.refused, self.wants = True, 0
        self.skip = self.block_length

    def gather(self) -> bool:
        """Move what has come into the large value; whether it is whole, its line's end included."""
        held, command = self.splitter.held, self.waiting
        piece = min(len(held), self.length - self.filled)
        if piece:
            with memoryview(held) as view:
                command.value[self.filled : self.filled + piece] = view[:piece]
            del held[:piece]
            self.filled += piece
        if self.filled < self.length or len(held) < 2:
            return False
        if held[:2] != b"\r\n":
            raise FramingLost("bad data chunk")
        del held[:2]
        self.splitter.searched, self.gathering = 0, False
        return True

    def next(self) -> Command | None:
        while True:
            if self.skip:
                passed = min(self.skip, len(self.splitter.held))
                del self.splitter.held[:passed]
                self.skip -= passed
                if self.skip:
                    return None
                command, self.waiting = self.waiting, None
                return command
            if self.wants:
                return None
            if self.gathering:
                if not self.gather():
                    return None
                command, self.waiting = self.waiting, None
                return command
            if self.waiting:
                if (value := self.splitter.block(self.length)) is None:
                    return None
                command, self.waiting = self.waiting, None
                command.value = value
                return command
            if (line := self.splitter.line()) is None:
                return None
            command = parse(line)
            if not command.write:
                return command
            length = command.length
            if not length.isdigit() or len(length) > 12 or int(length) > SWALLOW:
                raise FramingLost("bad data length")
            self.length = int(length)
            self.waiting = command
            if self.length > LONGEST_VALUE:
                command.fault = "value too long"
            if command.fault:
                self.skip = self.block_length
            elif self.length > UNPAID:
                self.wants = self.length

    def rest(self) -> Iterator[Command]:
        """The commands that have come whole, where no memory is asked for any more: large values are dropped.

        For commands that were read and won't be served: each is owed an answer. Raises FramingLost.
        """
        while True:
            if self.wants:
                self.read_past()
            if (command := self.next()) is not None:
                yield command
            elif not self.wants:
                return


@dataclass(slots=True)
class Reply:
    """How a server answered: the outcome, and what was made for this transaction or probe."""

    ended: Ended
    body: bytes = b""
    note: int = 0
    load: dict[str, float] = field(default_factory=dict)
    flow: Flow | None = None  # what is passed on in pieces, in place of a body


def figures(words: bytes) -> dict[str, float]:
    """A load report: names and values. What is no finite number is left out: it compares with nothing."""
    load = {}
    for pair in words.decode("latin-1").replace(" ", "").split(","):
        name, _, text = pair.partition("=")
        try:
            value = float(text)
        except ValueError:
            continue
        if isfinite(value):
            load[name] = value
    return load


def server_error(words: list[bytes]) -> Ended:
    """What a line that begins with SERVER_ERROR means."""
    return Ended.FULL if words[1:2] == [b"busy"] else Ended.ERROR


class LineReply:
    """What readers of answers share: the bytes held, and whether any came beyond the answer."""

    large, length, done, gathered, nameless = False, 0, False, 0, False

    def ended(self) -> bool:
        """The connection has ended: there is no answer whose end that could be."""
        return False

    def close(self) -> None:
        """Nothing more is read."""

    def __init__(self) -> None:
        self.splitter = Splitter()

    @property
    def clean(self) -> bool:
        return not self.splitter.held


class HopReply(LineReply):
    """Reads a cache server's answer to one command."""

    def __init__(self, command: Command) -> None:
        super().__init__()
        self.command, self.length = command, -1
        self.reply: Reply | None = None
        self.large, self.passed, self.done = False, 0, False

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole, or large and begun; FramingLost where it is none to this command."""
        self.splitter.held += data
        if self.large:
            return True
        if self.length < 0:
            if (line := self.splitter.line()) is None:
                return False
            self.first(line.split())
        if self.length > LONGEST_HELD:
            self.large = bool(self.splitter.held)
            return self.large
        if self.length >= 0:
            if (value := self.splitter.block(self.length)) is None:
                return False
            self.reply.body = value
        return True

    def take(self) -> bytes:
        """Of a large value: what may be passed on. The last byte only once the line's end behind it has come."""
        held, left = self.splitter.held, self.length - self.passed
        if left and len(held) >= left + 2:
            if held[left : left + 2] != b"\r\n":
                raise FramingLost("bad data chunk")
            size, self.done = left, True
        else:
            size = max(0, min(len(held), left - 1))
        piece = bytes(memoryview(held)[:size])
        del held[: size + 2 * self.done * bool(size)]
        self.passed += size
        return piece

    def first(self, words: list[bytes]) -> None:
        kind = words[0] if words else b""
        if kind == b"SERVER_ERROR":
            self.reply, self.nameless = Reply(server_error(words)), True
        elif kind in (b"CLIENT_ERROR", b"ERROR"):
            self.reply = Reply(Ended.MALFORMED, b" ".join(words))
        elif kind in (b"EN", b"HD" if self.command.write else b"VA"):
            flags = words[2 if kind == b"VA" else 1 :]
            if b"O" + self.command.id not in flags:
                raise FramingLost("an answer to something else")
            self.reply = Reply(Ended.MISS if kind == b"EN" else Ended.COMMITTED)
            if kind == b"VA":
                sane = words[1].isdigit() and len(words[1]) < 12
                self.length = int(words[1]) if sane else LONGEST_VALUE + 1
                if self.length > LONGEST_VALUE:
                    raise FramingLost("bad value length")
            for flag in flags:
                if flag[:1] == b"c" and kind == b"HD":
                    self.reply.body = flag[1:]
                elif flag[:1] == b"h":
                    self.reply.note = NOTES.get((flag, b"Z" in flags), 0)
        else:
            raise FramingLost("no answer that we know")
        for word in words:
            if word[:1] == b"L" and b"=" in word:
                self.reply.load = figures(word[1:])


class ProbeReply(LineReply):
    """Reads the answer to `stats load`, or to `mn`."""

    def __init__(self) -> None:
        super().__init__()
        self.reply = Reply(Ended.COMMITTED)
        self.left = LONGEST_REPORT

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole; FramingLost where it is none, or too long."""
        self.left -= len(data)
        self.splitter.held += data
        while (line := self.splitter.line()) is not None:
            words = line.split()
            match words:
                case [b"STAT", name, value]:
                    self.reply.load |= figures(b"%b=%b" % (name, value))
                case [b"END"] | [b"MN"]:
                    return True
                case [b"SERVER_ERROR", *_]:
                    self.reply.ended = server_error(words)
                    return True
                case [b"ERROR"] | [b"CLIENT_ERROR", *_]:
                    self.reply.ended = Ended.UNKNOWN
                    return True
                case _:
                    raise FramingLost("no answer that we know")
        if self.left < 0:
            raise FramingLost("a report without end")
        return False


def listed(command: Command, wait_ms: int) -> bytes:
    """Its names and values as they go on: as they came, but for how long the node will wait."""
    return b",".join(b"d=%d" % wait_ms if pair[:2] == b"d=" else pair for pair in command.listed.split(b","))


def hop_bytes(command: Command, wait_ms: int) -> list[bytes]:
    """The command as it goes on to a cache server."""
    behind = [command.behind] if command.behind else []
    line = b" ".join([command.before, b"P" + listed(command, wait_ms), *behind]) + b"\r\n"
    return value_parts(line, command.value, b"\r\n") if command.write else [line]


def value_parts(before: bytes, value: bytes | bytearray, behind: bytes) -> list[bytes]:
    """What is to be written, in parts: guards against a second copy of a large value."""
    return [before, value, *([behind] if behind else [])] if len(value) > UNPAID else [before + value + behind]


def committed(command: Command, body: bytes) -> bytes:
    if command.write:
        return b"HD O%b c%b\r\n" % (command.id, body)
    return b"%b%b\r\n" % (head(command, len(body)), body)


def head(command: Command, length: int) -> bytes:
    return b"VA %d O%b\r\n" % (length, command.id)


def rolled_back(stay_away_ms: int) -> bytes:
    return b"SERVER_ERROR busy %d\r\n" % stay_away_ms if stay_away_ms else b"SERVER_ERROR busy\r\n"


ABANDONED = b"SERVER_ERROR failed\r\n"
PROBE = {True: b"stats load\r\n", False: b"mn\r\n"}  # whether reports have figures
