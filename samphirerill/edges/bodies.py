"""Check what callers send, and say what is wrong with it."""

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
_CHAT_TOKENS = 256
_COMPLETION_TOKENS = 16
TokenCount = Annotated[int, Meta(ge=1, le=_MAX_TOKENS)]


class BadBodyError(Exception):
    """A body is not what the interface expects; nothing was run."""


class _Turn(Struct):
    role: str
    content: str


class _Body(Struct):
    model: str
    prompt: str | None = None
    messages: Annotated[list[_Turn], Meta(min_length=1)] | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    stream: bool = False
    choices: Annotated[int, Meta(ge=1, le=1)] = field(default=1, name='n')


def read_model_body(payload: bytes, *, is_chat: bool) -> dict[str, Any]:
    """Return a checked completion or chat body; unknown members stay.

    Parameters
    ----------
    payload : bytes
        The request's body.
    is_chat : bool
        Expect ``messages`` rather than ``prompt``.

    Raises
    ------
    BadBodyError
        The body is no UTF-8, no JSON or has a member of a wrong type.
    """
    try:
        document = decode(payload)
        body = convert(document, _Body)
    except RecursionError as exc:
        raise BadBodyError('got a body that is nested too deeply') from exc
    except (DecodeError, ValidationError, UnicodeDecodeError) as exc:
        raise BadBodyError(f'got a body that can not be used: {exc}') from exc
    wanted, other = (
        ('messages', 'prompt') if is_chat else ('prompt', 'messages')
    )
    if getattr(body, wanted) is None:
        raise BadBodyError(f'got no {wanted!r}, expected it in the body')
    if getattr(body, other) is not None:
        raise BadBodyError(f'got {other!r} too, expected only {wanted!r}')
    default = _CHAT_TOKENS if is_chat else _COMPLETION_TOKENS
    document.pop('max_completion_tokens', None)
    document['max_tokens'] = (
        body.max_completion_tokens or body.max_tokens or default
    )
    return document


def read_timeout(text: str) -> float:
    """Return a caller's ``Request-Timeout`` in seconds; 0 if none is set.

    Raises
    ------
    BadBodyError
        The header is no positive number.
    """
    if not text:
        return 0
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = -1
    if not 0 < timeout_s < float('inf'):
        raise BadBodyError(
            f'got Request-Timeout {text!r}, expected seconds above 0'
        )
    return timeout_s
