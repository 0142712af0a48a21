"""Index of which suspects were at which crashes."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from samphirerill.quarantine.records import Crash

# One crash makes nothing a suspect.
_MIN_CRASHES = 2
_CrashId = tuple[str, int]


class CrashIndex:
    """Tells which suspects explain the same crashes.

    Suspects with the same crashes are grouped, as a crash makes suspects of all
    that had just started there.
    """

    __slots__ = ('_crash_ids', '_crashes', '_explained', '_known', '_names')

    def __init__(self) -> None:
        self._known: dict[str, list[Crash]] = defaultdict(list)
        self._explained: set[_CrashId] = set()
        self._crashes: dict[bytes, list[Crash]] = {}
        self._crash_ids: dict[bytes, frozenset[_CrashId]] = {}
        self._names: dict[frozenset[_CrashId], set[bytes]] = {}

    def explain(self, crashes: Iterable[Crash]) -> None:
        """Leave out crashes whose cause is known."""
        self._explained.update(map(self._identify, crashes))

    def add(self, name: bytes, crashes: Iterable[Crash]) -> bool:
        """Add a suspect with its crashes; return whether it is one.

        It is not if the cause of its crashes is known.
        """
        by_id = {self._identify(crash): crash for crash in crashes}
        crash_ids = frozenset(by_id) - self._explained
        if len(crash_ids) < _MIN_CRASHES:
            return False
        self._crashes[name] = [
            crash for crash_id, crash in by_id.items() if crash_id in crash_ids
        ]
        self._crash_ids[name] = crash_ids
        self._names.setdefault(crash_ids, set()).add(name)
        return True

    def list_crashes(self, name: bytes) -> list[Crash]:
        """Return the crashes of a suspect whose cause is not known, in order."""
        return self._crashes[name]

    def find_companions(self, name: bytes) -> frozenset[bytes]:
        """Return the suspects that were at all crashes of this one."""
        crash_ids = self._crash_ids[name]
        return frozenset(
            other
            for other_ids, others in self._names.items()
            if crash_ids <= other_ids
            for other in others
            if other != name
        )

    def count_unexplained(
        self, name: bytes, companions: Collection[bytes]
    ) -> int:
        """Return how many crashes of a suspect no likelier one explains.

        One that was at fewer crashes is less likely to have caused them.

        Parameters
        ----------
        name : bytes
            The suspect.
        companions : collection of bytes
            Suspects that were at all its crashes, and do not explain them.
        """
        crash_ids = self._crash_ids[name]
        explained: set[_CrashId] = set()
        for other_ids, others in self._names.items():
            is_likelier = len(other_ids) >= len(crash_ids)
            if is_likelier and not others <= {name, *companions}:
                explained |= crash_ids & other_ids
        return len(crash_ids - explained)

    def _identify(self, crash: Crash) -> _CrashId:
        """Return an id that is equal for reports of the same crash."""
        known = self._known[crash.endpoint]
        for number, other in enumerate(known):
            if crash.is_same_crash(other):
                return crash.endpoint, number
        known.append(crash)
        return crash.endpoint, len(known) - 1
