"""Owns the HTTP text spoken beside the main protocol: requests and responses to bytes and back, by httptools.

Knows no socket, no server and no meaning of a status; bodies past a stated length are refused, not kept, and
nothing that comes behind a response is ever taken for a part of it.
"""

from __future__ import annotations

from collections.abc import Callable

import httptools

INTERIM = 8  # 1xx responses ahead of the one that counts
HEADERS = 64  # of one response, trailers included
LONGEST_FRAMING = 16_384  # bytes that are no body, in a row: of heads, interim ones included, chunk lines and trailers


class Garbled(Exception):
    """This is no HTTP response that can be read."""


class TooLong(Garbled):
    """More than was to come."""


class Response:
    """One response as it comes in; a streamed body goes to `each` and is not kept."""

    def __init__(self, longest: int, each: Callable[[bytes], None] | None = None, held: int = 0) -> None:
        """`held`: a body that says a greater length is `large`: what has come of it is taken out of `body`."""
        self.longest, self.each, self.held, self.large, self.length = longest, each, held, False, 0
        self.parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)  # none once it is closed
        self.headers: dict[str, str] = {}
        self.body, self.status, self.whole, self.clean, self.interim = bytearray(), 0, False, False, 0
        self.fault, self.to_end = "", False
        self.framing = 0  # bytes since the last ones of a body: what the parser and the headers hold is no more

    def feed(self, data: bytes) -> bool:
        """True once the response is whole; Garbled where it can't be read, or goes on too long with no body."""
        self.framing += len(data)
        try:
            if not self.whole:
                self.parser.feed_data(data)
            else:
                self.clean = False
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # Guards against losing a good answer for the noise behind it: that spoils the connection alone.
            if not self.whole:
                raise Garbled(self.fault or str(error)) from None
            self.clean = False
        if self.whole:
            self.close()
        elif self.framing > LONGEST_FRAMING:
            raise Garbled("a head, a chunk line or trailers without end")
        return self.whole

    def close(self) -> None:
        """Nothing more is read of it.

        Guards against responses that are never freed by themselves: the parser has its methods, and so it has itself.
        """
        self.parser = None

    def refuse(self, fault: str) -> None:
        self.fault = fault
        raise Garbled(fault)

    def ended(self) -> bool:
        """The connection has ended, and not by a reset; whether the response is whole by that.

        Guards against good answers lost whose length nobody said: their end is that of the connection.
        """
        self.whole = self.whole or self.to_end and len(self.body) > 0
        return self.whole

    # The parser's calls. It reads on behind the response in the same bytes: guards against a second copy
    # whose body would be added to the first one's.

    def on_message_begin(self) -> None:
        self.clean = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole:
            return
        if len(self.headers) >= HEADERS:
            self.refuse("too many headers")
        # Guards against a good answer refused for the white space that may stand round a value.
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_headers_complete(self) -> None:
        if self.whole:
            return
        self.status = self.parser.get_status_code()
        length = self.headers.get("content-length", "0")
        if not length.isdecimal() or int(length) > self.longest:
            self.refuse("body too long")
        self.length = int(length)
        self.to_end = not {"content-length", "transfer-encoding"} & self.headers.keys() and self.status == 200
        self.large = self.held < self.length and self.status == 200 and not self.each and bool(self.held)

    def on_body(self, data: bytes) -> None:
        if self.whole:
            return
        self.framing = 0
        if self.each and self.status == 200:
            self.each(data)
            return
        self.body += data
        if len(self.body) > self.longest:
            self.refuse("body too long")

    def on_message_complete(self) -> None:
        if self.whole:
            return
        if self.status < 200:  # guards against taking `103 Early Hints` for the answer
            self.headers, self.interim, self.large = {}, self.interim + 1, False
            if self.interim > INTERIM:
                self.refuse("too many interim responses")
            return
        self.whole, self.clean = True, self.parser.should_keep_alive()


class Request:
    """One request as it comes in; its body, if it has one, is read past."""

    def __init__(self, longest: int) -> None:
        self.left, self.parser = longest, httptools.HttpRequestParser(self)
        self.target, self.method, self.whole = b"", "", False

    def feed(self, data: bytes) -> bool:
        """True once the request is whole; TooLong past its bound."""
        self.left -= len(data)
        try:
            if not self.whole:
                self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request was whole; what it would change over to is not spoken here
        except httptools.HttpParserError as error:
            if not self.whole:  # what comes behind a whole one does not matter
                raise Garbled(str(error)) from None
        if self.left < 0 and not self.whole:
            raise TooLong("the request is too long")
        return self.whole

    def on_url(self, url: bytes) -> None:
        if not self.whole:
            self.target += url

    def on_message_complete(self) -> None:
        if not self.whole:
            self.method, self.whole = self.parser.get_method().decode("latin-1"), True


def response(status: int, reason: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers.items())]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def request(method: str, path: str, host: str, headers: dict[str, str], length: int | None = None) -> bytes:
    """A request's head; `length`: of the body that follows."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")
