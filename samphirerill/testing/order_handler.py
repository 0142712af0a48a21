"""Placement orders and simulated weight loading of a fake engine."""

from __future__ import annotations

import asyncio
from typing import Any, ClassVar

_OK = 200
_CONFLICT = 409


class OrderHandler:
    """An engine's loaded state and the orders that it accepted.

    With `checks_fencing` it rejects orders with a lower fencing token than the
    highest seen; otherwise it accepts every order. `max_concurrent_loads` is
    the maximum of simultaneous loads over all engines of the process.
    """

    concurrent_loads: ClassVar[int] = 0
    max_concurrent_loads: ClassVar[int] = 0

    def __init__(self, load_s: float = 0.4) -> None:
        self.checks_fencing = True
        self.accepted: list[dict[str, Any]] = []
        self._load_s = load_s
        self._fencing_token = 0
        self._loading = False
        self._state: dict[str, Any] = {
            'version': '',
            'adapters': [],
            'role': '',
        }

    def describe(self) -> dict[str, Any]:
        """Return the engine's status."""
        return {**self._state, 'loading': self._loading}

    def apply(self, order: dict[str, Any]) -> int:
        """Apply an order; return the HTTP status of the response."""
        if self.checks_fencing and order['fence'] < self._fencing_token:
            return _CONFLICT
        self._fencing_token = max(self._fencing_token, order['fence'])
        self.accepted.append(order)
        state = {name: order[name] for name in self._state}
        if state != self._state:
            self._loading = True
            OrderHandler.concurrent_loads += 1
            OrderHandler.max_concurrent_loads = max(
                OrderHandler.max_concurrent_loads, OrderHandler.concurrent_loads
            )
            loop = asyncio.get_running_loop()
            loop.call_later(self._load_s, self._finish_load, state)
        return _OK

    def _finish_load(self, state: dict[str, Any]) -> None:
        self._state = state
        self._loading = False
        OrderHandler.concurrent_loads -= 1
