"""Run a node on the platform: its settings, its words, its store."""

from __future__ import annotations

import asyncio
import os
import sys

from samphirerill.node.log_sink import LogSink
from samphirerill.node.logs import start_logging
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import (
    SETTINGS_VARIABLE,
    EdgeSettings,
    load_edge_settings,
)
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.process import EdgeProcess
from samphirerill.relay.reload import SettingsFile
from samphirerill.settings.model import LogSettings


def run_edge(path: str = '') -> int:
    """Run until told to stop; return the exit code.

    Parameters
    ----------
    path : str
        The settings file; by default the one that the environment names.
    """
    path = path or os.environ[SETTINGS_VARIABLE]
    settings = load_edge_settings(path)
    start_logging(LogSettings(form='json'), LogSink(sys.stdout.fileno()))
    source = SettingsFile(path, load_edge_settings)
    return asyncio.run(_run(settings, source))


async def _run(settings: EdgeSettings, source: SettingsFile) -> int:
    store = PlatformStore(settings.store)
    process = EdgeProcess(settings, PlatformDialect(), store, source)
    return await process.run()
