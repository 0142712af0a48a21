"""A node between two engines and a plain service, for requests that must end well."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.connection import HttpConnection, build_call
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import read_answer
from samphirerill.tests.platform_documents import KEY
from samphirerill.tests.test_edge import EdgeCase

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.connection import Headers

OK = 200
GAP_S = 0.02
EVENTS = 50
PATIENCE_S = 5.0
SETTLE_S = 0.1
PLENTY = 80
# From a replica's word that it gives up layers until its streams leave.
LEAVING_MS = 320
_CUT = 0
_STEP_S = 0.005


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(_STEP_S)


def build_headers(request_id: str) -> Headers:
    return [
        (b'host', b'bridal.example'),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', b'Bearer ' + KEY.encode()),
        (b'x-samphirerill-token-count', b'800,80'),
    ]


class TwoEnginesCase(EdgeCase):
    """The world of two whole engines and a plain service, with long streams."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.process = await self.world.until_ready()
        self.change(retry_slack=PLENTY, leaving_ms=LEAVING_MS)
        for name in ('engine-1', 'engine-2'):
            self.world.replicas[name].events = EVENTS
            self.world.replicas[name].gap_s = GAP_S

    def change(self, **changes: float) -> None:
        """Put other settings in force."""
        state = self.process.state
        state.change_settings(replace(state.settings, **changes))

    async def configure(self, text: bytes) -> None:
        """Write a configuration and wait until it is in force."""
        await self.world.service.put('op/config', text)
        version = json.decode(text)['version']
        async with asyncio.timeout(PATIENCE_S):
            while self.process.state.version != version:
                await asyncio.sleep(_STEP_S)

    async def try_ask(
        self, target: bytes, request_id: str = 'r1'
    ) -> tuple[int, bytes]:
        """Ask, also a node that ends; the status is 0 if no answer comes."""
        return await self.try_call(target, build_headers(request_id))

    async def try_call(
        self, target: bytes, headers: Headers
    ) -> tuple[int, bytes]:
        """Ask with other headers."""
        conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
        try:
            await conn.open()
            conn.send(build_call(b'POST', target, headers, b''))
            until = asyncio.get_running_loop().time() + PATIENCE_S
            return await read_answer(conn, until)
        except EndpointError as exc:
            return _CUT, str(exc).encode()
        finally:
            conn.close()

    def start(self, target: bytes) -> asyncio.Task[tuple[int, bytes]]:
        """Send one request."""
        return asyncio.create_task(self.try_ask(target))

    async def start_stream(
        self,
    ) -> tuple[asyncio.Task[tuple[int, bytes]], str, str]:
        """Send a stream; return it, its head and the other engine."""
        waiting = self.start(b'/notes/x')
        await self.until(self.sent)
        head = self.sent()[0]
        other = 'engine-2' if head == 'engine-1' else 'engine-1'
        await asyncio.sleep(SETTLE_S)
        return waiting, head, other

    async def until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        await wait_until(condition)

    def suspect(self, name: str, for_s: float = 0.3) -> None:
        """Take a replica for dead for a moment, as a silence makes a node."""
        now = asyncio.get_running_loop().time()
        self.process.state.view.suspect(name, now + for_s, now)
        self.process.state.notify()

    async def give_up(self, name: str) -> None:
        """Let an engine say that it gives up its last layers."""
        await self.announce(name, layers=(0, 40))

    def assert_whole(self, answer: tuple[int, bytes]) -> None:
        """Every event came once, in order."""
        status, body = answer
        self.assertEqual(status, OK, body)
        self.assertEqual(body, self.expect(EVENTS))
