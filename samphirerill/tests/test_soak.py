"""A short soak run with a fixed seed, and tests of its checker."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.fleet.model import LayerRange
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.pool import call_once, read_response
from samphirerill.testing.soak.exchange import Exchange, Outcome
from samphirerill.testing.soak.flood_checks import FloodChecks, FloodGroup
from samphirerill.testing.soak.ground_truth import Fault, GroundTruth
from samphirerill.testing.soak.nodes import SoakNode
from samphirerill.testing.soak.pipelines import LAYERS
from samphirerill.testing.soak.replicas import ReplicaRegistry, SoakReplica
from samphirerill.testing.soak.request_traits import count_events
from samphirerill.testing.soak.run import run_seed
from samphirerill.testing.soak.settings import SoakSettings
from samphirerill.testing.soak.unanswered import UnansweredCheck

_SEED = 7
_CROWD_SEED = 7200
_CROWD_DURATION_S = 8.0
_STUTTER_SEED = 7100
_STUTTER_DURATION_S = 14.0
_LIMIT_SEED = 43
_LIMIT_DURATION_S = 12.0
_RESTART_SEED = 43009
_CUT_SEED = 49001
_WATCHER_SEED = 2
# Three watch the store.
_WATCHER_NODES = 7
_RESTORE_SEED = 46
_RESTORE_DURATION_S = 14.0
_LOAD_SEED = 5115
_LOAD_DURATION_S = 1.0
_FAULT_DURATION_S = 8.0
_REQUEST_ID = '9000000000000009'
_ENGINE_ADDRESS = '127.0.0.61:20911'
_STREAM_TIMEOUT_S = 5.0


class TestSoak(TestCase):
    """Node processes under externally injected faults."""

    def test_no_guarantee_is_violated(self) -> None:
        with TemporaryDirectory() as folder:
            settings = SoakSettings(_FAULT_DURATION_S)
            report = run_seed(_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['notes.200'], 0)

    def test_copies_of_responses_mislead_no_client(self) -> None:
        """Guard against the status of a copy with the body of a failure."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(_STUTTER_DURATION_S, stutters=True)
            report = run_seed(_STUTTER_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['replica.failed'], 0)

    def test_crowds_of_misbehaving_clients_harm_no_other(self) -> None:
        """Guard against ordinary requests that fail beside such clients."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                _CROWD_DURATION_S, injects_faults=False, crowds=True
            )
            report = run_seed(_CROWD_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['planned.crowds'], 0)

    def test_all_nodes_together_keep_named_limits(self) -> None:
        """Guard against more requests than a replica named for all nodes."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                _LIMIT_DURATION_S, injects_faults=False, names_limits=True
            )
            report = run_seed(_LIMIT_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['planned.limited'], 0)

    def test_limits_are_kept_beside_rolling_restarts(self) -> None:
        """Guard against more requests than named while nodes are replaced."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(injects_faults=False, names_limits=True)
            report = run_seed(_RESTART_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['planned.limited'], 0)

    def test_a_store_that_is_restored_breaks_no_guarantee(self) -> None:
        """Guard against what reused revisions hide from nodes."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                _RESTORE_DURATION_S, injects_faults=False, restores_store=True
            )
            report = run_seed(_RESTORE_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['fault.restored'], 1)

    def test_nodes_without_paths_to_replicas_break_no_guarantee(self) -> None:
        """Guards against requests that fail at nodes that are cut off."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                _FAULT_DURATION_S, injects_faults=False, cuts_nodes=True
            )
            report = run_seed(_CUT_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['fault.cut off'], 0)

    def test_nodes_follow_changes_without_watchers(self) -> None:
        """Guards against nodes that rely on others which know nothing."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                nodes=_WATCHER_NODES, injects_faults=False, stops_watchers=True
            )
            report = run_seed(_WATCHER_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['fault.watchers frozen'], 0)
        self.assertGreater(
            report.counts['fault.watchers cut from the store'], 0
        )

    def test_a_flood_by_one_account_leaves_the_others_their_shares(
        self,
    ) -> None:
        """Guard against small accounts and ranks that a flood shuts out."""
        with TemporaryDirectory() as folder:
            settings = SoakSettings(
                _LOAD_DURATION_S, injects_faults=False, floods=True
            )
            report = run_seed(_LOAD_SEED, settings, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['bulk.503'], 0)


