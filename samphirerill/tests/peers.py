"""Nodes that exchange datagrams in one event loop, without sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any, cast
from unittest.mock import Mock

from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_source import ChangeSource
from samphirerill.relay.datagram_receiver import DatagramReceiver
from samphirerill.relay.health import Alarms
from samphirerill.relay.node_announcements import NodeAnnouncement
from samphirerill.relay.peer_directory import PeerDirectory
from samphirerill.relay.peer_sync import PeerSync
from samphirerill.relay.state import EdgeState
from samphirerill.relay.status_sender import StatusSender

if TYPE_CHECKING:
    from collections.abc import Iterable

PORT = 7340
DATA_CENTRES = ('a', 'b', 'c', 'd', 'e')


class Network:
    """Delivers datagrams, and counts those between data centres."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.remote_datagrams: Counter[str] = Counter()
        self.remote_bytes = 0

    def send(self, sender: str, data: bytes, host: str) -> None:
        """Deliver in the next iteration of the event loop."""
        node = self.nodes.get(host)
        if node is None or sender not in self.nodes:
            return
        if node.data_centre != self.nodes[sender].data_centre:
            self.remote_datagrams[sender] += 1
            self.remote_bytes += len(data)
        loop = asyncio.get_running_loop()
        loop.call_soon(node.receiver.datagram_received, data, (sender, PORT))


class _Transport:
    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def is_closing(self) -> bool:
        """Return whether the port is closed."""
        return False

    def sendto(self, data: bytes, addr: Any) -> None:
        """Send a datagram."""
        self._network.send(self._host, data, addr[0])


class Node:
    """The parts of a node that send and receive datagrams."""

    def __init__(self, network: Network, name: str, data_centre: str) -> None:
        self.name = name
        self.data_centre = data_centre
        self.host = (
            f'10.0.{DATA_CENTRES.index(data_centre)}.{name.rpartition("-")[2]}'
        )
        self.state = EdgeState(
            EdgeSettings(
                name=name,
                data_centre=data_centre,
                host=self.host,
                callers=f'{self.host}:1',
                readiness=f'{self.host}:2',
                peers=f'{self.host}:3',
                store='10.9.9.9:1',
                exchange_port=PORT,
                metrics_port=4,
                retry_ratio=0.2,
                retry_slack=300,
            ),
            HttpPlatformAdapter(),
        )
        self.peers = PeerDirectory(name, data_centre)
        self.status_sender = StatusSender(self.state, self.peers)
        self.alarms = Alarms(self.state)
        self.receiver = DatagramReceiver(
            self.state,
            self.peers,
            self.status_sender,
            ChangeSource(name),
            ChangeLog(),
            cast('PeerSync', Mock(spec=PeerSync)),
            self.alarms,
        )
        network.nodes[self.host] = self
        transport = cast(
            'asyncio.DatagramTransport', _Transport(network, self.host)
        )
        self.receiver.connection_made(transport)
        self.alarms.bind(self.status_sender)

    def add_peers(self, others: Iterable[Node]) -> None:
        """Add the announcements of the other nodes."""
        for other in others:
            if other is not self:
                address = f'{other.host}:{PORT}'
                announcement = NodeAnnouncement(
                    address, f'{other.host}:3', other.data_centre
                )
                self.peers.add_announcement(other.name, announcement)
