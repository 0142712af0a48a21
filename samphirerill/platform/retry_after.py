"""Parse the ``Retry-After`` header of responses."""

from __future__ import annotations

import re
import time
from contextlib import suppress
from datetime import UTC, datetime

from samphirerill.relay.platform_adapter import RetryAfter

_MAX_TEXT_BYTES = 40
_SECONDS = re.compile(r'\d{1,10}(\.\d{1,10})?')
# The formats of an HTTP-date; recipients have to accept the obsolete ones too.
_DATE_FORMATS = (
    '%a, %d %b %Y %H:%M:%S GMT',
    '%A, %d-%b-%y %H:%M:%S GMT',
    '%a %b %d %H:%M:%S %Y',
)


def parse_retry_after(text: bytes, date: bytes) -> RetryAfter:
    """Return the parsed header.

    Parameters
    ----------
    text : bytes
        The value: seconds, with or without a fraction, or a date.
    date : bytes
        The ``Date`` header of the same response, against which a date is
        measured, so that clocks need not agree; empty if there is none.
    """
    shown = text[:_MAX_TEXT_BYTES].decode('latin-1')
    if len(text) > _MAX_TEXT_BYTES:
        return RetryAfter(shown, None)
    if _SECONDS.fullmatch(shown):
        return RetryAfter(shown, float(shown))
    until = _parse_date(shown)
    if until is None:
        return RetryAfter(shown, None)
    since = _parse_date(date.decode('latin-1'))
    reference = time.time() if since is None else since
    return RetryAfter(shown, max(0.0, until - reference))


def _parse_date(text: str) -> float | None:
    """Return a date as a Unix time; none if it is invalid."""
    for date_format in _DATE_FORMATS:
        with suppress(ValueError):
            parsed = datetime.strptime(text, date_format)
            return parsed.replace(tzinfo=UTC).timestamp()
    return None
