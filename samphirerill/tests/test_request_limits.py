"""Replicas that name a request limit get no more than that from all nodes."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from statistics import median
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.load import list_replica_ids
from samphirerill.fleet.paths import PathRequest
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleet_builders import ENGINE, build_replica
from samphirerill.tests.limited_fleet import (
    DESKS,
    ENGINES,
    LAYERS,
    OK,
    PLAIN,
    STREAM,
    UNAVAILABLE,
    LimitedFleetCase,
)
from samphirerill.tests.platform_documents import build_announcement

if TYPE_CHECKING:
    from collections.abc import Collection

    from samphirerill.fleet.model import Stage

_SERIES_S = 6.0
# All nodes know a limit so long after a replica has named it first.
_TOLD_S = 1.0
_RATE = 1.0
# Of the rates, while there are more requests.
_LEAST_USE = 0.75
_AT_ONCE_S = 0.3
# All layers fit into one replica.
_ENGINE = replace(ENGINE, layer_mb=100)
_TOKENS = 100


class TestOneLimitedReplica(LimitedFleetCase):
    """One of two replicas of a service names a limit."""

    async def test_streams_keep_the_limit_over_all_nodes(self) -> None:
        """Guard against more streams than a replica named for all nodes."""
        self.replicas['engine-1'].request_limit = b'1'
        since = asyncio.get_running_loop().time() + _TOLD_S
        await self.send_series(STREAM, _SERIES_S)
        self.assert_limit_kept('engine-1', _RATE, since)

    async def test_plain_requests_keep_the_limit_over_all_nodes(self) -> None:
        """Guard against more plain requests than a replica named."""
        self.replicas['desk-1'].request_limit = b'1'
        since = asyncio.get_running_loop().time() + _TOLD_S
        await self.send_series(PLAIN, _SERIES_S)
        self.assert_limit_kept('desk-1', _RATE, since)


class TestAllReplicasLimited(LimitedFleetCase):
    """Every replica of a service names a limit."""

    async def test_streams_use_the_limits_and_others_are_refused_at_once(
        self,
    ) -> None:
        """Guard against limits left unused, and waits that cannot end well."""
        await self.check_series(STREAM, ENGINES)

    async def test_plain_requests_use_the_limits_and_others_are_refused(
        self,
    ) -> None:
        """Guard against limits left unused, and waits that cannot end well."""
        await self.check_series(PLAIN, DESKS)

    async def check_series(self, target: bytes, names: tuple[str, ...]) -> None:
        """Send more requests than all replicas take together."""
        for name in names:
            self.replicas[name].request_limit = b'2'
        await self.send_series(target, _TOLD_S)
        since = asyncio.get_running_loop().time()
        answers = await self.send_series(target, _SERIES_S)
        elapsed_s = asyncio.get_running_loop().time() - since
        statuses = {status for status, _ in answers}
        self.assertEqual(statuses, {OK, UNAVAILABLE})
        arrived = 0
        for name in names:
            self.assert_limit_kept(name, 2, since)
            arrived += len(self.list_arrivals(name, since))
        self.assertGreater(arrived / elapsed_s, _LEAST_USE * 2 * len(names))
        refused = [
            self.durations_s[number]
            for number, (status, _) in enumerate(answers)
            if status == UNAVAILABLE
        ]
        self.assertLess(median(refused), _AT_ONCE_S)

    async def test_refusal_names_the_time_of_the_next_permit(self) -> None:
        """Guard against clients that return before there is room."""
        for name in ENGINES:
            self.replicas[name].request_limit = b'0'
        await self.send_series(STREAM, _TOLD_S)
        head = await self.request_head(self.nodes[0], STREAM)
        self.assertEqual(head.status, UNAVAILABLE)
        self.assertGreater(float(head.get(b'retry-after') or b'0'), 1)

    async def test_requests_are_served_again_without_a_limit(self) -> None:
        """Guard against a limit that outlasts the replica's word."""
        for name in ENGINES:
            self.replicas[name].request_limit = b'2'
        await self.send_series(STREAM, _TOLD_S)
        for name in ENGINES:
            self.replicas[name].request_limit = b''
        await self.send_series(STREAM, _TOLD_S)
        answers = await self.send_series(STREAM, _TOLD_S)
        self.assertEqual({status for status, _ in answers}, {OK})


