"""Calls to model engines, which stream a pipeline's tokens.

Engines implement the OpenAI completions API with server-sent events. The
``samphirerill`` member of a request contains the attempt, its epoch, the
stages of the pipeline and the index of the first token to generate. Each event
of the response contains the attempt, the epoch and the index of its token.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from msgspec import DecodeError, Struct, field

from samphirerill.backends.endpoint_call import EndpointCall, build_request
from samphirerill.core.events import (
    AttemptProgressed,
    AttemptRefused,
    CacheReported,
    LoadReported,
    TokenArrived,
)
from samphirerill.core.prefixes import CacheEvents
from samphirerill.decoding.bounds import Amount, ExactInt, Ordinal
from samphirerill.decoding.decoders import build_json_decoder

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.backends.endpoint_call import EventSink
    from samphirerill.core.commands import OpenAttempt

_OK = 200
_LOAD_HEADER = 'endpoint-load-metrics'
_DATA_FIELD = b'data: '
_MAX_BUFFERED_BYTES = 1_048_576
_DONE_PAYLOAD = b'[DONE]'
_PRIORITIES = {'high': 0, 'normal': 1}


class _Delta(Struct):
    content: str = ''


class _Choice(Struct):
    text: str = ''
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Failure(Struct):
    code: str = ''
    stage: ExactInt = -1


class _Chunk(Struct):
    id: str = ''
    epoch: ExactInt = 0
    token: ExactInt = -1
    choices: list[_Choice] = field(default_factory=list)
    hops_ms: tuple[Amount, ...] = ()
    layers: list[list[Any]] = field(default_factory=list)
    error: _Failure | None = None


class _Rejection(Struct):
    ran: bool = True
    reason: str = ''


class _LoadMetrics(Struct):
    running: Ordinal = 0
    waiting: Ordinal = 0


class _CacheReport(Struct):
    first: ExactInt
    last: ExactInt
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class _LoadReport(Struct):
    named_metrics: _LoadMetrics
    cache: _CacheReport | None = None


_CHUNK_DECODER = build_json_decoder(_Chunk)
_REJECTION_DECODER = build_json_decoder(_Rejection)
_LOAD_DECODER = build_json_decoder(_LoadReport)


class EngineCall(EndpointCall):
    """One attempt on a pipeline, over a connection to its first stage."""

    def __init__(
        self,
        command: OpenAttempt,
        request: bytes,
        sink: EventSink,
        on_layer_trace: Callable[[int, list[list[Any]]], None] | None = None,
    ) -> None:
        super().__init__(command.attempt_id, command.stages[0], request, sink)
        self._on_layer_trace = on_layer_trace
        self._buffer = b''

    def handle_head(self) -> None:
        """Emit what the headers say of the endpoint and its load."""
        super().handle_head()
        self._emit(AttemptProgressed(self.attempt_id))
        for name, text in self.headers:
            if name.lower() == _LOAD_HEADER:
                emit_load_report(self.stage.endpoint, text, self._sink)

    def handle_body(self, body: bytes) -> None:
        """Parse the server-sent events that are complete."""
        if self._closed:
            return
        self._buffer += body
        if self.status == _OK:
            events = self._buffer.split(b'\n\n')
            self._buffer = events.pop()
            for event in events:
                if not self._closed:
                    self._parse_event(event)
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._fail(
                f'got an event or error over {_MAX_BUFFERED_BYTES} bytes'
            )

    def handle_end(self) -> None:
        """Fail the attempt, or emit a rejection.

        After the last token the core cancels the attempt, so a response that
        ends by itself is incomplete.
        """
        if self.status != _OK:
            self._handle_rejection()
            return
        self._fail('the stream ended before the answer was whole')

    def _parse_event(self, event: bytes) -> None:
        if not event.startswith(_DATA_FIELD):
            self._emit(AttemptProgressed(self.attempt_id))
            return
        payload = event[len(_DATA_FIELD) :]
        if payload == _DONE_PAYLOAD:
            return
        try:
            chunk = _CHUNK_DECODER.decode(payload)
        except DecodeError as exc:
            self._fail(f'got an event that is no token: {exc}')
            return
        self._handle_chunk(chunk)

    def _handle_chunk(self, chunk: _Chunk) -> None:
        if chunk.error is not None:
            detail = f'the engine reports {chunk.error.code}'
            self._fail(detail, stage=chunk.error.stage)
            return
        if chunk.id != self.attempt_id or not chunk.choices:
            # The engine mixed up two responses. Forwarding the token would
            # disclose another client's answer.
            self._fail('got a token of another attempt')
            return
        if self._on_layer_trace is not None:
            self._on_layer_trace(chunk.token, chunk.layers)
        self._emit(_build_token(chunk))

    def _handle_rejection(self) -> None:
        """Treat the request as not executed only if the engine states it."""
        try:
            rejection = _REJECTION_DECODER.decode(self._buffer)
        except DecodeError:
            rejection = _Rejection()
        if rejection.ran:
            detail = f'the engine answered status {self.status}'
            self._fail(detail, is_alive=self.wants_no_requests)
            return
        self._emit(AttemptRefused(self.attempt_id, rejection.reason))
        self.close()


def build_engine_request(
    command: OpenAttempt,
    body: dict[str, Any],
    account_salt: str,
    priority: str,
    prefixes: tuple[str, ...],
    *,
    trace: bool,
) -> bytes:
    """Serialize the HTTP request of an attempt.

    Parameters
    ----------
    command : OpenAttempt
        The attempt and the stages of its pipeline.
    body : dict
        The validated body of the client's request.
    account_salt : str
        Salt of the engine's prefix cache; keeps accounts from sharing entries.
    priority : str
        ``high`` or ``normal``.
    prefixes : tuple of str
        Digests of the prompt's prefixes, which the engine uses in its cache
        events.
    trace : bool
        Whether the engine lists which stage ran which layers of each token.
    """
    first_stage = command.stages[0]
    document = {
        **body,
        'stream': True,
        'cache_salt': account_salt,
        'priority': _PRIORITIES[priority],
        'samphirerill': {
            'attempt': command.attempt_id,
            'epoch': command.epoch,
            'resume_at': command.resume_at,
            'stages': [
                {
                    'address': stage.address,
                    'first': stage.first,
                    'last': stage.last,
                }
                for stage in command.stages
            ],
            'prefixes': prefixes,
            'trace': trace,
        },
    }
    target = '/v1/completions'
    if 'messages' in body:
        target = '/v1/chat/completions'
    headers = [('Content-Type', 'application/json')]
    payload = json.dumps(document).encode()
    return build_request('POST', target, first_stage, headers, payload)


def emit_load_report(endpoint: str, text: str | bytes, sink: EventSink) -> None:
    """Emit the events of an engine's load report; ignores invalid ones."""
    try:
        report = _LOAD_DECODER.decode(text)
    except DecodeError:
        return
    metrics = report.named_metrics
    cache = report.cache
    if cache is not None:
        cache_events = CacheEvents(
            cache.first, cache.last, cache.stored, cache.evicted
        )
        sink.apply(CacheReported(endpoint, cache_events))
    sink.apply(LoadReported(endpoint, metrics.running, metrics.waiting))


def _build_token(chunk: _Chunk) -> TokenArrived:
    choice = chunk.choices[0]
    text = choice.delta.content if choice.delta else choice.text
    return TokenArrived(
        chunk.id,
        chunk.epoch,
        chunk.token,
        text,
        choice.finish_reason or '',
        chunk.hops_ms,
    )
