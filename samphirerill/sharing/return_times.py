"""When rejected clients are told to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Part of the interval between two returns by which a return is shifted.
_JITTER = 0.5
# Returns that would be later than the limit are drawn from this last part of
# the time before it, so that they do not coincide.
_LATE_PART = 0.5


class ReturnTimes:
    """Schedules the returns of rejected clients by level.

    Parameters
    ----------
    random : Random
        Source of the jitter.
    """

    __slots__ = ('_next_at', '_random')

    def __init__(self, random: Random) -> None:
        self._random = random
        self._next_at: dict[int, float] = {}

    def assign(
        self,
        level: int,
        wait_s: float,
        room: float,
        rate: float,
        limit_s: float,
        now: float,
    ) -> float:
        """Return after how many seconds a client is to retry.

        Parameters
        ----------
        level : int
            The level of the rejected request.
        wait_s : float
            When capacity is expected for it.
        room : float
            The room that it needs.
        rate : float
            The room per second that becomes free for clients that this node
            rejects; 0 if unknown.
        limit_s : float
            The latest return, a third of the client's remaining time.
        now : float
            On the loop's clock.
        """
        limit_s = max(0.0, limit_s)
        first_at = now + min(wait_s, limit_s)
        at = max(first_at, self._next_at.get(level, first_at))
        interval_s = room / rate if rate > 0 else 0.0
        at += interval_s * _JITTER * self._random.random()
        if at > now + limit_s or not rate:
            return self._draw_late(wait_s, limit_s)
        self._next_at[level] = at + interval_s
        return at - now

    def _draw_late(self, wait_s: float, limit_s: float) -> float:
        earliest_s = max(min(wait_s, limit_s * _LATE_PART), 0)
        return self._random.uniform(earliest_s, limit_s)
