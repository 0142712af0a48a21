"""Virtual-clock simulation of nodes that share the slots of engines.

Nodes know the use of an engine by other nodes from reports of a given age, and
start a stream on the engine with the most free slots.
"""

from __future__ import annotations

import heapq
import itertools
from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from samphirerill.fleet.slot_shares import SlotShares

if TYPE_CHECKING:
    from collections.abc import Callable

_POLL_INTERVAL_S = 0.05
# A slot that is used again before is not reported as free.
_REPORT_DELAY_S = 0.021
_SERVICE_S = 3.0


@dataclass(frozen=True, slots=True)
class SlotScenario:
    """Size and load of a simulated fleet.

    `load` is the demand in parts of all slots. With `is_ideal`, nodes know
    everything at once. `uses_shares` is whether they use `SlotShares`.
    """

    nodes: int
    engines: int
    slots: int = 8
    load: float = 0.9
    report_age_s: float = 0.3
    uses_shares: bool = True
    length_s: float = 10.0

    @property
    def arrivals_per_s(self) -> float:
        """Return the streams that arrive at all nodes."""
        return self.load * self.slots * self.engines / _SERVICE_S


@dataclass(slots=True)
class SlotMetrics:
    """Results: most streams on one engine, waiting times, and slots in use."""

    peak: int = 0
    waits_s: list[float] = field(default_factory=list)
    slot_seconds: float = 0.0

    @property
    def mean_wait_s(self) -> float:
        """Return the mean waiting time of the streams that started."""
        return sum(self.waits_s) / len(self.waits_s)


class _Node:
    """One node: its streams, those that wait, and its shares."""

    def __init__(self, name: str, parts: dict[str, float]) -> None:
        self.running: Counter[int] = Counter()
        self.reported: Counter[int] = Counter()
        self.waiting: deque[float] = deque()
        self.shares = SlotShares(name)
        self.shares.set_parts(parts)


class SlotSimulation:
    """One run.

    Parameters
    ----------
    scenario : SlotScenario
        Size and load.
    seed : int
        Determines arrivals and lengths.
    """

    def __init__(self, scenario: SlotScenario, seed: int) -> None:
        self.metrics = SlotMetrics()
        self._scenario = scenario
        self._random = Random(seed)
        parts = {f'node-{index}': 1.0 for index in range(scenario.nodes)}
        self._nodes = [_Node(name, parts) for name in parts]
        self._actual: Counter[int] = Counter()
        self._reported: Counter[int] = Counter()
        self._now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def run(self) -> SlotMetrics:
        """Run; return the metrics."""
        self._fill()
        self._arrive()
        self._poll()
        while self._events[0][0] < self._scenario.length_s:
            at, _, handle = heapq.heappop(self._events)
            in_use = self._actual.total()
            self.metrics.slot_seconds += in_use * (at - self._now)
            self._now = at
            handle()
        return self.metrics

    def _call_later(self, delay_s: float, handle: Callable[[], None]) -> None:
        event = (self._now + delay_s, next(self._order), handle)
        heapq.heappush(self._events, event)

    def _fill(self) -> None:
        """Start with the usual number of streams, known to all nodes."""
        usual = int(self._scenario.load * self._scenario.slots)
        for engine in range(self._scenario.engines):
            for node in self._random.choices(self._nodes, k=usual):
                self._add(node, engine)
                self._report(node, engine, 1)

    def _arrive(self) -> None:
        node = self._random.choice(self._nodes)
        node.waiting.append(self._now)
        self._start_waiting(node)
        delay_s = self._random.expovariate(self._scenario.arrivals_per_s)
        self._call_later(delay_s, self._arrive)

    def _poll(self) -> None:
        for node in self._nodes:
            self._start_waiting(node)
        self._call_later(_POLL_INTERVAL_S, self._poll)

    def _start_waiting(self, node: _Node, released: int | None = None) -> None:
        """Start streams that wait; a slot just released is free for one."""
        while node.waiting:
            engine = self._choose_engine(node) if released is None else released
            released = None
            if engine is None:
                return
            self._start(node, engine)

    def _choose_engine(self, node: _Node) -> int | None:
        """Return the engine with the most free slots of those allowed."""
        engines = list(range(self._scenario.engines))
        self._random.shuffle(engines)
        engines.sort(key=partial(self._count_free, node), reverse=True)
        return next(
            (engine for engine in engines if self._may_start(node, engine)),
            None,
        )

    def _count_free(self, node: _Node, engine: int) -> int:
        others = self._reported[engine] - node.reported[engine]
        return self._scenario.slots - others - node.running[engine]

    def _may_start(self, node: _Node, engine: int) -> bool:
        free = self._count_free(node, engine)
        scenario = self._scenario
        if not scenario.uses_shares:
            return free > 0
        return node.shares.may_take(
            str(engine),
            free,
            scenario.arrivals_per_s,
            scenario.report_age_s,
            self._now,
        )

    def _start(self, node: _Node, engine: int) -> None:
        self.metrics.waits_s.append(self._now - node.waiting.popleft())
        age_s = self._scenario.report_age_s
        node.shares.note_taken(str(engine), age_s, self._now)
        self._report_later(0, node, engine, 1)
        self._add(node, engine)

    def _add(self, node: _Node, engine: int) -> None:
        node.running[engine] += 1
        self._actual[engine] += 1
        self.metrics.peak = max(self.metrics.peak, self._actual[engine])
        service_s = self._random.expovariate(1 / _SERVICE_S)
        self._call_later(service_s, partial(self._finish, node, engine))

    def _finish(self, node: _Node, engine: int) -> None:
        node.running[engine] -= 1
        self._actual[engine] -= 1
        node.shares.note_released(str(engine), self._now)
        self._report_later(_REPORT_DELAY_S, node, engine, -1)
        self._start_waiting(node, engine)

    def _report_later(
        self, delay_s: float, node: _Node, engine: int, change: int
    ) -> None:
        """Report a change once it is as old as reports are."""
        age_s = self._scenario.report_age_s
        report = partial(self._report, node, engine, change)
        if age_s:
            self._call_later(delay_s + age_s, report)
        else:
            report()

    def _report(self, node: _Node, engine: int, change: int) -> None:
        node.reported[engine] += change
        self._reported[engine] += change
