"""One odd document in the store does not stop the rest."""

from __future__ import annotations

import asyncio
import re
from contextlib import suppress
from pathlib import Path
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis.strategies import (
    booleans,
    builds,
    dictionaries,
    floats,
    integers,
    lists,
    none,
    recursive,
    sampled_from,
    text,
)
from logbook import TestHandler
from msgspec import json

from samphirerill.fleet.view import FleetView
from samphirerill.platform.announcements import (
    decode_announcement,
    decode_report,
)
from samphirerill.platform.documents import decode_configuration
from samphirerill.relay.node_announcements import (
    AnnouncementReader,
    NodeAnnouncement,
)
from samphirerill.relay.platform_adapter import DocumentError
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.odd_entries import (
    NESTED,
    ODD_ENTRIES,
    ODD_NAMES,
    SOUND_ENTRY,
    add_field,
)
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers, wait_until

_PACKAGE = Path(__file__).parent.parent
_UNSAFE_DECODER = re.compile(r'\b(json|msgpack)\.(decode|loads)\(')
# Runs before the rest of the program is imported.
_WITHOUT_IMPORTS = {'early_listen.py'}
_OK = 200
_NEWER_VERSION = 9
_CONCURRENT = 20
_INVALID = 'announcement of a replica is invalid'
_NOT_APPLIED = 'change of the store not applied'
_OTHER_KEYS = ('op/config', 'samphirerill/nodes/x', 'samphirerill/held/x', 'y')
_NUMBERS = integers() | floats(allow_nan=False, allow_infinity=False)
_MEMBERS = recursive(
    none() | booleans() | _NUMBERS | text() | sampled_from(list(ODD_NAMES)),
    lambda inner: lists(inner) | dictionaries(sampled_from(ODD_NAMES), inner),
    max_leaves=8,
)
# A valid document in which some fields are replaced.
_DOCUMENTS = builds(
    lambda base, odd: {**base, **odd},
    sampled_from(
        [json.decode(build_configuration()), json.decode(SOUND_ENTRY)]
    ),
    dictionaries(sampled_from(ODD_NAMES), _MEMBERS),
)
_NESTED_NOTE = add_field(b'note', NESTED, build_configuration(8))
_HUGE_NUMBERS = build_configuration(8, timeoutMs=1e30)


