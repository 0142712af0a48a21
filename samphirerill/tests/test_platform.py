"""The platform adapter: documents, headers and the key-value store."""

from __future__ import annotations

import asyncio
import pathlib
import re
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.backends.store import (
    StoreError,
    StoreRejectedError,
    StoreUnreachableError,
)
from samphirerill.fleet.model import LayerRange, RetryClass, Stage
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.store import (
    DeletedKey,
    LeaseNotFoundError,
    PlatformStore,
    PreconditionFailedError,
    RevisionCompactedError,
)
from samphirerill.relay.connection import ResponseHead
from samphirerill.relay.listeners import listen
from samphirerill.relay.platform_adapter import Attempt, DocumentError
from samphirerill.relay.server import Request
from samphirerill.testing.platform_store import FakePlatformStore
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.platform_documents import API_KEY, CONFIGURATION

_PACKAGE = pathlib.Path(__file__).parent.parent
# Names that occur only in the platform's wire format.
_PLATFORM_NAMES = re.compile(
    'X-Samphirerill-|trafficSplit|maxAttempts|apiKeys|sloMs|kvTokenBytes'
    '|kv-txn|kv-watch|fencingToken|coldLeftMs',
    re.IGNORECASE,
)


class TestDocuments(TestCase):
    """Documents are decoded into typed objects, or rejected."""

    def setUp(self) -> None:
        self.adapter = HttpPlatformAdapter()

    def test_account_weight_is_decoded(self) -> None:
        account = b'{"name": "a", "apiKeys": ["k"]%b}'
        document = b'{"version": 1, "tenants": [%b]}'
        for text, weight in ((b'', 1.0), (b', "weight": 2.5', 2.5)):
            cfg = self.adapter.decode_configuration(document % (account % text))
            self.assertEqual(cfg.accounts['k'].weight, weight)
        with self.assertRaises(DocumentError):
            self.adapter.decode_configuration(
                document % (account % b', "weight": 0')
            )

    def test_configuration_is_decoded_completely(self) -> None:
        configuration = self.adapter.decode_configuration(CONFIGURATION)
        streaming_route, plain_route = configuration.routes
        self.assertIs(streaming_route.retry_class, RetryClass.STREAM)
        self.assertTrue(streaming_route.is_resumable)
        self.assertEqual(streaming_route.gap_s, 0.2)
        self.assertEqual(len(streaming_route.service_weights), 2)
        self.assertIs(plain_route.retry_class, RetryClass.NON_IDEMPOTENT)
        self.assertEqual(configuration.accounts[API_KEY].name, 'suva')
        engine = configuration.services['llm'].engine
        assert engine is not None
        self.assertEqual(engine.layers, 80)
        self.assertEqual(engine.accelerators['small'].prefill_factor, 8.2)

    def test_malformed_documents_raise_document_error(self) -> None:
        """Decoder errors must not end the loop that follows the store."""
        for text in (b'', b'{', b'[]', b'{"version":"x"}', b'\xff', b'null'):
            with self.subTest(text):
                with self.assertRaises(DocumentError):
                    self.adapter.decode_configuration(text)
                with self.assertRaises(DocumentError):
                    self.adapter.decode_replica('one', text)

    def test_route_of_unknown_kind_is_not_retried(self) -> None:
        text = CONFIGURATION.replace(b'"streaming"', b'"new_kind"')
        configuration = self.adapter.decode_configuration(text)
        self.assertIs(
            configuration.routes[0].retry_class, RetryClass.NON_IDEMPOTENT
        )


class TestHeaders(TestCase):
    """Headers of requests and responses."""

    def setUp(self) -> None:
        self.adapter = HttpPlatformAdapter()
        self.replica = build_replica('one', layers=(0, 80))

    def test_api_key_and_forged_headers_are_removed(self) -> None:
        headers = self._build_headers(
            [
                (b'authorization', b'Bearer secret'),
                (b'x-samphirerill-tenant', b'forged'),
                (b'x-samphirerill-target-instance', b'forged'),
                (b'connection', b'x-hop'),
                (b'x-hop', b'1'),
                (b'x-other', b'kept'),
            ]
        )
        self.assertNotIn(b'authorization', dict(headers))
        self.assertNotIn(b'x-hop', dict(headers))
        self.assertEqual(dict(headers)[b'x-samphirerill-tenant'], b'suva')
        self.assertEqual(
            dict(headers)[b'x-samphirerill-target-instance'], b'one'
        )
        self.assertEqual(dict(headers)[b'x-other'], b'kept')
        names = [name for name, _ in headers]
        self.assertEqual(len(names), len(set(names)))

    def test_path_header_lists_all_stages(self) -> None:
        headers = dict(self._build_headers([]))
        self.assertEqual(
            headers[b'x-samphirerill-hop-count'],
            f'{self.replica.address}=0-80'.encode(),
        )
        self.assertEqual(headers[b'x-samphirerill-deadline-ms'], b'1500')

    def test_not_executed_is_distinguished_from_failure(self) -> None:
        not_run = ResponseHead(503, [(b'x-samphirerill-not-executed', b'1')])
        self.assertTrue(self.adapter.parse_response(not_run).is_not_run)
        self.assertTrue(
            self.adapter.parse_response(ResponseHead(421)).is_not_run
        )
        self.assertFalse(
            self.adapter.parse_response(ResponseHead(503)).is_not_run
        )

    def test_invalid_headers_count_as_absent(self) -> None:
        req = Request(
            b'GET',
            b'/',
            [
                (b'x-samphirerill-deadline-ms', b'-5'),
                (b'x-samphirerill-token-count', b'many,\xff'),
                (b'authorization', b'Basic x'),
            ],
            0,
        )
        metadata = self.adapter.parse_request(req)
        self.assertEqual(metadata.deadline_s, 0)
        self.assertEqual(metadata.prompt_tokens, 0)
        self.assertEqual(metadata.api_key, '')

    def test_api_key_is_removed_on_public_routes(self) -> None:
        key = [(b'authorization', b'Bearer secret')]
        removed = self._build_headers(key, account='')
        self.assertNotIn(b'authorization', dict(removed))
        kept = self._build_headers(key, account='', strips_api_key=False)
        self.assertIn(b'authorization', dict(kept))

    def _build_headers(
        self,
        headers: list[tuple[bytes, bytes]],
        account: str = 'suva',
        *,
        strips_api_key: bool = True,
    ) -> list[tuple[bytes, bytes]]:
        req = Request(b'POST', b'/', headers, 0)
        stages = (Stage(self.replica, LayerRange(0, 80)),)
        attempt = Attempt(self.replica, account, 1.5, strips_api_key, stages)
        metadata = self.adapter.parse_request(req)
        return self.adapter.build_headers(req, metadata, attempt)


