"""Callers' connections after their request has been read, on the loop."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from msgspec.json import encode

from samphirerill.core.commands import Outcome
from samphirerill.node.answers import (
    OUTCOME_HEADER,
    CallerRequest,
    KeptAnswer,
    WholeText,
    build_frame,
    build_summary,
    build_whole,
    describe_problem,
    format_status,
)

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from samphirerill.core.commands import Problem

StageRuns = list[list[Any]]
_MAX_UNSENT = 262_144


class Session(asyncio.Protocol):
    """One caller's connection, from the read request to its one answer.

    Parameters
    ----------
    request_id : str
        Names the request in answers and logs.
    caller : CallerRequest
        What was asked.
    on_left : callable
        Called once if the caller closes before its answer is whole.
    """

    def __init__(
        self,
        request_id: str,
        caller: CallerRequest,
        on_left: Callable[[str], None],
    ) -> None:
        self.request_id = request_id
        self.caller = caller
        self.account = ''
        self.priority = ''
        self.prefixes: tuple[str, ...] = ()
        self.texts: list[str] = []
        self.layers: dict[int, StageRuns] = {}
        self.answered = False
        self.kept: KeptAnswer | None = None
        self.arrived_at = 0.0
        self.last_token_at = 0.0
        self.on_slow: Callable[[bool], None] | None = None
        self._finish = ''
        self._token_count = 0
        self._on_left = on_left
        self._transport: Any = None
        self._head_sent = False
        self._frame = b''

    async def attach(self, sock: socket.socket) -> None:
        """Take over the caller's connection."""
        loop = asyncio.get_running_loop()
        await loop.connect_accepted_socket(lambda: self, sock)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what may wait for a slow caller."""
        self._transport = transport
        self._transport.set_write_buffer_limits(high=_MAX_UNSENT)

    def eof_received(self) -> bool:
        """Take a half-closed connection for a caller that left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the node if the caller left early."""
        self._transport = None
        if not self.answered:
            self.answered = True
            self._on_left(self.request_id)

    def pause_writing(self) -> None:
        """The caller reads slower than its answer comes."""
        if self.on_slow is not None:
            self.on_slow(True)

    def resume_writing(self) -> None:
        """The caller has caught up."""
        if self.on_slow is not None:
            self.on_slow(False)

    def deliver_token(self, index: int, text: str, finish: str) -> None:
        """Keep a token and, for a streamed answer, send it."""
        self.texts.append(text)
        self._finish = finish or self._finish
        if not self.caller.stream:
            return
        self._start_stream()
        reason = f'"{finish}"' if finish else 'null'
        layers = b''
        if self.caller.trace:
            layers = b',"layers":' + encode(self.layers.pop(index, []))
        text_json = encode(text)
        if self.caller.is_chat:
            text_json = b'{"content":' + text_json + b'}'
        self._send_event(
            b'%b%b,"finish_reason":%b}]%b}'
            % (self._frame, text_json, reason.encode(), layers)
        )

    def finish_answer(self) -> None:
        """Tell that the answer is whole, in its last event or as a whole."""
        if not self.caller.stream:
            body = json.dumps(
                build_whole(self.request_id, self.caller, self._sum_up())
            ).encode()
            self.send_whole(HTTPStatus.OK, [], body, Outcome.ANSWERED)
            return
        self._start_stream()
        self._send_event(
            json.dumps(
                build_summary(self.request_id, self._count_tokens())
            ).encode()
        )
        self._send_event(b'[DONE]')
        self._write(b'0\r\n\r\n')
        self._end()

    def refuse(self, problem: Problem) -> None:
        """Tell why there is no whole answer, and what is known of it.

        A stream that has started ends without its last chunk, so that no
        client can take a part for the whole.
        """
        document = describe_problem(problem, self.request_id)
        if self._head_sent:
            failure = {'error': document}
            self._send_event(json.dumps(failure).encode())
            self._end()
            return
        headers = [('Content-Type', 'application/problem+json')]
        if problem.retry_after_s:
            seconds = max(1, round(problem.retry_after_s))
            headers.append(('Retry-After', str(seconds)))
        body = json.dumps(document).encode()
        self.send_whole(problem.status, headers, body, problem.outcome)

    def send_whole(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes,
        outcome: Outcome,
    ) -> None:
        """Send a whole answer that names its outcome."""
        names = {name.lower() for name, _ in headers}
        lines = [format_status(status)]
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
        self._end()

    def replay_text(self, text: str, tokens: int) -> None:
        """Send a kept model answer, in the form this caller asked for."""
        self.deliver_token(0, text, 'stop')
        self._token_count = tokens
        self.finish_answer()

    def _start_stream(self) -> None:
        if self._head_sent:
            return
        self._head_sent = True
        self._frame = build_frame(self.request_id, self.caller)
        lines = (
            format_status(HTTPStatus.OK),
            'Content-Type: text/event-stream',
            'Cache-Control: no-store',
            'Transfer-Encoding: chunked',
            f'Samphirerill-Request: {self.request_id}',
            'Connection: close',
            '',
            '',
        )
        self._write('\r\n'.join(lines).encode())

    def _sum_up(self) -> WholeText:
        text = ''.join(self.texts)
        return WholeText(text, self._finish or 'stop', self._count_tokens())

    def _count_tokens(self) -> int:
        return self._token_count or len(self.texts)

    def _send_event(self, payload: bytes) -> None:
        size = len(payload) + 8
        self._write(b'%x\r\ndata: %b\n\n\r\n' % (size, payload))

    def _write(self, payload: bytes) -> None:
        if self._transport is not None and not self.answered:
            self._transport.write(payload)

    def _end(self) -> None:
        self.answered = True
        if self._transport is not None:
            self._transport.close()
