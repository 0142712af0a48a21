"""Read an endpoint's answer to one send, and know what it means."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.relay.connection import Head, Part, Whole
from samphirerill.relay.errors import BrokenAnswerError

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers, HttpConnection
    from samphirerill.relay.dialect import AnswerFacts, Dialect

_SUCCESS = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# Headers of an answer that concern one connection only, or its framing.
_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)
_MOST_FOREIGN = 8


async def read_head(
    conn: HttpConnection, dialect: Dialect, request_id: bytes, deadline: float
) -> tuple[Head, AnswerFacts]:
    """Return the head of the answer to this request.

    Answers to other requests may come first on a kept connection; their id
    tells them, and they are dropped.
    """
    for _ in range(_MOST_FOREIGN):
        head = await conn.read(deadline)
        if not isinstance(head, Head):
            raise BrokenAnswerError('got a body, expected a head')
        facts = dialect.read_answer(head)
        if not _is_foreign(facts, request_id):
            check_success(head, facts)
            return head, facts
        conn.is_reusable = False
        await skip_body(conn, deadline)
        conn.expect_another()
    raise BrokenAnswerError('got too many answers to other requests')


async def skip_body(conn: HttpConnection, deadline: float) -> None:
    """Read an answer to its end."""
    await read_body(conn, deadline)


async def read_body(conn: HttpConnection, deadline: float) -> bytes:
    """Return the rest of an answer."""
    chunks: list[bytes] = []
    while True:
        part = await conn.read(deadline)
        if isinstance(part, Whole):
            return b''.join(chunks)
        if isinstance(part, Part):
            chunks.append(part.body)


def check_success(head: Head, facts: AnswerFacts) -> None:
    """Refuse a success that bears no signature or is not the own body."""
    if head.status not in _SUCCESS:
        return
    if not facts.is_signed:
        raise BrokenAnswerError('got a success without a signature')
    if facts.is_encoded:
        raise BrokenAnswerError('got an encoded body')


def is_success(status: int) -> bool:
    """Return whether a status is a success."""
    return status in _SUCCESS


def filter_headers(head: Head) -> Headers:
    """Return the headers that are passed on."""
    return [pair for pair in head.headers if pair[0] not in _HOP]


def _is_foreign(facts: AnswerFacts, request_id: bytes) -> bool:
    if facts.request_id:
        return facts.request_id != request_id
    # Only a refusal may come without an id; anything else is not ours.
    return not facts.is_not_run
