"""End-to-end tests of endpoint, node and store failures."""

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
    CallError,
    ClientResponse,
    call_json,
    request_completion,
    send_request,
)
from samphirerill.testing.cluster import (
    NodeProcess,
    build_listen_settings,
    wait_for,
)
from samphirerill.testing.layout import (
    FIRST_ACCOUNT_KEY,
    OPERATOR_KEY,
    SECOND_ACCOUNT_KEY,
)
from samphirerill.tests.support import ClusterCase


class _CompletionThread(threading.Thread):
    """Requests a completion in a thread of its own."""

    def __init__(self, address: str, prompt: str, tokens: int) -> None:
        super().__init__()
        self.response = ClientResponse()
        self._request = (address, FIRST_ACCOUNT_KEY, 'plans', prompt, tokens)

    def run(self) -> None:
        """Send the request and keep the response."""
        self.response = request_completion(*self._request)


class TestFrozenEngine(ClusterCase):
    """An endpoint that stops responding is detected and replaced."""

    def test_first_stage_freezes(self) -> None:
        """A stream continues when its first stage freezes.

        Guards against detecting failures only by closed connections: the
        connections of a frozen engine stay open.
        """
        client = _CompletionThread(self.callers, 'silent', 80)
        client.start()
        busy = self._wait_for_busy_engines('stage0')
        for name in busy:
            address = self.cluster.addresses['engines'][name]
            self.cluster.control(address, frozen=True)
        client.join()
        self.assert_complete(client.response.texts, 'silent', 80)
        state = self.cluster.nodes[0].read_state()
        self.assertGreaterEqual(state['core']['counters']['attempts.silent'], 1)
        for name in busy:
            health = state['core']['endpoints'][name]['health']
            self.assertEqual(health, 'suspect')

    def _wait_for_busy_engines(self, start: str) -> list[str]:
        found: list[str] = []

        def find_busy() -> bool:
            endpoints = self.cluster.nodes[0].read_state()['core']['endpoints']
            found[:] = [
                name
                for name, spec in endpoints.items()
                if spec['in_flight'] and name.startswith(start)
            ]
            return bool(found)

        wait_for(find_busy, 'a stage with a request in flight')
        return found


class TestNonIdempotentRequests(ClusterCase):
    """Non-idempotent requests are executed at most once."""

    nodes = 2

    def test_interrupted_response_may_have_run(self) -> None:
        """A request whose response breaks off is reported as may-have-run.

        Guards against treating an interrupted response as a request that was
        not executed, which would be repeated or reported as not run.
        """
        self._set_fault('cut')
        response = self._send_notice('cut-1')
        self.assertEqual(response.outcome, 'may-have-run')
        self.assertEqual(response.status, 502)
        retry = self._send_notice('cut-1', node=1)
        self.assertEqual(retry.outcome, 'may-have-run')
        self._set_fault('')
        self.assertEqual(self._send_notice('cut-1').outcome, 'may-have-run')
        self.assertEqual(self._count_runs(), [1])

    def test_retry_through_another_node_gets_first_response(self) -> None:
        """The stored response is returned without a second execution."""
        before = len(self._count_runs())
        first = self._send_notice('twice')
        wait_for(
            lambda: self._send_notice('twice', node=1).status == 200,
            'the stored response through the other node',
        )
        retry = self._send_notice('twice', node=1)
        self.assertEqual(retry.body, first.body)
        self.assertEqual(len(self._count_runs()), before + 1)

    def test_key_reused_for_another_body(self) -> None:
        """A key with a different body is refused without execution."""
        self._send_notice('reused')
        response = self._send_notice('reused', body=b'{"other": 1}')
        self.assert_refused(response, 422, 'key-reused')

    def test_store_outage_refuses_only_keyed_requests(self) -> None:
        """A store outage refuses requests with a key; others are served."""
        store = self.cluster.addresses['kv']
        self.cluster.control(store, down=True)
        self.addCleanup(self.cluster.control, store, down=False)
        response = self._send_notice('outage')
        self.assert_refused(response, 503, 'claim-unavailable')
        self.assertIn('retry-after', response.headers)
        completion = request_completion(
            self.callers, FIRST_ACCOUNT_KEY, 'plans', 'outage', 4
        )
        self.assert_complete(completion.texts, 'outage', 4)
        with self.assertRaises(CallError) as caught:
            self.cluster.submit([])
        self.assertEqual(
            caught.exception.document['title'], 'store unavailable'
        )

    def _send_notice(
        self, key: str, node: int = 0, body: bytes = b'{"notice": 1}'
    ) -> ClientResponse:
        return send_request(
            self.cluster.nodes[node].callers,
            '/svc/notices/pickup',
            SECOND_ACCOUNT_KEY,
            body,
            headers={'Idempotency-Key': key},
        )

    def _set_fault(self, fault: str) -> None:
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, fault=fault)

    def _count_runs(self) -> list[int]:
        desk = self.cluster.addresses['services']['desk']
        return list(self.cluster.read_stats(desk).values())


