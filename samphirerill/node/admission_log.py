"""Log lines on requests that wait for capacity or are rejected."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.node.log_rate import LogRate
from samphirerill.node.logs import get_logger
from samphirerill.sharing.records import AdmissionRecords

if TYPE_CHECKING:
    from random import Random

    from samphirerill.sharing.model import WorkItem

_LOG = get_logger('admission')
LEVEL_CHANGED = 'level changed'
ADMITTED = 'admitted after waiting'
REJECTED = 'rejected by prediction'
REJECTED_LATER = 'rejected after waiting'
# In the reasons of `sharing.prediction.find_rejection`.
PREDICTED_WAIT = 'predicted wait'
_LINES_PER_S = 10
# Lines on requests must not keep those on levels out of the log.
_RESERVED_LINES = 2
# With a shorter wait, the first event can still be on time.
_MIN_LOGGED_WAIT_S = 0.1
# A request that is rejected on arrival has not waited; what was served shortly
# before tells who uses the capacity.
_SERVED_BEFORE_S = 1.0
_MS_PER_S = 1000


class AdmissionLog:
    """Writes the log lines of all services of a node, at most 10 per second.

    A line tells how many were suppressed since the one before.
    """

    __slots__ = ('_rate',)

    def __init__(self) -> None:
        self._rate = LogRate(_LINES_PER_S)

    def may_log_request(self, now: float) -> bool:
        """Return whether to log a line on a request now; it is counted."""
        return self._rate.may_log(now, _RESERVED_LINES)

    def may_log_level(self, now: float) -> bool:
        """Return whether to log a change of level now; it is counted."""
        return self._rate.may_log(now)

    def write(self, event: str, **fields: Any) -> None:
        """Write a line."""
        suppressed = self._rate.take_suppressed()
        if suppressed:
            fields['suppressed'] = suppressed
        _LOG.info(event, extra=fields)


class LoggedRecords(AdmissionRecords):
    """The admission records of one service, which also writes log lines.

    Parameters
    ----------
    service : str
        The name of the service.
    random : Random
        Draws which small accounts are listed.
    log : AdmissionLog
        Writes the lines of all services of the node.
    """

    __slots__ = ('_log',)

    def __init__(self, service: str, random: Random, log: AdmissionLog) -> None:
        super().__init__(service, random)
        self._log = log

    def note_admitted(
        self,
        item: WorkItem,
        level: int,
        predicted_s: float,
        waited_s: float,
        now: float,
    ) -> None:
        """Count a request that takes capacity now; log it if it waited."""
        if waited_s >= _MIN_LOGGED_WAIT_S and self._log.may_log_request(now):
            self._write(
                ADMITTED,
                item,
                level,
                predicted_ms=round(predicted_s * _MS_PER_S),
                waited_ms=round(waited_s * _MS_PER_S),
                served_before=self.describe_served_since(now - waited_s),
            )
        super().note_admitted(item, level, predicted_s, waited_s, now)

    def note_rejected(
        self,
        item: WorkItem,
        level: int,
        reason: str,
        retry_s: float,
        now: float,
    ) -> None:
        """Count and log a request that is rejected before any part ran."""
        super().note_rejected(item, level, reason, retry_s, now)
        if self._log.may_log_request(now):
            self._write(
                REJECTED if PREDICTED_WAIT in reason else REJECTED_LATER,
                item,
                level,
                reason=reason,
                retry_ms=round(retry_s * _MS_PER_S),
                served_before=self.describe_served_since(
                    now - _SERVED_BEFORE_S
                ),
            )

    def note_level(self, level: int | None, now: float) -> bool:
        """Note the highest level that may take capacity; log a change."""
        lasted_s = now - self.level_since if self.level_changes else None
        before = self.level
        has_changed = super().note_level(level, now)
        if has_changed and self._log.may_log_level(now):
            self._log.write(
                LEVEL_CHANGED,
                service=self.service,
                sharing_level=level,
                before=before,
                lasted_s=lasted_s,
            )
        return has_changed

    def _write(
        self, event: str, item: WorkItem, level: int, **fields: Any
    ) -> None:
        self._log.write(
            event,
            request=item.request_id,
            service=self.service,
            account=item.account,
            rank=item.rank,
            # The log's own field `level` is the severity.
            sharing_level=level,
            level_in_force=self.level,
            **fields,
        )
