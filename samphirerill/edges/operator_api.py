"""The HTTP API for operators: configuration, state, metrics and drain.

Handlers run in server threads, so they may block on the platform's key-value
store. Operations that need the node's state query it on the event loop.
"""

from __future__ import annotations

import hmac
from functools import wraps
from hashlib import sha256
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

import cherrypy

from samphirerill.backends.store import StoreError
from samphirerill.control.configuration_log import (
    StaleBaseError,
    UnknownResultError,
)
from samphirerill.control.errors import InvalidPatchError
from samphirerill.core.commands import Outcome, Problem
from samphirerill.decoding.decoders import parse_json
from samphirerill.edges.http_server import (
    read_bearer_token,
    render_json,
    render_problem,
)
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.control.configuration_log import Change
    from samphirerill.settings.model import Settings

_LOG = get_logger('operators')


class Operations(Protocol):
    """Operations of a node that operators may call; each may block."""

    def read_state(self) -> dict[str, Any]:
        """Return a snapshot of this process's state."""

    def read_metrics(self) -> str:
        """Return the metrics in the Prometheus text format."""

    def read_configuration(self) -> dict[str, Any]:
        """Return the version and document of the active configuration."""

    def read_node_versions(self) -> list[dict[str, Any]]:
        """Return the active configuration version of each node."""

    def read_changes(self) -> list[Change]:
        """Return the retained configuration changes."""

    def submit_patch(
        self, patch: list[Any], base: int, author: str, *, dry_run: bool
    ) -> Change:
        """Apply a patch to version `base` of the configuration.

        With `dry_run` the patch is validated but not stored.
        """

    def drain(self) -> None:
        """Start a graceful shutdown."""


def hash_api_key(key: str) -> str:
    """Return a key's digest in the format that documents store."""
    return f'sha256:{sha256(key.encode()).hexdigest()}'


def matches_any_digest(key: str, digests: tuple[str, ...]) -> bool:
    """Return whether a key matches a digest, in constant time."""
    digest = hash_api_key(key)
    is_match = False
    for expected in digests:
        is_match = hmac.compare_digest(digest, expected) or is_match
    return is_match


def _require_operator_key(
    handler: Callable[..., bytes],
) -> Callable[..., bytes]:
    """Require an operator key and report errors as problem documents."""

    @wraps(handler)
    def check_key_and_handle(
        self: OperatorApi, *args: str, **query: str
    ) -> bytes:
        if not matches_any_digest(
            read_bearer_token(), self.settings.operators.key_digests
        ):
            return _reject(
                HTTPStatus.UNAUTHORIZED, 'unknown-key', 'got no operator key'
            )
        try:
            return handler(self, *args, **query)
        except Exception as exc:
            return _render_exception(exc)

    return check_key_and_handle


class OperatorApi:
    """CherryPy handlers of the operator API; one method per path."""

    def __init__(self, settings: Settings, operations: Operations) -> None:
        self.settings = settings
        self._operations = operations

    @cherrypy.expose
    @_require_operator_key
    def state(self) -> bytes:
        """Return a snapshot of this process's state."""
        return render_json(self._operations.read_state())

    @cherrypy.expose
    @_require_operator_key
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        text = self._operations.read_metrics()
        cherrypy.serving.response.headers['Content-Type'] = 'text/plain'
        return text.encode()

    @cherrypy.expose
    @_require_operator_key
    def config(self) -> bytes:
        """Return the configuration that is active on this node."""
        return render_json(self._operations.read_configuration())

    @cherrypy.expose
    @_require_operator_key
    def nodes(self) -> bytes:
        """Return the active configuration version of each node."""
        return render_json(self._operations.read_node_versions())

    @cherrypy.expose
    @_require_operator_key
    def history(self) -> bytes:
        """Return the retained configuration changes."""
        changes = self._operations.read_changes()
        return render_json([change.to_json() for change in changes])

    @cherrypy.expose
    @_require_operator_key
    def patch(self) -> bytes:
        """Apply ``{"base": N, "patch": […]}``; ``dry_run`` only validates."""
        if cherrypy.request.method != 'POST':
            return _reject(
                HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method', 'expected POST'
            )
        submission = _parse_patch_request()
        change = self._operations.submit_patch(
            submission['patch'],
            submission['base'],
            str(submission.get('author', 'operator')),
            dry_run=bool(submission.get('dry_run')),
        )
        return render_json(
            {
                'version': change.version,
                'dry_run': bool(submission.get('dry_run')),
            }
        )

    @cherrypy.expose
    @_require_operator_key
    def drain(self) -> bytes:
        """Start a graceful shutdown."""
        if cherrypy.request.method != 'POST':
            return _reject(
                HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method', 'expected POST'
            )
        self._operations.drain()
        return render_json({'draining': True})


class _InvalidPatchRequestError(Exception):
    """The body of a patch request is malformed."""


def _parse_patch_request() -> dict[str, Any]:
    payload = cherrypy.request.wsgi_environ['wsgi.input'].read()
    try:
        submission = parse_json(payload)
    except ValueError as exc:
        raise _InvalidPatchRequestError(
            f'got a body that is no JSON: {exc}'
        ) from exc
    if not isinstance(submission, dict):
        raise _InvalidPatchRequestError(
            'got no object, expected base and patch'
        )
    if not isinstance(submission.get('base'), int):
        raise _InvalidPatchRequestError(
            'got no base, expected the version patched'
        )
    if not isinstance(submission.get('patch'), list):
        raise _InvalidPatchRequestError(
            'got no patch, expected a list of operations'
        )
    return submission


def _render_exception(exc: Exception) -> bytes:
    """Map an exception to a problem document."""
    if isinstance(exc, StaleBaseError):
        return _reject(HTTPStatus.CONFLICT, 'stale-base', str(exc))
    if isinstance(exc, InvalidPatchError):
        return _reject(
            HTTPStatus.UNPROCESSABLE_ENTITY, 'invalid-patch', str(exc)
        )
    if isinstance(exc, UnknownResultError):
        return render_problem(
            Problem(
                HTTPStatus.GATEWAY_TIMEOUT,
                'unknown-result',
                str(exc),
                Outcome.MAY_HAVE_RUN,
            )
        )
    if isinstance(exc, StoreError):
        return _reject(
            HTTPStatus.SERVICE_UNAVAILABLE, 'store-unavailable', str(exc)
        )
    if isinstance(exc, _InvalidPatchRequestError):
        return _reject(HTTPStatus.BAD_REQUEST, 'bad-request', str(exc))
    _LOG.error('operator call failed', extra={'error': repr(exc)})
    return _reject(
        HTTPStatus.INTERNAL_SERVER_ERROR, 'internal', type(exc).__name__
    )


def _reject(status: int, code: str, detail: str) -> bytes:
    return render_problem(Problem(status, code, detail, Outcome.NOT_RUN))
