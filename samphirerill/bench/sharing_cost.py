"""Cost of the decisions and reports of `samphirerill.sharing`.

Run with ``python -m samphirerill.bench.sharing_cost``.
"""

from __future__ import annotations

import sys
from random import Random
from time import perf_counter
from typing import TYPE_CHECKING

from msgspec import msgpack

from samphirerill.sharing import (
    FleetRoom,
    SharingSettings,
    WorkItem,
    may_start,
    merge_reports,
    sort_key,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.sharing import RoomReport

_RUNS = 2000
_QUEUE_LENGTH = 30
_RUNNING = 15
_REPORTS = 60
_US_PER_S = 1_000_000
_PERCENTILES = (0.5, 0.99)


def encode_report(report: RoomReport) -> bytes:
    """Return a report as the array that a status datagram contains."""
    waiting = {
        level: (work.count, work.room) for level, work in report.waiting.items()
    }
    return msgpack.encode(
        (
            report.running_by_rank,
            report.running_by_account,
            report.account_count,
            waiting,
            report.completed,
        )
    )


def build_item(random: Random, accounts: int) -> WorkItem:
    """Return a request of a random rank and account."""
    account = f'account-{int(accounts * random.random() ** 2)}'
    return WorkItem(
        random.randrange(3), account, random.randrange(100, 900), 1, 2
    )


def build_node(random: Random, accounts: int) -> FleetRoom:
    """Return a node with running and waiting requests and no reports."""
    room = FleetRoom(SharingSettings(ranks=True, accounts=True))
    for _ in range(_RUNNING):
        room.start(build_item(random, accounts))
    for _ in range(_QUEUE_LENGTH):
        room.enqueue(build_item(random, accounts))
    return room


def measure(action: Callable[[], object]) -> str:
    """Return the median and the 99th percentile in microseconds."""
    times = []
    for _ in range(_RUNS):
        begun = perf_counter()
        action()
        times.append((perf_counter() - begun) * _US_PER_S)
    times.sort()
    return ' '.join(f'{times[int(part * _RUNS)]:8.1f}' for part in _PERCENTILES)


def run(nodes: int, accounts: int) -> None:
    """Measure one fleet and print a line for each operation."""
    random = Random(nodes)
    room = build_node(random, accounts)
    reports = [
        [build_node(random, accounts).build_report(0) for _ in range(2)]
        for _ in range(nodes - 1)
    ]
    for number, pair in enumerate(reports):
        room.update_peer(f'n{number}', pair[0], 0)
    item = build_item(random, accounts)

    def decide() -> None:
        level = room.find_level(item, 0)
        sort_key(item, level, room.find_account_use(item), 0)
        before = room.count_waiting_before(level, 0, elsewhere_only=True)
        may_start(level, item.room, room.sum_running(0), before)

    def predict() -> None:
        level = room.find_level(item, 0)
        room.count_ahead(level, 0)
        room.compute_rate(0, level)

    def update() -> None:
        number = random.randrange(nodes - 1)
        reports[number].reverse()
        room.update_peer(f'n{number}', reports[number][0], 0)

    group = [pair[0] for pair in reports[:_REPORTS]]
    report = room.build_report(0)
    merged = merge_reports(group)
    for name, action in (
        ('decide', decide),
        ('predict', predict),
        ('update', update),
        ('build', lambda: room.build_report(0)),
        (f'merge {len(group)}', lambda: merge_reports(group)),
        ('encode', lambda: encode_report(report)),
        ('encode merged', lambda: encode_report(merged)),
    ):
        sys.stdout.write(
            f'{nodes:4} {accounts:5} {name:14} {measure(action)}\n'
        )
    sizes = [len(encode_report(found)) for found in (report, merged)]
    sys.stdout.write(f'{nodes:4} {accounts:5} bytes {sizes}\n')


def main() -> None:
    """Measure fleets of 69 and 400 nodes with 24 and 1,100 accounts."""
    sys.stdout.write('nodes accounts operation     p50 us   p99 us\n')
    for nodes in (69, 400):
        for accounts in (24, 1100):
            run(nodes, accounts)


if __name__ == '__main__':
    main()
