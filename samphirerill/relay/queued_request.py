"""A request for a path, and why it would wait for one in vain."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.explain import (
    describe_backoffs,
    describe_limits,
    explain_no_path,
)
from samphirerill.fleet.outage import Outage, find_coverage_time
from samphirerill.relay.admission_errors import BackOffError, OutageError

if TYPE_CHECKING:
    import asyncio

    from samphirerill.fleet.model import EngineSpec, Replica, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_share import StreamShare

# Expected time from sending a request to its first event: prefill of a usual
# prompt in all stages, beside other streams.
FIRST_EVENT_S = 0.15


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request; lower ranks are served first.

    `timely_until` is the latest time at which a path still allows the first
    event to meet its latency objective, `deadline` when it stops waiting.
    `share` is set if the service's capacity is shared.
    """

    rank: int
    timely_until: float
    deadline: float
    service: str
    engine: EngineSpec
    path_request: PathRequest
    granted: asyncio.Future[tuple[Stage, ...]]
    share: StreamShare | None = None


class OutageChecks:
    """Rejects requests for layers that no live replica holds.

    Parameters
    ----------
    state : EdgeState
        The known replicas.
    """

    __slots__ = ('_outages', '_state')

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._outages: dict[str, Outage] = {}

    def reject(self, queued: QueuedRequest, now: float) -> None:
        """Raise ``OutageError`` if missing layers will load too late.

        Not used for streams that have started: the client cannot retry those.
        """
        service = queued.service
        outage = self._outages.get(service)
        if outage is None:
            outage = Outage(queued.engine)
            self._outages[service] = outage
        live = self._state.view.list_live(service, now)
        if not outage.observe(live, now):
            return
        wait_s = outage.predict_wait_s(live, now)
        if now + wait_s > queued.deadline:
            raise OutageError(wait_s, explain_wait(self._state, queued, now))


def find_backoff_error(
    state: EdgeState, queued: QueuedRequest, now: float, ahead: int
) -> BackOffError | None:
    """Return why a request would wait in vain; none if it may be served.

    `ahead` is how many requests are served before it.
    """
    if state.view.notices.last_obstacle_end <= now:
        return None
    candidates = [
        known
        for known in state.view.list_live(queued.service, now)
        if _is_candidate(known.replica, queued.path_request)
    ]
    possible_at = find_coverage_time(queued.engine, candidates, now, ahead)
    is_in_time = possible_at + FIRST_EVENT_S <= queued.deadline
    if is_in_time or possible_at in {now, float('inf')}:
        return None
    reason = explain_wait(state, queued, now)
    return BackOffError(possible_at - now, reason)


def explain_wait(state: EdgeState, queued: QueuedRequest, now: float) -> str:
    """Return why there is no path for a request."""
    reason = explain_no_path(
        queued.engine,
        state.view.list_usable(queued.service, now),
        state.load_tracker,
        queued.path_request,
    )
    live = state.view.list_live(queued.service, now)
    obstacles = (describe_backoffs(live, now), describe_limits(live, now))
    return '; '.join(filter(None, (reason, *obstacles)))


def _is_candidate(replica: Replica, path_request: PathRequest) -> bool:
    """Return whether a path may use a replica, as far as that is required."""
    if replica.replica_id in path_request.excluded:
        return False
    heads = path_request.first_replicas
    return not heads or replica.held.first > 0 or replica.replica_id in heads
