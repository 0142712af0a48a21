"""HTTP endpoints of a node itself: readiness, metrics and a state dump."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.node.admission_metrics import format_admissions
from samphirerill.relay.listeners import PageHandler
from samphirerill.relay.usage import UsageReporter

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.admission import AdmissionQueue
    from samphirerill.relay.confirmation import Confirmation
    from samphirerill.relay.listeners import Page
    from samphirerill.relay.path_checks import PathChecks
    from samphirerill.relay.quarantine import QuarantineManager
    from samphirerill.relay.state import EdgeState

_OK = 200
_UNAVAILABLE = 503


class StatusEndpoints:
    """Readiness for the load balancer, metrics and state for operators.

    Parameters
    ----------
    state : EdgeState
        The node's state and counters.
    admission : AdmissionQueue
        The queue of streams that wait for a path.
    store : PlatformStore
        Client of the store, which counts its calls.
    collect_gauges : callable
        Returns metrics of connections and requests of clients.
    quarantine_manager : QuarantineManager
        Lists the quarantined requests.
    path_checks : PathChecks
        Describes the paths to endpoints.
    confirmation : Confirmation
        When the store confirmed that this node's copy is complete.

    Attributes
    ----------
    usage : UsageReporter
        Counts the calls to the store and to endpoints.
    """

    def __init__(
        self,
        state: EdgeState,
        admission: AdmissionQueue,
        store: PlatformStore,
        collect_gauges: Callable[[], dict[str, int]],
        quarantine_manager: QuarantineManager,
        path_checks: PathChecks,
        confirmation: Confirmation,
    ) -> None:
        self._path_checks = path_checks
        self._confirmation = confirmation
        self._quarantine_manager = quarantine_manager
        self._state = state
        self._admission = admission
        self._store = store
        self.usage = UsageReporter(state, store)
        self._collect_gauges = collect_gauges

    def build_readiness_handler(self) -> PageHandler:
        """Return the handler of the load balancer's readiness check."""
        return PageHandler(
            {self._state.adapter.ready_path: self._serve_readiness}
        )

    def build_metrics_handler(self) -> PageHandler:
        """Return the handler of the metrics and the state dump."""
        return PageHandler(
            {b'/metrics': self._serve_metrics, b'/state': self._serve_state}
        )

    def _serve_readiness(self) -> Page:
        if self._state.is_ready():
            return _OK, b'ready'
        return _UNAVAILABLE, b'not ready'

    def _serve_state(self) -> Page:
        state = self._state
        dump = {
            'node': state.settings.name,
            'version': state.version,
            'store': self._describe_store(),
            'replicas': len(state.view.replicas),
            'streams': len(state.streams),
            'notices': state.response_notices.describe(),
            'limits': state.request_limits.describe(),
            'quarantine': self._quarantine_manager.describe(),
            'paths': self._path_checks.describe(),
            'clients': self._collect_gauges(),
            'admissions': self._describe_admissions(),
        }
        return _OK, json.encode(dump)

    def _describe_store(self) -> dict[str, int]:
        era = self._store.era
        described = {
            'era': era.current,
            'restores': era.restores,
            'invalid_eras': era.invalid_count,
            'revision': self._state.view.revision,
        }
        now = asyncio.get_running_loop().time()
        age_ms = self._confirmation.get_age_ms(now)
        if age_ms is not None:
            described['confirmed_age_ms'] = age_ms
        return described

    def _serve_metrics(self) -> Page:
        state = self._state
        gauges = {
            **state.counters,
            **self.usage.collect(),
            **self._collect_gauges(),
        }
        gauges['now.waiting'] = self._admission.count_waiting()
        gauges['now.replicas'] = len(state.view.replicas)
        gauges['now.version'] = state.version
        for name, number in self._describe_store().items():
            gauges[f'store.{name}'] = number
        gauges['now.quarantine'] = len(state.quarantine)
        gauges['now.quarantine.parts'] = len(state.quarantine.parts)
        gauges['now.partitioned'] = state.pool.dialer.paths.is_partitioned
        gauges['now.relayed'] = self._path_checks.count_relayed()
        memory = state.pool.response_memory
        gauges['now.response_bytes'] = memory.used_bytes
        gauges['responses.broken_off'] = memory.broken_off
        gauges['responses.given_up'] = memory.given_up
        gauges['now.notices'] = len(state.response_notices.describe())
        for replica, limit in state.request_limits.list_in_force():
            gauges[f'limits.withheld.{replica.replica_id}'] = limit.withheld
        gauges['replicas.false_deaths'] = state.view.false_suspicions
        text = state.metrics.format_prometheus(gauges)
        text += format_admissions(self._describe_admissions())
        return _OK, text.encode()

    def _describe_admissions(self) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        return self._state.metrics.admissions.describe(now)
