"""Revoke leases of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.store import StoreError

if TYPE_CHECKING:
    from logging import Logger

    from samphirerill.platform.store import PlatformStore


async def revoke_lease(store: PlatformStore, lease: int, log: Logger) -> None:
    """Revoke a lease, so that its keys are deleted at once.

    If the store does not answer, they are deleted when the lease expires.

    Parameters
    ----------
    store : PlatformStore
        The store that granted the lease.
    lease : int
        The lease; nothing is done for 0.
    log : Logger
        Where a failure is logged.
    """
    if not lease:
        return
    try:
        await store.revoke_lease(lease)
    except StoreError as exc:
        log.info('lease not revoked; it will expire', extra={'error': str(exc)})
