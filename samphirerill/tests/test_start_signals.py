"""Signals that reach a node while it starts."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

_START_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_SETTLE_S = 0.5


class TestStartSignals(TestCase):
    """A node that still reads its settings."""

    def test_reload_signal_does_not_end_a_starting_node(self) -> None:
        """A node that was restarted may be told at once to reload."""
        with TemporaryDirectory() as folder:
            # The node waits until the settings are written to this pipe.
            pipe = Path(folder) / 'settings.json'
            os.mkfifo(pipe)
            with _start_node(pipe) as node:
                self.addCleanup(node.wait)
                self.addCleanup(node.kill)
                writer = _open_when_read(pipe)
                node.send_signal(signal.SIGHUP)
                time.sleep(_SETTLE_S)
                self.assertIsNone(node.poll())
                os.close(writer)
                node.kill()


def _start_node(settings: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        (sys.executable, '-m', 'samphirerill', 'edge'),
        env={**os.environ, 'SAMPHIRERILL_SETTINGS': str(settings)},
        stderr=subprocess.DEVNULL,
    )


def _open_when_read(pipe: Path) -> int:
    """Open a pipe for writing once another process reads it."""
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            if time.monotonic() >= deadline:
                raise
        time.sleep(_POLL_INTERVAL_S)
