"""Event times of one stream, for metrics, logs and silence detection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.smoothing import SmoothedDuration
from samphirerill.quarantine.decision import SURVIVAL_S

if TYPE_CHECKING:
    from samphirerill.fleet.policy import Policy
    from samphirerill.node.metrics import Metrics

# Events after which the silence limit follows the stream's own gaps.
_MIN_EVENTS = 5
# A gap this many deviations above the mean counts as a silence. On calm days one
# gap in some hundred is; one in forty would be with four deviations.
_SILENCE_DEVIATIONS = 6
# Multiple of the predicted gap that counts as a silence until the stream has
# enough events of its own.
_PREDICTED_GAP_FACTOR = 3.0
# Lower limit of a silence: prompts of other streams cause gaps of this length.
MIN_SILENCE_S = 0.05
_MIN_INITIAL_SILENCE_S = 0.09
# Part of an acceptable gap that is needed to recover: probing the stages (up to
# 0.09 s) and prefilling the stream elsewhere. Where clients accept 300 ms, probing
# after 50 made 325 probes in ten calm seconds, all in vain.
_RECOVERY_S = 0.15


class RunTimes:
    """When one run of a stream was sent, and the events it returned.

    Requests that crash replicas do so as they start to run. How far a run came
    is measured by the times of its events and not by the present time, so that
    a delay of this node does not make a long run look like a short one.

    `sent_at`, `first_at` and `last_at` are times on the loop's clock, the last
    two those of the first and latest event; 0 for none yet.
    """

    __slots__ = ('events', 'first_at', 'last_at', 'next_report_at', 'sent_at')

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.events = 0
        self.first_at = 0.0
        self.last_at = 0.0
        # When to report again that the run goes on.
        self.next_report_at = 0.0

    @property
    def has_outlasted_start(self) -> bool:
        """Return whether the run has lasted longer than the start phase."""
        return self.last_at - self.first_at >= SURVIVAL_S

    def record_events(self, count: int, now: float) -> None:
        """Record events of this run."""
        self.events += count
        self.first_at = self.first_at or now
        self.last_at = now

    def get_silence_s(self, now: float) -> float:
        """Return the time since the latest event, or since the run was sent."""
        return now - max(self.sent_at, self.last_at)

    def describe(self, now: float) -> dict[str, Any]:
        """Return log fields: events, and the run's time and silence in ms."""
        return {
            'run_events': self.events,
            'run_ms': round((now - self.sent_at) * MS_PER_S),
            'silent_ms': round(self.get_silence_s(now) * MS_PER_S),
        }


class StreamTimes:
    """Event times of one stream, on the loop's clock.

    Parameters
    ----------
    metrics : Metrics
        Records the time to the first event and each gap.
    arrived_at : float
        When the request was complete.
    policy : Policy
        Whether the silence limit follows the stream's own gaps.
    max_gap_s : float
        The longest acceptable gap; 0 if the route has no objective.
    """

    __slots__ = (
        '_arrived_at',
        '_events',
        '_first_at',
        '_gaps',
        '_min_silence_s',
        '_metrics',
        '_longest_gap_at',
        '_longest_gap_s',
        '_policy',
        'last_at',
    )

    def __init__(
        self,
        metrics: Metrics,
        arrived_at: float,
        policy: Policy,
        max_gap_s: float = 0.0,
    ) -> None:
        self.last_at = 0.0
        self._min_silence_s = max(MIN_SILENCE_S, max_gap_s - _RECOVERY_S)
        self._metrics = metrics
        self._policy = policy
        self._arrived_at = arrived_at
        self._events = 0
        self._first_at = 0.0
        self._longest_gap_s = 0.0
        self._longest_gap_at = 0.0
        self._gaps = SmoothedDuration()

    def record_event(self, now: float) -> None:
        """Record that one or more events are being passed on."""
        self._events += 1
        if self.last_at:
            gap_s = now - self.last_at
            if gap_s > self._longest_gap_s:
                self._longest_gap_s = gap_s
                self._longest_gap_at = now
            self._gaps.add_sample(gap_s)
            self._metrics.record('token_gap', 'stream', gap_s)
        else:
            waited_s = now - self._arrived_at
            self._metrics.record('first_token', 'stream', waited_s)
            self._first_at = now
        self.last_at = now

    def get_silence_limit_s(self, predicted_s: float) -> float:
        """Return after which time without an event the path is checked.

        The limit is the mean gap plus some deviations, as gaps vary little and
        a stream of a dead replica stands still until the limit is reached.

        Parameters
        ----------
        predicted_s : float
            The predicted gap, used until the stream has enough events.
        """
        is_new = self._events < _MIN_EVENTS
        if is_new or not self._policy.own_silence:
            min_silence_s = max(_MIN_INITIAL_SILENCE_S, self._min_silence_s)
            return max(min_silence_s, _PREDICTED_GAP_FACTOR * predicted_s)
        return max(
            self._min_silence_s, self._gaps.get_upper_bound(_SILENCE_DEVIATIONS)
        )

    def describe(self, now: float) -> dict[str, Any]:
        """Return log fields: counts and milliseconds.

        `most_gap_ago_ms` is the time since the end of the longest gap.
        """
        if not self._events:
            return {'events': 0}
        spent_s = self.last_at - self._first_at
        return {
            'events': self._events,
            'first_ms': round((self._first_at - self._arrived_at) * MS_PER_S),
            'gap_ms': round(spent_s * MS_PER_S / max(1, self._events - 1)),
            'most_gap_ms': round(self._longest_gap_s * MS_PER_S),
            'most_gap_ago_ms': round((now - self._longest_gap_at) * MS_PER_S),
        }
