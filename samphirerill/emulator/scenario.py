"""Scenario files: a fleet, its traffic, and what happens to replicas."""

from __future__ import annotations

from msgspec import Struct, ValidationError, convert

from samphirerill.fleet.goodput import PlanTargets
from samphirerill.fleet.model import Accelerator, EngineSpec, LayerRange
from samphirerill.fleet.policy import Policy
from samphirerill.settings.errors import Finding, InvalidDocumentError
from samphirerill.settings.jsonc import read_jsonc


class AcceleratorFigures(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of a type of accelerator, as the platform publishes them."""

    size_mb: float
    pace: float
    read_factor: float


class EngineFigures(Struct, frozen=True, forbid_unknown_fields=True):
    """Figures of the engines; names and units as in `EngineSpec`."""

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
    kinds: dict[str, AcceleratorFigures]


class Traffic(Struct, frozen=True, forbid_unknown_fields=True):
    """Arrival rate and lengths of streams, and when a stream is on time.

    `per_s` is the mean number of new streams per second. `prompt` (tokens) and
    `events` are the means of exponential distributions that are cut off at
    `most_prompt` and `most_events`. A stream is on time if its first event
    comes within `first_aim_ms` and no gap between two events is longer than
    `pause_aim_ms`.
    """

    per_s: float
    prompt: float
    events: float
    most_prompt: float = 4000
    most_events: float = 400
    first_aim_ms: float = 500
    pause_aim_ms: float = 200


class Crash(Struct, frozen=True, forbid_unknown_fields=True):
    """Crash of a replica, `at` in seconds; with `for_s` 0 it never restarts."""

    at: float
    replica: str
    for_s: float = 0


class BackOff(Struct, frozen=True, forbid_unknown_fields=True):
    """Time, `at` in seconds, in which a replica asks to be left alone.

    It refuses a `share` of the streams that are sent to it as the first stage,
    with the rest of that time as the back-off that it asks for.
    """

    at: float
    replica: str
    for_s: float
    share: float = 1


class Departure(Struct, frozen=True, forbid_unknown_fields=True):
    """Planned end of a replica, `serves_s` seconds after `at`.

    From `at` on it says in its responses that it is leaving. Its announcement
    says so after `announced_after_s`, or never if that is null.
    """

    at: float
    replica: str
    serves_s: float = 5
    announced_after_s: float | None = 0


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Input of one run.

    `zones` maps each data centre to its number of replicas by type of
    accelerator; the replicas are named ``DATA_CENTRE-KIND-NUMBER``. `placement`
    maps replicas to their initial layers ``[FIRST, END]``; without it the
    planner places them. `policy` disables single mechanisms.
    """

    engine: EngineFigures
    zones: dict[str, dict[str, int]]
    traffic: Traffic
    length_s: float = 30
    crashes: list[Crash] = []
    back_offs: list[BackOff] = []
    departures: list[Departure] = []
    placement: dict[str, tuple[int, int]] | None = None
    policy: Policy = Policy()

    def build_engine(self) -> EngineSpec:
        """Return the engine figures in the form that the planner takes."""
        figures = {
            name: getattr(self.engine, name)
            for name in EngineFigures.__struct_fields__
            if name != 'kinds'
        }
        accelerators = {
            name: Accelerator(name, kind.size_mb, kind.pace, kind.read_factor)
            for name, kind in self.engine.kinds.items()
        }
        return EngineSpec(accelerators=accelerators, **figures)

    def build_plan_targets(self) -> PlanTargets:
        """Return the targets of the planner."""
        return PlanTargets(self.traffic.pause_aim_ms, policy=self.policy)

    def build_placement(self) -> dict[str, LayerRange] | None:
        """Return the initial layers by replica, or None if they are planned."""
        if self.placement is None:
            return None
        return {
            name: LayerRange(*layers) for name, layers in self.placement.items()
        }


def load_scenario(path: str) -> Scenario:
    """Read and validate a scenario file (JSON with comments).

    Raises
    ------
    InvalidDocumentError
        The file can't be parsed, or a value has the wrong type.
    """
    parsed = read_jsonc(path)
    try:
        return convert(parsed.document, Scenario)
    except ValidationError as exc:
        raise InvalidDocumentError(path, [Finding('', 1, str(exc))]) from exc
