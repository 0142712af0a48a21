"""The store's client, leader and logs over a restore of the store."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase

from msgspec import msgpack

from samphirerill.backends.store import StoreError, StoreUnreachableError
from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.removed_replicas import merge_copied
from samphirerill.fleet.revisions import (
    MAX_ERA,
    build_revision,
    get_era,
    get_number,
)
from samphirerill.fleet.view import FleetView
from samphirerill.platform.store import (
    Changes,
    PlatformStore,
    PreconditionFailedError,
    RevisionCompactedError,
    StoredItem,
)
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_rows import Snapshot
from samphirerill.relay.listeners import listen
from samphirerill.testing.platform_store import FakePlatformStore
from samphirerill.tests.fleet_builders import build_replica

_LEASE_S = 2.0
_POLL_S = 0.02
_ELECTION_S = 6.0


class TestRevisions(TestCase):
    """Revisions with their eras."""

    def test_a_later_era_is_later_whatever_the_number(self) -> None:
        self.assertGreater(build_revision(1, 3), build_revision(0, 900))
        latest = build_revision(MAX_ERA, 7)
        self.assertEqual((get_era(latest), get_number(latest)), (MAX_ERA, 7))
        self.assertLess(latest, 2**53)


class StoreCase(IsolatedAsyncioTestCase):
    """A fake store and a client of it."""

    async def asyncSetUp(self) -> None:
        self.fake_store = FakePlatformStore()
        self.server = await listen('127.0.0.1:0', self.fake_store, set())
        self.addCleanup(self.server.close)
        self.store = self.build_client()

    def build_client(self) -> PlatformStore:
        """Return another client."""
        port = self.server.sockets[0].getsockname()[1]
        client = PlatformStore(f'127.0.0.1:{port}')
        self.addCleanup(client.close)
        return client


class TestClient(StoreCase):
    """Each call is judged by the era of its response."""

    async def test_a_watch_of_an_earlier_era_ends(self) -> None:
        """Guards against changes that a reused revision hides."""
        copy = self.fake_store.take_copy()
        await self.fake_store.put('a', b'1')
        _, revision = await self.store.read('a')
        await self.fake_store.restore(copy)
        await self.fake_store.put('b', b'2')
        await self.fake_store.put('b', b'3')
        with self.assertRaises(RevisionCompactedError):
            await self.store.watch('', revision)
        self.assertEqual(self.store.era.restores, 1)
        calls = self.fake_store.call_count
        with self.assertRaises(RevisionCompactedError):
            await self.store.watch('', revision)
        self.assertEqual(self.fake_store.call_count, calls)

    async def test_any_response_shows_the_era(self) -> None:
        await self.store.read('a')
        await self.fake_store.restore(self.fake_store.take_copy())
        self.fake_store.is_unavailable = True
        with self.assertRaises(StoreError):
            await self.store.renew_lease(1)
        self.assertEqual(self.store.era.current, 1)

    async def test_the_first_era_that_is_named_is_a_restore(self) -> None:
        """Guards against a store that names no era before it is restored."""
        self.fake_store.era_text = b''
        await self.store.read('a')
        self.fake_store.era_text = None
        await self.fake_store.restore(self.fake_store.take_copy())
        await self.store.read('a')
        self.assertEqual(self.store.era.restores, 1)

    async def test_a_response_of_an_earlier_era_is_no_answer(self) -> None:
        await self.fake_store.restore(self.fake_store.take_copy())
        await self.store.read('a')
        self.fake_store.era = 0
        with self.assertRaises(StoreUnreachableError) as caught:
            await self.store.write({'a': b'1'}, {})
        self.assertTrue(caught.exception.may_have_applied)
        self.assertEqual(self.store.era.current, 1)

    async def test_an_invalid_era_changes_nothing(self) -> None:
        await self.fake_store.restore(self.fake_store.take_copy())
        await self.fake_store.put('a', b'1')
        await self.store.read('a')
        for text in (b'', b'x', b'-1', b'9' * 30, b'%d' % (MAX_ERA + 1)):
            self.fake_store.era_text = text
            item, _ = await self.store.read('a')
            assert item is not None
            self.assertEqual(get_era(item.revision), 1)
        self.assertEqual(self.store.era.restores, 0)

    async def test_a_restore_between_two_pages_is_an_error(self) -> None:
        """Guards against a listing that is half of one era."""
        self.fake_store.page_size = 1
        for key in ('a', 'b', 'c'):
            await self.fake_store.put(key, b'x')
        self.store.era.observe(0)
        copy = self.fake_store.take_copy()
        listing = asyncio.create_task(self.store.read_prefix(''))
        while self.fake_store.call_count < 1:
            await asyncio.sleep(0)
        await self.fake_store.restore(copy)
        with self.assertRaises(RevisionCompactedError):
            await listing

    async def test_a_condition_of_an_earlier_era_does_not_hold(self) -> None:
        revision = await self.store.write({'a': b'1'}, {'a': 0})
        await self.fake_store.restore(self.fake_store.take_copy())
        await self.store.read('a')
        with self.assertRaises(PreconditionFailedError):
            await self.store.write({'a': b'2'}, {'a': revision})


class TestCopiedEntries(TestCase):
    """Entries of a copy, and what is known beyond it."""

    def test_the_copy_does_not_take_layers_back(self) -> None:
        known = replace(build_replica('a', layers=(0, 40)), order_count=5)
        copied = replace(build_replica('a', layers=(0, 20)), order_count=4)
        self.assertEqual(merge_copied(known, copied), known)
        later = replace(copied, order_count=6)
        self.assertEqual(merge_copied(known, later), later)

    def test_an_entry_that_stays_is_confirmed(self) -> None:
        """Guards against a live replica that is ignored for good."""
        view = FleetView()
        replica = build_replica('a')
        view.apply_announcement(replica, build_revision(0, 5))
        view.remove_announcement('a', build_revision(0, 8), 0)
        view.advance_revision(build_revision(0, 8))
        view.apply_snapshot(
            [(replica, build_revision(1, 5))], build_revision(1, 6), 0
        )
        self.assertEqual(set(view.replicas), set())
        view.remove_lapsed(0.0)
        view.remove_lapsed(4.0)
        self.assertEqual(set(view.replicas), set())
        view.remove_lapsed(6.0)
        self.assertEqual(set(view.replicas), {'a'})


class TestLogs(TestCase):
    """Snapshots for nodes that are in another era."""

    def setUp(self) -> None:
        self.old = [
            StoredItem(f'k{number}', build_revision(0, number), b'same' * 9)
            for number in range(1, 9)
        ]
        self.old_revision = build_revision(0, 20)
        self.new_revision = build_revision(1, 12)
        self.new = [
            StoredItem(item.key, build_revision(1, number), item.text)
            for number, item in enumerate(self.old[:-1], 1)
        ]
        self.new.append(StoredItem('new', build_revision(1, 12), b'new'))

    def test_only_what_differs_is_sent(self) -> None:
        """Guards against a restore that sends all keys to all nodes."""
        asyncio.run(self.check_difference())

    async def check_difference(self) -> None:
        watcher = self.build_log()
        watcher.reset(self.new_revision, self.new)
        encoded = watcher.encode_snapshot(self.old_revision)
        assert encoded is not None
        snapshot = msgpack.decode(encoded, type=Snapshot)
        self.assertEqual([row.key for row in snapshot.rows], ['new'])
        listener = self.build_log()
        changes = listener.decode_snapshot(snapshot)
        listener.append(changes)
        self.assertEqual(listener.revision, self.new_revision)
        self.assertEqual(
            listener.encode_snapshot(0), watcher.encode_snapshot(0)
        )
        self.assertTrue(listener.is_compacted(self.old_revision))

    def test_a_node_that_was_ahead_is_not_misled(self) -> None:
        """Guards against keeping a write that only one node had seen."""
        asyncio.run(self.check_ahead())

    async def check_ahead(self) -> None:
        watcher = self.build_log()
        watcher.reset(self.new_revision, self.new)
        encoded = watcher.encode_snapshot(self.old_revision)
        assert encoded is not None
        listener = self.build_log()
        lost = StoredItem('k1', build_revision(0, 21), b'lost')
        listener.append(Changes(build_revision(0, 21), [lost]))
        with self.assertRaises(DeltaError):
            listener.decode_snapshot(msgpack.decode(encoded, type=Snapshot))

    def build_log(self) -> ChangeLog:
        """Return a log of the earlier era."""
        log = ChangeLog()
        log.reset(self.old_revision, self.old)
        return log
