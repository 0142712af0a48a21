"""Distribution of store changes by watchers to the other nodes."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.fleet.watchers import choose_watcher, list_watchers
from samphirerill.platform.store import (
    WATCH_TIMEOUT_S,
    Changes,
    DeletedKey,
    StoredItem,
)
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_source import (
    MAX_LAG_S,
    ChangeSource,
    PeerRequestHandler,
)
from samphirerill.relay.confirmation import MAX_CONFIRMATION_AGE_S
from samphirerill.relay.errors import (
    ChangeTooLargeError,
    EndpointError,
    WatchLostError,
)
from samphirerill.relay.listeners import listen
from samphirerill.relay.pool import call_once
from samphirerill.relay.server import ClientConnection

_MARGIN_S = 0.05
# At 10 Mbit/s a client's stream pauses for 50 ms while this is sent.
_MAX_FORWARDED_BYTES = 62_500
_MAX_BYTES_PER_S = 625_000
_MAX_DISTRIBUTION_S = 2.0
_LISTENERS = 16
_NAMES = [
    f'edge-hall-{data_centre}-{at}' for data_centre in 'abc' for at in range(24)
]


class TestWatchers(TestCase):
    """Selection of the nodes that watch the store."""

    def test_few_nodes_of_a_large_fleet_watch_the_store(self) -> None:
        """Guard against every node watching the store.

        Each change would then end one watch per node, and the calls to the
        store would grow with the fleet.
        """
        watchers = list_watchers(_NAMES)
        self.assertEqual(len(watchers), 4)
        listeners = [
            name for name in _NAMES if choose_watcher(name, _NAMES, ())
        ]
        self.assertEqual(len(listeners), len(_NAMES) - len(watchers))

    def test_nodes_agree_on_the_watchers_and_spread_over_them(self) -> None:
        watchers = set(list_watchers(reversed(_NAMES)))
        chosen = [choose_watcher(name, _NAMES, ()) for name in _NAMES]
        self.assertEqual(set(chosen) - {''}, watchers)
        self.assertLess(max(map(chosen.count, watchers)), 30)

    def test_without_a_usable_watcher_a_node_uses_the_store(self) -> None:
        watchers = list_watchers(_NAMES)
        other = next(name for name in _NAMES if name not in watchers)
        self.assertIn(choose_watcher(other, _NAMES, watchers[:1]), watchers[1:])
        self.assertEqual(choose_watcher(other, _NAMES, watchers), '')
        self.assertEqual(choose_watcher('alone', [], ()), '')


class ChangesCase(IsolatedAsyncioTestCase):
    """A watcher and a node that polls it."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.log = ChangeLog()
        self.log.reset(10, confirmed_at=self.loop.time())
        self.is_connected = True
        handler = PeerRequestHandler({}, self.log, lambda: self.is_connected)
        connections: set[ClientConnection] = set()
        server = await listen('127.0.0.1:0', handler, connections)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.names = {f'n{at}': f'127.0.0.1:{port}' for at in range(20)}
        watchers = list_watchers(self.names)
        own = next(name for name in self.names if name not in watchers)
        self.source = self.build_started_source(own)
        self.source.log.reset(10, confirmed_at=self.loop.time())
        self.watcher = self.source.select_watcher()
        self.confirming = asyncio.create_task(self._keep_confirmed())
        self.addCleanup(self.confirming.cancel)

    def build_started_source(self, own: str) -> ChangeSource:
        """Return the source of a node that is past its startup."""
        with patch('samphirerill.relay.change_source._STARTUP_S', 0):
            source = ChangeSource(own)
        source.update_peers(self.names)
        return source

    async def _keep_confirmed(self) -> None:
        """Confirm the watcher's log as the store does without changes."""
        while True:
            now = self.loop.time()
            self.log.append(Changes(self.log.revision, [], now))
            await asyncio.sleep(WATCH_TIMEOUT_S)


