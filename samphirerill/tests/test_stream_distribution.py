"""Distribution of streams over replicas, and the effect of a loss."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING
from unittest import TestCase

from samphirerill.fleet.load import (
    LoadTracker,
    ReplicaLoad,
    list_replica_ids,
)
from samphirerill.fleet.paths import (
    PathRequest,
    choose_path,
    count_token_capacity,
)
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.stream_rerouting import predict_reroute_pause_ms
from samphirerill.tests.fleet_builders import (
    ENGINE,
    build_replica,
    build_states,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

# Concurrent streams hardly slow down a pass.
_ENGINE = replace(ENGINE, per_seq_ms=0.0028, context_per_k_ms=0.0037)
_TOKENS = 500
_STREAM_COUNT = 45
_MIN_SAVED_MS = 20
_START_S = 0.0
_NODES = 24
_STREAMS_PER_NODE = 4


def _build_pipeline(data_centre: str) -> list[Replica]:
    """Return a pipeline of small replicas."""
    return [
        build_replica(
            f'{data_centre}-{first}', data_centre, 'small', (first, end)
        )
        for first, end in zip(range(0, 80, 10), range(10, 90, 10), strict=True)
    ]


class TestStreamDistribution(TestCase):
    """Three pipelines, one of them slightly faster."""

    def setUp(self) -> None:
        self.known = build_states(
            [
                *_build_pipeline('a'),
                *_build_pipeline('b'),
                *_build_pipeline('c'),
            ]
        )
        # Two stages of one pipeline are faster.
        for at, layers in ((-1, (70, 80)), (-2, (60, 70))):
            name = f'c-{layers[0]}'
            self.known[at].replica = build_replica(name, 'c', 'middle', layers)

    def place_streams(
        self, policy: Policy, data_centres: str = ''
    ) -> tuple[LoadTracker, Counter[str]]:
        """Choose paths for all streams; return load and first data centres."""
        load_tracker = LoadTracker()
        first_stages: Counter[str] = Counter()
        for number in range(_STREAM_COUNT):
            home = (
                data_centres[number % len(data_centres)] if data_centres else ''
            )
            request = PathRequest(_TOKENS, data_centre=home, policy=policy)
            stages = choose_path(
                _ENGINE, self.known, load_tracker, request, _START_S
            )
            load_tracker.add_request(list_replica_ids(stages), _TOKENS)
            first_stages[stages[0].replica.data_centre] += 1
        return load_tracker, first_stages

    def test_streams_do_not_concentrate_on_one_pipeline(self) -> None:
        """Streams that share a replica wait for each other when it is lost.

        Without a penalty for co-location, a slightly faster pipeline gets all.
        """
        concentrated, _ = self.place_streams(Policy(spread=False))
        spread_out, _ = self.place_streams(Policy())
        self.assertGreater(
            self.find_max_streams(concentrated), _STREAM_COUNT * 2 / 3
        )
        self.assertLess(
            self.find_max_streams(spread_out), _STREAM_COUNT * 2 / 3 - 5
        )
        self.assertLess(
            self.predict_pause(spread_out),
            self.predict_pause(concentrated) - _MIN_SAVED_MS,
        )

    def test_first_stage_is_local(self) -> None:
        """Otherwise most events come from another data centre."""
        _, first_stages = self.place_streams(Policy(), 'abc')
        self.assertGreater(min(first_stages.values()), _STREAM_COUNT / 4)

    def test_remote_first_stage_is_used_if_much_faster(self) -> None:
        fast = build_states(
            [
                build_replica('far', 'd', 'large', (0, 40)),
                build_replica('far-too', 'd', 'large', (40, 80)),
            ]
        )
        request = PathRequest(_TOKENS, data_centre='a')
        stages = choose_path(
            _ENGINE, [*self.known, *fast], LoadTracker(), request, _START_S
        )
        self.assertEqual(list_replica_ids(stages), ('far', 'far-too'))

    def test_nodes_that_start_together_do_not_choose_the_same_path(
        self,
    ) -> None:
        """Guard against a crowd at one replica after a restart of all nodes.

        None of them knows yet what the others have sent.
        """
        totals: Counter[str] = Counter()
        for node in range(_NODES):
            load_tracker = LoadTracker()
            load_tracker.expected_peers = _NODES - 1
            jitter = Random(node)
            for _ in range(_STREAMS_PER_NODE):
                request = PathRequest(
                    _TOKENS, data_centre='abc'[node % 3], jitter=jitter
                )
                stages = choose_path(
                    _ENGINE, self.known, load_tracker, request, _START_S
                )
                names = list_replica_ids(stages)
                load_tracker.add_request(names, _TOKENS)
                totals.update(names)
        capacity = min(
            count_token_capacity(_ENGINE, found, found.replica.held)
            for found in self.known
        )
        self.assertLess(max(totals.values()), capacity / _TOKENS)

    def test_reports_replace_what_is_assumed_of_others(self) -> None:
        load_tracker = LoadTracker()
        load_tracker.expected_peers = 2
        load_tracker.add_request(['one'], _TOKENS)
        counts = [load_tracker.count_requests('one')]
        for name in ('n1', 'n2'):
            load_tracker.update_peer(name, {'one': ReplicaLoad(5)}, _START_S)
            counts.append(load_tracker.count_requests('one'))
        self.assertEqual(counts, [3, 7, 11])

    def find_max_streams(self, load_tracker: LoadTracker) -> int:
        """Return how many streams the busiest replica has."""
        return max(
            load_tracker.count_requests(found.replica.replica_id)
            for found in self.known
        )

    def predict_pause(self, load_tracker: LoadTracker) -> float:
        """Return the pause of a stream whose replica is lost."""
        request = PathRequest(_TOKENS)
        stages = choose_path(
            _ENGINE, self.known, load_tracker, request, _START_S
        )
        stream_count = self.find_max_streams(load_tracker)
        return predict_reroute_pause_ms(
            _ENGINE, stages, (), _TOKENS, stream_count
        )
