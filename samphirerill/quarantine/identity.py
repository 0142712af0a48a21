"""What makes two attempts the same request, whatever their ids."""

from __future__ import annotations

from hashlib import blake2b

# Long enough that nobody finds two bodies with one digest.
DIGEST_BYTES = 16
_LENGTH_BYTES = 8


def digest_request(account: str, target: bytes, body: bytes) -> bytes:
    """Return the identity of a request: whose it is, its path and its body.

    Whoever knows the digest can check a guess at the body, so it never goes
    into a log or a page for operators.

    Parameters
    ----------
    account : str
        The client account, so that none can get another one's request
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
