"""Sharing of capacity across nodes that know of each other by late reports."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from msgspec import ValidationError, convert
from hypothesis import given
from hypothesis import strategies as st

from samphirerill.platform.settings import EdgeSettings
from samphirerill.sharing import (
    FleetRoom,
    ReturnTimes,
    RoomReport,
    SharingSettings,
    WaitingWork,
    WorkItem,
    find_rejection,
    may_start,
    merge_reports,
    predict_wait_s,
    sort_key,
)
from samphirerill.sharing.model import GUARANTEED_LEVEL, STARTED_LEVEL
from samphirerill.tests.sharing_fleet import Fleet, Source

_ON = SharingSettings(ranks=True, accounts=True)
_BURST_END_S = 8.0
_RUN_S = 16.0


def build_item(rank: int = 0, account: str = 'a', room: float = 1) -> WorkItem:
    return WorkItem(rank, account, room, 1, 2)


def rate_in_time(
    fleets: list[Fleet], account: str = '', since_s: float = 3
) -> float:
    """Return the part of the requests of 5 s that started in time."""
    found = [
        request.is_in_time()
        for fleet in fleets
        for request in fleet.requests
        if since_s <= request.arrived_at < since_s + 5
        and request.item.account.startswith(account)
    ]
    return sum(found) / len(found)


def sum_started(fleet: Fleet, account: str = '', rank: int = -1) -> float:
    """Return the seconds of capacity that requests got after 3 s."""
    return sum(
        request.service_s
        for request in fleet.requests
        if request.started_at > 3
        and request.item.account.startswith(account)
        and rank in {-1, request.item.rank}
    )


class TestDecisions(TestCase):
    """Single decisions from known reports."""

    def setUp(self) -> None:
        self.room = FleetRoom(_ON)
        self.now = 10.0

    def report(self, name: str, *work: WorkItem, waiting: int = 0) -> None:
        """Report requests of another node; the first `waiting` ones wait."""
        other = FleetRoom(_ON)
        for number, item in enumerate(work):
            if number < waiting:
                other.enqueue(item)
            else:
                other.start(item)
        self.room.update_peer(name, other.build_report(self.now), self.now)

    def count_before(self, level: int) -> int:
        return self.room.count_waiting_before(
            level, self.now, elsewhere_only=True
        ).count

    def test_report_expires_or_is_removed(self) -> None:
        """Guards against capacity held back for a node that is gone."""
        self.report('n1', build_item(), waiting=1)
        self.report('n2', build_item(), waiting=1)
        self.assertEqual(self.count_before(2), 2)
        self.room.remove_peer('n1')
        self.assertEqual(self.count_before(2), 1)
        self.now += 2.1
        self.assertEqual(self.count_before(2), 0)

    def test_gate_holds_back_the_reported_room_only(self) -> None:
        """Guards against capacity left idle beyond what waits elsewhere."""
        before = WaitingWork(2, 300)
        self.assertFalse(may_start(2, 100, 399, before))
        self.assertTrue(may_start(2, 100, 400, before))
        self.assertTrue(may_start(STARTED_LEVEL, 100, 0, before))
        self.assertTrue(may_start(2, 100, 0, WaitingWork()))

    def test_sharing_switched_off_ignores_other_nodes(self) -> None:
        """Guards against changed decisions where sharing is off."""
        self.room.configure(_ON.restrict(1, 1), {})
        self.report('n1', *[build_item(account='b')] * 3, waiting=1)
        self.assertEqual(self.count_before(5), 0)
        self.room.start(build_item(2))
        self.assertEqual(self.room.find_level(build_item(2), self.now), 4)

    def test_levels_follow_weighted_shares(self) -> None:
        """Guards against shares by number of requests, or without weights."""
        self.report('n1', *[build_item(account='b')] * 6)
        self.room.start(build_item(account='a', room=5))
        item = build_item(1)
        self.assertEqual(self.room.find_level(item, self.now), 2)
        self.room.configure(_ON, {'b': 2})
        self.assertEqual(self.room.find_level(item, self.now), 3)

    def test_only_account_is_never_above_its_share(self) -> None:
        """Guards against a hold on an account that competes with nobody."""
        self.room.start(build_item())
        self.assertEqual(self.room.find_level(build_item(), self.now), 0)

    def test_guarantee_needs_more_urgent_work(self) -> None:
        """Guards against starvation, and a guarantee without competition."""
        self.report('n1', *[build_item(0, 'b')] * 9, build_item(2))
        least = build_item(2, 'a')
        self.room.enqueue(least)
        self.assertEqual(self.room.find_level(least, self.now), 4)
        self.report('n1', *[build_item(0, 'b')] * 9, waiting=3)
        self.assertEqual(
            self.room.find_level(least, self.now), GUARANTEED_LEVEL
        )
        waiting = self.room.build_report(self.now).waiting
        self.assertEqual(waiting, {GUARANTEED_LEVEL: WaitingWork(1, 1)})

    def test_version_changes_with_emptiness_only(self) -> None:
        """Guards against a status per request, and against echoed reports."""
        versions = [self.room.get_version()]
        for _ in range(3):
            self.room.enqueue(build_item())
            versions.append(self.room.get_version())
        self.report('n1', *[build_item(1, 'b')] * 9)
        self.assertEqual(self.room.get_version(), versions[1])
        self.assertEqual(versions, [0, 1, 1, 1])
        for _ in range(3):
            self.room.leave_queue(build_item())
        self.assertEqual(self.room.get_version(), 2)

    def test_order(self) -> None:
        """Guards against late or new requests before returning clients."""
        late = WorkItem(0, 'a', 1, self.now - 1, self.now + 1)
        new = WorkItem(0, 'a', 1, self.now + 1, self.now + 9)
        returning = WorkItem(0, 'a', 1, self.now + 1, self.now + 4)
        expected = [
            sort_key(returning, 0, 1, self.now),
            sort_key(new, 0, 1, self.now),
            sort_key(returning, 0, 2, self.now),
            sort_key(late, 0, 1, self.now),
        ]
        self.assertEqual(sorted(expected), expected)

    def test_rejection_states_the_predicted_wait(self) -> None:
        """Guards against rejections while the estimate is not reliable."""
        item = WorkItem(0, 'a', 1, self.now + 1, self.now + 9)
        wait_s = predict_wait_s(WaitingWork(30, 30), 10, 0.1, 5)
        rejection = find_rejection(item, wait_s, self.now, 5)
        assert rejection is not None
        self.assertEqual(rejection.retry_s, 3)
        self.assertIsNone(find_rejection(item, wait_s, self.now, 3))
        self.assertEqual(predict_wait_s(WaitingWork(30, 30), 0, 0.1, 5), 0.5)

    def test_rate_is_that_of_the_last_second(self) -> None:
        """Guards against waits predicted from completions of long ago."""
        for _ in range(2):
            self.room.start(build_item(1))
        self.room.start(build_item(0))
        self.room.finish(build_item(1), self.now)
        self.assertEqual(self.room.compute_rate(self.now + 0.9), 1)
        self.assertEqual(self.room.compute_rate(self.now + 0.9, 2), 0.5)
        self.assertEqual(self.room.compute_rate(self.now + 1.1), 0)

    def test_invalid_settings_are_rejected(self) -> None:
        """Guards against a guarantee that outweighs the ranks."""
        self.assertEqual(
            EdgeSettings.__struct_defaults__[-1], SharingSettings()
        )
        for share in (-0.1, 0.6):
            with self.assertRaises(ValidationError):
                convert({'guaranteed_share': share}, SharingSettings)

    @given(st.lists(st.floats(0, 20), min_size=2, max_size=60), st.integers())
    def test_returns_are_spread_and_limited(
        self, waits_s: list[float], seed: int
    ) -> None:
        """Guards against clients that all return at the same time."""
        returns = ReturnTimes(Random(seed))
        times = [returns.assign(0, wait, 1, 5, 4, 0) for wait in waits_s]
        self.assertEqual(len(set(times)), len(times))
        self.assertTrue(all(0 <= at <= 4 for at in times))


class TestReports(TestCase):
    """Reports are bounded, and their sums are those of the requests."""

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.integers(0, 2),
                st.integers(0, 40),
                st.integers(1, 900),
                st.booleans(),
            ),
            max_size=150,
        )
    )
    def test_aggregate_equals_the_sum_of_its_reports(
        self, requests: list[tuple[int, int, int, int, bool]]
    ) -> None:
        """Guards against work that is lost or counted twice on the way."""
        rooms = [FleetRoom(_ON) for _ in range(4)]
        observer = FleetRoom(_ON)
        for number, rank, account, room, is_running in requests:
            item = build_item(rank, f'a{account}', room)
            rooms[number].start(item)
            if not is_running:
                rooms[number].finish(item, 0)
                rooms[number].enqueue(item)
        reports = [room.build_report(0) for room in rooms]
        merged = merge_reports(reports)
        observer.update_peer('all', merged, 0)
        self.assertEqual(
            observer.sum_running(0),
            sum(entry[3] for entry in requests if entry[4]),
        )
        self.assertEqual(
            observer.count_ahead(9, 0),
            WaitingWork(
                sum(not entry[4] for entry in requests),
                sum(entry[3] for entry in requests if not entry[4]),
            ),
        )
        self.assertLessEqual(len(merged.running_by_account), 32)
        for report in reports:
            self.assertLessEqual(len(report.running_by_account), 16)
        observer.expire(3)
        self.assertEqual(observer.build_report(3), RoomReport())


class TestFleets(TestCase):
    """Properties of whole fleets; see `sharing_fleet`."""

    def test_overloaded_fleets_with_failing_nodes(self) -> None:
        """Guards against idle capacity, inversions and starvation."""
        for size, slots in ((2, 24), (8, 64), (69, 784), (400, 1600)):
            fleet = Fleet(1, size, slots, group_size=69 if size < 99 else 50)
            for number in range(24):
                rank = number % 3
                load = (0.5, 0.7, 0.8)[rank] / 8
                fleet.add(Source(load, rank, f'a{number}', fleet.nodes))
            fleet.run(3)
            for node in fleet.nodes[1::10]:
                fleet.kill(node)
            fleet.run(5.5)
            area = fleet.area
            fleet.run(8.5)
            with self.subTest(size=size):
                used = (fleet.area - area) / 3 / fleet.capacity
                self.assertGreaterEqual(used, 0.8)
                self.assertEqual(fleet.inversions, 0)
                self.assertEqual(fleet.idle_waits, 0)
                served = {
                    request.item.account
                    for request in fleet.requests
                    if request.started_at > 0
                }
                # Smaller fleets start too few requests to serve all accounts.
                if size > 8:
                    self.assertEqual(len(served), 24)
                total = sum_started(fleet)
                for rank in (1, 2):
                    part = sum_started(fleet, rank=rank) / total
                    self.assertGreaterEqual(part, 0.03)

    def test_accounts_get_their_shares(self) -> None:
        """Guards against a share that depends on demand or on the nodes used."""
        for size, slots in ((2, 64), (8, 64), (69, 784)):
            fleet = Fleet(2, size, slots)
            for node in fleet.nodes:
                node.room.configure(_ON, {'c': 2})
            fleet.add(Source(0.5, 1, 'a', fleet.nodes[-1:]))
            fleet.add(Source(1.5, 1, 'b', fleet.nodes))
            fleet.add(Source(0.9, 1, 'c', fleet.nodes[: size // 2]))
            fleet.run(18)
            total = sum_started(fleet)
            for name, share in (('a', 0.25), ('b', 0.25), ('c', 0.5)):
                with self.subTest(size=size, name=name):
                    part = sum_started(fleet, name) / total
                    self.assertAlmostEqual(part, share, delta=0.2 * share)


class TestTargets(TestCase):
    """Three nodes with demand at twice the capacity, eight runs each."""

    def run_fleets(self, *sources: Source, service_s: float = 3) -> list[Fleet]:
        """Send requests to fleets; `nodes` are given by their numbers."""
        fleets = []
        for seed in range(8):
            fleet = Fleet(seed, 3, 48, service_s=service_s)
            # The objective of 0.85 s includes two reports: with delays up to
            # 0.7 s, 0.92 of the urgent requests are in time.
            fleet.delay_s = (0.05, 0.3)
            for source in sources:
                nodes = [fleet.nodes[number] for number in source.nodes]
                fleet.add(source._replace(nodes=nodes))
            fleet.run(_RUN_S)
            fleets.append(fleet)
        return fleets

    def test_urgent_requests_during_a_flood_elsewhere(self) -> None:
        """Guards against a flood that displaces urgent requests."""
        fleets = self.run_fleets(
            Source(0.1, 0, 'a', [0]), Source(1.9, 2, 'b', [1, 2])
        )
        self.assertGreaterEqual(rate_in_time(fleets, 'a'), 0.95)
        for fleet in fleets:
            used = fleet.area / _RUN_S / fleet.capacity
            self.assertGreaterEqual(used, 0.8)
            early = sum(len(request.retries) for request in fleet.requests)
            late = fleet.rejected_late
            self.assertGreaterEqual(early / (early + late), 0.8)

    def test_small_accounts_beside_a_large_one(self) -> None:
        """Guards against a large account that displaces small ones."""
        everywhere = [0, 1, 2]
        fleets = self.run_fleets(
            *(Source(2 / 30, 1, name, everywhere) for name in 'abc'),
            Source(2 * 27 / 30, 1, 'large', everywhere),
        )
        for name in 'abc':
            self.assertGreaterEqual(rate_in_time(fleets, name), 0.9)

    def test_requests_after_a_burst(self) -> None:
        """Guards against late requests that delay timely ones."""
        usual = [
            Source(0.5 / 24, number % 3, f'a{number}', [0, 1, 2])
            for number in range(24)
        ]
        burst = [
            source._replace(load=3 * source.load, start=5, end=_BURST_END_S)
            for source in usual
        ]
        fleets = self.run_fleets(*usual, *burst, service_s=1)
        since_s = _BURST_END_S + 1
        self.assertGreaterEqual(rate_in_time(fleets, since_s=since_s), 0.9)
