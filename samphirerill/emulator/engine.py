"""Simulated engines and network links, timed by their published figures.

An engine runs passes. A pass decodes `stride` tokens for every stream in the
batch and prefills chunks of prompts beside it. Each token goes through the
stages of its path in order. Tasks that arrive during a pass wait for the next.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MB, MS_PER_S
from samphirerill.fleet.prediction import predict_step_ms

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from samphirerill.emulator.event_loop import EventLoop
    from samphirerill.fleet.model import Accelerator, EngineSpec, LayerRange

_BITS_PER_BYTE = 8


# Streams that are already on their way after a refusal.
_BACK_OFF_SLACK_S = 0.5
# A leaving engine must get no new stream from then on.
_LEAVING_BOUND_S = 2.0


@dataclass(slots=True)
class StageTask:
    """Work of one stage: decoding for one event, or a prefill chunk.

    `tokens` is the number of prompt tokens of a prefill, 0 for decoding;
    `on_done` is called when the stage has finished.
    """

    layers: LayerRange
    tokens: int
    on_done: Callable[[], None]


@dataclass(slots=True)
class BackOffPeriod:
    """Time in which an engine refuses a share of the new streams.

    `asked_at` is when it first refused one; `early_sends` counts those that
    were sent to it although they could have been kept from it, in all periods.
    """

    until: float = 0.0
    share: float = 0.0
    asked_at: float = float('inf')
    early_sends: int = 0

    def start(self, until: float, share: float) -> None:
        """Start another period."""
        self.until = until
        self.share = share
        self.asked_at = float('inf')

    def refuses(self, now: float, random: Random) -> bool:
        """Return whether a new stream is refused."""
        if now >= self.until:
            return False
        self.early_sends += now > self.asked_at + _BACK_OFF_SLACK_S
        if random.random() >= self.share:
            return False
        self.asked_at = min(self.asked_at, now)
        return True


@dataclass(slots=True)
class LeavingNotice:
    """What an engine says about its end.

    `passed_on_at` is when a response first said so; `late_sends` counts the new
    streams that were sent to it long after.
    """

    is_given: bool = False
    passed_on_at: float = float('inf')
    late_sends: int = 0

    def record_send(self, now: float) -> None:
        """Record a new stream."""
        self.late_sends += now > self.passed_on_at + _LEAVING_BOUND_S

    def record_response(self, now: float) -> None:
        """Record that a response is passed on to a client."""
        if self.is_given:
            self.passed_on_at = min(self.passed_on_at, now)


class EmulatedEngine:
    """Queues and passes of one engine.

    `slowdown` multiplies the duration of every pass; `busy_s` adds them up.
    `has_left` is whether it has ended as planned, which closes its connections.

    Parameters
    ----------
    event_loop : EventLoop
        Event loop with simulated time.
    engine : EngineSpec
        Performance figures of the service's engines.
    accelerator : Accelerator
        Type of accelerator that the engine runs on.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        engine: EngineSpec,
        accelerator: Accelerator,
    ) -> None:
        self.is_crashed = False
        self.has_left = False
        self.back_off = BackOffPeriod()
        self.leaving = LeavingNotice()
        self.slowdown = 1.0
        self.busy_s = 0.0
        self._event_loop = event_loop
        self._engine = engine
        self._accelerator = accelerator
        self._decode_queue: list[StageTask] = []
        self._prefill_queue: list[StageTask] = []
        self._is_running = False

    def submit(self, task: StageTask) -> None:
        """Queue a task for the next pass; a crashed engine drops it."""
        if self.is_crashed:
            return
        queue = self._prefill_queue if task.tokens else self._decode_queue
        queue.append(task)
        if not self._is_running:
            self._start_pass()

    def crash(self) -> None:
        """Crash: drop all queued and running tasks."""
        self.is_crashed = True
        self._decode_queue.clear()
        self._prefill_queue.clear()

    def restart(self) -> None:
        """Restart after a crash, with empty queues."""
        self.is_crashed = False

    def _start_pass(self) -> None:
        decodes = self._decode_queue
        self._decode_queue = []
        prefills = self._pop_prefills(bool(decodes))
        duration_ms = self._predict_decode_ms(decodes)
        duration_ms += sum(map(self._predict_prefill_ms, prefills))
        duration_s = duration_ms * self.slowdown / MS_PER_S
        self.busy_s += duration_s
        self._is_running = True
        finish = partial(self._finish_pass, decodes + prefills)
        self._event_loop.call_later(duration_s, finish)

    def _finish_pass(self, tasks: list[StageTask]) -> None:
        self._is_running = False
        if self.is_crashed:
            return
        if self._decode_queue or self._prefill_queue:
            self._start_pass()
        for task in tasks:
            task.on_done()
        if not self._is_running and (self._decode_queue or self._prefill_queue):
            self._start_pass()

    def _pop_prefills(self, has_decodes: bool) -> list[StageTask]:
        """Remove and return the prefill chunks that fit into one pass."""
        steps = self._engine.stride if has_decodes else 1
        remaining_tokens = self._engine.chunk * steps
        chunks: list[StageTask] = []
        while self._prefill_queue and (
            not chunks or remaining_tokens >= self._prefill_queue[0].tokens
        ):
            chunks.append(self._prefill_queue.pop(0))
            remaining_tokens -= chunks[-1].tokens
        return chunks

    def _predict_decode_ms(self, decodes: list[StageTask]) -> float:
        if not decodes:
            return 0.0
        layer_count = max(task.layers.count for task in decodes)
        step_ms = predict_step_ms(self._engine, len(decodes))
        step_ms *= (
            self._accelerator.step_factor * layer_count / self._engine.layers
        )
        return self._engine.stride * step_ms

    def _predict_prefill_ms(self, task: StageTask) -> float:
        layer_share = task.layers.count / self._engine.layers
        prefill_ms = task.tokens / self._engine.read_per_s * MS_PER_S
        return prefill_ms * self._accelerator.prefill_factor * layer_share


@dataclass(slots=True)
class EmulatedLink:
    """Link between two data centres; transfers are sent one after another."""

    free_at: float = 0.0
    busy_s: float = 0.0

    def send(self, now: float, megabits: float, mbps: float) -> float:
        """Queue a transfer and return the time at which it is complete."""
        duration_s = megabits / mbps
        self.busy_s += duration_s
        self.free_at = max(now, self.free_at) + duration_s
        return self.free_at


@dataclass(slots=True)
class EmulatedLinks:
    """Links between all data centres of one service."""

    engine: EngineSpec
    delay_s: float = 0.00025
    slowdown: float = 1.0
    by_pair: dict[frozenset[str], EmulatedLink] = field(default_factory=dict)

    def send(
        self, now: float, source: str, destination: str, tokens: int
    ) -> float:
        """Send activations and return the time at which they arrive."""
        if source == destination:
            return now
        link = self.by_pair.setdefault(
            frozenset((source, destination)), EmulatedLink()
        )
        bits = tokens * self.engine.activation_bytes * _BITS_PER_BYTE
        mbps = max(1.0, self.engine.pipe_mbps) / self.slowdown
        return link.send(now, bits / MB, mbps) + self.delay_s
