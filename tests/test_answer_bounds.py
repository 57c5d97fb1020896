"""What a node holds of an answer that does not end is bounded in bytes, whichever part of it goes on.

Guards against a node over its limit of memory behind servers whose answers are spoilt (review/7).
"""

from __future__ import annotations

import tracemalloc
import unittest
from itertools import chain, count, repeat

from saltmoor.config import BUFFER
from saltmoor.net import http, meta
from saltmoor.net.origin import OriginReply

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# Each begins an answer, and goes on for ever with numbered pieces.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"a%d"),
    "header name": (OK + b"X-", b"a%d"),
    "header value": (OK + b"X-Note: ", b"a%d"),
    "white space before a value": (OK + b"X-Note:", b" "),
    "headers of new names": (OK, b"X-%d: a\r\n"),
    "headers of one name": (OK, b"X-Note: %d\r\n"),
    "folded header": (OK + b"X-Note: a", b"\r\n a%d"),
    "interim heads": (b"", b"HTTP/1.1 103 Early Hints\r\nX-%d: a\r\n\r\n"),
    "header of an interim head": (b"HTTP/1.1 103 Early Hints\r\nX-Note: ", b"a%d"),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;a=", b"a%d"),
    "trailer value": (CHUNKED + b"1\r\na\r\n0\r\nX-Note: ", b"a%d"),
    "trailers of new names": (CHUNKED + b"1\r\na\r\n0\r\n", b"X-%d: a\r\n"),
    "trailers of one name": (CHUNKED + b"1\r\na\r\n0\r\n", b"X-Note: %d\r\n"),
    "empty lines": (b"", b"\r\n"),
}
MOST_HELD = 5 * (http.LONGEST_FRAMING + BUFFER)  # bytes, with the parser's copies


def pieces(begin: bytes, each: bytes, size: int):
    """The bytes of an answer that does not end, as reads of that size bring them."""
    held = bytearray()
    numbered = (each % i for i in count()) if b"%d" in each else repeat(each)
    for part in chain([begin], numbered):
        held += part
        while len(held) >= size:
            yield bytes(held[:size])
            del held[:size]


class Endless(unittest.TestCase):
    def fed(self, reply, parts, most: int) -> int:
        """Bytes that were fed until it was refused; fails where as many as `most` were taken, or too many are held."""
        given = 0
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for part in parts:
            given += len(part)
            try:
                self.assertFalse(reply.feed(part))
            except (http.Garbled, meta.FramingLost):
                break
            held = tracemalloc.get_traced_memory()[0] - before
            self.assertLess(held, MOST_HELD)
            self.assertLess(given, most)
        tracemalloc.stop()
        return given

    def test_an_answer_over_http(self):
        for name, (begin, each) in ENDLESS.items():
            for size in (BUFFER, 1000):
                with self.subTest(name, read=size):
                    self.fed(OriginReply(), pieces(begin, each, size), http.LONGEST_FRAMING + 2 * BUFFER)

    def test_an_answer_to_a_probe(self):
        for each in b"STAT x%d 1\r\n", b"STAT queue %d\r\n", b"a%d":
            with self.subTest(each):
                self.fed(meta.ProbeReply(), pieces(b"", each, BUFFER), meta.LONGEST_REPORT + 2 * BUFFER)

    def test_a_cache_servers_line(self):
        command = meta.parse(b"mg k v O1 Pc=read,d=900")
        for begin, each in (b"VA 1 O1 ", b"h%d"), (b"VA 1 O1", b" La%d=1"), (b"", b"a%d"), (b"VA ", b"1"):
            with self.subTest(begin):
                self.fed(meta.HopReply(command), pieces(begin, each, BUFFER), 2 * BUFFER)


class Whole(unittest.TestCase):
    """Guards against bounds that refuse what is sound."""

    def test_long_heads_and_trailers(self):
        notes = b"".join(b"X-%d: %b\r\n" % (i, b"a" * 230) for i in range(60))
        hints = b"HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n" * http.INTERIM
        for answer in (
            hints + OK + notes + b"Content-Length: 4\r\n\r\nmade",
            CHUNKED + b"4;a=b\r\nmade\r\n0\r\n" + notes + b"\r\n",
        ):
            for size in (BUFFER, 1000, 7):
                reply = OriginReply()
                ends = [reply.feed(answer[at : at + size]) for at in range(0, len(answer), size)]
                with self.subTest(read=size):
                    self.assertEqual((ends[-1], any(ends[:-1])), (True, False))
                    self.assertEqual(reply.reply.body, b"made")

    def test_a_long_value_in_small_chunks(self):
        reply, value = OriginReply(), b"a" * 60_000
        answer = CHUNKED + b"".join(b"1\r\n%c\r\n" % byte for byte in value) + b"0\r\n\r\n"
        for at in range(0, len(answer), BUFFER):
            whole = reply.feed(answer[at : at + BUFFER])
        self.assertTrue(whole)
        self.assertEqual(reply.reply.body, value)

    def test_a_long_report(self):
        reply = meta.ProbeReply()
        self.assertTrue(reply.feed(b"".join(b"STAT x%d 1\r\n" % i for i in range(900)) + b"END\r\n"))
        self.assertEqual(len(reply.reply.load), 900)


if __name__ == "__main__":
    unittest.main()
