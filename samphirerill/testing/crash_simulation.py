"""Discrete-event simulation of replica crashes around the real quarantine.

Streams start on simulated replicas, run for a few seconds and are retried when
their replica crashes. Crashes are caused by fatal requests, or at random: rack
failures, flapping replicas, releases without draining.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING
from zlib import crc32

from samphirerill.quarantine import (
    Crash,
    Quarantine,
    RequestParts,
    digest_parts,
)
from samphirerill.quarantine.decision import (
    SETTLE_S,
    SURVIVAL_S,
    SUSPECT_CRASHES,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_STREAM_RANGE_S = (1.0, 4.0)
# From the start of an attempt to its first token.
_PREFILL_RANGE_S = (0.03, 0.25)
# From the first token of a fatal request to the crash.
_CRASH_DELAY_RANGE_S = (0.02, 0.12)
_SUSPECT_RETRY_RANGE_S = (0.1, 0.4)
_RETRY_DELAY_S = 0.02
_CLIENT_RETRY_DELAY_S = 0.4
_RESTART_S = 3.0
_QUEUE_RETRY_S = 0.2
# How long no other suspect is sent to the replica of a suspect.
_ISOLATION_S = 0.6
# A fatal part has to be known this long after so many crashes.
PROPAGATION_S = 3.0
_KNOWN_CRASHES = 5
# Just after the quarantine may decide about a crash.
_DECISION_DELAY_S = SETTLE_S + 0.005


@dataclass(slots=True, frozen=True)
class Scenario:
    """Load and failures of one simulation; times in seconds.

    Each of `fatal_requests` requests that crash their replica is submitted
    every `fatal_interval_s`. Every `loss_interval_s` a share `loss_share` of
    the replicas crashes at once. `shared_body_share` is the share of streams
    with the same body, and thus the same digest. All prompts share a part, and
    each has one of `documents` parts. For each of `fatal_parts`, requests that
    are all different arrive every `fatal_part_interval_s`.
    """

    replicas: int = 6
    streams_per_s: float = 30.0
    duration_s: float = 60.0
    fatal_requests: int = 0
    fatal_interval_s: float = 5.0
    loss_interval_s: float = 0.0
    loss_share: float = 0.3
    shared_body_share: float = 0.0
    documents: int = 50
    fatal_parts: int = 0
    fatal_part_interval_s: float = 0.5


@dataclass(slots=True)
class _Stream:
    request: bytes
    parts: RequestParts
    is_fatal: bool
    remaining_s: float
    fatal_part: int = -1
    replica: str = ''
    started_at: float = 0.0
    attempts: int = 0


@dataclass(slots=True)
class SimulationResult:
    """Outcome of a simulation.

    `false_positives` are requests that were held although they crash nothing,
    `rejected_sound` how many were rejected for a part of their prompts,
    `late_part_attempts` the runs with a fatal part that started later than
    `PROPAGATION_S` after its fifth crash.
    """

    crashes: int = 0
    fatal_attempts: int = 0
    rejected_sound: int = 0
    late_part_attempts: int = 0
    false_positives: set[bytes] = field(default_factory=set)


class CrashSimulation:
    """Runs one scenario.

    Parameters
    ----------
    scenario : Scenario
        Load and failures.
    seed : int
        Seed of the random generator.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.result = SimulationResult()
        self.quarantine = Quarantine()
        self._scenario = scenario
        self._random = Random(seed)  # noqa: S311
        self._now = 0.0
        self._sequence = count()
        self._numbers = count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._running: dict[str, list[_Stream]] = {}
        self._isolated_until: dict[str, float] = {}
        self._part_crashes: dict[int, list[float]] = defaultdict(list)
        for _ in range(scenario.replicas):
            self._start_replica()

    def run(self) -> SimulationResult:
        """Run the whole scenario."""
        self._schedule(0.0, self._submit_ordinary)
        for number in range(self._scenario.fatal_requests):
            self._schedule(3.0 + number, partial(self._submit_fatal, number))
        for part in range(self._scenario.fatal_parts):
            self._schedule(3.0 + part, partial(self._submit_fatal_part, part))
        if self._scenario.loss_interval_s:
            self._schedule(self._scenario.loss_interval_s, self._crash_share)
        while self._queue and self._now < self._scenario.duration_s:
            event = heapq.heappop(self._queue)
            self._now = event[0]
            event[2]()
        return self.result

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        at = self._now + delay_s
        heapq.heappush(self._queue, (at, next(self._sequence), action))

    def _submit_ordinary(self) -> None:
        self._schedule(
            self._random.expovariate(self._scenario.streams_per_s),
            self._submit_ordinary,
        )
        has_shared_body = (
            self._random.random() < self._scenario.shared_body_share
        )
        request = b'popular' if has_shared_body else b'%d' % next(self._numbers)
        remaining_s = self._random.uniform(*_STREAM_RANGE_S)
        parts = self._build_parts(request)
        self._send(
            _Stream(request, parts, is_fatal=False, remaining_s=remaining_s)
        )

    def _submit_fatal_part(self, part: int) -> None:
        self._schedule(
            self._scenario.fatal_part_interval_s,
            partial(self._submit_fatal_part, part),
        )
        request = b'part %d' % next(self._numbers)
        parts = self._build_parts(request, b'fatal %d' % part)
        self._send(
            _Stream(
                request, parts, is_fatal=True, remaining_s=9.0, fatal_part=part
            )
        )

    def _build_parts(self, request: bytes, *further: bytes) -> RequestParts:
        document = b'document %d' % (crc32(request) % self._scenario.documents)
        return digest_parts('llm', 'suva', (b'common', document, *further))

    def _submit_fatal(self, number: int) -> None:
        self._schedule(
            self._scenario.fatal_interval_s, partial(self._submit_fatal, number)
        )
        for delay_s in (0.0, _CLIENT_RETRY_DELAY_S):
            request = b'fatal %d' % number
            parts = self._build_parts(request)
            stream = _Stream(request, parts, is_fatal=True, remaining_s=9.0)
            self._schedule(delay_s, partial(self._send, stream))

    def _crash_share(self) -> None:
        self._schedule(self._scenario.loss_interval_s, self._crash_share)
        crash_count = round(self._scenario.loss_share * len(self._running))
        for name in self._random.sample(sorted(self._running), crash_count):
            self._crash(name)

    def _send(self, stream: _Stream) -> None:
        if self.quarantine.get_held_until(stream.request, self._now):
            return
        if self.quarantine.parts.get_held_until(stream.parts, self._now):
            self.result.rejected_sound += not stream.is_fatal
            return
        candidates = self._list_candidates(stream)
        if not candidates:
            self._schedule(_QUEUE_RETRY_S, partial(self._send, stream))
            return
        stream.replica = self._random.choice(candidates)
        if self._is_suspect(stream):
            stream.replica = min(candidates, key=self._count_running)
            self._isolated_until[stream.replica] = self._now + _ISOLATION_S
        stream.attempts += 1
        stream.started_at = self._now + self._random.uniform(*_PREFILL_RANGE_S)
        self._running[stream.replica].append(stream)
        self._schedule_end(stream)

    def _list_candidates(self, stream: _Stream) -> list[str]:
        """Return replicas for a stream; for a suspect, those not isolated."""
        candidates = sorted(self._running)
        if not self._is_suspect(stream):
            return candidates
        return [
            name
            for name in candidates
            if self._isolated_until.get(name, 0.0) <= self._now
        ]

    def _count_running(self, name: str) -> int:
        return len(self._running[name])

    def _schedule_end(self, stream: _Stream) -> None:
        """Schedule the end of an attempt, unless its replica crashes before."""
        attempts = stream.attempts
        if stream.is_fatal:
            self.result.fatal_attempts += 1
            self.result.late_part_attempts += self._is_late(stream)
            ends_at = stream.started_at + self._random.uniform(
                *_CRASH_DELAY_RANGE_S
            )
            action = self._crash_replica_of
        else:
            ends_at = stream.started_at + stream.remaining_s
            action = self._finish
        self._schedule(
            ends_at - self._now,
            lambda: action(stream) if stream.attempts == attempts else None,
        )
        if not stream.is_fatal and stream.remaining_s > SURVIVAL_S:
            self._schedule(
                stream.started_at + SURVIVAL_S - self._now,
                lambda: (
                    self._record_survival(stream)
                    if stream.attempts == attempts
                    else None
                ),
            )

    def _crash_replica_of(self, stream: _Stream) -> None:
        if stream in self._running.get(stream.replica, ()):
            self._part_crashes[stream.fatal_part].append(self._now)
            self._crash(stream.replica)

    def _is_late(self, stream: _Stream) -> bool:
        crashes = self._part_crashes[stream.fatal_part]
        if stream.fatal_part < 0 or len(crashes) < _KNOWN_CRASHES:
            return False
        return self._now > crashes[_KNOWN_CRASHES - 1] + PROPAGATION_S

    def _record_survival(self, stream: _Stream) -> None:
        if stream in self._running.get(stream.replica, ()):
            self._clear(stream)

    def _clear(self, stream: _Stream) -> None:
        self.quarantine.note_survival(stream.request, self._now)
        for digest in stream.parts.digests:
            self.quarantine.parts.note_survival(digest, self._now)

    def _blame(self, stream: _Stream, name: str) -> None:
        parts = stream.parts
        crash = Crash(
            name,
            f'r{stream.attempts}',
            self._now,
            parts.account,
        )
        self.quarantine.note_crash(stream.request, crash, self._now)
        for digest in parts.digests:
            self.quarantine.parts.note_crash(digest, crash, self._now)

    def _finish(self, stream: _Stream) -> None:
        running = self._running.get(stream.replica, [])
        if stream in running:
            running.remove(stream)
            self._clear(stream)

    def _crash(self, name: str) -> None:
        self.result.crashes += 1
        interrupted = self._running.pop(name)
        self._schedule(_DECISION_DELAY_S, self._record_decisions)
        self._schedule(_RESTART_S, self._start_replica)
        for stream in interrupted:
            ran_s = self._now - stream.started_at
            if stream.is_fatal or ran_s < SURVIVAL_S:
                self._blame(stream, name)
            else:
                self._clear(stream)
        for stream in interrupted:
            stream.remaining_s -= max(0.0, self._now - stream.started_at)
            stream.attempts += 1
            retry_delay_s = self._choose_retry_delay_s(stream)
            self._schedule(retry_delay_s, partial(self._send, stream))

    def _choose_retry_delay_s(self, stream: _Stream) -> float:
        if self._is_suspect(stream):
            return self._random.uniform(*_SUSPECT_RETRY_RANGE_S)
        return _RETRY_DELAY_S

    def _is_suspect(self, stream: _Stream) -> bool:
        if self.quarantine.parts.is_suspect(stream.parts):
            return True
        return self.quarantine.count_crashes(stream.request) >= SUSPECT_CRASHES

    def _start_replica(self) -> None:
        self._running[f'replica-{next(self._numbers)}'] = []

    def _record_decisions(self) -> None:
        suspects = self.quarantine.list_suspects()
        self.quarantine.parts.update_holds(self._now, suspects)
        for decision in self.quarantine.update_holds(self._now):
            if decision.until and not decision.digest.startswith(
                (b'fatal', b'part')
            ):
                self.result.false_positives.add(decision.digest)
