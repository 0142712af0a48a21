"""Lifecycle of one router node: start, serve, drain, exit."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING, Any

from samphirerill.node.logs import get_logger
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.change_source import ChangeSource
from samphirerill.relay.client_intake import ClientIntake
from samphirerill.relay.closed_connections import ClosedConnectionLog
from samphirerill.relay.connection_limit import ConnectionLimit
from samphirerill.relay.health import Alarms, LossProber, ReplicaProber
from samphirerill.relay.layer_controller import LayerController
from samphirerill.relay.leadership import Leadership
from samphirerill.relay.limits import PermitExchange
from samphirerill.relay.listeners import listen
from samphirerill.relay.membership import Membership
from samphirerill.relay.quarantine import (
    CrashDetector,
    EvidenceExchange,
    QuarantineManager,
    StoredHolds,
)
from samphirerill.relay.request_dispatcher import RequestDispatcher
from samphirerill.relay.settings_reload import SettingsFile, SettingsReloader
from samphirerill.relay.state import EdgeState
from samphirerill.relay.status_endpoints import StatusEndpoints
from samphirerill.relay.store_follower import build_store_follower
from samphirerill.relay.store_health import StoreHealth

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from socket import socket

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.platform_adapter import PlatformAdapter
    from samphirerill.relay.server import ClientConnection

_LOG = get_logger('edge')
_SWEEP_INTERVAL_S = 0.25
# The load balancer checks readiness once a second and stops sending connections
# after two failures; those that arrive until then are served.
_READINESS_NOTICE_S = 3.2
_DRAIN_POLL_S = 0.05
_LOOP_RESTART_DELAY_S = 0.5
# Reserved before SIGKILL for the process to exit.
_EXIT_MARGIN_S = 0.6
_REVOKE_TIMEOUT_S = 0.15
# How long clients have to receive their last responses before the exit resets
# the connections of those that are still sending.
_LAST_RESPONSES_S = 0.2


class EdgeProcess:
    """A router node with all its components.

    Parameters
    ----------
    settings : EdgeSettings
        The node's settings.
    adapter : PlatformAdapter
        The platform's wire format.
    store : PlatformStore
        Client of the platform's key-value store.
    settings_file : SettingsFile, optional
        The settings file, if it is to be reloaded when it changes.

    Attributes
    ----------
    state : EdgeState
        The state that the components share.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        adapter: PlatformAdapter,
        store: PlatformStore,
        settings_file: SettingsFile | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.state = EdgeState(settings, adapter)
        health = StoreHealth(self._loop.time())
        self._health = health
        self._admission = AdmissionQueue(self.state)
        alarms = Alarms(self.state)
        self._admission.slot_gate.bind(alarms)
        prober = ReplicaProber(self.state, alarms)
        quarantine_manager = QuarantineManager(self.state)
        self._evidence_exchange = EvidenceExchange(
            self.state, quarantine_manager
        )
        self._dispatcher = RequestDispatcher(
            self.state,
            self._admission,
            prober,
            CrashDetector(
                self.state, prober, quarantine_manager, self._evidence_exchange
            ),
        )
        change_source = ChangeSource(settings.name, store.era)
        self._membership = Membership(
            self.state, store, health, change_source, change_source.log, alarms
        )
        self._permit_exchange = PermitExchange(self.state)
        self._membership.add_datagram_handler(self._evidence_exchange)
        self._membership.add_datagram_handler(self._permit_exchange)
        leadership = Leadership(self.state, store)
        self._stored_holds = StoredHolds(
            self.state, store, quarantine_manager, leadership
        )
        self._loss_prober = LossProber(
            self.state, prober, alarms, lambda: leadership.leader
        )
        self._layer_controller = LayerController(
            self.state, leadership, health, self._loss_prober
        )
        self._follower = build_store_follower(
            self.state,
            store,
            health,
            (self._membership, leadership, self._stored_holds),
            change_source,
            change_source.log,
        )
        self._status_endpoints = StatusEndpoints(
            self.state,
            self._admission,
            store,
            self._collect_gauges,
            quarantine_manager,
            self._membership.path_checks,
            change_source.log.confirmation,
        )
        self._reloader = SettingsReloader(self.state, store, settings_file)
        self._intake = ClientIntake(
            lambda: self.state.settings,
            self.state.pool.response_memory,
            self._dispatcher.get_body_time_s,
        )
        self._connections: set[ClientConnection] = set()
        self._connection_limit = ConnectionLimit(
            lambda: self.state.settings, self._connections
        )
        self._page_connections: set[ClientConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._ended = asyncio.Event()
        self._handled_losses = 0
        self.state.add_listener(self._reroute_streams)

    async def run(self, client_socket: socket | None = None) -> int:
        """Serve until a termination signal; return the exit code.

        Parameters
        ----------
        client_socket : socket, optional
            Already listens for clients.
        """
        self._catch_signals()
        await self._listen(client_socket)
        await self._membership.start()
        for run_loop, name in (
            (self._follower.run, 'follow'),
            (self._membership.run, 'membership'),
            (self._layer_controller.run, 'commander'),
            (self._loss_prober.run, 'survey'),
            (self._evidence_exchange.run, 'quarantine'),
            (self._stored_holds.run, 'stored holds'),
            (self._sweep, 'sweep'),
            (self._reloader.run, 'settings'),
            (self._status_endpoints.usage.run, 'usage'),
        ):
            self._start_task(self._keep_running(run_loop, name), name)
        _LOG.info('started', extra={'node': self.state.settings.name})
        gc.freeze()
        await self._ended.wait()
        self.close()
        await self._wait_for_closes()
        _LOG.info('ended', extra={'node': self.state.settings.name})
        return 0

    def close(self) -> None:
        """Close all sockets and cancel all tasks, without waiting."""
        for server in self._servers:
            server.close()
        for conn in (*self._connections, *self._page_connections):
            conn.shut_down()
        self._membership.close()
        self._status_endpoints.usage.log()
        for task in tuple(self._tasks):
            task.cancel()

    def get_port(self) -> int:
        """Return the port for clients, which the system may have assigned."""
        return int(self._servers[0].sockets[0].getsockname()[1])

    def get_metrics_port(self) -> int:
        """Return the port of the metrics and the state dump."""
        return int(self._servers[2].sockets[0].getsockname()[1])

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return self.state.is_ready()

    def start_draining(self) -> None:
        """Start a graceful shutdown, in which every request is finished."""
        if self.state.is_draining:
            return
        _LOG.info('draining', extra={'open': self._count_busy()})
        self.state.is_draining = True
        self._start_task(self._drain(), 'drain')

    async def _listen(self, client_socket: socket | None) -> None:
        settings = self.state.settings
        metrics_address = f'{settings.host}:{settings.metrics_port}'
        self._servers.extend(
            await asyncio.gather(
                listen(
                    settings.callers,
                    self._dispatcher,
                    self._connections,
                    ClosedConnectionLog(self.state).record,
                    client_socket,
                    self._intake,
                    self._connection_limit,
                ),
                listen(
                    settings.readiness,
                    self._status_endpoints.build_readiness_handler(),
                    self._page_connections,
                    intake=self._intake,
                ),
                listen(
                    metrics_address,
                    self._status_endpoints.build_metrics_handler(),
                    self._page_connections,
                    intake=self._intake,
                ),
            )
        )

    def _reroute_streams(self) -> None:
        """Reroute streams at once when replicas were lost.

        Otherwise each stream would only notice by its own timeout.
        """
        if self._handled_losses == self.state.view.loss_count:
            return
        self._handled_losses = self.state.view.loss_count
        self._layer_controller.trigger()
        for stream in tuple(self.state.streams):
            stream.handle_view_change()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = self._loop.time()
            removed = self.state.view.remove_lapsed(now)
            self.state.load_tracker.expire_peers(now)
            self.state.rooms.expire(now)
            self._permit_exchange.sweep()
            present = set(self.state.view.replicas)
            self.state.pool.close_stale(present)
            self.state.response_notices.loads.remove_absent(present)
            if removed:
                _LOG.info(
                    'replicas removed; announcements did not return',
                    extra={'count': len(removed)},
                )
            self.state.notify_listeners()

    async def _drain(self) -> None:
        """Fail the readiness check, finish every request, then end.

        The port for clients stays open to the end: when too few nodes of a
        data centre are ready, the load balancer sends connections to all of
        them, and clients would see a refused connection as an error.
        """
        now = self._loop.time()
        finish_by = now + self.state.settings.finish_s - _EXIT_MARGIN_S
        self.state.finish_by = finish_by
        notice_ends_at = min(now + _READINESS_NOTICE_S, finish_by)
        await self._revoke_lease(self._layer_controller.stop())
        await asyncio.sleep(notice_ends_at - self._loop.time())
        self._close_idle()
        await self._finish_requests(finish_by)
        await self._revoke_lease(self._membership.leave())
        # Finish requests that were read meanwhile. There must be no await
        # between the last check and the end: a request that was read and
        # forwarded in between would get no answer.
        await self._finish_requests(finish_by)
        self._ended.set()
        self.close()

    async def _finish_requests(self, finish_by: float) -> None:
        """Wait until no request is in progress or the time is over."""
        while self._count_busy() and self._loop.time() < finish_by:
            await asyncio.sleep(_DRAIN_POLL_S)
            self._close_idle()

    async def _wait_for_closes(self) -> None:
        """Wait until the clients' connections are closed, but not for long."""
        until = self._loop.time() + _LAST_RESPONSES_S
        while self._connections and self._loop.time() < until:
            await asyncio.sleep(_DRAIN_POLL_S)

    async def _revoke_lease(
        self, revocation: Coroutine[Any, Any, None]
    ) -> None:
        """Revoke a lease, but don't wait for a slow store."""
        try:
            async with asyncio.timeout(_REVOKE_TIMEOUT_S):
                await revocation
        except TimeoutError:
            _LOG.info(
                'lease not revoked in time; it will expire',
                extra={'waited_s': _REVOKE_TIMEOUT_S},
            )
        except Exception as exc:  # noqa: BLE001
            # The shutdown must go on, or the node would be killed.
            _LOG.error('lease not revoked', extra={'error': repr(exc)})

    def _close_idle(self) -> None:
        for conn in tuple(self._connections):
            conn.close_idle()
        self._membership.tunnels.close_idle()

    def _count_busy(self) -> int:
        requests = sum(conn.has_pending_work for conn in self._connections)
        return requests + self._membership.tunnels.count_in_use()

    def _collect_gauges(self) -> dict[str, int]:
        """Return metrics of connections and requests of clients."""
        return {
            'now.open': self._count_busy(),
            'now.request_bytes': self._intake.memory.used_bytes,
            'requests.rejected_for_memory': self._intake.memory.rejected,
            'reads.deferred': self._intake.pacing.deferred,
            'now.connections': len(self._connections),
            'connections.closed_for_others': self._connection_limit.closed,
            'connections.refused': self._connection_limit.refused,
        }

    def _catch_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.start_draining)
        self._loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)

    async def _keep_running(
        self, run_loop: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Run a background loop; log its failures and restart it.

        Without the restart, a node would silently go on with stale state. A
        loop that fails during shutdown is not restarted, as it would keep the
        process from exiting until it is killed.
        """
        while not self._ended.is_set():
            try:
                await run_loop()
            except Exception as exc:  # noqa: BLE001
                _LOG.error(
                    'background loop failed',
                    extra={'loop': name, 'error': repr(exc)},
                )
            await asyncio.sleep(_LOOP_RESTART_DELAY_S)

    def _start_task(
        self, coroutine: Coroutine[Any, Any, None], name: str
    ) -> None:
        task = self._loop.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                'background task failed',
                extra={
                    'task': task.get_name(),
                    'error': repr(task.exception()),
                },
            )
