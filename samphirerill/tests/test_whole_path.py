"""Requests from a caller to an answer, over real sockets and processes."""

from __future__ import annotations

import json
import threading
import time
import unittest

from samphirerill.testing.clients import call_raw, complete
from samphirerill.testing.engine import make_token
from samphirerill.testing.layout import BRIDAL_KEY, COACH_KEY
from samphirerill.tests.support import ClusterCase


class TestAnswersAreWhole(ClusterCase):
    """A request gets its whole answer, streamed or not."""

    def test_streamed_answer_names_stages_and_outcome(self) -> None:
        """Each token was run by stages that cover each layer once."""
        answer = complete(
            self.callers,
            COACH_KEY,
            'plans',
            'block one',
            12,
            headers={'Samphirerill-Trace': '1'},
        )
        self.assert_whole(answer.texts, 'block one', 12)
        self.assertEqual(answer.outcome, 'answered')
        for stages in answer.layers:
            covered = [
                layer
                for _, first, last in stages
                for layer in range(first, last + 1)
            ]
            self.assertEqual(covered, list(range(12)))

    def test_answer_that_is_not_streamed(self) -> None:
        """The whole text comes in one document."""
        answer = complete(
            self.callers,
            COACH_KEY,
            'plans',
            'block two',
            5,
            stream=False,
        )
        self.assertEqual(answer.outcome, 'answered')
        expected = ''.join(make_token('block two', at) for at in range(5))
        self.assertEqual(answer.text, expected)

    def test_chat_answer(self) -> None:
        """Chat calls get chat documents."""
        body = {
            'model': 'plans',
            'messages': [{'role': 'user', 'content': 'hello'}],
            'max_tokens': 3,
        }
        answer = call_raw(
            self.callers,
            '/v1/chat/completions',
            COACH_KEY,
            json.dumps(body).encode(),
        )
        document = json.loads(answer.body)
        self.assertEqual(document['object'], 'chat.completion')
        self.assertEqual(len(answer.text.split()), 3)

    def test_plain_service_gets_method_path_and_body(self) -> None:
        """Any method and body reach the plain service."""
        answer = call_raw(
            self.callers,
            '/svc/lookups/orders/7?full=1',
            BRIDAL_KEY,
            b'abc',
            method='PUT',
        )
        document = json.loads(answer.body)
        self.assertEqual(
            document,
            {'method': 'PUT', 'path': '/orders/7?full=1', 'length': 3},
        )
        self.assertEqual(answer.outcome, 'answered')


class TestNothingIsLeftBehind(ClusterCase):
    """A node's memory does not grow with what it has answered."""

    def test_ended_requests_leave_no_call_or_session(self) -> None:
        """Whatever way they ended.

        Symptom: a node's memory grows for days.
        Sequence: answers are delivered whole; the caller goes.
        Cause: an attempt that ended well was never taken off the books.
        """
        for number in range(3):
            complete(self.callers, COACH_KEY, 'plans', f'p{number}', 3)
        call_raw(self.callers, '/svc/lookups/x', BRIDAL_KEY, b'')
        complete(
            self.callers,
            COACH_KEY,
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


class TestStageDeath(ClusterCase):
    """A stage that dies halfway is replaced without a seam."""

    def test_stream_carries_on_from_the_last_token(self) -> None:
        """A killed stage costs no token and doubles none.

        Symptom: the answer stops, starts over or repeats a token.
        Sequence: a stream runs; the engine of its middle stage is killed.
        Cause: the rest of the answer is asked for from the wrong token.
        """
        found: list[str] = []

        def kill() -> None:
            time.sleep(0.4)
            state = self.cluster.nodes[0].read_state()
            for name, spec in state['core']['endpoints'].items():
                if spec['in_flight'] and name.startswith('stage1'):
                    address = self.cluster.addresses['engines'][name]
                    self.cluster.control(address, die=True)
                    found.append(name)

        killer = threading.Thread(target=kill)
        killer.start()
        answer = complete(self.callers, COACH_KEY, 'plans', 'knee', 50)
        killer.join()
        self.assertEqual(len(found), 1)
        self.assert_whole(answer.texts, 'knee', 50)
        self.assertEqual(answer.outcome, 'answered')


if __name__ == '__main__':
    unittest.main()
