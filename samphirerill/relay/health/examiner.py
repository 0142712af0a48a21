"""Find out why a stream is silent: ask every replica on its path.

The first replica lists the requests that wait and for whom, but some hundred
milliseconds late; one that has ended refuses connections at once, and one that
is gone does not answer at all. Asked as soon as a path is silent, streams leave
a dead part before their clients notice a pause.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_ids
from samphirerill.fleet.losses import is_own_fault
from samphirerill.fleet.suspicion import SURE_VOTES
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.patience import (
    LEAST_PROBE_S,
    AnswerTimes,
)
from samphirerill.relay.health.probing import Probe, Verdict
from samphirerill.relay.health.probe_retries import probe_with_retries
from samphirerill.relay.health.signs import find_signs

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
# A replica is dead if no question brings an answer in time, as packets may be
# lost. Where 2.5% of packets are lost one question in ten fails; with two, 13
# living replicas were taken for dead within five seconds, with four one in ten
# thousand would be.
_QUESTIONS = 4
# To one that is dead already: a lost packet only delays the news of its return.
_QUESTIONS_TO_DEAD = 1
# All streams of one path fall silent together; one probe serves them all.
_FRESH_S = 0.15
# A replica that others find at fault for its part is asked once in so long: one
# that lives refuses for reasons that pass, as when it changes its layers.
_CHECKED_S = 0.5
# Probes kept, about as many as there are replicas; they are of use for a moment.
_MOST_KEPT = 1024
# How long a replica that others wait for, or that does not answer, gets no
# new work; engines stall for some seconds before they give up themselves.
AVOID_S = 4.0
# The same for one that is only silent: it may be the way to it that is harmed.
AVOID_SILENT_S = 2.0
# Engines say whom requests wait for with such a delay; a replica that has worked
# since then is not the one.
_STALLED_LAG_S = 0.3
# Replicas elsewhere that a node asks to know whether it hears anybody: a data
# centre that is lost leaves a path without any part that answers. Three for each
# answer that is missing: where a third of the fleet is lost, two are not enough in
# one of sixteen cases, three in one of 250.
_CONTROLS_FOR_ONE = 3
_MOST_CONTROLS = 12
# Questions under way at once: each takes about a millisecond of a slow core.
_AT_ONCE = 16


@dataclass(slots=True)
class Diagnosis:
    """What came of asking a path: the dead, and who waits for which address.

    `stalled` is as the first replica reports it, by request id.
    """

    dead: set[str] = field(default_factory=set)
    stalled: dict[str, str] = field(default_factory=dict)


class Examiner:
    """Asks each replica once for all streams that want to know.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    alarms : Alarms
        Tells the other nodes of what is found.
    """

    def __init__(self, state: EdgeState, alarms: Alarms) -> None:
        self._state = state
        self._alarms = alarms
        self._loop = asyncio.get_running_loop()
        self._latest: dict[str, Probe] = {}
        self._asking: dict[str, asyncio.Task[Probe]] = {}
        self._times = AnswerTimes()
        self._checks: set[asyncio.Task[set[str]]] = set()
        self._turn = asyncio.Semaphore(_AT_ONCE)

    async def examine(self, stages: tuple[Stage, ...]) -> Diagnosis:
        """Return why streams on a path are silent.

        Parameters
        ----------
        stages : tuple of Stage
            The parts of the path that may be at fault.
        """
        replicas = [stage.replica for stage in stages]
        known = {name for name in list_ids(stages) if self._is_dead(name)}
        if known:
            # Why the path is silent is clear; asked all the same, each stream
            # of a lost part cost a question a moment until it found another.
            return Diagnosis(known)
        probes = await self._probe_all(replicas)
        diagnosis = Diagnosis(await self._judge(replicas, probes))
        for probe in probes:
            if probe.report is not None:
                diagnosis.stalled.update(probe.report.stalled)
        for address in set(diagnosis.stalled.values()):
            self._suspect_address(address)
        return diagnosis

    async def ask_after(
        self, replicas: Sequence[Replica], since: float = 0.0
    ) -> set[str]:
        """Ask replicas whether they work; return those that are dead.

        Parameters
        ----------
        replicas : sequence of Replica
            Whom to ask.
        since : float
            What was found before does not count.
        """
        probes = await self._probe_all(replicas, since)
        return await self._judge(replicas, probes)

    def check(self, replica: Replica) -> None:
        """Ask a replica that another one says is at fault, without waiting.

        Engines name the part that they can't reach. Found out by the streams
        that are sent over it, one dead part was named in 98 refusals.
        """
        latest = self._latest.get(replica.replica_id)
        if latest is not None and latest.at + _CHECKED_S > self._loop.time():
            return
        task = self._loop.create_task(self.ask_after([replica]))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def find_heard(self, since: float) -> dict[str, float]:
        """Return the replicas that have worked since a moment, and when."""
        heard = find_signs(self._state.streams, since)
        for name, probe in self._latest.items():
            if probe.at >= since and probe.verdict is not Verdict.IS_SILENT:
                heard[name] = max(probe.at, heard.get(name, since))
        return heard

    def _is_dead(self, replica_id: str) -> bool:
        found = self._state.view.known.get(replica_id)
        now = self._loop.time()
        return found is not None and found.suspicion.dead_until > now

    async def _probe_all(
        self, replicas: Sequence[Replica], since: float = 0.0
    ) -> list[Probe]:
        return await asyncio.gather(
            *(self._probe(replica, since) for replica in replicas)
        )

    async def _probe(self, replica: Replica, since: float = 0.0) -> Probe:
        """Return a fresh probe of a replica, a new one if there is none."""
        key = replica.replica_id
        latest = self._latest.get(key)
        oldest = max(since, self._loop.time() - _FRESH_S)
        if latest is not None and latest.at > oldest:
            return latest
        task = self._asking.get(key)
        if task is None:
            task = self._loop.create_task(self._ask_in_turn(replica))
            self._asking[key] = task
            task.add_done_callback(lambda _: self._asking.pop(key, None))
        return await asyncio.shield(task)

    async def _ask_in_turn(self, replica: Replica) -> Probe:
        async with self._turn:
            return await self._ask(replica)

    async def _ask(self, replica: Replica) -> Probe:
        """Ask a replica, and keep what came of it."""
        self._state.counters['reports.asked'] += 1
        # Of one that is dead already, only its return would be news.
        is_dead = self._is_dead(replica.replica_id)
        most = _QUESTIONS_TO_DEAD if is_dead else _QUESTIONS
        probe = await probe_with_retries(
            self._state, replica, self._times, most
        )
        return self._keep(replica, probe)

    def _keep(self, replica: Replica, probe: Probe) -> Probe:
        if len(self._latest) > _MOST_KEPT:
            self._latest.clear()
        self._latest[replica.replica_id] = probe
        if probe.verdict is Verdict.LIVES:
            self._state.view.trust(replica.replica_id, probe.at)
        return probe

    async def _judge(
        self, replicas: Sequence[Replica], probes: Sequence[Probe]
    ) -> set[str]:
        """Return the replicas that are dead, and tell the other nodes."""
        verdicts = {
            replica.replica_id: probe
            for replica, probe in zip(replicas, probes, strict=True)
        }
        ended = _list_with(verdicts, Verdict.HAS_ENDED)
        silent = self._list_silent(verdicts)
        if silent and await self._is_own_fault(silent, verdicts):
            silent = set()
        for replica in replicas:
            if replica.replica_id in ended | silent:
                self._suspect_probed(replica, verdicts[replica.replica_id])
        return ended | silent

    def _list_silent(self, probes: dict[str, Probe]) -> set[str]:
        """Return who did not answer, nor sent events meanwhile."""
        silent = _list_with(probes, Verdict.IS_SILENT)
        if not silent:
            return silent
        since = min(probes[name].at for name in silent) - LEAST_PROBE_S
        return silent - find_signs(self._state.streams, since).keys()

    async def _is_own_fault(
        self, silent: set[str], probes: dict[str, Probe]
    ) -> bool:
        """Return whether this node hears from nobody, asking more if need be."""
        since = min(probes[name].at for name in silent) - _FRESH_S
        heard = self.find_heard(since).keys() - silent
        if not is_own_fault(silent, heard):
            return False
        missing = len(silent) - len(heard)
        wanted = min(_MOST_CONTROLS, _CONTROLS_FOR_ONE * missing)
        controls = self._choose_controls({*silent, *heard, *probes}, wanted)
        await self._probe_all(controls)
        heard = self.find_heard(since).keys() - silent
        return is_own_fault(silent, heard)

    def _choose_controls(
        self, known: Collection[str], wanted: int
    ) -> list[Replica]:
        """Return other replicas, by chance, that should answer."""
        now = self._loop.time()
        others = [
            found.replica
            for name, found in self._state.view.known.items()
            if name not in known
            and found.suspicion.dead_until <= now
            and found.replica.layers is not None
        ]
        return self._state.random.sample(others, min(wanted, len(others)))

    def _suspect_probed(self, replica: Replica, probe: Probe) -> None:
        reason = probe.verdict.value
        if probe.verdict is Verdict.HAS_ENDED:
            found = self._state.view.known.get(replica.replica_id)
            if found is not None:
                found.suspicion.has_ended = True
            self._suspect(
                replica.replica_id, reason, SURE_VOTES, probe.at, AVOID_S
            )
        else:
            # A node that knows no other one has only its own word.
            is_alone = not self._state.book.count_peers()
            votes = SURE_VOTES if is_alone else 1
            self._suspect(
                replica.replica_id, reason, votes, probe.at, AVOID_SILENT_S
            )

    def _suspect_address(self, address: str) -> None:
        found = self._state.view.find_address(address)
        if found is not None:
            self._suspect(
                found.replica.replica_id,
                'others wait for it',
                SURE_VOTES,
                self._loop.time() - _STALLED_LAG_S,
                AVOID_S,
            )

    def _suspect(
        self,
        replica_id: str,
        reason: str,
        votes: int,
        since: float,
        for_s: float,
    ) -> None:
        now = self._loop.time()
        is_news = self._state.view.suspect(
            replica_id, now + for_s, now, votes=votes, since=since
        )
        if is_news:
            _LOG.warning(
                'replica avoided',
                extra={'replica': replica_id, 'reason': reason},
            )
            self._alarms.tell_dead(replica_id)
            self._state.notify()


def _list_with(probes: dict[str, Probe], wanted: Verdict) -> set[str]:
    return {name for name, probe in probes.items() if probe.verdict is wanted}
