"""Repeat the measurements in docs/CAPACITY.md, and compare the results.

``make bench`` measures the costs, extrapolates them to the planned size, and
fails if a value on the page differs by more than a factor of ``MAX_RATIO``.
With ``--write`` the tables on the page are replaced instead.
"""

from __future__ import annotations

import json
import re
import sys
from dataclasses import dataclass
from pathlib import Path

from samphirerill.bench import cost_measurements
from samphirerill.bench.cost_measurements import US_PER_S, fit_line
from samphirerill.node.claim_batches import AGGREGATOR_COUNT
from samphirerill.node.claim_writer import FLEET_WRITES_PER_S
from samphirerill.node.configuration_follower import (
    FLEET_READS_PER_S,
    MIN_POLL_INTERVAL_S,
)
from samphirerill.node.gossip import EXCHANGE_INTERVAL_S, FANOUT
from samphirerill.node.health_checks import LOAD_POLLS_PER_S
from samphirerill.node.membership import RENEWALS_PER_LEASE
from samphirerill.node.vm_reader import FLEET_READS_PER_INTERVAL
from samphirerill.settings.model import StoreSettings

PAGE_PATH = Path('docs/CAPACITY.md')
MAX_RATIO = 3.0
# The planned size of the fleet and its load.
NODES = 400
REPLICAS = 770
ACCOUNTS = 1100
REQUESTS_PER_S = 4400
TOKENS_PER_S = 1_200_000
CONFIGURATION_CHANGES_A_DAY = 4200
NODES_REPLACED_A_DAY = 151
# Share of requests that carry an idempotency key.
IDEMPOTENCY_KEY_SHARE = 0.05
_DAY_S = 86_400
_TABLE_ROW = re.compile(
    r'^\| `(?P<key>[a-z_.0-9]+)` \| (?P<value>[-0-9.e+]+) \|'
)
_STREAM_COUNT = 100
# Lease with which the writes of idle nodes are measured.
_MEASURED_LEASE_S = 3


@dataclass(slots=True)
class Row:
    """One value; `how` says what it was measured or computed from."""

    key: str
    figure: float
    unit: str
    how: str
    budget: float = 0

    def format(self) -> str:
        """Return a row of the Markdown table, marked if it is over budget."""
        budget_note = ''
        if self.budget:
            over = self.figure > self.budget
            budget_note = f'**over** {self.budget:g}' if over else 'fits'
            budget_note = budget_note if over else f'fits {self.budget:g}'
        return (
            f'| `{self.key}` | {self.figure:.4g} | {self.unit} | {self.how} '
            f'| {budget_note} |'
        )


def measure_costs() -> list[Row]:
    """Run all measurements; takes some minutes."""
    return [
        *_measure_streams(),
        *_measure_core(),
        *_measure_control_plane(),
    ]


def extrapolate(measured: list[Row]) -> list[Row]:
    """Extrapolate the measured costs to the planned size."""
    costs = {row.key: row.figure for row in measured}
    return [
        *_extrapolate_requests(costs),
        *_extrapolate_store(costs),
        *_extrapolate_node(costs),
    ]


def _measure_streams() -> list[Row]:
    points = {}
    for tokens in (50, 150, 300):
        _report_progress(f'streams of {tokens} tokens')
        measurements = cost_measurements.measure_streams(_STREAM_COUNT, tokens)
        points[measurements['tokens']] = measurements['cpu_s']
    line = fit_line(points)
    memory_mb = {}
    for streams in (50, 200, 400):
        _report_progress(f'{streams} concurrent streams')
        measurements = cost_measurements.measure_streams(streams, 100)
        memory_mb[float(streams)] = measurements['memory_mb']
    return [
        Row('path.token_us', line.slope * US_PER_S, 'µs a token', '3 lengths'),
        Row(
            'path.request_ms',
            line.base * 1000 / _STREAM_COUNT,
            'ms a request',
            'same line, at no tokens',
        ),
        Row(
            'path.stream_kb',
            fit_line(memory_mb).slope * 1024,
            'KB a live stream',
            '50, 200, 400 streams',
        ),
    ]


def _measure_core() -> list[Row]:
    request_us = {}
    memory_mb = {}
    change_ms = {}
    measurements = {}
    for replicas, accounts in ((192, 275), (384, 550), (REPLICAS, ACCOUNTS)):
        _report_progress(f'one router core with {replicas} replicas')
        decisions = cost_measurements.measure_decisions(replicas, accounts)
        request_us[float(replicas)] = decisions['request_us']
        memory_mb[float(replicas)] = cost_measurements.measure_core_memory(
            replicas, accounts
        )
        measurements = cost_measurements.measure_change(replicas, accounts)
        change_ms[float(replicas)] = measurements['change_ms']
    source = '192, 384, 770 replicas with 275, 550, 1,100 accounts'
    return [
        Row(
            'core.request_us',
            fit_line(request_us).at(REPLICAS),
            'µs a request at full size',
            source,
        ),
        Row('core.token_us', decisions['token_us'], 'µs a token', source),
        Row(
            'core.memory_mb',
            fit_line(memory_mb).at(REPLICAS),
            'MB at full size',
            source,
        ),
        Row(
            'config.change_ms',
            fit_line(change_ms).at(REPLICAS),
            'ms a change at full size',
            source,
        ),
        Row(
            'config.change_bytes', measurements['change_bytes'], 'bytes', source
        ),
        Row(
            'config.document_bytes',
            measurements['document_bytes'],
            'bytes',
            source,
        ),
    ]


