"""Identity of a request across its attempts, whatever their ids."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Long enough to be resistant to collisions.
DIGEST_BYTES = 16
_LENGTH_BYTES = 8
# Enough to tell apart the client accounts in the evidence on one part.
TAG_BYTES = 8


def digest_request(account: str, target: bytes, body: bytes) -> bytes:
    """Return the digest of a request's client account, path and body.

    A digest allows guesses at the body to be verified, so it must not appear in
    logs or on operators' pages.

    Parameters
    ----------
    account : str
        The client account, so that no account can get another one's request
        refused; empty on a public route.
    target : bytes
        The path, with its query.
    body : bytes
        The whole body.
    """
    return _digest_fields(DIGEST_BYTES, account.encode(), target, body)


@dataclass(slots=True, frozen=True)
class RequestParts:
    """The prompt parts of one request that others may share.

    `digests` are those of the parts; `account` tells apart client accounts that
    share a part.
    """

    digests: frozenset[bytes] = frozenset()
    account: bytes = b''


def digest_parts(
    service: str, account: str, part_ids: Iterable[bytes]
) -> RequestParts:
    """Return the digests of a request's prompt parts.

    Parameters
    ----------
    service : str
        The service that runs the request; others may not crash.
    account : str
        The client account; not part of the digests, as engines crash for what
        a part contains.
    part_ids : iterable of bytes
        Ids of the parts, without those of the request alone.
    """
    name = service.encode()
    return RequestParts(
        frozenset(
            _digest_fields(DIGEST_BYTES, b'part', name, part_id)
            for part_id in part_ids
        ),
        _digest_fields(TAG_BYTES, b'account', account.encode()),
    )


def _digest_fields(size: int, *fields: bytes) -> bytes:
    digest = blake2b(digest_size=size)
    for field in fields:
        digest.update(len(field).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(field)
    return digest.digest()
