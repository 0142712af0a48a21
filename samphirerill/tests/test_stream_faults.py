"""Many streams under overlapping faults, none of which breaks off a run."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from unittest import IsolatedAsyncioTestCase

from msgspec import json
from msgspec.structs import replace

from samphirerill.fleet.retry_budget import RetryUsage
from samphirerill.relay.connection import (
    BodyChunk,
    EndOfResponse,
    serialize_request,
)
from samphirerill.relay.errors import EndpointError
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import (
    GAP_S,
    LEAVING_MS,
    OK,
    build_headers,
)

_HEAD_LAYERS = (0, 40)
_TAIL_LAYERS = (40, 80)
_FLEETS = (
    {'head': _HEAD_LAYERS, 'tail-1': _TAIL_LAYERS, 'tail-2': _TAIL_LAYERS},
    {'whole-1': (0, 80), 'whole-2': (0, 80), 'whole-3': (0, 80)},
    {
        'head-1': _HEAD_LAYERS,
        'head-2': _HEAD_LAYERS,
        'tail-1': _TAIL_LAYERS,
        'tail-2': _TAIL_LAYERS,
    },
    {'whole': (0, 80), 'head': _HEAD_LAYERS, 'tail': _TAIL_LAYERS},
)
_SEEDS = (7, 10, 14, 28, 45, 55)
_STREAMS = 16
_EVENTS = 100
_FAULTS = 20
_RUN_S = 2.6
_MAX_PAUSE_S = 0.6
_TIMEOUT_S = 12.0
_MAX_SUSPICION_S = 2.0
_POLL_S = 0.02
# A closed connection takes a moment to end the work of a replica.
_MAX_POLLS = 5
_SHOWN_BYTES = 60
# All nodes together, of whom this one assumes eight.
_RETRY_SLACKS = (0, 8, 40, 160)
_ROUTE_ATTEMPTS = (1, 2, 3)
_REROUTE_STATUSES = (202, 409, 404)
_COMPLETE = b''.join(
    b'id: %d\ndata: token%d\n\n' % (number, number)
    for number in range(1, _EVENTS + 1)
)


class TestStreamFaults(IsolatedAsyncioTestCase):
    """What a replica goes on to send reaches the client."""

    async def test_started_streams_are_completed(self) -> None:
        """Guard against closing runs that their replicas have not broken off."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                fleet = FaultyFleet(Random(seed))
                try:
                    await fleet.play()
                finally:
                    await fleet.stop()
                self.assertGreater(fleet.statuses[OK], 0, fleet.faults)
                self.assertEqual(fleet.incomplete, {}, fleet.faults)
                self.assertEqual(fleet.duplicates, set(), fleet.faults)
                self.assertLessEqual(
                    fleet.count_retries(), fleet.retry_slack, fleet.faults
                )


