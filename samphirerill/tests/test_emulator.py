"""Tests of the emulator and of the ``samphirerill lab`` command."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec import structs

from samphirerill.emulator.ablation import ablate
from samphirerill.emulator.engine import (
    BackOffPeriod,
    EmulatedEngine,
    EmulatedLink,
    LeavingNotice,
    StageTask,
)
from samphirerill.emulator.event_loop import EventLoop
from samphirerill.emulator.lab import describe_plan
from samphirerill.emulator.scenario import (
    BackOff,
    Crash,
    Departure,
    Scenario,
    load_scenario,
)
from samphirerill.emulator.simulation import run_scenario
from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.policy import Policy
from samphirerill.settings.errors import InvalidDocumentError
from samphirerill.tests.fleet_builders import ENGINE

_EXAMPLE = (
    Path(__file__).parents[2] / 'examples' / 'lab-three-data-centres.json'
)
_CRASHES = _EXAMPLE.with_name('lab-losses.json')
_ALL_LAYERS = LayerRange(0, 80)


class TestEngine(TestCase):
    """Scheduling of tasks in the passes of an engine."""

    def setUp(self) -> None:
        self.event_loop = EventLoop()
        self.done: list[float] = []
        spec = replace(ENGINE, per_seq_ms=0.0, context_per_k_ms=0.0)
        accelerator = replace(
            spec.accelerators['large'], step_factor=1.0, prefill_factor=1.0
        )
        self.engine = EmulatedEngine(self.event_loop, spec, accelerator)

    def submit(self, tokens: int = 0) -> None:
        """Submit a task to the engine."""
        self.engine.submit(
            StageTask(
                _ALL_LAYERS,
                tokens,
                lambda: self.done.append(self.event_loop.now),
            )
        )

    def test_pass_decodes_stride_tokens(self) -> None:
        self.submit()
        self.event_loop.run(1)
        self.assertAlmostEqual(self.done[0], 0.0017)

    def test_task_submitted_during_a_pass_waits_for_the_next(self) -> None:
        self.submit()
        self.event_loop.call_at(0.001, self.submit)
        self.event_loop.run(1)
        self.assertAlmostEqual(self.done[1], 0.0034)

    def test_prompts_are_prefilled_in_a_pass(self) -> None:
        self.submit(196)
        self.event_loop.run(1)
        self.assertAlmostEqual(self.done[0], 0.001)

    def test_crashed_engine_finishes_no_task(self) -> None:
        self.submit()
        self.engine.crash()
        self.event_loop.run(1)
        self.assertEqual(self.done, [])


class TestReplicaNotices(TestCase):
    """Engines that ask for a pause, or say that they are leaving."""

    def test_sends_before_the_end_of_a_back_off_are_counted(self) -> None:
        back_off = BackOffPeriod()
        back_off.start(until=3.0, share=1.0)
        refused = [
            back_off.refuses(at, Random(1)) for at in (1, 1.4, 2, 2.9, 3)
        ]
        self.assertEqual(refused, [True, True, True, True, False])
        self.assertEqual(back_off.early_sends, 2)

    def test_share_of_the_streams_is_refused(self) -> None:
        back_off = BackOffPeriod()
        back_off.start(until=3.0, share=0.3)
        random = Random(1)
        refused = sum(back_off.refuses(1.0, random) for _ in range(1000))
        self.assertAlmostEqual(refused, 300, delta=50)

    def test_sends_long_after_a_leaving_response_are_counted(self) -> None:
        notice = LeavingNotice()
        notice.record_response(1.0)
        notice.record_send(9.0)
        notice.is_given = True
        for at in (10.0, 11.0):
            notice.record_response(at)
        for at in (11.9, 12.1):
            notice.record_send(at)
        self.assertEqual(notice.late_sends, 1)


class TestLinks(TestCase):
    """Queueing of transfers on a link."""

    def test_transfers_are_sequential(self) -> None:
        link = EmulatedLink()
        self.assertEqual(link.send(0, 100, 1000), 0.1)
        self.assertAlmostEqual(link.send(0.05, 100, 1000), 0.2)


class TestLab(TestCase):
    """Scenarios, as the command runs them."""

    def setUp(self) -> None:
        example = load_scenario(str(_EXAMPLE))
        self.scenario: Scenario = structs.replace(
            example, length_s=5, crashes=[]
        )

    def test_streams_are_on_time_without_crashes(self) -> None:
        metrics = run_scenario(self.scenario, 1)
        self.assertEqual(metrics['refused'] + metrics['late'], 0)
        self.assertLess(metrics['gap_p50_ms'], 40)

    def test_same_seed_gives_same_metrics(self) -> None:
        self.assertEqual(
            run_scenario(self.scenario, 2), run_scenario(self.scenario, 2)
        )

    def test_no_stream_is_cut_by_a_crash(self) -> None:
        crash = Crash(at=2, replica='b-middle-0')
        with_crash = structs.replace(self.scenario, crashes=[crash])
        metrics = run_scenario(with_crash, 1)
        self.assertEqual(metrics['cut'], 0)
        self.assertGreater(metrics['loads'], 0)

    def test_streams_avoid_an_engine_that_refuses(self) -> None:
        back_off = BackOff(at=1, replica='a-large-0', for_s=2)
        metrics = run_scenario(
            structs.replace(self.scenario, back_offs=[back_off]), 1
        )
        self.assertGreater(metrics['turned_away'], 0)
        self.assertEqual(metrics['early_sends'], 0)
        self.assertEqual(metrics['refused'] + metrics['cut'], 0)

    def test_no_stream_is_cut_by_an_announced_departure(self) -> None:
        departure = Departure(at=1, replica='a-large-0', serves_s=3)
        metrics = run_scenario(
            structs.replace(self.scenario, departures=[departure]), 1
        )
        self.assertGreater(metrics['moved'], 0)
        self.assertEqual(metrics['late_sends'] + metrics['cut'], 0)

    def test_no_stream_is_cut_by_an_unannounced_departure(self) -> None:
        departure = Departure(
            at=1, replica='a-large-0', serves_s=3, announced_after_s=None
        )
        metrics = run_scenario(
            structs.replace(self.scenario, departures=[departure]), 1
        )
        self.assertEqual(metrics['late_sends'] + metrics['cut'], 0)

    def test_lean_plans_and_spread_reduce_late_streams(self) -> None:
        """Guards against too many late streams after crashes.

        A crash interrupts more streams if pipelines have needlessly many stages
        or all streams share one path.
        """
        crashes_scenario = structs.replace(
            load_scenario(str(_CRASHES)), length_s=12
        )
        disabled = replace(Policy(), spread=False, lean_plans=False)
        without_mechanisms = structs.replace(crashes_scenario, policy=disabled)
        late_before = sum(
            1 - run_scenario(without_mechanisms, seed)['in_time']
            for seed in (1, 2)
        )
        late = sum(
            1 - run_scenario(crashes_scenario, seed)['in_time']
            for seed in (1, 2)
        )
        self.assertLess(late, late_before * 0.9)

    def test_ablation_has_a_row_for_each_mechanism(self) -> None:
        short = structs.replace(self.scenario, length_s=1)
        rows = ablate(short, 1)
        self.assertEqual(list(rows), ['all on', 'no spread', 'no lean_plans'])

    def test_plan_has_a_line_for_each_pipeline(self) -> None:
        lines = describe_plan(self.scenario)
        self.assertEqual([line[0] for line in lines], ['a', 'b', 'c'])

    def test_invalid_scenario_raises(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'odd.json'
            path.write_text('{"zones": 5}')
            with self.assertRaises(InvalidDocumentError):
                load_scenario(str(path))
