"""What an outage of the store says of entries that are missing."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.relay.store_health import StoreHealth


class TestStoreHealth(TestCase):
    """When a missing entry may only have lapsed."""

    def test_a_replica_that_left_after_an_outage_is_not_kept(self) -> None:
        """Symptom: a replica gets work 2.4 s after it has left.

        Sequence: the store returns; 1.9 s later a replica's entry is removed,
        as it leaves; it is kept for 2.4 s more. Cause: the grace ran from the
        removal instead of the store's return.
        """
        health = StoreHealth(0)
        health.note_success(15.4)
        self.assertLessEqual(health.find_grace(17.3, 1.7), 17.6)
        self.assertEqual(health.find_grace(17.8, 1.7), 0)

    def test_who_knew_the_fleet_plans_right_after_an_outage(self) -> None:
        """Symptom: two data centres have no pipeline for 3.7 s.

        Sequence: replicas are replaced while the store is away; it returns; a
        node takes command, and plans nothing for 2.2 s more. Cause: entries may
        be missing that have only lapsed; this node still counts them as there.
        """
        health = StoreHealth(0)
        health.note_success(1)
        self.assertFalse(health.knows_fleet(2, 1.7))
        self.assertTrue(health.knows_fleet(5, 1.7))
        health.note_failure(OSError('gone'), 6)
        self.assertFalse(health.knows_fleet(7, 1.7))
        health.note_success(9)
        self.assertTrue(health.knows_fleet(9.1, 1.7))

    def test_when_missing_entries_stop_to_count_it_waits_for_those_alive(
        self,
    ) -> None:
        health = StoreHealth(0)
        health.note_success(1)
        health.note_failure(OSError('gone'), 6)
        health.note_success(9)
        self.assertFalse(health.knows_fleet(10.6, 1.7))
        self.assertFalse(health.knows_fleet(11.1, 1.7))
        self.assertTrue(health.knows_fleet(11.3, 1.7))

    def test_who_started_after_an_outage_waits(self) -> None:
        health = StoreHealth(20)
        health.note_success(20.1)
        self.assertFalse(health.knows_fleet(21, 1.7))
        self.assertTrue(health.knows_fleet(22.4, 1.7))

    def test_a_short_failure_is_no_outage(self) -> None:
        health = StoreHealth(0)
        health.note_success(10)
        health.note_failure(OSError(), 20)
        health.note_success(20.1)
        self.assertFalse(health.may_lapse(20.2))
