"""Read-only views of the decision core, for state dumps and tests."""

from __future__ import annotations

from collections import Counter
from itertools import islice
from typing import TYPE_CHECKING, Any

from samphirerill.core.placement import count_free_slots
from samphirerill.quarantine.messages import build_messages
from samphirerill.quarantine.records import describe_record

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState
    from samphirerill.quarantine.messages import EvidenceMessage


def describe_state(state: CoreState, now: float) -> dict[str, Any]:
    """Return the whole state in plain values, without prompts or keys."""
    return {
        'configuration_version': state.configuration.version,
        'draining': state.draining,
        'forbidden': state.suspension_reason,
        'nodes': state.node_count,
        'requests': _count_phases(state),
        'attempts': len(state.attempts),
        'waiting': {name: queue.size() for name, queue in state.queues.items()},
        'endpoints': _describe_endpoints(state, now),
        'retry_budgets': {
            name: round(budget.balance, 1)
            for name, budget in state.budgets.items()
        },
        'known_prefixes': state.prefixes.size(),
        'quarantine': _describe_quarantine(state, now),
        'counters': dict(state.counters),
    }


def count_open_requests(state: CoreState) -> int:
    """Return the number of requests without a final answer."""
    return len(state.requests)


def list_leaving_endpoints(state: CoreState) -> list[str]:
    """Return the endpoints known to be leaving, sorted."""
    return sorted(state.leaving)


def list_crash_records(
    state: CoreState, now: float, limit: int
) -> list[EvidenceMessage]:
    """Return up to `limit` crash records, for other nodes.

    Prompt parts take up to half of them.
    """
    quarantine = state.quarantine
    parts = [
        part for part, _ in islice(quarantine.parts.list_records(), limit // 2)
    ]
    requests = [
        request
        for request, _ in islice(quarantine.list_records(), limit - len(parts))
    ]
    return build_messages(quarantine, parts, requests, now)


def _describe_quarantine(state: CoreState, now: float) -> list[dict[str, Any]]:
    stores = (
        ('request', state.quarantine),
        ('prompt part', state.quarantine.parts),
    )
    return [
        {
            'kind': kind,
            **describe_record(record, store.find_hold_end(digest, now), now),
        }
        for kind, store in stores
        for digest, record in store.list_records()
        if record.crashes
    ]


def _count_phases(state: CoreState) -> dict[str, int]:
    return dict(Counter(req.phase.value for req in state.requests.values()))


def _get_back_off_s(state: CoreState, address: str, now: float) -> float:
    """Return the remaining seconds of a back-off, or 0."""
    return round(max(0, state.back_offs.get_until(address, now) - now), 3)


def _describe_endpoints(state: CoreState, now: float) -> dict[str, Any]:
    return {
        name: {
            'health': replica.health.value,
            'unresponsive': replica.is_unresponsive,
            'in_flight': replica.in_flight,
            'reported_running': replica.running,
            'reported_waiting': replica.waiting,
            'free': count_free_slots(state, replica),
            'says_leaving': state.departures.is_leaving(
                replica.endpoint.address
            ),
            'back_off_s': _get_back_off_s(state, replica.endpoint.address, now),
            'request_limit_per_s': state.request_limits.find_rate(
                replica.endpoint.address, now
            ),
        }
        for name, replica in state.endpoints.items()
    }
