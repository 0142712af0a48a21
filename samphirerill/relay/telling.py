"""What a node tells others by datagram: load, suspicions, use of pipes.

In a small fleet each node tells each other one, those of other data centres less
often. In a large one a node tells its own data centre, and one of each data centre
tells the others the sum (see `fleet.gathering`).
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import msgpack

from samphirerill.relay.messages import build_told
from samphirerill.relay.sums import build_sum

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from samphirerill.relay.messages import Told
    from samphirerill.relay.roster import Roster
    from samphirerill.relay.state import EdgeState

# Load is told this soon after a change, and this often without one. In a data
# centre of 26 nodes a node hears 80 datagrams a second, about 1% of a core.
_TELL_S = 0.08
_TELL_PER_NODE_S = 0.012
_REPEAT_S = 0.4
_REPEAT_PER_NODE_S = 0.015
# Other data centres are told this often: bytes between them are paid for, and
# streams rarely go there.
_FAR_S = 0.25


class Telling:
    """Tells the other nodes of this one, or of its data centre.

    Parameters
    ----------
    state : EdgeState
        Load, replicas and pipes.
    roster : Roster
        The other nodes.
    """

    def __init__(self, state: EdgeState, roster: Roster) -> None:
        self._state = state
        self._roster = roster
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._number = 0
        self._told = (-1, -1)
        self._tell_at = 0.0

    def begin(self, transport: asyncio.DatagramTransport) -> None:
        """Tell by this port from now on."""
        self._transport = transport
        self._state.listen(self._schedule)

    def pass_on(self, data: bytes) -> None:
        """Pass on to this data centre what another one tells."""
        self._send(data, self._roster.list_near(self._loop.time()))

    def pass_on_from(self, sender: str, data: bytes) -> None:
        """Pass on what came from a node elsewhere, in a large fleet."""
        now = self._loop.time()
        near = self._roster.list_near(now)
        if sender not in near and not self._roster.is_direct(now):
            self._send(data, near)

    def send_to_all(self, data: bytes) -> None:
        """Send to every other node; in a large fleet some pass it on."""
        now = self._loop.time()
        roster = self._roster
        if roster.is_direct(now):
            far = roster.list_far(now)
        else:
            far = roster.list_receivers(now)
        self._send(data, roster.list_near(now) | far)

    def send_to_node(self, name: str, data: bytes) -> None:
        """Send to one node, if it is known."""
        peer = self._roster.get(name)
        if peer is not None:
            self._send(data, (peer.exchange,))

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centres of all nodes, by name, with this one."""
        settings = self._state.settings
        return {
            **self._roster.list_data_centres(self._loop.time()),
            settings.name: settings.data_centre,
        }

    async def run(self) -> None:
        """Keep the others informed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_near())
            group.create_task(self._run_far())

    async def _run_near(self) -> None:
        while True:
            self._tell_near()
            count = len(self._roster.list_near(self._loop.time()))
            await asyncio.sleep(max(_REPEAT_S, _REPEAT_PER_NODE_S * count))

    async def _run_far(self) -> None:
        while True:
            await asyncio.sleep(_FAR_S)
            self._tell_far()

    def _schedule(self) -> None:
        """Something has changed: tell it soon, and once for many changes."""
        if self._versions() == self._told or self._tell_at:
            return
        now = self._loop.time()
        count = len(self._roster.list_near(now))
        self._tell_at = now + max(_TELL_S, _TELL_PER_NODE_S * count)
        self._loop.call_at(self._tell_at, self._tell_near)

    def _tell_near(self) -> None:
        """Tell the nodes of this data centre."""
        self._tell_at = 0.0
        self._told = self._versions()
        data = msgpack.encode(self._build())
        near = self._roster.list_near(self._loop.time())
        self._send(data, near | self._list_seeds(near))

    def _tell_far(self) -> None:
        """Tell other data centres, all of their nodes or a few."""
        now = self._loop.time()
        if self._roster.is_direct(now):
            self._send(
                msgpack.encode(self._build()), self._roster.list_far(now)
            )
        elif self._roster.is_gatherer(now):
            near = self._roster.list_told(now)
            told = build_sum(self._state, self._build(), near)
            self._send(msgpack.encode(told), self._roster.list_receivers(now))

    def _build(self) -> Told:
        self._number += 1
        return build_told(self._state, self._number, self._loop.time())

    def _send(self, data: bytes, addresses: Iterable[str]) -> None:
        # The port closes before the tasks that tell have ended; to send then
        # is a fault of its own, which kept a node from ending.
        if self._transport is None or self._transport.is_closing():
            return
        settings = self._state.settings
        own = f'{settings.host}:{settings.exchange_port}'
        for address in addresses:
            if address != own:
                host, _, port = address.rpartition(':')
                self._transport.sendto(data, (host, int(port)))

    def _list_seeds(self, known: set[str]) -> set[str]:
        """Return where nodes may be while few are known."""
        settings = self._state.settings
        if len(known) >= len(settings.seeds):
            return set()
        # Ports are the same on all nodes.
        return {
            f'{seed.rpartition(":")[0]}:{settings.exchange_port}'
            for seed in settings.seeds
        }

    def _versions(self) -> tuple[int, int]:
        return self._state.book.own_version, self._state.view.own_version
