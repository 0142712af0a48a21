"""Execution of the decision core's commands."""

from __future__ import annotations

import hashlib
from base64 import b64decode, b64encode
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from samphirerill.backends.endpoint_call import build_request
from samphirerill.backends.engine_call import EngineCall, build_engine_request
from samphirerill.backends.service_call import ServiceCall
from samphirerill.control.claims import MAX_STORED_RESPONSE_SIZE
from samphirerill.core.commands import (
    CancelAttempt,
    DeliverServiceResponse,
    DeliverToken,
    FinishAnswer,
    LogEndpoint,
    OpenAttempt,
    Outcome,
    ProbeEndpoint,
    RefuseRequest,
    ReplayAnswer,
    SettleClaim,
    WriteClaim,
)
from samphirerill.node.health_checks import probe_endpoint
from samphirerill.node.logs import get_logger
from samphirerill.node.metrics import FIRST_TOKEN, RESPONSE_TIME, TOKEN_INTERVAL
from samphirerill.node.responses import ANSWER_NOT_KEPT, StoredResponse

if TYPE_CHECKING:
    from samphirerill.backends.endpoint_call import EndpointCall
    from samphirerill.node.node import Node
    from samphirerill.node.sessions import Session

_SALT_LENGTH = 16
_LOG = get_logger('endpoints')


@singledispatch
def execute(command: object, node: Node) -> None:
    """Execute a command of the decision core."""
    raise TypeError(
        f'got {type(command).__name__}, expected a command of the core'
    )


@execute.register(OpenAttempt)
def execute_open(command: OpenAttempt, node: Node) -> None:
    """Send the request of an attempt over a new connection."""
    session = node.sessions[command.request_id]
    call = _build_call(command, session, node)
    node.calls[command.attempt_id] = call
    session.on_backpressure = lambda slow: (
        call.pause() if slow else call.resume()
    )
    node.start_task(call.open(), f'attempt {command.attempt_id}')


@execute.register(CancelAttempt)
def execute_cancel(command: CancelAttempt, node: Node) -> None:
    """Abort the connection of an attempt."""
    call = node.calls.pop(command.attempt_id, None)
    if call is not None:
        call.close()


@execute.register(DeliverToken)
def execute_deliver_token(command: DeliverToken, node: Node) -> None:
    """Send a token to the client and record its latency."""
    session = node.sessions[command.request_id]
    now = node.loop.time()
    if session.last_token_at:
        interval_s = now - session.last_token_at
        node.metrics.record(TOKEN_INTERVAL, session.priority, interval_s)
    else:
        wait_s = now - session.arrived_at
        node.metrics.record(FIRST_TOKEN, session.priority, wait_s)
    session.last_token_at = now
    session.deliver_token(command.index, command.text, command.finish)


@execute.register(DeliverServiceResponse)
def execute_deliver_service(
    command: DeliverServiceResponse, node: Node
) -> None:
    """Send the response of a plain service to the client."""
    session = node.sessions[command.request_id]
    call = node.calls.pop(command.attempt_id)
    if not isinstance(call, ServiceCall):
        raise TypeError('got an engine call, expected a plain service')
    body = call.take_body()
    headers = call.list_end_to_end_headers()
    session.stored_response = StoredResponse(call.status, headers, body)
    session.send_response(call.status, headers, body, Outcome.ANSWERED)


@execute.register(FinishAnswer)
def execute_finish(command: FinishAnswer, node: Node) -> None:
    """Complete the response to the client."""
    session = node.sessions.pop(command.request_id)
    if session.stored_response is None:
        session.finish_response()
    # The session may last until its client has read the response.
    session.stored_response = None
    duration_s = node.loop.time() - session.arrived_at
    node.metrics.record(RESPONSE_TIME, session.priority, duration_s)


@execute.register(RefuseRequest)
def execute_refuse(command: RefuseRequest, node: Node) -> None:
    """Send the client a problem document."""
    session = node.sessions.pop(command.request_id)
    session.send_problem(command.problem)


