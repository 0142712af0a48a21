"""Recognise response heads that were joined from two responses."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# RFC 9112, section 4; some servers omit the space before an empty reason.
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}(?: |$)')
_STATUS_LINE_START = re.compile(rb'(?:H|HT|HTT|HTTP|HTTP/[\d. ]{0,7})$')
_VERSION = b'HTTP/1.'
_END_OF_HEAD = b'\r\n\r\n'
_JOINED_HEADS = 'the response head contains that of another response'


class HeadChecker:
    """Rejects joined heads; a base class of the receivers of a parser.

    Attributes
    ----------
    defect : str
        Why a head was rejected that the parser accepts; else empty.
    """

    def __init__(self) -> None:
        self.defect = ''
        self._reason = b''

    def on_message_begin(self) -> None:
        """Parser callback: the first byte of a response."""
        self._reason = b''

    def on_status(self, reason: bytes) -> None:
        """Parser callback: a part of the reason phrase."""
        self._reason += reason

    def check_head(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Raise ``ValueError``, which ends the parsing, if heads are joined."""
        if has_joined_heads(self._reason, headers):
            self.defect = _JOINED_HEADS
            raise ValueError(_JOINED_HEADS)


def has_joined_heads(
    reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bool:
    """Return whether a head contains the status line of another response.

    If a response breaks off inside its reason phrase or a header's value and
    another one follows on the connection, parsers accept both as one: the status
    of the first with the headers and the body of the second.

    Parameters
    ----------
    reason : bytes
        The reason phrase.
    headers : iterable of tuple of bytes
        Names and values.
    """
    if has_status_line(reason):
        return True
    return any(_STATUS_LINE.search(text) for _, text in headers)


def has_status_line(text: bytes) -> bool:
    """Return whether a text contains the status line of a response."""
    return _STATUS_LINE.search(text) is not None


def ends_with_response(body: bytes) -> bool:
    """Return whether a body ends with the beginning of a response."""
    return has_status_line(body) or _STATUS_LINE_START.search(body) is not None


def contains_response(body: bytes, request_id: bytes) -> bool:
    """Return whether a body contains the head of a response to its request.

    The framing alone does not tell if a response without a length breaks off and
    another one follows, or if a length is completed with another response.

    Parameters
    ----------
    body : bytes
        The body, or some whole events of it.
    request_id : bytes
        The id that responses to the request name; empty for none.
    """
    if not request_id or _VERSION not in body:
        return False
    for found in _STATUS_LINE.finditer(body):
        end = body.find(_END_OF_HEAD, found.end())
        head = body[found.end() : end if end >= 0 else len(body)]
        if request_id in head:
            return True
    return False
