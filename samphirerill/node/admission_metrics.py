"""The admission records of a node in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

_PREFIX = 'samphirerill'
_GROUPS = (('level', 'levels'), ('rank', 'ranks'), ('account', 'accounts'))
_WAITS = ('predicted', 'waited', 'retry')
_QUANTILES = (50, 95, 99)
_PERCENT = 100
# Not a likely name of an account; two equal series make a page invalid.
_OTHER_ACCOUNTS = '(others)'


def format_admissions(described: Mapping[str, Mapping[str, Any]]) -> str:
    """Return what `AdmissionObserver.describe` returned as metrics."""
    lines: list[str] = []
    for service, records in described.items():
        lines.extend(_format_service(service, records))
    return '\n'.join([*lines, '']) if lines else ''


def _format_service(service: str, records: Mapping[str, Any]) -> Iterator[str]:
    labels = {'service': service}
    level = records['level']
    yield _format('level_in_force', labels, '+Inf' if level is None else level)
    yield _format('level_changes_total', labels, records['level_changes'])
    if records['level_for_s'] is not None:
        yield _format('level_seconds', labels, records['level_for_s'])
    for label, group in _GROUPS:
        for name, counts in records[group].items():
            yield from _format_counts(label, {**labels, label: name}, counts)
    others = {**labels, 'account': _OTHER_ACCOUNTS}
    yield from _format_counts('account', others, records['other_accounts'])
    yield from _format_room(labels, records['room'])


def _format_counts(
    group: str, labels: Mapping[str, str], counts: Mapping[str, Any]
) -> Iterator[str]:
    yield _format(f'{group}_admitted_total', labels, counts['admitted'])
    yield _format(
        f'{group}_admitted_room_total', labels, counts['admitted_room']
    )
    for reason, number in counts['rejected'].items():
        reasoned = {**labels, 'reason': reason}
        yield _format(f'{group}_rejected_total', reasoned, number)
    for kind in _WAITS:
        name = f'{group}_{kind}_seconds'
        for percent in _QUANTILES:
            quantile = {**labels, 'quantile': str(percent / _PERCENT)}
            yield _format(name, quantile, counts[kind][f'p{percent}_s'])
        yield _format(f'{name}_sum', labels, counts[kind]['sum_s'])
        yield _format(f'{name}_count', labels, counts[kind]['count'])


def _format_room(
    labels: Mapping[str, str], room: Mapping[str, Any]
) -> Iterator[str]:
    """Format running and waiting work."""
    for rank, running in room['running_by_rank'].items():
        yield _format('rank_running_room', {**labels, 'rank': rank}, running)
    for account, running in room['running_by_account'].items():
        listed = {**labels, 'account': account}
        yield _format('account_running_room', listed, running)
    for level, waiting in room['waiting_by_level'].items():
        listed = {**labels, 'level': level}
        yield _format('level_waiting', listed, waiting['count'])
        yield _format('level_waiting_room', listed, waiting['room'])


def _format(name: str, labels: Mapping[str, str], number: object) -> str:
    joined = ','.join(
        f'{label}="{_escape(text)}"' for label, text in labels.items()
    )
    return f'{_PREFIX}_{name}{{{joined}}} {number}'


def _escape(text: str) -> str:
    """Escape a label value, as names of accounts may contain any character."""
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')
