"""A parsed request of a client."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers

# A request without its bytes: the lists of headers and other objects.
_OBJECT_BYTES = 2048
# A body that may stay with its connection until the next request.
_SMALL_BYTES = 4096


@dataclass(slots=True)
class Request:
    """One parsed request; header names are in lower case.

    `arrived_at` is when the request was complete, on the loop's clock;
    `keeps_alive` is whether its connection stays open after the response, and
    `accepts_chunks` whether the response may be in chunks, as of HTTP/1.1;
    `head_bytes` is the size of the head that was received, and `received` what was read of the body so far, until it is complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    arrived_at: float
    body: bytes = b''
    keeps_alive: bool = True
    accepts_chunks: bool = True
    head_bytes: int = 0
    received: bytearray = field(default_factory=bytearray)

    @property
    def size(self) -> int:
        """Memory that the complete request takes up, in bytes."""
        return self.head_bytes + len(self.body) + _OBJECT_BYTES

    def without_body(self) -> Request:
        """Return the request for logs; a copy if that releases a large body."""
        return (
            replace(self, body=b'') if len(self.body) > _SMALL_BYTES else self
        )

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for known, text in self.headers:
            if known == name:
                return text
        return None
