"""One data centre as repairs see it: its pipelines, and what they don't need."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.migration import build_pipeline
from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.planner import plan_zone
from samphirerill.fleet.prediction import predict_visit_ms
from samphirerill.fleet.rates import get_kind

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.rates import Pipeline
    from samphirerill.fleet.worth import Aims

Moves = dict[str, LayerRange]


@dataclass(slots=True)
class Zone:
    """One data centre: its pipelines, and what they don't need.

    `whole` are pipelines that work, or will by `moves`; `broken` those to be
    made whole.
    """

    cards: list[Replica]
    whole: list[Pipeline] = field(default_factory=list)
    broken: list[Chain] = field(default_factory=list)
    spares: list[Replica] = field(default_factory=list)
    moves: Moves = field(default_factory=dict)


def read_zone(
    engine: EngineSpec,
    cards: list[Replica],
    aims: Aims,
    settled: Collection[str],
    had: int,
) -> Zone:
    """Tell pipelines that lost a part from replicas that only double.

    Newcomers are no reason for another pipeline: the replicas that they
    replace are about to leave.
    """
    chains = extract_chains(engine, cards)
    whole = [build_pipeline(chain) for chain in chains if not chain.gaps]
    broken = [chain for chain in chains if chain.gaps]
    if broken:
        lasting = [item for item in cards if item.replica_id in settled]
        planned = plan_zone(engine, lasting, aims)
        wanted = 0 if planned is None else len(planned.pipelines)
        broken.sort(key=lambda chain: _predict_pace(engine, chain))
        broken = broken[: max(0, max(wanted, had) - len(whole))]
    zone = Zone(cards, whole, broken)
    used = list_used(zone)
    zone.spares = [item for item in cards if item.replica_id not in used]
    return zone


def list_used(zone: Zone) -> set[str]:
    """Return the replicas that pipelines need, whole ones or broken ones."""
    used = {
        replica.replica_id
        for pipeline in zone.whole
        for replica, _ in pipeline.parts
    }
    used.update(
        stage.replica.replica_id
        for other in zone.broken
        for stage in other.stages
    )
    return used


def list_held(replicas: Sequence[Replica]) -> list[LayerRange]:
    """Return what replicas hold, without those that hold nothing."""
    return [item.layers for item in replicas if item.layers is not None]


def by_id(zone: Zone) -> dict[str, Replica]:
    """Return the replicas of a data centre by their ids."""
    return {item.replica_id: item for item in zone.cards}


def _predict_pace(engine: EngineSpec, chain: Chain) -> float:
    """Return the milliseconds per layer that a chain takes."""
    spent = sum(
        predict_visit_ms(
            engine, get_kind(engine, stage.replica), stage.layers.count, 1
        )
        for stage in chain.stages
    )
    return spent / max(1, engine.layers - chain.count_missing())
