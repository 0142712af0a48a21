"""A request that ends each engine that runs it is not sent on for long."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.tests.ending_engines import EndingEnginesCase

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.relay.process import EdgeProcess

_RETURNS = 14
_EACH_S = 0.25
# From the third end on, all nodes should know the request after this.
_KNOWN_S = 1.0
# So many more sends may follow later than that.
_MOST_LATE = 3


class TestReturningRequest(EndingEnginesCase):
    """The same path, client account and body come again and again.

    Symptom: a request under which three replicas had ended was sent to
    replicas ten times more, and ended nearly all of them; for seconds most
    streams were refused or cut.

    Sequence: a stream is sent; its engine ends with all that it runs as the
    answer begins. The node sends the stream again, and the next engine ends.
    The client comes back, under another id, to another node.
    """

    async def test_to_one_node(self) -> None:
        await self.play(self.nodes)
        self.assert_spared()

    async def test_to_a_node_that_starts_after_the_third_end(self) -> None:
        await self.play(self.nodes, 4)
        node = await self.add_node()
        await asyncio.sleep(_KNOWN_S)
        await self.play([node])
        self.assert_spared()

    async def play(
        self, nodes: Sequence[EdgeProcess], count: int = _RETURNS
    ) -> None:
        """Let the request come to nodes in turn."""
        sends = []
        for number in range(count):
            node = nodes[number % len(nodes)]
            name = f'{len(self.marked)}-{number}'
            sends.append(asyncio.create_task(self.send_marked(node, name)))
            await asyncio.sleep(_EACH_S)
        await asyncio.gather(*sends)

    def assert_spared(self) -> None:
        """The engines were hardly sent the request after the third end."""
        self.assertGreaterEqual(len(self.ends), 3)
        self.assertLessEqual(self.count_late(_KNOWN_S), _MOST_LATE)
