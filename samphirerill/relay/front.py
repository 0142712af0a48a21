"""Answer one request: find its route, its account and the way to serve it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import Repeat
from samphirerill.fleet.routes import choose_service
from samphirerill.node.logs import get_logger
from samphirerill.relay.plain import PlainExchange
from samphirerill.relay.refusals import Refusal, refuse
from samphirerill.relay.streaming import StreamExchange

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        ClientAccount,
        ClientLimits,
        FleetRoute,
        Service,
    )
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.dialect import RequestFacts
    from samphirerill.relay.examiner import Examiner
    from samphirerill.relay.server import CallerConnection, Request
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('requests')


@dataclass(slots=True)
class Task:
    """One request with all that was found out about it.

    `deadline` is on the loop's clock: the client's own or the route's, the
    earlier one. `client_deadline` is the client's.
    """

    req: Request
    facts: RequestFacts
    conn: CallerConnection
    route: FleetRoute
    service: Service
    account: ClientAccount | None
    deadline: float
    client_deadline: float

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        if self.route.repeat is Repeat.STREAM:
            return self.route.is_resumable
        return self.route.repeat is Repeat.IDEMPOTENT

    @property
    def priority(self) -> int:
        """Return the rank; the account's own goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


class Front:
    """Implements :class:`~samphirerill.relay.server.RequestHandler`.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    admission : Admission
        The queue of streams.
    examiner : Examiner
        Asks silent replicas.
    """

    def __init__(
        self, state: EdgeState, admission: Admission, examiner: Examiner
    ) -> None:
        self._state = state
        self._admission = admission
        self._examiner = examiner
        self._loop = asyncio.get_running_loop()

    def get_limits(self) -> ClientLimits:
        """Return what clients may send."""
        return self._state.get_limits()

    def is_draining(self) -> bool:
        """Return whether connections should end after their answer."""
        return self._state.is_draining

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        """Answer one request."""
        facts = self._state.dialect.read_request(req)
        self._state.counters['requests'] += 1
        found = self._resolve(req, facts, conn)
        if isinstance(found, Refusal):
            refuse(self._state, conn, facts, found)
            return
        await self._serve(found)
        self._state.metrics.record(
            'answer',
            found.route.repeat.value,
            self._loop.time() - req.arrived_at,
        )

    async def _serve(self, task: Task) -> None:
        engine = task.service.engine
        is_stream = engine is not None and engine.layers > 0
        if self._is_too_late(is_stream):
            refusal = Refusal(503, 'the node ends')
            refuse(self._state, task.conn, task.facts, refusal)
        elif is_stream:
            await StreamExchange(
                self._state, task, self._admission, self._examiner
            ).run()
        else:
            await PlainExchange(self._state, task).run()

    def _is_too_late(self, is_stream: bool) -> bool:
        """Return whether this node ends before the answer would."""
        now = self._loop.time()
        if is_stream:
            return now >= self._state.streams_until
        return now >= self._state.requests_until

    def _resolve(
        self, req: Request, facts: RequestFacts, conn: CallerConnection
    ) -> Task | Refusal:
        state = self._state
        if state.cfg is None or state.routes is None:
            # Nobody may be told "not found" on no evidence.
            return Refusal(503, 'no configuration yet', 1.0)
        host = (req.get(b'host') or b'').decode('latin-1')
        route = state.routes.find(host, req.target.decode('latin-1'))
        if route is None:
            return Refusal(404, 'no route')
        account = None
        if state.cfg.needs_keys and not route.is_public:
            account = state.cfg.accounts.get(facts.api_key)
            if account is None:
                return Refusal(401, 'unknown key')
        service = state.cfg.services.get(choose_service(route, state.random))
        if service is None:
            return Refusal(503, 'the route has no service', 1.0)
        return self._build_task(req, facts, conn, route, service, account)

    def _build_task(
        self,
        req: Request,
        facts: RequestFacts,
        conn: CallerConnection,
        route: FleetRoute,
        service: Service,
        account: ClientAccount | None,
    ) -> Task:
        own_s = route.timeout_s
        client_s = facts.deadline_s or own_s
        return Task(
            req,
            facts,
            conn,
            route,
            service,
            account,
            deadline=req.arrived_at + min(own_s, client_s),
            client_deadline=req.arrived_at + client_s,
        )
