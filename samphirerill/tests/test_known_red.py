"""The list of tests that are known to fail hides nothing else."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.testing.run_tests import (
    MOST_KNOWN,
    KnownRedError,
    read_known_red,
    split_tests,
)

_LINE = '{0} | a cause | make test | it failed | an open issue'


class TestKnownRed(TestCase):
    """Reading the list, and which tests it passes over."""

    def test_only_listed_tests_are_passed_over(self) -> None:
        other = TestKnownRed('test_a_line_without_a_cause_is_refused')
        known = read_known_red(f'# why\n\n{_LINE.format(self.id())}\n')
        must_pass, passed_over = split_tests([self, other], known)
        self.assertEqual(list(must_pass), [other])
        self.assertEqual(list(passed_over), [self])

    def test_a_name_that_is_no_test_is_refused(self) -> None:
        known = read_known_red(_LINE.format('tests.gone'))
        with self.assertRaises(KnownRedError):
            split_tests([self], known)

    def test_a_line_without_a_cause_is_refused(self) -> None:
        with self.assertRaises(KnownRedError):
            read_known_red(f'{self.id()} | | make test | it failed | an issue')

    def test_a_long_list_is_refused(self) -> None:
        lines = [_LINE.format(f't{at}') for at in range(MOST_KNOWN + 1)]
        read_known_red('\n'.join(lines[1:]))
        with self.assertRaises(KnownRedError):
            read_known_red('\n'.join(lines))
