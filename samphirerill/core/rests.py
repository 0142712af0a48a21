"""Endpoints that asked this node for rest, by address.

What answers at an address is one process, whatever the configuration calls it;
a rest therefore outlasts the removal of its endpoint from the configuration.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# An endpoint is never out of use for longer, whatever it asks for.
MAX_REST_S = 60.0
MAX_JITTER_S = 1.0
MAX_RESTS = 4096
_MAX_LOGGED_VALUES = 256


@dataclass(slots=True)
class Rest:
    """One rest; `is_probed` is whether its endpoint was probed meanwhile."""

    until: float
    is_probed: bool = False


class Rests:
    """The rests in force; beyond `MAX_RESTS` the oldest is dropped."""

    __slots__ = ('_logged_values', '_rests')

    def __init__(self) -> None:
        self._rests: OrderedDict[str, Rest] = OrderedDict()
        self._logged_values: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rests, including ended ones."""
        return len(self._rests)

    def extend(self, address: str, until: float) -> bool:
        """Store the end of a rest; return whether it is later than before."""
        rest = self._rests.get(address)
        if rest is None:
            self._rests[address] = Rest(until)
            if len(self._rests) > MAX_RESTS:
                self._rests.popitem(last=False)
            return True
        if until <= rest.until:
            return False
        rest.until = until
        return True

    def get_until(self, address: str, now: float) -> float:
        """Return when the rest at an address ends, or 0 if there is none."""
        rest = self._rests.get(address)
        return 0 if rest is None or rest.until <= now else rest.until

    def try_probe(self, address: str, now: float) -> bool:
        """Return whether an address may be probed: once during a rest."""
        rest = self._rests.get(address)
        if rest is None or rest.until <= now:
            return True
        is_first = not rest.is_probed
        rest.is_probed = True
        return is_first

    def remove(self, address: str) -> None:
        """Remove the rest of a process that has ended, or one that is over."""
        self._rests.pop(address, None)

    def note_ignored_value(self, address: str, received: str) -> bool:
        """Record an invalid value; return whether it is to be logged."""
        logged_key = (address, received)
        is_new = logged_key not in self._logged_values
        self._logged_values[logged_key] = None
        self._logged_values.move_to_end(logged_key)
        if len(self._logged_values) > _MAX_LOGGED_VALUES:
            self._logged_values.popitem(last=False)
        return is_new
