"""Streams on real sockets: the count of acknowledged bytes, by which a router tells what has reached a server."""

import socket
import time
import unittest

from rowanshift.transport.sockets import Socket

REQUEST_BYTES = 1000


class Acknowledged(unittest.TestCase):
    """A peer that has read one request, and then ends or resets the connection."""

    def setUp(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.stream = Socket.of(socket.create_connection(listener.getsockname()))
        self.addCleanup(self.stream.close)
        self.peer = listener.accept()[0]
        self.addCleanup(self.peer.close)
        self.stream.send(bytes(REQUEST_BYTES))
        self.peer.recv(REQUEST_BYTES)
        self.until_acknowledged(REQUEST_BYTES)

    def until_acknowledged(self, count: int) -> None:
        for _ in range(200):
            if (self.stream.acknowledged() or 0) >= count:
                return
            time.sleep(0.01)  # real sockets: the kernel acknowledges when it likes
        self.fail(f"{self.stream.acknowledged()} of {count} bytes acknowledged")

    def test_what_is_sent_after_the_peer_has_closed_is_not_acknowledged(self) -> None:
        self.peer.close()
        self.assertGreater(self.stream.send(bytes(REQUEST_BYTES)), 0)
        self.assertEqual(self.stream.recv(1), b"")  # the end of sending, which had arrived first
        self.assertLessEqual(self.stream.acknowledged(), REQUEST_BYTES + 1)

    def test_what_has_arrived_is_acknowledged_by_the_end(self) -> None:
        self.stream.send(bytes(REQUEST_BYTES))
        self.until_acknowledged(2 * REQUEST_BYTES)
        self.peer.close()
        self.assertGreaterEqual(self.stream.acknowledged(), 2 * REQUEST_BYTES)


if __name__ == "__main__":
    unittest.main()
