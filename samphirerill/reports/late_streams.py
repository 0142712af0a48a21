"""Classify late streams by cause and break their delays into phases.

A stream is late if the time to its first event, or the longest pause between
two events, exceeds its latency target. Log records within the pause divide it
into phases: detection, until the first record; dispatch, until the stream was
last sent or moved; and response, until the next event.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.reports.log_index import LogIndex, LogRecord

UNANSWERED = 'request left unanswered'

_MS_PER_S = 1000
# Records of the same event may have slightly different times.
_TIME_TOLERANCE_S = 0.002
_SENT = 'stream sent'
_SENT_IN_PARALLEL = 'stream sent in parallel'
_MOVED = 'stream moved'
_HANDOVER_STARTED = 'stream handover started'
_RUN_FAILED = 'stream run failed'
_REJECTED = 'engine rejected the stream'
_ABORTED = 'stream aborted'
_ENDED = 'stream ended'
_CLOSED_BY_CLIENT = 'client'
_DISPATCH_EVENTS = frozenset((_SENT, _SENT_IN_PARALLEL, _MOVED))
# Substrings of logged reasons that mean that a replica did not respond.
_UNRESPONSIVE_REASONS = ('is stalled by', 'no event for', 'is unresponsive')


class Cause(enum.Enum):
    """The cause of a late stream."""

    CUT_BY_NODE = 'cut by the node'
    CUT_AFTER_OWN_CLOSE = 'cut, its run closed by the node'
    WAITED_FOR_PATH = 'waited for a path'
    CONNECTION_BROKEN = 'its first replica broke off'
    REPLICA_UNRESPONSIVE = 'a part fell silent'
    MOVED = 'moved off a part'
    REJECTED = 'refused by engines'
    OVERLOAD = 'nothing was decided: crowding'


@dataclass(slots=True, frozen=True)
class LatencyTargets:
    """The longest acceptable delays, in milliseconds."""

    first_event_ms: float = 500
    pause_ms: float = 200


@dataclass(slots=True)
class LateStream:
    """A late stream; times in milliseconds.

    `delay_ms` is the time to the first event or the longest pause. Its phases
    are `detection_ms`, until the node logged a reaction; `dispatch_ms`, until
    the stream was sent or moved; and `response_ms`, until the next event.
    `ended_s` is when the delay ended, in seconds since the Unix epoch.
    """

    request: str
    cause: Cause
    delay_ms: float
    ended_s: float
    detection_ms: float = 0
    dispatch_ms: float = 0
    response_ms: float = 0


def list_late_streams(
    index: LogIndex, targets: LatencyTargets
) -> list[LateStream]:
    """Return the late streams, ordered by the time they ended."""
    late_streams = []
    for request, records in index.by_request.items():
        end_record = _find_last_record(records, _ENDED)
        if end_record is not None:
            late_stream = _classify_stream(
                request, records, end_record, targets
            )
            if late_stream is not None:
                late_streams.append((end_record.time_s, late_stream))
    late_streams.sort(key=_get_end_time)
    return [late_stream for _, late_stream in late_streams]


def _classify_stream(
    request: str,
    records: Sequence[LogRecord],
    end_record: LogRecord,
    targets: LatencyTargets,
) -> LateStream | None:
    first_ms = end_record.fields.get('first_ms', 0)
    pause_ms = end_record.fields.get('most_gap_ms', 0)
    abort_record = _find_last_record(records, _ABORTED)
    if abort_record is not None:
        has_closed_run = abort_record.fields.get('run_ended_by') == 'node'
        cause = (
            Cause.CUT_AFTER_OWN_CLOSE if has_closed_run else Cause.CUT_BY_NODE
        )
        return LateStream(request, cause, pause_ms, abort_record.time_s)
    if any(map(_is_cut_by_node, records)):
        return LateStream(
            request, Cause.CUT_BY_NODE, pause_ms, end_record.time_s
        )
    if pause_ms > targets.pause_ms:
        return _classify_pause(request, records, end_record, pause_ms)
    if first_ms > targets.first_event_ms:
        return _classify_first_event(request, records, end_record, first_ms)
    return None


def _is_cut_by_node(record: LogRecord) -> bool:
    return (
        record.event == UNANSWERED
        and record.fields.get('reason') != _CLOSED_BY_CLIENT
    )


def _classify_first_event(
    request: str,
    records: Sequence[LogRecord],
    end_record: LogRecord,
    first_ms: float,
) -> LateStream:
    send_records = [record for record in records if record.event == _SENT]
    waited_ms = (
        send_records[-1].fields.get('waited_ms', 0)
        if send_records
        else first_ms
    )
    cause = _find_cause(records)
    if cause is Cause.OVERLOAD and waited_ms > first_ms / 2:
        cause = Cause.WAITED_FOR_PATH
    return LateStream(
        request,
        cause,
        first_ms,
        send_records[-1].time_s if send_records else end_record.time_s,
        dispatch_ms=waited_ms,
        response_ms=first_ms - waited_ms,
    )


def _classify_pause(
    request: str,
    records: Sequence[LogRecord],
    end_record: LogRecord,
    pause_ms: float,
) -> LateStream:
    pause_end_s = (
        end_record.time_s
        - end_record.fields.get('most_gap_ago_ms', 0) / _MS_PER_S
    )
    pause_start_s = pause_end_s - pause_ms / _MS_PER_S
    pause_records = [
        record
        for record in records
        if pause_start_s - _TIME_TOLERANCE_S
        <= record.time_s
        <= pause_end_s + _TIME_TOLERANCE_S
    ]
    late_stream = LateStream(
        request, _find_cause(pause_records), pause_ms, pause_end_s
    )
    decision_times = [
        record.time_s for record in pause_records if record.event != _ENDED
    ]
    dispatch_times = [
        record.time_s
        for record in pause_records
        if record.event in _DISPATCH_EVENTS
    ]
    if decision_times:
        late_stream.detection_ms = (
            max(0.0, decision_times[0] - pause_start_s) * _MS_PER_S
        )
        last_action_s = (
            dispatch_times[-1] if dispatch_times else decision_times[-1]
        )
        late_stream.dispatch_ms = (
            last_action_s - decision_times[0]
        ) * _MS_PER_S
        late_stream.response_ms = (
            max(0.0, pause_end_s - last_action_s) * _MS_PER_S
        )
    return late_stream


def _find_cause(records: Sequence[LogRecord]) -> Cause:
    departures = [
        record
        for record in records
        if record.event in {_RUN_FAILED, _HANDOVER_STARTED}
    ]
    if departures:
        reason = str(departures[-1].fields.get('reason', ''))
        if any(text in reason for text in _UNRESPONSIVE_REASONS):
            return Cause.REPLICA_UNRESPONSIVE
    events = {record.event for record in records}
    if _RUN_FAILED in events:
        return Cause.CONNECTION_BROKEN
    if events & {_MOVED, _HANDOVER_STARTED}:
        return Cause.MOVED
    if any(record.event == _REJECTED for record in records):
        return Cause.REJECTED
    return Cause.OVERLOAD


def _find_last_record(
    records: Sequence[LogRecord], event: str
) -> LogRecord | None:
    for record in reversed(records):
        if record.event == event:
            return record
    return None


def _get_end_time(pair: tuple[float, LateStream]) -> float:
    return pair[0]
