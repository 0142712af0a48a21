"""Estimate of the room that a fleet has for new streams."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.fleet.free_room import FreeRoom, compute_free_room
from samphirerill.fleet.load import LoadTracker
from samphirerill.tests.fleet_builders import (
    ENGINE,
    build_replica,
    build_states,
)

_USUAL_TOKENS = ENGINE.usual_prompt + ENGINE.usual_answer
_FULL_TOKENS = 1e9


class TestFreeRoom(TestCase):
    """Two holders of the first layers, one of the others."""

    def setUp(self) -> None:
        self.load_tracker = LoadTracker()
        self.states = build_states(
            [
                build_replica(name, 'a', 'large', layers)
                for name, layers in (
                    ('first', (0, 40)),
                    ('second', (0, 40)),
                    ('last', (40, 80)),
                )
            ]
        )

    def compute(self) -> FreeRoom:
        """Return the free room of the usable replicas."""
        return compute_free_room(ENGINE, self.states, self.load_tracker)

    def test_the_layer_with_the_least_memory_counts(self) -> None:
        """Guard against adding up memory that no stream can use together."""
        tokens = self.compute().tokens
        self.load_tracker.add_request(['first'], _FULL_TOKENS)
        self.assertEqual(self.compute().tokens, tokens)
        self.load_tracker.add_request(['last'], _USUAL_TOKENS)
        self.assertEqual(self.compute().tokens, tokens - _USUAL_TOKENS)
        self.load_tracker.add_request(['last'], _FULL_TOKENS)
        self.assertEqual(self.compute().tokens, 0)

    def test_a_layer_without_a_holder_leaves_no_room(self) -> None:
        self.states.pop()
        self.assertEqual(self.compute().tokens, 0)
        self.states.clear()
        self.assertEqual(self.compute(), FreeRoom(0, 0))

    def test_only_slots_of_first_stages_count(self) -> None:
        for _ in range(ENGINE.slots + 1):
            self.load_tracker.add_request(['first', 'last'], 0)
        self.assertEqual(self.compute().slots, ENGINE.slots)
