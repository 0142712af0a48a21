"""Take what other nodes say of silent replicas, unless this one knows better."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.suspicion import Word
from samphirerill.relay.health.signs import find_last_sign

if TYPE_CHECKING:
    from samphirerill.relay.messages import ReplicaNames, Told
    from samphirerill.relay.state import EdgeState

_MS_PER_S = 1000
# An event may have passed the replica so long before it came here.
_SIGN_LAG_S = 0.015
# Words of one node that differ by less are the same one, told again.
_SAME_S = 0.05


def take_words(state: EdgeState, names: ReplicaNames, told: Told) -> None:
    """Take what a node, or a data centre, says of replicas beside its load.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    names : ReplicaNames
        Whom the datagram's checksums name.
    told : Told
        What was told.
    """
    now = asyncio.get_running_loop().time()
    for key, (left_ms, votes) in told.avoided.items():
        name = names.get(key)
        if name is not None:
            word = Word(
                now - told.silent.get(key, 0) / _MS_PER_S,
                now + left_ms / _MS_PER_S,
                votes,
                told.node,
                told.data_centre,
            )
            take_word(state, name, word)


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
        sign = find_last_sign(state.streams, replica_id)
        if sign > word.since:
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
