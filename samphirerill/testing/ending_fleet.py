"""A small model of streams on replicas that end, around the quarantine itself.

No network and no clock: streams begin at replicas, run for some seconds, and are
sent again when their replica ends. What ends replicas is a request, or chance:
racks, replicas that go down and up by turns, releases without a word.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from samphirerill.quarantine import Death, Quarantine
from samphirerill.quarantine.book import (
    BEGINNING_S,
    SETTLE_S,
    SUSPECT_DEATHS,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_RUN_S = (1.0, 4.0)
# From the send to the first event.
_READING_S = (0.03, 0.25)
# From the first token of a request that ends its replica to that end.
_FATAL_S = (0.02, 0.12)
_REST_S = (0.1, 0.4)
_SHORT_S = 0.02
_RETURN_S = 0.4
_BACK_S = 3.0
_WAIT_S = 0.2
_TRIAL_S = 0.6
_JUDGED_S = SETTLE_S + 0.005


@dataclass(slots=True, frozen=True)
class Day:
    """What happens in one day of the model; times in seconds.

    `fatal` requests come each `fatal_gap_s`; each `loss_gap_s` a share of the
    replicas ends at once; `popular` is the share of streams with one body.
    """

    replicas: int = 6
    streams_per_s: float = 30.0
    length_s: float = 60.0
    fatal: int = 0
    fatal_gap_s: float = 5.0
    loss_gap_s: float = 0.0
    loss_share: float = 0.3
    popular: float = 0.0


@dataclass(slots=True)
class _Stream:
    request: bytes
    is_fatal: bool
    left_s: float
    replica: str = ''
    begins_at: float = 0.0
    sends: int = 0


@dataclass(slots=True)
class Tally:
    """What came of a day."""

    ends: int = 0
    fatal_sends: int = 0
    innocent_held: set[bytes] = field(default_factory=set)


class EndingFleet:
    """Plays one day.

    Parameters
    ----------
    day : Day
        What happens.
    seed : int
        Decides all that is left to chance.
    """

    def __init__(self, day: Day, seed: int) -> None:
        self.tally = Tally()
        self.quarantine = Quarantine()
        self._day = day
        self._random = Random(seed)  # noqa: S311
        self._now = 0.0
        self._order = count()
        self._names = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._aboard: dict[str, list[_Stream]] = {}
        self._trials: dict[str, float] = {}
        for _ in range(day.replicas):
            self._start_replica()

    def play(self) -> Tally:
        """Play the whole day."""
        self._after(0.0, self._arrive)
        for number in range(self._day.fatal):
            self._after(3.0 + number, partial(self._return_fatal, number))
        if self._day.loss_gap_s:
            self._after(self._day.loss_gap_s, self._lose_some)
        while self._queue and self._now < self._day.length_s:
            due = heapq.heappop(self._queue)
            self._now = due[0]
            due[2]()
        return self.tally

    def _after(self, delay_s: float, act: Callable[[], None]) -> None:
        at = self._now + delay_s
        heapq.heappush(self._queue, (at, next(self._order), act))

    def _arrive(self) -> None:
        self._after(
            self._random.expovariate(self._day.streams_per_s), self._arrive
        )
        is_popular = self._random.random() < self._day.popular
        request = b'popular' if is_popular else b'%d' % next(self._names)
        left_s = self._random.uniform(*_RUN_S)
        self._send(_Stream(request, is_fatal=False, left_s=left_s))

    def _return_fatal(self, number: int) -> None:
        self._after(self._day.fatal_gap_s, partial(self._return_fatal, number))
        for delay_s in (0.0, _RETURN_S):
            stream = _Stream(b'fatal %d' % number, is_fatal=True, left_s=9.0)
            self._after(delay_s, partial(self._send, stream))

    def _lose_some(self) -> None:
        self._after(self._day.loss_gap_s, self._lose_some)
        lost = round(self._day.loss_share * len(self._aboard))
        for name in self._random.sample(sorted(self._aboard), lost):
            self._end(name)

    def _send(self, stream: _Stream) -> None:
        if self.quarantine.find_held_until(stream.request, self._now):
            return
        names = self._list_open(stream)
        if not names:
            self._after(_WAIT_S, partial(self._send, stream))
            return
        stream.replica = self._random.choice(names)
        if self._is_suspect(stream):
            stream.replica = min(names, key=self._count_aboard)
            self._trials[stream.replica] = self._now + _TRIAL_S
        stream.sends += 1
        stream.begins_at = self._now + self._random.uniform(*_READING_S)
        self._aboard[stream.replica].append(stream)
        self._follow(stream)

    def _list_open(self, stream: _Stream) -> list[str]:
        """Return where a stream may begin: a suspect beside no other one."""
        names = sorted(self._aboard)
        if not self._is_suspect(stream):
            return names
        return [
            name for name in names if self._trials.get(name, 0.0) <= self._now
        ]

    def _count_aboard(self, name: str) -> int:
        return len(self._aboard[name])

    def _follow(self, stream: _Stream) -> None:
        """Let a send have its end, unless its replica ends before."""
        sends = stream.sends
        if stream.is_fatal:
            self.tally.fatal_sends += 1
            until = stream.begins_at + self._random.uniform(*_FATAL_S)
            act = self._end_by
        else:
            until = stream.begins_at + stream.left_s
            act = self._finish
        self._after(
            until - self._now,
            lambda: act(stream) if stream.sends == sends else None,
        )
        if not stream.is_fatal and stream.left_s > BEGINNING_S:
            self._after(
                stream.begins_at + BEGINNING_S - self._now,
                lambda: self._go_on(stream) if stream.sends == sends else None,
            )

    def _end_by(self, stream: _Stream) -> None:
        if stream in self._aboard.get(stream.replica, ()):
            self._end(stream.replica)

    def _go_on(self, stream: _Stream) -> None:
        if stream in self._aboard.get(stream.replica, ()):
            self.quarantine.note_survival(stream.request, self._now)

    def _finish(self, stream: _Stream) -> None:
        aboard = self._aboard.get(stream.replica, [])
        if stream in aboard:
            aboard.remove(stream)
            self.quarantine.note_survival(stream.request, self._now)

    def _end(self, name: str) -> None:
        self.tally.ends += 1
        broken = self._aboard.pop(name)
        self._after(_JUDGED_S, self._look_at_news)
        self._after(_BACK_S, self._start_replica)
        for stream in broken:
            ran_s = self._now - stream.begins_at
            if stream.is_fatal or ran_s < BEGINNING_S:
                death = Death(name, f'r{stream.sends}', self._now)
                self.quarantine.note_death(stream.request, death, self._now)
            else:
                self.quarantine.note_survival(stream.request, self._now)
        for stream in broken:
            stream.left_s -= max(0.0, self._now - stream.begins_at)
            stream.sends += 1
            rest_s = self._choose_rest_s(stream)
            self._after(rest_s, partial(self._send, stream))

    def _choose_rest_s(self, stream: _Stream) -> float:
        if self._is_suspect(stream):
            return self._random.uniform(*_REST_S)
        return _SHORT_S

    def _is_suspect(self, stream: _Stream) -> bool:
        return self.quarantine.count_deaths(stream.request) >= SUSPECT_DEATHS

    def _start_replica(self) -> None:
        self._aboard[f'replica-{next(self._names)}'] = []

    def _look_at_news(self) -> None:
        for news in self.quarantine.judge(self._now):
            if news.until and not news.request.startswith(b'fatal'):
                self.tally.innocent_held.add(news.request)
