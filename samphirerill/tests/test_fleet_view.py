"""What a node believes of replicas as announcements come and go."""

from __future__ import annotations

from dataclasses import replace
from unittest import TestCase

from samphirerill.fleet.view import FleetView
from samphirerill.tests.fleets import build_replica


class TestAddresses(TestCase):
    """One address, two starts of a replica."""

    def test_a_newcomer_at_an_address_ends_its_predecessor(self) -> None:
        """Symptom: the same stream is refused six times within 10 ms.

        Sequence: an engine crashes and starts again at its address, with
        nothing loaded; paths go on naming the old one until its announcement
        lapses. The refusal names the address, so the new one is rested. Cause:
        both were taken to be there.
        """
        view = FleetView()
        old = build_replica('old', layers=(0, 8))
        view.announce(old, 5)
        view.announce(replace(old, replica_id='new', layers=None), 9)
        self.assertEqual(set(view.known), {'new'})
        self.assertFalse(view.announce(old, 5))

    def test_late_news_of_a_predecessor_ends_nobody(self) -> None:
        view = FleetView()
        new = build_replica('new')
        view.announce(new, 9)
        view.announce(replace(new, replica_id='old'), 5)
        self.assertIn('new', view.known)