def _measure_control_plane() -> list[Row]:
    idle_nodes = {}
    for nodes in (2, 4, 8):
        _report_progress(f'{nodes} idle nodes')
        idle_nodes[nodes] = cost_measurements.measure_idle(nodes)
    gossip = {}
    for nodes in (50, 100, 200, NODES):
        gossip[nodes] = cost_measurements.measure_gossip(nodes)
    claim_bytes = {
        float(size): cost_measurements.measure_claim_batch(size)['bytes']
        for size in (1, 10, 50)
    }
    _report_progress('a node with the whole planned fleet')
    full_node = cost_measurements.measure_full_node()
    polls = cost_measurements.measure_polls()
    source = '2, 4, 8 idle nodes'
    gossip_source = '50, 100, 200, 400 nodes without sockets'
    fleet_source = '770 endpoints, 1,100 accounts, 1 node'
    return [
        Row('idle.cpu', _mean(idle_nodes, 'cpu_share'), 'of a core', source),
        Row(
            'idle.reads_s',
            _mean(idle_nodes, 'reads_s'),
            'a node and second',
            source,
        ),
        Row(
            'idle.writes_s',
            _mean(idle_nodes, 'writes_s'),
            'a node and second, leases of 3 s',
            source,
        ),
        Row('idle.memory_mb', _mean(idle_nodes, 'memory_mb'), 'MB', source),
        Row('full.cpu', full_node['cpu_share'], 'of a core', fleet_source),
        Row('full.memory_mb', full_node['memory_mb'], 'MB', fleet_source),
        Row('peers.rounds', gossip[NODES]['rounds'], 'rounds', gossip_source),
        Row(
            'peers.round_bytes',
            gossip[NODES]['bytes_a_round'],
            'bytes a round',
            gossip_source,
        ),
        Row(
            'peers.round_us',
            gossip[NODES]['us_a_round'],
            'µs a round',
            gossip_source,
        ),
        Row(
            'claims.bytes',
            fit_line(claim_bytes).slope,
            'bytes a claim and its outcome',
            'groups of 1, 10, 50',
        ),
        Row('polls.bytes', polls['poll_bytes'], 'bytes a poll', '1 engine'),
        Row('vms.entry_bytes', polls['vm_entry_bytes'], 'bytes', '1 entry'),
    ]


def _extrapolate_requests(costs: dict[str, float]) -> list[Row]:
    tokens = TOKENS_PER_S / NODES * costs['path.token_us'] / US_PER_S
    requests = REQUESTS_PER_S / NODES * costs['path.request_ms'] / 1000
    live_streams = TOKENS_PER_S / NODES / (1 / 0.026)
    return [
        Row(
            'at.entry_cpu',
            tokens + requests,
            'of a core, all work on requests',
            '11 requests, 3,000 tokens a second',
        ),
        Row(
            'at.decisions_cpu',
            REQUESTS_PER_S / NODES * costs['core.request_us'] / US_PER_S
            + TOKENS_PER_S / NODES * costs['core.token_us'] / US_PER_S,
            'of a core, part of the above',
            'core.request_us, core.token_us',
        ),
        Row(
            'at.streams_mb',
            live_streams * costs['path.stream_kb'] / 1024,
            f'MB for {live_streams:.0f} live streams',
            'path.stream_kb',
        ),
    ]


def _extrapolate_store(costs: dict[str, float]) -> list[Row]:
    lease_s = StoreSettings().lease_s
    renewals = costs['idle.writes_s'] * _MEASURED_LEASE_S / lease_s
    poll_s = max(MIN_POLL_INTERVAL_S, NODES / FLEET_READS_PER_S)
    keyed_requests_per_s = REQUESTS_PER_S * IDEMPOTENCY_KEY_SHARE
    claim_wait_s = AGGREGATOR_COUNT / FLEET_WRITES_PER_S
    changes_per_s = CONFIGURATION_CHANGES_A_DAY / _DAY_S
    writes_per_s = (
        NODES * renewals
        + min(FLEET_WRITES_PER_S, 2 * keyed_requests_per_s)
        + changes_per_s
    )
    return [
        Row(
            'at.lease_writes_s',
            NODES * renewals,
            'writes a second, the fleet',
            f'idle.writes_s at leases of {lease_s} s, {RENEWALS_PER_LEASE} '
            'renewals each',
        ),
        Row(
            'at.claim_writes_s',
            min(FLEET_WRITES_PER_S, 2 * keyed_requests_per_s),
            'writes a second, the fleet',
            f'{IDEMPOTENCY_KEY_SHARE:.0%} of requests keyed',
        ),
        Row(
            'at.claim_wait_s',
            claim_wait_s,
            's until a claim is written, at worst',
            f'{AGGREGATOR_COUNT} nodes gather, {FLEET_WRITES_PER_S} writes a '
            'second for all',
            budget=0.3,
        ),
        Row('at.writes_s', writes_per_s, 'writes a second', 'all', budget=300),
        Row(
            'at.reads_s',
            NODES / poll_s + NODES * NODES_REPLACED_A_DAY / _DAY_S / NODES * 3,
            'reads a second',
            f'one small read each {poll_s:g} s and node, 3 a start',
            budget=2000,
        ),
        Row('at.watches', NODES, 'waiting watches', 'one a node'),
    ]


