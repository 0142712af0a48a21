"""The operators' configuration, decoded into the project's types.

Every document is checked while it is decoded; one that is not what the pages
say raises :class:`~samphirerill.relay.dialect.DocumentError`. Unknown fields are ignored.
"""

from __future__ import annotations

from typing import Any

from msgspec import DecodeError, Struct, ValidationError, field, json

from samphirerill.fleet.model import (
    MS_PER_S,
    Accelerator,
    ClientAccount,
    ClientLimits,
    EngineSpec,
    FleetConfiguration,
    FleetRoute,
    Repeat,
    Service,
    Share,
)
from samphirerill.relay.dialect import DocumentError

_MOST_SHOWN = 80
_REPEATS = {
    'idempotent': Repeat.IDEMPOTENT,
    'non_idempotent': Repeat.NON_IDEMPOTENT,
    'streaming': Repeat.STREAM,
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
    # The aim for an answer, not a promise to anybody.
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


class _Usual(Struct):
    prompt: float = 512
    answer: float = 128


class _Kind(Struct, rename='camel'):
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
    usual: _Usual = field(default_factory=_Usual)
    layers: int = 0
    layer_mb: float = field(default=0, name='layerMb')
    kv_token_bytes: float = field(default=0, name='kvTokenBytes')
    activation_bytes: float = field(default=0, name='activationBytes')
    pipe_mbps: float = field(default=0, name='pipeMbps')
    models: list[_Model] = []
    kinds: list[_Kind] = []


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


class _Config(Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = field(default_factory=_Limits)
    # Accounts, with the keys that name them; absent means no keys at all.
    tenants: list[_Account] | None = None


_CONFIG = json.Decoder(_Config)


def decode_configuration(text: bytes) -> FleetConfiguration:
    """Return the configuration that a stored document holds."""
    found: _Config = decode_document(_CONFIG, text)
    accounts = {
        key: ClientAccount(account.name, account.priority)
        for account in found.tenants or ()
        for key in account.api_keys
    }
    return FleetConfiguration(
        version=found.version,
        routes=tuple(_build_route(route) for route in found.routes),
        services={spec.name: _build_service(spec) for spec in found.services},
        accounts=accounts,
        needs_keys=found.tenants is not None,
        limits=ClientLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_ms / MS_PER_S,
            found.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_document(decoder: Any, text: bytes) -> Any:
    """Return what a decoder reads; raise ``DocumentError`` if it can't."""
    try:
        return decoder.decode(text)
    except (DecodeError, ValidationError) as exc:
        raise DocumentError(f'{exc}; got {text[:_MOST_SHOWN]!r}') from exc


def _build_route(found: _Route) -> FleetRoute:
    repeat = _REPEATS.get(found.kind, Repeat.NON_IDEMPOTENT)
    shares = [Share(part.service, part.weight) for part in found.traffic_split]
    if not shares:
        shares = [Share(found.service, 1)]
    return FleetRoute(
        name=found.name,
        host=found.host.lower(),
        prefix=found.prefix,
        repeat=repeat,
        shares=tuple(shares),
        timeout_s=found.timeout_ms / MS_PER_S,
        target_s=found.slo_ms / MS_PER_S,
        gap_s=found.gap_target_ms / MS_PER_S,
        priority=found.priority,
        max_attempts=max(1, found.max_attempts),
        is_public=found.public,
        is_resumable=found.resumable,
        is_streaming=repeat is Repeat.STREAM,
    )


def _build_service(found: _Service) -> Service:
    engine = None
    if found.engine is not None:
        engine = _build_engine(found.engine)
    return Service(found.name, found.health_path, found.max_connections, engine)


def _build_engine(found: _Engine) -> EngineSpec:
    kinds = {
        kind.name: Accelerator(
            kind.name, kind.size_mb, kind.pace, kind.read_factor
        )
        for kind in found.kinds
    }
    return EngineSpec(
        slots=found.slots,
        stride=found.stride,
        step_ms=found.step_ms,
        per_seq_ms=found.per_seq_ms,
        context_per_k_ms=found.context_per_k,
        read_per_s=found.read_per_s,
        chunk=found.chunk,
        layers=found.layers,
        layer_mb=found.layer_mb,
        token_bytes=found.kv_token_bytes,
        activation_bytes=found.activation_bytes,
        pipe_mbps=found.pipe_mbps,
        load_s=max((model.load_s for model in found.models), default=0),
        loads_at_once=found.loads_at_once,
        usual_prompt=found.usual.prompt,
        usual_answer=found.usual.answer,
        accelerators=kinds,
    )
