"""Odd input of endpoints, clients and files has the error of its reader."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase
from unittest.mock import Mock, patch

from msgspec import json

from samphirerill.backends.engine_call import EngineCall, emit_load_report
from samphirerill.backends.vm_list import VmList
from samphirerill.core.events import AttemptFailed
from samphirerill.decoding.decoders import parse_json
from samphirerill.fleet.slot_shares import SlotShares
from samphirerill.node.membership import Membership
from samphirerill.platform.early_listen import open_client_socket
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings, load_edge_settings
from samphirerill.platform.wire_names import TOKEN_COUNTS
from samphirerill.relay.request import Request
from samphirerill.relay.server_sent_events import EventParser
from samphirerill.relay.stream_request import parse_event_id
from samphirerill.settings.errors import InvalidDocumentError
from samphirerill.settings.jsonc import parse_jsonc
from samphirerill.tests.odd_entries import NESTED

_DIGITS = b'9' * 5000
_SOME_LEVELS = 800
_SETTINGS = {
    'name': 'n',
    'data_centre': 'a',
    'host': '127.0.0.1',
    'callers': '127.0.0.1:1',
    'readiness': '127.0.0.1:2',
    'peers': '127.0.0.1:3',
    'store': '127.0.0.1:4',
    'exchange_port': 5,
    'metrics_port': 6,
}


class TestEndpoints(TestCase):
    """What endpoints and clients send."""

    def test_odd_chunk_fails_the_attempt(self) -> None:
        """Guards against an attempt that never ends after an odd event."""
        for chunk in (b'{"x":%b}' % NESTED, b'{"token":%b}' % (b'9' * 30)):
            sink = Mock()
            call = EngineCall(Mock(stages=[Mock()]), b'', sink)
            call.status = 200
            call.handle_body(b'data: %b\n\n' % chunk)
            events = [entry.args[0] for entry in sink.apply.call_args_list]
            self.assertEqual([type(event) for event in events], [AttemptFailed])

    def test_odd_load_report_is_ignored(self) -> None:
        """Guards against a response that fails by a header about load."""
        sink = Mock()
        for load in (
            b'{"running":-1}',
            b'{"running":%b}' % (b'9' * 30),
            NESTED,
        ):
            emit_load_report('e1', b'{"named_metrics":%b}' % load, sink)
        sink.apply.assert_not_called()

    def test_numbers_with_thousands_of_digits_are_no_numbers(self) -> None:
        """Guards against a stream that ends by an error of the node."""
        events = EventParser().feed(b'id: %b\ndata: x\n\n' % _DIGITS)
        self.assertEqual([event.event_id for event in events], [-1])
        self.assertEqual(parse_event_id(_DIGITS), -1)
        headers = [(TOKEN_COUNTS, b'%b,%b' % (_DIGITS, _DIGITS))]
        req = Request(b'POST', b'/', headers, 0)
        metadata = HttpPlatformAdapter().parse_request(req)
        self.assertEqual(metadata.prompt_tokens, 0)

    def test_millions_of_slots_are_not_counted_one_by_one(self) -> None:
        """Guards against a load header that takes the loop's time."""
        shares = SlotShares('a')
        shares.set_parts({'a': 1.0})
        self.assertLess(shares._count_owned('x', 10**12), 10**6)  # noqa: SLF001


class TestFiles(TestCase):
    """Files, and JSON without a declared type."""

    def test_odd_files_are_invalid(self) -> None:
        """Guards against a node that ends, or stops to watch its settings."""
        levels = '[' * _SOME_LEVELS + ']' * _SOME_LEVELS
        for text in (NESTED.decode(), _DIGITS.decode(), levels, 'NaN', '1e999'):
            with (
                self.subTest(text[:9]),
                self.assertRaises(InvalidDocumentError),
            ):
                parse_jsonc(text, 'settings')

    def test_odd_settings_are_invalid(self) -> None:
        """Guards against ports and addresses that fail when they are used."""
        self.assertEqual(self.load({}).exchange_port, 5)
        for change in (
            {'exchange_port': 99_999},
            {'metrics_port': -1},
            {'store': '127.0.0.1:99999'},
            {'callers': 'here'},
            {'finish_s': -1},
        ):
            with self.subTest(change), self.assertRaises(InvalidDocumentError):
                self.load(change)

    def test_odd_settings_don_t_end_the_early_start(self) -> None:
        """Guards against a process that ends before it reports the error."""
        for text in ('[]', NESTED.decode(), '{"callers": "127.0.0.1:99999"}'):
            with self.subTest(text[:9]), TemporaryDirectory() as folder:
                path = Path(folder) / 'settings'
                path.write_text(text)
                with patch.dict('os.environ', SAMPHIRERILL_SETTINGS=str(path)):
                    self.assertIsNone(open_client_socket())

    def test_own_interface_reads_past_odd_documents(self) -> None:
        """Guards against a list of VMs or nodes that ends its reader."""
        with self.assertRaises(ValueError):
            parse_json(NESTED)
        vm_list = VmList('127.0.0.1:1')
        response = Mock(data=NESTED)
        with patch.object(vm_list._http, 'request', return_value=response):  # noqa: SLF001
            self.assertTrue(vm_list.read().is_err())
        for text in (NESTED.decode(), '[]', '{}', '{"id":1,"peer":2}'):
            membership = Membership(Mock(), Mock())
            membership._prefix = ''  # noqa: SLF001
            membership._add_member(
                Mock(key='shared/nodes/x', stored_value=text)
            )  # noqa: SLF001
            self.assertEqual(membership.peers, {})

    def load(self, change: dict[str, Any]) -> EdgeSettings:
        """Load settings with changes."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_bytes(json.encode({**_SETTINGS, **change}))
            return load_edge_settings(str(path))
