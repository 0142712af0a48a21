"""Checks of the head of a client's request."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.model import ClientLimits
    from samphirerill.relay.request import Request

_UNIQUE_HEADERS = frozenset((b'host', b'content-length', b'transfer-encoding'))


def validate_head(req: Request, limits: ClientLimits) -> int:
    """Return the status to reject a request head with, or 0.

    Heads that two parsers could read differently are rejected, which prevents
    request smuggling.
    """
    length = req.get(b'content-length') or b'0'
    if _is_ambiguous(req) or not length.isdigit():
        return HTTPStatus.BAD_REQUEST
    if req.method == b'CONNECT':
        return HTTPStatus.METHOD_NOT_ALLOWED
    if not req.target.startswith(b'/') or not req.target.isascii():
        return HTTPStatus.BAD_REQUEST
    if int(length) > limits.max_body_bytes:
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return 0


def _is_ambiguous(req: Request) -> bool:
    """Return whether two parsers could read the head differently."""
    names = [name for name, _ in req.headers if name in _UNIQUE_HEADERS]
    if len(names) != len(set(names)) or b'host' not in names:
        return True
    return b'content-length' in names and b'transfer-encoding' in names
