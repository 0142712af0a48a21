"""A fake model engine that serves a range of layers.

Clients use the completions protocol with server-sent events. In addition to the
usual fields, the ``samphirerill`` object of the body contains the attempt id, the
epoch, the whole pipeline and the token index to resume at. The first stage of a
pipeline batches its sequences: every ``step_ms`` it sends one frame through the
other stages, each of which runs its layers, and then streams one token of each
sequence. A token's text depends only on the prompt and the token's index, so
that tests can compute the expected response.

``POST /control`` injects faults; see :class:`Faults`.
"""

from __future__ import annotations

import asyncio
import json
import time
import zlib
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from samphirerill.testing.httpd import LEAVING_HEADERS, Connection
from samphirerill.testing.order_handler import OrderHandler
from samphirerill.testing.prefix_cache import PrefixCache
from samphirerill.testing.stages import (
    FrameResult,
    Pipeline,
    StageRunner,
    StageServer,
)

if TYPE_CHECKING:
    from samphirerill.testing.httpd import Request

_WORDS = [
    'squat',
    'press',
    'row',
    'lunge',
    'hem',
    'bust',
    'seam',
    'waist',
    'back_off',
    'tempo',
    'sets',
    'reps',
    'plate',
    'bar',
    'belt',
    'lace',
    'veil',
    'train',
    'cuff',
    'yoke',
    'dart',
    'tack',
    'baste',
    'steam',
    'fit',
    'pin',
]
_KEEP_ALIVE_S = 0.1
_HOPS_INTERVAL_TOKENS = 8


@dataclass(slots=True)
class Faults:
    """Faults to inject into an engine.

    `frozen`: accept connections and never respond; `refuse`: refuse requests
    as not executed, with this reason; `crossed`: label tokens with another
    attempt's id; `repeat`: send each token twice; `die_after`: crash after
    that many more tokens; `link_ms`: additional latency of received frames;
    `retry_after`: answer requests with status 503 and this ``Retry-After``;
    `is_ambiguous`: such an answer does not state that nothing ran; `leaving`:
    all answers say that this process leaves.
    """

    frozen: bool = False
    refuse: str = ''
    crossed: bool = False
    repeat: bool = False
    die_after: int = -1
    link_ms: float = 0
    retry_after: str | None = None
    is_ambiguous: bool = False
    leaving: bool = False


@dataclass(slots=True)
class Sequence:
    """One response that the first stage generates."""

    attempt: str
    epoch: int
    prompt: str
    account: str
    index: int
    end: int
    priority: int
    pipeline: Pipeline
    is_chat: bool
    trace: bool
    connection: Connection
    result: FrameResult = field(default_factory=lambda: FrameResult('', 0))


def make_token(prompt: str, index: int) -> str:
    """Return the text of a token, which is the same on every engine."""
    word_index = zlib.crc32(f'{prompt}/{index}'.encode()) % len(_WORDS)
    return f'{_WORDS[word_index]} '


