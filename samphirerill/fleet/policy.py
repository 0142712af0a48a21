"""Feature switches for single mechanisms of routing and planning.

Each mechanism can be switched off in the settings to measure its benefit; all
are on by default.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Policy:
    """Switches; each is described as it acts when on, then when off.

    `unhurried_leaving`: streams on a draining replica stay while it serves
    them, then move one by one; otherwise all move at once.

    `cheaper_way`: a stream that lost a stage is sent again from the start where
    that is faster than moving it; otherwise it moves if it can.

    `own_silence`: the timeout for a silent stream adapts to its own event
    intervals; otherwise it is three predicted intervals.

    `signs_of_life`: on a silent path, replicas that currently deliver events of
    other streams are not probed; otherwise all are.

    `spread`: a replica counts as slower for each stream already on it.

    `lean_plans`: pipelines have as few stages as the demand allows; otherwise
    as many as maximise the rate.

    `near_heads`: paths whose first stage is in the node's own data centre are
    preferred.
    """

    unhurried_leaving: bool = True
    cheaper_way: bool = True
    own_silence: bool = True
    signs_of_life: bool = True
    spread: bool = True
    near_heads: bool = True
    lean_plans: bool = True
