"""The configuration log: concurrent patches, lost replies, ordering."""

from __future__ import annotations

import unittest
from copy import deepcopy
from typing import Any

from samphirerill.backends.store import StoreUnreachableError
from samphirerill.control.configuration_log import (
    SNAPSHOT_INTERVAL,
    Change,
    ConfigurationLog,
    StaleBaseError,
    UnknownResultError,
)
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.errors import InvalidPatchError
from samphirerill.control.patches import apply_patch
from samphirerill.core.configuration import build_configuration
from samphirerill.properties.simulation import build_configuration_document
from samphirerill.settings.checks import check_configuration
from samphirerill.testing.etcd_state import MAX_VALUE, EtcdState
from samphirerill.testing.memory_store import MemoryStore

_SET_WEIGHT = [
    {'op': 'add', 'path': '/accounts/viti/weight', 'value': 2},
]


def _replace_all(document: dict[str, Any]) -> list[dict[str, Any]]:
    return [{'op': 'replace', 'path': '', 'value': document}]


def _build_valid() -> dict[str, Any]:
    document: dict[str, Any] = build_configuration_document()
    for number, account in enumerate(document['accounts'].values()):
        account['keys'] = [f'sha256:{number:064}']
    return document


class LogCase(unittest.TestCase):
    """Two configuration logs at two nodes, over one store."""

    def setUp(self) -> None:
        """Accept a first configuration."""
        self.etcd_state = EtcdState()
        self.store = MemoryStore(self.etcd_state)
        self.log = ConfigurationLog(self.store, '/p/')
        self.other = ConfigurationLog(MemoryStore(self.etcd_state), '/p/')
        self.log.submit(_replace_all(_build_valid()), 0, 'first')


class TestPatches(LogCase):
    """A patch applies only to the version it was written against."""

    def test_stale_patch_is_refused_with_the_current_version(self) -> None:
        """The error names the version to rebase on.

        Guards against lost updates: a patch applied to a version its author
        has not read.
        """
        self.other.submit(_SET_WEIGHT, 1, 'other')
        with self.assertRaises(StaleBaseError) as caught:
            self.log.submit(_SET_WEIGHT, 1, 'first')
        self.assertEqual(caught.exception.current, 2)
        self.assertEqual(self.log.load().version, 2)

    def test_concurrent_submissions_have_one_winner(self) -> None:
        """Only the compare-and-swap decides, not the preceding read."""
        log = self.log

        class RacingStore(MemoryStore):
            """Submits another change just before the first commit."""

            raced = False

            def commit(self, transaction: Any) -> Any:
                if not self.raced:
                    self.raced = True
                    log.submit(_SET_WEIGHT, 1, 'winner')
                return super().commit(transaction)

        racing = ConfigurationLog(RacingStore(self.etcd_state), '/p/')
        with self.assertRaises(StaleBaseError):
            racing.submit(_SET_WEIGHT, 1, 'loser')
        history = self.log.read_changes(after=0)
        self.assertEqual([item.author for item in history], ['first', 'winner'])

    def test_lost_reply_is_recognised_as_own_write(self) -> None:
        """A repeated write is not mistaken for a conflicting one.

        Guards against reporting a stale base for a patch that is in force: the
        repeated write finds the head changed by its first attempt.
        """
        self.store.lose_replies = 0
        self._lose_next_commit()
        change = self.log.submit(_SET_WEIGHT, 1, 'first')
        self.assertEqual(change.version, 2)
        self.assertEqual(len(self.log.read_changes(after=0)), 2)

    def test_store_without_reply_gives_unknown_result(self) -> None:
        """The write may or may not have taken effect."""
        self._lose_next_commit(then_down=True)
        with self.assertRaises(UnknownResultError):
            self.log.submit(_SET_WEIGHT, 1, 'first')

    def test_unreachable_store_applies_nothing(self) -> None:
        self.store.down = True
        with self.assertRaises(StoreUnreachableError) as caught:
            self.log.submit(_SET_WEIGHT, 1, 'first')
        self.assertFalse(caught.exception.may_have_applied)

    def test_invalid_results_are_refused(self) -> None:
        """Each kind of invalid patch raises, and none is written."""
        patches = {
            'uncovered layer': [
                {'op': 'remove', 'path': f'/endpoints/{name}'}
                for name in ('e0', 'e1', 'e4')
            ],
            'no such path': [{'op': 'remove', 'path': '/nowhere/x'}],
            'wrong type': [
                {'op': 'add', 'path': '/models/m/layers', 'value': 'six'}
            ],
            'no operation': [{'path': '/models'}],
        }
        for name, patch in patches.items():
            with self.subTest(name), self.assertRaises(InvalidPatchError):
                self.log.submit(patch, 1, 'first')
        self.assertEqual(self.log.load().version, 1)

    def test_dry_run_writes_nothing(self) -> None:
        self.log.submit(_SET_WEIGHT, 1, 'first', dry_run=True)
        self.assertEqual(self.log.load().version, 1)

    def _lose_next_commit(self, *, then_down: bool = False) -> None:
        commit = self.store.commit

        def lose(transaction: Any) -> Any:
            self.store.commit = commit  # type: ignore[method-assign]
            self.store.lose_replies = 1
            try:
                return commit(transaction)
            finally:
                self.store.down = then_down

        self.store.commit = lose  # type: ignore[method-assign]


