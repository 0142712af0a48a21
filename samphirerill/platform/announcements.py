"""What replicas say of themselves, decoded into the project's types."""

from __future__ import annotations

import re

from msgspec import Struct, field, json

from samphirerill.fleet.model import LayerRange, Replica
from samphirerill.platform.documents import decode_document
from samphirerill.relay.dialect import DocumentError, ReplicaReport

_LEAVING = 'draining'
_STATES = ('ready', _LEAVING)
_ADDRESS = re.compile(r'\d{1,3}(\.\d{1,3}){3}:\d{1,5}')


class _Layers(Struct):
    # `to` is exclusive.
    begin: int = field(default=0, name='from')
    to: int = 0


class _Entry(Struct):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    kind: str = ''
    layers: _Layers | None = None
    # Unix milliseconds of the replica's start, under the same id or not.
    born: int = 0


class _Stalled(Struct):
    id: str = ''
    address: str = ''


class _Report(Struct, rename='camel'):
    layers: _Layers | None = None
    busy: bool = False
    # Orders that the replica has taken on since it started.
    sequence: int = 0
    pace: float = 1
    stalled: list[_Stalled] = []
    born: int = 0


_ENTRY = json.Decoder(_Entry)
_REPORT = json.Decoder(_Report)


def decode_replica(replica_id: str, text: bytes) -> Replica:
    """Return the replica that an announcement in the store tells of.

    Others may write under the same prefix; what does not have all that a
    replica's own entry has names none.
    """
    found: _Entry = decode_document(_ENTRY, text)
    _check_entry(found)
    return Replica(
        replica_id=replica_id,
        service=found.service,
        address=found.address,
        data_centre=found.zone,
        slots=found.slots,
        is_leaving=found.state == _LEAVING,
        accelerator=found.kind,
        layers=_build_layers(found.layers),
        started_ms=found.born,
    )


def decode_report(text: bytes) -> ReplicaReport:
    """Return an engine's report on itself."""
    found: _Report = decode_document(_REPORT, text)
    return ReplicaReport(
        layers=_build_layers(found.layers),
        is_busy=found.busy,
        orders_taken=found.sequence,
        slowness=found.pace,
        stalled={item.id: item.address for item in found.stalled},
        started_ms=found.born,
    )


def _check_entry(found: _Entry) -> None:
    if found.state not in _STATES:
        raise DocumentError(f'state {found.state!r}, expected one of {_STATES}')
    if not _ADDRESS.fullmatch(found.address):
        raise DocumentError(f'address {found.address!r}, expected IP:PORT')


def _build_layers(found: _Layers | None) -> LayerRange | None:
    if found is None or found.to <= found.begin:
        return None
    return LayerRange(found.begin, found.to)