class TestFloodChecks(TestCase):
    """The checker of floods, with a flood from 10 s to 15 s."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.flood = Fault('flood', 10, 15)
        self.ground_truth.faults.append(self.flood)
        self.checks = FloodChecks(self.ground_truth, self.flood)
        self.group = FloodGroup('bulk', ('small',), 1, 0.5)

    def respond(self, status: int, count: int, retry_after: bytes) -> None:
        """Let clients get responses with a status."""
        for number in range(count):
            exchange = Exchange('bulk', f'{status}-{number}', 'small')
            exchange.sent_at = 12
            exchange.response.status = status
            exchange.response.retry_after = retry_after
            self.checks.check_response(self.group, exchange)

    def test_share_below_the_expected_one_is_a_violation(self) -> None:
        self.respond(HTTPStatus.OK, 5, b'')
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 5, b'0.4')
        self.checks.check_shares()
        self.assertEqual(self.ground_truth.violations, [])
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 1, b'0.4')
        self.checks.check_shares()
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_stream_from_before_the_flood_counts_while_it_runs(self) -> None:
        """Guard against blaming nodes for a share that a long stream takes."""
        exchange = Exchange('bulk', 'long', 'small', sent_at=9, ended_at=13)
        exchange.response.status = HTTPStatus.OK
        group = FloodGroup('bulk', ('small',), 1, 0.1)
        self.checks.check_response(group, exchange)
        self.group = group
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 9, b'0.4')
        self.checks.check_shares()
        self.assertEqual(self.ground_truth.violations, [])
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 1, b'0.4')
        self.checks.check_shares()
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_faults_during_the_flood_excuse_shares(self) -> None:
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 10, b'0.4')
        self.ground_truth.faults.append(Fault('replica gone', 11, 11.4))
        self.ground_truth.faults.append(Fault('replica gone', 14.8))
        self.checks.check_shares()
        self.assertEqual(self.ground_truth.violations, [])

    def test_rejection_without_a_time_to_return_is_a_violation(self) -> None:
        for retry_after in (b'', b'0', b'soon', b'inf'):
            self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 1, retry_after)
        self.assertEqual(len(self.ground_truth.violations), 4)

    def test_rejected_request_that_ran_is_a_violation(self) -> None:
        self.ground_truth.accounts['503-0'] = 'small'
        self.ground_truth.record_run('503-0', 'one', 'small')
        self.respond(HTTPStatus.SERVICE_UNAVAILABLE, 1, b'1')
        self.assertEqual(len(self.ground_truth.violations), 1)


class TestLimitChecks(TestCase):
    """The checker of request limits, with a limit of 1 named at 10 s."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.checks = self.ground_truth.notice_checks.limits
        self.nodes = [SoakNode.__new__(SoakNode) for _ in range(2)]
        for number, node in enumerate(self.nodes):
            node.name = f'node-{number}'
            node.start_count = 1
            self.checks.record_send(f'r{number}', node)
        self.checks.record_limit('one', 1, 10.0)

    def arrive(self, now: float, count: int = 12) -> None:
        """Let requests of both nodes reach the replica."""
        for number in range(count):
            self.checks.check_arrival(f'r{number % 2}', 'one', now)

    def test_more_requests_of_told_nodes_together_are_a_violation(self) -> None:
        """Guard against a check that looks at each node alone."""
        for request_id in ('r0', 'r1'):
            self.checks.record_answer(request_id, 'one', 10.5)
        self.arrive(14.0, 11)
        self.assertEqual(self.ground_truth.violations, [])
        self.arrive(14.5, 1)
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_first_seconds_and_untold_nodes_do_not_count(self) -> None:
        self.checks.record_answer('r0', 'one', 10.5)
        self.arrive(12.9)
        self.arrive(14.0)
        self.assertEqual(self.ground_truth.violations, [])

    def test_nodes_touched_by_faults_do_not_count(self) -> None:
        for request_id in ('r0', 'r1'):
            self.checks.record_answer(request_id, 'one', 10.5)
        targets = frozenset(('node-0',))
        self.ground_truth.faults.append(Fault('paused', 12.0, 12.5, targets))
        self.arrive(14.0, 20)
        self.assertEqual(self.ground_truth.violations, [])


