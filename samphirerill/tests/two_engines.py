"""Test case: one node in front of two engines and a plain service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import read_response
from samphirerill.tests.platform_documents import API_KEY
from samphirerill.tests.test_edge import EdgeCase

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.connection import Headers

OK = 200
GAP_S = 0.02
EVENTS = 50
RESPONSE_TIMEOUT_S = 5.0
SETTLE_S = 0.1
AMPLE_RETRIES = 80
# From the announcement that a replica drops layers until its streams leave.
LEAVING_MS = 320
_NO_RESPONSE = 0
_POLL_S = 0.005


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(_POLL_S)


def build_headers(request_id: str) -> Headers:
    return [
        (b'host', b'bridal.example'),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', b'Bearer ' + API_KEY.encode()),
        (b'x-samphirerill-token-count', b'800,80'),
    ]


class TwoEnginesCase(EdgeCase):
    """Two engines that hold all layers and serve long streams."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.process = await self.harness.wait_until_ready()
        self.change_settings(retry_slack=AMPLE_RETRIES, leaving_ms=LEAVING_MS)
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].events = EVENTS
            self.harness.replicas[name].event_interval_s = GAP_S

    def change_settings(self, **changes: float) -> None:
        """Change settings of the node."""
        state = self.process.state
        state.apply_settings(replace(state.settings, **changes))

    async def configure(self, text: bytes) -> None:
        """Write a configuration and wait until it is in force."""
        await self.harness.store.put('op/config', text)
        version = json.decode(text)['version']
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            while self.process.state.version != version:
                await asyncio.sleep(_POLL_S)

    async def request(
        self, target: bytes, request_id: str = 'r1'
    ) -> tuple[int, bytes]:
        """Send a request; the status is 0 if no complete response comes."""
        return await self.request_with(target, build_headers(request_id))

    async def request_with(
        self, target: bytes, headers: Headers
    ) -> tuple[int, bytes]:
        """Send a request with the given headers."""
        conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
        try:
            await conn.open()
            conn.send(serialize_request(b'POST', target, headers, b''))
            deadline = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
            return await read_response(conn, deadline)
        except EndpointError as exc:
            return _NO_RESPONSE, str(exc).encode()
        finally:
            conn.close()

    def start_request(self, target: bytes) -> asyncio.Task[tuple[int, bytes]]:
        """Send a request in the background."""
        return asyncio.create_task(self.request(target))

    async def start_stream(
        self,
    ) -> tuple[asyncio.Task[tuple[int, bytes]], str, str]:
        """Send a stream; return its task, its engine and the other engine."""
        stream = self.start_request(b'/notes/x')
        await self.wait_until(self.list_used_engines)
        head = self.list_used_engines()[0]
        other = 'engine-2' if head == 'engine-1' else 'engine-1'
        await asyncio.sleep(SETTLE_S)
        return stream, head, other

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        await wait_until(condition)

    def mark_dead(self, name: str, for_s: float = 0.3) -> None:
        """Mark a replica as dead for a while, as after a silence report."""
        now = asyncio.get_running_loop().time()
        self.process.state.view.add_silence_report(name, now + for_s, now)
        self.process.state.notify_listeners()

    async def drop_layers(self, name: str) -> None:
        """Announce that an engine drops its last layers."""
        await self.announce(name, layers=(0, 40))

    def assert_complete(self, answer: tuple[int, bytes]) -> None:
        """Check that every event came once, in order."""
        status, body = answer
        self.assertEqual(status, OK, body)
        self.assertEqual(body, self.build_events(EVENTS))
