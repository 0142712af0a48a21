"""Predict an engine's times from its published figures.

A token visits every stage of its path. At each stage it waits for the rest of
the pass in progress, then takes part in a pass of `stride` steps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S

if TYPE_CHECKING:
    from samphirerill.fleet.model import Accelerator, EngineSpec

# An event arrives at a random moment of the pass in progress and waits for half
# of it on average, then takes a full pass.
_MEAN_PASSES_PER_STAGE = 1.5
# Network latency of a hop, and the risk of one more stage to lose.
STAGE_OVERHEAD_MS = 0.5
_TOKENS_PER_K = 1000
_BITS = 8
_MBIT = 1_000_000


def predict_step_ms(engine: EngineSpec, running: float) -> float:
    """Return the time of one step for all layers on a nominal accelerator."""
    context_k = (engine.usual_prompt + engine.usual_answer / 2) / _TOKENS_PER_K
    per_stream = engine.per_seq_ms + engine.context_per_k_ms * context_k
    return engine.step_ms + running * per_stream


def predict_stage_ms(
    engine: EngineSpec,
    accelerator: Accelerator,
    layers: int,
    running: float,
    slowness: float = 1.0,
) -> float:
    """Return what one stage adds to the time between two events."""
    share = layers / max(1, engine.layers)
    step_ms = (
        predict_step_ms(engine, running) * accelerator.step_factor * slowness
    )
    return _MEAN_PASSES_PER_STAGE * engine.stride * step_ms * share


def predict_prefill_ms(
    engine: EngineSpec, accelerator: Accelerator, layers: int, tokens: float
) -> float:
    """Return how long one stage takes to prefill so many tokens."""
    share = layers / max(1, engine.layers)
    total_ms = tokens / engine.read_per_s * MS_PER_S
    return total_ms * accelerator.prefill_factor * share


def predict_transfer_ms(engine: EngineSpec, tokens: float) -> float:
    """Return how long a prompt occupies a link between data centres."""
    if engine.pipe_mbps <= 0:
        return 0.0
    bits = tokens * engine.activation_bytes * _BITS
    return bits / (engine.pipe_mbps * _MBIT) * MS_PER_S


def count_events(engine: EngineSpec, answer_tokens: float = 0) -> float:
    """Return how many events an answer has; by default a usual one."""
    tokens = answer_tokens or engine.usual_answer
    return max(1.0, tokens / max(1, engine.stride))