class TestChanges(ChangesCase):
    """Changes that a watcher serves or cannot serve."""

    async def test_a_change_ends_the_long_poll(self) -> None:
        waiting = asyncio.create_task(self.source.watch(self.watcher, 10))
        await asyncio.sleep(0.05)
        events: list[StoredItem | DeletedKey] = [
            StoredItem('servers/a', 11, b'x'),
            DeletedKey('servers/b', 12),
        ]
        self.log.append(Changes(12, events))
        async with asyncio.timeout(0.3):
            changes = await waiting
        self.assertEqual(changes.revision, 12)
        self.assertEqual(changes.events, events)

    async def test_a_long_poll_without_changes_ends(self) -> None:
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual((changes.revision, changes.events), (10, []))

    async def test_a_compacted_revision_is_an_error(self) -> None:
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 9)
        self.assertNotEqual(self.source.select_watcher(), self.watcher)

    async def test_a_reset_of_the_log_during_a_long_poll_is_an_error(
        self,
    ) -> None:
        """Guard against losing the changes before a reset.

        A watcher whose log was reset answered waiting nodes with no changes at
        the new revision, so that they missed a configuration.
        """
        waiting = asyncio.create_task(self.source.watch(self.watcher, 10))
        await asyncio.sleep(0.05)
        self.log.reset(15)
        with self.assertRaises(EndpointError):
            await waiting

    async def test_a_node_that_lacks_the_history_gets_a_snapshot(self) -> None:
        """Guard against a full read of the store by each starting node."""
        own = [
            StoredItem('servers/a', 8, b'old'),
            StoredItem('servers/b', 9, b'same'),
            StoredItem('servers/gone', 9, b'x'),
        ]
        self.source.log.reset(10, own)
        changed = StoredItem('servers/a', 13, b'new')
        added = StoredItem('servers/c', 12, b'y')
        self.log.reset(15, [changed, own[1], added])
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual(changes.revision, 15)
        self.assertEqual(
            changes.events, [added, changed, DeletedKey('servers/gone', 15)]
        )
        self.source.log.append(changes)
        more = await self.source.watch(self.watcher, 15)
        self.assertEqual(more.events, [])

    async def test_a_log_updated_from_a_snapshot_can_serve_it(self) -> None:
        """A listener may become a watcher later."""
        self.source.log.reset(10, [StoredItem('servers/gone', 9, b'x')])
        self.log.reset(15, [StoredItem('servers/a', 13, b'new')])
        self.source.log.append(await self.source.watch(self.watcher, 10))
        snapshot = self.source.log.encode_snapshot(10)
        self.assertEqual(snapshot, self.log.encode_snapshot(10))

    async def test_a_disconnected_watcher_returns_an_error(self) -> None:
        """Guard against answering "no changes" without a store connection."""
        self.is_connected = False
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 10)

    async def test_a_watcher_whose_watch_is_silent_stops_answering(
        self,
    ) -> None:
        """Guards against "no changes" from a watcher that cannot know."""
        self.confirming.cancel()
        after = self.loop.time() + MAX_CONFIRMATION_AGE_S + _MARGIN_S
        with self.assertRaises(WatchLostError):
            while self.loop.time() < after:
                changes = await self.source.watch(self.watcher, 10)
                self.source.log.append(changes)
        self.assertLess(self.loop.time(), after)

    async def test_a_confirmation_keeps_its_age_on_the_way(self) -> None:
        """Guards against nodes that confirm more to others than they know."""
        self.confirming.cancel()
        self.log.append(Changes(11, []))
        await asyncio.sleep(4 * _MARGIN_S)
        changes = await self.source.watch(self.watcher, 10)
        self.assertLessEqual(
            changes.confirmed_at, self.log.confirmation.at + _MARGIN_S
        )

    async def test_a_watcher_that_lags_waits_for_the_revision(self) -> None:
        """Guard against refusing nodes whose revision is slightly newer.

        Watchers batch changes; refused nodes would watch the store themselves.
        """
        waiting = asyncio.create_task(self.source.watch(self.watcher, 12))
        await asyncio.sleep(_MARGIN_S)
        self.log.append(Changes(12, [StoredItem('servers/a', 12, b'x')]))
        await asyncio.sleep(_MARGIN_S)
        item = StoredItem('servers/a', 13, b'y')
        self.log.append(Changes(13, [item]))
        changes = await waiting
        self.assertEqual(changes.events, [item])

    async def test_a_watcher_refused_by_the_store_uses_another_watcher(
        self,
    ) -> None:
        """Guard against a refused watcher calling the store all the time."""
        own = list_watchers(self.names)[0]
        source = self.build_started_source(own)
        self.assertEqual(source.select_watcher(), '')
        source.record_store_result(answers=False)
        self.assertTrue(source.was_refused_by_store())
        self.assertIn(source.select_watcher(), list_watchers(self.names)[1:])

    async def test_a_watcher_resumes_as_soon_as_the_store_answers(
        self,
    ) -> None:
        """Guard against reporting no connection after the store is back."""
        source = self.build_started_source(list_watchers(self.names)[0])
        source.record_store_result(answers=False)
        source.record_store_result(answers=True)
        self.assertFalse(source.was_refused_by_store())
        self.assertEqual(source.select_watcher(), '')
        self.assertTrue(source.may_call_store())

    async def test_a_node_that_lags_behind_its_peers_leaves_its_watcher(
        self,
    ) -> None:
        """Guard against watchers that lost the store without noticing."""
        self.source.note_peer_revision(known=15, own=12)
        self.assertEqual(self.source.select_watcher(), self.watcher)
        await asyncio.sleep(MAX_LAG_S + _MARGIN_S)
        self.source.note_peer_revision(known=15, own=15)
        self.assertEqual(self.source.select_watcher(), self.watcher)
        self.source.note_peer_revision(known=18, own=15)
        await asyncio.sleep(MAX_LAG_S + _MARGIN_S)
        self.source.note_peer_revision(known=18, own=15)
        self.assertNotEqual(self.source.select_watcher(), self.watcher)

    async def test_the_store_is_used_once_all_watchers_lag(self) -> None:
        """Guard against nodes that read a large configuration there at once."""
        self.source.note_peer_revision(known=18, own=15)
        used = []
        while self.source.select_watcher():
            used.append(self.source.select_watcher())
            await asyncio.sleep(MAX_LAG_S + _MARGIN_S)
            self.source.note_peer_revision(known=18, own=15)
        self.assertCountEqual(used, list_watchers(self.names))


