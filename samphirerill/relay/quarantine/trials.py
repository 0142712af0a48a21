"""Replicas that run a suspect request, where no other suspect is sent."""

from __future__ import annotations

# Time from sending a suspect until it would have crashed the replica.
TRIAL_S = 0.6
_MAX_TRIALS = 256


class Trials:
    """Replicas that run a suspect of this or another node, and until when."""

    __slots__ = ('_until',)

    def __init__(self) -> None:
        self._until: dict[str, float] = {}

    def begin(self, replica_id: str, until: float, now: float) -> None:
        """Record that a suspect is sent to a replica."""
        if len(self._until) >= _MAX_TRIALS:
            self._until = {name: self._until[name] for name in self.list(now)}
        self._until[replica_id] = max(until, self._until.get(replica_id, 0.0))

    def list(self, now: float) -> frozenset[str]:
        """Return the replicas that run a suspect."""
        return frozenset(
            name for name, until in self._until.items() if until > now
        )
