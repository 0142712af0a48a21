"""Requests that are open when a node of the own interface ends."""

from __future__ import annotations

import signal
import threading
import time
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, ClassVar

from samphirerill.core.commands import (
    OpenAttempt,
    Outcome,
    RefuseRequest,
    SettleClaim,
    WriteClaim,
)
from samphirerill.core.events import (
    ClaimAcquired,
    DrainRequested,
    RequestArrived,
)
from samphirerill.testing.clients import (
    ClientResponse,
    request_completion,
    send_request,
)
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, SECOND_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase
from samphirerill.tests.test_back_off_decisions import RouterCase, find_all

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.core.commands import Problem
    from samphirerill.testing.cluster import NodeProcess

_FINISH_S = 0.5
_SERVICE_DELAY_S = 3.0
_SETTLE_S = 0.2
_MANY_TOKENS = 200
_EXIT_ABORTED = 3
_HEADS = ('e0', 'e4')
_REST_S = 3.0


class TestOpenRequests(ClusterCase):
    """A node that ends while requests run."""

    nodes = 1
    overrides: ClassVar[dict[str, Any]] = {
        'shutdown': {'notice_s': 0, 'finish_s': _FINISH_S}
    }

    def setUp(self) -> None:
        self.node = self.cluster.add_node()
        self.cluster.wait_node_ready(self.node)
        self.addCleanup(self.cluster.nodes.remove, self.node)
        self.desk = self.cluster.addresses['services']['desk']
        self.cluster.control(self.desk, delay_s=_SERVICE_DELAY_S)
        self.addCleanup(self.cluster.control, self.desk, delay_s=0)

    def test_request_with_a_key_may_have_run(self) -> None:
        """Guard against a closed connection, and against a second run."""
        response = self.end_during(lambda: self.send_notice(self.node))
        self.assert_may_have_run(response)
        retry = self.send_notice(self.cluster.nodes[0])
        self.assertEqual(retry.outcome, 'may-have-run')

    def test_answer_that_is_not_streamed_gets_a_status(self) -> None:
        """Guard against taking generated tokens for sent ones."""
        response = self.end_during(lambda: self.complete(stream=False))
        self.assert_may_have_run(response)

    def test_second_signal_gives_a_status(self) -> None:
        """Guard against a closed connection at a forced shutdown."""
        response = self.end_during(self.look_up, signals=2)
        self.assert_may_have_run(response)

    def test_started_stream_is_cut(self) -> None:
        """Guard against a stream that looks complete."""
        response = self.end_during(lambda: self.complete(stream=True))
        self.assertEqual(response.status, HTTPStatus.OK)
        self.assertTrue(response.is_interrupted)
        self.assertEqual(response.problem, {})

    def end_during(
        self, send: Callable[[], ClientResponse], signals: int = 1
    ) -> ClientResponse:
        """End the node while it serves a request; return the response."""
        responses: list[ClientResponse] = []
        client = threading.Thread(target=lambda: responses.append(send()))
        client.start()
        for _ in range(signals):
            time.sleep(_SETTLE_S)
            self.node.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.node.process.wait(10), _EXIT_ABORTED)
        client.join()
        return responses[0]

    def assert_may_have_run(self, response: ClientResponse) -> None:
        self.assertEqual(response.status, HTTPStatus.BAD_GATEWAY)
        self.assertEqual(response.outcome, 'may-have-run')
        self.assertEqual(response.problem.get('title'), 'node ended')

    def send_notice(self, node: NodeProcess) -> ClientResponse:
        return send_request(
            node.callers,
            '/svc/notices/pickup',
            SECOND_ACCOUNT_KEY,
            b'{"notice": 1}',
            headers={'Idempotency-Key': 'ends'},
        )

    def look_up(self) -> ClientResponse:
        return send_request(
            self.node.callers, '/svc/lookups/x', SECOND_ACCOUNT_KEY, b''
        )

    def complete(self, *, stream: bool) -> ClientResponse:
        return request_completion(
            self.node.callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            'ends',
            _MANY_TOKENS,
            stream=stream,
        )


class TestAbortedRequests(RouterCase):
    """The requests that the core is told to abort."""

    def test_queued_request_is_refused_as_not_run(self) -> None:
        """Guard against a request that nobody knows not to have run."""
        for name in _HEADS:
            self.back_off(name, _REST_S)
        self.ask('r1')
        problem = self.abort('r1')
        self.assertEqual(problem.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertEqual(problem.outcome, Outcome.NOT_RUN)
        self.assertGreater(problem.retry_after_s, 0)

    def test_request_that_was_not_sent_is_refused_as_not_run(self) -> None:
        """Guard against a needless "may have run" while connecting."""
        self.open('r1')
        self.assertEqual(self.abort('r1').outcome, Outcome.NOT_RUN)

    def test_claim_that_is_won_later_is_released(self) -> None:
        """Guard against "may have run" for a retry of what did not run."""
        arrived = RequestArrived(
            'r1', 'tromsvik', 'plans', self.now + _REST_S, tokens=8, key='k'
        )
        self.assertEqual(len(find_all(self.apply(arrived), WriteClaim)), 1)
        self.assertEqual(self.abort('r1').outcome, Outcome.NOT_RUN)
        commands = self.apply(ClaimAcquired('r1'))
        self.assertEqual(commands, [SettleClaim('r1', Outcome.NOT_RUN)])

    def test_sent_request_may_have_run(self) -> None:
        """Guard against a second run of a request that was sent."""
        self.send('r1')
        problem = self.abort('r1')
        self.assertEqual(problem.status, HTTPStatus.BAD_GATEWAY)
        self.assertEqual(problem.outcome, Outcome.MAY_HAVE_RUN)

    def test_other_requests_stay(self) -> None:
        """Guard against refusing a stream that may still end."""
        self.send('r1')
        self.send('r2')
        self.abort('r2')
        self.assertEqual(list(self.router.state.requests), ['r1'])

    def abort(self, name: str) -> Problem:
        """Abort a request; return what its client gets."""
        commands = self.apply(DrainRequested(aborted=(name, 'unknown')))
        self.assertEqual(find_all(commands, OpenAttempt), [])
        refusals = find_all(commands, RefuseRequest)
        self.assertEqual([refusal.request_id for refusal in refusals], [name])
        return refusals[0].problem
