"""Ask one replica for its report, and say what that tells of it."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import (
    EndpointError,
    NobodyListensError,
    SilentEndpointError,
    UnreachableError,
)
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.dialect import ReplicaReport
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
_OK = 200
# A report takes two milliseconds; a lost packet of it two hundred.
_REPORT_TIMEOUT_S = 0.3


class Verdict(enum.Enum):
    """What asking a replica says of it."""

    LIVES = 'lives'
    HAS_ENDED = 'has ended'
    IS_SILENT = 'does not answer'
    IS_UNCLEAR = 'broke off'


@dataclass(slots=True)
class Probe:
    """What came of asking one replica; `report` only if it gave one."""

    at: float
    verdict: Verdict
    report: ReplicaReport | None = None


async def ask_once(
    state: EdgeState, replica: Replica, deadline: float
) -> Probe:
    """Ask a replica, and return what that says of it."""
    loop = asyncio.get_running_loop()
    try:
        report = await _read_report(state, replica, deadline)
    except NobodyListensError:
        return Probe(loop.time(), Verdict.HAS_ENDED)
    except (UnreachableError, SilentEndpointError):
        return Probe(loop.time(), Verdict.IS_SILENT)
    except EndpointError as exc:
        _log_no_report(replica, exc)
        return Probe(loop.time(), Verdict.IS_UNCLEAR)
    if report is not None and replica.is_other_start(report.started_ms):
        return Probe(loop.time(), Verdict.HAS_ENDED)
    return Probe(loop.time(), Verdict.LIVES, report)


async def ask_report(
    state: EdgeState, replica: Replica
) -> ReplicaReport | None:
    """Return a replica's report on itself, or none if none came."""
    deadline = asyncio.get_running_loop().time() + _REPORT_TIMEOUT_S
    try:
        return await _read_report(state, replica, deadline)
    except EndpointError as exc:
        _log_no_report(replica, exc)
        return None


def _log_no_report(replica: Replica, exc: EndpointError) -> None:
    _LOG.info(
        'no report',
        extra={'replica': replica.replica_id, 'reason': str(exc)},
    )


async def _read_report(
    state: EdgeState, replica: Replica, deadline: float
) -> ReplicaReport | None:
    """Return a report; none if the answer is no report."""
    path = state.dialect.report_path
    state.counters['reports.sent'] += 1
    status, body = await call_once(replica.address, b'GET', path, b'', deadline)
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
    now = asyncio.get_running_loop().time()
    state.view.note_pace(replica.replica_id, report.slowness, now)
    return report
