"""A scenario: a fleet, its traffic, and what goes wrong."""

from __future__ import annotations

from msgspec import Struct, ValidationError, convert

from samphirerill.fleet.model import Accelerator, EngineSpec, LayerRange
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.worth import Aims
from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.jsonc import read_commented


class Kind(Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of accelerator, as the platform states it."""

    size_mb: float
    pace: float
    read_factor: float


class Engine(Struct, frozen=True, forbid_unknown_fields=True):
    """The engines' figures; names and units as in `EngineSpec`."""

    slots: int
    stride: int
    step_ms: float
    per_seq_ms: float
    context_per_k_ms: float
    read_per_s: float
    chunk: int
    layers: int
    layer_mb: float
    token_bytes: float
    activation_bytes: float
    pipe_mbps: float
    load_s: float
    loads_at_once: int
    usual_prompt: float
    usual_answer: float
    kinds: dict[str, Kind]


class Traffic(Struct, frozen=True, forbid_unknown_fields=True):
    """Streams a second; means of tokens and events; what is on time."""

    per_s: float
    prompt: float
    events: float
    most_prompt: float = 4000
    most_events: float = 400
    first_aim_ms: float = 500
    pause_aim_ms: float = 200


class Crash(Struct, frozen=True, forbid_unknown_fields=True):
    """A replica ends at a second and is back later; never, if `for_s` is 0."""

    at: float
    replica: str
    for_s: float = 0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Everything one run needs.

    `zones` counts the replicas of each kind in each data centre; they are named
    ``ZONE-KIND-NUMBER``. `placement` gives some of them their first layers,
    ``[FIRST, END]``; without it they are planned. `policy` switches mechanisms
    off.
    """

    engine: Engine
    zones: dict[str, dict[str, int]]
    traffic: Traffic
    length_s: float = 30
    crashes: list[Crash] = []
    placement: dict[str, tuple[int, int]] | None = None
    policy: Policy = Policy()

    def build_engine(self) -> EngineSpec:
        """Return the figures as the product's code takes them."""
        figures = {
            name: getattr(self.engine, name)
            for name in Engine.__struct_fields__
            if name != 'kinds'
        }
        accelerators = {
            name: Accelerator(name, kind.size_mb, kind.pace, kind.read_factor)
            for name, kind in self.engine.kinds.items()
        }
        return EngineSpec(accelerators=accelerators, **figures)

    def build_aims(self) -> Aims:
        """Return what plans are made for."""
        return Aims(self.traffic.pause_aim_ms, policy=self.policy)

    def list_placement(self) -> dict[str, LayerRange] | None:
        """Return the first layers, if they are given."""
        if self.placement is None:
            return None
        return {
            name: LayerRange(*layers) for name, layers in self.placement.items()
        }


def load_scenario(path: str) -> Scenario:
    """Read and check a scenario, JSON with comments.

    Raises
    ------
    InvalidDocumentError
        The file can't be read, or a value is not what it should be.
    """
    parsed = read_commented(path)
    try:
        return convert(parsed.document, Scenario)
    except ValidationError as exc:
        raise InvalidDocumentError(path, [Finding('', 1, str(exc))]) from exc
