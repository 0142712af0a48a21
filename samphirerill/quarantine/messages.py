"""Messages between nodes with evidence against requests and prompt parts.

Received messages are untrusted: sizes and ages are checked.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, msgpack
from msgspec.structs import replace

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.quarantine.identity import DIGEST_BYTES, TAG_BYTES
from samphirerill.quarantine.records import MAX_CRASHES, Crash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.quarantine.decision import Quarantine
    from samphirerill.quarantine.records import EvidenceRecord

_MS_PER_S = 1000
_MAX_NAME_CHARS = 80
# Names of endpoints and attempts are truncated to this; real ones are shorter.
_SENT_NAME_CHARS = 40
_MAX_MESSAGES = 64
# The latest crashes of a record; receivers keep those that they got before.
_MAX_SENT_CRASHES = 8
_MAX_AGE_MS = 14_400_000
_NEVER_SURVIVED = -1


class CrashMessage(Struct, array_like=True):
    """One crash; `ago_ms` is its age in milliseconds.

    `account` tells apart client accounts that share a prompt part.
    """

    endpoint: str
    request_id: str
    ago_ms: int
    account: bytes = b''


class EvidenceMessage(Struct, array_like=True):
    """Evidence on one request or prompt part, named by its digest.

    `survived_ms` is how long ago a run last survived its start, -1 for never.
    `is_proven` is whether the sender holds the part.
    """

    request: bytes
    deaths: list[CrashMessage]
    survived_ms: int = _NEVER_SURVIVED
    is_part: bool = False
    is_proven: bool = False


_MESSAGES = build_msgpack_decoder(list[EvidenceMessage])


class InvalidEvidenceError(Exception):
    """A message with evidence is malformed or exceeds the limits."""


def build_message(
    request: bytes, record: EvidenceRecord, now: float
) -> EvidenceMessage:
    """Return the message for the record of a request."""
    survived_ms = _NEVER_SURVIVED
    if record.survived_at > 0:
        survived_ms = _to_ms(now - record.survived_at)
    crashes = [
        CrashMessage(
            crash.endpoint[:_SENT_NAME_CHARS],
            crash.request_id[:_SENT_NAME_CHARS],
            _to_ms(now - crash.at),
            crash.account,
        )
        for crash in record.crashes[-_MAX_SENT_CRASHES:]
    ]
    return EvidenceMessage(request, crashes, survived_ms)


def build_part_message(
    part: bytes, record: EvidenceRecord, now: float, *, is_proven: bool
) -> EvidenceMessage:
    """Return the message for the record of a prompt part."""
    message = build_message(part, record, now)
    return replace(message, is_part=True, is_proven=is_proven)


def build_messages(
    quarantine: Quarantine,
    parts: Iterable[bytes],
    requests: Iterable[bytes],
    now: float,
) -> list[EvidenceMessage]:
    """Return the messages for prompt parts and requests that have records."""
    part_messages = [
        build_part_message(
            part, record, now, is_proven=quarantine.parts.is_proven(part)
        )
        for part in parts
        if (record := quarantine.parts.get_record(part)) is not None
    ]
    request_messages = [
        build_message(request, record, now)
        for request in requests
        if (record := quarantine.get_record(request)) is not None
    ]
    return part_messages + request_messages


def encode_messages(messages: list[EvidenceMessage]) -> bytes:
    """Return messages as bytes."""
    return msgpack.encode(messages)


def decode_messages(text: bytes) -> list[EvidenceMessage]:
    """Decode messages; raise ``InvalidEvidenceError`` if they are invalid."""
    try:
        messages = _MESSAGES.decode(text)
    except DecodeError as exc:
        raise InvalidEvidenceError(str(exc)) from exc
    check_messages(messages)
    return messages


def check_messages(messages: list[EvidenceMessage]) -> None:
    """Raise ``InvalidEvidenceError`` if messages exceed the limits."""
    if len(messages) > _MAX_MESSAGES or not all(
        map(_is_valid_message, messages)
    ):
        raise InvalidEvidenceError(
            f'got {len(messages)} evidence messages, expected at most '
            f'{_MAX_MESSAGES}, each within its limits'
        )


def add_age(message: EvidenceMessage, by_ms: int) -> EvidenceMessage:
    """Return a message with all its ages increased by `by_ms`."""
    crashes = [
        replace(crash, ago_ms=crash.ago_ms + by_ms) for crash in message.deaths
    ]
    survived_ms = message.survived_ms
    if survived_ms != _NEVER_SURVIVED:
        survived_ms += by_ms
    return replace(message, deaths=crashes, survived_ms=survived_ms)


def apply_messages(
    quarantine: Quarantine, messages: Iterable[EvidenceMessage], now: float
) -> list[bytes]:
    """Apply messages of another node; return the digests that changed."""
    changed = []
    for message in messages:
        store = quarantine.parts if message.is_part else quarantine
        changes = [
            store.note_crash(
                message.request,
                Crash(
                    crash.endpoint,
                    crash.request_id,
                    now - crash.ago_ms / _MS_PER_S,
                    crash.account,
                ),
                now,
            )
            for crash in message.deaths
        ]
        if message.survived_ms != _NEVER_SURVIVED:
            at = now - message.survived_ms / _MS_PER_S
            changes.append(store.note_survival(message.request, at))
        if message.is_proven:
            changes.append(quarantine.parts.adopt_hold(message.request))
        if any(changes):
            changed.append(message.request)
    return changed


def _is_valid_message(message: EvidenceMessage) -> bool:
    has_digest_size = len(message.request) == DIGEST_BYTES
    has_few_crashes = len(message.deaths) <= MAX_CRASHES
    is_recent = _NEVER_SURVIVED <= message.survived_ms <= _MAX_AGE_MS
    return (
        has_digest_size
        and has_few_crashes
        and is_recent
        and all(map(_is_valid_crash, message.deaths))
    )


def _is_valid_crash(crash: CrashMessage) -> bool:
    names_fit = (
        max(len(crash.endpoint), len(crash.request_id)) <= _MAX_NAME_CHARS
    )
    tag_fits = len(crash.account) <= TAG_BYTES
    return names_fit and tag_fits and 0 <= crash.ago_ms <= _MAX_AGE_MS


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * _MS_PER_S))
