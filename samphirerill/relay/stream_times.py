"""When the events of one stream came, for metrics and its last log line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.smoothing import Smoothed
from samphirerill.quarantine.book import BEGINNING_S

if TYPE_CHECKING:
    from samphirerill.fleet.policy import Policy
    from samphirerill.node.metrics import Metrics

_ENOUGH_EVENTS = 5
# A gap longer than the mean by so many deviations is a silence. On calm days
# one gap in some hundred is; four deviations would be passed by one in forty.
_DEVIATIONS = 6
# Until a stream's own events tell, so many of the gaps that were predicted.
_PREDICTED_GAPS = 3.0
# No silence is shorter than this: other streams' prompts cause such pauses.
LEAST_SILENCE_S = 0.05
_FIRST_SILENCE_S = 0.09
# What is left of an accepted pause once a silence is noticed: parts are asked for up
# to 0.09 s, and the stream is read elsewhere. Where callers accept 300 ms, streams
# that asked after 50 made 325 questions in ten calm seconds, all of them in vain.
_AFTER_NOTICE_S = 0.15


class RunTimes:
    """When one run of a stream was sent, and how far it came.

    A request that ends its replica does so as it begins to run. By the times of
    its events, and not by the clock, a node that was held up between an event
    and the break does not take the one for the other.

    `sent_at`, `first_at` and `last_at` are points on the loop's clock, the last
    two of the run's first and latest event; 0 for none yet.
    """

    __slots__ = ('events', 'first_at', 'last_at', 'note_at', 'sent_at')

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.events = 0
        self.first_at = 0.0
        self.last_at = 0.0
        # When it is worth while to say again that the run goes on.
        self.note_at = 0.0

    @property
    def has_survived(self) -> bool:
        """Return whether it has gone on for longer than a beginning."""
        return self.last_at - self.first_at >= BEGINNING_S

    def note_events(self, count: int, now: float) -> None:
        """Events of this run have come."""
        self.events += count
        self.first_at = self.first_at or now
        self.last_at = now

    def describe(self, now: float) -> dict[str, Any]:
        """Return events and milliseconds since it was sent, for a log line."""
        return {
            'run_events': self.events,
            'run_ms': round((now - self.sent_at) * MS_PER_S),
        }


class StreamTimes:
    """Points on the loop's clock.

    Parameters
    ----------
    metrics : Metrics
        Records the first wait and each pause.
    arrived_at : float
        When the request was whole.
    policy : Policy
        Whether a silence is measured by the stream's own gaps.
    pause_s : float
        The longest pause that is on time; 0 if the route names none.
    """

    __slots__ = (
        '_arrived_at',
        '_events',
        '_first_at',
        '_gaps',
        '_least_s',
        '_metrics',
        '_most_gap_at',
        '_most_gap_s',
        '_policy',
        'last_at',
    )

    def __init__(
        self,
        metrics: Metrics,
        arrived_at: float,
        policy: Policy,
        pause_s: float = 0.0,
    ) -> None:
        self.last_at = 0.0
        self._least_s = max(LEAST_SILENCE_S, pause_s - _AFTER_NOTICE_S)
        self._metrics = metrics
        self._policy = policy
        self._arrived_at = arrived_at
        self._events = 0
        self._first_at = 0.0
        self._most_gap_s = 0.0
        self._most_gap_at = 0.0
        self._gaps = Smoothed()

    def note_event(self, now: float) -> None:
        """Events have come and are passed on."""
        self._events += 1
        if self.last_at:
            gap_s = now - self.last_at
            if gap_s > self._most_gap_s:
                self._most_gap_s = gap_s
                self._most_gap_at = now
            self._gaps.note(gap_s)
            self._metrics.record('token_gap', 'stream', gap_s)
        else:
            waited_s = now - self._arrived_at
            self._metrics.record('first_token', 'stream', waited_s)
            self._first_at = now
        self.last_at = now

    def find_silence_s(self, predicted_s: float) -> float:
        """Return how long a pause is that should not be waited out.

        Three gaps of 33 ms, as it was before, are 100 ms: with the questions
        and the reading on another path, streams of a replica that died stood
        still for 210 to 270 ms. Most gaps differ by 5 ms; what is longer than
        60 is seldom a pause that ends by itself.

        Parameters
        ----------
        predicted_s : float
            The time between two events, until the stream's own events tell.
        """
        is_new = self._events < _ENOUGH_EVENTS
        if is_new or not self._policy.own_silence:
            least_s = max(_FIRST_SILENCE_S, self._least_s)
            return max(least_s, _PREDICTED_GAPS * predicted_s)
        return max(self._least_s, self._gaps.find_longest(_DEVIATIONS))

    def describe(self, now: float) -> dict[str, Any]:
        """Return counts and milliseconds for a log line.

        `most_gap_ago_ms` is how long ago the longest pause ended.
        """
        if not self._events:
            return {'events': 0}
        spent_s = self.last_at - self._first_at
        return {
            'events': self._events,
            'first_ms': round((self._first_at - self._arrived_at) * MS_PER_S),
            'gap_ms': round(spent_s * MS_PER_S / max(1, self._events - 1)),
            'most_gap_ms': round(self._most_gap_s * MS_PER_S),
            'most_gap_ago_ms': round((now - self._most_gap_at) * MS_PER_S),
        }
