"""The operators' configuration as typed, immutable objects.

Operators patch a plain JSON document (see
:mod:`samphirerill.settings.schema`). ``build_configuration`` converts a
checked document into the classes below; the rest of the code reads only these.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

BuiltT = TypeVar('BuiltT')

HIGH = 'high'
NORMAL = 'normal'
ENGINE = 'engine'
SERVICE = 'service'
MODEL_ROUTE = 'model'
SERVICE_ROUTE = 'service'
DEFAULT_LINK_MS = 1.0


@dataclass(slots=True, frozen=True)
class Model:
    """One language model; its layers are numbered from 0."""

    name: str
    layers: int


@dataclass(slots=True, frozen=True)
class DesiredState:
    """What operators want an engine to have loaded, and its role."""

    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One engine or plain service that requests are sent to.

    `first` and `last` are the inclusive range of layers that an engine holds.
    `layer_ms` is the time one layer takes for one step of a batch.
    """

    name: str
    kind: str
    address: str
    data_centre: str
    model: str = ''
    first: int = 0
    last: int = -1
    slots: int = 1
    layer_ms: float = 0.1
    accelerator: str = ''
    checks_fencing: bool = False
    desired: DesiredState | None = None


@dataclass(slots=True, frozen=True)
class Route:
    """A named route to a model's pipelines or to plain services."""

    name: str
    kind: str
    model: str = ''
    endpoints: tuple[str, ...] = ()
    priority: str = NORMAL
    idempotent: bool = True
    timeout_s: float = 120.0
    queue_timeout_s: float = 10.0


@dataclass(slots=True, frozen=True)
class Account:
    """One client account; `keys` are SHA-256 digests of its bearer keys."""

    name: str
    keys: tuple[str, ...]
    routes: tuple[str, ...]
    weight: float = 1.0
    max_concurrent: int = 0
    priority: str = ''


@dataclass(slots=True, frozen=True)
class Limits:
    """Timeouts and limits that apply to every request."""

    progress_timeout_s: float = 0.5
    answer_timeout_s: float = 0.8
    first_token_timeout_s: float = 3.0
    service_timeout_s: float = 30.0
    max_attempts: int = 4
    retry_ratio: float = 0.2
    retry_burst: float = 50.0
    max_queue: int = 10_000
    loads_at_once: int = 2


@dataclass(slots=True)
class Configuration:
    """One accepted version of the operators' configuration."""

    version: int
    models: dict[str, Model] = field(default_factory=dict)
    endpoints: dict[str, Endpoint] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    accounts: dict[str, Account] = field(default_factory=dict)
    links: dict[tuple[str, str], float] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)

    def link_ms(self, source: str, target: str) -> float:
        """Return the configured one-way latency between data centres."""
        if source == target:
            return self.links.get((source, target), 0)
        return self.links.get((source, target), DEFAULT_LINK_MS)


def choose_priority(route: Route, account: Account) -> str:
    """Return a request's priority: the account's takes precedence."""
    return HIGH if (account.priority or route.priority) == HIGH else NORMAL


def build_configuration(
    document: dict[str, Any],
    version: int,
    previous: Configuration | None = None,
    previous_document: dict[str, Any] | None = None,
) -> Configuration:
    """Build the typed configuration from a document that passed the checks.

    Parameters
    ----------
    document : dict
        A document in which ``check_configuration`` found no problems.
    version : int
        The number under which the document was accepted.
    previous, previous_document : Configuration, dict, optional
        What was in force before. Objects built from parts that both documents
        share are reused, so the cost depends on the size of the change.

    Returns
    -------
    Configuration
    """
    reusable = previous or Configuration(version=0)
    old_document = previous_document or {}
    return Configuration(
        version=version,
        models={
            name: Model(name, spec['layers'])
            for name, spec in document.get('models', {}).items()
        },
        endpoints=_build_section(
            'endpoints',
            _build_endpoint,
            document,
            old_document,
            reusable.endpoints,
        ),
        routes=_build_section(
            'routes', _build_route, document, old_document, reusable.routes
        ),
        accounts=_build_section(
            'accounts',
            _build_account,
            document,
            old_document,
            reusable.accounts,
        ),
        links=_build_links(document.get('links', {})),
        limits=Limits(**document.get('limits', {})),
    )


def _build_section(
    section: str,
    build: Callable[[str, dict[str, Any]], BuiltT],
    document: dict[str, Any],
    old_document: dict[str, Any],
    reusable: dict[str, BuiltT],
) -> dict[str, BuiltT]:
    """Build one section; reuse objects whose spec is the same object."""
    specs = document.get(section, {})
    old = old_document.get(section, {})
    if specs is old:
        return reusable
    return {
        name: reusable[name]
        if old.get(name) is spec and name in reusable
        else build(name, spec)
        for name, spec in specs.items()
    }


def _build_endpoint(name: str, spec: dict[str, Any]) -> Endpoint:
    fields = dict(spec)
    first, last = fields.pop('layers', (0, -1))
    desired = fields.pop('desired', None)
    if desired is not None:
        adapters = tuple(desired.get('adapters', ()))
        fields['desired'] = DesiredState(
            desired.get('version', ''), adapters, desired.get('role', '')
        )
    return Endpoint(name=name, first=first, last=last, **fields)


def _build_route(name: str, spec: dict[str, Any]) -> Route:
    fields = dict(spec)
    fields['endpoints'] = tuple(fields.get('endpoints', ()))
    return Route(name=name, **fields)


def _build_account(name: str, spec: dict[str, Any]) -> Account:
    fields = dict(spec)
    fields['keys'] = tuple(fields['keys'])
    fields['routes'] = tuple(fields['routes'])
    return Account(name=name, **fields)


def _build_links(spec: dict[str, float]) -> dict[tuple[str, str], float]:
    links = {}
    for pair, one_way_ms in spec.items():
        source, _, target = pair.partition('/')
        links[source, target] = one_way_ms
        links[target, source] = one_way_ms
    return links
