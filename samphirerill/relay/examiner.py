"""Find out why a stream is silent: ask every replica on its path.

The first replica lists the requests that wait and for whom, but some hundred
milliseconds late; one that has ended refuses connections at once, and one that
is gone does not answer at all. Asked as soon as a path is silent, streams leave
a dead part before their clients notice a pause.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.smoothing import Smoothed
from samphirerill.fleet.view import SURE_VOTES
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
    from collections.abc import Sequence

    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.dialect import ReplicaReport
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
_OK = 200
# A report takes two milliseconds; a lost packet of it two hundred.
_REPORT_TIMEOUT_S = 0.3
# A replica on a silent path is asked again after so long, as packets may be lost,
# and is dead if no question brings an answer in time. Where 2.5% of packets are
# lost one question in ten fails; with two, 13 living replicas were taken for
# dead within five seconds, with four one in ten thousand would be.
_ASK_AGAIN_S = 0.007
_QUESTIONS = 4
# Answers take 2 to 6 ms, longer at a busy node or over a slow link; who has not
# answered in the usual time and six deviations, within these bounds, won't. Fifty
# milliseconds for all left streams 5 to 30 ms over the pause that is on time.
LEAST_PROBE_S = 0.03
MOST_PROBE_S = 0.09
_FIRST_PROBE_S = 0.05
_DEVIATIONS = 6
# A node that was held up itself sees the time pass before the answers that came
# meanwhile: what a wait takes beyond this does not count against a replica.
_HOLD_UP_S = 0.003
# However long the node was held up, a question ends then.
_LONGEST_ASK_S = 0.4
# If more than one in so many replicas of a path is silent, it is the node, or the
# way from it, that is at fault.
_MOST_SILENT = 3
# All streams of one path fall silent together; one probe serves them all.
_FRESH_S = 0.15
# Probes kept, about as many as there are replicas; they are of use for a moment.
_MOST_KEPT = 1024
# How long a replica that others wait for, or that does not answer, gets no
# new work; engines stall for some seconds before they give up themselves.
AVOID_S = 4.0
# The same for one that is only silent: it may be the way to it that is harmed.
_AVOID_SILENT_S = 2.0


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


@dataclass(slots=True)
class Diagnosis:
    """What came of asking a path: the dead, and who waits for which address.

    `stalled` is as the first replica reports it, by request id.
    """

    dead: set[str] = field(default_factory=set)
    stalled: dict[str, str] = field(default_factory=dict)


class _Patience:
    """Until when answers are waited for; longer if the node is held up."""

    __slots__ = ('_loop', 'until')

    def __init__(self, until: float) -> None:
        self.until = until
        self._loop = asyncio.get_running_loop()

    async def wait(
        self, asked: set[asyncio.Task[Probe]], most_s: float
    ) -> None:
        """Wait for an answer, and note how much too long that took."""
        planned = self._loop.time() + most_s
        left = {task for task in asked if not task.done()}
        if left:
            await asyncio.wait(
                left, timeout=most_s, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(most_s)
        over_s = self._loop.time() - planned
        if over_s > _HOLD_UP_S:
            self.until += over_s + _ASK_AGAIN_S


class Examiner:
    """Asks each replica once for all streams that want to know."""

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._latest: dict[str, Probe] = {}
        self._asking: dict[str, asyncio.Task[Probe]] = {}
        self._answers = Smoothed()

    async def examine(self, stages: tuple[Stage, ...]) -> Diagnosis:
        """Return why streams on a path are silent.

        Parameters
        ----------
        stages : tuple of Stage
            The parts of the path that may be at fault.
        """
        probes = await asyncio.gather(
            *(self._probe(stage.replica) for stage in stages)
        )
        diagnosis = Diagnosis(_find_dead(stages, probes))
        for probe in probes:
            if probe.report is not None:
                diagnosis.stalled.update(probe.report.stalled)
        for stage, probe in zip(stages, probes, strict=True):
            if stage.replica.replica_id in diagnosis.dead:
                self._suspect_probed(stage.replica, probe)
        for address in set(diagnosis.stalled.values()):
            self._suspect_address(address)
        return diagnosis

    async def _probe(self, replica: Replica) -> Probe:
        """Return a fresh probe of a replica, a new one if there is none."""
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

    async def _ask(self, replica: Replica) -> Probe:
        """Ask until one question is answered, a few at the most."""
        self._state.counters['reports.asked'] += 1
        asked_at = self._loop.time()
        clock = _Patience(asked_at + self._choose_patience())
        last = asked_at + _LONGEST_ASK_S
        asked: set[asyncio.Task[Probe]] = set()
        probe: Probe | None = None
        while probe is None and len(asked) < _QUESTIONS:
            ask = _ask_once(self._state, replica, last)
            asked.add(self._loop.create_task(ask))
            await clock.wait(asked, _ASK_AGAIN_S)
            probe = _find_answer(asked)
        while probe is None and self._loop.time() < clock.until:
            await clock.wait(asked, clock.until - self._loop.time())
            probe = _find_answer(asked)
        for task in asked:
            task.cancel()
        if probe is None:
            probe = Probe(self._loop.time(), Verdict.IS_SILENT)
        else:
            self._answers.note(self._loop.time() - asked_at)
        return self._keep(replica, probe)

    def _choose_patience(self) -> float:
        """Return how long to wait for an answer."""
        if not self._answers.mean_s:
            return _FIRST_PROBE_S
        usual_s = self._answers.find_longest(_DEVIATIONS)
        return min(MOST_PROBE_S, max(LEAST_PROBE_S, usual_s))

    def _keep(self, replica: Replica, probe: Probe) -> Probe:
        if len(self._latest) > _MOST_KEPT:
            self._latest.clear()
        self._latest[replica.replica_id] = probe
        return probe

    def _suspect_probed(self, replica: Replica, probe: Probe) -> None:
        reason = probe.verdict.value
        if probe.verdict is Verdict.HAS_ENDED:
            found = self._state.view.known.get(replica.replica_id)
            if found is not None:
                found.has_ended = True
            self._suspect(replica.replica_id, reason, SURE_VOTES)
        else:
            # A node that knows no other one has only its own word.
            is_alone = not self._state.book.count_peers()
            votes = SURE_VOTES if is_alone else 1
            self._suspect(replica.replica_id, reason, votes, _AVOID_SILENT_S)

    def _suspect_address(self, address: str) -> None:
        found = self._state.view.find_address(address)
        if found is not None:
            name = found.replica.replica_id
            self._suspect(name, 'others wait for it', SURE_VOTES)

    def _suspect(
        self,
        replica_id: str,
        reason: str,
        votes: int,
        for_s: float = AVOID_S,
    ) -> None:
        now = self._loop.time()
        is_news = self._state.view.suspect(
            replica_id, now + for_s, now, votes=votes
        )
        if is_news:
            _LOG.warning(
                'replica avoided',
                extra={'replica': replica_id, 'reason': reason},
            )
            self._state.notify()


def _find_answer(asked: set[asyncio.Task[Probe]]) -> Probe | None:
    """Return what the first question that was answered brought, if any was."""
    for task in asked:
        if task.done() and task.result().verdict is not Verdict.IS_SILENT:
            return task.result()
    return None


def _find_dead(stages: tuple[Stage, ...], probes: Sequence[Probe]) -> set[str]:
    """Return the replicas of a path that are dead.

    If several don't answer, it is this node that is cut off, or was held up
    itself: taken for dead then, the whole fleet would be left for nothing.
    """
    verdicts = {
        stage.replica.replica_id: probe.verdict
        for stage, probe in zip(stages, probes, strict=True)
    }
    silent = _list_with(verdicts, Verdict.IS_SILENT)
    ended = _list_with(verdicts, Verdict.HAS_ENDED)
    if len(silent) > 1 and len(silent) * _MOST_SILENT > len(probes):
        return ended
    return ended | silent


def _list_with(verdicts: dict[str, Verdict], wanted: Verdict) -> set[str]:
    return {name for name, verdict in verdicts.items() if verdict is wanted}


async def _ask_once(
    state: EdgeState, replica: Replica, deadline: float
) -> Probe:
    loop = asyncio.get_running_loop()
    try:
        report = await _read_report(state, replica, deadline)
    except NobodyListensError:
        return Probe(loop.time(), Verdict.HAS_ENDED)
    except (UnreachableError, SilentEndpointError):
        return Probe(loop.time(), Verdict.IS_SILENT)
    except EndpointError as exc:
        _LOG.info(
            'no report',
            extra={'replica': replica.replica_id, 'reason': str(exc)},
        )
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
        _LOG.info(
            'no report',
            extra={'replica': replica.replica_id, 'reason': str(exc)},
        )
        return None


async def _read_report(
    state: EdgeState, replica: Replica, deadline: float
) -> ReplicaReport | None:
    """Return a report; none if the answer is no report."""
    path = state.dialect.report_path
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
