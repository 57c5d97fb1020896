"""The second address of a run's node: a port for each of two processes, and calls there."""

from __future__ import annotations

import http.client
import socket

from saltmoor.lab.wire import HOST

WITHIN_S = 1.0  # a caller waits no longer


class SecondAddress:
    """Two ports that are kept for one node, as two of its processes may be there at once."""

    def __init__(self) -> None:
        self.held = [socket.socket(socket.AF_INET, socket.SOCK_STREAM) for _ in range(2)]
        for sock in self.held:  # never listening, each keeps its port from everybody else
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind((HOST, 0))
        self.starts = 0

    def next(self) -> str:
        """The address of the next process."""
        self.starts += 1
        return self.now()

    def now(self) -> str:
        """The address of the newest process."""
        return f"{HOST}:{self.held[self.starts % 2].getsockname()[1]}"

    def before(self) -> str:
        """The address of the process before it."""
        return f"{HOST}:{self.held[(self.starts + 1) % 2].getsockname()[1]}"

    def close(self) -> None:
        for sock in self.held:
            sock.close()


def post(address: str, path: str) -> bool:
    """One call: whether the answer is a yes."""
    connection = http.client.HTTPConnection(address, timeout=WITHIN_S)
    try:
        connection.request("POST", path)
        return connection.getresponse().status == 200
    except OSError:
        return False
    finally:
        connection.close()
