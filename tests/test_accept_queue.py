"""What a node knows of the connections that the machine has taken and that it has not accepted yet."""

from __future__ import annotations

import socket
import time
import unittest

from saltmoor.net import tcp_info

MS = 1000


class Kernel(unittest.TestCase):
    """What Linux tells, by real sockets."""

    def setUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.listener.getsockname())
        self.addCleanup(sock.close)
        return sock

    def accept(self) -> socket.socket:
        sock, _ = self.listener.accept()
        self.addCleanup(sock.close)
        return sock

    def test_a_connection_s_age_counts_from_the_machine_s_accept(self):
        client = self.connect()
        time.sleep(0.2)
        client.sendall(b"mn\r\n")
        time.sleep(0.1)
        sock = self.accept()
        self.assertGreaterEqual(tcp_info.age(sock), 280 * MS)
        self.assertLess(tcp_info.unread_for(sock), tcp_info.age(sock))
        self.assertGreaterEqual(tcp_info.unread_for(sock), 90 * MS)

    def test_who_waits_at_a_listener_is_counted(self):
        for _ in range(3):
            self.connect()
        self.assertEqual(tcp_info.waiting(self.listener), 3)
        self.accept()
        self.assertEqual(tcp_info.waiting(self.listener), 2)

    def test_a_socket_that_tells_nothing_is_no_error(self):
        pair = socket.socketpair()
        for sock in pair:
            self.addCleanup(sock.close)
        self.assertIsNone(tcp_info.age(pair[0]))


if __name__ == "__main__":
    unittest.main()
