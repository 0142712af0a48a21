"""The HTTP request that sends a stream, and the client's stall timeout."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.decoding.bounds import parse_ordinal
from samphirerill.relay.connection import serialize_request
from samphirerill.relay.platform_adapter import Attempt

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, FleetRoute, Stage
    from samphirerill.relay.platform_adapter import RequestMetadata
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

# Clients give up a stream after two seconds without an event, or after four
# times the latency objective of the first event or eight times that between
# events, whichever is longest.
_MIN_STALL_TIMEOUT_S = 2.0
_FIRST_EVENT_FACTOR = 4
_GAP_FACTOR = 8
# Reserved for the first event of a replacement run.
_HANDOVER_MARGIN_S = 0.1


def build_stream_call(
    state: EdgeState,
    context: RequestContext,
    stages: tuple[Stage, ...],
    resume: bytes,
) -> bytes:
    """Return the HTTP request that sends a stream over a path.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    stages : tuple of Stage
        The path.
    resume : bytes
        The last event that this node has passed on; empty for none.
    """
    attempt = Attempt(
        stages[0].replica,
        context.account_name,
        context.deadline - asyncio.get_running_loop().time(),
        context.strips_api_key,
        stages,
        context.priority,
        resume,
    )
    headers = state.adapter.build_headers(context.req, context.facts, attempt)
    return serialize_request(
        context.req.method, context.req.target, headers, context.req.body
    )


def estimate_answer_tokens(engine: EngineSpec, facts: RequestMetadata) -> float:
    """Return how long the answer is expected to be, in tokens."""
    expected = facts.expected_answer_tokens or engine.usual_answer
    return min(facts.max_answer_tokens or expected, expected)


def get_stall_timeout_s(route: FleetRoute) -> float:
    """Return how long a started stream may be without an event, in s."""
    longest = max(
        _MIN_STALL_TIMEOUT_S,
        _FIRST_EVENT_FACTOR * route.target_s,
        _GAP_FACTOR * route.gap_s,
    )
    return longest - _HANDOVER_MARGIN_S


def parse_event_id(text: bytes) -> int:
    """Return the number of the event that a stream resumes after; -1 for none."""
    number = parse_ordinal(text)
    return -1 if number is None else number
