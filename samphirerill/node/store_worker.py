"""Lets the loop call the blocking key-value service without waiting."""

from __future__ import annotations

import asyncio
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any, TypeVar

from result import Err, Ok, Result

from samphirerill.backends.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.backends.store import KeyValueStore

Answer = TypeVar('Answer')
_THREADS = 3


class StoreWorker:
    """Runs store calls in a few threads and counts them by name."""

    def __init__(self, store: KeyValueStore) -> None:
        self.store = store
        self.calls: Counter[str] = Counter()
        self._threads = ThreadPoolExecutor(_THREADS, 'store')

    async def run(self, work: Callable[..., Answer], *arguments: Any) -> Answer:
        """Run one blocking call in a thread and return its answer.

        Raises
        ------
        StoreError
            Whatever the call raised.
        """
        self.calls[work.__name__] += 1
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, work, *arguments)

    async def attempt(
        self, work: Callable[..., Answer], *arguments: Any
    ) -> Result[Answer, StoreError]:
        """Run one blocking call for a caller that handles its failure."""
        try:
            return Ok(await self.run(work, *arguments))
        except StoreError as exc:
            return Err(exc)

    def stop(self) -> None:
        """Start no more calls."""
        self._threads.shutdown(wait=False, cancel_futures=True)