class FaultyFleet:
    """One node before a few engines, with faults at random times.

    Parameters
    ----------
    random : Random
        Chooses the fleet, the settings and the faults.

    Attributes
    ----------
    incomplete : dict
        What clients got of streams that started and ended early.
    duplicates : set of tuple
        Replicas that ran a stream twice at a time, with its id.
    faults : list of str
        What was done.
    statuses : Counter
        The statuses of the streams.
    retry_slack : int
        The retries of all nodes.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._harness = PlatformHarness()
        self._layers = dict(random.choice(_FLEETS))
        self._tasks: list[asyncio.Task[None]] = []
        self._attempts = random.choice(_ROUTE_ATTEMPTS)
        self._version = 0
        self.retry_slack = random.choice(_RETRY_SLACKS)
        self.faults: list[str] = []
        self.incomplete: dict[str, bytes] = {}
        self.duplicates: set[tuple[str, bytes]] = set()
        self.statuses: Counter[int] = Counter()

    async def play(self) -> None:
        """Run the streams and the faults to their end."""
        await self._start()
        watch = asyncio.create_task(self._find_duplicates())
        await asyncio.gather(
            *map(self._receive, range(_STREAMS)), self._cause_faults()
        )
        watch.cancel()
        await asyncio.gather(*self._tasks)

    async def stop(self) -> None:
        """Stop the node and the engines."""
        await self._harness.stop()

    def count_retries(self) -> int:
        """Return how many requests the engines got beyond the first of each."""
        replicas = self._harness.replicas.values()
        sends = sum(len(replica.received_requests) for replica in replicas)
        ids = {
            req.get(b'x-samphirerill-request-id')
            for replica in replicas
            for req in replica.received_requests
        }
        return sends - len(ids)

    async def _start(self) -> None:
        harness = self._harness
        await harness.start()
        await self._put_configuration(streams=True)
        status = self._random.choice(_REROUTE_STATUSES)
        self.faults.append(
            f'{self._layers} attempts {self._attempts} '
            f'retries {self.retry_slack} reroutes {status}'
        )
        for name, layers in self._layers.items():
            replica = await harness.add_replica(name, events=_EVENTS)
            replica.event_interval_s = GAP_S
            replica.order_status = status
            await self._announce(name, layers)
        await harness.wait_for_replica_count(len(self._layers))
        state = harness.require_first_node().state
        state.apply_settings(
            replace(
                state.settings,
                retry_slack=self.retry_slack,
                retry_ratio=0,
                leaving_ms=LEAVING_MS,
            )
        )

    async def _announce(self, name: str, layers: tuple[int, int]) -> None:
        self._harness.replicas[name].layers = layers
        address = self._harness.addresses[name]
        entry = build_announcement('llm', address, 'vast', layers)
        await self._harness.store.put(f'servers/{name}', entry)

    async def _receive(self, number: int) -> None:
        """Receive one stream, which starts at a random time."""
        await asyncio.sleep(self._random.random() * _RUN_S / 2)
        conn = await self._harness.connect()
        body = b''
        status = 0
        try:
            conn.send(
                serialize_request(
                    b'POST', b'/notes/x', build_headers(f'r{number}'), b''
                )
            )
            until = asyncio.get_running_loop().time() + _TIMEOUT_S
            part = await conn.read(until)
            while not isinstance(part, EndOfResponse):
                if isinstance(part, BodyChunk):
                    body += part.body
                else:
                    status = part.status
                part = await conn.read(until)
        except EndpointError as exc:
            body += str(exc).encode()
        finally:
            conn.close()
        self.statuses[status] += 1
        if status == OK and body != _COMPLETE:
            self.incomplete[f'r{number}'] = body[-_SHOWN_BYTES:]

    async def _cause_faults(self) -> None:
        causes = (
            self._suspect,
            self._reject,
            self._pause,
            self._release,
            self._use_up_retries,
            self._configure,
        )
        for _ in range(_FAULTS):
            await asyncio.sleep(self._random.random() * 2 * _RUN_S / _FAULTS)
            name = self._random.choice(list(self._layers))
            cause = self._random.choice(causes)
            self.faults.append(f'{cause.__name__} {name}')
            self._tasks.append(asyncio.create_task(cause(name)))

    async def _suspect(self, name: str) -> None:
        """Report a replica as silent, which it is not."""
        now = asyncio.get_running_loop().time()
        state = self._harness.require_first_node().state
        until = now + self._random.uniform(0, _MAX_SUSPICION_S)
        state.view.add_silence_report(name, until, now, votes=2)
        state.notify_listeners()

    async def _reject(self, name: str) -> None:
        """Let a replica reject streams for a while."""
        replica = self._harness.replicas[name]
        replica.refuses = True
        await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_S))
        replica.refuses = False

    async def _pause(self, name: str) -> None:
        """Let the streams of a replica pause, as on a congested link."""
        replica = self._harness.replicas[name]
        replica.streaming.clear()
        await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_S))
        replica.streaming.set()

    async def _release(self, name: str) -> None:
        """Let a replica release layers, and load them again."""
        first, end = self._layers[name]
        await self._announce(name, (first, end - 20))
        await asyncio.sleep(self._random.uniform(0, 2 * _MAX_PAUSE_S))
        await self._announce(name, (first, end))

    async def _use_up_retries(self, name: str) -> None:
        """Let another node use up the retries that this one may borrow."""
        now = asyncio.get_running_loop().time()
        state = self._harness.require_first_node().state
        usage = RetryUsage(requests=1, retries=self.retry_slack)
        state.get_retry_budget('llm').peers.update(name, usage, now)

    async def _configure(self, name: str) -> None:
        """Drop the service of the streams for a while."""
        await self._put_configuration(streams=False)
        await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_S))
        await self._put_configuration(streams=True)

    async def _put_configuration(self, *, streams: bool) -> None:
        self._version += 1
        document = json.decode(
            build_configuration(self._version, maxAttempts=self._attempts)
        )
        if not streams:
            document['routes'].pop(0)
            document['services'].pop(0)
        await self._harness.store.put('op/config', json.encode(document))

    async def _find_duplicates(self) -> None:
        """Find streams that a replica runs twice for longer than a close."""
        seen: Counter[tuple[str, bytes]] = Counter()
        while True:
            await asyncio.sleep(_POLL_S)
            doubled = self._list_doubled()
            seen = Counter({run: seen[run] + 1 for run in doubled})
            self.duplicates |= {
                run for run, polls in seen.items() if polls > _MAX_POLLS
            }

    def _list_doubled(self) -> set[tuple[str, bytes]]:
        """Return the streams that a replica runs twice now."""
        return {
            (name, request_id)
            for name, replica in self._harness.replicas.items()
            for request_id, count in Counter(replica.in_progress).items()
            if count > 1
        }
