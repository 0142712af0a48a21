"""Plans of layers: first plans, repairs and rebalancing."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from time import process_time
from unittest import TestCase

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.goodput import PlanTargets, predict_goodput
from samphirerill.fleet.model import Replica
from samphirerill.fleet.planner import PlacementPlan, plan_layers
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.rates import (
    TARGET_REQUESTS,
    count_max_layers,
    predict_event_ms,
    predict_total_rate,
)
from samphirerill.fleet.repair import count_complete, plan_moves
from samphirerill.fleet.timing import PlanTiming
from samphirerill.tests.fleet_builders import (
    ENGINE,
    THREE_DATA_CENTRES,
    apply_moves,
    build_fleet,
    build_replica,
)

_PLAN_TARGETS = PlanTargets(200.0)
# Less memory for each token than with `ENGINE`, and longer events.
_LIGHT_ENGINE = replace(ENGINE, stride=3, token_bytes=786_000)
_LARGE_DATA_CENTRES = {
    'a': {'middle': 4, 'small': 11, 'tiny': 18},
    'b': {'large': 1, 'middle': 2, 'small': 13, 'tiny': 17},
    'c': {'large': 1, 'middle': 2, 'small': 20, 'tiny': 9},
}
_LOST_AT_ONCE = 20
_SEEDS = 20
# Three replicas for each of two pipelines of a data centre.
_MAX_DISPLACED = 6
_MAX_RATE_TARGETS = PlanTargets(200.0, policy=Policy(lean_plans=False))


class PlanCase(TestCase):
    """Assertions and helpers for all plan tests."""

    def assert_sound(self, plan: PlacementPlan | None) -> PlacementPlan:
        """Check that pipelines run each layer once and fit in memory."""
        assert plan is not None
        seen: Counter[str] = Counter()
        for pipeline in plan.pipelines:
            total = sum(count for _, count in pipeline.members)
            self.assertEqual(total, ENGINE.layers)
            for replica, count in pipeline.members:
                seen[replica.replica_id] += 1
                kind = ENGINE.accelerators[replica.accelerator]
                self.assertLess(count * ENGINE.layer_mb, kind.size_mb)
        self.assertEqual(set(seen.values()) | {1}, {1})
        return plan

    def settle(
        self, replicas: list[Replica], rounds: int = 10
    ) -> list[Replica]:
        """Apply plans until none has moves left."""
        names = {item.replica_id for item in replicas}
        for _ in range(rounds):
            moves = plan_moves(ENGINE, replicas, _PLAN_TARGETS, names)
            if not moves:
                break
            replicas = apply_moves(replicas, moves)
        return replicas

    def count_complete(self, replicas: list[Replica]) -> int:
        """Return the number of complete pipelines."""
        chains = extract_chains(ENGINE, replicas)
        return sum(not chain.gaps for chain in chains)


class TestFirstPlan(PlanCase):
    """Plans for replicas that hold nothing."""

    def test_pipelines_stay_within_data_centres(self) -> None:
        plan = self.assert_sound(
            plan_layers(ENGINE, build_fleet(THREE_DATA_CENTRES), _PLAN_TARGETS)
        )
        local = [item for item in plan.pipelines if not item.count_crossings()]
        self.assertEqual(len(local), 3)

    def test_other_fleet_compositions_get_a_plan(self) -> None:
        shapes = {
            'one kind only': {'a': {'small': 12}, 'b': {'small': 12}},
            'four data centres': {
                data_centre: {'small': 6, 'tiny': 6} for data_centre in 'abcd'
            },
            'no fast one': {'a': {'small': 8, 'tiny': 8}, 'b': {'tiny': 20}},
            'one data centre': {'a': {'large': 2, 'middle': 1}},
        }
        for name, data_centres in shapes.items():
            with self.subTest(name):
                self.assert_sound(
                    plan_layers(
                        ENGINE, build_fleet(data_centres), _PLAN_TARGETS
                    )
                )

    def test_slow_links_are_crossed_less(self) -> None:
        slow = replace(ENGINE, pipe_mbps=1_100)
        plan = self.assert_sound(
            plan_layers(slow, build_fleet(THREE_DATA_CENTRES), _PLAN_TARGETS)
        )
        crossings = sum(item.count_crossings() for item in plan.pipelines)
        self.assertLessEqual(crossings, 2)

    def test_too_few_replicas_give_no_plan(self) -> None:
        self.assertIsNone(
            plan_layers(ENGINE, build_fleet({'a': {'tiny': 4}}), _PLAN_TARGETS)
        )

    def test_planning_is_fast_for_large_fleet(self) -> None:
        data_centres = {
            data_centre: {'large': 4, 'middle': 16, 'small': 45, 'tiny': 45}
            for data_centre in 'abcdefg'
        }
        fleet = build_fleet(data_centres)
        started_at = process_time()
        self.assert_sound(plan_layers(ENGINE, fleet, _PLAN_TARGETS))
        self.assertLess(process_time() - started_at, 4.0)


class TestLeanPlans(PlanCase):
    """Plans for a demand far below the fleet's capacity."""

    def test_lean_plan_has_fewer_stages_and_more_backups(self) -> None:
        """Maximum-rate plans have long paths without backups.

        Each stage is a replica whose loss interrupts streams.
        """
        fleet = build_fleet(THREE_DATA_CENTRES)
        lean = self.assert_sound(plan_layers(ENGINE, fleet, _PLAN_TARGETS))
        max_rate = self.assert_sound(
            plan_layers(ENGINE, fleet, _MAX_RATE_TARGETS)
        )
        self.assertLess(_count_stages(lean), _count_stages(max_rate))
        self.assertGreater(len(lean.backups), len(max_rate.backups))
        for pipeline in lean.pipelines:
            for replica, count in pipeline.members:
                max_layers = count_max_layers(ENGINE, replica, TARGET_REQUESTS)
                self.assertLessEqual(count, max_layers)

    def test_large_demand_raises_rate(self) -> None:
        fleet = build_fleet(THREE_DATA_CENTRES)
        large = self.assert_sound(
            plan_layers(
                ENGINE, fleet, replace(_PLAN_TARGETS, demand_shares=(1.0,))
            )
        )
        small = self.assert_sound(
            plan_layers(
                ENGINE, fleet, replace(_PLAN_TARGETS, demand_shares=(0.05,))
            )
        )
        rates = [
            predict_total_rate(ENGINE, plan.pipelines, _PLAN_TARGETS.pause_ms)
            for plan in (large, small)
        ]
        self.assertGreater(rates[0], rates[1])

    def test_fast_accelerators_hold_what_streams_need(self) -> None:
        """Guard against long paths beside memory for streams that never come."""
        fleet = build_fleet({'b': _LARGE_DATA_CENTRES['b']})
        plan = plan_layers(_LIGHT_ENGINE, fleet, PlanTargets(250.0))
        assert plan is not None
        fastest = min(
            plan.pipelines,
            key=lambda item: predict_event_ms(_LIGHT_ENGINE, item, 1),
        )
        self.assertLessEqual(len(fastest.members), 5)

    def test_another_pipeline_never_lowers_the_goodput(self) -> None:
        """Guard against slow pipelines that count for streams they don't carry."""
        fleet = build_fleet({'c': _LARGE_DATA_CENTRES['c']})
        plan = plan_layers(_LIGHT_ENGINE, fleet, _PLAN_TARGETS)
        assert plan is not None
        goodputs = [
            predict_goodput(
                _LIGHT_ENGINE,
                plan.pipelines[:count],
                list(plan.backups.values()),
                _PLAN_TARGETS,
                plan.peak_rate,
            )
            for count in range(1, len(plan.pipelines) + 1)
        ]
        self.assertEqual(goodputs, sorted(goodputs))
        self.assertGreater(len(goodputs), 1)


def _count_stages(plan: PlacementPlan) -> int:
    return sum(len(pipeline.members) for pipeline in plan.pipelines)


class TestRepairDuringChanges(PlanCase):
    """Repairs of large data centres while replicas come and go."""

    def test_few_replicas_lose_their_layers(self) -> None:
        """Guard against repairs that unload the backups of other pipelines."""
        fleet = self.settle(build_fleet(_LARGE_DATA_CENTRES))
        displaced = {
            is_stable: [
                self.count_displaced(fleet, seed, is_stable=is_stable)
                for seed in range(_SEEDS)
            ]
            for is_stable in (True, False)
        }
        self.assertLessEqual(max(displaced[False]), _MAX_DISPLACED)
        self.assertGreater(max(displaced[True]), _MAX_DISPLACED)

    def count_displaced(
        self, fleet: list[Replica], seed: int, *, is_stable: bool
    ) -> int:
        """Return the most replicas that lose layers in one data centre."""
        random = Random(seed)
        left = random.sample(fleet, len(fleet) - _LOST_AT_ONCE)
        settled = {item.replica_id for item in left}
        moves = plan_moves(
            ENGINE, left, _PLAN_TARGETS, settled, is_stable=is_stable
        )
        displaced = Counter(
            item.data_centre
            for item in left
            if item.layers
            not in {None, moves.get(item.replica_id, item.layers)}
        )
        return max(displaced.values(), default=0)


