"""Fleets for tests of plans and paths."""

from __future__ import annotations

from dataclasses import replace
from zlib import crc32

from samphirerill.fleet.model import (
    Accelerator,
    EngineSpec,
    LayerRange,
    Replica,
)
from samphirerill.fleet.view import ReplicaState

ENGINE = EngineSpec(
    slots=96,
    stride=2,
    step_ms=0.85,
    per_seq_ms=0.0076,
    context_per_k_ms=0.0102,
    read_per_s=196_000,
    layers=80,
    layer_mb=1750,
    token_bytes=1_180_000,
    activation_bytes=59_000,
    pipe_mbps=11_000,
    load_s=14,
    loads_at_once=6,
    usual_prompt=772,
    usual_answer=174,
    accelerators={
        'large': Accelerator('large', 72_000, 1.4, 1),
        'middle': Accelerator('middle', 36_000, 3.1, 3.2),
        'small': Accelerator('small', 21_600, 16, 8.2),
        'tiny': Accelerator('tiny', 14_400, 15, 15),
    },
)
THREE_DATA_CENTRES = {
    'a': {'large': 1, 'middle': 1, 'small': 5, 'tiny': 7},
    'b': {'middle': 1, 'small': 8, 'tiny': 3},
    'c': {'middle': 2, 'small': 4, 'tiny': 7},
}
START_S = 0.0


def build_fleet(data_centres: dict[str, dict[str, int]]) -> list[Replica]:
    """Return replicas without layers, named by data centre, kind and number."""
    fleet: list[Replica] = []
    for data_centre, kinds in data_centres.items():
        for kind, count in kinds.items():
            fleet.extend(
                build_replica(
                    f'{data_centre}-{kind}-{number}', data_centre, kind
                )
                for number in range(count)
            )
    return fleet


def build_replica(
    name: str,
    data_centre: str = 'a',
    kind: str = 'small',
    layers: tuple[int, int] | None = None,
) -> Replica:
    """Return a replica that holds `layers`, given as first and end."""
    held = None if layers is None else LayerRange(*layers)
    return Replica(
        replica_id=name,
        service='llm',
        address=f'10.0.0.1:{1024 + crc32(name.encode()) % 9000}',
        data_centre=data_centre,
        slots=96,
        accelerator=kind,
        layers=held,
    )


def apply_moves(
    replicas: list[Replica], moves: dict[str, LayerRange]
) -> list[Replica]:
    """Return the replicas with the layers that moves assign to them."""
    return [
        replace(item, layers=moves.get(item.replica_id, item.layers))
        for item in replicas
    ]


def build_states(replicas: list[Replica]) -> list[ReplicaState]:
    """Return the replicas as entries of a fleet view."""
    return [ReplicaState(replica, 1) for replica in replicas]
