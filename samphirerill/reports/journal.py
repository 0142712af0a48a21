"""Read nodes' logs: JSON lines, perhaps with something before each."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING, Any

from msgspec import DecodeError, json

if TYPE_CHECKING:
    from collections.abc import Iterable

_START = '{"time'


@dataclass(slots=True)
class Line:
    """One line of a log; `at` is its time of day in seconds."""

    at: float
    event: str
    facts: dict[str, Any]


@dataclass(slots=True)
class Journal:
    """What several nodes logged: by request, and about no request.

    `skipped` counts lines that are no log lines.
    """

    requests: defaultdict[str, list[Line]] = field(
        default_factory=partial(defaultdict, list)
    )
    others: list[Line] = field(default_factory=list)
    skipped: int = 0

    def read(self, lines: Iterable[str]) -> None:
        """Take lines of one log."""
        for text in lines:
            line = _parse(text)
            if line is None:
                self.skipped += bool(text.strip())
                continue
            request = line.facts.get('request', '')
            story = self.requests[request] if request else self.others
            story.append(line)


def _parse(text: str) -> Line | None:
    at = text.find(_START)
    if at < 0:
        return None
    try:
        facts = json.decode(text[at:])
        moment = datetime.fromisoformat(facts['time']).timestamp()
        return Line(moment, facts['event'], facts)
    except (DecodeError, KeyError, TypeError, ValueError):
        return None
