"""Checks which configuration version is in force on each node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import EndpointError
from samphirerill.testing.soak.exchange import (
    Response,
    build_request,
    read_body,
    read_head,
)

if TYPE_CHECKING:
    from random import Random

    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode

_OK = 200
_ID_BITS = 64
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_REQUEST_TIMEOUT_S = 9.0
_PROPAGATION_S = 2.5
_DROPPED_WITHIN_S = 2.0
# Sends the probe surely later than that.
_MARGIN_S = 0.02
_REVERT_GRACE_S = 0.4
_PROBE_INTERVAL_S = 0.1


class VersionProbe:
    """Checks which configuration version individual nodes serve with."""

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        self._environment = environment
        self._ground_truth = environment.ground_truth
        self._random = random
        self._loop = asyncio.get_running_loop()
        # Newest version seen and when, by node name and process start.
        self._newest_seen: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            node = self._random.choice(self._environment.nodes)
            newest = self._environment.version
            await self._probe(node, max(1, newest - self._random.randrange(2)))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def check_dropped(self, version: int) -> None:
        """Check that no node in touch serves a route after it was dropped."""
        dropped_at = self._environment.committed_at[version + 1]
        due_at = dropped_at + _DROPPED_WITHIN_S + _MARGIN_S
        await asyncio.sleep(due_at - self._loop.time())
        await asyncio.gather(
            *(
                self._probe(node, version, is_dropped=True)
                for node in self._environment.nodes
                if self._ground_truth.is_in_touch(node.name, dropped_at, due_at)
            )
        )

    async def _probe(
        self, node: SoakNode, version: int, *, is_dropped: bool = False
    ) -> None:
        key = (node.name, node.start_count)
        request_id = f'{self._random.getrandbits(_ID_BITS):016x}'
        self._ground_truth.accounts[request_id] = 'suva'
        since = self._loop.time()
        conn = HttpConnection(node.callers)
        response = Response()
        try:
            await conn.open()
            conn.send(build_request(f'/v{version}/', request_id, 'suva'))
            self._ground_truth.notice_checks.record_send(
                request_id, node, since
            )
            await read_head(conn, response, since + _REQUEST_TIMEOUT_S)
            await read_body(conn, response, since + _REQUEST_TIMEOUT_S)
        except EndpointError:
            # Missing responses are checked by the clients, not here.
            return
        finally:
            conn.close()
        if key == (node.name, node.start_count):
            self._check_version(key, version, response.status, since)
            if is_dropped and response.status == _OK:
                self._ground_truth.record_violation(
                    f'{key}: still serves the dropped route of {version}'
                )

    def _check_version(
        self, key: tuple[str, int], version: int, status: int, since: float
    ) -> None:
        newest_seen, seen_at = self._newest_seen.get(key, (0, 0.0))
        if status == _OK and version > newest_seen:
            self._newest_seen[key] = (version, self._loop.time())
        is_older = version < newest_seen and since > seen_at + _REVERT_GRACE_S
        if status == _OK and is_older:
            self._ground_truth.record_violation(
                f'{key}: reverted to configuration {version}'
            )
        committed_at = self._environment.committed_at[version]
        is_due = (
            version == self._environment.version
            and since > committed_at + _PROPAGATION_S
        )
        is_rejected = status in (_NOT_FOUND, _UNAUTHORIZED)
        if (
            is_due
            and is_rejected
            and self._ground_truth.is_in_touch(key[0], committed_at, since)
        ):
            self._ground_truth.record_violation(
                f'{key}: configuration {version} is not in force'
            )
