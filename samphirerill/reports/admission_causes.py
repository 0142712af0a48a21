"""Which levels and accounts were served before a late or rejected request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.node.admission_log import (
    ADMITTED,
    LEVEL_CHANGED,
    PREDICTED_WAIT,
    REJECTED,
    REJECTED_LATER,
)
from samphirerill.reports.late_streams import LatencyTargets
from samphirerill.sharing.model import GUARANTEED_LEVEL, STARTED_LEVEL

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.reports.log_index import LogIndex, LogRecord

_REFUSED = 'refused'
_ENDED = 'stream ended'
_ADMISSION_EVENTS = frozenset((ADMITTED, REJECTED, REJECTED_LATER))
# Lines are suppressed while others are logged, at least every second.
_MAX_STAND_IN_S = 2.0


def explain_admission(index: LogIndex, request: str) -> list[str]:
    """Return lines on what was served before a request; none if unknown.

    Log lines on waiting and rejected requests are limited to 10 per second at
    each node. For a request whose line was suppressed, the nearest line on
    another request is shown, and marked as such.
    """
    records = index.by_request.get(request, ())
    own = [item for item in records if item.event in _ADMISSION_EVENTS]
    if own:
        return [line for item in own for line in _explain(index, item)]
    stand_ins = [_find_stand_in(index, item) for item in records]
    stand_in = next(filter(None, stand_ins), None)
    if stand_in is None:
        return []
    return [
        'no line on the admission of this request; the nearest, of request '
        f'{stand_in.fields["request"]}:',
        *_explain(index, stand_in),
    ]


def describe_level(level: int) -> str:
    """Return what a level means."""
    if level == STARTED_LEVEL:
        return 'streams that have started'
    if level == GUARANTEED_LEVEL:
        return 'guaranteed part of a less urgent rank'
    rank, is_above = divmod(level, 2)
    suffix = ', account above its share' if is_above else ''
    return f'rank {rank}{suffix}'


def _explain(index: LogIndex, record: LogRecord) -> Iterator[str]:
    fields = record.fields
    outcome = (
        f'admitted after {fields.get("waited_ms", 0)} ms, predicted '
        f'{fields.get("predicted_ms", 0)} ms'
        if record.event == ADMITTED
        else f'rejected: {fields.get("reason", "")}; retry after '
        f'{fields.get("retry_ms", 0)} ms'
    )
    level = describe_level(fields.get('sharing_level', 0))
    yield (
        f'{outcome}; account {fields.get("account")}, level '
        f'{fields.get("sharing_level")} ({level}), service '
        f'{fields.get("service")}'
    )
    yield from _explain_level(index, record)
    served = fields.get('served_before', [])
    if not served:
        yield 'this node served nothing of the service before it'
    for group in served:
        yield _format_group(group)


def _explain_level(index: LogIndex, record: LogRecord) -> Iterator[str]:
    """Say which levels could take capacity, and since when."""
    level = record.fields.get('level_in_force')
    if level is None:
        return
    changes = [
        change
        for change in index.without_request
        if change.event == LEVEL_CHANGED
        and change.fields.get('service') == record.fields.get('service')
        and change.fields.get('sharing_level') == level
        and change.time_s <= record.time_s
    ]
    since = ''
    if changes:
        since_s = record.time_s - changes[-1].time_s
        since = f' since {since_s:.3f} s'
    yield f'only levels up to {level} ({describe_level(level)}) started{since}'


def _format_group(group: dict[str, Any]) -> str:
    level = group['level']
    return (
        f'served before it: level {level} ({describe_level(level)}), account '
        f'{group["account"]}: {group["count"]} requests, room '
        f'{group["room"]:.0f}'
    )


def _find_stand_in(index: LogIndex, record: LogRecord) -> LogRecord | None:
    """Return the nearest line on another request with the same outcome."""
    event = _find_suppressed_event(record)
    candidates = [
        (abs(other.time_s - record.time_s), number, other)
        for number, other in enumerate(_list_records(index, event))
        if abs(other.time_s - record.time_s) <= _MAX_STAND_IN_S
    ]
    return min(candidates)[-1] if candidates else None


def _find_suppressed_event(record: LogRecord) -> str:
    """Return which line on the request's admission is missing, if any."""
    reason = str(record.fields.get('reason', ''))
    if record.event == _REFUSED and PREDICTED_WAIT in reason:
        return REJECTED
    first_ms = record.fields.get('first_ms', 0)
    if record.event == _ENDED and first_ms > LatencyTargets().first_event_ms:
        return ADMITTED
    return ''


def _list_records(index: LogIndex, event: str) -> Iterator[LogRecord]:
    for records in index.by_request.values():
        for record in records:
            if record.event == event:
                yield record
