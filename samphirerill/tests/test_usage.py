"""Usage counters of calls to the store and to endpoints."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock, patch

from samphirerill.platform.store import PlatformStore
from samphirerill.relay.listeners import listen
from samphirerill.relay.usage import UsageReporter
from samphirerill.testing.platform_store import FakePlatformStore

if TYPE_CHECKING:
    from samphirerill.relay.server import ClientConnection


class TestUsage(IsolatedAsyncioTestCase):
    """Counts by purpose, and periodic logs of their increase."""

    async def test_store_calls_are_counted_by_purpose(self) -> None:
        connections: set[ClientConnection] = set()
        server = await listen('127.0.0.1:0', FakePlatformStore(), connections)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        store = PlatformStore(f'{host}:{port}')
        self.addCleanup(store.close)
        lease = await store.grant_lease(6)
        await store.write({'samphirerill/nodes/n': b'x'}, {}, lease)
        await store.renew_lease(lease)
        await store.read_prefix('')
        await store.revoke_lease(lease)
        self.assertEqual(
            store.calls,
            {'grant': 1, 'write': 1, 'renew': 1, 'read all': 1, 'end': 1},
        )

    def test_log_contains_increase_since_last_report(self) -> None:
        store = Mock(spec=PlatformStore)
        store.calls = Counter({'watch': 3})
        state = Mock()
        state.counters = Counter({'orders': 2})
        usage = UsageReporter(state, cast('PlatformStore', store))
        with patch('samphirerill.relay.usage._LOG') as log:
            usage.log()
            usage.log()
            store.calls['renew'] += 1
            usage.log()
        reports = [
            call.kwargs['extra']['counts'] for call in log.info.mock_calls
        ]
        self.assertEqual(
            reports, [{'store.watch': 3, 'orders': 2}, {'store.renew': 1}]
        )
