"""Start stand-ins and nodes as processes on loopback, and end them again.

Used by the demo, by measurements and by the end-to-end tests. Only processes that
were started here are ended, by the handle they were started with.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

from samphirerill.edges.operators import hash_key
from samphirerill.testing.clients import call_json
from samphirerill.testing.layout import OPERATOR_KEY

if TYPE_CHECKING:
    from samphirerill.testing.layout import Layout

_HOST = '127.0.0.1'
_READY_S = 20.0
_STEP_S = 0.05
_END_S = 10.0


class ClusterError(Exception):
    """A process of the cluster did not do what was expected."""


class NodeProcess:
    """One running node.

    Its settings name port 0 everywhere, and the addresses are read from its
    log. Ports chosen beforehand may be taken by any outgoing connection
    before the node listens, which one would see as a start that fails now
    and then.

    Parameters
    ----------
    settings : dict
        The node's settings document.
    folder : Path
        Where its settings and log files go.
    """

    def __init__(self, settings: dict[str, Any], folder: Path) -> None:
        self.name: str = settings['node']['name']
        self.callers = ''
        self.operators = ''
        self.peers = ''
        self.log_path = folder / f'{self.name}.log'
        path = folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                _build_command('samphirerill', 'serve', '--config', str(path)),
                stderr=log,
            )

    def wait_listening(self) -> None:
        """Wait until the node has said where it listens."""
        wait_for(self._is_listening, f'{self.name} to listen')

    def read_state(self) -> dict[str, Any]:
        """Return the node's state dump."""
        return dict(call_json(self.operators, '/state', OPERATOR_KEY))

    def is_ready(self, version: int) -> bool:
        """Tell whether the node serves with this version or a newer one."""
        try:
            state = self.read_state()
        except OSError:
            return False
        return bool(state['core']['configuration_version'] >= version)

    def stop(self, number: int = signal.SIGTERM) -> int:
        """Signal the process and wait for its end; return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        try:
            return self.process.wait(_END_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait(_END_S)

    def _is_listening(self) -> bool:
        found = read_serving(self.log_path)
        if not found:
            return False
        self.callers = f'{_HOST}:{found["callers"]}'
        self.operators = f'{_HOST}:{found["operators"]}'
        self.peers = f'{_HOST}:{found["peers"]}'
        return True


class Cluster:
    """Stand-ins in one process and nodes in others.

    Parameters
    ----------
    layout : Layout
        The engines and services to stand in for.
    nodes : int
        How many nodes to start.
    overrides : dict, optional
        Settings members that replace the usual ones in every node.
    """

    def __init__(
        self,
        layout: Layout,
        nodes: int = 1,
        overrides: dict[str, Any] | None = None,
    ) -> None:
        self._layout = layout
        self._count = nodes
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory(prefix='samphirerill-')
        self._host: subprocess.Popen[str] | None = None
        self._started = 0
        self.addresses: dict[str, Any] = {}
        self.nodes: list[NodeProcess] = []
        self.version = 0

    def __enter__(self) -> Cluster:
        """Start all and wait until every node is ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """End all."""
        self.stop()

    @property
    def folder(self) -> Path:
        """Where settings and logs are."""
        return Path(self._folder.name)

    def start(self) -> None:
        """Start stand-ins and nodes, and accept the first configuration."""
        self.start_stand_ins()
        for _ in range(self._count):
            self._launch_node([])
        for node in self.nodes:
            node.wait_listening()
        document = self._layout.to_document(self.addresses)
        self.wait_ready(version=0)
        self.submit([{'op': 'replace', 'path': '', 'value': document}])
        self.wait_ready(self.version)

    def start_stand_ins(self) -> None:
        """Start the stand-ins alone."""
        self._host = subprocess.Popen(
            _build_command(
                'samphirerill.testing.host', json.dumps(self._layout.to_spec())
            ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        if self._host.stdout is None:
            raise ClusterError('the stand-ins have no output')
        self.addresses = json.loads(self._host.stdout.readline())

    def add_node(self, seeds: list[str] | None = None) -> NodeProcess:
        """Start one more node; `seeds` are peers it knows from the start."""
        node = self._launch_node(seeds or [])
        node.wait_listening()
        return node

    def submit(self, patch: list[Any]) -> int:
        """Submit a patch against the version last accepted here."""
        order = {'base': self.version, 'patch': patch}
        answer = call_json(
            self.nodes[0].operators, '/patch', OPERATOR_KEY, order
        )
        self.version = int(answer['version'])
        return self.version

    def wait_ready(self, version: int) -> None:
        """Wait until every node has a version in force."""
        wait_for(
            lambda: all(node.is_ready(version) for node in self.nodes),
            f'every node with version {version}',
        )

    def wait_ready_of(self, node: NodeProcess) -> None:
        """Wait until one node has the newest version in force."""
        wait_for(lambda: node.is_ready(self.version), node.name)

    def control(self, address: str, **orders: Any) -> None:
        """Tell a stand-in how to behave."""
        call_json(address, '/control', '', orders)

    def read_stats(self, address: str) -> dict[str, Any]:
        """Return what a stand-in has counted."""
        return dict(call_json(address, '/stats', ''))

    def stop(self) -> None:
        """End every process started here."""
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait(_END_S)
        if self._host is not None:
            self._end_host(self._host)
        self._folder.cleanup()

    def _launch_node(self, seeds: list[str]) -> NodeProcess:
        self._started += 1
        settings = self._build_settings(f'n{self._started}')
        settings['peers']['seeds'] = seeds
        node = NodeProcess(settings, self.folder)
        self.nodes.append(node)
        return node

    def _end_host(self, host: subprocess.Popen[str]) -> None:
        if host.stdin is not None:
            host.stdin.close()
        try:
            host.wait(_END_S)
        except subprocess.TimeoutExpired:
            host.kill()
            host.wait(_END_S)
        if host.stdout is not None:
            host.stdout.close()

    def _build_settings(self, name: str) -> dict[str, Any]:
        settings: dict[str, Any] = {
            **build_listening(name),
            'store': {'addresses': [self.addresses['kv']], 'lease_s': 3},
            'vm_list': {
                'address': self.addresses['vm_list'],
                'every_s': 0.25,
            },
            'shutdown': {'notice_s': 0.2, 'finish_s': 20},
        }
        for part, members in self._overrides.items():
            settings[part] = {**settings.get(part, {}), **members}
        return settings


def wait_for(condition: Any, what: str, limit_s: float = _READY_S) -> None:
    """Wait until a condition holds.

    Raises
    ------
    ClusterError
        It did not hold in time.
    """
    give_up_at = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > give_up_at:
            raise ClusterError(f'waited {limit_s} s in vain for {what}')
        time.sleep(_STEP_S)


def build_listening(name: str) -> dict[str, Any]:
    """Return the settings of a node that listens on any free ports."""
    return {
        'node': {'name': name, 'data_centre': 'a'},
        'callers': {'host': _HOST, 'port': 0},
        'operators': {
            'host': _HOST,
            'port': 0,
            'key_digests': [hash_key(OPERATOR_KEY)],
        },
        'peers': {'host': _HOST, 'port': 0},
        'log': {'form': 'json'},
        'shutdown': {'notice_s': 0},
    }


def read_serving(log_path: Path) -> dict[str, Any]:
    """Return what a node's log says of its ports, or nothing yet."""
    for line in log_path.read_text(encoding='utf-8').splitlines():
        if '"event": "serving"' in line:
            return dict(json.loads(line))
    return {}


def _build_command(module: str, *arguments: str) -> list[str]:
    return [sys.executable, '-m', module, *arguments]
