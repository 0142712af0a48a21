"""Space large responses to other nodes, so that they do not delay streams."""

from __future__ import annotations

import asyncio

# Half of a link of 10 Mbit/s; the rest is for streams.
_BYTES_PER_S = 625_000
# Smaller responses are sent at once.
_MIN_PACED_BYTES = 8192


def is_paced(size: int) -> bool:
    """Return whether a response of so many bytes has to wait for its turn."""
    return size >= _MIN_PACED_BYTES


class ResponsePacer:
    """Lets large responses begin one after the other, at a bounded rate."""

    __slots__ = ('_loop', '_next_turn_at')

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._next_turn_at = float('-inf')

    async def wait_for_turn(self, size: int, until: float) -> bool:
        """Wait until a response may be sent; return false if not in time.

        Parameters
        ----------
        size : int
            Size of the response in bytes.
        until : float
            When to give up, on the loop's clock.
        """
        if not is_paced(size):
            return True
        now = self._loop.time()
        turn_at = max(now, self._next_turn_at)
        if turn_at > until:
            await asyncio.sleep(until - now)
            return False
        self._next_turn_at = turn_at + size / _BYTES_PER_S
        await asyncio.sleep(turn_at - now)
        return True
