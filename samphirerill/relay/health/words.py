"""Take what other nodes say of silent replicas, unless this one knows better."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.suspicion import Word
from samphirerill.relay.health.signs import find_signs

if TYPE_CHECKING:
    from samphirerill.relay.health.alarms import Alarm
    from samphirerill.relay.messages import NodeStatus
    from samphirerill.relay.state import EdgeState

# An event may have passed the replica so long before it came here.
_SIGN_LAG_S = 0.015
# Words of one node that differ by less are the same one, told again.
_SAME_S = 0.05


def apply_suspicions(state: EdgeState, told: NodeStatus) -> None:
    """Take what a node, or a data centre, says of replicas beside its load.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    told : Told
        What was told.
    """
    for key, (left_ms, votes) in told.suspected.items():
        name = state.names.get(key)
        if name is not None:
            ago_ms = told.suspected_ago_ms.get(key, 0)
            take_word(state, name, read_word(told, ago_ms, left_ms, votes))


def read_word(
    said_in: Alarm | NodeStatus, ago_ms: int, left_ms: int, votes: int
) -> Word:
    """Return what a datagram says of a replica, on this node's clock.

    Parameters
    ----------
    said_in : Alarm or Told
        Names who says so.
    ago_ms : int
        How long ago the replica was found silent.
    left_ms : int
        How much longer that counts.
    votes : int
        Of how many nodes it is the word.
    """
    now = asyncio.get_running_loop().time()
    return Word(
        now - ago_ms / MS_PER_S,
        now + left_ms / MS_PER_S,
        votes,
        said_in.node,
        said_in.data_centre,
    )


def take_word(state: EdgeState, replica_id: str, word: Word) -> bool:
    """Take another node's word; return whether a replica is dead by it, as news.

    Parameters
    ----------
    state : EdgeState
        What this node knows; the events of its streams speak for a replica.
    replica_id : str
        Of which replica.
    word : Word
        What is said.
    """
    now = asyncio.get_running_loop().time()
    found = state.view.known.get(replica_id)
    if found is None or word.since < found.suspicion.heard_at:
        return False
    before = found.suspicion.words.get(word.node)
    if before is None or word.since > before.since + _SAME_S:
        # Looked for once for each word: nodes repeat theirs several times a
        # second, and to look through all streams each time would hold them up.
        sign = find_signs(state.streams, word.since).get(replica_id)
        if sign is not None:
            state.view.trust(replica_id, sign - _SIGN_LAG_S)
    return state.view.suspect(
        replica_id,
        word.until,
        now,
        witness=word.node,
        votes=word.votes,
        since=word.since,
        data_centre=word.data_centre,
    )
