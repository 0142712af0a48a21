"""Passive health checks: replicas that have just passed stream events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_replica_ids

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.active_stream import ObservedStream


def list_unconfirmed(
    streams: Iterable[ObservedStream], stages: Sequence[Stage], since: float
) -> tuple[Stage, ...]:
    """Return the stages of a path without a recent event of any stream.

    An event that has just arrived proves that every replica on its path works,
    so that only the others need to be probed.

    Parameters
    ----------
    streams : iterable of ObservedStream
        All streams of this node.
    stages : sequence of Stage
        The path of a stalled stream.
    since : float
        Only later events count.
    """
    live = find_live_replicas(streams, since)
    return tuple(
        stage for stage in stages if stage.replica.replica_id not in live
    )


def find_live_replicas(
    streams: Iterable[ObservedStream], since: float
) -> dict[str, float]:
    """Return when the last event passed each replica, if after a moment.

    Parameters
    ----------
    streams : iterable of ObservedStream
        All streams of this node.
    since : float
        Only later events count.
    """
    last_events: dict[str, float] = {}
    for stream in streams:
        at = stream.last_event_at
        if at > since:
            for name in list_replica_ids(stream.stages):
                last_events[name] = max(at, last_events.get(name, at))
    return last_events
