"""Requests given up before another run or a refusal is secured."""

from __future__ import annotations

import asyncio
from unittest.mock import patch


from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.paths import count_token_capacity
from samphirerill.relay.connection import HttpConnection
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import OK, SETTLE_S, TwoEnginesCase

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_EVENT_STREAM = b'text/event-stream'
_PREFILL_S = 0.6
_SUSPICION_S = 0.3
_LONG_SUSPICION_S = 4.0
# More than new streams may use, and less than started ones may.
_MEMORY_USE = 0.95


class UnstartedStreamCase(TwoEnginesCase):
    """Streams whose first event has not come yet."""

    async def start_prefill(
        self,
    ) -> tuple[asyncio.Task[tuple[int, bytes]], str]:
        """Send a stream whose prefill takes a while; return its engine too."""
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].prefill_s = _PREFILL_S
        stream = self.start_request(b'/notes/x')
        await self.wait_until(self.list_used_engines)
        await asyncio.sleep(SETTLE_S)
        return stream, self.list_used_engines()[0]


class TestSuspectedHeads(UnstartedStreamCase):
    """The head replica works, though it is suspected."""

    async def test_run_goes_on_without_a_retry(self) -> None:
        """Guard against closing a run before a retry is reserved."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill()
        self.mark_dead(head, _SUSPICION_S)
        self.assert_complete(await stream)

    async def test_run_at_the_only_allowed_head_goes_on(self) -> None:
        """Guard against closing a run that no other replica may replace."""
        await self.configure(build_configuration(8, maxAttempts=1))
        stream, head = await self.start_prefill()
        self.mark_dead(head, _LONG_SUSPICION_S)
        self.assert_complete(await stream)


class TestUnreadHeads(UnstartedStreamCase):
    """The response head has arrived when its run is closed."""

    async def test_response_does_not_begin_after_its_run_was_closed(
        self,
    ) -> None:
        """Guard against a cut response where a refusal was possible."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill()
        address = self.harness.addresses[head]
        receive = HttpConnection.data_received

        def suspect_sender(conn: HttpConnection, data: bytes) -> None:
            receive(conn, data)
            if conn.address == address and _EVENT_STREAM in data:
                self.mark_dead(head, _SUSPICION_S)

        with patch.object(HttpConnection, 'data_received', suspect_sender):
            status, body = await stream
        self.assertIn(status, (OK, _BAD_GATEWAY, _UNAVAILABLE), body)


class TestReservedMemory(UnstartedStreamCase):
    """Memory that only started streams may use."""

    async def test_run_goes_on_if_no_path_would_be_granted(self) -> None:
        """Guard against closing a run for a path that it does not get."""
        stream, head = await self.start_prefill()
        other = 'engine-2' if head == 'engine-1' else 'engine-1'
        self.fill(other)
        await self.drop_layers(head)
        self.assert_complete(await stream)

    def fill(self, name: str) -> None:
        """Use the memory that streams without an event may use."""
        state = self.process.state
        cfg = state.cfg
        engine = None if cfg is None else cfg.services['llm'].engine
        if engine is None:
            self.fail('the service has no engine')
        tokens = count_token_capacity(
            engine, state.view.replicas[name], LayerRange(0, engine.layers)
        )
        state.load_tracker.add_request([name], tokens * _MEMORY_USE)
