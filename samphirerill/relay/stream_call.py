"""What a stream is sent as, and how long its client waits for it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.connection import build_call
from samphirerill.relay.dialect import Attempt

if TYPE_CHECKING:
    from samphirerill.fleet.model import FleetRoute, Stage
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

# Clients give a stream up after a gap of two seconds, of four times the objective
# of the first event or eight times that of the gaps, whichever is longest.
_LEAST_GAP_S = 2.0
_TARGETS = 4
_GAPS = 8
# Kept for the first event of whoever takes over.
_MARGIN_S = 0.1


def build_stream_call(
    state: EdgeState, task: Task, stages: tuple[Stage, ...], resume: bytes
) -> bytes:
    """Return the call that sends a stream over a path.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    stages : tuple of Stage
        The path.
    resume : bytes
        The last event that the client has of this node; empty for none.
    """
    attempt = Attempt(
        stages[0].replica,
        task.account_name,
        task.deadline - asyncio.get_running_loop().time(),
        task.hides_key,
        stages,
        task.priority,
        resume,
    )
    headers = state.dialect.build_headers(task.req, task.facts, attempt)
    return build_call(task.req.method, task.req.target, headers, task.req.body)


def get_stall_timeout_s(route: FleetRoute) -> float:
    """Return for how long a stream that has begun may have no event, in s."""
    longest = max(_LEAST_GAP_S, _TARGETS * route.target_s, _GAPS * route.gap_s)
    return longest - _MARGIN_S


def parse_event_id(text: bytes) -> int:
    """Return the number of the event that a client names; -1 for none."""
    return int(text) if text.isdigit() else -1