class TestGroundTruth(TestCase):
    """The checker detects each kind of violation."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.ground_truth.accounts['r1'] = 'suva'

    def test_second_run_of_non_idempotent_request(self) -> None:
        self.ground_truth.non_idempotent.add('r1')
        self.ground_truth.record_run('r1', 'desk-1', 'suva')
        self.assertEqual(self.ground_truth.violations, [])
        self.ground_truth.record_run('r1', 'desk-2', 'suva')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_run_after_refusal(self) -> None:
        self.ground_truth.record_refusal('r1')
        self.ground_truth.record_run('r1', 'desk-1', 'suva')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_run_for_another_account(self) -> None:
        self.ground_truth.record_run('r1', 'desk-1', 'nadi')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_fault_free_intervals(self) -> None:
        self.ground_truth.faults.append(Fault('node killed', 10, 12))
        self.assertTrue(self.ground_truth.is_fault_free(1, 9))
        self.assertFalse(self.ground_truth.is_fault_free(11, 13))
        self.assertTrue(self.ground_truth.is_fault_free(13, 20))


class TestUnansweredCheck(TestCase):
    """Requests that were read whole and ended without an answer are found."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.ground_truth.arrivals['r1'] = {'head', 'tail'}
        self.node = SoakNode('node-0', '127.0.0.11', 21_000, Path())
        self.exchange = Exchange('notes', 'r1', 'suva')
        self.exchange.start(self.node, 10.0, is_reused=True)
        self.exchange.end(Outcome.CUT, 10.1)

    def assert_violations(self, count: int) -> None:
        UnansweredCheck(self.ground_truth).check(self.exchange)
        self.assertEqual(len(self.ground_truth.violations), count)

    def test_stream_cut_on_a_sound_path(self) -> None:
        self.assert_violations(1)

    def test_stream_cut_by_a_node_that_shuts_down(self) -> None:
        self.node.terminations.append(9.0)
        self.assert_violations(1)

    def test_stream_cut_beside_faults_of_others(self) -> None:
        targets = frozenset(('node-1', 'other'))
        self.ground_truth.faults.append(Fault('x', 9, 11, targets))
        self.ground_truth.faults.append(Fault('store busy', 9, 11))
        self.assert_violations(1)

    def test_stream_cut_beside_a_fault_of_its_path(self) -> None:
        targets = frozenset(('tail',))
        self.ground_truth.faults.append(Fault('x', 9, 11, targets))
        self.assert_violations(0)

    def test_stream_cut_after_its_replica_broke_it_off(self) -> None:
        self.ground_truth.broken_off.add('r1')
        self.assert_violations(0)

    def test_stream_cut_at_its_timeout(self) -> None:
        self.exchange.end(Outcome.CUT, 18.0)
        self.assert_violations(0)

    def test_request_not_answered_at_all(self) -> None:
        self.exchange.end(Outcome.TIMED_OUT, 19.0)
        self.assert_violations(1)

    def test_request_that_crosses_the_close_of_a_draining_node(self) -> None:
        self.ground_truth.arrivals.clear()
        self.node.terminations.append(9.0)
        self.assert_violations(0)

    def test_request_that_a_draining_node_must_have_read(self) -> None:
        self.ground_truth.arrivals.clear()
        self.node.terminations.append(9.0)
        self.exchange.end(Outcome.CUT, 11.0)
        self.assert_violations(1)

    def test_unread_request_cut_by_a_calm_node(self) -> None:
        self.ground_truth.arrivals.clear()
        self.assert_violations(1)

    def test_pipelined_request_passed_on_before_an_announced_close(
        self,
    ) -> None:
        self.exchange.end(Outcome.CLOSE_ANNOUNCED, 10.1)
        self.assert_violations(1)

    def test_pipelined_request_behind_an_announced_close(self) -> None:
        self.ground_truth.arrivals.clear()
        self.exchange.end(Outcome.CLOSE_ANNOUNCED, 10.1)
        self.assert_violations(0)


class TestSoakEngine(IsolatedAsyncioTestCase):
    """The fake engine breaks off no run for a reason of its own."""

    async def asyncSetUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.ground_truth.accounts[_REQUEST_ID] = 'suva'
        self.replica = SoakReplica(
            ReplicaRegistry(self.ground_truth),
            'r1',
            'llm',
            _ENGINE_ADDRESS,
            _ENGINE_ADDRESS,
            'half',
        )
        self.replica.layers = LayerRange(0, LAYERS)
        await self.replica.start()
        self.addCleanup(self.replica.stop)

    async def test_earlier_run_of_the_same_request_ends(self) -> None:
        earlier = await self._send_stream()
        later = await self._send_stream()
        earlier.close()
        deadline = asyncio.get_running_loop().time() + _STREAM_TIMEOUT_S
        status, body = await read_response(later, deadline)
        self.assertEqual(status, HTTPStatus.OK)
        self.assertEqual(body.count(b'data:'), count_events(_REQUEST_ID))

    async def test_layers_are_given_up_while_a_stream_uses_them(self) -> None:
        conn = await self._send_stream()
        deadline = asyncio.get_running_loop().time() + _STREAM_TIMEOUT_S
        await conn.wait_for_part(deadline)
        status, _ = await call_once(
            _ENGINE_ADDRESS,
            b'POST',
            b'/order',
            b'{"operation": "place", "from": 0, "to": 40}',
            deadline,
        )
        self.assertEqual(status, HTTPStatus.ACCEPTED)
        self.assertFalse(self.replica.layers.count)
        _, body = await read_response(conn, deadline)
        self.assertEqual(body.count(b'data:'), count_events(_REQUEST_ID))

    async def _send_stream(self) -> HttpConnection:
        conn = HttpConnection(_ENGINE_ADDRESS)
        await conn.open()
        self.addCleanup(conn.close)
        headers = [
            (b'host', b'x'),
            (b'x-samphirerill-request-id', _REQUEST_ID.encode()),
            (b'x-samphirerill-tenant', b'suva'),
            (b'x-samphirerill-target-instance', b'r1'),
            (
                b'x-samphirerill-hop-count',
                f'{_ENGINE_ADDRESS}=0-{LAYERS}'.encode(),
            ),
        ]
        conn.send(serialize_request(b'POST', b'/notes/x', headers, b'{}'))
        return conn


