"""One stream as a request for the shared capacity of its service."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from samphirerill.relay.queued_request import FIRST_EVENT_S
from samphirerill.sharing.model import WorkItem

if TYPE_CHECKING:
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.shared_service import SharedService

_STARTED_RANK = -1


class StreamShare:
    """The capacity that one stream uses or waits for.

    Parameters
    ----------
    shared : SharedService
        The service.
    context : RequestContext
        The request.
    tokens : float
        The KV-cache size that the stream is expected to need.

    Attributes
    ----------
    shared : SharedService
        As given.
    item : WorkItem
        The stream as long as it has not started.
    started_item : WorkItem
        The stream while it waits for another path after it has started.
    is_accepted : bool
        Whether it has been admitted or queued; it is not rejected later because
        of its predicted wait.
    is_running : bool
        Whether it counts as running. It does so from its first path to its end,
        also between two runs.
    predicted_s : float
        The wait that was predicted when it was queued.
    arrived_at : float
        When the request arrived.
    """

    __slots__ = (
        'arrived_at',
        'is_accepted',
        'is_running',
        'item',
        'predicted_s',
        'shared',
        'started_item',
    )

    def __init__(
        self, shared: SharedService, context: RequestContext, tokens: float
    ) -> None:
        self.shared = shared
        self.arrived_at = context.req.arrived_at
        self.item = WorkItem(
            max(0, context.priority),
            context.account_name,
            tokens,
            self.arrived_at + context.route.target_s - FIRST_EVENT_S,
            context.client_deadline,
            context.request_id,
        )
        self.started_item = replace(self.item, rank=_STARTED_RANK)
        self.is_accepted = False
        self.is_running = False
        self.predicted_s = 0.0
