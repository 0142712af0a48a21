"""The path of one stream: what it holds, what is lost of it, how it moves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_ids
from samphirerill.fleet.paths import PathRequest, predict_gap_ms
from samphirerill.relay.orders import order_repath

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.examiner import Diagnosis
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

_MS_PER_S = 1000


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
        self.tokens = _count_tokens(engine, task)
        # Replicas that failed this stream, and those it was sent to first.
        self.avoid: set[str] = set()
        self.heads: set[str] = set()
        self._state = state
        self._task = task
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    @property
    def head_id(self) -> str:
        """Return the replica that the stream is sent to."""
        return self.stages[0].replica.replica_id

    async def take(
        self, rank: int, deadline: float, *, is_urgent: bool
    ) -> None:
        """Wait for a path with room; raise ``HopelessError`` if none comes."""
        task = self._task
        self.stages = await self._admission.admit(
            task.service.name,
            self.engine,
            self._build_request(is_urgent=is_urgent),
            rank,
            deadline,
            task.req.arrived_at + task.route.target_s,
        )

    def give_back(self) -> None:
        """The stream does not pass through the path any more."""
        self._admission.release(self.stages, self.tokens)
        self.stages = ()

    def has_other(self) -> bool:
        """Return whether the stream could go on over other replicas now."""
        wanted = self._build_request(is_urgent=True)
        wanted.avoid = {*self.avoid, *self.list_lost()}
        found = self._admission.find(
            self._task.service.name, self.engine, wanted
        )
        return bool(found)

    async def move(self) -> bool:
        """Move the stream behind its first replica; return whether it did."""
        held = list_ids(self.stages)
        wanted = PathRequest(
            self.tokens,
            {*self.avoid, *self.list_lost()},
            frozenset(held[:1]),
            first_end=self.stages[0].layers.end,
            held=frozenset(held),
            is_urgent=True,
        )
        stages = self._admission.admit_now(
            self._task.service.name, self.engine, wanted
        )
        if not stages:
            return False
        return await self._change_to(stages)

    def list_lost(self) -> set[str]:
        """Return the replicas of the path that should be left."""
        now = self._loop.time()
        view = self._state.view
        return {
            stage.replica.replica_id
            for stage in self.stages
            if view.is_lost(stage, now)
        }

    def is_given_up(self) -> bool:
        """Return whether a part is lost by other than a planned leaving."""
        view = self._state.view
        return any(not view.is_leaving(name) for name in self.list_lost())

    def is_head_dead(self) -> bool:
        """Return whether the first replica is gone or taken to be dead."""
        found = self._state.view.known.get(self.head_id)
        return found is None or found.dead_until > self._loop.time()

    def find_culprit(self, diagnosis: Diagnosis, request_id: str) -> str:
        """Return the replica that the path waits for; empty if none."""
        address = diagnosis.stalled.get(request_id, '')
        for stage in self.stages:
            if stage.replica.address == address:
                return stage.replica.replica_id
        return next(iter(self.list_lost()), '')

    def predict_gap_s(self) -> float:
        """Return the predicted time between two events."""
        gap_ms = predict_gap_ms(
            self.engine,
            self._state.view.known,
            self.stages,
            self._state.book,
            self._loop.time(),
        )
        return gap_ms / _MS_PER_S

    def describe(self) -> str:
        """Return the path as logs show it."""
        return ' '.join(
            f'{stage.replica.replica_id}:'
            f'{stage.layers.first}-{stage.layers.end}'
            for stage in self.stages
        )

    def _build_request(self, *, is_urgent: bool) -> PathRequest:
        heads = self._limit_heads()
        # One that failed is better than one more than the route allows.
        avoid = self.avoid - heads
        return PathRequest(self.tokens, avoid, heads, is_urgent=is_urgent)

    def _limit_heads(self) -> frozenset[str]:
        """Return the replicas that a path must begin with; empty for any.

        A route says to how many replicas a request may be sent; those that
        are gone don't count. One that is only silent does: where packets are
        lost it is there, and has run the request.
        """
        view = self._state.view
        live = {name for name in self.heads if not view.has_ended(name)}
        if len(live) < self._task.route.max_attempts:
            return frozenset()
        return frozenset(live)

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
        self.stages = stages
        self._state.counters['streams.moved'] += 1
        return True


def _count_tokens(engine: EngineSpec, task: Task) -> float:
    """Return the memory that a stream will need, in tokens.

    Clients name the most tokens that an answer may have, some twice what
    answers have in the end; to keep room for all of that left a quarter of
    the memory unused.
    """
    facts = task.facts
    usual = engine.usual_answer
    answer = min(facts.most_tokens or usual, facts.hinted_tokens or usual)
    return (facts.prompt_tokens or engine.usual_prompt) + answer
