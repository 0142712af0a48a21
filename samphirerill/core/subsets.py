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

MAX_SUBSET_REPLICAS = 24
LayerRange = tuple[str, int, int]


def group_by_model(
    node: str, endpoints: dict[str, EndpointState]
) -> dict[str, list[EndpointState]]:
    """Return the engines this node uses, by model.

    Every range of layers that is held at all stays held, so a model that the
    fleet covers is covered at every node.
    """
    by_range: dict[LayerRange, list[EndpointState]] = {}
    for replica in endpoints.values():
        endpoint = replica.endpoint
        layer_range = (endpoint.model, endpoint.first, endpoint.last)
        by_range.setdefault(layer_range, []).append(replica)
    grouped: dict[str, list[EndpointState]] = {}
    for layer_range, replicas in by_range.items():
        grouped.setdefault(layer_range[0], []).extend(
            _select_subset(node, replicas)
        )
    return grouped


def _select_subset(
    node: str, replicas: list[EndpointState]
) -> list[EndpointState]:
    if len(replicas) <= MAX_SUBSET_REPLICAS:
        return replicas
    return sorted(
        replicas, key=lambda replica: _compute_rank(node, replica.endpoint.name)
    )[:MAX_SUBSET_REPLICAS]


def _compute_rank(node: str, name: str) -> bytes:
    return sha256(f'{node}/{name}'.encode()).digest()
