"""How the body of an HTTP/1.1 response is delimited (RFC 9112, section 6.3)."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.connection import ResponseHead

_BODILESS_STATUSES = frozenset((204, 304))


class Framing(Enum):
    """What marks the end of a response; the value is for logs."""

    UNKNOWN = 'unknown'
    NO_BODY = 'no body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def find_framing(head: ResponseHead, *, is_head_request: bool) -> Framing:
    """Return what marks the end of a response.

    Parameters
    ----------
    head : ResponseHead
        The complete head.
    is_head_request : bool
        Whether it answers a HEAD request, which has no body.
    """
    if is_head_request or head.status in _BODILESS_STATUSES:
        return Framing.NO_BODY
    if head.get(b'transfer-encoding') is not None:
        return Framing.CHUNKS
    if head.get(b'content-length') is not None:
        return Framing.LENGTH
    return Framing.CONNECTION
