"""Stored documents of the platform, as test data."""

from __future__ import annotations

from typing import Any

from msgspec import json

API_KEY = 'suva-key'
ENGINE: dict[str, Any] = {
    'slots': 96,
    'kvTokenBytes': 1_180_000,
    'stride': 2,
    'models': [{'name': 'm', 'loadS': 14}],
    'step_ms': 0.85,
    'per_seq_ms': 0.0076,
    'context_per_k': 0.0102,
    'read_per_s': 196_000,
    'loads_at_once': 6,
    'usual': {'prompt': 772, 'answer': 174},
    'layers': 80,
    'layerMb': 1750,
    'activationBytes': 59_000,
    'pipeMbps': 11_000,
    'kinds': [
        {'name': 'large', 'sizeMb': 72_000, 'pace': 1.4, 'readFactor': 1},
        {'name': 'small', 'sizeMb': 21_600, 'pace': 16, 'readFactor': 8.2},
        {'name': 'vast', 'sizeMb': 200_000, 'pace': 1, 'readFactor': 1},
    ],
}


def build_configuration(version: int = 7, **changes: Any) -> bytes:
    """Return a stored configuration.

    Parameters
    ----------
    version : int
        Its version.
    **changes
        Fields to replace in the first route, which is a streaming one.
    """
    streaming_route = {
        'name': 'notes',
        'host': 'bridal.example',
        'prefix': '/notes/',
        'kind': 'streaming',
        'timeoutMs': 20_000,
        'sloMs': 500,
        'priority': 1,
        'trafficSplit': [
            {'service': 'llm', 'weight': 1},
            {'service': 'other', 'weight': 0},
        ],
        'maxAttempts': 2,
        'resumable': True,
        'gapTargetMs': 200,
    }
    plain_route = {
        'name': 'pickup',
        'host': 'bridal.example',
        'prefix': '/pickup/',
        'kind': 'non_idempotent',
        'timeoutMs': 800,
        'service': 'desk',
    }
    return json.encode(
        {
            'version': version,
            'routes': [{**streaming_route, **changes}, plain_route],
            'services': [
                {'name': 'llm', 'engine': ENGINE},
                {'name': 'desk', 'maxConnections': 40},
            ],
            'limits': {'maxBodyBytes': 65_536, 'headerTimeoutMs': 500},
            'tenants': [{'name': 'suva', 'apiKeys': [API_KEY]}],
        }
    )


def build_announcement(
    service: str,
    address: str,
    kind: str = '',
    layers: tuple[int, int] | None = None,
    state: str = 'ready',
    started_ms: int = 0,
) -> bytes:
    """Return a replica's announcement."""
    announcement: dict[str, Any] = {
        'service': service,
        'address': address,
        'zone': 'a',
        'slots': 8,
        'state': state,
        'kind': kind,
    }
    if started_ms:
        announcement['born'] = started_ms
    if layers is not None:
        announcement['layers'] = {
            'from': layers[0],
            'to': layers[1],
            'version': 1,
        }
    return json.encode(announcement)


CONFIGURATION = build_configuration()
