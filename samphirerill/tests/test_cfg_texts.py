"""Configurations that nodes give to each other, and how many bytes that takes."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from msgspec import json

from samphirerill.fleet.deltas import DeltaError, apply_delta, build_delta
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.cfg_texts import CfgTexts
from samphirerill.relay.peer_help import PeerHelp
from samphirerill.relay.pool import ConnectionPool
from samphirerill.relay.state import EdgeState
from samphirerill.relay.store_health import StoreHealth
from samphirerill.tests.fleets import build_replica

if TYPE_CHECKING:
    from samphirerill.relay.listeners import Page

_ROUTES = 300
_PATH = b'/configuration/2'


def _build_text(version: int, *, routes: int = _ROUTES) -> bytes:
    rows = [
        {
            'name': f'r{at}',
            'host': 'bridal.example',
            'prefix': f'/p{at}/',
            'kind': 'idempotent',
            'service': 'desk',
        }
        for at in range(routes)
    ]
    return json.encode({'version': version, 'routes': rows, 'services': []})


class TestDeltas(TestCase):
    """Differences between two texts."""

    def test_any_two_texts_can_be_told_apart(self) -> None:
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

    def test_a_difference_fits_one_text_only(self) -> None:
        delta = build_delta(_build_text(1), _build_text(2))
        with self.assertRaises(DeltaError):
            apply_delta(_build_text(3), delta)


class TestCfgTexts(TestCase):
    """What one node tells another of the configuration."""

    def setUp(self) -> None:
        self.giver = CfgTexts()
        self.taker = CfgTexts()
        for version in (3, 5, 8):
            self.giver.note(version, _build_text(version))
        self.taker.note(3, _build_text(3))

    def test_who_has_an_older_version_gets_the_difference(self) -> None:
        given = self.giver.encode(3)
        self.assertLess(len(given), 300)
        self.assertEqual(self.taker.decode(given, 3), _build_text(8))

    def test_who_has_none_that_is_known_gets_the_whole(self) -> None:
        given = self.giver.encode(4)
        self.assertEqual(self.taker.decode(given, 4), _build_text(8))

    def test_another_text_of_the_same_version_is_found_out(self) -> None:
        self.taker.note(5, _build_text(6))
        with self.assertRaises(DeltaError):
            self.taker.decode(self.giver.encode(5), 5)

    def test_what_is_given_to_many_is_made_once(self) -> None:
        """Symptom: a node stands still for 0.1 s after a new configuration.

        Sequence: a dozen nodes that the store turned away ask it for the same
        version; it compares 290 KB for each of them. Cause: the difference was
        made for each who asked. Counted: 3 made before, 1 now.
        """
        made = patch(
            'samphirerill.relay.cfg_texts.build_delta', wraps=build_delta
        )
        with made as build:
            given = {self.giver.encode(5) for _ in range(3)}
            self.assertEqual(build.call_count, 1)
            self.giver.note(9, _build_text(9))
            given.add(self.giver.encode(5))
        self.assertEqual(build.call_count, 2)
        self.assertEqual(len(given), 2)

    def test_few_versions_are_kept(self) -> None:
        for version in range(10, 40):
            self.giver.note(version, _build_text(version))
        self.assertFalse(self.giver.has(30))
        self.assertTrue(self.giver.has(35))


class TestGiving(IsolatedAsyncioTestCase):
    """Nodes that lack a configuration ask one that has it."""

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
        self.state = EdgeState(settings, PlatformDialect())
        helper = PeerHelp(self.state, StoreHealth(0))
        self.give = helper.list_pages()[_PATH]

    def put_in_force(self, version: int) -> None:
        """Let the node take a configuration over."""
        text = _build_text(version)
        cfg = self.state.dialect.decode_configuration(text)
        self.state.put_in_force(cfg, text)

    async def test_a_node_without_a_configuration_says_so(self) -> None:
        self.assertEqual(self.give(b'after=0')[0], 404)

    async def test_wholes_do_not_fill_the_link(self) -> None:
        """Symptom: a node's streams stand still while others start.

        Sequence: nodes start that the store turns away; all of them ask the
        first node that they hear for the whole configuration, and its link
        passes nothing else. Cause: wholes were given as fast as asked for.
        """
        self.put_in_force(4)
        self.put_in_force(7)
        statuses = [self.give(b'after=0')[0] for _ in range(5)]
        self.assertEqual(statuses, [200, 503, 503, 503, 503])
        differences = [self.give(b'after=4') for _ in range(5)]
        self.assertEqual({status for status, _ in differences}, {200})
        self.assertLess(max(len(body) for _, body in differences), 300)

    async def test_a_difference_that_does_not_fit_is_made_good(self) -> None:
        """Symptom: a node that the store turns away keeps an old version.

        Sequence: it has a version in other bytes than its helper; the
        difference does not fit, and is asked for again each time. Cause: it
        never asked for the whole.
        """
        self.put_in_force(1)
        self.put_in_force(2)
        taker = EdgeState(self.state.settings, PlatformDialect())
        other = bytes(json.format(_build_text(1)))
        taker.put_in_force(taker.dialect.decode_configuration(other), other)
        helper = PeerHelp(taker, StoreHealth(0))

        async def call(
            address: str, method: bytes, path: bytes, *rest: object
        ) -> Page:
            page, _, query = path.partition(b'?')
            return self.give(query) if page == _PATH else (404, b'')

        with patch('samphirerill.relay.peer_help.call_once', call):
            helper.consider('a', 2, 0)
            await asyncio.sleep(0.5)
        self.assertEqual(taker.version, 2)


class TestPool(IsolatedAsyncioTestCase):
    """Connections that come to nothing."""

    async def test_one_that_is_given_up_while_it_opens_is_not_counted(
        self,
    ) -> None:
        """Symptom: a node finds all connections in use where none is.

        Sequence: a client leaves while the connection for it is opened. Cause:
        the end of such a connection was not told to whoever counts them.
        """
        hangs = asyncio.Event()

        async def connect(*_: object) -> None:
            await hangs.wait()

        pool = ConnectionPool(Counter())
        loop = asyncio.get_running_loop()
        with patch.object(loop, 'create_connection', connect):
            task = asyncio.create_task(pool.take(build_replica('one'), most=1))
            await asyncio.sleep(0.02)
            self.assertFalse(pool.has_left('one', 1))
            task.cancel()
            await asyncio.wait((task,))
        self.assertTrue(pool.has_left('one', 1))
