"""Structured logging: one event per line, as text or JSON.

Each component logs to its own channel. Prompts, answers and keys must not be
logged.
"""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any, TextIO

from logbook import Logger, StreamHandler, lookup_level

if TYPE_CHECKING:
    from logbook import LogRecord

    from samphirerill.node.log_sink import LogSink
    from samphirerill.settings.model import LogSettings


def get_logger(channel: str) -> Logger:
    """Return the logger of a component's channel."""
    return Logger(channel)


def start_logging(
    settings: LogSettings, stream: TextIO | LogSink | None = None
) -> None:
    """Write all logs to a stream in the configured format.

    Parameters
    ----------
    settings : LogSettings
        Level and format of the logs.
    stream : TextIO or LogSink, optional
        Standard error by default.
    """
    level = lookup_level(settings.level.upper())
    handler = StreamHandler(stream or sys.stderr, level=level)
    if settings.form == 'json':
        handler.formatter = _format_json
    else:
        handler.formatter = _format_text
    handler.push_application()


def _format_text(record: LogRecord, handler: Any) -> str:
    suffix = ''.join(
        f' {key}={extra_value}'
        for key, extra_value in _get_extra(record).items()
    )
    return (
        f'{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<7} '
        f'{record.channel}: {record.message}{suffix}'
    )


def _format_json(record: LogRecord, handler: Any) -> str:
    return json.dumps(
        {
            'time': f'{record.time:%Y-%m-%dT%H:%M:%S.%f}Z',
            'level': record.level_name.lower(),
            'part': record.channel,
            'event': record.message,
            **_get_extra(record),
        }
    )


def _get_extra(record: LogRecord) -> dict[str, Any]:
    return dict(record.extra)
