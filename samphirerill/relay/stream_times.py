"""When the events of one stream came, for metrics and its last log line."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from samphirerill.node.metrics import Metrics

_MS_PER_S = 1000
_ENOUGH_EVENTS = 5


class StreamTimes:
    """Points on the loop's clock.

    Parameters
    ----------
    metrics : Metrics
        Records the first wait and each pause.
    arrived_at : float
        When the request was whole.
    """

    __slots__ = (
        '_arrived_at',
        '_events',
        '_first_at',
        '_metrics',
        '_most_gap_s',
        'last_at',
    )

    def __init__(self, metrics: Metrics, arrived_at: float) -> None:
        self.last_at = 0.0
        self._metrics = metrics
        self._arrived_at = arrived_at
        self._events = 0
        self._first_at = 0.0
        self._most_gap_s = 0.0

    def note_event(self, now: float) -> None:
        """Events have come and are passed on."""
        self._events += 1
        if self.last_at:
            gap_s = now - self.last_at
            self._most_gap_s = max(self._most_gap_s, gap_s)
            self._metrics.record('token_gap', 'stream', gap_s)
        else:
            waited_s = now - self._arrived_at
            self._metrics.record('first_token', 'stream', waited_s)
            self._first_at = now
        self.last_at = now

    def predict_gap_s(self, predicted_s: float) -> float:
        """Return the time to expect between two events.

        Parameters
        ----------
        predicted_s : float
            Used until the stream's own events tell.
        """
        if self._events < _ENOUGH_EVENTS:
            return predicted_s
        return (self.last_at - self._first_at) / (self._events - 1)

    def describe(self) -> dict[str, Any]:
        """Return counts and milliseconds for a log line."""
        if not self._events:
            return {'events': 0}
        spent_s = self.last_at - self._first_at
        return {
            'events': self._events,
            'first_ms': round((self._first_at - self._arrived_at) * _MS_PER_S),
            'gap_ms': round(spent_s * _MS_PER_S / max(1, self._events - 1)),
            'most_gap_ms': round(self._most_gap_s * _MS_PER_S),
        }
