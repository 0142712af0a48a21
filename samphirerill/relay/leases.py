"""Give up a lease of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.store import StoreError

if TYPE_CHECKING:
    from logging import Logger

    from samphirerill.platform.store import PlatformStore


async def give_up_lease(store: PlatformStore, lease: int, log: Logger) -> None:
    """End a lease, so that its keys go at once; else they lapse later.

    Parameters
    ----------
    store : PlatformStore
        Where it lies.
    lease : int
        Which one; 0 for none.
    log : Logger
        Told if the store did not take the call.
    """
    if not lease:
        return
    try:
        await store.end_lease(lease)
    except StoreError as exc:
        log.info('lease not ended', extra={'error': str(exc)})
