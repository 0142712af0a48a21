"""What it takes to let a stream that lost a part go on.

Answers to: the loss of one replica, when all streams that pass through it move
at the same moment. Parts that are new to a stream read everything so far, one
stream after another; where the part before them is in another data centre, the
activations of all these tokens pass through a pipe first. Through one pipe, 40
streams that moved together stood still for 570 to 680 ms; read anew over a whole
path within one data centre they need a third of that.
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


def predict_pause_ms(
    engine: EngineSpec,
    stages: Sequence[Stage],
    held: Collection[str],
    tokens: float,
    concurrent: int,
) -> float:
    """Return how long a stream stands still until new parts have read it.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    stages : sequence of Stage
        The whole path to go on over.
    held : collection of str
        Replicas that have read the stream already.
    tokens : float
        What is to be read.
    crowd : int
        How many streams move at the same moment, this one included; on
        average half of the others go first.
    """
    durations_ms = [
        *_list_prefill_ms(engine, stages, held, tokens),
        *_list_transfers_ms(engine, stages, held, tokens),
    ]
    previous = max(0, concurrent - 1) / 2
    return sum(durations_ms) + previous * max(durations_ms, default=0.0)


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
