"""Log lines never block the loop, and their volume is bounded."""

from __future__ import annotations

import os
from unittest import TestCase

from samphirerill.node.log_sink import LINES_PER_S, LogSink


class TestLogSink(TestCase):
    """A pipe that is read late or not at all."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = reader
        self.writer = writer
        os.set_blocking(self.reader, False)
        self.sink = LogSink(self.writer)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def test_a_full_pipe_drops_whole_lines(self) -> None:
        """Symptom: all streams of a node pause at once, with no cause.

        Sequence: whoever reads the logs stops; the pipe fills; the next line
        waits. Cause: lines were written to a blocking descriptor.
        """
        line = 'x' * 1000 + '\n'
        for _ in range(200):
            self.sink.write(line)
        self._read_all()
        self.sink.write('after\n')
        text = self._read_all()
        self.assertIn('lines dropped', text)
        self.assertTrue(text.endswith('after\n'))

    def test_a_storm_is_bounded(self) -> None:
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