class TestRepair(PlanCase):
    """Repairs after losses."""

    def setUp(self) -> None:
        fleet = build_fleet(THREE_DATA_CENTRES)
        self.fleet = self.settle(fleet)

    def test_complete_pipelines_are_kept(self) -> None:
        """One loss must not replan replicas that still work."""
        lost = self._find_stage('b', 0)
        left = [item for item in self.fleet if item is not lost]
        complete = [
            chain for chain in extract_chains(ENGINE, left) if not chain.gaps
        ]
        kept = {
            stage.replica.replica_id
            for chain in complete
            for stage in chain.stages
        }
        settled = {item.replica_id for item in left}
        moves = plan_moves(
            ENGINE, left, _PLAN_TARGETS, settled, is_stable=False
        )
        self.assertFalse(kept & set(moves))

    def test_newcomer_takes_lost_stage(self) -> None:
        lost = self._find_stage('b', 0)
        newcomer = build_replica('new', 'b', 'middle')
        left = [item for item in self.fleet if item is not lost]
        settled = {item.replica_id for item in left}
        moves = plan_moves(
            ENGINE, [*left, newcomer], _PLAN_TARGETS, settled, is_stable=False
        )
        self.assertEqual(moves, {'new': lost.layers})

    def test_three_losses_leave_three_pipelines(self) -> None:
        for seed in range(12):
            with self.subTest(seed=seed):
                lost = set(Random(seed).sample(range(len(self.fleet)), 3))
                left = [
                    item
                    for index, item in enumerate(self.fleet)
                    if index not in lost
                ]
                self.assertGreaterEqual(
                    self.count_complete(self.settle(left)), 3
                )

    def test_repairs_converge(self) -> None:
        """Moves that change nothing must not be ordered over and over."""
        for seed in range(12):
            with self.subTest(seed=seed):
                lost = set(Random(seed).sample(range(len(self.fleet)), 3))
                left = [
                    item
                    for index, item in enumerate(self.fleet)
                    if index not in lost
                ]
                settled = self.settle(left, rounds=16)
                names = {item.replica_id for item in settled}
                moves = plan_moves(ENGINE, settled, _PLAN_TARGETS, names)
                self.assertEqual(moves, {})

    def test_stage_with_backup_needs_no_load(self) -> None:
        """A backup in the data centre keeps the pipeline complete after a loss."""
        for name in ('a-small-0', 'a-small-2', 'c-tiny-0'):
            with self.subTest(name):
                left = [item for item in self.fleet if item.replica_id != name]
                self.assertEqual(self.count_complete(left), 3)

    def test_backups_have_memory_for_pipeline_load(self) -> None:
        """A backup with memory for fewer requests would limit its pipeline."""
        for item in self.fleet:
            with self.subTest(item.replica_id):
                max_layers = count_max_layers(ENGINE, item, TARGET_REQUESTS)
                self.assertLessEqual(item.held.count, max_layers)

    def test_repairs_stay_within_data_centre(self) -> None:
        lost = self._find_stage('a', 0)
        left = [item for item in self.fleet if item is not lost]
        settled = {item.replica_id for item in left}
        moves = plan_moves(
            ENGINE, left, _PLAN_TARGETS, settled, is_stable=False
        )
        self.assertTrue(moves)
        self.assertTrue(all(name.startswith('a-') for name in moves), moves)
        self.assertEqual(self.count_complete(apply_moves(left, moves)), 3)

    def test_data_centre_without_pipeline_uses_remote_spares(self) -> None:
        kept = ('b-small-0', 'b-small-1', 'b-small-2', 'b-small-3')
        left = [
            item
            for item in self.fleet
            if item.data_centre != 'b' or item.replica_id in kept
        ]
        crossing = [
            chain
            for chain in extract_chains(ENGINE, self.settle(left))
            if not chain.gaps and chain.crosses_data_centres()
        ]
        self.assertEqual(len(crossing), 1)

    def test_replacement_of_only_replica_of_its_kind_preloads(self) -> None:
        """A newcomer that can only replace one replica must load at once.

        Otherwise the pipeline is out of service from the old replica's drain
        until the load is done.
        """
        newcomer = build_replica('new', 'a', 'large')
        settled = {item.replica_id for item in self.fleet}
        moves = plan_moves(
            ENGINE,
            [*self.fleet, newcomer],
            _PLAN_TARGETS,
            settled,
            is_stable=False,
        )
        held = self._find_stage('a', 0).layers
        self.assertEqual(moves, {'new': held})

    def _find_stage(self, data_centre: str, number: int) -> Replica:
        """Return the replica that runs a stage of a data centre's pipeline."""
        local = [item for item in self.fleet if item.data_centre == data_centre]
        chain = extract_chains(ENGINE, local)[0]
        return chain.stages[number].replica


