"""Find paths over which one stream can be sent."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from samphirerill.fleet.paths import PathRequest

if TYPE_CHECKING:
    from collections.abc import Collection

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import AdmissionQueue
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.used_replicas import UsedReplicas

# Head replicas to try for an isolated run. Bounds the path searches.
_MAX_ISOLATED_CANDIDATES = 3
# No restriction on the head replica of a path.
ANY_HEAD: frozenset[str] = frozenset()


class PathFinder:
    """Searches paths for one stream and tracks the replicas to exclude.

    The head replica of a path is the one that holds its first stage: the stream
    is sent to it, and it forwards to the others. `avoid` are replicas that
    failed the stream, `used_heads` the head replicas that it was sent to,
    `failed_sends` how often each returned no event; `tokens` is the KV-cache
    memory that the stream is expected to need.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    engine : EngineSpec
        Performance figures of the service's engine.
    admission : AdmissionQueue
        Searches paths with free capacity.
    used_heads : UsedReplicas
        Head replicas that the stream was sent to.
    """

    __slots__ = (
        '_admission',
        '_engine',
        '_state',
        '_context',
        'avoid',
        'used_heads',
        'tokens',
        'failed_sends',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        engine: EngineSpec,
        admission: AdmissionQueue,
        used_heads: UsedReplicas,
    ) -> None:
        self.tokens = _estimate_tokens(engine, context)
        self.avoid: set[str] = set()
        self.used_heads = used_heads
        self.failed_sends: Counter[str] = Counter()
        self._state = state
        self._context = context
        self._engine = engine
        self._admission = admission

    def find_with_head(
        self,
        head: Stage,
        cached_ids: frozenset[str],
        failed_ids: Collection[str],
    ) -> tuple[Stage, ...]:
        """Return a path with the same first stage; empty if there is none.

        Parameters
        ----------
        head : Stage
            The first stage, which is kept.
        cached_ids : frozenset of str
            Replicas that already hold the stream's KV cache.
        failed_ids : collection of str
            Replicas to exclude.
        """
        path_request = PathRequest(
            self.tokens,
            {*self.avoid, *failed_ids},
            frozenset((head.replica.replica_id,)),
            first_stage_end=head.layers.end,
            prefilled_on=cached_ids,
            is_urgent=True,
        )
        return self.find_path(path_request)

    def build_request(self, *, is_urgent: bool) -> PathRequest:
        """Return the requirements on a path for the stream."""
        heads = self.used_heads.get_allowed()
        # Retry a head that failed rather than exceed the allowed number.
        avoid = self.avoid - heads
        return PathRequest(self.tokens, avoid, heads, is_urgent=is_urgent)

    def build_retry_request(self, *, is_urgent: bool) -> PathRequest:
        """Return the requirements, limited to the heads that failed least.

        Without that order, a stream that may use no further head replica would
        be sent to the nearest one again and again, even if only the other one
        can serve it. A stream that has started returns to a replica that
        failed it rather than wait for another one.
        """
        path_request = self.build_request(is_urgent=is_urgent)
        allowed = path_request.first_replicas
        for count in sorted({self.failed_sends[name] for name in allowed}):
            path_request.first_replicas = frozenset(
                name for name in allowed if self.failed_sends[name] == count
            )
            if self.find_path(path_request):
                return path_request
        path_request.first_replicas = allowed
        if is_urgent and not self.find_path(path_request):
            path_request.excluded = ()
        return path_request

    def find_isolated_head(
        self, excluded_ids: Collection[str]
    ) -> frozenset[str]:
        """Return a lightly loaded head replica with a path, or an empty set.

        Parameters
        ----------
        excluded_ids : collection of str
            Head replicas to exclude.
        """
        path_request = self.build_request(is_urgent=True)
        for replica_id in self._list_least_loaded_heads(excluded_ids):
            path_request.first_replicas = frozenset((replica_id,))
            if self.find_path(path_request):
                return path_request.first_replicas
        return ANY_HEAD

    def build_parallel_request(
        self, head_id: str, failed_ids: Collection[str]
    ) -> PathRequest:
        """Return the requirements on a path for a parallel run.

        Parameters
        ----------
        head_id : str
            The head replica of the present path, which is excluded.
        failed_ids : collection of str
            Other replicas to exclude.
        """
        path_request = self.build_request(is_urgent=True)
        path_request.excluded = {*path_request.excluded, *failed_ids, head_id}
        return path_request

    def build_alternative_request(
        self,
        head_id: str,
        failed_ids: Collection[str],
        *,
        is_urgent: bool,
    ) -> PathRequest:
        """Return the requirements on a path after the present one is left.

        Parameters
        ----------
        head_id : str
            The head replica of the present path, which is excluded unless no
            other one is allowed.
        failed_ids : collection of str
            Other replicas to exclude.
        is_urgent : bool
            Whether the stream has started.
        """
        path_request = self.build_request(is_urgent=is_urgent)
        left_ids = {head_id} - path_request.first_replicas
        path_request.excluded = {
            *path_request.excluded,
            *failed_ids,
            *left_ids,
        }
        return path_request

    def build_resend_request(
        self,
        head_id: str,
        released_ids: Collection[str],
        failed_ids: Collection[str],
        *,
        is_urgent: bool,
    ) -> PathRequest:
        """Return the requirements on a path that replaces the present one.

        Parameters
        ----------
        head_id : str
            The head replica of the present path, which is kept.
        released_ids : collection of str
            Replicas whose memory the present run uses until then.
        failed_ids : collection of str
            Replicas to exclude.
        is_urgent : bool
            Whether the stream has started.
        """
        return PathRequest(
            self.tokens,
            {*self.avoid, *failed_ids} - {head_id},
            frozenset((head_id,)),
            prefilled_on=frozenset(released_ids),
            is_urgent=is_urgent,
        )

    def find_path(self, path_request: PathRequest) -> tuple[Stage, ...]:
        """Return a path with free capacity; empty if there is none."""
        return self._admission.find_path(
            self._context.service.name, self._engine, path_request
        )

    def _list_least_loaded_heads(
        self, excluded_ids: Collection[str]
    ) -> list[str]:
        """Return the head replicas with the fewest requests."""
        usable = self._state.view.list_usable(
            self._context.service.name, asyncio.get_running_loop().time()
        )
        heads = [
            found.replica.replica_id
            for found in usable
            if found.replica.layers is not None
            and found.replica.layers.first == 0
            and found.replica.replica_id not in excluded_ids
        ]
        return sorted(heads, key=self._state.load_tracker.count_requests)[
            :_MAX_ISOLATED_CANDIDATES
        ]


def _estimate_tokens(engine: EngineSpec, context: RequestContext) -> float:
    """Return the KV-cache size that a stream is expected to need, in tokens.

    Clients often set the maximum answer length much higher than what is
    generated, so the smaller of that and the usual length is reserved.
    """
    facts = context.facts
    usual = engine.usual_answer
    answer_tokens = min(
        facts.max_answer_tokens or usual, facts.expected_answer_tokens or usual
    )
    return (facts.prompt_tokens or engine.usual_prompt) + answer_tokens
