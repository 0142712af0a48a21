"""The settings template, rendered as the platform does it, and reloads."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

from msgspec import json

from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings, load_edge_settings
from samphirerill.platform.start import run_edge
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.settings_reload import SettingsFile, SettingsReloader
from samphirerill.relay.state import EdgeState

_TEMPLATE = Path(__file__).parents[2] / 'deploy' / 'settings.template'
_PLACEHOLDER = re.compile(r'\{\{([a-zA-Z0-9_.]+)\|json\}\}')
# The fields that the template refers to, as the platform documents them.
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


def _render_field(match: re.Match[str]) -> str:
    field: Any = _FIELDS
    for name in match.group(1).split('.'):
        field = field[int(name)] if name.isdigit() else field[name]
    return json.encode(field).decode()


def _render_template() -> str:
    return _PLACEHOLDER.sub(_render_field, _TEMPLATE.read_text()).partition(
        '\n'
    )[2]


class TestTemplate(TestCase):
    """Settings loaded from the rendered template."""

    def test_durations_are_in_the_right_unit(self) -> None:
        """Milliseconds must not be rendered into a setting in seconds.

        Otherwise a replica that has left would get work for half an hour.
        """
        settings = self._load()
        self.assertEqual(settings.leaving_ms, 2000)
        self.assertEqual(settings.finish_s, 8)
        self.assertEqual(settings.retry_window_s, 10)

    def test_addresses_are_complete(self) -> None:
        settings = self._load()
        self.assertEqual(settings.callers, '10.1.0.40:8227')
        self.assertEqual(settings.store, '10.200.1.7:8223')
        self.assertEqual(settings.exchange_port, 7340)

    def test_sharing_is_switched_on(self) -> None:
        """Guards against a deployment in which each node decides on its own."""
        sharing = self._load().sharing
        self.assertTrue(sharing.ranks and sharing.accounts)

    def _load(self) -> EdgeSettings:
        text = _render_template()
        self.assertNotIn('{{', text)
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.json'
            path.write_text(text)
            return load_edge_settings(str(path))


class TestReload(IsolatedAsyncioTestCase):
    """A settings file that changes while the node is serving."""

    async def asyncSetUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings.json'
        self.write({})
        settings_file = SettingsFile(str(self.path), load_edge_settings)
        settings = load_edge_settings(str(self.path))
        self.state = EdgeState(settings, HttpPlatformAdapter())
        self.store = PlatformStore(settings.store)
        self.reloader = SettingsReloader(self.state, self.store, settings_file)

    def write(self, changes: dict[str, Any]) -> None:
        """Write the settings of the rendered template, with changes."""
        document = json.decode(_render_template())
        document.update(changes)
        self.path.write_bytes(json.encode(document))

    async def test_changed_limits_take_effect_without_restart(self) -> None:
        """A changed retry budget must take effect without a restart."""
        now = 10.0
        budget = self.state.get_retry_budget('llm')
        self.assertTrue(budget.has_remaining(now, 8, is_urgent=True))
        self.write({'retry_slack': 0, 'leaving_ms': 900})
        self.reloader.reload()
        self.assertFalse(budget.has_remaining(now, 8, is_urgent=True))
        self.assertEqual(self.state.settings.leaving_ms, 900)

    async def test_change_is_noticed_without_signal(self) -> None:
        task = asyncio.create_task(self.reloader.run())
        self.addCleanup(task.cancel)
        self.write({'finish_s': 5})
        async with asyncio.timeout(3):
            while self.state.settings.finish_s != 5:
                await asyncio.sleep(0.02)

    async def test_change_while_the_node_starts_is_noticed(self) -> None:
        """A change between the first read and the first poll is not lost."""

        def load(path: str) -> EdgeSettings:
            settings = load_edge_settings(path)
            self.write({'finish_s': 5})
            return settings

        start = 'samphirerill.platform.start'
        with (
            patch(f'{start}.load_edge_settings', load),
            patch(f'{start}.start_logging'),
            patch(f'{start}.LogSink'),
            patch(f'{start}.asyncio.run'),
            patch(f'{start}._run', new_callable=Mock) as run,
        ):
            run_edge(str(self.path))
        settings_file = run.call_args.args[1]
        self.assertEqual(settings_file.read_if_changed().finish_s, 5)

    async def test_invalid_file_changes_nothing(self) -> None:
        before = self.state.settings
        for text in ('', '{"name": ', '{"finish_s": "soon"}'):
            with self.subTest(text):
                self.path.write_text(text)
                self.reloader.reload()
                self.assertIs(self.state.settings, before)

    async def test_own_addresses_are_kept_until_restart(self) -> None:
        before = self.state.settings.callers
        self.write({'callers': '10.1.0.40:1', 'finish_s': 4})
        self.reloader.reload()
        self.assertEqual(self.state.settings.callers, before)
        self.assertEqual(self.state.settings.finish_s, 4)
