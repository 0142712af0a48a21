"""Hops that are slow, briefly or permanently."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.core.commands import OpenAttempt
from samphirerill.core.events import AttemptSent, CacheReported, TokenArrived
from samphirerill.core.links import LinkLatencies
from samphirerill.core.prefixes import CacheEvents
from samphirerill.testing.clients import request_completion
from samphirerill.testing.cluster import wait_for
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase
from samphirerill.tests.test_admission import RouterCase

_LINK = ('one', 'two')
_SLOW_MS = 60.0
_FAST_MS = 0.3
_TOKENS = 8
_AFTER_EXPIRY_S = 3600.0
_PROMPT = 'a hem that has to be taken up by two fingers and a half. ' * 8


class TestLinkLatencies(TestCase):
    """Latency estimates from reports of one link."""

    def setUp(self) -> None:
        self.links = LinkLatencies()

    def test_briefly_slow_hop_makes_no_slow_link(self) -> None:
        """Traffic does not leave a link because its target was busy once."""
        for hop_ms in (_FAST_MS, _SLOW_MS, _SLOW_MS, _FAST_MS):
            self.links.observe(_LINK, hop_ms, 1)
        self.assertEqual(self.links.estimate_ms(_LINK, 2), _FAST_MS)

    def test_consistently_slow_link_is_slow(self) -> None:
        for _ in range(3):
            self.links.observe(_LINK, _SLOW_MS, 1)
        self.assertEqual(self.links.estimate_ms(_LINK, 2), _SLOW_MS)

    def test_avoided_link_is_used_again(self) -> None:
        """An estimate expires, so a slow link is not avoided forever."""
        for _ in range(3):
            self.links.observe(_LINK, _SLOW_MS, 1)
        self.assertIsNone(self.links.estimate_ms(_LINK, _AFTER_EXPIRY_S))

    def test_links_of_removed_endpoints_are_removed(self) -> None:
        for _ in range(3):
            self.links.observe(_LINK, _SLOW_MS, 1)
        self.links.retain({'one'})
        self.assertIsNone(self.links.estimate_ms(_LINK, 2))


class TestMigration(RouterCase):
    """A stream migrates if staying costs more than the migration."""

    def test_single_slow_hop_does_not_migrate(self) -> None:
        """A long prompt is not prefilled elsewhere for one busy moment."""
        opened = self.open()
        migrations = self.report(opened, 0, _SLOW_MS)
        for index in range(1, 3 * _TOKENS):
            hop_ms = _SLOW_MS if index == 2 * _TOKENS else _FAST_MS
            migrations += self.report(opened, index, hop_ms)
        self.assertEqual(migrations, [])

    def test_consistently_slow_hop_migrates(self) -> None:
        opened = self.open()
        migrations = self.report(opened, 0, _SLOW_MS)
        for index in range(1, _TOKENS + 1):
            migrations += self.report(opened, index, _SLOW_MS)
        self.assertEqual(len(migrations), 1)

    def test_repeated_prompt_stays_at_its_cached_prefix(self) -> None:
        """Two slow responses do not send an account's prompts to a cold cache."""
        first = self.open()
        head = first.stages[0].endpoint
        self.finish(first, _FAST_MS)
        events = CacheEvents(1, 1, ('digest',))
        self.router.apply(CacheReported(head, events), 0.1)
        for number in range(2):
            again = self.begin(f'slow{number}', prefixes=('digest',))
            self.assertEqual(again.stages[0].endpoint, head)
            self.finish(again, _SLOW_MS)
        again = self.begin('last', prefixes=('digest',))
        self.assertEqual(again.stages[0].endpoint, head)

    def open(self) -> OpenAttempt:
        """Start requests until one runs over several stages; end the others."""
        opened = [self.begin(f'r{number}') for number in range(4)]
        multi_stage = next(item for item in opened if len(item.stages) > 1)
        for other in opened:
            if other is not multi_stage:
                self.finish(other, _FAST_MS)
        return multi_stage

    def begin(self, name: str, **fields: object) -> OpenAttempt:
        opened = self.ask(name, 0, **fields)[0]
        assert isinstance(opened, OpenAttempt)
        self.router.apply(AttemptSent(opened.attempt_id), 0.1)
        return opened

    def finish(self, opened: OpenAttempt, hop_ms: float) -> None:
        """Report a first token, then the last one."""
        self.report(opened, 0, hop_ms)
        last = TokenArrived(opened.attempt_id, 0, 1, 'x', 'stop')
        self.router.apply(last, 0.2)

    def report(
        self, opened: OpenAttempt, index: int, hop_ms: float
    ) -> list[OpenAttempt]:
        """Report a token; return the attempt a migration opens, if any."""
        hops_ms = tuple(hop_ms for _ in opened.stages)
        token = TokenArrived(opened.attempt_id, 0, index, 'x', '', hops_ms)
        commands = self.router.apply(token, 0.2)
        return [item for item in commands if isinstance(item, OpenAttempt)]


class TestBrieflyBusyEngines(ClusterCase):
    """Engines whose hops are all slow for a while."""

    def test_repeated_prompts_hit_the_cache_once_each(self) -> None:
        """A repeated prompt neither runs twice nor misses its cache."""
        request_completion(
            self.callers, FIRST_ACCOUNT_KEY, 'plans', _PROMPT, _TOKENS
        )
        wait_for(self._is_indexed, 'the cached prefix in the node index')
        for number in range(6):
            self._delay(_SLOW_MS if number % 3 < 2 else 0)
            request_completion(
                self.callers, FIRST_ACCOUNT_KEY, 'plans', _PROMPT, _TOKENS
            )
            self.assertEqual(self._count('cache_hits'), number + 1)

    def _delay(self, link_ms: float) -> None:
        for address in self.cluster.addresses['engines'].values():
            self.cluster.control(address, link_ms=link_ms)

    def _is_indexed(self) -> bool:
        core = self.cluster.nodes[0].read_state()['core']
        return bool(core['known_prefixes'])

    def _count(self, name: str) -> int:
        engines = self.cluster.addresses['engines'].values()
        return sum(
            self.cluster.read_stats(address).get(name, 0) for address in engines
        )
