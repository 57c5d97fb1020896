"""Owns the form of what control machines, relays and nodes say to each other about the log of changes, and its bounds.

A frame is that of peers/frames.py, its word one of `WORDS`. What is cut, altered, out of range or out of order raises
`Strange` with a short reason to count it by, before anything in it is believed. It must never touch a socket or a clock.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from saltmoor.duties.lease import Ask, Vote
from saltmoor.peers import frames
from saltmoor.peers.frames import Speaker, Strange

CONTENT = 64 << 10  # bytes of one change
BATCH = 64 << 10  # bytes of the entries of one message, so that it is done with soon; one entry may be larger alone
STATE = 640 << 10  # bytes of the state at an offset: the latest versions of all names of the configuration
WEIGHT = 384  # bytes that an entry takes in memory beside its content; on the wire a quarter of that
MOST = 512  # entries of one message

Number = Annotated[int, Meta(ge=0, lt=1 << 62)]  # offsets, epochs, generations, beats, lives
Id = Annotated[str, Meta(min_length=1, max_length=64)]
Kind = Annotated[str, Meta(min_length=1, max_length=32)]
Content = Annotated[bytes, Meta(max_length=CONTENT)]
Why = Annotated[str, Meta(max_length=128)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One change at its place in the log. `wall`: the writer's wall clock, microseconds, never compared."""

    offset: Number
    epoch: Number
    id: Id
    kind: Kind
    content: Content
    wall: int = 0

    @property
    def weight(self) -> int:
        return WEIGHT + len(self.content)


Entries = Annotated[list[Entry], Meta(max_length=MOST)]
Lives = Annotated[list[Number], Meta(max_length=64)]


# Between control machines, beside the lease's Ask and Vote.


class Fence(msgspec.Struct, array_like=True, frozen=True):
    """A new leader's word: follow no smaller epoch and say what you hold (`fence`), or hand it over (`fetch`).

    `life`: which run of the leader's process. `lives`: of all voters in the order of their names, as far as it knows.
    `offset`, `before`: of fetch, from behind that entry and its epoch.
    """

    epoch: Number
    life: Number
    step: str
    lives: Lives
    offset: Number = 0
    before: Number = 0


class Held(msgspec.Struct, array_like=True, frozen=True):
    """The answer. `promised`: the largest epoch; `blank`: it lost its memory and counts nowhere; `life`: its own run."""

    epoch: Number
    step: str
    yes: bool
    promised: Number
    blank: bool
    life: Number
    lives: Lives
    last: Number = 0
    last_epoch: Number = 0
    beat: Number = 0
    floor: State | None = None  # of fetch: what lies before the entries, where they begin later than asked
    entries: Entries = []


class Recover(msgspec.Struct, array_like=True, frozen=True):
    """A machine says which life it is in, and, if it has no memory, asks what the others have promised."""

    life: Number


class Standing(msgspec.Struct, array_like=True, frozen=True):
    """The answer. `life`: the one that was said."""

    life: Number
    promised: Number
    blank: bool
    lives: Lives


class Fill(msgspec.Struct, array_like=True, frozen=True):
    """An established leader lays the ground for a machine that has nothing, or too old a log; entries follow.

    `to_life`: the run it is meant for; `by_all`: its epoch stands on all voters, that run among them; `target`: whole
    with that offset.
    """

    epoch: Number
    life: Number
    to_life: Number
    by_all: bool
    floor: State
    target: Number


class Replicate(msgspec.Struct, array_like=True, frozen=True):
    """Entries behind `offset`, whose epoch was `before`. `beat`: to be echoed; `confirmed`: one that a majority has.
    `generation`: of what is committed."""

    epoch: Number
    life: Number
    offset: Number
    before: Number
    entries: Entries
    committed: Number
    generation: Number
    beat: Number
    confirmed: Number


class Replicated(msgspec.Struct, array_like=True, frozen=True):
    """`last`: with `yes` the copy is the leader's up to there; without, the leader may go on from there."""

    yes: bool
    promised: Number
    blank: bool
    life: Number
    last: Number
    beat: Number


# Clients of the log.