class TestClientDisconnects(ClusterCase):
    """Requests of disconnected clients are cancelled at the engine."""

    def test_cancellation_reaches_the_engine(self) -> None:
        """The engine's slot is freed when a client disconnects.

        Guards against closing only the connection to the client, while the
        engine continues to generate.
        """
        host, _, port = self.callers.rpartition(':')
        body = '{"model":"plans","prompt":"x","max_tokens":500,"stream":true}'
        request = (
            'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            f'Authorization: Bearer {FIRST_ACCOUNT_KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n{body}'
        )
        with socket.create_connection((host, int(port)), timeout=5) as sock:
            sock.sendall(request.encode())
            self.assertTrue(sock.recv(100))
        wait_for(self._is_cancelled, 'an engine to report the cancellation')
        state = self.cluster.nodes[0].read_state()
        self.assertEqual(state['core']['attempts'], 0)

    def _is_cancelled(self) -> bool:
        return any(
            self.cluster.read_stats(address).get('cancelled')
            for address in self.cluster.addresses['engines'].values()
        )


class TestKilledNode(ClusterCase):
    """Killing a node affects only the requests in flight on it."""

    nodes = 2

    def test_keyed_request_of_killed_node_is_not_repeated(self) -> None:
        """A retry through another node is refused as may-have-run.

        Guards against keeping the fact that a request was sent only in the
        memory of a node: after the node is killed, a retry would execute the
        request a second time.
        """
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, delay_s=1.5)
        killed_node = self.cluster.nodes[0]
        client = threading.Thread(
            target=send_request,
            args=(
                killed_node.callers,
                '/svc/notices/x',
                SECOND_ACCOUNT_KEY,
                b'{}',
            ),
            kwargs={'headers': {'Idempotency-Key': 'doomed'}},
        )
        client.start()
        wait_for(
            lambda: self.cluster.read_stats(desk),
            'the service to execute the request',
        )
        killed_node.stop(signal.SIGKILL)
        client.join()
        self.cluster.control(desk, delay_s=0)
        other = self.cluster.nodes[1].callers
        retry = send_request(
            other,
            '/svc/notices/x',
            SECOND_ACCOUNT_KEY,
            b'{}',
            headers={'Idempotency-Key': 'doomed'},
        )
        self.assertEqual(retry.status, 409)
        self.assertEqual(retry.outcome, 'may-have-run')
        self.assertEqual(list(self.cluster.read_stats(desk).values()), [1])
        completion = request_completion(
            other, FIRST_ACCOUNT_KEY, 'plans', 'after', 4
        )
        self.assert_complete(completion.texts, 'after', 4)


class TestMisattributedTokens(ClusterCase):
    """Tokens of one response never appear in another."""

    def test_foreign_and_repeated_tokens_are_dropped(self) -> None:
        """Tokens with a wrong attempt id, or sent twice, are dropped."""
        engines = self.cluster.addresses['engines']
        self.cluster.control(engines['stage0-0'], crossed=True)
        self.cluster.control(engines['stage0-1'], repeat=True)
        for number in range(4):
            prompt = f'crossed {number}'
            response = request_completion(
                self.callers, FIRST_ACCOUNT_KEY, 'plans', prompt, 10
            )
            self.assert_complete(response.texts, prompt, 10)


