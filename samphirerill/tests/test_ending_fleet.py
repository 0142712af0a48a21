"""Guilty and innocent requests in a fleet whose endpoints end, over many seeds."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.testing.ending_fleet import Day, EndingFleet, Tally

_SEEDS = 12
# Three ends, and as many more as may follow.
_MOST_ENDS = 6


def _play(day: Day) -> list[Tally]:
    return [EndingFleet(day, seed).play() for seed in range(_SEEDS)]


class TestGuilty(TestCase):
    """One request ends each replica; it comes each five seconds, twice."""

    def test_it_is_found_soon_and_alone(self) -> None:
        days = {
            'usual': Day(fatal=1),
            'few replicas': Day(fatal=1, replicas=3),
            'busy': Day(fatal=1, streams_per_s=100),
            'a body that many send': Day(fatal=1, popular=0.5),
            'many replicas': Day(fatal=1, replicas=40, length_s=20),
        }
        for name, day in days.items():
            with self.subTest(name):
                for tally in _play(day):
                    self.assertLessEqual(tally.ends, _MOST_ENDS)
                    self.assertEqual(tally.innocent_held, set())

    def test_several_at_a_time(self) -> None:
        for tally in _play(Day(fatal=3)):
            self.assertLessEqual(tally.ends, 3 * _MOST_ENDS)


class TestInnocent(TestCase):
    """Replicas end by themselves; nobody is to blame."""

    def test_nobody_is_held(self) -> None:
        days = {
            'racks': Day(loss_gap_s=4.0, loss_share=0.3),
            'half of the fleet': Day(loss_gap_s=6.0, loss_share=0.5),
            'down and up by turns': Day(loss_gap_s=2.0, loss_share=0.17),
            'racks, and a body that many send': Day(
                loss_gap_s=4.0, popular=0.3
            ),
        }
        for name, day in days.items():
            with self.subTest(name):
                for tally in _play(day):
                    self.assertEqual(tally.innocent_held, set())
