"""Errors of streams that get no path."""

from __future__ import annotations


class NoPathError(Exception):
    """No path will be free in time; retry after `wait_s` seconds."""

    def __init__(self, wait_s: float, reason: str) -> None:
        super().__init__(f'no path in time: {reason}')
        self.wait_s = wait_s


class OutageError(NoPathError):
    """No live replica holds some layers; `wait_s` estimates the recovery."""


class RejectedError(NoPathError):
    """Capacity is not expected in time; `wait_s` is spread over clients."""


class BackOffError(NoPathError):
    """Replicas want no more requests for `wait_s`, and no others have a path."""
