"""Engines and pipes, as their published figures tell how they work.

An engine works in passes. One that includes streams under way runs `stride`
steps for all of them, and beside it reads prompts in chunks. A token visits the
stages of its path one after another; what arrives during a pass waits for the
next one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MB, MS_PER_S
from samphirerill.fleet.prediction import predict_step_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.emulator.agenda import Agenda
    from samphirerill.fleet.model import Accelerator, EngineSpec, LayerRange

_BITS = 8


@dataclass(slots=True)
class Visit:
    """One stage's share of an event, or of a chunk of a prompt.

    `tokens` is how many tokens of a prompt it reads, 0 for an event; `done` is
    called when the stage has finished.
    """

    layers: LayerRange
    tokens: int
    done: Callable[[], None]


class EmulatedEngine:
    """One engine's queue and passes.

    Parameters
    ----------
    agenda : Agenda
        Modelled time.
    engine : EngineSpec
        The service's figures.
    kind : Accelerator
        What it runs on.
    """

    def __init__(
        self, agenda: Agenda, engine: EngineSpec, kind: Accelerator
    ) -> None:
        self.is_dead = False
        self.slowness = 1.0
        self.busy_s = 0.0
        self._agenda = agenda
        self._engine = engine
        self._kind = kind
        self._events: list[Visit] = []
        self._prompts: list[Visit] = []
        self._is_passing = False

    def take(self, visit: Visit) -> None:
        """Let a visit wait for the next pass."""
        if self.is_dead:
            return
        queue = self._prompts if visit.tokens else self._events
        queue.append(visit)
        if not self._is_passing:
            self._start_pass()

    def die(self) -> None:
        """Lose everything that waits or is under way."""
        self.is_dead = True
        self._events.clear()
        self._prompts.clear()

    def live(self) -> None:
        """Start again, with nothing."""
        self.is_dead = False

    def _start_pass(self) -> None:
        events = self._events
        self._events = []
        prompts = self._take_prompts(bool(events))
        spent_ms = self._predict_events_ms(events)
        spent_ms += sum(map(self._predict_reading_ms, prompts))
        spent_s = spent_ms * self.slowness / MS_PER_S
        self.busy_s += spent_s
        self._is_passing = True
        finish = partial(self._finish_pass, events + prompts)
        self._agenda.call_later(spent_s, finish)

    def _finish_pass(self, visits: list[Visit]) -> None:
        self._is_passing = False
        if self.is_dead:
            return
        if self._events or self._prompts:
            self._start_pass()
        for visit in visits:
            visit.done()
        if not self._is_passing and (self._events or self._prompts):
            self._start_pass()

    def _take_prompts(self, has_events: bool) -> list[Visit]:
        """Return the chunks that fit into one pass."""
        steps = self._engine.stride if has_events else 1
        room = self._engine.chunk * steps
        taken: list[Visit] = []
        while self._prompts and (not taken or room >= self._prompts[0].tokens):
            taken.append(self._prompts.pop(0))
            room -= taken[-1].tokens
        return taken

    def _predict_events_ms(self, events: list[Visit]) -> float:
        if not events:
            return 0.0
        share = max(visit.layers.count for visit in events)
        step_ms = predict_step_ms(self._engine, len(events))
        step_ms *= self._kind.pace * share / self._engine.layers
        return self._engine.stride * step_ms

    def _predict_reading_ms(self, visit: Visit) -> float:
        share = visit.layers.count / self._engine.layers
        whole_ms = visit.tokens / self._engine.read_per_s * MS_PER_S
        return whole_ms * self._kind.read_factor * share


@dataclass(slots=True)
class EmulatedPipe:
    """A pipe between two data centres: one transfer after another."""

    free_at: float = 0.0
    busy_s: float = 0.0

    def send(self, now: float, megabits: float, mbps: float) -> float:
        """Return when a transfer that begins to wait now has arrived."""
        spent_s = megabits / mbps
        self.busy_s += spent_s
        self.free_at = max(now, self.free_at) + spent_s
        return self.free_at


@dataclass(slots=True)
class Pipes:
    """All pipes of one service."""

    engine: EngineSpec
    delay_s: float = 0.00025
    slowness: float = 1.0
    by_pair: dict[frozenset[str], EmulatedPipe] = field(default_factory=dict)

    def send(self, now: float, here: str, there: str, tokens: int) -> float:
        """Return when activations have arrived in a data centre."""
        if here == there:
            return now
        pipe = self.by_pair.setdefault(frozenset((here, there)), EmulatedPipe())
        bits = tokens * self.engine.activation_bytes * _BITS
        mbps = max(1.0, self.engine.pipe_mbps) / self.slowness
        return pipe.send(now, bits / MB, mbps) + self.delay_s
