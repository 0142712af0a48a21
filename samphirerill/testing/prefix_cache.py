"""Prompt-prefix cache of a fake engine, with a bounded log of its events."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any

_MAX_EVENTS = 64


@dataclass(slots=True)
class _Event:
    """A numbered cache event; `stored` is false for an eviction."""

    number: int
    digest: str
    stored: bool


class PrefixCache:
    """An LRU cache of prefix digests that keeps its latest events.

    Parameters
    ----------
    capacity : int
        Maximum number of prefixes.
    """

    def __init__(self, capacity: int = 256) -> None:
        self._capacity = capacity
        self._cached: OrderedDict[str, bool] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=_MAX_EVENTS)
        self._last_number = 0

    def use(self, extension: dict[str, Any]) -> bool:
        """Store a request's prefixes; return whether the longest was cached.

        `extension` is the ``samphirerill`` object of the request's body.
        """
        prefixes: list[str] = extension.get('prefixes') or []
        hit = bool(prefixes) and prefixes[-1] in self._cached
        for digest in prefixes:
            if digest not in self._cached:
                self._log_event('stored', digest)
            self._cached[digest] = True
            self._cached.move_to_end(digest)
        while len(self._cached) > self._capacity:
            oldest = next(iter(self._cached))
            self._cached.pop(oldest)
            self._log_event('evicted', oldest)
        return hit

    def list_events(self, after: int) -> dict[str, Any]:
        """Return the events after a number that are still in the log.

        `first` shows whether older events are missing.
        """
        kept = [event for event in self._events if event.number > after]
        first = kept[0].number if kept else self._last_number + 1
        return {
            'first': first,
            'last': self._last_number,
            'stored': [event.digest for event in kept if event.stored],
            'evicted': [event.digest for event in kept if not event.stored],
        }

    def _log_event(self, kind: str, digest: str) -> None:
        self._last_number += 1
        self._events.append(_Event(self._last_number, digest, kind == 'stored'))
