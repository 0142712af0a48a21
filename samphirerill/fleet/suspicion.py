"""Whether a replica is taken to be dead: by whose word, and until when.

Each node finds silent replicas by itself and tells the others. Its word counts for
its own streams at once; that a replica is dead for all takes two nodes. A word is
about a moment: who has heard from the replica since knows better.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from samphirerill.fleet.gathering import name_sum

# So many nodes, each with one vote, make it sure that a replica is dead.
SURE_VOTES = 2
# This node's own word.
_LOCAL_NODE = ''


@dataclass(slots=True, frozen=True)
class Word:
    """What a node, or all of a data centre, says of a replica's silence.

    `since` is when it was found silent, `until` how long the word counts, both
    on the loop's clock; `votes` is how many nodes say so, or `SURE_VOTES` if
    there is no doubt. `node` is empty for this node.
    """

    since: float
    until: float
    votes: int = 1
    node: str = _LOCAL_NODE
    data_centre: str = ''

    @property
    def is_own(self) -> bool:
        """Return whether this node has found it out itself."""
        return self.node == _LOCAL_NODE


@dataclass(slots=True)
class Suspicion:
    """What speaks for and against a replica's death.

    `dead_until` is how long it is taken to be dead, `found_until` the same as
    far as this node found it out itself, `sure_until` as far as more than one
    node did. `has_ended` is whether nobody listens at its address. `heard_at`
    is the latest moment of which it is known that the replica worked.
    """

    dead_until: float = 0.0
    found_until: float = 0.0
    sure_until: float = 0.0
    has_ended: bool = False
    heard_at: float = float('-inf')
    words: dict[str, Word] = field(default_factory=dict)

    def take(self, word: Word, now: float) -> bool:
        """Take a word; return whether the replica is dead by it, as news.

        A node that is cut off or was held up finds replicas silent that live.
        Two such nodes made a death sure for all, and the layers of whole data
        centres were loaded anew; so a word counts for nothing at a node that
        has heard from the replica since.
        """
        if word.since < self.heard_at:
            return False
        self.words[word.node] = word
        is_sure = self.count_votes(now) >= SURE_VOTES
        if is_sure:
            self.sure_until = max(self.sure_until, word.until)
        if not is_sure and not word.is_own:
            return False
        is_news = self.dead_until <= now
        self.dead_until = max(self.dead_until, word.until)
        if word.is_own:
            self.found_until = max(self.found_until, word.until)
        return is_news

    def hear(self, at: float) -> bool:
        """The replica worked at a moment; return whether it is dead no more.

        What was said of the time before is over, also what others said.
        """
        if at <= self.heard_at:
            return False
        self.heard_at = at
        if any(word.since >= at for word in self.words.values()):
            return False
        was_dead = bool(self.dead_until)
        self.clear()
        return was_dead

    def clear(self) -> None:
        """Hold nothing against the replica any more."""
        self.dead_until = 0.0
        self.found_until = 0.0
        self.sure_until = 0.0
        self.has_ended = False
        self.words.clear()

    def count_votes(self, now: float) -> int:
        """Return how many votes there are for that it is dead.

        The nodes of another data centre speak for themselves at first, and
        together later; a node that is heard both ways has one vote.
        """
        individual: Counter[str] = Counter()
        aggregated: Counter[str] = Counter()
        for word in self.words.values():
            if word.until <= now:
                continue
            if word.node == name_sum(word.data_centre):
                aggregated[word.data_centre] = word.votes
            else:
                individual[word.data_centre] += word.votes
        return (individual | aggregated).total()

    def get_own(self) -> Word | None:
        """Return what this node says of it, if anything."""
        return self.words.get(_LOCAL_NODE)
