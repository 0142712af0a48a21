"""HTTP server for CherryPy handlers, and helpers for their responses."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

import cherrypy

from samphirerill.core.commands import Outcome, Problem
from samphirerill.edges.handoff import HandoffServer
from samphirerill.node.responses import (
    OUTCOME_HEADER,
    build_problem_document,
    format_retry_after,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_CHERRYPY_CONFIG = {
    'request.show_tracebacks': False,
    'request.show_mismatched_params': False,
    'request.process_request_body': False,
    'request.methods_with_bodies': (),
    'tools.trailing_slash.on': False,
}
_PROBLEM_MEDIA_TYPE = 'application/problem+json'


class ListenError(Exception):
    """The server cannot listen on a port."""

    def __init__(self, host: str, port: int, reason: object) -> None:
        super().__init__(
            f'got {reason} for {host}:{port}, expected a free port; choose '
            'another in the settings or stop the process that uses it',
        )


class HttpServer:
    """An HTTP server on one port, with its own thread pool.

    Parameters
    ----------
    root : object
        The CherryPy handler tree.
    host, port : str, int
        The address to listen on; port 0 selects a free port.
    threads : int
        The size of the thread pool.
    max_body_bytes : int
        The largest request body that is accepted.
    read_timeout_s : float
        How long a client may take to send a request.
    max_connections : int
        How many connections may wait for a complete request.
    """

    def __init__(
        self,
        root: object,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        read_timeout_s: float,
        max_connections: int,
    ) -> None:
        self._server = HandoffServer(
            (host, port),
            _build_application(root),
            numthreads=threads,
            server_name='samphirerill',
            timeout=read_timeout_s,
        )
        self._server.max_request_body_size = max_body_bytes
        self._server.max_request_header_size = 65_536
        self._server.max_connections = max_connections
        self._thread: threading.Thread | None = None

    def start(self) -> int:
        """Listen, serve in background threads and return the port.

        Raises
        ------
        ListenError
            The address is in use or unavailable.
        """
        host, port = self._server.bind_addr
        try:
            self._server.prepare()
        except OSError as exc:
            raise ListenError(host, port, exc) from exc
        self._thread = threading.Thread(
            target=self._server.serve, name='http', daemon=True
        )
        self._thread.start()
        return int(self._server.bind_addr[1])

    def stop(self) -> None:
        """Stop the server; connections that were handed off stay open."""
        self._server.stop()


def render_problem(problem: Problem) -> bytes:
    """Render the current response as a problem document (RFC 9457)."""
    response = cherrypy.serving.response
    response.status = problem.status
    response.headers['Content-Type'] = _PROBLEM_MEDIA_TYPE
    response.headers[OUTCOME_HEADER] = problem.outcome.value
    if problem.retry_after_s:
        response.headers['Retry-After'] = format_retry_after(problem)
    return json.dumps(build_problem_document(problem, '')).encode()


def render_json(document: Any, status: int = 200) -> bytes:
    """Render the current response as a JSON document."""
    response = cherrypy.serving.response
    response.status = status
    response.headers['Content-Type'] = 'application/json'
    return json.dumps(document, indent=1).encode()


def read_bearer_token() -> str:
    """Return the bearer token of the current request, or an empty string."""
    scheme, _, key = cherrypy.request.headers.get(
        'Authorization', ''
    ).partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _build_application(root: object) -> Callable[..., Any]:
    cherrypy.log.screen = False
    cherrypy.config.update({'engine.autoreload.on': False})
    config = {
        '/': {**_CHERRYPY_CONFIG, 'error_page.default': _render_error_page}
    }
    application = cherrypy.Application(root, '', config)
    application.log.screen = False
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def _render_error_page(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Render an error that CherryPy raised, without its traceback."""
    status_code, _, reason = status.partition(' ')
    code = reason.lower().replace(' ', '-')
    problem = Problem(int(status_code), code, message, Outcome.NOT_RUN)
    return render_problem(problem)
