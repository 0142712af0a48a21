"""Run all tests; pass over those that are known to fail, and print them.

A fault that is found gets its test before it is mended. `KNOWN-RED.txt` names the
tests of faults that are not mended yet, one a line: the test's full name, then, each
after a bar, the cause, the command and seed, what was seen and the open issue.
The listed tests run too, so that what they say is seen; only their outcome
does not count.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from unittest import TestCase, TestLoader, TestSuite, TextTestRunner

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_PACKAGE = 'samphirerill'
_PATTERN = 'test_*.py'
_LIST = Path('KNOWN-RED.txt')
# Longer lists hide what is broken.
MOST_KNOWN = 3
_FIELDS = ('test', 'cause', 'command and seed', 'what was seen', 'issue')
_COMMENT = '#'


class KnownRedError(Exception):
    """The list of known failures is not as it should be."""


def read_known_red(text: str) -> dict[str, str]:
    """Return the listed tests, each with its line.

    Raises
    ------
    KnownRedError
        A line lacks a field, or there are too many.
    """
    lines = map(str.strip, text.splitlines())
    known = {
        _read_name(line): line
        for line in lines
        if line and not line.startswith(_COMMENT)
    }
    if len(known) > MOST_KNOWN:
        raise KnownRedError(
            f'got {len(known)} known failures, expected {MOST_KNOWN} at most; '
            'mend one first'
        )
    return known


def _read_name(line: str) -> str:
    fields = [part.strip() for part in line.split('|')]
    if len(fields) != len(_FIELDS) or not all(fields):
        raise KnownRedError(
            f'got {line!r}, expected {" | ".join(_FIELDS)}; fill all in'
        )
    return fields[0]


def split_tests(
    tests: Iterable[TestCase], known: Iterable[str]
) -> tuple[TestSuite, TestSuite]:
    """Return the tests that must pass, and those that are known to fail.

    Raises
    ------
    KnownRedError
        A listed test does not exist.
    """
    left = set(known)
    must_pass = TestSuite()
    passed_over = TestSuite()
    for test in tests:
        is_known = test.id() in left
        (passed_over if is_known else must_pass).addTest(test)
        left.discard(test.id())
    if left:
        raise KnownRedError(
            f'got {sorted(left)}, expected names of tests; correct the list'
        )
    return must_pass, passed_over


def _list_tests(suite: TestSuite) -> Iterator[TestCase]:
    for test in suite:
        if isinstance(test, TestSuite):
            yield from _list_tests(test)
        else:
            yield test


def _run_known(known: dict[str, str], passed_over: TestSuite) -> None:
    """Run the known failures and print what became of them."""
    for line in known.values():
        sys.stdout.write(f'KNOWN RED: {line}\n')
    outcome = TextTestRunner(stream=sys.stdout).run(passed_over)
    red = len(outcome.failures) + len(outcome.errors)
    sys.stdout.write(
        f'KNOWN RED: {red} of {outcome.testsRun} listed tests failed, '
        'passed over; take one that passes off the list with its mend\n'
    )


def main() -> int:
    """Run everything; return the exit code."""
    found = TestLoader().discover(_PACKAGE, _PATTERN, '.')
    text = _LIST.read_text() if _LIST.exists() else ''
    try:
        known = read_known_red(text)
        must_pass, passed_over = split_tests(_list_tests(found), known)
    except KnownRedError as exc:
        sys.stderr.write(f'{_LIST}: {exc}\n')
        return 2
    outcome = TextTestRunner().run(must_pass)
    if known:
        _run_known(known, passed_over)
    return 0 if outcome.wasSuccessful() else 1


if __name__ == '__main__':
    sys.exit(main())
