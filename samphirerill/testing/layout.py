"""Layouts of fake engines and services, and their configurations."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from samphirerill.edges.operator_api import hash_api_key

OPERATOR_KEY = 'operator-key'
FIRST_ACCOUNT_KEY = 'coach-key'
SECOND_ACCOUNT_KEY = 'bridal-key'
ACCOUNT_KEYS = {'tromsvik': FIRST_ACCOUNT_KEY, 'viti': SECOND_ACCOUNT_KEY}


@dataclass(slots=True)
class EngineSpec:
    """Layer range and performance of one engine."""

    first: int
    last: int
    slots: int = 8
    step_ms: float = 26
    layer_ms: float = 0.05
    data_centre: str = 'a'


@dataclass(slots=True)
class Layout:
    """Fake engines and services, with limits, accounts and routes."""

    layers: int
    engines: dict[str, EngineSpec]
    services: tuple[str, ...] = ()
    vm_list_lag_s: float = 0
    limits: dict[str, Any] = field(default_factory=dict)
    accounts: dict[str, dict[str, Any]] = field(default_factory=dict)
    routes: dict[str, dict[str, Any]] = field(default_factory=dict)

    def to_spec(self) -> dict[str, Any]:
        """Return the specification for `samphirerill.testing.host`."""
        return {
            'kv': True,
            'vm_list': True,
            'vm_list_lag_s': self.vm_list_lag_s,
            'services': list(self.services),
            'engines': {
                name: {
                    'slots': spec.slots,
                    'step_ms': spec.step_ms,
                    'layer_ms': spec.layer_ms,
                }
                for name, spec in self.engines.items()
            },
        }

    def to_document(self, addresses: dict[str, Any]) -> dict[str, Any]:
        """Return the router configuration for fakes at these addresses."""
        endpoints = {
            name: self._describe_engine(name, address)
            for name, address in addresses['engines'].items()
        }
        for name, address in addresses['services'].items():
            endpoints[name] = {
                'kind': 'service',
                'address': address,
                'data_centre': 'a',
                'slots': 64,
            }
        routes = {**self._build_default_routes(), **self.routes}
        return {
            'models': {'strength': {'layers': self.layers}},
            'endpoints': endpoints,
            'routes': routes,
            'accounts': self._describe_accounts(list(routes)),
            'limits': self.limits,
        }

    def _describe_engine(self, name: str, address: str) -> dict[str, Any]:
        spec = self.engines[name]
        return {
            'kind': 'engine',
            'address': address,
            'data_centre': spec.data_centre,
            'model': 'strength',
            'layers': [spec.first, spec.last],
            'slots': spec.slots,
            'layer_ms': spec.layer_ms,
        }

    def _build_default_routes(self) -> dict[str, dict[str, Any]]:
        routes: dict[str, dict[str, Any]] = {
            'plans': {'kind': 'model', 'model': 'strength'},
            'fittings': {
                'kind': 'model',
                'model': 'strength',
                'priority': 'high',
            },
        }
        if self.services:
            routes['notices'] = {
                'kind': 'service',
                'endpoints': list(self.services),
                'idempotent': False,
            }
            routes['lookups'] = {
                'kind': 'service',
                'endpoints': list(self.services),
            }
        return routes

    def _describe_accounts(self, routes: list[str]) -> dict[str, Any]:
        accounts = {
            name: {'keys': [hash_api_key(key)], 'routes': routes}
            for name, key in ACCOUNT_KEYS.items()
        }
        for name, spec in self.accounts.items():
            accounts[name] = {'routes': routes, **spec}
        return accounts


def build_three_stages(replicas: int = 2, **spec: Any) -> Layout:
    """Return a layout of three overlapping stages with twelve layers."""
    ranges = ((0, 4), (3, 8), (7, 11))
    engines = {
        f'stage{stage}-{replica}': EngineSpec(first, last, **spec)
        for stage, (first, last) in enumerate(ranges)
        for replica in range(replicas)
    }
    return Layout(12, engines, services=('desk',))
