"""Check whether broken paths to endpoints work again, and report them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from samphirerill.node.logs import get_logger
from samphirerill.relay.connection import serialize_request
from samphirerill.relay.errors import ConnectError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.tunnels import TunnelPeers, TunnelServer

_LOG = get_logger('paths')
# Bounds the connects of a whole data centre to endpoints that are back.
_INTERVAL_S = 0.5
_CHECKS_PER_ROUND = 3
_MAX_CONTROLS = 3


class PathChecks:
    """Checks the paths of one node.

    Parameters
    ----------
    state : EdgeState
        The endpoints, and the paths to them.
    relays : TunnelPeers
        The nodes that relay connections of this one.
    tunnels : TunnelServer
        Connections that this node relays.
    """

    __slots__ = ('_lost', '_relays', '_state', '_tunnels')

    def __init__(
        self, state: EdgeState, relays: TunnelPeers, tunnels: TunnelServer
    ) -> None:
        self._state = state
        self._relays = relays
        self._tunnels = tunnels
        # Replicas that are reached through other nodes.
        self._lost: set[str] = set()
        probe = serialize_request(
            b'GET', state.adapter.report_path, [(b'host', b'probe')], b''
        )
        state.pool.dialer.bind(relays)
        state.pool.dialer.verifier.bind(self.list_controls, probe)
        state.pool.dialer.paths.add_listener(self._retry_lost)

    async def run(self) -> None:
        """Check some broken paths periodically until cancelled."""
        dialer = self._state.pool.dialer
        while True:
            await asyncio.sleep(_INTERVAL_S)
            dialer.paths.keep_only(self._list_addresses())
            self._lost = self._find_lost()
            if dialer.paths.is_isolated:
                await self._check_any()
            lost = dialer.paths.list_lost()
            checked = self._sample(lost, _CHECKS_PER_ROUND)
            await asyncio.gather(*map(dialer.verifier.is_reached, checked))

    def list_controls(self, address: str) -> Iterable[str]:
        """Return random endpoints other than the given one."""
        others = [known for known in self._list_addresses() if known != address]
        return self._sample(others, _MAX_CONTROLS)

    def count_relayed(self) -> int:
        """Return how many connections this node relays for others."""
        return self._tunnels.count_open()

    def describe(self) -> dict[str, Any]:
        """Return the broken paths and the relayed connections."""
        paths = self._state.pool.dialer.paths
        return {
            'partitioned': paths.is_partitioned,
            'isolated': paths.is_isolated,
            'lost': paths.list_lost(),
            'relayed_by': self._relays.list_relays(),
            'relayed_here': self._tunnels.count_open(),
        }

    def _retry_lost(self) -> None:
        """Use replicas at once that failed only for want of a path."""
        lost = self._find_lost()
        for replica_id in lost - self._lost:
            self._state.view.replicas[replica_id].forget_refusals()
        if lost - self._lost:
            self._state.notify_listeners()
        self._lost = lost

    def _find_lost(self) -> set[str]:
        paths = self._state.pool.dialer.paths
        return {
            replica_id
            for replica_id, found in self._state.view.replicas.items()
            if paths.needs_tunnel(found.replica.address)
        }

    async def _check_any(self) -> None:
        """Look for an endpoint that this node or another one reaches."""
        dialer = self._state.pool.dialer
        checked = self._sample(self._list_addresses(), _CHECKS_PER_ROUND)
        await asyncio.gather(*map(dialer.verifier.is_reached, checked))
        if not checked or not dialer.paths.is_isolated:
            return
        try:
            conn = await dialer.connect_through_peer(checked[0])
        except ConnectError as exc:
            _LOG.info('no node reaches an endpoint', extra={'reason': str(exc)})
        else:
            conn.close()

    def _list_addresses(self) -> list[str]:
        return [
            found.replica.address
            for found in self._state.view.replicas.values()
        ]

    def _sample(self, addresses: list[str], count: int) -> list[str]:
        return self._state.random.sample(addresses, min(count, len(addresses)))
