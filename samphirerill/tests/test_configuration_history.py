"""Configurations sent between nodes, in full or as deltas."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from msgspec import json

from samphirerill.fleet.deltas import DeltaError, apply_delta, build_delta
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.configuration_history import ConfigurationHistory
from samphirerill.relay.peer_sync import PeerSync
from samphirerill.relay.pool import ConnectionPool
from samphirerill.relay.state import EdgeState
from samphirerill.relay.store_health import StoreHealth
from samphirerill.tests.fleet_builders import build_replica

if TYPE_CHECKING:
    from samphirerill.relay.listeners import Page

_ROUTES = 300
_CONFIGURATION_PATH = b'/configuration/3'


def _build_text(version: int, *, routes: int = _ROUTES) -> bytes:
    rows = [
        {
            'name': f'r{number}',
            'host': 'bridal.example',
            'prefix': f'/p{number}/',
            'kind': 'idempotent',
            'service': 'desk',
        }
        for number in range(routes)
    ]
    return json.encode({'version': version, 'routes': rows, 'services': []})


class TestDeltas(TestCase):
    """Deltas between two texts."""

    def test_delta_between_any_two_texts(self) -> None:
        texts = (
            b'',
            b'}',
            b'no object',
            b'{"a": {"b": 1}}',
            b'{"a": {"b": 1}}}}}',
            _build_text(1),
            _build_text(2, routes=_ROUTES + 1),
        )
        for old in texts:
            for new in texts:
                with self.subTest(old=old[:20], new=new[:20]):
                    delta = build_delta(old, new)
                    self.assertEqual(apply_delta(old, delta), new)

    def test_delta_to_another_text_is_rejected(self) -> None:
        delta = build_delta(_build_text(1), _build_text(2))
        with self.assertRaises(DeltaError):
            apply_delta(_build_text(3), delta)


class TestConfigurationTexts(TestCase):
    """Encoding and decoding of configurations between two nodes."""

    def setUp(self) -> None:
        self.sender = ConfigurationHistory()
        self.receiver = ConfigurationHistory()
        for version in (3, 5, 8):
            self.sender.add(version, _build_text(version))
        self.receiver.add(3, _build_text(3))

    def test_known_older_version_gets_delta(self) -> None:
        encoded = self.sender.encode_update(3)
        self.assertLess(len(encoded), 300)
        self.assertEqual(
            self.receiver.decode_update(encoded, 3), _build_text(8)
        )

    def test_unknown_version_gets_full_text(self) -> None:
        encoded = self.sender.encode_update(4)
        self.assertEqual(
            self.receiver.decode_update(encoded, 4), _build_text(8)
        )

    def test_delta_to_different_text_of_same_version_is_rejected(self) -> None:
        self.receiver.add(5, _build_text(6))
        with self.assertRaises(DeltaError):
            self.receiver.decode_update(self.sender.encode_update(5), 5)

    def test_delta_is_computed_once_per_version(self) -> None:
        """Many nodes asking for the same delta must not block the event loop.

        The delta used to be computed anew for each of them.
        """
        patched = patch(
            'samphirerill.relay.configuration_history.build_delta',
            wraps=build_delta,
        )
        with patched as build:
            encoded = {self.sender.encode_update(5) for _ in range(3)}
            self.assertEqual(build.call_count, 1)
            self.sender.add(9, _build_text(9))
            encoded.add(self.sender.encode_update(5))
        self.assertEqual(build.call_count, 2)
        self.assertEqual(len(encoded), 2)

    def test_old_versions_are_evicted(self) -> None:
        for version in range(10, 40):
            self.sender.add(version, _build_text(version))
        self.assertFalse(self.sender.has_version(30))
        self.assertTrue(self.sender.has_version(35))


class TestPeerRequests(IsolatedAsyncioTestCase):
    """Configurations requested from another node."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings(
            name='n1',
            data_centre='a',
            host='127.0.0.1',
            callers='127.0.0.1:1',
            readiness='127.0.0.1:2',
            peers='127.0.0.1:3',
            store='127.0.0.1:4',
            exchange_port=5,
            metrics_port=6,
        )
        self.state = EdgeState(settings, HttpPlatformAdapter())
        peer_sync = PeerSync(self.state, StoreHealth(0))
        self.handle_request = peer_sync.list_pages()[_CONFIGURATION_PATH]

    def apply_configuration(self, version: int) -> None:
        """Apply a configuration at the sending node."""
        text = _build_text(version)
        cfg = self.state.adapter.decode_configuration(text)
        self.state.apply_configuration(cfg, text)

    async def test_node_without_configuration_answers_not_found(self) -> None:
        self.assertEqual(self.handle_request(b'after=0')[0], 404)

    async def test_full_texts_are_rate_limited(self) -> None:
        """Sending full configurations must not saturate the node's link.

        Many nodes that start without the store may ask the same node at once.
        """
        self.apply_configuration(4)
        self.apply_configuration(7)
        statuses = [self.handle_request(b'after=0')[0] for _ in range(5)]
        self.assertEqual(statuses, [200, 503, 503, 503, 503])
        deltas = [self.handle_request(b'after=4') for _ in range(5)]
        self.assertEqual({status for status, _ in deltas}, {200})
        self.assertLess(max(len(body) for _, body in deltas), 300)

    async def test_full_text_is_requested_if_delta_does_not_apply(self) -> None:
        """A node with a differently formatted text must still catch up.

        It used to request the same inapplicable delta forever.
        """
        self.apply_configuration(1)
        self.apply_configuration(2)
        receiver = EdgeState(self.state.settings, HttpPlatformAdapter())
        other = bytes(json.format(_build_text(1)))
        receiver.apply_configuration(
            receiver.adapter.decode_configuration(other), other
        )
        peer_sync = PeerSync(receiver, StoreHealth(0))

        async def call(
            address: str, method: bytes, path: bytes, *rest: object
        ) -> Page:
            page, _, query = path.partition(b'?')
            return (
                self.handle_request(query)
                if page == _CONFIGURATION_PATH
                else (404, b'')
            )

        with patch('samphirerill.relay.peer_sync.call_once', call):
            peer_sync.sync_if_behind('a', 2, 0)
            await asyncio.sleep(0.5)
        self.assertEqual(receiver.version, 2)


class TestPool(IsolatedAsyncioTestCase):
    """Connections that are cancelled while they open."""

    async def test_cancelled_connection_is_not_counted(
        self,
    ) -> None:
        """A client that disconnects early must not leak a connection slot."""
        never_connected = asyncio.Event()

        async def connect(*_: object) -> None:
            await never_connected.wait()

        pool = ConnectionPool(Counter())
        loop = asyncio.get_running_loop()
        with patch.object(loop, 'create_connection', connect):
            task = asyncio.create_task(
                pool.acquire(build_replica('one'), max_open=1)
            )
            await asyncio.sleep(0.02)
            self.assertFalse(pool.has_available('one', 1))
            task.cancel()
            await asyncio.wait((task,))
        self.assertTrue(pool.has_available('one', 1))
