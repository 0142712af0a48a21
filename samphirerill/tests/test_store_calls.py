"""Calls that a node makes to the store, and failover to watcher nodes.

A few nodes watch the store (watchers); the others get changes from them.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

from samphirerill.backends.store import StoreRejectedError
from samphirerill.fleet.watchers import list_watchers
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_source import ChangeSource
from samphirerill.relay.errors import EndpointError, WatchLostError
from samphirerill.relay.state import EdgeState
from samphirerill.relay.store_era import StoreEra
from samphirerill.relay.store_follower import StoreFollower
from samphirerill.relay.store_health import StoreHealth
from samphirerill.testing.virtual_time import run_with_virtual_time

if TYPE_CHECKING:
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.store_follower import ChangeHandler

_WATCH_DELAY_S = 0.05
# Within this a configuration is in force; reading a large one takes a part of it.
_IN_FORCE_S = 2.0
_READ_S = 0.45
_NODE_NAMES = [
    f'edge-hall-{data_centre}-{number}'
    for data_centre in 'abc'
    for number in range(24)
]


def _build_follower(
    store: object,
    handlers: list[ChangeHandler],
    change_source: object,
    change_log: ChangeLog | None = None,
) -> StoreFollower:
    """Return a follower with a fake store and a fake source of changes."""
    return StoreFollower(
        cast('EdgeState', Mock(spec=EdgeState, view=Mock())),
        cast('PlatformStore', store),
        StoreHealth(0),
        handlers,
        cast('ChangeSource', change_source),
        change_log or ChangeLog(),
    )


class _FlakyWatcherSource:
    """Source of changes whose watcher fails once, then returns a change."""

    def __init__(self) -> None:
        self.revisions: list[int] = []

    def select_watcher(self) -> str:
        """Return the only watcher."""
        return 'watcher'

    def record_store_result(self, *, answers: bool) -> None:
        """Ignore failures of the store."""

    def may_call_store(self) -> bool:
        """Allow calls to the store at any time."""
        return True

    def is_starting(self) -> bool:
        """Return that start-up is over."""
        return False

    async def watch(self, watcher: str, after: int) -> Changes:
        """Fail the first call; return a change afterwards."""
        self.revisions.append(after)
        if len(self.revisions) == 1:
            raise EndpointError('not there')
        await asyncio.sleep(_WATCH_DELAY_S)
        return Changes(11, [StoredItem('op/config', 11, b'new')])


class _RefusingStore:
    """A store that answers one listing and refuses all calls afterwards."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.is_up = True

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Answer the first call only."""
        if not self.is_up:
            raise StoreRejectedError('got status 503')
        self.is_up = False
        return [], 10

    async def watch(self, prefix: str, after: int, until: float) -> Changes:
        """Refuse."""
        raise StoreRejectedError('got status 503')


class _RecordingHandler:
    """Change handler that records the keys written."""

    prefix = 'op/'

    def __init__(self) -> None:
        self.keys: list[str] = []

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Ignore full listings."""

    def apply_write(self, item: StoredItem) -> None:
        """Record a key."""
        self.keys.append(item.key)

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Ignore deletions."""


class TestStoreRefusesCalls(IsolatedAsyncioTestCase):
    """A node whose calls the store refuses, while the watchers work."""

    async def test_changes_still_arrive_from_watchers(self) -> None:
        """Guard against depending on the store alone after one watcher fails.

        A node that required a full listing, which only the store provides,
        would keep an old configuration.
        """
        handler = _RecordingHandler()
        follower = _build_follower(
            _RefusingStore(), [handler], _FlakyWatcherSource()
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()
        self.assertIn('op/config', handler.keys)


class TestWatcherFails(IsolatedAsyncioTestCase):
    """A watcher that ends while the store and another watcher work."""

    async def test_another_watcher_is_asked_before_the_store(self) -> None:
        """Guard against listeners that all read the store at one moment."""
        store = _ChangingStore()
        handler = _RecordingHandler()
        source = _FlakyWatcherSource()
        follower = _build_follower(store, [handler], source)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(_WATCH_DELAY_S * 2)
        task.cancel()
        self.assertGreaterEqual(len(source.revisions), 2)
        self.assertEqual(store.calls, 0)


class _ChangingStore:
    """A store with a change for every watch."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.calls = 0

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Return an empty listing at revision 10."""
        return [], 10

    async def watch(self, prefix: str, after: int, until: float) -> Changes:
        """Return a change immediately."""
        self.calls += 1
        await asyncio.sleep(0)
        return Changes(after + 1, [StoredItem('other', after + 1, b'x')])


class TestFleetStart(TestCase):
    """All nodes of a fleet starting at the same time."""

    def test_starting_node_batches_changes_for_longer(self) -> None:
        """Guard against one store call for each announcement of a burst.

        While a fleet starts, every node watches the store itself, as it does
        not know the others yet.
        """
        calls = run_with_virtual_time(self._follow(3.0))
        self.assertLessEqual(calls, 10)

    async def _follow(self, duration_s: float) -> int:
        store = _ChangingStore()
        follower = _build_follower(store, [], ChangeSource('alone'))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(duration_s)
        task.cancel()
        return store.calls


class _UnavailableStore:
    """A store that answers one listing and is unavailable afterwards."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.calls = 0

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Answer the first call; refuse further ones."""
        self.calls += 1
        if self.calls > 1:
            raise StoreRejectedError('got status 503')
        return [], 10

    async def watch(self, prefix: str, after: int, until: float) -> Changes:
        """Refuse."""
        self.calls += 1
        raise StoreRejectedError('got status 503')


class _CutOffWatchersSource(ChangeSource):
    """Source of changes whose watchers can't reach the store for a time."""

    def __init__(self, own: str, recovers_at: float) -> None:
        super().__init__(own)
        self._recovers_at = recovers_at

    async def watch(self, watcher: str, after: int) -> Changes:
        """Fail until the watchers have recovered, then return a change."""
        await asyncio.sleep(0.01)
        if asyncio.get_running_loop().time() < self._recovers_at:
            self._avoid_until[watcher] = asyncio.get_running_loop().time() + 0.5
            raise WatchLostError('watcher does not reach the store')
        return Changes(11, [StoredItem('op/config', 11, b'new')])


