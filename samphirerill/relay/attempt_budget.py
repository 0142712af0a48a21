"""Accounting of one request's attempts against the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState


class AttemptBudget:
    """Reserves the attempts of one request in the service's retry budget.

    A retry that was reserved but not sent is refunded. Otherwise a group of
    failed replicas that refuse connections would use up the retries that the
    next failure needs.

    Parameters
    ----------
    state : EdgeState
        Retry budgets and the number of nodes.
    context : RequestContext
        The request.
    """

    __slots__ = ('_holds_retry', '_is_counted', '_state', '_context')

    def __init__(self, state: EdgeState, context: RequestContext) -> None:
        self._state = state
        self._context = context
        self._is_counted = False
        self._holds_retry = False

    def reserve(
        self, now: float, attempts: int, *, is_urgent: bool = False
    ) -> bool:
        """Count a first attempt or reserve a retry.

        Parameters
        ----------
        now : float
            On the loop's clock.
        attempts : int
            How many attempts have reached a replica.
        is_urgent : bool
            Whether the response has started, or a run broke off.

        Returns
        -------
        bool
            Whether the attempt is allowed.
        """
        budget = self._state.get_retry_budget(self._context.service.name)
        self._holds_retry = False
        if attempts:
            node_count = self._state.count_nodes()
            self._holds_retry = budget.try_spend(
                now, node_count, is_urgent=is_urgent
            )
            return self._holds_retry
        if not self._is_counted:
            # Counted once: counting each refused connection would inflate the
            # share of this node.
            budget.note_request(now)
        self._is_counted = True
        return True

    def refund(self) -> None:
        """Refund a reserved retry for which nothing was sent."""
        if self._holds_retry:
            self._holds_retry = False
            self._state.get_retry_budget(self._context.service.name).refund()
