"""Nodes that share the limit of one replica, on a virtual clock."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

from samphirerill.relay.limits import PermitExchange
from samphirerill.relay.platform_adapter import NamedLimit, ResponseMetadata
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import DATA_CENTRES, Network, Node

OK = 200
SERVICE = 'llm'
REPLICA = replace(build_replica('one', 'a', 'large', (0, 80)), started_ms=5)
WINDOW_S = 4.0
_TRANSIT_S = 0.002
_RESPONSE_S = 0.02
_POLL_S = 0.01
_STATUS_INTERVAL_S = 0.5
_SEED = 43


class DelayedNetwork(Network):
    """Delivers datagrams after a delay; nodes in `cut` get and send none."""

    def __init__(self) -> None:
        super().__init__()
        self.cut: set[str] = set()

    def send(self, sender: str, data: bytes, host: str) -> None:
        """Deliver after the transit time."""
        if sender in self.cut or host in self.cut:
            return
        asyncio.get_running_loop().call_later(
            _TRANSIT_S, super().send, sender, data, host
        )


class LimitedNode(Node):
    """A node that sends requests to the replica if it may."""

    def __init__(self, network: Network, name: str, data_centre: str) -> None:
        super().__init__(network, name, data_centre)
        self.state.view.apply_announcement(REPLICA, 1)
        self.exchange = PermitExchange(self.state)
        self.exchange.bind(self.status_sender)
        self.receiver.add_handler(
            self.exchange.type_prefix, self.exchange.handle_datagram
        )

    def may_send(self) -> bool:
        """Return whether the replica has room for a request of this node."""
        now = asyncio.get_running_loop().time()
        return bool(self.state.view.list_usable(SERVICE, now))

    def note_live(self, names: set[str]) -> None:
        """Record that these nodes were heard now."""
        for name in names:
            peer = self.peers.get(name)
            if peer is not None:
                peer.last_seen_at = asyncio.get_running_loop().time()


class LimitedNodes:
    """Nodes with Poisson demand for one replica.

    Parameters
    ----------
    count : int
        Number of nodes, in up to three data centres.
    requests_per_s : float
        The demand at all of them together.

    Attributes
    ----------
    rate_per_s : float, optional
        The limit that the replica names in its responses.
    arrivals : list of float
        When it received requests.
    unserved : int
        How many requests found no room within their time.
    waits_s : float
        How long requests wait for room; 0 if others serve them at once.
    """

    def __init__(self, count: int, requests_per_s: float) -> None:
        self.random = Random(_SEED)
        self.network = DelayedNetwork()
        self.rate_per_s: float | None = None
        self.requests_per_s = requests_per_s
        self.arrivals: list[float] = []
        self.unserved = 0
        self.waits_s = 0.0
        self.loop = asyncio.get_running_loop()
        self.nodes: list[LimitedNode] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._heard_at = float('-inf')
        for number in range(count):
            self.add_node(number)

    def add_node(self, number: int) -> LimitedNode:
        """Start a node; all know each other at once."""
        data_centre = DATA_CENTRES[number % 3]
        name = f'{data_centre}-{number}'
        node = LimitedNode(self.network, name, data_centre)
        self.nodes.append(node)
        for known in self.nodes:
            known.add_peers(self.nodes)
        return node

    def stop(self, node: LimitedNode) -> None:
        """Kill a node; the others hear it no more, but it stays announced."""
        self.nodes.remove(node)
        self.network.nodes.pop(node.host)

    def find_granter(self) -> LimitedNode:
        """Return the node that has granted the most permits."""
        return max(
            self.nodes,
            key=lambda node: node.state.counters['limits.permits_granted'],
        )

    async def run(self, duration_s: float) -> None:
        """Send requests for a time."""
        ends_at = self.loop.time() + duration_s
        while self.loop.time() < ends_at:
            self._exchange_status()
            await asyncio.sleep(self.random.expovariate(self.requests_per_s))
            node = self.random.choice(self.nodes)
            self._tasks.append(asyncio.create_task(self._request(node)))

    def count_most(self, since: float) -> int:
        """Return the most requests in a window that begins then or later."""
        times = [at for at in self.arrivals if at >= since]
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )

    def count_since(self, since: float) -> int:
        """Return the number of requests since then."""
        return sum(at >= since for at in self.arrivals)

    def _exchange_status(self) -> None:
        """Let all nodes that are not cut off hear each other."""
        if self.loop.time() < self._heard_at + _STATUS_INTERVAL_S:
            return
        self._heard_at = self.loop.time()
        cut = self.network.cut
        names = {node.name for node in self.nodes if node.host not in cut}
        for node in self.nodes:
            if node.host not in cut:
                node.note_live(names)

    async def _request(self, node: LimitedNode) -> None:
        limits = node.state.request_limits
        limits.note_arrival(SERVICE)
        deadline = self.loop.time() + self.waits_s
        with limits.waiting(SERVICE):
            while not node.may_send():
                if self.loop.time() >= deadline:
                    self.unserved += 1
                    return
                await asyncio.sleep(_POLL_S)
        limits.take((REPLICA,))
        sent_at = self.loop.time()
        self.arrivals.append(sent_at)
        named = None
        if self.rate_per_s is not None:
            named = NamedLimit(str(self.rate_per_s), self.rate_per_s)
        await asyncio.sleep(_RESPONSE_S)
        node.state.response_notices.handle(
            REPLICA, OK, ResponseMetadata(request_limit=named), sent_at
        )
