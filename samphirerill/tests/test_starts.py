"""Endpoints that start again under their id, and entries of other writers."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase

from msgspec import json

from samphirerill.fleet.endings import is_lost
from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.view import FleetView
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.pool import ConnectionPool
from samphirerill.tests.fleets import build_replica
from samphirerill.tests.platform_documents import build_entry

_FIRST_MS = 1_790_000_000_000
_SECOND_MS = _FIRST_MS + 9_000
_WHOLE = LayerRange(0, 80)
_ADDRESS = '10.0.0.1:8080'


class TestNewStarts(TestCase):
    """What is believed of a replica ends with its start."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.first = build_replica('one', layers=(0, 80))
        self.first = replace(self.first, started_ms=_FIRST_MS)
        self.second = replace(self.first, started_ms=_SECOND_MS, layers=None)
        self.view.announce(self.first, 1)

    def test_a_path_through_the_start_before_is_lost(self) -> None:
        """Symptom: streams wait for seconds for an engine that answers.

        Sequence: it is cut off, crashes behind the cut and starts again under
        its id with nothing loaded, then loads the same layers as before.
        Cause: by id and layers it looks like the one they pass through.
        """
        stage = Stage(self.first, _WHOLE)
        losses = self.view.losses
        self.view.announce(replace(self.second, layers=_WHOLE), 2)
        self.assertTrue(is_lost(self.view, stage, 0))
        self.assertGreater(self.view.losses, losses)

    def test_what_was_held_against_it_is_over(self) -> None:
        self.view.suspect('one', 9, 1)
        self.view.announce(self.second, 2)
        self.assertEqual(len(self.view.list_usable('llm', 2)), 1)

    def test_one_that_had_left_may_come_again(self) -> None:
        """Symptom: a replica that is ready gets no work for half a minute.

        Sequence: its entry is removed without a word before, so that it is
        taken to leave; it starts again under its id. Cause: who leaves was
        kept by id.
        """
        self.view.withdraw('one', 2, 0, leaves_at=9)
        self.view.announce(self.second, 3)
        self.assertEqual(len(self.view.list_usable('llm', 3)), 1)

    def test_a_new_start_that_leaves_at_once_gets_no_work(self) -> None:
        """Symptom: a replica that leaves gets new work.

        Sequence: the first that is heard of another start is that it leaves.
        Cause: what was known of the start before was dropped after that.
        """
        leaving = replace(self.second, is_leaving=True, layers=_WHOLE)
        self.view.announce(leaving, 2, leaves_at=9)
        self.assertEqual(self.view.list_usable('llm', 2), [])

    def test_an_entry_that_says_nothing_of_its_start_is_the_same(self) -> None:
        self.view.suspect('one', 9, 1)
        self.view.announce(replace(self.first, started_ms=0), 2)
        self.assertEqual(self.view.list_usable('llm', 2), [])


class TestConnections(IsolatedAsyncioTestCase):
    """Kept connections end with the start that they were made to."""

    async def test_none_is_used_for_the_next_start(self) -> None:
        accepted = Counter[str]()

        async def take(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted['made'] += 1
            await reader.read()
            writer.close()

        server = await asyncio.start_server(take, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        first = replace(
            build_replica('one'),
            address=f'{host}:{port}',
            started_ms=_FIRST_MS,
        )
        pool = ConnectionPool(Counter())
        conn = await pool.take(first)
        pool.give_back(first, conn)
        again = await pool.take(replace(first, started_ms=_SECOND_MS))
        self.assertIsNot(again, conn)
        self.assertFalse(conn.is_open())
        again.close()


class TestEntriesOfOthers(TestCase):
    """What does not have all of a replica's entry names no replica."""

    def setUp(self) -> None:
        self.dialect = PlatformDialect()
        self.entry = json.decode(build_entry('llm', _ADDRESS, 'vast', (0, 80)))

    def test_a_whole_entry_is_read(self) -> None:
        text = json.encode({**self.entry, 'born': _FIRST_MS})
        replica = self.dialect.decode_replica('one', text)
        self.assertEqual(replica.started_ms, _FIRST_MS)

    def test_an_entry_with_a_gap_names_nobody(self) -> None:
        for name in ('service', 'address', 'zone', 'slots', 'state'):
            with self.subTest(name), self.assertRaises(DocumentError):
                entry = {**self.entry}
                entry.pop(name)
                self.dialect.decode_replica('one', json.encode(entry))

    def test_odd_values_name_nobody(self) -> None:
        odd = {
            'service': 5,
            'address': 'nowhere',
            'slots': 'many',
            'state': 'warming',
            'layers': 'all',
            'born': 'today',
        }
        for name, given in odd.items():
            with self.subTest(name), self.assertRaises(DocumentError):
                text = json.encode({**self.entry, name: given})
                self.dialect.decode_replica('one', text)

    def test_an_unknown_service_ends_nobody_at_its_address(self) -> None:
        """Symptom: a replica that is ready gets no more work.

        Sequence: somebody else writes an entry of a service that operators
        don't know, with the replica's address. Cause: the newer entry at an
        address was taken for its next owner.
        """
        view = FleetView(services=frozenset(('llm',)))
        one = build_replica('one', layers=(0, 80))
        view.announce(one, 1)
        view.announce(replace(one, replica_id='odd', service='odd'), 2)
        self.assertEqual(len(view.list_usable('llm', 0)), 1)
