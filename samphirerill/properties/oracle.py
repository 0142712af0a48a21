"""The promises, held against what happened in the world.

The oracle compares what callers were told with what really ran. It knows
nothing of how the decision core works, but for one thing: the core's own books
have to balance, since an error in them shows only much later.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.commands import Stage
    from samphirerill.core.router import Router
    from samphirerill.properties.world import World

_ONCE = ('once', 'notices')


class BrokenPromiseError(AssertionError):
    """A promise was broken."""


def expect(holds: bool, what: str) -> None:  # noqa: FBT001
    """Raise ``BrokenPromiseError`` if something does not hold."""
    if not holds:
        raise BrokenPromiseError(what)


def check_cover(stages: tuple[Stage, ...], layers: int) -> None:
    """A pipeline runs every layer once, in order."""
    covered = [
        layer
        for stage in stages
        for layer in range(stage.first, stage.last + 1)
    ]
    expect(
        covered == list(range(layers)),
        f'layers not each once, in order: {stages}',
    )


def check_world(world: World) -> None:
    """Hold every promise against what has happened so far."""
    for asked in world.asked.values():
        expect(len(asked.ends) <= 1, f'ended twice: {asked}')
        overdue = not asked.ends and world.now > asked.deadline
        expect(asked.left or not overdue, f'outlived its deadline: {asked}')
    for key, runs in world.runs.items():
        is_once = key.split('/')[1] in _ONCE
        expect(not is_once or runs <= 1, f'{key} ran {runs} times')
    for request_id in world.held:
        node = world.asked[request_id].node
        is_open = request_id in world.routers[node].state.requests
        expect(is_open, f'claim of {request_id} forgotten')
    for router in world.routers:
        _check_endpoints(router)
        _check_requests(router)
        _check_phases(router, world)


def _check_endpoints(router: Router) -> None:
    """No endpoint is counted busier than the attempts make it."""
    counted: Counter[str] = Counter()
    for attempt in router.state.attempts.values():
        counted.update(stage.endpoint for stage in attempt.stages)
    for name, found in router.state.endpoints.items():
        expect(
            found.in_flight <= counted[name],
            f'{name} has {found.in_flight}, not {counted[name]}',
        )


def _check_requests(router: Router) -> None:
    """Accounts and queues are counted as the requests make them."""
    state = router.state
    running = Counter(
        req.account
        for req in state.requests.values()
        if req.phase.value != 'queued'
    )
    expect(
        running == state.running_by_account,
        f'{state.running_by_account} run, not {running}',
    )
    waiting = sum(pool.size() for pool in state.pools.values())
    queued = len(state.requests) - running.total()
    expect(waiting == queued, f'{waiting} wait, not {queued}')


def _check_phases(router: Router, world: World) -> None:
    """Every open request waits for something that will come."""
    for req in router.state.requests.values():
        waits = {
            'queued': True,
            'claiming': req.request_id in world.claims,
            'running': req.attempt_id in router.state.attempts,
        }
        expect(waits[req.phase.value], f'waits in vain: {req}')
