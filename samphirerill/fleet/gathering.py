"""Who tells whom of load, when all nodes telling all others is too much.

Within a data centre every node tells every other one. One node of each, the
gatherer, tells a few nodes of each other data centre the sum, and these pass it
on at home. Answers to: 78 nodes on links of 10 Mbit/s, where each telling each
made most of the bytes between data centres, and load was known a second late.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Up to so many other nodes, each tells each: sums would be known later.
MOST_DIRECT = 15
# Nodes of another data centre that get a sum; if one is gone, the next has it.
_RECEIVERS_PER_DATA_CENTRE = 2


def is_direct(others: int) -> bool:
    """Return whether each node tells each other one."""
    return others <= MOST_DIRECT


def choose_gatherer(names: Iterable[str]) -> str:
    """Return who sums up a data centre: the same at all who know the same."""
    return min(names, key=_rank)


def list_receivers(names: Iterable[str]) -> list[str]:
    """Return the nodes of another data centre that a sum is sent to."""
    return sorted(names, key=_rank)[:_RECEIVERS_PER_DATA_CENTRE]


def name_sum(data_centre: str) -> str:
    """Return the name under which a data centre's sum is told."""
    return f'all of {data_centre}'


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
