"""Facts about a request that follow from its id, for replicas and clients."""

from __future__ import annotations

from samphirerill.backends.framing import Framing

# First digits of the ids of requests with many events.
_LONG_PREFIXES = '012'
_LONG_FACTOR = 8
# A quarter of the responses end with their connection: those to ids with one of
# these digits at this position.
_FRAMING_DIGIT = 1
_UNFRAMED_DIGITS = '0123'

# Half of the requests.
_FAILURE_DIGIT = 2
_FAILURE_DIGITS = tuple('02468ace')


def count_events(request_id: str) -> int:
    """Return the number of events in the response to a request."""
    count = 8 + int(request_id[-2:], 16) % 24
    return count * _LONG_FACTOR if is_long(request_id) else count


def is_long(request_id: str) -> bool:
    """Return whether the response to a request has many events."""
    return request_id[0] in _LONG_PREFIXES


def fails_beside_copies(request_id: str) -> bool:
    """Return whether a replica that sends copies of responses fails a request."""
    return request_id[_FAILURE_DIGIT] in _FAILURE_DIGITS


def choose_framing(request_id: str) -> Framing:
    """Return how the response to a request is delimited."""
    if request_id[_FRAMING_DIGIT:].startswith(tuple(_UNFRAMED_DIGITS)):
        return Framing.CONNECTION
    return Framing.CHUNKS
