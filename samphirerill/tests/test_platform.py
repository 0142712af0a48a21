"""The adapter: documents, words, and the key-value service."""

from __future__ import annotations

import asyncio
import pathlib
import re
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.backends.store import (
    StoreError,
    StoreRefusedError,
    StoreUnreachableError,
)
from samphirerill.fleet.model import LayerRange, Repeat, Stage
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.store import (
    ConditionFailedError,
    DeletedKey,
    HistoryGoneError,
    NoSuchLeaseError,
    PlatformStore,
)
from samphirerill.relay.connection import Head
from samphirerill.relay.dialect import Attempt, DocumentError
from samphirerill.relay.listeners import listen
from samphirerill.relay.server import Request
from samphirerill.testing.platform_store import StandInStore
from samphirerill.tests.fleets import build_replica
from samphirerill.tests.platform_documents import CONFIGURATION, KEY

_ROOT = pathlib.Path(__file__).parent.parent
# Names of the platform's that mean nothing else anywhere.
_NAMES = re.compile(
    'X-Samphirerill-|trafficSplit|maxAttempts|apiKeys|sloMs|kvTokenBytes'
    '|kv-txn|kv-watch|fencingToken|coldLeftMs',
    re.IGNORECASE,
)


class TestDocuments(TestCase):
    """Documents become typed objects, or errors."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()

    def test_a_configuration_is_read_whole(self) -> None:
        cfg = self.dialect.decode_configuration(CONFIGURATION)
        stream, plain = cfg.routes
        self.assertIs(stream.repeat, Repeat.STREAM)
        self.assertTrue(stream.is_resumable)
        self.assertEqual(stream.gap_s, 0.2)
        self.assertEqual(len(stream.shares), 2)
        self.assertIs(plain.repeat, Repeat.NON_IDEMPOTENT)
        self.assertEqual(cfg.accounts[KEY].name, 'suva')
        engine = cfg.services['llm'].engine
        assert engine is not None
        self.assertEqual(engine.layers, 80)
        self.assertEqual(engine.accelerators['small'].read_factor, 8.2)

    def test_nonsense_is_an_error_of_its_own(self) -> None:
        """Symptom: a node stops following the store.

        Sequence: an entry is truncated, or of another type. Cause: an error
        of the decoder that nobody expected.
        """
        for text in (b'', b'{', b'[]', b'{"version":"x"}', b'\xff', b'null'):
            with self.subTest(text):
                with self.assertRaises(DocumentError):
                    self.dialect.decode_configuration(text)
                with self.assertRaises(DocumentError):
                    self.dialect.decode_replica('one', text)

    def test_an_unknown_kind_of_request_is_not_repeated(self) -> None:
        text = CONFIGURATION.replace(b'"streaming"', b'"new_kind"')
        cfg = self.dialect.decode_configuration(text)
        self.assertIs(cfg.routes[0].repeat, Repeat.NON_IDEMPOTENT)


class TestWords(TestCase):
    """Headers of requests and answers."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.replica = build_replica('one', layers=(0, 80))

    def test_the_key_is_not_passed_on(self) -> None:
        headers = self._build(
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

    def test_the_path_names_every_part(self) -> None:
        headers = dict(self._build([]))
        self.assertEqual(
            headers[b'x-samphirerill-hop-count'],
            f'{self.replica.address}=0-80'.encode(),
        )
        self.assertEqual(headers[b'x-samphirerill-deadline-ms'], b'1500')

    def test_a_refusal_that_ran_nothing_is_told_from_a_failure(self) -> None:
        not_run = Head(503, [(b'x-samphirerill-not-executed', b'1')])
        self.assertTrue(self.dialect.read_answer(not_run).is_not_run)
        self.assertTrue(self.dialect.read_answer(Head(421)).is_not_run)
        self.assertFalse(self.dialect.read_answer(Head(503)).is_not_run)

    def test_bad_headers_count_as_unsaid(self) -> None:
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
        facts = self.dialect.read_request(req)
        self.assertEqual(facts.deadline_s, 0)
        self.assertEqual(facts.prompt_tokens, 0)
        self.assertEqual(facts.api_key, '')

    def test_the_key_is_hidden_on_a_public_route_too(self) -> None:
        key = [(b'authorization', b'Bearer secret')]
        hidden = self._build(key, account='')
        self.assertNotIn(b'authorization', dict(hidden))
        shown = self._build(key, account='', hides_key=False)
        self.assertIn(b'authorization', dict(shown))

    def _build(
        self,
        headers: list[tuple[bytes, bytes]],
        account: str = 'suva',
        *,
        hides_key: bool = True,
    ) -> list[tuple[bytes, bytes]]:
        req = Request(b'POST', b'/', headers, 0)
        stages = (Stage(self.replica, LayerRange(0, 80)),)
        attempt = Attempt(self.replica, account, 1.5, hides_key, stages)
        facts = self.dialect.read_request(req)
        return self.dialect.build_headers(req, facts, attempt)


class TestBoundary(TestCase):
    """Nothing outside the adapter knows the platform's names."""

    def test_names_stay_in_the_adapter(self) -> None:
        for path in _ROOT.rglob('*.py'):
            folder = path.relative_to(_ROOT).parts[0]
            if folder in {'platform', 'testing', 'tests'}:
                continue
            found = _NAMES.search(path.read_text())
            self.assertIsNone(found, f'{path}: {found}')


class TestStore(IsolatedAsyncioTestCase):
    """The key-value service, also when it misbehaves."""

    async def asyncSetUp(self) -> None:
        self.service = StandInStore()
        self.server = await listen('127.0.0.1:0', self.service, set())
        port = self.server.sockets[0].getsockname()[1]
        self.store = PlatformStore(f'127.0.0.1:{port}')

    async def asyncTearDown(self) -> None:
        self.store.close()
        self.server.close()
        await asyncio.sleep(0)

    async def test_reads_what_was_written(self) -> None:
        revision = await self.store.write({'a': b'\x00\xff'}, {'a': 0})
        item, current = await self.store.read('a')
        assert item is not None
        self.assertEqual(item.text, b'\x00\xff')
        self.assertEqual(current, revision)
        missing, _ = await self.store.read('b')
        self.assertIsNone(missing)

    async def test_ranges_come_in_pages(self) -> None:
        self.service.page = 3
        for number in range(10):
            await self.service.put(f'k{number}', b'x')
        found, revision = await self.store.read_prefix('k')
        self.assertEqual(len(found), 10)
        self.assertEqual(revision, 10)

    async def test_a_condition_that_fails_changes_nothing(self) -> None:
        await self.store.write({'a': b'1'}, {'a': 0})
        with self.assertRaises(ConditionFailedError):
            await self.store.write({'a': b'2'}, {'a': 0})
        item, _ = await self.store.read('a')
        assert item is not None
        self.assertEqual(item.text, b'1')

    async def test_a_watch_brings_writes_and_deletions(self) -> None:
        await self.service.put('a', b'1')
        waiting = asyncio.create_task(self.store.watch('', 1))
        await asyncio.sleep(0.05)
        await self.service.delete('a')
        changes = await waiting
        self.assertEqual(changes.events, [DeletedKey('a', 2)])
        self.assertEqual(changes.revision, 2)

    async def test_a_dropped_history_is_told(self) -> None:
        await self.service.put('a', b'1')
        await self.service.put('a', b'2')
        self.service.forget_history()
        with self.assertRaises(HistoryGoneError):
            await self.store.watch('', 1)

    async def test_a_busy_service_has_done_nothing(self) -> None:
        self.service.busy = True
        with self.assertRaises(StoreRefusedError):
            await self.store.write({'a': b'1'}, {})
        self.assertEqual(self.service.keys, {})

    async def test_a_lost_answer_may_hide_a_write(self) -> None:
        self.service.lose_answers = 1
        with self.assertRaises(StoreUnreachableError) as caught:
            await self.store.write({'a': b'1'}, {})
        self.assertTrue(caught.exception.may_have_applied)
        item, _ = await self.store.read('a')
        self.assertIsNotNone(item)

    async def test_an_ended_lease_is_told(self) -> None:
        lease = await self.store.grant_lease(2)
        await self.store.write({'a': b'1'}, {}, lease)
        await self.store.renew_lease(lease)
        await self.store.end_lease(lease)
        self.assertEqual(self.service.keys, {})
        with self.assertRaises(NoSuchLeaseError):
            await self.store.renew_lease(lease)

    async def test_an_absent_service_is_an_error(self) -> None:
        self.server.close()
        await asyncio.sleep(0)
        with self.assertRaises(StoreError):
            await PlatformStore('127.0.0.1:1').read('a')