class TestBoundary(TestCase):
    """The platform's names are used in the adapter only."""

    def test_platform_names_are_used_in_adapter_only(self) -> None:
        for path in _PACKAGE.rglob('*.py'):
            folder = path.relative_to(_PACKAGE).parts[0]
            if folder in {'platform', 'testing', 'tests'}:
                continue
            match = _PLATFORM_NAMES.search(path.read_text())
            self.assertIsNone(match, f'{path}: {match}')


class TestStore(IsolatedAsyncioTestCase):
    """The client of the key-value store, with failures of the store."""

    async def asyncSetUp(self) -> None:
        self.fake_store = FakePlatformStore()
        self.server = await listen('127.0.0.1:0', self.fake_store, set())
        port = self.server.sockets[0].getsockname()[1]
        self.store = PlatformStore(f'127.0.0.1:{port}')

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        await asyncio.sleep(0)

    async def test_written_value_is_read_back(self) -> None:
        revision = await self.store.write({'a': b'\x00\xff'}, {'a': 0})
        item, current = await self.store.read('a')
        assert item is not None
        self.assertEqual(item.text, b'\x00\xff')
        self.assertEqual(current, revision)
        missing, _ = await self.store.read('b')
        self.assertIsNone(missing)

    async def test_prefix_is_read_over_several_pages(self) -> None:
        self.fake_store.page_size = 3
        for number in range(10):
            await self.fake_store.put(f'k{number}', b'x')
        entries, revision = await self.store.read_prefix('k')
        self.assertEqual(len(entries), 10)
        self.assertEqual(revision, 10)

    async def test_failed_condition_changes_nothing(self) -> None:
        await self.store.write({'a': b'1'}, {'a': 0})
        with self.assertRaises(PreconditionFailedError):
            await self.store.write({'a': b'2'}, {'a': 0})
        item, _ = await self.store.read('a')
        assert item is not None
        self.assertEqual(item.text, b'1')

    async def test_watch_returns_deletions(self) -> None:
        await self.fake_store.put('a', b'1')
        waiting = asyncio.create_task(self.store.watch('', 1))
        await asyncio.sleep(0.05)
        await self.fake_store.delete('a')
        changes = await waiting
        self.assertEqual(changes.events, [DeletedKey('a', 2)])
        self.assertEqual(changes.revision, 2)

    async def test_compacted_revision_raises_error(self) -> None:
        await self.fake_store.put('a', b'1')
        await self.fake_store.put('a', b'2')
        self.fake_store.compact_history()
        with self.assertRaises(RevisionCompactedError):
            await self.store.watch('', 1)

    async def test_refused_write_is_not_applied(self) -> None:
        self.fake_store.is_unavailable = True
        with self.assertRaises(StoreRejectedError):
            await self.store.write({'a': b'1'}, {})
        self.assertEqual(self.fake_store.keys, {})

    async def test_write_with_lost_response_may_have_applied(self) -> None:
        self.fake_store.responses_to_lose = 1
        with self.assertRaises(StoreUnreachableError) as caught:
            await self.store.write({'a': b'1'}, {})
        self.assertTrue(caught.exception.may_have_applied)
        item, _ = await self.store.read('a')
        self.assertIsNotNone(item)

    async def test_renewal_of_revoked_lease_raises_error(self) -> None:
        lease = await self.store.grant_lease(2)
        await self.store.write({'a': b'1'}, {}, lease)
        await self.store.renew_lease(lease)
        await self.store.revoke_lease(lease)
        self.assertEqual(self.fake_store.keys, {})
        with self.assertRaises(LeaseNotFoundError):
            await self.store.renew_lease(lease)

    async def test_unreachable_store_raises_error(self) -> None:
        self.server.close()
        await asyncio.sleep(0)
        with self.assertRaises(StoreError):
            await PlatformStore('127.0.0.1:1').read('a')
