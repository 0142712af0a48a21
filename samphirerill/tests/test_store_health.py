"""Missing entries after an outage of the store."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.relay.store_health import StoreHealth


class TestStoreHealth(TestCase):
    """When a missing entry may only have expired."""

    def test_grace_period_ends_soon_after_outage(self) -> None:
        """The grace period counts from the end of the outage.

        Counted from the removal of the entry, a replica that left shortly
        after an outage would get work for seconds.
        """
        health = StoreHealth(0)
        health.record_success(15.4)
        self.assertLessEqual(health.compute_grace_deadline(17.3, 1.7), 17.6)
        self.assertEqual(health.compute_grace_deadline(17.8, 1.7), 0)

    def test_node_that_knew_the_fleet_plans_after_outage(self) -> None:
        """Guard against a delayed repair of pipelines.

        A node that still counts expired entries as present need not wait.
        """
        health = StoreHealth(0)
        health.record_success(1)
        self.assertFalse(health.is_view_complete(2, 1.7))
        self.assertTrue(health.is_view_complete(5, 1.7))
        health.record_failure(OSError('gone'), 6)
        self.assertFalse(health.is_view_complete(7, 1.7))
        health.record_success(9)
        self.assertTrue(health.is_view_complete(9.1, 1.7))

    def test_planning_waits_once_missing_entries_stop_counting(
        self,
    ) -> None:
        health = StoreHealth(0)
        health.record_success(1)
        health.record_failure(OSError('gone'), 6)
        health.record_success(9)
        self.assertFalse(health.is_view_complete(10.6, 1.7))
        self.assertFalse(health.is_view_complete(11.1, 1.7))
        self.assertTrue(health.is_view_complete(11.3, 1.7))

    def test_node_started_after_outage_waits(self) -> None:
        health = StoreHealth(20)
        health.record_success(20.1)
        self.assertFalse(health.is_view_complete(21, 1.7))
        self.assertTrue(health.is_view_complete(22.4, 1.7))

    def test_short_failure_is_no_outage(self) -> None:
        health = StoreHealth(0)
        health.record_success(10)
        health.record_failure(OSError(), 20)
        health.record_success(20.1)
        self.assertFalse(health.may_have_expired(20.2))
