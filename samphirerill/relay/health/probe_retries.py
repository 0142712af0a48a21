"""Probe a replica several times, as packets may be lost."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.relay.health.kept_probe import KeptProbe
from samphirerill.relay.health.probe_timeouts import (
    MIN_TIMEOUT_S,
    ProbeDeadline,
)
from samphirerill.relay.health.probing import Probe, Verdict, probe_once

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.health.probe_timeouts import ProbeLatencies
    from samphirerill.relay.endpoint_dialer import Connect
    from samphirerill.relay.state import EdgeState

# Ends a round even if the event loop lags.
_MAX_ROUND_S = 0.4
_MAX_ROUNDS = 3
# Time for other nodes to connect; some may be partitioned themselves.
_CONFIRM_TIMEOUT_S = 0.3


async def probe_with_retries(
    state: EdgeState,
    replica: Replica,
    latencies: ProbeLatencies,
    max_probes: int,
) -> Probe:
    """Return the first answer, or that the replica is unresponsive.

    A round during which the event loop lagged for as long as answers take is
    repeated, as answers could not be received for most of it.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    replica : Replica
        The replica to probe.
    latencies : ProbeLatencies
        Latency of earlier probes; updated with this one.
    max_probes : int
        Probes on new connections per round; 1 for a dead replica.
    """
    is_dead = max_probes == 1
    kept = KeptProbe(state, replica, latencies, is_dead=is_dead)
    try:
        probe = await kept.wait()
        if probe is not None:
            return await _conclude(state, replica, probe, kept.sent_at)
        return await _probe_in_rounds(
            state, replica, latencies, max_probes, kept
        )
    finally:
        kept.cancel()


async def _probe_in_rounds(
    state: EdgeState,
    replica: Replica,
    latencies: ProbeLatencies,
    max_probes: int,
    kept: KeptProbe,
) -> Probe:
    """Probe on new connections, and wait for the answer on a kept one too."""
    loop = asyncio.get_running_loop()
    rounds = 0
    has_lagged = True
    while has_lagged and rounds < _MAX_ROUNDS:
        rounds += 1
        sent_at = loop.time()
        deadline = ProbeDeadline(latencies)
        probe = await _run_round(
            state, replica, deadline, max_probes, kept.tasks
        )
        if probe is not None:
            if probe is kept.find_answer():
                kept.note_latency()
            else:
                latencies.note(deadline.get_elapsed_s())
            return await _conclude(state, replica, probe, sent_at)
        has_lagged = deadline.lag_s >= MIN_TIMEOUT_S
    return Probe(loop.time(), Verdict.UNRESPONSIVE, sent_at=sent_at)


async def _conclude(
    state: EdgeState, replica: Replica, probe: Probe, sent_at: float
) -> Probe:
    """Return the result of an answered probe, confirmed if it is a failure."""
    if probe.verdict is not Verdict.ALIVE:
        probe = await _confirm_failure(state, replica, probe)
    probe.sent_at = sent_at
    return probe


async def _run_round(
    state: EdgeState,
    replica: Replica,
    deadline: ProbeDeadline,
    max_probes: int,
    kept_tasks: set[asyncio.Task[Probe]],
) -> Probe | None:
    """Return the first answer; none if none arrives in time."""
    loop = asyncio.get_running_loop()
    round_end = loop.time() + _MAX_ROUND_S
    probes: set[asyncio.Task[Probe]] = set()
    probe: Probe | None = None
    while probe is None and len(probes) < max_probes:
        connect = _choose_connect(state, replica, len(probes))
        probes.add(
            loop.create_task(probe_once(state, replica, round_end, connect))
        )
        await deadline.wait_for_retry(probes | kept_tasks)
        probe = _find_answered(probes | kept_tasks)
    while probe is None and await deadline.wait_until_deadline(
        probes | kept_tasks
    ):
        probe = _find_answered(probes | kept_tasks)
    for task in probes:
        task.cancel()
    return probe


def _choose_connect(state: EdgeState, replica: Replica, sent: int) -> Connect:
    """Return how to connect for the next probe, after some were sent.

    The second one may go through another node: if only this node's path to the
    replica is broken, the replica is not dead.
    """
    dialer = state.pool.dialer
    if dialer.paths.needs_tunnel(replica.address):
        return dialer.connect
    if sent == 1 and dialer.verifier.may_probe_through_peer():
        return partial(_connect_through_peer, state)
    return dialer.connect_directly


async def _connect_through_peer(
    state: EdgeState, address: str, deadline: float
) -> HttpConnection:
    """Connect through another node, and check the direct path after that."""
    dialer = state.pool.dialer
    conn = await dialer.connect_through_peer(address, deadline)
    dialer.verifier.verify_path(address)
    return conn


async def _confirm_failure(
    state: EdgeState, replica: Replica, failed: Probe
) -> Probe:
    """Let another node confirm a refused connection.

    Links may refuse connections, too, to all replicas at once. A connection
    that broke off proves nothing yet, so that nothing has to wait.
    """
    dialer = state.pool.dialer
    if not dialer.can_tunnel() or dialer.paths.needs_tunnel(replica.address):
        return failed
    if failed.verdict is Verdict.INCONCLUSIVE:
        dialer.verifier.verify_broken_path(replica.address)
        return failed
    now = asyncio.get_running_loop().time()
    deadline = now + _CONFIRM_TIMEOUT_S
    probe = await probe_once(
        state, replica, deadline, dialer.connect_through_peer
    )
    if probe.verdict is Verdict.ALIVE:
        dialer.paths.note_lost(replica.address)
        return probe
    # If no other node helps in time, the own links must prove to work.
    failed.is_confirmed = (
        probe.verdict is Verdict.TERMINATED
        or await dialer.verifier.reaches_another(replica.address, now)
    )
    return failed


def _find_answered(probes: Iterable[asyncio.Task[Probe]]) -> Probe | None:
    """Return the first probe that was answered, if any."""
    for task in probes:
        if task.done() and task.result().verdict is not Verdict.UNRESPONSIVE:
            return task.result()
    return None