def _extrapolate_node(costs: dict[str, float]) -> list[Row]:
    changes_per_s = CONFIGURATION_CHANGES_A_DAY / _DAY_S
    config_bytes_s = changes_per_s * costs['config.change_bytes'] * 4 / 3
    peer_bytes_s = costs['peers.round_bytes'] / EXCHANGE_INTERVAL_S
    poll_bytes_s = LOAD_POLLS_PER_S * costs['polls.bytes']
    vm_bytes_s = (
        REPLICAS * costs['vms.entry_bytes'] / (NODES / FLEET_READS_PER_INTERVAL)
    )
    cpu_share = (
        costs['full.cpu'] + changes_per_s * costs['config.change_ms'] / 1000
    )
    return [
        Row(
            'at.config_bytes_s',
            config_bytes_s,
            'bytes a second',
            'changes, base64',
        ),
        Row(
            'at.peer_bytes_s',
            peer_bytes_s,
            'bytes a second',
            f'{FANOUT} partners each {EXCHANGE_INTERVAL_S:g} s, payload',
        ),
        Row('at.poll_bytes_s', poll_bytes_s, 'bytes a second', 'load polls'),
        Row(
            'at.vm_bytes_s', vm_bytes_s, 'bytes a second', 'the VM list, shared'
        ),
        Row(
            'at.control_bytes_s',
            config_bytes_s + peer_bytes_s + poll_bytes_s + vm_bytes_s,
            'bytes a second, payload',
            'all of the above',
            budget=9000,
        ),
        Row(
            'at.control_cpu',
            cpu_share,
            'of a core',
            'full.cpu and changes',
            budget=0.044,
        ),
        Row(
            'at.memory_mb',
            costs['full.memory_mb'],
            'MB, whole process, no streams',
            'full.memory_mb',
            budget=64,
        ),
        Row(
            'at.in_force_s',
            costs['peers.rounds'] * EXCHANGE_INTERVAL_S,
            's until in force, by peers alone',
            'peers.rounds',
            budget=5,
        ),
    ]


def compare(page: str, rows: list[Row]) -> list[str]:
    """Return a line for each value on the page that differs from the run."""
    page_values = {
        match['key']: float(match['value'])
        for line in page.splitlines()
        if (match := _TABLE_ROW.match(line))
    }
    differences = []
    for row in rows:
        page_value = page_values.get(row.key)
        if page_value is None:
            differences.append(f'{row.key} is not on the page')
        elif not _is_close(page_value, row.figure):
            differences.append(
                f'{row.key}: the page says {page_value:g}, '
                f'measured {row.figure:.4g}'
            )
    return differences


def write_tables(page: str, tables: dict[str, list[Row]]) -> str:
    """Return the page with the tables between the markers replaced."""
    head = '| figure | value | unit | from | budget |\n|---|---|---|---|---|\n'
    for name, rows in tables.items():
        body = '\n'.join(row.format() for row in rows)
        start, rest = page.split(f'<!-- {name} -->\n', 1)
        _, end = rest.split('<!-- end -->', 1)
        page = f'{start}<!-- {name} -->\n{head}{body}\n<!-- end -->{end}'
    return page


def main() -> int:
    """Run the measurements, then compare the page or update it."""
    measured = measure_costs()
    extrapolated = extrapolate(measured)
    page = PAGE_PATH.read_text(encoding='utf-8')
    for row in measured + extrapolated:
        sys.stdout.write(f'{row.format()}\n')
    if '--write' in sys.argv:
        tables = {'slopes': measured, 'planned': extrapolated}
        PAGE_PATH.write_text(write_tables(page, tables), encoding='utf-8')
        return 0
    differences = compare(page, measured + extrapolated)
    sys.stdout.write(f'{json.dumps(differences, indent=1)}\n')
    return 1 if differences else 0


def _is_close(first: float, second: float) -> bool:
    small, large = sorted((abs(first), abs(second)))
    return large <= MAX_RATIO * small or large - small < 1e-3


def _mean(measurements: dict[int, dict[str, float]], name: str) -> float:
    return sum(item[name] for item in measurements.values()) / len(measurements)


def _report_progress(line: str) -> None:
    sys.stderr.write(f'measuring {line}\n')


if __name__ == '__main__':
    sys.exit(main())
