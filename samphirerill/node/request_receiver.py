"""Transfer of client requests from server threads to the event loop."""

from __future__ import annotations

import hashlib
import json
import uuid
from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import Outcome, Problem
from samphirerill.core.configuration import MODEL_ROUTE, choose_priority
from samphirerill.core.events import ClientDisconnected, RequestArrived
from samphirerill.core.prefixes import digest_prefixes
from samphirerill.edges.client_api import MODEL_LIST_REQUEST
from samphirerill.node.responses import get_prompt_text
from samphirerill.node.sessions import Session
from samphirerill.quarantine import digest_parts, digest_request

if TYPE_CHECKING:
    import socket

    from samphirerill.node.node import Node
    from samphirerill.node.responses import ClientRequest
    from samphirerill.quarantine import RequestParts


class RequestReceiver:
    """Creates a session for each parsed request and submits it to the core.

    Parameters
    ----------
    node : Node
        The node that handles the requests.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def receive_from_thread(
        self, client_request: ClientRequest, sock: socket.socket
    ) -> None:
        """Receive a request on a thread of the HTTP server."""
        self._node.loop.call_soon_threadsafe(
            self._create_session, client_request, sock
        )

    def _create_session(
        self, client_request: ClientRequest, sock: socket.socket
    ) -> None:
        session = Session(
            uuid.uuid4().hex,
            client_request,
            self._on_disconnect,
            self._node.unread_responses,
        )
        session.arrived_at = self._node.loop.time()
        self._node.start_task(self._handle_request(session, sock), 'admit')

    def _on_disconnect(self, request_id: str) -> None:
        self._node.apply(ClientDisconnected(request_id))

    async def _handle_request(
        self, session: Session, sock: socket.socket
    ) -> None:
        await session.attach(sock)
        client_request = session.client_request
        session.account = self._node.key_index.find_account(
            client_request.bearer
        )
        problem = self._check_request(session)
        if problem:
            session.send_problem(problem)
        elif client_request.kind == MODEL_LIST_REQUEST:
            self._send_models(session)
        else:
            self._submit_to_core(session)

    def _submit_to_core(self, session: Session) -> None:
        client_request = session.client_request
        state = self._node.router.state
        route = state.configuration.routes[client_request.route]
        account = state.configuration.accounts[session.account]
        session.priority = choose_priority(route, account)
        timeout_s = min(
            client_request.timeout_s or route.timeout_s, route.timeout_s
        )
        session.prefixes = digest_prefixes(
            session.account, get_prompt_text(client_request)
        )
        self._node.sessions[session.request_id] = session
        self._node.apply(
            RequestArrived(
                session.request_id,
                session.account,
                client_request.route,
                session.arrived_at + timeout_s,
                tokens=int(client_request.body.get('max_tokens', 1)),
                key=client_request.key,
                fingerprint=_compute_fingerprint(client_request),
                prefixes=session.prefixes,
                identity=_compute_identity(session),
                parts=_digest_shared_parts(session),
            ),
        )

    def _check_request(self, session: Session) -> Problem | None:
        """Return why the request is rejected, or None.

        A route that the account may not use is reported like one that does
        not exist, so that the names of other accounts' routes stay hidden.
        """
        configuration = self._node.router.state.configuration
        if not configuration.version:
            return _build_rejection(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'no configuration is known yet',
                1,
            )
        if not session.account:
            return _build_rejection(
                HTTPStatus.UNAUTHORIZED,
                'unknown-key',
                'got no key of an account',
            )
        client_request = session.client_request
        if client_request.kind == MODEL_LIST_REQUEST:
            return None
        allowed = configuration.accounts[session.account].routes
        route = configuration.routes.get(client_request.route)
        is_model = client_request.kind == MODEL_ROUTE
        if (
            route is None
            or client_request.route not in allowed
            or (route.kind == MODEL_ROUTE) != is_model
        ):
            return _build_rejection(
                HTTPStatus.NOT_FOUND,
                'unknown-route',
                f'got unknown route {client_request.route!r}',
            )
        if not route.idempotent and not client_request.key:
            return _build_rejection(
                HTTPStatus.BAD_REQUEST,
                'key-required',
                'this route is not idempotent: send an Idempotency-Key',
            )
        return None

    def _send_models(self, session: Session) -> None:
        configuration = self._node.router.state.configuration
        allowed = configuration.accounts[session.account].routes
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'samphirerill'}
            for name in allowed
            if configuration.routes[name].kind == MODEL_ROUTE
        ]
        body = json.dumps({'object': 'list', 'data': models}).encode()
        session.send_response(HTTPStatus.OK, [], body, Outcome.ANSWERED)


def _compute_fingerprint(client_request: ClientRequest) -> str:
    """Return a digest that detects reuse of a key for another request."""
    fields = [client_request.method, client_request.target, client_request.body]
    digest = hashlib.sha256(json.dumps(fields, sort_keys=True).encode())
    digest.update(client_request.payload)
    return digest.hexdigest()


def _compute_identity(session: Session) -> bytes:
    """Return a digest that is equal for retries of the same request."""
    client_request = session.client_request
    body = (
        client_request.payload
        or json.dumps(client_request.body, sort_keys=True).encode()
    )
    target = f'{client_request.route} {client_request.target}'.encode()
    return digest_request(session.account, target, body)


def _digest_shared_parts(session: Session) -> RequestParts:
    """Return what the prompt shares with others: its beginnings but the last."""
    beginnings = (digest.encode() for digest in session.prefixes[:-1])
    return digest_parts(
        session.client_request.route, session.account, beginnings
    )


def _build_rejection(
    status: int, code: str, detail: str, retry_after_s: float = 0
) -> Problem:
    return Problem(status, code, detail, Outcome.NOT_RUN, retry_after_s)
