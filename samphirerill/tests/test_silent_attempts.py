"""Silent attempts whose endpoints get no new work."""

from __future__ import annotations

from samphirerill.core.commands import (
    CancelAttempt,
    Command,
    OpenAttempt,
    ProbeEndpoint,
)
from samphirerill.core.events import ProbeFinished, TokenArrived, VmListRead
from samphirerill.core.queries import describe_state
from samphirerill.tests.test_back_off_decisions import RouterCase, find_all

# Longer than the progress timeout, and than the time to the first deadline.
_SILENCE_S = 0.9
_PROBE_INTERVAL_S = 2.0
_SHORT_BACK_OFF_S = 3.0
# Each engine that can be the first stage of a pipeline.
_HEADS = ('e0', 'e4')


class TestSilentStreams(RouterCase):
    """A stream that has started is silent."""

    def setUp(self) -> None:
        super().setUp()
        self.attempt = self.send('r1')
        self.apply(TokenArrived(self.attempt.attempt_id, 0, 0, 'x'))
        self.head = self.attempt.stages[0].endpoint

    def leave(self) -> None:
        """List all endpoints as leaving."""
        endpoints = frozenset(self.router.state.endpoints)
        self.apply(VmListRead(frozenset(), endpoints))

    def probe(self, *, is_alive: bool) -> None:
        """Finish a probe of the first stage."""
        self.apply(ProbeFinished(self.head, alive=is_alive))

    def assert_kept(self, commands: list[Command]) -> None:
        """Assert that the attempt goes on and its endpoints are probed."""
        self.assertEqual(find_all(commands, CancelAttempt), [])
        self.assertNotEqual(find_all(commands, ProbeEndpoint), [])

    def test_stream_leaves_a_dead_endpoint_that_was_leaving(self) -> None:
        """Guard against clients who wait for a dead endpoint."""
        self.leave()
        self.assert_kept(self.wait(_SILENCE_S))
        self.probe(is_alive=False)
        commands = self.wait(_SILENCE_S)
        self.assertEqual(len(find_all(commands, CancelAttempt)), 1)

    def test_leaving_endpoint_that_recovers_keeps_its_stream(self) -> None:
        """Guard against ending a stream for a probe that failed before."""
        self.leave()
        self.probe(is_alive=False)
        self.apply(TokenArrived(self.attempt.attempt_id, 0, 1, 'x'))
        probes = find_all(self.wait(_PROBE_INTERVAL_S / 8), ProbeEndpoint)
        self.assertEqual(probes, [])
        self.probe(is_alive=True)
        self.assert_kept(self.wait(_SILENCE_S))

    def test_unresponsive_leaving_endpoint_is_probed_again(self) -> None:
        """Guard against one failed probe that counts for good."""
        self.leave()
        self.probe(is_alive=False)
        commands = self.wait(_PROBE_INTERVAL_S)
        probed = {item.endpoint for item in find_all(commands, ProbeEndpoint)}
        self.assertIn(self.head, probed)

    def test_state_dump_says_that_a_leaving_endpoint_is_dead(self) -> None:
        """Guard against a stream that ends for a reason nobody can see."""
        self.leave()
        for is_alive in (False, True):
            self.probe(is_alive=is_alive)
            described = describe_state(self.router.state, self.now)
            found = described['endpoints'][self.head]['unresponsive']
            self.assertEqual(found, not is_alive)

    def test_stream_is_replaced_if_back_offs_end_in_time(self) -> None:
        """Guard against a stream that stays silent though it may be resent."""
        for name in _HEADS:
            self.back_off(name, _SHORT_BACK_OFF_S)
        commands = self.wait(_SILENCE_S)
        self.assertEqual(len(find_all(commands, CancelAttempt)), 1)
        for name in self.router.state.endpoints:
            self.apply(ProbeFinished(name, alive=True))
        resumed = find_all(self.wait(_SHORT_BACK_OFF_S), OpenAttempt)
        self.assertEqual([item.resume_at for item in resumed], [1])

    def test_stream_is_replaced_once_an_endpoint_is_back(self) -> None:
        """Guard against a stream that stays silent though it may be resent."""
        self.leave()
        self.assert_kept(self.wait(_SILENCE_S))
        spec = {**self.document['endpoints']['e4'], 'address': '10.0.0.9:1'}
        self.document['endpoints']['e9'] = spec
        self.configure()
        commands = self.wait(_SILENCE_S)
        self.assertEqual(self.list_opened(commands), ['e9'])
