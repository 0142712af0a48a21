"""Simulated client streams over a simulated fleet, and their metrics."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from samphirerill.emulator.engine import StageTask
from samphirerill.emulator.fleet import LEAVING_S, SERVICE
from samphirerill.fleet.link_usage import LinkUsage
from samphirerill.fleet.load import LoadTracker, list_replica_ids
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.paths import PathRequest, choose_path
from samphirerill.fleet.prediction import predict_transfer_ms
from samphirerill.fleet.replica_notices import note_leaving
from samphirerill.fleet.stage_lifetime import is_stage_lost

if TYPE_CHECKING:
    from random import Random

    from samphirerill.emulator.event_loop import EventLoop
    from samphirerill.emulator.fleet import EmulatedFleet
    from samphirerill.emulator.scenario import Traffic
    from samphirerill.fleet.model import Replica, Stage

# Time that a new stream waits for a path, as in a node.
_ADMISSION_TIMEOUT_S = 1.4
_RETRY_INTERVAL_S = 0.02
# Interval of checks whether a replica of the path was lost; a node is notified
# of that at once.
_CHECK_INTERVAL_S = 0.01
# Clients disconnect after this time without an event.
_CLIENT_TIMEOUT_S = 2.0
_US_PER_S = 1_000_000
_MAX_DURATION_S = 120
_MAX_DURATION_US = _MAX_DURATION_S * _US_PER_S
_SIGNIFICANT_DIGITS = 3


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class StreamMetrics:
    """Counts of streams, and histograms of times in microseconds.

    `in_time` and `late` streams were completed; `refused` ones found no path,
    and `cut` ones lost theirs and found no other in time. `moved` counts the
    changes of path, and `turned_away` the sends that an engine refused. `first`
    is the time to the first event, `gap` the time between two events, and
    `longest` the longest gap of each completed stream.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    cut: int = 0
    moved: int = 0
    turned_away: int = 0
    first: HdrHistogram = field(default_factory=_build_histogram)
    gap: HdrHistogram = field(default_factory=_build_histogram)
    longest: HdrHistogram = field(default_factory=_build_histogram)

    def describe(self) -> dict[str, float]:
        """Return counts, the share on time, and percentiles in milliseconds."""
        summary = {
            'asked': self.asked,
            'in_time': round(self.in_time / max(1, self.asked), 3),
            'late': self.late,
            'refused': self.refused,
            'cut': self.cut,
            'moved': self.moved,
            'turned_away': self.turned_away,
        }
        for name in ('first', 'gap', 'longest'):
            for quantile in (50, 95, 99):
                duration_us = getattr(self, name).get_value_at_percentile(
                    quantile
                )
                summary[f'{name}_p{quantile}_ms'] = round(
                    duration_us * MS_PER_S / _US_PER_S, 1
                )
        return summary


