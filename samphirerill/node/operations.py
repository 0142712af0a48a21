"""What operators may ask of a node, called from the edge's threads."""

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
    from samphirerill.node.follower import Follower
    from samphirerill.node.node import Node
    from samphirerill.node.process import Process

_WAIT_S = 5.0
_KIB = 1024


class NodeOperations:
    """Answers operators from the loop's state and the service."""

    def __init__(self, process: Process) -> None:
        self._process = process
        self._node: Node = process.node
        self._follower: Follower = process.follower

    def read_state(self) -> dict[str, Any]:
        """Return the dump of this process."""
        return self._ask_loop(self._describe)

    def read_metrics(self) -> str:
        """Return the metrics as text."""
        return self._ask_loop(
            lambda: self._node.metrics.format_prometheus(
                self._node.router.state.counters
            ),
        )

    def read_configuration(self) -> dict[str, Any]:
        """Return the version and document in force here."""
        view = self._follower.view
        return self._ask_loop(
            lambda: {'version': view.version, 'document': view.document}
        )

    def read_nodes(self) -> list[dict[str, Any]]:
        """Return which version each node has in force, by asking each."""
        work = self._process.gossip.ask_all()
        fut = asyncio.run_coroutine_threadsafe(work, self._node.loop)
        return fut.result(_WAIT_S)

    def read_history(self) -> list[Change]:
        """Return the accepted changes that are kept."""
        return self._follower.log.read_changes(after=0)

    def submit_patch(
        self, patch: list[Any], base: int, author: str, *, dry_run: bool
    ) -> Change:
        """Submit a patch to the service."""
        change = self._follower.log.submit(patch, base, author, dry_run=dry_run)
        if not dry_run:
            self._node.loop.call_soon_threadsafe(self._follower.offer, change)
        return change

    def drain(self) -> None:
        """Begin a graceful shutdown."""
        self._node.loop.call_soon_threadsafe(self._process.begin_drain)

    def _describe(self) -> dict[str, Any]:
        node = self._node
        now = node.loop.time()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'node': node.node_id,
            'data_centre': node.settings.data_centre,
            'pid': os.getpid(),
            'healthy': node.healthy,
            'open_calls': len(node.calls),
            'open_sessions': len(node.sessions),
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'max_memory_bytes': usage.ru_maxrss * _KIB,
            'store_read_age_s': self._follower.evidence.own_age_s(now),
            'store_calls': dict(self._process.worker.calls),
            'claims': asdict(node.claims.describe()) if node.claims else {},
            'members': {
                name: asdict(member)
                for name, member in self._process.members.others.items()
            },
            'peers': self._process.gossip.describe(),
            'orders': self._follower.commander.describe(),
            'times': node.metrics.describe(),
            'core': describe_state(node.router.state, now),
        }

    def _ask_loop(self, query: Callable[[], Any]) -> Any:
        async def ask() -> Any:
            return query()

        fut = asyncio.run_coroutine_threadsafe(ask(), self._node.loop)
        return fut.result(_WAIT_S)
