"""Resynchronization after a watch has missed changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import IsolatedAsyncioTestCase
from unittest.mock import MagicMock

from result import Ok

from samphirerill.backends.store import (
    RangeResult,
    StoredEntry,
    WatchBatch,
)
from samphirerill.control.configuration_log import LoadedConfiguration
from samphirerill.node.configuration_follower import ConfigurationFollower
from samphirerill.node.membership import Membership

if TYPE_CHECKING:
    from collections.abc import Callable

_MEMBER_KEY = 'p/shared/nodes/{0}'
_MEMBER_JSON = '{{"id": "{0}", "data_centre": "a", "peer": "x"}}'


def _build_entry(name: str) -> StoredEntry:
    entry = MagicMock(spec=StoredEntry)
    entry.key = _MEMBER_KEY.format(name)
    entry.stored_value = _MEMBER_JSON.format(name)
    return entry


class TestResynchronization(IsolatedAsyncioTestCase):
    """The configuration and the shared keys are read again."""

    async def asyncSetUp(self) -> None:
        node = MagicMock()
        node.loop = asyncio.get_running_loop()
        node.node_id = 'n1'
        node.settings.store.prefix = 'p/'
        worker = MagicMock()
        worker.try_run = self.try_run
        worker.store.read_prefix = self.read_prefix
        self.entries: list[StoredEntry] = []
        self.membership = Membership(node, worker)
        self.follower = ConfigurationFollower(node, worker, self.membership)
        self.follower.apply_document = MagicMock()  # type: ignore[method-assign]
        self.worker = worker
        self.follower.log = MagicMock()
        self.follower.log.load = lambda: LoadedConfiguration(7, {}, 20, [])

    async def try_run(self, call: Callable[..., Any], *args: Any) -> Ok[Any]:
        """Run the call immediately."""
        return Ok(call(*args))

    def read_prefix(self, prefix: str) -> RangeResult:
        """Return all entries."""
        return RangeResult(self.entries, 20)

    async def resynchronize(self, *names: str) -> None:
        """Resynchronize while only these nodes are registered."""
        self.entries = [_build_entry(name) for name in names]
        await self.follower._resynchronize()  # noqa: SLF001

    async def test_missed_joins_and_departures_are_applied(self) -> None:
        """Nodes that joined or left while the watch was silent are found.

        Guard against advancing the watch after reading the configuration only,
        although the watch covers the members, too.
        """
        await self.resynchronize('n1', 'n2', 'n3')
        self.assertEqual(set(self.membership.peers), {'n2', 'n3'})
        await self.resynchronize('n1', 'n3')
        missing = self.membership.list_missing_keys(self.entries)
        self.assertEqual(missing, [_MEMBER_KEY.format('n2')])
        removals = self.membership._removal_deadlines  # noqa: SLF001
        self.assertEqual(set(removals), {'n2'})

    async def test_a_service_that_was_restored_is_read_again(self) -> None:
        """Guard against changes that revisions hide which are given out again."""
        await self.resynchronize('n1', 'n2')
        starts = []

        def watch(prefix: str, revision: int) -> list[WatchBatch]:
            starts.append(revision)
            if len(starts) > 1:
                self.follower.stop()
            return [WatchBatch(9, [], [])]

        self.worker.store.watch = watch
        await asyncio.to_thread(self.follower._watch_forever)  # noqa: SLF001
        self.assertEqual(starts, [21, 10])
        self.entries = [_build_entry('n1'), _build_entry('n3')]
        self.follower.log = MagicMock()
        self.follower.log.load.return_value = LoadedConfiguration(7, {}, 9, [])
        self.follower.log.read_version.return_value = 0
        await self.follower._poll()  # noqa: SLF001
        self.assertEqual(set(self.membership.peers), {'n2', 'n3'})
