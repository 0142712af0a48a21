"""The fleet as typed immutable objects.

Operators' configuration and endpoint announcements arrive in the platform's
vocabulary; an adapter converts them to these classes, which all other modules
use.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from samphirerill.decoding.bounds import Count, Ordinal

MB = 1_000_000
MS_PER_S = 1000
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0


class RetryClass(enum.Enum):
    """Whether a route's requests may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class Accelerator:
    """One kind of accelerator, with factors on the engine's nominal times.

    `step_factor` multiplies the time of a decoding step, `prefill_factor` that
    of prefill.
    """

    name: str
    size_mb: float
    step_factor: float
    prefill_factor: float


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Published figures of the inference engines of one service.

    Times are in milliseconds for the whole model on a nominal accelerator; they
    scale with the share of the layers that one pass runs. A pass runs `stride`
    decoding steps, and a stream gets one event per pass. `read_per_s` is the
    prefill rate in tokens per second.
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
    """A set of interchangeable endpoints; `engine` is set if they run a model."""

    name: str
    health_path: str = '/health'
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class ServiceWeight:
    """One service of a route and its weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class FleetRoute:
    """Requests for one host and one path prefix.

    Lower values of `priority` go first. `target_s` is the time within which an
    answer (of a stream: its first event) counts as on time, `gap_s` the same
    for pauses between events.
    """

    name: str
    host: str
    prefix: str
    retry_class: RetryClass
    service_weights: tuple[ServiceWeight, ...]
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
    """A client account, identified by a bearer key.

    Under load, accounts of the same rank get capacity in proportion to `weight`.
    """

    name: str
    priority: int | None = None
    weight: float = 1.0


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Limits on the size of a request and on how long its client may take."""

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

    first: Count
    end: Count

    @property
    def count(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


NO_LAYERS = LayerRange(0, 0)


@dataclass(slots=True, frozen=True)
class Replica:
    """One process of an endpoint, as it announces itself.

    An endpoint may restart under the same `replica_id`; then it holds nothing
    of what it held before. `started_ms`, in Unix milliseconds, identifies the
    process; 0 if not announced. `layers` is what it holds now; ``None`` if it
    holds none, or if the service has no layers. `order_count` is the number of
    orders that the process had accepted.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: Count = 1
    is_leaving: bool = False
    accelerator: str = ''
    layers: LayerRange | None = None
    started_ms: Ordinal = 0
    order_count: Ordinal = 0

    def is_different_process(self, started_ms: int) -> bool:
        """Return whether a start time belongs to another process than this."""
        return bool(started_ms and self.started_ms not in (0, started_ms))

    @property
    def held(self) -> LayerRange:
        """Return the layers it holds; an empty range for none."""
        return self.layers or NO_LAYERS


@dataclass(slots=True, frozen=True)
class Stage:
    """The layers of a path that one replica runs."""

    replica: Replica
    layers: LayerRange


def count_tokens(
    engine: EngineSpec, accelerator: Accelerator, layers: int
) -> float:
    """Return how many tokens fit in memory beside so many layers.

    The memory that the layers leave free holds the keys and values of the
    tokens for these layers.
    """
    if layers <= 0 or engine.token_bytes <= 0:
        return 0.0
    free_mb = accelerator.size_mb - layers * engine.layer_mb
    token_mb = layers * engine.token_bytes / engine.layers / MB
    return max(0.0, free_mb / token_mb)


def format_layers(layers: LayerRange | None) -> str:
    """Return a range as it appears in logs."""
    return 'none' if layers is None else f'{layers.first}-{layers.end}'
