"""The command ``samphirerill explain``: find the causes of late streams."""

from __future__ import annotations

import sys
from collections import defaultdict
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.relay.path_tracker import ISOLATED
from samphirerill.reports.admission_causes import explain_admission
from samphirerill.reports.by_second import format_by_second
from samphirerill.reports.late_streams import (
    UNANSWERED,
    LatencyTargets,
    list_late_streams,
)
from samphirerill.reports.log_index import LogIndex

if TYPE_CHECKING:
    import argparse

    from samphirerill.reports.late_streams import Cause, LateStream
    from samphirerill.reports.log_index import LogRecord

_EXIT_MISSING = 1
_HIDDEN_FIELDS = frozenset(('time', 'level', 'part', 'event', 'request'))
_QUARANTINE_EVENTS = frozenset(
    (
        'replica crashed while starting requests',
        'request quarantined',
        'request released from quarantine',
        'prompt part quarantined',
        'prompt part released from quarantine',
    )
)
# What replicas said about themselves.
_BACKOFF_EVENT = 'replica asked for a back-off'
_LASTING_EVENTS = frozenset(
    (
        'replica says that it is leaving',
        'replica changes its request limit',
    )
)
# Why requests went through other nodes, or were refused as no node could help.
_PATH_EVENTS = frozenset(
    (
        'no endpoint is reached directly',
        'partitioned from endpoints; connecting through other nodes',
        'partition from endpoints has ended',
    )
)
_MAX_PARTITION_S = 60.0
# Fields of a request's records that name replicas.
_NAMING_FIELDS = ('path', 'endpoint', 'reason')
_MS_PER_S = 1000
_TIME_WIDTHS = (9, 10, 10, 9)
_HEADER = (
    f'{"cause":<32}{"streams":>8}{"delay ms":>9}{"detection":>10}'
    f'{"dispatch":>10}{"response":>9}'
)


def add_explain_options(parser: argparse.ArgumentParser) -> None:
    """Add the command's options."""
    defaults = LatencyTargets()
    parser.add_argument('logs', nargs='+', metavar='LOG')
    parser.add_argument('--request', default='', metavar='ID')
    parser.add_argument(
        '--first',
        type=float,
        default=defaults.first_event_ms,
        metavar='MS',
        help='the latency target for the first event',
    )
    parser.add_argument(
        '--pause',
        type=float,
        default=defaults.pause_ms,
        metavar='MS',
        help='the latency target for the time between events',
    )
    parser.add_argument(
        '--by-second',
        action='store_true',
        help='count late and refused requests by second and cause',
    )
    parser.add_argument('--json', action='store_true')
    parser.set_defaults(command=explain)


def explain(options: argparse.Namespace) -> int:
    """Print the log records of a request or the causes of late streams."""
    index = LogIndex()
    for path in options.logs:
        with Path(path).open(errors='replace') as lines:
            index.add_lines(lines)
    if options.request:
        return _print_request(index, options.request)
    late_streams = list_late_streams(
        index, LatencyTargets(options.first, options.pause)
    )
    if options.json:
        _print_line(
            json.encode(
                [_build_json_row(stream) for stream in late_streams]
            ).decode()
        )
    else:
        rows = (
            format_by_second(index, late_streams)
            if options.by_second
            else format_table(late_streams)
        )
        for row in rows:
            _print_line(row)
    return 0


def format_table(late_streams: list[LateStream]) -> list[str]:
    """Format a table with the count and median phase times per cause."""
    groups: defaultdict[Cause, list[LateStream]] = defaultdict(list)
    for stream in late_streams:
        groups[stream.cause].append(stream)
    rows = [_HEADER]
    rows.extend(
        _format_row(cause, group)
        for cause, group in sorted(groups.items(), key=_get_group_order)
    )
    return rows


def _format_row(cause: Cause, streams: list[LateStream]) -> str:
    times = (
        median(stream.delay_ms for stream in streams),
        median(stream.detection_ms for stream in streams),
        median(stream.dispatch_ms for stream in streams),
        median(stream.response_ms for stream in streams),
    )
    columns = ''.join(
        f'{time_ms:>{width}.0f}'
        for time_ms, width in zip(times, _TIME_WIDTHS, strict=True)
    )
    return f'{cause.value:<32}{len(streams):>8}{columns}'


