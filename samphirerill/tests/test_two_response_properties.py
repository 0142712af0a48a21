"""Any two responses on a connection, the first of them whole or cut short."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from unittest import TestCase
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirerill.backends.framing import Framing
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.response_memory import ResponseMemory
from samphirerill.relay.responses import filter_headers, read_body, read_head

_OWN_ID = b'9c41d07be2a35f68'
_BODILESS = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_CHUNK_BYTES = 5
_ID = b'x-samphirerill-request-id'
_FRAMING_NAMES = (b'content-length', b'transfer-encoding')
_SHORT_RUN = settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)

_Result = tuple[int, list[tuple[bytes, bytes]], bytes]


@dataclass(slots=True)
class _Response:
    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    framing: Framing
    body: bytes

    def encode(self) -> bytes:
        lines = [b'HTTP/1.1 %d %b' % (self.status, self.reason)]
        lines.extend(b'%b: %b' % pair for pair in self.headers)
        body = self._frame_body()
        return b'\r\n'.join((*lines, b'', body))

    def build_result(self) -> _Result:
        """Return what a caller gets of it."""
        headers = [
            pair for pair in self.headers if pair[0] not in _FRAMING_NAMES
        ]
        return self.status, headers, self.body

    def has_own_id(self) -> bool:
        return (_ID, _OWN_ID) in self.headers

    def _frame_body(self) -> bytes:
        if self.framing is not Framing.CHUNKS:
            return self.body
        pieces = [
            self.body[at : at + _CHUNK_BYTES]
            for at in range(0, len(self.body), _CHUNK_BYTES)
        ]
        chunks = [b'%x\r\n%b\r\n' % (len(piece), piece) for piece in pieces]
        return b''.join((*chunks, b'0\r\n\r\n'))


@st.composite
def _build_response(draw: st.DrawFn, ids: tuple[bytes, ...]) -> _Response:
    status = draw(st.sampled_from((103, 200, 201, 204, 304, 404, 500, 503)))
    reason = draw(st.sampled_from((b'', b'OK', b'Internal Server Error')))
    body = draw(st.binary(max_size=24))
    framing = draw(
        st.sampled_from((Framing.LENGTH, Framing.CHUNKS, Framing.CONNECTION))
    )
    if status < _FIRST_FINAL_STATUS or status in _BODILESS:
        framing = Framing.NO_BODY
        body = b''
    headers = [(b'x-samphirerill-response-seal', b's%d' % status)]
    request_id = draw(st.sampled_from(ids))
    if request_id:
        headers.append((_ID, request_id))
    headers.extend(
        draw(
            st.lists(
                st.sampled_from(
                    (
                        (b'content-type', b'text/plain'),
                        (b'x-note', b'%d' % status),
                        (b'x-empty', b''),
                    )
                ),
                max_size=2,
            )
        )
    )
    if framing is Framing.LENGTH:
        headers.append((b'content-length', b'%d' % len(body)))
    elif framing is Framing.CHUNKS:
        headers.append((b'transfer-encoding', b'chunked'))
    return _Response(
        status, reason, draw(st.permutations(headers)), framing, body
    )


_EARLIER = _build_response((_OWN_ID, b'earlier', b''))
_OWN = _build_response((_OWN_ID,))


async def _receive(pieces: list[bytes]) -> _Result | None:
    """Return what a caller gets if the endpoint then ends its connection."""
    conn = HttpConnection('h:1')
    conn.connection_made(Mock(is_closing=Mock(return_value=False)))
    conn.send(b'POST / HTTP/1.1\r\n\r\n', _OWN_ID)
    reading = asyncio.create_task(_read(conn))
    for piece in pieces:
        conn.data_received(piece)
        await asyncio.sleep(0)
    conn.eof_received()
    conn.connection_lost(None)
    try:
        return await reading
    except EndpointError:
        return None


async def _read(conn: HttpConnection) -> _Result:
    deadline = asyncio.get_running_loop().time() + 1
    head, _ = await read_head(conn, HttpPlatformAdapter(), _OWN_ID, deadline)
    body = await read_body(conn, deadline, ResponseMemory())
    return head.status, filter_headers(head), body


class TestTwoResponses(TestCase):
    """The second response is that to the present request."""

    @_SHORT_RUN
    @given(
        _EARLIER,
        _OWN,
        st.integers(min_value=0, max_value=300),
        st.lists(st.integers(min_value=1, max_value=500), max_size=4),
    )
    def test_callers_get_one_of_them_or_an_error(
        self, first: _Response, second: _Response, cut: int, ends: list[int]
    ) -> None:
        """Guards against responses that were joined from two."""
        raw = first.encode()[:cut]
        is_whole = cut >= len(first.encode())
        stream = raw + second.encode()
        bounds = sorted(
            {0, len(stream), *(at for at in ends if at < len(stream))}
        )
        if not is_whole and len(first.encode()) in bounds[1:-1]:
            # A body that is completed just where a read ends looks whole.
            bounds.remove(len(first.encode()))
        pieces = [
            stream[begin:end]
            for begin, end in zip(bounds, bounds[1:], strict=False)
        ]
        result = asyncio.run(_receive(pieces))
        allowed: list[_Result | None] = [None, second.build_result()]
        if is_whole and first.has_own_id():
            allowed.append(first.build_result())
        self.assertIn(result, allowed)
