"""Connections to endpoints that another node relays.

A node that is partitioned from endpoints asks a node that reaches them for a
tunnel, by the method CONNECT (RFC 9110, section 9.3.6). A tunnel crosses one
node only. All decisions stay with the node that has the request.
"""

from samphirerill.relay.tunnels.peers import TunnelPeers
from samphirerill.relay.tunnels.port import listen_for_peers
from samphirerill.relay.tunnels.server import TunnelServer

__all__ = ('TunnelPeers', 'TunnelServer', 'listen_for_peers')
