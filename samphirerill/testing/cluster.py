"""Start and stop a local cluster: fakes in one process, nodes in others.

Used by the demo, benchmarks and end-to-end tests. Only processes that were
started here are stopped, by their own handles.
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

from samphirerill.edges.operator_api import hash_api_key
from samphirerill.testing.clients import call_json
from samphirerill.testing.layout import OPERATOR_KEY

if TYPE_CHECKING:
    from samphirerill.testing.layout import Layout

_HOST = '127.0.0.1'
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_EXIT_TIMEOUT_S = 10.0


class ClusterError(Exception):
    """The cluster did not reach an expected state."""


class NodeProcess:
    """One running node.

    Its settings use port 0, and the addresses are read from its log. A port
    chosen in advance could be taken by an outgoing connection before the node
    listens, which would make tests flaky.

    Parameters
    ----------
    settings : dict
        The node's settings document.
    folder : Path
        Directory for its settings and log files.
    module : str
        The module to run.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        folder: Path,
        module: str = 'samphirerill',
    ) -> None:
        self.name: str = settings['node']['name']
        self.callers = ''
        self.operators = ''
        self.peers = ''
        self.log_path = folder / f'{self.name}.log'
        path = folder / f'{self.name}.json'
        path.write_text(json.dumps(settings), encoding='utf-8')
        with self.log_path.open('wb') as log:
            self.process = subprocess.Popen(
                _build_command(module, 'serve', '--config', str(path)),
                stderr=log,
            )

    def wait_listening(self) -> None:
        """Wait until the log shows the addresses that the node listens on."""
        wait_for(self._is_listening, f'{self.name} to listen')

    def read_state(self) -> dict[str, Any]:
        """Return the node's state dump."""
        return dict(call_json(self.operators, '/state', OPERATOR_KEY))

    def is_ready(self, version: int) -> bool:
        """Return whether the node serves with this version or a newer one."""
        try:
            state = self.read_state()
        except OSError:
            return False
        return bool(state['core']['configuration_version'] >= version)

    def stop(self, number: int = signal.SIGTERM) -> int:
        """Signal the process, wait until it exits and return its exit code."""
        if self.process.poll() is None:
            self.process.send_signal(number)
        try:
            return self.process.wait(_EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait(_EXIT_TIMEOUT_S)

    def _is_listening(self) -> bool:
        event = read_listening_ports(self.log_path)
        if not event:
            return False
        self.callers = f'{_HOST}:{event["callers"]}'
        self.operators = f'{_HOST}:{event["operators"]}'
        self.peers = f'{_HOST}:{event["peers"]}'
        return True


class Cluster:
    """Fakes in one process and nodes in others.

    Parameters
    ----------
    layout : Layout
        The fake engines and services.
    nodes : int
        Number of nodes to start.
    overrides : dict, optional
        Settings, by section, that override the defaults of every node.
    module : str
        The module that nodes run.
    """

    def __init__(
        self,
        layout: Layout,
        nodes: int = 1,
        overrides: dict[str, Any] | None = None,
        module: str = 'samphirerill',
    ) -> None:
        self._module = module
        self._layout = layout
        self._node_count = nodes
        self._overrides = overrides or {}
        self._folder = tempfile.TemporaryDirectory(prefix='samphirerill-')
        self._fakes_process: subprocess.Popen[str] | None = None
        self._nodes_started = 0
        self.addresses: dict[str, Any] = {}
        self.nodes: list[NodeProcess] = []
        self.version = 0

    def __enter__(self) -> Cluster:
        """Start the cluster and wait until every node is ready."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop the cluster."""
        self.stop()

    @property
    def folder(self) -> Path:
        """Directory of settings and logs."""
        return Path(self._folder.name)

    def start(self) -> None:
        """Start fakes and nodes, and submit the first configuration."""
        self.start_fakes()
        for _ in range(self._node_count):
            self._launch_node([])
        for node in self.nodes:
            node.wait_listening()
        document = self._layout.to_document(self.addresses)
        self.wait_ready(version=0)
        self.submit([{'op': 'replace', 'path': '', 'value': document}])
        self.wait_ready(self.version)

    def start_fakes(self) -> None:
        """Start only the fakes."""
        self._fakes_process = subprocess.Popen(
            _build_command(
                'samphirerill.testing.host', json.dumps(self._layout.to_spec())
            ),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        if self._fakes_process.stdout is None:
            raise ClusterError('the process of the fakes has no stdout')
        self.addresses = json.loads(self._fakes_process.stdout.readline())

    def add_node(self, seeds: list[str] | None = None) -> NodeProcess:
        """Start another node; `seeds` are the addresses of initial peers."""
        node = self._launch_node(seeds or [])
        node.wait_listening()
        return node

    def submit(self, patch: list[Any]) -> int:
        """Submit a patch against the version that was last accepted."""
        request = {'base': self.version, 'patch': patch}
        answer = call_json(
            self.nodes[0].operators, '/patch', OPERATOR_KEY, request
        )
        self.version = int(answer['version'])
        return self.version

    def wait_ready(self, version: int) -> None:
        """Wait until every node serves with a version or a newer one."""
        wait_for(
            lambda: all(node.is_ready(version) for node in self.nodes),
            f'every node to serve with version {version}',
        )

    def wait_node_ready(self, node: NodeProcess) -> None:
        """Wait until one node serves with the latest version."""
        wait_for(lambda: node.is_ready(self.version), node.name)

    def control(self, address: str, **orders: Any) -> None:
        """Set the behaviour of a fake."""
        call_json(address, '/control', '', orders)

    def read_stats(self, address: str) -> dict[str, Any]:
        """Return the counters of a fake."""
        return dict(call_json(address, '/stats', ''))

    def stop(self) -> None:
        """Stop every process started here."""
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
                node.process.wait(_EXIT_TIMEOUT_S)
        if self._fakes_process is not None:
            self._stop_fakes(self._fakes_process)
        self._folder.cleanup()

    def _launch_node(self, seeds: list[str]) -> NodeProcess:
        self._nodes_started += 1
        settings = self._build_settings(f'n{self._nodes_started}')
        settings['peers']['seeds'] = seeds
        node = NodeProcess(settings, self.folder, self._module)
        self.nodes.append(node)
        return node

    def _stop_fakes(self, process: subprocess.Popen[str]) -> None:
        if process.stdin is not None:
            process.stdin.close()
        try:
            process.wait(_EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(_EXIT_TIMEOUT_S)
        if process.stdout is not None:
            process.stdout.close()

    def _build_settings(self, name: str) -> dict[str, Any]:
        settings: dict[str, Any] = {
            **build_listen_settings(name),
            'store': {'addresses': [self.addresses['kv']], 'lease_s': 3},
            'vm_list': {
                'address': self.addresses['vm_list'],
                'every_s': 0.25,
            },
            'shutdown': {'notice_s': 0.2, 'finish_s': 20},
        }
        for section, changes in self._overrides.items():
            settings[section] = {**settings.get(section, {}), **changes}
        return settings


def wait_for(
    condition: Any, what: str, limit_s: float = _READY_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    ClusterError
        The condition did not hold in time.
    """
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise ClusterError(
                f'timed out after {limit_s} s waiting for {what}'
            )
        time.sleep(_POLL_INTERVAL_S)


def build_listen_settings(name: str) -> dict[str, Any]:
    """Return the settings of a node that listens on free ports."""
    return {
        'node': {'name': name, 'data_centre': 'a'},
        'callers': {'host': _HOST, 'port': 0},
        'operators': {
            'host': _HOST,
            'port': 0,
            'key_digests': [hash_api_key(OPERATOR_KEY)],
        },
        'peers': {'host': _HOST, 'port': 0},
        'log': {'form': 'json'},
        'shutdown': {'notice_s': 0},
    }


def read_listening_ports(log_path: Path) -> dict[str, Any]:
    """Return the event with the ports from a node's log, or an empty dict."""
    for line in log_path.read_text(encoding='utf-8').splitlines():
        if '"event": "serving"' in line:
            return dict(json.loads(line))
    return {}


def _build_command(module: str, *arguments: str) -> list[str]:
    return [sys.executable, '-m', module, *arguments]
