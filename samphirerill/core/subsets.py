"""Subsetting: which replicas a node uses, whatever the fleet's size.

For each range of layers a node uses at most ``MAX_SUBSET_REPLICAS`` replicas,
chosen by rendezvous hashing of its own name with theirs. Node names are random
at each start, so the load of the fleet spreads evenly. When a replica is added
or removed, only the nodes that use it change their subset.
"""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.state import EndpointState

MAX_SUBSET_REPLICAS = 24
GroupKey = tuple[str, int, int]


def group_by_model(
    node: str, endpoints: dict[str, EndpointState]
) -> dict[str, list[EndpointState]]:
    """Return the replicas that this node uses, by model.

    At least one replica is kept for each range of layers, so every node can
    build a pipeline for each model that the fleet covers.
    """
    groups: dict[GroupKey, list[EndpointState]] = {}
    for replica in endpoints.values():
        endpoint = replica.endpoint
        group_key = (endpoint.model, endpoint.first, endpoint.last)
        groups.setdefault(group_key, []).append(replica)
    grouped: dict[str, list[EndpointState]] = {}
    for group_key, replicas in groups.items():
        grouped.setdefault(group_key[0], []).extend(
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
