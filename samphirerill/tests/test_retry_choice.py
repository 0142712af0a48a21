"""Where a stream goes on whose replicas accept it and break it off."""

from __future__ import annotations

import asyncio

from samphirerill.tests.two_engines import GAP_S, TwoEnginesCase

_RUNS = 2


class TestBackOff(TwoEnginesCase):
    """A replica that brings no event is left alone longer each time."""

    async def test_a_head_without_an_event_does_not_end_the_back_off(
        self,
    ) -> None:
        """A replica that only begins answers isn't sent streams at full rate."""
        engines = [self.world.replicas[f'engine-{number}'] for number in (1, 2)]
        for engine in engines:
            engine.cut_after_head = True
            engine.gap_s = GAP_S
        waiting = self.start(b'/notes/x')
        await self.until(
            lambda: sum(len(engine.seen) for engine in engines) >= 2 * _RUNS
        )
        await asyncio.sleep(3 * GAP_S)
        known = self.process.state.view.known
        refusals = [known[engine.replica_id].refusals for engine in engines]
        self.assertGreaterEqual(max(refusals), _RUNS)
        for engine in engines:
            engine.cut_after_head = False
        self.assert_whole(await waiting)
