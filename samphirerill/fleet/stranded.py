"""Data centres in which no pipeline is left, or never was.

Answers to: a data centre whose replicas all start anew, a first plan that was made
for half of a fleet, more losses than a data centre's own replicas can make up for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.mending import close_gaps
from samphirerill.fleet.migration import assign_parts
from samphirerill.fleet.planner import plan_zone
from samphirerill.fleet.zone_state import list_used

if TYPE_CHECKING:
    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.worth import Aims
    from samphirerill.fleet.zone_state import Zone


def build_anew(engine: EngineSpec, zone: Zone, aims: Aims) -> None:
    """Plan a data centre from nothing in which no pipeline can be mended.

    Its replicas came back empty, or hold parts that don't fit together; what
    they hold serves at the most paths that cross to other data centres, which
    pipes bind. Left to be mended, a data centre whose replicas had all started
    anew never served again.
    """
    planned = plan_zone(engine, zone.cards, aims)
    if planned is None:
        return
    zone.moves.update(assign_parts(planned.pipelines, zone.cards))
    zone.whole.extend(planned.pipelines)
    zone.broken.clear()
    used = list_used(zone)
    used.update(zone.moves)
    zone.spares = [item for item in zone.cards if item.replica_id not in used]


def mend_across(engine: EngineSpec, zones: list[Zone]) -> None:
    """Let data centres without a pipeline use what others don't need."""
    stranded = [zone for zone in zones if not zone.whole]
    if not stranded:
        return
    names = {card.data_centre for zone in stranded for card in zone.cards}
    cards = [card for zone in stranded for card in zone.cards]
    cards.extend(card for zone in zones if zone.whole for card in zone.spares)
    chains = [
        chain
        for chain in extract_chains(engine, cards)
        if any(stage.replica.data_centre in names for stage in chain.stages)
    ]
    if not chains:
        return
    if all(chain.gaps for chain in chains):
        best = chains[0]
        held = {stage.replica.replica_id for stage in best.stages}
        free = [card for card in cards if card.replica_id not in held]
        stranded[0].moves.update(close_gaps(engine, best, free) or {})
    _reserve(zones, chains)


def _reserve(zones: list[Zone], chains: list[Chain]) -> None:
    """Take away spares that a pipeline across data centres needs."""
    used = {
        stage.replica.replica_id
        for chain in chains
        if not chain.gaps
        for stage in chain.stages
    }
    used.update(name for zone in zones for name in zone.moves)
    for zone in zones:
        zone.spares = [
            card for card in zone.spares if card.replica_id not in used
        ]
