"""What bounds the memory and the time that all clients of a node take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.read_pacing import ReadPacing
from samphirerill.relay.request_memory import RequestMemory
from samphirerill.relay.response_memory import ResponseMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.request import Request

# How long a body may take whose client names no deadline.
MAX_BODY_TIME_S = 120.0


class ClientIntake:
    """The memory and the processor time that clients take.

    Parameters
    ----------
    get_settings : callable, optional
        Returns the settings; without it the memory has no limit.
    responses : ResponseMemory, optional
        What responses hold that clients have not read, with those of endpoints.
    get_body_time_s : callable, optional
        Returns how long the client of a request may take to send its body, in
        seconds.

    Attributes
    ----------
    memory : RequestMemory
        What requests hold until they are answered.
    responses : ResponseMemory
        What responses hold until clients have read them.
    pacing : ReadPacing
        Turns of connections whose input takes long to parse.
    get_body_time_s : callable
        The parameter, or the longest time for each request.
    """

    __slots__ = ('get_body_time_s', 'memory', 'pacing', 'responses')

    def __init__(
        self,
        get_settings: Callable[[], EdgeSettings] | None = None,
        responses: ResponseMemory | None = None,
        get_body_time_s: Callable[[Request], float] | None = None,
    ) -> None:
        self.get_body_time_s = get_body_time_s or _get_max_body_time_s
        self.memory = RequestMemory(get_settings)
        self.responses = responses or ResponseMemory()
        self.pacing = ReadPacing()


def _get_max_body_time_s(_: Request) -> float:
    return MAX_BODY_TIME_S
