"""Probe a replica by requesting its status report."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.endpoint_calls import build_call, call_kept, call_new
from samphirerill.relay.errors import (
    ConnectRefusedError,
    ConnectTimeoutError,
    EndpointError,
    EndpointTimeoutError,
    PeerUnavailableError,
)
from samphirerill.relay.platform_adapter import DocumentError

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.platform_adapter import ReplicaReport
    from samphirerill.relay.endpoint_dialer import Connect
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
_OK = 200
# Usually 2 ms, but 200 ms if a packet has to be retransmitted.
_REPORT_TIMEOUT_S = 0.3
# Part of it that a connection in use before is given.
_KEPT_TIMEOUT_S = 0.1


class Verdict(enum.Enum):
    """Outcome of a probe; values are the reasons in the log."""

    ALIVE = 'alive'
    TERMINATED = 'process has terminated'
    UNRESPONSIVE = 'is unresponsive'
    INCONCLUSIVE = 'response broke off'


@dataclass(slots=True)
class Probe:
    """Result of a probe; `report` is none if the replica sent none.

    `sent_at` is when it was first sent, `at` when it ended, on the loop's clock.
    `is_confirmed` is false if only this node was refused: its own path to the
    replica may be broken.
    """

    at: float
    verdict: Verdict
    report: ReplicaReport | None = None
    sent_at: float = 0.0
    is_confirmed: bool = True


async def probe_once(
    state: EdgeState, replica: Replica, deadline: float, connect: Connect
) -> Probe:
    """Request the report of a replica, and classify the outcome.

    `connect` opens the connection, directly or through another node.
    """
    loop = asyncio.get_running_loop()
    try:
        report = await _read_report(state, replica, deadline, connect)
    except ConnectRefusedError:
        return Probe(loop.time(), Verdict.TERMINATED)
    except (ConnectTimeoutError, EndpointTimeoutError, PeerUnavailableError):
        return Probe(loop.time(), Verdict.UNRESPONSIVE)
    except EndpointError as exc:
        _log_no_report(replica, exc)
        return Probe(loop.time(), Verdict.INCONCLUSIVE)
    return _judge(replica, report)


async def probe_kept(
    state: EdgeState, replica: Replica, deadline: float
) -> Probe:
    """Request the report of a replica on an idle connection.

    The silence or the end of that connection says nothing about the replica:
    the result is then that this probe had no answer.
    """
    try:
        report = await _read_kept_report(state, replica, deadline)
    except EndpointError as exc:
        _log_no_report(replica, exc)
        report = None
    if report is None:
        now = asyncio.get_running_loop().time()
        return Probe(now, Verdict.UNRESPONSIVE)
    return _judge(replica, report)


async def fetch_report(
    state: EdgeState, replica: Replica
) -> ReplicaReport | None:
    """Return a replica's status report, or none if it sent none."""
    now = asyncio.get_running_loop().time()
    try:
        report = await _read_kept_report(state, replica, now + _KEPT_TIMEOUT_S)
    except EndpointError as exc:
        _log_no_report(replica, exc)
        report = None
    if report is not None:
        return report
    deadline = now + _REPORT_TIMEOUT_S
    try:
        return await _read_report(
            state, replica, deadline, state.pool.dialer.connect
        )
    except EndpointError as exc:
        _log_no_report(replica, exc)
        return None


def _judge(replica: Replica, report: ReplicaReport | None) -> Probe:
    """Return the result of a probe that was answered."""
    now = asyncio.get_running_loop().time()
    if report is not None and replica.is_different_process(report.started_ms):
        return Probe(now, Verdict.TERMINATED)
    return Probe(now, Verdict.ALIVE, report)


def _log_no_report(replica: Replica, exc: EndpointError) -> None:
    _LOG.info(
        'cannot get replica report',
        extra={'replica': replica.replica_id, 'reason': str(exc)},
    )


async def _read_report(
    state: EdgeState, replica: Replica, deadline: float, connect: Connect
) -> ReplicaReport | None:
    """Return a report; none if the response is not a valid one."""
    state.counters['reports.sent'] += 1
    request = build_call(replica, b'GET', state.adapter.report_path)
    status, body = await call_new(state, replica, request, deadline, connect)
    return _decode_report(state, replica, status, body)


async def _read_kept_report(
    state: EdgeState, replica: Replica, deadline: float
) -> ReplicaReport | None:
    """Return a report from an idle connection; none if there is neither."""
    request = build_call(replica, b'GET', state.adapter.report_path)
    response = await call_kept(state, replica, request, deadline)
    if response is None:
        return None
    state.counters['reports.sent'] += 1
    return _decode_report(state, replica, *response)


def _decode_report(
    state: EdgeState, replica: Replica, status: int, body: bytes
) -> ReplicaReport | None:
    """Return a report; none if the response is not a valid one."""
    if status != _OK:
        return None
    try:
        report = state.adapter.decode_report(body)
    except DocumentError as exc:
        _LOG.warning(
            'cannot decode replica report',
            extra={'replica': replica.replica_id, 'error': str(exc)},
        )
        return None
    now = asyncio.get_running_loop().time()
    state.view.note_slowness(replica.replica_id, report.time_factor, now)
    return report
