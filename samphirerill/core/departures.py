"""Endpoints that said that they leave, by address.

They say so in all their answers. The process at an address counts as another
one if it answers a probe without saying so after the address was out of sight
(a probe failed, or the configuration did not contain it), or several times in
a row, as a process may restart between two probes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

MAX_DEPARTURES = 4096
_ANSWERS_OF_NEW_PROCESS = 3


@dataclass(slots=True)
class Departure:
    """One departure, and how many silent answers would end it."""

    answers_left: int = _ANSWERS_OF_NEW_PROCESS


class Departures:
    """The departures; beyond `MAX_DEPARTURES` the oldest is dropped."""

    __slots__ = ('_departures',)

    def __init__(self) -> None:
        self._departures: OrderedDict[str, Departure] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of departures."""
        return len(self._departures)

    def is_leaving(self, address: str) -> bool:
        """Return whether the process at an address is leaving."""
        return address in self._departures

    def note(self, address: str) -> bool:
        """Record that a process says it leaves; return whether that is new."""
        is_new = address not in self._departures
        self._departures[address] = Departure()
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        return is_new

    def note_out_of_sight(self, address: str) -> None:
        """Record that the process may have been replaced meanwhile."""
        departure = self._departures.get(address)
        if departure is not None:
            departure.answers_left = 1

    def note_silent_answer(self, address: str) -> bool:
        """Record an answer to a probe; return whether the departure is over.

        One that says that its process leaves is recorded with `note` before.
        """
        departure = self._departures.get(address)
        if departure is None:
            return False
        departure.answers_left -= 1
        if departure.answers_left:
            return False
        self._departures.pop(address)
        return True
