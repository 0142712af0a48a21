"""What a client has to do next, and how long it may take."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.closed_connections import CloseReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import ClientLimits
    from samphirerill.relay.client_output import ClientOutput
    from samphirerill.relay.request import Request
    from samphirerill.relay.request_parser import RequestParser


class ClientWait:
    """The timer of a client connection; it stands still during a request.

    It limits how long a connection is idle, how long a request takes to arrive
    and how long complete responses stay unread.

    Parameters
    ----------
    parser : RequestParser
        Knows what is being read.
    output : ClientOutput
        Knows what the client has not read.
    get_limits : callable
        Returns the limits on client requests.
    get_body_time_s : callable
        Returns how long the client of a request may take to send its body, in
        seconds.
    on_overdue : callable
        Called with the reason for which the connection should be closed.

    Attributes
    ----------
    idle_since : float
        When the connection was last in use, on the loop's clock.
    told_timeout_s : float
        The idle time that the client was told.
    """

    __slots__ = (
        '_get_body_time_s',
        '_get_limits',
        '_loop',
        '_on_overdue',
        '_output',
        '_parser',
        '_timer',
        '_unread_bytes',
        'idle_since',
        'told_timeout_s',
    )

    def __init__(
        self,
        parser: RequestParser,
        output: ClientOutput,
        get_limits: Callable[[], ClientLimits],
        get_body_time_s: Callable[[Request], float],
        on_overdue: Callable[[CloseReason], None],
    ) -> None:
        self.idle_since = 0.0
        self.told_timeout_s = parser.limits.idle_timeout_s
        self._parser = parser
        self._output = output
        self._get_limits = get_limits
        self._get_body_time_s = get_body_time_s
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        # Buffered bytes of responses when the client was last seen to read; 0 if
        # the timer is not for them.
        self._unread_bytes = 0

    @property
    def is_for_responses(self) -> bool:
        """Return whether the client has to read its responses first."""
        return bool(self._unread_bytes)

    def start(self) -> None:
        """Limit what the client has to do next; the connection was in use."""
        self.idle_since = self._loop.time()
        if self._output.unsent_bytes:
            self.start_for_responses()
        elif self._parser.is_reading:
            self.start_for_head()
            self.start_for_body()
        else:
            self._start_timer(self.told_timeout_s)

    def start_for_head(self) -> None:
        """Limit the time that a request head may take."""
        self._start_timer(self._parser.limits.header_timeout_s)

    def start_for_body(self) -> None:
        """Limit the pause within a body, if one is read, and its whole time."""
        req = self._parser.incomplete
        if req is None:
            return
        due = req.arrived_at + self._get_body_time_s(req)
        pause_s = self._parser.limits.idle_timeout_s
        self._start_timer(max(0, min(pause_s, due - self._loop.time())))

    def start_for_responses(self) -> None:
        """Give a client time to read its responses."""
        self._start_timer(self._output.read_timeout_s)
        self._unread_bytes = self._output.unsent_bytes

    def stop(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, after_s: float) -> None:
        self.stop()
        self._unread_bytes = 0
        self._timer = self._loop.call_later(after_s, self._on_timer)

    def _on_timer(self) -> None:
        if self._unread_bytes:
            self._check_responses()
        elif self._parser.is_reading:
            self._on_overdue(CloseReason.SLOW_REQUEST)
        else:
            self._check_idle()

    def _check_responses(self) -> None:
        """Go on with a client that has read some of its responses."""
        unread_bytes = self._output.unsent_bytes
        if unread_bytes >= self._unread_bytes:
            self._on_overdue(CloseReason.SLOW_CLIENT)
            return
        if self._output.is_blocked:
            self._output.record_unread()
        if unread_bytes:
            self.start_for_responses()
        else:
            self.start()

    def _check_idle(self) -> None:
        # Clients reuse connections within the idle time that is in force, which
        # may have become longer than the one that they were told.
        idle_timeout_s = self._get_limits().idle_timeout_s
        remaining_s = self.idle_since + idle_timeout_s - self._loop.time()
        if remaining_s > 0:
            self._start_timer(remaining_s)
        else:
            self._on_overdue(CloseReason.IDLE)
