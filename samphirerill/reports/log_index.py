"""Parse nodes' logs: JSON lines, each with an optional prefix."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING, Any

from msgspec import DecodeError, json

if TYPE_CHECKING:
    from collections.abc import Iterable

_RECORD_START = '{"time'


@dataclass(slots=True)
class LogRecord:
    """One log record; `time_s` is in seconds since the Unix epoch."""

    time_s: float
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class LogIndex:
    """Log records of several nodes, grouped by request.

    `without_request` holds the records that name no request; `skipped_lines`
    counts the non-empty lines that are not log records.
    """

    by_request: defaultdict[str, list[LogRecord]] = field(
        default_factory=partial(defaultdict, list)
    )
    without_request: list[LogRecord] = field(default_factory=list)
    skipped_lines: int = 0

    def add_lines(self, lines: Iterable[str]) -> None:
        """Parse and add the lines of one log."""
        for text in lines:
            record = _parse_line(text)
            if record is None:
                self.skipped_lines += bool(text.strip())
                continue
            request = record.fields.get('request', '')
            records = (
                self.by_request[request] if request else self.without_request
            )
            records.append(record)


def _parse_line(text: str) -> LogRecord | None:
    start = text.find(_RECORD_START)
    if start < 0:
        return None
    try:
        fields = json.decode(text[start:])
        time_s = datetime.fromisoformat(fields['time']).timestamp()
        return LogRecord(time_s, fields['event'], fields)
    except (DecodeError, KeyError, TypeError, ValueError):
        return None
