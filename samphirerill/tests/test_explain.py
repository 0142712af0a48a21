"""From nodes' logs to why streams were late."""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from samphirerill.cli.main import main
from samphirerill.reports.explain import describe
from samphirerill.reports.journal import Journal
from samphirerill.reports.lateness import Aims, Cause, list_late

_MINUTE = '2030-05-01T10:00:'


def _line(second: float, event: str, **facts: Any) -> str:
    stamp = f'{_MINUTE}{second:09.6f}Z'
    return json.dumps({'time': stamp, 'event': event, **facts})


def _end(second: float, request: str, pause_ms: int, ago_ms: int) -> str:
    return _line(
        second,
        'stream ended',
        request=request,
        first_ms=50,
        most_gap_ms=pause_ms,
        most_gap_ago_ms=ago_ms,
    )


_LOG = [
    'a line of something else',
    _line(1, 'stream sent', request='dead', path='one:0-80', waited_ms=1),
    # Its last event came at 2.0 s, the next one at 2.3.
    _line(2.08, 'replica avoided', replica='one', reason='does not answer'),
    _line(2.1, 'stream broke', request='dead', reason='path waits for one'),
    _line(2.2, 'stream sent', request='dead', path='two:0-80', waited_ms=9),
    _end(4, 'dead', 300, 1700),
    _line(1, 'stream sent', request='crowded', path='two:0-80', waited_ms=1),
    _end(3, 'crowded', 250, 500),
    _line(1, 'stream sent', request='timely', path='two:0-80', waited_ms=1),
    _end(3, 'timely', 150, 500),
    _line(1, 'stream sent', request='queued', path='two:0-80', waited_ms=700),
    _line(3, 'stream ended', request='queued', first_ms=750, most_gap_ms=40),
]


_HELD_LOG = [
    _line(1, 'stream sent', request='first', path='one:0-80', waited_ms=1),
    _line(2, 'replica ended under requests', requests=['first'], count=3),
    _line(
        5,
        'request held back',
        first_request='first',
        deaths=[{'endpoint': 'one', 'request': 'first', 'ago_ms': 3000}],
    ),
    _line(
        9,
        'refused',
        request='later',
        status=503,
        reason='it ends replicas, first as first',
    ),
    _line(9, 'refused', request='other', status=503, reason='no path'),
]


class TestExplain(TestCase):
    """Causes, phases, and one request's story."""

    def setUp(self) -> None:
        self.journal = Journal()
        self.journal.read(f'edge-1 {line}' for line in _LOG)

    def test_each_late_stream_has_a_cause(self) -> None:
        causes = {
            late.request: late.cause for late in list_late(self.journal, Aims())
        }
        self.assertEqual(
            causes,
            {
                'dead': Cause.SILENT,
                'crowded': Cause.CROWDED,
                'queued': Cause.NO_PATH,
            },
        )
        self.assertEqual(self.journal.skipped, 1)

    def test_why_a_request_is_held_back_is_found_from_any_attempt(
        self,
    ) -> None:
        expected = {
            'first': ['stream sent', 'replica ended', 'request held back'],
            'later': ['request held back', 'refused'],
            'other': ['refused'],
        }
        with TemporaryDirectory() as folder:
            log = Path(folder) / 'edge.log'
            log.write_text('\n'.join(_HELD_LOG))
            for request, events in expected.items():
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    main(['explain', str(log), '--request', request])
                lines = out.getvalue().splitlines()
                self.assertEqual(len(lines), len(events), lines)
                for line, event in zip(lines, events, strict=True):
                    self.assertIn(event, line)

    def test_a_run_that_took_over_is_told_from_one_that_broke(self) -> None:
        stories = {
            'silent': ('one: does not answer', Cause.SILENT),
            'lost': ('one is lost', Cause.MOVED),
        }
        for request, (reason, cause) in stories.items():
            with self.subTest(request):
                journal = Journal()
                lines = (
                    _line(1, 'stream sent', request=request, waited_ms=1),
                    _line(2.1, 'stream leaves', request=request, reason=reason),
                    _line(2.15, 'stream sent beside', request=request),
                    _end(4, request, 300, 1700),
                )
                journal.read(f'edge-1 {line}' for line in lines)
                late = list_late(journal, Aims())[0]
                self.assertIs(late.cause, cause)
                self.assertAlmostEqual(late.deciding_ms, 50, delta=1)

    def test_a_pause_is_cut_into_phases(self) -> None:
        late = {item.request: item for item in list_late(self.journal, Aims())}
        dead = late['dead']
        self.assertAlmostEqual(dead.noticing_ms, 100, delta=1)
        self.assertAlmostEqual(dead.deciding_ms, 100, delta=1)
        self.assertAlmostEqual(dead.reading_ms, 100, delta=1)

    def test_what_callers_accept_decides(self) -> None:
        patient = list_late(self.journal, Aims(first_ms=1000, pause_ms=400))
        self.assertEqual(patient, [])

    def test_the_table_has_a_row_for_each_cause(self) -> None:
        rows = describe(list_late(self.journal, Aims()))
        self.assertEqual(len(rows), 4)

    def test_a_story_names_what_befell_its_replicas(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'node.log'
            path.write_text('\n'.join(_LOG))
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                code = main(['explain', str(path), '--request', 'dead'])
            self.assertEqual(code, 0)
            self.assertIn('replica avoided', out.getvalue())
            with contextlib.redirect_stderr(io.StringIO()):
                code = main(['explain', str(path), '--request', 'nobody'])
            self.assertEqual(code, 1)
