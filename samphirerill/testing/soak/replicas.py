"""Fake engines and plain services that follow the platform's protocol.

An engine serves only the layers that it holds, streams one event per step,
stalls while another stage of the pipeline is down, and handles placement orders
and reports. Every execution is recorded in the ground truth.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.fleet.model import NO_LAYERS, ClientLimits, LayerRange
from samphirerill.relay.listeners import listen_with
from samphirerill.testing.fake_connection import Delivery, FakeConnection
from samphirerill.testing.soak.pipelines import (
    Pipeline,
    covers,
    is_whole,
    parse_pipeline,
)
from samphirerill.testing.soak.request_traits import (
    choose_framing,
    count_events,
    fails_beside_copies,
)

if TYPE_CHECKING:
    from random import Random

    from samphirerill.relay.server import ClientConnection, Request
    from samphirerill.testing.soak.ground_truth import GroundTruth

# Values that are no limit.
BAD_LIMITS = (b'few', b'-1', b'nan', b'1e9', b' ', b'9' * 20)
_OK = 200
_ACCEPTED = 202
_MISDIRECTED = 421
_UNAVAILABLE = 503
_FAILED = 500
# Copies that end within the first headers, and all up to whole ones.
_COPY_SIZES = (64, 400)
_NOT_FOUND = 404
_CONFLICT = 409
_EVENT_INTERVAL_S = 0.015
_SERVICE_TIME_S = {'desk': 0.02, 'extra': 0.2}
# How long an engine waits for a stage that is down before it drops the request.
_STALL_TIMEOUT_S = 1.0
_LAYER_LOAD_S = 0.01
# The platform's bound plus a margin for message delay on a loaded machine.
_DRAIN_BOUND_S = 2.5
_POLL_INTERVAL_S = 0.02
_REQUEST_ID_HEADER = b'x-samphirerill-request-id'
_PIPELINE_HEADER = b'x-samphirerill-hop-count'


def _break_off(conn: ClientConnection, *, is_reset: bool) -> None:
    """Break off a response in the way of a crash."""
    if isinstance(conn, FakeConnection):
        conn.crash(is_reset=is_reset)
    else:
        conn.abort()


class ReplicaRegistry:
    """Running replicas by address, so that engines see other stages."""

    def __init__(self, ground_truth: GroundTruth) -> None:
        self.ground_truth = ground_truth
        self.by_address: dict[str, SoakReplica] = {}

    def find(self, address: str) -> SoakReplica | None:
        """Return the replica at an address, if any."""
        return self.by_address.get(address)

    def is_in_use(self, address: str) -> bool:
        """Return whether streams pass through the replica at an address."""
        return any(
            replica.runs_through(address)
            for replica in self.by_address.values()
        )


@dataclass(slots=True)
class _Run:
    """A stream that an engine is running."""

    pipeline: Pipeline


class SoakReplica:
    """One instance of a replica, from its start to its end.

    Parameters
    ----------
    replicas : ReplicaRegistry
        The other running replicas.
    replica_id : str
        Unique to this instance.
    service : str
        Name of the service.
    address, listen_address : str
        The address of its proxy, which nodes connect to, and the address
        that it listens on.
    kind : str
        Accelerator type; empty for a plain service.
    """

    def __init__(
        self,
        replicas: ReplicaRegistry,
        replica_id: str,
        service: str,
        address: str,
        listen_address: str,
        kind: str = '',
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.address = address
        self.kind = kind
        self.layers = NO_LAYERS
        self.is_stopped = False
        self.is_leaving = False
        self.leaving_since = float('inf')
        # Whether its registry entry and its responses show that it is leaving.
        self.announces_leaving = False
        self.says_leaving = False
        # The limit in all its answers; empty for none.
        self._request_limit = b''
        self._back_off_until = 0.0
        # Sent instead of the remaining time.
        self._retry_after = b''
        # Draws the copies of responses that are sent; none if it sends none.
        self.stutter: Random | None = None
        self.orders = 0
        self._listen_address = listen_address
        self._replicas = replicas
        self._ground_truth = replicas.ground_truth
        self._loop = asyncio.get_running_loop()
        self._connections: set[FakeConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_busy = False
        # Given up, but kept for the streams that pass through them.
        self._released = NO_LAYERS
        self._tasks: set[asyncio.Task[None]] = set()
        # The latest run of each request.
        self._runs: dict[str, _Run] = {}

    async def start(self) -> None:
        """Start listening and register."""
        self._server = await listen_with(
            self._build_connection, self._listen_address
        )
        self._replicas.by_address[self.address] = self

    def stop(self) -> None:
        """Stop abruptly, as in a crash."""
        self.is_stopped = True
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        for conn in tuple(self._connections):
            conn.crash(is_reset=False)
        if self._replicas.find(self.address) is self:
            self._replicas.by_address.pop(self.address)

    def build_entry(self) -> bytes:
        """Return the entry to publish in the service registry."""
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'slots': 8,
            'state': 'draining' if self.announces_leaving else 'ready',
            'kind': self.kind,
        }
        if self.kind and self.layers.count:
            entry['layers'] = _encode_layers(self.layers)
        return json.encode(entry)

    def get_limits(self) -> ClientLimits:
        """Return the request limits of the server."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether connections are closed after each response."""
        return self.is_leaving

    def request_back_off(self, back_off_s: float, retry_after: bytes) -> None:
        """Refuse requests for a time, as an overloaded replica does.

        Parameters
        ----------
        back_off_s : float
            How long it refuses.
        retry_after : bytes
            The value that it sends; empty to send the remaining time.
        """
        self._back_off_until = self._loop.time() + back_off_s
        self._retry_after = retry_after

    def name_limit(self, text: bytes) -> None:
        """Name a request limit in all answers from now on; empty for none."""
        self._request_limit = text
        checks = self._ground_truth.notice_checks.limits
        if text and text not in BAD_LIMITS:
            checks.record_limit(self.replica_id, float(text), self._loop.time())
        elif not text:
            checks.record_end(self.replica_id)

    def holds(self, layers: LayerRange) -> bool:
        """Return whether the replica has loaded these layers."""
        return covers(self.layers, layers)

    def keeps(self, layers: LayerRange) -> bool:
        """Return whether streams in progress can use these layers."""
        return self.holds(layers) or covers(self._released, layers)

    def runs_through(self, address: str) -> bool:
        """Return whether a stream that it runs passes through a replica."""
        return any(
            address == stage_address
            for run in self._runs.values()
            for stage_address, _ in run.pipeline
        )

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Handle one request."""
        if isinstance(conn, FakeConnection):
            conn.delivery.framing = choose_framing(_read_id(req))
            conn.delivery.copied_bytes = self._draw_copy(req)
        if req.target == b'/report':
            conn.respond(_OK, [], json.encode(self._report()))
        elif req.target == b'/order':
            conn.respond(self._apply_order(json.decode(req.body)), [], b'')
        else:
            await self._serve(req, conn)

    def _build_connection(self) -> FakeConnection:
        return FakeConnection(self, self._connections, Delivery())

    async def _serve(self, req: Request, conn: ClientConnection) -> None:
        now = self._loop.time()
        self._ground_truth.arrivals[_read_id(req)].add(self.address)
        expected = req.get(b'x-samphirerill-target-instance') or b''
        if expected != self.replica_id.encode():
            self._refuse(req, conn, _MISDIRECTED, self.address)
            return
        self._check_draining(req)
        if self.stutter is not None and fails_beside_copies(_read_id(req)):
            self._fail(req, conn)
            return
        self._ground_truth.notice_checks.check_arrival(
            _read_id(req), self.replica_id, self.address, now
        )
        if now < self._back_off_until:
            self._refuse_for_back_off(req, conn)
            return
        if not self.kind:
            await self._answer_plain(req, conn)
            return
        pipeline = parse_pipeline(req.get(_PIPELINE_HEADER) or b'')
        self._check_coverage(req, pipeline)
        failed_address = self._find_unavailable(pipeline)
        if failed_address:
            self._refuse(req, conn, _MISDIRECTED, failed_address)
            return
        await self._stream(req, conn, pipeline)

    def _draw_copy(self, req: Request) -> int:
        """Return how much of the last response to send again; 0 for calls."""
        if self.stutter is None or not _read_id(req):
            return 0
        return self.stutter.randrange(self.stutter.choice(_COPY_SIZES))

    def _fail(self, req: Request, conn: ClientConnection) -> None:
        """Respond with a failure, after a part of a success maybe."""
        self._ground_truth.counts['replica.failed'] += 1
        self._ground_truth.record_run(
            _read_id(req), self.replica_id, _read_account(req)
        )
        conn.respond(_FAILED, self._build_headers(req), b'failed')

    async def _answer_plain(self, req: Request, conn: ClientConnection) -> None:
        request_id = _read_id(req)
        self._ground_truth.record_run(
            request_id, self.replica_id, _read_account(req)
        )
        await asyncio.sleep(_SERVICE_TIME_S[self.service])
        body = f'{request_id} {self.service}'.encode()
        conn.respond(_OK, self._build_headers(req), body)

    async def _stream(
        self,
        req: Request,
        conn: ClientConnection,
        pipeline: Pipeline,
    ) -> None:
        request_id = _read_id(req)
        first = int(req.get(b'last-event-id') or b'0') + 1
        self._ground_truth.record_run(
            request_id, self.replica_id, _read_account(req)
        )
        run = _Run(pipeline)
        self._runs[request_id] = run
        self._record_path(request_id, pipeline)
        headers = [
            *self._build_headers(req),
            (b'content-type', b'text/event-stream'),
        ]
        conn.start_response(_OK, headers, None)
        try:
            for number in range(first, count_events(request_id) + 1):
                await asyncio.sleep(_EVENT_INTERVAL_S)
                if not await self._wait_for_stages(run):
                    self._ground_truth.broken_off.add(request_id)
                    _break_off(conn, is_reset=number % 2 == 0)
                    return
                event = f'id: {number}\ndata: {request_id}-{number}\n\n'
                conn.write_body(event.encode())
            conn.finish_response()
        finally:
            if self._runs.get(request_id) is run:
                self._runs.pop(request_id)

    def _record_path(self, request_id: str, pipeline: Pipeline) -> None:
        self._ground_truth.arrivals[request_id].update(
            address for address, _ in pipeline
        )

    async def _wait_for_stages(self, run: _Run) -> bool:
        """Wait for missing stages; return whether all are up in time."""
        until = self._loop.time() + _STALL_TIMEOUT_S
        while self._find_unavailable(run.pipeline, run):
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(_POLL_INTERVAL_S)
        return True

    def _find_unavailable(
        self, pipeline: Pipeline, run: _Run | None = None
    ) -> str:
        """Return the address of an unavailable stage, or an empty string.

        A `run` may go on to use the stages that it uses.
        """
        for address, layers in pipeline:
            stage = self._replicas.find(address)
            if stage is None:
                return address
            is_used = run is not None and (address, layers) in run.pipeline
            serves = stage.keeps if is_used else stage.holds
            if not serves(layers):
                return address
        return ''

    def _apply_order(self, order: dict[str, Any]) -> int:
        if order['operation'] == 'repath':
            return self._change_pipeline(order)
        expected = order.get('expect')
        if expected is not None and expected != self.orders:
            return _CONFLICT
        self.orders += 1
        if self.layers.count:
            self._released = self.layers
        self.layers = NO_LAYERS
        self._is_busy = True
        layers = LayerRange(order['from'], order['to'])
        task = self._loop.create_task(self._load(layers, self.orders))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _ACCEPTED

    async def _load(self, layers: LayerRange, number: int) -> None:
        """Load layers once no stream uses those that were given up."""
        while self._replicas.is_in_use(self.address):
            await asyncio.sleep(_POLL_INTERVAL_S)
        if number != self.orders:
            return
        self._released = NO_LAYERS
        await asyncio.sleep(layers.count * _LAYER_LOAD_S)
        if number == self.orders:
            self.layers = layers
            self._is_busy = False

    def _change_pipeline(self, order: dict[str, Any]) -> int:
        pipeline = parse_pipeline(order['path'].encode())
        run = self._runs.get(order['id'])
        if run is None:
            return _NOT_FOUND
        if self._find_unavailable(pipeline, run):
            return _CONFLICT
        run.pipeline = pipeline
        self._record_path(order['id'], pipeline)
        return _ACCEPTED

    def _report(self) -> dict[str, Any]:
        stalled = [
            {'id': name, 'address': unavailable}
            for name, run in self._runs.items()
            if (unavailable := self._find_unavailable(run.pipeline, run))
        ]
        return {
            'layers': _encode_layers(self.layers),
            'busy': self._is_busy,
            'sequence': self.orders,
            'stalled': stalled,
        }

    def _refuse_for_back_off(
        self, req: Request, conn: ClientConnection
    ) -> None:
        now = self._loop.time()
        remaining_s = self._back_off_until - now
        self._ground_truth.counts['replica.back_off'] += 1
        if self._retry_after:
            retry_after = self._retry_after
        else:
            retry_after = f'{remaining_s:.3f}'.encode()
            self._ground_truth.notice_checks.record_back_off(
                _read_id(req), self.replica_id, now, self._back_off_until
            )
        self._refuse(
            req, conn, _UNAVAILABLE, self.address, (b'retry-after', retry_after)
        )

    def _refuse(
        self,
        req: Request,
        conn: ClientConnection,
        status: int,
        failed_address: str,
        *more: tuple[bytes, bytes],
    ) -> None:
        headers = [
            *self._build_common_headers(req),
            (b'x-samphirerill-not-executed', b'1'),
            (b'at-server', failed_address.encode()),
            *more,
        ]
        conn.respond(status, headers, b'')

    def _build_headers(self, req: Request) -> list[tuple[bytes, bytes]]:
        return [
            (b'x-samphirerill-response-seal', self.replica_id.encode()),
            *self._build_common_headers(req),
        ]

    def _build_common_headers(self, req: Request) -> list[tuple[bytes, bytes]]:
        headers = [(_REQUEST_ID_HEADER, req.get(_REQUEST_ID_HEADER) or b'')]
        if self._request_limit:
            headers.append((b'server-limit', self._request_limit))
            if self._request_limit not in BAD_LIMITS:
                self._ground_truth.notice_checks.limits.record_answer(
                    _read_id(req), self.replica_id, self._loop.time()
                )
        if self.says_leaving:
            headers.append((b'server-leaving', b'1'))
            self._ground_truth.notice_checks.record_leaving_answer(
                _read_id(req), self.replica_id
            )
        return headers

    def _check_draining(self, req: Request) -> None:
        """Check that a draining replica gets no new request after the bound."""
        delay_s = self._loop.time() - self.leaving_since
        if delay_s > _DRAIN_BOUND_S and self._ground_truth.is_fault_free(
            self.leaving_since, self._loop.time()
        ):
            self._ground_truth.record_violation(
                f'{_read_id(req)}: sent to {self.replica_id} {delay_s:.1f} s '
                'after it started draining'
            )

    def _check_coverage(self, req: Request, pipeline: Pipeline) -> None:
        """Check that the pipeline runs each layer once, starting here."""
        if not is_whole(pipeline) or pipeline[0][0] != self.address:
            self._ground_truth.record_violation(
                f'{_read_id(req)}: incomplete pipeline {pipeline}'
            )


def _encode_layers(layers: LayerRange) -> dict[str, int]:
    return {'from': layers.first, 'to': layers.end, 'version': 1}


def _read_id(req: Request) -> str:
    return (req.get(_REQUEST_ID_HEADER) or b'').decode()


def _read_account(req: Request) -> str:
    return (req.get(b'x-samphirerill-tenant') or b'').decode()
