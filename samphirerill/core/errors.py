"""Errors of the decision core."""

from __future__ import annotations


class CoreError(Exception):
    """Base of all errors that the decision core raises."""


class UnknownEventError(CoreError):
    """An event of a type that no handler is registered for."""

    def __init__(self, event: object) -> None:
        super().__init__(
            f'got an event of type {type(event).__name__}, expected one of '
            'samphirerill.core.events; register a handler for it',
        )
