"""Replica processes that have ended, each with proof.

An entry that is missing from the store is no proof: its lease ran out, or the
replica withdrew it and serves on. Proof is a connection that was refused at its
address, or another process there or under its id.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

MAX_ENDS = 4096
# When an end was found that no sign of life refutes.
_FOR_GOOD = float('inf')


@dataclass(slots=True, frozen=True)
class _End:
    """The end of a process; `at` is when it was found, on the loop's clock."""

    started_ms: int
    at: float


class EndedProcesses:
    """The processes that have ended; beyond `MAX_ENDS` the oldest is dropped."""

    __slots__ = ('_ends',)

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}

    def __len__(self) -> int:
        """Return the number of known ends."""
        return len(self._ends)

    def note(self, replica: Replica, at: float) -> None:
        """Record that the process of a replica was found to have ended."""
        self._ends.pop(replica.replica_id, None)
        self._ends[replica.replica_id] = _End(replica.started_ms, at)
        if len(self._ends) > MAX_ENDS:
            self._ends.pop(next(iter(self._ends)))

    def note_replaced(self, replica: Replica) -> None:
        """Record that another process has taken the address or the id."""
        self.note(replica, _FOR_GOOD)

    def refute(self, replica_id: str, at: float | None = None) -> None:
        """Record that a replica has worked.

        Parameters
        ----------
        replica_id : str
            The replica.
        at : float, optional
            When, on the loop's clock; an end that was found later holds. By
            default none does.
        """
        end = self._ends.get(replica_id)
        if end is not None and (at is None or end.at < at):
            self._ends.pop(replica_id)

    def has_ended(self, replica: Replica) -> bool:
        """Return whether the process of a replica, or a later one, has ended."""
        end = self._ends.get(replica.replica_id)
        return end is not None and replica.started_ms <= end.started_ms
