"""Prefix caches: used for placement, separate for each account."""

from __future__ import annotations

import unittest

from samphirerill.core.prefixes import (
    BLOCK_CHARS,
    CacheEvents,
    PrefixIndex,
    digest_prefixes,
)
from samphirerill.testing.clients import request_completion
from samphirerill.testing.cluster import wait_for
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, SECOND_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase

_PROMPT = 'a hem that has to be taken up by two fingers and a half. ' * 8


class TestDigests(unittest.TestCase):
    """A prefix is identified by its text and its account."""

    def test_accounts_share_no_digest(self) -> None:
        """Not even for the same prompt."""
        ours = set(digest_prefixes('tromsvik', _PROMPT))
        theirs = set(digest_prefixes('viti', _PROMPT))
        self.assertTrue(ours)
        self.assertFalse(ours & theirs)

    def test_prompts_share_the_digests_of_their_common_blocks(self) -> None:
        """No digest after the first different block is shared."""
        other = _PROMPT[: 2 * BLOCK_CHARS] + 'x' + _PROMPT
        one = digest_prefixes('viti', _PROMPT)
        two = digest_prefixes('viti', other)
        self.assertEqual(one[:2], two[:2])
        self.assertNotEqual(one[2], two[2])


class TestPrefixIndex(unittest.TestCase):
    """Cache events arrive late and with gaps."""

    def setUp(self) -> None:
        """Index the caches of two engines."""
        self.index = PrefixIndex()
        self.index.apply_events('e1', CacheEvents(1, 2, ('a', 'b')))
        self.index.apply_events('e2', CacheEvents(1, 1, ('a',)))

    def test_longest_indexed_prefix_decides(self) -> None:
        """The engine that has more of the prompt cached is preferred."""
        self.assertEqual(self.index.find_endpoints(('a', 'b')), {'e1'})
        self.assertEqual(self.index.find_endpoints(('a', 'x')), {'e1', 'e2'})
        self.assertEqual(self.index.find_endpoints(('x',)), frozenset())

    def test_gap_discards_earlier_entries(self) -> None:
        """Evictions among the missed events are unknown.

        Guard against sending an account's requests to an engine that has
        evicted their prefix.
        """
        self.index.apply_events('e1', CacheEvents(9, 9, ('c',)))
        self.assertEqual(self.index.find_endpoints(('a', 'b')), {'e2'})
        self.assertEqual(self.index.find_endpoints(('c',)), {'e1'})

    def test_engine_restart(self) -> None:
        """Its event numbers start again and its cache is empty."""
        self.index.apply_events('e1', CacheEvents(1, 1, ()))
        self.assertEqual(self.index.find_endpoints(('b',)), frozenset())

    def test_evictions_are_applied(self) -> None:
        self.index.apply_events('e1', CacheEvents(3, 3, (), ('b',)))
        self.assertEqual(self.index.find_endpoints(('b',)), frozenset())


class TestPlacementByCache(ClusterCase):
    """A repeated prompt goes to the engine that has its prefix cached."""

    def test_repeated_prompt_hits_only_for_its_account(self) -> None:
        """An account uses its own cache entries and no other account's."""
        request_completion(self.callers, FIRST_ACCOUNT_KEY, 'plans', _PROMPT, 2)
        wait_for(self._is_indexed, 'cache events at the node')
        for _ in range(3):
            request_completion(
                self.callers, FIRST_ACCOUNT_KEY, 'plans', _PROMPT, 2
            )
        self.assertEqual(self._count('cache_hits'), 3)
        request_completion(
            self.callers, SECOND_ACCOUNT_KEY, 'plans', _PROMPT, 2
        )
        self.assertEqual(self._count('cache_hits'), 3)

    def _is_indexed(self) -> bool:
        core = self.cluster.nodes[0].read_state()['core']
        return bool(core['known_prefixes'])

    def _count(self, name: str) -> int:
        engines = self.cluster.addresses['engines'].values()
        return sum(
            self.cluster.read_stats(address).get(name, 0) for address in engines
        )


if __name__ == '__main__':
    unittest.main()
