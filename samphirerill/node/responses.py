"""Requests of clients and the documents of their responses."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from math import ceil
from typing import Any

from samphirerill.core.commands import Outcome, Problem

OUTCOME_HEADER = 'Samphirerill-Outcome'
ANSWER_NOT_KEPT = Problem(
    HTTPStatus.CONFLICT,
    'already-answered',
    'the first request with this Idempotency-Key was answered; '
    'its answer was too large to keep',
    Outcome.ANSWERED,
)
_TENTHS_PER_S = 10
_PROBLEM_TYPE_PREFIX = 'https://samphirerill.example/problems/'


@dataclass(slots=True)
class ClientRequest:
    """A client's request as the HTTP server has parsed it.

    `timeout_s` is the timeout that the client asked for; 0 if none. `body` is
    the validated JSON body of a model request, `payload` the raw body of a
    request to a plain service.
    """

    kind: str
    bearer: str
    route: str
    key: str = ''
    timeout_s: float = 0
    stream: bool = False
    trace: bool = False
    body: dict[str, Any] = field(default_factory=dict)
    payload: bytes = b''
    method: str = 'POST'
    target: str = '/'
    headers: list[tuple[str, str]] = field(default_factory=list)
    is_chat: bool = False


@dataclass(slots=True)
class StoredResponse:
    """A response stored for retries with the same idempotency key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def get_prompt_text(client_request: ClientRequest) -> str:
    """Return the prompt of a model request as text."""
    if client_request.is_chat:
        return '\n'.join(
            turn['content'] for turn in client_request.body['messages']
        )
    return str(client_request.body.get('prompt', ''))


@dataclass(slots=True, frozen=True)
class Completion:
    """A complete answer of a model."""

    text: str
    finish: str
    tokens: int


def build_chunk_prefix(request_id: str, client_request: ClientRequest) -> bytes:
    """Return the JSON that every chunk of a stream starts with."""
    kind = (
        'chat.completion.chunk' if client_request.is_chat else 'text_completion'
    )
    head = json.dumps(
        _build_common_fields(request_id, kind, client_request.route)
    )
    field_name = 'delta' if client_request.is_chat else 'text'
    return f'{head[:-1]}, "choices":[{{"index":0,"{field_name}":'.encode()


def build_final_chunk(request_id: str, tokens: int) -> dict[str, Any]:
    """Return the last chunk of a stream, which contains the outcome."""
    return {
        'id': request_id,
        'object': 'samphirerill.outcome',
        'choices': [],
        'usage': {'completion_tokens': tokens},
        'samphirerill': {'outcome': Outcome.ANSWERED.value},
    }


def build_completion(
    request_id: str, client_request: ClientRequest, completion: Completion
) -> dict[str, Any]:
    """Return the document of an answer that is not streamed."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': completion.finish}
    kind = 'text_completion'
    if client_request.is_chat:
        kind = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': completion.text}
    else:
        choice['text'] = completion.text
    return {
        **_build_common_fields(request_id, kind, client_request.route),
        'choices': [choice],
        'usage': {'completion_tokens': completion.tokens},
        'samphirerill': {'outcome': Outcome.ANSWERED.value},
    }


def build_problem_document(problem: Problem, request_id: str) -> dict[str, Any]:
    """Return a problem document (RFC 9457) with the request's outcome."""
    document: dict[str, Any] = {
        'type': f'{_PROBLEM_TYPE_PREFIX}{problem.code}',
        'title': problem.code.replace('-', ' '),
        'status': problem.status,
        'detail': problem.detail,
        'outcome': problem.outcome.value,
        'request': request_id,
    }
    if problem.retry_after_s:
        tenths = ceil(problem.retry_after_s * _TENTHS_PER_S)
        document['retry_after_s'] = tenths / _TENTHS_PER_S
    return document


def format_retry_after(problem: Problem) -> str:
    """Return whole seconds, rounded up so that no client returns early."""
    return str(ceil(problem.retry_after_s))


def format_status_line(status: int) -> str:
    """Return the status line of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Status'
    return f'HTTP/1.1 {int(status)} {phrase}'


def _build_common_fields(
    request_id: str, kind: str, route: str
) -> dict[str, Any]:
    return {
        'id': request_id,
        'object': kind,
        'created': int(time.time()),
        'model': route,
    }
