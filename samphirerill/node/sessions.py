"""Connections of clients whose request has been parsed."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from msgspec.json import encode

from samphirerill.core.commands import Outcome
from samphirerill.node.responses import (
    OUTCOME_HEADER,
    ClientRequest,
    Completion,
    StoredResponse,
    build_chunk_prefix,
    build_completion,
    build_final_chunk,
    build_problem_document,
    format_retry_after,
    format_status_line,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from samphirerill.core.commands import Problem
    from samphirerill.node.unread_responses import UnreadResponses

StageRuns = list[list[Any]]
_WRITE_BUFFER_BYTES = 262_144


class Session(asyncio.Protocol):
    """A client's connection, from the parsed request to the response.

    Parameters
    ----------
    request_id : str
        Identifies the request in responses and logs.
    client_request : ClientRequest
        The parsed request.
    on_disconnect : callable
        Called once if the client disconnects before the response is complete.
    unread : UnreadResponses
        Closes the connection when the client has read its response.
    """

    def __init__(
        self,
        request_id: str,
        client_request: ClientRequest,
        on_disconnect: Callable[[str], None],
        unread: UnreadResponses,
    ) -> None:
        self.request_id = request_id
        self.client_request = client_request
        self.account = ''
        self.priority = ''
        self.prefixes: tuple[str, ...] = ()
        self.token_texts: list[str] = []
        self.layer_traces: dict[int, StageRuns] = {}
        self.headers_sent = False
        self.is_finished = False
        self.stored_response: StoredResponse | None = None
        self.arrived_at = 0.0
        self.last_token_at = 0.0
        self.on_backpressure: Callable[[bool], None] | None = None
        self._finish_reason = ''
        self._token_count = 0
        self._on_disconnect = on_disconnect
        self._unread = unread
        self._transport: Any = None
        self._chunk_prefix = b''

    async def attach(self, sock: socket.socket) -> None:
        """Take over the client's socket from the HTTP server."""
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: self, sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the write buffer for slow clients."""
        self._transport = transport
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)

    def eof_received(self) -> bool:
        """Treat a half-closed connection as a disconnect."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a disconnect before the response is complete."""
        self._unread.discard(self._transport)
        self._transport = None
        if not self.is_finished:
            self.is_finished = True
            self._on_disconnect(self.request_id)

    def pause_writing(self) -> None:
        """Apply backpressure: the write buffer is full."""
        if self.on_backpressure is not None:
            self.on_backpressure(True)

    def resume_writing(self) -> None:
        """Release backpressure: the write buffer has drained."""
        if self.on_backpressure is not None:
            self.on_backpressure(False)

    def deliver_token(self, index: int, text: str, finish: str) -> None:
        """Store a token and send it if the response is streamed."""
        self.token_texts.append(text)
        self._finish_reason = finish or self._finish_reason
        if not self.client_request.stream:
            return
        self._start_stream()
        reason = f'"{finish}"' if finish else 'null'
        layer_traces = b''
        if self.client_request.trace:
            layer_traces = b',"layers":' + encode(
                self.layer_traces.pop(index, [])
            )
        text_json = encode(text)
        if self.client_request.is_chat:
            text_json = b'{"content":' + text_json + b'}'
        self._send_event(
            b'%b%b,"finish_reason":%b}]%b}'
            % (self._chunk_prefix, text_json, reason.encode(), layer_traces)
        )

    def finish_response(self) -> None:
        """Send the final chunks of a stream, or the complete response."""
        if not self.client_request.stream:
            body = json.dumps(
                build_completion(
                    self.request_id, self.client_request, self._build_result()
                )
            ).encode()
            self.send_response(HTTPStatus.OK, [], body, Outcome.ANSWERED)
            return
        self._start_stream()
        self._send_event(
            json.dumps(
                build_final_chunk(self.request_id, self._get_token_count())
            ).encode()
        )
        self._send_event(b'[DONE]')
        self._write(b'0\r\n\r\n')
        self._close()

    def send_problem(self, problem: Problem) -> None:
        """Send a problem document.

        A stream that has started ends without the terminating HTTP chunk, so
        that clients detect the truncated response.
        """
        document = build_problem_document(problem, self.request_id)
        if self.headers_sent:
            error_chunk = {'error': document}
            self._send_event(json.dumps(error_chunk).encode())
            self._close()
            return
        headers = [('Content-Type', 'application/problem+json')]
        if problem.retry_after_s:
            headers.append(('Retry-After', format_retry_after(problem)))
        body = json.dumps(document).encode()
        self.send_response(problem.status, headers, body, problem.outcome)

    def send_response(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        outcome: Outcome,
    ) -> None:
        """Send a complete response with the outcome in a header."""
        names = {name.lower() for name, _ in headers}
        lines = [format_status_line(status)]
        lines.extend(f'{name}: {text}' for name, text in headers)
        if 'content-type' not in names:
            lines.append('Content-Type: application/json')
        lines.extend(
            (
                f'Content-Length: {len(body)}',
                f'{OUTCOME_HEADER}: {outcome.value}',
                f'Samphirerill-Request: {self.request_id}',
                'Connection: close',
            )
        )
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        self._write(head + body)
        self._close()

    def replay_completion(self, text: str, tokens: int) -> None:
        """Send a stored completion, streamed if the client asked for that."""
        self.deliver_token(0, text, 'stop')
        self._token_count = tokens
        self.finish_response()

    def _start_stream(self) -> None:
        if self.headers_sent:
            return
        self.headers_sent = True
        self._chunk_prefix = build_chunk_prefix(
            self.request_id, self.client_request
        )
        lines = (
            format_status_line(HTTPStatus.OK),
            'Content-Type: text/event-stream',
            'Cache-Control: no-store',
            'Transfer-Encoding: chunked',
            f'Samphirerill-Request: {self.request_id}',
            'Connection: close',
            '',
            '',
        )
        self._write('\r\n'.join(lines).encode())

    def _build_result(self) -> Completion:
        text = ''.join(self.token_texts)
        return Completion(
            text, self._finish_reason or 'stop', self._get_token_count()
        )

    def _get_token_count(self) -> int:
        return self._token_count or len(self.token_texts)

    def _send_event(self, payload: bytes) -> None:
        size = len(payload) + 8
        self._write(b'%x\r\ndata: %b\n\n\r\n' % (size, payload))

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self.is_finished:
            self._transport.write(payload)

    def _close(self) -> None:
        self.is_finished = True
        if self._transport is not None:
            self._unread.close(self._transport)
