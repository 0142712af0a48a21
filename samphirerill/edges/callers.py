"""The callers' interface: completions, chat and plain services.

Threads read and check one request each and hand it, with its connection, to
the loop. Nothing here decides anything about accounts, routes or endpoints.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import cherrypy

from samphirerill.backends.service import drop_hop_by_hop
from samphirerill.core.commands import Outcome, Problem
from samphirerill.edges.bodies import (
    BadBodyError,
    read_model_body,
    read_timeout,
)
from samphirerill.edges.handoff import TAKERS
from samphirerill.edges.serving import (
    answer_json,
    answer_problem,
    read_bearer,
)
from samphirerill.node.answers import CallerRequest

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    Taker = Callable[[CallerRequest, socket.socket], None]

MODELS = 'models'
MODEL = 'model'
SERVICE = 'service'
_MAX_KEY = 255
_NOT_PASSED_ON = frozenset(
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


class CallersRoot:
    """The handler of every path.

    Parameters
    ----------
    take : callable
        Receives what was read, with the caller's connection.
    is_healthy : callable
        Tells whether the node takes requests; read from any thread.
    """

    def __init__(self, take: Taker, is_healthy: Callable[[], bool]) -> None:
        self._take = take
        self._is_healthy = is_healthy

    @cherrypy.expose
    def health(self) -> bytes:
        """Tell the balancer whether to send requests here."""
        healthy = self._is_healthy()
        status = HTTPStatus.OK if healthy else HTTPStatus.SERVICE_UNAVAILABLE
        return answer_json({'healthy': healthy}, status)

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Read the running request and hand it to the loop."""
        try:
            caller = _read_request()
        except BadBodyError as exc:
            return _refuse(HTTPStatus.BAD_REQUEST, 'bad-request', str(exc))
        except cherrypy.HTTPError as exc:
            return _refuse(exc.code, 'bad-request', exc.reason)
        if caller is None:
            return _refuse(
                HTTPStatus.NOT_FOUND, 'not-found', 'got an unknown path'
            )
        environ = cherrypy.request.wsgi_environ
        environ[TAKERS].append(lambda sock: self._take(caller, sock))
        return b''

    index = default


def _read_request() -> CallerRequest | None:
    environ = cherrypy.request.wsgi_environ
    path = environ['PATH_INFO']
    method = cherrypy.request.method
    if path == '/v1/models':
        return CallerRequest(MODELS, read_bearer(), '')
    if path in {'/v1/completions', '/v1/chat/completions'}:
        if method != 'POST':
            raise cherrypy.HTTPError(
                HTTPStatus.METHOD_NOT_ALLOWED, f'got {method}, expected POST'
            )
        return _read_model_request(is_chat='chat' in path)
    if path.startswith(_SERVICE_PREFIX):
        return _read_service_request(method, environ['REQUEST_URI'])
    return None


def _read_model_request(*, is_chat: bool) -> CallerRequest:
    body = read_model_body(_read_payload(), is_chat=is_chat)
    headers = cherrypy.request.headers
    return CallerRequest(
        MODEL,
        read_bearer(),
        body['model'],
        key=_read_key(),
        timeout_s=read_timeout(headers.get('Request-Timeout', '')),
        stream=bool(body.get('stream')),
        trace=bool(headers.get('Samphirerill-Trace')),
        body=body,
        is_chat=is_chat,
    )


def _read_service_request(method: str, uri: str) -> CallerRequest:
    route, slash, rest = uri.partition(_SERVICE_PREFIX)[2].partition('/')
    if not slash:
        route, mark, query = route.partition('?')
        rest = f'{mark}{query}'
    headers = cherrypy.request.headers
    return CallerRequest(
        SERVICE,
        read_bearer(),
        route,
        key=_read_key(),
        timeout_s=read_timeout(headers.get('Request-Timeout', '')),
        payload=_read_payload(),
        method=method,
        target=f'/{rest}',
        headers=[
            (name, text)
            for name, text in drop_hop_by_hop(list(headers.items()))
            if name.lower() not in _NOT_PASSED_ON
        ],
    )


def _read_payload() -> bytes:
    """Return the whole body; a cut-off or oversize one is refused."""
    environ = cherrypy.request.wsgi_environ
    source = environ['wsgi.input']
    try:
        payload: bytes = source.read()
    except Exception as exc:
        raise cherrypy.HTTPError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'got a body that can not be read: {type(exc).__name__}',
        ) from exc
    length = environ.get('CONTENT_LENGTH')
    if length and len(payload) != int(length):
        raise BadBodyError(
            f'got {len(payload)} bytes, expected {length}: the body is cut off'
        )
    return payload


def _read_key() -> str:
    key: str = cherrypy.request.headers.get('Idempotency-Key', '').strip('"')
    if len(key) > _MAX_KEY:
        raise BadBodyError(
            f'got an Idempotency-Key of {len(key)} characters, expected at '
            f'most {_MAX_KEY}'
        )
    return key


def _refuse(status: int, code: str, detail: str) -> bytes:
    return answer_problem(Problem(status, code, detail, Outcome.NOT_RUN))