class TestStructuralSharing(unittest.TestCase):
    """A patched document shares exactly its unchanged parts."""

    def test_original_and_patch_stay_unchanged(self) -> None:
        """Also if operations build on each other.

        Guards against changing the document in force through a container that
        an earlier operation of the same patch has moved.
        """
        document = {'a': {'x': [1, {'y': 2}]}, 'b': {}}
        patch = [
            {'op': 'move', 'from': '/a/x', 'path': '/b/x'},
            {'op': 'replace', 'path': '/b/x/1/y', 'value': 3},
            {'op': 'add', 'path': '/c', 'value': {'z': 1}},
            {'op': 'add', 'path': '/c/z', 'value': 2},
        ]
        before = deepcopy((document, patch))
        changed = apply_patch(document, patch)
        self.assertEqual((document, patch), before)
        self.assertEqual(
            changed, {'a': {}, 'b': {'x': [1, {'y': 3}]}, 'c': {'z': 2}}
        )

    def test_unchanged_parts_are_not_rebuilt(self) -> None:
        document = _build_valid()
        first = build_configuration(document, 1)
        changed = apply_patch(document, _SET_WEIGHT)
        second = build_configuration(changed, 2, first, document)
        self.assertIs(second.endpoints, first.endpoints)
        self.assertIs(second.accounts['tromsvik'], first.accounts['tromsvik'])
        self.assertEqual(second.accounts['viti'].weight, 2)
        self.assertEqual(second, build_configuration(changed, 2))


class TestLargeConfigurations(LogCase):
    """A configuration larger than one value is stored in parts."""

    def test_document_above_a_megabyte_is_stored(self) -> None:
        """It is written, read and patched like any other."""
        document = _build_valid()
        for number in range(9000):
            document['accounts'][f'club-{number}'] = {
                'keys': [f'sha256:{number + 9:064}'],
                'routes': ['plans'],
            }
        self.assertEqual(check_configuration(document), [])
        self.log.submit(_replace_all(document), 1, 'large')
        self.assertGreater(len(str(document)), MAX_VALUE)
        loaded = self.other.load()
        self.assertEqual(loaded.document, document)
        self.assertEqual(loaded.version, 2)

    def test_snapshot_replaces_earlier_changes(self) -> None:
        """A new node loads the snapshot and later changes."""
        for version in range(1, SNAPSHOT_INTERVAL + 3):
            patch = [
                {
                    'op': 'add',
                    'path': '/accounts/viti/weight',
                    'value': version,
                },
            ]
            self.log.submit(patch, version, 'first')
        loaded = self.other.load()
        self.assertEqual(loaded.version, SNAPSHOT_INTERVAL + 3)
        weight = loaded.document['accounts']['viti']['weight']
        self.assertEqual(weight, SNAPSHOT_INTERVAL + 2)


class TestView(unittest.TestCase):
    """A node's copy neither reverts nor skips a version."""

    def setUp(self) -> None:
        """Start at version 1 with an empty list."""
        self.view = ConfigurationView()
        self.view.replace_document(1, {'seen': []})

    def test_late_repeated_and_early_changes(self) -> None:
        """Each change is applied once and in order, however it arrives.

        Guards against reverting to an old configuration when a change from a
        peer arrives again from a slow watch.
        """
        for version in (3, 2, 2, 5, 3, 4, 2):
            self.view.apply_change(self._build_change(version))
        self.assertEqual(self.view.document, {'seen': [2, 3, 4, 5]})
        self.assertEqual(self.view.version, 5)
        self.assertFalse(self.view.is_behind())

    def test_gap_is_reported_and_not_skipped(self) -> None:
        """A change that is ahead waits for those before it."""
        self.view.apply_change(self._build_change(4))
        self.assertEqual(self.view.version, 1)
        self.assertTrue(self.view.is_behind())

    def test_older_document_is_ignored(self) -> None:
        """A slow read does not revert the configuration."""
        self.view.apply_change(self._build_change(2))
        self.assertFalse(self.view.replace_document(1, {'seen': ['old']}))
        self.assertEqual(self.view.document, {'seen': [2]})

    def test_peers_get_the_changes_they_lack(self) -> None:
        """Or None, if those changes are no longer kept."""
        for version in range(2, 6):
            self.view.apply_change(self._build_change(version))
        missing = self.view.list_changes_after(3) or []
        self.assertEqual([change.version for change in missing], [4, 5])
        self.assertIsNone(self.view.list_changes_after(0))

    def _build_change(self, version: int) -> Change:
        patch = [{'op': 'add', 'path': '/seen/-', 'value': version}]
        return Change(version, str(version), patch, 'test', 0)


if __name__ == '__main__':
    unittest.main()
