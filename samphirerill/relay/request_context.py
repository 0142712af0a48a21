"""A request with its route, service and client account."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import RetryClass
from samphirerill.quarantine.identity import (
    RequestParts,
    digest_parts,
    digest_request,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import ClientAccount, FleetRoute, Service
    from samphirerill.relay.platform_adapter import RequestMetadata
    from samphirerill.relay.request import Request
    from samphirerill.relay.server import ClientConnection


@dataclass(slots=True)
class RequestContext:
    """The context in which one request is served.

    `deadline` is the earlier of the client's deadline and the route's timeout,
    `client_deadline` the client's own; both are on the loop's clock.
    `strips_api_key` is whether to remove the API key from forwarded headers, as
    endpoints must not see the keys that clients authenticate with.
    """

    req: Request
    facts: RequestMetadata
    conn: ClientConnection
    route: FleetRoute
    service: Service
    account: ClientAccount | None
    deadline: float
    client_deadline: float
    strips_api_key: bool
    _identity: bytes = b''
    _parts: RequestParts | None = None

    @property
    def identity(self) -> bytes:
        """Return a digest that stays the same if a client sends a request again."""
        if not self._identity:
            self._identity = digest_request(
                self.account_name, self.req.target, self.req.body
            )
        return self._identity

    @property
    def parts(self) -> RequestParts:
        """Return the parts of the prompt that other requests may share."""
        if self._parts is None:
            self._parts = digest_parts(
                self.service.name,
                self.account_name,
                self.facts.prompt_parts,
            )
        return self._parts

    @property
    def request_id(self) -> str:
        """Return the client's id of the request."""
        return self.facts.request_id.decode('latin-1')

    @property
    def account_name(self) -> str:
        """Return the name of the client account; empty if there is none."""
        return '' if self.account is None else self.account.name

    @property
    def is_retryable(self) -> bool:
        """Return whether the request may be executed more than once."""
        if self.route.retry_class is RetryClass.STREAM:
            return self.route.is_resumable
        return self.route.retry_class is RetryClass.IDEMPOTENT

    @property
    def priority(self) -> int:
        """Return the priority; the account's own takes precedence."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority
