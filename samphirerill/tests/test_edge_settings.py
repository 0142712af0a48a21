"""The settings template, filled in as the platform does it."""

from __future__ import annotations

import re
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import TestCase

from msgspec import json

from samphirerill.platform.settings import EdgeSettings, load_edge_settings

_TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.template'
_PLACE = re.compile(r'\{\{([a-zA-Z0-9_.]+)\|json\}\}')
# The fields that the template names, as the platform's page shows them.
_FIELDS: dict[str, Any] = {
    'nodeName': 'edge-hall-a-1',
    'ip': '10.1.0.40',
    'zone': 'hall-a',
    'listen': {
        'front': '10.1.0.40:8227',
        'readiness': '10.1.0.40:8220',
        'control': '10.1.0.40:8229',
    },
    'internalPorts': [7340, 7355],
    'seeds': ['10.1.0.40:8229', '10.2.0.29:8229'],
    'bounds': {
        'drainMs': 2000,
        'graceS': 8,
        'retryBudgetRatio': 0.2,
        'budgetWindowS': 10,
        'retrySlack': 200,
    },
    'platform': {'address': '10.200.1.7:8223'},
}


def _fill(match: re.Match[str]) -> str:
    found: Any = _FIELDS
    for name in match.group(1).split('.'):
        found = found[int(name)] if name.isdigit() else found[name]
    return json.encode(found).decode()


class TestTemplate(TestCase):
    """What a node reads of it."""

    def test_every_bound_arrives_in_its_unit(self) -> None:
        """Symptom: a replica that is gone gets work for half an hour.

        Sequence: a node reads the platform's bound for leaving replicas.
        Cause: milliseconds were filled in for a setting in seconds.
        """
        settings = self._load()
        self.assertEqual(settings.leaving_ms, 2000)
        self.assertEqual(settings.finish_s, 8)
        self.assertEqual(settings.retry_window_s, 10)

    def test_addresses_are_whole(self) -> None:
        settings = self._load()
        self.assertEqual(settings.callers, '10.1.0.40:8227')
        self.assertEqual(settings.store, '10.200.1.7:8223')
        self.assertEqual(settings.exchange_port, 7340)

    def _load(self) -> EdgeSettings:
        text = _PLACE.sub(_fill, _TEMPLATE.read_text())
        self.assertNotIn('{{', text)
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_text(text)
            return load_edge_settings(str(path))
