"""Signs of life: which replicas other streams' events have just come through."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_ids

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.streaming import StreamExchange


def list_unproven(
    streams: Iterable[StreamExchange], stages: Sequence[Stage], since: float
) -> tuple[Stage, ...]:
    """Return the parts of a path that no event has come through lately.

    An event that has just arrived proves that every replica on its path
    works; a stream that is silent among others that are not waits for
    something else, and asking all of its replicas would tell nothing. Asked
    without this, replicas were questioned 3,000 times in half a minute where
    500 times were enough.

    Parameters
    ----------
    streams : iterable of StreamExchange
        Those of this node.
    stages : sequence of Stage
        The path of the silent one.
    since : float
        Events that came later than this prove their path.
    """
    proven: set[str] = set()
    for stream in streams:
        if stream.last_event_at > since:
            proven.update(list_ids(stream.stages))
    return tuple(
        stage for stage in stages if stage.replica.replica_id not in proven
    )
