"""Retries of requests: whether one is safe, and the budget of each route."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.budget import RetryBudget

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState, RequestState


def may_retry(req: RequestState) -> bool:
    """Return whether a request may run again after a failed attempt."""
    if req.route.idempotent:
        return True
    return not req.ambiguous_attempts and not req.delivered


def has_retry(state: CoreState, req: RequestState, now: float) -> bool:
    """Return whether `retry_or_refuse` would send a failed request again."""
    limits = state.configuration.limits
    return (
        now < req.deadline
        and may_retry(req)
        and req.failures + 1 < limits.max_attempts
        and (req.holds_retry or _get_budget(state, req).has_retry())
    )


def reserve_retry(state: CoreState, req: RequestState, now: float) -> bool:
    """Reserve a retry that `retry_or_refuse` uses; return whether it is."""
    if not has_retry(state, req, now):
        return False
    req.holds_retry = req.holds_retry or _get_budget(state, req).try_withdraw()
    return req.holds_retry


def withdraw_retry(state: CoreState, req: RequestState) -> bool:
    """Withdraw a retry unless the request has failed too often."""
    if req.failures >= state.configuration.limits.max_attempts:
        return False
    req.has_unspent_retry = (
        req.holds_retry or _get_budget(state, req).try_withdraw()
    )
    req.holds_retry = False
    return req.has_unspent_retry


def deposit_retry(state: CoreState, req: RequestState) -> None:
    """Deposit a first attempt in its route's retry budget."""
    _get_budget(state, req).deposit()


def _get_budget(state: CoreState, req: RequestState) -> RetryBudget:
    limits = state.configuration.limits
    name = req.route.name
    if name not in state.budgets:
        state.budgets[name] = RetryBudget(
            limits.retry_ratio,
            limits.retry_burst,
            limits.retry_burst,
        )
    return state.budgets[name]
