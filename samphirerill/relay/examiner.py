"""Find out why a stream is silent: ask the replica that it was sent to.

The first replica of a path lists the requests that wait and for whom. If it
does not answer either, it is the one that is gone.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.dialect import ReplicaReport
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
_OK = 200
# A report takes two milliseconds; a lost packet of it two hundred.
_REPORT_TIMEOUT_S = 0.3
# All streams of one path fall silent together; one report serves them all.
_FRESH_S = 0.15
# How long a replica that others wait for, or that does not answer, gets no
# new work; engines stall for some seconds before they give up themselves.
AVOID_S = 4.0


@dataclass(slots=True)
class Diagnosis:
    """What came of asking; `stalled` as in the replica's report."""

    is_reachable: bool
    at: float
    stalled: dict[str, str] = field(default_factory=dict)


class Examiner:
    """Asks each replica once for all streams that want to know."""

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._latest: dict[str, Diagnosis] = {}
        self._asking: dict[str, asyncio.Task[Diagnosis]] = {}

    async def examine(self, replica: Replica) -> Diagnosis:
        """Return why streams on a replica are silent."""
        key = replica.replica_id
        latest = self._latest.get(key)
        if latest is not None and latest.at + _FRESH_S > self._loop.time():
            return latest
        task = self._asking.get(key)
        if task is None:
            task = self._loop.create_task(self._ask(replica))
            self._asking[key] = task
            task.add_done_callback(lambda _: self._asking.pop(key, None))
        return await asyncio.shield(task)

    async def _ask(self, replica: Replica) -> Diagnosis:
        self._state.counters['reports.asked'] += 1
        report = await ask_report(self._state, replica)
        now = self._loop.time()
        if report is None:
            diagnosis = Diagnosis(is_reachable=False, at=now)
            self._suspect(replica.replica_id, 'does not answer')
        else:
            diagnosis = Diagnosis(True, now, report.stalled)
            for address in set(report.stalled.values()):
                self._suspect_address(address)
        if len(self._latest) > len(self._state.view.known):
            self._latest.clear()
        self._latest[replica.replica_id] = diagnosis
        return diagnosis

    def _suspect_address(self, address: str) -> None:
        found = self._state.view.find_address(address)
        if found is not None:
            self._suspect(found.replica.replica_id, 'others wait for it')

    def _suspect(self, replica_id: str, reason: str) -> None:
        now = self._loop.time()
        if self._state.view.suspect(replica_id, now + AVOID_S, now):
            _LOG.warning(
                'replica avoided',
                extra={'replica': replica_id, 'reason': reason},
            )
            self._state.notify()


async def ask_report(
    state: EdgeState, replica: Replica
) -> ReplicaReport | None:
    """Return a replica's report on itself, or none if none came."""
    deadline = asyncio.get_running_loop().time() + _REPORT_TIMEOUT_S
    path = state.dialect.report_path
    try:
        status, body = await call_once(
            replica.address, b'GET', path, b'', deadline
        )
    except EndpointError as exc:
        _LOG.info(
            'no report',
            extra={'replica': replica.replica_id, 'reason': str(exc)},
        )
        return None
    if status != _OK:
        return None
    try:
        report = state.dialect.decode_report(body)
    except DocumentError as exc:
        _LOG.warning(
            'report is not what it should be',
            extra={'replica': replica.replica_id, 'error': str(exc)},
        )
        return None
    state.view.note_pace(replica.replica_id, report.slowness, deadline)
    return report
