"""Changes that are passed on from the nodes that watch the store."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.fleet.watchers import choose_watcher, list_watchers
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.errors import EndpointError, TooLargeError
from samphirerill.relay.listeners import listen
from samphirerill.relay.news import (
    BEHIND_S,
    NewsSource,
    PeerPages,
)
from samphirerill.relay.pool import call_once
from samphirerill.relay.server import CallerConnection

_MARGIN_S = 0.05
_NAMES = [f'edge-hall-{zone}-{at}' for zone in 'abc' for at in range(24)]


class TestWatchers(TestCase):
    """Who watches the store in a fleet."""

    def test_few_nodes_of_many_watch(self) -> None:
        """Symptom: calls to the store take a sixth of a calm day's worth.

        Sequence: 98 replicas announce their layers; the watch of each of 69
        nodes ends with each of them. Cause: every node watched the store.
        """
        watchers = list_watchers(_NAMES)
        self.assertEqual(len(watchers), 4)
        listening = [
            name for name in _NAMES if choose_watcher(name, _NAMES, ())
        ]
        self.assertEqual(len(listening), len(_NAMES) - len(watchers))

    def test_all_nodes_agree_and_spread_over_the_watchers(self) -> None:
        watchers = set(list_watchers(reversed(_NAMES)))
        chosen = [choose_watcher(name, _NAMES, ()) for name in _NAMES]
        self.assertEqual(set(chosen) - {''}, watchers)
        self.assertLess(max(map(chosen.count, watchers)), 30)

    def test_without_any_watcher_a_node_asks_the_store(self) -> None:
        watchers = list_watchers(_NAMES)
        other = next(name for name in _NAMES if name not in watchers)
        self.assertIn(choose_watcher(other, _NAMES, watchers[:1]), watchers[1:])
        self.assertEqual(choose_watcher(other, _NAMES, watchers), '')
        self.assertEqual(choose_watcher('alone', [], ()), '')


class NewsCase(IsolatedAsyncioTestCase):
    """A watcher and a node that listens at it."""

    async def asyncSetUp(self) -> None:
        self.log = ChangeLog()
        self.log.restart(10)
        self.hears = True
        pages = PeerPages({}, self.log, lambda: self.hears)
        connections: set[CallerConnection] = set()
        server = await listen('127.0.0.1:0', pages, connections)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.names = {f'n{at}': f'127.0.0.1:{port}' for at in range(20)}
        watchers = list_watchers(self.names)
        own = next(name for name in self.names if name not in watchers)
        self.source = self.build_settled(own)
        self.watcher = self.source.choose()

    def build_settled(self, own: str) -> NewsSource:
        """Return the source of a node that has been there for a while."""
        with patch('samphirerill.relay.news._STARTING_S', 0):
            source = NewsSource(own)
        source.take_peers(self.names)
        return source


class TestNews(NewsCase):
    """Changes that a watcher passes on, or can't."""

    async def test_changes_arrive_as_they_come(self) -> None:
        waiting = asyncio.create_task(self.source.watch(self.watcher, 10))
        await asyncio.sleep(0.05)
        events: list[StoredItem | DeletedKey] = [
            StoredItem('servers/a', 11, b'x'),
            DeletedKey('servers/b', 12),
        ]
        self.log.note(Changes(12, events))
        async with asyncio.timeout(0.3):
            changes = await waiting
        self.assertEqual(changes.revision, 12)
        self.assertEqual(changes.events, events)

    async def test_nothing_new_ends_the_wait(self) -> None:
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual((changes.revision, changes.events), (10, []))

    async def test_history_that_is_gone_is_not_made_up(self) -> None:
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 9)
        self.assertNotEqual(self.source.choose(), self.watcher)

    async def test_a_fresh_start_of_a_watcher_is_not_taken_for_no_news(
        self,
    ) -> None:
        """Symptom: a node refuses a route five seconds after it was added.

        Sequence: other nodes wait at a watcher; its watch at the store is cut
        and the history dropped; it reads everything anew, at revision 15,
        and the others are told that nothing happened up to 15. They ask for
        what follows, and never hear of what changed in between: here the
        configuration and a replica that leaves. Cause: a log that starts anew
        woke those who wait and answered from what it had left. Evidence: 14
        nodes of 69 went from revision 303 or 305 to 307 with no change at all,
        within 13 ms of their watcher's fresh start; the configuration was
        one of the changes in between.
        """
        waiting = asyncio.create_task(self.source.watch(self.watcher, 10))
        await asyncio.sleep(0.05)
        self.log.restart(15)
        with self.assertRaises(EndpointError):
            await waiting

    async def test_who_lacks_the_history_takes_the_difference(self) -> None:
        """Symptom: 22 nodes that start together read the store 22 times, and
        each watches it for two seconds.

        Sequence: a node reads everything at revision 10; the watcher that it
        listens at has done so at 15; it says that it lacks what came between,
        and the node goes to the store. Cause: a watcher knows all that there
        is, but only told its history.
        """
        own = [
            StoredItem('servers/a', 8, b'old'),
            StoredItem('servers/b', 9, b'same'),
            StoredItem('servers/gone', 9, b'x'),
        ]
        self.source.log.restart(10, own)
        changed = StoredItem('servers/a', 13, b'new')
        added = StoredItem('servers/c', 12, b'y')
        self.log.restart(15, [changed, own[1], added])
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual(changes.revision, 15)
        self.assertEqual(
            changes.events, [added, changed, DeletedKey('servers/gone', 15)]
        )
        self.source.log.note(changes)
        more = await self.source.watch(self.watcher, 15)
        self.assertEqual(more.events, [])

    async def test_a_log_that_caught_up_knows_what_it_took(self) -> None:
        """A node that listened may be asked as a watcher, later."""
        self.source.log.restart(10, [StoredItem('servers/gone', 9, b'x')])
        self.log.restart(15, [StoredItem('servers/a', 13, b'new')])
        self.source.log.note(await self.source.watch(self.watcher, 10))
        present = self.source.log.encode_present(10)
        self.assertEqual(present, self.log.encode_present(10))

    async def test_a_watcher_that_hears_nothing_says_so(self) -> None:
        """Symptom: nodes behind a watcher go on with old news for seconds.

        Sequence: the store turns one watcher away; it answers the others that
        nothing is new. Cause: it did not hear the store itself.
        """
        self.hears = False
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 10)

    async def test_a_watcher_that_is_behind_catches_up_first(self) -> None:
        """Symptom: nodes that start together watch the store, each for itself.

        Sequence: a node reads everything; the watcher that it listens at takes
        changes in batches and is two revisions behind; it says that it can't
        tell. Cause: who asked for news later than its own was sent away.
        """
        waiting = asyncio.create_task(self.source.watch(self.watcher, 12))
        await asyncio.sleep(_MARGIN_S)
        self.log.note(Changes(12, [StoredItem('servers/a', 12, b'x')]))
        await asyncio.sleep(_MARGIN_S)
        item = StoredItem('servers/a', 13, b'y')
        self.log.note(Changes(13, [item]))
        changes = await waiting
        self.assertEqual(changes.events, [item])

    async def test_a_watcher_that_is_turned_away_listens_at_another(
        self,
    ) -> None:
        """Symptom: three nodes of 22 make a third of all calls to the store.

        Sequence: the store turns them away; they watch it for others, and ask
        it twice a second, in vain. Cause: a watcher listened at nobody.
        """
        own = list_watchers(self.names)[0]
        source = self.build_settled(own)
        self.assertEqual(source.choose(), '')
        source.note_store(answers=False)
        self.assertTrue(source.is_turned_away())
        self.assertIn(source.choose(), list_watchers(self.names)[1:])

    async def test_a_watcher_that_hears_the_store_again_says_so_at_once(
        self,
    ) -> None:
        """Symptom: nodes hear of nothing for two seconds after an outage.

        Sequence: the store is back, and the watchers hear it; they go on
        saying that they don't until two seconds after their last failure.
        Cause: an answer of the store did not end that.
        """
        source = self.build_settled(list_watchers(self.names)[0])
        source.note_store(answers=False)
        source.note_store(answers=True)
        self.assertFalse(source.is_turned_away())
        self.assertEqual(source.choose(), '')
        self.assertTrue(source.may_ask_store())

    async def test_a_deaf_watcher_is_found_out_by_others(self) -> None:
        self.source.note_others(known=15, own=12)
        self.assertTrue(self.source.choose())
        await asyncio.sleep(BEHIND_S + _MARGIN_S)
        self.source.note_others(known=15, own=15)
        self.assertTrue(self.source.choose())
        self.source.note_others(known=18, own=15)
        await asyncio.sleep(BEHIND_S + _MARGIN_S)
        self.source.note_others(known=18, own=15)
        self.assertEqual(self.source.choose(), '')


