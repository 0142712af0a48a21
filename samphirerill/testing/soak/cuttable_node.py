"""Run a node whose links to replicas can be cut by writing a file.

A connect to a port that listens on loopback always succeeds, so a proxy in front
of the replicas cannot hold up or refuse the connects of one node only. The event
loop does it instead; the node's own code is unchanged.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from samphirerill.testing.cut_links import CutKind, CutLinks, enter_node

CUT_SUFFIX = '.cut'
# Replicas listen on loopback addresses from this last octet on, nodes and their
# proxies to the store below.
FIRST_REPLICA_OCTET = 41
_POLL_S = 0.02
_NODE = 'this'


class _CuttableLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """Creates loops whose connections to replicas follow a file.

    Parameters
    ----------
    path : Path
        Holds the kind of the cut; missing if there is none.
    """

    def __init__(self, path: Path) -> None:
        super().__init__()
        self._path = path

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a loop that checks the file periodically."""
        loop = super().new_event_loop()
        links = CutLinks(_is_replica, loop)
        loop.call_soon(self._poll, loop, links, '')
        return loop

    def _poll(
        self, loop: asyncio.AbstractEventLoop, links: CutLinks, previous: str
    ) -> None:
        kind = self._read_kind()
        if kind != previous:
            links.heal(_NODE)
            if kind:
                links.cut(_NODE, CutKind[kind])
        loop.call_later(_POLL_S, self._poll, loop, links, kind)

    def _read_kind(self) -> str:
        try:
            return self._path.read_text()
        except FileNotFoundError:
            return ''


def _is_replica(address: str) -> bool:
    host = address.rpartition(':')[0]
    return int(host.rpartition('.')[2]) >= FIRST_REPLICA_OCTET


def main() -> None:
    """Run ``edge --config PATH``; the cut is read beside the settings file."""
    settings_path = Path(sys.argv[sys.argv.index('--config') + 1])
    policy = _CuttableLoopPolicy(settings_path.with_suffix(CUT_SUFFIX))
    asyncio.set_event_loop_policy(policy)
    enter_node(_NODE)
    from samphirerill.__main__ import run

    run()


if __name__ == '__main__':
    main()
