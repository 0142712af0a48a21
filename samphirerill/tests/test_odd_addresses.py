"""Connecting to an address that is none is an error of the connection."""

from __future__ import annotations

import asyncio
from collections import Counter
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from samphirerill.backends.service_call import ServiceCall
from samphirerill.core.commands import ProbeEndpoint
from samphirerill.core.events import AttemptFailed, ProbeFinished
from samphirerill.decoding.addresses import is_address
from samphirerill.node.health_checks import probe_endpoint
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.endpoint_dialer import EndpointDialer
from samphirerill.relay.errors import ConnectError, PeerUnavailableError
from samphirerill.relay.tunnels.handshake import TunnelRequest, open_tunnel

_TIMEOUT_S = 1.0
_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    f'{"a" * 300}:80',
    'a\0b:80',
    '',
)


class TestConnecting(IsolatedAsyncioTestCase):
    """Each way to connect, with addresses that are none."""

    async def test_connection_fails_with_its_own_error(self) -> None:
        """Guards against requests that end with 502 beside a sound replica."""
        for address in _ADDRESSES:
            dialer = EndpointDialer(Counter())
            until = asyncio.get_running_loop().time() + _TIMEOUT_S
            with self.subTest(address):
                with self.assertRaises(ConnectError):
                    await HttpConnection(address).open()
                with self.assertRaises(ConnectError):
                    await dialer.attach_directly(asyncio.Protocol(), address)
                with self.assertRaises(PeerUnavailableError):
                    req = TunnelRequest('127.0.0.1:1', 'x', 'node-1')
                    await open_tunnel(address, req, until)

    async def test_own_interface_reports_a_failed_connection(self) -> None:
        """Guards against an attempt or a probe that never ends."""
        for address in _ADDRESSES:
            sink, node = Mock(), Mock()
            call = ServiceCall('a1', Mock(address=address), b'', sink)
            with self.subTest(address):
                await call.open()
                await probe_endpoint(ProbeEndpoint('e1', address), node)
                failed = sink.apply.call_args.args[0]
                self.assertIsInstance(failed, AttemptFailed)
                probed = node.apply.call_args.args[0]
                self.assertEqual(probed, ProbeFinished('e1', False, False))


class TestAddresses(TestCase):
    """Which texts are addresses."""

    def test_only_ip_and_port_are_an_address(self) -> None:
        for address in (*_ADDRESSES, 'localhost:80', '1.2.3:80', '1.2.3.4'):
            with self.subTest(address):
                self.assertFalse(is_address(address))
        self.assertTrue(is_address('10.1.64.9:8080'))
        self.assertFalse(is_address('10.1.64.9:0'))
        self.assertTrue(is_address('10.1.64.9:0', min_port=0))
