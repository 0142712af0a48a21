"""Router nodes under test, each in a process of its own."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from signal import SIGTERM
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.testing.soak.cuttable_node import CUT_SUFFIX

if TYPE_CHECKING:
    from pathlib import Path
    from signal import Signals

    from samphirerill.testing.cut_links import CutKind

EXIT_TIMEOUT_S = 10.0
_POLL_INTERVAL_S = 0.05


class SoakNode:
    """One node: its settings file and its process, which can be restarted.

    Parameters
    ----------
    name, host : str
        Name and loopback address.
    port : int
        First of the consecutive ports that it listens on; the same for all
        nodes.
    folder : Path
        Directory of the settings file and the log.
    """

    def __init__(self, name: str, host: str, port: int, folder: Path) -> None:
        self.name = name
        self.host = host
        self.callers = f'{host}:{port}'
        self.readiness = f'{host}:{port + 1}'
        self.store = f'{host}:{port + 5}'
        # The module that is run.
        self.entry_point = 'samphirerill'
        # Number of process starts; distinguishes a restarted node.
        self.start_count = 0
        self.started_at = 0.0
        # Whether it has been stopped by SIGSTOP for a time.
        self.is_frozen = False
        # When it was asked to terminate, on the loop's clock.
        self.terminations: list[float] = []
        self.settings: dict[str, Any] = {
            'name': name,
            'data_centre': 'a',
            'host': host,
            'callers': self.callers,
            'readiness': self.readiness,
            'peers': f'{host}:{port + 2}',
            'exchange_port': port + 3,
            'metrics_port': port + 4,
            'store': self.store,
            'retry_slack': 60,
        }
        self._path = folder / f'{name}.json'
        self._log = folder / f'{name}.log'
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process; 0 if it was never started."""
        return 0 if self._process is None else self._process.pid

    def write_settings(self, **changes: Any) -> None:
        """Update the settings and write the settings file."""
        self.settings.update(changes)
        self._path.write_bytes(json.encode(self.settings))

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running():
            return
        self.start_count += 1
        self.started_at = asyncio.get_running_loop().time()
        command = (
            sys.executable,
            '-m',
            self.entry_point,
            'edge',
            '--config',
            str(self._path),
        )
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )

    def cut_off(self, kind: CutKind) -> None:
        """Cut the links to all replicas; needs the cuttable entry point."""
        self._path.with_suffix(CUT_SUFFIX).write_text(kind.name)

    def heal(self) -> None:
        """End the cut."""
        self._path.with_suffix(CUT_SUFFIX).unlink(missing_ok=True)

    def is_running(self) -> bool:
        """Return whether the process is alive."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is None or not self.is_running():
            return
        if number == SIGTERM:
            self.terminations.append(asyncio.get_running_loop().time())
        self._process.send_signal(number)

    def was_terminating(self, since: float, until: float) -> bool:
        """Return whether a planned shutdown overlapped an interval."""
        return any(
            terminated_at <= until and terminated_at + EXIT_TIMEOUT_S >= since
            for terminated_at in self.terminations
        )

    async def wait_for_exit(self) -> int | None:
        """Wait for the process to exit.

        Returns
        -------
        int or None
            The exit code, or None if the process did not exit in time.
        """
        deadline = asyncio.get_running_loop().time() + EXIT_TIMEOUT_S
        while self.is_running():
            if asyncio.get_running_loop().time() >= deadline:
                return None
            await asyncio.sleep(_POLL_INTERVAL_S)
        return None if self._process is None else self._process.returncode

    def kill(self) -> None:
        """Send SIGKILL, which also ends a stopped process, and reap it."""
        if self._process is not None and self.is_running():
            self._process.kill()
            self._process.wait()
