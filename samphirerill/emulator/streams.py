"""Callers' streams over an emulated fleet, and what their callers got."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from samphirerill.emulator.engine import Visit
from samphirerill.emulator.fleet import SERVICE
from samphirerill.fleet.endings import is_lost
from samphirerill.fleet.load import LoadBook, list_ids
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.paths import PathRequest, choose_path
from samphirerill.fleet.pipes import PipeUse
from samphirerill.fleet.prediction import predict_transfer_ms

if TYPE_CHECKING:
    from random import Random

    from samphirerill.emulator.agenda import Agenda
    from samphirerill.emulator.fleet import EmulatedFleet
    from samphirerill.emulator.scenario import Traffic
    from samphirerill.fleet.model import Stage

# A request waits so long for a path; as in a node.
_ADMISSION_S = 1.4
_RETRY_S = 0.02
# How often a stream looks whether its path has lost a part; in a node it is told
# at once.
_WATCH_S = 0.01
# Clients give up after so long a silence.
_MOST_SILENCE_S = 2.0
_US_PER_S = 1_000_000
_MOST_S = 120
_MOST_US = _MOST_S * _US_PER_S
_DIGITS = 3


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MOST_US, _DIGITS)


@dataclass(slots=True)
class Figures:
    """What callers got; times in microseconds."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0
    moved: int = 0
    first: HdrHistogram = field(default_factory=_build_histogram)
    gap: HdrHistogram = field(default_factory=_build_histogram)
    longest: HdrHistogram = field(default_factory=_build_histogram)

    def describe(self) -> dict[str, float]:
        """Return shares, and times in milliseconds."""
        shown = {
            'asked': self.asked,
            'in_time': round(self.in_time / max(1, self.asked), 3),
            'late': self.late,
            'refused': self.refused,
            'cut': self.cut,
            'moved': self.moved,
        }
        for name in ('first', 'gap', 'longest'):
            for quantile in (50, 95, 99):
                spent_us = getattr(self, name).get_value_at_percentile(quantile)
                shown[f'{name}_p{quantile}_ms'] = round(
                    spent_us * MS_PER_S / _US_PER_S, 1
                )
        return shown


class Callers:
    """Streams that arrive at random and are sent as a node sends them.

    Parameters
    ----------
    agenda : Agenda
        Modelled time.
    fleet : EmulatedFleet
        Where they are sent.
    traffic : Traffic
        How many, how long, and what is on time.
    random : Random
        Seeded.
    """

    def __init__(
        self,
        agenda: Agenda,
        fleet: EmulatedFleet,
        traffic: Traffic,
        random: Random,
    ) -> None:
        self.figures = Figures()
        self.agenda = agenda
        self.fleet = fleet
        self.traffic = traffic
        self._random = random
        self._book = LoadBook()
        self._pipes = PipeUse()

    def start(self) -> None:
        """Let the first caller come."""
        self._wait_for_next()

    def find_path(self, tokens: float, *, is_urgent: bool) -> tuple[Stage, ...]:
        """Return a path with room, counted as taken, or none."""
        now = self.agenda.now
        usable = self.fleet.view.list_usable(SERVICE, now)
        wanted = PathRequest(
            tokens,
            pipes=self._pipes,
            is_urgent=is_urgent,
            policy=self.fleet.aims.policy,
        )
        stages = choose_path(self.fleet.engine, usable, self._book, wanted, now)
        self._book.take(list_ids(stages), tokens)
        self._note_crossings(stages, tokens)
        return stages

    def give_back(self, stages: tuple[Stage, ...], tokens: float) -> None:
        """A stream does not pass through a path any more."""
        self._book.give_back(list_ids(stages), tokens)

    def _note_crossings(self, stages: tuple[Stage, ...], tokens: float) -> None:
        spent_ms = predict_transfer_ms(self.fleet.engine, tokens)
        for stage, following in zip(stages, stages[1:], strict=False):
            here = stage.replica.data_centre
            there = following.replica.data_centre
            if here != there:
                self._pipes.note(here, there, spent_ms, self.agenda.now)

    def _wait_for_next(self) -> None:
        gap_s = self._random.expovariate(self.traffic.per_s)
        self.agenda.call_later(gap_s, self._begin)

    def _begin(self) -> None:
        self._wait_for_next()
        self.figures.asked += 1
        prompt = self._draw(self.traffic.prompt, self.traffic.most_prompt)
        events = self._draw(self.traffic.events, self.traffic.most_events)
        _Stream(self, prompt, events).seek()

    def _draw(self, mean: float, most: float) -> int:
        drawn = self._random.expovariate(1 / mean)
        return int(max(1.0, min(most, drawn)))


