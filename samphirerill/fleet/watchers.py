"""Which nodes watch the store, and from whom the others hear.

The store counts every waiting watch and every change that ends one; its rates
grow more slowly than the fleet. A few nodes watch it, the others wait at one of
these in the same way. Answers to: 400 nodes that all must hear of a change.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Any two of these may be gone, or deaf, and a third still brings the news.
_MIN_WATCHERS = 3
# How many nodes wait at one watcher.
_LISTENERS_PER_WATCHER = 16


def list_watchers(names: Iterable[str]) -> list[str]:
    """Return the nodes that watch the store, the same at every node.

    They are drawn by the checksum of their names, so that those of one data
    centre, which are named alike, are not all chosen.
    """
    ranked = sorted(names, key=_rank)
    count = max(_MIN_WATCHERS, len(ranked) // _LISTENERS_PER_WATCHER)
    return ranked[:count]


def choose_watcher(
    own: str, names: Iterable[str], avoid: Collection[str]
) -> str:
    """Return where a node listens; empty if it watches the store itself.

    Parameters
    ----------
    own : str
        The node's name.
    names : iterable of str
        All nodes, with or without this one.
    avoid : collection of str
        Watchers that failed lately.
    """
    if own in list_watchers({own, *names}):
        return ''
    return choose_other(own, names, avoid)


def choose_other(own: str, names: Iterable[str], avoid: Collection[str]) -> str:
    """Return a watcher other than this node; empty if none is left.

    Parameters are those of `choose_watcher`.
    """
    watchers = list_watchers({own, *names})
    candidates = [
        name for name in watchers if name != own and name not in avoid
    ]
    if not candidates:
        return ''
    return candidates[zlib.crc32(own.encode()) % len(candidates)]


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