@execute.register(ReplayAnswer)
def execute_replay(command: ReplayAnswer, node: Node) -> None:
    """Repeat the answer to the first request with this idempotency key."""
    session = node.sessions.pop(command.request_id)
    answer = _get_claim_writer(node).stored_responses.pop(
        command.request_id, {}
    )
    text = answer.get('text')
    body = answer.get('body')
    if text is not None:
        session.replay_completion(text, answer['tokens'])
    elif body is not None:
        session.send_response(
            answer['status'],
            [(name, header_value) for name, header_value in answer['headers']],
            b64decode(body),
            Outcome.ANSWERED,
        )
    else:
        session.send_problem(ANSWER_NOT_KEPT)


@execute.register(WriteClaim)
def execute_write_claim(command: WriteClaim, node: Node) -> None:
    """Queue a claim on an idempotency key for writing."""
    _get_claim_writer(node).queue_claim(command)


@execute.register(SettleClaim)
def execute_settle_claim(command: SettleClaim, node: Node) -> None:
    """Queue a claim's outcome, with the answer unless it is too large."""
    session = node.sessions.get(command.request_id)
    answer = {} if session is None else _build_stored_answer(command, session)
    _get_claim_writer(node).queue_outcome(command, answer)


@execute.register(ProbeEndpoint)
def execute_probe(command: ProbeEndpoint, node: Node) -> None:
    """Start a health check of an endpoint."""
    coroutine = probe_endpoint(command, node)
    node.start_task(coroutine, f'probe {command.endpoint}')


@execute.register(LogEndpoint)
def execute_log_endpoint(command: LogEndpoint, node: Node) -> None:
    """Write a decision on an endpoint to the log."""
    _LOG.info(
        command.message, extra={'endpoint': command.endpoint, **command.details}
    )


def derive_cache_salt(account: str) -> str:
    """Return the salt that isolates an account in engines' prefix caches."""
    return hashlib.sha256(f'cache/{account}'.encode()).hexdigest()[
        :_SALT_LENGTH
    ]


def _build_call(
    command: OpenAttempt, session: Session, node: Node
) -> EndpointCall:
    if command.is_service:
        request = _build_service_request(command, session)
        stage = command.stages[0]
        return ServiceCall(command.attempt_id, stage, request, node)
    request = build_engine_request(
        command,
        {
            **session.client_request.body,
            'resume_text': ''.join(session.token_texts),
        },
        derive_cache_salt(session.account),
        session.priority,
        session.prefixes,
        trace=session.client_request.trace,
    )
    on_layer_trace = (
        session.layer_traces.__setitem__
        if session.client_request.trace
        else None
    )
    return EngineCall(command, request, node, on_layer_trace)


def _build_service_request(command: OpenAttempt, session: Session) -> bytes:
    """Serialize the request to a plain service.

    The client's idempotency key is replaced by a digest that includes the
    account, so that a service cannot confuse the keys of two accounts.
    """
    client_request = session.client_request
    headers = [
        *client_request.headers,
        ('Samphirerill-Account', session.account),
    ]
    if client_request.key:
        scoped_key = (
            f'{session.account}/{client_request.route}/{client_request.key}'
        )
        digest = hashlib.sha256(scoped_key.encode()).hexdigest()
        headers.append(('Idempotency-Key', digest))
    return build_request(
        client_request.method,
        client_request.target,
        command.stages[0],
        headers,
        client_request.payload,
    )


def _build_stored_answer(
    command: SettleClaim, session: Session
) -> dict[str, Any]:
    if command.outcome is not Outcome.ANSWERED:
        return {}
    if session.stored_response is not None:
        body = b64encode(session.stored_response.body).decode()
        packed = {
            'status': session.stored_response.status,
            'headers': session.stored_response.headers,
            'body': body,
        }
        return packed if len(body) <= MAX_STORED_RESPONSE_SIZE else {}
    text = ''.join(session.token_texts)
    if len(text) > MAX_STORED_RESPONSE_SIZE:
        return {}
    return {'text': text, 'tokens': len(session.token_texts)}


def _get_claim_writer(node: Node) -> Any:
    return node.claim_writer
