"""Decode the announcements and status reports of replicas."""

from __future__ import annotations

import re

from msgspec import Struct, field, json

from samphirerill.fleet.model import LayerRange, Replica
from samphirerill.platform.documents import decode_document
from samphirerill.relay.platform_adapter import DocumentError, ReplicaReport

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
    # When the process started, in Unix milliseconds; a restarted replica may
    # keep its id.
    born: int = 0
    # Orders that the replica has accepted since it started.
    sequence: int = 0


class _Stalled(Struct):
    id: str = ''
    address: str = ''


class _Report(Struct, rename='camel'):
    layers: _Layers | None = None
    busy: bool = False
    # Orders that the replica has accepted since it started.
    sequence: int = 0
    pace: float = 1
    stalled: list[_Stalled] = []
    born: int = 0


_ENTRY = json.Decoder(_Entry)
_REPORT = json.Decoder(_Report)


def decode_announcement(replica_id: str, text: bytes) -> Replica:
    """Decode the announcement of a replica.

    Other writers may use the same key prefix, so an entry without all the
    required fields is rejected.

    Parameters
    ----------
    replica_id : str
        The replica's id, from the key.
    text : bytes
        The stored value.

    Raises
    ------
    DocumentError
        The entry is not a valid announcement.
    """
    document: _Entry = decode_document(_ENTRY, text)
    _check_entry(document)
    return Replica(
        replica_id=replica_id,
        service=document.service,
        address=document.address,
        data_centre=document.zone,
        slots=document.slots,
        is_leaving=document.state == _LEAVING,
        accelerator=document.kind,
        layers=_build_layers(document.layers),
        started_ms=document.born,
        order_count=document.sequence,
    )


def decode_report(text: bytes) -> ReplicaReport:
    """Decode an engine's status report; raise ``DocumentError``."""
    document: _Report = decode_document(_REPORT, text)
    return ReplicaReport(
        layers=_build_layers(document.layers),
        is_busy=document.busy,
        order_count=document.sequence,
        time_factor=document.pace,
        stalled={item.id: item.address for item in document.stalled},
        started_ms=document.born,
    )


def _check_entry(document: _Entry) -> None:
    if document.state not in _STATES:
        raise DocumentError(
            f'got state {document.state!r}, expected one of {_STATES}'
        )
    if not _ADDRESS.fullmatch(document.address):
        raise DocumentError(
            f'got address {document.address!r}, expected IP:PORT'
        )


def _build_layers(document: _Layers | None) -> LayerRange | None:
    if document is None or document.to <= document.begin:
        return None
    return LayerRange(document.begin, document.to)
