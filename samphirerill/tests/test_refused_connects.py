"""Tests that a refused connection uses no retry, as nothing was sent."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from samphirerill.tests.crashing_engines import CrashingEnginesCase

_OK = 200
_STREAMS = 24
_EVENTS = 60
_STOPPED_ENGINES = 4
# A node assumes at least eight nodes, so it may use an eighth of the slack.
_SLACK = 400
_STOP_AFTER_S = 0.3
# Prefill time: no stream has an event when the engines stop.
_PREFILL_S = 0.5
_FAILURE_INTERVAL_S = 2.5


class TestRefusedConnects(CrashingEnginesCase):
    """Engines fail together, twice within the window of the retry budget.

    Guards against refused connections that use up the retries, so that streams
    of the second failure are aborted.
    """

    events = _EVENTS

    async def test_second_failure_has_retries_left(self) -> None:
        state = self.nodes[0].state
        state.apply_settings(replace(state.settings, retry_slack=_SLACK))
        await self.stop_engines('first')
        await asyncio.sleep(_FAILURE_INTERVAL_S)
        await self.stop_engines('second')

    async def test_second_failure_during_prefill_has_retries_left(
        self,
    ) -> None:
        """Streams that fail during their prefill are not rejected with 502."""
        state = self.nodes[0].state
        state.apply_settings(replace(state.settings, retry_slack=_SLACK))
        for engine in self.harness.replicas.values():
            engine.prefill_s = _PREFILL_S
        await self.stop_engines('first')
        await asyncio.sleep(_FAILURE_INTERVAL_S)
        for engine in self.harness.replicas.values():
            engine.prefill_s = _PREFILL_S
        await self.stop_engines('second')

    async def stop_engines(self, name: str) -> None:
        """Start streams and stop engines; all streams must be complete."""
        streams = [
            asyncio.create_task(
                self.ask(self.nodes[0], f'{name}-{number}', b'%d' % number)
            )
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(_STOP_AFTER_S)
        for engine in sorted(self.list_running())[:_STOPPED_ENGINES]:
            self.crash_engine(engine)
        answers = await asyncio.gather(*streams)
        is_complete = [
            status == _OK and body.count(b'id:') == _EVENTS
            for status, body in answers
        ]
        self.assertEqual(is_complete.count(False), 0, name)
