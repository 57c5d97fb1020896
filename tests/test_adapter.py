"""The wire: frames made here by hand from the wire's page, and what must be refused."""

import io
import json
import struct
import unittest

from saltmoor.adapter import codec
from saltmoor.adapter.host import Host, serve

INFO = json.dumps(
    {"classes": [{"aim_ns": 10**9, "deadline_ns": 2 * 10**9, "repeat": "idempotent"}], "news": 1}
).encode()
SERVER = bytes([10, 18, 74, 7]) + struct.pack("<H", 11200)


def batch(*records: bytes, clock: int = 5_000_000_999, number: int = 3) -> bytes:
    body = b"".join(records)
    return struct.pack("<IIQI", 20 + len(body), len(records), clock, number) + body


def start() -> list[bytes]:
    line = SERVER + struct.pack("<HBHBfQ", 0, 0, 0, 1, 1.0, 0)
    return [
        struct.pack("<BI", 24, 7),
        struct.pack("<BQI", 26, 1, len(INFO)) + INFO,
        struct.pack("<BIBI", 19, 1, 2, 1) + line,
    ]


class Wire(unittest.TestCase):
    def test_a_transaction_is_placed(self):
        come = struct.pack("<BQHIQQQfH", 25, 42, 0, 0, 9, 6_000_000_999, 0, 0.0, 0)
        reply = Host().batch(batch(*start(), come))
        size, number = struct.unpack_from("<II", reply)
        self.assertEqual((size, number), (len(reply), 3))
        place = struct.pack("<BQ", 16, 42) + SERVER + struct.pack("<Q", 6_000_000_000)
        self.assertIn(place, reply)

    def test_stop_and_start_in_one_batch_and_an_empty_one(self):
        host = Host()
        host.batch(batch(*start()))
        first = host.nodes[7]
        host.batch(batch(struct.pack("<BI", 24, 7), b"\x14", *start()[1:]))
        self.assertIsNot(host.nodes[7], first)
        self.assertEqual(host.batch(batch(number=4)), struct.pack("<II", 8, 4))

    def test_malformed_frames_are_refused(self):
        good = batch(*start())
        for bad in (
            good[:-1],
            batch(struct.pack("<BI", 24, 7), b"\xfe"),
            batch(b"\x14"),
            good[:3],
            good + b"\x00",
            struct.pack("<I", 5) + b"x",
        ):
            with self.subTest(bad=bad[:24]), self.assertRaises(codec.BadFrame):
                serve(io.BytesIO(bad), io.BytesIO())

    def test_an_exception_is_told(self):
        host = Host()
        host.batch(batch(*start()))
        host.nodes[7].woken = None
        reply = host.batch(batch(struct.pack("<BI", 24, 7), struct.pack("<BQ", 18, 1)))
        self.assertEqual(reply[13], 25)
        self.assertIn(b"TypeError", reply)
