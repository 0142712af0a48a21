"""What callers ask for and the documents they are answered with."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from samphirerill.core.commands import Outcome

if TYPE_CHECKING:
    from samphirerill.core.commands import Problem

OUTCOME_HEADER = 'Samphirerill-Outcome'
_PROBLEM_BASE = 'https://samphirerill.example/problems/'


@dataclass(slots=True)
class CallerRequest:
    """What the edge read from one caller, before any decision.

    `deadline_s` is the caller's limit in seconds from now; the node turns
    it into a deadline at once. `body` is a checked JSON body of a model
    request; `payload` the raw body of a plain-service one.
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
class KeptAnswer:
    """An answer kept for a retry with the same idempotency key."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def read_prompt(caller: CallerRequest) -> str:
    """Return the text a model request starts from."""
    if caller.is_chat:
        return '\n'.join(turn['content'] for turn in caller.body['messages'])
    return str(caller.body.get('prompt', ''))


@dataclass(slots=True, frozen=True)
class WholeText:
    """A model's whole answer."""

    text: str
    finish: str
    tokens: int


def build_frame(request_id: str, caller: CallerRequest) -> bytes:
    """Return what every token's event of a stream starts with."""
    kind = 'chat.completion.chunk' if caller.is_chat else 'text_completion'
    head = json.dumps(_build_head(request_id, kind, caller.route))
    member = 'delta' if caller.is_chat else 'text'
    return f'{head[:-1]}, "choices":[{{"index":0,"{member}":'.encode()


def build_summary(request_id: str, tokens: int) -> dict[str, Any]:
    """Return a stream's last event, which names the outcome."""
    return {
        'id': request_id,
        'object': 'samphirerill.outcome',
        'choices': [],
        'usage': {'completion_tokens': tokens},
        'samphirerill': {'outcome': Outcome.ANSWERED.value},
    }


def build_whole(
    request_id: str, caller: CallerRequest, whole: WholeText
) -> dict[str, Any]:
    """Return a whole answer that was not streamed."""
    choice: dict[str, Any] = {'index': 0, 'finish_reason': whole.finish}
    kind = 'text_completion'
    if caller.is_chat:
        kind = 'chat.completion'
        choice['message'] = {'role': 'assistant', 'content': whole.text}
    else:
        choice['text'] = whole.text
    return {
        **_build_head(request_id, kind, caller.route),
        'choices': [choice],
        'usage': {'completion_tokens': whole.tokens},
        'samphirerill': {'outcome': Outcome.ANSWERED.value},
    }


def describe_problem(problem: Problem, request_id: str) -> dict[str, Any]:
    """Return a problem document (RFC 9457) that says whether anything ran."""
    document: dict[str, Any] = {
        'type': f'{_PROBLEM_BASE}{problem.code}',
        'title': problem.code.replace('-', ' '),
        'status': problem.status,
        'detail': problem.detail,
        'outcome': problem.outcome.value,
        'request': request_id,
    }
    if problem.retry_after_s:
        document['retry_after_s'] = round(problem.retry_after_s, 1)
    return document


def format_status(status: int) -> str:
    """Return the status line of an answer."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = 'Status'
    return f'HTTP/1.1 {int(status)} {phrase}'


def _build_head(request_id: str, kind: str, route: str) -> dict[str, Any]:
    return {
        'id': request_id,
        'object': kind,
        'created': int(time.time()),
        'model': route,
    }
