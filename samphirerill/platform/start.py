"""Entry point of a node on the platform."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING

from samphirerill.node.log_sink import LogSink
from samphirerill.node.logs import start_logging
from samphirerill.platform.early_listen import (
    SETTINGS_VARIABLE,
    format_address,
)
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings, load_edge_settings
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.process import EdgeProcess
from samphirerill.relay.settings_reload import SettingsFile
from samphirerill.settings.model import LogSettings

if TYPE_CHECKING:
    from socket import socket


def run_edge(path: str = '', client_socket: socket | None = None) -> int:
    """Run a node until a termination signal; return the exit code.

    Parameters
    ----------
    path : str
        The settings file; by default the one named by the environment
        variable `SETTINGS_VARIABLE`.
    client_socket : socket, optional
        Already listens for clients.
    """
    path = path or os.environ[SETTINGS_VARIABLE]
    # Created first, so that it notices a change after the settings are read.
    settings_file = SettingsFile(path, load_edge_settings)
    settings = load_edge_settings(path)
    if client_socket and format_address(client_socket) != settings.callers:
        # The settings have changed since the socket was opened.
        client_socket.close()
        client_socket = None
    start_logging(LogSettings(form='json'), LogSink(sys.stdout.fileno()))
    return asyncio.run(_run(settings, settings_file, client_socket))


async def _run(
    settings: EdgeSettings,
    settings_file: SettingsFile,
    client_socket: socket | None,
) -> int:
    store = PlatformStore(settings.store)
    process = EdgeProcess(settings, HttpPlatformAdapter(), store, settings_file)
    return await process.run(client_socket)
