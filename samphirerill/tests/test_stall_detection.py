"""When a stream counts as stalled, and which replicas are probed then."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast
from unittest import TestCase

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.smoothing import SmoothedDuration
from samphirerill.node.metrics import Metrics
from samphirerill.relay.health.passive_checks import list_unconfirmed
from samphirerill.relay.health.probe_timeouts import MAX_TIMEOUT_S
from samphirerill.relay.stream_times import MIN_SILENCE_S, StreamTimes
from samphirerill.tests.fleet_builders import build_replica

if TYPE_CHECKING:
    from samphirerill.relay.streaming import StreamExchange

_PREDICTED_S = 0.04
_GAP_S = 0.033


def _build_stream_times(policy: Policy, gaps: list[float]) -> StreamTimes:
    times = StreamTimes(Metrics(), 0.0, policy)
    now = 0.05
    times.record_event(now)
    for gap_s in gaps:
        now += gap_s
        times.record_event(now)
    return times


class TestSilence(TestCase):
    """Time without events after which a stream counts as stalled."""

    def test_a_steady_stream_stalls_early(self) -> None:
        """Guard against steady streams waiting as long as irregular ones."""
        steady = _build_stream_times(Policy(), [_GAP_S, _GAP_S + 0.004] * 10)
        self.assertLess(steady.get_silence_limit_s(_PREDICTED_S), 2 * _GAP_S)
        fixed = _build_stream_times(Policy(own_silence=False), [_GAP_S] * 20)
        self.assertGreater(fixed.get_silence_limit_s(_PREDICTED_S), 3 * _GAP_S)

    def test_an_irregular_stream_gets_more_time(self) -> None:
        irregular = _build_stream_times(Policy(), [0.02, 0.02, 0.02, 0.08] * 5)
        self.assertGreater(irregular.get_silence_limit_s(_PREDICTED_S), 0.08)

    def test_a_fast_stream_has_a_minimum_time(self) -> None:
        fast = _build_stream_times(Policy(), [0.008] * 20)
        self.assertEqual(fast.get_silence_limit_s(_PREDICTED_S), MIN_SILENCE_S)

    def test_longer_accepted_pauses_delay_the_probe(self) -> None:
        """Guard against needless probes if clients accept longer pauses."""
        times = StreamTimes(Metrics(), 0.0, Policy(), 0.3)
        for step in range(20):
            times.record_event(0.05 + step * _GAP_S)
        silence_s = times.get_silence_limit_s(_PREDICTED_S)
        self.assertAlmostEqual(silence_s, 0.15)
        self.assertLessEqual(silence_s + MAX_TIMEOUT_S, 0.3)

    def test_a_new_stream_uses_the_prediction(self) -> None:
        new = _build_stream_times(Policy(), [0.01])
        self.assertAlmostEqual(
            new.get_silence_limit_s(_PREDICTED_S), 3 * _PREDICTED_S
        )


class TestSmoothing(TestCase):
    """Smoothed mean and deviation."""

    def test_it_follows_the_samples(self) -> None:
        answers = SmoothedDuration()
        for _ in range(30):
            answers.add_sample(0.004)
        self.assertAlmostEqual(answers.get_upper_bound(6), 0.004, places=3)
        for _ in range(30):
            answers.add_sample(0.04)
        self.assertGreater(answers.get_upper_bound(6), 0.04)


class TestPassiveChecks(TestCase):
    """Which replicas of a stalled path need to be probed."""

    def test_replicas_with_recent_events_are_not_probed(self) -> None:
        """Guard against probing replicas that pass events of other streams."""
        first, shared, last = (
            Stage(build_replica(name), LayerRange(0, 1))
            for name in ('first', 'shared', 'last')
        )
        other = _build_stream((first, shared), 9.99)
        stalled = (first, shared, last)
        self.assertEqual(list_unconfirmed([other], stalled, 9.98), (last,))

    def test_old_events_do_not_count(self) -> None:
        stage = Stage(build_replica('one'), LayerRange(0, 80))
        other = _build_stream((stage,), 9.9)
        self.assertEqual(list_unconfirmed([other], (stage,), 9.98), (stage,))


def _build_stream(stages: tuple[Stage, ...], last_at: float) -> StreamExchange:
    stream = SimpleNamespace(stages=stages, last_event_at=last_at)
    return cast('StreamExchange', stream)