class TestLeavingEndpoint(ClusterCase):
    """A leaving endpoint gets no new requests and finishes running ones."""

    nodes = 2

    def test_leaving_endpoint_gets_no_new_requests(self) -> None:
        """All nodes read from the VM list that an endpoint is leaving."""
        engines = self.cluster.addresses['engines']
        client = _CompletionThread(self.callers, 'stays', 60)
        client.start()
        time.sleep(0.3)
        vms = self.cluster.addresses['vm_list']
        self.cluster.control(vms, **{'stage0-0': 'leaving'})
        wait_for(
            self._is_leaving_on_all_nodes,
            'both nodes to see the endpoint as leaving',
        )
        before = self._count_sequences(engines['stage0-0'])
        for node in self.cluster.nodes:
            response = request_completion(
                node.callers, FIRST_ACCOUNT_KEY, 'plans', 'new', 3
            )
            self.assertEqual(response.outcome, 'answered')
        self.assertEqual(self._count_sequences(engines['stage0-0']), before)
        client.join()
        self.assert_complete(client.response.texts, 'stays', 60)

    def _is_leaving_on_all_nodes(self) -> bool:
        return all(
            node.read_state()['core']['endpoints']['stage0-0']['health']
            == 'leaving'
            for node in self.cluster.nodes
        )

    def _count_sequences(self, address: str) -> int:
        return int(self.cluster.read_stats(address).get('sequences', 0))


class TestShutdown(ClusterCase):
    """Graceful and forced shutdown of a node."""

    nodes = 2

    def test_running_requests_finish_before_exit(self) -> None:
        """SIGTERM fails the health check; running requests finish."""
        node = self.cluster.nodes[1]
        client = _CompletionThread(node.callers, 'last', 60)
        client.start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        wait_for(
            lambda: (
                send_request(
                    node.callers, '/health', '', b'', method='GET'
                ).status
                == 503
            ),
            'a failing health check',
        )
        client.join()
        self.assert_complete(client.response.texts, 'last', 60)
        self.assertEqual(client.response.outcome, 'answered')
        self.assertEqual(node.process.wait(10), 0)

    def test_second_signal_exits_and_reports_cut_requests(self) -> None:
        """A second SIGTERM cuts requests; exit code and log report it."""
        node = self.cluster.add_node()
        self.cluster.wait_node_ready(node)
        client = _CompletionThread(node.callers, 'cut', 200)
        client.start()
        time.sleep(0.3)
        node.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        node.process.send_signal(signal.SIGTERM)
        self.assertEqual(node.process.wait(10), 3)
        client.join()
        self.assertTrue(client.response.is_interrupted)
        self.assertIn('"cut": 1', node.log_path.read_text(encoding='utf-8'))
        self.cluster.nodes.remove(node)


class TestStartup(ClusterCase):
    """Startup with the store down or a port in use."""

    def test_node_starting_in_outage_loads_from_peer(self) -> None:
        """A node that starts without the store loads a peer's configuration."""
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
        response = request_completion(
            node.callers, FIRST_ACCOUNT_KEY, 'plans', 'seed', 3
        )
        self.assert_complete(response.texts, 'seed', 3)

    def test_unreachable_store_refuses_requests(self) -> None:
        """Without a configuration all requests are refused as not run."""
        with TemporaryDirectory() as folder:
            node = NodeProcess(_build_settings_without_store(0), Path(folder))
            self.addCleanup(node.stop)
            node.wait_listening()
            response = request_completion(
                node.callers, FIRST_ACCOUNT_KEY, 'plans', 'x', 2
            )
            self.assert_refused(response, 503, 'no-configuration')
            self.assertIn('retry-after', response.headers)
            self.assertEqual(node.stop(), 0)

    def test_port_in_use_is_reported(self) -> None:
        """The error message contains the port and the remedy."""
        with TemporaryDirectory() as folder, socket.socket() as taken:
            taken.bind(('127.0.0.1', 0))
            taken.listen()
            port = int(taken.getsockname()[1])
            node = NodeProcess(
                _build_settings_without_store(port), Path(folder)
            )
            self.assertEqual(node.process.wait(20), 1)
            log = node.log_path.read_text(encoding='utf-8')
        self.assertIn(f'127.0.0.1:{port}, expected a free port', log)


def _build_settings_without_store(callers: int) -> dict[str, Any]:
    """Return the settings of a node whose store is unreachable."""
    settings = build_listen_settings('alone')
    settings['callers']['port'] = callers
    settings['store'] = {'addresses': ['127.0.0.1:1']}
    return settings


class TestConfigurationVersion(ClusterCase):
    """The operator API reports each node's configuration version."""

    nodes = 3

    def test_every_node_reports_its_version(self) -> None:
        """After a patch all nodes report the new version."""
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
