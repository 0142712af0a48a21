"""Faults of endpoints and of the platform, over real sockets and processes."""

from __future__ import annotations

import signal
import socket
import threading
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from samphirerill.testing.clients import (
    Answer,
    CallError,
    call_json,
    call_raw,
    complete,
)
from samphirerill.testing.cluster import (
    NodeProcess,
    build_listening,
    wait_for,
)
from samphirerill.testing.layout import (
    BRIDAL_KEY,
    COACH_KEY,
    OPERATOR_KEY,
)
from samphirerill.tests.support import ClusterCase


class _Asking(threading.Thread):
    """A caller in a thread of its own."""

    def __init__(self, address: str, prompt: str, tokens: int) -> None:
        super().__init__()
        self.answer = Answer()
        self._asked = (address, COACH_KEY, 'plans', prompt, tokens)

    def run(self) -> None:
        """Ask and keep the answer."""
        self.answer = complete(*self._asked)


class TestSilence(ClusterCase):
    """Connections that go silent for good are noticed and replaced."""

    def test_first_stage_that_goes_silent(self) -> None:
        """The stream carries on over another first stage.

        Symptom: an answer stops for ever, without an error.
        Sequence: the engine freezes; its connections stay open.
        Cause: only a closed connection was taken for a failure.
        """
        asking = _Asking(self.callers, 'silent', 80)
        asking.start()
        busy = self._wait_busy('stage0')
        for name in busy:
            address = self.cluster.addresses['engines'][name]
            self.cluster.control(address, frozen=True)
        asking.join()
        self.assert_whole(asking.answer.texts, 'silent', 80)
        state = self.cluster.nodes[0].read_state()
        self.assertGreaterEqual(state['core']['counters']['attempts.silent'], 1)
        for name in busy:
            health = state['core']['endpoints'][name]['health']
            self.assertEqual(health, 'suspect')

    def _wait_busy(self, start: str) -> list[str]:
        found: list[str] = []

        def look() -> bool:
            endpoints = self.cluster.nodes[0].read_state()['core']['endpoints']
            found[:] = [
                name
                for name, spec in endpoints.items()
                if spec['in_flight'] and name.startswith(start)
            ]
            return bool(found)

        wait_for(look, 'a busy stage')
        return found


class TestPlainServices(ClusterCase):
    """Calls that may not be repeated run at most once."""

    nodes = 2

    def test_answer_cut_halfway_may_have_run(self) -> None:
        """It ran, its answer is lost; it is neither repeated nor denied.

        Symptom: a bride gets two reminders, or none and 'not run'.
        Sequence: the service runs the call and dies during its answer.
        Cause: a broken answer was taken for a call that did not run.
        """
        self._set_fault('cut')
        answer = self._notify('cut-1')
        self.assertEqual(answer.outcome, 'may-have-run')
        self.assertEqual(answer.status, 502)
        again = self._notify('cut-1', node=1)
        self.assertEqual(again.outcome, 'may-have-run')
        self._set_fault('')
        self.assertEqual(self._notify('cut-1').outcome, 'may-have-run')
        self.assertEqual(self._count_runs(), [1])

    def test_retry_through_another_node_gets_the_first_answer(self) -> None:
        """The same bytes come back, and nothing runs again."""
        before = len(self._count_runs())
        first = self._notify('twice')
        wait_for(
            lambda: self._notify('twice', node=1).status == 200,
            'the first answer through the other node',
        )
        again = self._notify('twice', node=1)
        self.assertEqual(again.body, first.body)
        self.assertEqual(len(self._count_runs()), before + 1)

    def test_key_reused_for_another_body(self) -> None:
        """The second request is refused and did not run."""
        self._notify('reused')
        answer = self._notify('reused', body=b'{"other": 1}')
        self.assert_refused(answer, 422, 'key-reused')

    def test_outage_refuses_only_what_needs_agreement(self) -> None:
        """Keyed work is refused as not run; all else goes on."""
        store = self.cluster.addresses['kv']
        self.cluster.control(store, down=True)
        self.addCleanup(self.cluster.control, store, down=False)
        answer = self._notify('outage')
        self.assert_refused(answer, 503, 'claim-unavailable')
        self.assertIn('retry-after', answer.headers)
        plan = complete(self.callers, COACH_KEY, 'plans', 'outage', 4)
        self.assert_whole(plan.texts, 'outage', 4)
        with self.assertRaises(CallError) as caught:
            self.cluster.submit([])
        self.assertEqual(
            caught.exception.document['title'], 'store unavailable'
        )

    def _notify(
        self, key: str, node: int = 0, body: bytes = b'{"notice": 1}'
    ) -> Answer:
        return call_raw(
            self.cluster.nodes[node].callers,
            '/svc/notices/pickup',
            BRIDAL_KEY,
            body,
            headers={'Idempotency-Key': key},
        )

    def _set_fault(self, fault: str) -> None:
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, fault=fault)

    def _count_runs(self) -> list[int]:
        desk = self.cluster.addresses['services']['desk']
        return list(self.cluster.read_stats(desk).values())


