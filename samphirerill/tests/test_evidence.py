"""When a node may believe that its configuration is in force."""

from __future__ import annotations

import unittest

from samphirerill.control.evidence import FRESH_FOR_S, GRACE_S, Evidence

_LATER = FRESH_FOR_S + GRACE_S + 2


class TestEvidence(unittest.TestCase):
    """A node alone tells an outage from being cut off."""

    def setUp(self) -> None:
        """Start with a fresh read at time 0."""
        self.evidence = Evidence(0)
        self.evidence.note_store_read(0)

    def find_doubt(self, version: int = 5, known_nodes: int = 8) -> str:
        """Ask twice, a grace apart, as the node does."""
        self.evidence.find_doubt(_LATER - GRACE_S, version, known_nodes)
        return self.evidence.find_doubt(_LATER, version, known_nodes)

    def hear(self, count: int, fresh_age_s: float, version: int = 5) -> None:
        """Hear from some peers, lately."""
        for at in (_LATER - GRACE_S, _LATER):
            for peer in range(count):
                self.evidence.note_peer(f'n{peer}', at, fresh_age_s, version)

    def test_own_fresh_read_is_enough(self) -> None:
        """Whatever the peers say."""
        self.evidence.note_store_read(_LATER - GRACE_S)
        self.evidence.note_store_read(_LATER)
        self.assertEqual(self.find_doubt(), '')

    def test_cut_off_from_the_service_but_not_from_peers(self) -> None:
        """A fresh peer at the same version is evidence enough."""
        self.hear(1, fresh_age_s=0.5)
        self.assertEqual(self.find_doubt(), '')

    def test_behind_a_fresh_peer(self) -> None:
        """A peer that knows a newer version forbids serving the older.

        Symptom: a route is served after operators have taken it away.
        Sequence: a node is cut off from the service and misses a change.
        Cause: it took 'no news' for 'no change'.
        """
        self.hear(1, fresh_age_s=0.5, version=6)
        self.assertIn('behind', self.find_doubt())

    def test_outage_for_everyone(self) -> None:
        """If most nodes hear each other and none is fresh, all serve on."""
        self.hear(4, fresh_age_s=100)
        self.assertEqual(self.find_doubt(), '')

    def test_alone_among_many(self) -> None:
        """A node that hears nobody takes itself for cut off."""
        self.assertIn('cut off', self.find_doubt())

    def test_only_node_there_is(self) -> None:
        """One that knows no others serves through an outage."""
        self.assertEqual(self.find_doubt(known_nodes=1), '')

    def test_doubt_needs_a_grace(self) -> None:
        """A short hiccup refuses nobody."""
        self.evidence.find_doubt(FRESH_FOR_S + 1, 5, 8)
        soon = FRESH_FOR_S + GRACE_S / 2
        self.assertEqual(self.evidence.find_doubt(soon, 5, 8), '')


if __name__ == '__main__':
    unittest.main()
