"""Datagrams that nodes send each other about load and failed replicas.

Replicas are identified by the checksum of their id, to keep datagrams small.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import Struct

from samphirerill.decoding.bounds import Count, ExactInt, Name, Ordinal
from samphirerill.fleet.load import ReplicaLoad
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.retry_budget import RetryUsage
from samphirerill.relay.replica_ids import checksum_name
from samphirerill.relay.room_rows import RoomRow

if TYPE_CHECKING:
    from samphirerill.fleet.link_usage import LinkKey
    from samphirerill.fleet.suspicion import SilenceReport
    from samphirerill.relay.replica_ids import ReplicaIdIndex
    from samphirerill.relay.state import EdgeState

_TOKENS_PER_UNIT = 16


class NodeStatus(Struct, array_like=True):
    """Periodic status datagram of a node, or of a whole data centre.

    `started` identifies the process run of the sending node, and `sequence`
    increases with each datagram of that run. `version` and `revision` are the
    sender's configuration version and the store revision of its replicas.

    `load` maps replicas to the sender's running requests there and their
    tokens, in units of 16. `suspected` maps replicas that the sender suspects
    to have failed to the milliseconds until the suspicion expires and its
    votes; `suspected_ago_ms` gives how many milliseconds ago each was found
    unresponsive. `link_usage` holds the milliseconds of transfer over each link
    between data centres since the node started. `budget_usage` maps services to
    requests and retries in the window of their retry budget, and to running
    streams. `room` holds the running and waiting requests of each service whose
    capacity is shared.

    An aggregate of all nodes of a data centre has the same form, with their
    number in `node_count`.
    """

    node: Name
    started: Ordinal
    sequence: Ordinal
    version: Ordinal
    revision: Ordinal
    load: dict[int, tuple[ExactInt, ExactInt]]
    suspected: dict[int, tuple[ExactInt, ExactInt]]
    link_usage: list[tuple[Name, Name, ExactInt]]
    data_centre: Name = ''
    node_count: Count = 1
    budget_usage: dict[str, tuple[ExactInt, ExactInt, ExactInt]] = {}
    suspected_ago_ms: dict[int, ExactInt] = {}
    room: dict[str, RoomRow] = {}


class EncodedSuspicions:
    """Suspicions of replica failures in the form of `NodeStatus`."""

    __slots__ = ('suspected', 'suspected_ago_ms')

    def __init__(self) -> None:
        self.suspected: dict[int, tuple[int, int]] = {}
        self.suspected_ago_ms: dict[int, int] = {}


def encode_suspicions(
    state: EdgeState, data_centre: str = ''
) -> EncodedSuspicions:
    """Return the suspicions of this node that have not expired.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    data_centre : str
        If given, suspicions reported by other nodes of this data centre are
        included. They keep the time at which they arose, so that a forwarded
        suspicion does not look like a new one.
    """
    now = asyncio.get_running_loop().time()
    encoded = EncodedSuspicions()
    for replica_id, found in state.view.replicas.items():
        suspicions = [
            suspicion
            for suspicion in found.suspicion.reports.values()
            if suspicion.until > now
            and _is_from_data_centre(suspicion, data_centre)
        ]
        if suspicions:
            key = checksum_name(replica_id)
            until = max(suspicion.until for suspicion in suspicions)
            votes = sum(suspicion.votes for suspicion in suspicions)
            since = max(suspicion.since for suspicion in suspicions)
            encoded.suspected[key] = (int((until - now) * MS_PER_S), votes)
            encoded.suspected_ago_ms[key] = max(
                0, int((now - since) * MS_PER_S)
            )
    return encoded


def _is_from_data_centre(suspicion: SilenceReport, data_centre: str) -> bool:
    return suspicion.is_own or (
        bool(data_centre) and suspicion.data_centre == data_centre
    )


def build_node_status(
    state: EdgeState, sequence: int, now: float
) -> NodeStatus:
    """Return the status datagram of this node."""
    load = {
        checksum_name(replica_id): (
            entry.requests,
            int(entry.tokens) // _TOKENS_PER_UNIT,
        )
        for replica_id, entry in state.load_tracker.get_own_load().items()
    }
    suspicions = encode_suspicions(state)
    return NodeStatus(
        node=state.settings.name,
        started=state.incarnation,
        sequence=sequence,
        version=state.version,
        revision=state.view.revision,
        load=load,
        suspected=suspicions.suspected,
        link_usage=encode_link_usage(state.link_usage.own_sent),
        data_centre=state.settings.data_centre,
        budget_usage=_encode_budget_usage(state, now),
        suspected_ago_ms=suspicions.suspected_ago_ms,
        room=state.rooms.build_rows(now),
    )


def _encode_budget_usage(
    state: EdgeState, now: float
) -> dict[str, tuple[int, int, int]]:
    budget_usage = {}
    for service, budget in state.retry_budgets.items():
        usage = budget.get_usage(now)
        budget_usage[service] = (
            usage.requests,
            usage.retries,
            usage.active_streams,
        )
    return budget_usage


def encode_link_usage(sent: dict[LinkKey, float]) -> list[tuple[str, str, int]]:
    """Return the transfer time over each link between data centres."""
    link_usage = []
    for link, sent_ms in sent.items():
        one, other = sorted(link)
        link_usage.append((one, other, int(sent_ms)))
    return link_usage


def apply_node_status(state: EdgeState, status: NodeStatus, now: float) -> None:
    """Apply another node's status to the state of this node."""
    state.load_tracker.update_peer(
        status.node,
        _decode_load(state.replica_names, status),
        now,
        status.node_count,
    )
    state.rooms.apply(status.node, status.room, now)
    _apply_link_usage(state, status, now)
    for service, counts in status.budget_usage.items():
        budget = state.get_retry_budget(service)
        usage = RetryUsage(*counts, nodes=status.node_count)
        budget.peers.update(status.node, usage, now)


def _apply_link_usage(state: EdgeState, status: NodeStatus, now: float) -> None:
    node_run = f'{status.node}/{status.started}'
    is_near = status.data_centre == state.settings.data_centre
    for one, other, sent_ms in status.link_usage:
        link = frozenset((one, other))
        state.link_usage.update_peer(
            node_run, link, sent_ms, now, is_near=is_near
        )


def _decode_load(
    replica_ids: ReplicaIdIndex, status: NodeStatus
) -> dict[str, ReplicaLoad]:
    load = {}
    for key, (count, units) in status.load.items():
        replica_id = replica_ids.get(key)
        if replica_id is not None:
            load[replica_id] = ReplicaLoad(count, units * _TOKENS_PER_UNIT)
    return load
