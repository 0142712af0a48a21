"""Calls to model engines: a pipeline's answer as a stream of tokens.

Engines speak the completions protocol with server-sent events. The request's
``samphirerill`` member carries the attempt, its epoch, the pipeline and the
token to resume at; each event of the answer names attempt, epoch and token.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from msgspec import DecodeError, Struct, field
from msgspec.json import Decoder

from samphirerill.backends.calls import Call, build_request
from samphirerill.core.events import (
    AttemptProgressed,
    AttemptRefused,
    CacheReported,
    LoadReported,
    TokenArrived,
)
from samphirerill.core.prefixes import CacheNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.backends.calls import Sink
    from samphirerill.core.commands import OpenAttempt

_OK = 200
_LOAD_HEADER = 'endpoint-load-metrics'
_DATA = b'data: '
_DONE = b'[DONE]'
_PRIORITIES = {'high': 0, 'normal': 1}


class _Delta(Struct):
    content: str = ''


class _Choice(Struct):
    text: str = ''
    delta: _Delta | None = None
    finish_reason: str | None = None


class _Failure(Struct):
    code: str = ''
    stage: int = -1


class _Chunk(Struct):
    id: str = ''
    epoch: int = 0
    token: int = -1
    choices: list[_Choice] = field(default_factory=list)
    hops_ms: tuple[float, ...] = ()
    layers: list[list[Any]] = field(default_factory=list)
    error: _Failure | None = None


class _Refusal(Struct):
    ran: bool = True
    reason: str = ''


class _Figures(Struct):
    running: int = 0
    waiting: int = 0


class _Cache(Struct):
    first: int
    last: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class _Load(Struct):
    named_metrics: _Figures
    cache: _Cache | None = None


_CHUNKS = Decoder(_Chunk)
_REFUSALS = Decoder(_Refusal)
_LOADS = Decoder(_Load)


class EngineCall(Call):
    """One attempt at a pipeline, from its first stage's connection."""

    def __init__(
        self,
        command: OpenAttempt,
        request: bytes,
        sink: Sink,
        on_layers: Callable[[int, list[list[Any]]], None] | None = None,
    ) -> None:
        super().__init__(command.attempt_id, request, sink)
        self._head = command.stages[0].endpoint
        self._on_layers = on_layers
        self._rest = b''

    def on_headers_complete(self) -> None:
        """Take the status and the engine's load."""
        super().on_headers_complete()
        self._tell(AttemptProgressed(self.attempt_id))
        for name, text in self.headers:
            if name.lower() == _LOAD_HEADER:
                report_load(self._head, text, self._sink)

    def on_body(self, body: bytes) -> None:
        """Take what came of the stream."""
        self._rest += body
        if self.status != _OK:
            return
        events = self._rest.split(b'\n\n')
        self._rest = events.pop()
        for event in events:
            if not self._ended:
                self._read_event(event)

    def on_message_complete(self) -> None:
        """Take an answer that ended; a whole one was finished before."""
        if self.status != _OK:
            self._read_refusal()
            return
        self._break('the stream ended before the answer was whole')

    def _read_event(self, event: bytes) -> None:
        if not event.startswith(_DATA):
            self._tell(AttemptProgressed(self.attempt_id))
            return
        payload = event[len(_DATA) :]
        if payload == _DONE:
            return
        try:
            chunk = _CHUNKS.decode(payload)
        except DecodeError as exc:
            self._break(f'got an event that is no token: {exc}')
            return
        self._read_chunk(chunk)

    def _read_chunk(self, chunk: _Chunk) -> None:
        if chunk.error is not None:
            detail = f'the engine reports {chunk.error.code}'
            self._break(detail, stage=chunk.error.stage)
            return
        if chunk.id != self.attempt_id or not chunk.choices:
            # Another attempt's token on this connection: the engine has
            # crossed answers. Passed on, it would reach a stranger.
            self._break('got a token of another attempt')
            return
        if self._on_layers is not None:
            self._on_layers(chunk.token, chunk.layers)
        self._tell(_build_token(chunk))

    def _read_refusal(self) -> None:
        """Believe "not run" only if the engine says so in so many words."""
        try:
            refusal = _REFUSALS.decode(self._rest)
        except DecodeError:
            self._break(f'the engine answered status {self.status}')
            return
        if refusal.ran:
            self._break(f'the engine answered status {self.status}')
            return
        self._tell(AttemptRefused(self.attempt_id, refusal.reason))
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
    """Return the HTTP request of an attempt.

    Parameters
    ----------
    command : OpenAttempt
        The attempt with its pipeline.
    body : dict
        The caller's checked body.
    account_salt : str
        Kept with cached prefixes, so that accounts never share one.
    priority : str
        ``high`` or ``normal``.
    prefixes : tuple of str
        Digests that the engine names in its cache events.
    trace : bool
        Ask which stages ran which layers of each token.
    """
    head = command.stages[0]
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
    return build_request('POST', target, head, headers, payload)


def report_load(endpoint: str, text: str | bytes, sink: Sink) -> None:
    """Pass an engine's load report on; an unreadable one says nothing."""
    try:
        load = _LOADS.decode(text)
    except DecodeError:
        return
    figures = load.named_metrics
    cache = load.cache
    if cache is not None:
        news = CacheNews(cache.first, cache.last, cache.stored, cache.evicted)
        sink.apply(CacheReported(endpoint, news))
    sink.apply(LoadReported(endpoint, figures.running, figures.waiting))


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
