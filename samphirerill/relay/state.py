"""State of one router node, shared by its components."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from samphirerill.fleet.link_usage import LinkUsage
from samphirerill.fleet.load import LoadTracker
from samphirerill.fleet.model import (
    MS_PER_S,
    ClientLimits,
    FleetConfiguration,
    Service,
)
from samphirerill.fleet.retry_budget import RetryBudget
from samphirerill.fleet.routes import RouteTable
from samphirerill.fleet.view import FleetView
from samphirerill.node.logs import get_logger
from samphirerill.node.metrics import Metrics
from samphirerill.quarantine import Quarantine
from samphirerill.relay.configuration_history import ConfigurationHistory
from samphirerill.relay.pool import ConnectionPool
from samphirerill.relay.replica_ids import ReplicaIdIndex
from samphirerill.relay.response_notices import ResponseNotices
from samphirerill.relay.room_exchange import RoomExchange

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.active_stream import ActiveStream
    from samphirerill.relay.platform_adapter import PlatformAdapter
    from samphirerill.relay.limits.known_limits import RequestLimits

_LOG = get_logger('state')
# Least number of nodes that is assumed, so that a node that does not know the
# others yet takes only a small share of fleet-wide limits.
_MIN_ASSUMED_NODES = 8
_INCARNATION_RANGE = 2_000_000_000
# Margin for the delay with which a node learns that a replica is leaving.
_LEAVING_MARGIN_S = 0.3


class EdgeState:
    """State shared by the components of one node.

    It is not thread-safe and must be used from the event loop's thread.

    Parameters
    ----------
    settings : EdgeSettings
        The node's settings.
    adapter : PlatformAdapter
        The platform's wire format.

    Attributes
    ----------
    settings : EdgeSettings
        The current settings; replaced by `apply_settings`.
    random : Random
        Source of randomness.
    counters : Counter
        Event counters, exported as metrics.
    metrics : Metrics
        Histograms of times.
    view : FleetView
        The replicas that are known.
    replica_names : ReplicaIdIndex
        Replica ids by the checksums that messages between nodes carry.
    incarnation : int
        Random incarnation number of this process.
    load_tracker : LoadTracker
        Load of each replica by this node and by others.
    link_usage : LinkUsage
        Estimated backlog of the links between data centres.
    pool : ConnectionPool
        Connections to endpoints.
    cfg : FleetConfiguration, optional
        The current configuration, if there is one.
    configuration_history : ConfigurationHistory
        Its text and those of recent versions.
    routes : RouteTable, optional
        Routes of the current configuration.
    streams : set of ActiveStream
        The streams in progress.
    quarantine : Quarantine
        Requests and prompt parts suspected of crashing replicas.
    is_draining : bool
        Whether the node is shutting down.
    finish_by : float
        When a node that shuts down aborts the requests that are still open, on
        the loop's clock.
    peer_count : int
        The number of other nodes that are announced.
    retry_budgets : dict
        Retry budget of each service.
    """

    def __init__(
        self, settings: EdgeSettings, adapter: PlatformAdapter
    ) -> None:
        self.settings = settings
        self.adapter = adapter
        self.random = Random()
        self.counters: Counter[str] = Counter()
        self.metrics = Metrics()
        self.view = FleetView()
        self.replica_names = ReplicaIdIndex(self.view)
        # Sent in each datagram, so that peers can distinguish a restarted
        # process from the one before.
        self.incarnation = self.random.randrange(_INCARNATION_RANGE)
        self.load_tracker = LoadTracker()
        self.link_usage = LinkUsage()
        self.pool = ConnectionPool(self.counters)
        self.pool.response_memory.apply_settings(settings)
        self.cfg: FleetConfiguration | None = None
        # Set once there is a configuration.
        self.configured = asyncio.Event()
        self.configuration_history = ConfigurationHistory()
        self.routes: RouteTable | None = None
        self.streams: set[ActiveStream] = set()
        self.quarantine = Quarantine()
        self._response_notices = ResponseNotices(self)
        # Whether other nodes were asked for a newer configuration than the
        # store held when this node started.
        self._has_asked_peers = False
        self.is_draining = False
        self.finish_by = float('inf')
        self.peer_count = 0
        self._max_nodes_seen = _MIN_ASSUMED_NODES
        self.retry_budgets: dict[str, RetryBudget] = {}
        self._rooms = RoomExchange(self)
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Return the version of the current configuration; 0 for none."""
        return 0 if self.cfg is None else self.cfg.version

    @property
    def response_notices(self) -> ResponseNotices:
        """Return the handler of what replicas say in responses."""
        return self._response_notices

    @property
    def rooms(self) -> RoomExchange:
        """Return the capacity that nodes share between ranks and accounts."""
        return self._rooms

    @property
    def request_limits(self) -> RequestLimits:
        """Return the request rates that replicas have named."""
        return self._response_notices.limits

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        is_configured = self.cfg is not None and self._has_asked_peers
        return is_configured and not self.is_draining

    def note_peers_asked(self) -> None:
        """Record that other nodes were asked for a newer configuration."""
        self._has_asked_peers = True

    def count_nodes(self) -> int:
        """Return how many nodes share the endpoints, this one included.

        This is the highest number ever seen: a node that is cut off from the
        others must not take over their shares of fleet-wide limits.
        """
        seen = 1 + max(self.peer_count, self.load_tracker.count_peers())
        self._max_nodes_seen = max(self._max_nodes_seen, seen)
        return self._max_nodes_seen

    def get_connection_limit(self, service: Service) -> int:
        """Return the connection limit of this node for each endpoint.

        A service's limit applies to all nodes together, and endpoints reset
        the connections beyond it.

        Parameters
        ----------
        service : Service
            The service of the endpoint.

        Returns
        -------
        int
            This node's share of the limit; 0 if there is no limit.
        """
        if not service.max_connections:
            return 0
        share = service.max_connections // self.count_nodes()
        return max(1, share)

    def apply_configuration(self, cfg: FleetConfiguration, text: bytes) -> bool:
        """Apply a configuration if it is newer than the current one.

        An older one may come from a delayed read and must not undo a newer
        one whose effect clients have already seen.

        Parameters
        ----------
        cfg : FleetConfiguration
            The configuration.
        text : bytes
            The document that it was decoded from.

        Returns
        -------
        bool
            Whether it was applied.
        """
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return False
        self.cfg = cfg
        self.configured.set()
        self.configuration_history.add(cfg.version, text)
        self.routes = RouteTable(cfg)
        self.view.services = frozenset(cfg.services)
        _LOG.info(
            'configuration applied',
            extra={
                'version': cfg.version,
                'routes': len(cfg.routes),
                'keys': len(cfg.accounts),
            },
        )
        self.notify_listeners()
        return True

    def compute_leaving_deadline(self, now: float) -> float:
        """Return until when a replica that starts leaving now still serves."""
        return now + self.settings.leaving_ms / MS_PER_S - _LEAVING_MARGIN_S

    def get_client_limits(self) -> ClientLimits:
        """Return the limits on client requests."""
        return ClientLimits() if self.cfg is None else self.cfg.limits

    def get_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
            self.retry_budgets[service] = budget
        return budget

    def forget_peer(self, name: str) -> None:
        """Drop the load that was reported under a name no longer in use.

        The same load is now reported under another name and would otherwise
        be counted twice.
        """
        self.load_tracker.remove_peer(name)
        self._rooms.remove_peer(name)
        for budget in self.retry_budgets.values():
            budget.peers.remove(name)

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply other settings; retry budgets keep what they have counted."""
        self.settings = settings
        self.pool.response_memory.apply_settings(settings)
        for budget in self.retry_budgets.values():
            budget.set_limits(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Add a callback for changes of the load or the replicas."""
        self._listeners.append(listener)

    def notify_listeners(self) -> None:
        """Call all callbacks, as the load or the replicas have changed."""
        for listener in self._listeners:
            listener()
