"""What a node asks of the store itself, and what it leaves to others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from samphirerill.backends.store import StoreRefusedError
from samphirerill.fleet.watchers import list_watchers
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.errors import DeafWatcherError, EndpointError
from samphirerill.relay.follower import Follower
from samphirerill.relay.news import NewsSource
from samphirerill.relay.state import EdgeState
from samphirerill.relay.store_health import StoreHealth
from samphirerill.testing.virtual_time import run_virtually

if TYPE_CHECKING:
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.follower import Folder

_MARGIN_S = 0.05
_NAMES = [f'edge-hall-{zone}-{at}' for zone in 'abc' for at in range(24)]


def _build_follower(
    store: object, folders: list[Folder], news: object
) -> Follower:
    """Return a follower that hears of changes from stand-ins."""
    return Follower(
        cast('EdgeState', Mock(spec=EdgeState, view=Mock())),
        cast('PlatformStore', store),
        StoreHealth(0),
        folders,
        cast('NewsSource', news),
        ChangeLog(),
    )


class _Watcher:
    """A watcher that can't be reached once, and then tells of a change."""

    def __init__(self) -> None:
        self.asked: list[int] = []

    def choose(self) -> str:
        """Return the one watcher there is."""
        return 'watcher'

    def note_store(self, *, answers: bool) -> None:
        """The store has failed; the watcher is chosen all the same."""

    def may_ask_store(self) -> bool:
        """Return that the store may be asked at any time."""
        return True

    def is_starting(self) -> bool:
        """Return that the node knows the others."""
        return False

    async def watch(self, watcher: str, after: int) -> Changes:
        """Fail the first call."""
        self.asked.append(after)
        if len(self.asked) == 1:
            raise EndpointError('not there')
        await asyncio.sleep(_MARGIN_S)
        return Changes(11, [StoredItem('op/config', 11, b'new')])


class _DeafStore:
    """A store that answers one whole reading and then turns the node away."""

    def __init__(self) -> None:
        self.is_up = True

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Answer once."""
        if not self.is_up:
            raise StoreRefusedError('got status 503')
        self.is_up = False
        return [], 10

    async def watch(self, prefix: str, after: int) -> Changes:
        """Refuse."""
        raise StoreRefusedError('got status 503')


class _Folder:
    """Keeps the keys that it is told of."""

    prefix = 'op/'

    def __init__(self) -> None:
        self.keys: list[str] = []

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """A whole reading tells nothing here."""

    def take_item(self, item: StoredItem) -> None:
        """Keep a key."""
        self.keys.append(item.key)

    def take_gone(self, gone: DeletedKey) -> None:
        """Nothing goes here."""


class TestTurnedAway(IsolatedAsyncioTestCase):
    """A node that the store turns away, while watchers work."""

    async def test_it_goes_on_hearing_of_changes(self) -> None:
        """Symptom: a node goes on with an old configuration for seconds.

        Sequence: the store turns it away; a watcher fails once; it asks the
        store, in vain, and from then on only the store. Cause: after a failed
        call everything had to be read anew, which only the store can give,
        though watchers tell what changed since a revision.
        """
        folder = _Folder()
        follower = _build_follower(_DeafStore(), [folder], _Watcher())
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        task.cancel()
        self.assertIn('op/config', folder.keys)


class _BusyStore:
    """A store in which something changes all the time."""

    def __init__(self) -> None:
        self.calls = 0

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Return nothing, at revision 10."""
        return [], 10

    async def watch(self, prefix: str, after: int) -> Changes:
        """Return a change at once."""
        self.calls += 1
        await asyncio.sleep(0)
        return Changes(after + 1, [StoredItem('other', after + 1, b'x')])


class TestStartingTogether(TestCase):
    """Nodes that start while all others do."""

    def test_a_node_that_starts_gathers_changes_for_longer(self) -> None:
        """Symptom: a third of all calls are made in the seconds of a start.

        Sequence: nodes and replicas announce themselves one after another for
        two seconds; each announcement ends the watch of each node that counts
        itself a watcher, as it does not know the others yet. Cause: changes
        were gathered for a quarter of a second at most, always.
        """
        calls = run_virtually(self._follow(3.0))
        self.assertLessEqual(calls, 10)

    async def _follow(self, for_s: float) -> int:
        store = _BusyStore()
        follower = _build_follower(store, [], NewsSource('alone'))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(for_s)
        task.cancel()
        return store.calls


class _AbsentStore:
    """A store that answers one whole reading, and is away then."""

    def __init__(self) -> None:
        self.calls = 0

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Answer the first call."""
        self.calls += 1
        if self.calls > 1:
            raise StoreRefusedError('got status 503')
        return [], 10

    async def watch(self, prefix: str, after: int) -> Changes:
        """Refuse."""
        self.calls += 1
        raise StoreRefusedError('got status 503')


class _DeafUntil(NewsSource):
    """Listens at watchers that do not hear the store until a moment."""

    def __init__(self, own: str, hears_at: float) -> None:
        super().__init__(own)
        self._hears_at = hears_at

    async def watch(self, watcher: str, after: int) -> Changes:
        """Say that the watcher is deaf, or tell of a change."""
        await asyncio.sleep(0.01)
        if asyncio.get_running_loop().time() < self._hears_at:
            self._avoid_until[watcher] = asyncio.get_running_loop().time() + 0.5
            raise DeafWatcherError('does not hear the store')
        return Changes(11, [StoredItem('op/config', 11, b'new')])


class TestAbsentStore(TestCase):
    """The store is away from all nodes for eight seconds."""

    def test_only_the_watchers_go_on_asking(self) -> None:
        """Symptom: 350 of 1,700 calls of a day are refused within eight seconds.

        Sequence: the store is away; the watchers say that they do not hear it;
        each node that listens at them asks it itself, twice a second. Cause:
        nothing said that the watchers ask already.
        """
        calls, heard_after_s = run_virtually(self._play(8.0))
        self.assertLessEqual(calls, 5)
        self.assertLess(heard_after_s, 1.2)

    async def _play(self, away_s: float) -> tuple[int, float]:
        loop = asyncio.get_running_loop()
        watchers = list_watchers(_NAMES)
        own = next(name for name in _NAMES if name not in watchers)
        back_at = loop.time() + away_s
        source = _DeafUntil(own, back_at)
        source.take_peers(dict.fromkeys(_NAMES, '10.0.0.1:1'))
        store = _AbsentStore()
        folder = _Folder()
        follower = _build_follower(store, [folder], source)
        task = asyncio.create_task(follower.run())
        while not folder.keys:
            await asyncio.sleep(0.05)
        task.cancel()
        return store.calls, loop.time() - back_at
