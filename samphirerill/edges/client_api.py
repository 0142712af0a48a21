"""The HTTP API for clients: completions, chat and plain services.

Each server thread reads and validates one request at a time and hands it,
with its connection, to the event loop. Authentication, routing and the choice
of endpoints happen there, not in this module.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import cherrypy

from samphirerill.backends.service_call import drop_hop_by_hop
from samphirerill.core.commands import Outcome, Problem
from samphirerill.edges.handoff import SOCKET_HANDLERS
from samphirerill.edges.http_server import (
    read_bearer_token,
    render_json,
    render_problem,
)
from samphirerill.edges.request_validation import (
    InvalidRequestError,
    parse_completion_body,
    parse_request_timeout,
)
from samphirerill.node.responses import ClientRequest

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    RequestHandler = Callable[[ClientRequest, socket.socket], None]

MODEL_LIST_REQUEST = 'models'
MODEL_REQUEST = 'model'
SERVICE_REQUEST = 'service'
_MAX_IDEMPOTENCY_KEY_LENGTH = 255
_HEADERS_NOT_FORWARDED = frozenset(
    (
        'authorization',
        'host',
        'idempotency-key',
        'remote-addr',
        'request-timeout',
        'samphirerill-account',
        'samphirerill-trace',
    )
)
_SERVICE_PREFIX = '/svc/'


class ClientApi:
    """CherryPy handler for all paths of the client API.

    Parameters
    ----------
    handle_request : callable
        Called in a server thread with the parsed request and its socket.
    is_healthy : callable
        Returns whether the node accepts requests; called from any thread.
    """

    def __init__(
        self, handle_request: RequestHandler, is_healthy: Callable[[], bool]
    ) -> None:
        self._handle_request = handle_request
        self._is_healthy = is_healthy

    @cherrypy.expose
    def health(self) -> bytes:
        """Answer the load balancer's health check."""
        healthy = self._is_healthy()
        status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
        return render_json({'healthy': healthy}, status)

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Parse the current request and hand it to the event loop."""
        try:
            request = _parse_request()
        except InvalidRequestError as exc:
            return _reject(HTTPStatus.BAD_REQUEST, 'bad-request', str(exc))
        except cherrypy.HTTPError as exc:
            return _reject(exc.code, 'bad-request', exc.reason)
        if request is None:
            return _reject(
                HTTPStatus.NOT_FOUND, 'not-found', 'got an unknown path'
            )
        environ = cherrypy.request.wsgi_environ
        environ[SOCKET_HANDLERS].append(
            lambda sock: self._handle_request(request, sock)
        )
        return b''

    index = default


def _parse_request() -> ClientRequest | None:
    environ = cherrypy.request.wsgi_environ
    path = environ['PATH_INFO']
    method = cherrypy.request.method
    if path == '/v1/models':
        return ClientRequest(MODEL_LIST_REQUEST, read_bearer_token(), '')
    if path in {'/v1/completions', '/v1/chat/completions'}:
        if method != 'POST':
            raise cherrypy.HTTPError(
                HTTPStatus.METHOD_NOT_ALLOWED, f'got {method}, expected POST'
            )
        return _parse_model_request(is_chat='chat' in path)
    if path.startswith(_SERVICE_PREFIX):
        return _parse_service_request(method, environ['REQUEST_URI'])
    return None


def _parse_model_request(*, is_chat: bool) -> ClientRequest:
    body = parse_completion_body(_read_payload(), is_chat=is_chat)
    headers = cherrypy.request.headers
    return ClientRequest(
        MODEL_REQUEST,
        read_bearer_token(),
        body['model'],
        key=_read_idempotency_key(),
        timeout_s=parse_request_timeout(headers.get('Request-Timeout', '')),
        stream=bool(body.get('stream')),
        trace=bool(headers.get('Samphirerill-Trace')),
        body=body,
        is_chat=is_chat,
    )


def _parse_service_request(method: str, uri: str) -> ClientRequest:
    route, slash, rest = uri.partition(_SERVICE_PREFIX)[2].partition('/')
    if not slash:
        route, question_mark, query = route.partition('?')
        rest = f'{question_mark}{query}'
    headers = cherrypy.request.headers
    return ClientRequest(
        SERVICE_REQUEST,
        read_bearer_token(),
        route,
        key=_read_idempotency_key(),
        timeout_s=parse_request_timeout(headers.get('Request-Timeout', '')),
        payload=_read_payload(),
        method=method,
        target=f'/{rest}',
        headers=[
            (name, header)
            for name, header in drop_hop_by_hop(list(headers.items()))
            if name.lower() not in _HEADERS_NOT_FORWARDED
        ],
    )


def _read_payload() -> bytes:
    """Return the request body; reject it if truncated or too large."""
    environ = cherrypy.request.wsgi_environ
    body_stream = environ['wsgi.input']
    try:
        payload: bytes = body_stream.read()
    except Exception as exc:
        raise cherrypy.HTTPError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'got a body that can not be read: {type(exc).__name__}',
        ) from exc
    declared_length = environ.get('CONTENT_LENGTH')
    if declared_length and len(payload) != int(declared_length):
        raise InvalidRequestError(
            f'got {len(payload)} bytes, expected {declared_length}: '
            'the body is cut off'
        )
    return payload


def _read_idempotency_key() -> str:
    key: str = cherrypy.request.headers.get('Idempotency-Key', '').strip('"')
    if len(key) > _MAX_IDEMPOTENCY_KEY_LENGTH:
        raise InvalidRequestError(
            f'got an Idempotency-Key of {len(key)} characters, expected at '
            f'most {_MAX_IDEMPOTENCY_KEY_LENGTH}'
        )
    return key


def _reject(status: int, code: str, detail: str) -> bytes:
    return render_problem(Problem(status, code, detail, Outcome.NOT_RUN))
