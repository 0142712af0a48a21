"""A request that crashes replicas is quarantined by all nodes.

Guards against evidence that is lost with each attempt, as the same request may
return under another id and at another node.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest.mock import patch

from msgspec import json

from samphirerill.backends.framing import Framing
from samphirerill.quarantine import digest_request
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.pool import call_once
from samphirerill.tests.crashing_engines import (
    EVENTS,
    OTHER_KEY,
    POISON,
    CrashingEnginesCase,
    build_headers,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.relay.connection import ResponseHead
    from samphirerill.relay.process import EdgeProcess

_OK = 200
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_ARRIVALS = 14
_ARRIVAL_INTERVAL_S = 0.25
# Time after the third crash in which all nodes learn of the request.
_PROPAGATION_S = 1.0
# Further sends that are accepted after that time.
_MAX_LATE_SENDS = 3
# Generous for slow test machines.
_IMMEDIATE_S = 0.5
_MIN_RETRY_AFTER_S = 100.0
_SETTLING_S = 0.3
_QUEUED_S = 60.0


class RepeatedPoisonCase(CrashingEnginesCase):
    """The same path, client account and body arrive repeatedly."""

    rounds = -1

    async def send_repeatedly(
        self, nodes: Sequence[EdgeProcess], count: int = _ARRIVALS
    ) -> None:
        """Send the request to nodes in turn."""
        sends = []
        self.rounds += 1
        for number in range(count):
            node = nodes[number % len(nodes)]
            name = f'{self.rounds}-{number}'
            sends.append(asyncio.create_task(self.send_poison(node, name)))
            await asyncio.sleep(_ARRIVAL_INTERVAL_S)
        await asyncio.gather(*sends)

    async def quarantine_request(self) -> None:
        """Send the request until it is quarantined."""
        await self.send_repeatedly(self.nodes, 4)
        await asyncio.sleep(_SETTLING_S)

    def assert_few_crashes(self) -> None:
        """Assert that few sends followed the third crash."""
        self.assertGreaterEqual(len(self.crash_times), 3)
        self.assertLessEqual(
            self.count_late_sends(_PROPAGATION_S), _MAX_LATE_SENDS
        )


class TestPoisonStream(RepeatedPoisonCase):
    """A stream that crashes engines with its second event."""

    async def test_one_node(self) -> None:
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()

    async def test_two_nodes_in_turn(self) -> None:
        await self.add_node()
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()

    async def test_a_node_that_starts_after_the_third_crash(self) -> None:
        await self.send_repeatedly(self.nodes, 4)
        node = await self.add_node()
        await asyncio.sleep(_PROPAGATION_S)
        await self.send_repeatedly([node])
        self.assert_few_crashes()

    async def test_a_node_that_was_restarted(self) -> None:
        await self.add_node()
        await self.send_repeatedly(self.nodes, 4)
        await self.harness.stop_node(self.nodes[0])
        node = await self.add_node()
        await asyncio.sleep(_PROPAGATION_S)
        await self.send_repeatedly([node])
        self.assert_few_crashes()

    async def test_a_fleet_that_was_restarted(self) -> None:
        """Holds survive a restart of all nodes at once."""
        await self.add_node()
        await self.send_repeatedly(self.nodes, 4)
        await asyncio.sleep(_PROPAGATION_S)
        for node in self.nodes:
            await self.harness.stop_node(node)
        crashed = len(self.crash_times)
        started = [await self.add_node(), await self.add_node()]
        await asyncio.sleep(_SETTLING_S)
        await self.send_repeatedly(started, 6)
        self.assertEqual(len(self.crash_times), crashed)
        self.assert_few_crashes()

    async def test_without_the_store(self) -> None:
        await self.add_node()
        self.harness.store.is_unavailable = True
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()

    async def test_other_streams_complete(self) -> None:
        """Other streams survive the three or four crashes."""
        await self.add_node()
        poison_task = asyncio.create_task(self.send_repeatedly(self.nodes))
        streams = []
        for number in range(30):
            node = self.nodes[number % 2]
            body = b'ordinary %d' % number
            stream = self.ask(node, f'o{number}', body)
            streams.append(asyncio.create_task(stream))
            await asyncio.sleep(0.1)
        for status, body in await asyncio.gather(*streams):
            self.assertEqual((status, body.count(b'id:')), (_OK, EVENTS))
        await poison_task
        self.assert_few_crashes()


class TestUnframedPoisonStream(RepeatedPoisonCase):
    """Engines whose streams end with their connection, inside an event."""

    async def start_engine(self) -> None:
        """Start an engine that sends neither a length nor chunks."""
        await super().start_engine()
        newest = f'engine-{len(self.harness.replicas) - 1}'
        self.harness.replicas[newest].delivery.framing = Framing.CONNECTION

    async def test_two_nodes_in_turn(self) -> None:
        """Guards against crashes that count as completed streams."""
        await self.add_node()
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()


class TestResponses(RepeatedPoisonCase):
    """Responses to clients and operators."""

    async def test_held_request_is_rejected_at_once_with_retry_after(
        self,
    ) -> None:
        await self.quarantine_request()
        began_at = self.loop.time()
        head = await self.fetch_head()
        self.assertLess(self.loop.time() - began_at, _IMMEDIATE_S)
        self.assertEqual(head.status, _UNAVAILABLE)
        self.assert_long_retry_after(head)

    async def test_an_executed_request_is_not_reported_as_not_run(self) -> None:
        await self.quarantine_request()
        executed = self.list_executed()
        self.assertTrue(executed)
        statuses = {self.poison_statuses[name] for name in executed}
        self.assertNotIn(_UNAVAILABLE, statuses)

    async def test_the_same_body_of_another_account_is_accepted(
        self,
    ) -> None:
        """No client account can get requests of another rejected."""
        await self.quarantine_request()
        for engine in self.harness.replicas.values():
            engine.crash_after_events = EVENTS + 1  # type: ignore[attr-defined]
        status, _ = await self.ask(self.nodes[0], 'v1', POISON, OTHER_KEY)
        self.assertEqual(status, _OK)

    async def test_a_queued_request_is_rejected(self) -> None:
        """Guard against checking requests only when an engine has room."""
        other = await self.add_node()
        poison_task = asyncio.create_task(self.send_repeatedly([other], 3))
        while not self.crash_times:
            await asyncio.sleep(0.01)
        state = self.nodes[0].state
        state.add_listener(self.occupy_engines)
        self.occupy_engines()
        # The request must still be queued when the third engine crashes.
        with patch(
            'samphirerill.relay.stream_limits._MAX_ADMISSION_WAIT_S', _QUEUED_S
        ):
            head = await self.fetch_head()
        self.assertEqual(head.status, _UNAVAILABLE)
        self.assert_long_retry_after(head)
        await poison_task

    def occupy_engines(self) -> None:
        """Leave no room on any engine for the first node."""
        view = self.nodes[0].state.view
        for found in view.replicas.values():
            found.backoff_until = self.loop.time() + 60

    async def test_operators_see_the_holds(self) -> None:
        await self.quarantine_request()
        host = self.nodes[0].state.settings.host
        port = self.nodes[0].get_metrics_port()
        until = self.loop.time() + 2
        status, text = await call_once(
            f'{host}:{port}', b'GET', b'/state', b'', until
        )
        self.assertEqual(status, _OK)
        held = json.decode(text)['quarantine'][0]
        self.assertGreater(held['left_ms'], 1000 * _MIN_RETRY_AFTER_S)
        self.assertGreaterEqual(len(held['deaths']), 3)
        self.assertEqual(held['first_request'], '0-0')
        self.assertNotIn(POISON, text)

    def assert_long_retry_after(self, head: ResponseHead) -> None:
        """Assert that the client may retry only after the hold."""
        retry_s = float(head.get(b'retry-after') or b'0')
        self.assertGreater(retry_s, _MIN_RETRY_AFTER_S)

    async def fetch_head(self) -> ResponseHead:
        """Send the request once more; return the response head."""
        conn: HttpConnection = await self.harness.connect(self.nodes[0])
        try:
            conn.send(
                serialize_request(
                    b'POST', self.target, build_headers('h1'), POISON
                )
            )
            head = await conn.read(self.loop.time() + 10)
        finally:
            conn.close()
        assert not isinstance(head, bytes)
        return head  # type: ignore[return-value]


class TestPoisonPlainRequest(RepeatedPoisonCase):
    """Requests that must not be retried: each crashes one endpoint."""

    target = b'/pickup/x'
    service = 'desk'
    kind = ''
    layers = None

    async def test_three_nodes_in_turn(self) -> None:
        """No node gets the request twice in three arrivals."""
        for _ in range(2):
            await self.add_node()
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()
        executed = self.list_executed()
        for name, status in self.poison_statuses.items():
            expected = _BAD_GATEWAY if name in executed else _UNAVAILABLE
            self.assertEqual(status, expected, name)


class TestPoisonIdempotentRequest(TestPoisonPlainRequest):
    """Requests that may be retried: each crashes two endpoints."""

    def build_configuration(self) -> bytes:
        document = json.decode(super().build_configuration())
        document['routes'][1].update(kind='idempotent', maxAttempts=2)
        return json.encode(document)

    async def test_three_nodes_in_turn(self) -> None:
        for _ in range(2):
            await self.add_node()
        await self.send_repeatedly(self.nodes)
        self.assert_few_crashes()


class TestNoEvidence(RepeatedPoisonCase):
    """Failures that are no evidence against a request."""

    body = b'harmless'

    async def test_engines_that_break_off_responses(self) -> None:
        """Some engines break off responses, but their processes go on."""
        for engine in self.harness.replicas.values():
            engine.close_after_event = 3
        ask = self.ask(self.nodes[0], 'b1', self.body)
        waiting = asyncio.create_task(ask)
        await asyncio.sleep(_PROPAGATION_S)
        for restored in self.harness.replicas.values():
            restored.close_after_event = 0
        status, _ = await waiting
        self.assertEqual(status, _OK)
        self.assert_nothing_held()

    async def test_engines_that_shut_down(self) -> None:
        """The failure of requests on engines that shut down is expected."""
        streams = [
            asyncio.create_task(
                self.ask(self.nodes[0], f'l{number}', self.body)
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.1)
        view = self.nodes[0].state.view
        leaving = sorted(self.list_running())[:3]
        for name in leaving:
            await self.announce_leaving(name)
        while not all(map(view.is_leaving, leaving)):
            await asyncio.sleep(0.01)
        for name in leaving:
            self.crash_engine(name)
        await asyncio.gather(*streams)
        self.assert_nothing_held()

    async def test_an_unresponsive_engine(self) -> None:
        """Its machine or the network has failed."""
        ask = self.ask(self.nodes[0], 's1', self.body)
        waiting = asyncio.create_task(ask)
        await asyncio.sleep(0.1)
        for engine in self.harness.replicas.values():
            engine.responding.clear()
        await asyncio.sleep(_SETTLING_S)
        for resumed in self.harness.replicas.values():
            resumed.responding.set()
        await waiting
        self.assert_nothing_held()

    def assert_nothing_held(self) -> None:
        """Assert that there is no evidence against the request."""
        quarantine = self.nodes[0].state.quarantine
        identity = digest_request('suva', self.target, self.body)
        self.assertEqual(quarantine.count_crashes(identity), 0)
