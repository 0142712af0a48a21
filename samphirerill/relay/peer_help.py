"""Get from another node what the store does not bring.

The store may turn one node away while it serves the others and the operators.
Such a node would go on with an old configuration, and send work to replicas
that have left; another node gives it what it has.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, json

from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.model import Replica
from samphirerill.node.logs import get_logger
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.listeners import read_revision
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.listeners import Page
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('peers')
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TIMEOUT_S = 0.6
# News that the store should bring are asked for only if they don't come.
_PATIENCE_S = 0.3
# Whole configurations are given at this rate, a quarter of the smallest link of 10
# Mbit/s: the rest is for streams. Who is refused asks the next node.
_WHOLE_BYTES_S = 312_500
_REPLICAS_PATH = b'/replicas'
_CONFIGURATION_PATH = b'/configuration/2'


class PeerHelp:
    """Gives to other nodes and takes from them.

    Parameters
    ----------
    state : EdgeState
        What is given and taken.
    health : StoreHealth
        Whether the store answers this node.
    """

    def __init__(self, state: EdgeState, health: StoreHealth) -> None:
        self._state = state
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        # A whole configuration is given again from then on.
        self._whole_at = 0.0

    def list_pages(self) -> dict[bytes, Callable[[bytes], Page]]:
        """Return what other nodes may ask for, with a query."""
        return {
            _CONFIGURATION_PATH: self._give_configuration,
            _REPLICAS_PATH: self._give_replicas,
        }

    def consider(self, address: str, version: int, revision: int) -> None:
        """Ask a node if it knows more than the store has brought.

        Parameters
        ----------
        address : str
            Where the node takes calls.
        version, revision : int
            What it knows of the configuration and the replicas.
        """
        if self._task is not None:
            return
        lacks_replicas = (
            not self._health.is_up and revision > self._state.view.revision
        )
        if version > self._state.version or lacks_replicas:
            self._task = self._loop.create_task(self._fetch(address, version))

    async def _fetch(self, address: str, version: int) -> None:
        try:
            await asyncio.sleep(_PATIENCE_S)
            if version > self._state.version:
                await self._take_configuration(address)
            if not self._health.is_up:
                await self._take_replicas(address)
        except (
            EndpointError,
            DocumentError,
            DeltaError,
            DecodeError,
        ) as exc:
            _LOG.info('peer does not help', extra={'error': str(exc)})
        finally:
            self._task = None

    async def _take_configuration(self, address: str) -> None:
        own = self._state.version
        given = await self._ask(
            address, b'%b?after=%d' % (_CONFIGURATION_PATH, own)
        )
        try:
            text = self._state.cfg_texts.decode(given, own)
        except DeltaError as exc:
            _LOG.info('difference does not fit', extra={'error': str(exc)})
            whole = await self._ask(
                address, b'%b?after=0' % _CONFIGURATION_PATH
            )
            text = self._state.cfg_texts.decode(whole, 0)
        cfg = self._state.dialect.decode_configuration(text)
        if self._state.put_in_force(cfg, text):
            _LOG.info(
                'configuration from a peer', extra={'version': cfg.version}
            )

    async def _take_replicas(self, address: str) -> None:
        text = await self._ask(address, _REPLICAS_PATH)
        revision, rows = json.decode(
            text, type=tuple[int, list[tuple[Replica, int]]]
        )
        if revision > self._state.view.revision and not self._health.is_up:
            leaves_at = self._state.find_leaves_at(self._loop.time())
            self._state.view.replace_all(rows, revision, 0, leaves_at)
            _LOG.info('replicas from a peer', extra={'revision': revision})
            self._state.notify()

    async def _ask(self, address: str, path: bytes) -> bytes:
        deadline = self._loop.time() + _TIMEOUT_S
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status != _OK:
            raise DocumentError(f'{address}: got status {status}')
        return body

    def _give_configuration(self, query: bytes) -> Page:
        """Give the difference to what the other node has, or the whole."""
        if not self._state.version:
            return _NOT_FOUND, b''
        after = read_revision(query)
        is_whole = not self._state.cfg_texts.has(after)
        if is_whole and self._loop.time() < self._whole_at:
            return _UNAVAILABLE, b''
        given = self._state.cfg_texts.encode(after)
        if is_whole:
            self._whole_at = self._loop.time() + len(given) / _WHOLE_BYTES_S
        return _OK, given

    def _give_replicas(self, query: bytes) -> Page:
        view = self._state.view
        rows = [
            (found.replica, found.revision) for found in view.known.values()
        ]
        return _OK, json.encode((view.revision, rows))
