"""Decode the announcements and status reports of replicas."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, field

from samphirerill.decoding.addresses import is_address
from samphirerill.decoding.bounds import Count, Name, Ordinal
from samphirerill.decoding.decoders import build_json_decoder
from samphirerill.fleet.model import LayerRange, Replica
from samphirerill.platform.documents import decode_document
from samphirerill.relay.platform_adapter import DocumentError, ReplicaReport

_LEAVING = 'draining'
_STATES = ('ready', _LEAVING)
# Connections to it would reach the node itself.
_ANY_HOST = '0.0.0.0:'
_MAX_QUOTED_CHARS = 80
_MAX_TIME_FACTOR = 1e6
_TimeFactor = Annotated[float, Meta(ge=0, le=_MAX_TIME_FACTOR)]


class _Layers(Struct):
    # `to` is exclusive.
    begin: Count = field(default=0, name='from')
    to: Count = 0


class _Entry(Struct):
    service: Name
    address: str
    zone: Name
    slots: Count
    state: str
    kind: Name = ''
    layers: _Layers | None = None
    # When the process started, in Unix milliseconds; a restarted replica may
    # keep its id.
    born: Ordinal = 0
    # Orders that the replica has accepted since it started.
    sequence: Ordinal = 0


class _Stalled(Struct):
    id: str = ''
    address: str = ''


class _Report(Struct, rename='camel'):
    layers: _Layers | None = None
    busy: bool = False
    # Orders that the replica has accepted since it started.
    sequence: Ordinal = 0
    pace: _TimeFactor = 1
    stalled: list[_Stalled] = []
    born: Ordinal = 0


_ENTRY = build_json_decoder(_Entry)
_REPORT = build_json_decoder(_Report)


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
    _check_replica_id(replica_id)
    document = decode_document(_ENTRY, text)
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
    document = decode_document(_REPORT, text)
    return ReplicaReport(
        layers=_build_layers(document.layers),
        is_busy=document.busy,
        order_count=document.sequence,
        time_factor=document.pace,
        stalled={item.id: item.address for item in document.stalled},
        started_ms=document.born,
    )


def _check_replica_id(replica_id: str) -> None:
    """Check that an id can be sent to the replica in a header."""
    is_visible = replica_id.isascii() and replica_id.isprintable()
    if not replica_id or not is_visible or ' ' in replica_id:
        raise DocumentError(
            f'got id {replica_id[:_MAX_QUOTED_CHARS]!r}, expected visible ASCII '
            'characters'
        )


def _check_entry(document: _Entry) -> None:
    if document.state not in _STATES:
        raise DocumentError(
            f'got state {document.state[:_MAX_QUOTED_CHARS]!r}, expected one of {_STATES}'
        )
    if not f'{document.service}{document.zone}{document.kind}'.isprintable():
        raise DocumentError(
            'got a control character in a name, expected printable ones'
        )
    address = document.address
    if not is_address(address) or address.startswith(_ANY_HOST):
        raise DocumentError(
            f'got address {address[:_MAX_QUOTED_CHARS]!r}, expected IP:PORT'
        )


def _build_layers(document: _Layers | None) -> LayerRange | None:
    if document is None or document.to <= document.begin:
        return None
    return LayerRange(document.begin, document.to)
