"""The fleet view when a replica restarts under another id."""

from __future__ import annotations

from dataclasses import replace
from unittest import TestCase

from samphirerill.fleet.view import FleetView
from samphirerill.tests.fleet_builders import build_replica


class TestAddresses(TestCase):
    """Two announcements with the same address."""

    def test_new_replica_replaces_previous_at_its_address(self) -> None:
        """A crashed replica's entry must go when its successor is announced.

        Otherwise paths name it until its entry expires, and its successor at
        the same address refuses them.
        """
        view = FleetView()
        old = build_replica('old', layers=(0, 8))
        view.apply_announcement(old, 5)
        view.apply_announcement(replace(old, replica_id='new', layers=None), 9)
        self.assertEqual(set(view.replicas), {'new'})
        self.assertFalse(view.apply_announcement(old, 5))

    def test_late_announcement_of_predecessor_removes_nothing(self) -> None:
        view = FleetView()
        new = build_replica('new')
        view.apply_announcement(new, 9)
        view.apply_announcement(replace(new, replica_id='old'), 5)
        self.assertIn('new', view.replicas)
