"""Shared base class of end-to-end tests: a small cluster and assertions."""

from __future__ import annotations

import unittest
from typing import Any, ClassVar

from samphirerill.testing.cluster import Cluster
from samphirerill.testing.engine import make_token
from samphirerill.testing.layout import build_three_stages


class ClusterCase(unittest.TestCase):
    """Shares one small cluster between the tests of a class."""

    cluster: ClassVar[Cluster]
    nodes: ClassVar[int] = 1
    overrides: ClassVar[dict[str, Any]] = {}

    @classmethod
    def setUpClass(cls) -> None:
        """Start fakes and nodes."""
        cls.cluster = Cluster(build_three_stages(), cls.nodes, cls.overrides)
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start()

    @property
    def callers(self) -> str:
        """Address of the first node for callers."""
        return self.cluster.nodes[0].callers

    def assert_complete(
        self, texts: list[str], prompt: str, count: int
    ) -> None:
        """Assert that each token arrived once, in order."""
        expected = [make_token(prompt, index) for index in range(count)]
        self.assertEqual(texts, expected)

    def assert_refused(self, answer: Any, status: int, code: str) -> None:
        """Assert a problem document with the outcome "not-run"."""
        self.assertEqual(answer.status, status)
        self.assertEqual(answer.problem.get('title'), code.replace('-', ' '))
        self.assertEqual(answer.problem.get('outcome'), 'not-run')
        self.assertEqual(answer.outcome, 'not-run')
