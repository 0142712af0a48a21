"""Whatever happens together, requests that a node has read are answered."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from unittest import TestCase
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.connection import serialize_request
from samphirerill.relay.process import EdgeProcess
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

_SHORT_RUN = settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
_OK = 200
_STATUSES = frozenset((_OK, 404, 503))
# For a request whose client may still have been sending it.
_CUT_STATUSES = _STATUSES | {408}
_NOTICE_S = 0.05
_SEND_PAUSE_S = 0.02
_READ_TIMEOUT_S = 10.0
_EVENT_INTERVAL_S = 0.002
_TARGETS = (b'/pickup/x', b'/notes/x')
_EVENTS = b''.join(
    b'id: %d\ndata: token%d\n\n' % (number, number) for number in range(1, 6)
)
_CHANGES = (
    'drain',
    'drop route',
    'drop service',
    'restore',
    'short idle time',
    'long idle time',
    'settings',
)


@dataclass(slots=True)
class _Batch:
    """Requests that a client sends at once, or cut in two parts."""

    targets: list[bytes]
    pause_s: float
    # The share of the bytes, in quarters, that the first part has.
    first_quarters: int


@dataclass(slots=True)
class _Answer:
    status: int
    closes: bool
    body: bytes


@dataclass(slots=True)
class _Client:
    """Sends batches on a kept connection, and opens another after a close."""

    name: str
    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    violations: list[str] = field(default_factory=list)
    unanswered: set[str] = field(default_factory=set)
    resets: list[str] = field(default_factory=list)

    async def run(self, batches: list[_Batch]) -> None:
        """Send batches until the node refuses connections."""
        for number, batch in enumerate(batches):
            await asyncio.sleep(batch.pause_s)
            if not await self._connect():
                return
            await self._exchange(f'{self.name}-{number}', batch)
        self._close()

    async def _connect(self) -> bool:
        """Keep the connection or open one; return false if it is refused."""
        if self.reader is not None and not self.reader.at_eof():
            return True
        self._close()
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.port
            )
        except ConnectionError:
            return False
        self.reader = reader
        self.writer = writer
        return True

    def _close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = None
        self.writer = None

    async def _exchange(self, prefix: str, batch: _Batch) -> None:
        parts = [
            serialize_request(
                b'POST', target, build_headers(f'{prefix}-{number}'), b''
            )
            for number, target in enumerate(batch.targets)
        ]
        cut = len(b''.join(parts)) * batch.first_quarters // 4
        await self._send(b''.join(parts), cut)
        answers = await self._read_answers(prefix, batch)
        self._check(prefix, parts, cut, answers)
        if len(answers) < len(parts) or answers[-1].closes:
            self._close()

    async def _send(self, raw: bytes, cut: int) -> None:
        if self.writer is None:
            raise RuntimeError('no connection is open')
        self.writer.write(raw[:cut])
        if cut < len(raw):
            await asyncio.sleep(_SEND_PAUSE_S)
            self.writer.write(raw[cut:])

    async def _read_answers(self, prefix: str, batch: _Batch) -> list[_Answer]:
        answers: list[_Answer] = []
        for target in batch.targets:
            answer = await self._read_answer(prefix)
            if answer is None:
                break
            answers.append(answer)
            self._check_body(prefix, target, answer)
            if answer.closes:
                break
        return answers

    def _check_body(self, prefix: str, target: bytes, answer: _Answer) -> None:
        expected = _EVENTS if target == b'/notes/x' else b'plain '
        if answer.status == _OK and answer.body != expected:
            self.violations.append(f'{prefix}: {answer.body!r}')

    async def _read_answer(self, prefix: str) -> _Answer | None:
        if self.reader is None:
            return None
        try:
            return await _read_answer(self.reader)
        except asyncio.IncompleteReadError as exc:
            if exc.partial:
                self.violations.append(f'{prefix}: truncated')
        except ConnectionError as exc:
            # Sent while the node closed the idle connection.
            self.resets.append(repr(exc))
        return None

    def _check(
        self, prefix: str, parts: list[bytes], cut: int, answers: list[_Answer]
    ) -> None:
        """Note which requests have no answer, and impossible statuses."""
        end = 0
        for number, part in enumerate(parts):
            end += len(part)
            name = f'{prefix}-{number}'
            if number < len(answers):
                self._check_status(name, answers[number].status, end > cut)
                continue
            self.unanswered.add(name)
            # The node has read the first part, as it has answered some of it.
            if answers and end <= cut:
                self.violations.append(f'{name}: no answer')

    def _check_status(self, name: str, status: int, was_cut: bool) -> None:
        allowed = _CUT_STATUSES if was_cut else _STATUSES
        if status not in allowed:
            self.violations.append(f'{name}: status {status}')


async def _read_answer(reader: asyncio.StreamReader) -> _Answer:
    """Read one complete response."""
    async with asyncio.timeout(_READ_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        try:
            body = await _read_body(reader, head)
        except ConnectionError as exc:
            raise asyncio.IncompleteReadError(head, None) from exc
    status = int(head.split(b' ')[1])
    return _Answer(status, b'connection: close' in head, body)


async def _read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    length = re.search(rb'content-length: (\d+)', head)
    if length is None:
        return await _read_chunks(reader)
    try:
        return await reader.readexactly(int(length[1]))
    except asyncio.IncompleteReadError as exc:
        raise asyncio.IncompleteReadError(head + exc.partial, None) from exc


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    chunks = []
    while True:
        size = int(await reader.readline(), 16)
        chunks.append(await reader.readexactly(size))
        await reader.readexactly(2)
        if not size:
            return b''.join(chunks)


class _Trial:
    """One node with some clients, and the changes around them."""

    def __init__(self, harness: PlatformHarness, process: EdgeProcess) -> None:
        self._harness = harness
        self._process = process
        self._version = 7

    async def change(self, plan: list[tuple[float, str]]) -> None:
        """Make the changes, each some time after the one before."""
        for after_s, kind in plan:
            await asyncio.sleep(after_s)
            if kind == 'drain':
                self._process.start_draining()
            elif kind == 'settings':
                state = self._process.state
                state.apply_settings(replace(state.settings, retry_slack=0))
            else:
                await self._configure(kind)

    async def _configure(self, kind: str) -> None:
        self._version += 1
        document = json.decode(build_configuration(self._version))
        if kind == 'drop route':
            document['routes'].pop()
        elif kind == 'drop service':
            document['services'].pop()
        elif kind.endswith('idle time'):
            is_short = kind.startswith('short')
            document['limits']['idleTimeoutMs'] = 60 if is_short else 5000
        await self._harness.store.put('op/config', json.encode(document))


async def _run_trial(
    plan: list[tuple[float, str]], scripts: list[list[_Batch]]
) -> list[str]:
    """Return what was violated."""
    harness = PlatformHarness()
    await harness.start()
    try:
        return await _run_clients(harness, plan, scripts)
    finally:
        await harness.stop()


async def _run_clients(
    harness: PlatformHarness,
    plan: list[tuple[float, str]],
    scripts: list[list[_Batch]],
) -> list[str]:
    await _add_replicas(harness)
    process = await harness.wait_until_ready()
    clients = [
        _Client(f'c{number}', process.get_port())
        for number, _ in enumerate(scripts)
    ]
    sending = [
        client.run(script)
        for client, script in zip(clients, scripts, strict=True)
    ]
    trial = _Trial(harness, process)
    await asyncio.gather(trial.change(plan), *sending)
    return [
        *[violation for client in clients for violation in client.violations],
        *_list_unanswered(harness, clients),
        *[
            f'{counter}: {count}'
            for counter, count in process.state.counters.items()
            if counter.startswith('requests.unanswered')
        ],
    ]


async def _add_replicas(harness: PlatformHarness) -> None:
    await harness.store.put('op/config', build_configuration())
    for name in ('engine-1', 'engine-2', 'desk-1'):
        replica = await harness.add_replica(name)
        replica.event_interval_s = _EVENT_INTERVAL_S
        service, kind, layers = 'desk', '', None
        if name.startswith('engine'):
            service, kind, layers = 'llm', 'vast', (0, 80)
            replica.layers = (0, 80)
        entry = build_announcement(
            service, harness.addresses[name], kind, layers
        )
        await harness.store.put(f'servers/{name}', entry)
    await harness.wait_for_replica_count(3)


def _list_unanswered(
    harness: PlatformHarness, clients: list[_Client]
) -> list[str]:
    """Return the requests that were passed on and have no answer."""
    unanswered = set().union(*[client.unanswered for client in clients])
    passed_on = {
        (req.get(b'x-samphirerill-request-id') or b'').decode()
        for replica in harness.replicas.values()
        for req in replica.received_requests
    }
    return [f'{name}: passed on' for name in sorted(unanswered & passed_on)]


_TIMES = st.floats(min_value=0, max_value=0.15)
_BATCHES = st.builds(
    _Batch,
    st.lists(st.sampled_from(_TARGETS), min_size=1, max_size=10),
    st.one_of(st.just(0.0), _TIMES),
    st.sampled_from((4, 4, 3, 2, 1)),
)


class TestConnections(TestCase):
    """Kept connections while requests, changes and a shutdown overlap."""

    @_SHORT_RUN
    @given(
        st.lists(
            st.tuples(_TIMES, st.sampled_from(_CHANGES)),
            min_size=1,
            max_size=5,
        ),
        st.lists(
            st.lists(_BATCHES, min_size=1, max_size=4), min_size=1, max_size=5
        ),
    )
    def test_requests_that_were_read_are_answered(
        self, plan: list[tuple[float, str]], scripts: list[list[_Batch]]
    ) -> None:
        with patch('samphirerill.relay.process._READINESS_NOTICE_S', _NOTICE_S):
            violations = asyncio.run(_run_trial(plan, scripts))
        self.assertEqual(violations, [])
