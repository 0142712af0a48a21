"""Which replicas a node uses, so that its work does not grow with the fleet.

Of each range of layers a node uses at most ``SUBSET`` replicas, chosen by
rendezvous hashing of its own name with theirs. Names of nodes are random at each
start, so the fleet's choices spread evenly; when a replica comes or goes, only
the nodes that chose it, or now do, change theirs.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.state import EndpointState

SUBSET = 24
Place = tuple[str, int, int]


def group_by_model(
    node: str, endpoints: dict[str, EndpointState]
) -> dict[str, list[EndpointState]]:
    """Return the engines this node uses, by model.

    Every range of layers that is held at all stays held, so a model that the
    fleet covers is covered at every node.
    """
    by_range: dict[Place, list[EndpointState]] = {}
    for replica in endpoints.values():
        held = replica.endpoint
        place = (held.model, held.first, held.last)
        by_range.setdefault(place, []).append(replica)
    grouped: dict[str, list[EndpointState]] = {}
    for place, replicas in by_range.items():
        grouped.setdefault(place[0], []).extend(_choose(node, replicas))
    return grouped


def _choose(node: str, replicas: list[EndpointState]) -> list[EndpointState]:
    if len(replicas) <= SUBSET:
        return replicas
    return sorted(
        replicas, key=lambda replica: _rank(node, replica.endpoint.name)
    )[:SUBSET]


def _rank(node: str, name: str) -> bytes:
    return sha256(f'{node}/{name}'.encode()).digest()
