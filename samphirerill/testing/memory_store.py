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
from samphirerill.testing.etcd_state import InvalidCallError, EtcdState

if TYPE_CHECKING:
    from collections.abc import Iterator


class MemoryStore(EtcdStore):
    """A store client that calls the state model directly.

    Parameters
    ----------
    rules : EtcdState, optional
        State of the service, to be shared by several clients.
    """

    def __init__(self, rules: EtcdState | None = None) -> None:
        super().__init__(StoreSettings())
        self.rules = rules or EtcdState()
        self.down = False
        self.lose_replies = 0
        self.calls = 0

    def watch(self, prefix: str, revision: int) -> Iterator[WatchBatch]:
        """Raise, because tests deliver changes themselves."""
        raise StoreUnreachableError(
            'watch is not supported', may_have_applied=False
        )

    def _call(self, path: str, call: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        if self.down:
            raise StoreUnreachableError('store is down', may_have_applied=False)
        try:
            answer = self._run(path, call)
        except InvalidCallError as exc:
            raise StoreRejectedError(str(exc)) from exc
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnreachableError('reply lost', may_have_applied=True)
        answer['header'] = {'revision': str(self.rules.revision)}
        return answer

    def _run(self, path: str, call: dict[str, Any]) -> dict[str, Any]:
        now = time.monotonic()
        name = path.rpartition('/')[2]
        if name in {'grant', 'keepalive'}:
            handler = self.rules.grant if name == 'grant' else None
            handler = handler or self.rules.keep_alive
            return handler(call, now)
        return {
            'range': self.rules.find_range,
            'put': self.rules.put,
            'txn': self.rules.run_txn,
            'deleterange': self.rules.delete,
            'revoke': self.rules.revoke,
        }[name](call)
