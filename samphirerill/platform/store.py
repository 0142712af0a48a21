"""Asynchronous client of the platform's key-value store.

Connections are kept alive and reused; concurrent calls, such as a watch, each
use their own. Every call ends with a response, ``StoreRejectedError`` (nothing
was done) or ``StoreUnreachableError`` (outcome unknown). After a write whose
response was lost, the caller must read the keys back to find out whether it was
applied.

The store may be restored from a copy, which begins a new era; each response
names its era. Revisions that callers get and pass are those of
:mod:`samphirerill.fleet.revisions`, which include the era.
"""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections import Counter
from typing import TYPE_CHECKING, Annotated, TypeVar
from urllib.parse import urlencode

from msgspec import DecodeError, Meta, Struct, field, json

from samphirerill.backends.store import (
    StoreError,
    StoreRejectedError,
    StoreUnreachableError,
)
from samphirerill.decoding.bounds import Amount
from samphirerill.decoding.decoders import build_json_decoder
from samphirerill.fleet.revisions import (
    MAX_ERA,
    MAX_NUMBER,
    build_revision,
    get_era,
    get_number,
)
from samphirerill.platform import wire_names
from samphirerill.relay.connection import (
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.errors import ConnectError, EndpointError
from samphirerill.relay.pool import check_surplus, read_whole_response
from samphirerill.relay.store_era import StoreEra

if TYPE_CHECKING:
    from collections.abc import Mapping

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412
_NOT_FOUND = 404
# The store usually answers in milliseconds, under load in some hundred.
CALL_TIMEOUT_S = 1.0
# Server-side timeout of a watch, and how much later its response may arrive.
# Together they bound how long a broken watch goes unnoticed: other nodes rely on
# it meanwhile, and a change must take effect there within two seconds.
WATCH_TIMEOUT_S = 0.9
WATCH_MARGIN_S = 0.3
_MIN_WATCH_TIMEOUT_S = 0.1
_NO_DEADLINE = float('inf')
_MS_PER_S = 1000
_MAX_IDLE_CONNECTIONS = 3
_LEASE_BITS = 63
_MAX_LEASE = 2**_LEASE_BITS - 1
Reply = TypeVar('Reply')
_Revision = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
_Lease = Annotated[int, Meta(ge=0, le=_MAX_LEASE)]


class RevisionCompactedError(StoreError):
    """The store cannot continue from a revision; list all keys again.

    It has compacted the revision, or was restored from a copy since.
    """


class LeaseNotFoundError(StoreError):
    """The lease has expired or was revoked."""


class PreconditionFailedError(StoreError):
    """A precondition of a transaction did not hold; nothing was changed."""


class StoredItem(Struct):
    """A key with its value.

    Attributes
    ----------
    key : str
        The key.
    revision : int
        The store revision at which it was written.
    text : bytes
        Its value.
    lease : int
        The lease that it is attached to; 0 for none.
    """

    key: str
    revision: int
    text: bytes
    lease: int = 0


class Changes(Struct):
    """Changes under a prefix, in order.

    Attributes
    ----------
    revision : int
        The store revision up to which the changes are complete.
    events : list of StoredItem or DeletedKey
        Writes and deletions.
    confirmed_at : float
        When they were complete, on the loop's clock; minus infinity if unknown.
    """

    revision: int
    events: list[StoredItem | DeletedKey]
    confirmed_at: float = float('-inf')


class DeletedKey(Struct):
    """A deleted key, and the store revision at which it was deleted."""

    key: str
    revision: int


class _Item(Struct, rename='camel'):
    key: str
    revision: _Revision
    text: str = field(default='', name='value')
    lease: _Lease = 0
    deleted: bool = False


class _KeyResponse(_Item):
    current_rev: _Revision = 0


class _RangeResponse(Struct, rename='camel'):
    found: list[_Item] = field(name='items')
    more_pages: bool = False
    current_rev: _Revision = 0


class _WatchResponse(Struct, rename='camel'):
    events: list[_Item]
    current_rev: _Revision = 0


class _LeaseResponse(Struct, rename='camel'):
    ttl_ms: Amount
    lease: _Lease = 0


class _WriteResponse(Struct):
    revision: _Revision = 0


class _Precondition(Struct):
    key: str
    revision: int


class _Put(Struct, omit_defaults=True):
    key: str
    text: str = field(name='value')
    lease: int = 0


class _Transaction(Struct):
    expect: list[_Precondition] = field(default_factory=list)
    puts: list[_Put] = field(default_factory=list)
    remove: list[str] = field(default_factory=list)


class _Response(Struct):
    status: int
    body: bytes
    era: int


class PlatformStore:
    """Client of the key-value store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.

    Attributes
    ----------
    calls : Counter
        Calls made, by purpose, including those that failed.
    era : StoreEra
        The era that the store has named in its responses.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle: list[HttpConnection] = []
        self.calls: Counter[str] = Counter()
        self.era = StoreEra()

    async def read(self, key: str) -> tuple[StoredItem | None, int]:
        """Return the item at a key and the store's current revision.

        Returns
        -------
        item : StoredItem or None
            ``None`` if there is no such key.
        revision : int
            The store's revision; 0 if there is no such key.
        """
        response = await self._call('read key', 'GET', '/kv-key', {'key': key})
        if response.status == _NOT_FOUND:
            return None, 0
        found = _decode(response, _KeyResponse)
        revision = build_revision(response.era, found.current_rev)
        return _build_item(found, response.era), revision

    async def read_prefix(self, prefix: str) -> tuple[list[StoredItem], int]:
        """Return all items under a prefix, and a revision to watch from.

        Pages are not a consistent snapshot. The revision is that of the first
        page, so that a watch from there may repeat changes but misses none.

        Raises
        ------
        RevisionCompactedError
            The store was restored between two pages.
        """
        page, era = await self._read_page({'prefix': prefix})
        revision = build_revision(era, page.current_rev)
        found = [_build_item(item, era) for item in page.found]
        while page.more_pages and page.found:
            query = {'prefix': prefix, 'after': page.found[-1].key}
            page, page_era = await self._read_page(query)
            _check_era(era, page_era)
            found.extend(_build_item(item, era) for item in page.found)
        return found, revision

    async def watch(
        self, prefix: str, after: int, until: float = _NO_DEADLINE
    ) -> Changes:
        """Wait for changes after a revision.

        Parameters
        ----------
        prefix : str
            Prefix of the keys to watch.
        after : int
            The revision up to which changes are known.
        until : float
            When the store is to answer at the latest, on the loop's clock; by
            default, and at most, after `WATCH_TIMEOUT_S`.

        Returns
        -------
        Changes
            Without events if nothing has changed.

        Raises
        ------
        RevisionCompactedError
            The revision was compacted, or is of an earlier era; list the
            prefix again.
        """
        era = get_era(after)
        _check_era(era, self.era.current)
        loop = asyncio.get_running_loop()
        now = loop.time()
        wait_s = max(_MIN_WATCH_TIMEOUT_S, min(WATCH_TIMEOUT_S, until - now))
        query = {
            'prefix': prefix,
            'after': str(get_number(after)),
            'waitMs': str(int(wait_s * _MS_PER_S)),
        }
        response = await self._call(
            'watch',
            'GET',
            '/kv-watch',
            query,
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        _check_era(era, response.era)
        found = _decode(response, _WatchResponse)
        return Changes(
            build_revision(era, found.current_rev),
            [_build_event(item, era) for item in found.events],
            # A response that was delayed on its way is older than its arrival.
            min(loop.time(), now + wait_s),
        )

    async def write(
        self,
        puts: Mapping[str, bytes],
        expect: Mapping[str, int],
        lease: int = 0,
        remove: tuple[str, ...] = (),
    ) -> int:
        """Run a transaction; return its revision.

        Parameters
        ----------
        puts : mapping
            New values by key.
        expect : mapping
            Revisions that keys must have; 0 for a key that must not exist.
        lease : int
            The lease to attach the written keys to; 0 for none.
        remove : tuple of str
            Keys to delete.

        Raises
        ------
        PreconditionFailedError
            A key has another revision; nothing was changed.
        LeaseNotFoundError
            The lease has expired; nothing was changed.
        """
        if any(
            revision and get_era(revision) != self.era.current
            for revision in expect.values()
        ):
            raise PreconditionFailedError(
                'transaction not sent: a revision is of an earlier era'
            )
        request = _Transaction(
            [
                _Precondition(key, get_number(revision))
                for key, revision in expect.items()
            ],
            [
                _Put(key, b64encode(text).decode(), lease)
                for key, text in puts.items()
            ],
            list(remove),
        )
        response = await self._call('write', 'POST', '/kv-txn', {}, request)
        if response.status == _PRECONDITION_FAILED:
            raise PreconditionFailedError(
                'transaction rejected: a key has another revision'
            )
        if response.status == _NOT_FOUND:
            raise LeaseNotFoundError(
                f'lease {lease} has expired or was revoked'
            )
        number = _decode(response, _WriteResponse).revision
        return build_revision(response.era, number)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease that expires unless renewed within `ttl_s`."""
        request = {'ttlMs': int(ttl_s * _MS_PER_S)}
        response = await self._call('grant', 'POST', '/kv-lease', {}, request)
        return _decode(response, _LeaseResponse).lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise ``LeaseNotFoundError`` if it has expired."""
        response = await self._call(
            'renew', 'POST', f'/kv-keep/{lease}', {}, {}
        )
        if response.status == _NOT_FOUND:
            raise LeaseNotFoundError(
                f'lease {lease} has expired or was revoked'
            )

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease; its keys are deleted at once."""
        await self._call('end', 'DELETE', f'/kv-lease-end/{lease}', {})

    def update_address(self, address: str) -> None:
        """Use another address for further calls."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _read_page(
        self, query: dict[str, str]
    ) -> tuple[_RangeResponse, int]:
        """Return one page of a listing, and its era."""
        response = await self._call('read all', 'GET', '/kv-range', query)
        return _decode(response, _RangeResponse), response.era

    async def _call(
        self,
        purpose: str,
        method: str,
        path: str,
        query: dict[str, str],
        document: object = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Response:
        """Make one call.

        Parameters
        ----------
        purpose : str
            The counter in `calls` to increment.
        method : str
            HTTP method.
        path : str
            URL path.
        query : dict
            Query parameters.
        document : object
            Encoded as the JSON body, unless ``None``.
        timeout_s : float
            Timeout of the call.

        Returns
        -------
        _Response
            With status 200, 404 or 412.
        """
        target = f'{path}?{urlencode(query)}' if query else path
        headers = [(b'host', self._address.encode())]
        body = b''
        if document is not None:
            headers.append((b'content-type', b'application/json'))
            body = json.encode(document)
        request = serialize_request(
            method.encode(), target.encode(), headers, body
        )
        deadline = asyncio.get_running_loop().time() + timeout_s
        self.calls[purpose] += 1
        head, response_body = await self._exchange(request, deadline)
        era = self._observe_era(head)
        status = head.status
        if status == _GONE:
            raise RevisionCompactedError('the store lacks this revision')
        if status not in (_OK, _NOT_FOUND, _PRECONDITION_FAILED):
            raise StoreRejectedError(f'{method} {path}: got status {status}')
        return _Response(status, response_body, era)

    async def _exchange(
        self, request: bytes, deadline: float
    ) -> tuple[ResponseHead, bytes]:
        try:
            connection = await self._get_connection(deadline)
        except ConnectError as exc:
            raise StoreUnreachableError(
                str(exc), may_have_applied=False
            ) from exc
        try:
            connection.send(request)
            head, body = await read_whole_response(connection, deadline)
            check_surplus(connection)
        except EndpointError as exc:
            connection.close()
            raise StoreUnreachableError(
                str(exc), may_have_applied=True
            ) from exc
        except asyncio.CancelledError:
            connection.close()
            raise
        if connection.address == self._address:
            self._put_back(connection)
        else:
            connection.close()
        return head, body

    def _observe_era(self, head: ResponseHead) -> int:
        """Return the era of a response; the current one if it names none.

        Raises
        ------
        StoreUnreachableError
            The response is of an earlier era. What it says was lost since.
        """
        text = head.get(wire_names.STORE_ERA)
        if text is None:
            self.era.observe(self.era.current)
            return self.era.current
        era = _parse_era(text)
        if era is None or era < self.era.current:
            self.era.reject(text.decode('latin-1'))
        if era is None:
            return self.era.current
        if era < self.era.current:
            raise StoreUnreachableError(
                f'got a response of era {era}, expected {self.era.current}',
                may_have_applied=True,
            )
        self.era.observe(era)
        return era

    async def _get_connection(self, deadline: float) -> HttpConnection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        connection = HttpConnection(self._address)
        await connection.open()
        return connection

    def _put_back(self, connection: HttpConnection) -> None:
        now = asyncio.get_running_loop().time()
        if (
            connection.is_usable(now)
            and len(self._idle) < _MAX_IDLE_CONNECTIONS
        ):
            self._idle.append(connection)
        else:
            connection.close()


def _parse_era(text: bytes) -> int | None:
    """Return the era in a header; none if it is no number in range."""
    if not text.isdigit() or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _check_era(watched: int, current: int) -> None:
    if watched != current:
        raise RevisionCompactedError(
            f'got a revision of era {watched}, but the store is in {current}'
        )


def _decode(response: _Response, response_type: type[Reply]) -> Reply:
    try:
        return build_json_decoder(response_type).decode(response.body)
    except DecodeError as exc:
        raise StoreUnreachableError(
            f'got an invalid response: {exc}',
            may_have_applied=True,
        ) from exc


def _build_item(item: _Item, era: int) -> StoredItem:
    try:
        text = b64decode(item.text)
    except ValueError as exc:
        raise StoreUnreachableError(
            f'{item.key}: the value is not base64', may_have_applied=True
        ) from exc
    revision = build_revision(era, item.revision)
    return StoredItem(item.key, revision, text, item.lease)


def _build_event(item: _Item, era: int) -> StoredItem | DeletedKey:
    if item.deleted:
        return DeletedKey(item.key, build_revision(era, item.revision))
    return _build_item(item, era)
