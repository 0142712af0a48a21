"""A seeded fleet on a virtual clock that decides by `samphirerill.sharing`.

Nodes use one pool of capacity. Each knows its own requests, and those of other
nodes by reports that come late, out of order or not at all.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

from samphirerill.sharing import (
    GUARANTEED_LEVEL,
    FleetRoom,
    ReturnTimes,
    SharingSettings,
    WorkItem,
    find_rejection,
    may_start,
    merge_reports,
    predict_wait_s,
    sort_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.sharing import RoomReport

ROOM = 100.0
OBJECTIVE_S = 0.85
_MAX_QUEUE_S = 1.4
_AGGREGATE_S = 0.25


class Source(NamedTuple):
    """Requests of one rank and account, sent to random nodes.

    `load` is the part of the capacity that they need.
    """

    load: float
    rank: int
    account: str
    nodes: list[Any]
    start: float = 0
    end: float = 99


class Request:
    """One client's request over all its attempts."""

    def __init__(self, item: WorkItem, now: float, service_s: float) -> None:
        self.item = item
        self.arrived_at = now
        self.service_s = service_s
        self.started_at = -1.0
        self.queued_at = -1.0
        self.retries: list[float] = []

    def is_in_time(self) -> bool:
        return 0 <= self.started_at <= self.arrived_at + OBJECTIVE_S


class Node:
    """One node: its queue, its requests and what it knows of the others."""

    def __init__(
        self, name: str, group: str, settings: SharingSettings
    ) -> None:
        self.name = name
        self.group = group
        self.is_alive = True
        self.room = FleetRoom(settings)
        self.returns = ReturnTimes(Random(name))
        self.queue: list[Request] = []
        self.running: set[Request] = set()
        self.heard: dict[str, tuple[int, float, RoomReport]] = {}
        self.started_at = 0.0
        self.interval_s = 0.0
        self.sent_version = 0


