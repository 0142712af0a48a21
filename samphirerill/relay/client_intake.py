"""What bounds the input of all clients of a node together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.read_pacing import ReadPacing
from samphirerill.relay.request_memory import RequestMemory

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.settings import EdgeSettings


class ClientIntake:
    """The memory and the processor time that clients' input takes.

    Parameters
    ----------
    get_settings : callable, optional
        Returns the settings; without it the memory has no limit.

    Attributes
    ----------
    memory : RequestMemory
        What requests hold until they are answered.
    pacing : ReadPacing
        Turns of connections whose input takes long to parse.
    """

    __slots__ = ('memory', 'pacing')

    def __init__(
        self, get_settings: Callable[[], EdgeSettings] | None = None
    ) -> None:
        self.memory = RequestMemory(get_settings)
        self.pacing = ReadPacing()
