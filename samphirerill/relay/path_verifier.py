"""Find out whether an endpoint, or the path of this node to it, is at fault."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import ConnectError, EndpointError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable

    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.endpoint_dialer import Connect, EndpointDialer

_LOG = get_logger('dialer')
# Live endpoints answer a probe within milliseconds.
_ANSWER_TIMEOUT_S = 0.12
# For answers through another node that nothing waits for.
_PEER_ANSWER_TIMEOUT_S = 1.0
# Bound the work that probes cause at other nodes while nothing answers, as when
# the endpoints are overloaded.
_PEER_PROBES_PER_S = 20.0
# Covers the probes of one loss, which are sent at once.
_MAX_PEER_PROBES = 16.0
_MAX_VERIFICATIONS = 4


class PathVerifier:
    """Compares direct connections with those through other nodes.

    Parameters
    ----------
    dialer : EndpointDialer
        Connects in both ways, and records which paths are broken.
    """

    __slots__ = (
        '_broken',
        '_control_check',
        '_dialer',
        '_list_controls',
        '_peer_probes_left',
        '_refilled_at',
        '_probe',
        '_tasks',
        '_verifications',
        '_verified',
    )

    def __init__(self, dialer: EndpointDialer) -> None:
        self._dialer = dialer
        self._list_controls: Callable[[str], Iterable[str]] = _list_nothing
        self._probe = b''
        self._tasks: set[asyncio.Task[None]] = set()
        self._verifications: set[asyncio.Task[None]] = set()
        # Endpoints whose paths are being verified.
        self._verified: set[str] = set()
        # Endpoints that broke off a connection and are asked through others.
        self._broken: set[str] = set()
        self._control_check: asyncio.Task[None] | None = None
        self._peer_probes_left = _MAX_PEER_PROBES
        self._refilled_at = 0.0

    def bind(
        self, list_controls: Callable[[str], Iterable[str]], probe: bytes
    ) -> None:
        """Set what is probed.

        Parameters
        ----------
        list_controls : callable
            Returns addresses of endpoints other than the given one.
        probe : bytes
            A request that each endpoint answers at once.
        """
        self._list_controls = list_controls
        self._probe = probe

    async def reaches_another(self, address: str, since: float) -> bool:
        """Return whether an endpoint other than this one is reached directly.

        Parameters
        ----------
        address : str
            The endpoint that was not reached.
        since : float
            A success after this moment on the loop's clock proves it.
        """
        if self._dialer.paths.last_success_at < since:
            await self._check_controls(address)
        return self._dialer.paths.last_success_at >= since

    async def is_reached(self, address: str) -> bool:
        """Return whether an endpoint answers over this node's own links."""
        return await _is_answered(
            self._dialer.try_directly,
            address,
            self._probe,
            self._now() + _ANSWER_TIMEOUT_S,
        )

    def verify_path(self, address: str) -> None:
        """Check in the background whether a path that seems silent works.

        Another node has just reached the endpoint.
        """
        is_checked = (
            address in self._verified
            or self._dialer.paths.needs_tunnel(address)
        )
        if not is_checked and len(self._verified) < _MAX_VERIFICATIONS:
            self._verified.add(address)
            task = self._start_task(self._verify_path(address))
            self._verifications.add(task)
            task.add_done_callback(self._verifications.discard)

    def verify_broken_path(self, address: str) -> None:
        """Check in the background whether only other nodes reach an endpoint.

        It has broken off a direct connection without a response.
        """
        if address not in self._broken and self.may_probe_through_peer():
            self._broken.add(address)
            self._start_task(self._verify_broken_path(address))

    async def finds_lost_paths(self) -> bool:
        """Return whether any path is broken, once those in doubt are verified."""
        if self._verifications:
            await asyncio.wait(self._verifications)
        return bool(self._dialer.paths.list_lost())

    def suspect_unless_lost(
        self, conn: HttpConnection, suspect: Callable[[], None]
    ) -> None:
        """Call back unless the path to a silent endpoint is broken."""
        if conn.is_relayed or not self._dialer.can_tunnel():
            suspect()
        else:
            self._start_task(self._suspect_unless_lost(conn.address, suspect))

    def may_probe_through_peer(self) -> bool:
        """Return whether a probe may use another node now, and count it."""
        if not self._dialer.can_tunnel():
            return False
        now = self._now()
        earned = (now - self._refilled_at) * _PEER_PROBES_PER_S
        self._refilled_at = now
        self._peer_probes_left = min(
            _MAX_PEER_PROBES, self._peer_probes_left + earned
        )
        if self._peer_probes_left < 1:
            return False
        self._peer_probes_left -= 1
        return True

    async def _verify_path(self, address: str) -> None:
        try:
            is_reached = await self.is_reached(address)
        finally:
            self._verified.discard(address)
        if not is_reached:
            self._dialer.paths.note_lost(address)

    async def _verify_broken_path(self, address: str) -> None:
        try:
            is_lost = await self._is_reached_by_others_only(address)
        finally:
            self._broken.discard(address)
        if is_lost:
            self._dialer.paths.note_lost(address)

    async def _is_reached_by_others_only(self, address: str) -> bool:
        if await self.is_reached(address):
            return False
        return await _is_answered(
            self._dialer.connect_through_peer,
            address,
            self._probe,
            self._now() + _PEER_ANSWER_TIMEOUT_S,
        )

    async def _check_controls(self, address: str) -> None:
        """Try endpoints other than this one; concurrent callers share it."""
        if self._control_check is None or self._control_check.done():
            self._control_check = asyncio.get_running_loop().create_task(
                self._try_all(self._list_controls(address))
            )
        await asyncio.shield(self._control_check)

    async def _try_all(self, addresses: Iterable[str]) -> None:
        await asyncio.gather(*map(self.is_reached, addresses))

    async def _suspect_unless_lost(
        self, address: str, suspect: Callable[[], None]
    ) -> None:
        if await self.is_reached(address):
            suspect()
        elif await _is_answered(
            self._dialer.connect_through_peer,
            address,
            self._probe,
            self._now() + _ANSWER_TIMEOUT_S,
        ):
            self._dialer.paths.note_lost(address)
        elif not self._dialer.paths.is_isolated:
            suspect()

    def _start_task(
        self, work: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work, name='dialer')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


async def _is_answered(
    connect: Connect, address: str, probe: bytes, deadline: float
) -> bool:
    """Return whether an endpoint answers a short request in time."""
    try:
        conn = await connect(address, deadline)
    except ConnectError as exc:
        _LOG.debug('endpoint not reached', extra={'reason': str(exc)})
        return False
    try:
        conn.send(probe)
        await conn.read(deadline)
    except EndpointError as exc:
        _LOG.debug('endpoint is silent', extra={'reason': str(exc)})
        return False
    finally:
        conn.close()
    return True


def _list_nothing(address: str) -> Iterable[str]:
    return ()
