"""Nodes that share the capacity of engines, on a virtual clock."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from random import Random
from typing import TYPE_CHECKING, Any, cast
from unittest.mock import Mock

from msgspec import structs

from samphirerill.fleet.model import (
    Accelerator,
    ClientAccount,
    ClientLimits,
    FleetConfiguration,
    FleetRoute,
    RetryClass,
    Service,
    ServiceWeight,
)
from samphirerill.fleet.paths import PathRequest
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.request_context import RequestContext
from samphirerill.sharing.settings import SharingSettings
from samphirerill.tests.fleet_builders import ENGINE, build_replica
from samphirerill.tests.limited_nodes import DelayedNetwork
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.relay.platform_adapter import RequestMetadata
    from samphirerill.relay.request import Request
    from samphirerill.relay.server import ClientConnection

SERVICE = 'llm'
SLOTS = 8
TARGET_S = 0.5
STREAM_S = 0.5
ALL = SharingSettings(ranks=True, accounts=True)
_TOKENS = 500.0
_CLIENT_TIMEOUT_S = 20.0
_MAX_WAIT_S = 1.4
_SWEEP_INTERVAL_S = 0.25
_SEED = 17
_ENGINE = replace(
    ENGINE,
    slots=SLOTS,
    accelerators={'vast': Accelerator('vast', 200_000, 1, 1)},
)


def build_configuration(
    accounts: dict[str, float], ranks: int = 3
) -> FleetConfiguration:
    """Return a configuration with a route for each rank, and weights."""
    return FleetConfiguration(
        version=1,
        routes=tuple(build_route(rank) for rank in range(ranks)),
        services={SERVICE: Service(SERVICE, engine=_ENGINE)},
        accounts={
            name: ClientAccount(name, weight=weight)
            for name, weight in accounts.items()
        },
        needs_keys=True,
        limits=ClientLimits(),
    )


def build_route(rank: int) -> FleetRoute:
    """Return the route for streams of one rank."""
    return FleetRoute(
        f'rank-{rank}',
        'h',
        f'/{rank}/',
        RetryClass.STREAM,
        (ServiceWeight(SERVICE, 1),),
        target_s=TARGET_S,
        priority=rank,
    )


@dataclass(slots=True)
class Outcome:
    """What became of one stream; `wait_s` is until its path or rejection."""

    rank: int
    account: str
    arrived_at: float
    wait_s: float = 0.0
    retry_s: float | None = None
    reason: str = ''

    @property
    def is_served(self) -> bool:
        """Return whether it got a path in time for its objective."""
        return self.retry_s is None and self.wait_s <= TARGET_S


class SharedNode(Node):
    """A node that admits streams without sending them."""

    def __init__(
        self,
        network: Network,
        number: int,
        cfg: FleetConfiguration,
        sharing: SharingSettings = ALL,
        data_centre: str = 'a',
    ) -> None:
        super().__init__(network, f'{data_centre}-{number}', data_centre)
        self.state.apply_settings(
            structs.replace(self.state.settings, sharing=sharing)
        )
        self.state.random = Random(_SEED + number)
        self.state.apply_configuration(cfg, b'{}')
        self.admission = AdmissionQueue(self.state)
        self.outcomes: list[Outcome] = []

    def count_elsewhere(self, level: int) -> int:
        """Return how many requests of lower levels wait at other nodes."""
        shared = self.state.rooms.get(SERVICE)
        assert shared is not None
        now = asyncio.get_running_loop().time()
        return shared.fleet_room.count_waiting_before(
            level, now, elsewhere_only=True
        ).count

    async def run(self) -> None:
        """Send statuses and drop old reports until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.status_sender.run())
            group.create_task(self._sweep())

    async def stream(
        self,
        rank: int,
        account: str = 'one',
        *,
        is_started: bool = False,
        is_accepted: bool = False,
        duration_s: float = STREAM_S,
    ) -> Outcome:
        """Request a path for a stream and hold it for its duration."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        outcome = Outcome(rank, account, now)
        self.outcomes.append(outcome)
        share = self.admission.shared.open(
            _build_context(rank, account, now), _TOKENS
        )
        if share is not None:
            share.is_accepted = is_accepted
        try:
            stages = await self.admission.admit(
                SERVICE,
                _ENGINE,
                PathRequest(_TOKENS, is_urgent=is_started),
                -1 if is_started else rank,
                now + _MAX_WAIT_S,
                now + TARGET_S,
                share,
            )
        except NoPathError as exc:
            outcome.retry_s = exc.wait_s
            outcome.reason = str(exc)
            return outcome
        finally:
            outcome.wait_s = loop.time() - now
        await asyncio.sleep(duration_s)
        self.admission.release(stages, _TOKENS)
        if share is not None:
            self.admission.shared.close(share)
        return outcome

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            self.state.load_tracker.expire_peers(now)
            self.state.rooms.expire(now)
            self.state.notify_listeners()


class SharedNodes:
    """Some nodes, by default three, and engines of `SLOTS` slots each.

    Parameters
    ----------
    accounts : dict of str to float
        Accounts and their weights.
    engines : int
        Number of engines.
    data_centres : str
        The data centre of each node, as one letter.
    """

    def __init__(
        self,
        accounts: dict[str, float] | None = None,
        engines: int = 2,
        data_centres: str = 'aaa',
    ) -> None:
        self.network = DelayedNetwork()
        self.random = Random(_SEED)
        cfg = build_configuration(accounts or {'one': 1.0})
        self.nodes = [
            SharedNode(self.network, number, cfg, data_centre=data_centre)
            for number, data_centre in enumerate(data_centres)
        ]
        for node in self.nodes:
            node.add_peers(self.nodes)
            for number in range(engines):
                replica = build_replica(f'e{number}', 'a', 'vast', (0, 80))
                node.state.view.apply_announcement(replica, 1)
        self._tasks = [asyncio.create_task(node.run()) for node in self.nodes]
        self._streams: list[asyncio.Task[Outcome]] = []

    def start(
        self, node: int, rank: int, account: str = 'one', **options: Any
    ) -> asyncio.Task[Outcome]:
        """Start a stream in the background; see `SharedNode.stream`."""
        stream = self.nodes[node].stream(rank, account, **options)
        task = asyncio.create_task(stream)
        self._streams.append(task)
        return task

    async def offer(
        self,
        node: int,
        rank: int,
        rate_per_s: float,
        duration_s: float,
        account: str = 'one',
    ) -> None:
        """Start streams at random times."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await asyncio.sleep(self.random.expovariate(rate_per_s))
            self.start(node, rank, account)

    async def stop(self) -> list[Outcome]:
        """Wait for all streams; return their outcomes."""
        await asyncio.gather(*self._streams)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return [found for node in self.nodes for found in node.outcomes]


def _build_context(rank: int, account: str, now: float) -> RequestContext:
    return RequestContext(
        cast('Request', Mock(arrived_at=now)),
        cast('RequestMetadata', Mock(request_id=b'r')),
        cast('ClientConnection', Mock()),
        build_route(rank),
        Service(SERVICE, engine=_ENGINE),
        ClientAccount(account),
        now + _CLIENT_TIMEOUT_S,
        now + _CLIENT_TIMEOUT_S,
        strips_api_key=True,
    )