class TestCallersThatLeave(ClusterCase):
    """Work that nobody waits for is stopped at the engine."""

    def test_cancellation_reaches_the_engine(self) -> None:
        """The engine's slot is free again at once.

        Symptom: engines are busy with answers that nobody reads.
        Sequence: a caller closes its connection in the middle of a stream.
        Cause: only the connection to the caller was dropped.
        """
        host, _, port = self.callers.rpartition(':')
        body = '{"model":"plans","prompt":"x","max_tokens":500,"stream":true}'
        request = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {COACH_KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(request.encode())
            self.assertTrue(sock.recv(100))
        wait_for(self._is_cancelled, 'the engine to stop')
        state = self.cluster.nodes[0].read_state()
        self.assertEqual(state['core']['attempts'], 0)

    def _is_cancelled(self) -> bool:
        return any(
            self.cluster.read_stats(address).get('cancelled')
            for address in self.cluster.addresses['engines'].values()
        )


class TestKilledNode(ClusterCase):
    """A killed node takes only what was in flight on it with it."""

    nodes = 2

    def test_keyed_work_on_a_killed_node_is_not_run_again(self) -> None:
        """The retry is told that it may have run, and nothing else suffers.

        Symptom: a retry after a node's death sends a second reminder.
        Sequence: a node has sent the call; it is killed; the caller retries
        through another node.
        Cause: the knowledge that it was sent died with the node.
        """
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, delay_s=1.5)
        doomed = self.cluster.nodes[0]
        calling = threading.Thread(
            target=call_raw,
            args=(doomed.callers, '/svc/notices/x', BRIDAL_KEY, b'{}'),
            kwargs={'headers': {'Idempotency-Key': 'doomed'}},
        )
        calling.start()
        wait_for(lambda: self.cluster.read_stats(desk), 'the call to run')
        doomed.stop(signal.SIGKILL)
        calling.join()
        self.cluster.control(desk, delay_s=0)
        other = self.cluster.nodes[1].callers
        again = call_raw(
            other,
            '/svc/notices/x',
            BRIDAL_KEY,
            b'{}',
            headers={'Idempotency-Key': 'doomed'},
        )
        self.assertEqual(again.status, 409)
        self.assertEqual(again.outcome, 'may-have-run')
        self.assertEqual(list(self.cluster.read_stats(desk).values()), [1])
        plan = complete(other, COACH_KEY, 'plans', 'after', 4)
        self.assert_whole(plan.texts, 'after', 4)


class TestCrossedAnswers(ClusterCase):
    """No token of one answer reaches another."""

    def test_crossed_and_repeated_tokens_are_dropped(self) -> None:
        """Engines that mix answers up cost time, not truth."""
        engines = self.cluster.addresses['engines']
        self.cluster.control(engines['stage0-0'], crossed=True)
        self.cluster.control(engines['stage0-1'], repeat=True)
        for number in range(4):
            prompt = f'crossed {number}'
            answer = complete(self.callers, COACH_KEY, 'plans', prompt, 10)
            self.assert_whole(answer.texts, prompt, 10)


class TestLeaving(ClusterCase):
    """A leaving endpoint gets no new work, and keeps what it has."""

    nodes = 2

    def test_no_new_work_after_a_moment(self) -> None:
        """All nodes learn of it, though only the list is told."""
        engines = self.cluster.addresses['engines']
        asking = _Asking(self.callers, 'stays', 60)
        asking.start()
        time.sleep(0.3)
        vms = self.cluster.addresses['vm_list']
        self.cluster.control(vms, **{'stage0-0': 'leaving'})
        wait_for(self._is_known_everywhere, 'leaving known to both nodes')
        before = self._count(engines['stage0-0'])
        for node in self.cluster.nodes:
            answer = complete(node.callers, COACH_KEY, 'plans', 'new', 3)
            self.assertEqual(answer.outcome, 'answered')
        self.assertEqual(self._count(engines['stage0-0']), before)
        asking.join()
        self.assert_whole(asking.answer.texts, 'stays', 60)

    def _is_known_everywhere(self) -> bool:
        return all(
            node.read_state()['core']['endpoints']['stage0-0']['health']
            == 'leaving'
            for node in self.cluster.nodes
        )

    def _count(self, address: str) -> int:
        return int(self.cluster.read_stats(address).get('sequences', 0))


