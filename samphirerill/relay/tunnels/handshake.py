"""Ask another node for a tunnel to an endpoint."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import IntEnum

from samphirerill.decoding.addresses import CONNECT_ERRORS
from samphirerill.node.loop_lag import lag_aware_timeout_at
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimeoutError,
    PeerPartitionedError,
    PeerUnavailableError,
)
from samphirerill.relay.tunnels.frames import FrameReader

METHOD = b'CONNECT'
END_OF_HEAD = b'\r\n\r\n'
MAX_HEAD_BYTES = 1024
# In the request of a node that reads frames, and in the response of one that
# sends them.
_FRAMES_HEADER = 'frames: 1'
# In place of a status: bytes of the endpoint follow the head.
_SPOKE_FIRST = -1


@dataclass(slots=True, frozen=True)
class TunnelRequest:
    """What a node asks for.

    Attributes
    ----------
    address : str
        ``IP:PORT`` of the endpoint, as the asking node knows it.
    replica_id : str
        The endpoint; empty if the asking node does not know it any more.
    node : str
        Name of the asking node.
    reads_frames : bool
        Whether it reads frames; older releases do not.
    """

    address: str
    replica_id: str
    node: str
    reads_frames: bool = True

    def encode(self) -> bytes:
        """Return the head of the request."""
        lines = (
            f'CONNECT {self.address} HTTP/1.1',
            f'host: {self.address}',
            f'replica: {self.replica_id}',
            f'user-agent: {self.node}',
            *([_FRAMES_HEADER] if self.reads_frames else ()),
        )
        return '\r\n'.join((*lines, '', '')).encode()


def decode_request(head: bytes) -> TunnelRequest:
    """Return what a node asks for; missing parts are empty."""
    first, *lines = head.decode('latin-1').split('\r\n')
    words = first.split(' ')
    headers = dict(line.split(': ', 1) for line in lines if ': ' in line)
    return TunnelRequest(
        words[1] if len(words) > 1 else '',
        headers.get('replica', ''),
        headers.get('user-agent', ''),
        reads_frames=_FRAMES_HEADER in lines,
    )


def encode_response(status: TunnelStatus, *, sends_frames: bool) -> bytes:
    """Return the head of the response."""
    lines = [f'HTTP/1.1 {status} Tunnel']
    if sends_frames:
        lines.append(_FRAMES_HEADER)
    return '\r\n'.join((*lines, '', '')).encode()


class TunnelStatus(IntEnum):
    """Response of the relaying node.

    `REFUSED` and `TIMED_OUT` are about the endpoint: the node reached another
    one meanwhile. `PARTITIONED` is about the node, which reaches none. It sends
    `DECLINED` if it shuts down, relays too many connections or lacks a path to
    this endpoint only.
    """

    OPEN = 200
    UNKNOWN_ENDPOINT = 404
    DECLINED = 429
    REFUSED = 502
    PARTITIONED = 503
    TIMED_OUT = 504


class _Handshake(asyncio.Protocol):
    """Receives the head of the response."""

    def __init__(self) -> None:
        self.response: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._received = b''

    def data_received(self, data: bytes) -> None:
        """Collect the head, and what follows in the same read."""
        if self.response.done():
            return
        self._received += data
        if END_OF_HEAD in self._received:
            self.response.set_result(self._received)
        elif len(self._received) > MAX_HEAD_BYTES:
            self.response.set_result(b'')

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the node closed the connection."""
        if not self.response.done():
            self.response.set_result(b'')


async def open_tunnel(
    peer: str, req: TunnelRequest, deadline: float
) -> HttpConnection:
    """Return a connection to an endpoint that another node relays.

    Parameters
    ----------
    peer : str
        ``IP:PORT`` at which that node serves others.
    req : TunnelRequest
        What is asked for.
    deadline : float
        On the loop's clock.

    Raises
    ------
    ConnectRefusedError, ConnectTimeoutError
        The other node reaches endpoints, but not this one.
    PeerPartitionedError
        It reaches no endpoint itself.
    PeerUnavailableError
        It does not answer, or opens no tunnel now.
    ConnectError
        The endpoint sent something before it was asked.
    """
    host, _, port = peer.rpartition(':')
    loop = asyncio.get_running_loop()
    transport = None
    head = b''
    status = 0
    try:
        async with lag_aware_timeout_at(deadline):
            made = await loop.create_connection(_Handshake, host, int(port))
            transport = made[0]
            transport.write(req.encode())
            head = await made[1].response
            status = _parse_status(head)
    except CONNECT_ERRORS as exc:
        raise PeerUnavailableError(f'{peer}: {exc!r}') from exc
    finally:
        if status != TunnelStatus.OPEN and transport is not None:
            transport.abort()
    if status == _SPOKE_FIRST:
        raise ConnectError(f'{req.address}: sent bytes before it was asked')
    _raise_for_status(status, req.address, peer)
    conn = HttpConnection(req.address)
    sends_frames = _FRAMES_HEADER.encode() in head
    conn.adopt(transport, peer, FrameReader(conn) if sends_frames else conn)
    return conn


def _parse_status(response: bytes) -> int:
    """Return the status code; 0 if there is none."""
    head, _, rest = response.partition(END_OF_HEAD)
    words = head.split(b' ', 2)
    if len(words) < 3 or not words[1].isdigit():
        return 0
    return _SPOKE_FIRST if rest else int(words[1])


def _raise_for_status(status: int, address: str, peer: str) -> None:
    if status == TunnelStatus.REFUSED:
        raise ConnectRefusedError(f'{address}: refused {peer} too')
    if status == TunnelStatus.TIMED_OUT:
        raise ConnectTimeoutError(f'{address}: did not answer {peer} either')
    if status == TunnelStatus.PARTITIONED:
        raise PeerPartitionedError(f'{peer}: reaches no endpoint itself')
    if status != TunnelStatus.OPEN:
        raise PeerUnavailableError(
            f'{peer}: got status {status}, expected 200; ask another node'
        )
