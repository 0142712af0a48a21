"""Send orders to engines: hold other layers, move a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('orders')
# An engine answers an order at once; what it begins takes longer.
_ORDER_TIMEOUT_S = 0.5
ACCEPTED = frozenset((200, 202))
# Orders to move a stream are no orders of the commander's.
_NO_TOKEN = 0
_MOST_SHOWN = 80


async def send_order(state: EdgeState, replica: Replica, order: bytes) -> int:
    """Send one order; return the status, 0 if no answer came.

    An order without an answer may still be carried out, even seconds later.
    """
    deadline = asyncio.get_running_loop().time() + _ORDER_TIMEOUT_S
    path = state.dialect.order_path
    state.counters['orders'] += 1
    try:
        status, body = await call_once(
            replica.address, b'POST', path, order, deadline
        )
    except EndpointError as exc:
        _LOG.warning(
            'order not answered',
            extra={'replica': replica.replica_id, 'reason': str(exc)},
        )
        return 0
    if status not in ACCEPTED:
        _LOG.warning(
            'order refused',
            extra={
                'replica': replica.replica_id,
                'status': status,
                'answer': body[:_MOST_SHOWN].decode('latin-1'),
            },
        )
    return status


async def order_repath(
    state: EdgeState, request_id: bytes, stages: tuple[Stage, ...]
) -> bool:
    """Order the first replica to move a stream; return whether it does."""
    order = state.dialect.encode_repath(request_id, stages, _NO_TOKEN)
    return await send_order(state, stages[0].replica, order) in ACCEPTED
