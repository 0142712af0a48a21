"""Life cycle of a node process: start, serve, drain, exit."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from samphirerill.backends.etcd import EtcdStore
from samphirerill.core.events import DrainRequested
from samphirerill.core.queries import count_open_requests
from samphirerill.edges.client_api import ClientApi
from samphirerill.edges.http_server import HttpServer, ListenError
from samphirerill.edges.operator_api import OperatorApi
from samphirerill.node.claim_writer import ClaimWriter
from samphirerill.node.configuration_follower import ConfigurationFollower
from samphirerill.node.descriptors import derive_max_connections
from samphirerill.node.gossip import Gossip
from samphirerill.node.health_checks import poll_loads
from samphirerill.node.logs import get_logger
from samphirerill.node.membership import Membership
from samphirerill.node.node import Node
from samphirerill.node.operator_requests import NodeOperations
from samphirerill.node.request_receiver import RequestReceiver
from samphirerill.node.store_worker import StoreWorker
from samphirerill.node.vm_reader import VmReader

if TYPE_CHECKING:
    from samphirerill.settings.model import Settings

_LOG = get_logger('process')
_OPERATOR_THREADS = 4
_MAX_OPERATOR_CONNECTIONS = 64
_MAX_OPERATOR_BODY_BYTES = 8_388_608
_DRAIN_POLL_INTERVAL_S = 0.05
# How long an aborted node waits until the outcomes of claims are written.
_CLAIM_WRITE_TIMEOUT_S = 0.5
_THREAD_SWITCH_INTERVAL_S = 0.001
EXIT_CLEAN = 0
EXIT_ABORTED = 3


class NodeProcess:
    """Creates, starts and stops the components of a node.

    Parameters
    ----------
    settings : Settings
        The settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        self.node = Node(settings)
        self.worker = StoreWorker(EtcdStore(settings.store))
        self.membership = Membership(self.node, self.worker)
        self.follower = ConfigurationFollower(
            self.node, self.worker, self.membership
        )
        self.gossip = Gossip(self.node, self.follower, self.membership)
        self.node.claim_writer = ClaimWriter(
            self.worker,
            self.node.node_id,
            settings.store.prefix,
            self.node,
            self.membership,
            self.gossip.clients,
        )
        self._settings = settings
        self._is_draining = False
        self._stopped = asyncio.Event()
        self._exit_code = EXIT_CLEAN
        self._client_server = self._build_client_server()
        self._operator_server = self._build_operator_server()

    async def run(self) -> int:
        """Serve until shutdown; return the exit code."""
        try:
            await self._start_servers()
        except ListenError:
            # Threads of servers that already listen would keep the process
            # alive.
            await self._stop_servers()
            raise
        self._start_tasks()
        self._install_signal_handlers()
        await self._stopped.wait()
        await self._stop()
        return self._exit_code

    def begin_drain(self) -> None:
        """Start a graceful shutdown; a second call aborts open requests."""
        if self._is_draining:
            self._abort()
            return
        self._is_draining = True
        self.node.start_task(self._drain(), 'drain')

    async def _start_servers(self) -> None:
        peer_port = await self.gossip.start()
        host = self._settings.peers.host
        self.membership.peer_address = f'{host}:{peer_port}'
        operator_port = self._operator_server.start()
        client_port = self._client_server.start()
        self.node.is_healthy = True
        _LOG.info(
            'serving',
            extra={
                'node': self.node.node_id,
                'callers': client_port,
                'operators': operator_port,
                'peers': peer_port,
            },
        )

    def _start_tasks(self) -> None:
        node = self.node
        node.start_task(self.follower.run(), 'follow')
        node.start_task(self.follower.monitor_freshness(), 'judge')
        node.start_task(self.follower.engine_controller.run(), 'commander')
        node.start_task(self.membership.run(), 'membership')
        node.start_task(self.membership.remove_expired(), 'sweep')
        node.start_task(self.gossip.run(), 'gossip')
        node.start_task(poll_loads(node), 'loads')
        if node.claim_writer is not None:
            node.start_task(node.claim_writer.run(), 'claims')
        if self._settings.vm_list.address:
            vm_reader = VmReader(node, self.worker, self.membership)
            node.start_task(vm_reader.run(), 'vm list')

    def _install_signal_handlers(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.node.loop.add_signal_handler(number, self.begin_drain)

    async def _drain(self) -> None:
        """Fail the health check, then reject new requests, then finish.

        New requests are still accepted until the load balancer has had time
        to notice the failing health check.
        """
        shutdown = self._settings.shutdown
        loop = self.node.loop
        finish_at = loop.time() + shutdown.notice_s + shutdown.finish_s
        self.node.is_healthy = False
        _LOG.info('draining', extra={'open': self._count_open()})
        await asyncio.sleep(shutdown.notice_s)
        self.node.apply(DrainRequested())
        while self._count_open() and loop.time() < finish_at:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        if self._count_open():
            self._abort()
            return
        self._stopped.set()

    def _abort(self) -> None:
        """Exit without waiting for open requests.

        Those without a response get a status; started streams are cut off.
        """
        open_count = self._count_open()
        refused = self._list_unstarted()
        self.node.apply(DrainRequested(refused))
        _LOG.warning(
            'aborting open requests',
            extra={
                'cut': open_count - len(refused),
                'refused': len(refused),
            },
        )
        self._exit_code = EXIT_ABORTED if open_count else EXIT_CLEAN
        self._stopped.set()

    def _list_unstarted(self) -> tuple[str, ...]:
        """Return the open requests whose response has not started."""
        return tuple(
            request_id
            for request_id, session in self.node.sessions.items()
            if not session.headers_sent
        )

    def _count_open(self) -> int:
        """Count open requests, plus one if claims are still unwritten."""
        unwritten = int(self._has_unwritten_claims())
        return count_open_requests(self.node.router.state) + unwritten

    def _has_unwritten_claims(self) -> bool:
        claim_writer = self.node.claim_writer
        return claim_writer is not None and not claim_writer.is_idle()

    async def _wait_for_claims(self) -> None:
        """Wait a moment until the outcomes of refused requests are written."""
        until = self.node.loop.time() + _CLAIM_WRITE_TIMEOUT_S
        while self._has_unwritten_claims() and self.node.loop.time() < until:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _stop(self) -> None:
        await self._wait_for_claims()
        self.follower.stop()
        await self.follower.engine_controller.release_leadership()
        await self.membership.deregister()
        await self._stop_servers()
        _LOG.info('ended', extra={'code': self._exit_code})

    async def _stop_servers(self) -> None:
        await self.gossip.stop()
        loop = self.node.loop
        await loop.run_in_executor(None, self._client_server.stop)
        await loop.run_in_executor(None, self._operator_server.stop)
        self.worker.stop()

    def _build_client_server(self) -> HttpServer:
        spec = self._settings.callers
        request_receiver = RequestReceiver(self.node)
        return HttpServer(
            ClientApi(
                request_receiver.receive_from_thread,
                lambda: self.node.is_healthy,
            ),
            spec.host,
            spec.port,
            spec.threads,
            spec.max_body_bytes,
            spec.read_timeout_s,
            spec.max_connections or derive_max_connections(),
        )

    def _build_operator_server(self) -> HttpServer:
        spec = self._settings.operators
        root = OperatorApi(self._settings, NodeOperations(self))
        return HttpServer(
            root,
            spec.host,
            spec.port,
            _OPERATOR_THREADS,
            _MAX_OPERATOR_BODY_BYTES,
            self._settings.callers.read_timeout_s,
            _MAX_OPERATOR_CONNECTIONS,
        )


def serve(settings: Settings) -> int:
    """Run a node until shutdown; return its exit code."""
    # With the default of 5 ms, threads that parse requests would delay the
    # tokens of streams.
    sys.setswitchinterval(_THREAD_SWITCH_INTERVAL_S)
    return asyncio.run(_serve(settings))


async def _serve(settings: Settings) -> int:
    return await NodeProcess(settings).run()