def _build_routes(count: int) -> bytes:
    """Return routes with random names, as operators' names do not compress."""
    random = Random(count)
    return b''.join(
        b',{"name":"r-%08x","host":"%08x.example","prefix":"/%08x/",'
        b'"kind":"streaming","timeoutMs":20000,"sloMs":502,"priority":1,'
        b'"service":"notes","maxAttempts":2,"public":false,"affinity":true,'
        b'"resumable":true,"gapTargetMs":250}'
        % tuple(random.getrandbits(32) for _ in range(3))
        for _ in range(count)
    )


class TestLargeChanges(ChangesCase):
    """A large configuration that a watcher serves to many nodes."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.text = b','.join(
            b'{"route": "r%d", "service": "notes"}' % at for at in range(1500)
        )
        known = StoredItem('op/config', 10, self.text)
        self.log.reset(10, [known])
        self.source.log.reset(10, [known])

    def append_version(self, revision: int, text: bytes) -> StoredItem:
        """Append a version of the configuration to the watcher's log."""
        item = StoredItem('op/config', revision, text)
        self.log.append(Changes(revision, [item]))
        return item

    async def test_a_large_configuration_is_sent_as_a_delta(
        self,
    ) -> None:
        """Guard against saturating the link of a watcher with each version.

        Sent in full to all listeners at once, a configuration delayed all other
        traffic, and healthy replicas were taken to be dead.
        """
        before = StoredItem('op/config', 11, self.text)
        self.log.append(Changes(11, [before]))
        other = self.text.replace(b'"r7"', b'"r7-new"')
        self.log.append(Changes(12, [StoredItem('op/config', 12, other)]))
        status, body = await call_once(
            self.names[self.watcher],
            b'GET',
            b'/changes/5?after=11',
            b'',
            asyncio.get_running_loop().time() + 1,
        )
        self.assertEqual(status, 200)
        self.assertLess(len(body), 500)

    async def test_applying_the_delta_gives_the_new_text(self) -> None:
        for revision in (11, 12):
            other = self.text.replace(b'"r7"', b'"r7-%d"' % revision)
            item = self.append_version(revision, other)
            changes = await self.source.watch(self.watcher, revision - 1)
            self.assertEqual(changes.events, [item])
            self.source.log.append(changes)

    async def test_missed_versions_are_sent_in_order(
        self,
    ) -> None:
        versions = [
            self.append_version(at, self.text.replace(b'"r8"', b'"r8-%d"' % at))
            for at in (11, 12, 13)
        ]
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual(changes.events, versions)

    async def test_a_delta_to_an_unknown_text_is_an_error(self) -> None:
        self.source.log.reset(10, [StoredItem('op/config', 10, self.text[:-1])])
        self.append_version(11, self.text + b',{"route": "new"}')
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 10)

    async def test_many_new_routes_are_forwarded(self) -> None:
        """Guard against each node reading all of them from the store at once."""
        item = self.append_version(11, self.text + _build_routes(1400))
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual(changes.events, [item])
        batch = self.log.encode_changes(10)
        self.assertLess(len(batch or b''), _MAX_FORWARDED_BYTES)

    async def test_a_snapshot_contains_a_large_configuration(self) -> None:
        """Guard against a full read by all nodes when the store is back."""
        text = self.text + _build_routes(1400)
        item = StoredItem('op/config', 14, text)
        self.log.reset(15, [item])
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual((changes.revision, changes.events), (15, [item]))
        snapshot = self.log.encode_snapshot(10)
        self.assertLess(len(snapshot or b''), _MAX_FORWARDED_BYTES)

    async def test_many_listeners_do_not_saturate_the_link(self) -> None:
        """Guard against streams that wait behind copies of a configuration."""
        self.append_version(11, self.text + _build_routes(1400))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        received = [started_at]
        batch_size = len(self.log.encode_changes(10) or b'')

        async def poll() -> None:
            after = 10
            while after < 11:
                changes = await self.source.watch(self.watcher, after)
                after = changes.revision
            received.append(loop.time())

        await asyncio.gather(*(poll() for _ in range(_LISTENERS)))
        took_s = max(received) - started_at
        self.assertLessEqual(
            (_LISTENERS - 1) * batch_size / took_s, _MAX_BYTES_PER_S
        )
        self.assertLess(took_s, _MAX_DISTRIBUTION_S)

    async def test_a_large_delta_is_left_to_the_store(self) -> None:
        self.append_version(11, self.text + Random(1).randbytes(100_000))
        with self.assertRaises(ChangeTooLargeError):
            await self.source.watch(self.watcher, 10)
        self.assertEqual(self.source.select_watcher(), self.watcher)
