"""Release of claims whose request was not executed.

A claim is only deleted if its value is the one that this node wrote. A delete
that is sent twice therefore leaves alone the claim that a retry has acquired
in the meantime; otherwise a third request could execute the same work again.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Ok

from samphirerill.control.claims import build_release

if TYPE_CHECKING:
    from samphirerill.control.claims import Claim
    from samphirerill.node.store_worker import StoreWorker


@dataclass(slots=True)
class _PendingRelease:
    """A claim to delete, not before a time on the monotonic clock."""

    claim: Claim
    not_before: float


class ClaimReleaseQueue:
    """Queue of claims to delete, each kept until the service confirms it."""

    def __init__(self, worker: StoreWorker) -> None:
        self._worker = worker
        self._pending: list[_PendingRelease] = []

    def add(self, claim: Claim, not_before: float) -> None:
        """Queue a claim for release."""
        self._pending.append(_PendingRelease(claim, not_before))

    def size(self) -> int:
        """Return the number of claims to release."""
        return len(self._pending)

    def has_due(self) -> bool:
        """Return whether a claim can be released now."""
        now = time.monotonic()
        return any(item.not_before <= now for item in self._pending)

    async def release_due(self) -> None:
        """Try to delete the claims that are due; failures stay queued."""
        now = time.monotonic()
        due = [item for item in self._pending if item.not_before <= now]
        self._pending = [
            item for item in self._pending if item.not_before > now
        ]
        outcomes = await asyncio.gather(*map(self._delete_claim, due))
        self._pending.extend(
            item
            for item, is_deleted in zip(due, outcomes, strict=True)
            if not is_deleted
        )

    async def _delete_claim(self, release: _PendingRelease) -> bool:
        transaction = build_release(release.claim)
        outcome = await self._worker.try_run(
            self._worker.store.commit, transaction
        )
        return isinstance(outcome, Ok)
