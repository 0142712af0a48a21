"""Carry out the decision core's commands."""

from __future__ import annotations

import hashlib
from base64 import b64decode, b64encode
from functools import singledispatch
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from samphirerill.backends.calls import build_request
from samphirerill.backends.engine import EngineCall, build_engine_request
from samphirerill.backends.service import ServiceCall
from samphirerill.control.claims import MAX_KEPT_ANSWER
from samphirerill.core.commands import (
    CancelAttempt,
    DeliverService,
    DeliverToken,
    FinishAnswer,
    OpenAttempt,
    Outcome,
    ProbeEndpoint,
    Problem,
    RefuseRequest,
    ReplayAnswer,
    SettleClaim,
    WriteClaim,
)
from samphirerill.node.answers import KeptAnswer
from samphirerill.node.metrics import FIRST_TOKEN, TOKEN_GAP, WHOLE
from samphirerill.node.probes import probe_endpoint

if TYPE_CHECKING:
    from samphirerill.backends.calls import Call
    from samphirerill.node.node import Node
    from samphirerill.node.sessions import Session

_SALT_CHARS = 16


@singledispatch
def perform(command: object, node: Node) -> None:
    """Carry out one command of the decision core."""
    raise TypeError(
        f'got {type(command).__name__}, expected a command of the core'
    )


@perform.register(OpenAttempt)
def perform_open(command: OpenAttempt, node: Node) -> None:
    """Open an attempt's connection."""
    session = node.sessions[command.request_id]
    call = _build_call(command, session, node)
    node.calls[command.attempt_id] = call
    session.on_slow = lambda slow: call.pause() if slow else call.resume()
    work = call.open(command.stages[0].address)
    node.start_task(work, f'attempt {command.attempt_id}')


@perform.register(CancelAttempt)
def perform_cancel(command: CancelAttempt, node: Node) -> None:
    """Close an attempt's connection."""
    call = node.calls.pop(command.attempt_id, None)
    if call is not None:
        call.close()


@perform.register(DeliverToken)
def perform_deliver(command: DeliverToken, node: Node) -> None:
    """Send a token to the caller and measure when it came."""
    session = node.sessions[command.request_id]
    now = node.loop.time()
    if session.last_token_at:
        gap_s = now - session.last_token_at
        node.metrics.record(TOKEN_GAP, session.priority, gap_s)
    else:
        wait_s = now - session.arrived_at
        node.metrics.record(FIRST_TOKEN, session.priority, wait_s)
    session.last_token_at = now
    session.deliver_token(command.index, command.text, command.finish)


@perform.register(DeliverService)
def perform_service(command: DeliverService, node: Node) -> None:
    """Send a plain service's whole answer."""
    session = node.sessions[command.request_id]
    call = node.calls.pop(command.attempt_id)
    if not isinstance(call, ServiceCall):
        raise TypeError('got an engine call, expected a plain service')
    session.kept = KeptAnswer(
        call.status, call.list_end_to_end_headers(), call.body
    )
    session.send_whole(
        call.status, call.list_end_to_end_headers(), call.body, Outcome.ANSWERED
    )


@perform.register(FinishAnswer)
def perform_finish(command: FinishAnswer, node: Node) -> None:
    """Tell the caller that its answer is whole."""
    session = node.sessions.pop(command.request_id)
    if session.kept is None:
        session.finish_answer()
    whole_s = node.loop.time() - session.arrived_at
    node.metrics.record(WHOLE, session.priority, whole_s)


@perform.register(RefuseRequest)
def perform_refuse(command: RefuseRequest, node: Node) -> None:
    """Tell the caller why there is no whole answer."""
    session = node.sessions.pop(command.request_id)
    session.refuse(command.problem)


@perform.register(ReplayAnswer)
def perform_replay(command: ReplayAnswer, node: Node) -> None:
    """Send the answer that the first request with this key got."""
    session = node.sessions.pop(command.request_id)
    answer = _claims(node).answers.pop(command.request_id, {})
    text = answer.get('text')
    body = answer.get('body')
    if text is not None:
        session.replay_text(text, answer['tokens'])
    elif body is not None:
        session.send_whole(
            answer['status'],
            [(name, shown) for name, shown in answer['headers']],
            b64decode(body),
            Outcome.ANSWERED,
        )
    else:
        session.refuse(
            Problem(
                HTTPStatus.CONFLICT,
                'already-answered',
                'the first request with this Idempotency-Key was answered; '
                'its answer was too large to keep',
                Outcome.ANSWERED,
            ),
        )


@perform.register(WriteClaim)
def perform_claim(command: WriteClaim, node: Node) -> None:
    """Queue a claim."""
    _claims(node).write(command)


@perform.register(SettleClaim)
def perform_settle(command: SettleClaim, node: Node) -> None:
    """Queue a claim's outcome, with the answer if it is small enough."""
    session = node.sessions.get(command.request_id)
    answer = {} if session is None else _pack_answer(command, session)
    _claims(node).settle(command, answer)


@perform.register(ProbeEndpoint)
def perform_probe(command: ProbeEndpoint, node: Node) -> None:
    """Ask an endpoint over a new connection whether it is there."""
    work = probe_endpoint(command, node)
    node.start_task(work, f'probe {command.endpoint}')


def salt_account(account: str) -> str:
    """Return what keeps an account's cached prefixes its own."""
    return hashlib.sha256(f'cache/{account}'.encode()).hexdigest()[:_SALT_CHARS]


def _build_call(command: OpenAttempt, session: Session, node: Node) -> Call:
    if command.is_service:
        request = _build_service_request(command, session)
        return ServiceCall(command.attempt_id, request, node)
    request = build_engine_request(
        command,
        {**session.caller.body, 'resume_text': ''.join(session.texts)},
        salt_account(session.account),
        session.priority,
        session.prefixes,
        trace=session.caller.trace,
    )
    on_layers = session.layers.__setitem__ if session.caller.trace else None
    return EngineCall(command, request, node, on_layers)


def _build_service_request(command: OpenAttempt, session: Session) -> bytes:
    """Return a plain service's request.

    The caller's idempotency key is replaced by a digest with its account:
    a service that keeps keys itself must not mix two accounts up.
    """
    caller = session.caller
    headers = [*caller.headers, ('Samphirerill-Account', session.account)]
    if caller.key:
        scoped = f'{session.account}/{caller.route}/{caller.key}'
        digest = hashlib.sha256(scoped.encode()).hexdigest()
        headers.append(('Idempotency-Key', digest))
    return build_request(
        caller.method,
        caller.target,
        command.stages[0],
        headers,
        caller.payload,
    )


def _pack_answer(command: SettleClaim, session: Session) -> dict[str, Any]:
    if command.outcome is not Outcome.ANSWERED:
        return {}
    if session.kept is not None:
        body = b64encode(session.kept.body).decode()
        packed = {
            'status': session.kept.status,
            'headers': session.kept.headers,
            'body': body,
        }
        return packed if len(body) <= MAX_KEPT_ANSWER else {}
    text = ''.join(session.texts)
    if len(text) > MAX_KEPT_ANSWER:
        return {}
    return {'text': text, 'tokens': len(session.texts)}


def _claims(node: Node) -> Any:
    return node.claims
