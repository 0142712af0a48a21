"""A plain request that needs a slot of an endpoint, and the slot it gets."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from samphirerill.sharing.model import WorkItem

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from samphirerill.fleet.reported_load import ReportedLoads
    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.shared_service import SharedService

_ONE_SLOT = 1.0
_STARTED_RANK = -1


class SlotRejectedError(Exception):
    """No slot is expected in time; retry after `retry_s` seconds."""

    def __init__(self, retry_s: float, reason: str) -> None:
        super().__init__(f'no slot in time: {reason}')
        self.retry_s = retry_s


@dataclass(slots=True, eq=False)
class PlainRequest:
    """A request as its service's queue sees it.

    `tried` are the endpoints that it must not use, `may_call` returns whether
    an endpoint has a connection for it. `due` is when its response is due,
    `deadline` when it stops waiting. Once it `is_accepted`, it is not rejected
    because of its predicted wait, `predicted_s`. `endpoint_rate` is how many
    requests per second the endpoints serve, 0 if not known. `counts_as_waiting` is whether
    other nodes leave capacity to it.
    """

    item: WorkItem
    shared: SharedService
    tried: set[str]
    may_call: Callable[[str], bool]
    arrived_at: float
    due: float
    deadline: float
    is_accepted: bool = False
    counts_as_waiting: bool = False
    predicted_s: float = 0.0
    endpoint_rate: float = 0.0
    granted: asyncio.Future[PlainSlot | None] | None = None

    def note_sent(self) -> None:
        """Record that it was sent: it precedes requests that were not."""
        self.item = replace(self.item, rank=_STARTED_RANK)

    def note_start(self, now: float) -> None:
        """Record that it takes a slot."""
        shared = self.shared
        if self.item.rank >= 0:
            shared.records.note_admitted(
                self.item,
                self.find_level(now),
                self.predicted_s,
                now - self.arrived_at,
                now,
            )
        self.is_accepted = True
        shared.fleet_room.start(self.item)

    def find_level(self, now: float) -> int:
        """Return its level among the requests of all nodes."""
        return self.shared.fleet_room.find_level(self.item, now)

    def is_granted(self) -> bool:
        """Return whether it waits no more."""
        return self.granted is None or self.granted.done()


class PlainSlot:
    """A slot of an endpoint that one request uses.

    Parameters
    ----------
    endpoint : ReplicaState
        The endpoint.
    loads : ReportedLoads
        Counts the request from now until `release`.
    now : float
        On the loop's clock.
    request : PlainRequest, optional
        The request, if a queue grants the slot.

    Attributes
    ----------
    endpoint : ReplicaState
        As given.
    shared : SharedService, optional
        The service whose capacity the request uses, if a queue granted it.
    """

    __slots__ = ('_item', '_loads', '_replica', '_token', 'endpoint', 'shared')

    def __init__(
        self,
        endpoint: ReplicaState,
        loads: ReportedLoads,
        now: float,
        request: PlainRequest | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.shared = None if request is None else request.shared
        self._item = None if request is None else request.item
        self._loads = loads
        self._replica = endpoint.replica
        self._token = loads.note_sent(endpoint.replica, now)

    def release(self, now: float) -> None:
        """Release the slot; called once."""
        self._loads.note_ended(self._replica, self._token)
        if self.shared is not None and self._item is not None:
            self.shared.fleet_room.finish(self._item, now)


def build_plain_request(
    context: RequestContext,
    shared: SharedService,
    service_s: float,
    tried: set[str],
    may_call: Callable[[str], bool],
) -> PlainRequest:
    """Return a new request; `service_s` is the usual time for one."""
    arrived_at = context.req.arrived_at
    due = min(arrived_at + context.route.target_s, context.deadline)
    return PlainRequest(
        WorkItem(
            max(0, context.priority),
            context.account_name,
            _ONE_SLOT,
            due - service_s,
            context.client_deadline,
        ),
        shared,
        tried,
        may_call,
        arrived_at,
        due,
        context.deadline - service_s,
    )
