"""Test oracle: checks the router's guarantees against the simulation.

The oracle compares what clients were told with what was executed, independently
of the decision core's implementation. It also checks the core's internal
counters, because a wrong counter affects requests only much later.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.commands import Stage
    from samphirerill.core.router import Router
    from samphirerill.properties.simulation import Simulation

_NON_IDEMPOTENT_ROUTES = ('once', 'notices')


class GuaranteeViolatedError(AssertionError):
    """A guarantee of the router was violated."""


def expect(condition: bool, message: str) -> None:  # noqa: FBT001
    """Raise ``GuaranteeViolatedError`` if a condition does not hold."""
    if not condition:
        raise GuaranteeViolatedError(message)


def check_coverage(stages: tuple[Stage, ...], layers: int) -> None:
    """Check that a pipeline runs every layer once, in order."""
    covered = [
        layer
        for stage in stages
        for layer in range(stage.first, stage.last + 1)
    ]
    expect(
        covered == list(range(layers)),
        f'stages do not cover each layer once, in order: {stages}',
    )


def check_guarantees(simulation: Simulation) -> None:
    """Check all guarantees against the current state of a simulation."""
    for request in simulation.requests.values():
        expect(
            len(request.outcomes) <= 1,
            f'more than one final outcome: {request}',
        )
        is_overdue = not request.outcomes and simulation.now > request.deadline
        expect(
            request.has_left or not is_overdue,
            f'no outcome by the deadline: {request}',
        )
    for key, count in simulation.executions.items():
        is_non_idempotent = key.split('/')[1] in _NON_IDEMPOTENT_ROUTES
        expect(
            not is_non_idempotent or count <= 1,
            f'{key} was executed {count} times',
        )
    for request_id in simulation.won_claims:
        node = simulation.requests[request_id].node
        is_open = request_id in simulation.routers[node].state.requests
        expect(
            is_open, f'claim of {request_id} is held without an open request'
        )
    for router in simulation.routers:
        _check_endpoints(router)
        _check_requests(router)
        _check_phases(router, simulation)


def _check_endpoints(router: Router) -> None:
    """Check that no endpoint counts more requests than it has attempts."""
    counted: Counter[str] = Counter()
    for attempt in router.state.attempts.values():
        counted.update(stage.endpoint for stage in attempt.stages)
    for name, endpoint in router.state.endpoints.items():
        expect(
            endpoint.in_flight <= counted[name],
            f'{name} counts {endpoint.in_flight} in flight, '
            f'attempts: {counted[name]}',
        )


def _check_requests(router: Router) -> None:
    """Check the counters of accounts and queues against the requests."""
    state = router.state
    running = Counter(
        req.account
        for req in state.requests.values()
        if req.phase.value != 'queued'
    )
    expect(
        running == state.running_by_account,
        f'counted as running: {state.running_by_account}, actual: {running}',
    )
    waiting = sum(queue.size() for queue in state.queues.values())
    queued = len(state.requests) - running.total()
    expect(
        waiting == queued,
        f'in queues: {waiting}, requests in phase queued: {queued}',
    )


def _check_phases(router: Router, simulation: Simulation) -> None:
    """Check that every open request is queued, claiming or has an attempt."""
    for req in router.state.requests.values():
        is_progressing = {
            'queued': True,
            'claiming': req.request_id in simulation.pending_claims,
            'running': req.attempt_id in router.state.attempts,
        }
        expect(is_progressing[req.phase.value], f'request is stuck: {req}')