class TrafficGenerator:
    """Starts streams at random times, and routes them as a node does.

    Parameters
    ----------
    event_loop : EventLoop
        Event loop with simulated time.
    fleet : EmulatedFleet
        The fleet that serves the streams.
    traffic : Traffic
        Rate and lengths of streams, and when they are on time.
    random : Random
        Seeded source of random numbers.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        fleet: EmulatedFleet,
        traffic: Traffic,
        random: Random,
    ) -> None:
        self.metrics = StreamMetrics()
        self.event_loop = event_loop
        self.fleet = fleet
        self.traffic = traffic
        self._random = random
        self._load_tracker = LoadTracker()
        self._link_usage = LinkUsage()

    def start(self) -> None:
        """Schedule the first stream."""
        self._schedule_next()

    def reserve_path(
        self, tokens: float, *, is_urgent: bool
    ) -> tuple[Stage, ...]:
        """Choose a path, add the stream to its load, and return its stages.

        Returns no stages if no path has room.
        """
        now = self.event_loop.now
        usable = self.fleet.view.list_usable(SERVICE, now)
        path_request = PathRequest(
            tokens,
            links=self._link_usage,
            is_urgent=is_urgent,
            policy=self.fleet.plan_targets.policy,
        )
        stages = choose_path(
            self.fleet.engine, usable, self._load_tracker, path_request, now
        )
        self._load_tracker.add_request(list_replica_ids(stages), tokens)
        self._record_transfers(stages, tokens)
        return stages

    def release_path(self, stages: tuple[Stage, ...], tokens: float) -> None:
        """Remove a stream from the load of its path."""
        self._load_tracker.remove_request(list_replica_ids(stages), tokens)

    def record_response(self, replica: Replica) -> None:
        """Record that a node passes on a response of a replica."""
        now = self.event_loop.now
        leaving = self.fleet.engines[replica.replica_id].leaving
        leaving.record_response(now)
        if leaving.is_given:
            note_leaving(self.fleet.view, replica, now + LEAVING_S)

    def _record_transfers(
        self, stages: tuple[Stage, ...], tokens: float
    ) -> None:
        duration_ms = predict_transfer_ms(self.fleet.engine, tokens)
        for stage, following in zip(stages, stages[1:], strict=False):
            source = stage.replica.data_centre
            destination = following.replica.data_centre
            if source != destination:
                self._link_usage.note_transfer(
                    source, destination, duration_ms, self.event_loop.now
                )

    def _schedule_next(self) -> None:
        gap_s = self._random.expovariate(self.traffic.per_s)
        self.event_loop.call_later(gap_s, self._start_stream)

    def _start_stream(self) -> None:
        self._schedule_next()
        self.metrics.asked += 1
        prompt = self._draw_length(
            self.traffic.prompt, self.traffic.most_prompt
        )
        events = self._draw_length(
            self.traffic.events, self.traffic.most_events
        )
        _Stream(self, prompt, events).find_path()

    def _draw_length(self, mean: float, maximum: float) -> int:
        length = self._random.expovariate(1 / mean)
        return int(max(1.0, min(maximum, length)))


class _Stream:
    """One stream, from its arrival to its last event."""

    def __init__(
        self, generator: TrafficGenerator, prompt: int, events: int
    ) -> None:
        self._generator = generator
        self._event_loop = generator.event_loop
        self._fleet = generator.fleet
        self._prompt = prompt
        self._remaining_events = events
        self._sent_events = 0
        self._tokens = prompt + events * generator.fleet.engine.stride
        self._arrived_at = self._event_loop.now
        self._last_event_at = 0.0
        self._longest_gap_s = 0.0
        self._first_event_s = 0.0
        self._stages: tuple[Stage, ...] = ()
        # Number of the current path; tasks of earlier paths are ignored.
        self._epoch = 0

    def find_path(self) -> None:
        """Send the stream if a path has room; otherwise retry until timeout."""
        is_started = bool(self._sent_events)
        self._stages = self._generator.reserve_path(
            self._tokens, is_urgent=is_started
        )
        if self._stages and self._is_refused():
            self._release_path()
            self._event_loop.call_later(_RETRY_INTERVAL_S, self.find_path)
        elif self._stages:
            self._send_prompt()
        elif self._event_loop.now <= self._get_path_deadline():
            self._event_loop.call_later(_RETRY_INTERVAL_S, self.find_path)
        else:
            self._finish('cut' if is_started else 'refused')

    def _is_refused(self) -> bool:
        """Return whether the first stage refuses the stream."""
        head = self._stages[0].replica
        is_refused = self._fleet.refuses_stream(head.replica_id)
        self._generator.metrics.turned_away += is_refused
        return is_refused

    def _get_path_deadline(self) -> float:
        """Return until when the stream may wait for a path."""
        if self._sent_events:
            return self._last_event_at + _CLIENT_TIMEOUT_S
        return self._arrived_at + _ADMISSION_TIMEOUT_S

    def _send_prompt(self) -> None:
        """Prefill the prompt and the events sent so far, chunk by chunk."""
        self._epoch += 1
        stride = self._fleet.engine.stride
        remaining_tokens = self._prompt + self._sent_events * stride
        while remaining_tokens > 0:
            chunk = min(remaining_tokens, self._fleet.engine.chunk)
            remaining_tokens -= chunk
            self._submit_task(
                0, chunk, self._epoch, is_last=remaining_tokens <= 0
            )
        self._event_loop.call_later(
            _CHECK_INTERVAL_S, partial(self._check_path, self._epoch)
        )

    def _submit_task(
        self, stage_index: int, tokens: int, epoch: int, *, is_last: bool
    ) -> None:
        if epoch != self._epoch:
            return
        stage = self._stages[stage_index]
        on_done = partial(
            self._finish_stage, stage_index, tokens, epoch, is_last=is_last
        )
        engine = self._fleet.engines[stage.replica.replica_id]
        engine.submit(StageTask(stage.layers, tokens, on_done))

    def _finish_stage(
        self, stage_index: int, tokens: int, epoch: int, *, is_last: bool
    ) -> None:
        """Forward the result of a stage to the next one, or emit an event."""
        if epoch != self._epoch:
            return
        if stage_index + 1 == len(self._stages):
            if is_last:
                self._record_event()
            return
        sent_tokens = tokens or self._fleet.engine.stride
        arrives_at = self._fleet.links.send(
            self._event_loop.now,
            self._stages[stage_index].replica.data_centre,
            self._stages[stage_index + 1].replica.data_centre,
            sent_tokens,
        )
        forward = partial(
            self._submit_task, stage_index + 1, tokens, epoch, is_last=is_last
        )
        self._event_loop.call_at(arrives_at, forward)

    def _record_event(self) -> None:
        now = self._event_loop.now
        metrics = self._generator.metrics
        if self._sent_events:
            gap_s = now - self._last_event_at
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
            metrics.gap.record_value(int(gap_s * _US_PER_S) + 1)
        else:
            self._first_event_s = now - self._arrived_at
            metrics.first.record_value(int(self._first_event_s * _US_PER_S) + 1)
        self._generator.record_response(self._stages[0].replica)
        self._last_event_at = now
        self._sent_events += 1
        self._remaining_events -= 1
        if self._remaining_events:
            self._submit_task(0, 0, self._epoch, is_last=True)
        else:
            self._finish('done')

    def _check_path(self, epoch: int) -> None:
        """Look for a new path if a replica of this one was lost."""
        if epoch != self._epoch or not self._remaining_events:
            return
        now = self._event_loop.now
        view = self._fleet.view
        is_lost = any(is_stage_lost(view, stage, now) for stage in self._stages)
        if is_lost or self._has_replica_left():
            self._generator.metrics.moved += 1
            self._epoch += 1
            self._release_path()
            self.find_path()
        else:
            self._event_loop.call_later(
                _CHECK_INTERVAL_S, partial(self._check_path, epoch)
            )

    def _has_replica_left(self) -> bool:
        """Return whether a replica of the path has closed its connections."""
        return any(
            self._fleet.engines[stage.replica.replica_id].has_left
            for stage in self._stages
        )

    def _finish(self, outcome: str) -> None:
        self._remaining_events = 0
        self._release_path()
        metrics = self._generator.metrics
        traffic = self._generator.traffic
        if outcome != 'done':
            setattr(metrics, outcome, getattr(metrics, outcome) + 1)
            return
        metrics.longest.record_value(int(self._longest_gap_s * _US_PER_S) + 1)
        is_in_time = self._first_event_s * MS_PER_S <= traffic.first_aim_ms
        if (
            is_in_time
            and self._longest_gap_s * MS_PER_S <= traffic.pause_aim_ms
        ):
            metrics.in_time += 1
        else:
            metrics.late += 1

    def _release_path(self) -> None:
        self._generator.release_path(self._stages, self._tokens)
        self._stages = ()
