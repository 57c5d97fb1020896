"""Owns what the contents of the kinds mean that this build knows, checked before they go into the log.

`epoch` and `generation` are the log's own: a leader begins with one. `config`: one version of one name. `purge`: a key
or a set of keys. Later kinds are kept, numbered and passed on by builds that do not know them. No I/O, no clock.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

EPOCH, GENERATION, CONFIG, PURGE = "epoch", "generation", "config", "purge"
OWN = {EPOCH, GENERATION}


class Config(msgspec.Struct, array_like=True, frozen=True):
    """`before`: the version that it replaces, 0: there is none; the log takes it only then."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    version: Annotated[int, Meta(ge=1, lt=1 << 62)]
    before: Annotated[int, Meta(ge=0, lt=1 << 62)]
    body: bytes


class Purge(msgspec.Struct, array_like=True, frozen=True):
    """`what`: key, prefix (all keys that begin so) or tag."""

    what: str
    value: Annotated[bytes, Meta(min_length=1, max_length=4096)]


FORMS: dict[str, type] = {CONFIG: Config, PURGE: Purge}
READERS = {kind: msgspec.msgpack.Decoder(form) for kind, form in FORMS.items()}
WHATS = {"key", "prefix", "tag"}
encode = msgspec.msgpack.encode


class Unfit(Exception):
    """A content that is not what its kind has; the message says why, in a word or two."""


def read(kind: str, content: bytes) -> Any:
    """The content in its form; None for a kind that this build does not know. Raises `Unfit`."""
    if kind not in FORMS:
        return None
    try:
        value = READERS[kind].decode(content)
    except (msgspec.DecodeError, RecursionError, OverflowError):
        raise Unfit(f"content of {kind}") from None
    if isinstance(value, Purge) and value.what not in WHATS:
        raise Unfit("what to purge")
    if isinstance(value, Config) and value.version <= value.before:
        raise Unfit("version not above the one before")
    return value
