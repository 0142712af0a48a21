"""Count late and refused requests by second and cause."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from samphirerill.reports.late_streams import LateStream
    from samphirerill.reports.log_index import LogIndex, LogRecord

_REFUSED = 'refused'
_SERVER_ERROR = 500
_HEADER = f'{"second":>7}{"requests":>10}  cause'


def format_by_second(
    index: LogIndex, late_streams: Sequence[LateStream]
) -> list[str]:
    """Format a table of causes for each second since the first log record.

    Late streams count when their delay ended, refusals with a server error when
    they were sent.
    """
    start_s = min(map(_get_time, _iterate_records(index)), default=0.0)
    causes: defaultdict[int, Counter[str]] = defaultdict(Counter)
    for stream in late_streams:
        causes[int(stream.ended_s - start_s)][stream.cause.value] += 1
    for time_s, cause in _list_refusals(index):
        causes[int(time_s - start_s)][cause] += 1
    return [_HEADER, *_list_rows(causes)]


def _list_rows(causes: Mapping[int, Counter[str]]) -> list[str]:
    rows: list[str] = []
    for second, counts in sorted(causes.items()):
        rows.extend(
            f'{second:>7}{count:>10}  {name}'
            for name, count in counts.most_common()
        )
    return rows


def _list_refusals(index: LogIndex) -> list[tuple[float, str]]:
    return [
        (record.time_s, f'refused: {_generalize(record)}')
        for record in _iterate_records(index)
        if record.event == _REFUSED
        and record.fields.get('status', 0) >= _SERVER_ERROR
    ]


def _generalize(record: LogRecord) -> str:
    """Return the reason of a refusal without names and numbers."""
    words = str(record.fields.get('reason', '')).split()
    return ' '.join(word for word in words if word.isalpha())


def _iterate_records(index: LogIndex) -> Iterable[LogRecord]:
    for records in index.by_request.values():
        yield from records
    yield from index.without_request


def _get_time(record: LogRecord) -> float:
    return record.time_s
