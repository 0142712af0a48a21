"""What the nodes of a data centre have to tell together."""

from __future__ import annotations

from operator import add
from typing import TYPE_CHECKING

from samphirerill.fleet.gathering import name_sum
from samphirerill.relay.messages import Told, list_pipes, list_words

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.state import EdgeState


def build_sum(state: EdgeState, own: Told, near: Iterable[Told]) -> Told:
    """Return one datagram in place of those of all nodes here.

    Parameters
    ----------
    state : EdgeState
        Of the node that sums up.
    own : Told
        What it has to tell itself.
    near : iterable of Told
        What the others here told last.
    """
    told = [own, *near]
    words = list_words(state, own.data_centre)
    return Told(
        node=name_sum(own.data_centre),
        started=own.started,
        number=own.number,
        version=own.version,
        revision=own.revision,
        held=_sum_held(told),
        avoided=words.avoided,
        pipes=list_pipes(state.pipes.near_sent),
        data_centre=own.data_centre,
        nodes=len(told),
        uses=_sum_uses(told),
        silent=words.silent,
    )


def _sum_uses(told: Iterable[Told]) -> dict[str, tuple[int, int, int]]:
    uses: dict[str, tuple[int, int, int]] = {}
    for each in told:
        for service, counts in each.uses.items():
            before = uses.get(service, (0, 0, 0))
            requests, repeats, streams = map(add, before, counts)
            uses[service] = (requests, repeats, streams)
    return uses


def _sum_held(told: Iterable[Told]) -> dict[int, tuple[int, int]]:
    held: dict[int, tuple[int, int]] = {}
    for each in told:
        for key, (count, units) in each.held.items():
            before = held.get(key, (0, 0))
            held[key] = (before[0] + count, before[1] + units)
    return held
