"""Identity of a request across its attempts, whatever their ids."""

from __future__ import annotations

from hashlib import blake2b

# Long enough to be resistant to collisions.
DIGEST_BYTES = 16
_LENGTH_BYTES = 8


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
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (account.encode(), target, body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.digest()
