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
MOST_BLOCKS = 16
MOST_PREFIXES = 20_000
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


class PrefixMap:
    """Engines by prefix; the prefixes longest unused are forgotten first."""

    __slots__ = ('_holders', '_seen')

    def __init__(self) -> None:
        self._holders: OrderedDict[str, set[str]] = OrderedDict()
        self._seen: dict[str, int] = {}

    def last_seen(self, endpoint: str) -> int:
        """Return the number of the last event known of an engine."""
        return self._seen.get(endpoint, 0)

    def take_news(self, endpoint: str, news: CacheNews) -> None:
        """Take events that came after the last ones known."""
        if news.first > self.last_seen(endpoint) + 1:
            self.forget(endpoint)
        if news.last < self.last_seen(endpoint):
            self.forget(endpoint)
        self._seen[endpoint] = news.last
        for digest in news.stored:
            self._holders.setdefault(digest, set()).add(endpoint)
            self._holders.move_to_end(digest)
        for digest in news.evicted:
            self._drop(digest, endpoint)
        while len(self._holders) > MOST_PREFIXES:
            self._holders.popitem(last=False)

    def forget(self, endpoint: str) -> None:
        """Believe nothing of an engine any more."""
        for digest in tuple(self._holders):
            self._drop(digest, endpoint)

    def find_holders(self, prefixes: tuple[str, ...]) -> frozenset[str]:
        """Return who holds the longest of a prompt's prefixes known."""
        for digest in reversed(prefixes):
            holders = self._holders.get(digest)
            if holders:
                self._holders.move_to_end(digest)
                return frozenset(holders)
        return NO_ENDPOINTS

    def size(self) -> int:
        """Return how many prefixes are known."""
        return len(self._holders)

    def _drop(self, digest: str, endpoint: str) -> None:
        holders = self._holders.get(digest)
        if holders is None:
            return
        holders.discard(endpoint)
        if not holders:
            self._holders.pop(digest)


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
    blocks = min(MOST_BLOCKS, len(text) // BLOCK_CHARS)
    for block in range(blocks):
        start = block * BLOCK_CHARS
        chain.update(text[start : start + BLOCK_CHARS].encode())
        digests.append(chain.hexdigest()[:_DIGEST_CHARS])
    return tuple(digests)
