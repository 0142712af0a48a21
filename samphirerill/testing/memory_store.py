"""An in-memory key-value store client with fault injection.

It uses the same encoding and state model as the fake service, but no sockets, so
that property tests run thousands of steps per second.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from samphirerill.backends.etcd import EtcdStore
from samphirerill.backends.store import (
    StoreRejectedError,
    StoreUnreachableError,
    WatchBatch,
)
from samphirerill.settings.model import StoreSettings
from samphirerill.testing.etcd_state import EtcdState, InvalidCallError

if TYPE_CHECKING:
    from collections.abc import Iterator


class MemoryStore(EtcdStore):
    """A store client that calls the state model directly.

    Parameters
    ----------
    state : EtcdState, optional
        State of the service, to be shared by several clients.
    """

    def __init__(self, state: EtcdState | None = None) -> None:
        super().__init__(StoreSettings())
        self.state = state or EtcdState()
        self.down = False
        self.lose_replies = 0
        self.calls = 0

    def watch(self, prefix: str, revision: int) -> Iterator[WatchBatch]:
        """Raise, because tests deliver changes themselves."""
        raise StoreUnreachableError(
            'watch is not supported', may_have_applied=False
        )

    def _call(self, path: str, payload: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        if self.down:
            raise StoreUnreachableError('store is down', may_have_applied=False)
        try:
            answer = self._run(path, payload)
        except InvalidCallError as exc:
            raise StoreRejectedError(str(exc)) from exc
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnreachableError('reply lost', may_have_applied=True)
        answer['header'] = {'revision': str(self.state.revision)}
        return answer

    def _run(self, path: str, payload: dict[str, Any]) -> dict[str, Any]:
        now = time.monotonic()
        name = path.rpartition('/')[2]
        if name in {'grant', 'keepalive'}:
            handler = self.state.grant if name == 'grant' else None
            handler = handler or self.state.keep_alive
            return handler(payload, now)
        return {
            'range': self.state.find_range,
            'put': self.state.put,
            'txn': self.state.run_txn,
            'deleterange': self.state.delete,
            'revoke': self.state.revoke,
        }[name](payload)