class TestLargeNews(NewsCase):
    """A configuration that a watcher passes on to many."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.text = b','.join(
            b'{"route": "r%d", "service": "notes"}' % at for at in range(1500)
        )
        known = StoredItem('op/config', 10, self.text)
        self.log.restart(10, [known])
        self.source.log.restart(10, [known])

    def change(self, revision: int, text: bytes) -> StoredItem:
        """Let the watcher hear of another configuration."""
        item = StoredItem('op/config', revision, text)
        self.log.note(Changes(revision, [item]))
        return item

    async def test_a_watcher_passes_on_what_is_other_in_a_configuration(
        self,
    ) -> None:
        """Symptom: streams are cut within half a second of each new version.

        Sequence: a version comes; 17 nodes that wait at a watcher get the
        whole of it at the same moment; its link of 20 Mbit/s passes nothing
        else for 0.3 s; connections time out, replicas that do not answer in
        time are taken for dead, and four streams are closed midway. Cause:
        news of 48 KB went to each as a whole. Evidence: on a day of planned
        work alone the replicas that nodes found dead fell on the watchers,
        within 0.2 s of a version; five of 13 cuts were one watcher's.
        """
        before = StoredItem('op/config', 11, self.text)
        self.log.note(Changes(11, [before]))
        other = self.text.replace(b'"r7"', b'"r7-new"')
        self.log.note(Changes(12, [StoredItem('op/config', 12, other)]))
        status, body = await call_once(
            self.names[self.watcher],
            b'GET',
            b'/changes/2?after=11',
            b'',
            asyncio.get_running_loop().time() + 1,
        )
        self.assertEqual(status, 200)
        self.assertLess(len(body), 500)

    async def test_a_difference_makes_the_same_text(self) -> None:
        for revision in (11, 12):
            other = self.text.replace(b'"r7"', b'"r7-%d"' % revision)
            item = self.change(revision, other)
            changes = await self.source.watch(self.watcher, revision - 1)
            self.assertEqual(changes.events, [item])
            self.source.log.note(changes)

    async def test_versions_that_were_missed_come_one_after_another(
        self,
    ) -> None:
        versions = [
            self.change(at, self.text.replace(b'"r8"', b'"r8-%d"' % at))
            for at in (11, 12, 13)
        ]
        changes = await self.source.watch(self.watcher, 10)
        self.assertEqual(changes.events, versions)

    async def test_a_node_with_another_text_reads_the_whole(self) -> None:
        self.source.log.restart(
            10, [StoredItem('op/config', 10, self.text[:-1])]
        )
        self.change(11, self.text + b',{"route": "new"}')
        with self.assertRaises(EndpointError):
            await self.source.watch(self.watcher, 10)

    async def test_what_is_large_is_left_to_the_store(self) -> None:
        self.change(11, self.text * 2 + bytes(range(256)) * 64)
        with self.assertRaises(TooLargeError):
            await self.source.watch(self.watcher, 10)
        self.assertEqual(self.source.choose(), self.watcher)
