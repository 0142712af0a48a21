"""Datagrams about request limits and permits."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.fleet.model import MS_PER_S
from samphirerill.relay.replica_ids import checksum_name

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit

# The start of a replica's process, its requests a second and how many milliseconds
# ago the request was sent whose response said so.
LimitEntry = tuple[int, float, int]
LimitEntries = dict[int, LimitEntry]
# No other datagram begins so: 0xc1 is never used in MessagePack.
TYPE_PREFIX = b'\xc1L'
# In place of a rate if a replica names no limit any more.
NO_RATE = -1.0


class LimitMessage(Struct, array_like=True):
    """Datagram of one node; replicas are keyed by checksum.

    `started` identifies the process run of the sender, and `sequence` increases
    with each message of that run. `limits` is what the sender knows, with a rate
    of `NO_RATE` for no limit. `wanted` maps replicas to how many permits the
    sender waits for, and for how many milliseconds; `returned` to how many it does not use. `granted` maps replicas
    to the number of permits, and to the expected milliseconds to the next one
    and between two of them. `declined` are replicas whose permits the sender
    does not grant.
    """

    node: str
    started: int
    sequence: int
    is_broadcast: bool = False
    limits: LimitEntries = {}
    wanted: dict[int, tuple[int, int]] = {}
    returned: dict[int, int] = {}
    granted: dict[int, tuple[int, int, int]] = {}
    declined: tuple[int, ...] = ()


_DECODER = build_msgpack_decoder(LimitMessage)


def encode_message(message: LimitMessage) -> bytes:
    """Return the datagram of a message."""
    return TYPE_PREFIX + msgpack.encode(message)


def decode_message(data: bytes) -> LimitMessage:
    """Return the message of a datagram; raise ``DecodeError`` if it has none."""
    return _DECODER.decode(data[len(TYPE_PREFIX) :])


def encode_limit(
    replica: Replica, limit: RequestLimit, now: float
) -> LimitEntries:
    """Return the entry of `LimitMessage.limits` for one replica."""
    age_ms = count_ms(now - limit.said_at)
    entry = (replica.started_ms, encode_rate(limit), age_ms)
    return {checksum_name(replica.replica_id): entry}


def encode_rate(limit: RequestLimit) -> float:
    """Return the rate, or `NO_RATE` if there is none."""
    return NO_RATE if limit.rate_per_s is None else limit.rate_per_s


def count_ms(seconds: float) -> int:
    """Return whole milliseconds, 0 for a time in the past."""
    return max(0, round(seconds * MS_PER_S))
