"""New connections that a node opens to endpoints."""

from __future__ import annotations

from unittest.mock import patch

from samphirerill.fleet.model import ClientLimits
from samphirerill.tests.test_edge import EdgeCase

# The margin before the end of the idle time leaves 0.4 s for reuse.
_IDLE_TIMEOUT_S = 1
_EVENT_INTERVAL_S = 0.11
_REQUESTS = 3


class TestConnectionReuse(EdgeCase):
    """Requests one after another to the same endpoints."""

    async def test_stream_longer_than_idle_time_keeps_its_connection(
        self,
    ) -> None:
        """The idle time was counted from the head of the response."""
        await self.announce('engine-2', state='draining')
        replica = self.harness.replicas['engine-1']
        replica.event_interval_s = _EVENT_INTERVAL_S
        limits = ClientLimits(idle_timeout_s=_IDLE_TIMEOUT_S)
        with patch.object(replica, 'get_limits', return_value=limits):
            for _ in range(_REQUESTS):
                self.assertEqual(await self.stream(), self.build_events(5))
        counters = self.harness.require_first_node().state.counters
        self.assertEqual(counters['connections.made'], 1)
