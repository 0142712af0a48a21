"""Route one request: find its service and account, and serve it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.routes import choose_service
from samphirerill.node.logs import get_logger
from samphirerill.relay.client_intake import MAX_BODY_TIME_S
from samphirerill.relay.path_tracker import ISOLATED, ISOLATED_RETRY_S
from samphirerill.relay.plain import PlainExchange
from samphirerill.relay.plain_queue import PlainQueues
from samphirerill.relay.refusals import (
    NOT_FOUND,
    UNAVAILABLE,
    UNKNOWN_KEY,
    Refusal,
    send_refusal,
)
from samphirerill.relay.request_context import RequestContext
from samphirerill.relay.streaming import StreamExchange

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        ClientAccount,
        ClientLimits,
        FleetRoute,
        Service,
    )
    from samphirerill.relay.admission import AdmissionQueue
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.platform_adapter import RequestMetadata
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request import Request
    from samphirerill.relay.server import ClientConnection
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('requests')
# The expected duration of a stream. One that arrives at a node that ends sooner
# is rejected, so that the client retries it at a node that can finish it.
_EXPECTED_STREAM_S = 4.5
# The longest that an endpoint takes for a plain request; used in the same way.
_MAX_REQUEST_S = 1.2
# The longest that a request waits for the first configuration. Where all nodes
# have restarted, clients would use up their retries in less.
_MAX_CONFIGURATION_WAIT_S = 1.5


class RequestDispatcher:
    """Implements :class:`~samphirerill.relay.server.RequestHandler`.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    admission : AdmissionQueue
        The admission queue for streams.
    prober : ReplicaProber
        Probes unresponsive replicas.
    crash_detector : CrashDetector
        Detects requests that crash replicas.
    """

    def __init__(
        self,
        state: EdgeState,
        admission: AdmissionQueue,
        prober: ReplicaProber,
        crash_detector: CrashDetector,
    ) -> None:
        self._crash_detector = crash_detector
        self._state = state
        self._admission = admission
        self._prober = prober
        self._plain_queues = PlainQueues(state)
        self._loop = asyncio.get_running_loop()

    def get_limits(self) -> ClientLimits:
        """Return the limits on client requests."""
        return self._state.get_client_limits()

    def is_draining(self) -> bool:
        """Return whether connections should close after their response."""
        return self._state.is_draining

    def get_body_time_s(self, req: Request) -> float:
        """Return how long a client may take to send a body, in seconds.

        That is the deadline that it names, as it has left by then.
        """
        facts = self._state.adapter.parse_request(req)
        return min(facts.deadline_s or MAX_BODY_TIME_S, MAX_BODY_TIME_S)

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Serve one request."""
        facts = self._state.adapter.parse_request(req)
        self._state.counters['requests'] += 1
        if not self._state.configured.is_set():
            await self._wait_for_configuration(req, facts)
        resolved = self._resolve(req, facts, conn)
        if isinstance(resolved, Refusal):
            send_refusal(self._state, conn, facts, resolved)
            return
        await self._serve(resolved)
        self._state.metrics.record(
            'answer',
            resolved.route.retry_class.value,
            self._loop.time() - req.arrived_at,
        )

    async def _wait_for_configuration(
        self, req: Request, facts: RequestMetadata
    ) -> None:
        """Wait until the first configuration is known, for a limited time."""
        wait_s = _MAX_CONFIGURATION_WAIT_S
        if facts.deadline_s:
            wait_s = min(wait_s, facts.deadline_s)
        try:
            async with asyncio.timeout_at(req.arrived_at + wait_s):
                await self._state.configured.wait()
        except TimeoutError:
            self._state.counters['requests.without_configuration'] += 1

    async def _serve(self, context: RequestContext) -> None:
        if self._reject_if_isolated(context):
            return
        engine = context.service.engine
        if engine is None or not engine.layers:
            if not self._reject_if_ending(_MAX_REQUEST_S, context):
                await PlainExchange(
                    self._state,
                    context,
                    self._crash_detector,
                    self._plain_queues.get(context.service.name),
                ).run()
        elif not self._reject_if_ending(_EXPECTED_STREAM_S, context):
            await StreamExchange(
                self._state,
                context,
                engine,
                self._admission,
                self._prober,
                self._crash_detector,
            ).run()

    def _reject_if_isolated(self, context: RequestContext) -> bool:
        """Reject a request if no node reaches an endpoint; return whether."""
        if not self._state.pool.dialer.paths.is_isolated:
            return False
        self._state.counters['requests.isolated'] += 1
        refusal = Refusal(UNAVAILABLE, ISOLATED, ISOLATED_RETRY_S)
        send_refusal(self._state, context.conn, context.facts, refusal)
        return True

    def _reject_if_ending(
        self, expected_s: float, context: RequestContext
    ) -> bool:
        """Reject a request if this node ends soon; return whether it did."""
        if self._loop.time() + expected_s < self._state.finish_by:
            return False
        refusal = Refusal(UNAVAILABLE, 'the node is shutting down')
        send_refusal(self._state, context.conn, context.facts, refusal)
        return True

    def _resolve(
        self, req: Request, facts: RequestMetadata, conn: ClientConnection
    ) -> RequestContext | Refusal:
        state = self._state
        if state.cfg is None or state.routes is None:
            # Not 404: the route may exist in a configuration not received yet.
            return Refusal(
                UNAVAILABLE, 'this node has no configuration yet', 1.0
            )
        host = (req.get(b'host') or b'').decode('latin-1')
        route = state.routes.find(host, req.target.decode('latin-1'))
        if route is None:
            return Refusal(NOT_FOUND, 'no route matches')
        account = None
        if state.cfg.needs_keys and not route.is_public:
            account = state.cfg.accounts.get(facts.api_key)
            if account is None:
                return Refusal(UNKNOWN_KEY, 'unknown API key')
        service = state.cfg.services.get(choose_service(route, state.random))
        if service is None:
            return Refusal(
                UNAVAILABLE, 'the service of the route is not configured', 1.0
            )
        return self._build_context(req, facts, conn, route, service, account)

    def _build_context(
        self,
        req: Request,
        facts: RequestMetadata,
        conn: ClientConnection,
        route: FleetRoute,
        service: Service,
        account: ClientAccount | None,
    ) -> RequestContext:
        route_timeout_s = route.timeout_s
        client_timeout_s = facts.deadline_s or route_timeout_s
        return RequestContext(
            req,
            facts,
            conn,
            route,
            service,
            account,
            deadline=req.arrived_at + min(route_timeout_s, client_timeout_s),
            client_deadline=req.arrived_at + client_timeout_s,
            strips_api_key=self._state.cfg is None
            or self._state.cfg.needs_keys,
        )
