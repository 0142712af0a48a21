"""Systems under test: our nodes, or the baseline, on simulated endpoints."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any, Protocol

from samphirerill.testing.clients import CallError
from samphirerill.testing.cluster import Cluster, ClusterError

if TYPE_CHECKING:
    from samphirerill.testing.layout import Layout

_STOP_TIMEOUT_S = 10.0


class Target(Protocol):
    """A system under test, and the simulated endpoints behind it."""

    cluster: Cluster
    is_baseline: bool

    def list_addresses(self) -> list[str]:
        """Return the addresses that clients connect to."""

    def read_cpu_s(self) -> float:
        """Return the CPU time spent so far, in seconds."""

    def replace(self, position: int) -> None:
        """Replace a process by a new one."""

    def terminate(self, position: int) -> int:
        """Terminate a process and return its exit code."""

    def kill(self, position: int) -> str:
        """Kill a process and return its address."""


class NodesTarget:
    """Router nodes as the system under test."""

    is_baseline = False

    def __init__(
        self, layout: Layout, nodes: int, overrides: dict[str, Any]
    ) -> None:
        self.cluster = Cluster(layout, nodes, overrides)

    def __enter__(self) -> NodesTarget:
        """Start the nodes and the simulated endpoints."""
        self.cluster.__enter__()
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop the nodes and the simulated endpoints."""
        self.cluster.stop()

    def list_addresses(self) -> list[str]:
        """Return the addresses that clients connect to."""
        return [
            node.callers
            for node in self.cluster.nodes
            if node.callers and node.process.poll() is None
        ]

    def read_cpu_s(self) -> float:
        """Return the CPU time of all nodes so far."""
        return sum(
            float(node.read_state()['cpu_s']) for node in self.cluster.nodes
        )

    def replace(self, position: int) -> None:
        """Start a node, then shut down an older one gracefully."""
        node = self.cluster.add_node()
        self.cluster.wait_ready(self.cluster.version)
        old_node = self.cluster.nodes.pop(position)
        exit_code = old_node.stop(signal.SIGTERM)
        if exit_code or node.process.poll() is not None:
            raise ClusterError(f'{old_node.name} exited with code {exit_code}')

    def terminate(self, position: int) -> int:
        """Shut down a node gracefully and return its exit code."""
        return self.cluster.nodes[position].stop(signal.SIGTERM)

    def kill(self, position: int) -> str:
        """Kill a node and return its address."""
        node = self.cluster.nodes[position]
        node.stop(signal.SIGKILL)
        return node.callers


class BaselineTarget:
    """Baseline proxies as the system under test, each in its own process."""

    is_baseline = True

    def __init__(self, layout: Layout, count: int) -> None:
        self.cluster = Cluster(layout, 0)
        self._layout = layout
        self._count = count
        self._proxies: list[subprocess.Popen[str]] = []
        self._addresses: list[str] = []

    def __enter__(self) -> BaselineTarget:
        """Start the simulated endpoints and the baseline proxies."""
        self.cluster.start_fakes()
        for _ in range(self._count):
            self._start_proxy()
        return self

    def __exit__(self, *exc: object) -> None:
        """Stop the baseline proxies and the simulated endpoints."""
        for proxy in self._proxies:
            _stop_proxy(proxy)
        self.cluster.stop()

    def list_addresses(self) -> list[str]:
        """Return the addresses that clients connect to."""
        return list(self._addresses)

    def read_cpu_s(self) -> float:
        """Return 0, as the baseline does not report its CPU time."""
        return 0

    def replace(self, position: int) -> None:
        """Start a new proxy and terminate an old one."""
        self._start_proxy()
        self.terminate(position)
        self._proxies.pop(position)

    def terminate(self, position: int) -> int:
        """Terminate a proxy and return its exit code."""
        self._addresses.pop(position)
        proxy = self._proxies[position]
        proxy.terminate()
        return proxy.wait(_STOP_TIMEOUT_S)

    def kill(self, position: int) -> str:
        """Kill a proxy and return its address."""
        address = self._addresses.pop(position)
        self._proxies[position].kill()
        return address

    def _start_proxy(self) -> None:
        document = self._layout.to_document(self.cluster.addresses)
        proxy = subprocess.Popen(  # noqa: S603
            [
                sys.executable,
                '-m',
                'samphirerill.bench.baseline_proxy',
                json.dumps(document),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._proxies.append(proxy)
        if proxy.stdout is None:
            raise ClusterError('the baseline proxy has no output')
        self._addresses.append(proxy.stdout.readline().strip())


def list_executed_prompts(target: Target) -> set[str]:
    """Return the prompts that the reachable engines have executed."""
    prompts: set[str] = set()
    for address in target.cluster.addresses['engines'].values():
        try:
            stats = target.cluster.read_stats(address)
        except CallError:
            continue
        prompts.update(stats['prompts'])
    return prompts


def _stop_proxy(proxy: subprocess.Popen[str]) -> None:
    if proxy.poll() is None:
        proxy.kill()
        proxy.wait(_STOP_TIMEOUT_S)
    for stream in (proxy.stdin, proxy.stdout):
        if stream is not None:
            stream.close()
