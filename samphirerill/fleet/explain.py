"""Say why no path was found, for logs and refusals."""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from samphirerill.fleet.paths import has_room

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.load import LoadBook
    from samphirerill.fleet.model import EngineSpec, LayerRange
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.fleet.view import Known


def explain_no_path(
    engine: EngineSpec,
    usable: Sequence[Known],
    book: LoadBook,
    wanted: PathRequest,
) -> str:
    """Return what is missing: a holder, room, or a way between them."""
    present = [
        found
        for found in usable
        if found.replica.replica_id not in wanted.avoid
    ]
    gap = _find_gap(engine, _list_ranges(present))
    if gap:
        return f'nobody holds layers {gap}'
    roomy = [
        found for found in present if has_room(engine, found, book, wanted)
    ]
    gap = _find_gap(engine, _list_ranges(roomy))
    if gap:
        return f'no room in layers {gap}'
    return 'no way between the parts that have room'


def _list_ranges(known: Sequence[Known]) -> list[LayerRange]:
    return [
        found.replica.layers
        for found in known
        if found.replica.layers is not None
    ]


def _find_gap(engine: EngineSpec, ranges: Iterable[LayerRange]) -> str:
    """Return the first layers that no range covers, as text."""
    position = 0
    for layers in sorted(ranges, key=attrgetter('first')):
        if layers.first > position:
            return f'{position}-{layers.first}'
        position = max(position, layers.end)
    return '' if position >= engine.layers else f'{position}-{engine.layers}'