class TestShutdown(ClusterCase):
    """A graceful shutdown cuts nothing."""

    nodes = 2

    def test_running_answers_end_and_the_exit_is_clean(self) -> None:
        """The health check fails first; what runs is finished."""
        node = self.cluster.nodes[1]
        asking = _Asking(node.callers, 'last', 60)
        asking.start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        wait_for(
            lambda: (
                call_raw(node.callers, '/health', '', b'', method='GET').status
                == 503
            ),
            'a failing health check',
        )
        asking.join()
        self.assert_whole(asking.answer.texts, 'last', 60)
        self.assertEqual(asking.answer.outcome, 'answered')
        self.assertEqual(node.process.wait(10), 0)

    def test_second_signal_ends_at_once_and_says_what_was_cut(self) -> None:
        """The exit code and the log tell."""
        node = self.cluster.add_node()
        self.cluster.wait_ready_of(node)
        asking = _Asking(node.callers, 'cut', 200)
        asking.start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        node.process.send_signal(signal.SIGTERM)
        self.assertEqual(node.process.wait(10), 3)
        asking.join()
        self.assertTrue(asking.answer.broken)
        self.assertIn('"cut": 1', node.log_path.read_text(encoding='utf-8'))
        self.cluster.nodes.remove(node)


class TestStart(ClusterCase):
    """Starting under bad circumstances is said, not guessed."""

    def test_node_that_starts_in_an_outage_learns_from_a_peer(self) -> None:
        """The peer's configuration is an accepted one."""
        store = self.cluster.addresses['kv']
        seed = self.cluster.nodes[0].read_state()['members']
        self.assertEqual(seed, {})
        self.cluster.control(store, down=True)
        self.addCleanup(self.cluster.control, store, down=False)
        node = self.cluster.add_node(seeds=[self.cluster.nodes[0].peers])
        wait_for(
            lambda: node.is_ready(self.cluster.version),
            'the configuration from a peer',
        )
        answer = complete(node.callers, COACH_KEY, 'plans', 'seed', 3)
        self.assert_whole(answer.texts, 'seed', 3)

    def test_service_that_is_not_there_is_waited_for(self) -> None:
        """Until a configuration is known, all is refused as not run."""
        with TemporaryDirectory() as folder:
            node = NodeProcess(_build_alone(0), Path(folder))
            self.addCleanup(node.stop)
            node.wait_listening()
            answer = complete(node.callers, COACH_KEY, 'plans', 'x', 2)
            self.assert_refused(answer, 503, 'no-configuration')
            self.assertIn('retry-after', answer.headers)
            self.assertEqual(node.stop(), 0)

    def test_port_in_use_is_named(self) -> None:
        """The message says which port and what to do."""
        with TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            port = int(taken.getsockname()[1])
            node = NodeProcess(_build_alone(port), Path(folder))
            self.assertEqual(node.process.wait(20), 1)
            log = node.log_path.read_text(encoding='utf-8')
        self.assertIn(f'127.0.0.1:{port}, expected a free port', log)


def _build_alone(callers: int) -> dict[str, Any]:
    """Return the settings of a node whose service is not there."""
    settings = build_listening('alone')
    settings['callers']['port'] = callers
    settings['store'] = {'addresses': ['127.0.0.1:1']}
    return settings


class TestProofOfForce(ClusterCase):
    """Operators can ask which node runs which version."""

    nodes = 3

    def test_every_node_names_its_version(self) -> None:
        """After a patch all have it within a moment."""
        patch = [
            {'op': 'add', 'path': '/accounts/viti/weight', 'value': 3},
        ]
        version = self.cluster.submit(patch)
        self.cluster.wait_ready(version)
        operators = self.cluster.nodes[0].operators
        found = call_json(operators, '/nodes', OPERATOR_KEY)
        self.assertEqual([item['version'] for item in found], [version] * 3)


if __name__ == '__main__':
    unittest.main()
