"""Send orders to engines: load other layers, or reroute a stream.

"Order" is the platform's name for a control call to an engine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.endpoint_calls import build_call, call_kept, call_new
from samphirerill.relay.errors import EndpointError

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('orders')
# An engine acknowledges an order immediately and carries it out afterwards.
_ORDER_TIMEOUT_S = 0.5
ACCEPTED_STATUSES = frozenset((200, 202))
# Rerouting a stream does not require leadership, so it has no fencing token.
_NO_FENCING_TOKEN = 0
_MAX_LOGGED_BYTES = 80


async def send_order(state: EdgeState, replica: Replica, order: bytes) -> int:
    """Send one order; return the HTTP status, 0 if no answer came.

    An unanswered order may still be carried out, even seconds later.
    """
    deadline = asyncio.get_running_loop().time() + _ORDER_TIMEOUT_S
    request = build_call(replica, b'POST', state.adapter.order_path, order)
    connect = state.pool.dialer.connect
    state.counters['orders'] += 1
    try:
        # The report that precedes an order to load layers has just come on it.
        response = await call_kept(
            state, replica, request, deadline, proven=True
        )
        if response is None:
            response = await call_new(
                state, replica, request, deadline, connect
            )
    except EndpointError as exc:
        _LOG.warning(
            'engine did not answer an order',
            extra={'replica': replica.replica_id, 'reason': str(exc)},
        )
        return 0
    status, body = response
    if status not in ACCEPTED_STATUSES:
        _LOG.warning(
            'engine rejected an order',
            extra={
                'replica': replica.replica_id,
                'status': status,
                'answer': body[:_MAX_LOGGED_BYTES].decode('latin-1'),
            },
        )
    return status


async def request_reroute(
    state: EdgeState, request_id: bytes, stages: tuple[Stage, ...]
) -> bool:
    """Order the first replica of a path to reroute a stream.

    Parameters
    ----------
    state : EdgeState
        Connections and the platform's protocol.
    request_id : bytes
        The request that the stream answers.
    stages : tuple of Stage
        The new path; its first stage stays on the same replica.

    Returns
    -------
    bool
        Whether the engine accepted the order.
    """
    order = state.adapter.encode_reroute_order(
        request_id, stages, _NO_FENCING_TOKEN
    )
    return (
        await send_order(state, stages[0].replica, order) in ACCEPTED_STATUSES
    )
