"""Invalid requests are rejected with an error and not executed."""

from __future__ import annotations

import json
import socket
import time
import unittest

from samphirerill.testing.clients import request_completion, send_request
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, SECOND_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase

_VALID_BODY = {'model': 'plans', 'prompt': 'x', 'max_tokens': 2}
_MAX_BODY_BYTES = 20_000
_SEND_PAUSE_S = 0.2


class TestInvalidRequests(ClusterCase):
    """Invalid requests of clients."""

    overrides = {'callers': {'max_body_bytes': _MAX_BODY_BYTES}}  # noqa: RUF012

    def test_unknown_route_is_rejected(self) -> None:
        """A route that does not exist is reported as unknown."""
        response = request_completion(
            self.callers, FIRST_ACCOUNT_KEY, 'nowhere', 'x', 2
        )
        self.assert_refused(response, 404, 'unknown-route')

    def test_unknown_key_is_rejected(self) -> None:
        """A key that belongs to no account is rejected."""
        response = request_completion(self.callers, 'guessed', 'plans', 'x', 2)
        self.assert_refused(response, 401, 'unknown-key')

    def test_invalid_bodies_are_rejected(self) -> None:
        """The error says what was received."""
        bodies = {
            'no json': b'{"model": "plans"',
            'too deep': b'{"model": ' + b'[' * 15_000,
            'no utf-8': b'{"model": "plans", "prompt": "\xff"}',
            'no object': b'[]',
            'wrong type': json.dumps(
                {**_VALID_BODY, 'max_tokens': 'x'}
            ).encode(),
            'too few': json.dumps({**_VALID_BODY, 'max_tokens': 0}).encode(),
            'two choices': json.dumps({**_VALID_BODY, 'n': 2}).encode(),
            'no prompt': b'{"model": "plans"}',
            'both': json.dumps({**_VALID_BODY, 'messages': []}).encode(),
        }
        for name, body in bodies.items():
            with self.subTest(name):
                response = send_request(
                    self.callers, '/v1/completions', FIRST_ACCOUNT_KEY, body
                )
                self.assert_refused(response, 400, 'bad-request')
                self.assertTrue(response.problem['detail'].startswith('got'))

    def test_oversized_body_is_rejected(self) -> None:
        """A body above the limit is rejected."""
        body = json.dumps(
            {**_VALID_BODY, 'prompt': 'x' * _MAX_BODY_BYTES}
        ).encode()
        response = send_request(
            self.callers, '/v1/completions', FIRST_ACCOUNT_KEY, body
        )
        self.assert_refused(response, 413, 'request-entity-too-large')

    def test_wrong_method_is_rejected(self) -> None:
        """Completions only accept POST."""
        response = send_request(
            self.callers,
            '/v1/completions',
            FIRST_ACCOUNT_KEY,
            b'',
            method='PUT',
        )
        self.assert_refused(response, 405, 'bad-request')

    def test_invalid_timeout_is_rejected(self) -> None:
        """A timeout that is not a number is rejected."""
        response = request_completion(
            self.callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            'x',
            2,
            headers={'Request-Timeout': 'soon'},
        )
        self.assert_refused(response, 400, 'bad-request')

    def test_non_idempotent_route_requires_a_key(self) -> None:
        """Without a key, retries are indistinguishable from new requests."""
        response = send_request(
            self.callers, '/svc/notices/x', SECOND_ACCOUNT_KEY, b'{}'
        )
        self.assert_refused(response, 400, 'key-required')

    def test_models_of_the_account_are_listed(self) -> None:
        """The list contains the models that the account may use."""
        response = send_request(
            self.callers, '/v1/models', FIRST_ACCOUNT_KEY, b'', method='GET'
        )
        names = {model['id'] for model in json.loads(response.body)['data']}
        self.assertEqual(names, {'plans', 'fittings'})


def _receive_all(sock: socket.socket) -> bytes:
    chunks = []
    while chunk := sock.recv(4096):
        chunks.append(chunk)
    return b''.join(chunks)


class TestRequestSmuggling(ClusterCase):
    """Requests with ambiguous or incomplete framing are rejected.

    Guards against request smuggling: if the load balancer and the node use
    different lengths, the rest of a body is parsed as another request.
    """

    def test_ambiguous_headers_are_rejected(self) -> None:
        """Ambiguous, malformed or too many headers get a 400 response."""
        cases = {
            'two lengths': 'Content-Length: 2\r\nContent-Length: 40',
            'length and coding': (
                'Content-Length: 2\r\nTransfer-Encoding: chunked'
            ),
            'two keys': 'Authorization: Bearer a\r\nAuthorization: Bearer b',
            'space in a name': 'Content-Length : 2',
            'no number': 'Content-Length: +2',
            'too many': '\r\n'.join(f'X-{name}: 1' for name in range(3000)),
        }
        for name, headers in cases.items():
            with self.subTest(name):
                request = (
                    'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                    f'{headers}\r\n\r\n{{}}'
                )
                response = self._send(request.encode())
                self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)
                self.assertIn(b'"outcome": "not-run"', response)

    def test_client_that_still_sends_gets_the_rejection(self) -> None:
        """The rejection is not lost to a reset because of unread headers."""
        host, _, port = self.callers.rpartition(':')
        headers = [f'X-{number}: 1\r\n' for number in range(3000)]
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n')
            sock.sendall(''.join(headers[:2000]).encode())
            time.sleep(_SEND_PAUSE_S)
            sock.sendall(''.join(headers[2000:]).encode())
            response = _receive_all(sock)
        self.assertTrue(response.startswith(b'HTTP/1.1 400'), response)

    def test_truncated_body_is_not_executed(self) -> None:
        """A body that is shorter than its Content-Length is not executed."""
        body = json.dumps(_VALID_BODY)[:-1]
        request = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {FIRST_ACCOUNT_KEY}\r\n'
            f'Content-Length: {len(body) + 1}\r\n\r\n{body}'
        )
        before = self._count_sequences()
        self._send(request.encode())
        self.assertEqual(self._count_sequences(), before)

    def _send(self, request: bytes) -> bytes:
        host, _, port = self.callers.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(request)
            sock.shutdown(socket.SHUT_WR)
            return _receive_all(sock)

    def _count_sequences(self) -> int:
        engines = self.cluster.addresses['engines'].values()
        return sum(
            self.cluster.read_stats(address).get('sequences', 0)
            for address in engines
        )


if __name__ == '__main__':
    unittest.main()