class _Stream:
    """One stream, from its arrival to its end."""

    def __init__(self, callers: Callers, prompt: int, events: int) -> None:
        self._callers = callers
        self._agenda = callers.agenda
        self._fleet = callers.fleet
        self._prompt = prompt
        self._left = events
        self._written = 0
        self._tokens = prompt + events * callers.fleet.engine.stride
        self._since = self._agenda.now
        self._last_at = 0.0
        self._longest_s = 0.0
        self._first_s = 0.0
        self._stages: tuple[Stage, ...] = ()
        # Visits of a path that was left mean nothing any more.
        self._epoch = 0

    def seek(self) -> None:
        """Take a path, wait for one, or give up."""
        is_begun = bool(self._written)
        self._stages = self._callers.find_path(self._tokens, is_urgent=is_begun)
        if self._stages:
            self._send()
        elif self._agenda.now <= self._find_limit():
            self._agenda.call_later(_RETRY_S, self.seek)
        else:
            self._end('cut' if is_begun else 'refused')

    def _find_limit(self) -> float:
        """Return until when it may wait for a path."""
        if self._written:
            return self._last_at + _MOST_SILENCE_S
        return self._since + _ADMISSION_S

    def _send(self) -> None:
        """Read everything so far, chunk by chunk, then write."""
        self._epoch += 1
        stride = self._fleet.engine.stride
        left = self._prompt + self._written * stride
        while left > 0:
            chunk = min(left, self._fleet.engine.chunk)
            left -= chunk
            self._visit(0, chunk, self._epoch, is_last=left <= 0)
        self._agenda.call_later(_WATCH_S, partial(self._watch, self._epoch))

    def _visit(
        self, at: int, tokens: int, epoch: int, *, is_last: bool
    ) -> None:
        if epoch != self._epoch:
            return
        stage = self._stages[at]
        leave = partial(self._leave, at, tokens, epoch, is_last=is_last)
        engine = self._fleet.engines[stage.replica.replica_id]
        engine.take(Visit(stage.layers, tokens, leave))

    def _leave(
        self, at: int, tokens: int, epoch: int, *, is_last: bool
    ) -> None:
        """A stage has done its part: on to the next one."""
        if epoch != self._epoch:
            return
        if at + 1 == len(self._stages):
            if is_last:
                self._note_event()
            return
        carried = tokens or self._fleet.engine.stride
        arrives_at = self._fleet.pipes.send(
            self._agenda.now,
            self._stages[at].replica.data_centre,
            self._stages[at + 1].replica.data_centre,
            carried,
        )
        forward = partial(self._visit, at + 1, tokens, epoch, is_last=is_last)
        self._agenda.call_at(arrives_at, forward)

    def _note_event(self) -> None:
        now = self._agenda.now
        figures = self._callers.figures
        if self._written:
            gap_s = now - self._last_at
            self._longest_s = max(self._longest_s, gap_s)
            figures.gap.record_value(int(gap_s * _US_PER_S) + 1)
        else:
            self._first_s = now - self._since
            figures.first.record_value(int(self._first_s * _US_PER_S) + 1)
        self._last_at = now
        self._written += 1
        self._left -= 1
        if self._left:
            self._visit(0, 0, self._epoch, is_last=True)
        else:
            self._end('done')

    def _watch(self, epoch: int) -> None:
        """Leave a path that has lost a part."""
        if epoch != self._epoch or not self._left:
            return
        now = self._agenda.now
        view = self._fleet.view
        if any(is_lost(view, stage, now) for stage in self._stages):
            self._callers.figures.moved += 1
            self._epoch += 1
            self._give_back()
            self.seek()
        else:
            self._agenda.call_later(_WATCH_S, partial(self._watch, epoch))

    def _end(self, how: str) -> None:
        self._left = 0
        self._give_back()
        figures = self._callers.figures
        traffic = self._callers.traffic
        if how != 'done':
            setattr(figures, how, getattr(figures, how) + 1)
            return
        figures.longest.record_value(int(self._longest_s * _US_PER_S) + 1)
        is_in_time = self._first_s * MS_PER_S <= traffic.first_aim_ms
        if is_in_time and self._longest_s * MS_PER_S <= traffic.pause_aim_ms:
            figures.in_time += 1
        else:
            figures.late += 1

    def _give_back(self) -> None:
        self._callers.give_back(self._stages, self._tokens)
        self._stages = ()
