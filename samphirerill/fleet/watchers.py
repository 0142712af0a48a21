"""Choose the nodes that watch the store for all others.

The store's load grows with the number of watches and with the changes that
complete them. Only a few nodes watch it, so that its load grows more slowly
than the fleet; the others long-poll one of these.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

# Changes still arrive if any two watchers fail.
_MIN_WATCHERS = 3
# How many nodes wait at one watcher.
_LISTENERS_PER_WATCHER = 16


def list_watchers(names: Iterable[str]) -> list[str]:
    """Return the nodes that watch the store; all nodes choose the same.

    They are ordered by the checksum of their names, because nodes of one data
    centre have similar names and should not all be chosen.
    """
    ranked = sorted(names, key=_rank)
    count = max(_MIN_WATCHERS, len(ranked) // _LISTENERS_PER_WATCHER)
    return ranked[:count]


def choose_watcher(
    own: str, names: Iterable[str], avoid: Collection[str]
) -> str:
    """Return the watcher that a node listens to; empty if it is one itself.

    Parameters
    ----------
    own : str
        The node's name.
    names : iterable of str
        All nodes, with or without this one.
    avoid : collection of str
        Watchers that failed recently.
    """
    if own in list_watchers({own, *names}):
        return ''
    return choose_other_watcher(own, names, avoid)


def choose_other_watcher(
    own: str, names: Iterable[str], avoid: Collection[str]
) -> str:
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
