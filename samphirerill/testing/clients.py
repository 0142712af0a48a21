"""HTTP calls of clients and operators, for demo, benchmarks and tests."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import HTTPError

_DATA_PREFIX = b'data: '
_FIRST_ERROR_STATUS = 400
# For each stage of a token: the address, and the first and last layer it ran.
StageExecutions = list[list[Any]]


class CallError(OSError):
    """A call got no response, or one with an error status."""

    def __init__(self, detail: str, document: Any = None) -> None:
        super().__init__(detail)
        self.document = document or {}


@dataclass(slots=True)
class ClientResponse:
    """Response to a client; `is_interrupted` if the connection ended early."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    texts: list[str] = field(default_factory=list)
    layers: list[StageExecutions] = field(default_factory=list)
    outcome: str = ''
    problem: dict[str, Any] = field(default_factory=dict)
    body: bytes = b''
    is_interrupted: bool = False

    @property
    def text(self) -> str:
        """The complete text."""
        return ''.join(self.texts)


def call_json(address: str, target: str, key: str, document: Any = None) -> Any:
    """Send a JSON request and return the JSON response.

    The method is POST with a document, GET without one.

    Raises
    ------
    CallError
        There was no response, or its status is 400 or above.
    """
    body = None if document is None else json.dumps(document)
    try:
        response = _open_pool(address, 10.0).request(
            'GET' if body is None else 'POST',
            target,
            body=body,
            headers={'Authorization': f'Bearer {key}'},
        )
    except HTTPError as exc:
        raise CallError(f'no response from {address}: {exc}') from exc
    answer = json.loads(response.data or b'null')
    if response.status >= _FIRST_ERROR_STATUS:
        raise CallError(f'status {response.status}: {answer}', answer)
    return answer


def request_completion(
    address: str,
    key: str,
    route: str,
    prompt: str,
    max_tokens: int,
    *,
    stream: bool = True,
    headers: dict[str, str] | None = None,
    timeout_s: float = 60,
) -> ClientResponse:
    """Request a completion and return the response."""
    body = {
        'model': route,
        'prompt': prompt,
        'max_tokens': max_tokens,
        'stream': stream,
    }
    return send_request(
        address,
        '/v1/completions',
        key,
        json.dumps(body).encode(),
        headers=headers,
        timeout_s=timeout_s,
    )


def send_request(
    address: str,
    target: str,
    key: str,
    body: bytes,
    *,
    method: str = 'POST',
    headers: dict[str, str] | None = None,
    timeout_s: float = 60,
) -> ClientResponse:
    """Send one request and read its response, streamed or complete."""
    answer = ClientResponse()
    pool = _open_pool(address, timeout_s)
    try:
        response = pool.request(
            method,
            target,
            body=body,
            headers={'Authorization': f'Bearer {key}', **(headers or {})},
            preload_content=False,
        )
        answer.status = response.status
        answer.headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        _read_response(response, answer)
    except HTTPError:
        answer.is_interrupted = True
    finally:
        pool.close()
    return answer


def _open_pool(address: str, timeout_s: float) -> HTTPConnectionPool:
    host, _, port = address.rpartition(':')
    return HTTPConnectionPool(
        host,
        int(port),
        retries=False,
        timeout=Timeout(connect=2, read=timeout_s),
    )


def _read_response(response: Any, answer: ClientResponse) -> None:
    content_type = answer.headers.get('content-type', '')
    if content_type.startswith('text/event-stream'):
        buffer = b''
        for part in response.stream(None):
            *events, buffer = (buffer + part).split(b'\n\n')
            for event in events:
                _read_event(event, answer)
        return
    answer.body = response.read()
    answer.outcome = answer.headers.get('samphirerill-outcome', '')
    if content_type == 'application/problem+json':
        answer.problem = json.loads(answer.body)
    elif content_type == 'application/json':
        _read_completion(json.loads(answer.body), answer)


def _read_completion(document: Any, answer: ClientResponse) -> None:
    if isinstance(document, dict) and document.get('choices'):
        choice = document['choices'][0]
        text = choice.get('text')
        if text is None:
            text = choice['message']['content']
        answer.texts.append(text)


def _read_event(event: bytes, answer: ClientResponse) -> None:
    payload = event.removeprefix(_DATA_PREFIX)
    if payload == b'[DONE]':
        return
    document = json.loads(payload)
    error = document.get('error')
    if error:
        answer.problem = error
        answer.outcome = error['outcome']
    elif document['choices']:
        choice = document['choices'][0]
        text = choice.get('text')
        if text is None:
            text = choice['delta']['content']
        answer.texts.append(text)
        answer.layers.append(document.get('layers', []))
    else:
        answer.outcome = document['samphirerill']['outcome']
