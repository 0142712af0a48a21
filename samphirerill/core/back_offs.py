"""Endpoints that asked this node for a back-off, by address.

What answers at an address is one process, whatever the configuration calls it;
a back-off therefore outlasts the removal of its endpoint from the configuration.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# An endpoint is never out of use for longer, whatever it asks for.
MAX_BACK_OFF_S = 60.0
MAX_JITTER_S = 1.0
MAX_BACK_OFFS = 4096
_MAX_LOGGED_VALUES = 256


@dataclass(slots=True)
class BackOff:
    """One back-off; `is_probed` is whether its endpoint was probed meanwhile."""

    until: float
    is_probed: bool = False


class BackOffs:
    """The back-offs in force; beyond `MAX_BACK_OFFS` the oldest is dropped."""

    __slots__ = ('_logged_values', '_back_offs')

    def __init__(self) -> None:
        self._back_offs: OrderedDict[str, BackOff] = OrderedDict()
        self._logged_values: OrderedDict[tuple[str, str], None] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of back-offs, including ended ones."""
        return len(self._back_offs)

    def extend(self, address: str, until: float) -> bool:
        """Store the end of a back-off; return whether it is later than before."""
        back_off = self._back_offs.get(address)
        if back_off is None:
            self._back_offs[address] = BackOff(until)
            if len(self._back_offs) > MAX_BACK_OFFS:
                self._back_offs.popitem(last=False)
            return True
        if until <= back_off.until:
            return False
        back_off.until = until
        return True

    def get_until(self, address: str, now: float) -> float:
        """Return when the back-off at an address ends, or 0 if there is none."""
        back_off = self._back_offs.get(address)
        return (
            0 if back_off is None or back_off.until <= now else back_off.until
        )

    def try_probe(self, address: str, now: float) -> bool:
        """Return whether an address may be probed: once during a back-off."""
        back_off = self._back_offs.get(address)
        if back_off is None or back_off.until <= now:
            return True
        is_first = not back_off.is_probed
        back_off.is_probed = True
        return is_first

    def remove(self, address: str) -> None:
        """Remove the back-off of a process that has ended, or one that is over."""
        self._back_offs.pop(address, None)

    def note_ignored_value(self, address: str, received: str) -> bool:
        """Record an invalid value; return whether it is to be logged."""
        logged_key = (address, received)
        is_new = logged_key not in self._logged_values
        self._logged_values[logged_key] = None
        self._logged_values.move_to_end(logged_key)
        if len(self._logged_values) > _MAX_LOGGED_VALUES:
            self._logged_values.popitem(last=False)
        return is_new
