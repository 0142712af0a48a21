"""Probe one replica several times, as packets may be lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.health.patience import LEAST_PROBE_S, Patience
from samphirerill.relay.health.probing import Probe, Verdict, ask_once

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.health.patience import AnswerTimes
    from samphirerill.relay.state import EdgeState

# However long this process's loop lags, a round of probes ends then.
_LONGEST_ROUND_S = 0.4
_MOST_ROUNDS = 3


async def probe_with_retries(
    state: EdgeState, replica: Replica, times: AnswerTimes, most: int
) -> Probe:
    """Return the first answer, or that the replica is silent.

    A round during which the event loop lagged as long as answers take is
    repeated: for most of its time the replica was not probed at all.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    replica : Replica
        Whom to ask.
    times : AnswerTimes
        How long answers usually take; kept up to date.
    most : int
        Probes of one round.
    """
    rounds = 0
    has_lagged = True
    while has_lagged and rounds < _MOST_ROUNDS:
        rounds += 1
        clock = Patience(times)
        probe = await _ask_round(state, replica, clock, most)
        if probe is not None:
            times.note(clock.find_spent_s())
            return probe
        has_lagged = clock.lag_s >= LEAST_PROBE_S
    return Probe(asyncio.get_running_loop().time(), Verdict.IS_SILENT)


async def _ask_round(
    state: EdgeState, replica: Replica, clock: Patience, most: int
) -> Probe | None:
    """Return the first answer; none if none comes in time."""
    loop = asyncio.get_running_loop()
    last = loop.time() + _LONGEST_ROUND_S
    asked: set[asyncio.Task[Probe]] = set()
    probe: Probe | None = None
    while probe is None and len(asked) < most:
        asked.add(loop.create_task(ask_once(state, replica, last)))
        await clock.wait_to_ask_again(asked)
        probe = _find_answer(asked)
    while probe is None and await clock.wait_on(asked):
        probe = _find_answer(asked)
    for task in asked:
        task.cancel()
    return probe


def _find_answer(asked: Iterable[asyncio.Task[Probe]]) -> Probe | None:
    """Return what the first question that was answered brought, if any was."""
    for task in asked:
        if task.done() and task.result().verdict is not Verdict.IS_SILENT:
            return task.result()
    return None