def _get_group_order(group: tuple[Cause, list[LateStream]]) -> int:
    return -len(group[1])


def _build_json_row(stream: LateStream) -> dict[str, object]:
    return {
        'request': stream.request,
        'cause': stream.cause.value,
        'late_ms': round(stream.delay_ms),
        'noticing_ms': round(stream.detection_ms),
        'deciding_ms': round(stream.dispatch_ms),
        'reading_ms': round(stream.response_ms),
    }


def _print_request(index: LogIndex, request: str) -> int:
    """Print the records of a request and of the replicas it used."""
    records = [
        *index.by_request.get(request, ()),
        *_list_unanswered_behind(index, request),
    ]
    if not records:
        sys.stderr.write(f'no log records of request {request!r}\n')
        return _EXIT_MISSING
    times_s = [record.time_s for record in records]
    start_s, end_s = min(times_s), max(times_s)
    used = ' '.join(
        str(record.fields.get(name, ''))
        for record in records
        for name in _NAMING_FIELDS
    )
    related = [
        record
        for record in index.without_request
        if start_s <= record.time_s <= end_s
        and str(record.fields.get('replica', ' ')) in used
    ]
    related += [
        record
        for record in index.without_request
        if _explains_quarantine(record, request, records)
        or (
            record.time_s < start_s
            and _explains_detour(record, start_s, records)
        )
        or (
            start_s - _MAX_PARTITION_S <= record.time_s <= end_s
            and _explains_relay(record, records)
        )
    ]
    for record in sorted([*records, *related], key=_get_time):
        _print_line(_format_record(record, start_s))
    for line in explain_admission(index, request):
        _print_line(line)
    return 0


def _list_unanswered_behind(index: LogIndex, request: str) -> list[LogRecord]:
    """Return records of closed connections on which the request was queued."""
    return [
        record
        for records in index.by_request.values()
        for record in records
        if record.event == UNANSWERED
        and request in record.fields.get('queued', ())
    ]


def _explains_quarantine(
    record: LogRecord, request: str, records: list[LogRecord]
) -> bool:
    """Return whether a record says why the request is quarantined.

    Such a record names this request, or else the first request with the same
    content; the reason why this one was rejected then ends with that id.
    """
    if record.event not in _QUARANTINE_EVENTS:
        return False
    first_request = str(record.fields.get('first_request', ''))
    field_texts = [str(field_value) for field_value in record.fields.values()]
    reasons = [str(own.fields.get('reason', '')) for own in records]
    return any(request in field_value for field_value in field_texts) or (
        bool(first_request)
        and any(reason.endswith(first_request) for reason in reasons)
    )


def _explains_relay(record: LogRecord, records: list[LogRecord]) -> bool:
    """Return whether a record says why another node relayed the request."""
    return record.event in _PATH_EVENTS and any(
        own.fields.get('relayed_by') or own.fields.get('reason') == ISOLATED
        for own in records
    )


def _explains_detour(
    record: LogRecord, start_s: float, records: list[LogRecord]
) -> bool:
    """Return whether a record says why a replica got no new work.

    That is the case if a replica that the request used, or was kept off, was
    leaving, limited requests or was in a back-off when the request came.
    """
    until_s = record.time_s
    if record.event in _LASTING_EVENTS:
        until_s = float('inf')
    elif record.event == _BACKOFF_EVENT:
        until_s += record.fields.get('for_ms', 0) / _MS_PER_S
    else:
        return False
    named = ' '.join(
        str(own.fields.get(name, ''))
        for own in records
        for name in _NAMING_FIELDS
    )
    words = named.replace(':', ' ').replace(',', ' ').split()
    return start_s <= until_s and record.fields.get('replica') in words


def _format_record(record: LogRecord, start_s: float) -> str:
    fields = ' '.join(
        f'{name}={field_value}'
        for name, field_value in record.fields.items()
        if name not in _HIDDEN_FIELDS
    )
    return f'{record.time_s - start_s:8.3f} s  {record.event}  {fields}'


def _get_time(record: LogRecord) -> float:
    return record.time_s


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
