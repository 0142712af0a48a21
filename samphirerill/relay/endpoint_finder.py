"""Find an endpoint of a plain service, waiting for one if that helps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.endpoints import choose_endpoint, find_backoff_end
from samphirerill.fleet.explain import describe_backoffs, describe_limits
from samphirerill.relay.plain_request import PlainSlot, SlotRejectedError

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.plain_queue import PlainQueue
    from samphirerill.relay.plain_request import PlainRequest
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

# Maximum wait for a connection while all are in use: as long as some responses
# take, but too short to make a request late by itself.
_CONNECTION_WAIT_S = 0.1
_CONNECTION_POLL_S = 0.005
# Upper bounds of the wait for endpoints that asked for a back-off: a time, and a
# share of the time left. A request that would wait longer is rejected, with the
# time after which to retry.
_MAX_BACKOFF_WAIT_S = 1.4
_MAX_BACKOFF_WAIT_SHARE = 0.33
# Requests that waited are sent at random times within this after the back-off.
_RELEASE_SPREAD_S = 0.05


class EndpointFinder:
    """Finds endpoints for one request.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    queue : PlainQueue, optional
        The queue for services whose endpoints report their load.

    Attributes
    ----------
    tried : set of str
        Endpoints that are not tried again.
    rejection : SlotRejectedError, optional
        Why the request got no slot, if it waited for one.
    """

    __slots__ = (
        '_context',
        '_loop',
        '_queue',
        '_request',
        '_slot',
        '_state',
        'rejection',
        'tried',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        queue: PlainQueue | None = None,
    ) -> None:
        self.tried: set[str] = set()
        self._state = state
        self._context = context
        self._loop = asyncio.get_running_loop()
        self.rejection: SlotRejectedError | None = None
        self._queue = queue
        self._request: PlainRequest | None = None
        self._slot: PlainSlot | None = None

    async def wait_for_endpoint(self) -> ReplicaState | None:
        """Return an endpoint, waiting for a connection, room or a back-off's end.

        Where endpoints report their load, a slot is taken until `release_slot`.
        """
        limits = self._state.request_limits
        limits.note_arrival(self._context.service.name)
        try:
            with limits.waiting(self._context.service.name):
                return await self._wait_for_endpoint()
        except SlotRejectedError as exc:
            self.rejection = exc
            return None

    def note_sent(self) -> None:
        """Record that the request is sent: its retries precede new requests."""
        if self._request is not None:
            self._request.note_sent()

    def release_slot(self) -> None:
        """Release the slot, if one was taken, and wake waiting requests."""
        if self._queue is not None and self._slot is not None:
            self._queue.release(self._slot)
        self._slot = None
        self._state.notify_listeners()

    def has_alternative(self, replica_id: str) -> bool:
        """Return whether an endpoint other than this one may be called now.

        One that is suspected may fail too, so it does not count.
        """
        if self._queue is not None and self._queue.is_active():
            return self._queue.has_alternative(
                self._open(self._queue), replica_id
            )
        now = self._loop.time()
        other = choose_endpoint(
            self._state.view,
            self._state.load_tracker,
            self._context.service.name,
            self.tried | {replica_id},
            now,
            self._has_connection,
        )
        return other is not None and other.suspicion.suspected_until <= now

    def find_backoff_end(self) -> float:
        """Return when the first back-off ends; 0 if none has to end."""
        return find_backoff_end(
            self._state.view,
            self._context.service.name,
            self.tried,
            self._loop.time(),
        )

    def describe_backoffs(self) -> str:
        """Return which endpoints back off on request or lack room."""
        states = self._state.view.list_service(self._context.service.name)
        now = self._loop.time()
        obstacles = (
            describe_backoffs(states, now),
            describe_limits(states, now),
        )
        return '; '.join(filter(None, obstacles))

    async def _wait_for_endpoint(self) -> ReplicaState | None:
        now = self._loop.time()
        latest = now + min(
            _MAX_BACKOFF_WAIT_S,
            _MAX_BACKOFF_WAIT_SHARE * (self._context.deadline - now),
        )
        endpoint = await self._wait_for_connection()
        # An endpoint that is back may ask again before this request is sent.
        while endpoint is None and await self._wait_for_backoff(latest):
            endpoint = await self._wait_for_connection()
        return endpoint

    def _open(self, queue: PlainQueue) -> PlainRequest:
        if self._request is None:
            self._request = queue.open(
                self._context, self.tried, self._has_connection
            )
        return self._request

    async def _wait_for_connection(self) -> ReplicaState | None:
        """Return an endpoint, waiting while all slots are in use."""
        queue = self._queue
        if queue is None or not self._state.settings.reported_load:
            return await self._poll_connections()
        if queue.is_active():
            endpoint = await self._acquire_slot(queue)
            if endpoint is not None or queue.is_active():
                return endpoint
        endpoint = await self._poll_connections()
        if endpoint is not None:
            # Responses to counted requests show when endpoints begin to report.
            self._slot = PlainSlot(
                endpoint, self._state.response_notices.loads, self._loop.time()
            )
        return endpoint

    async def _acquire_slot(self, queue: PlainQueue) -> ReplicaState | None:
        """Return an endpoint with a slot; none if none may be used now."""
        while True:
            self._slot = await queue.acquire(self._open(queue))
            if self._slot is None:
                return None
            endpoint = self._slot.endpoint
            # A request that was granted a slot at the same time may have taken
            # the last permit or connection since.
            if endpoint.has_room(self._loop.time()) and self._has_connection(
                endpoint.replica.replica_id
            ):
                return endpoint
            self.release_slot()

    async def _poll_connections(self) -> ReplicaState | None:
        """Return an endpoint, waiting while all connections are in use."""
        until = self._loop.time() + _CONNECTION_WAIT_S
        while True:
            endpoint = self._find_endpoint(self._has_connection)
            if endpoint is not None or self._loop.time() >= until:
                return endpoint
            if self._find_endpoint() is None:
                return None
            await asyncio.sleep(_CONNECTION_POLL_S)

    async def _wait_for_backoff(self, latest: float) -> bool:
        """Wait until the first back-off ends; return false if that is too late."""
        end = self.find_backoff_end()
        if not end or end > latest:
            return False
        delay_s = self._state.random.uniform(0, _RELEASE_SPREAD_S)
        await asyncio.sleep(end + delay_s - self._loop.time())
        return True

    def _find_endpoint(
        self, may_call: Callable[[str], bool] = bool
    ) -> ReplicaState | None:
        """Return an endpoint that may be called; none if there is none.

        By default all may be called: `bool` is true for every replica id.
        """
        return choose_endpoint(
            self._state.view,
            self._state.load_tracker,
            self._context.service.name,
            self.tried,
            self._loop.time(),
            may_call,
        )

    def _has_connection(self, replica_id: str) -> bool:
        max_open = self._state.get_connection_limit(self._context.service)
        return self._state.pool.has_available(replica_id, max_open)