class Fleet:
    """Nodes, a pool of capacity, and the events of a run."""

    def __init__(
        self,
        seed: int,
        size: int,
        slots: int,
        *,
        group_size: int = 400,
        patience_s: float = 4,
        service_s: float = 3,
    ) -> None:
        settings = SharingSettings(ranks=True, accounts=True)
        self.random = Random(seed)
        self.number = count()
        self.capacity = slots * ROOM
        self.patience_s = patience_s
        self.service_s = service_s
        self.nodes = [
            Node(f'n{number}', f'g{number // group_size}', settings)
            for number in range(size)
        ]
        self.groups: dict[str, list[Node]] = {}
        for node in self.nodes:
            self.groups.setdefault(node.group, []).append(node)
        self.interval_s = max(0.4, 0.015 * len(self.groups['g0']))
        self.loss = 0.05
        self.delay_s = (0.05, 0.7)
        self.now = 0.0
        self.used = 0.0
        self.area = 0.0
        self.requests: list[Request] = []
        self.waiting: dict[int, dict[Request, Node]] = {}
        self.inversions = 0
        self.idle_waits = 0
        self.rejected_late = 0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        for node in self.nodes:
            self.at(self.random.random() * self.interval_s, self.report, node)
        for group in self.groups if len(self.groups) > 1 else ():
            self.at(_AGGREGATE_S, self.aggregate, group)
        self.at(1, self.sample)

    def at(self, when: float, action: Callable[..., None], *args: Any) -> None:
        heappush(self.events, (when, next(self.number), action, args))

    def run(self, until: float) -> None:
        while self.events[0][0] <= until:
            when, _, action, args = heappop(self.events)
            self.area += self.used * (when - self.now)
            self.now = when
            action(*args)

    def add(self, source: Source) -> None:
        at = max(source.start, self.now) + self.random.expovariate(
            source.load * self.capacity / ROOM / self.service_s
        )
        if at < source.end:
            self.at(at, self.arrive_new, source)

    def arrive_new(self, source: Source) -> None:
        until = self.now + self.patience_s
        item = WorkItem(source.rank, source.account, ROOM, 0, until)
        service_s = self.service_s * self.random.uniform(0.5, 1.5)
        self.requests.append(Request(item, self.now, service_s))
        self.arrive(self.requests[-1], source.nodes)
        self.add(source)

    def arrive(self, request: Request, nodes: list[Node]) -> None:
        node = self.random.choice([node for node in nodes if node.is_alive])
        item, room, now = request.item, node.room, self.now
        item.due = now + OBJECTIVE_S
        level = room.find_level(item, now)
        levels = [room.find_level(other.item, now) for other in node.queue]
        own = sum(found <= level for found in levels)
        rate = room.compute_rate(now, level)
        ahead = room.count_ahead(level, now)
        wait_s = predict_wait_s(ahead, rate, node.interval_s, own)
        if find_rejection(item, wait_s, now, own) is not None:
            limit_s = (item.deadline - now) / 3
            retry_s = node.returns.assign(
                level, wait_s, item.room, rate, limit_s, now
            )
            request.retries.append(retry_s)
            if limit_s > OBJECTIVE_S / 2:
                self.at(now + retry_s, self.arrive, request, nodes)
            return
        request.queued_at = now
        node.queue.append(request)
        self.waiting.setdefault(item.rank, {})[request] = node
        room.enqueue(item)
        self.at(now + _MAX_QUEUE_S, self.give_up, node, request)
        self.start_queued(node)

    def give_up(self, node: Node, request: Request) -> None:
        if request in node.queue:
            self.rejected_late += 1
            self.leave_queue(node, request)
            self.announce(node)

    def leave_queue(self, node: Node, request: Request) -> None:
        node.queue.remove(request)
        self.waiting[request.item.rank].pop(request)
        node.room.leave_queue(request.item)

    def start_queued(self, node: Node) -> None:
        room, now = node.room, self.now
        while node.queue and self.capacity - self.used >= ROOM:
            free = self.capacity - room.sum_running(now)
            if free < ROOM:
                break
            _, number = min(
                (
                    sort_key(
                        request.item,
                        room.find_level(request.item, now),
                        room.find_account_use(request.item),
                        now,
                    ),
                    number,
                )
                for number, request in enumerate(node.queue)
            )
            request = node.queue[number]
            level = room.find_level(request.item, now)
            before = room.count_waiting_before(level, now, elsewhere_only=True)
            if not may_start(level, ROOM, free, before):
                break
            self.start(node, request, level)
        self.announce(node)

    def start(self, node: Node, request: Request, level: int) -> None:
        self.leave_queue(node, request)
        if level != GUARANTEED_LEVEL:
            self.note_inversion(node, request.item.rank)
        interval_s = min(1.0, self.now - node.started_at)
        node.interval_s += 0.2 * (interval_s - node.interval_s)
        node.started_at = self.now
        request.started_at = self.now
        node.room.start(request.item)
        node.running.add(request)
        self.used += ROOM
        self.at(self.now + request.service_s, self.finish, node, request)

    def get_known(self, ranks: range, node: Node | None = None) -> int:
        """Count requests that others wait with for longer than a report takes.

        One lost report is allowed for.
        """
        until = self.now - 2 * self.interval_s - self.delay_s[1]
        return sum(
            request.queued_at < until and found is not node
            for rank in ranks
            for request, found in self.waiting.get(rank, {}).items()
        )

    def note_inversion(self, node: Node, rank: int) -> None:
        known = self.get_known(range(rank), node)
        self.inversions += self.capacity - self.used - ROOM < known * ROOM

    def sample(self) -> None:
        """Look for requests that wait although all of them would fit."""
        total = sum(map(len, self.waiting.values()))
        if total * ROOM <= self.capacity - self.used:
            self.idle_waits += self.get_known(range(3))
        self.at(self.now + 0.05, self.sample)

    def finish(self, node: Node, request: Request) -> None:
        if not node.is_alive:
            return
        self.used -= ROOM
        node.running.remove(request)
        node.room.finish(request.item, self.now)
        self.start_queued(node)
        levels = [
            node.room.find_level(other.item, self.now) for other in node.queue
        ]
        peers = node.room.list_waiting_peers(min(levels, default=9), self.now)
        if peers:
            name = self.random.choices(list(peers), list(peers.values()))[0]
            group = self.groups.get(name) or [
                other for other in self.nodes if other.name == name
            ]
            report = node.room.build_report(self.now)
            self.send(node.name, report, [self.random.choice(group)])

    def announce(self, node: Node) -> None:
        version = node.room.get_version()
        if node.sent_version != version:
            node.sent_version = version
            report = node.room.build_report(self.now)
            self.send(node.name, report, self.groups[node.group])

    def report(self, node: Node) -> None:
        if node.is_alive:
            node.sent_version -= 1
            self.announce(node)
            self.at(self.now + self.interval_s, self.report, node)

    def aggregate(self, group: str) -> None:
        sender = next(node for node in self.groups[group] if node.is_alive)
        reports = [
            report
            for name, (_, at, report) in sender.heard.items()
            if name not in self.groups and at > self.now - 2
        ]
        reports.append(sender.room.build_report(self.now))
        others = [node for node in self.nodes if node.group != group]
        self.send(group, merge_reports(reports), others)
        self.at(self.now + _AGGREGATE_S, self.aggregate, group)

    def send(self, name: str, report: RoomReport, nodes: list[Node]) -> None:
        number = next(self.number)
        for node in nodes:
            if node.name != name and self.random.random() >= self.loss:
                at = self.now + self.random.uniform(*self.delay_s)
                self.at(at, self.receive, node, name, number, report)

    def receive(
        self, node: Node, name: str, number: int, report: RoomReport
    ) -> None:
        known = node.heard.get(name)
        if node.is_alive and (known is None or number > known[0]):
            node.heard[name] = (number, self.now, report)
            node.room.update_peer(name, report, self.now)
            self.start_queued(node)

    def kill(self, node: Node) -> None:
        for request in tuple(node.queue):
            self.leave_queue(node, request)
        self.used -= ROOM * len(node.running)
        node.is_alive = False