class TestDataCentreRebuild(PlanCase):
    """Data centres without a complete pipeline."""

    def count_by_data_centre(self, replicas: list[Replica]) -> dict[str, int]:
        """Return the number of complete pipelines in each data centre."""
        return count_complete(ENGINE, replicas)

    def test_plan_for_partly_known_fleet_is_extended(self) -> None:
        """Replicas announced after the first plan must get layers too.

        Nothing can be repaired with them, so data centres without a complete
        pipeline are planned from scratch.
        """
        fleet = build_fleet(THREE_DATA_CENTRES)
        known = fleet[::3]
        plan = plan_layers(ENGINE, known, _PLAN_TARGETS)
        assert plan is not None
        replicas = self.settle(apply_moves(fleet, plan.list_ranges()))
        complete = self.count_by_data_centre(replicas)
        self.assertTrue(all(complete.values()), complete)

    def test_data_centre_with_restarted_replicas_recovers(self) -> None:
        """Replicas that all restarted leave no incomplete pipeline to repair."""
        fleet = self.settle(build_fleet(THREE_DATA_CENTRES))
        lost = [
            replace(item, layers=None) if item.data_centre == 'b' else item
            for item in fleet
        ]
        complete = self.count_by_data_centre(self.settle(lost))
        self.assertTrue(all(complete.values()), complete)

    def test_rebuild_does_not_move_other_data_centres(self) -> None:
        fleet = self.settle(build_fleet(THREE_DATA_CENTRES))
        lost = [
            replace(item, layers=None) if item.data_centre == 'b' else item
            for item in fleet
        ]
        names = {item.replica_id for item in lost}
        moves = plan_moves(ENGINE, lost, _PLAN_TARGETS, names, is_stable=False)
        moved = {item.data_centre for item in lost if item.replica_id in moves}
        self.assertEqual(moved, {'b'})


class TestTiming(TestCase):
    """When plans are made."""

    def test_plans_for_unchanged_fleet_are_limited(self) -> None:
        timing = PlanTiming()
        plans = 0
        for step in range(100):
            held = [build_replica('one', layers=(0, 1 + step % 2))]
            plans += timing.should_plan('fleet', held)
        self.assertLess(plans, 10)

    def test_first_observed_fleet_counts_as_settled(self) -> None:
        """A new leader must not treat all replicas as newcomers.

        Gaps would stay open, as newcomers justify no pipeline.
        """
        timing = PlanTiming()
        fleet = [
            build_replica(f'r{index}', layers=(0, 8)) for index in range(3)
        ]
        timing.observe(fleet, 100.0)
        names = {item.replica_id for item in fleet}
        self.assertEqual(timing.list_settled(100.0), names)
        timing.observe([*fleet, build_replica('new')], 101.0)
        self.assertEqual(timing.list_settled(101.0), names)

    def test_newcomers_settle_after_delay(self) -> None:
        timing = PlanTiming()
        old = build_replica('old')
        timing.observe([old], 0)
        timing.observe([old, build_replica('new')], 10)
        self.assertEqual(timing.list_settled(11), {'old'})
        self.assertFalse(timing.is_stable(11))
        self.assertEqual(timing.list_settled(20), {'old', 'new'})