class FakeEngine:
    """A fake engine on one port.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent sequences as a first stage.
    step_ms : float
        Minimum time between two tokens of a sequence.
    layer_ms : float
        Time that one layer takes for one frame.
    """

    def __init__(
        self, slots: int = 8, step_ms: float = 26, layer_ms: float = 0.1
    ) -> None:
        self.slots = slots
        self.step_s = step_ms / 1000
        self.layer_ms = layer_ms
        self.faults = Faults()
        self.counts: Counter[str] = Counter()
        self.prompts: set[str] = set()
        self.cache = PrefixCache()
        self.orders = OrderHandler()
        self.last_start = 0.0
        self.address = ''
        self._running: dict[Pipeline, list[Sequence]] = {}
        self._waiting: list[Sequence] = []
        self._stage_runner = StageRunner()
        self._stage_server = StageServer(self, self._stage_runner)
        self._server: asyncio.Server | None = None
        self._protocols: set[Any] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> str:
        """Start listening and return the address; port 0 picks a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._connect, host, port)
        bound = self._server.sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        return self.address

    def crash(self) -> None:
        """Close the port and abort every connection, like a killed VM."""
        if self._server is not None:
            self._server.close()
        for protocol in tuple(self._protocols):
            protocol.abort()
        self._running.clear()
        self._waiting.clear()

    def running(self) -> int:
        """Return the number of sequences being generated."""
        return sum(len(group) for group in self._running.values())

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request."""
        if request.path == '/control':
            await self._apply_control(request)
            return
        if request.path != '/stats':
            self.counts['received'] += 1
        if self.faults.leaving:
            request.connection.common_headers = LEAVING_HEADERS
        if self.faults.frozen:
            self.counts['ignored'] += 1
        elif request.path.startswith('/v1/'):
            self._start_sequence(request)
        elif request.path == '/orders':
            status = self.orders.apply(request.read_json())
            request.connection.answer_json({'status': status}, status)
        else:
            request.connection.answer_json(self._describe(request.path))

    async def _apply_control(self, request: Request) -> None:
        changes = request.read_json()
        if changes.pop('die', False):
            request.connection.answer_json({'ok': True})
            await asyncio.sleep(0)
            self.crash()
            return
        for name, setting in changes.items():
            setattr(self.faults, name, setting)
        request.connection.answer_json({'ok': True})

    def _start_sequence(self, request: Request) -> None:
        if self.faults.retry_after is not None:
            self._request_back_off(request, self.faults.retry_after)
            return
        if self.faults.refuse:
            refusal = {'ran': False, 'reason': self.faults.refuse}
            request.connection.answer_json(refusal, 503)
            return
        sequence = _read_sequence(request)
        self.counts['sequences'] += 1
        self.prompts.add(sequence.prompt)
        hit = self.cache.use(request.read_json()['samphirerill'])
        self.counts['cache_hits' if hit else 'cache_misses'] += 1
        self.last_start = time.monotonic()
        headers = {
            'Content-Type': 'text/event-stream',
            'endpoint-load-metrics': json.dumps(self._describe_load()),
        }
        request.connection.start_chunks(headers)
        request.connection.on_close = lambda: self._cancel(sequence)
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda item: item.priority)
        self._admit()
        if sequence in self._waiting:
            self._spawn(self._send_keep_alives(sequence))

    def _request_back_off(self, request: Request, retry_after: str) -> None:
        self.counts['asked_for_rest'] += 1
        refusal = {} if self.faults.is_ambiguous else {'ran': False}
        headers = {'Retry-After': retry_after}
        request.connection.answer_json(refusal, 503, headers)

    def _admit(self) -> None:
        while self._waiting and self.running() < self.slots:
            sequence = self._waiting.pop(0)
            group = self._running.setdefault(sequence.pipeline, [])
            group.append(sequence)
            if len(group) == 1:
                self._spawn(self._generate(sequence.pipeline, group))

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_keep_alives(self, sequence: Sequence) -> None:
        """Send keep-alive comments while a sequence waits for a slot."""
        while sequence in self._waiting:
            if not self.faults.frozen:
                sequence.connection.send_chunk(b': waiting\n\n')
            await asyncio.sleep(_KEEP_ALIVE_S)

    async def _generate(
        self, pipeline: Pipeline, group: list[Sequence]
    ) -> None:
        """Run generation steps until the pipeline has no more sequences."""
        while group and self._running.get(pipeline) is group:
            started = time.monotonic()
            batch = tuple(group)
            result = await self._stage_runner.run(self, pipeline, 0, len(batch))
            if not self.faults.frozen:
                self._emit_step(group, batch, result)
            spent_s = time.monotonic() - started
            await asyncio.sleep(max(0, self.step_s - spent_s))
        if self._running.get(pipeline) is group:
            self._running.pop(pipeline)
        self._admit()

    def _emit_step(
        self,
        group: list[Sequence],
        batch: tuple[Sequence, ...],
        result: FrameResult,
    ) -> None:
        if result.failed_stage >= 0:
            self._report_stage_failure(group, result.failed_stage)
            return
        for sequence in batch:
            if sequence in group:
                self._emit(sequence, group, result)

    def _emit(
        self, sequence: Sequence, group: list[Sequence], result: FrameResult
    ) -> None:
        if self._crash_if_due():
            return
        chunk = self._build_chunk(sequence, result)
        sequence.connection.send_chunk(chunk)
        if self.faults.repeat:
            sequence.connection.send_chunk(chunk)
        self.counts['tokens'] += 1
        sequence.index += 1
        if sequence.index >= sequence.end:
            group.remove(sequence)
            sequence.connection.on_close = None
            sequence.connection.send_chunk(b'data: [DONE]\n\n')
            sequence.connection.send_chunk(b'')
            self._admit()

    def _crash_if_due(self) -> bool:
        if self.faults.die_after > 0:
            self.faults.die_after -= 1
        elif self.faults.die_after == 0:
            self.crash()
            return True
        return False

    def _build_chunk(self, sequence: Sequence, result: FrameResult) -> bytes:
        attempt = sequence.attempt
        if self.faults.crossed:
            attempt = f'{attempt}-other'
        is_last = sequence.index + 1 >= sequence.end
        text = make_token(sequence.prompt, sequence.index)
        choice: dict[str, Any] = {
            'index': 0,
            'finish_reason': 'length' if is_last else None,
        }
        if sequence.is_chat:
            choice['delta'] = {'content': text}
        else:
            choice['text'] = text
        chunk = {
            'id': attempt,
            'epoch': sequence.epoch,
            'token': sequence.index,
            'choices': [choice],
        }
        if sequence.trace:
            chunk['layers'] = result.layers
        if sequence.index % _HOPS_INTERVAL_TOKENS == 0:
            chunk['hops_ms'] = result.hops_ms
        return b'data: %b\n\n' % json.dumps(chunk).encode()

    def _report_stage_failure(self, group: list[Sequence], stage: int) -> None:
        failure = {'error': {'code': 'stage_failed', 'stage': stage}}
        body = b'data: %b\n\n' % json.dumps(failure).encode()
        for sequence in tuple(group):
            sequence.connection.on_close = None
            sequence.connection.send_chunk(body)
            sequence.connection.send_chunk(b'')
        group.clear()

    def _cancel(self, sequence: Sequence) -> None:
        """Cancel a sequence whose client closed its connection."""
        group = self._running.get(sequence.pipeline, [])
        if sequence in group:
            group.remove(sequence)
            self.counts['cancelled'] += 1
        if sequence in self._waiting:
            self._waiting.remove(sequence)
            self.counts['cancelled'] += 1
        self._admit()

    def _describe(self, path: str) -> dict[str, Any]:
        if path == '/status':
            return self.orders.describe()
        if path.startswith('/load'):
            after = int(path.partition('cache_after=')[2] or 0)
            return {
                **self._describe_load(),
                'cache': self.cache.list_events(after),
            }
        if path != '/stats':
            return {'healthy': True}
        return {
            **self.counts,
            'last_start': self.last_start,
            'orders': self.orders.accepted,
            'most_loads': OrderHandler.max_concurrent_loads,
            'prompts': sorted(self.prompts),
        }

    def _describe_load(self) -> dict[str, Any]:
        figures = {'running': self.running(), 'waiting': len(self._waiting)}
        return {'named_metrics': figures}

    def _connect(self) -> asyncio.Protocol:
        protocol = self._stage_server.build_protocol(Connection(self.handle))
        self._protocols.add(protocol)
        return protocol


def _read_sequence(request: Request) -> Sequence:
    body = request.read_json()
    extension = body['samphirerill']
    is_chat = 'messages' in body
    prompt = body.get('prompt', '')
    if is_chat:
        prompt = '\n'.join(turn['content'] for turn in body['messages'])
    pipeline = tuple(
        (stage['address'], stage['first'], stage['last'])
        for stage in extension['stages']
    )
    return Sequence(
        attempt=extension['attempt'],
        epoch=extension['epoch'],
        prompt=prompt,
        account=body.get('cache_salt', ''),
        index=extension['resume_at'],
        end=int(body.get('max_tokens', 16)),
        priority=int(body.get('priority', 0)),
        pipeline=pipeline,
        is_chat=is_chat,
        trace=bool(extension.get('trace')),
        connection=request.connection,
    )
