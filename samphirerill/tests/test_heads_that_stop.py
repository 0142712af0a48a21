"""Responses that stop at any byte, with their connection closed or reset."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from functools import partial
from itertools import product
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

from msgspec.structs import replace

from samphirerill.backends.engine_call import EngineCall
from samphirerill.backends.service_call import ServiceCall
from samphirerill.backends.store import StoreUnreachableError
from samphirerill.core.commands import Stage
from samphirerill.core.events import (
    AttemptFailed,
    AttemptRefused,
    ServiceAnswered,
)
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import BrokenResponseError, EndpointError
from samphirerill.relay.pool import call_once, read_response
from samphirerill.relay.sockets import reset_connection
from samphirerill.relay.tunnels.frames import (
    END_FRAME,
    FrameReader,
    encode_frame,
)
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.test_tunnels import TunnelCase
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from samphirerill.backends.endpoint_call import EndpointCall

_REQUEST_ID = re.compile(rb'(?i)x-samphirerill-request-id: (\S+)')
_RESUME_AFTER = re.compile(rb'(?i)last-event-id: (\d+)')
_HEAD = (
    b'content-type: text/event-stream\r\nx-samphirerill-request-id: %b\r\n'
    b'x-samphirerill-response-seal: s\r\n'
)
_EVENTS = [b'id: %d\ndata: token\n\n' % number for number in range(3)]
_BODY = b''.join(_EVENTS)
_REST = b''.join(_EVENTS[1:])
_CHUNKED_BODY = b'%x;part=1\r\n%b\r\n%x\r\n%b\r\n0\r\nsum: 1\r\n\r\n' % (
    len(_EVENTS[0]),
    _EVENTS[0],
    len(_REST),
    _REST,
)
_LENGTH = (
    b'HTTP/1.1 200 OK\r\n%bcontent-length: %d\r\n\r\n' % (_HEAD, len(_BODY))
) + _BODY
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\n%btransfer-encoding: chunked\r\n\r\n' % _HEAD
) + _CHUNKED_BODY
_INTERIM = (
    b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
    b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
)
_UNFRAMED = b'HTTP/1.1 200 OK\r\n%b\r\n' % _HEAD
_FRAMED = {'length': _LENGTH, 'chunks': _CHUNKED, 'interim': _INTERIM}
_RESPONSES = {**_FRAMED, 'unframed': _UNFRAMED}
_REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
_OK = 200
_AMPLE_RETRIES = 10_000
_MIN_REACHED = 0.9
# Streams wait before they are sent again.
_STREAM_STEP = 37
_TIMEOUT_S = 5.0
_FAILURES = {502, 504}
_CONCURRENT = 4
_CONCURRENT_STREAMS = 16
_NO_STATUS = 0
_PIECE_BYTES = 7


def _list_cuts(
    responses: dict[str, bytes] | None = None, request_id: bytes = b'r'
) -> Iterator[tuple[str, bytes, bool]]:
    """Yield name, part and whether it is reset, for all that is not whole."""
    for name, response in (responses or _RESPONSES).items():
        whole = response.replace(b'%b', request_id)
        sizes = range(len(whole))
        for size, is_reset in product(sizes, (False, True)):
            yield f'{name}-{size}-{is_reset:d}', whole[:size], is_reset
    yield 'unframed-whole-1', _UNFRAMED.replace(b'%b', request_id), True


class _StoppingEndpoint:
    """Sends what `respond` returns for a request's head, and ends.

    `respond` returns the bytes and how the connection ends: whether by a reset, or
    none to keep it open.
    """

    def __init__(
        self, respond: Callable[[bytes], tuple[bytes, bool | None]]
    ) -> None:
        self.respond = respond
        self.address = ''
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return server

    async def stop(self) -> None:
        """End all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                response, is_reset = self.respond(head)
                writer.write(response)
                if is_reset is not None:
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        if is_reset:
            reset_connection(writer.transport)
        else:
            writer.close()


def _end(part: bytes, is_reset: bool, head: bytes) -> tuple[bytes, bool]:
    return part, is_reset


async def _start(case: IsolatedAsyncioTestCase) -> _StoppingEndpoint:
    endpoint = _StoppingEndpoint(lambda _: (b'', False))
    server = await endpoint.start()
    case.addAsyncCleanup(endpoint.stop)
    case.addCleanup(server.close)
    return endpoint


