"""Owns what is said to the origin and what its answers mean: a transaction becomes an HTTP exchange.

It must never keep a value, and never read a status as 'it did not run' where the origin did not say so.
"""

from __future__ import annotations

from urllib.parse import quote

from saltmoor.config import LONGEST_HELD, LONGEST_VALUE
from saltmoor.model import Ended
from saltmoor.net import http, meta


class OriginReply:
    """Reads the origin's answer to one transaction."""

    nameless = True

    def __init__(self) -> None:
        self.response = http.Response(LONGEST_VALUE, held=LONGEST_HELD)

    def feed(self, data: bytes) -> bool:
        """True once the answer is whole, or a large value has begun."""
        return self.response.feed(data) or self.large

    @property
    def large(self) -> bool:
        return self.response.large and bool(self.response.body)

    @property
    def length(self) -> int:
        return self.response.length

    @property
    def done(self) -> bool:
        return self.response.whole

    def take(self) -> bytes:
        """Of a large value: what may be passed on."""
        piece = bytes(self.response.body)
        self.response.body.clear()
        return piece

    def ended(self) -> bool:
        return self.response.ended()

    def close(self) -> None:
        """Nothing more is read."""
        self.response.close()

    @property
    def gathered(self) -> int:
        """Bytes held of a value whose length nobody said: it cannot be passed on before it is whole."""
        return 0 if self.response.large else len(self.response.body)

    def keep(self) -> bytes:
        body, self.response.body = bytes(self.response.body), bytearray()
        return body

    @property
    def clean(self) -> bool:
        return self.response.clean

    @property
    def reply(self) -> meta.Reply:
        got = self.response
        load = meta.figures(got.headers.get("x-server-load", "").encode("latin-1"))
        if got.status == 200:
            return meta.Reply(
                Ended.COMMITTED, b"" if got.large or len(got.body) > LONGEST_HELD else bytes(got.body), load=load
            )
        not_run = got.status in (503, 504) and got.headers.get("x-not-processed") == "1"
        return meta.Reply(Ended.FULL if not_run else Ended.ERROR, load=load)


def hop_bytes(command: meta.Command, host: str, wait_ms: int) -> list[bytes]:
    """The command as it goes on to the origin; guards against fetches that it goes on with when nobody waits any more."""
    headers = {"X-Request-ID": command.id.decode("latin-1"), "X-Attrs": meta.listed(command, wait_ms).decode("latin-1")}
    path = "/" + quote(command.key, safe="")
    if command.write:
        before = http.request("PUT", path, host, headers, len(command.value))
        return meta.value_parts(before, command.value, b"")
    return [http.request("GET", path, host, headers)]
