"""Keep what is known against requests, and carry out what follows from it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.book import SETTLE_S
from samphirerill.quarantine.messages import take_told
from samphirerill.quarantine.records import describe_deaths, describe_record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.quarantine.book import News
    from samphirerill.quarantine.messages import ToldRecord
    from samphirerill.quarantine.records import Death
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
# Timers may fire a moment early.
_TICK_S = 0.005
_LATEST_S = 0.3


class Keeper:
    """Takes evidence; logs decisions and ends the streams that they concern.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine, counters and the streams under way.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        # When to judge at the latest; 0 if nothing has come since.
        self._judge_at = 0.0

    def note_death(self, request: bytes, death: Death) -> None:
        """Take what this node has seen itself."""
        self._state.quarantine.note_death(request, death, self._loop.time())
        self._judge_soon()

    def note_survival(self, request: bytes) -> bool:
        """A run has gone on for long enough; return whether that is news."""
        now = self._loop.time()
        is_news = self._state.quarantine.note_survival(request, now)
        if is_news:
            self._state.counters['quarantine.refuted'] += 1
            self._judge_soon()
        return is_news

    def take_told(self, told: Iterable[ToldRecord]) -> None:
        """Take what another node knows."""
        if take_told(self._state.quarantine, told, self._loop.time()):
            self._judge_soon()

    def describe(self) -> list[dict[str, Any]]:
        """Return what is held, for operators: by attempts, never by bodies."""
        now = self._loop.time()
        quarantine = self._state.quarantine
        return [
            describe_record(
                record, quarantine.find_held_until(request, now), now
            )
            for request, record in quarantine.list_records()
            if record.deaths
        ]

    def _judge_soon(self) -> None:
        """Judge once this evidence has settled, and so has all before it."""
        if self._timer is not None:
            self._timer.cancel()
        # Evidence that keeps coming must not put the judgement off for ever.
        self._judge_at = self._judge_at or self._loop.time() + _LATEST_S
        at = min(self._judge_at, self._loop.time() + SETTLE_S + _TICK_S)
        self._timer = self._loop.call_at(at, self._judge)

    def _judge(self) -> None:
        self._timer = None
        self._judge_at = 0.0
        news = self._state.quarantine.judge(self._loop.time())
        for decision in news:
            self._log(decision)
        if any(decided.until for decided in news):
            for stream in tuple(self._state.streams):
                stream.check_quarantine()

    def _log(self, news: News) -> None:
        now = self._loop.time()
        facts = {
            'first_request': news.deaths[0].request_id,
            'deaths': describe_deaths(news.deaths, now),
        }
        if news.until:
            self._state.counters['quarantine.held'] += 1
            left_ms = round((news.until - now) * MS_PER_S)
            _LOG.warning('request held back', extra={**facts, 'ms': left_ms})
        else:
            self._state.counters['quarantine.released'] += 1
            _LOG.warning('request released', extra=facts)
