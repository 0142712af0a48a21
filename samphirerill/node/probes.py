"""Ask endpoints whether they are there and how busy they are."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.backends.engine import emit_load_report
from samphirerill.core.events import ProbeAnswered
from samphirerill.core.model import ENGINE
from samphirerill.node.loop_lag import lag_aware_timeout_at

if TYPE_CHECKING:
    from samphirerill.core.commands import ProbeEndpoint
    from samphirerill.core.state import EndpointState
    from samphirerill.node.node import Node

PROBE_TIMEOUT_S = 0.4
POLLS_PER_S = 8.0
FRESH_FOR_S = 1.0
_IDLE_S = 0.25
_MAX_ANSWER = 65_536


async def probe_endpoint(command: ProbeEndpoint, node: Node) -> None:
    """Tell the core whether an endpoint answers a new connection."""
    has_ended = False
    try:
        await _fetch_in_time(command.address, '/health', None)
    except ConnectionRefusedError:
        has_ended = True
        is_alive = False
    except (OSError, EOFError, TimeoutError, ValueError):
        is_alive = False
    else:
        is_alive = True
    node.apply(ProbeAnswered(command.endpoint, is_alive, has_ended))


async def poll_loads(node: Node) -> None:
    """Keep load reports fresh at a fixed number of polls a second.

    The cost stays the same however many endpoints there are; with more of
    them each is asked less often. Reports that come with answers count, so
    the endpoints in use are known best.
    """
    while True:
        found = _pick_stalest(node)
        if found is None:
            await asyncio.sleep(_IDLE_S)
            continue
        found.reported_at = node.loop.time()
        work = _poll_one(found.endpoint.name, found.endpoint.address, node)
        node.start_task(work, 'load poll')
        await asyncio.sleep(1 / POLLS_PER_S)


async def fetch(
    address: str, target: str, body: bytes | None = None
) -> bytes | None:
    """Return the body of a small answer, or nothing if none came.

    With a `body` it is posted; without one the target is read.
    """
    try:
        return await _fetch_in_time(address, target, body)
    except (OSError, EOFError, TimeoutError, ValueError):
        return None


def build_fetch(target: str, address: str, body: bytes | None = None) -> bytes:
    """Return the request of a probe, poll or order."""
    method, length = 'GET', ''
    if body is not None:
        method, length = 'POST', f'Content-Length: {len(body)}\r\n'
    head = (
        f'{method} {target} HTTP/1.1\r\nHost: {address}\r\n{length}'
        'Connection: close\r\n\r\n'
    )
    return head.encode() + (body or b'')


async def _poll_one(name: str, address: str, node: Node) -> None:
    seen = node.router.state.prefixes.last_seen(name)
    body = await fetch(address, f'/load?cache_after={seen}')
    if body is None:
        node.apply(ProbeAnswered(name, alive=False))
    else:
        emit_load_report(name, body, node)


def _pick_stalest(node: Node) -> EndpointState | None:
    before = node.loop.time() - FRESH_FOR_S
    stale = [
        found
        for replicas in node.router.state.by_model.values()
        for found in replicas
        if found.endpoint.kind == ENGINE and found.reported_at < before
    ]
    return min(stale, key=lambda item: item.reported_at, default=None)


async def _fetch_in_time(
    address: str, target: str, body: bytes | None
) -> bytes:
    deadline = asyncio.get_running_loop().time() + PROBE_TIMEOUT_S
    async with lag_aware_timeout_at(deadline):
        return await _fetch(address, target, body)


async def _fetch(address: str, target: str, body: bytes | None) -> bytes:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(build_fetch(target, address, body))
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        return await reader.readexactly(_find_length(head))
    finally:
        writer.close()


def _find_length(head: bytes) -> int:
    for line in head.split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name.lower() == b'content-length':
            length = int(text)
            if length <= _MAX_ANSWER:
                return length
    raise ValueError('got no usable length')
