"""Claims: a request with a key runs at most once fleet-wide."""

from __future__ import annotations

import asyncio
import threading
import unittest
from typing import TYPE_CHECKING, Any, cast

from samphirerill.backends.peers import PeerClients, PeerServer
from samphirerill.control.claims import Claim, ClaimBatch
from samphirerill.core.commands import Outcome, SettleClaim, WriteClaim
from samphirerill.core.events import ClaimAcquired, ClaimConflicted, ClaimFailed
from samphirerill.node.claim_batches import (
    MAX_DIRECT_WRITERS,
    choose_aggregator,
)
from samphirerill.node.claim_writer import RELEASE_DELAY_S, ClaimWriter
from samphirerill.node.membership import Member
from samphirerill.node.store_worker import StoreWorker
from samphirerill.testing.etcd_state import EtcdState
from samphirerill.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from samphirerill.node.membership import Membership

_WRITE_TIMEOUT_S = 5.0
_SETTLE_S = 0.2


class _Sink:
    """Collects the events that a claim writer applies."""

    def __init__(self) -> None:
        self.events: list[Any] = []
        self.answers: dict[str, Any] = {}
        self.writer: ClaimWriter | None = None

    def apply(self, event: object) -> None:
        self.events.append(event)
        if self.writer is not None:
            self.answers.update(self.writer.stored_responses)


class _Members:
    """The nodes known to a writer."""

    def __init__(self, name: str) -> None:
        self.peers: dict[str, Any] = {}
        self._name = name

    @property
    def count(self) -> int:
        return len(self.peers) + 1

    def is_alive(self, holder: str) -> bool:
        return holder != 'dead'


class _Node:
    """One node's claim writer over a shared store."""

    def __init__(self, name: str, etcd_state: EtcdState) -> None:
        self.address = ''
        self.store = MemoryStore(etcd_state)
        self.sink = _Sink()
        self.worker = StoreWorker(self.store)
        self.membership = _Members(name)
        self.writer = ClaimWriter(
            self.worker,
            name,
            '/p/',
            self.sink,
            cast('Membership', self.membership),
            PeerClients(4),
        )
        self.sink.writer = self.writer
        self.task = asyncio.ensure_future(self.writer.run())

    async def claim(self, request_id: str, key: str, body: str = 'b') -> Any:
        """Claim a key and return the resulting event."""
        before = len(self.sink.events)
        self.writer.queue_claim(
            WriteClaim(request_id, 'viti', 'notices', key, body)
        )
        for _ in range(400):
            await asyncio.sleep(0.01)
            if len(self.sink.events) > before:
                return self.sink.events[-1]
        raise AssertionError('no event for the claim within 4 s')

    async def settle(
        self, request_id: str, outcome: Outcome, answer: dict[str, Any]
    ) -> None:
        """Record an outcome and wait until it is written."""
        self.writer.queue_outcome(SettleClaim(request_id, outcome), answer)
        await asyncio.sleep(0.1)


