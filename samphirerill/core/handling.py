"""The generic function through which events change the decision core."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from samphirerill.core.errors import UnknownEventError

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState


@singledispatch
def handle(event: object, state: CoreState, now: float) -> None:
    """Apply one event to the state and emit the resulting commands.

    Parameters
    ----------
    event : object
        One of the classes of :mod:`samphirerill.core.events`.
    state : CoreState
        The state to change; commands are added with ``state.emit``.
    now : float
        Seconds on the node's monotonic clock.

    Raises
    ------
    UnknownEventError
        No handler is registered for the event's type.
    """
    raise UnknownEventError(event)
