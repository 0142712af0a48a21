"""Health checks and load polls of endpoints."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.backends.endpoint_headers import emit_endpoint_events
from samphirerill.backends.engine_call import emit_load_report
from samphirerill.core.configuration import ENGINE
from samphirerill.core.events import ProbeFinished
from samphirerill.decoding.addresses import CONNECT_ERRORS
from samphirerill.node.endpoint_responses import read_response
from samphirerill.node.loop_lag import lag_aware_timeout_at

if TYPE_CHECKING:
    from samphirerill.core.commands import ProbeEndpoint
    from samphirerill.core.configuration import Endpoint
    from samphirerill.core.state import EndpointState
    from samphirerill.node.endpoint_responses import EndpointResponse
    from samphirerill.node.node import Node

PROBE_TIMEOUT_S = 0.4
LOAD_POLLS_PER_S = 8.0
LOAD_REPORT_TTL_S = 1.0
_IDLE_INTERVAL_S = 0.25
_FETCH_ERRORS = (*CONNECT_ERRORS, EOFError)


async def probe_endpoint(command: ProbeEndpoint, node: Node) -> None:
    """Check an endpoint over a new connection and report to the core."""
    is_refused = False
    try:
        answer = await _fetch_with_timeout(command.address, '/health', None)
    except ConnectionRefusedError:
        is_refused = True
        is_alive = False
    except _FETCH_ERRORS:
        is_alive = False
    else:
        is_alive = True
        _emit_headers(command.endpoint, command.address, answer, node)
    node.apply(ProbeFinished(command.endpoint, is_alive, is_refused))


async def poll_loads(node: Node) -> None:
    """Poll the load of engines at a fixed total rate, stalest report first.

    The cost does not depend on the number of engines; with more of them each
    is polled less often. Engines also report their load with responses, so
    engines in use rarely need a poll.
    """
    while True:
        endpoint_state = _find_stalest(node)
        if endpoint_state is None:
            await asyncio.sleep(_IDLE_INTERVAL_S)
            continue
        endpoint_state.reported_at = node.loop.time()
        coroutine = _poll_load(endpoint_state.endpoint, node)
        node.start_task(coroutine, 'load poll')
        await asyncio.sleep(1 / LOAD_POLLS_PER_S)


async def try_fetch(
    address: str, target: str, body: bytes | None = None
) -> bytes | None:
    """Return the body of a response, or None if the request failed.

    Sends a POST request if there is a `body`, else a GET request.
    """
    answer = await _try_fetch_response(address, target, body)
    return None if answer is None else answer.body


async def try_fetch_from(
    name: str,
    address: str,
    target: str,
    node: Node,
    body: bytes | None = None,
) -> bytes | None:
    """Do the same, and pass on what the answer says of its endpoint."""
    answer = await _try_fetch_response(address, target, body)
    if answer is None:
        return None
    _emit_headers(name, address, answer, node)
    return answer.body


def build_fetch_request(
    target: str, address: str, body: bytes | None = None
) -> bytes:
    """Serialize the request of a health check, load poll or order."""
    method, length = 'GET', ''
    if body is not None:
        method, length = 'POST', f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + (body or b'')


async def _poll_load(endpoint: Endpoint, node: Node) -> None:
    name = endpoint.name
    last_event = node.router.state.prefixes.get_last_event(name)
    target = f'/load?cache_after={last_event}'
    body = await try_fetch_from(name, endpoint.address, target, node)
    if body is None:
        node.apply(ProbeFinished(name, alive=False))
    else:
        emit_load_report(name, body, node)


def _emit_headers(
    endpoint: str, address: str, answer: EndpointResponse, node: Node
) -> None:
    emit_endpoint_events(endpoint, address, answer.status, answer.headers, node)


def _find_stalest(node: Node) -> EndpointState | None:
    """Return the engine whose report is the oldest.

    Engines that want nothing, or leave, are skipped.
    """
    now = node.loop.time()
    stale_before = now - LOAD_REPORT_TTL_S
    back_offs = node.router.state.back_offs
    departures = node.router.state.departures
    stale_states = [
        endpoint_state
        for replicas in node.router.state.by_model.values()
        for endpoint_state in replicas
        if endpoint_state.endpoint.kind == ENGINE
        and endpoint_state.reported_at < stale_before
        and not departures.is_leaving(endpoint_state.endpoint.address)
        and not back_offs.get_until(endpoint_state.endpoint.address, now)
    ]
    return min(stale_states, key=lambda item: item.reported_at, default=None)


async def _try_fetch_response(
    address: str, target: str, body: bytes | None
) -> EndpointResponse | None:
    try:
        return await _fetch_with_timeout(address, target, body)
    except _FETCH_ERRORS:
        return None


async def _fetch_with_timeout(
    address: str, target: str, body: bytes | None
) -> EndpointResponse:
    deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
    async with lag_aware_timeout_at(deadline):
        return await _fetch(address, target, body)


async def _fetch(
    address: str, target: str, body: bytes | None
) -> EndpointResponse:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(build_fetch_request(target, address, body))
    try:
        return await read_response(reader)
    finally:
        writer.close()
