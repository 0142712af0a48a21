"""Queues: fair between accounts and priorities, refused early."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from samphirerill.core.admission import NORMAL_INTERVAL, FairQueue, QueueEntry
from samphirerill.core.commands import (
    Command,
    FinishAnswer,
    OpenAttempt,
    Outcome,
    RefuseRequest,
)
from samphirerill.core.events import (
    AttemptBroke,
    AttemptProgressed,
    AttemptSent,
    ConfigurationAccepted,
    NodesSeen,
    ProbeAnswered,
    RequestArrived,
    TimePassed,
    TokenArrived,
)
from samphirerill.core.model import HIGH, NORMAL, build_configuration
from samphirerill.core.router import Router
from samphirerill.properties.world import build_document


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
    """Whose turn it is."""

    def test_large_account_gets_behind_only_itself(self) -> None:
        """A small account's request goes next, however deep the queue.

        Symptom: a seamstress waits behind a club's nightly batch.
        Sequence: one account queues a hundred; another asks once.
        Cause: the queue was one line for all.
        """
        queue = FairQueue()
        _fill(queue, 'large', NORMAL, 100)
        _drain(queue, 5)
        _fill(queue, 'small', NORMAL, 1)
        self.assertIn('small', {item.account for item in _drain(queue, 2)})

    def test_idle_time_earns_no_credit(self) -> None:
        """An account that comes back shares from now on, not for the past."""
        queue = FairQueue()
        _fill(queue, 'one', NORMAL, 60)
        _drain(queue, 40)
        _fill(queue, 'two', NORMAL, 20)
        counts = Counter(item.account for item in _drain(queue, 20))
        self.assertEqual(counts, {'one': 10, 'two': 10})

    def test_high_goes_first_and_normal_never_starves(self) -> None:
        """Every sixth pick is normal work."""
        queue = FairQueue()
        _fill(queue, 'a', HIGH, 50)
        _fill(queue, 'b', NORMAL, 50)
        priorities = [item.priority for item in _drain(queue, 24)]
        self.assertEqual(priorities[: NORMAL_INTERVAL - 1], [HIGH] * 5)
        self.assertEqual(priorities.count(NORMAL), 4)

    def test_weights_share_in_proportion(self) -> None:
        """Twice the weight, twice the work."""
        queue = FairQueue()
        for number in range(60):
            queue.add(QueueEntry(f'l{number}', 'light', NORMAL, cost=10))
            queue.add(QueueEntry(f'h{number}', 'heavy', NORMAL, cost=5))
        counts = Counter(item.account for item in _drain(queue, 30))
        self.assertEqual(counts, {'heavy': 20, 'light': 10})

    def test_forgotten_accounts_leave_nothing(self) -> None:
        """An empty pool holds no queue."""
        queue = FairQueue()
        _fill(queue, 'a', NORMAL, 3)
        _drain(queue, 2)
        self.assertTrue(queue.remove('a-normal-2', 'a', NORMAL))
        self.assertEqual(queue.size(), 0)
        self.assertEqual(queue.candidates(), [])


class RouterCase(unittest.TestCase):
    """One core with a small fleet: five engines of two slots."""

    def setUp(self) -> None:
        """Put a configuration in force."""
        document: dict[str, Any] = build_document()
        document['accounts']['viti']['max_concurrent'] = 4
        self.router = Router('n1', seed=1)
        configuration = build_configuration(document, 1)
        self.router.apply(ConfigurationAccepted(configuration), 0)

    def ask(self, name: str, now: float, **facts: object) -> list[Command]:
        """Let a request arrive."""
        spec: dict[str, object] = {
            'account': 'tromsvik',
            'route': 'plans',
            'deadline': now + 50,
        }
        spec.update(facts)
        event = RequestArrived(name, **spec)  # type: ignore[arg-type]
        return list(self.router.apply(event, now))


class TestRefusals(RouterCase):
    """What can't be served is refused at once, with a time to come back."""

    def test_hopeless_requests_are_refused_on_arrival(self) -> None:
        """Once the pace is known, a wait beyond the deadline is refused."""
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

    def test_limit_of_an_account_is_shared_by_the_nodes(self) -> None:
        """Of four for the fleet, one node of four runs one."""
        self.router.apply(NodesSeen(4), 0)
        commands = [
            command
            for number in range(3)
            for command in self.ask(f'r{number}', 0, account='viti')
        ]
        self.assertEqual(len(commands), 1)

    def test_retries_end_with_the_budget(self) -> None:
        """An outage of all endpoints is not multiplied.

        Symptom: endpoints that come back are at once overloaded again.
        Sequence: all endpoints fail; every request is tried four times.
        Cause: retries had no common limit.
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
                    for command in self._break(attempt.attempt_id)
                ]
        self.assertLessEqual(attempts, 200 + 50 + 0.2 * 200 + 1)

    def _break(self, attempt_id: str) -> list[Command]:
        broke = AttemptBroke(attempt_id, 'reset')
        return list(self.router.apply(broke, 1.0))

    def _finish(self, attempt: OpenAttempt, now: float) -> None:
        self.router.apply(AttemptSent(attempt.attempt_id), now)
        token = TokenArrived(attempt.attempt_id, 0, 0, 'x', 'stop')
        commands = self.router.apply(token, now)
        self.assertTrue(
            any(isinstance(item, FinishAnswer) for item in commands)
        )


class TestEnginesThatNeverAnswer(RouterCase):
    """An engine that accepts and says nothing is not waited for long."""

    def test_answer_has_to_start_soon_the_first_token_may_take_longer(
        self,
    ) -> None:
        """Silence from the start is noticed before a slow prefill is.

        Symptom: answers that move to another engine stop for three seconds.
        Sequence: an engine freezes; before its other streams have shown it,
        a stream is moved to it.
        Cause: an engine that had not said a word was given the time of a
        long prefill.
        """
        opened = self.ask('r1', 0)[0]
        assert isinstance(opened, OpenAttempt)
        self.router.apply(AttemptSent(opened.attempt_id), 0)
        moved = self._pass_time(0.9)
        self.assertEqual(len(moved), 1)
        again = moved[0].attempt_id
        self.router.apply(AttemptSent(again), 0.9)
        self.router.apply(AttemptProgressed(again), 1.0)
        self.assertEqual(self._pass_time(3.9), [])
        self.assertEqual(len(self._pass_time(4.1)), 1)

    def _pass_time(self, now: float) -> list[OpenAttempt]:
        return [
            command
            for command in self.router.apply(TimePassed(), now)
            if isinstance(command, OpenAttempt)
        ]


class TestMovingOffSlowLinks(RouterCase):
    """A stream whose link degrades goes on elsewhere."""

    def test_slow_hop_moves_the_stream_without_a_seam(self) -> None:
        """The next attempt starts at the next token.

        Symptom: answers crawl for as long as they last.
        Sequence: a link between two stages becomes a hundred times slower.
        Cause: only new requests looked at the links.
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
        moved = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(moved), 1)
        self.assertEqual(moved[0].resume_at, 1)
        self.assertEqual(moved[0].epoch, 1)

    def test_an_answer_that_is_nearly_over_stays_where_it_is(self) -> None:
        """Symptom: short answers run twice, and take two engines' time.

        Sequence: one hop looks slow for a moment, as on a busy machine; the
        answer has one token left, and is begun anew elsewhere for it. Cause:
        a move was weighed by the time of a token alone. Evidence: five runs
        for four requests, `moved.slow_link` 1.
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


class TestLongAnswers(RouterCase):
    """A long answer may outlive more failures than one attempt may see."""

    def test_failures_are_counted_since_the_last_token(self) -> None:
        """Ten stages die in turn, each after a token.

        Symptom: a long answer is cut although engines are free.
        Sequence: stages fail now and then over minutes.
        Cause: failures were counted over the whole life of an answer.
        """
        opened = self.ask('r1', 0)[0]
        for index in range(10):
            assert isinstance(opened, OpenAttempt)
            self.router.apply(AttemptSent(opened.attempt_id), 0.1)
            token = TokenArrived(opened.attempt_id, opened.epoch, index, 'x')
            self.router.apply(token, 0.1)
            broke = AttemptBroke(opened.attempt_id, 'died', failed_stage=0)
            commands = self.router.apply(broke, 0.1)
            for name in self.router.state.endpoints:
                self.router.apply(ProbeAnswered(name, alive=True), 0.1)
            found = [item for item in commands if isinstance(item, OpenAttempt)]
            self.assertEqual(len(found), 1, index)
            opened = found[0]


class TestDeadlines(RouterCase):
    """Every request ends, whatever happens."""

    def test_silence_until_the_deadline_ends_as_may_have_run(self) -> None:
        """What was sent and never answered may have run."""
        commands = self.ask('r1', 0, deadline=2.0)
        attempt = commands[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        ended = [
            command
            for command in self.router.apply(TimePassed(), 2.0)
            if isinstance(command, RefuseRequest)
        ]
        self.assertEqual(len(ended), 1)
        self.assertEqual(ended[0].problem.code, 'deadline-passed')
        self.assertIs(ended[0].problem.outcome, Outcome.MAY_HAVE_RUN)


class TestLoopLag(RouterCase):
    """The lag of a node's loop is no silence of its endpoints."""

    def test_a_late_timer_breaks_no_attempt(self) -> None:
        """Answers aren't begun again elsewhere because the loop was blocked."""
        attempt = self.ask('r1', 0)[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        commands = self.router.apply(TimePassed(lag_s=4.0), 5.0)
        self.assertEqual(commands, [])
        token = TokenArrived(attempt.attempt_id, 0, 0, 'x')
        self.router.apply(token, 5.01)
        commands = self.router.apply(TimePassed(), 5.2)
        self.assertEqual(commands, [])

    def test_silence_after_the_lag_still_counts(self) -> None:
        attempt = self.ask('r1', 0)[0]
        assert isinstance(attempt, OpenAttempt)
        self.router.apply(AttemptSent(attempt.attempt_id), 0.1)
        self.router.apply(TimePassed(lag_s=4.0), 5.0)
        commands = self.router.apply(TimePassed(), 5.4)
        opened = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(opened), 1)


if __name__ == '__main__':
    unittest.main()
