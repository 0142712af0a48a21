"""Collect evidence about requests that crash replicas, and act on it."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.decision import SETTLE_S
from samphirerill.quarantine.messages import apply_messages
from samphirerill.quarantine.records import describe_crashes, describe_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.quarantine import RequestParts
    from samphirerill.quarantine.decision import HoldChange
    from samphirerill.quarantine.messages import EvidenceMessage
    from samphirerill.quarantine.records import Crash
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
# Timers may fire slightly early.
_TIMER_MARGIN_S = 0.005
_MAX_DELAY_S = 0.3


class QuarantineManager:
    """Records evidence, logs changes of the quarantine and ends held streams.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine, the counters and the running streams.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        # Deadline of the next evaluation; 0 if no evidence is pending.
        self._evaluate_by = 0.0

    def record_crash(self, request: bytes, crash: Crash) -> None:
        """Record a crash that this node has observed."""
        self._state.quarantine.note_crash(request, crash, self._loop.time())
        self._schedule_evaluation()

    def record_parts_crash(self, parts: RequestParts, crash: Crash) -> None:
        """Record a crash as evidence against the prompt parts of a request."""
        now = self._loop.time()
        shared = replace(crash, account=parts.account)
        for digest in parts.digests:
            self._state.quarantine.parts.note_crash(digest, shared, now)
        self._schedule_evaluation()

    def record_parts_survival(self, parts: RequestParts) -> list[bytes]:
        """Record that a run got past its start; return the cleared parts."""
        now = self._loop.time()
        quarantine = self._state.quarantine.parts
        cleared = [
            digest
            for digest in parts.digests
            if quarantine.note_survival(digest, now)
        ]
        if cleared:
            self._state.counters['quarantine.parts.refuted'] += len(cleared)
            self._schedule_evaluation()
        return cleared

    def record_survival(self, request: bytes) -> bool:
        """Record that a run got past its start; return whether that is new."""
        now = self._loop.time()
        is_new = self._state.quarantine.note_survival(request, now)
        if is_new:
            self._state.counters['quarantine.refuted'] += 1
            self._schedule_evaluation()
        return is_new

    def apply_records(self, records: Iterable[EvidenceMessage]) -> None:
        """Apply the evidence of another node."""
        if apply_messages(self._state.quarantine, records, self._loop.time()):
            self._schedule_evaluation()

    def describe(self) -> list[dict[str, Any]]:
        """Return the records for operators.

        They name requests by id and never contain request bodies.
        """
        now = self._loop.time()
        stores = (
            ('request', self._state.quarantine),
            ('prompt part', self._state.quarantine.parts),
        )
        return [
            {
                'kind': kind,
                **describe_record(
                    record, store.find_hold_end(digest, now), now
                ),
            }
            for kind, store in stores
            for digest, record in store.list_records()
            if record.crashes
        ]

    def _schedule_evaluation(self) -> None:
        """Schedule the evaluation after the settling time of evidence."""
        if self._timer is not None:
            self._timer.cancel()
        # Bounds the delay when evidence keeps arriving.
        self._evaluate_by = (
            self._evaluate_by or self._loop.time() + _MAX_DELAY_S
        )
        at = min(
            self._evaluate_by, self._loop.time() + SETTLE_S + _TIMER_MARGIN_S
        )
        self._timer = self._loop.call_at(at, self._evaluate)

    def _evaluate(self) -> None:
        self._timer = None
        self._evaluate_by = 0.0
        now = self._loop.time()
        quarantine = self._state.quarantine
        changes = quarantine.update_holds(now)
        for change in changes:
            self._log_change(change, 'request', 'quarantine')
        suspects = quarantine.list_suspects()
        part_changes = quarantine.parts.update_holds(now, suspects)
        for part_change in part_changes:
            self._log_change(part_change, 'prompt part', 'quarantine.parts')
        if any(held.until for held in (*changes, *part_changes)):
            for stream in tuple(self._state.streams):
                stream.check_quarantine()

    def _log_change(self, change: HoldChange, kind: str, counter: str) -> None:
        now = self._loop.time()
        fields = {
            'first_request': change.crashes[0].request_id,
            'deaths': describe_crashes(change.crashes, now),
        }
        if change.until:
            self._state.counters[f'{counter}.held'] += 1
            left_ms = round((change.until - now) * MS_PER_S)
            _LOG.warning(f'{kind} quarantined', extra={**fields, 'ms': left_ms})
        else:
            self._state.counters[f'{counter}.released'] += 1
            _LOG.warning(f'{kind} released from quarantine', extra=fields)
