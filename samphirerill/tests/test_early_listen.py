"""A node listens for clients before it is ready to serve them."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from samphirerill.platform.early_listen import (
    SETTINGS_VARIABLE,
    format_address,
    open_client_socket,
)
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import load_edge_settings
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.pool import read_response
from samphirerill.relay.process import EdgeProcess

if TYPE_CHECKING:
    from socket import socket

_SETTINGS = """// Settings of a node.
{
  "name": "node-1", "data_centre": "a", "host": "127.0.0.1",
  // Where clients connect.
  "callers": "127.0.0.1:PORT",
  "readiness": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "store": "127.0.0.1:1", "exchange_port": 0, "metrics_port": 0
}
"""
_RESPONSE_TIMEOUT_S = 10.0
_HEADERS = [(b'host', b'x'), (b'x-samphirerill-deadline-ms', b'100')]


def _build_settings(port: int) -> str:
    return _SETTINGS.replace('PORT', str(port))


class TestEarlyListen(IsolatedAsyncioTestCase):
    """The socket for clients that is opened before the imports."""

    def setUp(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / 'settings.json'
        self.path.write_text(_build_settings(0), encoding='utf-8')

    def open_socket(self) -> socket | None:
        """Open the socket that the settings file names."""
        with patch.dict(os.environ, {SETTINGS_VARIABLE: str(self.path)}):
            sock = open_client_socket()
        if sock is not None:
            self.addCleanup(sock.close)
        return sock

    async def test_client_that_connects_early_gets_a_response(self) -> None:
        """Guard against refused connections while a node starts."""
        sock = self.open_socket()
        assert sock is not None
        conn = HttpConnection(format_address(sock))
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(serialize_request(b'GET', b'/x', _HEADERS, b''))
        settings = load_edge_settings(str(self.path))
        store = PlatformStore(settings.store)
        self.addCleanup(store.close)
        process = EdgeProcess(settings, HttpPlatformAdapter(), store)
        running = asyncio.create_task(process.run(sock))
        deadline = asyncio.get_running_loop().time() + _RESPONSE_TIMEOUT_S
        status, _ = await read_response(conn, deadline)
        self.assertEqual(status, 503)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        process.close()

    def test_settings_that_cannot_be_read_are_left_to_the_node(self) -> None:
        for text in ('', '{"callers": 7}', '{"name": "x"}', 'callers'):
            with self.subTest(text):
                self.path.write_text(text, encoding='utf-8')
                self.assertIsNone(self.open_socket())

    def test_address_in_use_is_left_to_the_node(self) -> None:
        sock = self.open_socket()
        assert sock is not None
        port = int(format_address(sock).rpartition(':')[2])
        self.path.write_text(_build_settings(port), encoding='utf-8')
        self.assertIsNone(self.open_socket())
