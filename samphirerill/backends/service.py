"""Calls to plain services: any method and body, the answer passed on whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.calls import Call
from samphirerill.core.events import ServiceAnswered

if TYPE_CHECKING:
    from samphirerill.backends.calls import Sink

MAX_ANSWER_BYTES = 4_194_304
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
    )
)


class ServiceCall(Call):
    """One attempt at a plain service; holds its answer until it is whole.

    A part of an answer is never passed on: a service that dies halfway
    would leave the caller with half a truth.
    """

    def __init__(self, attempt_id: str, request: bytes, sink: Sink) -> None:
        super().__init__(attempt_id, request, sink)
        self.body = b''

    def on_body(self, body: bytes) -> None:
        """Keep a part of the answer."""
        self.body += body
        if len(self.body) > MAX_ANSWER_BYTES:
            self._break(
                f'got an answer over {MAX_ANSWER_BYTES} bytes; it may have run'
            )

    def on_message_complete(self) -> None:
        """Tell that the answer is whole."""
        self._tell(ServiceAnswered(self.attempt_id, self.status))
        self.close()

    def list_headers(self) -> list[tuple[str, str]]:
        """Return the answer's headers that concern the caller."""
        return drop_hop_by_hop(self.headers)


def drop_hop_by_hop(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers without those that concern one connection only."""
    return [
        (name, text)
        for name, text in headers
        if name.lower() not in _HOP_BY_HOP
    ]
