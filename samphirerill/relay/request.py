"""A parsed request of a client."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers


@dataclass(slots=True)
class Request:
    """One parsed request; header names are in lower case.

    `arrived_at` is when the request was complete, on the loop's clock;
    `keeps_alive` is whether its connection stays open after the response, and
    `accepts_chunks` whether the response may be in chunks, as of HTTP/1.1;
    `received` is what was read of the body so far, until it is complete.
    """

    method: bytes
    target: bytes
    headers: Headers
    arrived_at: float
    body: bytes = b''
    keeps_alive: bool = True
    accepts_chunks: bool = True
    received: bytearray = field(default_factory=bytearray)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for known, text in self.headers:
            if known == name:
                return text
        return None
