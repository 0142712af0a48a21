"""Validate the bodies and timeout headers of completion requests."""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import (
    DecodeError,
    Meta,
    Struct,
    ValidationError,
    convert,
    field,
)
from msgspec.json import decode

_MAX_TOKENS = 131_072
_DEFAULT_CHAT_TOKENS = 256
_DEFAULT_COMPLETION_TOKENS = 16
TokenCount = Annotated[int, Meta(ge=1, le=_MAX_TOKENS)]


class InvalidRequestError(Exception):
    """A request is malformed; it was rejected before anything ran."""


class _ChatMessage(Struct):
    role: str
    content: str


class _CompletionBody(Struct):
    model: str
    prompt: str | None = None
    messages: Annotated[list[_ChatMessage], Meta(min_length=1)] | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    choices: Annotated[int, Meta(ge=1, le=1)] = field(default=1, name='n')


def parse_completion_body(payload: bytes, *, is_chat: bool) -> dict[str, Any]:
    """Parse and validate the body of a completion or chat request.

    Unknown members are kept. The token limit is returned in ``max_tokens``,
    whichever of its two names the client used.

    Parameters
    ----------
    payload : bytes
        The raw request body.
    is_chat : bool
        Require ``messages`` instead of ``prompt``.

    Raises
    ------
    InvalidRequestError
        The body is not UTF-8 or not JSON, or one of its members is missing,
        not allowed or of the wrong type.
    """
    try:
        document = decode(payload)
        body = convert(document, _CompletionBody)
    except RecursionError as exc:
        raise InvalidRequestError(
            'got a body that is nested too deeply'
        ) from exc
    except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
        raise InvalidRequestError(
            f'got a body that can not be used: {exc}'
        ) from exc
    required, excluded = (
        ('messages', 'prompt') if is_chat else ('prompt', 'messages')
    )
    if getattr(body, required) is None:
        raise InvalidRequestError(
            f'got no {required!r}, expected it in the body'
        )
    if getattr(body, excluded) is not None:
        raise InvalidRequestError(
            f'got {excluded!r} too, expected only {required!r}'
        )
    default_tokens = (
        _DEFAULT_CHAT_TOKENS if is_chat else _DEFAULT_COMPLETION_TOKENS
    )
    document.pop('max_completion_tokens', None)
    document['max_tokens'] = (
        body.max_completion_tokens or body.max_tokens or default_tokens
    )
    return document


def parse_request_timeout(header: str) -> float:
    """Parse a ``Request-Timeout`` header into seconds; 0 if it is empty.

    Raises
    ------
    InvalidRequestError
        The header is not a positive, finite number.
    """
    if not header:
        return 0
    try:
        timeout_s = float(header)
    except ValueError:
        timeout_s = -1
    if not 0 < timeout_s < float('inf'):
        raise InvalidRequestError(
            f'got Request-Timeout {header!r}, expected seconds above 0'
        )
    return timeout_s
