"""Which engines hold which prompt prefixes, for placement.

A prefix is named by a digest over the client account and the text up to a
block's end, so two accounts with the same prompt have no digest in common:
neither can be placed by, or learn by timing of, the other's cache.

Engines publish what they store and evict late and with gaps. After a gap
nothing that was known of the engine is believed any more: a wrong guess costs
a prefill, but believing for ever would send an account's work to one engine.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

BLOCK_CHARS = 64
MAX_BLOCKS = 16
MAX_PREFIXES = 20_000
_DIGEST_CHARS = 24
NO_ENDPOINTS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class CacheNews:
    """A stretch of an engine's cache events, numbered without a gap.

    `first` is the number of the first event the engine still has at hand,
    `last` that of the newest.
    """

    first: int
    last: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class PrefixIndex:
    """Engines by prefix; the prefixes longest unused are forgotten first."""

    __slots__ = ('_endpoints', '_last_events')

    def __init__(self) -> None:
        self._endpoints: OrderedDict[str, set[str]] = OrderedDict()
        self._last_events: dict[str, int] = {}

    def last_seen(self, endpoint: str) -> int:
        """Return the number of the last event known of an engine."""
        return self._last_events.get(endpoint, 0)

    def apply_events(self, endpoint: str, events: CacheNews) -> None:
        """Take events that came after the last ones known."""
        if events.first > self.last_seen(endpoint) + 1:
            self.remove_endpoint(endpoint)
        if events.last < self.last_seen(endpoint):
            self.remove_endpoint(endpoint)
        self._last_events[endpoint] = events.last
        for digest in events.stored:
            self._endpoints.setdefault(digest, set()).add(endpoint)
            self._endpoints.move_to_end(digest)
        for digest in events.evicted:
            self._discard(digest, endpoint)
        while len(self._endpoints) > MAX_PREFIXES:
            self._endpoints.popitem(last=False)

    def remove_endpoint(self, endpoint: str) -> None:
        """Believe nothing of an engine any more."""
        for digest in tuple(self._endpoints):
            self._discard(digest, endpoint)

    def find_endpoints(self, prefixes: tuple[str, ...]) -> frozenset[str]:
        """Return who holds the longest of a prompt's prefixes known."""
        for digest in reversed(prefixes):
            endpoints = self._endpoints.get(digest)
            if endpoints:
                self._endpoints.move_to_end(digest)
                return frozenset(endpoints)
        return NO_ENDPOINTS

    def size(self) -> int:
        """Return how many prefixes are known."""
        return len(self._endpoints)

    def _discard(self, digest: str, endpoint: str) -> None:
        endpoints = self._endpoints.get(digest)
        if endpoints is None:
            return
        endpoints.discard(endpoint)
        if not endpoints:
            self._endpoints.pop(digest)


def digest_prefixes(account: str, text: str) -> tuple[str, ...]:
    """Return the digests of a prompt's prefixes, the longest last.

    Parameters
    ----------
    account : str
        The client account; part of every digest.
    text : str
        The prompt. Blocks after the sixteenth are not told apart.
    """
    chain = hashlib.sha256(f'prefix/{account}/'.encode())
    digests = []
    blocks = min(MAX_BLOCKS, len(text) // BLOCK_CHARS)
    for block in range(blocks):
        start = block * BLOCK_CHARS
        chain.update(text[start : start + BLOCK_CHARS].encode())
        digests.append(chain.hexdigest()[:_DIGEST_CHARS])
    return tuple(digests)
