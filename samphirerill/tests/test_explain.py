"""Tests of the report on late streams."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from samphirerill.cli.main import main
from samphirerill.reports.explain import format_table
from samphirerill.reports.late_streams import (
    Cause,
    LatencyTargets,
    list_late_streams,
)
from samphirerill.reports.log_index import LogIndex

_TIME_PREFIX = '2030-05-01T10:00:'


def _line(time_s: float, event: str, **fields: Any) -> str:
    timestamp = f'{_TIME_PREFIX}{time_s:09.6f}Z'
    return json.dumps({'time': timestamp, 'event': event, **fields})


def _end(time_s: float, request: str, pause_ms: int, ago_ms: int) -> str:
    return _line(
        time_s,
        'stream ended',
        request=request,
        first_ms=50,
        most_gap_ms=pause_ms,
        most_gap_ago_ms=ago_ms,
    )


_LOG = [
    'a line of something else',
    _line(
        1, 'stream sent', request='unresponsive', path='one:0-80', waited_ms=1
    ),
    # The pause lasts from 2.0 s to 2.3 s.
    _line(2.08, 'replica suspected', replica='one', reason='is unresponsive'),
    _line(
        2.1,
        'stream run failed',
        request='unresponsive',
        reason='path is stalled by one',
    ),
    _line(
        2.2, 'stream sent', request='unresponsive', path='two:0-80', waited_ms=9
    ),
    _end(4, 'unresponsive', 300, 1700),
    _line(1, 'stream sent', request='overloaded', path='two:0-80', waited_ms=1),
    _end(3, 'overloaded', 250, 500),
    _line(1, 'stream sent', request='on-time', path='two:0-80', waited_ms=1),
    _end(3, 'on-time', 150, 500),
    _line(1, 'stream sent', request='queued', path='two:0-80', waited_ms=700),
    _line(3, 'stream ended', request='queued', first_ms=750, most_gap_ms=40),
]


_QUARANTINE_LOG = [
    _line(1, 'stream sent', request='first', path='one:0-80', waited_ms=1),
    _line(
        2,
        'replica crashed while starting requests',
        requests=['first'],
        count=3,
    ),
    _line(
        5,
        'request quarantined',
        first_request='first',
        deaths=[{'endpoint': 'one', 'request': 'first', 'ago_ms': 3000}],
    ),
    _line(
        9,
        'refused',
        request='later',
        status=503,
        reason='it crashes replicas, first seen as first',
    ),
    _line(9, 'refused', request='other', status=503, reason='no path'),
]


_ADMISSION_LOG = [
    _line(1, 'level changed', service='painting', sharing_level=2),
    _line(
        5,
        'rejected by prediction',
        request='logged',
        service='painting',
        account='batch',
        sharing_level=3,
        level_in_force=2,
        reason='predicted wait 4.00 s, 0.20 s left to start in time',
        retry_ms=4100,
        served_before=[
            {'level': 0, 'account': 'line', 'count': 7, 'room': 700.0},
            {'level': 2, 'account': 'small', 'count': 1, 'room': 90.0},
        ],
    ),
    _line(
        5.9,
        'refused',
        request='suppressed',
        status=503,
        reason='predicted wait 4.10 s, 0.10 s left to start in time',
    ),
    _line(5.9, 'refused', request='other', status=503, reason='no path'),
    _line(
        8,
        'admitted after waiting',
        request='late',
        service='painting',
        account='small',
        sharing_level=-1,
        level_in_force=None,
        predicted_ms=300,
        waited_ms=900,
        served_before=[],
    ),
    _line(9, 'stream ended', request='late', first_ms=1000, most_gap_ms=40),
]


def _explain(lines: list[str], request: str) -> str:
    """Return what the command prints for one request."""
    with TemporaryDirectory() as folder:
        log = Path(folder) / 'edge.log'
        log.write_text('\n'.join(lines))
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            main(['explain', str(log), '--request', request])
    return out.getvalue()


class TestExplain(TestCase):
    """Causes and phases of late streams, and the records of one request."""

    def setUp(self) -> None:
        self.index = LogIndex()
        self.index.add_lines(f'edge-1 {line}' for line in _LOG)

    def test_each_late_stream_has_a_cause(self) -> None:
        causes = {
            late_stream.request: late_stream.cause
            for late_stream in list_late_streams(self.index, LatencyTargets())
        }
        self.assertEqual(
            causes,
            {
                'unresponsive': Cause.REPLICA_UNRESPONSIVE,
                'overloaded': Cause.OVERLOAD,
                'queued': Cause.WAITED_FOR_PATH,
            },
        )
        self.assertEqual(self.index.skipped_lines, 1)

    def test_every_attempt_shows_why_a_request_is_held(
        self,
    ) -> None:
        expected = {
            'first': ['stream sent', 'replica crashed', 'request quarantined'],
            'later': ['request quarantined', 'refused'],
            'other': ['refused'],
        }
        with TemporaryDirectory() as folder:
            log = Path(folder) / 'edge.log'
            log.write_text('\n'.join(_QUARANTINE_LOG))
            for request, events in expected.items():
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    main(['explain', str(log), '--request', request])
                lines = out.getvalue().splitlines()
                self.assertEqual(len(lines), len(events), lines)
                for line, event in zip(lines, events, strict=True):
                    self.assertIn(event, line)

    def test_causes_are_counted_by_second(self) -> None:
        lines = [
            _line(
                7, 'refused', request='r', status=503, reason='no path at 3 s'
            ),
            _line(7, 'refused', request='q', status=404, reason='no route'),
        ]
        with TemporaryDirectory() as folder:
            log = Path(folder) / 'edge.log'
            log.write_text('\n'.join([*_LOG, *lines]))
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                main(['explain', str(log), '--by-second'])
        rows = [row.split(maxsplit=2) for row in out.getvalue().splitlines()]
        self.assertIn(['1', '1', 'a part fell silent'], rows)
        self.assertIn(['6', '1', 'refused: no path at s'], rows)
        self.assertEqual(sum('refused' in row[2] for row in rows), 1)

    def test_queued_request_is_found_on_its_closed_connection(self) -> None:
        """A request that was never started has no log record of its own."""
        line = _line(
            1, 'request left unanswered', request='first', queued=['second']
        )
        self.assertIn('request left unanswered', _explain([line], 'second'))

    def test_only_closes_by_the_node_count_as_cut(self) -> None:
        index = LogIndex()
        for reason in ('shutdown', 'client'):
            index.add_lines(
                (
                    _line(
                        1,
                        'request left unanswered',
                        request=reason,
                        reason=reason,
                    ),
                    _end(2, reason, 20, 0),
                )
            )
        causes = [
            (stream.request, stream.cause)
            for stream in list_late_streams(index, LatencyTargets())
        ]
        self.assertEqual(causes, [('shutdown', Cause.CUT_BY_NODE)])

    def test_request_shows_which_replicas_were_left_out(self) -> None:
        """Guard against a refusal whose cause was logged before it."""
        log = (
            _line(1, 'replica asked for a back-off', replica='r1', for_ms=500),
            _line(2, 'replica asked for a back-off', replica='r1', for_ms=3000),
            _line(2, 'replica asked for a back-off', replica='r12', for_ms=9e3),
            _line(3, 'replica says that it is leaving', replica='r2'),
            _line(3, 'replica changes its request limit', replica='r3'),
            _line(
                4,
                'refused',
                request='late',
                reason='1 replicas asked for a back-off: r1 for 1.00 s',
            ),
            _line(4, 'stream sent', request='next', path='r2:0-80'),
            _line(
                4,
                'refused',
                request='full',
                reason='1 replicas limit requests and have no room: r3 to 1/s',
            ),
        )
        expected = {
            'late': ['back-off', 'refused'],
            'next': ['leaving', 'sent'],
            'full': ['request limit', 'refused'],
        }
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'node.log'
            path.write_text('\n'.join(log))
            for request, events in expected.items():
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    main(['explain', str(path), '--request', request])
                lines = out.getvalue().splitlines()
                self.assertEqual(len(lines), len(events), lines)
                for line, event in zip(lines, events, strict=True):
                    self.assertIn(event, line)

    def test_unresponsive_replica_is_distinguished_from_lost_one(self) -> None:
        reasons = {
            'silent': ('one is unresponsive', Cause.REPLICA_UNRESPONSIVE),
            'lost': (
                'one has failed or stopped serving its layers',
                Cause.MOVED,
            ),
        }
        for request, (reason, cause) in reasons.items():
            with self.subTest(request):
                index = LogIndex()
                lines = (
                    _line(1, 'stream sent', request=request, waited_ms=1),
                    _line(
                        2.1,
                        'stream handover started',
                        request=request,
                        reason=reason,
                    ),
                    _line(2.15, 'stream sent in parallel', request=request),
                    _end(4, request, 300, 1700),
                )
                index.add_lines(f'edge-1 {line}' for line in lines)
                late_stream = list_late_streams(index, LatencyTargets())[0]
                self.assertIs(late_stream.cause, cause)
                self.assertAlmostEqual(late_stream.dispatch_ms, 50, delta=1)

    def test_cut_after_own_close_is_distinguished_from_a_break(self) -> None:
        ends = {
            'node': Cause.CUT_AFTER_OWN_CLOSE,
            'replica': Cause.CUT_BY_NODE,
        }
        for run_ended_by, cause in ends.items():
            with self.subTest(run_ended_by):
                index = LogIndex()
                abort = _line(
                    2, 'stream aborted', request='r', run_ended_by=run_ended_by
                )
                lines = (abort, _end(2.1, 'r', 300, 100))
                index.add_lines(f'edge-1 {line}' for line in lines)
                late_stream = list_late_streams(index, LatencyTargets())[0]
                self.assertIs(late_stream.cause, cause)

    def test_pause_is_divided_into_phases(self) -> None:
        late = {
            late_stream.request: late_stream
            for late_stream in list_late_streams(self.index, LatencyTargets())
        }
        stream = late['unresponsive']
        self.assertAlmostEqual(stream.detection_ms, 100, delta=1)
        self.assertAlmostEqual(stream.dispatch_ms, 100, delta=1)
        self.assertAlmostEqual(stream.response_ms, 100, delta=1)

    def test_latency_targets_define_late_streams(self) -> None:
        late = list_late_streams(
            self.index, LatencyTargets(first_event_ms=1000, pause_ms=400)
        )
        self.assertEqual(late, [])

    def test_table_has_one_row_per_cause(self) -> None:
        rows = format_table(list_late_streams(self.index, LatencyTargets()))
        self.assertEqual(len(rows), 4)

    def test_relayed_request_shows_the_partition(self) -> None:
        log = [
            _line(
                3, 'partitioned from endpoints; connecting through other nodes'
            ),
            _line(4, 'stream sent', request='relayed', relayed_by='10.0.0.2:1'),
            _line(5, 'stream ended', request='relayed'),
            _line(6, 'stream sent', request='direct', relayed_by=''),
        ]
        self.assertIn('partitioned', _explain(log, 'relayed'))
        self.assertNotIn('partitioned', _explain(log, 'direct'))

    def test_request_report_includes_events_of_its_replicas(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'node.log'
            path.write_text('\n'.join(_LOG))
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                code = main(['explain', str(path), '--request', 'unresponsive'])
            self.assertEqual(code, 0)
            self.assertIn('replica suspected', out.getvalue())
            with contextlib.redirect_stderr(io.StringIO()):
                code = main(['explain', str(path), '--request', 'nobody'])
            self.assertEqual(code, 1)


class TestExplainAdmission(TestCase):
    """What was served before a rejected or late request."""

    def test_rejection_names_levels_and_accounts_served_before(self) -> None:
        """Guard against a rejection whose cause operators cannot find."""
        lines = _explain(_ADMISSION_LOG, 'logged').splitlines()
        self.assertEqual(
            lines[-4:],
            [
                'rejected: predicted wait 4.00 s, 0.20 s left to start in '
                'time; retry after 4100 ms; account batch, level 3 (rank 1, '
                'account above its share), service painting',
                'only levels up to 2 (rank 1) started since 4.000 s',
                'served before it: level 0 (rank 0), account line: 7 requests,'
                ' room 700',
                'served before it: level 2 (rank 1), account small: 1 requests'
                ', room 90',
            ],
        )

    def test_late_request_shows_predicted_and_actual_wait(self) -> None:
        """Guard against a prediction that cannot be compared with the wait."""
        explained = _explain(_ADMISSION_LOG, 'late')
        self.assertIn('admitted after 900 ms, predicted 300 ms', explained)
        self.assertIn('guaranteed part', explained)
        self.assertIn('this node served nothing', explained)

    def test_suppressed_line_is_replaced_by_the_nearest(self) -> None:
        """Guard against no answer during a flood, when lines are suppressed."""
        explained = _explain(_ADMISSION_LOG, 'suppressed')
        self.assertIn('the nearest, of request logged:', explained)
        self.assertIn('account line: 7 requests', explained)

    def test_other_rejections_have_no_admission_lines(self) -> None:
        """Guard against blaming accounts for a missing path."""
        self.assertNotIn('served', _explain(_ADMISSION_LOG, 'other'))
