"""What a bench loads: our nodes, or the rival, over equal stand-ins."""

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

_END_S = 10.0


class Target(Protocol):
    """Something that answers callers, and its stand-ins."""

    cluster: Cluster
    is_rival: bool

    def list_addresses(self) -> list[str]:
        """Return where callers connect."""

    def read_cpu_s(self) -> float:
        """Return the processor time spent so far."""

    def replace(self, position: int) -> None:
        """Shut one process down gracefully and start another."""

    def terminate(self, position: int) -> int:
        """Ask one process to end and return its exit code."""

    def kill(self, position: int) -> str:
        """Kill one process and return the address it had."""


class OurTarget:
    """Our nodes."""

    is_rival = False

    def __init__(
        self, layout: Layout, nodes: int, overrides: dict[str, Any]
    ) -> None:
        self.cluster = Cluster(layout, nodes, overrides)

    def __enter__(self) -> OurTarget:
        """Start all."""
        self.cluster.__enter__()
        return self

    def __exit__(self, *exc: object) -> None:
        """End all."""
        self.cluster.stop()

    def list_addresses(self) -> list[str]:
        """Return where callers connect."""
        return [
            node.callers
            for node in self.cluster.nodes
            if node.callers and node.process.poll() is None
        ]

    def read_cpu_s(self) -> float:
        """Return the nodes' processor time so far."""
        return sum(
            float(node.read_state()['cpu_s']) for node in self.cluster.nodes
        )

    def replace(self, position: int) -> None:
        """Start a node, then shut an older one down gracefully."""
        node = self.cluster.add_node()
        self.cluster.wait_ready(self.cluster.version)
        old = self.cluster.nodes.pop(position)
        code = old.stop(signal.SIGTERM)
        if code or node.process.poll() is not None:
            raise ClusterError(f'{old.name} ended with {code}')

    def terminate(self, position: int) -> int:
        """Ask one node to end gracefully and return its exit code."""
        return self.cluster.nodes[position].stop(signal.SIGTERM)

    def kill(self, position: int) -> str:
        """Kill one node and return the address it had."""
        node = self.cluster.nodes[position]
        node.stop(signal.SIGKILL)
        return node.callers


class RivalTarget:
    """Rivals in processes of their own."""

    is_rival = True

    def __init__(self, layout: Layout, count: int) -> None:
        self.cluster = Cluster(layout, 0)
        self._layout = layout
        self._count = count
        self._rivals: list[subprocess.Popen[str]] = []
        self._addresses: list[str] = []

    def __enter__(self) -> RivalTarget:
        """Start all."""
        self.cluster.start_stand_ins()
        for _ in range(self._count):
            self._start_one()
        return self

    def __exit__(self, *exc: object) -> None:
        """End all."""
        for rival in self._rivals:
            _end(rival)
        self.cluster.stop()

    def list_addresses(self) -> list[str]:
        """Return where callers connect."""
        return list(self._addresses)

    def read_cpu_s(self) -> float:
        """Return nothing: the rival does not tell."""
        return 0

    def replace(self, position: int) -> None:
        """End one rival and start another."""
        self._start_one()
        self.terminate(position)
        self._rivals.pop(position)

    def terminate(self, position: int) -> int:
        """End one rival and return its exit code."""
        self._addresses.pop(position)
        rival = self._rivals[position]
        rival.terminate()
        return rival.wait(_END_S)

    def kill(self, position: int) -> str:
        """Kill one rival and return the address it had."""
        address = self._addresses.pop(position)
        self._rivals[position].kill()
        return address

    def _start_one(self) -> None:
        document = self._layout.to_document(self.cluster.addresses)
        rival = subprocess.Popen(  # noqa: S603
            [
                sys.executable,
                '-m',
                'samphirerill.bench.rival',
                json.dumps(document),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._rivals.append(rival)
        if rival.stdout is None:
            raise ClusterError('the rival has no output')
        self._addresses.append(rival.stdout.readline().strip())


def list_ran(target: Target) -> set[str]:
    """Return the prompts that the engines which still answer have run."""
    ran: set[str] = set()
    for address in target.cluster.addresses['engines'].values():
        try:
            stats = target.cluster.read_stats(address)
        except CallError:
            continue
        ran.update(stats['prompts'])
    return ran


def _end(rival: subprocess.Popen[str]) -> None:
    if rival.poll() is None:
        rival.kill()
        rival.wait(_END_S)
    for stream in (rival.stdin, rival.stdout):
        if stream is not None:
            stream.close()
