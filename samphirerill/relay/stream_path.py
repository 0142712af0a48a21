"""The path of one stream: what it holds, what is lost of it, how it moves."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from samphirerill.fleet.endings import find_end, is_lost
from samphirerill.fleet.load import list_ids
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.moves import predict_pause_ms
from samphirerill.fleet.paths import predict_gap_ms
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.signs import list_unproven
from samphirerill.relay.orders import order_repath
from samphirerill.relay.path_finder import ANY_HEAD, PathFinder

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.health.examiner import Diagnosis
    from samphirerill.relay.quarantine import Witness
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

_LOG = get_logger('streams')
# Of the time for which a leaving replica still serves a stream, the part that
# passes before the stream moves: most streams end by themselves in it, and who
# takes over has loaded the layers. The last moments are kept for the move.
_STAY = 0.4
_MOVE_S = 0.15
# Where streams hurry, all leave at once; one that finds no way tries again.
_HURRY_S = 0.05
# An event of another stream proves its path for so long. One that passed a
# replica just before this died may arrive most of a gap later.
_PROOF_S = 0.015

# How often a suspect looks for a replica without another one.
_APART_STEP_S = 0.1
# Longer than another suspect needs to show what it is; callers wait.
_MOST_APART_S = 0.7
# Streams that leave one by one wait for so much fewer others.
_SPREAD_CROWD = 4


class Way(enum.Enum):
    """How a stream may leave a part: it has moved, or should be sent again."""

    MOVED = 'moved'
    AGAIN = 'send again'
    NONE = 'no way'


class StreamPath:
    """Stages that a stream passes through, counted as taken while it does.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    engine : EngineSpec
        The service's figures.
    admission : Admission
        Grants paths.
    """

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        engine: EngineSpec,
        admission: Admission,
    ) -> None:
        self.engine = engine
        self.stages: tuple[Stage, ...] = ()
        self.finder = PathFinder(state, task, engine, admission)
        self.tokens = self.finder.tokens
        self.avoid = self.finder.avoid
        self.used_heads = self.finder.used_heads
        self._state = state
        self._task = task
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    @property
    def head_id(self) -> str:
        """Return the replica that the stream is sent to."""
        return self.stages[0].replica.replica_id

    async def take(
        self,
        rank: int,
        deadline: float,
        *,
        is_urgent: bool,
        heads: frozenset[str] = ANY_HEAD,
    ) -> None:
        """Wait for a path with room; raise ``NoPathError`` if none comes.

        Parameters
        ----------
        rank : int
            Its priority, 0 first.
        deadline : float
            Until when it may wait.
        is_urgent : bool
            The stream has begun.
        heads : frozenset of str
            The replicas that it may begin at; empty for any.
        """
        wanted = self.finder.build_retry_request(is_urgent=is_urgent)
        wanted.heads = wanted.heads or heads
        self.stages = await self._admit(wanted, rank, deadline)

    async def find_isolated_head(
        self, quarantine: Witness, until: float
    ) -> frozenset[str]:
        """Return where a suspect may begin; empty for anywhere.

        It may end the replica that it begins at: that should be one where few
        others run, and no other suspect, or nobody could tell which it was.
        """
        last = min(until, self._loop.time() + _MOST_APART_S) - _APART_STEP_S
        while quarantine.is_suspect(self._task):
            taken = quarantine.list_trials()
            heads = self.finder.find_isolated_head(taken)
            if heads or not taken or self._loop.time() >= last:
                return heads
            await asyncio.sleep(_APART_STEP_S)
        return ANY_HEAD

    async def take_beside(
        self, rank: int, deadline: float
    ) -> tuple[Stage, ...]:
        """Wait for a path beside the present one.

        It begins elsewhere: no replica is sent the same stream twice at a
        time. Raises ``NoPathError`` if none comes.
        """
        wanted = self.finder.build_beside(self.head_id, self.list_lost())
        return await self._admit(wanted, rank, deadline)

    def give_back(self) -> None:
        """The stream does not pass through the path any more."""
        self._admission.release(self.stages, self.tokens)
        self.stages = ()

    def has_other(self) -> bool:
        """Return whether the stream could go on over other replicas now."""
        return bool(self.finder.find_other(self.list_lost()))

    async def move(self) -> Way:
        """Move the stream behind its first replica, if that is the best way."""
        held = frozenset(list_ids(self.stages))
        ending = self._list_ending()
        stages = self.finder.find_with_head(self.stages[0], held, ending)
        if not stages:
            return Way.NONE
        if self._is_dearer(stages, held, ending):
            return Way.AGAIN
        self._admission.hold(self.engine, stages, self.tokens)
        if await self._change_to(stages):
            return Way.MOVED
        return Way.NONE

    def choose_leaving_time(self) -> float:
        """Return when to leave replicas that end; 0 if none does, or too late.

        All streams of a replica that moved at once would wait for each other
        at whoever takes over: 40 contexts are read one after another. Spread
        over the time that is left, none waits for another. At the end of that
        time a part that is given up is lost.
        """
        now = self._loop.time()
        ends = self._list_ends(now)
        if not ends:
            return 0.0
        if not self._state.settings.policy.unhurried_leaving:
            return now + _HURRY_S
        until = min(ends.values())
        latest = until - _MOVE_S
        if latest > now and set(ends) != {self.head_id}:
            since = now + (latest - now) * _STAY
            return self._state.random.uniform(since, latest)
        over = until + _MOVE_S
        return over if over > now else 0.0

    def list_unproven(self) -> tuple[Stage, ...]:
        """Return the parts that nothing tells of that they work."""
        if not self._state.settings.policy.signs_of_life:
            return self.stages
        since = self._loop.time() - _PROOF_S
        return list_unproven(self._state.streams, self.stages, since)

    def list_lost(self) -> set[str]:
        """Return the replicas of the path that should be left at once."""
        now = self._loop.time()
        view = self._state.view
        return {
            stage.replica.replica_id
            for stage in self.stages
            if is_lost(view, stage, now)
        }

    def is_head_dead(self) -> bool:
        """Return whether the first replica is gone or taken to be dead."""
        found = self._state.view.known.get(self.head_id)
        return found is None or found.suspicion.dead_until > self._loop.time()

    def find_culprit(self, diagnosis: Diagnosis, request_id: str) -> str:
        """Return the replica that the path waits for; empty if none."""
        address = diagnosis.stalled.get(request_id, '')
        for stage in self.stages:
            name = stage.replica.replica_id
            if stage.replica.address == address or name in diagnosis.dead:
                return name
        return next(iter(self.list_lost()), '')

    def predict_gap_s(self, stages: tuple[Stage, ...]) -> float:
        """Return the predicted time between two events on a path."""
        gap_ms = predict_gap_ms(
            self.engine,
            self._state.view.known,
            stages,
            self._state.book,
            self._loop.time(),
        )
        return gap_ms / MS_PER_S

    async def _admit(
        self, wanted: PathRequest, rank: int, deadline: float
    ) -> tuple[Stage, ...]:
        task = self._task
        return await self._admission.admit(
            task.service.name,
            self.engine,
            wanted,
            rank,
            deadline,
            task.req.arrived_at + task.route.target_s,
        )

    def _list_ends(self, now: float) -> dict[str, float]:
        """Return until when replicas serve that leave or give up a part.

        A first replica that leaves finishes what it has begun; a stream can't
        be moved off it, only sent again.
        """
        view = self._state.view
        ends = {}
        for stage in self.stages:
            name = stage.replica.replica_id
            end = find_end(view, stage, now)
            stays = name == self.head_id and name in view.leaving
            if 0 < end < float('inf') and not stays:
                ends[name] = end
        return ends

    def _list_ending(self) -> set[str]:
        """Return the replicas that are lost, leave or give up their part."""
        return self.list_lost() | set(self._list_ends(self._loop.time()))

    def _is_dearer(
        self,
        stages: tuple[Stage, ...],
        held: frozenset[str],
        ending: set[str],
    ) -> bool:
        """Return whether moving takes longer than to be sent again.

        Streams of a lost part go on all at once, those of one that leaves one
        by one, but still so close that a pipe does not keep up.
        """
        if not ending or not self._state.settings.policy.cheaper_way:
            return False
        other = self.finder.find_other(ending)
        crowd = max(self._state.book.requests(name) for name in ending)
        if not self.list_lost():
            crowd = crowd // _SPREAD_CROWD + 1
        move_ms = predict_pause_ms(
            self.engine, stages, held, self.tokens, crowd
        )
        again_ms = predict_pause_ms(self.engine, other, (), self.tokens, crowd)
        return bool(other) and again_ms < move_ms

    async def _change_to(self, stages: tuple[Stage, ...]) -> bool:
        """Order the move; only one of the two paths stays taken."""
        try:
            moved = await order_repath(
                self._state, self._task.facts.request_id, stages
            )
        except asyncio.CancelledError:
            self._admission.release(stages, self.tokens)
            raise
        if not moved:
            self._admission.release(stages, self.tokens)
            return False
        self._admission.release(self.stages, self.tokens)
        left = describe_stages(self.stages)
        self.stages = stages
        self._state.counters['streams.moved'] += 1
        _LOG.info(
            'stream moved',
            extra={
                'request': self._task.request_id,
                'path': describe_stages(self.stages),
                'before': left,
            },
        )
        return True


def describe_stages(stages: tuple[Stage, ...]) -> str:
    """Return a path as logs show it."""
    return ' '.join(
        f'{stage.replica.replica_id}:{stage.layers.first}-{stage.layers.end}'
        for stage in stages
    )
