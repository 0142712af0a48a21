"""The pages that a node serves about itself: readiness and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.relay.listeners import PageHandler
from samphirerill.relay.usage import Usage

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.listeners import Page
    from samphirerill.relay.quarantine import Keeper
    from samphirerill.relay.state import EdgeState

_OK = 200
_UNAVAILABLE = 503


class NodePages:
    """Readiness for the balancer, metrics for operators.

    Parameters
    ----------
    state : EdgeState
        What the node knows and has counted.
    admission : Admission
        The queue of streams.
    store : PlatformStore
        Counts its calls.
    count_busy : callable
        Returns how many requests are under way.
    keeper : Keeper
        Knows which requests are held back.
    """

    def __init__(
        self,
        state: EdgeState,
        admission: Admission,
        store: PlatformStore,
        count_busy: Callable[[], int],
        keeper: Keeper,
    ) -> None:
        self._keeper = keeper
        self._state = state
        self._admission = admission
        self.usage = Usage(state, store)
        self._count_busy = count_busy

    def build_ready(self) -> PageHandler:
        """Return the page that the balancer asks for."""
        return PageHandler({self._state.dialect.ready_path: self._get_ready})

    def build_metrics(self) -> PageHandler:
        """Return the page that metrics are read from."""
        return PageHandler(
            {b'/metrics': self._get_metrics, b'/state': self._get_state}
        )

    def _get_ready(self) -> Page:
        if self._state.is_ready():
            return _OK, b'ready'
        return _UNAVAILABLE, b'not ready'

    def _get_state(self) -> Page:
        state = self._state
        dump = {
            'node': state.settings.name,
            'version': state.version,
            'replicas': len(state.view.known),
            'streams': len(state.streams),
            'quarantine': self._keeper.describe(),
        }
        return _OK, json.encode(dump)

    def _get_metrics(self) -> Page:
        state = self._state
        gauges = {**state.counters, **self.usage.count()}
        gauges['now.waiting'] = self._admission.count_waiting()
        gauges['now.open'] = self._count_busy()
        gauges['now.replicas'] = len(state.view.known)
        gauges['now.version'] = state.version
        gauges['now.quarantine'] = len(state.quarantine)
        gauges['replicas.false_deaths'] = state.view.false_deaths
        return _OK, state.metrics.format_prometheus(gauges).encode()
