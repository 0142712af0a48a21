"""Removes claims under which nothing ran.

A removal names the exact text that this node wrote. Sent twice, it spares the
claim that a retry has won in between; without that, the retry's work would run
and a third request could win the key and run it again.
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
class _Release:
    """A claim to remove once its deadline has come."""

    claim: Claim
    removable_at: float


class ClaimReleases:
    """The claims to remove; kept until the service has confirmed each."""

    def __init__(self, worker: StoreWorker) -> None:
        self._worker = worker
        self._waiting: list[_Release] = []

    def add(self, claim: Claim, removable_at: float) -> None:
        """Remove a claim, not before a time on the monotonic clock."""
        self._waiting.append(_Release(claim, removable_at))

    def size(self) -> int:
        """Return how many claims are still to be removed."""
        return len(self._waiting)

    def has_due(self) -> bool:
        """Tell whether a claim could be removed now."""
        now = time.monotonic()
        return any(item.removable_at <= now for item in self._waiting)

    async def run_due(self) -> None:
        """Try to remove what is due; what fails is tried again later."""
        now = time.monotonic()
        due = [item for item in self._waiting if item.removable_at <= now]
        self._waiting = [
            item for item in self._waiting if item.removable_at > now
        ]
        done = await asyncio.gather(*map(self._remove, due))
        self._waiting.extend(
            item for item, removed in zip(due, done, strict=True) if not removed
        )

    async def _remove(self, release: _Release) -> bool:
        transaction = build_release(release.claim)
        done = await self._worker.attempt(
            self._worker.store.commit, transaction
        )
        return isinstance(done, Ok)
