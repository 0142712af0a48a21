"""Calls to plain services: any method and body, with a buffered response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.endpoint_call import EndpointCall
from samphirerill.backends.endpoint_headers import LEAVING_HEADER
from samphirerill.core.events import ServiceAnswered

if TYPE_CHECKING:
    from samphirerill.backends.endpoint_call import EventSink
    from samphirerill.core.commands import Stage

MAX_RESPONSE_BYTES = 4_194_304
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        LEAVING_HEADER,
    )
)


class ServiceCall(EndpointCall):
    """One attempt on a plain service; buffers the response until complete.

    Partial responses are not forwarded: if the service fails halfway, the
    client must not receive a truncated body.
    """

    def __init__(
        self, attempt_id: str, stage: Stage, request: bytes, sink: EventSink
    ) -> None:
        super().__init__(attempt_id, stage, request, sink)
        self.body = b''

    def handle_body(self, body: bytes) -> None:
        """Buffer a chunk of the body; fail if the body is too large."""
        if self._closed:
            return
        self.body += body
        if len(self.body) > MAX_RESPONSE_BYTES:
            self._fail(
                f'got an answer over {MAX_RESPONSE_BYTES} bytes; '
                'it may have run'
            )

    def handle_end(self) -> None:
        """Emit ``ServiceAnswered`` for the complete response."""
        self._emit(ServiceAnswered(self.attempt_id, self.status))
        self.close()

    def take_body(self) -> bytes:
        """Return the complete body, and release it.

        Calls and their parsers refer to each other, so that they may stay in
        memory for long.
        """
        body = self.body
        self.body = b''
        return body

    def list_end_to_end_headers(self) -> list[tuple[str, str]]:
        """Return the end-to-end headers of the response."""
        return drop_hop_by_hop(self.headers)


def drop_hop_by_hop(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers without hop-by-hop ones."""
    return [
        (name, header_value)
        for name, header_value in headers
        if name.lower() not in _HOP_BY_HOP
    ]
