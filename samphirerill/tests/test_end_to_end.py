"""End-to-end tests of requests, with real sockets and processes."""

from __future__ import annotations

import json
import threading
import time
import unittest

from samphirerill.testing.clients import request_completion, send_request
from samphirerill.testing.engine import make_token
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, SECOND_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase


class TestCompleteResponses(ClusterCase):
    """Requests get complete responses, streamed or not."""

    def test_streamed_response_has_trace_and_outcome(self) -> None:
        """The stages that ran a token cover each layer exactly once."""
        response = request_completion(
            self.callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            'block one',
            12,
            headers={'Samphirerill-Trace': '1'},
        )
        self.assert_complete(response.texts, 'block one', 12)
        self.assertEqual(response.outcome, 'answered')
        for stages in response.layers:
            covered = [
                layer
                for _, first, last in stages
                for layer in range(first, last + 1)
            ]
            self.assertEqual(covered, list(range(12)))

    def test_non_streamed_response(self) -> None:
        """A response that is not streamed contains the complete text."""
        response = request_completion(
            self.callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            'block two',
            5,
            stream=False,
        )
        self.assertEqual(response.outcome, 'answered')
        expected = ''.join(make_token('block two', index) for index in range(5))
        self.assertEqual(response.text, expected)

    def test_chat_response(self) -> None:
        """Chat requests get chat completions."""
        body = {
            'model': 'plans',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 3,
        }
        response = send_request(
            self.callers,
            '/v1/chat/completions',
            FIRST_ACCOUNT_KEY,
            json.dumps(body).encode(),
        )
        document = json.loads(response.body)
        self.assertEqual(document['object'], 'chat.completion')
        self.assertEqual(len(response.text.split()), 3)

    def test_request_is_forwarded_to_plain_service(self) -> None:
        """Method, path and body are forwarded to the plain service."""
        response = send_request(
            self.callers,
            '/svc/lookups/orders/7?full=1',
            SECOND_ACCOUNT_KEY,
            b'abc',
            method='PUT',
        )
        document = json.loads(response.body)
        self.assertEqual(
            document,
            {'method': 'PUT', 'path': '/orders/7?full=1', 'length': 3},
        )
        self.assertEqual(response.outcome, 'answered')


class TestReleasedResources(ClusterCase):
    """Finished requests release their resources."""

    def test_finished_requests_leave_no_call_or_session(self) -> None:
        """Completed and timed-out requests leave no state behind.

        Guards against a memory leak by attempts that are not removed.
        """
        for number in range(3):
            request_completion(
                self.callers, FIRST_ACCOUNT_KEY, 'plans', f'p{number}', 3
            )
        send_request(self.callers, '/svc/lookups/x', SECOND_ACCOUNT_KEY, b'')
        request_completion(
            self.callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            'late',
            50,
            headers={'Request-Timeout': '0.2'},
        )
        state = self.cluster.nodes[0].read_state()
        self.assertEqual(state['open_calls'], 0)
        self.assertEqual(state['open_sessions'], 0)
        self.assertEqual(state['core']['attempts'], 0)
        self.assertNotIn('commands.failed', state['core']['counters'])


class TestStageCrash(ClusterCase):
    """A stage that crashes during a stream is replaced."""

    def test_stream_resumes_after_the_last_token(self) -> None:
        """A crashed stage neither loses nor repeats tokens.

        Guards against resuming the stream at the wrong token.
        """
        crashed: list[str] = []

        def crash_middle_stage() -> None:
            time.sleep(0.4)
            state = self.cluster.nodes[0].read_state()
            for name, endpoint in state['core']['endpoints'].items():
                if endpoint['in_flight'] and name.startswith('stage1'):
                    address = self.cluster.addresses['engines'][name]
                    self.cluster.control(address, die=True)
                    crashed.append(name)

        crash_thread = threading.Thread(target=crash_middle_stage)
        crash_thread.start()
        response = request_completion(
            self.callers, FIRST_ACCOUNT_KEY, 'plans', 'knee', 50
        )
        crash_thread.join()
        self.assertEqual(len(crashed), 1)
        self.assert_complete(response.texts, 'knee', 50)
        self.assertEqual(response.outcome, 'answered')


if __name__ == '__main__':
    unittest.main()
