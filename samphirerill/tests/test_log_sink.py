"""Log output neither blocks the event loop nor exceeds its rate limit."""

from __future__ import annotations

import os
from unittest import TestCase

from samphirerill.node.log_sink import LINES_PER_S, LogSink


class TestLogSink(TestCase):
    """Writes to a pipe that is read late or not at all."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        os.set_blocking(self.reader, False)
        self.sink = LogSink(self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_full_pipe_drops_complete_lines(self) -> None:
        """Lines are dropped while the pipe is full.

        Guards against blocking writes, which would stall all streams of a node
        when the reader of its logs stops.
        """
        line = 'x' * 1000 + '\n'
        for _ in range(200):
            self.sink.write(line)
        self._read_all()
        self.sink.write('after\n')
        text = self._read_all()
        self.assertIn('lines dropped', text)
        self.assertTrue(text.endswith('after\n'))

    def test_rate_is_limited(self) -> None:
        for _ in range(LINES_PER_S * 3):
            self.sink.write('line\n')
        self.assertLessEqual(self._read_all().count('line\n'), LINES_PER_S)

    def _read_all(self) -> str:
        chunks = []
        while True:
            try:
                chunks.append(os.read(self.reader, 65_536))
            except BlockingIOError:
                return b''.join(chunks).decode()
