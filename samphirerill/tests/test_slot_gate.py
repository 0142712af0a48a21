"""Nodes with the same reports and the last free slot of an engine."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import cast
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from msgspec.structs import replace as replace_fields

from samphirerill.fleet.load import ReplicaLoad
from samphirerill.fleet.model import (
    ClientAccount,
    ClientLimits,
    FleetConfiguration,
    FleetRoute,
    RetryClass,
    Service,
    ServiceWeight,
)
from samphirerill.fleet.paths import PathRequest
from samphirerill.fleet.retry_budget import RetryUsage
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.health import Alarms
from samphirerill.relay.state import EdgeState
from samphirerill.sharing.settings import SharingSettings
from samphirerill.tests.fleet_builders import ENGINE, build_replica

_NODES = ('n1', 'n2', 'n3')
_ENGINE = replace(ENGINE, slots=8)
_TOKENS = 900.0
_STEP_S = 0.05
_STEPS = 200
_LARGE_FLEET = 69
_ROUTES = tuple(
    FleetRoute(
        f'r{priority}',
        'h',
        f'/{priority}/',
        RetryClass.STREAM,
        (ServiceWeight('llm', 1),),
        priority=priority,
    )
    for priority in range(2)
)
_CONFIGURATION = FleetConfiguration(
    1,
    _ROUTES,
    {'llm': Service('llm', engine=_ENGINE)},
    {name: ClientAccount(name) for name in ('one', 'two')},
    needs_keys=True,
    limits=ClientLimits(),
)


class TestSlotGate(IsolatedAsyncioTestCase):
    """Three nodes that know of seven streams on an engine of eight slots."""

    async def asyncSetUp(self) -> None:
        self.states: list[EdgeState] = []
        self.queues = [self.build_queue(name) for name in _NODES]

    async def test_one_node_at_a_time_takes_the_last_slot(self) -> None:
        self.configure(SharingSettings(ranks=True, slots=True))
        takers = [
            self.list_takers(step * _STEP_S, is_urgent=False)
            for step in range(_STEPS)
        ]
        self.assertLessEqual(max(map(len, takers)), 1)
        self.assertEqual(
            {name for names in takers for name in names}, set(_NODES)
        )

    async def test_started_streams_take_any_free_slot(self) -> None:
        self.configure(SharingSettings(accounts=True, slots=True))
        for step in range(_STEPS):
            takers = self.list_takers(step * _STEP_S, is_urgent=True)
            self.assertEqual(takers, list(_NODES))

    async def test_decisions_without_sharing_are_unchanged(self) -> None:
        for sharing in (SharingSettings(), SharingSettings(ranks=True)):
            self.configure(sharing)
            for step in range(_STEPS):
                takers = self.list_takers(step * _STEP_S, is_urgent=False)
                self.assertEqual(takers, list(_NODES))

    async def test_service_without_anything_to_share_is_unchanged(
        self,
    ) -> None:
        """Guard against slot shares in a service with one rank and account."""
        for state in self.states:
            state.cfg = replace(_CONFIGURATION, routes=_ROUTES[:1], accounts={})
        self.configure(SharingSettings(ranks=True, accounts=True, slots=True))
        takers = self.list_takers(0, is_urgent=False)
        self.assertEqual(takers, list(_NODES))

    async def test_nodes_that_know_only_aggregates_take_any_free_slot(
        self,
    ) -> None:
        """Nodes with different knowledge disagreed on the owners of slots."""
        self.configure(SharingSettings(ranks=True, slots=True))
        names = [f'n{number}' for number in range(1, _LARGE_FLEET + 1)]
        nodes = SimpleNamespace(list_nodes=lambda: dict.fromkeys(names, 'a'))
        for queue in self.queues:
            queue.slot_gate.bind(cast('Alarms', nodes))
        for step in range(_STEPS):
            takers = self.list_takers(step * _STEP_S, is_urgent=False)
            self.assertEqual(takers, list(_NODES))

    def build_queue(self, name: str) -> AdmissionQueue:
        settings = EdgeSettings(name, 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        state = EdgeState(settings, HttpPlatformAdapter())
        self.states.append(state)
        state.cfg = _CONFIGURATION
        head = build_replica('head', 'a', 'large', (0, 40))
        tail = build_replica('tail', 'a', 'large', (40, 80))
        state.view.apply_announcement(head, 1)
        state.view.apply_announcement(tail, 1)
        now = asyncio.get_running_loop().time()
        state.load_tracker.update_peer(
            'other', {'head': ReplicaLoad(7, 0)}, now
        )
        for _ in range(100):
            state.get_retry_budget('llm').note_request(now)
        for other in set(_NODES) - {name}:
            usage = RetryUsage(requests=100)
            state.get_retry_budget('llm').peers.update(other, usage, now)
        queue = AdmissionQueue(state)
        nodes = SimpleNamespace(list_nodes=lambda: dict.fromkeys(_NODES, 'a'))
        queue.slot_gate.bind(cast('Alarms', nodes))
        return queue

    def configure(self, sharing: SharingSettings) -> None:
        for state in self.states:
            state.settings = replace_fields(state.settings, sharing=sharing)

    def list_takers(self, at: float, *, is_urgent: bool) -> list[str]:
        """Return the nodes that would send a stream to the engine."""
        with patch('time.time', return_value=at):
            return [
                name
                for name, queue in zip(_NODES, self.queues, strict=True)
                if queue.find_path(
                    'llm', _ENGINE, PathRequest(_TOKENS, is_urgent=is_urgent)
                )
            ]
