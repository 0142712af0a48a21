"""Decode the operators' configuration into the project's types.

Documents are validated while they are decoded; an invalid one raises
:class:`~samphirerill.relay.platform_adapter.DocumentError`. Unknown fields are
ignored.
"""

from __future__ import annotations

from typing import Annotated, Any

from msgspec import DecodeError, Meta, Struct, ValidationError, field, json

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

_MAX_QUOTED_BYTES = 80
_RETRY_CLASS_BY_KIND = {
    'idempotent': RetryClass.IDEMPOTENT,
    'non_idempotent': RetryClass.NON_IDEMPOTENT,
    'streaming': RetryClass.STREAM,
}


class _Split(Struct):
    service: str
    weight: float = 1


class _Route(Struct, rename='camel'):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = 30_000
    # The target latency; not a deadline.
    slo_ms: float = 1000
    priority: int = 5
    service: str = ''
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_target_ms: float = 0


class _Model(Struct, rename='camel'):
    load_s: float = 0


class _TypicalRequest(Struct):
    prompt: float = 512
    answer: float = 128


class _AcceleratorKind(Struct, rename='camel'):
    name: str
    size_mb: float
    pace: float = 1
    read_factor: float = 1


class _Engine(Struct):
    slots: int = 1
    stride: int = 1
    step_ms: float = 1
    per_seq_ms: float = 0
    context_per_k: float = 0
    read_per_s: float = 100_000
    chunk: int = 512
    loads_at_once: int = 0
    usual: _TypicalRequest = field(default_factory=_TypicalRequest)
    layers: int = 0
    layer_mb: float = field(default=0, name='layerMb')
    kv_token_bytes: float = field(default=0, name='kvTokenBytes')
    activation_bytes: float = field(default=0, name='activationBytes')
    pipe_mbps: float = field(default=0, name='pipeMbps')
    models: list[_Model] = []
    kinds: list[_AcceleratorKind] = []


class _Service(Struct, rename='camel'):
    name: str
    health_path: str = '/health'
    max_connections: int = 0
    engine: _Engine | None = None


class _Limits(Struct, rename='camel'):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Account(Struct, rename='camel'):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    weight: Annotated[float, Meta(gt=0)] = 1


class _Config(Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    # Client accounts with their API keys; if absent, no keys are required.
    tenants: list[_Account] | None = None


_CONFIG = json.Decoder(_Config)


def decode_configuration(text: bytes) -> FleetConfiguration:
    """Decode a stored configuration; raise ``DocumentError``."""
    document: _Config = decode_document(_CONFIG, text)
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


def decode_document(decoder: Any, text: bytes) -> Any:
    """Decode a document; raise ``DocumentError`` if it is invalid."""
    try:
        return decoder.decode(text)
    except (DecodeError, ValidationError) as exc:
        raise DocumentError(f'{exc}; got {text[:_MAX_QUOTED_BYTES]!r}') from exc


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
