"""The platform's wire format: headers, orders and stored documents."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct, field, json

from samphirerill.decoding.bounds import parse_ordinal
from samphirerill.fleet.model import MS_PER_S
from samphirerill.platform import announcements, documents, wire_names
from samphirerill.platform.request_limit import parse_request_limit
from samphirerill.platform.retry_after import parse_retry_after
from samphirerill.platform.server_load import parse_server_load
from samphirerill.relay.platform_adapter import (
    RequestMetadata,
    ResponseMetadata,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        FleetConfiguration,
        LayerRange,
        Replica,
        Stage,
    )
    from samphirerill.relay.connection import Headers, ResponseHead
    from samphirerill.relay.platform_adapter import Attempt, ReplicaReport
    from samphirerill.relay.request import Request

_BEARER = 'bearer '
_MISDIRECTED = 421
_MAX_DEADLINE_MS = 3_600_000
_HIGHEST_PRIORITY = 9
# Further parts of a prompt are ignored; real ones have a dozen at most.
_MAX_PROMPT_PARTS = 32
# If one stands twice in a head, that was joined from two responses.
_SINGLE_FIELDS = frozenset(
    (wire_names.REQUEST_ID, wire_names.RESPONSE_SIGNATURE, b'content-type')
)
# Hop-by-hop headers, and headers that the router sets itself.
_NOT_FORWARDED = frozenset(
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
        wire_names.ACCOUNT,
        wire_names.DEADLINE_MS,
        wire_names.TARGET_REPLICA,
        wire_names.PATH,
        wire_names.PRIORITY,
    )
)


class _PlaceOrder(Struct, rename='camel'):
    begin: int = field(name='from')
    to: int
    expect: int
    fencing_token: int
    operation: str = 'place'
    # Stop taking new requests at once and finish those in progress.
    mode: str = 'wait'


class _RepathOrder(Struct, rename='camel'):
    id: str
    path: str
    fencing_token: int
    operation: str = 'repath'


class HttpPlatformAdapter:
    """Implements :class:`~samphirerill.relay.platform_adapter.PlatformAdapter`."""

    ready_path = wire_names.READY_PATH.encode()
    report_path = wire_names.STATUS_PATH.encode()
    order_path = wire_names.ORDER_PATH.encode()
    configuration_key = 'op/config'
    replicas_prefix = 'servers/'

    def parse_request(self, req: Request) -> RequestMetadata:
        """Return the metadata of a request; invalid values count as absent."""
        prompt, _, max_answer = (
            req.get(wire_names.TOKEN_COUNTS) or b''
        ).partition(b',')
        return RequestMetadata(
            request_id=req.get(wire_names.REQUEST_ID) or b'',
            api_key=_parse_bearer_token(req.get(b'authorization') or b''),
            deadline_s=_parse_deadline_s(
                req.get(wire_names.DEADLINE_MS) or b''
            ),
            prompt_tokens=_parse_number(prompt),
            max_answer_tokens=_parse_number(max_answer),
            expected_answer_tokens=_parse_number(
                req.get(wire_names.LENGTH_HINT) or b''
            ),
            resume_after=req.get(wire_names.RESUME_AFTER) or b'',
            prompt_parts=_parse_shared_parts(
                req.get(wire_names.PROMPT_PARTS) or b''
            ),
        )

    def build_headers(
        self, req: Request, facts: RequestMetadata, attempt: Attempt
    ) -> Headers:
        """Return the client's headers, with those that the router sets."""
        dropped = _list_connection_headers(req)
        if attempt.strips_api_key:
            dropped.add(b'authorization')
        if attempt.resume_after:
            dropped.add(wire_names.RESUME_AFTER)
        headers = [
            pair
            for pair in req.headers
            if pair[0] not in _NOT_FORWARDED and pair[0] not in dropped
        ]
        headers.append(
            (wire_names.TARGET_REPLICA, attempt.replica.replica_id.encode())
        )
        remaining_ms = max(1, int(attempt.remaining_s * MS_PER_S))
        headers.append((wire_names.DEADLINE_MS, b'%d' % remaining_ms))
        if attempt.account:
            headers.append((wire_names.ACCOUNT, attempt.account.encode()))
        if attempt.resume_after:
            headers.append((wire_names.RESUME_AFTER, attempt.resume_after))
        if attempt.stages:
            headers.append(
                (wire_names.PATH, format_path(attempt.stages).encode())
            )
        if attempt.priority is not None:
            priority = min(_HIGHEST_PRIORITY, max(0, attempt.priority))
            headers.append((wire_names.PRIORITY, b'%d' % priority))
        return headers

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of an endpoint's response."""
        encoding = (head.get(b'content-encoding') or b'identity').lower()
        is_other_replica = head.status == _MISDIRECTED
        retry_after = head.get(b'retry-after')
        request_limit = head.get(wire_names.REQUEST_LIMIT)
        server_load = head.get(wire_names.SERVER_LOAD)
        return ResponseMetadata(
            request_id=head.get(wire_names.REQUEST_ID) or b'',
            has_repeats=_count_repeats(head) > 0,
            is_signed=bool(head.get(wire_names.RESPONSE_SIGNATURE)),
            is_not_run=is_other_replica
            or head.get(wire_names.NOT_RUN) is not None,
            is_encoded=encoding != b'identity',
            failed_address=(head.get(wire_names.FAILED_REPLICA) or b'').decode(
                'latin-1'
            ),
            replica_id=(head.get(wire_names.REPLICA_ID) or b'').decode(
                'latin-1'
            ),
            is_leaving=head.get(wire_names.LEAVING) == b'1',
            retry_after=None
            if retry_after is None
            else parse_retry_after(retry_after, head.get(b'date') or b''),
            request_limit=None
            if request_limit is None
            else parse_request_limit(request_limit),
            server_load=None
            if server_load is None
            else parse_server_load(server_load),
        )

    def decode_configuration(self, text: bytes) -> FleetConfiguration:
        """Decode a stored configuration; raise ``DocumentError``."""
        return documents.decode_configuration(text)

    def decode_replica(self, replica_id: str, text: bytes) -> Replica:
        """Decode a replica's announcement; raise ``DocumentError``."""
        return announcements.decode_announcement(replica_id, text)

    def decode_report(self, text: bytes) -> ReplicaReport:
        """Decode an engine's status report; raise ``DocumentError``."""
        return announcements.decode_report(text)

    def encode_load_order(
        self, layers: LayerRange, expected_orders: int, token: int
    ) -> bytes:
        """Encode the order to hold exactly these layers."""
        return json.encode(
            _PlaceOrder(layers.first, layers.end, expected_orders, token)
        )

    def encode_reroute_order(
        self, request_id: bytes, stages: tuple[Stage, ...], token: int
    ) -> bytes:
        """Encode the order to reroute a stream to another path."""
        decoded_id = request_id.decode('latin-1')
        return json.encode(_RepathOrder(decoded_id, format_path(stages), token))