class TestOwnInterface(IsolatedAsyncioTestCase):
    """Attempts of the project's own interface."""

    def list_outcomes(
        self, call: EndpointCall, part: bytes, *, is_reset: bool
    ) -> list[type]:
        """Return the events that say how an attempt has ended."""
        sink = call._sink
        assert isinstance(sink, Mock)
        call.data_received(part)
        if not is_reset:
            call.eof_received()
        call.connection_lost(ConnectionResetError() if is_reset else None)
        events = [type(entry.args[0]) for entry in sink.apply.call_args_list]
        ends = (AttemptFailed, AttemptRefused, ServiceAnswered)
        return [event for event in events if event in ends]

    async def test_parts_fail_the_attempt(self) -> None:
        """Guards against a part of a response that counts as whole."""
        stage = Mock(spec=Stage, address='h:1')
        command = Mock(attempt_id='a', stages=(stage,))
        for name, part, is_reset in _list_cuts():
            for call in (
                ServiceCall('a', stage, b'', Mock()),
                EngineCall(command, b'', Mock()),
            ):
                with self.subTest(name, call=type(call).__name__):
                    outcomes = self.list_outcomes(call, part, is_reset=is_reset)
                    self.assertEqual(outcomes, [AttemptFailed])


class TestCalls(IsolatedAsyncioTestCase):
    """The store's client, and calls between nodes, on real sockets."""

    async def test_parts_are_no_response(self) -> None:
        """Guards against a part of a response that counts as whole."""
        asyncio.get_running_loop().set_debug(False)
        endpoint = await _start(self)
        loop = asyncio.get_running_loop()
        store = PlatformStore(endpoint.address)
        for name, part, is_reset in _list_cuts():
            endpoint.respond = partial(_end, part, is_reset)
            with self.subTest(name):
                with self.assertRaises(EndpointError):
                    await call_once(
                        endpoint.address,
                        b'GET',
                        b'/',
                        b'',
                        loop.time() + _TIMEOUT_S,
                    )
                with self.assertRaises(StoreUnreachableError):
                    await store.read('key')


class TestTunnelFrames(IsolatedAsyncioTestCase):
    """What another node passes on of a response, in frames."""

    async def read(self, pieces: list[bytes]) -> tuple[int, bytes]:
        """Return the response in the frames of a tunnel that then closes."""
        conn = HttpConnection('h:1')
        reader = FrameReader(conn)
        transport = Mock(is_closing=Mock(return_value=False))
        conn.adopt(transport, 'h:2', reader)
        conn.send(b'GET / HTTP/1.1\r\n\r\n')
        for piece in pieces:
            reader.data_received(piece)
        reader.connection_lost(None)
        loop = asyncio.get_running_loop()
        return await read_response(conn, loop.time() + _TIMEOUT_S)

    async def test_parts_are_no_response(self) -> None:
        """Guards against a part of a response that counts as whole."""
        for name, part, is_reset in _list_cuts():
            pieces = [encode_frame(part)] if part else []
            if not is_reset:
                pieces.append(END_FRAME)
            with self.subTest(name), self.assertRaises(BrokenResponseError):
                await self.read(pieces)

    async def test_tunnel_that_stops_completes_nothing(self) -> None:
        """Guards against a part of a frame that ends a response."""
        for name, response in _RESPONSES.items():
            raw = encode_frame(response)
            raw += END_FRAME if name == 'unframed' else b''
            whole = await self.read([raw])
            self.assertEqual(whole[0], _OK)
            sizes = range(len(raw))
            for size in sizes:
                with self.subTest(name, size=size):
                    await self.check_part(raw[:size])

    async def check_part(self, part: bytes) -> None:
        """Assert that a part of the frames, in small pieces, is no response."""
        pieces = [
            part[at : at + _PIECE_BYTES]
            for at in range(0, len(part), _PIECE_BYTES)
        ]
        with self.assertRaises(BrokenResponseError):
            await self.read(pieces)


class TestTunnels(TunnelCase):
    """An endpoint behind another node, on real sockets."""

    async def test_parts_are_no_response(self) -> None:
        """Guards against an end frame after a part of a response."""
        asyncio.get_running_loop().set_debug(False)
        endpoint = await _start(self)
        await self.harness.store.put(
            'servers/desk-3', build_announcement('desk', endpoint.address)
        )
        await self.harness.wait_for_replica_count(3)
        for name, part, is_reset in _list_cuts():
            endpoint.respond = partial(_end, part, is_reset)
            with self.subTest(name):
                conn = await self.open(endpoint.address)
                conn.send(self.build_call())
                with self.assertRaises(BrokenResponseError):
                    await read_response(conn, self.loop.time() + _TIMEOUT_S)
                conn.close()


