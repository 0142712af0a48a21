"""What an endpoint says of itself in the headers of its answers.

``Retry-After`` with status 503 or 429 asks this node for a back-off: in seconds, with
fractions allowed, or until an HTTP date. ``Server-Leaving: 1``, with any
status, says that this process of the endpoint leaves. ``Server-Limit``, with any
status, names how many requests a second it takes from all nodes together.
"""

from __future__ import annotations

import asyncio
import re
import time
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.endpoint_events import (
    EndpointLeaving,
    EndpointNamedLimit,
    EndpointRequestedBackOff,
    RequestLimitIgnored,
    RetryAfterIgnored,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.backends.endpoint_call import EventSink

Headers = list[tuple[str, str]]

LEAVING_HEADER = 'server-leaving'
REQUEST_LIMIT_HEADER = 'server-limit'
_LEAVING_TEXT = '1'
_RETRY_AFTER = 'retry-after'
_BACK_OFF_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_DECIMAL = re.compile(r'[0-9]{1,32}(\.[0-9]{1,32})?')
_MAX_LOGGED_CHARACTERS = 40


def emit_endpoint_events(
    endpoint: str, address: str, status: int, headers: Headers, sink: EventSink
) -> bool:
    """Emit what an answer's headers say.

    Returns whether the endpoint wants no new requests.

    Parameters
    ----------
    endpoint, address : str
        Where the request was sent.
    status : int
        The status of the answer.
    headers : list of tuple
        The headers of the answer, without trailers.
    sink : EventSink
        Receives the events.
    """
    is_leaving = _LEAVING_TEXT in _list_texts(headers, LEAVING_HEADER)
    if is_leaving:
        sink.apply(EndpointLeaving(endpoint, address))
    texts = _list_texts(headers, _RETRY_AFTER)
    if status not in _BACK_OFF_STATUSES or not texts:
        return is_leaving
    received = ', '.join(texts)[:_MAX_LOGGED_CHARACTERS]
    back_off_s = _find_longest(map(parse_retry_after_s, texts))
    if back_off_s is None:
        sink.apply(RetryAfterIgnored(endpoint, address, received))
        return is_leaving
    until = asyncio.get_running_loop().time() + back_off_s
    sink.apply(EndpointRequestedBackOff(endpoint, address, until, received))
    return True


def emit_request_limit(
    endpoint: str,
    address: str,
    headers: Headers,
    sent_at: float,
    sink: EventSink,
) -> None:
    """Emit which request rate the answer to a request names, if it names one.

    Answers to health checks say nothing about it.

    Parameters
    ----------
    endpoint, address : str
        Where the request was sent.
    headers : list of tuple
        The headers of the answer, without trailers.
    sent_at : float
        When the request was sent, on the loop's clock.
    sink : EventSink
        Receives the events.
    """
    texts = _list_texts(headers, REQUEST_LIMIT_HEADER)
    if not texts:
        sink.apply(EndpointNamedLimit(endpoint, address, None, sent_at))
        return
    rates = [float(text) for text in texts if _DECIMAL.fullmatch(text)]
    if len(rates) < len(texts):
        received = ', '.join(texts)[:_MAX_LOGGED_CHARACTERS]
        sink.apply(RequestLimitIgnored(endpoint, address, received))
        return
    sink.apply(EndpointNamedLimit(endpoint, address, min(rates), sent_at))


def parse_retry_after_s(text: str) -> float | None:
    """Return the seconds that a ``Retry-After`` asks for, None if invalid."""
    stripped = text.strip()
    if _DECIMAL.fullmatch(stripped):
        return float(stripped)
    try:
        return max(0, parsedate_to_datetime(stripped).timestamp() - time.time())
    except (ValueError, OverflowError):
        return None


def _list_texts(headers: Headers, wanted: str) -> list[str]:
    return [text.strip() for name, text in headers if name.lower() == wanted]


def _find_longest(back_offs: Iterable[float | None]) -> float | None:
    valid = [seconds for seconds in back_offs if seconds is not None]
    return max(valid, default=None)
