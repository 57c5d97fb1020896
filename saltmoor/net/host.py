"""Owns what a running node lets the parts beside its serving see of it: the shared state and the log of changes.

Those parts know this interface and not `lifecycle`, which makes them. It must never hold state or do anything itself.
"""

from __future__ import annotations

from typing import Any, Protocol

from saltmoor import config
from saltmoor.facade import Facade
from saltmoor.model import Micros
from saltmoor.net.discovery import Discovery
from saltmoor.net.log import Log
from saltmoor.net.upstream import Upstream


class StartTimes(Protocol):
    """When servers started, as told and on the node's own clock."""

    def own(self, lines: list[config.Line], whole: bool) -> list[config.Line]: ...

    def told(self, server: str, own: Micros) -> Micros: ...


class LeaseHolder(Protocol):
    """Whoever has granted leases to fetch keys, which a purge makes void."""

    def purged(self, key: int) -> None: ...

    def leased(self) -> list[int]: ...


class ReadConfig(Protocol):
    """Reads the node's configuration; `over` stands above its file."""

    def __call__(self, over: Any = None) -> config.Config: ...


class Host(Protocol):
    """One running node."""

    given: config.Config
    read: ReadConfig
    log: Log
    door: Facade
    discovery: Discovery | None
    upstream: Upstream
    starts: StartTimes
    sharing: LeaseHolder | None

    def source(self) -> str:
        """Where its list of cache servers comes from; empty where it follows none."""

    def lines(self) -> list[dict[str, Any]]:
        """The list as it is followed, in discovery's form."""

    def say_lame(self, on: bool) -> tuple[bool, str]:
        """Begin or end a drain; whether it could, and the state in words."""

    def unfit(self, given: config.Config) -> str:
        """Why it can't change over to that configuration; empty where it can."""

    def reload(self) -> None:
        """Read the configuration again and change over."""
