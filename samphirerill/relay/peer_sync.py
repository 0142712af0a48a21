"""Fetch from other nodes what the store does not deliver, and serve them.

The store may be unreachable for one node while it serves the others. That node
would otherwise keep an old configuration and send requests to replicas that no
longer exist.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, json
from msgspec.json import Decoder as JsonDecoder

from samphirerill.decoding.addresses import is_address
from samphirerill.decoding.bounds import Ordinal
from samphirerill.decoding.decoders import Decoder
from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.model import Replica
from samphirerill.fleet.revisions import describe_revision
from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.listeners import read_revision
from samphirerill.relay.platform_adapter import DocumentError
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from samphirerill.relay.listeners import Page
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('peers')
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_FETCH_TIMEOUT_S = 0.6
# How many nodes a starting node asks for their configuration, and how long it
# waits for them before it is ready.
_MAX_ASKED_AT_START = 3
_MAX_START_DELAY_S = 0.4
# Only what the store does not deliver within this delay is fetched.
_FETCH_DELAY_S = 0.3
# Full configurations are served at this rate, a quarter of a 10 Mbit/s link;
# the rest is for streams. Peers that are refused ask another node.
_FULL_BYTES_PER_S = 312_500
# The number is the version of the format, as for changes.
_REPLICAS_PATH = b'/replicas/2'
_FETCH_ERRORS = (EndpointError, DocumentError, DeltaError, DecodeError)
_CONFIGURATION_PATH = b'/configuration/3'
_REPLICAS = Decoder(JsonDecoder(tuple[Ordinal, list[tuple[Replica, Ordinal]]]))


class PeerSync:
    """Fetches configuration and replicas from other nodes, and serves them.

    Parameters
    ----------
    state : EdgeState
        Holds what is served, and takes what is fetched.
    health : StoreHealth
        Whether the store answers this node.
    """

    def __init__(self, state: EdgeState, health: StoreHealth) -> None:
        self._state = state
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        # No full configuration is served before this time.
        self._next_full_at = 0.0

    def list_pages(self) -> dict[bytes, Callable[[bytes], Page]]:
        """Return the pages for other nodes; each takes the query."""
        return {
            _CONFIGURATION_PATH: self._serve_configuration,
            _REPLICAS_PATH: self._serve_replicas,
        }

    async def ask_at_start(self, addresses: Collection[str]) -> None:
        """Ask some nodes for a newer configuration than the store holds.

        A store that was restored from a copy holds an older configuration until
        the operator writes again. This node becomes ready afterwards, also if
        nobody answers.

        Parameters
        ----------
        addresses : collection of str
            HTTP addresses of the announced nodes.
        """
        asked = self._state.random.sample(
            sorted(addresses), min(len(addresses), _MAX_ASKED_AT_START)
        )
        calls = [
            self._loop.create_task(self._try_fetch_configuration(address))
            for address in asked
        ]
        if calls:
            await asyncio.wait(calls, timeout=_MAX_START_DELAY_S)
        self._state.note_peers_asked()

    def sync_if_behind(self, address: str, version: int, revision: int) -> None:
        """Fetch from a node that has newer state than the store delivered.

        Parameters
        ----------
        address : str
            HTTP address of the node.
        version, revision : int
            Its configuration version, and the store revision of its replicas.
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
            await asyncio.sleep(_FETCH_DELAY_S)
            if version > self._state.version:
                await self._fetch_configuration(address)
            if not self._health.is_up:
                await self._fetch_replicas(address)
        except _FETCH_ERRORS as exc:
            _LOG.info('cannot fetch state from peer', extra={'error': str(exc)})
        finally:
            self._task = None

    async def _try_fetch_configuration(self, address: str) -> None:
        try:
            await self._fetch_configuration(address)
        except _FETCH_ERRORS as exc:
            _LOG.info(
                'peer sent no configuration',
                extra={'peer': address, 'error': str(exc)},
            )

    async def _fetch_configuration(self, address: str) -> None:
        own = self._state.version
        update = await self._get(
            address, b'%b?after=%d' % (_CONFIGURATION_PATH, own)
        )
        try:
            text = self._state.configuration_history.decode_update(update, own)
        except DeltaError as exc:
            _LOG.info(
                'cannot apply configuration delta', extra={'error': str(exc)}
            )
            full_update = await self._get(
                address, b'%b?after=0' % _CONFIGURATION_PATH
            )
            text = self._state.configuration_history.decode_update(
                full_update, 0
            )
        cfg = self._state.adapter.decode_configuration(text)
        # A node that can't reach the store at its start is ready with it, too.
        self._state.note_peers_asked()
        if self._state.apply_configuration(cfg, text):
            _LOG.info(
                'configuration fetched from a peer',
                extra={'version': cfg.version},
            )

    async def _fetch_replicas(self, address: str) -> None:
        text = await self._get(address, _REPLICAS_PATH)
        revision, received = _REPLICAS.decode(text)
        rows = [row for row in received if is_address(row[0].address)]
        if revision > self._state.view.revision and not self._health.is_up:
            leaves_at = self._state.compute_leaving_deadline(self._loop.time())
            self._state.view.apply_snapshot(rows, revision, 0, leaves_at)
            _LOG.info(
                'replicas fetched from a peer',
                extra={'revision': describe_revision(revision)},
            )
            self._state.notify_listeners()

    async def _get(self, address: str, path: bytes) -> bytes:
        deadline = self._loop.time() + _FETCH_TIMEOUT_S
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status != _OK:
            raise DocumentError(f'{address}: got status {status}')
        return body

    def _serve_configuration(self, query: bytes) -> Page:
        """Return a delta from the peer's version, or the full text."""
        if not self._state.version:
            return _NOT_FOUND, b''
        after = read_revision(query)
        is_full = not self._state.configuration_history.has_version(after)
        if is_full and self._loop.time() < self._next_full_at:
            return _UNAVAILABLE, b''
        body = self._state.configuration_history.encode_update(after)
        if is_full:
            self._next_full_at = (
                self._loop.time() + len(body) / _FULL_BYTES_PER_S
            )
        return _OK, body

    def _serve_replicas(self, query: bytes) -> Page:
        view = self._state.view
        rows = [
            (found.replica, found.revision) for found in view.replicas.values()
        ]
        return _OK, json.encode((view.revision, rows))
