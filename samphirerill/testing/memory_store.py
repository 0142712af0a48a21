"""The key-value service in memory, with faults that tests switch on.

It goes through the very encoding and rules of the stand-in, without sockets,
so that property tests can take thousands of steps a second.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from samphirerill.backends.etcd import EtcdStore
from samphirerill.backends.store import (
    StoreRefusedError,
    StoreUnreachableError,
    WatchBatch,
)
from samphirerill.settings.model import StoreSettings
from samphirerill.testing.kv_rules import RefusedError, Rules

if TYPE_CHECKING:
    from collections.abc import Iterator


class MemoryStore(EtcdStore):
    """A client and the service behind it, in one object.

    Parameters
    ----------
    rules : Rules, optional
        Shared by clients that are to see the same service.
    """

    def __init__(self, rules: Rules | None = None) -> None:
        super().__init__(StoreSettings())
        self.rules = rules or Rules()
        self.down = False
        self.lose_replies = 0
        self.calls = 0

    def watch(self, prefix: str, revision: int) -> Iterator[WatchBatch]:
        """Refuse: tests hand changes over themselves."""
        raise StoreUnreachableError('no watch', may_have_applied=False)

    def _call(self, path: str, call: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        if self.down:
            raise StoreUnreachableError('down', may_have_applied=False)
        try:
            answer = self._run(path, call)
        except RefusedError as exc:
            raise StoreRefusedError(str(exc)) from exc
        if self.lose_replies:
            self.lose_replies -= 1
            raise StoreUnreachableError('lost', may_have_applied=True)
        answer['header'] = {'revision': str(self.rules.revision)}
        return answer

    def _run(self, path: str, call: dict[str, Any]) -> dict[str, Any]:
        now = time.monotonic()
        name = path.rpartition('/')[2]
        if name in {'grant', 'keepalive'}:
            timed = self.rules.grant if name == 'grant' else None
            timed = timed or self.rules.keep_alive
            return timed(call, now)
        return {
            'range': self.rules.find_range,
            'put': self.rules.put,
            'txn': self.rules.run_txn,
            'deleterange': self.rules.delete,
            'revoke': self.rules.revoke,
        }[name](call)
