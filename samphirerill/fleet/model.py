"""What a node knows of the fleet, as typed immutable objects.

Operators' configuration and the endpoints' own announcements arrive in some
platform's words; an adapter turns them into these classes. The rest of the
code reads only these.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

MB = 1_000_000
MS_PER_S = 1000
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0


class Repeat(enum.Enum):
    """Whether a request of a route may run more than once."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class Accelerator:
    """One kind of accelerator; `pace` and `read_factor` scale its times.

    `pace` multiplies the time of a step, `read_factor` that of reading
    prompts; 1.0 is the engine's nominal time for all layers.
    """

    name: str
    size_mb: float
    pace: float
    read_factor: float


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """How the engines of one service compute, as their operators state it.

    Times are in milliseconds for the whole model on a nominal accelerator;
    they scale with the share of the layers that one pass runs.
    """

    slots: int = 1
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k_ms: float = 0.0
    read_per_s: float = 100_000.0
    chunk: int = 512
    layers: int = 0
    layer_mb: float = 0.0
    token_bytes: float = 0.0
    activation_bytes: float = 0.0
    pipe_mbps: float = 0.0
    load_s: float = 0.0
    loads_at_once: int = 0
    usual_prompt: float = 512.0
    usual_answer: float = 128.0
    accelerators: dict[str, Accelerator] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Service:
    """A set of interchangeable endpoints; `engine` if they run a model."""

    name: str
    health_path: str = '/health'
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class Share:
    """One service of a route and its weight among the others."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class FleetRoute:
    """Requests of one host below one path prefix.

    `priority` ranks, 0 first. `target_s` is the time within which an answer
    (of a stream: its first event) is on time, `gap_s` the same for pauses.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout_s: float = 30.0
    target_s: float = 1.0
    gap_s: float = 0.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    is_streaming: bool = False


@dataclass(slots=True, frozen=True)
class ClientAccount:
    """A client account as a bearer key names it."""

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take."""

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(slots=True, frozen=True)
class FleetConfiguration:
    """One accepted version of routes, services and client accounts."""

    version: int
    routes: tuple[FleetRoute, ...]
    services: dict[str, Service]
    accounts: dict[str, ClientAccount]
    needs_keys: bool
    limits: ClientLimits


@dataclass(slots=True, frozen=True)
class LayerRange:
    """Layers ``first`` up to but not including ``end``."""

    first: int
    end: int

    @property
    def count(self) -> int:
        """Return how many layers this is."""
        return self.end - self.first


NO_LAYERS = LayerRange(0, 0)


@dataclass(slots=True, frozen=True)
class Replica:
    """One start of an endpoint as it announces itself.

    An endpoint may start again under the same `replica_id`; then it holds
    nothing of before. `started_ms` tells starts apart, in Unix milliseconds; 0
    if it says nothing of it. `layers` is what it holds now; ``None`` means
    none, or that the service has no layers.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: int = 1
    is_leaving: bool = False
    accelerator: str = ''
    layers: LayerRange | None = None
    started_ms: int = 0

    def is_other_start(self, started_ms: int) -> bool:
        """Return whether something was said by another start than this."""
        return bool(started_ms and self.started_ms not in (0, started_ms))

    @property
    def held(self) -> LayerRange:
        """Return the layers it holds; an empty range for none."""
        return self.layers or NO_LAYERS


@dataclass(slots=True, frozen=True)
class Stage:
    """One replica's part of a path."""

    replica: Replica
    layers: LayerRange


def count_tokens(
    engine: EngineSpec, accelerator: Accelerator, layers: int
) -> float:
    """Return the tokens that fit beside so many layers.

    Source: the engines' published memory model, what the layers leave of the
    accelerator's memory holds the tokens' keys and values of these layers.
    """
    if layers <= 0 or engine.token_bytes <= 0:
        return 0.0
    free_mb = accelerator.size_mb - layers * engine.layer_mb
    token_mb = layers * engine.token_bytes / engine.layers / MB
    return max(0.0, free_mb / token_mb)


def format_layers(layers: LayerRange | None) -> str:
    """Return a range as logs show it."""
    return 'none' if layers is None else f'{layers.first}-{layers.end}'
