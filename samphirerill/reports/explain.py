"""The command ``samphirerill explain``: from nodes' logs to causes."""

from __future__ import annotations

import sys
from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.reports.journal import Journal
from samphirerill.reports.lateness import Aims, list_late

if TYPE_CHECKING:
    import argparse

    from samphirerill.reports.journal import Line
    from samphirerill.reports.lateness import Cause, Lateness

_EXIT_MISSING = 1
_HIDDEN = frozenset(('time', 'level', 'part', 'event', 'request'))
_EVIDENCE = frozenset(
    (
        'replica ended under requests',
        'request held back',
        'request released',
    )
)
_WIDTHS = (9, 10, 10, 9)
_HEADER = (
    f'{"cause":<32}{"streams":>8}{"late ms":>9}{"noticing":>10}'
    f'{"deciding":>10}{"reading":>9}'
)


def add_explain_options(parser: argparse.ArgumentParser) -> None:
    """Add the command's options."""
    usual = Aims()
    parser.add_argument('logs', nargs='+', metavar='LOG')
    parser.add_argument('--request', default='', metavar='ID')
    parser.add_argument(
        '--first',
        type=float,
        default=usual.first_ms,
        metavar='MS',
        help='the time within which a first event is on time',
    )
    parser.add_argument(
        '--pause',
        type=float,
        default=usual.pause_ms,
        metavar='MS',
        help='the longest pause between events that is on time',
    )
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(command=explain)


def explain(options: argparse.Namespace) -> int:
    """Print one request's story, or the causes of all late streams."""
    journal = Journal()
    for name in options.logs:
        with Path(name).open(errors='replace') as lines:
            journal.read(lines)
    if options.request:
        return _tell_story(journal, options.request)
    late = list_late(journal, Aims(options.first, options.pause))
    if options.json:
        _print(json.encode([_to_row(item) for item in late]).decode())
    else:
        for text in describe(late):
            _print(text)
    return 0


def describe(late: list[Lateness]) -> list[str]:
    """Return a table: for each cause its streams, and medians of times."""
    groups: defaultdict[Cause, list[Lateness]] = defaultdict(list)
    for item in late:
        groups[item.cause].append(item)
    rows = [_HEADER]
    rows.extend(
        _describe_cause(cause, group)
        for cause, group in sorted(groups.items(), key=_rank)
    )
    return rows


def _describe_cause(cause: Cause, group: list[Lateness]) -> str:
    times = (
        median(late.late_ms for late in group),
        median(late.noticing_ms for late in group),
        median(late.deciding_ms for late in group),
        median(late.reading_ms for late in group),
    )
    shown = ''.join(
        f'{time_ms:>{width}.0f}'
        for time_ms, width in zip(times, _WIDTHS, strict=True)
    )
    return f'{cause.value:<32}{len(group):>8}{shown}'


def _rank(group: tuple[Cause, list[Lateness]]) -> int:
    return -len(group[1])


def _to_row(item: Lateness) -> dict[str, object]:
    return {
        'request': item.request,
        'cause': item.cause.value,
        'late_ms': round(item.late_ms),
        'noticing_ms': round(item.noticing_ms),
        'deciding_ms': round(item.deciding_ms),
        'reading_ms': round(item.reading_ms),
    }


def _tell_story(journal: Journal, request: str) -> int:
    """Print all lines of a request, and what became of its replicas."""
    story = journal.requests.get(request, [])
    if not story:
        sys.stderr.write(f'no line of request {request!r} in these logs\n')
        return _EXIT_MISSING
    since, until = story[0].at, story[-1].at
    paths = ' '.join(str(line.facts.get('path', '')) for line in story)
    around = [
        line
        for line in journal.others
        if since <= line.at <= until
        and str(line.facts.get('replica', ' ')) in paths
    ]
    around += [
        line for line in journal.others if _is_evidence(line, request, story)
    ]
    for line in sorted([*story, *around], key=_get_time):
        _print(_format_line(line, since))
    return 0


def _is_evidence(line: Line, request: str, story: list[Line]) -> bool:
    """Return whether a line tells why the request is held back.

    Such a line names attempts at the request, of which this may be one; the
    refusal of this one names the first of them.
    """
    if line.event not in _EVIDENCE:
        return False
    first = str(line.facts.get('first_request', ''))
    told = [str(fact) for fact in line.facts.values()]
    reasons = [str(mine.facts.get('reason', '')) for mine in story]
    return any(request in fact for fact in told) or (
        bool(first) and any(reason.endswith(first) for reason in reasons)
    )


def _format_line(line: Line, since: float) -> str:
    facts = ' '.join(
        f'{name}={fact}'
        for name, fact in line.facts.items()
        if name not in _HIDDEN
    )
    return f'{line.at - since:8.3f} s  {line.event}  {facts}'


def _get_time(line: Line) -> float:
    return line.at


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
