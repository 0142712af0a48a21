"""The settings template, filled in as the platform does it."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase

from msgspec import json

from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings, load_edge_settings
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.reload import Reloader, SettingsFile
from samphirerill.relay.state import EdgeState

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


def _fill_template() -> str:
    return _PLACE.sub(_fill, _TEMPLATE.read_text()).partition('\n')[2]


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
        text = _fill_template()
        self.assertNotIn('{{', text)
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_text(text)
            return load_edge_settings(str(path))


class TestReload(IsolatedAsyncioTestCase):
    """A settings file that changes while its node serves."""

    async def asyncSetUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings.json'
        self.write({})
        source = SettingsFile(str(self.path), load_edge_settings)
        settings = load_edge_settings(str(self.path))
        self.state = EdgeState(settings, PlatformDialect())
        self.store = PlatformStore(settings.store)
        self.reloader = Reloader(self.state, self.store, source)

    def write(self, changes: dict[str, Any]) -> None:
        """Write the settings that the template gives, with changes."""
        document = json.decode(_fill_template())
        document.update(changes)
        self.path.write_bytes(json.encode(document))

    async def test_bounds_change_while_it_serves(self) -> None:
        """Symptom: a changed share of repeats holds after a restart only.

        Sequence: the file changes and the node is told by a signal, or is
        not told at all. Cause: the change was logged and nothing else.
        """
        now = 10.0
        budget = self.state.get_budget('llm')
        self.assertTrue(budget.has_left(now, 8, is_urgent=True))
        self.write({'retry_slack': 0, 'leaving_ms': 900})
        self.reloader.reload()
        self.assertFalse(budget.has_left(now, 8, is_urgent=True))
        self.assertEqual(self.state.settings.leaving_ms, 900)

    async def test_a_change_is_seen_without_a_signal(self) -> None:
        task = asyncio.create_task(self.reloader.run())
        self.addCleanup(task.cancel)
        self.write({'finish_s': 5})
        async with asyncio.timeout(3):
            while self.state.settings.finish_s != 5:
                await asyncio.sleep(0.02)

    async def test_a_faulty_file_changes_nothing(self) -> None:
        before = self.state.settings
        for text in ('', '{"name": ', '{"finish_s": "soon"}'):
            with self.subTest(text):
                self.path.write_text(text)
                self.reloader.reload()
                self.assertIs(self.state.settings, before)

    async def test_own_addresses_need_a_restart(self) -> None:
        before = self.state.settings.callers
        self.write({'callers': '10.1.0.40:1', 'finish_s': 4})
        self.reloader.reload()
        self.assertEqual(self.state.settings.callers, before)
        self.assertEqual(self.state.settings.finish_s, 4)
