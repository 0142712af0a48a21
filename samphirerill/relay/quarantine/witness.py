"""See which requests had just begun to run at replicas whose process ended.

A run that breaks off says little by itself: replicas break answers off and live,
leave, or fall dark with a rack. It counts against the request only if the process
at that address has ended, unannounced, and the run had hardly begun.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.quarantine.book import SUSPECT_DEATHS
from samphirerill.quarantine.records import Death

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.health import Examiner
    from samphirerill.relay.quarantine.keeper import Keeper
    from samphirerill.relay.quarantine.sharing import Sharing
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_times import RunTimes
    from samphirerill.relay.task import Task

_LOG = get_logger('quarantine')
# A replica that does not answer is asked again after these pauses: packets are lost.
_ASK_AGAIN_S = (0.0, 0.1, 0.3)
# A run that goes on is noted again after so long.
_NOTE_AGAIN_S = 0.5
# What a suspect waits before it is sent again, longer than evidence takes to settle.
# Those that an end broke off together would follow each other to the next replica;
# apart, the guilty one is alone there.
_LEAST_REST_S = 0.15
_MOST_REST_S = 0.4
_STEP_S = 0.01
_MOST_NAMED = 4


@dataclass(slots=True, frozen=True)
class _Break:
    """A run that broke off as it began."""

    request: bytes
    request_id: str
    at: float


class Witness:
    """Tells breaks that count from those that don't.

    Parameters
    ----------
    state : EdgeState
        Replicas and the quarantine.
    examiner : Examiner
        Asks replicas whether they have ended.
    keeper : Keeper
        Takes what is found.
    sharing : Sharing
        Tells it to the other nodes.
    """

    def __init__(
        self,
        state: EdgeState,
        examiner: Examiner,
        keeper: Keeper,
        sharing: Sharing,
    ) -> None:
        self._state = state
        self._examiner = examiner
        self._keeper = keeper
        self._sharing = sharing
        self._loop = asyncio.get_running_loop()
        # Of replicas that are asked now, the runs that broke off there.
        self._broken: dict[str, list[_Break]] = {}
        self._unclear: Counter[bytes] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def find_held_until(self, task: Task) -> float:
        """Return until when a request is held back; 0 if it may run."""
        quarantine = self._state.quarantine
        if not len(quarantine):
            return 0.0
        return quarantine.find_held_until(task.identity, self._loop.time())

    def explain(self, task: Task) -> str:
        """Return why a request is held back, for the log.

        By the attempt under which it was seen first, operators find the rest.
        """
        record = self._state.quarantine.get_record(task.identity)
        if record is None or not record.deaths:
            return 'it ended replicas'
        return f'it ends replicas, first as {record.deaths[0].request_id}'

    def is_suspect(self, task: Task) -> bool:
        """Return whether a request has seen more than one replica end."""
        quarantine = self._state.quarantine
        if not len(quarantine) and not self._unclear:
            return False
        known = quarantine.count_deaths(task.identity)
        return known + self._unclear[task.identity] >= SUSPECT_DEATHS

    def list_trials(self) -> frozenset[str]:
        """Return the replicas where a suspect runs now."""
        return self._sharing.trials.list(self._loop.time())

    def note_send(self, task: Task, replica: Replica) -> None:
        """A request is sent; if it is a suspect, none should join it."""
        if self.is_suspect(task):
            self._state.counters['quarantine.trials'] += 1
            self._sharing.tell_trial(replica.replica_id)

    async def rest(self, task: Task) -> None:
        """Let a suspect wait before it is sent again.

        Whether the replica of its last run has ended is asked just now; if it
        lives, there is nothing to wait for.
        """
        until = self._loop.time() + _MOST_REST_S
        while self._unclear[task.identity] and self.is_suspect(task):
            if self._loop.time() >= until:
                break
            await asyncio.sleep(_STEP_S)
        if self.is_suspect(task):
            rest_s = self._state.random.uniform(_LEAST_REST_S, _MOST_REST_S)
            await asyncio.sleep(rest_s)

    def note_break(
        self, task: Task, replica: Replica, run: RunTimes | None = None
    ) -> None:
        """A run broke off; find out whether its replica has ended.

        Parameters
        ----------
        task : Task
            What was run.
        replica : Replica
            To whom it was sent.
        run : RunTimes, optional
            How far the run had come; left out if nothing came of it.
        """
        if run is not None and run.has_survived:
            self._note_survival(task)
            return
        if self._state.view.is_leaving(replica.replica_id):
            return
        found = _Break(task.identity, task.request_id, self._loop.time())
        self._unclear[found.request] += 1
        name = _name_start(replica)
        waiting = self._broken.setdefault(name, [])
        waiting.append(found)
        if len(waiting) == 1:
            self._start(self._find_out(replica, name, found.at))

    def note_progress(self, task: Task, run: RunTimes) -> None:
        """Events of a run have come."""
        if not len(self._state.quarantine) or not run.has_survived:
            return
        now = self._loop.time()
        if now >= run.note_at:
            run.note_at = now + _NOTE_AGAIN_S
            self._note_survival(task)

    def note_whole(self, task: Task) -> None:
        """A run has come to its end; its replica lives."""
        if len(self._state.quarantine):
            self._note_survival(task)

    def _note_survival(self, task: Task) -> None:
        if self._keeper.note_survival(task.identity):
            self._sharing.tell((task.identity,))

    async def _find_out(
        self, replica: Replica, name: str, since: float
    ) -> None:
        try:
            has_ended = await self._has_ended(replica, since)
        finally:
            broken = self._broken.pop(name)
            self._unclear -= Counter(found.request for found in broken)
        if has_ended:
            self._note_end(replica, name, broken)

    def _note_end(
        self, replica: Replica, name: str, broken: list[_Break]
    ) -> None:
        self._state.counters['quarantine.ends'] += 1
        named = [run.request_id for run in broken[:_MOST_NAMED]]
        _LOG.info(
            'replica ended under requests',
            extra={
                'replica': replica.replica_id,
                'count': len(broken),
                'requests': named,
            },
        )
        for lost in broken:
            death = Death(name, lost.request_id, lost.at)
            self._keeper.note_death(lost.request, death)
        self._sharing.tell([told.request for told in broken])

    async def _has_ended(self, replica: Replica, since: float) -> bool:
        """Return whether a process has ended; one that is silent may live."""
        replica_id = replica.replica_id
        for pause_s in _ASK_AGAIN_S:
            await asyncio.sleep(pause_s)
            if replica_id not in self._state.view.known:
                return not self._state.view.is_leaving(replica_id)
            if not await self._examiner.ask_after([replica], since):
                return False
            if self._state.view.has_ended(replica_id):
                return True
        return False

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _name_start(replica: Replica) -> str:
    """Return a name for this start of a replica; some keep their ids."""
    if not replica.started_ms:
        return replica.replica_id
    return f'{replica.replica_id}/{replica.started_ms}'
