"""Stand-ins of engines and plain services that keep the rules of real ones.

An engine answers only for layers that it holds, streams an event for each step,
stalls while a part of a path is dead, and knows orders and reports. What it runs
is written into the truth.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.fleet.model import ClientLimits, LayerRange
from samphirerill.relay.listeners import listen

if TYPE_CHECKING:
    from samphirerill.relay.server import CallerConnection, Request
    from samphirerill.testing.soak.truth import Truth

LAYERS = 80
_OK = 200
_ACCEPTED = 202
_MISDIRECTED = 421
_UNAVAILABLE = 503
_NOT_FOUND = 404
_CONFLICT = 409
_EVENT_S = 0.015
_PLAIN_S = 0.02
# An engine waits so long for a dead part before it gives a request up.
_STALL_S = 1.0
_LAYER_LOAD_S = 0.01
# The platform's bound, and what a message takes on a busy machine.
_LEAVING_BOUND_S = 2.5
_STEP_S = 0.02
_ID = b'x-samphirerill-request-id'
_PATH = b'x-samphirerill-hop-count'


def count_events(request_id: str) -> int:
    """Return how many events the answer to a request has."""
    return 8 + int(request_id[-2:], 16) % 24


class Replicas:
    """All replicas by address, so that engines see the parts of a path."""

    def __init__(self, truth: Truth) -> None:
        self.truth = truth
        self.by_address: dict[str, SoakReplica] = {}

    def find(self, address: str) -> SoakReplica | None:
        """Return who lives at an address."""
        return self.by_address.get(address)


class SoakReplica:
    """One start of a replica.

    Parameters
    ----------
    replicas : Replicas
        The others.
    replica_id : str
        New with each start.
    service : str
        What it serves.
    address, own_address : str
        Where nodes reach it, through a proxy, and where it listens.
    kind : str
        The accelerator; empty for a plain service.
    """

    def __init__(
        self,
        replicas: Replicas,
        replica_id: str,
        service: str,
        address: str,
        own_address: str,
        kind: str = '',
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.address = address
        self.kind = kind
        self.layers = LayerRange(0, 0)
        self.is_dead = False
        self.is_leaving = False
        self.leaving_acked_at = float('inf')
        self.orders = 0
        self._own_address = own_address
        self._replicas = replicas
        self._truth = replicas.truth
        self._loop = asyncio.get_running_loop()
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._busy_until = 0.0
        self._paths: dict[str, list[tuple[str, LayerRange]]] = {}

    async def start(self) -> None:
        """Listen and be known."""
        self._server = await listen(self._own_address, self, self._connections)
        self._replicas.by_address[self.address] = self

    def stop(self) -> None:
        """End at once, as in a crash."""
        self.is_dead = True
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.cut()
        if self._replicas.find(self.address) is self:
            self._replicas.by_address.pop(self.address)

    def build_entry(self) -> bytes:
        """Return its announcement."""
        entry: dict[str, Any] = {
            'service': self.service,
            'address': self.address,
            'zone': 'a',
            'slots': 8,
            'state': 'draining' if self.is_leaving else 'ready',
            'kind': self.kind,
        }
        if self.kind and self.layers.count:
            entry['layers'] = _encode_layers(self.layers)
        return json.encode(entry)

    def get_limits(self) -> ClientLimits:
        """Return what callers may send."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether connections end after their answer."""
        return self.is_leaving

    def holds(self, layers: LayerRange) -> bool:
        """Return whether it can do its part."""
        mine = self.layers
        return mine.first <= layers.first and layers.end <= mine.end

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        """Answer one call."""
        if req.target == b'/report':
            conn.answer(_OK, [], json.encode(self._report()))
        elif req.target == b'/order':
            conn.answer(self._take_order(json.decode(req.body)), [], b'')
        else:
            await self._serve(req, conn)

    async def _serve(self, req: Request, conn: CallerConnection) -> None:
        expected = req.get(b'x-samphirerill-target-instance') or b''
        if expected != self.replica_id.encode():
            self._refuse(req, conn, _MISDIRECTED, self.address)
            return
        self._check_leaving(req)
        if not self.kind:
            await self._answer_plain(req, conn)
            return
        path = _parse_path(req.get(_PATH) or b'')
        self._check_cover(req, path)
        at_fault = self._find_missing(path)
        if at_fault:
            self._refuse(req, conn, _MISDIRECTED, at_fault)
            return
        await self._stream(req, conn, path)

    async def _answer_plain(self, req: Request, conn: CallerConnection) -> None:
        request_id = _read_id(req)
        self._truth.note_run(request_id, self.replica_id, _read_account(req))
        await asyncio.sleep(_PLAIN_S)
        body = f'{request_id} {self.service}'.encode()
        conn.answer(_OK, self._sign(req), body)

    async def _stream(
        self,
        req: Request,
        conn: CallerConnection,
        path: list[tuple[str, LayerRange]],
    ) -> None:
        request_id = _read_id(req)
        first = int(req.get(b'last-event-id') or b'0') + 1
        self._truth.note_run(request_id, self.replica_id, _read_account(req))
        self._paths[request_id] = path
        headers = [*self._sign(req), (b'content-type', b'text/event-stream')]
        conn.start_answer(_OK, headers, None)
        try:
            for number in range(first, count_events(request_id) + 1):
                await asyncio.sleep(_EVENT_S)
                if not await self._wait_for_parts(request_id):
                    conn.cut()
                    return
                event = f'id: {number}\ndata: {request_id}-{number}\n\n'
                conn.write_body(event.encode())
            conn.end_answer()
        finally:
            self._paths.pop(request_id, None)

    async def _wait_for_parts(self, request_id: str) -> bool:
        """Stall while a part is dead; return whether it came back."""
        until = self._loop.time() + _STALL_S
        while self._find_missing(self._paths[request_id]):
            if self._loop.time() >= until:
                return False
            await asyncio.sleep(_STEP_S)
        return True

    def _find_missing(self, path: list[tuple[str, LayerRange]]) -> str:
        """Return the address of a part that is not there, or empty."""
        for address, layers in path:
            part = self._replicas.find(address)
            if part is None or not part.holds(layers):
                return address
        return ''

    def _take_order(self, order: dict[str, Any]) -> int:
        if order['operation'] == 'repath':
            return self._repath(order)
        expected = order.get('expect')
        if expected is not None and expected != self.orders:
            return _CONFLICT
        self.orders += 1
        layers = LayerRange(order['from'], order['to'])
        self.layers = LayerRange(0, 0)
        load_s = layers.count * _LAYER_LOAD_S
        self._busy_until = self._loop.time() + load_s
        self._loop.call_later(load_s, self._finish_load, layers, self.orders)
        return _ACCEPTED

    def _finish_load(self, layers: LayerRange, number: int) -> None:
        if number == self.orders:
            self.layers = layers

    def _repath(self, order: dict[str, Any]) -> int:
        path = _parse_path(order['path'].encode())
        if order['id'] not in self._paths:
            return _NOT_FOUND
        if self._find_missing(path):
            return _CONFLICT
        self._paths[order['id']] = path
        return _ACCEPTED

    def _report(self) -> dict[str, Any]:
        stalled = [
            {'id': name, 'address': missing}
            for name, path in self._paths.items()
            if (missing := self._find_missing(path))
        ]
        return {
            'layers': _encode_layers(self.layers),
            'busy': self._loop.time() < self._busy_until,
            'sequence': self.orders,
            'stalled': stalled,
        }

    def _refuse(
        self, req: Request, conn: CallerConnection, status: int, at_fault: str
    ) -> None:
        headers = [
            (_ID, req.get(_ID) or b''),
            (b'x-samphirerill-not-executed', b'1'),
            (b'at-server', at_fault.encode()),
        ]
        conn.answer(status, headers, b'')

    def _sign(self, req: Request) -> list[tuple[bytes, bytes]]:
        return [
            (_ID, req.get(_ID) or b''),
            (b'x-samphirerill-response-seal', self.replica_id.encode()),
        ]

    def _check_leaving(self, req: Request) -> None:
        """A replica that leaves gets nothing new after the bound."""
        late_s = self._loop.time() - self.leaving_acked_at
        if late_s > _LEAVING_BOUND_S and self._truth.is_calm(
            self.leaving_acked_at, self._loop.time()
        ):
            self._truth.break_promise(
                f'{_read_id(req)}: sent to {self.replica_id} {late_s:.1f} s '
                'after it began to leave'
            )

    def _check_cover(
        self, req: Request, path: list[tuple[str, LayerRange]]
    ) -> None:
        """Every layer once, in order, beginning here."""
        position = 0
        for _, layers in path:
            if layers.first != position or layers.end <= layers.first:
                break
            position = layers.end
        if position != LAYERS or path[0][0] != self.address:
            self._truth.break_promise(f'{_read_id(req)}: layers of {path}')


def _parse_path(text: bytes) -> list[tuple[str, LayerRange]]:
    path = []
    for part in text.decode().split(','):
        address, _, layers = part.partition('=')
        first, _, end = layers.partition('-')
        path.append((address, LayerRange(int(first), int(end))))
    return path


def _encode_layers(layers: LayerRange) -> dict[str, int]:
    return {'from': layers.first, 'to': layers.end, 'version': 1}


def _read_id(req: Request) -> str:
    return (req.get(_ID) or b'').decode()


def _read_account(req: Request) -> str:
    return (req.get(b'x-samphirerill-tenant') or b'').decode()
