"""The platform's load balancer, which selects nodes for new connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode

_OK = 200
_CHECK_INTERVAL_S = 0.3
_CHECK_TIMEOUT_S = 0.5
_FAILED_CHECKS_MAX = 2


class LoadBalancer:
    """Polls the nodes' readiness, like the platform's load balancer."""

    def __init__(self, environment: SoakEnvironment) -> None:
        self._environment = environment
        self._failed_checks: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(
                *map(self._check_ready, self._environment.nodes)
            )
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Wait until all nodes are ready; raise ``TimeoutError`` if one isn't."""
        async with asyncio.timeout(timeout_s):
            while any(map(self._is_unready, self._environment.nodes)):
                await asyncio.sleep(_CHECK_INTERVAL_S)

    def list_ready(self) -> list[SoakNode]:
        """Return the nodes in rotation, or all nodes if none is ready."""
        nodes = self._environment.nodes
        ready = [node for node in nodes if not self._is_unready(node)]
        return ready or nodes

    def _is_unready(self, node: SoakNode) -> bool:
        failed_checks = self._failed_checks.get(node.name, _FAILED_CHECKS_MAX)
        return failed_checks >= _FAILED_CHECKS_MAX

    async def _check_ready(self, node: SoakNode) -> None:
        deadline = asyncio.get_running_loop().time() + _CHECK_TIMEOUT_S
        try:
            status, _ = await call_once(
                node.readiness, b'GET', b'/ready', b'', deadline
            )
        except EndpointError:
            # No answer counts as a failed check.
            status = 0
        failed_checks = (
            0 if status == _OK else self._failed_checks.get(node.name, 0) + 1
        )
        self._failed_checks[node.name] = failed_checks
