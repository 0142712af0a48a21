"""Admission: fair queueing, early refusals, retries and deadlines."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from samphirerill.core.admission import NORMAL_INTERVAL, FairQueue, QueueEntry
from samphirerill.core.commands import (
    Command,
    DeliverToken,
    FinishAnswer,
    OpenAttempt,
    Outcome,
    ProbeEndpoint,
    RefuseRequest,
)
from samphirerill.core.configuration import HIGH, NORMAL, build_configuration
from samphirerill.core.events import (
    AttemptFailed,
    AttemptProgressed,
    AttemptRefused,
    AttemptSent,
    ConfigurationAccepted,
    NodeCountReported,
    ProbeFinished,
    RequestArrived,
    TimerFired,
    TokenArrived,
)
from samphirerill.core.router import Router
from samphirerill.properties.simulation import build_configuration_document


def _fill(queue: FairQueue, account: str, priority: str, count: int) -> None:
    for number in range(count):
        name = f'{account}-{priority}-{number}'
        queue.add(QueueEntry(name, account, priority, cost=10))


def _drain(queue: FairQueue, count: int) -> list[QueueEntry]:
    taken = []
    for number in range(count):
        entry = queue.candidates()[0]
        queue.dequeue(entry, now=float(number))
        taken.append(entry)
    return taken


class TestFairness(unittest.TestCase):
    """The order in which queued requests are served."""

    def test_large_account_delays_only_itself(self) -> None:
        """A small account's request is served next, however long the queue.

        Guards against one FIFO queue for all accounts, in which it would wait
        behind a large account's batch.
        """
        queue = FairQueue()
        _fill(queue, 'large', NORMAL, 100)
        _drain(queue, 5)
        _fill(queue, 'small', NORMAL, 1)
        self.assertIn('small', {item.account for item in _drain(queue, 2)})

    def test_idle_time_earns_no_credit(self) -> None:
        """An account that returns gets no share for the time it was idle."""
        queue = FairQueue()
        _fill(queue, 'one', NORMAL, 60)
        _drain(queue, 40)
        _fill(queue, 'two', NORMAL, 20)
        counts = Counter(item.account for item in _drain(queue, 20))
        self.assertEqual(counts, {'one': 10, 'two': 10})

    def test_high_is_first_and_normal_does_not_starve(self) -> None:
        """Every sixth dequeue serves normal priority."""
        queue = FairQueue()
        _fill(queue, 'a', HIGH, 50)
        _fill(queue, 'b', NORMAL, 50)
        priorities = [item.priority for item in _drain(queue, 24)]
        self.assertEqual(priorities[: NORMAL_INTERVAL - 1], [HIGH] * 5)
        self.assertEqual(priorities.count(NORMAL), 4)

    def test_shares_are_proportional_to_weights(self) -> None:
        """An account with twice the weight gets twice the work."""
        queue = FairQueue()
        for number in range(60):
            queue.add(QueueEntry(f'l{number}', 'light', NORMAL, cost=10))
            queue.add(QueueEntry(f'h{number}', 'heavy', NORMAL, cost=5))
        counts = Counter(item.account for item in _drain(queue, 30))
        self.assertEqual(counts, {'heavy': 20, 'light': 10})

    def test_removed_requests_leave_no_queue(self) -> None:
        """An empty queue has no candidates."""
        queue = FairQueue()
        _fill(queue, 'a', NORMAL, 3)
        _drain(queue, 2)
        self.assertTrue(queue.remove('a-normal-2', 'a', NORMAL))
        self.assertEqual(queue.size(), 0)
        self.assertEqual(queue.candidates(), [])


class RouterCase(unittest.TestCase):
    """One router with five engines of two slots."""

    def setUp(self) -> None:
        document: dict[str, Any] = build_configuration_document()
        document['accounts']['viti']['max_concurrent'] = 4
        self.router = Router('n1', seed=1)
        configuration = build_configuration(document, 1)
        self.router.apply(ConfigurationAccepted(configuration), 0)

    def ask(self, name: str, now: float, **fields: object) -> list[Command]:
        spec: dict[str, object] = {
            'account': 'tromsvik',
            'route': 'plans',
            'deadline': now + 50,
        }
        spec.update(fields)
        event = RequestArrived(name, **spec)  # type: ignore[arg-type]
        return list(self.router.apply(event, now))


class TestRefusals(RouterCase):
    """Requests that cannot be served are refused at once."""

    def test_requests_that_would_time_out_are_refused_on_arrival(self) -> None:
        """An estimated wait beyond the deadline is refused."""
        opened = []
        for number in range(30):
            opened += self.ask(f'r{number}', now=number * 0.01)
        running = [item for item in opened if isinstance(item, OpenAttempt)]
        now = 1.0
        for attempt in running:
            now += 3
            self._finish(attempt, now)
        commands = self.ask('late', now, deadline=now + 0.5)
        refusal = commands[0]
        assert isinstance(refusal, RefuseRequest)
        self.assertEqual(refusal.problem.code, 'overloaded')
        self.assertIs(refusal.problem.outcome, Outcome.NOT_RUN)
        self.assertGreater(refusal.problem.retry_after_s, 0)

    def test_account_limit_is_shared_by_nodes(self) -> None:
        """With four nodes, each runs a quarter of the limit."""
        self.router.apply(NodeCountReported(4), 0)
        commands = [
            command
            for number in range(3)
            for command in self.ask(f'r{number}', 0, account='viti')
        ]
        self.assertEqual(len(commands), 1)

    def test_retries_stop_with_the_budget(self) -> None:
        """An outage of all endpoints is not amplified by retries.

        Guards against retries without a common limit, which overload endpoints
        again as soon as they recover.
        """
        attempts = 0
        for number in range(200):
            commands = self.ask(f'r{number}', now=1.0)
            while commands:
                opened = [
                    item for item in commands if isinstance(item, OpenAttempt)
                ]
                attempts += len(opened)
                commands = [
                    command
                    for attempt in opened
                    for command in self._fail(attempt.attempt_id)
                ]
        self.assertLessEqual(attempts, 200 + 50 + 0.2 * 200 + 1)

    def _fail(self, attempt_id: str) -> list[Command]:
        failure = AttemptFailed(attempt_id, 'reset')
        return list(self.router.apply(failure, 1.0))

    def _finish(self, attempt: OpenAttempt, now: float) -> None:
        self.router.apply(AttemptSent(attempt.attempt_id), now)
        token = TokenArrived(attempt.attempt_id, 0, 0, 'x', 'stop')
        commands = self.router.apply(token, now)
        self.assertTrue(
            any(isinstance(item, FinishAnswer) for item in commands)
        )


class TestSilentEngines(RouterCase):
    """Attempts at engines that accept a request and stay silent."""

    def test_silence_is_noticed_before_a_slow_prefill(
        self,
    ) -> None:
        """An engine must respond soon; its first token may take longer.

        Guards against giving an engine that has sent nothing the timeout of a
        long prefill: a stream migrated to a frozen engine would stall for that
        time.
        """
        opened = self.ask('r1', 0)[0]
        assert isinstance(opened, OpenAttempt)
        self.router.apply(AttemptSent(opened.attempt_id), 0)
        migrated = self._pass_time(0.9)
        self.assertEqual(len(migrated), 1)
        second_attempt_id = migrated[0].attempt_id
        self.router.apply(AttemptSent(second_attempt_id), 0.9)
        self.router.apply(AttemptProgressed(second_attempt_id), 1.0)
        self.assertEqual(self._pass_time(3.9), [])
        self.assertEqual(len(self._pass_time(4.1)), 1)

    def _pass_time(self, now: float) -> list[OpenAttempt]:
        return [
            command
            for command in self.router.apply(TimerFired(), now)
            if isinstance(command, OpenAttempt)
        ]


class TestSlowLinkMigration(RouterCase):
    """A stream on a degraded link continues on another pipeline."""

    def test_migrated_stream_resumes_at_the_next_token(self) -> None:
        """A slow hop migrates the stream; no token is repeated or lost.

        Guards against moving only new requests off a link that became slow.
        """
        opened = next(
            item
            for number in range(20)
            for item in self.ask(f'r{number}', 0)
            if isinstance(item, OpenAttempt) and len(item.stages) > 1
        )
        self.router.apply(AttemptSent(opened.attempt_id), 0.1)
        hops = tuple(400.0 for _ in opened.stages)
        slow = TokenArrived(opened.attempt_id, 0, 0, 'x', '', hops)
        commands = self.router.apply(slow, 0.2)
        migrated = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(migrated), 1)
        self.assertEqual(migrated[0].resume_at, 1)
        self.assertEqual(migrated[0].epoch, 1)

    def test_nearly_complete_answer_is_not_migrated(self) -> None:
        """A migration for the last tokens would cost more than it saves.

        Guards against short answers that run on two engines because one hop
        was briefly slow.
        """
        opened = next(
            item
            for number in range(20)
            for item in self.ask(f'r{number}', 0, tokens=2)
            if isinstance(item, OpenAttempt) and len(item.stages) > 1
        )
        self.router.apply(AttemptSent(opened.attempt_id), 0.1)
        hops = tuple(400.0 for _ in opened.stages)
        slow = TokenArrived(opened.attempt_id, 0, 0, 'x', '', hops)
        commands = self.router.apply(slow, 0.2)
        self.assertEqual(
            [item for item in commands if isinstance(item, OpenAttempt)], []
        )

    def test_migrated_stream_that_is_rejected_has_a_retry(self) -> None:
        """Guard against ending a run for one that its engine may reject."""
        migrated = self._migrate(retries=1)[0]
        rejection = AttemptRefused(migrated.attempt_id, 'busy')
        commands = self.router.apply(rejection, 0.3)
        opened = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(opened), 1)
        self.assertEqual(self.router.state.budgets['plans'].balance, 0)

    def test_stream_without_a_retry_is_not_migrated(self) -> None:
        """Guard against ending a working run that could not be sent again."""
        self.assertEqual(self._migrate(retries=0), [])

    def test_stream_that_may_not_fail_is_not_migrated(self) -> None:
        """Guard against ending a run for a retry that may not be sent."""
        document = build_configuration_document()
        document['limits'] = {'max_attempts': 1}
        configuration = build_configuration(document, 2)
        self.router.apply(ConfigurationAccepted(configuration), 0)
        self.assertEqual(self._migrate(retries=1), [])
        self.assertEqual(self.router.state.budgets['plans'].balance, 1)

    def test_retry_of_a_migrated_stream_is_returned(self) -> None:
        """Guard against migrations that use up retries without need."""
        migrated = self._migrate(retries=1)[0]
        self.router.apply(AttemptSent(migrated.attempt_id), 0.3)
        token = TokenArrived(migrated.attempt_id, migrated.epoch, 1, 'y')
        self.router.apply(token, 0.4)
        self.assertEqual(self.router.state.budgets['plans'].balance, 1)

    def _migrate(self, retries: int) -> list[OpenAttempt]:
        """Report a slow hop; return the attempts that this opens."""
        opened = next(
            item
            for number in range(20)
            for item in self.ask(f'r{number}', 0)
            if isinstance(item, OpenAttempt) and len(item.stages) > 1
        )
        self.router.state.budgets['plans'].balance = retries
        self.router.apply(AttemptSent(opened.attempt_id), 0.1)
        hops = tuple(400.0 for _ in opened.stages)
        slow = TokenArrived(opened.attempt_id, 0, 0, 'x', '', hops)
        commands = self.router.apply(slow, 0.2)
        return [item for item in commands if isinstance(item, OpenAttempt)]


class TestLongAnswers(RouterCase):
    """A long answer survives more failures than one attempt may have."""

    def test_failures_are_counted_since_the_last_token(self) -> None:
        """Ten stages fail in turn, each after a token.

        Guards against counting failures over the whole answer, which would cut
        a long one although engines are free.
        """
        opened = self.ask('r1', 0)[0]
        for index in range(10):
            assert isinstance(opened, OpenAttempt)
            self.router.apply(AttemptSent(opened.attempt_id), 0.1)
            token = TokenArrived(opened.attempt_id, opened.epoch, index, 'x')
            self.router.apply(token, 0.1)
            failure = AttemptFailed(opened.attempt_id, 'died', failed_stage=0)
            commands = self.router.apply(failure, 0.1)
            for name in self.router.state.endpoints:
                self.router.apply(ProbeFinished(name, alive=True), 0.1)
            retried = [
                item for item in commands if isinstance(item, OpenAttempt)
            ]
            self.assertEqual(len(retried), 1, index)
            opened = retried[0]


class TestDeadlines(RouterCase):
    """Every request ends at its deadline."""

    def test_silence_until_the_deadline_ends_as_may_have_run(self) -> None:
        """A request that was sent and never answered may have run."""
        commands = self.ask('r1', 0, deadline=2.0)
        attempt = commands[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        refusals = [
            command
            for command in self.router.apply(TimerFired(), 2.0)
            if isinstance(command, RefuseRequest)
        ]
        self.assertEqual(len(refusals), 1)
        self.assertEqual(refusals[0].problem.code, 'deadline-passed')
        self.assertIs(refusals[0].problem.outcome, Outcome.MAY_HAVE_RUN)


class TestLoopLag(RouterCase):
    """A blocked event loop is not mistaken for endpoints' silence."""

    def test_late_timer_fails_no_attempt(self) -> None:
        """Streams are not restarted elsewhere because of loop lag."""
        attempt = self.ask('r1', 0)[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        commands = self.router.apply(TimerFired(lag_s=4.0), 5.0)
        self.assertEqual(commands, [])
        token = TokenArrived(attempt.attempt_id, 0, 0, 'x')
        self.router.apply(token, 5.01)
        commands = self.router.apply(TimerFired(), 5.2)
        self.assertEqual(commands, [])

    def test_silence_after_the_lag_still_counts(self) -> None:
        attempt = self.ask('r1', 0)[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        self.router.apply(TimerFired(lag_s=4.0), 5.0)
        commands = self.router.apply(TimerFired(), 5.4)
        opened = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(opened), 1)


class TestSilence(RouterCase):
    """A silent attempt that no other one can replace."""

    def test_stream_without_retries_outlasts_a_silence(self) -> None:
        """Guard against ending streams whose endpoints only pause."""
        attempt = self._start_stream('plans')
        self._use_up_retries('plans')
        commands = self.router.apply(TimerFired(), 1.0)
        self._assert_probed(commands)
        self._probe(attempt, 1.1, is_alive=True)
        self._assert_probed(self.router.apply(TimerFired(), 1.6))
        token = TokenArrived(attempt.attempt_id, 0, 1, 'y', 'stop')
        commands = self.router.apply(token, 1.7)
        self.assertIsInstance(commands[0], DeliverToken)

    def test_stream_that_may_run_once_outlasts_a_silence(self) -> None:
        """Guard against ending a run that may not be repeated."""
        self._start_stream('once')
        self._assert_probed(self.router.apply(TimerFired(), 1.0))

    def test_stream_without_retries_leaves_a_dead_endpoint(self) -> None:
        """Guard against callers who wait for a dead endpoint."""
        attempt = self._start_stream('plans')
        self._use_up_retries('plans')
        self.router.apply(TimerFired(), 1.0)
        self._probe(attempt, 1.1, is_alive=False)
        commands = self.router.apply(TimerFired(), 1.6)
        refusals = [
            item for item in commands if isinstance(item, RefuseRequest)
        ]
        self.assertEqual(len(refusals), 1)
        self.assertIs(refusals[0].problem.outcome, Outcome.MAY_HAVE_RUN)

    def test_silent_stream_is_replaced_once_there_is_a_retry(self) -> None:
        """Guard against a stream that stays silent though it may be resent."""
        self._start_stream('plans')
        self._use_up_retries('plans')
        self.router.apply(TimerFired(), 1.0)
        self.router.state.budgets['plans'].balance = 1
        commands = self.router.apply(TimerFired(), 1.6)
        opened = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(opened), 1)

    def _start_stream(self, route: str) -> OpenAttempt:
        attempt = self.ask('r1', 0, route=route)[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        self.router.apply(TokenArrived(attempt.attempt_id, 0, 0, 'x'), 0.2)
        return attempt

    def _use_up_retries(self, route: str) -> None:
        self.router.state.budgets[route].balance = 0

    def _probe(
        self, attempt: OpenAttempt, now: float, *, is_alive: bool
    ) -> None:
        for stage in attempt.stages:
            event = ProbeFinished(stage.endpoint, alive=is_alive)
            self.router.apply(event, now)

    def _assert_probed(self, commands: list[Command]) -> None:
        kinds = {type(command) for command in commands}
        self.assertEqual(kinds, {ProbeEndpoint})


if __name__ == '__main__':
    unittest.main()
