"""Find paths that one stream may go on over."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from samphirerill.fleet.paths import PathRequest

if TYPE_CHECKING:
    from collections.abc import Collection

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

# Replicas that are looked at for a suspect: each look takes a millisecond.
_MOST_APART = 3
# A path may begin anywhere.
ANY_HEAD: frozenset[str] = frozenset()


class PathFinder:
    """What one stream needs of a path, and which replicas it leaves out.

    `avoid` are replicas that failed the stream, `heads` those that it was sent
    to first, `ended` those of them that broke it off and are announced no more,
    `failed_sends` how often each brought no event; `tokens` is the memory that it
    will need.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    engine : EngineSpec
        The service's figures.
    admission : Admission
        Looks for paths.
    """

    __slots__ = (
        '_admission',
        '_engine',
        '_state',
        '_task',
        'avoid',
        'ended',
        'heads',
        'tokens',
        'failed_sends',
    )

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        engine: EngineSpec,
        admission: Admission,
    ) -> None:
        self.tokens = _count_tokens(engine, task)
        self.avoid: set[str] = set()
        self.heads: set[str] = set()
        self.ended: set[str] = set()
        self.failed_sends: Counter[str] = Counter()
        self._state = state
        self._task = task
        self._engine = engine
        self._admission = admission

    def find_other(self, lost: Collection[str]) -> tuple[Stage, ...]:
        """Return a path to be sent again over; empty if there is none."""
        wanted = self.build_request(is_urgent=True)
        wanted.avoid = {*self.avoid, *lost}
        return self.find(wanted)

    def find_behind(
        self, head: Stage, held: frozenset[str], lost: Collection[str]
    ) -> tuple[Stage, ...]:
        """Return a path that begins as before; empty if there is none.

        Parameters
        ----------
        head : Stage
            The first part, which stays as it is.
        held : frozenset of str
            Replicas that hold the stream's tokens already.
        lost : collection of str
            Replicas that it must not pass through.
        """
        wanted = PathRequest(
            self.tokens,
            {*self.avoid, *lost},
            frozenset((head.replica.replica_id,)),
            first_end=head.layers.end,
            held=held,
            is_urgent=True,
        )
        return self.find(wanted)

    def build_request(self, *, is_urgent: bool) -> PathRequest:
        """Return what a path must offer for the stream to be sent over it."""
        heads = self._limit_heads()
        # One that failed is better than one more than the route allows.
        avoid = self.avoid - heads
        return PathRequest(self.tokens, avoid, heads, is_urgent=is_urgent)

    def build_resend(self, *, is_urgent: bool) -> PathRequest:
        """Return what a path must offer, at the heads that failed it least.

        Without the count, a stream whose route allows no other replica goes
        back to the nearest one, even if only the other one would serve it.
        """
        wanted = self.build_request(is_urgent=is_urgent)
        allowed = wanted.heads
        for count in sorted({self.failed_sends[name] for name in allowed}):
            wanted.heads = frozenset(
                name for name in allowed if self.failed_sends[name] == count
            )
            if self.find(wanted):
                return wanted
        wanted.heads = allowed
        return wanted

    def find_apart(self, taken: Collection[str]) -> frozenset[str]:
        """Return a replica to begin at where few others run; none if none is.

        Parameters
        ----------
        taken : collection of str
            Replicas that it must not begin at.
        """
        wanted = self.build_request(is_urgent=True)
        for replica_id in self._list_quiet_heads(taken):
            wanted.heads = frozenset((replica_id,))
            if self.find(wanted):
                return wanted.heads
        return ANY_HEAD

    def build_beside(self, head_id: str, lost: Collection[str]) -> PathRequest:
        """Return what a path must offer that begins elsewhere.

        Parameters
        ----------
        head_id : str
            Where the present path begins.
        lost : collection of str
            Replicas that the path must not pass through.
        """
        wanted = self.build_request(is_urgent=True)
        wanted.avoid = {*wanted.avoid, *lost, head_id}
        return wanted

    def find(self, wanted: PathRequest) -> tuple[Stage, ...]:
        """Return a path with room now; empty if there is none."""
        return self._admission.find(
            self._task.service.name, self._engine, wanted
        )

    def _list_quiet_heads(self, taken: Collection[str]) -> list[str]:
        """Return the replicas with the first layer and the fewest requests."""
        usable = self._state.view.list_usable(
            self._task.service.name, asyncio.get_running_loop().time()
        )
        heads = [
            found.replica.replica_id
            for found in usable
            if found.replica.layers is not None
            and found.replica.layers.first == 0
            and found.replica.replica_id not in taken
        ]
        return sorted(heads, key=self._state.book.requests)[:_MOST_APART]

    def _limit_heads(self) -> frozenset[str]:
        """Return the replicas that a path must begin with; empty for any.

        A route says to how many replicas a request may be sent; those that
        are gone don't count. One that is only silent does: where packets are
        lost it is there, and has run the request.
        """
        view = self._state.view
        live = {
            name for name in self.heads - self.ended if not view.has_ended(name)
        }
        if len(live) < self._task.route.max_attempts:
            return ANY_HEAD
        return frozenset(live)


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
