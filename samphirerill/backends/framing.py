"""How the body of an HTTP/1.1 response is delimited (RFC 9112, section 6.3)."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_BODILESS_STATUSES = frozenset((204, 304))


class Framing(Enum):
    """What marks the end of a response; the value is for logs and metrics."""

    UNKNOWN = 'unknown'
    NO_BODY = 'no_body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


def find_framing(
    status: int, names: Iterable[bytes], *, is_head_request: bool = False
) -> Framing:
    """Return what marks the end of a response.

    Parameters
    ----------
    status : int
        Its status.
    names : iterable of bytes
        The names of its headers, in lower case.
    is_head_request : bool
        Whether it answers a HEAD request, which has no body.
    """
    if is_head_request or status in _BODILESS_STATUSES:
        return Framing.NO_BODY
    present = set(names)
    if b'transfer-encoding' in present:
        return Framing.CHUNKS
    if b'content-length' in present:
        return Framing.LENGTH
    return Framing.CONNECTION
