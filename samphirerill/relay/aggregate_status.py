"""Aggregate status datagram for all nodes of a data centre."""

from __future__ import annotations

from operator import add
from typing import TYPE_CHECKING

from samphirerill.fleet.load_aggregation import name_aggregate
from samphirerill.relay.node_status import (
    NodeStatus,
    encode_link_usage,
    encode_suspicions,
)
from samphirerill.relay.room_exchange import merge_rows

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.state import EdgeState


def build_aggregate(
    state: EdgeState, own: NodeStatus, others: Iterable[NodeStatus]
) -> NodeStatus:
    """Return one status datagram that stands for all nodes of a data centre.

    Parameters
    ----------
    state : EdgeState
        State of the aggregating node.
    own : NodeStatus
        Its own status.
    others : iterable of NodeStatus
        The latest status of each other node of the data centre.
    """
    statuses = [own, *others]
    suspicions = encode_suspicions(state, own.data_centre)
    return NodeStatus(
        node=name_aggregate(own.data_centre),
        started=own.started,
        sequence=own.sequence,
        version=own.version,
        revision=own.revision,
        load=_sum_load(statuses),
        suspected=suspicions.suspected,
        link_usage=encode_link_usage(state.link_usage.data_centre_sent),
        data_centre=own.data_centre,
        node_count=len(statuses),
        budget_usage=_sum_budget_usage(statuses),
        suspected_ago_ms=suspicions.suspected_ago_ms,
        room=merge_rows(status.room for status in statuses),
    )


def _sum_budget_usage(
    statuses: Iterable[NodeStatus],
) -> dict[str, tuple[int, int, int]]:
    budget_usage: dict[str, tuple[int, int, int]] = {}
    for status in statuses:
        for service, counts in status.budget_usage.items():
            total = budget_usage.get(service, (0, 0, 0))
            requests, retries, streams = map(add, total, counts)
            budget_usage[service] = (requests, retries, streams)
    return budget_usage


def _sum_load(statuses: Iterable[NodeStatus]) -> dict[int, tuple[int, int]]:
    load: dict[int, tuple[int, int]] = {}
    for status in statuses:
        for key, (count, units) in status.load.items():
            total = load.get(key, (0, 0))
            load[key] = (total[0] + count, total[1] + units)
    return load
