"""Entries that a replica never writes, as test data."""

from __future__ import annotations

from msgspec import json

from samphirerill.tests.platform_documents import build_announcement

ADDRESS = '127.0.0.1:9'
NESTED = b'[' * 100_000 + b']' * 100_000
# Members of the documents in the store.
ODD_NAMES = (
    'service',
    'address',
    'zone',
    'slots',
    'state',
    'layers',
    'from',
    'to',
    'born',
    'sequence',
    'version',
    'routes',
    'services',
    'engine',
    'tenants',
    'name',
    'weight',
)
_HUGE = b'9' * 30
SOUND_ENTRY = build_announcement('desk', ADDRESS)


def add_field(name: bytes, text: bytes, document: bytes = SOUND_ENTRY) -> bytes:
    """Return a document with one more field; a later field replaces it."""
    return document[:-1] + b',"%b":%b}' % (name, text)


def _with_address(address: str) -> bytes:
    return build_announcement('desk', address)


ODD_ENTRIES = {
    'nested': add_field(b'note', NESTED),
    'nested-list': add_field(b'layers', NESTED),
    'nested-objects': add_field(
        b'note', b'{"a":' * 10**5 + b'1' + b'}' * 10**5
    ),
    'cut': SOUND_ENTRY[:-1],
    'empty': b'',
    'no-object': b'[]',
    'no-text': b'\xff\xfe',
    'port-high': _with_address('127.0.0.1:99999'),
    'port-zero': _with_address('127.0.0.1:0'),
    'port-negative': _with_address('127.0.0.1:-1'),
    'host-high': _with_address('999.0.0.1:80'),
    'host-name': _with_address('localhost:80'),
    'host-digits': _with_address('١٢٧.0.0.1:80'),
    'host-any': _with_address('0.0.0.0:80'),
    'slots-huge': add_field(b'slots', _HUGE),
    'slots-negative': add_field(b'slots', b'-1'),
    'slots-fraction': add_field(b'slots', b'1.5'),
    'born-huge': add_field(b'born', _HUGE),
    'born-negative': add_field(b'born', b'-1'),
    'sequence-huge': add_field(b'sequence', _HUGE),
    'sequence-exponent': add_field(b'sequence', b'1e400'),
    'layers-huge': add_field(b'layers', b'{"from":0,"to":%b}' % _HUGE),
    'layers-negative': add_field(b'layers', b'{"from":-9,"to":4}'),
    'zone-line-end': add_field(b'zone', json.encode('a\r\nb')),
    'id with blank': SOUND_ENTRY,
    'id\r\nx-other: 1': SOUND_ENTRY,
    'idé': SOUND_ENTRY,
    '': SOUND_ENTRY,
}
