"""Odd messages between nodes are invalid, and logged once."""

from __future__ import annotations

import zlib
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import AsyncMock, Mock, patch

from logbook import TestHandler
from msgspec import DecodeError, json, msgpack
from msgspec.structs import replace

from samphirerill.fleet.deltas import DeltaError, build_full_delta, unpack_delta
from samphirerill.quarantine.messages import (
    EvidenceMessage,
    InvalidEvidenceError,
    decode_messages,
)
from samphirerill.relay.change_rows import ChangeBatch
from samphirerill.relay.change_source import _decode_message
from samphirerill.relay.configuration_history import ConfigurationHistory
from samphirerill.relay.confirmation import parse_confirmation
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.health import alarms
from samphirerill.relay.limits import exchange, messages
from samphirerill.relay.listeners import read_age_ms, read_revision
from samphirerill.relay.node_status import NodeStatus, build_node_status
from samphirerill.relay.peer_sync import PeerSync
from samphirerill.relay.quarantine import evidence_exchange
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import Network, Node

_DEPTH = 50_000
_NESTED = b'\x91' * _DEPTH + b'\x90'
_HUGE = 2**63
_ODD = {'replica_id': 'two', 'address': '10.0.0.9:99999'}
_SENDER = ('10.0.0.9', 7340)


class TestDatagrams(IsolatedAsyncioTestCase):
    """Datagrams of other nodes."""

    async def asyncSetUp(self) -> None:
        self.node = Node(Network(), 'a-1', 'a')
        for handler in (
            exchange.PermitExchange(self.node.state),
            evidence_exchange.EvidenceExchange(self.node.state, Mock()),
        ):
            self.node.receiver.add_handler(
                handler.type_prefix, handler.handle_datagram
            )

    async def test_nested_datagrams_are_logged_once(self) -> None:
        """Guards against an error of the loop for each datagram of a node."""
        datagrams = (
            _nest(build_node_status(self.node.state, 1, 0.0)),
            alarms.TYPE_PREFIX + _nest(alarms.Alarm('b-1', 'b', 1, 1, {}, {})),
            messages.TYPE_PREFIX + _nest(messages.LimitMessage('b-1', 1, 1)),
            evidence_exchange.TYPE_PREFIX
            + _nest(evidence_exchange.Evidence('b-1', 1, 1, b'\x90')),
        )
        with TestHandler().applicationbound() as log:
            for datagram in datagrams * 2:
                self.node.receiver.datagram_received(datagram, _SENDER)
        self.assertEqual(len({line.message for line in log.records}), 4)
        self.assertEqual(len(log.records), 4)

    async def test_status_with_huge_numbers_is_ignored(self) -> None:
        """Guards against sums of load that no datagram can carry."""
        sound = replace(build_node_status(self.node.state, 1, 0.0), node='b-1')
        for change in (
            {'version': _HUGE},
            {'revision': _HUGE},
            {'load': {1: (_HUGE, _HUGE)}},
            {'node_count': 10**9},
            {'link_usage': [('a', 'b', _HUGE)]},
        ):
            with self.subTest(change):
                self.receive(replace(sound, **change))
                self.assertIsNone(self.node.peers.get('b-1'))
        self.receive(sound)
        self.assertIsNotNone(self.node.peers.get('b-1'))

    async def test_replicas_without_address_are_not_fetched(self) -> None:
        """Guards against invalid replicas of a node of an older version."""
        self.node.state.view.revision = 1
        sound = build_replica('one', layers=(0, 80))
        rows = [[sound, 5], [{**_to_dict(sound), **_ODD}, 5]]
        health = Mock(is_up=False)
        sync = PeerSync(self.node.state, health)
        body = json.encode((7, rows))
        with patch.object(sync, '_get', AsyncMock(return_value=body)):
            await sync._fetch_replicas('10.0.0.9:3')  # noqa: SLF001
        self.assertEqual(list(self.node.state.view.replicas), ['one'])

    def receive(self, status: NodeStatus) -> None:
        """Receive a status."""
        self.node.receiver.datagram_received(msgpack.encode(status), _SENDER)


class TestResponses(TestCase):
    """Responses of other nodes, and queries in their requests."""

    def test_nested_messages_have_the_error_of_their_layer(self) -> None:
        """Guards against a node that stops to follow the one that watches."""
        with self.assertRaises(BrokenResponseError):
            batch = _nest(ChangeBatch(1, []))
            _decode_message('10.0.0.9:3', batch, ChangeBatch)
        with self.assertRaises(DeltaError):
            unpack_delta(zlib.compress(_nest(build_full_delta(b'x'))))
        with self.assertRaises(DecodeError):
            ConfigurationHistory().decode_update(_nest([b'']), 0)
        with self.assertRaises(InvalidEvidenceError):
            decode_messages(b'\x91' + _nest(EvidenceMessage(b'x', [])))

    def test_revisions_out_of_range_break_a_response(self) -> None:
        """Guards against a revision after which no change is taken."""
        body = msgpack.encode([_HUGE, []])
        with self.assertRaises(BrokenResponseError):
            _decode_message('10.0.0.9:3', body, ChangeBatch)

    def test_negative_age_confirms_nothing_in_the_future(self) -> None:
        """Guards against a copy that counts as complete for ever."""
        self.assertEqual(parse_confirmation(-10_000, 5.0), 5.0)

    def test_numbers_with_thousands_of_digits_are_no_numbers(self) -> None:
        """Guards against a request that ends without a response."""
        digits = b'9' * 5000
        self.assertEqual(read_revision(b'after=' + digits), -1)
        self.assertIsNone(read_age_ms(b'age=' + digits))


def _nest(message: object) -> bytes:
    """Return a message with a deeply nested element that no one reads."""
    encoded = msgpack.encode(message)
    return bytes((encoded[0] + 1,)) + encoded[1:] + _NESTED


def _to_dict(document: object) -> dict[str, object]:
    found: dict[str, object] = json.decode(json.encode(document))
    return found
