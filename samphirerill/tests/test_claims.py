"""Claims: work under one key runs at most once, fleet-wide."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any, cast

from samphirerill.backends.peers import PeerClients, PeerServer
from samphirerill.control.claims import Batch, Claim
from samphirerill.core.commands import Outcome, SettleClaim, WriteClaim
from samphirerill.core.events import ClaimFailed, ClaimTaken, ClaimWon
from samphirerill.node.claim_carriers import COLLECT_ABOVE, pick_collector
from samphirerill.node.claim_writer import RELEASE_AFTER_S, ClaimWriter
from samphirerill.node.members import Member
from samphirerill.node.store_worker import StoreWorker
from samphirerill.testing.kv_rules import Rules
from samphirerill.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from samphirerill.node.members import Members


class _Sink:
    """Collects verdicts."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.answers: dict[str, Any] = {}
        self.writer: ClaimWriter | None = None

    def apply(self, event: object) -> None:
        """Keep an event."""
        self.events.append(event)
        if self.writer is not None:
            self.answers.update(self.writer.answers)


class _Members:
    """The nodes that a writer knows."""

    def __init__(self, name: str) -> None:
        self.others: dict[str, Any] = {}
        self._name = name

    @property
    def count(self) -> int:
        """How many nodes there are."""
        return len(self.others) + 1

    def is_alive(self, holder: str) -> bool:
        """Tell whether a holder is a living node."""
        return holder != 'dead'


class _Node:
    """One node's writer over the shared service."""

    def __init__(self, name: str, rules: Rules) -> None:
        self.address = ''
        self.store = MemoryStore(rules)
        self.sink = _Sink()
        self.worker = StoreWorker(self.store)
        self.members = _Members(name)
        self.writer = ClaimWriter(
            self.worker,
            name,
            '/p/',
            self.sink,
            cast('Members', self.members),
            PeerClients(4),
        )
        self.sink.writer = self.writer
        self.task = asyncio.ensure_future(self.writer.run())

    async def claim(self, request_id: str, key: str, body: str = 'b') -> Any:
        """Claim a key and return the verdict."""
        before = len(self.sink.events)
        self.writer.write(WriteClaim(request_id, 'viti', 'notices', key, body))
        for _ in range(400):
            await asyncio.sleep(0.01)
            if len(self.sink.events) > before:
                return self.sink.events[-1]
        raise AssertionError('no verdict came')

    async def settle(
        self, request_id: str, outcome: Outcome, answer: dict[str, Any]
    ) -> None:
        """Record an outcome and wait until it is written."""
        self.writer.settle(SettleClaim(request_id, outcome), answer)
        await asyncio.sleep(0.1)


class TestClaims(unittest.IsolatedAsyncioTestCase):
    """Two nodes and one unreliable service."""

    async def asyncSetUp(self) -> None:
        """Start two writers."""
        self.rules = Rules()
        self.one = _Node('n1', self.rules)
        self.two = _Node('n2', self.rules)

    async def asyncTearDown(self) -> None:
        """End the writers."""
        for node in (self.one, self.two):
            node.task.cancel()
            node.worker.stop()

    async def test_second_claim_learns_of_the_first(self) -> None:
        """Across nodes, at any stage of the first request."""
        self.assertEqual(await self.one.claim('r1', 'k'), ClaimWon('r1'))
        running = await self.two.claim('r2', 'k')
        self.assertEqual(running, ClaimTaken('r2', 'running', True))
        await self.one.settle('r1', Outcome.ANSWERED, {'text': 'done'})
        answered = await self.two.claim('r3', 'k')
        self.assertEqual(answered.state, 'answered')
        self.assertEqual(self.two.sink.answers['r3'], {'text': 'done'})

    async def test_key_with_another_body_is_a_mismatch(self) -> None:
        """One key stands for one request."""
        await self.one.claim('r1', 'k', 'body one')
        taken = await self.two.claim('r2', 'k', 'body two')
        self.assertEqual(taken.state, 'mismatch')

    async def test_not_run_frees_the_key(self) -> None:
        """A retry of something that never ran may run."""
        await self.one.claim('r1', 'k')
        await self.one.settle('r1', Outcome.NOT_RUN, {})
        self.assertEqual(await self.two.claim('r2', 'k'), ClaimWon('r2'))

    async def test_removal_sent_twice_spares_a_later_claim(self) -> None:
        """A key freed and taken again is not freed a second time.

        Symptom: a notice goes out twice.
        Sequence: a claim ends as not run; its removal takes effect but the
        answer is lost; a retry wins the key and runs; the removal is sent
        again; a third request wins the key and runs.
        Cause: the removal did not look whose claim it removed.
        """
        await self.one.claim('r1', 'k')
        self.one.store.lose_replies = 1
        self.one.writer.settle(SettleClaim('r1', Outcome.NOT_RUN), {})
        await asyncio.sleep(0.06)
        self.assertEqual(await self.two.claim('r2', 'k'), ClaimWon('r2'))
        await asyncio.sleep(0.5)
        third = await self.two.claim('r3', 'k')
        self.assertEqual(third, ClaimTaken('r3', 'running', True))

    async def test_lost_reply_is_settled_by_reading_back(self) -> None:
        """One's own claim is recognised.

        Symptom: a request is refused as a repeat of itself, and never runs.
        Sequence: the claim is written; the answer is lost; it is sent again.
        Cause: the key is taken, by the first sending.
        """
        await self.one.claim('warm', 'up')
        self.one.store.lose_replies = 1
        self.assertEqual(await self.one.claim('r1', 'k'), ClaimWon('r1'))

    async def test_outage_refuses_and_leaves_nothing_behind(self) -> None:
        """A claim given up is removed once the service is back.

        Symptom: for a day each retry is told that the request may have run.
        Sequence: a claim takes effect, its answer is lost, the service goes
        away; the request is refused as not run; the service comes back.
        Cause: nobody removed the claim.
        """
        await self.one.claim('warm', 'up')
        commit = self.one.store.commit

        def lose_then_go(transaction: Any) -> Any:
            self.one.store.commit = commit  # type: ignore[method-assign]
            self.one.store.lose_replies = 1
            try:
                return commit(transaction)
            finally:
                self.one.store.down = True

        self.one.store.commit = lose_then_go  # type: ignore[method-assign]
        verdict = await self.one.claim('r1', 'k')
        self.assertEqual(verdict, ClaimFailed('r1'))
        self.assertEqual(
            await self.two.claim('r2', 'k'), ClaimTaken('r2', 'running', True)
        )
        self.one.store.down = False
        await asyncio.sleep(RELEASE_AFTER_S + 0.5)
        self.assertEqual(await self.two.claim('r3', 'k'), ClaimWon('r3'))

    async def test_one_call_carries_many_claims(self) -> None:
        """Claims that come together are written together."""
        await self.one.claim('warm', 'up')
        before = self.one.store.calls
        for number in range(40):
            self.one.writer.write(
                WriteClaim(f'r{number}', 'viti', 'notices', f'{number}', 'b')
            )
        await asyncio.sleep(0.3)
        won = [
            event
            for event in self.one.sink.events
            if isinstance(event, ClaimWon)
        ]
        self.assertEqual(len(won), 41)
        self.assertLessEqual(self.one.store.calls - before, 3)

    async def test_taken_key_does_not_hold_up_the_others(self) -> None:
        """One conflict in a group costs only that claim."""
        await self.one.claim('r1', 'taken')
        for key in ('a', 'taken', 'b'):
            self.two.writer.write(
                WriteClaim(f'two-{key}', 'viti', 'notices', key, 'b')
            )
        await asyncio.sleep(0.4)
        won = {
            event.request_id
            for event in self.two.sink.events
            if isinstance(event, ClaimWon)
        }
        self.assertEqual(won, {'two-a', 'two-b'})

    async def test_accounts_with_the_same_key_never_meet(self) -> None:
        """A rival house's key is not taken because of ours."""
        await self.one.claim('r1', 'k')
        self.two.writer.write(WriteClaim('r2', 'tromsvik', 'notices', 'k', 'b'))
        await asyncio.sleep(0.2)
        self.assertEqual(self.two.sink.events, [ClaimWon('r2')])