class TestOddEntries(IsolatedAsyncioTestCase):
    """A node follows the store past odd entries among those of the replicas."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        self.log = TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)
        await self.harness.add_replica('desk-1')
        await self.harness.add_replica('desk-2')

    async def test_odd_entries_before_the_start(self) -> None:
        """Guards against a node that never gets past its first listing."""
        await self.put_odd_entries()
        await self.start_node()
        await self.check_follows_store()

    async def test_odd_entries_while_running(self) -> None:
        """Guards against a node that takes no change after an odd one."""
        await self.start_node()
        await self.put_odd_entries()
        await self.check_follows_store()

    async def test_odd_entry_is_logged_once(self) -> None:
        """Guards against a log line for each heartbeat of an odd entry."""
        await self.start_node()
        for _ in range(3):
            await self.put_odd_entries()
        await self.check_follows_store()
        lines = self.list_logged(_INVALID)
        self.assertEqual(sorted(lines), sorted(set(lines)))
        self.assertEqual(len(lines), len(ODD_ENTRIES))

    async def test_odd_documents_under_other_keys(self) -> None:
        """Guards against a node that stops at any other key of the store."""
        await self.start_node()
        for key in _OTHER_KEYS:
            for odd in (NESTED, _NESTED_NOTE, _HUGE_NUMBERS, b''):
                await self.harness.store.put(key, odd)
        await self.check_follows_store()

    async def test_port_out_of_range_gets_no_requests(self) -> None:
        """Guards against 502 though a sound replica stands beside it."""
        await self.start_node()
        await self.harness.store.put('servers/x', ODD_ENTRIES['port-high'])
        await self.configure()
        answers = await asyncio.gather(
            *(
                self.harness.send_request(
                    b'/pickup/x', build_headers(f'r{number}')
                )
                for number in range(_CONCURRENT)
            )
        )
        self.assertEqual([status for status, _ in answers], [_OK] * _CONCURRENT)

    async def test_entry_that_turns_invalid_keeps_the_replica(self) -> None:
        """Guards against losing a replica by one odd write to its entry."""
        await self.start_node()
        odd = add_field(b'note', NESTED)
        await self.harness.store.put('servers/desk-1', odd)
        await self.check_follows_store()

    async def test_unforeseen_error_does_not_stop_the_rest(self) -> None:
        """Guards against an odd entry whose error no decoder declares."""
        await self.start_node()
        with patch.object(
            FleetView, 'apply_announcement', side_effect=OverflowError
        ):
            await self.announce('desk-2')
            await wait_until(lambda: self.list_logged(_NOT_APPLIED))
        await self.check_follows_store()

    def list_logged(self, message: str) -> list[str]:
        """Return the keys that a log message has named."""
        return [
            record.extra['key']
            for record in self.log.records
            if record.message == message
        ]

    async def start_node(self) -> None:
        """Start the node with one sound replica."""
        await self.harness.store.put('op/config', build_configuration())
        await self.announce('desk-1')
        await self.harness.start()
        await self.harness.wait_for_replica_count(1)

    async def announce(self, name: str) -> None:
        """Write the entry of a sound replica."""
        entry = build_announcement('desk', self.harness.addresses[name])
        await self.harness.store.put(f'servers/{name}', entry)

    async def put_odd_entries(self) -> None:
        """Write the odd entries."""
        for name, odd in ODD_ENTRIES.items():
            await self.harness.store.put(f'servers/{name}', odd)

    async def configure(self) -> None:
        """Write a newer configuration and wait until it is in force."""
        newer = build_configuration(_NEWER_VERSION)
        await self.harness.store.put('op/config', newer)
        state = self.harness.require_first_node().state
        await wait_until(lambda: state.version == _NEWER_VERSION)

    async def check_follows_store(self) -> None:
        """Check that later entries and configurations take effect."""
        await self.announce('desk-2')
        await self.configure()
        node = self.harness.require_first_node()
        self.assertEqual(set(node.state.view.replicas), {'desk-1', 'desk-2'})
        for _ in range(4):
            status, _ = await self.harness.send_request(
                b'/pickup/x', build_headers('r1')
            )
            self.assertEqual(status, _OK)


class TestNodeAnnouncements(TestCase):
    """Entries of nodes."""

    def test_entry_without_usable_addresses_names_no_node(self) -> None:
        """Guards against a status that reaches no node as one port is invalid."""
        for address in ('127.0.0.1:99999', 'nowhere', 'localhost:80'):
            with self.subTest(address):
                entry = NodeAnnouncement(address, '127.0.0.1:80')
                self.assertIsNone(
                    AnnouncementReader().read('x', json.encode(entry))
                )


class TestReports(TestCase):
    """Status reports of engines."""

    def test_odd_reports_are_invalid(self) -> None:
        """Guards against numbers that no order or alarm can carry."""
        for member in (
            b'"sequence":%b' % (b'9' * 30),
            b'"born":-1',
            b'"pace":1e300',
            b'"layers":{"from":0,"to":%b}' % (b'9' * 30),
            b'"stalled":%b' % NESTED,
            b'"note":%b' % NESTED,
        ):
            with self.subTest(member[:20]), self.assertRaises(DocumentError):
                decode_report(b'{%b}' % member)


class TestAnyDocument(TestCase):
    """Decoders of whatever another writer leaves in the store."""

    @given(_DOCUMENTS)
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_it_is_decoded_or_invalid(self, document: object) -> None:
        """Guards against an error that is no `DocumentError`."""
        encoded = json.encode(document)
        with suppress(DocumentError):
            decode_configuration(encoded)
        with suppress(DocumentError):
            decode_report(encoded)
        with suppress(DocumentError):
            decode_announcement('desk-1', encoded)


class TestBoundary(TestCase):
    """Input of others is decoded in one place."""

    def test_decoders_are_used_in_one_folder_only(self) -> None:
        """Guards against a decoder whose `RecursionError` no one catches."""
        for folder in ('fleet', 'platform', 'quarantine', 'relay'):
            for path in (_PACKAGE / folder).rglob('*.py'):
                match = _UNSAFE_DECODER.search(path.read_text())
                if path.name not in _WITHOUT_IMPORTS:
                    self.assertIsNone(match, f'{path}: {match}')
