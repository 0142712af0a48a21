"""Relay connections of other nodes to endpoints that this node reaches."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import ConnectError, ConnectTimeoutError
from samphirerill.relay.tunnels.handshake import (
    TunnelRequest,
    TunnelStatus,
    decode_request,
    encode_response,
)
from samphirerill.relay.tunnels.tunnel import LOST_SILENCE_S, Tunnel

if TYPE_CHECKING:
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('tunnels')
# Each needs two descriptors and its share of the event loop.
_MAX_TUNNELS = 512
# Tunnels that are being opened; more would add to an overload of endpoints.
_MAX_OPENING = 32


class TunnelServer:
    """Opens tunnels for other nodes.

    Parameters
    ----------
    state : EdgeState
        The known endpoints, and whether this node reaches them.
    """

    __slots__ = ('_loop', '_state', '_tasks', '_tunnels')

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._tunnels: set[Tunnel] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        state.pool.dialer.paths.add_listener(self._check_lost)

    def count_open(self) -> int:
        """Return the number of open tunnels."""
        return len(self._tunnels)

    def count_in_use(self) -> int:
        """Return the number of tunnels with a response in progress."""
        return sum(tunnel.is_in_use() for tunnel in self._tunnels)

    def close_idle(self) -> None:
        """Close the tunnels without a response in progress."""
        for tunnel in tuple(self._tunnels):
            if not tunnel.is_in_use():
                tunnel.abort()

    def close(self) -> None:
        """Close all tunnels."""
        for task in tuple(self._tasks):
            task.cancel()
        for tunnel in tuple(self._tunnels):
            tunnel.abort()

    def accept(self, transport: asyncio.Transport, head: bytes) -> None:
        """Open a tunnel for a node that has asked for one."""
        task = self._loop.create_task(self._open(transport, head))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, transport: asyncio.Transport, head: bytes) -> None:
        req = decode_request(head)
        address = self._find_address(req)
        started_at = self._loop.time()
        tunnel = Tunnel(
            address,
            self._tunnels.discard,
            partial(self._state.pool.dialer.paths.note_success, address),
            sends_frames=req.reads_frames,
        )
        status = self._find_obstacle(address)
        if status is TunnelStatus.OPEN:
            status = await self._connect(tunnel, address)
        if status is not TunnelStatus.OPEN and not await self._can_judge(
            status, address, started_at
        ):
            status = TunnelStatus.PARTITIONED
        self._state.counters[f'tunnels.served.{status.value}'] += 1
        _LOG.info(
            'tunnel requested',
            extra={
                'peer': req.node,
                'endpoint': address,
                'status': status.value,
                'open': len(self._tunnels),
            },
        )
        transport.write(encode_response(status, sends_frames=req.reads_frames))
        if status is TunnelStatus.OPEN:
            self._join(tunnel, transport)
        else:
            transport.close()

    def _join(self, tunnel: Tunnel, transport: asyncio.Transport) -> None:
        """Forward between both ends from now on."""
        if transport.is_closing() or tunnel.endpoint.transport.is_closing():
            transport.abort()
            tunnel.abort()
            return
        self._tunnels.add(tunnel)
        transport.set_protocol(tunnel.node)
        tunnel.node.connection_made(transport)

    def _find_address(self, req: TunnelRequest) -> str:
        """Return where this node reaches the endpoint; empty if it is unknown.

        The address may have been given to another endpoint meanwhile.
        """
        view = self._state.view
        known = view.replicas.get(req.replica_id)
        if known is None and not req.replica_id:
            known = view.find_by_address(req.address)
        return '' if known is None else known.replica.address

    def _find_obstacle(self, address: str) -> TunnelStatus:
        """Return why no tunnel is opened; `OPEN` if there is no reason."""
        if not address:
            return TunnelStatus.UNKNOWN_ENDPOINT
        is_full = (
            len(self._tunnels) >= _MAX_TUNNELS
            or len(self._tasks) > _MAX_OPENING
        )
        paths = self._state.pool.dialer.paths
        if paths.is_partitioned or paths.reaches_none:
            return TunnelStatus.PARTITIONED
        if is_full or self._state.is_draining or paths.needs_tunnel(address):
            return TunnelStatus.DECLINED
        return TunnelStatus.OPEN

    async def _connect(self, tunnel: Tunnel, address: str) -> TunnelStatus:
        try:
            await self._state.pool.dialer.attach_directly(
                tunnel.endpoint, address
            )
        except ConnectTimeoutError:
            return TunnelStatus.TIMED_OUT
        except ConnectError:
            return TunnelStatus.REFUSED
        return TunnelStatus.OPEN

    def _check_lost(self) -> None:
        """Close silent tunnels to endpoints that are not reached any more."""
        paths = self._state.pool.dialer.paths
        lost = [
            tunnel
            for tunnel in self._tunnels
            if paths.needs_tunnel(tunnel.address)
        ]
        for tunnel in lost:
            if tunnel.is_silent():
                tunnel.abort()
        if lost:
            # Those that are not silent yet, and those that live on.
            self._loop.call_later(LOST_SILENCE_S, self._check_lost)

    async def _can_judge(
        self, status: TunnelStatus, address: str, since: float
    ) -> bool:
        """Return whether a failure is about the endpoint, not about this node.

        Nodes that are partitioned together would otherwise confirm to each
        other that endpoints have ended.
        """
        if status not in {TunnelStatus.REFUSED, TunnelStatus.TIMED_OUT}:
            return True
        verifier = self._state.pool.dialer.verifier
        return await verifier.reaches_another(address, since)
