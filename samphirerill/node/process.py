"""One node's process: start, serve, drain, exit."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from samphirerill.backends.etcd import EtcdStore
from samphirerill.core.events import DrainRequested
from samphirerill.core.queries import count_open
from samphirerill.edges.callers import CallersRoot
from samphirerill.edges.operators import OperatorsRoot
from samphirerill.edges.serving import HttpServer, ListenError
from samphirerill.node.arrivals import RequestReceiver
from samphirerill.node.claim_writer import ClaimWriter
from samphirerill.node.follower import Follower
from samphirerill.node.gossip import Gossip
from samphirerill.node.logs import get_logger
from samphirerill.node.members import Members
from samphirerill.node.node import Node
from samphirerill.node.operations import NodeOperations
from samphirerill.node.probes import poll_loads
from samphirerill.node.store_worker import StoreWorker
from samphirerill.node.vm_reader import VmReader

if TYPE_CHECKING:
    from samphirerill.settings.model import Settings

_LOG = get_logger('process')
_OPERATOR_THREADS = 4
_OPERATOR_BODY_BYTES = 8_388_608
_DRAIN_STEP_S = 0.05
_SWITCH_S = 0.001
EXIT_CLEAN = 0
EXIT_CUT = 3


class Process:
    """Everything one node consists of.

    Parameters
    ----------
    settings : Settings
        The node's settings, whole.
    """

    def __init__(self, settings: Settings) -> None:
        self.node = Node(settings)
        self.worker = StoreWorker(EtcdStore(settings.store))
        self.members = Members(self.node, self.worker)
        self.follower = Follower(self.node, self.worker, self.members)
        self.gossip = Gossip(self.node, self.follower, self.members)
        self.node.claims = ClaimWriter(
            self.worker,
            self.node.node_id,
            settings.store.prefix,
            self.node,
            self.members,
            self.gossip.clients,
        )
        self._settings = settings
        self._draining = False
        self._ended = asyncio.Event()
        self._exit_code = EXIT_CLEAN
        self._callers = self._build_callers()
        self._operators = self._build_operators()

    async def run(self) -> int:
        """Serve until drained; return the exit code."""
        try:
            await self._start_edges()
        except ListenError:
            # Threads that already listen would keep the process alive,
            # deaf and unnoticed.
            await self._stop_edges()
            raise
        self._start_tasks()
        self._catch_signals()
        await self._ended.wait()
        await self._stop()
        return self._exit_code

    def begin_drain(self) -> None:
        """Begin a graceful shutdown; a second call ends at once."""
        if self._draining:
            self._cut()
            return
        self._draining = True
        self.node.start_task(self._drain(), 'drain')

    async def _start_edges(self) -> None:
        peer_port = await self.gossip.start()
        host = self._settings.peers.host
        self.members.peer_address = f'{host}:{peer_port}'
        operator_port = self._operators.start()
        caller_port = self._callers.start()
        self.node.healthy = True
        _LOG.info(
            'serving',
            extra={
                'node': self.node.node_id,
                'callers': caller_port,
                'operators': operator_port,
                'peers': peer_port,
            },
        )

    def _start_tasks(self) -> None:
        node = self.node
        node.start_task(self.follower.run(), 'follow')
        node.start_task(self.follower.judge(), 'judge')
        node.start_task(self.follower.commander.run(), 'commander')
        node.start_task(self.members.run(), 'membership')
        node.start_task(self.members.sweep(), 'sweep')
        node.start_task(self.gossip.run(), 'gossip')
        node.start_task(poll_loads(node), 'loads')
        if node.claims is not None:
            node.start_task(node.claims.run(), 'claims')
        if self._settings.vm_list.address:
            vms = VmReader(node, self.worker, self.members)
            node.start_task(vms.run(), 'vm list')

    def _catch_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self.node.loop.add_signal_handler(number, self.begin_drain)

    async def _drain(self) -> None:
        """Fail the health check, then refuse new work, then finish all.

        The balancer needs time to see the failing check; a node that refused
        at once would turn away callers that another node could serve.
        """
        shutdown = self._settings.shutdown
        loop = self.node.loop
        finish_at = loop.time() + shutdown.notice_s + shutdown.finish_s
        self.node.healthy = False
        _LOG.info('draining', extra={'open': self._count_open()})
        await asyncio.sleep(shutdown.notice_s)
        self.node.apply(DrainRequested())
        while self._count_open() and loop.time() < finish_at:
            await asyncio.sleep(_DRAIN_STEP_S)
        if self._count_open():
            self._cut()
            return
        self._ended.set()

    def _cut(self) -> None:
        """End at once and say what was cut."""
        cut = self._count_open()
        _LOG.warning('ending at once', extra={'cut': cut})
        self._exit_code = EXIT_CUT if cut else EXIT_CLEAN
        self._ended.set()

    def _count_open(self) -> int:
        """Count requests without an end and outcomes not yet written."""
        claims = self.node.claims
        unwritten = 0 if claims is None or claims.is_idle() else 1
        return count_open(self.node.router.state) + unwritten

    async def _stop(self) -> None:
        self.follower.stop()
        await self.follower.commander.leave()
        await self.members.leave()
        await self._stop_edges()
        _LOG.info('ended', extra={'code': self._exit_code})

    async def _stop_edges(self) -> None:
        await self.gossip.stop()
        loop = self.node.loop
        await loop.run_in_executor(None, self._callers.stop)
        await loop.run_in_executor(None, self._operators.stop)
        self.worker.stop()

    def _build_callers(self) -> HttpServer:
        spec = self._settings.callers
        arrivals = RequestReceiver(self.node)
        return HttpServer(
            CallersRoot(
                arrivals.receive_from_thread, lambda: self.node.healthy
            ),
            spec.host,
            spec.port,
            spec.threads,
            spec.max_body_bytes,
            spec.read_timeout_s,
        )

    def _build_operators(self) -> HttpServer:
        spec = self._settings.operators
        root = OperatorsRoot(self._settings, NodeOperations(self))
        return HttpServer(
            root,
            spec.host,
            spec.port,
            _OPERATOR_THREADS,
            _OPERATOR_BODY_BYTES,
            self._settings.callers.read_timeout_s,
        )


def serve(settings: Settings) -> int:
    """Run one node until it is drained; return its exit code."""
    # The loop must get its turn while a thread parses a request; the usual
    # 5 ms would show as gaps between tokens.
    sys.setswitchinterval(_SWITCH_S)
    return asyncio.run(_serve(settings))


async def _serve(settings: Settings) -> int:
    return await Process(settings).run()
