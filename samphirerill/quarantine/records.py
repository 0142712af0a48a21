"""What is known against one request: which endpoints ended as it began there."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

# Ends so close together have one cause, as when a rack loses power.
_SAME_CAUSE_S = 0.05
# Two nodes that saw the same endpoint end differ by less.
_SAME_CRASH_S = 1.0
# More of them change nothing.
MAX_CRASHES = 8
_NEVER = float('-inf')
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Death:
    """An endpoint's process ended as it began to run a request.

    Parameters
    ----------
    endpoint : str
        Which start of which endpoint.
    request_id : str
        The client's name for the attempt; operators find it in the logs.
    at : float
        When, on the loop's clock.
    """

    endpoint: str
    request_id: str
    at: float

    def is_same_crash(self, other: Death) -> bool:
        """Return whether both tell of one end of one endpoint."""
        is_close = abs(self.at - other.at) < _SAME_CRASH_S
        return self.endpoint == other.endpoint and is_close


@dataclass(slots=True)
class Record:
    """The ends that one request saw, in order of time.

    A run that goes on, or comes to its end, shows that the request harms
    nobody; ends before `survived_at` count for nothing.
    """

    deaths: list[Death] = field(default_factory=list)
    survived_at: float = _NEVER

    def add(self, death: Death) -> bool:
        """Take an end; return whether it counts and was not known."""
        if death.at <= self.survived_at or any(
            map(death.is_same_crash, self.deaths)
        ):
            return False
        if len(self.deaths) == MAX_CRASHES:
            self.deaths.pop(0)
        insort(self.deaths, death, key=attrgetter('at'))
        return True

    def note_survival(self, at: float) -> bool:
        """Forget the ends before a moment; return whether there were any."""
        self.survived_at = max(self.survived_at, at)
        latest = len(self.deaths)
        self.deaths = [death for death in self.deaths if death.at > at]
        return len(self.deaths) < latest

    def list_distinct_crashes(self) -> list[Death]:
        """Return the ends, one of each moment."""
        distinct: list[Death] = []
        for death in self.deaths:
            if not distinct or death.at - distinct[-1].at >= _SAME_CAUSE_S:
                distinct.append(death)
        return distinct

    def was_suspect(self, death: Death, min_crashes: int) -> bool:
        """Return whether the request saw an end after enough others."""
        if len(self.deaths) <= min_crashes:
            return False
        if not any(map(death.is_same_crash, self.deaths)):
            return False
        latest = death.at - _SAME_CAUSE_S
        earlier = [known.at < latest for known in self.list_distinct_crashes()]
        return sum(earlier) >= min_crashes


def describe_record(record: Record, until: float, now: float) -> dict[str, Any]:
    """Return a record for operators: by attempts, never by its digest.

    Parameters
    ----------
    record : Record
        With one end at the least.
    until : float
        Until when the request is held back; 0 if it is not.
    now : float
        On the loop's clock.
    """
    return {
        'first_request': record.deaths[0].request_id,
        'left_ms': max(0, round((until - now) * _MS_PER_S)) if until else 0,
        'deaths': describe_deaths(record.deaths, now),
    }


def describe_deaths(
    deaths: Iterable[Death], now: float
) -> list[dict[str, Any]]:
    """Return ends for operators, each with how long ago it was."""
    return [
        {
            'endpoint': death.endpoint,
            'request': death.request_id,
            'ago_ms': round((now - death.at) * _MS_PER_S),
        }
        for death in deaths
    ]
