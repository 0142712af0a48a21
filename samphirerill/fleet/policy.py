"""Which ways of deciding are in use; each can be switched off by itself.

A mechanism stays only if it is worth something. To measure that, every one has
a field here, all of them on unless the settings say otherwise; the object is
passed whole to those who decide.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Policy:
    """Switches of single mechanisms.

    `unhurried_leaving`: streams on a replica that leaves stay as long as it
    serves them, and then move one by one; otherwise all move at once.
    `cheaper_way`: a stream that lost a part is sent again where that takes
    less than moving it; otherwise it moves if it can.
    `own_silence`: a silence is measured by the stream's own gaps; otherwise by
    three gaps as they were predicted.
    `signs_of_life`: replicas that other streams' events come through are not
    asked about a silence; otherwise all of a silent path are.
    `spread`: a replica counts as slower for each stream that is there already.
    `lean_plans`: pipelines have few parts that their load is met with;
    otherwise as many as give the most answers.
    `near_heads`: paths that begin in the node's own data centre go first.
    """

    unhurried_leaving: bool = True
    cheaper_way: bool = True
    own_silence: bool = True
    signs_of_life: bool = True
    spread: bool = True
    near_heads: bool = True
    lean_plans: bool = True
