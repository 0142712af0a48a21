"""Runs blocking calls to the key-value service outside the event loop."""

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

CallResult = TypeVar('CallResult')
_THREADS = 3


class StoreWorker:
    """Thread pool for calls to the store, with counts by function name."""

    def __init__(self, store: KeyValueStore) -> None:
        self.store = store
        self.calls: Counter[str] = Counter()
        self._threads = ThreadPoolExecutor(_THREADS, 'store')

    async def run(
        self, function: Callable[..., CallResult], *arguments: Any
    ) -> CallResult:
        """Run a blocking call in a thread and return its result.

        Raises
        ------
        StoreError
            If the call fails.
        """
        self.calls[function.__name__] += 1
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._threads, function, *arguments)

    async def try_run(
        self, function: Callable[..., CallResult], *arguments: Any
    ) -> Result[CallResult, StoreError]:
        """Run a blocking call and return a `Result` instead of raising."""
        try:
            return Ok(await self.run(function, *arguments))
        except StoreError as exc:
            return Err(exc)

    def stop(self) -> None:
        """Cancel queued calls and accept no more."""
        self._threads.shutdown(wait=False, cancel_futures=True)