class Append(msgspec.Struct, array_like=True, frozen=True):
    """A change to be put at the log's end, once for each `id`.

    `generation`, `seen`: where the log was, as far as the client knew, when it made the id: what the log has forgotten
    since then cannot hold it. `wait`: microseconds until an answer is wanted.
    """

    id: Id
    kind: Kind
    content: Content
    generation: Number
    seen: Number
    wait: Number = 1_000_000


class Appended(msgspec.Struct, array_like=True, frozen=True):
    """`how`: done (a majority holds it at `offset`), refused (it is not in the log by this ask), or unknown (ask again,
    with the same id). `leader`: who else to ask, where known. `generation`, `seen`: for the next id."""

    id: Id
    how: str
    offset: Number = 0
    why: Why = ""
    leader: Annotated[str, Meta(max_length=64)] = ""
    generation: Number = 0
    seen: Number = 0


# Streams.


class Subscribe(msgspec.Struct, array_like=True, frozen=True):
    """Send what comes behind `offset` of that generation; 0, 0: it has nothing."""

    generation: Number
    offset: Number
    name: Id
    site: Annotated[str, Meta(max_length=64)] = ""


class Batch(msgspec.Struct, array_like=True, frozen=True):
    """Committed entries without gaps. Who has all up to `committed` knows what was so at `beat`."""

    generation: Number
    entries: Entries
    committed: Number
    beat: Number


class State(msgspec.Struct, array_like=True, frozen=True):
    """All that the log means at an offset: the latest entry of each name of the configuration. Purges before it are not
    told one by one: whoever takes it holds nothing that it had before for fresh. `epoch`: of the entry there."""

    generation: Number
    offset: Number
    epoch: Number
    state: Entries


class Refuse(msgspec.Struct, array_like=True, frozen=True):
    why: Why
    retry_us: Number


FENCES = {"fence", "fetch"}
ANSWERS = {"done", "refused", "unknown"}
WORDS: dict[str, type] = {
    "log.ask": Ask,
    "log.vote": Vote,
    "log.fence": Fence,
    "log.held": Held,
    "log.recover": Recover,
    "log.standing": Standing,
    "log.fill": Fill,
    "log.replicate": Replicate,
    "log.replicated": Replicated,
    "log.append": Append,
    "log.appended": Appended,
    "log.subscribe": Subscribe,
    "log.batch": Batch,
    "log.state": State,
    "log.refuse": Refuse,
}
NAMES = {form: word for word, form in WORDS.items()}


def encode(cluster: str, speaker: Speaker, message: Any) -> bytes:
    """One frame; what carries it says how long it is."""
    return frames.encode(cluster, speaker, NAMES[type(message)], message)


def decode(data: bytes, cluster: str) -> tuple[Speaker, Any]:
    """Who says it, and what. Raises `Strange` for all that is not as it should be; nothing else."""
    if len(data) > frames.BULK:
        raise Strange("too long")
    frame = frames.decode(data, cluster)
    form = WORDS.get(frame.message_type)
    if form is None:
        raise Strange("word")
    try:
        message = frames.reader(form).decode(frame.content)
    except msgspec.ValidationError:
        raise Strange("out of range") from None
    except (msgspec.DecodeError, RecursionError, OverflowError):
        raise Strange("cut") from None
    check(message)
    return frame.speaker, message


def check(message: Any) -> None:
    """What bounds of single fields do not say."""
    match message:
        case Batch() | Replicate() | Held():
            entries = message.entries
            if any(later.offset != one.offset + 1 for one, later in zip(entries, entries[1:])):
                raise Strange("gap")
            if any(later.epoch < one.epoch for one, later in zip(entries, entries[1:])):
                raise Strange("epochs fall")
    match message:
        case Replicate(entries=[first, *_], offset=offset) if first.offset != offset + 1:
            raise Strange("gap")
        case Batch(entries=[*_, last], committed=committed) if last.offset > committed:
            raise Strange("not committed")
        case Fence(step=step) | Held(step=step) if step not in FENCES:
            raise Strange("step")
        case Appended(how=how) if how not in ANSWERS:
            raise Strange("answer")
        case Ask(number=number, lease=lease) if not (0 <= number < 1 << 62 and 0 <= lease < 1 << 40):
            raise Strange("out of range")
        case Vote(number=number, seen=seen, left=left) if not (
            0 <= number < 1 << 62 and 0 <= seen < 1 << 62 and 0 <= left < 1 << 40
        ):
            raise Strange("out of range")
