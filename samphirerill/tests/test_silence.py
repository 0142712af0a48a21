"""When a stream is silent, and who is asked about it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, cast
from unittest import TestCase

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.smoothing import Smoothed
from samphirerill.node.metrics import Metrics
from samphirerill.relay.health.patience import MOST_PROBE_S
from samphirerill.relay.health.signs import list_unproven
from samphirerill.relay.stream_times import LEAST_SILENCE_S, StreamTimes
from samphirerill.tests.fleets import build_replica

if TYPE_CHECKING:
    from samphirerill.relay.streaming import StreamExchange

_PREDICTED_S = 0.04
_GAP_S = 0.033


def _build_times(policy: Policy, gaps: list[float]) -> StreamTimes:
    times = StreamTimes(Metrics(), 0.0, policy)
    now = 0.05
    times.note_event(now)
    for gap_s in gaps:
        now += gap_s
        times.note_event(now)
    return times


class TestSilence(TestCase):
    """How long a pause is that should not be waited out."""

    def test_an_even_stream_is_soon_silent(self) -> None:
        """Symptom: streams of a replica that died pause for 210 to 270 ms.

        Sequence: its events stop; after three gaps the path is asked, in vain
        for 90 ms; the stream is read elsewhere for 50. Cause: a stream whose
        gaps hardly differ waited as long as one whose gaps do.
        """
        even = _build_times(Policy(), [_GAP_S, _GAP_S + 0.004] * 10)
        self.assertLess(even.find_silence_s(_PREDICTED_S), 2 * _GAP_S)
        before = _build_times(Policy(own_silence=False), [_GAP_S] * 20)
        self.assertGreater(before.find_silence_s(_PREDICTED_S), 3 * _GAP_S)

    def test_an_uneven_stream_is_given_more_time(self) -> None:
        uneven = _build_times(Policy(), [0.02, 0.02, 0.02, 0.08] * 5)
        self.assertGreater(uneven.find_silence_s(_PREDICTED_S), 0.08)

    def test_a_fast_stream_is_not_asked_about_for_every_prompt(self) -> None:
        fast = _build_times(Policy(), [0.008] * 20)
        self.assertEqual(fast.find_silence_s(_PREDICTED_S), LEAST_SILENCE_S)

    def test_who_accepts_longer_pauses_is_asked_about_later(self) -> None:
        """Symptom: 325 questions in ten calm seconds, none of any use.

        Sequence: other streams' prompts hold an event up for 60 ms, where
        callers accept 300; all parts of the path are asked. Cause: a silence
        was measured for callers that accept 200.
        """
        times = StreamTimes(Metrics(), 0.0, Policy(), 0.3)
        for step in range(20):
            times.note_event(0.05 + step * _GAP_S)
        silence_s = times.find_silence_s(_PREDICTED_S)
        self.assertAlmostEqual(silence_s, 0.15)
        self.assertLessEqual(silence_s + MOST_PROBE_S, 0.3)

    def test_a_new_stream_goes_by_what_was_predicted(self) -> None:
        new = _build_times(Policy(), [0.01])
        self.assertAlmostEqual(
            new.find_silence_s(_PREDICTED_S), 3 * _PREDICTED_S
        )


class TestSmoothing(TestCase):
    """What some time usually takes."""

    def test_it_follows_what_is_usual(self) -> None:
        answers = Smoothed()
        for _ in range(30):
            answers.note(0.004)
        self.assertAlmostEqual(answers.find_longest(6), 0.004, places=3)
        for _ in range(30):
            answers.note(0.04)
        self.assertGreater(answers.find_longest(6), 0.04)


class TestSigns(TestCase):
    """Which parts of a silent path may be dead."""

    def test_what_other_streams_pass_through_is_not_asked(self) -> None:
        """Symptom: 1,600 questions for 1,900 requests, none of any use.

        Sequence: a long prompt holds up one stream; all replicas on its path
        are asked, though others' events come through them each millisecond.
        """
        first, shared, last = (
            Stage(build_replica(name), LayerRange(0, 1))
            for name in ('first', 'shared', 'last')
        )
        other = _build_stream((first, shared), 9.99)
        silent = (first, shared, last)
        self.assertEqual(list_unproven([other], silent, 9.98), (last,))

    def test_an_event_that_is_too_old_proves_nothing(self) -> None:
        stage = Stage(build_replica('one'), LayerRange(0, 80))
        other = _build_stream((stage,), 9.9)
        self.assertEqual(list_unproven([other], (stage,), 9.98), (stage,))


def _build_stream(stages: tuple[Stage, ...], last_at: float) -> StreamExchange:
    found = SimpleNamespace(stages=stages, last_event_at=last_at)
    return cast('StreamExchange', found)
