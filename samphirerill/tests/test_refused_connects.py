"""A connection that is refused costs no repeat: nothing arrived anywhere."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from samphirerill.tests.ending_engines import EndingEnginesCase

_OK = 200
_STREAMS = 24
_EVENTS = 60
_LOST = 4
# Eight nodes are taken for granted; this one has an eighth of it.
_SLACK = 400
_BEGUN_S = 0.3
# No stream has an event when engines end.
_READING_S = 0.5
_BETWEEN_S = 2.5


class TestRefusedConnects(EndingEnginesCase):
    """Engines end together, twice within the window of the budget.

    Symptom: the second time, 15 of 24 streams are cut with "no repeat is left"
    after one send each.

    Sequence: four of six engines end; their streams go on elsewhere, two to
    five of them to one of the dead, which refuses the connection; each looks
    again. 2.5 s later four engines end again.

    Cause: a repeat was taken for each look, also where nothing was sent.

    Evidence: of the 51 repeats of the window 34 had gone to connections that
    were refused; with eight times the slack all streams were whole.
    """

    events = _EVENTS

    async def test_streams_of_a_second_loss_have_repeats_left(self) -> None:
        state = self.nodes[0].state
        state.change_settings(replace(state.settings, retry_slack=_SLACK))
        await self.lose_some('first')
        await asyncio.sleep(_BETWEEN_S)
        await self.lose_some('second')

    async def test_streams_without_a_first_event_have_repeats_left(
        self,
    ) -> None:
        """Streams lost while their prompts are read aren't refused with 502."""
        state = self.nodes[0].state
        state.change_settings(replace(state.settings, retry_slack=_SLACK))
        for engine in self.world.replicas.values():
            engine.begins_after_s = _READING_S
        await self.lose_some('first')
        await asyncio.sleep(_BETWEEN_S)
        for engine in self.world.replicas.values():
            engine.begins_after_s = _READING_S
        await self.lose_some('second')

    async def lose_some(self, name: str) -> None:
        """Begin streams, end engines; all streams must be whole."""
        streams = [
            asyncio.create_task(
                self.ask(self.nodes[0], f'{name}-{number}', b'%d' % number)
            )
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(_BEGUN_S)
        for engine in sorted(self.list_running())[:_LOST]:
            self.end_engine(engine)
        answers = await asyncio.gather(*streams)
        whole = [
            status == _OK and body.count(b'id:') == _EVENTS
            for status, body in answers
        ]
        self.assertEqual(whole.count(False), 0, name)
