"""What one node of the edge knows and shares among its parts."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from samphirerill.fleet.budget import RepeatBudget
from samphirerill.fleet.load import LoadBook
from samphirerill.fleet.model import MS_PER_S, ClientLimits
from samphirerill.fleet.pipes import PipeUse
from samphirerill.fleet.routes import RouteTable
from samphirerill.fleet.view import FleetView
from samphirerill.node.logs import get_logger
from samphirerill.node.metrics import Metrics
from samphirerill.quarantine import Quarantine
from samphirerill.relay.cfg_texts import CfgTexts
from samphirerill.relay.messages import ReplicaNames
from samphirerill.relay.pool import ConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import FleetConfiguration, Service
    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.dialect import Dialect
    from samphirerill.relay.streaming import StreamExchange

_LOG = get_logger('state')
# Until a node knows the others it takes an eighth of what all share.
_LEAST_NODES = 8
_START_NUMBERS = 2_000_000_000
# Kept of the time for which a leaving replica serves, as news of it is late.
_LEAVING_MARGIN_S = 0.3


class EdgeState:
    """Shared by the parts of one node; lives on the loop's thread.

    Parameters
    ----------
    settings : EdgeSettings
        The node's settings, whole.
    dialect : Dialect
        The words spoken with callers and endpoints.
    """

    def __init__(self, settings: EdgeSettings, dialect: Dialect) -> None:
        self.settings = settings
        self.dialect = dialect
        self.random = Random()
        self.counters: Counter[str] = Counter()
        self.metrics = Metrics()
        self.view = FleetView()
        self.names = ReplicaNames(self.view)
        # Told with each datagram, so that those of the start before are known.
        self.start_number = self.random.randrange(_START_NUMBERS)
        self.book = LoadBook()
        self.pipes = PipeUse()
        self.pool = ConnectionPool(self.counters)
        self.cfg: FleetConfiguration | None = None
        self.cfg_texts = CfgTexts()
        self.routes: RouteTable | None = None
        self.streams: set[StreamExchange] = set()
        self.quarantine = Quarantine()
        self.is_draining = False
        # A node that ends takes no new streams or requests from then on.
        self.streams_until = float('inf')
        self.requests_until = float('inf')
        self.peer_count = 0
        self._most_nodes = _LEAST_NODES
        self.budgets: dict[str, RepeatBudget] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 for none."""
        return 0 if self.cfg is None else self.cfg.version

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return self.cfg is not None and not self.is_draining

    def count_nodes(self) -> int:
        """Return how many nodes share the fleet, this one included.

        The most that were ever known: a node that loses sight of the others
        must not take their shares.
        """
        seen = 1 + max(self.peer_count, self.book.count_peers())
        self._most_nodes = max(self._most_nodes, seen)
        return self._most_nodes

    def count_connections(self, service: Service) -> int:
        """Return how many connections to each endpoint this node may have.

        Endpoints take so many from all nodes together, and reset the others;
        0 stands for any number.
        """
        if not service.max_connections:
            return 0
        share = service.max_connections // self.count_nodes()
        return max(1, share)

    def put_in_force(self, cfg: FleetConfiguration, text: bytes) -> bool:
        """Let a newer configuration replace the one in force.

        An older one is refused: it may come from a read that was answered
        late, and callers have already seen the effect of the newer one.
        """
        if self.cfg is not None and cfg.version <= self.cfg.version:
            return False
        self.cfg = cfg
        self.cfg_texts.note(cfg.version, text)
        self.routes = RouteTable(cfg)
        self.view.services = frozenset(cfg.services)
        _LOG.info(
            'configuration in force',
            extra={
                'version': cfg.version,
                'routes': len(cfg.routes),
                'keys': len(cfg.accounts),
            },
        )
        self.notify()
        return True

    def find_leaves_at(self, now: float) -> float:
        """Return until when a replica serves that is found to leave now."""
        return now + self.settings.leaving_ms / MS_PER_S - _LEAVING_MARGIN_S

    def get_limits(self) -> ClientLimits:
        """Return what clients may send."""
        return ClientLimits() if self.cfg is None else self.cfg.limits

    def get_budget(self, service: str) -> RepeatBudget:
        """Return a service's budget of repeats."""
        found = self.budgets.get(service)
        if found is None:
            found = RepeatBudget(
                self.settings.retry_ratio,
                self.settings.retry_slack,
                self.settings.retry_window_s,
            )
            self.budgets[service] = found
        return found

    def forget_told(self, name: str) -> None:
        """Drop what was told under a name: it is told under another now.

        Counted under both, the same streams would fill replicas on paper.
        """
        self.book.forget(name)
        for budget in self.budgets.values():
            budget.others.forget(name)

    def change_settings(self, settings: EdgeSettings) -> None:
        """Let other settings be in force; what was counted is kept."""
        self.settings = settings
        for budget in self.budgets.values():
            budget.change(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
            )

    def listen(self, listener: Callable[[], None]) -> None:
        """Call back whenever load or replicas have changed."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Tell that load or replicas have changed."""
        for listener in self._listeners:
            listener()
