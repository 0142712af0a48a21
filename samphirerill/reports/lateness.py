"""Why streams were late: the cause of each, and where the time went.

A stream is late if its first event or one pause between two events took longer
than callers accept. Its longest pause is cut into phases by what the node
logged in it: until something was decided, until the stream was sent or moved,
and until the next event came.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.reports.journal import Journal, Line

_MS_PER_S = 1000
# Log lines of one moment carry times that differ by so much.
_SLACK_S = 0.002
_SENT = 'stream sent'
_SENT_BESIDE = 'stream sent beside'
_MOVED = 'stream moved'
_LEAVES = 'stream leaves'
_BROKE = 'stream broke'
_REFUSED = 'engine refused'
_ENDED = 'stream ended'
_ACTED = frozenset((_SENT, _SENT_BESIDE, _MOVED))
# Words in the reason of a stream that leaves what is silent.
_SILENT_WORDS = ('waits for', 'silent', 'does not answer')


class Cause(enum.Enum):
    """What made a stream late."""

    CUT = 'cut by the node'
    NO_PATH = 'waited for a path'
    BROKE = 'its first replica broke off'
    SILENT = 'a part fell silent'
    MOVED = 'moved off a part'
    REFUSED = 'refused by engines'
    CROWDED = 'nothing was decided: crowding'


@dataclass(slots=True, frozen=True)
class Aims:
    """What callers accept, in milliseconds."""

    first_ms: float = 500
    pause_ms: float = 200


@dataclass(slots=True)
class Lateness:
    """One late stream; times in milliseconds.

    `noticing_ms` passed before something was decided, `deciding_ms` until it
    was sent or moved, `reading_ms` until its next event.
    """

    request: str
    cause: Cause
    late_ms: float
    noticing_ms: float = 0
    deciding_ms: float = 0
    reading_ms: float = 0


def list_late(journal: Journal, aims: Aims) -> list[Lateness]:
    """Return the late streams of a journal, in order of their end."""
    found = []
    for request, story in journal.requests.items():
        ended = _find_last(story, _ENDED)
        if ended is not None:
            late = _explain(request, story, ended, aims)
            if late is not None:
                found.append((ended.at, late))
    found.sort(key=_first)
    return [late for _, late in found]


def _explain(
    request: str, story: Sequence[Line], ended: Line, aims: Aims
) -> Lateness | None:
    first_ms = ended.facts.get('first_ms', 0)
    pause_ms = ended.facts.get('most_gap_ms', 0)
    if any(line.event == 'stream cut' for line in story):
        return Lateness(request, Cause.CUT, pause_ms)
    if pause_ms > aims.pause_ms:
        return _explain_pause(request, story, ended, pause_ms)
    if first_ms > aims.first_ms:
        return _explain_first(request, story, first_ms)
    return None


def _explain_first(
    request: str, story: Sequence[Line], first_ms: float
) -> Lateness:
    sent = [line for line in story if line.event == _SENT]
    waited_ms = sent[-1].facts.get('waited_ms', 0) if sent else first_ms
    cause = _find_cause(story)
    if cause is Cause.CROWDED and waited_ms > first_ms / 2:
        cause = Cause.NO_PATH
    return Lateness(
        request, cause, first_ms, 0, waited_ms, first_ms - waited_ms
    )


def _explain_pause(
    request: str, story: Sequence[Line], ended: Line, pause_ms: float
) -> Lateness:
    until = ended.at - ended.facts.get('most_gap_ago_ms', 0) / _MS_PER_S
    since = until - pause_ms / _MS_PER_S
    within = [
        line
        for line in story
        if since - _SLACK_S <= line.at <= until + _SLACK_S
    ]
    late = Lateness(request, _find_cause(within), pause_ms)
    decided = [line.at for line in within if line.event != _ENDED]
    acted = [line.at for line in within if line.event in _ACTED]
    if decided:
        late.noticing_ms = max(0.0, decided[0] - since) * _MS_PER_S
        last = acted[-1] if acted else decided[-1]
        late.deciding_ms = (last - decided[0]) * _MS_PER_S
        late.reading_ms = max(0.0, until - last) * _MS_PER_S
    return late


def _find_cause(lines: Sequence[Line]) -> Cause:
    left = [line for line in lines if line.event in {_BROKE, _LEAVES}]
    if left:
        reason = str(left[-1].facts.get('reason', ''))
        if any(word in reason for word in _SILENT_WORDS):
            return Cause.SILENT
    events = {line.event for line in lines}
    if _BROKE in events:
        return Cause.BROKE
    if events & {_MOVED, _LEAVES}:
        return Cause.MOVED
    if any(line.event == _REFUSED for line in lines):
        return Cause.REFUSED
    return Cause.CROWDED


def _find_last(story: Sequence[Line], event: str) -> Line | None:
    for line in reversed(story):
        if line.event == event:
            return line
    return None


def _first(pair: tuple[float, Lateness]) -> float:
    return pair[0]
