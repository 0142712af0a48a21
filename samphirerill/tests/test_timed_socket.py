"""Time limits on reading the requests of the own interface."""

from __future__ import annotations

import socket
import threading
from unittest import TestCase

from samphirerill.edges.timed_socket import TimedSocket

_TIMEOUT_S = 0.2
_LONG_TIMEOUT_S = 60.0
_TRICKLE_INTERVAL_S = 0.01


class TestTimedSocket(TestCase):
    """A client that sends a byte now and then."""

    def setUp(self) -> None:
        sock, client = socket.socketpair()
        self.sock = sock
        self.client = client
        self.ended = threading.Event()
        thread = threading.Thread(target=self._trickle)
        thread.start()
        self.addCleanup(self.client.close)
        self.addCleanup(self.sock.close)
        self.addCleanup(thread.join)
        self.addCleanup(self.ended.set)

    def test_time_does_not_begin_again_with_each_byte(self) -> None:
        """Guards against clients that hold a thread for as long as they like."""
        self._assert_times_out(TimedSocket(self.sock, _TIMEOUT_S, bool))

    def test_time_is_short_while_others_wait(self) -> None:
        """Guards against slow clients that hold all threads."""
        self._assert_times_out(
            TimedSocket(self.sock, _LONG_TIMEOUT_S, lambda: True)
        )

    def test_timeout_of_writes_stays(self) -> None:
        self.sock.settimeout(_LONG_TIMEOUT_S)
        timed = TimedSocket(self.sock, _TIMEOUT_S, bool)
        timed.start_request()
        self.assertEqual(timed.recv_into(memoryview(bytearray(1))), 1)
        self.assertEqual(self.sock.gettimeout(), _LONG_TIMEOUT_S)

    def _assert_times_out(self, timed: TimedSocket) -> None:
        timed.start_request()
        buffer = memoryview(bytearray(1))
        with self.assertRaisesRegex(TimeoutError, 'timed out'):
            while not self.ended.is_set():
                timed.recv_into(buffer)

    def _trickle(self) -> None:
        while not self.ended.wait(_TRICKLE_INTERVAL_S):
            self.client.send(b'x')
