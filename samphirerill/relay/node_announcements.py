"""Entries of the nodes in the store."""

from __future__ import annotations

from msgspec import DecodeError, Struct, ValidationError

from samphirerill.decoding.addresses import is_address
from samphirerill.decoding.bounds import Name
from samphirerill.decoding.decoders import build_json_decoder
from samphirerill.node.logs import get_logger
from samphirerill.relay.invalid_entries import InvalidEntries

_LOG = get_logger('members')
_MAX_QUOTED_CHARS = 80


class NodeAnnouncement(Struct):
    """A node's entry in the store; addresses are ``IP:PORT``."""

    exchange: str
    peers: str
    data_centre: Name = ''


_DECODER = build_json_decoder(NodeAnnouncement)


class AnnouncementReader:
    """Decodes the entries of nodes; each invalid one is logged once."""

    __slots__ = ('_invalid',)

    def __init__(self) -> None:
        self._invalid = InvalidEntries(_LOG, 'cannot decode node announcement')

    def read(self, key: str, text: bytes) -> NodeAnnouncement | None:
        """Return the announcement at a key; none if it is invalid."""
        try:
            return _decode(text)
        except DecodeError as exc:
            self._invalid.note(key, str(exc))
            return None


def _decode(text: bytes) -> NodeAnnouncement:
    announcement = _DECODER.decode(text)
    for address in (announcement.exchange, announcement.peers):
        # Port 0 leaves the choice of the port to the system.
        if not is_address(address, min_port=0):
            raise ValidationError(
                f'got address {address[:_MAX_QUOTED_CHARS]!r}, expected IP:PORT'
            )
    return announcement
