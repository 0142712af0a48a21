"""What operators see of waiting and rejected requests: pages and log lines."""

from __future__ import annotations

import unittest
from random import Random

from logbook import TestHandler

from samphirerill.node.admission_log import (
    ADMITTED,
    LEVEL_CHANGED,
    REJECTED,
    REJECTED_LATER,
)
from samphirerill.node.admission_metrics import format_admissions
from samphirerill.node.admission_observer import AdmissionObserver
from samphirerill.sharing.fleet_room import FleetRoom
from samphirerill.sharing.model import WorkItem
from samphirerill.sharing.prediction import find_rejection
from samphirerill.sharing.settings import SharingSettings


def _build_item(request_id: str, account: str, rank: int = 0) -> WorkItem:
    return WorkItem(rank, account, 100, 5, 9, request_id)


def _list_events(log: TestHandler) -> list[str]:
    return [record.message for record in log.records]


class TestAdmissionLog(unittest.TestCase):
    """Log lines on levels, waits and rejections."""

    def setUp(self) -> None:
        self.records = AdmissionObserver(Random(3)).find_records('painting')
        self.log = TestHandler()
        self.log.push_context()
        self.addCleanup(self.log.pop_context)

    def test_flood_is_logged_ten_times_a_second(self) -> None:
        """Guard against a flood of rejections that fills the log.

        The next line counts what was suppressed, and a change of level is
        logged in spite of the flood.
        """
        for number in range(500):
            item = _build_item(f'r{number}', 'large')
            self.records.note_rejected(item, 1, 'predicted wait', 2, 7.5)
        self.records.note_level(0, 7.6)
        events = _list_events(self.log)
        self.assertEqual(events.count(REJECTED), 8)
        self.assertEqual(events[-1], LEVEL_CHANGED)
        self.assertEqual(self.log.records[-1].extra['suppressed'], 492)
        for number in range(20):
            self.records.note_level(-number, 7.7)
        self.assertEqual(len(self.log.records), 10)
        self.records.note_level(None, 9)
        self.assertEqual(_list_events(self.log).count(LEVEL_CHANGED), 3)

    def test_repeated_level_is_logged_once(self) -> None:
        """Guard against a line for each request that notes the same level."""
        for now in range(1, 20):
            self.records.note_level(3, now)
        self.records.note_level(None, 21)
        self.assertEqual(_list_events(self.log), [LEVEL_CHANGED, LEVEL_CHANGED])
        fields = self.log.records[-1].extra
        self.assertEqual((fields['before'], fields['lasted_s']), (3, 20))

    def test_rejection_on_arrival_is_told_from_a_later_one(self) -> None:
        """Guard against blaming the prediction for requests that waited."""
        item = WorkItem(0, 'large', 100, due=5, deadline=9)
        rejection = find_rejection(item, wait_s=8, now=1)
        assert rejection is not None
        for reason in (rejection.reason, 'no replica has free memory'):
            self.records.note_rejected(item, 0, reason, 1, 1)
        self.assertEqual(_list_events(self.log), [REJECTED, REJECTED_LATER])

    def test_wait_names_who_was_served_before(self) -> None:
        """Guard against a wait whose cause is not in the log."""
        self.records.note_admitted(_build_item('r1', 'past'), 0, 0, 0, 1)
        self.records.note_admitted(_build_item('r2', 'urgent'), 0, 0, 0, 3)
        late = _build_item('r3', 'small', rank=1)
        self.records.note_admitted(late, 2, 1.5, 2, 4)
        self.assertEqual(_list_events(self.log), [ADMITTED])
        fields = self.log.records[0].extra
        self.assertEqual(fields['request'], 'r3')
        self.assertEqual(
            (fields['predicted_ms'], fields['waited_ms']), (1500, 2000)
        )
        self.assertEqual(
            fields['served_before'],
            [{'level': 0, 'account': 'urgent', 'count': 1, 'room': 100}],
        )

    def test_short_wait_is_not_logged(self) -> None:
        """Guard against a line for each of the requests of a normal day."""
        self.records.note_admitted(_build_item('r', 'a'), 0, 0.01, 0.05, 1)
        self.assertEqual(_list_events(self.log), [])


class TestAdmissionMetrics(unittest.TestCase):
    """The state page and the metrics page."""

    def setUp(self) -> None:
        self.observer = AdmissionObserver(Random(3))
        self.records = self.observer.find_records('painting')

    def test_decisions_are_shown_by_level_rank_and_account(self) -> None:
        """Guard against decisions that no page shows."""
        item = _build_item('r', 'viti', rank=1)
        self.records.note_admitted(item, 3, 0.2, 0.4, 5)
        self.records.note_rejected(item, 3, 'predicted wait 3 s', 3, 6)
        self.records.note_level(3, 6)
        lines = format_admissions(self.observer.describe(8)).splitlines()
        for expected in (
            'level_admitted_total{service="painting",level="3"} 1',
            'rank_admitted_total{service="painting",rank="1"} 1',
            'account_admitted_total{service="painting",account="viti"} 1',
            'account_rejected_total{service="painting",account="viti",'
            'reason="predicted wait"} 1',
            'account_waited_seconds_count{service="painting",account="viti"} 1',
            'level_in_force{service="painting"} 3',
            'level_seconds{service="painting"} 2',
        ):
            self.assertIn(f'samphirerill_{expected}', lines)

    def test_waiting_and_running_work_is_shown_by_name(self) -> None:
        """Guard against operators who see checksums instead of accounts."""
        room = FleetRoom(SharingSettings(ranks=True, accounts=True))
        self.observer.add_room('painting', room)
        item = _build_item('r1', 'viti')
        room.start(item)
        self.records.note_admitted(item, 0, 0, 0, 1)
        room.enqueue(_build_item('r2', 'viti', rank=1))
        described = self.observer.describe(2)
        shown = described['painting']['room']
        self.assertEqual(shown['running_by_account'], {'viti': 100})
        lines = format_admissions(described)
        self.assertIn('level_waiting{service="painting",level="2"} 1', lines)

    def test_names_are_escaped(self) -> None:
        """Guard against an account name that makes the page unreadable."""
        self.records.note_admitted(_build_item('r', 'a"b\n'), 0, 0, 0, 1)
        text = format_admissions(self.observer.describe(1))
        self.assertIn(r'account="a\"b\n"', text)

    def test_node_without_records_adds_no_lines(self) -> None:
        """Guard against a changed page where nothing is shared."""
        room = FleetRoom(SharingSettings())
        self.observer.add_room('painting', room)
        self.assertEqual(format_admissions(self.observer.describe(1)), '')


if __name__ == '__main__':
    unittest.main()