class TestStoreOutage(TestCase):
    """The store is unavailable to all nodes for eight seconds."""

    def test_other_nodes_back_off_from_the_store(self) -> None:
        """During an outage, only the watchers should keep polling the store.

        The other nodes must still get the first change soon after it ends.
        """
        calls, delay_s = run_with_virtual_time(self._simulate_outage(8.0))
        self.assertLessEqual(calls, 5)
        self.assertLess(delay_s, 1.2)

    async def _simulate_outage(self, outage_s: float) -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        watchers = list_watchers(_NODE_NAMES)
        own = next(name for name in _NODE_NAMES if name not in watchers)
        recovers_at = loop.time() + outage_s
        source = _CutOffWatchersSource(own, recovers_at)
        source.update_peers(dict.fromkeys(_NODE_NAMES, '10.0.0.1:1'))
        store = _UnavailableStore()
        handler = _RecordingHandler()
        follower = _build_follower(store, [handler], source)
        task = asyncio.create_task(follower.run())
        while not handler.keys:
            await asyncio.sleep(0.05)
        task.cancel()
        return store.calls, loop.time() - recovers_at


class _QuietStore:
    """A store without changes that records when it is watched."""

    def __init__(self) -> None:
        self.era = StoreEra()
        self.watched_at = 0.0

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Return an empty listing at revision 10."""
        return [], 10

    async def watch(self, prefix: str, after: int, until: float) -> Changes:
        """Record the time; never return."""
        self.watched_at = asyncio.get_running_loop().time()
        return await asyncio.get_running_loop().create_future()


async def _hang(
    address: str, method: bytes, path: bytes, body: bytes, deadline: float
) -> tuple[int, bytes]:
    """Time out, as a call to a node that is frozen."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(deadline - loop.time())
    raise EndpointError(f'{address}: no response within the deadline')


class TestFrozenWatchers(TestCase):
    """All watchers stop responding, in fleets of any size."""

    def test_the_store_is_asked_in_time(self) -> None:
        """Guards against the sum of several waits for silent watchers."""
        for count in (4, 17, 72, 400):
            with self.subTest(nodes=count):
                delay_s = run_with_virtual_time(self._measure_delay(count))
                # Leaves the time in which a large configuration is read.
                self.assertLess(delay_s, _IN_FORCE_S - _READ_S)

    async def _measure_delay(self, count: int) -> float:
        names = [f'node-{number}' for number in range(count)]
        watchers = list_watchers(names)
        own = next(name for name in names if name not in watchers)
        source = ChangeSource(own)
        source.update_peers(dict.fromkeys(names, '10.0.0.1:1'))
        store = _QuietStore()
        follower = _build_follower(store, [], source, source.log)
        began_at = asyncio.get_running_loop().time()
        with patch('samphirerill.relay.change_source.call_once', _hang):
            task = asyncio.create_task(follower.run())
            while not store.watched_at:
                await asyncio.sleep(_WATCH_DELAY_S)
            task.cancel()
        return store.watched_at - began_at
