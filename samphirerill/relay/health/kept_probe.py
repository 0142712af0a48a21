"""A probe on an idle connection, sent before those on new connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.health.probe_timeouts import ProbeDeadline
from samphirerill.relay.health.probing import Verdict, probe_kept

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.health.probe_timeouts import ProbeLatencies
    from samphirerill.relay.health.probing import Probe
    from samphirerill.relay.state import EdgeState

# Ends a probe whose caller is blocked; it is cancelled before.
_MAX_S = 1.0


class KeptProbe:
    """A probe of a replica on an idle connection, if there is one.

    Only an answer counts: the connection may have fallen silent while new ones
    work, and its end is not that of the replica.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    replica : Replica
        The replica to probe.
    latencies : ProbeLatencies
        Latency of earlier probes; updated with this one.
    is_dead : bool
        Whether the replica counts as dead. It then has to answer on a new
        connection, as requests may need one.

    Attributes
    ----------
    sent_at : float
        When the probe was sent, on the loop's clock.
    tasks : set of Task
        The running probe; empty if there is none.
    """

    __slots__ = ('_latencies', '_loop', 'sent_at', 'tasks')

    def __init__(
        self,
        state: EdgeState,
        replica: Replica,
        latencies: ProbeLatencies,
        *,
        is_dead: bool,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._latencies = latencies
        self.sent_at = self._loop.time()
        self.tasks: set[asyncio.Task[Probe]] = set()
        if not is_dead and state.pool.has_idle(replica.replica_id):
            work = probe_kept(state, replica, self.sent_at + _MAX_S)
            self.tasks.add(self._loop.create_task(work))

    async def wait(self) -> Probe | None:
        """Return the answer if it comes before a probe would be repeated."""
        if not self.tasks:
            return None
        deadline = ProbeDeadline(self._latencies)
        await deadline.wait_for_retry(self.tasks)
        probe = self.find_answer()
        if probe is not None:
            self.note_latency()
        return probe

    def find_answer(self) -> Probe | None:
        """Return the answer, if it has come."""
        for task in self.tasks:
            if task.done() and not _is_unanswered(task.result()):
                return task.result()
        return None

    def note_latency(self) -> None:
        """Record the latency of the answer, which has just come."""
        self._latencies.note_slower(self._loop.time() - self.sent_at)

    def cancel(self) -> None:
        """Close the connection unless the answer has come."""
        for task in self.tasks:
            task.cancel()


def _is_unanswered(probe: Probe) -> bool:
    return probe.verdict is Verdict.UNRESPONSIVE
