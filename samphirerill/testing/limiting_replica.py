"""A fake replica that names how many requests a second it takes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.testing.platform_replicas import FakeReplica

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import Request


class LimitingReplica(FakeReplica):
    """A fake replica that names a request limit in each response.

    Attributes
    ----------
    request_limit : bytes
        The limit as it is sent; empty for none.
    """

    def __init__(self, replica_id: str, events: int = 5) -> None:
        super().__init__(replica_id, events)
        self.request_limit = b''

    def _build_headers(self, req: Request) -> Headers:
        headers = super()._build_headers(req)
        if self.request_limit:
            headers.append((b'Server-Limit', self.request_limit))
        return headers
