"""Aggregation of load reports between data centres.

Within a data centre every node reports to every other. In large fleets one node
of each data centre, the aggregator, sends an aggregate to a few nodes of each
other data centre, and these forward it locally. A full mesh of reports would
use most of the bandwidth between data centres and delay them.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Up to this many other nodes all report to each other directly, which is
# faster.
MAX_DIRECT_PEERS = 15
# More than one, so that an aggregate arrives although a receiver is down.
_RECEIVERS_PER_DATA_CENTRE = 2


def is_full_mesh(others: int) -> bool:
    """Return whether all nodes report to each other directly."""
    return others <= MAX_DIRECT_PEERS


def choose_aggregator(names: Iterable[str]) -> str:
    """Return a data centre's aggregator; nodes that know the same names agree."""
    return min(names, key=_rank)


def list_receivers(names: Iterable[str]) -> list[str]:
    """Return the nodes of another data centre that an aggregate is sent to."""
    return sorted(names, key=_rank)[:_RECEIVERS_PER_DATA_CENTRE]


def name_aggregate(data_centre: str) -> str:
    """Return the sender name of a data centre's aggregated reports."""
    return f'all of {data_centre}'


def _rank(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name
