"""Tests of the decision whether this node reaches endpoints itself."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.fleet.direct_paths import (
    MIN_UNREACHED,
    ConnectFailure,
    DirectPaths,
)

_ENDPOINTS = [f'10.0.0.{number}:1' for number in range(8)]
_LATER_S = 5.0


class DirectPathsCase(TestCase):
    """Paths to eight endpoints."""

    def setUp(self) -> None:
        self.paths = DirectPaths()
        self.paths.note_success(_ENDPOINTS[0], 0.0)

    def lose(self, addresses: list[str], at: float) -> None:
        """Let endpoints be reached by other nodes only."""
        for address in addresses:
            self.paths.note_failure(address, ConnectFailure.TIMED_OUT, at)
            self.paths.note_lost(address, at)


class TestPartition(DirectPathsCase):
    """When all endpoints are reached through other nodes."""

    def test_one_broken_path_leaves_the_others(self) -> None:
        self.lose(_ENDPOINTS[:1], 1.0)
        self.assertTrue(self.paths.needs_tunnel(_ENDPOINTS[0]))
        self.assertFalse(self.paths.needs_tunnel(_ENDPOINTS[1]))

    def test_several_broken_paths_are_a_partition(self) -> None:
        """Guards against a timeout at each endpoint in turn."""
        self.lose(_ENDPOINTS[:MIN_UNREACHED], 1.0)
        self.assertTrue(self.paths.needs_tunnel(_ENDPOINTS[-1]))

    def test_success_in_between_is_no_partition(self) -> None:
        """Guards against direct paths that are not used in a partial cut."""
        self.lose(_ENDPOINTS[:2], 1.0)
        self.paths.note_success(_ENDPOINTS[5], 1.1)
        self.lose(_ENDPOINTS[2:4], 1.2)
        self.assertFalse(self.paths.is_partitioned)

    def test_failures_alone_are_no_partition(self) -> None:
        """Guards against ended endpoints that are taken for broken links."""
        for address in _ENDPOINTS:
            self.paths.note_failure(address, ConnectFailure.REFUSED, 1.0)
        self.assertFalse(self.paths.is_partitioned)

    def test_old_losses_do_not_count(self) -> None:
        self.lose(_ENDPOINTS[:2], 1.0)
        self.lose(_ENDPOINTS[2:3], 1.0 + _LATER_S)
        self.assertFalse(self.paths.is_partitioned)

    def test_two_successes_in_a_row_end_it(self) -> None:
        """Guards against links that flap."""
        self.lose(_ENDPOINTS[:MIN_UNREACHED], 1.0)
        self.paths.note_success(_ENDPOINTS[0], 2.0)
        self.paths.note_failure(_ENDPOINTS[1], ConnectFailure.REFUSED, 2.1)
        self.paths.note_success(_ENDPOINTS[0], 2.5)
        self.assertTrue(self.paths.is_partitioned)
        self.paths.note_success(_ENDPOINTS[2], 2.6)
        self.assertFalse(self.paths.is_partitioned)
        self.assertEqual(self.paths.list_lost(), [])

    def test_removed_endpoint_is_forgotten(self) -> None:
        self.lose(_ENDPOINTS[:2], 1.0)
        self.paths.keep_only(_ENDPOINTS[1:])
        self.assertEqual(self.paths.list_lost(), _ENDPOINTS[1:2])


class TestIsolation(DirectPathsCase):
    """When requests are refused at once."""

    def setUp(self) -> None:
        super().setUp()
        for address in _ENDPOINTS[:MIN_UNREACHED]:
            self.paths.note_failure(address, ConnectFailure.REFUSED, 1.0)

    def test_no_node_reaches_an_endpoint(self) -> None:
        self.paths.note_peers(1.1, are_available=False)
        self.assertTrue(self.paths.is_isolated(1.2))

    def test_other_nodes_may_help(self) -> None:
        """Guards against requests refused though another node reaches one."""
        self.assertFalse(self.paths.is_isolated(1.2))
        self.paths.note_peers(1.1, are_available=False)
        self.paths.note_peers(1.2, are_available=True)
        self.assertFalse(self.paths.is_isolated(1.3))

    def test_an_endpoint_is_reached_again(self) -> None:
        self.paths.note_peers(1.1, are_available=False)
        self.paths.note_success(_ENDPOINTS[4], 1.2)
        self.assertFalse(self.paths.is_isolated(1.3))

    def test_it_lapses(self) -> None:
        """Guards against a node that refuses for good."""
        self.paths.note_peers(1.1, are_available=False)
        self.assertFalse(self.paths.is_isolated(1.1 + _LATER_S))
