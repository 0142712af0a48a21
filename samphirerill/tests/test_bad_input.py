"""Bad input gets a clear refusal, and nothing is run or lost."""

from __future__ import annotations

import json
import socket
import time
import unittest

from samphirerill.testing.clients import call_raw, complete
from samphirerill.testing.layout import BRIDAL_KEY, COACH_KEY
from samphirerill.tests.support import ClusterCase

_GOOD = {'model': 'plans', 'prompt': 'x', 'max_tokens': 2}
_MAX_BODY = 20_000
_SENDS_ON_AFTER_S = 0.2


class TestBadInput(ClusterCase):
    """Everything a caller can get wrong."""

    overrides = {'callers': {'max_body_bytes': _MAX_BODY}}  # noqa: RUF012

    def test_unknown_route_is_refused(self) -> None:
        """A route that is not there, or not the account's, is unknown."""
        answer = complete(self.callers, COACH_KEY, 'nowhere', 'x', 2)
        self.assert_refused(answer, 404, 'unknown-route')

    def test_wrong_key_is_refused(self) -> None:
        """A key of no account opens nothing."""
        answer = complete(self.callers, 'guessed', 'plans', 'x', 2)
        self.assert_refused(answer, 401, 'unknown-key')

    def test_bodies_that_can_not_be_used(self) -> None:
        """Each says what was got and what was expected."""
        bodies = {
            'no json': b'{"model": "plans"',
            'too deep': b'{"model": ' + b'[' * 15_000,
            'no utf-8': b'{"model": "plans", "prompt": "\xff"}',
            'no object': b'[]',
            'wrong type': json.dumps({**_GOOD, 'max_tokens': 'x'}).encode(),
            'too few': json.dumps({**_GOOD, 'max_tokens': 0}).encode(),
            'two choices': json.dumps({**_GOOD, 'n': 2}).encode(),
            'no prompt': b'{"model": "plans"}',
            'both': json.dumps({**_GOOD, 'messages': []}).encode(),
        }
        for name, body in bodies.items():
            with self.subTest(name):
                answer = call_raw(
                    self.callers, '/v1/completions', COACH_KEY, body
                )
                self.assert_refused(answer, 400, 'bad-request')
                self.assertTrue(answer.problem['detail'].startswith('got'))

    def test_oversize_body_is_refused(self) -> None:
        """A body above the limit is not read to its end."""
        body = json.dumps({**_GOOD, 'prompt': 'x' * _MAX_BODY}).encode()
        answer = call_raw(self.callers, '/v1/completions', COACH_KEY, body)
        self.assert_refused(answer, 413, 'request-entity-too-large')

    def test_wrong_method_is_refused(self) -> None:
        """Completions are posted."""
        answer = call_raw(
            self.callers, '/v1/completions', COACH_KEY, b'', method='PUT'
        )
        self.assert_refused(answer, 405, 'bad-request')

    def test_bad_timeout_is_refused(self) -> None:
        """A caller's limit has to be a positive number."""
        answer = complete(
            self.callers,
            COACH_KEY,
            'plans',
            'x',
            2,
            headers={'Request-Timeout': 'soon'},
        )
        self.assert_refused(answer, 400, 'bad-request')

    def test_non_idempotent_route_needs_a_key(self) -> None:
        """Without a key a retry could not be told from a second request."""
        answer = call_raw(self.callers, '/svc/notices/x', BRIDAL_KEY, b'{}')
        self.assert_refused(answer, 400, 'key-required')

    def test_models_are_those_of_the_account(self) -> None:
        """The list of models needs a key, too."""
        answer = call_raw(
            self.callers, '/v1/models', COACH_KEY, b'', method='GET'
        )
        names = {model['id'] for model in json.loads(answer.body)['data']}
        self.assertEqual(names, {'plans', 'fittings'})


def _read_to_end(sock: socket.socket) -> bytes:
    parts = []
    while part := sock.recv(4096):
        parts.append(part)
    return b''.join(parts)


class TestSmuggling(ClusterCase):
    """Headers that two parties could read in two ways are refused.

    Symptom: a caller gets the answer to a stranger's request.
    Sequence: a request names two lengths; the balancer believes one, the
    node the other; the rest of the body becomes the next request.
    Cause: an ambiguous header was accepted instead of refused.
    """

    def test_ambiguous_headers_are_refused(self) -> None:
        """Each of them ends the connection with a 400."""
        heads = {
            'two lengths': 'Content-Length: 2\r\nContent-Length: 40',
            'length and coding': (
                'Content-Length: 2\r\nTransfer-Encoding: chunked'
            ),
            'two keys': 'Authorization: Bearer a\r\nAuthorization: Bearer b',
            'space in a name': 'Content-Length : 2',
            'no number': 'Content-Length: +2',
            'too many': '\r\n'.join(f'X-{name}: 1' for name in range(3000)),
        }
        for name, head in heads.items():
            with self.subTest(name):
                raw = (
                    'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
                    f'{head}\r\n\r\n{{}}'
                )
                answer = self._send(raw.encode())
                self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)
                self.assertIn(b'"outcome": "not-run"', answer)

    def test_a_caller_that_still_sends_gets_its_refusal(self) -> None:
        """A refusal isn't lost to a reset because headers were unread."""
        host, _, port = self.callers.rpartition(':')
        headers = [f'X-{number}: 1\r\n' for number in range(3000)]
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n')
            sock.sendall(''.join(headers[:2000]).encode())
            time.sleep(_SENDS_ON_AFTER_S)
            sock.sendall(''.join(headers[2000:]).encode())
            answer = _read_to_end(sock)
        self.assertTrue(answer.startswith(b'HTTP/1.1 400'), answer)

    def test_cut_off_body_runs_nothing(self) -> None:
        """A body shorter than its length is no request."""
        body = json.dumps(_GOOD)[:-1]
        raw = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {COACH_KEY}\r\n'
            f'Content-Length: {len(body) + 1}\r\n\r\n{body}'
        )
        before = self._count_sequences()
        self._send(raw.encode())
        self.assertEqual(self._count_sequences(), before)

    def _send(self, raw: bytes) -> bytes:
        host, _, port = self.callers.rpartition(':')
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(raw)
            sock.shutdown(socket.SHUT_WR)
            return _read_to_end(sock)

    def _count_sequences(self) -> int:
        engines = self.cluster.addresses['engines'].values()
        return sum(
            self.cluster.read_stats(address).get('sequences', 0)
            for address in engines
        )


if __name__ == '__main__':
    unittest.main()
