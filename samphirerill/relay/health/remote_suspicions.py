"""Apply other nodes' suspicions, unless this node has newer evidence."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.suspicion import SilenceReport
from samphirerill.relay.health.passive_checks import find_live_replicas

if TYPE_CHECKING:
    from samphirerill.relay.health.alarms import Alarm
    from samphirerill.relay.node_status import NodeStatus
    from samphirerill.relay.state import EdgeState

# An event may have passed the replica this long before it arrived here.
_EVENT_LAG_S = 0.015
# Suspicions of one node that differ by less are the same, sent again.
_REPEAT_TOLERANCE_S = 0.05


def apply_suspicions(state: EdgeState, status: NodeStatus) -> None:
    """Apply the suspicions in a status datagram.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    status : NodeStatus
        Status of another node or data centre.
    """
    for key, (left_ms, votes) in status.suspected.items():
        name = state.replica_names.get(key)
        if name is not None:
            ago_ms = status.suspected_ago_ms.get(key, 0)
            apply_silence_report(
                state,
                name,
                decode_silence_report(status, ago_ms, left_ms, votes),
            )


def decode_silence_report(
    message: Alarm | NodeStatus, ago_ms: int, left_ms: int, votes: int
) -> SilenceReport:
    """Return a silence report from a datagram, in loop time of this node.

    Parameters
    ----------
    message : Alarm or NodeStatus
        The datagram, which names its sender.
    ago_ms : int
        How long ago the replica was found unresponsive.
    left_ms : int
        Time until the suspicion expires.
    votes : int
        Number of nodes that share it.
    """
    now = asyncio.get_running_loop().time()
    return SilenceReport(
        now - ago_ms / MS_PER_S,
        now + left_ms / MS_PER_S,
        votes,
        message.node,
        message.data_centre,
    )


def apply_silence_report(
    state: EdgeState, replica_id: str, silence_report: SilenceReport
) -> bool:
    """Apply another node's suspicion; return whether the replica is now dead.

    Return false if it was dead already.

    Parameters
    ----------
    state : EdgeState
        State of this node; events of its streams outweigh the suspicion.
    replica_id : str
        The suspected replica.
    silence_report : SilenceReport
        The suspicion, as that node reports it.
    """
    now = asyncio.get_running_loop().time()
    replica_state = state.view.replicas.get(replica_id)
    if (
        replica_state is None
        or silence_report.since < replica_state.suspicion.last_alive_at
    ):
        return False
    previous = replica_state.suspicion.reports.get(silence_report.node)
    if (
        previous is None
        or silence_report.since > previous.since + _REPEAT_TOLERANCE_S
    ):
        # Done once for each suspicion: nodes repeat theirs several times a
        # second, and searching all streams each time would be too slow.
        last_event_at = find_live_replicas(
            state.streams, silence_report.since
        ).get(replica_id)
        if last_event_at is not None:
            state.view.note_alive(replica_id, last_event_at - _EVENT_LAG_S)
    return state.view.add_silence_report(
        replica_id,
        silence_report.until,
        now,
        reporter=silence_report.node,
        votes=silence_report.votes,
        since=silence_report.since,
        data_centre=silence_report.data_centre,
    )