class TestClaims(unittest.IsolatedAsyncioTestCase):
    """Two nodes and one unreliable store."""

    async def asyncSetUp(self) -> None:
        self.etcd_state = EtcdState()
        self.one = _Node('n1', self.etcd_state)
        self.two = _Node('n2', self.etcd_state)

    async def asyncTearDown(self) -> None:
        for node in (self.one, self.two):
            node.task.cancel()
            node.worker.stop()

    async def test_second_claim_gets_state_of_the_first(self) -> None:
        """A retry at another node gets the state of the first request."""
        self.assertEqual(await self.one.claim('r1', 'k'), ClaimAcquired('r1'))
        running = await self.two.claim('r2', 'k')
        self.assertEqual(running, ClaimConflicted('r2', 'running', True))
        await self.one.settle('r1', Outcome.ANSWERED, {'text': 'done'})
        answered = await self.two.claim('r3', 'k')
        self.assertEqual(answered.state, 'answered')
        self.assertEqual(self.two.sink.answers['r3'], {'text': 'done'})

    async def test_key_with_another_body_is_a_mismatch(self) -> None:
        await self.one.claim('r1', 'k', 'body one')
        taken = await self.two.claim('r2', 'k', 'body two')
        self.assertEqual(taken.state, 'mismatch')

    async def test_not_run_releases_the_key(self) -> None:
        """A retry of a request that never ran may run."""
        await self.one.claim('r1', 'k')
        await self.one.settle('r1', Outcome.NOT_RUN, {})
        self.assertEqual(await self.two.claim('r2', 'k'), ClaimAcquired('r2'))

    async def test_repeated_release_keeps_a_later_claim(self) -> None:
        """A release sent twice does not remove the claim of a retry.

        Guards against a release that does not check whose claim it removes:
        the request would run twice.
        """
        await self.one.claim('r1', 'k')
        self.one.store.lose_replies = 1
        self.one.writer.queue_outcome(SettleClaim('r1', Outcome.NOT_RUN), {})
        await asyncio.sleep(0.06)
        self.assertEqual(await self.two.claim('r2', 'k'), ClaimAcquired('r2'))
        await asyncio.sleep(0.5)
        third = await self.two.claim('r3', 'k')
        self.assertEqual(third, ClaimConflicted('r3', 'running', True))

    async def test_lost_reply_is_resolved_by_reading_back(self) -> None:
        """A claim whose reply was lost is recognised as this node's own.

        Guards against refusing a request as a repeat of itself.
        """
        await self.one.claim('warm', 'up')
        self.one.store.lose_replies = 1
        self.assertEqual(await self.one.claim('r1', 'k'), ClaimAcquired('r1'))

    async def test_claim_given_up_in_an_outage_is_released(self) -> None:
        """A claim given up is removed once the store is back.

        Guards against a claim that took effect although its reply was lost:
        retries would be told that the request may have run.
        """
        await self.one.claim('warm', 'up')
        commit = self.one.store.commit

        def lose_then_fail(transaction: Any) -> Any:
            self.one.store.commit = commit  # type: ignore[method-assign]
            self.one.store.lose_replies = 1
            try:
                return commit(transaction)
            finally:
                self.one.store.down = True

        self.one.store.commit = lose_then_fail  # type: ignore[method-assign]
        event = await self.one.claim('r1', 'k')
        self.assertEqual(event, ClaimFailed('r1'))
        self.assertEqual(
            await self.two.claim('r2', 'k'),
            ClaimConflicted('r2', 'running', True),
        )
        self.one.store.down = False
        await asyncio.sleep(RELEASE_DELAY_S + 0.5)
        self.assertEqual(await self.two.claim('r3', 'k'), ClaimAcquired('r3'))

    async def test_claims_are_written_in_batches(self) -> None:
        """Claims that arrive together share a transaction."""
        await self.one.claim('warm', 'up')
        before = self.one.store.calls
        for number in range(40):
            self.one.writer.queue_claim(
                WriteClaim(f'r{number}', 'viti', 'notices', f'{number}', 'b')
            )
        await asyncio.sleep(0.3)
        acquired = [
            event
            for event in self.one.sink.events
            if isinstance(event, ClaimAcquired)
        ]
        self.assertEqual(len(acquired), 41)
        self.assertLessEqual(self.one.store.calls - before, 3)

    async def test_claim_that_is_being_written_is_unwritten(self) -> None:
        """Guard against a node that ends during a write."""
        await self.one.claim('warm', 'up')
        commit = self.one.store.commit
        is_writing = threading.Event()
        may_write = threading.Event()
        self.addCleanup(may_write.set)

        def wait_and_commit(transaction: Any) -> Any:
            is_writing.set()
            may_write.wait(_WRITE_TIMEOUT_S)
            return commit(transaction)

        self.one.store.commit = wait_and_commit  # type: ignore[method-assign]
        claiming = asyncio.ensure_future(self.one.claim('r1', 'k'))
        await asyncio.to_thread(is_writing.wait, _WRITE_TIMEOUT_S)
        self.assertFalse(self.one.writer.is_idle())
        may_write.set()
        self.assertEqual(await claiming, ClaimAcquired('r1'))
        await asyncio.sleep(_SETTLE_S)
        self.assertTrue(self.one.writer.is_idle())

    async def test_conflict_does_not_delay_other_claims(self) -> None:
        """A conflict in a batch affects only that claim."""
        await self.one.claim('r1', 'taken')
        for key in ('a', 'taken', 'b'):
            self.two.writer.queue_claim(
                WriteClaim(f'two-{key}', 'viti', 'notices', key, 'b')
            )
        await asyncio.sleep(0.4)
        acquired = {
            event.request_id
            for event in self.two.sink.events
            if isinstance(event, ClaimAcquired)
        }
        self.assertEqual(acquired, {'two-a', 'two-b'})

    async def test_equal_keys_of_two_accounts_do_not_conflict(self) -> None:
        await self.one.claim('r1', 'k')
        self.two.writer.queue_claim(
            WriteClaim('r2', 'tromsvik', 'notices', 'k', 'b')
        )
        await asyncio.sleep(0.2)
        self.assertEqual(self.two.sink.events, [ClaimAcquired('r2')])


