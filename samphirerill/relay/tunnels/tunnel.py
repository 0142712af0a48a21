"""One tunnel: a connection of another node that continues to an endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from samphirerill.relay.sockets import disable_nagle
from samphirerill.relay.tunnels.frames import END_FRAME, encode_frame

if TYPE_CHECKING:
    from collections.abc import Callable

# A tunnel is in use until its connections were quiet for this long after the
# endpoint sent something, or for good if the endpoint has a request to answer.
_QUIET_S = 0.5
# A response behind a broken path is given up after this silence, so that the other
# node can get it elsewhere.
LOST_SILENCE_S = 0.2


class TunnelEnd(asyncio.Protocol):
    """One of the two connections of a tunnel; forwards to the other one."""

    def __init__(self, tunnel: Tunnel) -> None:
        self.transport: Any = None
        self._tunnel = tunnel

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable Nagle's algorithm."""
        self.transport = transport
        disable_nagle(transport)

    def data_received(self, data: bytes) -> None:
        """Forward to the other end."""
        self._tunnel.forward(self, data)

    def eof_received(self) -> None:
        """Tell the other end that this one has ended in order."""
        self._tunnel.forward_end(self)

    def pause_writing(self) -> None:
        """Stop reading at the other end, as this one is not read."""
        self._tunnel.get_other(self).transport.pause_reading()

    def resume_writing(self) -> None:
        """Go on reading at the other end."""
        other = self._tunnel.get_other(self).transport
        if not other.is_closing():
            other.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other end."""
        self._tunnel.handle_end(self, is_reset=exc is not None)


class Tunnel:
    """A connection of another node that continues to an endpoint.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the endpoint.
    on_end : callable
        Called once when either end has closed.
    on_response : callable
        Called each time that the endpoint has answered.
    sends_frames : bool
        Whether bytes for the other node are in frames, which say how the
        endpoint's connection has ended.
    """

    __slots__ = (
        '_awaits_endpoint',
        '_last_bytes_at',
        '_loop',
        '_on_end',
        '_on_response',
        '_sends_frames',
        'address',
        'endpoint',
        'node',
    )

    def __init__(
        self,
        address: str,
        on_end: Callable[[Tunnel], None],
        on_response: Callable[[], None],
        *,
        sends_frames: bool,
    ) -> None:
        self.address = address
        self._sends_frames = sends_frames
        self.node = TunnelEnd(self)
        self.endpoint = TunnelEnd(self)
        self._loop = asyncio.get_running_loop()
        self._on_end = on_end
        self._on_response = on_response
        self._awaits_endpoint = False
        self._last_bytes_at = 0.0

    def get_other(self, end: TunnelEnd) -> TunnelEnd:
        """Return the end opposite to one."""
        return self.endpoint if end is self.node else self.node

    def forward(self, source: TunnelEnd, data: bytes) -> None:
        """Forward bytes that one end received."""
        target = self.get_other(source).transport
        if target is None:
            # An endpoint that speaks before it was asked is not trusted.
            source.transport.abort()
            return
        self._last_bytes_at = self._loop.time()
        if self._awaits_endpoint and source is self.endpoint:
            self._on_response()
        self._awaits_endpoint = source is self.node
        if self._sends_frames and source is self.endpoint:
            data = encode_frame(data)
        target.write(data)

    def forward_end(self, source: TunnelEnd) -> None:
        """Tell the other node that the endpoint has ended its connection."""
        target = self.get_other(source).transport
        if (
            self._sends_frames
            and source is self.endpoint
            and target is not None
        ):
            target.write(END_FRAME)

    def is_in_use(self) -> bool:
        """Return whether a response seems to be in progress."""
        quiet_s = self._loop.time() - self._last_bytes_at
        return self._awaits_endpoint or quiet_s < _QUIET_S

    def is_silent(self) -> bool:
        """Return whether the endpoint has sent nothing for some time."""
        quiet_s = self._loop.time() - self._last_bytes_at
        return quiet_s >= LOST_SILENCE_S

    def handle_end(self, end: TunnelEnd, *, is_reset: bool) -> None:
        """Close the other end after one was lost.

        The last bytes of an endpoint are delivered; an endpoint hears at once
        that the node, and so the client, has left.
        """
        other = self.get_other(end).transport
        if other is not None:
            if end is self.endpoint and not is_reset:
                other.close()
            else:
                other.abort()
        self._on_end(self)

    def abort(self) -> None:
        """Close both ends at once."""
        for end in (self.node, self.endpoint):
            if end.transport is not None:
                end.transport.abort()