class TestChangedReplica(LimitedFleetCase):
    """A replica that names a limit starts again, or is announced again."""

    async def test_limit_survives_an_announcement(self) -> None:
        """Guard against a limit that is forgotten with an entry."""
        self.replicas['engine-1'].request_limit = b'1'
        await self.send_series(STREAM, _TOLD_S)
        key = 'servers/engine-1'
        entry = build_announcement(
            'llm', self.harness.addresses['engine-1'], 'vast', LAYERS
        )
        since = asyncio.get_running_loop().time()
        for _ in range(3):
            await self.harness.store.delete(key)
            await self.harness.store.put(key, entry)
            await self.send_series(STREAM, 1.5)
        self.assert_limit_kept('engine-1', 1, since)


class TestPermitsOfPaths(IsolatedAsyncioTestCase):
    """Which replicas of a path need a permit."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        self.admission = AdmissionQueue(self.state)
        self.now = asyncio.get_running_loop().time()
        for name, layers in (
            ('head', (0, 40)),
            ('other-head', (0, 40)),
            ('tail', (40, 80)),
            ('other-tail', (40, 80)),
        ):
            replica = build_replica(name, 'a', 'large', layers)
            self.state.view.apply_announcement(replica, 1)

    def limit(self, name: str, permits: int) -> None:
        """Let a replica name a limit, and hold permits for it."""
        replica = self.state.view.replicas[name].replica
        self.state.request_limits.apply(replica, 1, self.now)
        limit = self.state.view.notices.find_limit(replica)
        assert limit is not None
        limit.permits.add(permits, self.now)

    def find_path(self, path_request: PathRequest) -> tuple[Stage, ...]:
        """Return a path with capacity."""
        return self.admission.find_path('llm', _ENGINE, path_request)

    def reserve(
        self, stages: tuple[Stage, ...], kept: Collection[str] = ()
    ) -> None:
        """Reserve a path for a stream that runs on some replicas already."""
        self.admission.reserve(_ENGINE, stages, _TOKENS, kept)

    def count_permits(self, name: str) -> int:
        """Return how many permits are left for a replica."""
        limit = self.state.view.replicas[name].limit
        return 0 if limit is None else limit.permits.count(self.now)

    async def test_no_path_leads_over_a_replica_without_room(self) -> None:
        """Guard against streams over a first or later stage that is full."""
        self.limit('head', 0)
        self.limit('tail', 0)
        used = list_replica_ids(self.find_path(PathRequest(_TOKENS)))
        self.assertEqual(used, ('other-head', 'other-tail'))

    async def test_each_new_stage_uses_a_permit(self) -> None:
        """Guard against resumed and repeated streams that are not counted."""
        for name in ('head', 'tail'):
            self.limit(name, 2)
        request = PathRequest(_TOKENS, ('other-head', 'other-tail'))
        stages = self.find_path(request)
        self.reserve(stages)
        self.assertEqual(self.count_permits('head'), 1)
        self.reserve(stages)
        self.assertEqual(self.count_permits('tail'), 0)
        self.assertEqual(self.find_path(request), ())

    async def test_rerouted_stream_keeps_its_stages_without_a_permit(
        self,
    ) -> None:
        """Guard against streams that end as their replica names a limit."""
        self.limit('head', 0)
        self.limit('other-tail', 1)
        kept = frozenset(('head',))
        request = PathRequest(
            _TOKENS,
            ('tail',),
            kept,
            first_stage_end=40,
            prefilled_on=kept,
            is_urgent=True,
        )
        stages = self.find_path(request)
        self.assertEqual(list_replica_ids(stages), ('head', 'other-tail'))
        self.reserve(stages, kept)
        self.assertEqual(self.count_permits('other-tail'), 0)
        self.assertEqual(self.state.counters['limits.exceeded'], 0)