class TestReplicaNoticeChecks(TestCase):
    """Requests that a replica has asked not to get are found."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.checks = self.ground_truth.notice_checks
        self.node = SoakNode('node-0', '127.0.0.11', 21_000, Path())
        self.send('first', 10.0)

    def send(self, request_id: str, sent_at: float) -> None:
        self.checks.record_send(request_id, self.node, sent_at)

    def arrive(self, request_id: str, at: float, replica_id: str) -> None:
        self.checks.check_arrival(request_id, replica_id, 'a', at)

    def assert_violations(self, count: int) -> None:
        self.assertEqual(len(self.ground_truth.violations), count)

    def send_after_refusal(self, count: int, at: float) -> None:
        for number in range(count):
            self.send(f'later-{number}', at)
            self.arrive(f'later-{number}', at, 'r1')

    def test_more_than_two_requests_within_the_time(self) -> None:
        self.checks.record_back_off('first', 'r1', 10.0, 12.0)
        self.send_after_refusal(3, 11.0)
        self.assert_violations(1)

    def test_two_requests_within_the_time(self) -> None:
        self.checks.record_back_off('first', 'r1', 10.0, 12.0)
        self.send_after_refusal(2, 11.0)
        self.assert_violations(0)

    def test_requests_on_their_way_or_after_the_time(self) -> None:
        self.checks.record_back_off('first', 'r1', 10.0, 12.0)
        self.send_after_refusal(3, 10.4)
        self.send_after_refusal(3, 12.1)
        self.assert_violations(0)

    def test_requests_of_a_node_that_was_paused(self) -> None:
        fault = Fault('node paused', 9, 11, frozenset(('node-0',)))
        self.ground_truth.faults.append(fault)
        self.checks.record_back_off('first', 'r1', 10.0, 12.0)
        self.send_after_refusal(3, 11.0)
        self.assert_violations(0)

    def test_requests_of_a_node_that_was_restarted(self) -> None:
        self.checks.record_back_off('first', 'r1', 10.0, 12.0)
        self.node.start_count += 1
        self.send_after_refusal(3, 11.0)
        self.assert_violations(0)

    def test_requests_of_a_node_that_was_asked_again_after_a_restart(
        self,
    ) -> None:
        self.checks.record_back_off('first', 'r1', 9.0, 12.0)
        self.node.start_count += 1
        self.send('second', 10.0)
        self.checks.record_back_off('second', 'r1', 10.0, 12.0)
        self.send_after_refusal(3, 11.0)
        self.assert_violations(1)

    def pass_on_leaving(self) -> None:
        self.checks.record_leaving_answer('first', 'r1')
        exchange = Exchange('look', 'first', 'suva')
        exchange.start(self.node, 10.0, is_reused=False)
        exchange.response.replica_id = 'r1'
        self.checks.record_response(exchange, 10.0)

    def test_request_sent_long_after_a_leaving_answer(self) -> None:
        self.pass_on_leaving()
        self.send('later', 12.5)
        self.arrive('later', 12.5, 'r1')
        self.assert_violations(1)

    def test_request_sent_within_the_bound_that_arrives_late(self) -> None:
        self.pass_on_leaving()
        self.send('later', 11.5)
        self.arrive('later', 12.5, 'r1')
        self.assert_violations(0)

    def test_request_to_the_next_process_at_the_address(self) -> None:
        self.pass_on_leaving()
        self.send('later', 12.5)
        self.arrive('later', 12.5, 'r1-2')
        self.assert_violations(0)

    def test_leaving_answer_that_was_not_passed_on(self) -> None:
        self.checks.record_leaving_answer('first', 'r1')
        self.send('later', 12.5)
        self.arrive('later', 12.5, 'r1')
        self.assert_violations(0)
