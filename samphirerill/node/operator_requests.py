"""Operators' requests to a node, called on threads of the HTTP server."""

from __future__ import annotations

import asyncio
import os
import resource
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

from samphirerill.core.queries import describe_state

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.control.configuration_log import Change
    from samphirerill.node.configuration_follower import ConfigurationFollower
    from samphirerill.node.node import Node
    from samphirerill.node.process import NodeProcess

_TIMEOUT_S = 5.0
_BYTES_PER_KIB = 1024


class NodeOperations:
    """Handles operators' requests with the node's state and the service."""

    def __init__(self, process: NodeProcess) -> None:
        self._process = process
        self._node: Node = process.node
        self._follower: ConfigurationFollower = process.follower

    def read_state(self) -> dict[str, Any]:
        """Return the state dump of this node."""
        return self._run_on_loop(self._build_state)

    def read_metrics(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return self._run_on_loop(
            lambda: self._node.metrics.format_prometheus(
                self._node.router.state.counters
            ),
        )

    def read_configuration(self) -> dict[str, Any]:
        """Return the version and document of the applied configuration."""
        view = self._follower.view
        return self._run_on_loop(
            lambda: {'version': view.version, 'document': view.document}
        )

    def read_node_versions(self) -> list[dict[str, Any]]:
        """Query each node for its configuration version."""
        coroutine = self._process.gossip.query_versions()
        future = asyncio.run_coroutine_threadsafe(coroutine, self._node.loop)
        return future.result(_TIMEOUT_S)

    def read_changes(self) -> list[Change]:
        """Return the accepted configuration changes that are still stored."""
        return self._follower.log.read_changes(after=0)

    def submit_patch(
        self, patch: list[Any], base: int, author: str, *, dry_run: bool
    ) -> Change:
        """Submit a configuration patch to the service."""
        change = self._follower.log.submit(patch, base, author, dry_run=dry_run)
        if not dry_run:
            self._node.loop.call_soon_threadsafe(
                self._follower.apply_change, change
            )
        return change

    def drain(self) -> None:
        """Start a graceful shutdown."""
        self._node.loop.call_soon_threadsafe(self._process.begin_drain)

    def _build_state(self) -> dict[str, Any]:
        node = self._node
        now = node.loop.time()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'node': node.node_id,
            'data_centre': node.settings.data_centre,
            'pid': os.getpid(),
            'healthy': node.is_healthy,
            'open_calls': len(node.calls),
            'open_sessions': len(node.sessions),
            'unread_response_bytes': node.unread_responses.count_bytes(),
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'max_memory_bytes': usage.ru_maxrss * _BYTES_PER_KIB,
            'store_read_age_s': self._follower.freshness.get_read_age_s(now),
            'store_calls': dict(self._process.worker.calls),
            'claims': asdict(node.claim_writer.describe())
            if node.claim_writer
            else {},
            'members': {
                name: asdict(member)
                for name, member in self._process.membership.peers.items()
            },
            'peers': self._process.gossip.describe(),
            'orders': self._follower.engine_controller.describe(),
            'times': node.metrics.describe(),
            'core': describe_state(node.router.state, now),
        }

    def _run_on_loop(self, query: Callable[[], Any]) -> Any:
        async def run_query() -> Any:
            return query()

        future = asyncio.run_coroutine_threadsafe(run_query(), self._node.loop)
        return future.result(_TIMEOUT_S)