class TestGatheredClaims(unittest.IsolatedAsyncioTestCase):
    """In a large fleet a few nodes write for all."""

    async def asyncSetUp(self) -> None:
        """Start two writers that know a large fleet, and a peer server."""
        self.rules = Rules()
        self.nodes = [_Node(f'n{at}', self.rules) for at in range(2)]
        self.servers = []
        for node in self.nodes:
            server = PeerServer(lambda word: word, node.writer.collect)
            self.servers.append(server)
            node.address = f'127.0.0.1:{await server.start("127.0.0.1", 0)}'
        for node, other in zip(self.nodes, self.nodes[::-1], strict=True):
            node.members.others = {
                f'other-{at}': Member(f'other-{at}', 'a', other.address)
                for at in range(COLLECT_ABOVE + 10)
            }
        self.sender = next(
            node
            for node in self.nodes
            if pick_collector(node.writer.name, cast('Members', node.members))
        )
        self.gatherer = next(
            node for node in self.nodes if node is not self.sender
        )
        self.gatherer.members.others = {}

    async def asyncTearDown(self) -> None:
        """End all."""
        for node in self.nodes:
            node.task.cancel()
            node.worker.stop()
        for server in self.servers:
            await server.stop()

    async def test_claims_and_outcomes_go_through_the_gatherer(self) -> None:
        """The sender makes no call to the service itself."""
        self.assertEqual(await self.sender.claim('r1', 'k'), ClaimWon('r1'))
        await self.sender.settle('r1', Outcome.ANSWERED, {'text': 'done'})
        await asyncio.sleep(0.2)
        again = await self.sender.claim('r2', 'k')
        self.assertEqual(again.state, 'answered')
        self.assertEqual(self.sender.sink.answers['r2'], {'text': 'done'})
        self.assertEqual(self.sender.store.calls, 0)

    async def test_gatherer_in_an_outage_is_no_verdict(self) -> None:
        """The claim fails, and nothing is sent for it."""
        self.gatherer.store.down = True
        self.assertEqual(await self.sender.claim('r1', 'k'), ClaimFailed('r1'))


class TestImpatientSenders(unittest.IsolatedAsyncioTestCase):
    """A sender that gives up waiting harms nobody else."""

    async def test_writer_outlives_a_cancelled_request(self) -> None:
        """The gathering node goes on writing claims.

        Symptom: after an outage a node refuses all keyed work for good.
        Sequence: another node has it write a claim; the service is away;
        the other node's deadline passes and its call is cancelled; the
        claim is given up.
        Cause: the verdict was set on a future that was cancelled, which
        ended the only task that writes claims.
        """
        node = _Node('n1', Rules())
        self.addCleanup(node.worker.stop)
        self.addCleanup(node.task.cancel)
        node.store.down = True
        theirs = Claim('/p/claims/k', 'n2', 'r1', 'b')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(
                node.writer.collect(Batch([theirs])), timeout=0.5
            )
        await asyncio.sleep(1.5)
        node.store.down = False
        self.assertEqual(await node.claim('r2', 'other'), ClaimWon('r2'))


if __name__ == '__main__':
    unittest.main()
