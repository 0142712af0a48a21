"""Replicas that restart under the same id, and entries of other writers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase

from msgspec import json

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.stage_lifetime import is_stage_lost
from samphirerill.fleet.view import FleetView
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.relay.platform_adapter import DocumentError
from samphirerill.relay.pool import ConnectionPool
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.platform_documents import build_announcement

_FIRST_START_MS = 1_790_000_000_000
_SECOND_START_MS = _FIRST_START_MS + 9_000
_ALL_LAYERS = LayerRange(0, 80)
_ADDRESS = '10.0.0.1:8080'


class TestRestarts(TestCase):
    """State kept about a replica is reset when the replica restarts."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.first_process = build_replica('one', layers=(0, 80))
        self.first_process = replace(
            self.first_process, started_ms=_FIRST_START_MS
        )
        self.second_process = replace(
            self.first_process, started_ms=_SECOND_START_MS, layers=None
        )
        self.view.apply_announcement(self.first_process, 1)

    def test_path_through_previous_process_is_lost(self) -> None:
        """Streams must not wait for an engine that has lost their state.

        It restarted during a network partition and holds the same layers
        under the same id as before.
        """
        stage = Stage(self.first_process, _ALL_LAYERS)
        losses = self.view.loss_count
        self.view.apply_announcement(
            replace(self.second_process, layers=_ALL_LAYERS), 2
        )
        self.assertTrue(is_stage_lost(self.view, stage, 0))
        self.assertGreater(self.view.loss_count, losses)

    def test_suspicion_is_cleared_by_restart(self) -> None:
        self.view.add_silence_report('one', 9, 1)
        self.view.apply_announcement(self.second_process, 2)
        self.assertEqual(len(self.view.list_usable('llm', 2)), 1)

    def test_replica_that_left_gets_work_after_restart(self) -> None:
        """The leaving state of the previous process must not outlive it."""
        self.view.remove_announcement('one', 2, 0, leaving_deadline=9)
        self.view.apply_announcement(self.second_process, 3)
        self.assertEqual(len(self.view.list_usable('llm', 3)), 1)

    def test_restarted_replica_that_is_leaving_gets_no_work(self) -> None:
        """A restart first seen as leaving must not be reset to available."""
        leaving = replace(
            self.second_process, is_leaving=True, layers=_ALL_LAYERS
        )
        self.view.apply_announcement(leaving, 2, leaving_deadline=9)
        self.assertEqual(self.view.list_usable('llm', 2), [])

    def test_entry_without_start_time_is_the_same_process(self) -> None:
        self.view.add_silence_report('one', 9, 1)
        self.view.apply_announcement(
            replace(self.first_process, started_ms=0), 2
        )
        self.assertEqual(self.view.list_usable('llm', 2), [])


class TestConnections(IsolatedAsyncioTestCase):
    """Idle connections are dropped when the replica restarts."""

    async def test_connection_to_previous_process_is_not_reused(self) -> None:
        accepted = Counter[str]()

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted['made'] += 1
            await reader.read()
            writer.close()

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        first_process = replace(
            build_replica('one'),
            address=f'{host}:{port}',
            started_ms=_FIRST_START_MS,
        )
        pool = ConnectionPool(Counter())
        conn = await pool.acquire(first_process)
        pool.release(first_process, conn)
        new_conn = await pool.acquire(
            replace(first_process, started_ms=_SECOND_START_MS)
        )
        self.assertIsNot(new_conn, conn)
        self.assertFalse(conn.is_open())
        new_conn.close()


class TestForeignEntries(TestCase):
    """Entries that are not a replica's announcement are rejected."""

    def setUp(self) -> None:
        self.adapter = HttpPlatformAdapter()
        self.entry = json.decode(
            build_announcement('llm', _ADDRESS, 'vast', (0, 80))
        )

    def test_complete_entry_is_decoded(self) -> None:
        text = json.encode({**self.entry, 'born': _FIRST_START_MS})
        replica = self.adapter.decode_replica('one', text)
        self.assertEqual(replica.started_ms, _FIRST_START_MS)

    def test_entry_without_required_field_is_rejected(self) -> None:
        for name in ('service', 'address', 'zone', 'slots', 'state'):
            with self.subTest(name), self.assertRaises(DocumentError):
                entry = {**self.entry}
                entry.pop(name)
                self.adapter.decode_replica('one', json.encode(entry))

    def test_entry_with_invalid_value_is_rejected(self) -> None:
        invalid = {
            'service': 5,
            'address': 'nowhere',
            'slots': 'many',
            'state': 'warming',
            'layers': 'all',
            'born': 'today',
        }
        for name, invalid_value in invalid.items():
            with self.subTest(name), self.assertRaises(DocumentError):
                text = json.encode({**self.entry, name: invalid_value})
                self.adapter.decode_replica('one', text)

    def test_entry_of_unknown_service_does_not_replace_replica(self) -> None:
        """An entry of a service that is not configured must not take over.

        A newer entry with the same address normally replaces the older one.
        """
        view = FleetView(services=frozenset(('llm',)))
        one = build_replica('one', layers=(0, 80))
        view.apply_announcement(one, 1)
        view.apply_announcement(
            replace(one, replica_id='odd', service='odd'), 2
        )
        self.assertEqual(len(view.list_usable('llm', 0)), 1)
