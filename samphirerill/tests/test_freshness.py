"""When a node may regard its configuration as current."""

from __future__ import annotations

import unittest

from samphirerill.control.freshness import (
    FRESH_FOR_S,
    GRACE_S,
    ConfigurationFreshness,
)

_LATER_S = FRESH_FOR_S + GRACE_S + 2


class TestFreshness(unittest.TestCase):
    """A node distinguishes an outage from a network partition."""

    def setUp(self) -> None:
        """Start with a successful read at time 0."""
        self.freshness = ConfigurationFreshness(0)
        self.freshness.record_store_read(0)

    def find_suspension_reason(
        self, version: int = 5, known_nodes: int = 8
    ) -> str:
        """Check twice, a grace period apart, as the node does."""
        self.freshness.find_suspension_reason(
            _LATER_S - GRACE_S, version, known_nodes
        )
        return self.freshness.find_suspension_reason(
            _LATER_S, version, known_nodes
        )

    def receive_reports(
        self, count: int, read_age_s: float, version: int = 5
    ) -> None:
        """Receive recent reports of some peers."""
        for at in (_LATER_S - GRACE_S, _LATER_S):
            for peer in range(count):
                self.freshness.record_peer_report(
                    f'n{peer}', at, read_age_s, version
                )

    def test_own_recent_read_is_enough(self) -> None:
        """Whatever the peers report."""
        self.freshness.record_store_read(_LATER_S - GRACE_S)
        self.freshness.record_store_read(_LATER_S)
        self.assertEqual(self.find_suspension_reason(), '')

    def test_recent_read_of_a_peer_is_enough(self) -> None:
        """The peer has the same version."""
        self.receive_reports(1, read_age_s=0.5)
        self.assertEqual(self.find_suspension_reason(), '')

    def test_older_version_than_a_peer(self) -> None:
        """A peer with a newer version stops the node from serving.

        Guards against serving a route that operators have removed, at a node
        that cannot reach the service and missed the change.
        """
        self.receive_reports(1, read_age_s=0.5, version=6)
        self.assertIn('behind', self.find_suspension_reason())

    def test_outage_for_all_nodes(self) -> None:
        """Peers in contact without recent reads mean an outage."""
        self.receive_reports(4, read_age_s=100)
        self.assertEqual(self.find_suspension_reason(), '')

    def test_node_without_peers_is_partitioned(self) -> None:
        self.assertIn('cut off', self.find_suspension_reason())

    def test_only_known_node(self) -> None:
        """A node that knows no others serves through an outage."""
        self.assertEqual(self.find_suspension_reason(known_nodes=1), '')

    def test_grace_period(self) -> None:
        """A short interruption refuses no requests."""
        self.freshness.find_suspension_reason(FRESH_FOR_S + 1, 5, 8)
        within_grace_s = FRESH_FOR_S + GRACE_S / 2
        self.assertEqual(
            self.freshness.find_suspension_reason(within_grace_s, 5, 8), ''
        )


if __name__ == '__main__':
    unittest.main()
