"""At which replicas a suspect runs now: no other suspect should begin there."""

from __future__ import annotations

# From the send until the run has gone on for longer than a beginning.
TRIAL_S = 0.6
_MOST_KEPT = 256


class Trials:
    """Replicas with a suspect, of this node or another one, each until when."""

    __slots__ = ('_until',)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def begin(self, replica_id: str, until: float, now: float) -> None:
        """A suspect is sent to a replica."""
        if len(self._until) >= _MOST_KEPT:
            self._until = {name: self._until[name] for name in self.list(now)}
        self._until[replica_id] = max(until, self._until.get(replica_id, 0.0))

    def list(self, now: float) -> frozenset[str]:
        """Return the replicas with a suspect."""
        return frozenset(
            name for name, until in self._until.items() if until > now
        )
