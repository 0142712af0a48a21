"""Measure the start of the binary: time, memory, children, unpacked files.

``make start-up`` builds the binary and runs this. Only the first start unpacks
the native modules.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from samphirerill.testing.clients import send_request
from samphirerill.testing.cluster import (
    build_listen_settings,
    read_listening_ports,
    wait_for,
)

_START_COUNT = 3


def measure_start(binary: str, root: Path) -> dict[str, Any]:
    """Start the binary once and return the measurements.

    Parameters
    ----------
    binary : str
        Path of the binary.
    root : Path
        Directory into which it unpacks native modules.
    """
    with TemporaryDirectory() as directory:
        settings = {
            **build_listen_settings('start'),
            'store': {'addresses': ['127.0.0.1:1']},
        }
        path = Path(directory) / 'settings.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        log_path = Path(directory) / 'log'
        started = time.monotonic()
        with log_path.open('wb') as log:
            process = subprocess.Popen(  # noqa: S603
                [binary, 'serve', '--config', str(path)],
                stderr=log,
                env={**os.environ, 'SHIV_ROOT': str(root)},
            )
        try:
            wait_for(
                lambda: read_listening_ports(log_path), 'the node to listen'
            )
            port = read_listening_ports(log_path)['callers']
            wait_for(
                lambda: (
                    send_request(
                        f'127.0.0.1:{port}', '/health', '', b'', method='GET'
                    ).status
                ),
                'the first answer',
            )
            ready_s = time.monotonic() - started
            return {
                'ready_s': round(ready_s, 2),
                'memory_mb': _read_memory_mb(process.pid),
                'children': _list_children(process.pid),
                'unpacked_mb': _measure_directory_mb(root),
            }
        finally:
            process.terminate()
            process.wait(10)


def main() -> int:
    """Start the binary several times and print the measurements."""
    binary = sys.argv[1]
    with TemporaryDirectory() as root:
        for number in range(_START_COUNT):
            measurements = measure_start(binary, Path(root))
            sys.stdout.write(
                f'start {number + 1}: {json.dumps(measurements)}\n'
            )
    return 0


def _read_memory_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return round(int(line.split()[1]) / 1024, 1)
    return 0


def _list_children(pid: int) -> list[int]:
    children: list[int] = []
    for task in Path(f'/proc/{pid}/task').iterdir():
        children_text = (task / 'children').read_text()
        children.extend(int(child) for child in children_text.split())
    return children


def _measure_directory_mb(root: Path) -> float:
    sizes = (item.stat().st_size for item in root.rglob('*') if item.is_file())
    return round(sum(sizes) / 1_048_576, 1)


if __name__ == '__main__':
    sys.exit(main())
