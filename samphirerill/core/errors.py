"""Errors of the decision core."""

from __future__ import annotations


class CoreError(Exception):
    """Base of all errors raised by the decision core."""


class UnknownEventError(CoreError):
    """No handler is registered for the type of an event."""

    def __init__(self, event: object) -> None:
        super().__init__(
            f'got an event of type {type(event).__name__}, expected one of '
            'samphirerill.core.events; register a handler for it',
        )
