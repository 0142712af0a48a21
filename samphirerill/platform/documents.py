"""Decode the operators' configuration into the project's types.

Documents are validated while they are decoded; an invalid one raises
:class:`~samphirerill.relay.platform_adapter.DocumentError`. Unknown fields are
ignored.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

from msgspec import DecodeError, Meta, Struct, field

from samphirerill.decoding.bounds import (
    Amount,
    Count,
    ExactInt,
    Name,
    Ordinal,
)
from samphirerill.decoding.decoders import Decoder, build_json_decoder
from samphirerill.fleet.model import (
    MS_PER_S,
    Accelerator,
    ClientAccount,
    ClientLimits,
    EngineSpec,
    FleetConfiguration,
    FleetRoute,
    RetryClass,
    Service,
    ServiceWeight,
)
from samphirerill.relay.platform_adapter import DocumentError

if TYPE_CHECKING:
    from collections.abc import Iterable

Document = TypeVar('Document')
_MAX_QUOTED_BYTES = 80
_RETRY_CLASS_BY_KIND = {
    'idempotent': RetryClass.IDEMPOTENT,
    'non_idempotent': RetryClass.NON_IDEMPOTENT,
    'streaming': RetryClass.STREAM,
}
_MAX_AMOUNT = 1e15
_Signed = Annotated[float, Meta(ge=-_MAX_AMOUNT, le=_MAX_AMOUNT)]
_Divisor = Annotated[float, Meta(gt=0, le=_MAX_AMOUNT)]


class _Split(Struct):
    service: str
    weight: _Signed = 1


class _Route(Struct, rename='camel'):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: Amount = 30_000
    # The target latency; not a deadline.
    slo_ms: Amount = 1000
    priority: ExactInt = 5
    service: str = ''
    traffic_split: list[_Split] = []
    max_attempts: ExactInt = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: Amount = 0


class _Model(Struct, rename='camel'):
    load_s: Amount = 0


class _TypicalRequest(Struct):
    prompt: Amount = 512
    answer: Amount = 128


class _AcceleratorKind(Struct, rename='camel'):
    name: str
    size_mb: Amount
    pace: Amount = 1
    read_factor: Amount = 1


class _Engine(Struct):
    slots: Count = 1
    stride: Count = 1
    step_ms: Amount = 1
    per_seq_ms: Amount = 0
    context_per_k: Amount = 0
    read_per_s: _Divisor = 100_000
    chunk: Ordinal = 512
    loads_at_once: Count = 0
    usual: _TypicalRequest = field(default_factory=_TypicalRequest)
    layers: Count = 0
    layer_mb: Amount = field(default=0, name='layerMb')
    kv_token_bytes: Amount = field(default=0, name='kvTokenBytes')
    activation_bytes: Amount = field(default=0, name='activationBytes')
    pipe_mbps: Amount = field(default=0, name='pipeMbps')
    models: list[_Model] = []
    kinds: list[_AcceleratorKind] = []


class _Service(Struct, rename='camel'):
    name: str
    health_path: str = '/health'
    max_connections: ExactInt = 0
    engine: _Engine | None = None


class _Limits(Struct, rename='camel'):
    max_header_bytes: Ordinal = 16_384
    max_body_bytes: Ordinal = 4_194_304
    header_timeout_ms: Amount = 3000
    idle_timeout_ms: Amount = 15_000


class _Account(Struct, rename='camel'):
    name: Name
    api_keys: list[str] = []
    priority: ExactInt | None = None
    weight: _Divisor = 1


class _Config(Struct):
    version: Ordinal
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    # Client accounts with their API keys; if absent, no keys are required.
    tenants: list[_Account] | None = None


_CONFIG = build_json_decoder(_Config)


def decode_configuration(text: bytes) -> FleetConfiguration:
    """Decode a stored configuration; raise ``DocumentError``."""
    document = decode_document(_CONFIG, text)
    _check_accounts(document.tenants or ())
    accounts = {
        key: ClientAccount(account.name, account.priority, account.weight)
        for account in document.tenants or ()
        for key in account.api_keys
    }
    return FleetConfiguration(
        version=document.version,
        routes=tuple(_build_route(route) for route in document.routes),
        services={
            spec.name: _build_service(spec) for spec in document.services
        },
        accounts=accounts,
        needs_keys=document.tenants is not None,
        limits=ClientLimits(
            document.limits.max_header_bytes,
            document.limits.max_body_bytes,
            document.limits.header_timeout_ms / MS_PER_S,
            document.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_document(decoder: Decoder[Document], text: bytes) -> Document:
    """Decode a document; raise ``DocumentError`` if it is invalid."""
    try:
        return decoder.decode(text)
    except DecodeError as exc:
        raise DocumentError(f'{exc}; got {text[:_MAX_QUOTED_BYTES]!r}') from exc


def _check_accounts(accounts: Iterable[_Account]) -> None:
    """Check that names of accounts can be sent in a header."""
    for account in accounts:
        if not account.name.isprintable():
            raise DocumentError(
                f'got the account name {account.name!r}, expected printable '
                'characters'
            )


def _build_route(document: _Route) -> FleetRoute:
    retry_class = _RETRY_CLASS_BY_KIND.get(
        document.kind, RetryClass.NON_IDEMPOTENT
    )
    weights = [
        ServiceWeight(part.service, part.weight)
        for part in document.traffic_split
    ]
    if not weights:
        weights = [ServiceWeight(document.service, 1)]
    return FleetRoute(
        name=document.name,
        host=document.host.lower(),
        prefix=document.prefix,
        retry_class=retry_class,
        service_weights=tuple(weights),
        timeout_s=document.timeout_ms / MS_PER_S,
        target_s=document.slo_ms / MS_PER_S,
        gap_s=document.gap_target_ms / MS_PER_S,
        priority=document.priority,
        max_attempts=max(1, document.max_attempts),
        is_public=document.public,
        is_resumable=document.resumable,
        is_streaming=retry_class is RetryClass.STREAM,
    )


def _build_service(document: _Service) -> Service:
    engine = None
    if document.engine is not None:
        engine = _build_engine(document.engine)
    return Service(
        document.name, document.health_path, document.max_connections, engine
    )


def _build_engine(document: _Engine) -> EngineSpec:
    kinds = {
        kind.name: Accelerator(
            kind.name, kind.size_mb, kind.pace, kind.read_factor
        )
        for kind in document.kinds
    }
    return EngineSpec(
        slots=document.slots,
        stride=document.stride,
        step_ms=document.step_ms,
        per_seq_ms=document.per_seq_ms,
        context_per_k_ms=document.context_per_k,
        read_per_s=document.read_per_s,
        chunk=document.chunk,
        layers=document.layers,
        layer_mb=document.layer_mb,
        token_bytes=document.kv_token_bytes,
        activation_bytes=document.activation_bytes,
        pipe_mbps=document.pipe_mbps,
        load_s=max((model.load_s for model in document.models), default=0),
        loads_at_once=document.loads_at_once,
        usual_prompt=document.usual.prompt,
        usual_answer=document.usual.answer,
        accelerators=kinds,
    )
