"""Take callers' requests from the edge's threads onto the loop."""

from __future__ import annotations

import hashlib
import json
import uuid
from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import Outcome, Problem
from samphirerill.core.events import CallerLeft, RequestArrived
from samphirerill.core.model import MODEL_ROUTE, choose_priority
from samphirerill.core.prefixes import digest_prefixes
from samphirerill.edges.callers import MODELS
from samphirerill.node.answers import read_prompt
from samphirerill.node.sessions import Session
from samphirerill.quarantine import digest_request

if TYPE_CHECKING:
    import socket

    from samphirerill.node.answers import CallerRequest
    from samphirerill.node.node import Node


class Arrivals:
    """Turns what the edge read into sessions and events.

    Parameters
    ----------
    node : Node
        The node whose loop the requests go to.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def take_from_thread(
        self, caller: CallerRequest, sock: socket.socket
    ) -> None:
        """Receive a request in an edge's thread."""
        self._node.loop.call_soon_threadsafe(self._take, caller, sock)

    def _take(self, caller: CallerRequest, sock: socket.socket) -> None:
        session = Session(uuid.uuid4().hex, caller, self._leave)
        session.arrived_at = self._node.loop.time()
        self._node.start_task(self._admit(session, sock), 'admit')

    def _leave(self, request_id: str) -> None:
        self._node.apply(CallerLeft(request_id))

    async def _admit(self, session: Session, sock: socket.socket) -> None:
        await session.attach(sock)
        caller = session.caller
        session.account = self._node.keys.find_account(caller.bearer)
        problem = self._find_problem(session)
        if problem:
            session.refuse(problem)
        elif caller.kind == MODELS:
            self._answer_models(session)
        else:
            self._hand_to_core(session)

    def _hand_to_core(self, session: Session) -> None:
        caller = session.caller
        state = self._node.router.state
        route = state.configuration.routes[caller.route]
        account = state.configuration.accounts[session.account]
        session.priority = choose_priority(route, account)
        timeout_s = min(caller.timeout_s or route.timeout_s, route.timeout_s)
        session.prefixes = digest_prefixes(session.account, read_prompt(caller))
        self._node.sessions[session.request_id] = session
        self._node.apply(
            RequestArrived(
                session.request_id,
                session.account,
                caller.route,
                session.arrived_at + timeout_s,
                tokens=int(caller.body.get('max_tokens', 1)),
                key=caller.key,
                fingerprint=_fingerprint(caller),
                prefixes=session.prefixes,
                identity=_identify(session),
            ),
        )

    def _find_problem(self, session: Session) -> Problem | None:
        """Return why the core need not be asked, or nothing.

        A route that the account may not use is as unknown as one that is
        not there: its name is another account's business.
        """
        configuration = self._node.router.state.configuration
        if not configuration.version:
            return _refusal(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no-configuration',
                'no configuration is known yet',
                1,
            )
        if not session.account:
            return _refusal(
                HTTPStatus.UNAUTHORIZED,
                'unknown-key',
                'got no key of an account',
            )
        caller = session.caller
        if caller.kind == MODELS:
            return None
        allowed = configuration.accounts[session.account].routes
        route = configuration.routes.get(caller.route)
        is_model = caller.kind == MODEL_ROUTE
        if (
            route is None
            or caller.route not in allowed
            or (route.kind == MODEL_ROUTE) != is_model
        ):
            return _refusal(
                HTTPStatus.NOT_FOUND,
                'unknown-route',
                f'got unknown route {caller.route!r}',
            )
        if not route.idempotent and not caller.key:
            return _refusal(
                HTTPStatus.BAD_REQUEST,
                'key-required',
                'this route is not idempotent: send an Idempotency-Key',
            )
        return None

    def _answer_models(self, session: Session) -> None:
        configuration = self._node.router.state.configuration
        allowed = configuration.accounts[session.account].routes
        models = [
            {'id': name, 'object': 'model', 'owned_by': 'samphirerill'}
            for name in allowed
            if configuration.routes[name].kind == MODEL_ROUTE
        ]
        body = json.dumps({'object': 'list', 'data': models}).encode()
        session.send_whole(HTTPStatus.OK, [], body, Outcome.ANSWERED)


def _fingerprint(caller: CallerRequest) -> str:
    """Return a digest that tells two bodies under one key apart."""
    facts = [caller.method, caller.target, caller.body]
    digest = hashlib.sha256(json.dumps(facts, sort_keys=True).encode())
    digest.update(caller.payload)
    return digest.hexdigest()


def _identify(session: Session) -> bytes:
    """Return what makes this the same request as another attempt."""
    caller = session.caller
    body = caller.payload or json.dumps(caller.body, sort_keys=True).encode()
    target = f'{caller.route} {caller.target}'.encode()
    return digest_request(session.account, target, body)


def _refusal(
    status: int, code: str, detail: str, retry_after_s: float = 0
) -> Problem:
    return Problem(status, code, detail, Outcome.NOT_RUN, retry_after_s)
