"""Headers of refusals in the project's own interface."""

from __future__ import annotations

import json
from http import HTTPStatus
from unittest import TestCase
from unittest.mock import Mock

from samphirerill.core.commands import Outcome, Problem
from samphirerill.node.responses import ClientRequest, build_problem_document
from samphirerill.node.sessions import Session
from samphirerill.node.unread_responses import UnreadResponses


class _Transport:
    """Keeps what is written."""

    def __init__(self) -> None:
        self.written = b''

    def set_write_buffer_limits(self, high: int) -> None:
        """Ignore the limit."""

    def write(self, payload: bytes) -> None:
        """Keep a payload."""
        self.written += payload

    def close(self) -> None:
        """Ignore the end."""


class TestRetryAfter(TestCase):
    """``Retry-After`` is in whole seconds."""

    def test_client_is_not_told_to_return_too_early(self) -> None:
        """Guards against rounding down to a time at which nothing is free."""
        for seconds, expected in ((0.2, '1'), (2.4, '3'), (3, '3')):
            transport = _Transport()
            session = Session(
                'r1',
                ClientRequest('model', '', ''),
                print,
                Mock(spec=UnreadResponses),
            )
            session.connection_made(transport)  # type: ignore[arg-type]
            session.send_problem(
                Problem(
                    HTTPStatus.SERVICE_UNAVAILABLE,
                    'overloaded',
                    '',
                    Outcome.NOT_RUN,
                    seconds,
                )
            )
            head, _, body = transport.written.partition(b'\r\n\r\n')
            self.assertIn(f'Retry-After: {expected}\r\n', head.decode())
            document = json.loads(body)
            self.assertGreaterEqual(document['retry_after_s'], seconds)

    def test_document_says_when_too(self) -> None:
        """Guards against a time in the body that is earlier than possible."""
        problem = Problem(503, 'overloaded', '', Outcome.NOT_RUN, 2.44)
        document = build_problem_document(problem, 'r1')
        self.assertGreaterEqual(document['retry_after_s'], 2.44)
