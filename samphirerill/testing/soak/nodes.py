"""The real program, one process for each node."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from msgspec import json

if TYPE_CHECKING:
    from pathlib import Path
    from signal import Signals

_END_S = 10.0
_STEP_S = 0.05


class SoakNode:
    """One node: its settings file and its process, started again and again.

    Parameters
    ----------
    name, host : str
        The node's name and its loopback address.
    port : int
        The first of the ports that it listens on; the same for all nodes.
    folder : Path
        Where its settings and its log lie.
    """

    def __init__(self, name: str, host: str, port: int, folder: Path) -> None:
        self.name = name
        self.host = host
        self.callers = f'{host}:{port}'
        self.readiness = f'{host}:{port + 1}'
        self.store = f'{host}:{port + 5}'
        # Changes with each start of the process.
        self.incarnation = 0
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

    def write_settings(self, **changes: Any) -> None:
        """Write the settings file, with changes."""
        self.settings.update(changes)
        self._path.write_bytes(json.encode(self.settings))

    def start(self) -> None:
        """Start the process, if none runs."""
        if self.is_running():
            return
        self.incarnation += 1
        command = (
            sys.executable,
            '-m',
            'samphirerill',
            'edge',
            '--config',
            str(self._path),
        )
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: Signals) -> None:
        """Send a signal to the process that was started here."""
        if self._process is not None and self.is_running():
            self._process.send_signal(number)

    async def wait_for_end(self) -> int | None:
        """Wait until the process has ended; return its code, if it has."""
        deadline = asyncio.get_running_loop().time() + _END_S
        while self.is_running():
            if asyncio.get_running_loop().time() >= deadline:
                return None
            await asyncio.sleep(_STEP_S)
        return None if self._process is None else self._process.returncode

    def kill(self) -> None:
        """End the process at once, also one that stands still."""
        if self._process is not None and self.is_running():
            self._process.kill()
            self._process.wait()
