"""A run that goes on is not ended before another one has begun."""

from __future__ import annotations

import asyncio


from samphirerill.tests.two_engines import (
    EVENTS,
    GAP_S,
    SETTLE_S,
    TwoEnginesCase,
)

# With eight nodes taken for granted, one repeat for this node.
_SLACK_FOR_ONE = 8
_TOKENS = 3


class TestOwnBreaks(TwoEnginesCase):
    """A node must not end a run that goes on before another has begun."""

    async def test_a_head_that_gives_up_layers_and_a_full_other_one(
        self,
    ) -> None:
        """Symptom: beside planned work, streams are closed midway.

        Sequence: a replica gives up layers and waits for what passes through;
        in the end its streams are closed, to be sent again; the second replica
        refuses. Cause: the run under way was ended before another had begun,
        and the first replica is not asked again.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        await self.give_up(head)
        self.assert_whole(await waiting)

    async def test_streams_that_leave_together_with_one_repeat_left(
        self,
    ) -> None:
        """Symptom: beside planned work, most streams of a replica are cut.

        Sequence: a replica gives up layers; all its streams find in the same
        moment that a repeat is left, and are closed; one gets it. Cause: the
        repeat was looked for, but not taken, before the run was ended.
        """
        self.change(retry_slack=_SLACK_FOR_ONE, retry_ratio=0)
        await self.announce('engine-2', layers=(0, 80), state='draining')
        view = self.process.state.view
        await self.until(lambda: view.is_leaving('engine-2'))
        streams = [self.start(b'/notes/x') for _ in range(4)]
        await asyncio.sleep(SETTLE_S)
        await self.world.add('engine-3', events=EVENTS)
        self.world.replicas['engine-3'].gap_s = GAP_S
        self.world.replicas['engine-3'].layers = (0, 80)
        await self.announce('engine-3', layers=(0, 80))
        await self.until(lambda: 'engine-3' in view.known)
        await self.give_up('engine-1')
        for answer in await asyncio.gather(*streams):
            self.assert_whole(answer)

    async def hold_up(self, name: str) -> None:
        """Let an engine do nothing for a moment."""
        replica = self.world.replicas[name]
        replica.free.clear()
        await asyncio.sleep(0.4)
        replica.free.set()
