"""Cuts the links between single nodes and all replicas, in one event loop.

A node that is started within `CutLinks.started_as` is known by the context of
its tasks and callbacks, which the event loop hands on. Its connects to replicas,
and the connections that they made, can be cut; all other links stay.
"""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_NODE: ContextVar[str] = ContextVar('node', default='')


def enter_node(name: str) -> None:
    """Let all tasks that are started from here belong to a node."""
    _NODE.set(name)


class CutKind(Enum):
    """What becomes of open connections, and of new ones.

    `SILENT`: both hang. `RESET`: open ones are reset, new ones refused.
    `REFUSED`: open ones live on, new ones are refused. `RESET_SILENT`: open ones
    are reset, new ones hang. `ACCEPTED_SILENT`, `ACCEPTED_RESET`: new connections
    are accepted, but nothing comes back, or they are reset at the first request.
    """

    SILENT = 'silent'
    RESET = 'reset'
    REFUSED = 'refused'
    RESET_SILENT = 'reset, then silent'
    ACCEPTED_SILENT = 'accepted, then silent'
    ACCEPTED_RESET = 'accepted, then reset'

    @property
    def resets_open(self) -> bool:
        """Return whether open connections are reset."""
        return self in {
            CutKind.RESET,
            CutKind.RESET_SILENT,
            CutKind.ACCEPTED_RESET,
        }

    @property
    def accepts_new(self) -> bool:
        """Return whether new connections are accepted, although of no use."""
        return self in {CutKind.ACCEPTED_SILENT, CutKind.ACCEPTED_RESET}

    @property
    def refuses_new(self) -> bool:
        """Return whether new connections are refused; else they hang."""
        return self in {CutKind.RESET, CutKind.REFUSED}


@dataclass(slots=True)
class _OpenLink:
    node: str
    address: str
    transport: Any


class CutLinks:
    """Replaces `create_connection` of an event loop until `restore`.

    Parameters
    ----------
    is_replica : callable
        Returns whether an ``IP:PORT`` is that of a replica.
    loop : AbstractEventLoop, optional
        The running loop by default.
    """

    def __init__(
        self,
        is_replica: Callable[[str], bool],
        loop: asyncio.AbstractEventLoop | None = None,
    ) -> None:
        self._is_replica = is_replica
        self._cuts: dict[str, CutKind] = {}
        self._open: list[_OpenLink] = []
        # Any: the loop's method is replaced.
        self._loop = cast('Any', loop or asyncio.get_running_loop())
        self._create_connection = self._loop.create_connection
        self._loop.create_connection = self._connect

    def restore(self) -> None:
        """Let the loop connect as before."""
        self._loop.create_connection = self._create_connection

    @contextmanager
    def started_as(self, node: str) -> Iterator[None]:
        """Start a node under a name."""
        token = _NODE.set(node)
        try:
            yield
        finally:
            _NODE.reset(token)

    def cut(self, node: str, kind: CutKind) -> None:
        """Cut a node off from all replicas."""
        self._cuts[node] = kind
        if kind is CutKind.REFUSED:
            return
        for link in self._open:
            if link.node != node or link.transport.is_closing():
                continue
            if kind.resets_open:
                link.transport.abort()
            else:
                _silence(link.transport)
        self._open = [kept for kept in self._open if kept.node != node]

    def heal(self, node: str) -> None:
        """End the cut; connections that fell silent stay so."""
        self._cuts.pop(node, None)

    async def _connect(
        self, factory: Any, host: str, port: int, **options: Any
    ) -> Any:
        node = _NODE.get()
        address = f'{host}:{port}'
        is_replica = self._is_replica(address)
        kind = self._cuts.get(node) if is_replica else None
        if kind is not None and not kind.accepts_new:
            await self._fail(kind)
        made = await self._create_connection(factory, host, port, **options)
        if kind is CutKind.ACCEPTED_RESET:
            made[0].write = partial(_reset, self._loop, made[0])
        elif kind is not None:
            _silence(made[0])
        elif is_replica and node:
            self._open.append(_OpenLink(node, address, made[0]))
        return made

    async def _fail(self, kind: CutKind) -> None:
        if kind.refuses_new:
            raise ConnectionRefusedError('cut')
        await self._loop.create_future()


def _silence(transport: Any) -> None:
    transport.pause_reading()
    transport.write = _discard


def _reset(loop: Any, transport: Any, data: bytes) -> None:
    """Reset the connection in place of a write."""
    loop.call_soon(transport.abort)


def _discard(data: bytes) -> None:
    """Lose the bytes, as behind a partition."""
