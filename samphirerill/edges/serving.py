"""Run a CherryPy application on a server that can hand connections off."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

import cherrypy

from samphirerill.core.commands import Outcome, Problem
from samphirerill.edges.handoff import HandoffServer
from samphirerill.node.answers import OUTCOME_HEADER, describe_problem

if TYPE_CHECKING:
    from collections.abc import Callable

_QUIET = {
    'request.show_tracebacks': False,
    'request.show_mismatched_params': False,
    'request.process_request_body': False,
    'request.methods_with_bodies': (),
    'tools.trailing_slash.on': False,
}
_PROBLEM_TYPE = 'application/problem+json'


class ListenError(Exception):
    """A port can't be listened on."""

    def __init__(self, host: str, port: int, reason: object) -> None:
        super().__init__(
            f'got {reason} for {host}:{port}, expected a free port; choose '
            'another in the settings or end the process that has it',
        )


class HttpServer:
    """One listening port with its application and threads.

    Parameters
    ----------
    root : object
        The CherryPy handler tree.
    host, port : str, int
        Where to listen; port 0 picks a free one.
    threads : int
        How many requests are read at once.
    """

    def __init__(
        self,
        root: object,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        read_timeout_s: float,
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
        self._thread: threading.Thread | None = None

    def start(self) -> int:
        """Listen and serve in threads of its own; return the port.

        Raises
        ------
        ListenError
            The port is in use or not to be had.
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
        """Stop listening; connections that were handed off live on."""
        self._server.stop()


def answer_problem(problem: Problem) -> bytes:
    """Set the running CherryPy response to a problem document."""
    response = cherrypy.serving.response
    response.status = problem.status
    response.headers['Content-Type'] = _PROBLEM_TYPE
    response.headers[OUTCOME_HEADER] = problem.outcome.value
    if problem.retry_after_s:
        response.headers['Retry-After'] = str(round(problem.retry_after_s))
    return json.dumps(describe_problem(problem, '')).encode()


def answer_json(document: Any, status: int = 200) -> bytes:
    """Set the running CherryPy response to a JSON document."""
    response = cherrypy.serving.response
    response.status = status
    response.headers['Content-Type'] = 'application/json'
    return json.dumps(document, indent=1).encode()


def read_bearer() -> str:
    """Return the bearer key of the running request, or an empty text."""
    scheme, _, key = cherrypy.request.headers.get(
        'Authorization', ''
    ).partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else ''


def _build_application(root: object) -> Callable[..., Any]:
    cherrypy.log.screen = False
    cherrypy.config.update({'engine.autoreload.on': False})
    config = {'/': {**_QUIET, 'error_page.default': _answer_error}}
    application = cherrypy.Application(root, '', config)
    application.log.screen = False
    application.log.access_log.disabled = True
    application.log.error_log.disabled = True
    return application


def _answer_error(
    status: str, message: str, traceback: str, version: str
) -> bytes:
    """Answer what CherryPy itself refuses, without its traceback."""
    number, _, phrase = status.partition(' ')
    code = phrase.lower().replace(' ', '-')
    problem = Problem(int(number), code, message, Outcome.NOT_RUN)
    return answer_problem(problem)
