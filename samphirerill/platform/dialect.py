"""The platform's words as the edge needs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field, json

from samphirerill.fleet.model import MS_PER_S
from samphirerill.platform import documents
from samphirerill.platform.words import (
    ACCOUNT,
    AT_FAULT,
    DEADLINE_MS,
    EXPECTED_REPLICA,
    LENGTH_HINT,
    LOAD,
    NOT_RUN,
    ORDER_PATH,
    PATH,
    PRIORITY,
    READY_PATH,
    REPORT_PATH,
    REQUEST_ID,
    RESUME_AFTER,
    SEAL,
    TOKENS,
)
from samphirerill.relay.dialect import AnswerFacts, RequestFacts

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        FleetConfiguration,
        LayerRange,
        Replica,
        Stage,
    )
    from samphirerill.relay.connection import Head, Headers
    from samphirerill.relay.dialect import Attempt, ReplicaReport
    from samphirerill.relay.server import Request

_BEARER = 'bearer '
_MISDIRECTED = 421
_MOST_DEADLINE_MS = 3_600_000
_HIGHEST_PRIORITY = 9
# Headers that concern one connection only, or that this system sets itself.
_OWN = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
        ACCOUNT,
        DEADLINE_MS,
        EXPECTED_REPLICA,
        PATH,
        PRIORITY,
    )
)


class _Place(Struct, rename='camel'):
    begin: int = field(name='from')
    to: int
    expect: int
    fencing_token: int
    operation: str = 'place'
    # New requests stop at once; those under way end first.
    mode: str = 'wait'


class _Repath(Struct, rename='camel'):
    id: str
    path: str
    fencing_token: int
    operation: str = 'repath'


class PlatformDialect:
    """Implements :class:`~samphirerill.relay.dialect.Dialect`."""

    ready_path = READY_PATH.encode()
    report_path = REPORT_PATH.encode()
    order_path = ORDER_PATH.encode()
    configuration_key = 'op/config'
    replicas_prefix = 'servers/'

    def read_request(self, req: Request) -> RequestFacts:
        """Return what a request says of itself; nonsense counts as unsaid."""
        facts = RequestFacts()
        for name, text in req.headers:
            if name == REQUEST_ID:
                facts.request_id = text
            elif name == DEADLINE_MS:
                facts.deadline_s = _read_deadline_s(text)
            elif name == b'authorization':
                facts.api_key = _read_key(text)
            elif name == TOKENS:
                prompt, _, most = text.partition(b',')
                facts.prompt_tokens = _read_number(prompt)
                facts.most_tokens = _read_number(most)
            elif name == LENGTH_HINT:
                facts.hinted_tokens = _read_number(text)
            elif name == RESUME_AFTER:
                facts.resume_after = text
        return facts

    def build_headers(
        self, req: Request, facts: RequestFacts, attempt: Attempt
    ) -> Headers:
        """Return the client's headers with what this system says itself."""
        dropped = _list_named(req)
        if attempt.account:
            # The key is the client's own; endpoints get the account's name.
            dropped.add(b'authorization')
        if attempt.resume_after:
            dropped.add(RESUME_AFTER)
        headers = [
            pair
            for pair in req.headers
            if pair[0] not in _OWN and pair[0] not in dropped
        ]
        headers.append((EXPECTED_REPLICA, attempt.replica.replica_id.encode()))
        left_ms = max(1, int(attempt.left_s * MS_PER_S))
        headers.append((DEADLINE_MS, b'%d' % left_ms))
        if attempt.account:
            headers.append((ACCOUNT, attempt.account.encode()))
        if attempt.resume_after:
            headers.append((RESUME_AFTER, attempt.resume_after))
        if attempt.stages:
            headers.append((PATH, format_path(attempt.stages).encode()))
        if attempt.priority is not None:
            rank = min(_HIGHEST_PRIORITY, max(0, attempt.priority))
            headers.append((PRIORITY, b'%d' % rank))
        return headers

    def read_answer(self, head: Head) -> AnswerFacts:
        """Return what an endpoint's answer says of itself."""
        facts = AnswerFacts()
        facts.is_other_replica = head.status == _MISDIRECTED
        facts.is_not_run = facts.is_other_replica
        for name, text in head.headers:
            if name == REQUEST_ID:
                facts.request_id = text
            elif name == SEAL:
                facts.is_signed = bool(text)
            elif name == NOT_RUN:
                facts.is_not_run = True
            elif name == b'content-encoding':
                facts.is_encoded = text.lower() != b'identity'
            elif name == AT_FAULT:
                facts.at_fault = text.decode('latin-1')
            elif name == LOAD:
                _read_load(text, facts)
        return facts

    def decode_configuration(self, text: bytes) -> FleetConfiguration:
        """Return the configuration in a stored text."""
        return documents.decode_configuration(text)

    def decode_replica(self, replica_id: str, text: bytes) -> Replica:
        """Return the replica announced in a stored text."""
        return documents.decode_replica(replica_id, text)

    def decode_report(self, text: bytes) -> ReplicaReport:
        """Return an engine's report."""
        return documents.decode_report(text)

    def encode_place(
        self, layers: LayerRange, expected_orders: int, token: int
    ) -> bytes:
        """Return the order to hold these layers and no others."""
        return json.encode(
            _Place(layers.first, layers.end, expected_orders, token)
        )

    def encode_repath(
        self, request_id: bytes, stages: tuple[Stage, ...], token: int
    ) -> bytes:
        """Return the order to move a stream onto another path."""
        name = request_id.decode('latin-1')
        return json.encode(_Repath(name, format_path(stages), token))


def format_path(stages: tuple[Stage, ...]) -> str:
    """Return a path as the engines read it."""
    return ','.join(
        f'{stage.replica.address}={stage.layers.first}-{stage.layers.end}'
        for stage in stages
    )


def _list_named(req: Request) -> set[bytes]:
    """Return the headers that the Connection header names."""
    named = req.get(b'connection') or b''
    return {word.strip().lower() for word in named.split(b',')}


def _read_key(text: bytes) -> str:
    decoded = text.decode('latin-1')
    if not decoded.lower().startswith(_BEARER):
        return ''
    return decoded[len(_BEARER) :].strip()


def _read_deadline_s(text: bytes) -> float:
    return min(_MOST_DEADLINE_MS, _read_number(text)) / MS_PER_S


def _read_number(text: bytes) -> float:
    stripped = text.strip()
    return float(stripped) if stripped.isdigit() else 0.0


def _read_load(text: bytes, facts: AnswerFacts) -> None:
    words = text.split(b',')
    if len(words) >= 2 and words[0].strip().isdigit():
        facts.running = int(_read_number(words[0]))
        facts.waiting = int(_read_number(words[1]))
