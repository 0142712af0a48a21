"""The prompt-prefix cache of an engine stand-in, and its late, gappy news."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

_KEPT_EVENTS = 64


@dataclass(slots=True)
class _Event:
    """One numbered event; `stored` is false for an eviction."""

    number: int
    digest: str
    stored: bool


class PrefixCache:
    """A few prefixes in limited memory, and the events it can still tell.

    Parameters
    ----------
    most : int
        How many prefixes fit.
    """

    def __init__(self, most: int = 256) -> None:
        self._most = most
        self._held: OrderedDict[str, bool] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=_KEPT_EVENTS)
        self._last = 0

    def use(self, plan: dict[str, Any]) -> bool:
        """Serve a request's prefixes; return whether its longest was held."""
        prefixes: list[str] = plan.get('prefixes') or []
        hit = bool(prefixes) and prefixes[-1] in self._held
        for digest in prefixes:
            if digest not in self._held:
                self._note('stored', digest)
            self._held[digest] = True
            self._held.move_to_end(digest)
        while len(self._held) > self._most:
            oldest = next(iter(self._held))
            self._held.pop(oldest)
            self._note('evicted', oldest)
        return hit

    def tell(self, after: int) -> dict[str, Any]:
        """Return the events after a number, as far as they are kept."""
        kept = [event for event in self._events if event.number > after]
        first = kept[0].number if kept else self._last + 1
        return {
            'first': first,
            'last': self._last,
            'stored': [event.digest for event in kept if event.stored],
            'evicted': [event.digest for event in kept if not event.stored],
        }

    def _note(self, kind: str, digest: str) -> None:
        self._last += 1
        self._events.append(_Event(self._last, digest, kind == 'stored'))