class TestNode(IsolatedAsyncioTestCase):
    """Requests of clients to a node with one plain endpoint and two engines."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        self.desk = await self.add_endpoint('desk-1', 'desk')
        self.engines = [
            await self.add_endpoint(name, 'llm', 'vast', (0, 80))
            for name in ('engine-1', 'engine-2')
        ]
        await self.harness.wait_for_replica_count(3)
        self.state = self.harness.require_first_node().state
        self.state.apply_settings(
            replace(self.state.settings, retry_slack=_AMPLE_RETRIES)
        )

    async def add_endpoint(
        self,
        name: str,
        service: str,
        kind: str = '',
        layers: tuple[int, int] | None = None,
    ) -> _StoppingEndpoint:
        """Start an endpoint and announce it."""
        endpoint = await _start(self)
        entry = build_announcement(service, endpoint.address, kind, layers)
        await self.harness.store.put(f'servers/{name}', entry)
        return endpoint

    async def exchange(self, target: bytes, name: str) -> tuple[int, bytes]:
        """Send a request; the status is 0 if its response is incomplete."""
        try:
            return await self.harness.send_request(target, build_headers(name))
        except EndpointError as exc:
            return _NO_STATUS, str(exc).encode()

    async def exchange_all(
        self, target: bytes, names: list[str], concurrent: int = _CONCURRENT
    ) -> dict[str, tuple[int, bytes]]:
        """Send some requests at a time; return the response to each."""
        limit = asyncio.Semaphore(concurrent)
        outcomes = {}

        async def send(name: str) -> None:
            async with limit:
                for replica in ('desk-1', 'engine-1'):
                    self.state.view.note_alive(replica)
                    self.state.view.replicas[replica].backoff_until = 0
                outcomes[name] = await self.exchange(target, name)

        await asyncio.gather(*map(send, names))
        return outcomes

    async def check_streams(
        self, first: Callable[[bytes], tuple[bytes, bool | None]] | None
    ) -> None:
        """Assert that clients get whole streams, or what says that they are not.

        Parameters
        ----------
        first : callable, optional
            How the first send of each stream is answered. The one behind it stops
            at some byte, and later ones are answered well.
        """
        parts = dict(list(_build_parts())[::_STREAM_STEP])
        sends: Counter[str] = Counter()
        respond = partial(_respond_to_stream, first, parts, sends)
        for engine in self.engines:
            engine.respond = respond
        outcomes = await self.exchange_all(
            b'/notes/x',
            list(parts),
            _CONCURRENT if first is None else _CONCURRENT_STREAMS,
        )
        for name, (status, body) in outcomes.items():
            with self.subTest(name):
                if status == _OK:
                    self.assertEqual(body, _BODY)
                else:
                    self.assertIn(status, _FAILURES | {_NO_STATUS}, body)
        # Else it would show nothing of those that stop.
        statuses = Counter(status for status, _ in outcomes.values())
        reached = sum(count > (first is not None) for count in sends.values())
        self.assertGreater(reached, len(parts) * _MIN_REACHED, statuses)

    async def test_plain_service(self) -> None:
        """Guards against a success with a part of the body."""
        parts = dict(_build_parts())

        def respond(head: bytes) -> tuple[bytes, bool | None]:
            found = _REQUEST_ID.search(head)
            if found is None:
                return _REPORT, None
            part, is_reset = parts[found[1].decode()]
            return part.replace(b'%b', found[1]), is_reset

        self.desk.respond = respond
        outcomes = await self.exchange_all(b'/pickup/x', list(parts))
        for name, (status, body) in outcomes.items():
            with self.subTest(name):
                self.assertIn(status, _FAILURES, body)

    async def test_streams(self) -> None:
        """Guards against a part of a stream that looks whole."""
        await self.check_streams(None)

    async def test_resumed_streams(self) -> None:
        """Guards against a resumed run whose part ends the stream."""
        await self.check_streams(lambda name: (_build_start(name), False))

    async def test_runs_in_parallel(self) -> None:
        """Guards against a run in parallel whose part ends the stream."""
        await self.check_streams(lambda name: (_build_start(name), None))


def _respond_to_stream(
    first: Callable[[bytes], tuple[bytes, bool | None]] | None,
    parts: dict[str, tuple[bytes, bool]],
    sends: Counter[str],
    head: bytes,
) -> tuple[bytes, bool | None]:
    """Return what an engine sends; `sends` counts those of each stream."""
    found = _REQUEST_ID.search(head)
    if found is None:
        return _REPORT, None
    name = found[1].decode()
    sends[name] += 1
    number = sends[name] - (first is not None)
    if first is not None and not number:
        return first(found[1])
    if number == 1:
        return parts[name][0].replace(b'%b', found[1]), parts[name][1]
    return _LENGTH.replace(b'%b', found[1]), None


def _build_start(request_id: bytes) -> bytes:
    """Return the start of a stream, up to the end of its first event."""
    end = _CHUNKED.index(_EVENTS[0]) + len(_EVENTS[0])
    return _CHUNKED[:end].replace(b'%b', request_id)


def _build_parts() -> Iterator[tuple[str, tuple[bytes, bool]]]:
    """Yield, by request id, what an endpoint sends and whether it resets."""
    for name, part, is_reset in _list_cuts(request_id=b'%b'):
        yield name, (part, is_reset)
