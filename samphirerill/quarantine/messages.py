"""How nodes tell each other what they know against requests.

What comes from another node is checked as a stranger's: bounded in size, and no
older or newer than evidence can be.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, ValidationError, msgpack

from samphirerill.quarantine.identity import DIGEST_BYTES
from samphirerill.quarantine.records import MOST_DEATHS, Death

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.quarantine.book import Quarantine
    from samphirerill.quarantine.records import Record

_MS_PER_S = 1000
_MOST_NAME = 80
# Names of endpoints and attempts are cut to this; they are shorter.
_KEPT_NAME = 40
_MOST_TOLD = 64
_OLDEST_MS = 14_400_000
_UNSAID = -1


class ToldDeath(Struct, array_like=True):
    """One end, with how many milliseconds ago it was."""

    endpoint: str
    request_id: str
    ago_ms: int


class ToldRecord(Struct, array_like=True):
    """One request; `survived_ms` is how long ago a run went on, -1 for never."""

    request: bytes
    deaths: list[ToldDeath]
    survived_ms: int = _UNSAID


class UnreadableEvidenceError(Exception):
    """What another node told is not what it should be."""


def build_told(request: bytes, record: Record, now: float) -> ToldRecord:
    """Return a record as other nodes are told of it."""
    survived_ms = _UNSAID
    if record.survived_at > 0:
        survived_ms = _to_ms(now - record.survived_at)
    deaths = [
        ToldDeath(
            death.endpoint[:_KEPT_NAME],
            death.request_id[:_KEPT_NAME],
            _to_ms(now - death.at),
        )
        for death in record.deaths
    ]
    return ToldRecord(request, deaths, survived_ms)


def encode_told(told: list[ToldRecord]) -> bytes:
    """Return records as bytes."""
    return msgpack.encode(told)


def decode_told(text: bytes) -> list[ToldRecord]:
    """Return the records in a message; raise if it is not what it should be."""
    try:
        told = msgpack.decode(text, type=list[ToldRecord])
    except (DecodeError, ValidationError) as exc:
        raise UnreadableEvidenceError(str(exc)) from exc
    check_told(told)
    return told


def check_told(told: list[ToldRecord]) -> None:
    """Raise ``UnreadableEvidenceError`` if records are not in bounds."""
    if len(told) > _MOST_TOLD or not all(map(_is_sound, told)):
        raise UnreadableEvidenceError(
            f'got {len(told)} records, expected {_MOST_TOLD} at most, each in '
            'bounds'
        )


def move_back(told: ToldRecord, by_ms: int) -> ToldRecord:
    """Return a record as it is so many milliseconds after it was written."""
    deaths = [
        ToldDeath(death.endpoint, death.request_id, death.ago_ms + by_ms)
        for death in told.deaths
    ]
    survived_ms = told.survived_ms
    if survived_ms != _UNSAID:
        survived_ms += by_ms
    return ToldRecord(told.request, deaths, survived_ms)


def take_told(
    quarantine: Quarantine, told: Iterable[ToldRecord], now: float
) -> list[bytes]:
    """Let what another node told count; return the requests with news."""
    fresh = []
    for record in told:
        news = [
            quarantine.note_death(
                record.request,
                Death(
                    death.endpoint,
                    death.request_id,
                    now - death.ago_ms / _MS_PER_S,
                ),
                now,
            )
            for death in record.deaths
        ]
        if record.survived_ms != _UNSAID:
            at = now - record.survived_ms / _MS_PER_S
            news.append(quarantine.note_survival(record.request, at))
        if any(news):
            fresh.append(record.request)
    return fresh


def _is_sound(told: ToldRecord) -> bool:
    has_size = len(told.request) == DIGEST_BYTES
    is_short = len(told.deaths) <= MOST_DEATHS
    in_time = _UNSAID <= told.survived_ms <= _OLDEST_MS
    return has_size and is_short and in_time and all(map(_is_real, told.deaths))


def _is_real(death: ToldDeath) -> bool:
    names_fit = max(len(death.endpoint), len(death.request_id)) <= _MOST_NAME
    return names_fit and 0 <= death.ago_ms <= _OLDEST_MS


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * _MS_PER_S))
