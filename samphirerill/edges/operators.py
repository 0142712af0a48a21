"""The operators' interface: configuration, state, metrics and drain.

Its threads may wait for the platform's service; what they need of the node's
state they ask the loop for.
"""

from __future__ import annotations

import hmac
import json
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
from samphirerill.edges.serving import (
    answer_json,
    answer_problem,
    read_bearer,
)
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.control.configuration_log import Change
    from samphirerill.settings.model import Settings

_LOG = get_logger('operators')


class Operations(Protocol):
    """What the node lets operators do; every method may block."""

    def read_state(self) -> dict[str, Any]:
        """Return the dump of this process."""

    def read_metrics(self) -> str:
        """Return the metrics as text."""

    def read_configuration(self) -> dict[str, Any]:
        """Return the version and document in force here."""

    def read_nodes(self) -> list[dict[str, Any]]:
        """Return which version each node has in force."""

    def read_history(self) -> list[Change]:
        """Return the accepted changes that are kept."""

    def submit_patch(
        self, patch: list[Any], base: int, author: str, *, dry_run: bool
    ) -> Change:
        """Submit a patch."""

    def drain(self) -> None:
        """Begin a graceful shutdown."""


def hash_key(key: str) -> str:
    """Return a key's digest as configurations and settings hold it."""
    return f'sha256:{sha256(key.encode()).hexdigest()}'


def matches_any(key: str, digests: tuple[str, ...]) -> bool:
    """Compare a key with every digest, in time that tells nothing."""
    digest = hash_key(key)
    found = False
    for known in digests:
        found = hmac.compare_digest(digest, known) or found
    return found


def _guarded(handler: Callable[..., bytes]) -> Callable[..., bytes]:
    """Let only operators in, and turn errors into problem documents."""

    @wraps(handler)
    def guard(self: OperatorsRoot, *args: str, **query: str) -> bytes:
        if not matches_any(read_bearer(), self.settings.operators.key_digests):
            return _refuse(
                HTTPStatus.UNAUTHORIZED, 'unknown-key', 'got no operator key'
            )
        try:
            return handler(self, *args, **query)
        except Exception as exc:
            return _explain(exc)

    return guard


class OperatorsRoot:
    """The handler tree of the operators' interface."""

    def __init__(self, settings: Settings, operations: Operations) -> None:
        self.settings = settings
        self._operations = operations

    @cherrypy.expose
    @_guarded
    def state(self) -> bytes:
        """Answer the dump of this process."""
        return answer_json(self._operations.read_state())

    @cherrypy.expose
    @_guarded
    def metrics(self) -> bytes:
        """Answer the metrics in the Prometheus text form."""
        text = self._operations.read_metrics()
        cherrypy.serving.response.headers['Content-Type'] = 'text/plain'
        return text.encode()

    @cherrypy.expose
    @_guarded
    def config(self) -> bytes:
        """Answer the configuration in force at this node."""
        return answer_json(self._operations.read_configuration())

    @cherrypy.expose
    @_guarded
    def nodes(self) -> bytes:
        """Answer which node has which version in force."""
        return answer_json(self._operations.read_nodes())

    @cherrypy.expose
    @_guarded
    def history(self) -> bytes:
        """Answer the accepted changes that are kept."""
        changes = self._operations.read_history()
        return answer_json([change.to_json() for change in changes])

    @cherrypy.expose
    @_guarded
    def patch(self) -> bytes:
        """Submit ``{"base": N, "patch": […]}``; ``dry_run`` writes nothing."""
        if cherrypy.request.method != 'POST':
            return _refuse(
                HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method', 'expected POST'
            )
        order = _read_order()
        change = self._operations.submit_patch(
            order['patch'],
            order['base'],
            str(order.get('author', 'operator')),
            dry_run=bool(order.get('dry_run')),
        )
        return answer_json(
            {'version': change.version, 'dry_run': bool(order.get('dry_run'))}
        )

    @cherrypy.expose
    @_guarded
    def drain(self) -> bytes:
        """Begin a graceful shutdown."""
        if cherrypy.request.method != 'POST':
            return _refuse(
                HTTPStatus.METHOD_NOT_ALLOWED, 'wrong-method', 'expected POST'
            )
        self._operations.drain()
        return answer_json({'draining': True})


class _BadOrderError(Exception):
    """The body is no order."""


def _read_order() -> dict[str, Any]:
    payload = cherrypy.request.wsgi_environ['wsgi.input'].read()
    try:
        order = json.loads(payload)
    except ValueError as exc:
        raise _BadOrderError(f'got a body that is no JSON: {exc}') from exc
    if not isinstance(order, dict):
        raise _BadOrderError('got no object, expected base and patch')
    if not isinstance(order.get('base'), int):
        raise _BadOrderError('got no base, expected the version patched')
    if not isinstance(order.get('patch'), list):
        raise _BadOrderError('got no patch, expected a list of operations')
    return order


def _explain(exc: Exception) -> bytes:
    """Answer an error by what it says of the configuration."""
    if isinstance(exc, StaleBaseError):
        return _refuse(HTTPStatus.CONFLICT, 'stale-base', str(exc))
    if isinstance(exc, InvalidPatchError):
        return _refuse(
            HTTPStatus.UNPROCESSABLE_ENTITY, 'invalid-patch', str(exc)
        )
    if isinstance(exc, UnknownResultError):
        return answer_problem(
            Problem(
                HTTPStatus.GATEWAY_TIMEOUT,
                'unknown-result',
                str(exc),
                Outcome.MAY_HAVE_RUN,
            )
        )
    if isinstance(exc, StoreError):
        return _refuse(
            HTTPStatus.SERVICE_UNAVAILABLE, 'store-unavailable', str(exc)
        )
    if isinstance(exc, _BadOrderError):
        return _refuse(HTTPStatus.BAD_REQUEST, 'bad-request', str(exc))
    _LOG.error('operator call failed', extra={'error': repr(exc)})
    return _refuse(
        HTTPStatus.INTERNAL_SERVER_ERROR, 'internal', type(exc).__name__
    )


def _refuse(status: int, code: str, detail: str) -> bytes:
    return answer_problem(Problem(status, code, detail, Outcome.NOT_RUN))
