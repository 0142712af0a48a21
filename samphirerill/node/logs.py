"""Structured logs: one event a line, readable or as JSON.

Each part of the node logs under a fixed prefix. Events carry names and
numbers; a prompt, an answer or a key is never handed to a logger.
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


def get_logger(part: str) -> Logger:
    """Return the logger of one part; its name prefixes every line."""
    return Logger(part)


def start_logging(
    settings: LogSettings, stream: TextIO | LogSink | None = None
) -> None:
    """Send all logs to a stream in the form the settings ask for.

    Parameters
    ----------
    settings : LogSettings
        Level and form.
    stream : TextIO or LogSink, optional
        Standard error if left out.
    """
    level = lookup_level(settings.level.upper())
    handler = StreamHandler(stream or sys.stderr, level=level)
    if settings.form == 'json':
        handler.formatter = _format_json
    else:
        handler.formatter = _format_text
    handler.push_application()


def _format_text(record: LogRecord, handler: Any) -> str:
    shown = ''.join(f' {key}={text}' for key, text in _facts(record).items())
    return (
        f'{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name:<7} '
        f'{record.channel}: {record.message}{shown}'
    )


def _format_json(record: LogRecord, handler: Any) -> str:
    return json.dumps(
        {
            'time': f'{record.time:%Y-%m-%dT%H:%M:%S.%f}Z',
            'level': record.level_name.lower(),
            'part': record.channel,
            'event': record.message,
            **_facts(record),
        }
    )


def _facts(record: LogRecord) -> dict[str, Any]:
    return dict(record.extra)