class TestAggregatedClaims(unittest.IsolatedAsyncioTestCase):
    """In a large fleet, aggregators write the claims of others."""

    async def asyncSetUp(self) -> None:
        """Start two writers that know a large fleet, and peer servers."""
        self.etcd_state = EtcdState()
        self.nodes = [_Node(f'n{index}', self.etcd_state) for index in range(2)]
        self.servers = []
        for node in self.nodes:
            server = PeerServer(
                lambda message: message, node.writer.write_for_peer
            )
            self.servers.append(server)
            node.address = f'127.0.0.1:{await server.start("127.0.0.1", 0)}'
        for node, other in zip(self.nodes, self.nodes[::-1], strict=True):
            node.membership.peers = {
                f'other-{index}': Member(f'other-{index}', 'a', other.address)
                for index in range(MAX_DIRECT_WRITERS + 10)
            }
        self.sender = next(
            node
            for node in self.nodes
            if choose_aggregator(
                node.writer.node_id, cast('Membership', node.membership)
            )
        )
        self.aggregator = next(
            node for node in self.nodes if node is not self.sender
        )
        self.aggregator.membership.peers = {}

    async def asyncTearDown(self) -> None:
        for node in self.nodes:
            node.task.cancel()
            node.worker.stop()
        for server in self.servers:
            await server.stop()

    async def test_claims_and_outcomes_go_through_the_aggregator(self) -> None:
        """The sender itself does not call the store."""
        self.assertEqual(
            await self.sender.claim('r1', 'k'), ClaimAcquired('r1')
        )
        await self.sender.settle('r1', Outcome.ANSWERED, {'text': 'done'})
        await asyncio.sleep(0.2)
        again = await self.sender.claim('r2', 'k')
        self.assertEqual(again.state, 'answered')
        self.assertEqual(self.sender.sink.answers['r2'], {'text': 'done'})
        self.assertEqual(self.sender.store.calls, 0)

    async def test_outage_at_the_aggregator_fails_the_claim(self) -> None:
        """Nothing is sent to an endpoint without a claim."""
        self.aggregator.store.down = True
        self.assertEqual(await self.sender.claim('r1', 'k'), ClaimFailed('r1'))


class TestSenderTimeouts(unittest.IsolatedAsyncioTestCase):
    """A sender's timeout does not affect other claims."""

    async def test_writer_survives_a_cancelled_call(self) -> None:
        """The aggregator continues to write claims.

        Guards against setting a result on a cancelled future, which ended the
        task that writes claims, so that the node refused all requests with
        keys.
        """
        node = _Node('n1', EtcdState())
        self.addCleanup(node.worker.stop)
        self.addCleanup(node.task.cancel)
        node.store.down = True
        remote_claim = Claim('/p/claims/k', 'n2', 'r1', 'b')
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(
                node.writer.write_for_peer(ClaimBatch([remote_claim])),
                timeout=0.5,
            )
        await asyncio.sleep(1.5)
        node.store.down = False
        self.assertEqual(await node.claim('r2', 'other'), ClaimAcquired('r2'))


if __name__ == '__main__':
    unittest.main()
