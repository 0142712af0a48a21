"""A node whose watch was silent catches up with all that it carries."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest import IsolatedAsyncioTestCase
from unittest.mock import MagicMock

from result import Ok

from samphirerill.backends.store import RangeRead, Stored
from samphirerill.control.configuration_log import Loaded
from samphirerill.node.follower import ConfigurationFollower
from samphirerill.node.members import Members

if TYPE_CHECKING:
    from collections.abc import Callable

_KEY = 'p/shared/nodes/{0}'
_TEXT = '{{"id": "{0}", "data_centre": "a", "peer": "x"}}'


def _build_entry(name: str) -> Stored:
    entry = MagicMock(spec=Stored)
    entry.key = _KEY.format(name)
    entry.text = _TEXT.format(name)
    return entry


class TestCatchUp(IsolatedAsyncioTestCase):
    """The configuration is read anew, and the watch moved on to there."""

    async def asyncSetUp(self) -> None:
        node = MagicMock()
        node.loop = asyncio.get_running_loop()
        node.node_id = 'n1'
        node.settings.store.prefix = 'p/'
        worker = MagicMock()
        worker.try_run = self.try_run
        worker.store.read_prefix = self.read_prefix
        self.entries: list[Stored] = []
        self.members = Members(node, worker)
        self.follower = ConfigurationFollower(node, worker, self.members)
        self.follower.install = MagicMock()  # type: ignore[method-assign]
        self.follower.log = MagicMock()
        self.follower.log.load = lambda: Loaded(7, {}, 20, [])

    async def try_run(self, call: Callable[..., Any], *args: Any) -> Ok[Any]:
        """Call at once."""
        return Ok(call(*args))

    def read_prefix(self, prefix: str) -> RangeRead:
        """Return all entries there are."""
        return RangeRead(self.entries, 20)

    async def catch_up(self, *names: str) -> None:
        """Let a node find that these are there."""
        self.entries = [_build_entry(name) for name in names]
        await self.follower._resynchronize()  # noqa: SLF001

    async def test_nodes_that_came_and_went_are_heard_of(self) -> None:
        """Symptom: a node never hears of another one.

        Sequence: the watch is silent; a node joins; the poll sees a new
        version, the configuration is read and the watch moved on. Cause: the
        watch carries the nodes too, and those were not read again.
        """
        await self.catch_up('n1', 'n2', 'n3')
        self.assertEqual(set(self.members.others), {'n2', 'n3'})
        await self.catch_up('n1', 'n3')
        missing = self.members.list_missing_keys(self.entries)
        self.assertEqual(missing, [_KEY.format('n2')])
        gone = self.members._removal_deadlines  # noqa: SLF001
        self.assertEqual(set(gone), {'n2'})
