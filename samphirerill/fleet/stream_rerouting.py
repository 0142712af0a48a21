"""Predict the pause of a stream that moves to another path.

When a replica is lost, all its streams move at once. Replicas that are new to a
stream have to prefill everything so far, one stream after another; where the
previous stage is in another data centre, the activations of all these tokens
cross a link first. The link is the bottleneck: prefilling anew on a path within
one data centre can be faster.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.prediction import (
    predict_prefill_ms,
    predict_transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.model import EngineSpec, Stage


def predict_reroute_pause_ms(
    engine: EngineSpec,
    stages: Sequence[Stage],
    held: Collection[str],
    tokens: float,
    concurrent: int,
) -> float:
    """Return how long a stream pauses until its new replicas have prefilled it.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    stages : sequence of Stage
        The whole new path.
    held : collection of str
        Replicas that already hold the stream's tokens.
    tokens : float
        How many tokens to prefill.
    concurrent : int
        How many streams move at the same time, this one included; on average
        half of the others go first.
    """
    durations_ms = [
        *_list_prefill_ms(engine, stages, held, tokens),
        *_list_transfers_ms(engine, stages, held, tokens),
    ]
    earlier_streams = max(0, concurrent - 1) / 2
    return sum(durations_ms) + earlier_streams * max(durations_ms, default=0.0)


def _list_prefill_ms(
    engine: EngineSpec,
    stages: Sequence[Stage],
    held: Collection[str],
    tokens: float,
) -> list[float]:
    return [
        predict_prefill_ms(
            engine,
            engine.accelerators[stage.replica.accelerator],
            stage.layers.count,
            tokens,
        )
        for stage in stages
        if stage.replica.replica_id not in held
    ]


def _list_transfers_ms(
    engine: EngineSpec,
    stages: Sequence[Stage],
    held: Collection[str],
    tokens: float,
) -> list[float]:
    transfer_ms = predict_transfer_ms(engine, tokens)
    return [
        transfer_ms
        for previous, stage in zip(stages, stages[1:], strict=False)
        if stage.replica.replica_id not in held
        and stage.replica.data_centre != previous.replica.data_centre
    ]