def format_path(stages: tuple[Stage, ...]) -> str:
    """Return a path in the format of the path header and of orders."""
    return ','.join(
        f'{stage.replica.address}={stage.layers.first}-{stage.layers.end}'
        for stage in stages
    )


def _list_connection_headers(req: Request) -> set[bytes]:
    """Return the hop-by-hop headers named by the Connection header."""
    listed = req.get(b'connection') or b''
    return {word.strip().lower() for word in listed.split(b',')}


def _count_repeats(head: ResponseHead) -> int:
    """Return how many fields stand twice that an endpoint sends once."""
    names = [name for name, _ in head.headers if name in _SINGLE_FIELDS]
    return len(names) - len(set(names))


def _parse_bearer_token(text: bytes) -> str:
    decoded = text.decode('latin-1')
    if not decoded.lower().startswith(_BEARER):
        return ''
    return decoded[len(_BEARER) :].strip()


def _parse_deadline_s(text: bytes) -> float:
    return min(_MAX_DEADLINE_MS, _parse_number(text)) / MS_PER_S


def _parse_shared_parts(text: bytes) -> tuple[bytes, ...]:
    """Return the ids of the parts but the last, which is the request's own."""
    entries = text.split(b',', _MAX_PROMPT_PARTS)[:-1]
    ids = (entry.partition(b':')[0].strip().lower() for entry in entries)
    return tuple(part_id for part_id in ids if part_id)


def _parse_number(text: bytes) -> float:
    return float(parse_ordinal(text.strip()) or 0)
